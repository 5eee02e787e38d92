//! Needs of backend servers and cuts of instances that a soak adds to its other faults: limits that servers name, change and end,
//! pauses for instances that they turn away, departures that only their answers show, silence of a second, and instances that lose
//! all servers.
//!
//! They are drawn from a generator of their own, so the draws of all other faults do not depend on them.

use std::time::{Duration, Instant};

use agateroute_standin::server::Arrival;
use http::StatusCode;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::checker::{CALLER_TIMEOUT, Checker, Part, Sent};
use crate::fault::Faults;
use crate::fault_plan::{FaultPlan, Undo};
use crate::instance::Answer;
use crate::testbed::Testbed;

/// Stream of the generator. The other faults use the ones before.
const NEEDS_STREAM: u64 = 3;
/// One of this many injections of other faults is followed by a need or a cut.
const NEEDS_SHARE: u32 = 3;
/// Limits that servers name, in requests a second.
const LIMITS: [&str; 5] = ["0.3", "2", "3.1", "8", "0"];
/// Bounds of the time for which a need or a cut lasts: the rules hold three seconds after its start.
const TIME_MS: (u64, u64) = (500, 7_000);
/// For how long a server wants nothing from an instance that it turns away.
const PAUSE_S: u64 = 3;
/// How long a sound server is silent.
const SILENCE: Duration = Duration::from_millis(1_000);
/// The rules hold this long after a need or a cut began.
const CONTACT: Duration = Duration::from_millis(3_000);
/// The span of the rule for limits, and how long an instance knows of one that counts.
const LIMIT_SPAN: Duration = Duration::from_secs(4);
const SEEN: Duration = Duration::from_millis(500);
/// Requests of one instance that may reach a server in its pause.
const MAX_IN_PAUSE: usize = 2;

/// Kind of a need or a cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Need {
    Limit,
    TurnAway,
    Leaving,
    Silence,
    Cut,
}

const NEEDS: [Need; 6] =
    [Need::Limit, Need::Limit, Need::TurnAway, Need::Leaving, Need::Silence, Need::Cut];

/// What servers wanted and which instances were cut, for the checks at the end.
#[derive(Debug, Default)]
pub struct NeedLog {
    /// Server, limit in requests a second, and the time for which it named it.
    limits: Vec<(String, f64, Instant, Option<Instant>)>,
    /// Server that turned requests away, and until when.
    pauses: Vec<(String, Instant, Option<Instant>)>,
    /// Slot that was cut from all servers, and until when.
    cuts: Vec<(usize, Instant, Option<Instant>)>,
    /// Requests that each server got, whether it ran them or not, with the slot to which the caller sent them.
    pub arrivals: Vec<(String, Arrival, usize)>,
    /// First attempts: slot, when it was sent, and whether it was served.
    pub attempts: Vec<(usize, Instant, bool)>,
}

/// Draws needs and cuts.
#[derive(Debug)]
pub struct Needs {
    rng: ChaCha8Rng,
}

impl Needs {
    /// Creates the generator of a seed.
    pub fn new(seed: u64) -> Needs {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        rng.set_stream(NEEDS_STREAM);
        Needs { rng }
    }

    /// Injects a need or a cut, or nothing. It is called once for each injected fault.
    pub fn inject(&mut self, plan: &mut FaultPlan, testbed: &mut Testbed) {
        if !self.rng.random_ratio(1, NEEDS_SHARE) {
            return;
        }
        let time = Duration::from_millis(self.rng.random_range(TIME_MS.0..TIME_MS.1));
        let backend = self.rng.random_range(0..testbed.backends.len());
        let need = *NEEDS.choose(&mut self.rng).expect("a need");
        if need == Need::Cut {
            return self.cut(plan, testbed, time);
        }
        if plan.has_need(backend) {
            return;
        }
        let server = testbed.backends[backend].server.clone();
        let now = Instant::now();
        let mut checker = testbed.shared.checker();
        match need {
            Need::Limit => {
                plan.count_fault("server names a limit");
                let limit = LIMITS.choose(&mut self.rng).expect("a limit");
                server.name_limit(Some(limit));
                let limit = limit.parse().expect("a number");
                checker.needs.limits.push((server.name.clone(), limit, now, None));
            }
            Need::TurnAway => {
                plan.count_fault("server turns away");
                server.turn_away(Some(&PAUSE_S.to_string()));
                checker.record_fault_start(Part::Turned(server.name.clone()));
                checker.needs.pauses.push((server.name.clone(), now, None));
            }
            Need::Leaving => {
                drop(checker);
                plan.leave_by_answer(testbed, backend);
                return;
            }
            // A link whose faults change and change back at once takes that for a cut.
            Need::Silence if plan.has_server_fault(backend) => return,
            Need::Silence | Need::Cut => {
                plan.count_fault("server is silent for a second");
                let faults =
                    Faults { hold_requests: true, hold_answers: true, ..Faults::default() };
                checker.record_fault_start(Part::Held(server.name.clone()));
                testbed.backends[backend].link.set(faults);
                plan.schedule_undo(SILENCE, Undo::Silence(backend));
                return;
            }
        }
        drop(checker);
        plan.schedule_undo(time, Undo::Need(backend));
    }

