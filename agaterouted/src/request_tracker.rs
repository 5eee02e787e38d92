//! Tracks one request: measures it against its latency targets and records its one final outcome.

use std::sync::Arc;
use std::time::{Duration, Instant};

use agateroute_core::id;
use agateroute_core::pauses::{LateCause, PauseTargets, Pauses};
use agateroute_core::tally::{Tally, TallyKey};
use http::StatusCode;
use opentelemetry::{Context, KeyValue};

use crate::clock::{day_of, unix_seconds};
use crate::daemon::{Daemon, millis};
use crate::error::ApiError;
use crate::permit::ActiveGuard;
use crate::telemetry::end_span;

/// The retry delay suggested to callers whose organisation has too many requests in progress.
const RETRY_AFTER_MS: u32 = 1_000;

/// The final outcome of a request. The order is that of the counters in a tally.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalOutcome {
    /// Completed within the targets.
    OnTime,
    /// Completed, but the targets were missed.
    Late,
    /// Refused before any of it was run.
    NotRun,
    /// Lost after a part was delivered.
    Partial,
    /// May have been run, without an answer.
    Unknown,
    /// The caller disconnected.
    Cancelled,
}

impl FinalOutcome {
    /// The value in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            FinalOutcome::OnTime => "on_time",
            FinalOutcome::Late => "late",
            FinalOutcome::NotRun => "not_run",
            FinalOutcome::Partial => "partial",
            FinalOutcome::Unknown => "unknown",
            FinalOutcome::Cancelled => "cancelled",
        }
    }
}

/// Identifies a request in logs, metrics and tallies.
#[derive(Clone, Debug)]
pub struct RequestIdentity {
    /// The request id that the caller sees.
    pub request_id: Arc<str>,
    /// The name of the organisation.
    pub organisation: Arc<str>,
    /// The request kind, or the name of the route.
    pub kind: Arc<str>,
    /// The name of the rank.
    pub rank: Arc<str>,
}

/// The latency targets of a request.
#[derive(Clone, Copy, Debug)]
pub struct LatencyTargets {
    /// From arrival to the first token.
    pub first_token: Duration,
    /// From one token to the next.
    pub between_tokens: Duration,
    /// From arrival to the end of the answer, for plain calls.
    pub answer: Duration,
    /// One in this many pauses between tokens may be longer than `between_tokens`; 0 if none may.
    pub tolerance: u64,
}

impl LatencyTargets {
    fn pauses(&self) -> PauseTargets {
        let ms = |d: Duration| d.as_millis().min(u128::from(u64::MAX)) as u64;
        PauseTargets {
            first_ms: ms(self.first_token),
            gap_ms: ms(self.between_tokens),
            tolerance: self.tolerance,
        }
    }
}

/// Tracks one request from its arrival. Dropping it open counts the request as cancelled by its caller.
#[derive(Debug)]
pub struct Tracker {
    /// Labels the logs, metrics and tallies of the request.
    pub identity: RequestIdentity,
    /// The trace that the spans of the request belong to.
    pub context: Context,
    daemon: Arc<Daemon>,
    targets: LatencyTargets,
    arrived: Instant,
    pauses: Pauses,
    /// When tokens were last handed to the caller.
    last_sent: Instant,
    stalled: Duration,
    tally: Tally,
    server: Option<Arc<str>>,
    closed: bool,
    _active: Option<ActiveGuard>,
}

impl Tracker {
    /// Starts to track a request that has just arrived. Fails if its organisation already has the maximum
    /// of requests in progress on this instance.
    pub fn open(
        daemon: &Arc<Daemon>,
        identity: RequestIdentity,
        targets: LatencyTargets,
        context: Context,
    ) -> Result<Tracker, ApiError> {
        let max_requests = daemon.config().document.limits.organisation_requests;
        let active = ActiveGuard::new(daemon, id(&identity.organisation), max_requests);
        let over = active.is_none();
        let now = Instant::now();
        let mut tracker = Tracker {
            identity,
            context,
            daemon: daemon.clone(),
            targets,
            arrived: now,
            pauses: Pauses::new(targets.pauses(), 0),
            last_sent: now,
            stalled: Duration::ZERO,
            tally: Tally::default(),
            server: None,
            closed: false,
            _active: active,
        };
        if over {
            tracker.close(FinalOutcome::NotRun);
            let message = format!("this organisation has {max_requests} requests in progress here");
            let status = StatusCode::TOO_MANY_REQUESTS;
            let mut error = ApiError::not_run(status, "too_many_requests", message);
            error.retry_ms = RETRY_AFTER_MS;
            return Err(error);
        }
        Ok(tracker)
    }

    /// Records the backend server of an attempt, and the time from arrival to the first one. A stream that has begun goes on at
    /// another server.
    pub fn record_start(&mut self, server: &Arc<str>) {
        if self.server.is_none() {
            let waited = self.arrived.elapsed().as_secs_f64();
            self.daemon.telemetry.queue.record(waited, &self.metric_labels());
        }
        if self.server.as_ref().is_some_and(|before| before != server) {
            self.pauses.record_move();
        }
        self.server = Some(server.clone());
    }

