//! What a soak does to the instances, the links and the platform, drawn from a seed.

use std::time::{Duration, Instant};

use agateroute_standin::store::StoreFault;
use agateroute_standin::{self as standin, Behaviour};
use rand::Rng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;

use crate::checker::Subject;
use crate::fault::{FaultProxy, Faults};
use crate::testbed::{NOBODY, Testbed};

/// How long an instance may take to stop, as its settings say; then it is killed.
const GRACE: Duration = Duration::from_millis(8_000);
/// The longest trouble, in milliseconds; the last is longer than a withdrawn key may be served.
const LONGEST_MS: [u64; 3] = [800, 3_000, 7_000];
/// The longest outage of the table service, in milliseconds.
const OUTAGE_MS: u64 = 10_000;
/// The kinds of trouble in one soak at most.
const KINDS_MOST: usize = 5;
/// The shortest trouble, in milliseconds.
const SHORTEST_MS: u64 = 100;
/// How long a server that said that it leaves still serves.
const LEAVES: Duration = Duration::from_millis(3_500);

/// What has to be undone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Undo {
    /// Start the instance of a slot.
    Start(usize),
    /// Let the process of a slot go on.
    Continue(usize),
    /// Kill the process of a slot that has not stopped in its time.
    Overdue(usize),
    /// Let a link of a slot alone.
    Link(usize),
    /// Let the table service alone.
    Store,
    /// Let a server behave well, and its link alone.
    Server(usize),
    /// Put a new server in the place of one.
    Replace(usize, bool),
}

/// A kind of trouble.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
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
}

impl Kind {
    const ALL: [Kind; 10] = [
        Kind::Kill,
        Kind::KillAll,
        Kind::Stop,
        Kind::Freeze,
        Kind::Link,
        Kind::Store,
        Kind::Versions,
        Kind::Misbehave,
        Kind::Leave,
        Kind::Crash,
    ];
}

/// What is under way, with when it has to be undone.
#[derive(Debug)]
pub struct Plan {
    /// What this soak does. Each does only some of all, since much of one thing hides another: instances
    /// that are killed all the time never grow old enough to be wrong.
    kinds: Vec<Kind>,
    longest_ms: u64,
    /// What has to be undone and when.
    pub undos: Vec<(Instant, Undo)>,
    /// What was done, for the report.
    pub done: Vec<(&'static str, u32)>,
}

impl Plan {
    /// A plan with some of the kinds of trouble.
    pub fn new(rng: &mut ChaCha8Rng) -> Plan {
        let count = rng.random_range(1..=KINDS_MOST);
        let kinds = Kind::ALL.choose_multiple(rng, count).copied().collect();
        let longest_ms = LONGEST_MS[rng.random_range(0..LONGEST_MS.len())];
        Plan { kinds, longest_ms, undos: Vec::new(), done: Vec::new() }
    }

    fn later(&mut self, after: Duration, undo: Undo) {
        self.undos.push((Instant::now() + after, undo));
    }

    fn note(&mut self, what: &'static str) {
        match self.done.iter_mut().find(|(w, _)| *w == what) {
            Some((_, count)) => *count += 1,
            None => self.done.push((what, 1)),
        }
    }

    fn busy(&self, slot: usize) -> bool {
        let about = |u: &Undo| match u {
            Undo::Start(s) | Undo::Continue(s) | Undo::Overdue(s) => *s == slot,
            _ => false,
        };
        self.undos.iter().any(|(_, u)| about(u))
    }

    /// Whether the instance of a slot was told to stop.
    pub fn stops(&self, slot: usize) -> bool {
        self.undos.iter().any(|(_, u)| *u == Undo::Overdue(slot))
    }

    /// Notes that the process of a slot has ended.
    pub fn stopped(&mut self, slot: usize) {
        self.undos.retain(|(_, u)| *u != Undo::Overdue(slot));
    }

    fn replaced(&self, backend: usize) -> bool {
        self.undos.iter().any(|(_, u)| matches!(u, Undo::Replace(p, _) if *p == backend))
    }

