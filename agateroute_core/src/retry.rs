//! Retry budget that keeps retries from amplifying an outage.
//!
//! For each target, a sliding window allows retries up to a percentage of the requests, plus a
//! slack that is divided among the instances. Each instance applies the percentage to its own
//! requests and uses its part of the slack, so the total stays within the budget without
//! coordination. See `docs/DESIGN.md`, "Retries".

use std::collections::VecDeque;

use crate::Table;
use crate::effect::Refusal;
use crate::entry::{DEFAULT_RETRY_MS, Running};
use crate::event::RequestId;
use crate::id::{Id, Millis};
use crate::state::State;
use crate::suspect::SuspectStatus;

/// The number of equal parts into which the window is divided. One more part is kept, so that a retry
/// counts for at least a whole window.
const WINDOW_PARTS: u64 = 10;

value! {
    /// Why a running request gets no further attempt.
    pub enum RetryDenial {
        /// It does not run here.
        NotRunning,
        /// Its route or the document allows no further attempt.
        Attempts,
        /// It has no time left.
        Deadline,
        /// Servers crashed under it, or under a part of its prompt, so it may not be sent again.
        Quarantined,
        /// No other server can be used.
        NoServer,
        /// The retry budget of its target is spent.
        Budget,
    }

    /// The configured limits on retries, and the number of instances that they apply to.
    pub struct Allowance {
        /// The allowed retries in percent of the requests.
        pub percent: u8,
        /// The number of retries allowed in addition, over all instances.
        pub slack: u32,
        /// The number of instances that divide the slack.
        pub instances: u32,
        /// The length of the window, in milliseconds.
        pub window_ms: Millis,
    }

    /// Counts for one part of the window; `index` is the number of parts since time 0.
    #[derive(Default)]
    struct WindowPart {
        index: u64,
        arrivals: u32,
        retries: u32,
    }
}

/// Requests and retries of one target in the recent parts of the window, oldest first.
#[derive(Clone, Debug, Default, PartialEq)]
struct Window {
    parts: VecDeque<WindowPart>,
}

/// The recent requests and retries of each target, which decide whether a retry is allowed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RetryBudget {
    targets: Table<Id, Window>,
}

impl RetryBudget {
    /// Counts a new request, which earns `percent` hundredths of a retry.
    pub fn record_arrival(&mut self, target: Id, now: Millis, allowance: Allowance) {
        self.targets.entry(target, Window::default).current_part(now, allowance).arrivals += 1;
    }

    /// Counts a retry without a check: one that was approved before, or a generation that continues on another server. Moves
    /// are never refused for lack of budget, since the generation would be lost, but they add load like retries.
    pub fn record_move(&mut self, target: Id, now: Millis, allowance: Allowance) {
        self.targets.entry(target, Window::default).current_part(now, allowance).retries += 1;
    }

    /// Whether the budget has one retry left.
    pub fn has_left(&self, target: Id, now: Millis, allowance: Allowance) -> bool {
        let current = allowance.part_index(now);
        let parts = self.targets.get(&target).map(|w| &w.parts);
        let parts = || parts.into_iter().flatten();
        // The oldest part may be partly outside the window, so its requests earn nothing.
        let inside = parts().filter(|p| p.index + WINDOW_PARTS > current);
        let arrivals: u32 = inside.map(|p| p.arrivals).sum();
        let kept = parts().filter(|p| p.index + WINDOW_PARTS >= current);
        let retries: u32 = kept.map(|p| p.retries).sum();
        let earned = f64::from(arrivals) * f64::from(allowance.percent) / 100.0;
        let slack = f64::from(allowance.slack) / f64::from(allowance.instances.max(1));
        f64::from(retries + 1) <= earned + slack
    }

    /// Takes one retry from the budget. Returns false if none is left.
    pub fn try_spend(&mut self, target: Id, now: Millis, allowance: Allowance) -> bool {
        let has_left = self.has_left(target, now, allowance);
        if has_left {
            self.record_move(target, now, allowance);
        }
        has_left
    }
}

impl Allowance {
    /// The number of parts of the window since time 0.
    fn part_index(&self, now: Millis) -> u64 {
        now / (self.window_ms / WINDOW_PARTS).max(1)
    }
}