    /// Cuts one, most or all but one of the instances from all servers.
    fn cut(&mut self, plan: &mut FaultPlan, testbed: &mut Testbed, time: Duration) {
        let slots = testbed.slots.len();
        if plan.has_cut() || !plan.has_own_lists() || slots < 2 {
            return;
        }
        plan.count_fault("instances cut from servers");
        let count = [1, slots / 2, slots - 1][self.rng.random_range(0..3)].max(1);
        let first = self.rng.random_range(0..slots);
        let faults = Faults { refuse: true, cut: self.rng.random(), ..Faults::default() };
        for slot in (0..count).map(|n| (first + n) % slots) {
            testbed.shared.checker().record_cut(slot);
            testbed.set_reach(slot, faults);
            plan.schedule_undo(time, Undo::Reach(slot));
        }
    }
}

/// Ends the cut of an instance from the servers.
pub(crate) fn end_cut(testbed: &mut Testbed, slot: usize) {
    testbed.set_reach(slot, Faults::default());
    testbed.shared.checker().record_reach(slot);
}

/// Ends the silence of a server, unless another fault of its link has come.
pub(crate) fn end_silence(plan: &FaultPlan, testbed: &Testbed, backend: usize) {
    if !plan.has_server_fault(backend) {
        let (server, link) = (&testbed.backends[backend].server, &testbed.backends[backend].link);
        link.set(Faults::default());
        testbed.shared.checker().record_fault_end(Part::Held(server.name.clone()));
    }
}

/// The most of these times within any span.
pub(crate) fn most_within(times: &[Instant], span: Duration) -> usize {
    let within = |from: &Instant| times.iter().filter(|t| *t >= from && **t < *from + span).count();
    times.iter().map(within).max().unwrap_or(0)
}

impl NeedLog {
    /// Whether a server turns requests away now.
    fn turns_away(&self, server: &str) -> bool {
        self.pauses.iter().any(|(name, _, end)| name == server && end.is_none())
    }
}

impl Checker {
    /// Whether a server turns requests away now.
    pub fn turns_away(&self, server: &str) -> bool {
        self.needs.turns_away(server)
    }

    /// The faults of a soak in the order in which they began, for its log.
    pub fn fault_lines(&self) -> Vec<String> {
        let Some((_, first, _)) = self.faults.first() else { return Vec::new() };
        let line = |(part, start, end): &(Part, Instant, Option<Instant>)| {
            let ms = |at: Instant| at.saturating_duration_since(*first).as_millis();
            format!("fault {part:?} from {} to {:?} ms", ms(*start), end.map(ms))
        };
        self.faults.iter().map(line).collect()
    }

    /// Records that a slot is cut from all servers. Answers that break off are excused as for other faults of its links.
    fn record_cut(&mut self, slot: usize) {
        self.record_fault_start(Part::Reach(slot));
        self.needs.cuts.push((slot, Instant::now(), None));
    }

    /// Records that a slot reaches servers again.
    pub fn record_reach(&mut self, slot: usize) {
        self.record_fault_end(Part::Reach(slot));
        let running = self.needs.cuts.iter_mut().filter(|(s, _, end)| *s == slot && end.is_none());
        running.for_each(|(_, _, end)| *end = Some(Instant::now()));
    }

    /// Records a request that a server got, whether it ran it or not.
    pub fn record_arrival(&mut self, server: &str, arrival: &Arrival) {
        if let Some(slot) = self.slot_of(&arrival.id) {
            self.needs.arrivals.push((server.to_owned(), arrival.clone(), slot));
        }
    }

    /// Records that an answer of a server has said that it leaves.
    pub fn record_said_leaving(&mut self, server: &str) {
        if !self.leaving.iter().any(|(name, _)| name == server) {
            self.record_leaving(server);
        }
    }

    /// Records that a server wants nothing more.
    pub fn record_need_end(&mut self, server: &str) {
        let now = Instant::now();
        let limits = self.needs.limits.iter_mut().filter(|l| l.0 == server);
        limits.for_each(|l| l.3 = l.3.or(Some(now)));
        self.record_fault_end(Part::Turned(server.to_owned()));
        let pauses = self.needs.pauses.iter_mut().filter(|p| p.0 == server);
        pauses.for_each(|p| p.2 = p.2.or(Some(now)));
    }

    /// Records a first attempt. One that was refused for its key says nothing.
    pub(crate) fn record_attempt(&mut self, sent: &Sent, answer: &Answer) {
        let served = answer.status.is_success() && answer.complete;
        let first = sent.resumes.is_none() && !sent.is_retry;
        if answer.status != StatusCode::UNAUTHORIZED && first {
            self.needs.attempts.push((sent.slot, sent.at, served));
        }
    }

