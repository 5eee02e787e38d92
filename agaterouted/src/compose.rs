//! The document that comes into force on a platform: what the operator declares, what the servers list and
//! what the platform bounds; and the form in which peers pass it on.

use agateroute_adapter::Bounds;
use agateroute_adapter::deployment::{OperatorDocument, ServiceCapacity};
use agateroute_config::Document;
use agateroute_config::routing::Routing;
use agateroute_config::server::{Engine, Fencing, Plain, Server};
use agateroute_core::roster::{Listing, Roster};
use serde::{Deserialize, Serialize};

/// How long a peer may be silent before it counts as gone, in milliseconds: four heartbeats, of which a
/// network that loses packets delays one or two.
const PEER_TIMEOUT_MS: u64 = 1_000;
/// How often a refused or failed request is tried on another backend server.
const MAX_RETRIES: u32 = 3;
/// The prompts that one engine is given to read at a time, in tokens: about a second of reading between
/// the steps of what runs there.
const MAX_UNREAD_TOKENS: u32 = 6_500;
/// The crashes under a request after which it is refused. The third may be coincidence no more.
const QUARANTINE_CRASHES: u32 = 3;

/// The declared document with the listed servers.
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
        ..Routing::default()
    };
    let servers = roster.ready().filter_map(server).collect();
    Document { servers, routing, ..declared.document.clone() }
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
        fencing: Fencing::Ignores,
        engine,
        plain,
    }
}

/// A document as peers pass it on.
#[derive(Debug, Deserialize, Serialize)]
pub struct PeerDocument {
    /// The document without its servers.
    document: Document,
    /// What the servers of each service can take.
    capacities: Vec<(String, Option<u64>, u32, bool)>,
}

/// A listed server as peers pass it on.
#[derive(Debug, Deserialize, Serialize)]
pub struct PeerListing {
    name: String,
    service: String,
    address: String,
    zone: String,
    slots: u32,
    born: u64,
}

impl PeerDocument {
    /// What this instance passes on.
    pub fn new(declared: &OperatorDocument) -> PeerDocument {
        let capacity = |(name, c): &(String, ServiceCapacity)| {
            (name.clone(), c.memory_tokens, c.event_tokens, c.moves)
        };
        PeerDocument {
            document: Document { servers: Vec::new(), ..declared.document.clone() },
            capacities: declared.capacities.iter().map(capacity).collect(),
        }
    }

    /// The document in the form that the platform declares it in.
    pub fn into_declared(self, version: u64) -> OperatorDocument {
        let capacity = |(name, memory_tokens, event_tokens, moves)| {
            (name, ServiceCapacity { memory_tokens, event_tokens, moves })
        };
        let capacities = self.capacities.into_iter().map(capacity).collect();
        OperatorDocument { version, document: self.document, capacities }
    }
}

/// The listed servers that take new work, as peers pass them on.
pub fn peer_listings(roster: &Roster) -> Vec<PeerListing> {
    let listing = |l: &Listing| PeerListing {
        name: l.name.clone(),
        service: l.service.clone(),
        address: l.address.clone(),
        zone: l.zone.clone(),
        slots: l.slots,
        born: l.start_ms,
    };
    roster.ready().map(listing).collect()
}

impl PeerListing {
    /// The listing itself.
    pub fn into_listing(self) -> Listing {
        Listing {
            name: self.name,
            service: self.service,
            address: self.address,
            zone: self.zone,
            slots: self.slots,
            ready: true,
            start_ms: self.born,
        }
    }
}
