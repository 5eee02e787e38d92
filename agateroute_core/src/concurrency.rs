//! Adaptive limit of concurrent calls on a plain server.
//!
//! The limit grows by one after as many fast answers as it allows calls, if it was used up. It shrinks by
//! a tenth when a call has no complete answer or takes more than twice the shortest recent time.

use crate::id::Millis;

/// The multiple of the shortest time above which a server counts as overloaded.
const OVERLOAD_FACTOR: f64 = 2.0;
/// Tolerance added to that bound, in milliseconds.
const TOLERANCE_MS: f64 = 5.0;
/// The factor by which the limit shrinks on overload.
const SHRINK_FACTOR: f64 = 0.9;
/// The weight of the newest answer in the moving average of answer times.
const MEAN_WEIGHT: f64 = 0.1;
/// The growth of the shortest time with each answer, so that it adapts to a slower server.
const MIN_TIME_GROWTH: f64 = 1.002;

/// A limit of concurrent calls, adaptive or fixed.
#[derive(Clone, Debug, PartialEq)]
pub struct CallLimit {
    limit: f64,
    max_calls: f64,
    adaptive: bool,
    min_ms: Option<f64>,
    mean_ms: f64,
    shrunk_at: Millis,
}

impl CallLimit {
    /// Creates an adaptive limit that starts at half of the declared maximum.
    pub fn new(max_calls: u32) -> CallLimit {
        let max_calls = f64::from(max_calls.max(1));
        let limit = (max_calls / 2.0).max(1.0);
        CallLimit { limit, max_calls, adaptive: true, min_ms: None, mean_ms: 0.0, shrunk_at: 0 }
    }

    /// Creates a limit that stays at the declared maximum.
    pub fn fixed(max_calls: u32) -> CallLimit {
        let limit = f64::from(max_calls.max(1));
        CallLimit { limit, adaptive: false, ..CallLimit::new(max_calls) }
    }

    /// The number of concurrent calls allowed now, at least 1.
    pub fn allowed(&self) -> usize {
        self.limit as usize
    }

    /// The moving average of answer times, in milliseconds.
    pub fn typical_ms(&self) -> u64 {
        self.mean_ms as u64
    }

    /// Adjusts the limit after an answer that took `took_ms` with `running` calls in progress.
    pub fn record_answer(&mut self, now: Millis, took_ms: u32, running: usize) {
        let took = f64::from(took_ms);
        self.mean_ms += MEAN_WEIGHT * (took - self.mean_ms);
        let min_ms = self.min_ms.map_or(took, |s| (s * MIN_TIME_GROWTH).min(took));
        self.min_ms = Some(min_ms);
        if took > min_ms * OVERLOAD_FACTOR + TOLERANCE_MS {
            self.shrink(now, took_ms);
        } else if running + 1 >= self.allowed() {
            self.limit = (self.limit + 1.0 / self.limit).min(self.max_calls);
        }
    }

    /// Shrinks the limit, at most once in the duration of the call that shows the overload. `took_ms` is 0
    /// for a call without a complete answer, which shrinks it each time.
    pub fn shrink(&mut self, now: Millis, took_ms: u32) {
        if !self.adaptive || now < self.shrunk_at + u64::from(took_ms) {
            return;
        }
        self.limit = (self.limit * SHRINK_FACTOR).max(1.0);
        self.shrunk_at = now;
    }
}
