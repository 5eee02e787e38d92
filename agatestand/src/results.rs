//! Results of a load run, by organisation, request kind and rank.

use std::fmt::Write;

use hdrhistogram::Histogram;
use serde_json::{Value, json};

/// Upper bound of the histograms, in microseconds. Longer times are recorded as this one.
const MAX_TIME_US: u64 = 600_000_000;

/// Outcome of a request as its caller sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Complete and within the latency targets.
    OnTime,
    /// Complete but later than the latency targets allow.
    Late,
    /// Refused, and reported as not run.
    NotRun,
    /// Delivered in part, and reported as such.
    Partial,
    /// Reported as unknown: the request may have run.
    Unknown,
    /// Ended without a final answer or a reported outcome.
    Broken,
}

/// Measurements of one request.
#[derive(Clone, Debug)]
pub struct RequestResult {
    /// Index of the flow in the load, see [`LoadSpec::flows`](crate::spec::LoadSpec::flows).
    pub flow: usize,
    /// Outcome of the request.
    pub outcome: Outcome,
    /// Number of tokens received.
    pub tokens: u64,
    /// Number of tokens received before the end of the arrivals.
    pub early_tokens: u64,
    /// Time to the first token, or to the end of a plain answer, in microseconds.
    pub first_us: Option<u64>,
    /// Times between two tokens of a stream, in microseconds.
    pub gaps_us: Vec<u64>,
    /// Time by which gaps exceed the target, summed over all gaps, in microseconds.
    pub stall_us: u64,
    /// Tokens that are repeated, missing, out of order or from another generation, and events that
    /// cannot be parsed.
    pub violations: u64,
}

/// Aggregated results of one flow.
#[derive(Clone, Debug)]
pub struct FlowResult {
    /// Name of the organisation.
    pub organisation: String,
    /// Name of the request kind.
    pub kind: String,
    /// Rank of the request kind.
    pub rank: String,
    /// Number of requests by outcome, in the order of [`Outcome`].
    pub outcomes: [u64; 6],
    /// Number of tokens received.
    pub tokens: u64,
    /// Number of tokens received before the end of the arrivals.
    pub early_tokens: u64,
    /// Tokens that are repeated, missing, out of order or from another generation, and events that
    /// cannot be parsed.
    pub violations: u64,
    /// Time by which gaps exceed the target, summed over all gaps, in microseconds.
    pub stall_us: u64,
    /// Times to the first token, or to the end of a plain answer, in microseconds.
    pub first_us: Histogram<u64>,
    /// Times between two tokens of a stream, in microseconds.
    pub gaps_us: Histogram<u64>,
}

impl FlowResult {
    /// Creates a result without requests.
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
            first_us: empty(),
            gaps_us: empty(),
        }
    }

    /// Adds the measurements of one request of this flow.
    pub fn add(&mut self, result: &RequestResult) {
        self.outcomes[result.outcome as usize] += 1;
        self.tokens += result.tokens;
        self.early_tokens += result.early_tokens;
        self.violations += result.violations;
        self.stall_us += result.stall_us;
        if let Some(first) = result.first_us {
            self.first_us.saturating_record(first);
        }
        for gap in &result.gaps_us {
            self.gaps_us.saturating_record(*gap);
        }
    }

    /// Adds the counts and histograms of another flow.
    pub fn merge(&mut self, other: &FlowResult) {
        for (sum, part) in self.outcomes.iter_mut().zip(other.outcomes) {
            *sum += part;
        }
        self.tokens += other.tokens;
        self.early_tokens += other.early_tokens;
        self.violations += other.violations;
        self.stall_us += other.stall_us;
        let _ = self.first_us.add(&other.first_us);
        let _ = self.gaps_us.add(&other.gaps_us);
    }

    /// Returns the number of requests with any outcome.
    pub fn total(&self) -> u64 {
        self.outcomes.iter().sum()
    }

    /// Returns the share of requests that completed on time, from 0 to 1.
    pub fn on_time(&self) -> f64 {
        self.outcomes[Outcome::OnTime as usize] as f64 / self.total().max(1) as f64
    }

    /// Returns the stall time of all requests per complete request, in milliseconds.
    pub fn stall_ms(&self) -> f64 {
        let whole = self.outcomes[0] + self.outcomes[1];
        self.stall_us as f64 / 1000.0 / whole.max(1) as f64
    }

    /// Returns the result as JSON, with times in milliseconds.
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
            "first_ms": {"p50": quantile(&self.first_us, 0.5), "p95": quantile(&self.first_us, 0.95), "p99": quantile(&self.first_us, 0.99)},
            "gap_ms": {"p50": quantile(&self.gaps_us, 0.5), "p95": quantile(&self.gaps_us, 0.95), "p99": quantile(&self.gaps_us, 0.99)},
        })
    }
}

/// Results of a load run.
#[derive(Clone, Debug)]
pub struct RunResult {
    /// Results by flow, in the order of the load.
    pub flows: Vec<FlowResult>,
    /// Duration of the run, in seconds.
    pub seconds: f64,
    /// Preemptions on all engines during the run; `None` if an engine did not report them.
    pub preemptions: Option<u64>,
}

impl RunResult {
    /// Returns the sum of the flows that satisfy a predicate.
    pub fn sum(&self, name: &str, test: impl Fn(&FlowResult) -> bool) -> FlowResult {
        let mut sum = FlowResult::new(name, name, name);
        for flow in self.flows.iter().filter(|f| test(f)) {
            sum.merge(flow);
        }
        sum
    }

    /// Returns the number of preemptions per thousand requests of the flows that received tokens.
    pub fn preemptions_each_1000(&self) -> Option<f64> {
        let all = self.sum("all", |f| !f.gaps_us.is_empty() || f.tokens > 0);
        Some(1000.0 * self.preemptions? as f64 / all.total().max(1) as f64)
    }

    /// Returns the sum and the result of each flow as JSON.
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

    /// Returns the result as a Markdown table with one row for each flow and one for the sum.
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
        quantile(&flow.first_us, 0.5),
        quantile(&flow.first_us, 0.99),
        quantile(&flow.gaps_us, 0.95),
        quantile(&flow.gaps_us, 0.99),
        flow.stall_ms(),
        flow.violations,
    );
}
