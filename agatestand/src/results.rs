//! What came of a load run, by organisation, kind and rank.

use std::fmt::Write;

use hdrhistogram::Histogram;
use serde_json::{Value, json};

/// The longest time that is told apart, in microseconds.
const MAX_TIME_US: u64 = 600_000_000;

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Whole and on time.
    OnTime,
    /// Whole but late.
    Late,
    /// Refused as not run.
    NotRun,
    /// Delivered in part, and said so.
    Partial,
    /// Said to be unknown.
    Unknown,
    /// Cut off without a word.
    Broken,
}

/// What one request saw.
#[derive(Clone, Debug)]
pub struct RequestResult {
    /// The position of the flow.
    pub flow: usize,
    /// How it ended.
    pub outcome: Outcome,
    /// The tokens.
    pub tokens: u64,
    /// The tokens that came while requests still arrived.
    pub early_tokens: u64,
    /// The time to the first token or the whole plain answer, in microseconds.
    pub first_us: Option<u64>,
    /// The gaps between tokens, in microseconds.
    pub gaps_us: Vec<u64>,
    /// The time beyond the target in all gaps, in microseconds.
    pub stall_us: u64,
    /// Tokens that were repeated, out of order, missing or of another generation.
    pub violations: u64,
}

/// The sums of one flow.
#[derive(Clone, Debug)]
pub struct FlowResult {
    /// The organisation.
    pub organisation: String,
    /// The request kind.
    pub kind: String,
    /// The rank.
    pub rank: String,
    /// Requests by how they ended, in the order of [`Outcome`].
    pub outcomes: [u64; 6],
    /// Tokens received.
    pub tokens: u64,
    /// Tokens received while requests still arrived.
    pub early_tokens: u64,
    /// Violations of the order of tokens.
    pub violations: u64,
    /// The time beyond the target in all gaps, in microseconds.
    pub stall_us: u64,
    /// Times to the first token or the whole plain answer, in microseconds.
    pub first: Histogram<u64>,
    /// Gaps between tokens, in microseconds.
    pub gaps: Histogram<u64>,
}

impl FlowResult {
    /// An empty result.
    pub fn new(organisation: &str, kind: &str, rank: &str) -> FlowResult {
        let histogram = || Histogram::new_with_max(MAX_TIME_US, 3);
        let empty = || histogram().unwrap_or_else(|_| unreachable!("the bounds are valid"));
        FlowResult {
            organisation: organisation.to_owned(),
            kind: kind.to_owned(),
            rank: rank.to_owned(),
            outcomes: [0; 6],
            tokens: 0,
            early_tokens: 0,
            violations: 0,
            stall_us: 0,
            first: empty(),
            gaps: empty(),
        }
    }

    /// Adds what one request saw.
    pub fn add(&mut self, result: &RequestResult) {
        self.outcomes[result.outcome as usize] += 1;
        self.tokens += result.tokens;
        self.early_tokens += result.early_tokens;
        self.violations += result.violations;
        self.stall_us += result.stall_us;
        if let Some(first) = result.first_us {
            self.first.saturating_record(first);
        }
        for gap in &result.gaps_us {
            self.gaps.saturating_record(*gap);
        }
    }

    /// Adds another result.
    pub fn merge(&mut self, other: &FlowResult) {
        for (sum, part) in self.outcomes.iter_mut().zip(other.outcomes) {
            *sum += part;
        }
        self.tokens += other.tokens;
        self.early_tokens += other.early_tokens;
        self.violations += other.violations;
        self.stall_us += other.stall_us;
        let _ = self.first.add(&other.first);
        let _ = self.gaps.add(&other.gaps);
    }

    /// All requests.
    pub fn total(&self) -> u64 {
        self.outcomes.iter().sum()
    }

    /// The share that was delivered whole and on time.
    pub fn on_time(&self) -> f64 {
        self.outcomes[Outcome::OnTime as usize] as f64 / self.total().max(1) as f64
    }

