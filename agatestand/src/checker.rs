//! Invariants of a soak, checked from the requests of callers and the runs on backend servers.

use std::time::{Duration, Instant};

use agateroute_standin::server::Run;
use agateroute_standin::{self as standin};
use http::StatusCode;

use crate::instance::Answer;
use crate::needs::NeedLog;
use crate::resumed::{self, Received, StreamCounts};
use crate::stops::StopCounts;
use crate::zones::ZoneLog;

/// Maximum time for which a withdrawn key may still be served, as in the instances' settings.
pub const REVOKE_TIMEOUT: Duration = Duration::from_millis(5_000);
/// Maximum time until a document is in force on all instances, as in their settings.
const CONFIG_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Maximum time for which a leaving server may still get requests, as in the instances' settings.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Time without faults after which the rules with time limits apply to an instance.
pub(crate) const FAULT_FREE_TIME: Duration = Duration::from_millis(3_000);
/// Longest time that callers wait for an answer. They send that time with their requests.
pub const CALLER_TIMEOUT: Duration = Duration::from_millis(8_000);
/// Time from sending a request within which its connection may turn out to be closing. The
/// requirement is 0.2 s from the last byte of the connection; the rest is for a busy machine.
const CLOSE_RACE_TIME: Duration = Duration::from_millis(1_000);
/// Maximum number of violations kept, since one fault can cause many.
const MAX_VIOLATIONS: usize = 50;
/// Largest number of events in a stream of the soak's model servers, which takes most of the time that callers wait.
pub const MAX_EVENTS: u64 = 340;
/// Time from SIGTERM to the kill, as in the instances' settings.
pub const GRACE_TIME: Duration = Duration::from_millis(8_000);
/// Kind of request of a soak, one for each route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Call that must run at most once.
    Order,
    /// Call that may run more than once.
    Stock,
    /// Stream that must run at most once.
    Draft,
    /// Stream that another server may resume.
    Quote,
}

impl Kind {
    /// All kinds, from which callers draw at random.
    pub const ALL: [Kind; 4] = [Kind::Order, Kind::Stock, Kind::Draft, Kind::Quote];

    /// Returns the path of the route.
    pub fn path(self) -> &'static str {
        match self {
            Kind::Order => "/order/",
            Kind::Stock => "/stock/",
            Kind::Draft => "/draft/",
            Kind::Quote => "/quote/",
        }
    }

    /// Whether the answer is a stream.
    pub fn is_stream(self) -> bool {
        matches!(self, Kind::Draft | Kind::Quote)
    }

    pub(crate) fn is_non_repeatable(self) -> bool {
        matches!(self, Kind::Order | Kind::Draft)
    }

    fn service(self) -> &'static str {
        if self.is_stream() { "writers" } else { "ledger" }
    }
}

/// API key of an organisation, and when it was added and withdrawn.
#[derive(Clone, Debug)]
pub struct Key {
    /// Key as callers send it.
    pub secret: String,
    /// Name of the organisation.
    pub organisation: &'static str,
    /// When the version that adds the key was acknowledged; `None` for a key of the first version.
    pub added: Option<Instant>,
    /// When the version that withdraws the key was acknowledged.
    pub withdrawn: Option<Instant>,
}

