//! Planned work and cut events that a soak adds to its other faults: stops in series and overlapping, kills of
//! stopping instances, changed settings, versions in quick succession, streams cut inside an event, and stops while servers
//! are slow, with SIGHUP beside them and a second SIGTERM.
//!
//! They are drawn from generators of their own, so the draws of all other faults do not depend on them.

use std::time::{Duration, Instant};

use agateroute_standin::Slowness;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::checker::Part;
use crate::fault::{EventCut, Faults};
use crate::fault_plan::{FaultPlan, Undo};
use crate::testbed::Testbed;

/// Stream of the generator. The other faults use the ones before.
const PLANNED_STREAM: u64 = 2;
/// Stream of the generator that draws slow stops. Callers use the one before.
const SLOW_STREAM: u64 = 5;
/// One of this many injections of other faults is followed by a slow stop.
const SLOW_SHARE: u32 = 6;
/// Time from one slow stop to the next.
const SLOW_INTERVAL: Duration = Duration::from_secs(6);
/// Bounds of the time until an answer of a slow server, in percent of the time that its caller waits.
const SLOW_PERCENT: (u32, u32) = (50, 95);
/// Bounds of the time for which servers are slow.
const SLOW_TIME_MS: (u64, u64) = (1_000, 4_000);
/// Upper bound for the time from the first slow answer to SIGTERM.
const MAX_STOP_DELAY_MS: u64 = 1_000;
/// One of this many injections of other faults is followed by planned work.
const PLANNED_SHARE: u32 = 3;
/// Time from one series of stops to the next, in which instances of the first one are back.
const SERIES_INTERVAL: Duration = Duration::from_secs(5);
/// Upper bound for the time from the first stop of a series to the last.
const MAX_SERIES_MS: u64 = 9_000;
/// Upper bounds for the time between two stops, one of which is drawn per series: all at once, overlapping, and so long
/// that the first instances may be back.
const MAX_STEPS_MS: [u64; 3] = [50, 1_000, 3_500];
/// Upper bound for the time from SIGTERM to the kill of a stopping instance.
const MAX_KILL_DELAY_MS: u64 = 6_500;
/// Upper bound for the time for which a killed process stays away.
const MAX_AWAY_MS: u64 = 1_000;
/// Times for which a withdrawn key may be served, as in changed settings. The checker expects at most the longest.
const REVOKE_MS: [u64; 3] = [3_500, 4_200, 5_000];
/// Maximum number of changes of settings, and of versions, in a row.
const MAX_CHANGES: u32 = 5;
/// Upper bound for the time from one such change to the next.
const MAX_CHANGE_PAUSE_MS: u64 = 400;
/// Bounds of the time for which a server's streams are cut.
const CUT_TIME_MS: (u64, u64) = (100, 1_500);

/// Kind of planned work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Work {
    Series,
    KillStopping,
    Reload,
    Versions,
    CutEvents,
}

const WORK: [Work; 5] =
    [Work::Series, Work::KillStopping, Work::Reload, Work::Versions, Work::CutEvents];

/// Draws planned work.
#[derive(Debug)]
pub struct PlannedWork {
    rng: ChaCha8Rng,
    slow_rng: ChaCha8Rng,
    /// When the next series of stops may begin.
    next_series: Instant,
    /// When the next slow stop may begin.
    next_slow: Instant,
}

impl PlannedWork {
    /// Creates the generator of a seed.
    pub fn new(seed: u64) -> PlannedWork {
        let stream = |number| {
            let mut rng = ChaCha8Rng::seed_from_u64(seed);
            rng.set_stream(number);
            rng
        };
        let (rng, slow_rng) = (stream(PLANNED_STREAM), stream(SLOW_STREAM));
        PlannedWork { rng, slow_rng, next_series: Instant::now(), next_slow: Instant::now() }
    }

    /// Injects planned work, or nothing. It is called once for each injected fault.
    pub fn inject(&mut self, plan: &mut FaultPlan, testbed: &mut Testbed) {
        self.inject_slow_stop(plan, testbed);
        if !self.rng.random_ratio(1, PLANNED_SHARE) {
            return;
        }
        match WORK[self.rng.random_range(0..WORK.len())] {
            Work::Series => self.stop_series(plan, testbed.slots.len()),
            Work::KillStopping => self.kill_stopping(plan, testbed),
            Work::Reload => self.reload(plan, testbed.slots.len()),
            Work::Versions => self.publish(plan),
            Work::CutEvents => self.cut_events(plan, testbed),
        }
    }

