//! Faults that a soak injects into instances, backend servers, links and the table service, drawn
//! from a seed.

use std::time::{Duration, Instant};

use agateroute_standin::store::{Copy, StoreFault};
use agateroute_standin::{self as standin, Behaviour};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;

use crate::checker::{GRACE_TIME, Part};
use crate::evacuations::{self, ZoneChange};
use crate::fault::Faults;
use crate::instance::Instance;
use crate::needs::{end_cut, end_silence};
use crate::testbed::{Testbed, UNUSED_ADDRESS};

/// Upper bounds for the duration of faults, one of which is drawn per soak. The last is longer than
/// a withdrawn key may be served.
const MAX_DURATIONS_MS: [u64; 3] = [800, 3_000, 7_000];
/// Upper bound for the duration of a fault of the table service.
const MAX_OUTAGE_MS: u64 = 10_000;
/// Maximum number of kinds of faults that one soak injects.
const MAX_KINDS: usize = 5;
/// Lower bound for the duration of every fault.
const MIN_DURATION_MS: u64 = 100;
/// Time for which a server still serves after it announced that it leaves.
const LEAVE_NOTICE: Duration = Duration::from_millis(3_500);

/// Upper bound for the age of the copy from which the table service comes back, and for its absence.
const MAX_LOST_MS: u64 = 4_000;
const MAX_AWAY_MS: u64 = 800;
/// Upper bound for the time within which writers write again what a restored table service lost.
pub(crate) const MAX_REWRITE_MS: u64 = 1_600;
/// Time from one return of the table service to the next. While all instances are killed again and again, none of them
/// can know after a return that no key was withdrawn, so they refuse work for some seconds.
const RESTORE_INTERVAL: Duration = Duration::from_secs(10);
/// Time from the start of a soak to the first return, in which the other faults are seen without one.
const RESTORE_DELAY: Duration = Duration::from_secs(3);
/// Time after a fault of the table service in which each instance has read the servers itself again.
const REREAD_TIME: Duration = Duration::from_secs(4);
/// One of this many injections is followed by a further fault of [`FaultKind::FURTHER`].
const FURTHER_SHARE: u32 = 4;
/// Stream of the generator that draws further faults. The draws of all others do not depend on them, so a seed that
/// failed before there were further faults still injects the same ones.
const FURTHER_STREAM: u64 = 1;

/// Action that ends a fault, or that comes later in a series.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Undo {
    /// Start the instance of a slot.
    Start(usize),
    /// Continue the frozen process of a slot.
    Continue(usize),
    /// Kill the process of a slot that did not stop within [`GRACE_TIME`], and start it again.
    KillOverdue(usize),
    /// Send SIGTERM to the instance of a slot.
    Stop(usize),
    /// Kill the process of a slot that is stopping, and start it again after a while.
    KillStopping(usize, Duration),
    /// Change the time for which a withdrawn key may be served, in milliseconds, and send SIGHUP.
    Reload(usize, u64),
    /// Publish a version.
    Publish,
    /// Remove the faults from the links of a slot.
    Link(usize),
    /// End the fault of the table service.
    Store,
    /// Bring the table service back from the copy.
    Restore,
    /// Write the newest document again.
    Republish,
    /// Write the entry of a server again, or remove it again.
    Relist(usize),
    /// Remove the entries of servers that have ended.
    Unlist,
    /// End the faults of a server and of its link.
    Server(usize),
    /// End the need of a server.
    Need(usize),
    /// Send SIGTERM to a slot once more.
    Terminate(usize),
    /// End the slowness of a server.
    Slow(usize),
    /// End the silence of a server, unless another fault of its link has come.
    Silence(usize),
    /// Let the instance of a slot reach the servers again.
    Reach(usize),
    /// Change the evacuation of a zone.
    Zone(ZoneChange),
    /// Replace a server; with `true`, its address then leads to a server of another service.
    Replace(usize, bool),
}

/// Kind of fault that a soak injects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FaultKind {
    Kill,
    KillAll,
    Stop,
    Freeze,
    Link,
    Store,
    Versions,
    Misbehave,
    Leave,
    Crash,
    Restore,
    Flood,
}