impl State {
    /// Returns why a request gets no further attempt if the one that runs is lost now; `None` if it gets one.
    pub fn retry_denial(&self, request: RequestId) -> Option<RetryDenial> {
        let Some(running) = self.entry.running.get(&request) else {
            return Some(RetryDenial::NotRunning);
        };
        if running.retry == Some(Ok(())) {
            return None;
        }
        let spec = &running.spec;
        let began_all = spec.max_attempts > 0 && running.started_on + 1 >= spec.max_attempts;
        if began_all || running.attempts + 1 > self.catalog.routing().retries {
            return Some(RetryDenial::Attempts);
        }
        if self.now >= spec.deadline {
            return Some(RetryDenial::Deadline);
        }
        let status = self.suspects.status(spec.fingerprint, self.now, self.catalog.routing());
        if status == SuspectStatus::Quarantined || self.parts.is_blocked(&spec.parts, self.now) {
            return Some(RetryDenial::Quarantined);
        }
        let excluded = [&running.tried[..], &[running.server]].concat();
        if !self.reach.is_cut() && self.usable_servers(spec, &excluded).is_empty() {
            return Some(RetryDenial::NoServer);
        }
        let has_left = self.budget.has_left(spec.target, self.now, self.allowance());
        (!has_left).then_some(RetryDenial::Budget)
    }

    /// Decides whether a running attempt that is late may be given up for another one, and charges the budget for that. If it
    /// may not, it has to go on: its server may still answer.
    pub(crate) fn ask_retry(&mut self, request: RequestId) {
        let denial = self.retry_denial(request);
        let allowance = self.allowance();
        let Some(running) = self.entry.running.get_mut(&request) else { return };
        if denial.is_none() && running.retry != Some(Ok(())) {
            self.budget.record_move(running.spec.target, self.now, allowance);
        }
        running.retry = Some(denial.map_or(Ok(()), Err));
    }

    /// Returns what was decided when a further attempt was asked for.
    pub fn retry_decision(&self, request: RequestId) -> Result<(), RetryDenial> {
        let running = self.entry.running.get(&request);
        running.and_then(|r| r.retry).unwrap_or(Err(RetryDenial::NotRunning))
    }

    /// Retries a request on another server if `retry`, the deadline and the number of attempts allow it.
    /// An attempt that `reached` its server also needs retry budget, unless that was charged before it was given up.
    pub(crate) fn retry_elsewhere(&mut self, running: Running, retry: bool, reached: bool) {
        let request = running.spec.request;
        let attempts = running.attempts + 1;
        let in_time = self.now < running.spec.deadline;
        let allowed = retry && in_time && attempts <= self.catalog.routing().retries;
        let allowance = self.allowance();
        let target = running.spec.target;
        let is_charged = running.retry == Some(Ok(()));
        let may_spend =
            |s: &mut State| !reached || is_charged || s.budget.try_spend(target, s.now, allowance);
        if !allowed || !may_spend(self) {
            self.refuse(request, Refusal::Failed, DEFAULT_RETRY_MS);
            return;
        }
        let mut tried = running.tried;
        tried.push(running.server);
        self.place(running.spec, tried, attempts, running.started_on);
    }

    /// Returns the retry limits of the document; the slack is divided among the known instances.
    pub(crate) fn allowance(&self) -> Allowance {
        let routing = self.catalog.routing();
        Allowance {
            percent: routing.retry_percent,
            slack: routing.retry_slack,
            instances: self.membership.known_count() as u32,
            window_ms: routing.retry_window_ms,
        }
    }
}

impl Window {
    /// Returns the part that covers `now`. Drops parts older than the window.
    fn current_part(&mut self, now: Millis, allowance: Allowance) -> &mut WindowPart {
        let index = allowance.part_index(now);
        if self.parts.back().is_none_or(|p| p.index < index) {
            self.parts.push_back(WindowPart { index, ..WindowPart::default() });
        }
        while self.parts.front().is_some_and(|p| p.index + WINDOW_PARTS < index) {
            self.parts.pop_front();
        }
        let last = self.parts.len() - 1;
        &mut self.parts[last]
    }
}