/// Request sent by a caller, with what is known of its runs and its answer.
#[derive(Clone, Debug)]
pub struct Sent {
    /// Request id, unique within a soak.
    pub id: String,
    /// Kind of the request.
    pub kind: Kind,
    /// Key sent with the request.
    pub key: String,
    /// Body of the request.
    pub body: String,
    /// Time just before the request was sent.
    pub at: Instant,
    /// Index of the testbed slot whose instance got the request.
    pub slot: usize,
    /// Time that its caller waits.
    pub deadline: Duration,
    /// Whether the body is still being sent.
    pub unfinished: bool,
    /// When the last byte of the body was sent, if that was later than `at`.
    pub(crate) ended: Option<Instant>,
    /// Whether the answer states that the request was not run.
    pub(crate) refused: bool,
    /// Description of the failure, if the connection ended without an answer and its instance had no
    /// fault.
    lost: Option<String>,
    /// Number of runs, except those that continued a generation from copied memory.
    runs: usize,
    /// Number of events of the whole stream; 0 for a plain call.
    pub events: u64,
    /// Names of the servers that ran it, or to which it moved.
    pub(crate) servers: Vec<String>,
    /// When its answer broke off, if it did, and how much of it there was.
    pub(crate) cut: Option<(Instant, String)>,
    /// When it was answered with a failure that promises nothing, if it was, and the status.
    pub(crate) failed: Option<(Instant, u16)>,
    /// How long its caller is to wait before it sends a refused request again.
    pub(crate) retry_after: Option<Duration>,
    /// Whether it was answered whole.
    pub(crate) served: bool,
    /// Whether it is sent again after a refusal.
    pub is_retry: bool,
    /// What its caller had of the stream when it sent the request; `None` for a new one.
    pub resumes: Option<Received>,
    /// What its caller has of the stream since it broke off.
    received: Option<Received>,
}

impl Sent {
    /// Creates the record of a request that is about to be sent.
    pub fn new(id: &str, kind: Kind, key: &str, body: &str, slot: usize) -> Sent {
        Sent {
            id: id.to_owned(),
            kind,
            key: key.to_owned(),
            body: body.to_owned(),
            at: Instant::now(),
            slot,
            deadline: CALLER_TIMEOUT,
            unfinished: false,
            ended: None,
            refused: false,
            lost: None,
            runs: 0,
            events: if kind.is_stream() { MAX_EVENTS } else { 0 },
            servers: Vec::new(),
            cut: None,
            failed: None,
            retry_after: None,
            served: false,
            is_retry: false,
            resumes: None,
            received: None,
        }
    }

    /// When the last byte of the request was sent.
    pub(crate) fn ended_at(&self) -> Instant {
        self.ended.unwrap_or(self.at)
    }
}

/// Part of the testbed that a fault affects.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Part {
    /// Process of the instance of a slot.
    Process(usize),
    /// Process of the instance of a slot that did not stop within the grace time and is killed.
    Overdue(usize),
    /// Links of the instance of a slot.
    Links(usize),
    /// Links of the instance of a slot to all servers.
    Reach(usize),
    /// Table service of the platform.
    Store,
    /// Backend server of this name, which breaks answers off.
    Server(String),
    /// Backend server of this name, which turns requests away, also those of generations that it stopped.
    Turned(String),
    /// Backend server of this name, whose answers are late.
    Slow(String),
    /// Link of the backend server of this name, on which requests are late.
    Held(String),
}

/// State of the checks: requests, faults and violations.
#[derive(Debug, Default)]
pub struct Checker {
    /// All keys of the soak, in the order in which they were added.
    pub keys: Vec<Key>,
    /// Violations, each as the name of the rule and a description.
    pub violations: Vec<String>,
    /// Whether the rules with time limits are skipped, which a busy machine violates too.
    pub skip_timing: bool,
    /// Number of answers by status; 0 stands for no answer.
    pub answers: Vec<(u16, u64)>,
    pub(crate) sent: Vec<Sent>,
    /// Faults with their start, and their end if they have ended.
    pub(crate) faults: Vec<(Part, Instant, Option<Instant>)>,
    /// Names of leaving servers, with the time at which they were recorded.
    pub(crate) leaving: Vec<(String, Instant)>,
    /// Slots whose instance got SIGTERM, when, and when its process had ended.
    pub(crate) stops: Vec<(usize, Instant, Option<Instant>)>,
    /// Requests sent to stopping instances.
    pub stop_counts: StopCounts,
    /// Streams that callers began and resumed.
    pub stream_counts: StreamCounts,
    /// Names of the model servers with the versions of their software.
    servers: Vec<(String, String)>,
    /// What servers wanted, and which instances were cut from them.
    pub needs: NeedLog,
    /// Zones of servers, which of them were evacuated, and which servers were cold.
    pub zones: ZoneLog,
}

