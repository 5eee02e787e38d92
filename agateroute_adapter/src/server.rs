//! What is sent to a backend server, and what its answers say.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode, response};
use http_body_util::Full;

/// The functions that speak a backend server's wire format.
#[derive(Clone, Copy, Debug)]
pub struct ServerAdapter {
    /// The header fields for a backend server, made from those of the caller.
    pub headers: fn(&HeaderMap, &AttemptInfo<'_>) -> HeaderMap,
    /// What the head of an answer says.
    pub read_head: fn(&response::Parts) -> ResponseInfo,
    /// Encodes the order to copy the memory of a generation to another server.
    pub copy: fn(&CopyRequest<'_>) -> Request<Full<Bytes>>,
    /// Decodes the answer to it.
    pub read_copy: fn(StatusCode, &[u8]) -> CopyResult,
}

/// The order to copy the memory of a generation to another server.
#[derive(Clone, Copy, Debug)]
pub struct CopyRequest<'a> {
    /// The id of the request that runs.
    pub request: &'a str,
    /// The address of the destination.
    pub to: &'a str,
    /// Whether the generation stops first, so that the copy is the last.
    pub last: bool,
}

/// What came of a copy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CopyResult {
    /// The destination holds it under a handle.
    Copied {
        /// The handle.
        handle: String,
    },
    /// No such generation runs there.
    Missing,
    /// Another copy of it is being made.
    Busy,
    /// The destination has no room or is not reached. The source keeps the memory under the handle,
    /// where there is one.
    NoRoom {
        /// The handle.
        handle: Option<String>,
    },
    /// The answer is of no use.
    Failed,
}

/// What a backend server is told about a request beside what the caller sent.
#[derive(Clone, Copy, Debug)]
pub struct AttemptInfo<'a> {
    /// The name of the server that the request is meant for.
    pub server: &'a str,
    /// The organisation, where the request has one.
    pub organisation: Option<&'a str>,
    /// How long the server may work on it, in milliseconds.
    pub remaining_ms: Option<u64>,
    /// The urgency, 0 for the most urgent.
    pub rank: u8,
    /// The last event that the caller has, where a stream is continued.
    pub last_event: Option<u64>,
    /// The address of the server that the memory was copied from, and the handle of the copy, where a
    /// generation goes on with it.
    pub memory: Option<(&'a str, &'a str)>,
}

/// What the head of an answer says.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseInfo {
    /// The id of the request that is answered.
    pub id: Option<String>,
    /// The server states that it has not run the request.
    pub refused: bool,
    /// Another server has the address now; it has not run the request.
    pub misdirected: bool,
    /// The server is leaving, or closes this connection for another reason.
    pub closing: bool,
    /// The body is encoded, so it is not the body of the server.
    pub encoded: bool,
    /// How long the server keeps the connection while it is idle.
    pub keep_alive: Option<Duration>,
    /// The requests that the server works on, those that wait there, and how many it works on at once.
    pub load: Option<ServerLoad>,
}

/// The load of a server as its answer tells it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerLoad {
    /// The requests that it works on.
    pub running: u32,
    /// The requests that wait there.
    pub waiting: u32,
    /// The requests that it works on at once.
    pub slots: u32,
}
