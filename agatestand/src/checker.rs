//! What has to hold while a soak runs, checked from what callers and backend servers see.

use std::time::{Duration, Instant};

use agateroute_standin::server::Run;
use agateroute_standin::{self as standin};
use http::StatusCode;

use crate::instance::Answer;

/// How long a withdrawn key may be served, as the settings of the instances say.
pub const REVOKE_TIMEOUT: Duration = Duration::from_millis(5_000);
/// How long a document may take to be in force, as the settings of the instances say.
const CONFIG_TIMEOUT: Duration = Duration::from_millis(2_000);
/// How long a leaving server may still get work, as the settings of the instances say.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(2_000);
/// For how long nothing may have been done to an instance before rules with a time bind it.
const FAULT_FREE_TIME: Duration = Duration::from_millis(3_000);
/// How long a caller waits for the final answer, as it says.
pub const CALLER_TIMEOUT: Duration = Duration::from_millis(8_000);
/// How long after it was sent a request may meet a connection that its instance is just closing. The users
/// allow 0.2 s from its last byte; the rest is for a machine that is busy with other things.
const CLOSE_RACE_TIME: Duration = Duration::from_millis(1_000);
/// The violations that are kept, since one fault can cause many.
const MAX_VIOLATIONS: usize = 50;
/// The events of a whole stream.
pub const EVENTS: u64 = 40;

/// A kind of request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A call that may run once.
    Order,
    /// A call that may run more than once.
    Stock,
    /// A stream that may run once.
    Draft,
    /// A stream that may be resumed.
    Quote,
}

impl Kind {
    /// All kinds.
    pub const ALL: [Kind; 4] = [Kind::Order, Kind::Stock, Kind::Draft, Kind::Quote];

    /// The path of the route.
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

    fn is_non_repeatable(self) -> bool {
        matches!(self, Kind::Order | Kind::Draft)
    }

    fn service(self) -> &'static str {
        if self.is_stream() { "writers" } else { "ledger" }
    }
}

/// A key of an organisation.
#[derive(Clone, Debug)]
pub struct Key {
    /// The key.
    pub secret: String,
    /// The organisation.
    pub organisation: &'static str,
    /// When the version that has it was acknowledged; none where it was always there.
    pub added: Option<Instant>,
    /// When the version that withdraws it was acknowledged.
    pub withdrawn: Option<Instant>,
}

/// A request that a caller sent.
#[derive(Clone, Debug)]
pub struct Sent {
    /// The id.
    pub id: String,
    /// The kind.
    pub kind: Kind,
    /// The key.
    pub key: String,
    /// The body.
    pub body: String,
    /// When it was sent.
    pub at: Instant,
    /// The slot of the instance.
    pub slot: usize,
    /// Whether its answer promises that it has not run.
    refused: bool,
    /// Why it was lost, where its connection ended without an answer although its instance was well.
    lost: Option<String>,
    /// The runs so far, without those that went on with copied memory.
    runs: usize,
}

impl Sent {
    /// A request that is about to be sent.
    pub fn new(id: &str, kind: Kind, key: &str, body: &str, slot: usize) -> Sent {
        let (id, key, body) = (id.to_owned(), key.to_owned(), body.to_owned());
        Sent { id, kind, key, body, at: Instant::now(), slot, refused: false, lost: None, runs: 0 }
    }
}

/// What something was done to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Part {
    /// The process of an instance.
    Process(usize),
    /// The links of an instance.
    Links(usize),
    /// The table service.
    Store,
}

/// The checker.
#[derive(Debug, Default)]
pub struct Checker {
    /// The keys.
    pub keys: Vec<Key>,
    /// What was broken.
    pub violations: Vec<String>,
    /// Whether rules with a time are left out.
    pub skip_timing: bool,
    /// The answers by status; 0 stands for none.
    pub answers: Vec<(u16, u64)>,
    sent: Vec<Sent>,
    faults: Vec<(Part, Instant, Option<Instant>)>,
    leaving: Vec<(String, Instant)>,
}

impl Checker {
    /// Notes that something is done to a subject from now on.
    pub fn fault_started(&mut self, part: Part) {
        self.faults.push((part, Instant::now(), None));
    }

    /// Notes that the subject is left alone again.
    pub fn fault_ended(&mut self, part: Part) {
        let running = self.faults.iter_mut().filter(|(s, _, end)| *s == part && end.is_none());
        running.for_each(|(_, _, end)| *end = Some(Instant::now()));
    }

    /// Notes that the table service has acknowledged that a server leaves.
    pub fn record_leaving(&mut self, server: &str) {
        self.leaving.push((server.to_owned(), Instant::now()));
    }

    /// Notes a request before it is sent.
    pub fn record_request(&mut self, sent: Sent) {
        let at = self.sent.binary_search_by(|s| s.id.as_str().cmp(&sent.id));
        self.sent.insert(at.unwrap_or_else(|free| free), sent);
    }

    /// The requests that were sent.
    pub fn request_count(&self) -> usize {
        self.sent.len()
    }

    /// Whether nothing was done to an instance from `FAULT_FREE_TIME` before a moment until now.
    fn slot_fault_free(&self, slot: usize, since: Instant) -> bool {
        self.fault_free(Part::Process(slot), since) && self.fault_free(Part::Links(slot), since)
    }

    /// Whether nothing was done to a subject from `FAULT_FREE_TIME` before a moment until now.
    fn fault_free(&self, part: Part, since: Instant) -> bool {
        let from = since.checked_sub(FAULT_FREE_TIME).unwrap_or(since);
        let overlaps = |end: &Option<Instant>| end.is_none_or(|e| e > from);
        !self.faults.iter().any(|(s, _, end)| *s == part && overlaps(end))
    }