impl Checker {
    /// Records a model server and the version of its software.
    pub fn record_server(&mut self, name: &str, version: &str) {
        self.servers.push((name.to_owned(), version.to_owned()));
    }

    /// Whether two servers of a version serve since a time, and nothing is done to them.
    fn has_two_servers(&self, version: &str, since: Instant) -> bool {
        let now = Instant::now();
        let serves = |name: &String| {
            !self.leaving.iter().any(|(leaving, _)| leaving == name)
                && self.zones.is_open(name, since, now)
                && self.free_between(&Part::Server(name.clone()), now, now)
        };
        self.servers.iter().filter(|(name, v)| v == version && serves(name)).count() >= 2
    }

    /// Returns what the caller of a stream that broke off has of it, if it may be resumed.
    pub fn received(&self, id: &str) -> Option<Received> {
        self.sent[self.find(id)?].received.clone()
    }

    /// Counts a stream that may be resumed, if nothing was done to its instance and the table service.
    fn count_stream(&mut self, sent: &Sent, answer: &Answer) {
        let touched = !self.slot_fault_free(sent.slot, sent.at)
            || !self.fault_free(&Part::Store, sent.at)
            || self.any_slow(sent.at)
            || self.stop_before(sent.slot, sent.at, Instant::now()).is_some();
        let few = sent.resumes.as_ref().is_some_and(|r| !self.has_two_servers(&r.version, sent.at));
        if sent.kind != Kind::Quote {
            return;
        }
        let goes_on = answer.status.is_success() && (answer.complete || !answer.body.is_empty());
        let resumed = sent.resumes.is_some();
        let all = &mut self.stream_counts.all_resumed;
        (all.0, all.1) = (all.0 + u64::from(resumed), all.1 + u64::from(resumed && goes_on));
        if !touched && !few {
            self.stream_counts.count(resumed, goes_on);
        }
    }

    /// Checks that resumed streams went on, once all answers are known.
    pub fn check_resumed(&mut self) {
        if !self.skip_timing && self.stream_counts.too_few_resumed() {
            let detail = format!("{:?}", self.stream_counts);
            self.fail("resumed streams go on", &detail);
        }
    }

    /// Records the start of a fault.
    pub fn record_fault_start(&mut self, part: Part) {
        self.faults.push((part, Instant::now(), None));
    }

    /// Records the end of all faults of a part.
    pub fn record_fault_end(&mut self, part: Part) {
        let running = self.faults.iter_mut().filter(|(s, _, end)| *s == part && end.is_none());
        running.for_each(|(_, _, end)| *end = Some(Instant::now()));
    }

    /// Records that the table service has acknowledged that a server leaves.
    pub fn record_leaving(&mut self, server: &str) {
        self.leaving.push((server.to_owned(), Instant::now()));
    }

    /// Records a request before it is sent, so that its runs can be checked.
    pub fn record_request(&mut self, sent: Sent) {
        self.stop_counts.sent += u64::from(self.stopping_for(sent.slot).is_some());
        let at = self.sent.binary_search_by(|s| s.id.as_str().cmp(&sent.id));
        self.sent.insert(at.unwrap_or_else(|free| free), sent);
    }

    /// Records when the last byte of the body of a request was sent.
    pub fn record_body_end(&mut self, id: &str, time: Instant) {
        if let Some(at) = self.find(id) {
            (self.sent[at].unfinished, self.sent[at].ended) = (false, Some(time));
        }
    }

