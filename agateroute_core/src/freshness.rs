//! Measures the age of the current document.
//!
//! A withdrawn API key must not be served for longer than a bound, even by an instance that can not
//! reach the table service and has not learned of the withdrawal. So the age of a read counts from the
//! moment at which it was requested, on a clock that includes suspension. A document fetched from a
//! peer adds the age that it had there. See `docs/DESIGN.md`, "Withdrawn keys".

use crate::id::Millis;

/// The time at which the current document was last known to be the newest.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Freshness {
    read_at: Option<Millis>,
}

impl Freshness {
    /// Records a read that was requested at `requested_at` from a source where the document was `age`
    /// milliseconds old.
    pub fn record_read(&mut self, requested_at: Millis, age: Millis) {
        let read_at = requested_at.checked_sub(age);
        self.read_at = self.read_at.max(read_at);
    }

    /// Returns the age of the most recent read in milliseconds, if there is one.
    pub fn age(&self, now: Millis) -> Option<Millis> {
        self.read_at.map(|at| now.saturating_sub(at))
    }

    /// Returns whether the most recent read is younger than `bound`, in milliseconds.
    pub fn is_within(&self, now: Millis, bound: Millis) -> bool {
        self.age(now).is_some_and(|age| age < bound)
    }
}