    /// Does one thing, of those that this soak is about.
    pub fn inject(&mut self, testbed: &mut Testbed, rng: &mut ChaCha8Rng) {
        let time = Duration::from_millis(rng.random_range(SHORTEST_MS..self.longest_ms));
        let slot = rng.random_range(0..testbed.slots.len());
        let backend = rng.random_range(0..testbed.backends.len());
        match self.kinds[rng.random_range(0..self.kinds.len())] {
            Kind::Kill => self.kill(testbed, slot, time),
            Kind::KillAll => self.kill_all(testbed, time),
            Kind::Stop => self.stop(testbed, slot),
            Kind::Freeze => self.freeze(testbed, slot, time),
            Kind::Link => self.harm_link(testbed, slot, time, rng),
            Kind::Store => self.harm_store(testbed, rng),
            Kind::Versions => {
                self.note("versions in a row");
                (0..rng.random_range(1..6)).for_each(|_| testbed.publish());
            }
            Kind::Misbehave => self.misbehave(testbed, backend, time, rng),
            Kind::Leave => self.leave(testbed, backend, rng.random()),
            Kind::Crash => self.crash(testbed, backend, time, rng.random()),
        }
    }

    fn kill(&mut self, testbed: &mut Testbed, slot: usize, time: Duration) {
        if self.busy(slot) {
            return;
        }
        self.note("kill");
        testbed.shared.checker().trouble(Subject::Process(slot));
        testbed.end(slot);
        self.later(time / 4, Undo::Start(slot));
    }

    fn kill_all(&mut self, testbed: &mut Testbed, time: Duration) {
        (0..testbed.slots.len()).for_each(|slot| self.kill(testbed, slot, time));
    }

    fn stop(&mut self, testbed: &mut Testbed, slot: usize) {
        let Some(instance) = &testbed.slots[slot].instance else { return };
        if self.busy(slot) {
            return;
        }
        self.note("stop");
        instance.terminate();
        self.later(GRACE, Undo::Overdue(slot));
    }

    fn freeze(&mut self, testbed: &mut Testbed, slot: usize, time: Duration) {
        let Some(instance) = &testbed.slots[slot].instance else { return };
        if self.busy(slot) {
            return;
        }
        self.note("freeze");
        testbed.shared.checker().trouble(Subject::Process(slot));
        instance.signal(Signal::STOP);
        self.later(time, Undo::Continue(slot));
    }

    fn harm_link(
        &mut self,
        testbed: &mut Testbed,
        slot: usize,
        time: Duration,
        rng: &mut ChaCha8Rng,
    ) {
        self.note("link of an instance");
        testbed.shared.checker().trouble(Subject::Links(slot));
        let place = &testbed.slots[slot];
        let links = [&place.callers, &place.table, &place.peers];
        harm(links[rng.random_range(0..links.len())], rng);
        self.later(time, Undo::Link(slot));
    }

    fn harm_store(&mut self, testbed: &mut Testbed, rng: &mut ChaCha8Rng) {
        // Whatever the other troubles last, an outage has to outlast the bound for withdrawn keys at times.
        let time = Duration::from_millis(rng.random_range(SHORTEST_MS..OUTAGE_MS));
        if self.undos.iter().any(|(_, u)| *u == Undo::Store) {
            return;
        }
        self.note("table service");
        testbed.shared.checker().trouble(Subject::Store);
        match rng.random_range(0..5) {
            0 => testbed.store.set_fault(StoreFault::Overloaded),
            1 => testbed.store.set_fault(StoreFault::DropsResponses),
            2 => testbed.store.set_fault(StoreFault::Slow(time / 20)),
            3 => testbed.store.set_fault(StoreFault::Hangs),
            _ => testbed.store.compact_history(),
        }
        self.later(time, Undo::Store);
    }

    fn misbehave(
        &mut self,
        testbed: &mut Testbed,
        backend: usize,
        time: Duration,
        rng: &mut ChaCha8Rng,
    ) {
        self.note("server misbehaves");
        let server = &testbed.backends[backend].server;
        match rng.random_range(0..7) {
            0 => server.set_behaviour(Behaviour::Refuses),
            1 => server.set_behaviour(Behaviour::DropsResponses),
            2 => server.set_behaviour(Behaviour::EchoesWrongId),
            3 => server.set_behaviour(Behaviour::Fails),
            4 => server.set_behaviour(Behaviour::Hangs),
            5 => server.cut_streams(),
            _ => harm(&testbed.backends[backend].link, rng),
        }
        self.later(time, Undo::Server(backend));
    }