    /// Makes one or all servers slow, so that estimates of a length are wrong, and stops an instance meanwhile: with SIGHUP shortly
    /// before or after, with a second SIGTERM, or with both.
    fn inject_slow_stop(&mut self, plan: &mut FaultPlan, testbed: &mut Testbed) {
        let rng = &mut self.slow_rng;
        let drawn = rng.random_ratio(1, SLOW_SHARE);
        if !drawn || Instant::now() < self.next_slow {
            return;
        }
        self.next_slow = Instant::now() + SLOW_INTERVAL;
        plan.count_fault("stop while servers are slow");
        let (slots, backends) = (testbed.slots.len(), testbed.backends.len());
        let only = rng.random::<bool>().then(|| rng.random_range(0..backends));
        let time = Duration::from_millis(rng.random_range(SLOW_TIME_MS.0..SLOW_TIME_MS.1));
        for backend in (0..backends).filter(|b| only.is_none_or(|o| o == *b)) {
            let percent = rng.random_range(SLOW_PERCENT.0..=SLOW_PERCENT.1);
            let slowness = Slowness { percent, head_first: rng.random() };
            let server = &testbed.backends[backend].server;
            testbed.shared.checker().record_fault_start(Part::Slow(server.name.clone()));
            server.set_slowness(Some(slowness));
            plan.schedule_undo(time, Undo::Slow(backend));
        }
        let after = Duration::from_millis(rng.random_range(0..MAX_STOP_DELAY_MS));
        let slot = rng.random_range(0..slots);
        plan.schedule_undo(after, Undo::Stop(slot));
        if rng.random() {
            plan.count_fault("settings beside a stop");
            let around = Duration::from_millis(rng.random_range(0..MAX_STOP_DELAY_MS));
            let revoke_ms = *REVOKE_MS.choose(rng).expect("a time");
            plan.schedule_undo((after + around) / 2, Undo::Reload(slot, revoke_ms));
        }
        if rng.random() {
            let again = Duration::from_millis(rng.random_range(0..MAX_KILL_DELAY_MS));
            plan.schedule_undo(after + again, Undo::Terminate(slot));
        }
    }

    fn time(&mut self, bound_ms: u64) -> Duration {
        Duration::from_millis(self.rng.random_range(0..bound_ms))
    }

    /// Stops several or all instances one after the other.
    fn stop_series(&mut self, plan: &mut FaultPlan, slots: usize) {
        if Instant::now() < self.next_series {
            return;
        }
        self.next_series = Instant::now() + SERIES_INTERVAL;
        plan.count_fault("stops in series");
        let count = if self.rng.random() { slots } else { self.rng.random_range(1..=slots) };
        let first = self.rng.random_range(0..slots);
        let step_ms = MAX_STEPS_MS[self.rng.random_range(0..MAX_STEPS_MS.len())];
        let step_ms = step_ms.min(MAX_SERIES_MS / count as u64).max(1);
        let mut after = Duration::ZERO;
        for number in 0..count {
            plan.schedule_undo(after, Undo::Stop((first + number) % slots));
            after += self.time(step_ms);
        }
    }

    fn kill_stopping(&mut self, plan: &mut FaultPlan, testbed: &mut Testbed) {
        let slot = self.rng.random_range(0..testbed.slots.len());
        let (delay, away) = (self.time(MAX_KILL_DELAY_MS), self.time(MAX_AWAY_MS));
        plan.stop(testbed, slot);
        if plan.is_stopping(slot) {
            plan.schedule_undo(delay, Undo::KillStopping(slot, away));
        }
    }

    /// Changes the settings of one or all instances several times, with versions between.
    fn reload(&mut self, plan: &mut FaultPlan, slots: usize) {
        plan.count_fault("settings in a row");
        let only = self.rng.random::<bool>().then(|| self.rng.random_range(0..slots));
        let mut after = Duration::ZERO;
        for _ in 0..self.rng.random_range(1..=MAX_CHANGES) {
            let revoke_ms = *REVOKE_MS.choose(&mut self.rng).expect("a time");
            for slot in (0..slots).filter(|s| only.is_none_or(|o| o == *s)) {
                plan.schedule_undo(after, Undo::Reload(slot, revoke_ms));
            }
            if self.rng.random() {
                plan.schedule_undo(after, Undo::Publish);
            }
            after += self.time(MAX_CHANGE_PAUSE_MS);
        }
    }

    fn publish(&mut self, plan: &mut FaultPlan) {
        plan.count_fault("versions in series");
        let mut after = Duration::ZERO;
        for _ in 0..self.rng.random_range(1..=MAX_CHANGES) {
            plan.schedule_undo(after, Undo::Publish);
            after += self.time(MAX_CHANGE_PAUSE_MS);
        }
    }

    /// Cuts the streams of a model server inside an event.
    fn cut_events(&mut self, plan: &mut FaultPlan, testbed: &Testbed) {
        plan.count_fault("events cut");
        let backend = self.rng.random_range(0..testbed.backends.len());
        let time_ms = self.rng.random_range(CUT_TIME_MS.0..CUT_TIME_MS.1);
        let cut = if self.rng.random() { EventCut::Close } else { EventCut::Reset };
        let Some(backend) = (0..testbed.backends.len())
            .map(|i| (backend + i) % testbed.backends.len())
            .find(|b| testbed.backends[*b].server.service == "writers")
        else {
            return;
        };
        let (server, link) = (&testbed.backends[backend].server, &testbed.backends[backend].link);
        testbed.shared.checker().record_fault_start(Part::Server(server.name.clone()));
        link.set(Faults { cut_event: Some(cut), ..Faults::default() });
        plan.schedule_undo(Duration::from_millis(time_ms), Undo::Server(backend));
    }
}
