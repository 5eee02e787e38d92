//! What an instance hands out to peers that ask: the document in force, the backend servers, and how fresh
//! it knows them to be.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use agateroute_core::freshness::Freshness;
use agateroute_core::id::{Millis, id_of_bytes};
use agateroute_proto::peers::{FetchReply, FetchRequest};

use crate::clock::boot_millis;

/// What an instance hands out.
#[derive(Debug, Default)]
pub struct Handout {
    held: Mutex<Held>,
}

#[derive(Debug, Default)]
struct Held {
    document: Option<Arc<str>>,
    servers: Option<Servers>,
    document_read: Freshness,
    servers_read: Freshness,
    /// The revision of the table service that the servers are as of.
    servers_revision: u64,
}

#[derive(Debug)]
struct Servers {
    text: Arc<str>,
    /// Names the content.
    seen: u64,
}

impl Handout {
    fn lock(&self) -> MutexGuard<'_, Held> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes a reading of the document that was asked for at `asked`, on the clock that counts
    /// suspension, and was `age` old where it came from.
    pub fn note_document(&self, asked: Millis, age: Millis) {
        self.lock().document_read.record_read(asked, age);
    }

    /// How old the last reading of the document is, suspension counted.
    pub fn document_age(&self) -> Option<Millis> {
        self.lock().document_read.age(boot_millis())
    }

    /// Notes a reading of the backend servers, as [`Handout::note_document`] does for the document.
    pub fn note_servers(&self, asked: Millis, age: Millis, revision: u64) {
        let mut held = self.lock();
        held.servers_read.record_read(asked, age);
        held.servers_revision = held.servers_revision.max(revision);
    }

    /// How old the last reading of the backend servers is, suspension counted.
    pub fn servers_age(&self) -> Option<Millis> {
        self.lock().servers_read.age(boot_millis())
    }

    /// Names the backend servers as they are known here, 0 where none were read.
    pub fn servers_seen(&self) -> u64 {
        self.lock().servers.as_ref().map_or(0, |s| s.seen)
    }

    /// Sets the texts that peers get.
    pub fn set(&self, document: String, servers: String) {
        let mut held = self.lock();
        held.document = Some(document.into());
        let seen = id_of_bytes(servers.as_bytes());
        held.servers = Some(Servers { text: servers.into(), seen });
    }

    /// The answer to a peer, with the version in force. `written` writes the document where no text was
    /// set for it.
    pub fn reply(
        &self,
        request: &FetchRequest,
        version: u64,
        written: impl FnOnce() -> Result<String, serde_json::Error>,
    ) -> Result<FetchReply, serde_json::Error> {
        let now = boot_millis();
        let held = self.lock();
        let age = |read: &Freshness| read.age(now).map_or(0, |age| age + 1);
        let document = match &held.document {
            _ if version <= request.version => String::new(),
            Some(text) => text.to_string(),
            None => written()?,
        };
        let servers = held.servers.as_ref().filter(|s| s.seen != request.servers_seen);
        Ok(FetchReply {
            version,
            document,
            reading_age: age(&held.document_read),
            servers: servers.map_or_else(String::new, |s| s.text.to_string()),
            servers_seen: held.servers.as_ref().map_or(0, |s| s.seen),
            servers_age: age(&held.servers_read),
            servers_revision: held.servers_revision,
        })
    }
}
