//! Counters and latency histograms of finished requests by day, organisation, kind and rank.
//!
//! Each instance counts its own requests from its start. It stores its tallies under its name and
//! start number and replaces the previous row, so that a repeated write isn't counted twice. See
//! `docs/DESIGN.md`, "The report of a day".

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::Table;

/// The largest time that the histograms record, in milliseconds; longer ones count as this.
const MAX_TIME_MS: u64 = 3_600_000;
/// The number of significant decimal digits of recorded times.
const SIGNIFICANT_DIGITS: u8 = 1;
/// The number of outcomes counted in `Tally::ended`.
pub const OUTCOME_COUNT: usize = 6;

/// The key that tallies are grouped by.
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

/// A histogram of times. The width of a bucket is at most a tenth of its value.
#[derive(Clone, Debug, PartialEq)]
pub struct Times(Histogram<u32>);

/// The counts and times of one key. The fields are stored under their names.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Tally {
    /// The number of requests by outcome: on time, late, not run, partial, unknown, cancelled.
    pub ended: [u64; OUTCOME_COUNT],
    /// The number of tokens delivered to callers.
    pub tokens: u64,
    /// The number of gaps between tokens that exceeded the target.
    pub stalls: u64,
    /// The total time by which gaps exceeded the target, in milliseconds.
    pub stalled_ms: u64,
    /// Times to the first token, or to the whole answer of a plain call, in milliseconds.
    pub first: Times,
    /// Gaps between tokens, in milliseconds.
    pub gaps: Times,
}

/// The tallies of one instance.
pub type Tallies = Table<TallyKey, Tally>;

impl Default for Times {
    fn default() -> Times {
        let histogram = Histogram::new_with_bounds(1, MAX_TIME_MS, SIGNIFICANT_DIGITS);
        Times(histogram.unwrap_or_else(|_| unreachable!("the bounds are valid")))
    }
}

impl Times {
    /// Records a time in milliseconds.
    pub fn add(&mut self, ms: u64) {
        self.0.saturating_record(ms);
    }

    /// Adds all times of another histogram.
    pub fn merge(&mut self, other: &Times) {
        let _ = self.0.add(&other.0);
    }

    /// The number of recorded times.
    pub fn count(&self) -> u64 {
        self.0.len()
    }

    /// The time that the given share of all times, 0 to 1, doesn't exceed, in milliseconds.
    pub fn quantile(&self, share: f64) -> u64 {
        self.0.value_at_quantile(share)
    }

    /// The non-empty buckets: their upper bounds in milliseconds and their counts.
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
    /// Adds the counts and times of another tally.
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

    /// The number of requests over all outcomes.
    pub fn total(&self) -> u64 {
        self.ended.iter().sum()
    }
}