impl FaultKind {
    /// Kinds that every soak may inject beside its own.
    const FURTHER: [FaultKind; 2] = [FaultKind::Restore, FaultKind::Flood];
    const KINDS: [FaultKind; 10] = [
        FaultKind::Kill,
        FaultKind::KillAll,
        FaultKind::Stop,
        FaultKind::Freeze,
        FaultKind::Link,
        FaultKind::Store,
        FaultKind::Versions,
        FaultKind::Misbehave,
        FaultKind::Leave,
        FaultKind::Crash,
    ];
}

/// Kinds of faults of a soak, and the faults in progress.
#[derive(Debug)]
pub struct FaultPlan {
    /// Kinds of faults that this soak injects. Each soak has only some of them, since frequent faults of
    /// one kind can hide failures: instances that are killed often never run long enough to fail.
    kinds: Vec<FaultKind>,
    max_duration_ms: u64,
    /// Actions that end faults, with the time at which they are due.
    pub pending: Vec<(Instant, Undo)>,
    /// Number of injected faults by name, for the report.
    pub injected: Vec<(&'static str, u32)>,
    further_rng: ChaCha8Rng,
    /// Content from which the table service comes back.
    copy: Option<Copy>,
    /// When the table service may come back from a copy again.
    next_restore: Instant,
    /// Servers that are leaving, and whether their entry was removed without notice.
    leaving: Vec<(usize, bool)>,
    /// When something was last done to the table service or a link to it.
    table_fault_at: Option<Instant>,
}

impl FaultPlan {
    /// Draws the kinds of faults and the bound of their duration.
    pub fn new(rng: &mut ChaCha8Rng, seed: u64) -> FaultPlan {
        let mut further_rng = ChaCha8Rng::seed_from_u64(seed);
        further_rng.set_stream(FURTHER_STREAM);
        let count = rng.random_range(1..=MAX_KINDS);
        let kinds = FaultKind::KINDS.choose_multiple(rng, count).copied().collect();
        let max_duration_ms = MAX_DURATIONS_MS[rng.random_range(0..MAX_DURATIONS_MS.len())];
        FaultPlan {
            kinds,
            max_duration_ms,
            pending: Vec::new(),
            injected: Vec::new(),
            further_rng,
            copy: None,
            next_restore: Instant::now() + RESTORE_DELAY,
            leaving: Vec::new(),
            table_fault_at: None,
        }
    }

    /// Whether each instance has read the servers from the table service itself: in an outage it takes them from a peer, with
    /// the addresses that the peer sees.
    pub fn has_own_lists(&self) -> bool {
        let is_table = |u: &Undo| matches!(u, Undo::Store | Undo::Link(_) | Undo::Restore);
        let recent = self.table_fault_at.is_some_and(|at| at.elapsed() < REREAD_TIME);
        !recent && !self.pending.iter().any(|(_, u)| is_table(u))
    }

    /// Ends the cuts of instances from servers, before something is done to the table service or a link to it.
    fn record_table_fault(&mut self, testbed: &mut Testbed) {
        self.table_fault_at = Some(Instant::now());
        let slots = 0..testbed.slots.len();
        for slot in slots.filter(|s| self.pending.iter().any(|(_, u)| *u == Undo::Reach(*s))) {
            end_cut(testbed, slot);
        }
        self.pending.retain(|(_, u)| !matches!(u, Undo::Reach(_)));
    }

    /// Schedules an action.
    pub fn schedule_undo(&mut self, after: Duration, undo: Undo) {
        self.pending.push((Instant::now() + after, undo));
    }

    /// Counts a fault for the report.
    pub fn count_fault(&mut self, fault_name: &'static str) {
        match self.injected.iter_mut().find(|(w, _)| *w == fault_name) {
            Some((_, count)) => *count += 1,
            None => self.injected.push((fault_name, 1)),
        }
    }

    fn has_undo(&self, slot: usize) -> bool {
        let concerns = |u: &Undo| match u {
            Undo::Start(s) | Undo::Continue(s) | Undo::KillOverdue(s) => *s == slot,
            _ => false,
        };
        self.pending.iter().any(|(_, u)| concerns(u))
    }

    /// Whether the instance of a slot is within the time allowed to stop.
    pub fn is_stopping(&self, slot: usize) -> bool {
        self.pending.iter().any(|(_, u)| *u == Undo::KillOverdue(slot))
    }

