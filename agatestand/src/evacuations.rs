//! Evacuated zones, cold servers and uneven engines that a soak adds to its other faults: the operator evacuates zones and ends
//! that, in a row and overlapping, also all of them for a short time; servers become cold when they start, when the evacuation
//! of their zone ends, and at any moment.
//!
//! They are drawn from a generator of their own, so the draws of all other faults do not depend on them.

use std::time::{Duration, Instant};

use agateroute_standin::cold::FALL_TIME;
use agateroute_standin::{Server, Tempo};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::checker::Checker;
use crate::fault_plan::{FaultPlan, MAX_REWRITE_MS, Undo};
use crate::testbed::Testbed;
use crate::zones::{COLD_START, cold_bound};

/// Whether soaks have zones, cold servers and uneven engines. Without them, all servers are in one zone, no server is cold, and
/// neither documents nor settings name bounds for them.
pub const EVACUATIONS: bool = true;
/// Zones of the servers. Servers that start one after the other are in different ones.
const ZONES: [&str; 3] = ["a", "b", "c"];
/// Stream of the generator. The other faults and the callers use the ones before.
const ZONES_STREAM: u64 = 6;
/// The first injection of another fault, and one of this many later ones, is followed by an evacuation or a cold server.
const ZONES_SHARE: u32 = 10;
/// Bounds of the time for which a zone is evacuated: too short for the rule, and long enough for it.
const SHORT_MS: (u64, u64) = (100, 1_500);
const LONG_MS: (u64, u64) = (6_500, 12_000);
/// Upper bound for the time from one evacuation to the next of the same zone.
const MAX_BETWEEN_MS: u64 = 1_000;
/// Upper bound for the time from one evacuation to an overlapping one.
const MAX_OVERLAP_MS: u64 = 4_000;
/// Interval at which cold servers write their entries. Their zone may be in use again before.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);
/// Longest wait for cold servers after all faults: longer than a fall and the cold time after it.
const MAX_WARM_UP: Duration = Duration::from_secs(10);
/// Usual and momentary slowness of engines, in the ratios of deployment P. One of four is fast. The figures are lower, so that the
/// longest streams still end about in the time that their callers wait.
const FAST: (u32, u32) = (40, 100);
const USUAL: (u32, u32) = (87, 217);
/// Time between the first slow moments of two engines, so that they are not slow at once.
const SLOW_STEP: Duration = Duration::from_millis(900);

/// Change of the evacuation of a zone, by its index.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ZoneChange {
    /// Evacuate it for a time.
    Evacuate(usize, Duration),
    /// End its evacuation.
    End(usize),
    /// Write its row again, or remove it again, after the table service came back from a copy.
    Rewrite(usize),
}

/// Kind of what a soak adds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Event {
    One,
    Twice,
    Overlapping,
    All,
    Cold,
}

const EVENTS: [Event; 6] =
    [Event::One, Event::Twice, Event::Overlapping, Event::All, Event::Cold, Event::Cold];

/// Draws evacuations and cold servers.
#[derive(Debug)]
pub struct Evacuations {
    rng: ChaCha8Rng,
    /// Whether nothing was drawn yet. Only an evacuation that begins early lasts beyond its bound in a short soak.
    first: bool,
    next_heartbeat: Instant,
    /// Names of servers whose last entry says that they are cold.
    cold: Vec<String>,
}

impl Evacuations {
    /// Creates the generator of a seed.
    pub fn new(seed: u64) -> Evacuations {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        rng.set_stream(ZONES_STREAM);
        Evacuations { rng, first: true, next_heartbeat: Instant::now(), cold: Vec::new() }
    }

    /// Evacuates zones or makes a server cold, or does nothing. It is called once for each injected fault.
    pub fn inject(&mut self, plan: &mut FaultPlan, testbed: &mut Testbed) {
        let drawn = self.rng.random_ratio(1, ZONES_SHARE) || self.first;
        self.first = false;
        if !EVACUATIONS || !drawn {
            return;
        }
        let zone = self.rng.random_range(0..ZONES.len());
        let (short, long) = (self.time(SHORT_MS), self.time(LONG_MS));
        let evacuate = |zone, time| Undo::Zone(ZoneChange::Evacuate(zone, time));
        match *EVENTS.choose(&mut self.rng).expect("an event") {
            Event::One => self::evacuate(plan, testbed, zone, long),
            Event::Twice => {
                let (first, second) = if self.rng.random() { (short, long) } else { (long, short) };
                let pause = self.time((0, MAX_BETWEEN_MS));
                self::evacuate(plan, testbed, zone, first);
                plan.schedule_undo(first + pause, evacuate(zone, second));
            }
            Event::Overlapping => {
                let (after, time) = (self.time((0, MAX_OVERLAP_MS)), self.time(LONG_MS));
                self::evacuate(plan, testbed, zone, long);
                plan.schedule_undo(after, evacuate((zone + 1) % ZONES.len(), time));
            }
            Event::All => {
                (0..ZONES.len()).for_each(|zone| self::evacuate(plan, testbed, zone, short));
            }
            Event::Cold => {
                plan.count_fault("server becomes cold");
                let backend = self.rng.random_range(0..testbed.backends.len());
                let server = &testbed.backends[backend].server;
                make_cold(server, &mut testbed.shared.checker(), false);
                plan.relist(testbed, backend);
            }
        }
    }

