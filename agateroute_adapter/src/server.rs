//! The messages of a backend server: header fields, response heads and copies of memory.

use std::time::Duration;

use agateroute_core::notice::{Named, Notice};
use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode, response};
use http_body_util::Full;

/// The functions that encode and decode a backend server's wire format.
#[derive(Clone, Copy, Debug)]
pub struct ServerAdapter {
    /// Builds the header fields for a backend server from those of the caller.
    pub encode_headers: fn(&HeaderMap, &AttemptInfo<'_>) -> HeaderMap,
    /// Decodes the head of a response.
    pub decode_head: fn(&response::Parts) -> ResponseInfo,
    /// Encodes the request to copy the memory of a generation to another server.
    pub encode_copy: fn(&CopyRequest<'_>) -> Request<Full<Bytes>>,
    /// Decodes the response to a copy request.
    pub decode_copy: fn(StatusCode, &[u8]) -> CopyResult,
}

/// A request to copy the memory of a generation to another server.
#[derive(Clone, Copy, Debug)]
pub struct CopyRequest<'a> {
    /// The id of the request that runs the generation.
    pub request: &'a str,
    /// The address of the destination server.
    pub to: &'a str,
    /// Whether the generation stops before the copy, which makes this copy the last one.
    pub last: bool,
}

/// The result of a copy request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CopyResult {
    /// The destination holds the copy.
    Copied {
        /// Names the copy at the destination.
        handle: String,
    },
    /// The source does not run the generation.
    Missing,
    /// Another copy of the generation is in progress.
    Busy,
    /// The destination has no room or is unreachable. If there is a handle, the source keeps the
    /// memory under it.
    NoRoom {
        /// Names the memory at the source.
        handle: Option<String>,
    },
    /// The response has another status, or no handle.
    Failed,
}

/// The data of one attempt that the header fields for a backend server carry.
#[derive(Clone, Copy, Debug)]
pub struct AttemptInfo<'a> {
    /// The name of the server that the request is addressed to.
    pub server: &'a str,
    /// The organisation, if the request belongs to one.
    pub organisation: Option<&'a str>,
    /// The time that is left for the server to respond, in milliseconds.
    pub remaining_ms: Option<u64>,
    /// The index of the rank, 0 for the most urgent.
    pub rank: u8,
    /// The id of the last event that the caller received, if a stream is continued.
    pub last_event: Option<u64>,
    /// The address of the server that the memory was copied from and the handle of the copy, if a
    /// generation continues from a copy.
    pub memory: Option<(&'a str, &'a str)>,
}

/// The decoded head of a response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseInfo {
    /// The id of the request that the response belongs to.
    pub id: Option<String>,
    /// Whether the server states that it has not run the request.
    pub refused: bool,
    /// Whether another server has the address now; it has not run the request.
    pub misdirected: bool,
    /// Whether the server closes this connection, for example because it is leaving.
    pub closing: bool,
    /// Whether the body has a content encoding. The servers use none, so it can't be their body.
    pub encoded: bool,
    /// How long the server keeps the connection open while it is idle.
    pub keep_alive: Option<Duration>,
    /// The load of the server when it responded.
    pub load: Option<ServerLoad>,
    /// What the server says of its needs.
    pub notice: Notice,
}

/// The load of a server, as reported in a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerLoad {
    /// The number of requests that run on the server.
    pub running: u32,
    /// The number of requests queued at the server.
    pub waiting: u32,
    /// The maximum number of requests that run at once.
    pub slots: u32,
    /// How long work takes there at the moment, in percent of the usual time.
    pub slowness: Named<u32>,
}