    /// Records that the process of a slot has ended, so that it is not killed.
    pub fn record_exit(&mut self, slot: usize) {
        let ends = |u: &Undo| match u {
            Undo::KillOverdue(s) | Undo::KillStopping(s, _) => *s == slot,
            _ => false,
        };
        self.pending.retain(|(_, u)| !ends(u));
    }

    /// Whether a server has a need, or is about to be replaced.
    pub fn has_need(&self, backend: usize) -> bool {
        self.pending.iter().any(|(_, u)| *u == Undo::Need(backend))
            || self.awaits_replacement(backend)
    }

    /// Whether a fault of a server is about to end, with those of its link.
    pub fn has_server_fault(&self, backend: usize) -> bool {
        self.pending.iter().any(|(_, u)| *u == Undo::Server(backend))
    }

    /// Whether instances are cut from the servers.
    pub fn has_cut(&self) -> bool {
        self.pending.iter().any(|(_, u)| matches!(u, Undo::Reach(_)))
    }

    fn awaits_replacement(&self, backend: usize) -> bool {
        self.pending.iter().any(|(_, u)| matches!(u, Undo::Replace(p, _) if *p == backend))
    }

    /// Injects one fault of a random kind of this soak.
    pub fn inject(&mut self, testbed: &mut Testbed, rng: &mut ChaCha8Rng) {
        let time = Duration::from_millis(rng.random_range(MIN_DURATION_MS..self.max_duration_ms));
        let slot = rng.random_range(0..testbed.slots.len());
        let backend = rng.random_range(0..testbed.backends.len());
        match self.kinds[rng.random_range(0..self.kinds.len())] {
            FaultKind::Kill => self.kill(testbed, slot, time),
            FaultKind::KillAll => self.kill_all(testbed, time),
            FaultKind::Stop => self.stop(testbed, slot),
            FaultKind::Freeze => self.freeze(testbed, slot, time),
            FaultKind::Link => self.fault_link(testbed, slot, time, rng),
            FaultKind::Store => self.fault_store(testbed, rng),
            FaultKind::Versions => {
                self.count_fault("versions in a row");
                (0..rng.random_range(1..6)).for_each(|_| testbed.publish());
            }
            FaultKind::Misbehave => self.fault_server(testbed, backend, time, rng),
            FaultKind::Leave => self.leave(testbed, backend, rng.random()),
            FaultKind::Crash => self.crash(testbed, backend, time, rng.random()),
            FaultKind::Restore => self.restore(testbed),
            FaultKind::Flood => self.flood(testbed),
        }
        if self.further_rng.random_ratio(1, FURTHER_SHARE) {
            match FaultKind::FURTHER[self.further_rng.random_range(0..FaultKind::FURTHER.len())] {
                FaultKind::Flood => self.flood(testbed),
                _ => self.restore(testbed),
            }
        }
    }

    /// Lets a server send bodies that are no answers, without end.
    fn flood(&mut self, testbed: &mut Testbed) {
        let backend = self.further_rng.random_range(0..testbed.backends.len());
        let time_ms = self.further_rng.random_range(MIN_DURATION_MS..self.max_duration_ms);
        self.count_fault("server sends without end");
        let name = testbed.backends[backend].server.name.clone();
        testbed.shared.checker().record_fault_start(Part::Server(name));
        testbed.backends[backend].server.set_behaviour(Behaviour::SendsWithoutEnd);
        self.schedule_undo(Duration::from_millis(time_ms), Undo::Server(backend));
    }

    /// Copies the content of the table service, and brings it back from that copy later. What was written meanwhile
    /// is then written again, not all at once.
    fn restore(&mut self, testbed: &mut Testbed) {
        let too_early = Instant::now() < self.next_restore;
        if too_early || self.pending.iter().any(|(_, u)| *u == Undo::Store) {
            return;
        }
        self.next_restore = Instant::now() + RESTORE_INTERVAL;
        self.count_fault("table service restored");
        self.copy = Some(testbed.store.copy());
        let lost_ms = self.further_rng.random_range(0..MAX_LOST_MS);
        self.schedule_undo(Duration::from_millis(lost_ms), Undo::Restore);
    }

