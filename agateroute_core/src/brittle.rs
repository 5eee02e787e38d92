//! Servers that fall over if they have to turn away too many requests in a second, as they say in their answers.
//!
//! The owner of such a server keeps a part of its places free, counts what it turned away and what it may still turn away, and
//! lets the sum stay within what the server bears. A request that waits here is better off than one that is refused there.

use agateroute_proto::peers::WithdrawReason;

use crate::controller::Controller;
use crate::id::Millis;

/// The time for which refusals count, in milliseconds.
const WINDOW_MS: Millis = 1_000;
/// How long a permit may still end in a refusal for want of room, in milliseconds: a server without room says so at once.
const RISK_MS: Millis = 250;
/// The part of the declared places that is used, in percent.
const USED_PERCENT: usize = 90;
/// The time without a refusal after which one more place is tried, in milliseconds.
const RAISE_MS: Millis = 1_000;

record! {
    /// What the owner knows of a brittle server.
    pub struct Brittle {
        /// The refusals in a second that the server bears.
        pub bears: u32,
        /// When it turned requests away, oldest first.
        refused: Vec<Millis>,
        /// The places that it has had room for, and when that last changed.
        places: Option<(usize, Millis)>,
    }
}

impl Brittle {
    /// Creates the state of a server that bears so many refusals in a second.
    pub fn new(bears: u32) -> Brittle {
        Brittle { bears, refused: Vec::new(), places: None }
    }

    fn record_refusal(&mut self, running: usize, now: Millis) {
        self.refused.retain(|at| at + WINDOW_MS > now);
        self.refused.push(now);
        let known = self.places.map_or(usize::MAX, |(places, _)| places);
        self.places = Some((known.min(running.max(1)), now));
    }

    /// The requests that may run at once, of so many declared places.
    fn allowed(&self, places: usize, now: Millis) -> usize {
        let declared = (places * USED_PERCENT / 100).max(1);
        let raised =
            |(places, at): (usize, Millis)| places + (now.saturating_sub(at) / RAISE_MS) as usize;
        self.places.map_or(declared, raised).min(declared)
    }

    /// Whether one more request may be turned away, beside those that were and `at_risk` that still may be.
    fn bears_one_more(&self, at_risk: usize, now: Millis) -> bool {
        let refused = self.refused.iter().filter(|at| **at + WINDOW_MS > now).count();
        refused + at_risk < (self.bears as usize).max(1)
    }
}

impl Controller {
    /// Whether a brittle server may get one more request.
    pub(crate) fn brittle_has_room(&self, places: usize, now: Millis) -> bool {
        let Some(brittle) = &self.brittle else { return true };
        let recent = |at: Option<Millis>| at.is_some_and(|at| at + RISK_MS > now);
        let at_risk = self.running.iter().filter(|r| r.tokens == 0 && recent(r.granted_at)).count();
        self.running.len() < brittle.allowed(places, now) && brittle.bears_one_more(at_risk, now)
    }

    /// Counts a request that the server turned away.
    pub(crate) fn record_withdrawal(&mut self, reason: WithdrawReason, now: Millis) {
        let running = self.running.len();
        if let (Some(brittle), WithdrawReason::Refused) = (&mut self.brittle, reason) {
            brittle.record_refusal(running, now);
        }
    }

    pub(crate) fn set_brittle(&mut self, bears: u32) {
        match &mut self.brittle {
            Some(brittle) => brittle.bears = bears,
            None => self.brittle = Some(Brittle::new(bears)),
        }
    }
}
