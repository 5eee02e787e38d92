//! What has to hold while a soak runs, checked from what callers and backend servers see.

use std::time::{Duration, Instant};

use agateroute_standin::server::Run;
use agateroute_standin::{self as standin};
use http::StatusCode;

use crate::instance::Answer;

/// How long a withdrawn key may be served, as the settings of the instances say.
pub const REVOKE: Duration = Duration::from_millis(5_000);
/// How long a document may take to be in force, as the settings of the instances say.
const CONFIGURE: Duration = Duration::from_millis(2_000);
/// How long a leaving server may still get work, as the settings of the instances say.
const DRAIN: Duration = Duration::from_millis(2_000);
/// For how long nothing may have been done to an instance before rules with a time bind it.
const CONTACT: Duration = Duration::from_millis(3_000);
/// How long a caller waits for the final answer, as it says.
pub const CALLER: Duration = Duration::from_millis(8_000);
/// How long after it was sent a request may meet a connection that its instance is just closing. The users
/// allow 0.2 s from its last byte; the rest is for a machine that is busy with other things.
const CROSSES: Duration = Duration::from_millis(1_000);
/// The violations that are kept, since one fault can cause many.
const VIOLATIONS_MOST: usize = 50;
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
    pub fn streams(self) -> bool {
        matches!(self, Kind::Draft | Kind::Quote)
    }

    fn once(self) -> bool {
        matches!(self, Kind::Order | Kind::Draft)
    }

    fn service(self) -> &'static str {
        if self.streams() { "writers" } else { "ledger" }
    }
}

/// A key of an organisation.
#[derive(Clone, Debug)]
pub struct Key {
    /// The key.
    pub text: String,
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
pub enum Subject {
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
    pub untimed: bool,
    /// The answers by status; 0 stands for none.
    pub answers: Vec<(u16, u64)>,
    sent: Vec<Sent>,
    periods: Vec<(Subject, Instant, Option<Instant>)>,
    left: Vec<(String, Instant)>,
}

impl Checker {
    /// Notes that something is done to a subject from now on.
    pub fn trouble(&mut self, subject: Subject) {
        self.periods.push((subject, Instant::now(), None));
    }

    /// Notes that the subject is left alone again.
    pub fn calm(&mut self, subject: Subject) {
        let open = self.periods.iter_mut().filter(|(s, _, end)| *s == subject && end.is_none());
        open.for_each(|(_, _, end)| *end = Some(Instant::now()));
    }

    /// Notes that the table service has acknowledged that a server leaves.
    pub fn server_left(&mut self, server: &str) {
        self.left.push((server.to_owned(), Instant::now()));
    }

    /// Notes a request before it is sent.
    pub fn sends(&mut self, sent: Sent) {
        let at = self.sent.binary_search_by(|s| s.id.as_str().cmp(&sent.id));
        self.sent.insert(at.unwrap_or_else(|free| free), sent);
    }

    /// The requests that were sent.
    pub fn count(&self) -> usize {
        self.sent.len()
    }

    /// Whether nothing was done to an instance from `CONTACT` before a moment until now.
    fn in_touch(&self, slot: usize, since: Instant) -> bool {
        self.is_calm(Subject::Process(slot), since) && self.is_calm(Subject::Links(slot), since)
    }

    /// Whether nothing was done to a subject from `CONTACT` before a moment until now.
    fn is_calm(&self, subject: Subject, since: Instant) -> bool {
        let from = since.checked_sub(CONTACT).unwrap_or(since);
        let touches = |end: &Option<Instant>| end.is_none_or(|e| e > from);
        !self.periods.iter().any(|(s, _, end)| *s == subject && touches(end))
    }

    fn find(&self, id: &str) -> Option<usize> {
        self.sent.binary_search_by(|s| s.id.as_str().cmp(id)).ok()
    }

    fn key(&self, text: &str) -> Option<&Key> {
        self.keys.iter().find(|k| k.text == text)
    }

    /// Notes a violation.
    pub fn violated(&mut self, rule: &str, what: &str) {
        if self.violations.len() < VIOLATIONS_MOST {
            self.violations.push(format!("{rule}: {what}"));
        }
    }

    /// Checks a request that a server began to run.
    pub fn ran(&mut self, server: &str, service: &str, run: &Run) {
        let Some(at) = self.find(&run.id) else {
            self.violated(
                "nothing unasked",
                &format!("{server} ran {}, which nobody sent", run.id),
            );
            return;
        };
        let sent = self.sent[at].clone();
        let key = self.key(&sent.key).cloned();
        let id = &sent.id;
        if sent.kind.service() != service {
            self.violated("its own route", &format!("{id} ran at {server} of {service}"));
        }
        if run.body != sent.body.as_bytes() || !run.path.starts_with(sent.kind.path()) {
            self.violated("nothing unasked", &format!("{id} ran at {server} with another body"));
        }
        let Some(key) = key else {
            self.violated("its own route", &format!("{id} ran with a key that never was"));
            return;
        };
        if run.organisation != key.organisation {
            let told = &run.organisation;
            self.violated(
                "nothing unasked",
                &format!("{id} of {} ran as {told}", key.organisation),
            );
        }
        if key.withdrawn.is_some_and(|w| sent.at > w + REVOKE) {
            self.violated("withdrawn keys", &format!("{id} ran at {server} with a withdrawn key"));
        }
        self.count_run(at, server, run);
        self.check_drain(&sent, server, run);
    }

