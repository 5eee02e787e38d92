//! The rate of requests to backend servers that are cold: they have started during traffic, and crash if they get too much.
//!
//! In no second may such a server receive more requests than a bound, from all instances together. The owner of the server
//! grants at most a part of the bound in any [`WINDOW_MS`], which covers a second and the time from a permit to the arrival
//! of its request. Parts and window are derived in `docs/design/cold-servers.md`.

use crate::Table;
use crate::id::{Id, Millis};

/// The time in which an owner grants at most its part of the bound, in milliseconds: a second, and one more for the way of
/// the permit and the connection to the server, which takes at most 400 ms.
pub const WINDOW_MS: Millis = 2_000;
/// The window if the bound is less than one request for each of two owners, in milliseconds. A new owner grants nothing in it,
/// so a former one that has not heard of it for up to [`WINDOW_MS`] does not grant in the same [`WINDOW_MS`].
pub const SINGLE_WINDOW_MS: Millis = 2 * WINDOW_MS;
/// The part of the bound for an owner, in percent. Two may take themselves for the first one while links are cut.
const OWNER_PERCENT: u64 = 38;
/// The part of the bound for an owner that acts in place of another, in percent. Two such beside two others reach the bound.
const ACTING_PERCENT: u64 = 12;
/// How long a server counts as cold at least, in milliseconds: its entry may have been written before it became cold, and
/// it writes one every 1.2 seconds.
const MIN_COLD_MS: Millis = 2_500;
/// A smaller extension of the time for which a server is cold is no news for others, in milliseconds.
const MIN_EXTENSION_MS: Millis = 1_000;
/// The longest time for which a server is taken to be cold, in milliseconds.
pub const MAX_COLD_MS: Millis = 3_600_000;

value! {
    /// What holds for the cold servers of a service.
    pub struct Terms {
        /// How long a server is cold after its start, in milliseconds.
        pub start_ms: Millis,
        /// The requests that a cold server may receive in any second, in thousandths.
        pub bound: u64,
    }

    struct Cold {
        since: Millis,
        until: Millis,
    }
}

impl Terms {
    /// Derives the terms from what a service tolerates in a second, in thousandths, and what the platform allows beyond:
    /// a factor in thousandths, and a number of requests. `None` if there is no bound.
    pub fn new(start_ms: Millis, per_s: u64, overshoot: u64, slack: u32) -> Option<Terms> {
        let bound = per_s * overshoot / 1_000 + u64::from(slack) * 1_000;
        (per_s > 0).then_some(Terms { start_ms: start_ms.min(MAX_COLD_MS), bound })
    }

    /// The requests that an owner may grant in any window. An owner that does not act for another grants one at least, if the
    /// bound allows a request at all.
    fn allowed(self, acting: bool) -> usize {
        let percent = if acting { ACTING_PERCENT } else { OWNER_PERCENT };
        let part = (self.bound * percent / 100_000) as usize;
        let least = usize::from(!acting && self.bound >= 1_000);
        part.max(least)
    }

    /// The window of an owner, in milliseconds.
    fn window_ms(self) -> Millis {
        if self.bound < 2_000 { SINGLE_WINDOW_MS } else { WINDOW_MS }
    }
}

/// What this instance knows of cold servers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ColdServers {
    /// The terms of each model or service that has some.
    terms: Table<Id, Terms>,
    rows: Table<Id, Cold>,
}

impl ColdServers {
    /// Sets the terms of the models and services. Without any, no server counts as cold.
    pub fn set_terms(&mut self, terms: Table<Id, Terms>) {
        self.terms = terms;
    }

    /// Whether any servers have terms, so that their entries matter.
    pub fn has_terms(&self) -> bool {
        !self.terms.is_empty()
    }

    /// The terms of the servers of a model or service.
    pub fn terms(&self) -> impl Iterator<Item = (Id, Terms)> {
        self.terms.iter().map(|(target, terms)| (*target, *terms))
    }

    /// How long a server stays cold, in milliseconds; 0 if it is not known to be cold.
    pub fn left_ms(&self, server: Id, now: Millis) -> Millis {
        self.rows.get(&server).map_or(0, |cold| cold.until.saturating_sub(now))
    }