    /// Records that a generation was stopped to continue on another server.
    pub fn record_move(&mut self, id: &str, server: &str) {
        if let Some(at) = self.find(id) {
            self.sent[at].servers.push(server.to_owned());
        }
    }

    /// Returns the number of requests that were served.
    pub fn served(&self) -> u64 {
        self.answers.iter().filter(|(status, _)| *status == 200).map(|(_, count)| count).sum()
    }

    /// Returns the number of requests recorded so far.
    pub fn request_count(&self) -> usize {
        self.sent.len()
    }

    /// Whether an instance had no fault from [`FAULT_FREE_TIME`] before `since` until now.
    fn slot_fault_free(&self, slot: usize, since: Instant) -> bool {
        self.fault_free(&Part::Overdue(slot), since) && self.unplanned_free(slot, since)
    }

    /// Like [`Checker::slot_fault_free`], but the kill of an instance that stops too slowly is no fault.
    fn unplanned_free(&self, slot: usize, since: Instant) -> bool {
        let overdue = self.skip_timing && !self.fault_free(&Part::Overdue(slot), since);
        !overdue
            && self.fault_free(&Part::Process(slot), since)
            && self.fault_free(&Part::Links(slot), since)
            && self.fault_free(&Part::Reach(slot), since)
    }

    /// Whether a part had no fault from [`FAULT_FREE_TIME`] before `since` until now.
    fn fault_free(&self, part: &Part, since: Instant) -> bool {
        let from = since.checked_sub(FAULT_FREE_TIME).unwrap_or(since);
        self.free_between(part, from, Instant::now())
    }

    /// Whether a part had no fault at any time of a span.
    pub(crate) fn free_between(&self, part: &Part, from: Instant, until: Instant) -> bool {
        let overlaps = |start: &Instant, end: &Option<Instant>| {
            *start <= until && end.is_none_or(|e| e > from)
        };
        !self.faults.iter().any(|(p, start, end)| p == part && overlaps(start, end))
    }

    /// Whether the answers of any server were late at any time since then.
    fn any_slow(&self, since: Instant) -> bool {
        let slow = |part: &Part| matches!(part, Part::Slow(_));
        self.faults.iter().any(|(p, _, end)| slow(p) && end.is_none_or(|e| e > since))
    }

    pub(crate) fn find(&self, id: &str) -> Option<usize> {
        self.sent.binary_search_by(|s| s.id.as_str().cmp(id)).ok()
    }

    fn key(&self, text: &str) -> Option<&Key> {
        self.keys.iter().find(|k| k.secret == text)
    }

    /// Records a violation of a rule.
    pub fn fail(&mut self, rule: &str, detail: &str) {
        if self.violations.len() < MAX_VIOLATIONS {
            self.violations.push(format!("{rule}: {detail}"));
        }
    }

    /// The slot to which a request was sent.
    pub(crate) fn slot_of(&self, id: &str) -> Option<usize> {
        self.find(id).map(|at| self.sent[at].slot)
    }

    /// Checks a run that a backend server has started.
    pub fn check_run(&mut self, server: &str, service: &str, run: &Run) {
        let Some(at) = self.find(&run.id) else {
            self.fail("nothing unasked", &format!("{server} ran {}, which no caller sent", run.id));
            return;
        };
        let sent = self.sent[at].clone();
        let key = self.key(&sent.key).cloned();
        let id = &sent.id;
        if sent.kind.service() != service {
            self.fail("its own route", &format!("{id} ran at {server} of {service}"));
        }
        if run.body != sent.body.as_bytes() || !run.path.starts_with(sent.kind.path()) {
            self.fail("nothing unasked", &format!("{id} ran at {server} with another path/body"));
        }
        let Some(key) = key else {
            self.fail("its own route", &format!("{id} ran with a key that never existed"));
            return;
        };
        if run.organisation != key.organisation {
            let reported = &run.organisation;
            self.fail(
                "nothing unasked",
                &format!("{id} of {} ran for organisation {reported}", key.organisation),
            );
        }
        if key.withdrawn.is_some_and(|w| sent.at > w + REVOKE_TIMEOUT) {
            self.fail("withdrawn keys", &format!("{id} ran at {server} with a withdrawn key"));
        }
        self.count_run(at, server, run);
        self.check_drain(&sent, server, run);
    }