    fn count_run(&mut self, at: usize, server: &str, run: &Run) {
        let sent = &mut self.sent[at];
        sent.runs += usize::from(!run.moved);
        let (id, lost) = (sent.id.clone(), sent.lost.take());
        let (twice, refused) = (sent.kind.once() && sent.runs > 1, sent.refused);
        if twice {
            self.violated("at most once", &format!("{id} ran again at {server}"));
        }
        if refused {
            self.violated("not run means not run", &format!("{id} ran at {server} when refused"));
        }
        if let Some(lost) = lost {
            self.violated("nothing lost", &lost);
        }
    }

    fn check_drain(&mut self, sent: &Sent, server: &str, run: &Run) {
        let Some((_, left)) = self.left.iter().find(|(name, _)| name == server) else { return };
        let late = !self.untimed && run.at > *left + DRAIN;
        let bound = self.in_touch(sent.slot, *left) && self.is_calm(Subject::Store, *left);
        if late && bound {
            let after = (run.at - *left).as_millis();
            self.violated(
                "leaving servers",
                &format!("{} reached {server} {after} ms late", sent.id),
            );
        }
    }

    /// Checks a final answer.
    pub fn answered(&mut self, id: &str, answer: &Answer) {
        self.note_status(answer.status.as_u16());
        let Some(at) = self.find(id) else { return };
        let sent = self.sent[at].clone();
        if answer.status.is_success() {
            self.check_success(&sent, answer);
            return;
        }
        match answer.status {
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
                self.sent[at].refused = true;
                if sent.runs > 0 && sent.kind.once() {
                    self.violated(
                        "not run means not run",
                        &format!("{id} was refused and has run"),
                    );
                }
                if answer.text("retry-after").is_empty() {
                    self.violated("refusals say when", &format!("{id} has no time to come back"));
                }
            }
            StatusCode::UNAUTHORIZED | StatusCode::NOT_FOUND => self.check_denial(&sent, answer),
            _ => {}
        }
    }

    fn check_success(&mut self, sent: &Sent, answer: &Answer) {
        let id = &sent.id;
        if answer.text(standin::REQUEST_ID) != id || answer.text(standin::SIGNATURE).is_empty() {
            self.violated("own answers", &format!("{id} got the head of another"));
        }
        if !sent.kind.streams() {
            if answer.whole && answer.body != standin::response_body(id).as_bytes() {
                self.violated("own answers", &format!("{id} got another body"));
            }
            return;
        }
        let numbers = answer.numbers();
        let text = String::from_utf8_lossy(&answer.body);
        let data = text.lines().filter_map(|l| l.strip_prefix("data: "));
        let own = data.zip(1..).all(|(d, n)| d == format!("event {n} of {id}"));
        if !own || numbers.iter().zip(1..).any(|(number, n)| *number != n) {
            self.violated("streams in order", &format!("{id} got {numbers:?}"));
        }
        if answer.whole && numbers.len() as u64 != EVENTS {
            let count = numbers.len();
            self.violated("streams in order", &format!("{id} ended as whole after {count} events"));
        }
    }

    fn check_denial(&mut self, sent: &Sent, answer: &Answer) {
        let Some(key) = self.key(&sent.key).cloned() else { return };
        let always = key.added.is_none() && key.withdrawn.is_none();
        let in_force = !self.untimed
            && key.added.is_none_or(|added| sent.at > added + CONFIGURE)
            && key.withdrawn.is_none()
            && self.in_touch(sent.slot, sent.at - CONFIGURE)
            && self.is_calm(Subject::Store, sent.at - CONFIGURE);
        if always || in_force || answer.status == StatusCode::NOT_FOUND {
            let what = format!("{} got {} with a key in force", sent.id, answer.status.as_u16());
            self.violated("nothing denied", &what);
        }
    }

    /// Checks a request that got no answer at all. That its instance was told to stop is no excuse; but a
    /// request that crosses the close of its connection and is not passed on does not count.
    pub fn unanswered(&mut self, id: &str, why: &str) {
        self.note_status(0);
        let Some(at) = self.find(id) else { return };
        let sent = self.sent[at].clone();
        if !self.in_touch(sent.slot, sent.at) {
            return;
        }
        let after = sent.at.elapsed();
        let lost = format!("{id} on instance {} after {} ms: {why}", sent.slot, after.as_millis());
        if sent.runs > 0 || (!self.untimed && after > CROSSES) {
            self.violated("nothing lost", &lost);
        }
        self.sent[at].lost = Some(lost);
    }

    fn note_status(&mut self, status: u16) {
        match self.answers.iter_mut().find(|(s, _)| *s == status) {
            Some((_, count)) => *count += 1,
            None => self.answers.push((status, 1)),
        }
    }
}
