//! The account of one request: what it promised, what it got, and its one outcome.

use std::sync::Arc;
use std::time::{Duration, Instant};

use agateroute_core::id;
use agateroute_core::tally::{Tally, TallyKey};
use http::StatusCode;
use opentelemetry::{Context, KeyValue};

use crate::clock::{day_of, unix_seconds};
use crate::error::ApiError;
use crate::shell::{ActiveGuard, Shell};
use crate::telemetry::end_span;

/// The share of gaps between tokens that may be longer than the target, as one in this many.
const SLOW_GAPS_ONE_IN: u64 = 20;
/// When an organisation with too many requests in progress should ask again, in milliseconds.
const RETRY_MS: u32 = 1_000;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
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

impl Ended {
    /// The word for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Ended::OnTime => "on_time",
            Ended::Late => "late",
            Ended::NotRun => "not_run",
            Ended::Partial => "partial",
            Ended::Unknown => "unknown",
            Ended::Cancelled => "cancelled",
        }
    }
}

/// Who asked for what.
#[derive(Clone, Debug)]
pub struct Subject {
    /// The request id that the caller sees.
    pub request: Arc<str>,
    /// The organisation.
    pub organisation: Arc<str>,
    /// The request kind.
    pub kind: Arc<str>,
    /// The rank.
    pub rank: Arc<str>,
}

/// The targets of a request.
#[derive(Clone, Copy, Debug)]
pub struct Targets {
    /// For the first token.
    pub first: Duration,
    /// For the time between two tokens.
    pub between: Duration,
    /// For the whole answer of a plain call.
    pub answer: Duration,
}

/// The account of one request. Dropping it open counts the request as cancelled by its caller.
#[derive(Debug)]
pub struct Account {
    /// Who asked for what.
    pub subject: Subject,
    /// The trace.
    pub context: Context,
    shell: Arc<Shell>,
    targets: Targets,
    arrived: Instant,
    first: Option<Instant>,
    last: Instant,
    gaps: u64,
    stalled: Duration,
    tally: Tally,
    server: Option<Arc<str>>,
    closed: bool,
    _active: Option<ActiveGuard>,
}

impl Account {
    /// Opens the account of a request that arrived now, unless its organisation has too many in progress
    /// here.
    pub fn open(
        shell: &Arc<Shell>,
        subject: Subject,
        targets: Targets,
        context: Context,
    ) -> Result<Account, ApiError> {
        let most = shell.in_force().document.limits.organisation_requests;
        let active = ActiveGuard::new(shell, id(&subject.organisation), most);
        let over = active.is_none();
        let now = Instant::now();
        let mut account = Account {
            subject,
            context,
            shell: shell.clone(),
            targets,
            arrived: now,
            first: None,
            last: now,
            gaps: 0,
            stalled: Duration::ZERO,
            tally: Tally::default(),
            server: None,
            closed: false,
            _active: active,
        };
        if over {
            account.close(Ended::NotRun);
            let message = format!("this organisation has {most} requests in progress here");
            let status = StatusCode::TOO_MANY_REQUESTS;
            let mut error = ApiError::not_run(status, "too_many_requests", message);
            error.retry_ms = RETRY_MS;
            return Err(error);
        }
        Ok(account)
    }

    /// Notes the backend server that the request runs on.
    pub fn started(&mut self, server: &Arc<str>) {
        let waited = self.arrived.elapsed().as_secs_f64();
        self.shell.telemetry.queue.record(waited, &self.labels());
        self.server = Some(server.clone());
    }

    /// Notes tokens that are passed on now.
    pub fn tokens(&mut self, count: u64) {
        let now = Instant::now();
        if self.first.is_none() {
            self.first = Some(now);
            let passed = now.duration_since(self.arrived);
            self.tally.first.add(passed.as_millis() as u64);
            self.shell.telemetry.first_token.record(passed.as_secs_f64(), &self.labels());
        } else {
            self.gap(now.duration_since(self.last));
        }
        self.last = now;
        self.tally.tokens += count;
    }

    fn gap(&mut self, gap: Duration) {
        self.gaps += 1;
        self.tally.gaps.add(gap.as_millis() as u64);
        if gap > self.targets.between {
            self.tally.stalls += 1;
            self.stalled += gap - self.targets.between;
        }
    }

    /// Whether the first token came in time and few gaps were slow.
    pub fn stream_on_time(&self) -> bool {
        let first = self.first.map_or(self.last, |f| f).duration_since(self.arrived);
        first <= self.targets.first && self.tally.stalls * SLOW_GAPS_ONE_IN <= self.gaps
    }

    /// Closes the account of a generation that was delivered whole.
    pub fn close_stream(&mut self) {
        let on_time = self.stream_on_time();
        self.close(if on_time { Ended::OnTime } else { Ended::Late });
    }

    /// Closes the account of a plain call that was answered whole.
    pub fn close_answer(&mut self) {
        let passed = self.arrived.elapsed();
        self.tally.first.add(passed.as_millis() as u64);
        self.shell.telemetry.answer.record(passed.as_secs_f64(), &self.labels());
        let on_time = passed <= self.targets.answer;
        self.close(if on_time { Ended::OnTime } else { Ended::Late });
    }

    /// Closes the account. Only the first call counts.
    pub fn close(&mut self, ended: Ended) {
        if std::mem::replace(&mut self.closed, true) {
            return;
        }
        let telemetry = &self.shell.telemetry;
        let mut labels = self.labels().to_vec();
        labels.push(KeyValue::new("outcome", ended.as_str()));
        telemetry.requests.add(1, &labels);
        telemetry.tokens.add(self.tally.tokens, &self.labels());
        telemetry.stalls.add(self.tally.stalls, &self.labels());
        end_span(&self.context, ended.as_str());
        self.log(ended);
        self.tally.ended[ended as usize] += 1;
        self.tally.stalled_ms = self.stalled.as_millis() as u64;
        let subject = &self.subject;
        let key = TallyKey {
            day: day_of(unix_seconds()),
            organisation: subject.organisation.to_string(),
            kind: subject.kind.to_string(),
            rank: subject.rank.to_string(),
        };
        self.shell.book.count(key, &self.tally);
    }

    fn log(&self, ended: Ended) {
        let subject = &self.subject;
        let millis = |d: Duration| d.as_secs_f64() * 1000.0;
        let first = self.first.map_or(0.0, |f| millis(f.duration_since(self.arrived)));
        spdlog::info!("request_ended", kv: {
            request: = &*subject.request,
            organisation: = &*subject.organisation,
            kind: = &*subject.kind,
            rank: = &*subject.rank,
            server: = self.server.as_deref().unwrap_or("-"),
            outcome = ended.as_str(),
            tokens = self.tally.tokens,
            first_ms: = format!("{first:.1}"),
            total_ms: = format!("{:.1}", millis(self.arrived.elapsed())),
            stall_ms: = format!("{:.1}", millis(self.stalled)),
        });
    }

    fn labels(&self) -> [KeyValue; 3] {
        let subject = &self.subject;
        [
            KeyValue::new("organisation", subject.organisation.clone()),
            KeyValue::new("kind", subject.kind.clone()),
            KeyValue::new("rank", subject.rank.clone()),
        ]
    }
}

impl Drop for Account {
    fn drop(&mut self) {
        self.close(Ended::Cancelled);
    }
}