    /// The stall time for each whole stream, in milliseconds.
    pub fn stall_ms(&self) -> f64 {
        let whole = self.outcomes[0] + self.outcomes[1];
        self.stall_us as f64 / 1000.0 / whole.max(1) as f64
    }

    /// The result as JSON.
    pub fn to_json(&self) -> Value {
        let quantile = |h: &Histogram<u64>, q: f64| h.value_at_quantile(q) as f64 / 1000.0;
        json!({
            "organisation": self.organisation,
            "kind": self.kind,
            "rank": self.rank,
            "requests": self.total(),
            "on_time": self.outcomes[0],
            "late": self.outcomes[1],
            "not_run": self.outcomes[2],
            "partial": self.outcomes[3],
            "unknown": self.outcomes[4],
            "broken": self.outcomes[5],
            "on_time_share": self.on_time(),
            "tokens": self.tokens,
            "violations": self.violations,
            "stall_ms_each": self.stall_ms(),
            "first_ms": {"p50": quantile(&self.first, 0.5), "p95": quantile(&self.first, 0.95), "p99": quantile(&self.first, 0.99)},
            "gap_ms": {"p50": quantile(&self.gaps, 0.5), "p95": quantile(&self.gaps, 0.95), "p99": quantile(&self.gaps, 0.99)},
        })
    }
}

/// What came of a whole run.
#[derive(Clone, Debug)]
pub struct RunResult {
    /// By flow.
    pub flows: Vec<FlowResult>,
    /// How long the run took, in seconds.
    pub seconds: f64,
    /// Preemptions on all engines during the run, where they were read.
    pub preemptions: Option<u64>,
}

impl RunResult {
    /// The sum over the flows that pass a test.
    pub fn sum(&self, name: &str, test: impl Fn(&FlowResult) -> bool) -> FlowResult {
        let mut sum = FlowResult::new(name, name, name);
        for flow in self.flows.iter().filter(|f| test(f)) {
            sum.merge(flow);
        }
        sum
    }

    /// Preemptions for each thousand generations that ended.
    pub fn preemptions_each_1000(&self) -> Option<f64> {
        let all = self.sum("all", |f| !f.gaps.is_empty() || f.tokens > 0);
        Some(1000.0 * self.preemptions? as f64 / all.total().max(1) as f64)
    }

    /// The result as JSON.
    pub fn to_json(&self) -> Value {
        let flows: Vec<Value> = self.flows.iter().map(FlowResult::to_json).collect();
        json!({
            "seconds": self.seconds,
            "preemptions": self.preemptions,
            "preemptions_each_1000": self.preemptions_each_1000(),
            "all": self.sum("all", |_| true).to_json(),
            "flows": flows,
        })
    }

    /// The result as a Markdown table.
    pub fn to_markdown(&self) -> String {
        let mut out = String::from(
            "| organisation | kind | rank | requests | on time | late | not run | partial | unknown | \
             broken | first p50/p99 ms | gap p95/p99 ms | stall ms each | violations |\n\
             | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
        );
        for flow in self.flows.iter().chain([&self.sum("all", |_| true)]) {
            write_row(&mut out, flow);
        }
        out
    }
}

fn write_row(out: &mut String, flow: &FlowResult) {
    let quantile = |h: &Histogram<u64>, q: f64| h.value_at_quantile(q) as f64 / 1000.0;
    let _ =
        write!(out, "| {} | {} | {} | {} ", flow.organisation, flow.kind, flow.rank, flow.total());
    for count in flow.outcomes {
        let _ = write!(out, "| {count} ");
    }
    let _ = writeln!(
        out,
        "| {:.1}/{:.1} | {:.1}/{:.1} | {:.1} | {} |",
        quantile(&flow.first, 0.5),
        quantile(&flow.first, 0.99),
        quantile(&flow.gaps, 0.95),
        quantile(&flow.gaps, 0.99),
        flow.stall_ms(),
        flow.violations,
    );
}
