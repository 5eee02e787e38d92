//! The requests that an admission controller knows: those in its queue and those that run.

use agateroute_proto::peers::{Ask, Hold};

use crate::estimate::Class;
use crate::id::{Id, Millis};

record! {
    /// A request in the queue of a controller.
    pub struct Waiting {
        /// The instance that holds the caller's connection and wants the permit.
        pub peer: Id,
        /// The message that requested the permit.
        pub ask: Ask,
        /// When it is denied because its target can no longer be met, on this instance's clock.
        pub deadline: Millis,
        /// When it misses the latency target of its route, on this instance's clock.
        pub target_at: Millis,
        /// When it was queued, on this instance's clock.
        pub queued_at: Millis,
    }

    /// A request that runs under a permit.
    pub struct Running {
        /// The instance that the permit was granted to.
        pub peer: Id,
        /// The identifier that the peer gave to the request.
        pub request: u64,
        /// The class used to estimate the output length.
        pub class: Class,
        /// The rank, 0 for the most urgent.
        pub rank: u8,
        /// The length of the prompt, in tokens.
        pub prompt: u32,
        /// The number of tokens generated according to the last progress report.
        pub tokens: u32,
        /// The caller's limit on output tokens; 0 if it set none.
        pub max_tokens: u32,
        /// The hash of the prompt's cacheable prefix; 0 if it is not known.
        pub prefix: u64,
        /// The caller's estimate of the output length, in tokens; 0 if it gave none.
        pub hint: u32,
        /// Whether its KV cache is still being copied to this server.
        pub moving: bool,
        /// The work charged to the organisation so far: tokens, or 1 for a plain call.
        pub charged: f64,
        /// Whether no other request may run on the server at the same time.
        pub alone: bool,
        /// When the permit was granted; `None` if a former owner did.
        pub granted_at: Option<Millis>,
        /// The longest pause between events for which its route is on time, in milliseconds; 0 if there is none.
        pub gap_ms: u32,
        /// The prompt tokens that the server had to read before its first event; 0 if that is not known.
        pub ahead: u32,
        /// When its first event was reported; 0 before, and if a former owner granted the permit.
        pub began_at: Millis,
        /// When its tokens were last reported.
        pub progress_at: Millis,
    }
}

impl Running {
    /// A request that a peer reports, under the permit of a former owner.
    pub(crate) fn reported(peer: Id, hold: &Hold) -> Running {
        Running {
            peer,
            request: hold.request,
            class: Class { model: hold.target, kind: hold.kind, organisation: hold.organisation },
            rank: hold.rank as u8,
            prompt: hold.prompt,
            tokens: hold.tokens,
            max_tokens: 0,
            prefix: 0,
            hint: 0,
            moving: false,
            charged: f64::from(hold.prompt),
            alone: false,
            granted_at: None,
            gap_ms: 0,
            ahead: 0,
            began_at: 0,
            progress_at: 0,
        }
    }
}
