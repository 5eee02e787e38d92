//! Composes the active document on a platform from the operator's document, the listed servers and the
//! platform's bounds, and defines the form in which peers exchange it.

use agateroute_adapter::Bounds;
use agateroute_adapter::deployment::{ColdStart, OperatorDocument, ServiceCapacity};
use agateroute_config::Document;
use agateroute_config::routing::Routing;
use agateroute_config::server::{Engine, Fencing, Plain, Server};
use agateroute_core::Id;
use agateroute_core::catalog::{model_id, service_id};
use agateroute_core::cold::Terms;
use agateroute_core::roster::{Listing, Roster};
use serde::{Deserialize, Serialize};

/// How long a peer may be silent before it counts as gone, in milliseconds: four heartbeats, since a network
/// that loses packets delays one or two.
const PEER_TIMEOUT_MS: u64 = 1_000;
/// The retries of a refused or failed request on other backend servers.
const MAX_RETRIES: u32 = 3;
/// The prompt tokens that one engine may have unread at a time: about a second of prefill between the decode
/// steps of running generations.
const MAX_UNREAD_TOKENS: u32 = 6_500;
/// The crashes under a request after which it is quarantined. Two may be a coincidence.
const QUARANTINE_CRASHES: u32 = 3;

/// Returns the declared document with the listed servers and the platform's bounds.
pub fn compose(declared: &OperatorDocument, roster: &Roster, bounds: &Bounds) -> Document {
    let capacity = |service: &str| declared.capacities.iter().find(|(name, _)| name == service);
    let server = |listing: &Listing| {
        let (_, capacity) = capacity(&listing.service)?;
        Some(listed_server(listing, capacity))
    };
    let routing = Routing {
        retry_percent: bounds.retry_percent,
        retry_slack: bounds.retry_slack,
        retry_window_ms: bounds.retry_window_ms,
        retries: MAX_RETRIES,
        peer_ms: PEER_TIMEOUT_MS,
        fallback_percent: 100,
        quarantine_crashes: QUARANTINE_CRASHES,
        suspects_alone: false,
        unread_tokens: MAX_UNREAD_TOKENS,
        plan_capacity: bounds.crash_on_overload,
        ..Routing::default()
    };
    let servers = roster.ready().filter_map(server).collect();
    Document { servers, routing, ..declared.document.clone() }
}

/// The terms for cold servers, by the model or plain service that they run.
pub fn cold_terms(declared: &OperatorDocument, bounds: &Bounds) -> Vec<(Id, Terms)> {
    let (Some(overshoot), Some(slack)) = (bounds.cold_overshoot, bounds.cold_slack) else {
        return Vec::new();
    };
    let terms = |(name, capacity): &(String, ServiceCapacity)| {
        let cold = capacity.cold?;
        let target = match declared.document.model(name) {
            Some(_) => model_id(name),
            None => service_id(name),
        };
        Some((target, Terms::new(cold.start_ms, cold.per_s, overshoot, slack)?))
    };
    declared.capacities.iter().filter_map(terms).collect()
}

fn listed_server(listing: &Listing, capacity: &ServiceCapacity) -> Server {
    let service = listing.service.clone();
    let engine = capacity.memory_tokens.map(|memory_tokens| Engine {
        models: vec![service.clone()],
        memory_tokens,
        batch: listing.slots.max(1),
    });
    let plain = match engine {
        Some(_) => None,
        None => Some(Plain { service, slots: listing.slots.max(1), adaptive: false }),
    };
    Server {
        name: listing.name.clone(),
        address: listing.address.clone(),
        zone: listing.zone.clone(),
        version: listing.version.clone(),
        start_ms: listing.start_ms,
        fencing: Fencing::Ignores,
        engine,
        plain,
    }
}

/// The declared document as peers exchange it in JSON.
#[derive(Debug, Deserialize, Serialize)]
pub struct PeerDocument {
    /// The document without servers.
    document: Document,
    /// For each service: memory tokens, tokens in one event, and whether generations can move.
    capacities: Vec<(String, Option<u64>, u32, bool)>,
    /// For each service whose servers tolerate little while they are cold: how long that is, in milliseconds, and how many
    /// requests a second, in thousandths. Absent from peers that do not know cold servers.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    cold: Vec<(String, u64, u64)>,
}

/// A listed server as peers exchange it in JSON.
#[derive(Debug, Deserialize, Serialize)]
pub struct PeerListing {
    name: String,
    service: String,
    address: String,
    zone: String,
    /// Absent from peers that do not know versions.
    #[serde(default)]
    version: String,
    slots: u32,
    born: u64,
}

impl PeerDocument {
    /// Converts the document that this instance has read or fetched.
    pub fn new(declared: &OperatorDocument) -> PeerDocument {
        let capacity = |(name, c): &(String, ServiceCapacity)| {
            (name.clone(), c.memory_tokens, c.event_tokens, c.moves)
        };
        let cold = |(name, c): &(String, ServiceCapacity)| {
            c.cold.map(|cold| (name.clone(), cold.start_ms, cold.per_s))
        };
        PeerDocument {
            document: Document { servers: Vec::new(), ..declared.document.clone() },
            capacities: declared.capacities.iter().map(capacity).collect(),
            cold: declared.capacities.iter().filter_map(cold).collect(),
        }
    }

    /// Converts the document of a peer, which has this version.
    pub fn into_declared(self, version: u64) -> OperatorDocument {
        let known = self.cold;
        let capacity = |(name, memory_tokens, event_tokens, moves)| {
            let cold = known.iter().find(|(service, _, _)| *service == name);
            let cold =
                cold.map(|(_, start_ms, per_s)| ColdStart { start_ms: *start_ms, per_s: *per_s });
            (name, ServiceCapacity { memory_tokens, event_tokens, moves, cold })
        };
        let capacities = self.capacities.into_iter().map(capacity).collect();
        OperatorDocument { version, document: self.document, capacities, warnings: Vec::new() }
    }
}

impl PeerListing {
    /// Converts the listing of a server that takes new work.
    pub fn new(listing: &Listing) -> PeerListing {
        PeerListing {
            name: listing.name.clone(),
            service: listing.service.clone(),
            address: listing.address.clone(),
            zone: listing.zone.clone(),
            version: listing.version.clone(),
            slots: listing.slots,
            born: listing.start_ms,
        }
    }

    /// Converts the listing of a peer, which sends only servers that take new work.
    pub fn into_listing(self) -> Listing {
        Listing {
            name: self.name,
            service: self.service,
            address: self.address,
            zone: self.zone,
            version: self.version,
            slots: self.slots,
            ready: true,
            start_ms: self.born,
            writes: 0,
        }
    }
}