    fn time(&mut self, (from, until): (u64, u64)) -> Duration {
        Duration::from_millis(self.rng.random_range(from..until))
    }

    /// Writes the entries of cold servers, and of those that no longer are.
    pub fn send_heartbeats(&mut self, plan: &FaultPlan, testbed: &Testbed) {
        if Instant::now() < self.next_heartbeat {
            return;
        }
        self.next_heartbeat = Instant::now() + HEARTBEAT_INTERVAL;
        let before = std::mem::take(&mut self.cold);
        for (backend, Server { name, .. }) in testbed.backends.iter().map(|b| &b.server).enumerate()
        {
            let is_cold = !testbed.backends[backend].server.cold_remaining().is_zero();
            if is_cold || before.contains(name) {
                plan.relist(testbed, backend);
            }
            self.cold.extend(is_cold.then(|| name.clone()));
        }
    }

    /// Writes entries until no server is cold, and those that fell over are back: without them nobody learns that a server
    /// is cold. Ends after [`MAX_WARM_UP`] at the latest.
    pub async fn wait_until_warm(&mut self, plan: &FaultPlan, testbed: &Testbed) {
        let (started, mut warm_since) = (Instant::now(), Instant::now());
        while EVACUATIONS && warm_since.elapsed() <= FALL_TIME && started.elapsed() < MAX_WARM_UP {
            self.send_heartbeats(plan, testbed);
            if testbed.backends.iter().any(|b| !b.server.cold_remaining().is_zero()) {
                warm_since = Instant::now();
            }
            tokio::time::sleep(HEARTBEAT_INTERVAL).await;
        }
    }
}

/// Sets the zone and the tempo of a server before it is listed. One that starts during traffic, in the zone of the server that
/// it replaces, is cold.
pub fn prepare(server: &Server, number: u64, replaced: Option<&str>, checker: &mut Checker) {
    if !EVACUATIONS {
        return;
    }
    let zone = replaced.unwrap_or(ZONES[number as usize % ZONES.len()]);
    server.set_zone(zone);
    checker.record_zone(&server.name, &server.service, zone);
    if server.events() > 0 {
        let (usual, slow) = if number.is_multiple_of(4) { FAST } else { USUAL };
        server.set_tempo(Tempo { usual, slow, first_slow: SLOW_STEP * number as u32 });
    }
    if replaced.is_some() {
        make_cold(server, checker, true);
    }
}

fn make_cold(server: &Server, checker: &mut Checker, announced: bool) {
    let time = Duration::from_secs_f64(COLD_START.seconds);
    let now = Instant::now();
    server.set_cold(time, Some(cold_bound() as usize));
    checker.record_cold(&server.name, now, now + time, announced);
}

fn evacuate(plan: &mut FaultPlan, testbed: &Testbed, zone: usize, time: Duration) {
    let mut checker = testbed.shared.checker();
    if checker.zones.is_evacuated(ZONES[zone]) {
        return;
    }
    plan.count_fault("zone evacuated");
    let acknowledged = testbed.store.evacuate(ZONES[zone]);
    checker.record_evacuation(ZONES[zone], acknowledged.at);
    plan.schedule_undo(time, Undo::Zone(ZoneChange::End(zone)));
}

/// Schedules that the operator writes the rows of zones again, after the table service came back from a copy.
pub fn schedule_rewrites(plan: &mut FaultPlan, away: Duration) {
    for zone in (0..ZONES.len()).filter(|_| EVACUATIONS) {
        let share = (zone as u64 + 1) * MAX_REWRITE_MS / (ZONES.len() as u64 + 1);
        let after = away + Duration::from_millis(share);
        plan.schedule_undo(after, Undo::Zone(ZoneChange::Rewrite(zone)));
    }
}

/// Applies a change. At the end of a soak, no zone is evacuated any more.
pub fn apply(plan: &mut FaultPlan, testbed: &Testbed, change: ZoneChange, at_end: bool) {
    match change {
        ZoneChange::Evacuate(zone, time) if !at_end => evacuate(plan, testbed, zone, time),
        ZoneChange::Evacuate(..) => {}
        ZoneChange::End(zone) => {
            let mut checker = testbed.shared.checker();
            // Requests that arrive from now on may come from an instance that has seen the end.
            let announced = checker.record_evacuation_end(ZONES[zone], Instant::now());
            let servers = testbed.backends.iter().map(|b| &b.server);
            servers
                .filter(|s| s.zone() == ZONES[zone])
                .for_each(|s| make_cold(s, &mut checker, announced));
            testbed.store.end_evacuation(ZONES[zone]);
        }
        ZoneChange::Rewrite(zone) => {
            let evacuated = testbed.shared.checker().zones.is_evacuated(ZONES[zone]);
            match evacuated {
                true => testbed.store.evacuate(ZONES[zone]),
                false => testbed.store.end_evacuation(ZONES[zone]),
            };
        }
    }
}