    fn find(&self, id: &str) -> Option<usize> {
        self.sent.binary_search_by(|s| s.id.as_str().cmp(id)).ok()
    }

    fn key(&self, text: &str) -> Option<&Key> {
        self.keys.iter().find(|k| k.secret == text)
    }

    /// Notes a violation.
    pub fn fail(&mut self, rule: &str, detail: &str) {
        if self.violations.len() < MAX_VIOLATIONS {
            self.violations.push(format!("{rule}: {detail}"));
        }
    }

    /// Checks a request that a server began to run.
    pub fn ran(&mut self, server: &str, service: &str, run: &Run) {
        let Some(at) = self.find(&run.id) else {
            self.fail("nothing unasked", &format!("{server} ran {}, which nobody sent", run.id));
            return;
        };
        let sent = self.sent[at].clone();
        let key = self.key(&sent.key).cloned();
        let id = &sent.id;
        if sent.kind.service() != service {
            self.fail("its own route", &format!("{id} ran at {server} of {service}"));
        }
        if run.body != sent.body.as_bytes() || !run.path.starts_with(sent.kind.path()) {
            self.fail("nothing unasked", &format!("{id} ran at {server} with another body"));
        }
        let Some(key) = key else {
            self.fail("its own route", &format!("{id} ran with a key that never was"));
            return;
        };
        if run.organisation != key.organisation {
            let reported = &run.organisation;
            self.fail(
                "nothing unasked",
                &format!("{id} of {} ran as {reported}", key.organisation),
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
        let (id, lost) = (sent.id.clone(), sent.lost.take());
        let (repeated, refused) = (sent.kind.is_non_repeatable() && sent.runs > 1, sent.refused);
        if repeated {
            self.fail("at most once", &format!("{id} ran again at {server}"));
        }
        if refused {
            self.fail("not run means not run", &format!("{id} ran at {server} when refused"));
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
            self.slot_fault_free(sent.slot, *leaving) && self.fault_free(Part::Store, *leaving);
        if is_late && applies {
            let after = (run.at - *leaving).as_millis();
            self.fail("leaving servers", &format!("{} reached {server} {after} ms late", sent.id));
        }
    }

    /// Checks a final answer.
    pub fn answered(&mut self, id: &str, answer: &Answer) {
        self.count_status(answer.status.as_u16());
        let Some(at) = self.find(id) else { return };
        let sent = self.sent[at].clone();
        if answer.status.is_success() {
            self.check_success(&sent, answer);
            return;
        }
        match answer.status {
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
                self.sent[at].refused = true;
                if sent.runs > 0 && sent.kind.is_non_repeatable() {
                    self.fail("not run means not run", &format!("{id} was refused and has run"));
                }
                if answer.field("retry-after").is_empty() {
                    self.fail("refusals say when", &format!("{id} has no time to come back"));
                }
            }
            StatusCode::UNAUTHORIZED | StatusCode::NOT_FOUND => self.check_denial(&sent, answer),
            _ => {}
        }
    }

    fn check_success(&mut self, sent: &Sent, answer: &Answer) {
        let id = &sent.id;
        if answer.field(standin::REQUEST_ID) != id || answer.field(standin::SIGNATURE).is_empty() {
            self.fail("own answers", &format!("{id} got the head of another"));
        }
        if !sent.kind.is_stream() {
            if answer.complete && answer.body != standin::response_body(id).as_bytes() {
                self.fail("own answers", &format!("{id} got another body"));
            }
            return;
        }
        let event_ids = answer.event_ids();
        let text = String::from_utf8_lossy(&answer.body);
        let data = text.lines().filter_map(|l| l.strip_prefix("data: "));
        let matches_own = data.zip(1..).all(|(d, n)| d == format!("event {n} of {id}"));
        if !matches_own || event_ids.iter().zip(1..).any(|(number, n)| *number != n) {
            self.fail("streams in order", &format!("{id} got {event_ids:?}"));
        }
        if answer.complete && event_ids.len() as u64 != EVENTS {
            let count = event_ids.len();
            self.fail("streams in order", &format!("{id} ended as whole after {count} events"));
        }
    }

    fn check_denial(&mut self, sent: &Sent, answer: &Answer) {
        let Some(key) = self.key(&sent.key).cloned() else { return };
        let always = key.added.is_none() && key.withdrawn.is_none();
        let in_force = !self.skip_timing
            && key.added.is_none_or(|added| sent.at > added + CONFIG_TIMEOUT)
            && key.withdrawn.is_none()
            && self.slot_fault_free(sent.slot, sent.at - CONFIG_TIMEOUT)
            && self.fault_free(Part::Store, sent.at - CONFIG_TIMEOUT);
        if always || in_force || answer.status == StatusCode::NOT_FOUND {
            let detail = format!("{} got {} with a key in force", sent.id, answer.status.as_u16());
            self.fail("nothing denied", &detail);
        }
    }

    /// Checks a request that got no answer at all. That its instance was told to stop is no excuse; but a
    /// request that crosses the close of its connection and is not passed on does not count.
    pub fn unanswered(&mut self, id: &str, error: &str) {
        self.count_status(0);
        let Some(at) = self.find(id) else { return };
        let sent = self.sent[at].clone();
        if !self.slot_fault_free(sent.slot, sent.at) {
            return;
        }
        let after = sent.at.elapsed();
        let lost =
            format!("{id} on instance {} after {} ms: {error}", sent.slot, after.as_millis());
        if sent.runs > 0 || (!self.skip_timing && after > CLOSE_RACE_TIME) {
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