    /// Restores the copy and schedules what operator and servers write again.
    fn apply_restore(&mut self, testbed: &mut Testbed) {
        let Some(copy) = self.copy.take() else { return };
        self.record_table_fault(testbed);
        testbed.shared.checker().record_fault_start(Part::Store);
        testbed.store.set_fault(StoreFault::Overloaded);
        testbed.store.restore(&copy, 1);
        let away_ms = self.further_rng.random_range(0..MAX_AWAY_MS);
        self.schedule_undo(Duration::from_millis(away_ms), Undo::Store);
        let rewrite = |plan: &mut FaultPlan, undo| {
            let after_ms = away_ms + plan.further_rng.random_range(0..MAX_REWRITE_MS);
            plan.schedule_undo(Duration::from_millis(after_ms), undo);
        };
        rewrite(self, Undo::Republish);
        (0..testbed.backends.len()).for_each(|backend| rewrite(self, Undo::Relist(backend)));
        evacuations::schedule_rewrites(self, Duration::from_millis(away_ms));
        self.schedule_undo(Duration::from_millis(away_ms + MAX_REWRITE_MS), Undo::Unlist);
    }

    /// Writes the entry of a server as it is now, after the table service lost it.
    pub(crate) fn relist(&self, testbed: &Testbed, backend: usize) {
        let server = &testbed.backends[backend].server;
        match self.leaving.iter().find(|(leaving, _)| *leaving == backend) {
            Some((_, true)) => standin::unlist(&testbed.store, &server.name),
            Some((_, false)) => server.list_draining(&testbed.store),
            None if server.crashed() => {}
            None => server.list_ready(&testbed.store),
        }
    }

    fn kill(&mut self, testbed: &mut Testbed, slot: usize, time: Duration) {
        if self.has_undo(slot) {
            return;
        }
        self.count_fault("kill");
        testbed.shared.checker().record_fault_start(Part::Process(slot));
        testbed.kill(slot);
        self.schedule_undo(time / 4, Undo::Start(slot));
    }

    fn kill_all(&mut self, testbed: &mut Testbed, time: Duration) {
        (0..testbed.slots.len()).for_each(|slot| self.kill(testbed, slot, time));
    }

    /// Sends SIGTERM to the instance of a slot, unless something else is done to it.
    pub fn stop(&mut self, testbed: &mut Testbed, slot: usize) {
        let Some(instance) = &testbed.slots[slot].instance else { return };
        if self.has_undo(slot) {
            return;
        }
        self.count_fault("stop");
        testbed.shared.checker().record_stop(slot, Instant::now());
        instance.terminate();
        self.schedule_undo(GRACE_TIME, Undo::KillOverdue(slot));
    }

    fn freeze(&mut self, testbed: &mut Testbed, slot: usize, time: Duration) {
        let Some(instance) = &testbed.slots[slot].instance else { return };
        if self.has_undo(slot) {
            return;
        }
        self.count_fault("freeze");
        testbed.shared.checker().record_fault_start(Part::Process(slot));
        instance.signal(Signal::STOP);
        self.schedule_undo(time, Undo::Continue(slot));
    }

    fn fault_link(
        &mut self,
        testbed: &mut Testbed,
        slot: usize,
        time: Duration,
        rng: &mut ChaCha8Rng,
    ) {
        self.count_fault("link of an instance");
        self.record_table_fault(testbed);
        testbed.shared.checker().record_fault_start(Part::Links(slot));
        let entry = &testbed.slots[slot];
        let links = [&entry.caller_link, &entry.table_link, &entry.peer_link];
        links[rng.random_range(0..links.len())].set_drawn_fault(rng);
        self.schedule_undo(time, Undo::Link(slot));
    }

    fn fault_store(&mut self, testbed: &mut Testbed, rng: &mut ChaCha8Rng) {
        // This bound does not depend on the one of the soak: some outages must outlast the time for which a
        // withdrawn key may be served.
        let time = Duration::from_millis(rng.random_range(MIN_DURATION_MS..MAX_OUTAGE_MS));
        if self.pending.iter().any(|(_, u)| *u == Undo::Store) {
            return;
        }
        self.count_fault("table service");
        self.record_table_fault(testbed);
        testbed.shared.checker().record_fault_start(Part::Store);
        match rng.random_range(0..5) {
            0 => testbed.store.set_fault(StoreFault::Overloaded),
            1 => testbed.store.set_fault(StoreFault::DropsResponses),
            2 => testbed.store.set_fault(StoreFault::Slow(time / 20)),
            3 => testbed.store.set_fault(StoreFault::Hangs),
            _ => testbed.store.compact_history(),
        }
        self.schedule_undo(time, Undo::Store);
    }

