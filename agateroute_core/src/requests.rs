//! The requests of this instance's callers that have not ended.

use crate::effect::Refusal;
use crate::event::{RequestId, RequestSpec};
use crate::id::{Id, Millis};
use crate::quotes::{Placed, Quoted};
use crate::retry::RetryDenial;

value! {
    /// When a server is expected to have room for a request that its owner denied.
    pub struct Room {
        /// The server.
        pub server: Id,
        /// The instance that denied the request.
        pub owner: Id,
        /// The time.
        pub at: Millis,
    }
}

record! {
    /// A request that waits for a permit.
    pub struct Pending {
        /// The request as it arrived.
        pub spec: RequestSpec,
        /// Whether the request must run alone on its server.
        pub alone: bool,
        /// The servers from which a permit was requested, each with its owner.
        pub requested: Vec<(Id, Id)>,
        /// The servers that are excluded from further attempts.
        pub tried: Vec<Id>,
        /// When a permit is requested from a further server.
        pub widen_at: Millis,
        /// The current interval between two such permit requests, in milliseconds.
        pub widen_ms: Millis,
        /// The last denial, with the suggested retry delay in milliseconds.
        pub denied: Option<(Refusal, u32)>,
        /// When the owners that denied the request expect room for it, if they told that.
        pub rooms: Vec<Room>,
        /// The number of failed attempts on backend servers.
        pub attempts: u32,
        /// The number of backend servers that may have begun the request.
        pub started_on: u32,
        /// For a migration: the running request that is moved, and its current server.
        pub move_source: Option<(RequestId, Id)>,
        /// The servers whose cost was asked for; `None` if it is placed without quotes.
        pub quoted: Option<Quoted>,
    }

    /// A request that runs under a permit.
    pub struct Running {
        /// The request as it arrived.
        pub spec: RequestSpec,
        /// The backend server that runs the request.
        pub server: Id,
        /// The software version of the server when the permit was granted.
        pub version: Id,
        /// When the permit was granted.
        pub started_at: Millis,
        /// The instance that granted the permit, or has taken the server over since.
        pub owner: Id,
        /// Whether the server began the answer.
        pub began: bool,
        /// When the first token of the answer on this server arrived.
        pub first_token: Option<Millis>,
        /// When the last token arrived.
        pub last_token: Millis,
        /// Whether the answer went on for long enough to show that its prompt crashes no server.
        pub survived: bool,
        /// The number of tokens generated so far.
        pub tokens: u32,
        /// The number of tokens last reported to the owner.
        pub reported_tokens: u32,
        /// When they were reported.
        pub reported_at: Millis,
        /// The figure of the server's answer that its owner has not got yet.
        pub slowness: Option<u32>,
        /// The longest pause between events that came from the server, in milliseconds.
        pub gap_ms: u32,
        /// How it was placed, if by quotes.
        pub placed: Option<Placed>,
        /// What was decided when a further attempt was asked for while this one went on.
        pub retry: Option<Result<(), RetryDenial>>,
        /// The number of attempts that failed before this one.
        pub attempts: u32,
        /// The number of earlier backend servers that may have begun the request.
        pub started_on: u32,
        /// The servers that are excluded from further attempts.
        pub tried: Vec<Id>,
    }
}

impl Pending {
    /// Whether it waits for the answers to quotes.
    pub fn awaits_offers(&self) -> bool {
        self.quoted.as_ref().is_some_and(|q| q.due.is_some())
    }
}
