//! What is sent to a backend server, and what its answers say.

use std::time::Duration;

use http::{HeaderMap, response};

/// The functions that speak a backend server's wire format.
#[derive(Clone, Copy, Debug)]
pub struct ServerAdapter {
    /// The header fields for a backend server, made from those of the caller.
    pub headers: fn(&HeaderMap, &Order<'_>) -> HeaderMap,
    /// What the head of an answer says.
    pub judge: fn(&response::Parts) -> Judgement,
}

/// What a backend server is told about a request beside what the caller sent.
#[derive(Clone, Copy, Debug)]
pub struct Order<'a> {
    /// The name of the server that the request is meant for.
    pub server: &'a str,
    /// The organisation, where the request has one.
    pub organisation: Option<&'a str>,
    /// How long the server may work on it, in milliseconds.
    pub left_ms: Option<u64>,
    /// The urgency, 0 for the most urgent.
    pub rank: u8,
    /// The last event that the caller has, where a stream is continued.
    pub last_event: Option<u64>,
}

/// What the head of an answer says.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Judgement {
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
    pub keeps: Option<Duration>,
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
