//! The active configuration document, indexed by identifier.

use std::sync::Arc;

use agateroute_config::Document;
use agateroute_config::route::RouteKind;
use agateroute_config::routing::Routing;

use crate::Table;
use crate::id::{Id, Millis, id};
use crate::placement::UNKNOWN_VERSION;

/// The bounds of the time for which the beginning of a stream is remembered, in milliseconds.
const MIN_STREAM_RETENTION_MS: Millis = 60_000;
const MAX_STREAM_RETENTION_MS: Millis = 600_000;

record! {
    /// The properties of a backend server that admission and routing need.
    pub struct ServerInfo {
        /// The declared name.
        pub name: String,
        /// The declared capacity.
        pub capacity: Capacity,
        /// The availability zone.
        pub zone: Id,
        /// The identifier of the version of the server's software, [`UNKNOWN_VERSION`] if it is not known.
        pub version: Id,
        /// When the server started, in milliseconds since 1970; 0 if it is not known.
        pub start_ms: u64,
    }

    /// The latency targets and the floor of a rank.
    pub struct RankInfo {
        /// The target for the first token, in milliseconds.
        pub first_ms: u64,
        /// The target for the whole answer of a plain call, in milliseconds.
        pub answer_ms: u64,
        /// The part of the work, 0 to 1, that more urgent ranks can't take from this one.
        pub floor: f64,
    }

    /// The active configuration document with its indexes.
    pub struct Catalog {
        /// The document that the indexes were built from.
        pub document: Arc<Document>,
        /// The backend servers by identifier.
        pub servers: Table<Id, ServerInfo>,
        /// The backend servers of each model and plain service.
        pub targets: Table<Id, Vec<Id>>,
        /// The weight of each organisation relative to the others.
        pub shares: Table<Id, u32>,
        /// The ranks, the most urgent first.
        pub ranks: Vec<RankInfo>,
    }
}

value! {
    /// The declared capacity of a backend server.
    pub enum Capacity {
        /// A model engine, limited by memory and batch size.
        Engine {
            /// The memory for prompts and answers, in tokens.
            memory: u64,
            /// The maximum number of generations in one batch.
            batch: u32,
        },
        /// A plain server, limited by concurrent calls.
        Slots {
            /// The maximum number of concurrent calls.
            slots: u32,
            /// Whether the limit is lowered below that maximum while answers are slow.
            adaptive: bool,
        },
    }
}

impl Catalog {
    /// Indexes a document that has passed validation.
    pub fn new(document: Arc<Document>) -> Catalog {
        let servers = document.servers.iter().map(|s| {
            let capacity = match (&s.engine, &s.plain) {
                (Some(e), _) => Capacity::Engine { memory: e.memory_tokens, batch: e.batch },
                (None, Some(p)) => Capacity::Slots { slots: p.slots, adaptive: p.adaptive },
                (None, None) => Capacity::Slots { slots: 1, adaptive: true },
            };
            let version = if s.version.is_empty() { UNKNOWN_VERSION } else { id(&s.version) };
            let (name, zone, start_ms) = (s.name.clone(), id(&s.zone), s.start_ms);
            let info = ServerInfo { name, capacity, zone, version, start_ms };
            (id(&s.name), info)
        });
        let targets = targets(&document);
        let ranks = document.ranks.iter().map(|r| RankInfo {
            first_ms: r.first_token_ms,
            answer_ms: r.answer_ms,
            floor: f64::from(r.floor_percent) / 100.0,
        });
        Catalog {
            servers: servers.collect(),
            targets,
            shares: document.organisations.iter().map(|o| (id(&o.name), o.share)).collect(),
            ranks: ranks.collect(),
            document: document.clone(),
        }
    }

    /// The routing settings of the document.
    pub fn routing(&self) -> &Routing {
        &self.document.routing
    }

    /// How long the beginning of a stream is remembered, in milliseconds: callers resume streams within the time limits of
    /// their routes, which count anew for each of their attempts.
    pub fn stream_retention_ms(&self) -> Millis {
        let routes = self.document.routes.iter();
        let resumable = routes.filter(|r| r.kind == RouteKind::ResumableStream);
        let longest = resumable.map(|r| r.timeout_ms).max().unwrap_or(0);
        longest.saturating_mul(2).clamp(MIN_STREAM_RETENTION_MS, MAX_STREAM_RETENTION_MS)
    }

    /// The share of an organisation, or the minimum of 1 if the document no longer declares it.
    pub fn share(&self, organisation: Id) -> f64 {
        f64::from(self.shares.get(&organisation).copied().unwrap_or(1))
    }
}

/// Returns the servers of each model and service, in one pass over the servers: their number times that of the models took most of
/// the time of an update of the list.
fn targets(document: &Document) -> Table<Id, Vec<Id>> {
    let models = document.models.iter().map(|m| (model_id(&m.name), Vec::new()));
    let services = document.services.iter().map(|v| (service_id(&v.name), Vec::new()));
    let mut targets: Table<Id, Vec<Id>> = models.chain(services).collect();
    for server in &document.servers {
        let models = server.engine.iter().flat_map(|e| &e.models).map(|m| model_id(m));
        let service = server.plain.iter().map(|p| service_id(&p.service));
        for target in models.chain(service) {
            let server = id(&server.name);
            // An engine that names a model twice still runs it once.
            if let Some(all) = targets.get_mut(&target)
                && all.last() != Some(&server)
            {
                all.push(server);
            }
        }
    }
    targets
}

/// The identifier of a model. Models and services have separate namespaces.
pub fn model_id(name: &str) -> Id {
    id(&format!("model/{name}"))
}

/// The identifier of a plain service, distinct from a model of the same name.
pub fn service_id(name: &str) -> Id {
    id(&format!("service/{name}"))
}