    fn count_run(&mut self, at: usize, server: &str, run: &Run) {
        let sent = &mut self.sent[at];
        sent.runs += usize::from(!run.moved);
        sent.servers.push(server.to_owned());
        let (id, lost) = (sent.id.clone(), sent.lost.take());
        let (repeated, refused) = (sent.kind.is_non_repeatable() && sent.runs > 1, sent.refused);
        if repeated {
            self.fail("at most once", &format!("{id} ran again at {server}"));
        }
        if refused {
            self.fail("not run means not run", &format!("{id} ran at {server} though refused"));
        }
        if let Some(lost) = lost {
            self.fail("nothing lost", &lost);
        }
    }

    fn check_drain(&mut self, sent: &Sent, server: &str, run: &Run) {
        let Some((_, leaving)) = self.leaving.iter().find(|(name, _)| name == server) else {
            return;
        };
        let is_late = !self.skip_timing && run.at > *leaving + DRAIN_TIMEOUT;
        let applies =
            self.slot_fault_free(sent.slot, *leaving) && self.fault_free(&Part::Store, *leaving);
        if is_late && applies {
            let after = (run.at - *leaving).as_millis();
            self.fail("leaving servers", &format!("{} ran at {server} after {after} ms", sent.id));
        }
    }

    /// Checks the final answer to a request.
    pub fn check_answer(&mut self, id: &str, answer: &Answer) {
        self.count_status(answer.status.as_u16());
        let Some(at) = self.find(id) else { return };
        let excused = !self.unplanned_free(self.sent[at].slot, self.sent[at].at);
        let (now, status, entry) = (Instant::now(), answer.status, &mut self.sent[at]);
        entry.served = status.is_success() && answer.complete;
        if !answer.complete {
            let detail = format!("status {}, {} bytes", status.as_u16(), answer.body.len());
            entry.cut = (!excused).then_some((now, detail));
        }
        if matches!(status, StatusCode::BAD_GATEWAY | StatusCode::GATEWAY_TIMEOUT) {
            entry.failed = (!excused).then_some((now, status.as_u16()));
        }
        let sent = self.sent[at].clone();
        self.record_attempt(&sent, answer);
        self.count_stream(&sent, answer);
        if answer.status.is_success() {
            self.check_success(&sent, answer);
            self.sent[at].received = received(&sent, answer);
            return;
        }
        match answer.status {
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
                self.sent[at].refused = true;
                let seconds = answer.field("retry-after").parse().ok();
                self.sent[at].retry_after =
                    seconds.and_then(|s| Duration::try_from_secs_f64(s).ok());
                if sent.runs > 0 && sent.kind.is_non_repeatable() {
                    self.fail("not run means not run", &format!("{id} was refused but has run"));
                }
                if answer.field("retry-after").is_empty() {
                    self.fail("refusals say when", &format!("refusal of {id} lacks retry-after"));
                }
            }
            StatusCode::UNAUTHORIZED | StatusCode::NOT_FOUND => self.check_denial(&sent, answer),
            _ => {}
        }
    }

    fn check_success(&mut self, sent: &Sent, answer: &Answer) {
        let id = &sent.id;
        if answer.field(standin::REQUEST_ID_HEADER) != id
            || answer.field(standin::SIGNATURE_HEADER).is_empty()
        {
            self.fail("own answers", &format!("{id} got wrong header fields"));
        }
        if !sent.kind.is_stream() {
            if answer.complete && answer.body != standin::response_body(id).as_bytes() {
                self.fail("own answers", &format!("{id} got the body of another request"));
            }
            return;
        }
        let event_ids = answer.event_ids();
        let text = String::from_utf8_lossy(&answer.body);
        let data = text.lines().filter_map(|l| l.strip_prefix("data: "));
        let first = sent.resumes.as_ref().map_or(1, |r| r.events + 1);
        let matches_own = data.zip(first..).all(|(d, n)| d == format!("event {n} of {id}"));
        if !matches_own || event_ids.iter().zip(first..).any(|(number, n)| *number != n) {
            self.fail("streams in order", &format!("{id} got events {event_ids:?}"));
        }
        let before = sent.resumes.as_ref().map(|r| r.version.clone());
        let mut versions: Vec<String> =
            before.into_iter().chain(resumed::versions(answer)).collect();
        versions.dedup();
        if versions.len() > 1 {
            let servers = &sent.servers;
            self.fail(
                "one version",
                &format!("{id} has events of {versions:?}, ran at {servers:?}"),
            );
        }
        if answer.complete && event_ids.len() as u64 + first - 1 != sent.events {
            let count = event_ids.len();
            self.fail("streams in order", &format!("{id} ended normally after {count} events"));
        }
    }

    fn check_denial(&mut self, sent: &Sent, answer: &Answer) {
        // A process that ended leaves its port to any other, which does not know the request.
        let foreign = answer.field(standin::REQUEST_ID_HEADER) != sent.id;
        if foreign && self.stop_before(sent.slot, sent.at, Instant::now()).is_some() {
            return;
        }
        let Some(key) = self.key(&sent.key).cloned() else { return };
        let always = key.added.is_none() && key.withdrawn.is_none();
        let in_force = !self.skip_timing
            && key.added.is_none_or(|added| sent.at > added + CONFIG_TIMEOUT)
            && key.withdrawn.is_none()
            && self.slot_fault_free(sent.slot, sent.at - CONFIG_TIMEOUT)
            && self.fault_free(&Part::Store, sent.at - CONFIG_TIMEOUT);
        if always || in_force || answer.status == StatusCode::NOT_FOUND {
            let detail = format!("{} got {} with a key in force", sent.id, answer.status.as_u16());
            self.fail("nothing denied", &detail);
        }
    }

    /// Checks a request without an answer. A stopping instance must still answer; the only exception is
    /// a request that was sent while its connection was being closed, and that did not run.
    pub fn check_unanswered(&mut self, id: &str, error: &str) {
        self.count_status(0);
        let Some(at) = self.find(id) else { return };
        let sent = self.sent[at].clone();
        if !self.unplanned_free(sent.slot, sent.at) {
            return;
        }
        // A request without its end can not have been read whole.
        let after = sent.ended_at().elapsed();
        let late = !sent.unfinished && !self.skip_timing && after > CLOSE_RACE_TIME;
        let lost =
            format!("{id} on instance {} after {} ms: {error}", sent.slot, after.as_millis());
        if sent.runs > 0 || late {
            self.fail("nothing lost", &lost);
        }
        self.sent[at].lost = Some(lost);
    }

    fn count_status(&mut self, status: u16) {
        match self.answers.iter_mut().find(|(s, _)| *s == status) {
            Some((_, count)) => *count += 1,
            None => self.answers.push((status, 1)),
        }
    }
}

/// Returns what the caller of a stream has of it, if it broke off and may be resumed.
fn received(sent: &Sent, answer: &Answer) -> Option<Received> {
    if answer.complete || sent.kind != Kind::Quote {
        return None;
    }
    let (count, versions) = (answer.event_ids().len() as u64, resumed::versions(answer));
    match &sent.resumes {
        Some(before) => Some(Received { events: before.events + count, ..before.clone() }),
        None => Some(Received {
            first: sent.id.clone(),
            events: count,
            version: versions.into_iter().next()?,
            length: sent.events,
        }),
    }
}
