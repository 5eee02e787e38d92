//! The offers that a request has got, and the bound on the quotes that an instance sends.

use crate::id::{Id, Millis};

/// The maximum number of owners that are asked for one request.
pub const MAX_CANDIDATES: usize = 6;
/// How long offers are awaited, in milliseconds.
pub const QUOTE_MS: Millis = 20;
/// The number of quotes that an instance sends in a second.
const QUOTES_PER_S: u64 = 20;
/// The time whose quotes may be sent at once, in milliseconds.
const MAX_CREDIT_MS: u64 = 1_000;

value! {
    /// A server whose cost was asked for.
    pub struct Candidate {
        /// The server.
        pub server: Id,
        /// The instance that was asked.
        pub owner: Id,
        /// The answer, if there is one.
        pub offer: Option<Answer>,
        /// Orders servers of equal cost.
        pub tie: u32,
    }

    /// The answer to a quote.
    pub struct Answer {
        /// The cost, in milliseconds; `None` if the server takes no work.
        pub cost_ms: Option<u32>,
        /// The part of the reading time that a kept prefix saves, in milliseconds.
        pub saved_ms: u32,
    }

    /// How a request was placed by quotes, for the log.
    pub struct Placed {
        /// The cost at its server, in milliseconds.
        pub cost_ms: u32,
        /// The reading time that a kept prefix saves, in milliseconds.
        pub saved_ms: u32,
        /// The lowest cost at another server.
        pub second_ms: Option<u32>,
        /// The usual slowness of the server, in percent.
        pub slowness: Option<u32>,
        /// The age of what is known of the server's speed, in milliseconds.
        pub age_ms: Millis,
    }
}

record! {
    /// The servers whose cost was asked for a request.
    pub struct Quoted {
        /// The servers.
        pub candidates: Vec<Candidate>,
        /// Until when offers are awaited; `None` after the decision.
        pub due: Option<Millis>,
        /// When the permit was first asked for.
        pub decided_at: Millis,
    }
}

impl Quoted {
    /// Records the answer of an owner. Returns whether it was awaited and is the last one.
    pub fn answer(&mut self, server: Id, owner: Id, answer: Answer) -> bool {
        let asked = |c: &&mut Candidate| (c.server, c.owner) == (server, owner);
        let Some(candidate) = self.candidates.iter_mut().find(asked) else { return false };
        candidate.offer = Some(answer);
        self.due.is_some() && self.candidates.iter().all(|c| c.offer.is_some())
    }

    /// The servers that take the request, each with its cost, the cheapest first.
    pub fn by_cost(&self) -> Vec<(Id, u32)> {
        let mut open: Vec<(u32, u32, Id)> = self
            .candidates
            .iter()
            .filter_map(|c| Some((c.offer?.cost_ms?, c.tie, c.server)))
            .collect();
        open.sort_unstable();
        open.into_iter().map(|(cost_ms, _, server)| (server, cost_ms)).collect()
    }
}

/// Bounds the quotes in a second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct QuoteRate {
    /// When the quotes sent so far are paid for.
    paid_until: Millis,
}

impl QuoteRate {
    /// Takes credit for a number of quotes. Returns whether there was enough.
    pub fn take(&mut self, quotes: usize, now: Millis) -> bool {
        let cost_ms = quotes as u64 * 1_000 / QUOTES_PER_S;
        let from = self.paid_until.max(now);
        if from + cost_ms > now + MAX_CREDIT_MS {
            return false;
        }
        self.paid_until = from + cost_ms;
        true
    }
}