    /// The cold servers, with the time for which they stay so in milliseconds.
    pub fn all(&self, now: Millis) -> impl Iterator<Item = (Id, Millis)> {
        self.rows.keys().map(move |server| (*server, self.left_ms(*server, now)))
    }

    /// Records that a server is cold for a time from now. `is_own` says that its entry or its start shows it, and not a
    /// message: messages take a while, and each would prolong the time a little. Returns whether others should hear of it.
    pub fn mark(&mut self, server: Id, left_ms: Millis, is_own: bool, now: Millis) -> bool {
        let until = now + left_ms.min(MAX_COLD_MS);
        let known = self.rows.get(&server).filter(|c| c.until > now);
        let extends = known.is_none_or(|c| c.until + MIN_EXTENSION_MS <= until);
        // A server that has become cold again may have written an entry in between that says that it is not.
        let since = known.filter(|_| !extends).map_or(now, |c| c.since);
        if extends || is_own && known.is_some_and(|c| c.until < until) {
            self.rows.insert(server, Cold { since, until });
        }
        extends
    }

    /// Records that the entry of a server says that it is not cold. Returns whether that is news.
    pub fn end(&mut self, server: Id, now: Millis) -> bool {
        let ends = self.rows.get(&server).is_some_and(|c| c.since + MIN_COLD_MS <= now);
        ends && self.rows.remove(&server).is_some_and(|c| c.until > now)
    }

    /// Forgets servers that are no longer cold.
    pub fn expire(&mut self, now: Millis) {
        self.rows.retain(|_, cold| cold.until > now);
    }
}

/// The permits that the owner of a server grants while it is cold.
#[derive(Clone, Debug, PartialEq)]
pub struct ColdLimit {
    terms: Terms,
    until: Millis,
    /// The time of the last update.
    now: Millis,
    /// When this instance became the owner. A former owner may have granted its part just before.
    owned_at: Millis,
    /// When the last permits were granted, oldest first. They are recorded before the server is cold as well.
    granted: Vec<Millis>,
}

impl ColdLimit {
    /// Creates the limit of a server that this instance owns since a time.
    pub fn new(terms: Terms, owned_at: Millis) -> ColdLimit {
        ColdLimit { terms, until: 0, now: owned_at, owned_at, granted: Vec::new() }
    }

    /// Sets the terms, and until when the server is cold.
    pub fn set(&mut self, terms: Terms, until: Millis) {
        (self.terms, self.until) = (terms, until);
    }

    /// Advances the time to which the limit applies.
    pub fn update(&mut self, now: Millis) {
        self.now = now;
    }

    /// How long the server stays cold, in milliseconds; 0 if it is not cold.
    pub fn left_ms(&self) -> Millis {
        self.until.saturating_sub(self.now)
    }

    /// Whether a permit may be granted now.
    pub fn has_room(&self, acting: bool) -> bool {
        self.left_ms() == 0 || self.free(acting) > 0
    }

    fn free(&self, acting: bool) -> usize {
        let window_ms = self.terms.window_ms();
        // A former owner may have granted its part just before.
        let acting = acting || self.now < self.owned_at + window_ms;
        let recent = self.granted.iter().filter(|at| **at + window_ms > self.now).count();
        self.terms.allowed(acting).saturating_sub(recent)
    }

    /// Records a request that was permitted, or sent without a permit of its own.
    pub fn record(&mut self, now: Millis) {
        let window_ms = self.terms.window_ms();
        self.granted.retain(|at| *at + window_ms > now);
        self.granted.push(now);
    }

    /// Takes back a permit under which nothing was sent, by the time at which it was granted: one that was granted before the
    /// window must not take the place of another.
    pub fn give_back(&mut self, granted_at: Millis) {
        if let Some(at) = self.granted.iter().position(|at| *at == granted_at) {
            self.granted.remove(at);
        }
    }

    /// The time until so many further requests are granted, in milliseconds.
    pub fn wait_ms(&self, requests: f64, acting: bool) -> f64 {
        let left = self.left_ms() as f64;
        let missing = requests - self.free(acting) as f64;
        let allowed = self.terms.allowed(acting);
        if left == 0.0 || missing <= 0.0 || allowed == 0 {
            return if missing > 0.0 { left } else { 0.0 };
        }
        ((missing / allowed as f64).ceil() * self.terms.window_ms() as f64).min(left)
    }
}
