//! How fresh the document in force is.
//!
//! A key that was withdrawn must not be served for longer than a bound, also by an instance that is
//! cut off from the table service and has not heard of it. So a reading counts from the moment at
//! which it was asked for, on a clock that counts suspension, and what peers pass on counts with its
//! age from the moment at which they were asked. See `docs/PLATFORM.md`, "Withdrawn keys".

use crate::id::Millis;

/// When the document in force was last known to be the newest.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Freshness {
    read_at: Option<Millis>,
}

impl Freshness {
    /// Notes a reading that was asked for at `asked` and was `age` old where it came from.
    pub fn record_read(&mut self, asked: Millis, age: Millis) {
        let read_at = asked.checked_sub(age);
        self.read_at = self.read_at.max(read_at);
    }

    /// How old the last reading is.
    pub fn age(&self, now: Millis) -> Option<Millis> {
        self.read_at.map(|at| now.saturating_sub(at))
    }

    /// Whether the last reading is younger than a bound.
    pub fn is_within(&self, now: Millis, bound: Millis) -> bool {
        self.age(now).is_some_and(|age| age < bound)
    }
}
