//! The budget that keeps retries from amplifying an outage.
//!
//! Retries of a target may be a share of the requests for it in a sliding window, and a slack beside
//! that which all instances divide. Every instance keeps to the share of its own requests and to its
//! part of the slack, so that the sum over all instances holds without a message between them. See
//! `docs/DESIGN.md`, "Retries".

use std::collections::VecDeque;

use crate::Table;
use crate::id::{Id, Millis};

/// The parts that a window is counted in. One more than the window has is kept, so that a retry
/// counts for at least a whole window.
const WINDOW_PARTS: u64 = 10;

value! {
    /// What the document allows.
    pub struct Allowance {
        /// The retries in percent of the requests.
        pub percent: u8,
        /// The slack of all instances together.
        pub slack: u32,
        /// The instances that divide the slack.
        pub instances: u32,
        /// The length of the window.
        pub window_ms: Millis,
    }

    #[derive(Default)]
    struct Part {
        index: u64,
        arrivals: u32,
        retries: u32,
    }
}

/// The requests and retries of one target, in parts of a window.
#[derive(Clone, Debug, Default, PartialEq)]
struct Window {
    parts: VecDeque<Part>,
}

/// The requests and retries of all targets.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Budget {
    targets: Table<Id, Window>,
}

impl Budget {
    /// Counts an arrival, which earns a part of a retry.
    pub fn record_arrival(&mut self, target: Id, now: Millis, allowance: Allowance) {
        self.targets.entry(target, Window::default).current_part(now, allowance).arrivals += 1;
    }

    /// Counts a generation that went on at another server. It is not refused for lack of budget, since it
    /// would be lost, but it arrives there like a retry, so it leaves fewer of them.
    pub fn record_move(&mut self, target: Id, now: Millis, allowance: Allowance) {
        self.targets.entry(target, Window::default).current_part(now, allowance).retries += 1;
    }

    /// Takes one retry out of the budget, if there is one.
    pub fn try_spend(&mut self, target: Id, now: Millis, allowance: Allowance) -> bool {
        let window = self.targets.entry(target, Window::default);
        window.current_part(now, allowance);
        let arrivals: u32 = window.parts.iter().skip(1).map(|p| p.arrivals).sum();
        let retries: u32 = window.parts.iter().map(|p| p.retries).sum();
        let earned = f64::from(arrivals) * f64::from(allowance.percent) / 100.0;
        let slack = f64::from(allowance.slack) / f64::from(allowance.instances.max(1));
        if f64::from(retries + 1) > earned + slack {
            return false;
        }
        window.current_part(now, allowance).retries += 1;
        true
    }
}

impl Window {
    /// The part of the present moment. Drops what is older than a window.
    fn current_part(&mut self, now: Millis, allowance: Allowance) -> &mut Part {
        let index = now / (allowance.window_ms / WINDOW_PARTS).max(1);
        if self.parts.back().is_none_or(|p| p.index < index) {
            self.parts.push_back(Part { index, ..Part::default() });
        }
        while self.parts.front().is_some_and(|p| p.index + WINDOW_PARTS < index) {
            self.parts.pop_front();
        }
        let last = self.parts.len() - 1;
        &mut self.parts[last]
    }
}