    /// Records tokens that have arrived and are forwarded to the caller now.
    pub fn record_tokens(&mut self, count: u64) {
        let now = Instant::now();
        self.record_sent(count, now, now);
    }

    /// Records tokens that arrived at one time and were handed to the caller's connection at another.
    pub fn record_sent(&mut self, count: u64, arrived: Instant, sent: Instant) {
        let ms = |at: Instant| at.saturating_duration_since(self.arrived).as_millis() as u64;
        let stalled_ms = self.daemon.stalls.since(self.last_sent);
        let pause = self.pauses.record(ms(arrived), ms(sent), stalled_ms);
        self.last_sent = sent;
        self.tally.tokens += count;
        match pause {
            None => {
                let passed = sent.saturating_duration_since(self.arrived);
                self.tally.first.add(passed.as_millis() as u64);
                let labels = self.metric_labels();
                self.daemon.telemetry.first_token.record(passed.as_secs_f64(), &labels);
            }
            Some(pause_ms) => self.record_pause(pause_ms),
        }
    }

    fn record_pause(&mut self, pause_ms: u64) {
        self.tally.gaps.add(pause_ms);
        let target_ms = self.targets.pauses().gap_ms;
        if pause_ms > target_ms {
            self.tally.stalls += 1;
            self.stalled += millis(pause_ms - target_ms);
        }
    }

    /// Closes the tracker of a stream that was delivered completely.
    pub fn close_stream(&mut self) {
        let cause = self.pauses.late_cause();
        if let Some(cause) = cause {
            let kind = KeyValue::new("kind", self.identity.kind.clone());
            let labels = [kind, KeyValue::new("cause", cause.as_str())];
            self.daemon.telemetry.late_streams.add(1, &labels);
        }
        self.close(if cause.is_none() { FinalOutcome::OnTime } else { FinalOutcome::Late });
    }

    /// Closes the tracker of a plain call with a complete answer.
    pub fn close_answer(&mut self) {
        let passed = self.arrived.elapsed();
        self.tally.first.add(passed.as_millis() as u64);
        self.daemon.telemetry.answer.record(passed.as_secs_f64(), &self.metric_labels());
        let on_time = passed <= self.targets.answer;
        self.close(if on_time { FinalOutcome::OnTime } else { FinalOutcome::Late });
    }

    /// Closes the tracker: counts and logs the outcome. Later calls have no effect.
    pub fn close(&mut self, outcome: FinalOutcome) {
        if std::mem::replace(&mut self.closed, true) {
            return;
        }
        let telemetry = &self.daemon.telemetry;
        let mut labels = self.metric_labels().to_vec();
        labels.push(KeyValue::new("outcome", outcome.as_str()));
        telemetry.requests.add(1, &labels);
        telemetry.tokens.add(self.tally.tokens, &self.metric_labels());
        telemetry.stalls.add(self.tally.stalls, &self.metric_labels());
        end_span(&self.context, outcome.as_str());
        self.log(outcome);
        self.tally.ended[outcome as usize] += 1;
        self.tally.stalled_ms = self.stalled.as_millis() as u64;
        let identity = &self.identity;
        let key = TallyKey {
            day: day_of(unix_seconds()),
            organisation: identity.organisation.to_string(),
            kind: identity.kind.to_string(),
            rank: identity.rank.to_string(),
        };
        self.daemon.tally_store.count(key, &self.tally);
    }

    fn log(&self, outcome: FinalOutcome) {
        let identity = &self.identity;
        let fraction = |d: Duration| d.as_secs_f64() * 1000.0;
        let first = self.pauses.first_ms().unwrap_or(0);
        spdlog::info!("request_ended", kv: {
            request: = &*identity.request_id,
            organisation: = &*identity.organisation,
            kind: = &*identity.kind,
            rank: = &*identity.rank,
            server: = self.server.as_deref().unwrap_or("-"),
            outcome = outcome.as_str(),
            tokens = self.tally.tokens,
            first_ms = first,
            total_ms: = format!("{:.1}", fraction(self.arrived.elapsed())),
            stall_ms: = format!("{:.1}", fraction(self.stalled)),
            pause_ms = self.pauses.longest_ms(),
            server_pause_ms = self.pauses.server_ms(),
            late: = self.pauses.late_cause().map_or("-", LateCause::as_str),
        });
    }

    fn metric_labels(&self) -> [KeyValue; 3] {
        let identity = &self.identity;
        [
            KeyValue::new("organisation", identity.organisation.clone()),
            KeyValue::new("kind", identity.kind.clone()),
            KeyValue::new("rank", identity.rank.clone()),
        ]
    }
}

impl Drop for Tracker {
    fn drop(&mut self) {
        self.close(FinalOutcome::Cancelled);
    }
}