    fn fault_server(
        &mut self,
        testbed: &mut Testbed,
        backend: usize,
        time: Duration,
        rng: &mut ChaCha8Rng,
    ) {
        self.count_fault("server misbehaves");
        let server = &testbed.backends[backend].server;
        let kind = rng.random_range(0..7);
        // A server that refuses does not go on with a generation that it stopped, either, and one that answers for another
        // request takes a generation that moves to it.
        if matches!(kind, 0..=2 | 5 | 6) {
            testbed.shared.checker().record_fault_start(Part::Server(server.name.clone()));
        }
        match kind {
            0 => server.set_behaviour(Behaviour::Refuses),
            1 => server.set_behaviour(Behaviour::DropsResponses),
            2 => server.set_behaviour(Behaviour::EchoesWrongId),
            3 => server.set_behaviour(Behaviour::Fails),
            4 => server.set_behaviour(Behaviour::Hangs),
            5 => server.cut_streams(),
            _ => {
                testbed.shared.checker().record_fault_start(Part::Held(server.name.clone()));
                testbed.backends[backend].link.set_drawn_fault(rng);
            }
        }
        self.schedule_undo(time, Undo::Server(backend));
    }

    fn leave(&mut self, testbed: &mut Testbed, backend: usize, silent: bool) {
        if self.awaits_replacement(backend) {
            return;
        }
        self.count_fault("server leaves");
        let server = &testbed.backends[backend].server;
        match silent {
            true => standin::unlist(&testbed.store, &server.name),
            false => server.list_draining(&testbed.store),
        }
        testbed.shared.checker().record_leaving(&server.name);
        self.leaving.push((backend, silent));
        self.schedule_undo(LEAVE_NOTICE, Undo::Replace(backend, false));
    }

    /// Has a server leave that says so in its answers only. Its rule holds from the first such answer.
    pub fn leave_by_answer(&mut self, testbed: &mut Testbed, backend: usize) {
        self.count_fault("server leaves by its answers");
        testbed.backends[backend].server.say_leaving();
        self.schedule_undo(LEAVE_NOTICE, Undo::Replace(backend, false));
    }

    fn crash(&mut self, testbed: &mut Testbed, backend: usize, time: Duration, reuse: bool) {
        if self.awaits_replacement(backend) {
            return;
        }
        self.count_fault("server crashes");
        let name = testbed.backends[backend].server.name.clone();
        testbed.shared.checker().record_fault_start(Part::Server(name));
        testbed.backends[backend].server.crash();
        testbed.backends[backend].link.retarget(UNUSED_ADDRESS);
        self.schedule_undo(time / 3, Undo::Replace(backend, reuse));
    }

    /// Ends the faults that are due, or all of them.
    pub async fn undo(&mut self, testbed: &mut Testbed, all: bool) -> Result<(), String> {
        let now = Instant::now();
        loop {
            let due = |at: &Instant| all || *at <= now;
            let (due, kept): (Vec<_>, Vec<_>) = self.pending.drain(..).partition(|(at, _)| due(at));
            self.pending = kept;
            if due.is_empty() {
                return Ok(());
            }
            for (_, undo) in due {
                self.apply_undo(testbed, undo, all).await?;
            }
        }
    }

