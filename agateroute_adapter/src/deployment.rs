//! The settings and adapters that a platform supplies, in one value.

use std::net::SocketAddr;

use agateroute_config::{Document, Settings};
use agateroute_core::evacuation::ZoneRow;
use agateroute_core::id::Millis;
use agateroute_core::notice::Named;
use agateroute_core::roster::Listing;
use agateroute_storage::http::DecodeEra;
use agateroute_storage::table::TableAdapter;

use crate::{CallerAdapter, FeedAdapter, RowChange, ServerAdapter};

/// The settings and adapters that a platform supplies to an instance.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// The instance settings, translated from the platform's format.
    pub settings: Settings,
    /// The addresses for callers of routes and for the load balancer's probe.
    pub listeners: Listeners,
    /// The address of the table service, as IP address and port.
    pub table_address: String,
    /// The time limits and the retry budget that the platform sets.
    pub bounds: Bounds,
    /// The adapter for callers' requests.
    pub callers: CallerAdapter,
    /// The adapter for backend servers.
    pub servers: ServerAdapter,
    /// The adapter for rows of the table service.
    pub rows: TableAdapter,
    /// The adapter for the change feed of a table.
    pub feed: FeedAdapter,
    /// Decodes the era of the table service from any of its responses.
    pub decode_era: DecodeEra,
    /// Whether the whole system starts for the first time, so that the table service can not have lost anything.
    pub first_start: bool,
    /// The table and the key of the operator's document.
    pub document_row: (&'static str, &'static str),
    /// Decodes the operator's document. The error is a message for operators.
    pub decode_document: fn(&[u8]) -> Result<OperatorDocument, String>,
    /// Decodes a row of the document's table that evacuates an availability zone, or no longer does. `None` if the row is
    /// about something else.
    pub decode_evacuation: fn(&RowChange) -> Option<ZoneRow>,
    /// Decodes from the value of an entry of the discovery table how long the server stays cold, in milliseconds. Apart from
    /// the rest of the entry, since it changes each time that the entry is written.
    pub decode_cold: fn(&[u8]) -> Named<Millis>,
    /// The table in which backend servers register themselves.
    pub discovery_table: &'static str,
    /// Decodes an entry of the discovery table from its key and value.
    pub decode_listing: fn(&str, &[u8]) -> Result<Listing, String>,
    /// Reads the table service's address and the bounds again. After an error the old ones stay in
    /// use.
    pub reload: fn() -> Result<(String, Bounds), String>,
}

/// The operator's document, translated. It lists no backend servers: those register themselves.
#[derive(Clone, Debug)]
pub struct OperatorDocument {
    /// The version number that the operator gave the document.
    pub version: u64,
    /// The document without backend servers.
    pub document: Document,
    /// The capacity of one backend server of each service, by the name of the service.
    pub capacities: Vec<(String, ServiceCapacity)>,
    /// Messages for operators about values that were ignored.
    pub warnings: Vec<String>,
}

/// The capacity of one backend server of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServiceCapacity {
    /// The memory for prompts and answers, in tokens; `None` for a plain server.
    pub memory_tokens: Option<u64>,
    /// The number of tokens in one event of a stream; 1 for a plain server.
    pub event_tokens: u32,
    /// Whether generations can move from one server to another with their memory.
    pub moves: bool,
    /// What holds for its servers while they are cold; `None` if they tolerate any load then.
    pub cold: Option<ColdStart>,
}

/// What holds for the cold servers of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdStart {
    /// How long a server is cold after its start, in milliseconds.
    pub start_ms: u64,
    /// The requests that a cold server tolerates in a second, in thousandths.
    pub per_s: u64,
}

/// The addresses on which an instance listens in addition to its peer and operator addresses.
#[derive(Clone, Copy, Debug)]
pub struct Listeners {
    /// The address for callers of routes.
    pub callers: SocketAddr,
    /// The address for the load balancer's readiness probe.
    pub ready: SocketAddr,
    /// The path of the readiness probe.
    pub ready_path: &'static str,
}

/// The time limits, the retry budget and the machine's limits that a platform sets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// The memory of the process, in bytes.
    pub memory: usize,
    /// The number of descriptors of the process, with those that are reserved for files.
    pub descriptors: usize,
    /// How long a revoked key may still be served, in milliseconds.
    pub revoke_ms: u64,
    /// How long a new document may take to come into force, in milliseconds.
    pub configure_ms: u64,
    /// How long a backend server that is listed as leaving may still get work, in milliseconds.
    pub drain_ms: u64,
    /// How long after an availability zone was evacuated its servers may still get requests, in milliseconds; `None` on a
    /// platform that evacuates none.
    pub evacuation_ms: Option<u64>,
    /// The factor by which the requests at a cold server may exceed what it tolerates in a second, in thousandths; `None` if
    /// there is no bound.
    pub cold_overshoot: Option<u64>,
    /// The requests that a cold server may receive in a second beyond that; `None` if there is no bound.
    pub cold_slack: Option<u32>,
    /// Whether servers crash when the requests that they hold exceed their memory.
    pub crash_on_overload: bool,
    /// How long an instance may take to stop, in milliseconds.
    pub grace_ms: u64,
    /// The retry budget, in percent of the requests.
    pub retry_percent: u8,
    /// The retries in addition to `retry_percent`, for each window and over all instances.
    pub retry_slack: u32,
    /// The length of the window of the retry budget, in milliseconds.
    pub retry_window_ms: u64,
}