    fn leave(&mut self, testbed: &mut Testbed, backend: usize, silent: bool) {
        if self.replaced(backend) {
            return;
        }
        self.note("server leaves");
        let server = &testbed.backends[backend].server;
        match silent {
            true => standin::unlist(&testbed.store, &server.name),
            false => server.list_draining(&testbed.store),
        }
        testbed.shared.checker().server_left(&server.name);
        self.later(LEAVES, Undo::Replace(backend, false));
    }

    fn crash(&mut self, testbed: &mut Testbed, backend: usize, time: Duration, reuse: bool) {
        if self.replaced(backend) {
            return;
        }
        self.note("server crashes");
        testbed.backends[backend].server.crash();
        testbed.backends[backend].link.retarget(NOBODY);
        self.later(time / 3, Undo::Replace(backend, reuse));
    }

    /// Undoes what is due, or everything.
    pub async fn undo(&mut self, testbed: &mut Testbed, all: bool) -> Result<(), String> {
        let now = Instant::now();
        let due = |at: &Instant| all || *at <= now;
        let (due, kept): (Vec<_>, Vec<_>) = self.undos.drain(..).partition(|(at, _)| due(at));
        self.undos = kept;
        for (_, undo) in due {
            self.undo_one(testbed, undo).await?;
        }
        Ok(())
    }

    async fn undo_one(&mut self, testbed: &mut Testbed, undo: Undo) -> Result<(), String> {
        match undo {
            Undo::Start(slot) => {
                testbed.start(slot).await?;
                testbed.shared.checker().calm(Subject::Process(slot));
            }
            Undo::Continue(slot) => {
                if let Some(instance) = &testbed.slots[slot].instance {
                    instance.signal(Signal::CONT);
                }
                testbed.shared.checker().calm(Subject::Process(slot));
            }
            Undo::Overdue(slot) => {
                testbed.shared.checker().trouble(Subject::Process(slot));
                testbed.end(slot);
                testbed.start(slot).await?;
                testbed.shared.checker().calm(Subject::Process(slot));
            }
            Undo::Link(slot) => {
                let place = &testbed.slots[slot];
                for link in [&place.callers, &place.table, &place.peers] {
                    link.set(Faults::default());
                }
                testbed.shared.checker().calm(Subject::Links(slot));
            }
            Undo::Store => {
                testbed.store.set_fault(StoreFault::None);
                testbed.shared.checker().calm(Subject::Store);
            }
            Undo::Server(backend) => {
                testbed.backends[backend].server.set_behaviour(Behaviour::Serves);
                testbed.backends[backend].link.set(Faults::default());
            }
            Undo::Replace(backend, reuse) => self.replace(testbed, backend, reuse).await?,
        }
        Ok(())
    }

    /// Ends a server and starts another one; with `reuse`, one of the other kind has its address then.
    async fn replace(
        &mut self,
        testbed: &mut Testbed,
        backend: usize,
        reuse: bool,
    ) -> Result<(), String> {
        let (service, name, link) = {
            let old = &testbed.backends[backend];
            old.server.crash();
            old.link.retarget(NOBODY);
            (old.server.service.clone(), old.server.name.clone(), old.link.clone())
        };
        testbed.check_runs_of(&testbed.backends[backend]);
        standin::unlist(&testbed.store, &name);
        let new = testbed.backend(&service, "127.0.0.1:0").await?;
        if reuse && let Some(other) = testbed.backends.iter().find(|p| p.server.service != service)
        {
            // Whoever still sends to the old address reaches a server of another service.
            link.retarget(other.server.address);
        }
        testbed.backends[backend] = new;
        Ok(())
    }
}

fn harm(link: &FaultProxy, rng: &mut ChaCha8Rng) {
    let delay = Duration::from_millis(rng.random_range(1..300));
    match rng.random_range(0..5) {
        0 => link.set(Faults { delay, ..Faults::default() }),
        1 => link.set(Faults { cut: true, ..Faults::default() }),
        2 => link.set(Faults { hold_requests: true, ..Faults::default() }),
        3 => link.set(Faults { hold_answers: true, ..Faults::default() }),
        _ => link.cut_once(),
    }
}
