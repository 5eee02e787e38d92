//! Everything that a platform supplies, in one value.

use std::net::SocketAddr;

use agateroute_config::{Document, Settings};
use agateroute_core::roster::Listing;
use agateroute_storage::table::TableAdapter;

use crate::{CallerAdapter, FeedAdapter, ServerAdapter};

/// What a platform supplies to an instance.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// The settings in the product's own form.
    pub settings: Settings,
    /// Where the instance listens for callers of routes and for the balancer.
    pub listeners: Listeners,
    /// The address of the table service, as IP address and port.
    pub table: String,
    /// The bounds that the platform sets.
    pub bounds: Bounds,
    /// How callers' requests are read.
    pub callers: CallerAdapter,
    /// How backend servers are spoken to.
    pub servers: ServerAdapter,
    /// How rows are written and read.
    pub rows: TableAdapter,
    /// How changes of a table are followed.
    pub feed: FeedAdapter,
    /// The table and key of the operator's document.
    pub document_row: (&'static str, &'static str),
    /// Decodes the operator's document.
    pub document: fn(&[u8]) -> Result<OperatorDocument, String>,
    /// The table that backend servers list themselves in.
    pub discovery_table: &'static str,
    /// Decodes an entry of the discovery table.
    pub listing: fn(&str, &[u8]) -> Result<Listing, String>,
    /// Reads the settings again. An error leaves those in force.
    pub reload: fn() -> Result<(String, Bounds), String>,
}

/// The operator's document in the product's form. It names no backend servers.
#[derive(Clone, Debug)]
pub struct OperatorDocument {
    /// The version.
    pub version: u64,
    /// The document.
    pub document: Document,
    /// What the backend servers of each service can take.
    pub capacities: Vec<(String, ServiceCapacity)>,
}

/// What a backend server of a service can take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServiceCapacity {
    /// The memory for prompts and answers, in tokens; none for a plain server.
    pub memory_tokens: Option<u64>,
    /// The tokens in one event of a stream.
    pub event_tokens: u32,
    /// Whether generations can move from one server to another.
    pub moves: bool,
}

/// Where an instance listens beside its peer and operator addresses.
#[derive(Clone, Copy, Debug)]
pub struct Listeners {
    /// For callers of routes.
    pub callers: SocketAddr,
    /// For the balancer's question whether the instance is ready.
    pub ready: SocketAddr,
    /// The path of that question.
    pub ready_path: &'static str,
}

/// The bounds that a platform sets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// How long a withdrawn key may still be served, in milliseconds.
    pub revoke_ms: u64,
    /// How long a document may take to be in force, in milliseconds.
    pub configure_ms: u64,
    /// How long after it is listed as leaving a backend server may still get work, in milliseconds.
    pub drain_ms: u64,
    /// How long an instance may take to stop, in milliseconds.
    pub grace_ms: u64,
    /// The retries in percent of the requests.
    pub retry_percent: u8,
    /// The retries beside that share, for each window and over all instances.
    pub retry_slack: u32,
    /// The length of that window, in milliseconds.
    pub retry_window_ms: u64,
}
