//! The adaptive limit of calls at once on a plain server.
//!
//! The limit grows by one for each limit's worth of answers in good time and shrinks by a tenth when
//! answers take more than twice the shortest time seen lately.

use crate::id::Millis;

/// The factor over the shortest time at which a server counts as crowded.
const CROWDED_FACTOR: f64 = 2.0;
/// Time that is never held against a server, in milliseconds.
const SLACK_MS: f64 = 5.0;
/// The factor by which a crowded limit shrinks.
const SHRINK_FACTOR: f64 = 0.9;
/// The weight of the newest answer in the usual time.
const TYPICAL_WEIGHT: f64 = 0.1;
/// The growth of the shortest time with each answer, which lets it follow a slower server.
const FORGET_FACTOR: f64 = 1.002;

/// An adaptive limit.
#[derive(Clone, Debug, PartialEq)]
pub struct Limit {
    limit: f64,
    most: f64,
    adaptive: bool,
    shortest: Option<f64>,
    typical: f64,
    shrunk: Millis,
}

impl Limit {
    /// A limit that starts at half of the most that is declared.
    pub fn new(most: u32) -> Limit {
        let most = f64::from(most.max(1));
        let limit = (most / 2.0).max(1.0);
        Limit { limit, most, adaptive: true, shortest: None, typical: 0.0, shrunk: 0 }
    }

    /// A limit that stays at what the server itself declares.
    pub fn fixed(most: u32) -> Limit {
        let limit = f64::from(most.max(1));
        Limit { limit, adaptive: false, ..Limit::new(most) }
    }

    /// The calls allowed at once.
    pub fn allowed(&self) -> usize {
        self.limit as usize
    }

    /// How long an answer usually takes, in milliseconds.
    pub fn typical_ms(&self) -> u64 {
        self.typical as u64
    }

    /// Learns from an answer that took `took_ms` while `running` calls were in progress.
    pub fn learn(&mut self, now: Millis, took_ms: u32, running: usize) {
        let took = f64::from(took_ms);
        self.typical += TYPICAL_WEIGHT * (took - self.typical);
        let shortest = self.shortest.map_or(took, |s| (s * FORGET_FACTOR).min(took));
        self.shortest = Some(shortest);
        if took > shortest * CROWDED_FACTOR + SLACK_MS {
            self.shrink(now, took_ms);
        } else if running + 1 >= self.allowed() {
            self.limit = (self.limit + 1.0 / self.limit).min(self.most);
        }
    }

    /// Shrinks the limit, at most once for each time that a call takes.
    pub fn shrink(&mut self, now: Millis, took_ms: u32) {
        if !self.adaptive || now < self.shrunk + u64::from(took_ms) {
            return;
        }
        self.limit = (self.limit * SHRINK_FACTOR).max(1.0);
        self.shrunk = now;
    }
}
