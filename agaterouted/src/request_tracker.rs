//! The account of one request: what it promised, what it got, and its one outcome.

use std::sync::Arc;
use std::time::{Duration, Instant};

use agateroute_core::id;
use agateroute_core::tally::{Tally, TallyKey};
use http::StatusCode;
use opentelemetry::{Context, KeyValue};

use crate::clock::{day_of, unix_seconds};
use crate::daemon::{ActiveGuard, Daemon};
use crate::error::ApiError;
use crate::telemetry::end_span;

/// The share of gaps between tokens that may be longer than the target, as one in this many.
const SLOW_GAPS_ONE_IN: u64 = 20;
/// When an organisation with too many requests in progress should ask again, in milliseconds.
const RETRY_AFTER_MS: u32 = 1_000;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalOutcome {
    /// Whole and on time.
    OnTime,
    /// Whole but late.
    Late,
    /// Refused as not run.
    NotRun,
    /// Delivered in part.
    Partial,
    /// Run or not: that is not known.
    Unknown,
    /// Given up by its caller.
    Cancelled,
}

impl FinalOutcome {
    /// The word for logs and metrics.
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

/// Who asked for what.
#[derive(Clone, Debug)]
pub struct RequestIdentity {
    /// The request id that the caller sees.
    pub request_id: Arc<str>,
    /// The organisation.
    pub organisation: Arc<str>,
    /// The request kind.
    pub kind: Arc<str>,
    /// The rank.
    pub rank: Arc<str>,
}

/// The targets of a request.
#[derive(Clone, Copy, Debug)]
pub struct LatencyTargets {
    /// For the first token.
    pub first_token: Duration,
    /// For the time between two tokens.
    pub between_tokens: Duration,
    /// For the whole answer of a plain call.
    pub answer: Duration,
}

/// The account of one request. Dropping it open counts the request as cancelled by its caller.
#[derive(Debug)]
pub struct Tracker {
    /// Who asked for what.
    pub identity: RequestIdentity,
    /// The trace.
    pub context: Context,
    daemon: Arc<Daemon>,
    targets: LatencyTargets,
    arrived: Instant,
    first_token: Option<Instant>,
    last_token: Instant,
    gaps: u64,
    stalled: Duration,
    tally: Tally,
    server: Option<Arc<str>>,
    closed: bool,
    _active: Option<ActiveGuard>,
}

impl Tracker {
    /// Opens the account of a request that arrived now, unless its organisation has too many in progress
    /// here.
    pub fn open(
        daemon: &Arc<Daemon>,
        identity: RequestIdentity,
        targets: LatencyTargets,
        context: Context,
    ) -> Result<Tracker, ApiError> {
        let most = daemon.config().document.limits.organisation_requests;
        let active = ActiveGuard::new(daemon, id(&identity.organisation), most);
        let over = active.is_none();
        let now = Instant::now();
        let mut tracker = Tracker {
            identity,
            context,
            daemon: daemon.clone(),
            targets,
            arrived: now,
            first_token: None,
            last_token: now,
            gaps: 0,
            stalled: Duration::ZERO,
            tally: Tally::default(),
            server: None,
            closed: false,
            _active: active,
        };
        if over {
            tracker.close(FinalOutcome::NotRun);
            let message = format!("this organisation has {most} requests in progress here");
            let status = StatusCode::TOO_MANY_REQUESTS;
            let mut error = ApiError::not_run(status, "too_many_requests", message);
            error.retry_ms = RETRY_AFTER_MS;
            return Err(error);
        }
        Ok(tracker)
    }

    /// Notes the backend server that the request runs on.
    pub fn record_start(&mut self, server: &Arc<str>) {
        let waited = self.arrived.elapsed().as_secs_f64();
        self.daemon.telemetry.queue.record(waited, &self.metric_labels());
        self.server = Some(server.clone());
    }

    /// Notes tokens that are passed on now.
    pub fn record_tokens(&mut self, count: u64) {
        let now = Instant::now();
        if self.first_token.is_none() {
            self.first_token = Some(now);
            let passed = now.duration_since(self.arrived);
            self.tally.first.add(passed.as_millis() as u64);
            self.daemon.telemetry.first_token.record(passed.as_secs_f64(), &self.metric_labels());
        } else {
            self.record_gap(now.duration_since(self.last_token));
        }
        self.last_token = now;
        self.tally.tokens += count;
    }

    fn record_gap(&mut self, gap: Duration) {
        self.gaps += 1;
        self.tally.gaps.add(gap.as_millis() as u64);
        if gap > self.targets.between_tokens {
            self.tally.stalls += 1;
            self.stalled += gap - self.targets.between_tokens;
        }
    }

    /// Whether the first token came in time and few gaps were slow.
    pub fn stream_on_time(&self) -> bool {
        let first = self.first_token.map_or(self.last_token, |f| f).duration_since(self.arrived);
        first <= self.targets.first_token && self.tally.stalls * SLOW_GAPS_ONE_IN <= self.gaps
    }

    /// Closes the account of a generation that was delivered whole.
    pub fn close_stream(&mut self) {
        let on_time = self.stream_on_time();
        self.close(if on_time { FinalOutcome::OnTime } else { FinalOutcome::Late });
    }

    /// Closes the account of a plain call that was answered whole.
    pub fn close_answer(&mut self) {
        let passed = self.arrived.elapsed();
        self.tally.first.add(passed.as_millis() as u64);
        self.daemon.telemetry.answer.record(passed.as_secs_f64(), &self.metric_labels());
        let on_time = passed <= self.targets.answer;
        self.close(if on_time { FinalOutcome::OnTime } else { FinalOutcome::Late });
    }

    /// Closes the account. Only the first call counts.
    pub fn close(&mut self, ended: FinalOutcome) {
        if std::mem::replace(&mut self.closed, true) {
            return;
        }
        let telemetry = &self.daemon.telemetry;
        let mut labels = self.metric_labels().to_vec();
        labels.push(KeyValue::new("outcome", ended.as_str()));
        telemetry.requests.add(1, &labels);
        telemetry.tokens.add(self.tally.tokens, &self.metric_labels());
        telemetry.stalls.add(self.tally.stalls, &self.metric_labels());
        end_span(&self.context, ended.as_str());
        self.log(ended);
        self.tally.ended[ended as usize] += 1;
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

    fn log(&self, ended: FinalOutcome) {
        let identity = &self.identity;
        let millis = |d: Duration| d.as_secs_f64() * 1000.0;
        let first = self.first_token.map_or(0.0, |f| millis(f.duration_since(self.arrived)));
        spdlog::info!("request_ended", kv: {
            request: = &*identity.request_id,
            organisation: = &*identity.organisation,
            kind: = &*identity.kind,
            rank: = &*identity.rank,
            server: = self.server.as_deref().unwrap_or("-"),
            outcome = ended.as_str(),
            tokens = self.tally.tokens,
            first_ms: = format!("{first:.1}"),
            total_ms: = format!("{:.1}", millis(self.arrived.elapsed())),
            stall_ms: = format!("{:.1}", millis(self.stalled)),
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