    async fn apply_undo(
        &mut self,
        testbed: &mut Testbed,
        undo: Undo,
        all: bool,
    ) -> Result<(), String> {
        match undo {
            Undo::Start(slot) => {
                testbed.start(slot).await?;
                testbed.shared.checker().record_fault_end(Part::Process(slot));
            }
            Undo::Continue(slot) => {
                if let Some(instance) = &testbed.slots[slot].instance {
                    instance.signal(Signal::CONT);
                }
                testbed.shared.checker().record_fault_end(Part::Process(slot));
            }
            Undo::KillOverdue(slot) => {
                // At the end of a soak, the grace time is not over.
                let part = if all { Part::Process(slot) } else { Part::Overdue(slot) };
                testbed.shared.checker().record_fault_start(part.clone());
                testbed.kill(slot);
                testbed.start(slot).await?;
                testbed.shared.checker().record_fault_end(part);
            }
            // At the end of a soak, a series ends too.
            Undo::Stop(_) | Undo::KillStopping(..) | Undo::Reload(..) | Undo::Publish if all => {}
            Undo::Stop(slot) => self.stop(testbed, slot),
            Undo::KillStopping(slot, away) => {
                if self.is_stopping(slot) {
                    self.count_fault("kill while stopping");
                    self.record_exit(slot);
                    testbed.shared.checker().record_fault_start(Part::Process(slot));
                    testbed.kill(slot);
                    self.schedule_undo(away, Undo::Start(slot));
                }
            }
            Undo::Terminate(slot) if self.is_stopping(slot) => {
                self.count_fault("second SIGTERM");
                testbed.slots[slot].instance.iter().for_each(Instance::terminate);
            }
            Undo::Terminate(_) => {}
            Undo::Reload(slot, revoke_ms) => testbed.reload(slot, revoke_ms),
            Undo::Publish => testbed.publish(),
            Undo::Link(slot) => {
                self.table_fault_at = Some(Instant::now());
                let entry = &testbed.slots[slot];
                for link in [&entry.caller_link, &entry.table_link, &entry.peer_link] {
                    link.set(Faults::default());
                }
                testbed.shared.checker().record_fault_end(Part::Links(slot));
            }
            Undo::Store => {
                self.table_fault_at = Some(Instant::now());
                testbed.store.set_fault(StoreFault::None);
                testbed.shared.checker().record_fault_end(Part::Store);
            }
            Undo::Restore => self.apply_restore(testbed),
            Undo::Republish => testbed.publish_again(),
            Undo::Relist(backend) => self.relist(testbed, backend),
            Undo::Unlist => {
                let current =
                    |name: &String| testbed.backends.iter().any(|b| b.server.name == *name);
                let ended = testbed.store.server_names().into_iter().filter(|name| !current(name));
                ended.for_each(|name| standin::unlist(&testbed.store, &name));
            }
            Undo::Server(backend) => {
                testbed.backends[backend].server.set_behaviour(Behaviour::Serves);
                testbed.backends[backend].link.set(Faults::default());
                let name = &testbed.backends[backend].server.name;
                let mut checker = testbed.shared.checker();
                checker.record_fault_end(Part::Server(name.clone()));
                checker.record_fault_end(Part::Held(name.clone()));
            }
            Undo::Need(backend) => testbed.end_need(backend),
            Undo::Slow(backend) => testbed.end_slowness(backend),
            Undo::Silence(backend) => end_silence(self, testbed, backend),
            Undo::Reach(slot) => end_cut(testbed, slot),
            Undo::Zone(change) => evacuations::apply(self, testbed, change, all),
            Undo::Replace(backend, reuse) => self.replace(testbed, backend, reuse).await?,
        }
        Ok(())
    }

    /// Ends a server and starts another one. With `reuse`, the old address then leads to a server of
    /// another service.
    async fn replace(
        &mut self,
        testbed: &mut Testbed,
        backend: usize,
        reuse: bool,
    ) -> Result<(), String> {
        let (service, zone, name, link) = {
            testbed.end_slowness(backend);
            let old = &testbed.backends[backend];
            testbed.shared.checker().record_fault_start(Part::Server(old.server.name.clone()));
            old.server.crash();
            old.link.retarget(UNUSED_ADDRESS);
            let server = &old.server;
            (server.service.clone(), server.zone(), server.name.clone(), old.link.clone())
        };
        testbed.check_backend_runs(&testbed.backends[backend]);
        self.leaving.retain(|(leaving, _)| *leaving != backend);
        standin::unlist(&testbed.store, &name);
        let new = testbed.start_backend(&service, Some(&zone)).await?;
        if reuse && let Some(other) = testbed.backends.iter().find(|p| p.server.service != service)
        {
            // Instances that still send to the old address reach a server of another service.
            link.retarget(other.server.address);
        }
        testbed.backends[backend] = new;
        Ok(())
    }
}
