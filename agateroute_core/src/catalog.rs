//! The document in force, compiled for fast look-up by identifier.

use std::sync::Arc;

use agateroute_config::Document;
use agateroute_config::routing::Routing;

use crate::Table;
use crate::id::{Id, id};

record! {
    /// A backend server as admission sees it.
    pub struct ServerInfo {
        /// The declared name.
        pub name: String,
        /// What the server can take.
        pub capacity: Capacity,
        /// The availability zone.
        pub zone: Id,
    }

    /// What a rank promises.
    pub struct RankInfo {
        /// The target for the first token, in milliseconds.
        pub first_ms: u64,
        /// The target for a plain answer, in milliseconds.
        pub answer_ms: u64,
        /// The share that the rank keeps in a flood of more urgent work, 0 to 1.
        pub floor: f64,
    }

    /// The document in force.
    pub struct Catalog {
        /// The document itself.
        pub document: Arc<Document>,
        /// The backend servers by identifier.
        pub servers: Table<Id, ServerInfo>,
        /// The backend servers of each model and plain service.
        pub targets: Table<Id, Vec<Id>>,
        /// What each organisation is owed, relative to the others.
        pub shares: Table<Id, u32>,
        /// The ranks by falling urgency.
        pub ranks: Vec<RankInfo>,
    }
}

value! {
    /// What a backend server can take.
    pub enum Capacity {
        /// A model engine: its memory in tokens, and its largest batch.
        Engine {
            /// The memory for prompts and answers, in tokens.
            memory: u64,
            /// The most generations in one batch.
            batch: u32,
        },
        /// A plain server.
        Slots {
            /// The most calls at once.
            slots: u32,
            /// Whether the limit in use adapts below that.
            adaptive: bool,
        },
    }
}

impl Catalog {
    /// Compiles a document that has passed its checks.
    pub fn new(document: Arc<Document>) -> Catalog {
        let servers = document.servers.iter().map(|s| {
            let capacity = match (&s.engine, &s.plain) {
                (Some(e), _) => Capacity::Engine { memory: e.memory_tokens, batch: e.batch },
                (None, Some(p)) => Capacity::Slots { slots: p.slots, adaptive: p.adaptive },
                (None, None) => Capacity::Slots { slots: 1, adaptive: true },
            };
            (id(&s.name), ServerInfo { name: s.name.clone(), capacity, zone: id(&s.zone) })
        });
        let models = document.models.iter().map(|m| {
            let runs = document.servers.iter().filter(|s| s.runs_model(&m.name));
            (model_id(&m.name), runs.map(|s| id(&s.name)).collect())
        });
        let services = document.services.iter().map(|v| {
            let runs = document.servers.iter().filter(|s| s.runs_service(&v.name));
            (service_id(&v.name), runs.map(|s| id(&s.name)).collect())
        });
        let ranks = document.ranks.iter().map(|r| RankInfo {
            first_ms: r.first_token_ms,
            answer_ms: r.answer_ms,
            floor: f64::from(r.floor_percent) / 100.0,
        });
        Catalog {
            servers: servers.collect(),
            targets: models.chain(services).collect(),
            shares: document.organisations.iter().map(|o| (id(&o.name), o.share)).collect(),
            ranks: ranks.collect(),
            document: document.clone(),
        }
    }

    /// The constants of routing.
    pub fn routing(&self) -> &Routing {
        &self.document.routing
    }

    /// What an organisation is owed. Organisations that are no longer declared count as owed the least.
    pub fn share(&self, organisation: Id) -> f64 {
        f64::from(self.shares.get(&organisation).copied().unwrap_or(1))
    }
}

/// The identifier of a model. Models and services have separate name spaces.
pub fn model_id(name: &str) -> Id {
    id(&format!("model/{name}"))
}

/// The identifier of a plain service.
pub fn service_id(name: &str) -> Id {
    id(&format!("service/{name}"))
}
