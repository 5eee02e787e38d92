//! The configuration that is in force, as requests look it up.

use std::sync::Arc;

use agateroute_config::Document;
use agateroute_core::routes::RouteTable;
use agateroute_core::{Id, Table, id};

use crate::auth::KeyRing;

/// The active configuration document and the lookup tables built from it.
#[derive(Debug)]
pub struct Config {
    /// The version on the platform, 0 for a document from a file.
    pub version: u64,
    /// The document as it was read, with the listed servers on a platform.
    pub document: Arc<Document>,
    /// The API keys of the organisations.
    pub keys: Arc<KeyRing>,
    /// The backend servers by the hash of their name.
    pub servers: Table<Id, ServerRef>,
    /// The routes, looked up by host and path.
    pub routes: RouteTable,
}

/// The name and address of a declared backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerRef {
    /// The hash of the name.
    pub id: Id,
    /// The name in the document.
    pub name: Arc<str>,
    /// The address as `IP:PORT`.
    pub address: Arc<str>,
    /// The version of the server's software, empty if it is not known.
    pub version: Arc<str>,
    /// Whether the server is a model engine rather than a plain server.
    pub engine: bool,
}

impl Config {
    /// Builds the lookup tables of a document.
    pub(crate) fn new(version: u64, document: Arc<Document>) -> Config {
        Config {
            version,
            keys: Arc::new(KeyRing::new(&document)),
            servers: Config::servers(&document),
            routes: RouteTable::new(&document),
            document,
        }
    }

    /// The configuration of a document that usually differs by its servers only. Keys and routes are then kept: 1,500 organisations
    /// are not parsed again each time a server comes or goes.
    pub(crate) fn with_servers(&self, document: Arc<Document>) -> Config {
        let same = document.organisations == self.document.organisations;
        Config {
            version: self.version,
            keys: if same { self.keys.clone() } else { Arc::new(KeyRing::new(&document)) },
            servers: Config::servers(&document),
            routes: self.routes.for_document(&document),
            document,
        }
    }

    fn servers(document: &Document) -> Table<Id, ServerRef> {
        let servers = document.servers.iter().map(|s| {
            let server = ServerRef {
                id: id(&s.name),
                name: s.name.as_str().into(),
                address: s.address.as_str().into(),
                version: s.version.as_str().into(),
                engine: s.engine.is_some(),
            };
            (server.id, server)
        });
        servers.collect()
    }
}