    /// Whether nothing was done to an instance in a span, and in the time before. A cut from the servers does not count.
    pub(crate) fn is_calm(&self, slot: usize, from: Instant, until: Instant) -> bool {
        let from = from.checked_sub(CONTACT).unwrap_or(from);
        self.free_between(&Part::Process(slot), from, until)
            && self.free_between(&Part::Overdue(slot), from, until)
            && self.free_between(&Part::Links(slot), from, until)
            && self.stop_before(slot, from, until).is_none()
    }

    /// Checks what servers got that named limits or turned requests away, and how callers of cut instances were served.
    pub fn check_needs(&mut self) {
        let mut failures = Vec::new();
        self.check_limits(&mut failures);
        if !self.skip_timing {
            self.check_pauses(&mut failures);
            self.check_cut_callers(&mut failures);
        }
        failures.iter().for_each(|(rule, detail)| self.fail(rule, detail));
    }

    fn check_limits(&self, failures: &mut Vec<(&'static str, String)>) {
        for (server, limit, start, end) in &self.needs.limits {
            let until = end.unwrap_or_else(Instant::now);
            let counts = |(name, arrival, slot): &&(String, Arrival, usize)| {
                name == server
                    && arrival.at >= *start + CONTACT.max(SEEN)
                    && arrival.at <= until
                    && self.is_calm(*slot, *start, arrival.at)
            };
            let times: Vec<Instant> =
                self.needs.arrivals.iter().filter(counts).map(|a| a.1.at).collect();
            let allowed = (1.5 * limit * LIMIT_SPAN.as_secs_f64()) as usize + 5;
            let worst = most_within(&times, LIMIT_SPAN);
            if worst > allowed {
                let detail =
                    format!("{server} got {worst} in 4 s, limit {limit}, allowed {allowed}");
                failures.push(("limits", detail));
            }
        }
    }

    fn check_pauses(&self, failures: &mut Vec<(&'static str, String)>) {
        for (server, start, end) in &self.needs.pauses {
            let until = end.unwrap_or_else(Instant::now);
            let slots = self.needs.arrivals.iter().map(|a| a.2).max().unwrap_or(0);
            for slot in 0..=slots {
                let of_slot = |(name, arrival, s): &&(String, Arrival, usize)| {
                    name == server && *s == slot && arrival.at >= *start && arrival.at <= until
                };
                let arrivals = || self.needs.arrivals.iter().filter(of_slot).map(|a| &a.1);
                let turned = arrivals().filter(|a| a.turned_away).map(|a| a.at);
                let Some(first) = turned.min() else { continue };
                let times: Vec<Instant> = arrivals().map(|a| a.at).collect();
                let pause = first + SEEN..first + Duration::from_secs(PAUSE_S);
                let count = times.iter().filter(|t| pause.contains(t)).count();
                // What a cut instance gets reaches servers from its peers.
                let reaches = self.free_between(&Part::Reach(slot), first - CONTACT, pause.end);
                if count > MAX_IN_PAUSE && reaches && self.is_calm(slot, first, pause.end) {
                    failures.push(("pauses", format!("{server} got {count} of slot {slot}")));
                }
            }
        }
    }

    fn check_cut_callers(&self, failures: &mut Vec<(&'static str, String)>) {
        let cut_at = |slot: usize, at: Instant| {
            let since = |c: &&(usize, Instant, Option<Instant>)| {
                c.0 == slot && at >= c.1 + CONTACT && c.2.is_none_or(|end| at < end)
            };
            self.needs.cuts.iter().any(|c| since(&c))
        };
        // A cut instance needs another one that nothing is done to, until its caller has the answer.
        let slots = self.needs.attempts.iter().map(|a| a.0).max().unwrap_or(0);
        let has_helper = |at: Instant| {
            let until = at + CALLER_TIMEOUT / 2;
            (0..=slots).any(|slot| {
                let reaches = self.free_between(&Part::Reach(slot), at, until);
                reaches && self.is_calm(slot, at, until)
            })
        };
        let any_cut = |at: Instant| self.needs.cuts.iter().any(|c| cut_at(c.0, at));
        let (mut cut, mut others) = ((0_u64, 0_u64), (0_u64, 0_u64));
        for (slot, at, served) in &self.needs.attempts {
            if !any_cut(*at) || !self.is_calm(*slot, *at, *at) || !has_helper(*at) {
                continue;
            }
            let counts = if cut_at(*slot, *at) { &mut cut } else { &mut others };
            (counts.0, counts.1) = (counts.0 + u64::from(*served), counts.1 + 1);
        }
        let failed = cut.1 - cut.0;
        let much_worse = cut.0 * others.1 * 3 < others.0 * cut.1 * 2;
        if much_worse && failed > 10 + cut.1 / 50 {
            let detail = format!(
                "cut instances served {} of {}, others {} of {}",
                cut.0, cut.1, others.0, others.1
            );
            failures.push(("callers of cut instances", detail));
        }
    }
}
