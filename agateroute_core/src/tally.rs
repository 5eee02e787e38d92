//! Tallies of outcomes by day, organisation, kind and rank.
//!
//! An instance counts for itself from its start on and writes its tallies under its name and start
//! number, each time in place of the former row, so that a repeated write never counts twice. See
//! `docs/DESIGN.md`, "The report of a day".

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::Table;

/// The longest time that is told apart, in milliseconds.
const MAX_TIME_MS: u64 = 3_600_000;
/// The significant digits of times.
const SIGNIFICANT_DIGITS: u8 = 1;
/// The number of outcomes.
pub const OUTCOME_COUNT: usize = 6;

/// What tallies are grouped by.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TallyKey {
    /// The day, as YYYY-MM-DD in UTC.
    pub day: String,
    /// The organisation.
    pub organisation: String,
    /// The request kind.
    pub kind: String,
    /// The rank.
    pub rank: String,
}

/// Times, counted in buckets whose width is a tenth of their value or less.
#[derive(Clone, Debug, PartialEq)]
pub struct Times(Histogram<u32>);

/// The tally of one key.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Tally {
    /// Requests by outcome: on time, late, not run, partial, unknown, cancelled.
    pub ended: [u64; OUTCOME_COUNT],
    /// Tokens delivered.
    pub tokens: u64,
    /// Gaps between tokens above the target.
    pub stalls: u64,
    /// The time above the target in all gaps, in milliseconds.
    pub stalled_ms: u64,
    /// Times to the first token, or to the whole answer of a plain call, in milliseconds.
    pub first: Times,
    /// Gaps between tokens, in milliseconds.
    pub gaps: Times,
}

/// The tallies of an instance.
pub type Tallies = Table<TallyKey, Tally>;

impl Default for Times {
    fn default() -> Times {
        let histogram = Histogram::new_with_bounds(1, MAX_TIME_MS, SIGNIFICANT_DIGITS);
        Times(histogram.unwrap_or_else(|_| unreachable!("the bounds are valid")))
    }
}

impl Times {
    /// Counts a time.
    pub fn add(&mut self, ms: u64) {
        self.0.saturating_record(ms);
    }

    /// Adds other times.
    pub fn merge(&mut self, other: &Times) {
        let _ = self.0.add(&other.0);
    }

    /// The number of times.
    pub fn count(&self) -> u64 {
        self.0.len()
    }

    /// The time that a share of all does not pass, in milliseconds.
    pub fn quantile(&self, share: f64) -> u64 {
        self.0.value_at_quantile(share)
    }

    /// The buckets that are not empty: their upper bounds in milliseconds and their counts.
    pub fn buckets(&self) -> Vec<(u64, u32)> {
        self.0.iter_recorded().map(|b| (b.value_iterated_to(), b.count_at_value())).collect()
    }
}

impl Serialize for Times {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        self.buckets().serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for Times {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Times, D::Error> {
        let mut times = Times::default();
        for (value, count) in Vec::<(u64, u32)>::deserialize(deserializer)? {
            times.0.saturating_record_n(value, count);
        }
        Ok(times)
    }
}

impl Tally {
    /// Adds another tally.
    pub fn merge(&mut self, other: &Tally) {
        for (sum, part) in self.ended.iter_mut().zip(other.ended) {
            *sum += part;
        }
        self.tokens += other.tokens;
        self.stalls += other.stalls;
        self.stalled_ms += other.stalled_ms;
        self.first.merge(&other.first);
        self.gaps.merge(&other.gaps);
    }

    /// All requests.
    pub fn total(&self) -> u64 {
        self.ended.iter().sum()
    }
}
