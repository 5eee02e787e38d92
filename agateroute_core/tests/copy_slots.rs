//! Many generations migrate away from one leaving server. Guards against concurrent copies, which share
//! the server's link and keep each other from ending in time.

mod simulation;

use agateroute_core::event::RequestSpec;
use agateroute_core::{Event, id};
use simulation::{Simulation, document};

/// How long a copy slot can be held before the owner grants it to the next, in milliseconds.
const SLOT_TIMEOUT_MS: u64 = 900;

/// Returns three instances and the number of their generations on `engine-0`, which is leaving.
fn setup_leaving() -> (Simulation, usize) {
    let mut sim = Simulation::new(3, document(8, 100_000, 30, 0));
    for request in 0..64 {
        let at = (request % 3) as usize;
        let spec = sim.spec(request, "yew", "draft");
        sim.arrive(at, RequestSpec { movable: true, max_tokens: 4_000, ..spec });
        sim.apply(at, Event::Progressed { request, tokens: 8 });
    }
    let generations = sim.running_on(id("engine-0"));
    assert!(generations > 3, "too few generations: {generations}");
    sim.take_log();
    sim.server_leaving("engine-0");
    (sim, generations)
}

/// Returns the number of migrations started since the last call.
fn moves_started(sim: &mut Simulation) -> usize {
    sim.take_log().lines().filter(|l| l.contains(": move ")).count()
}

#[test]
fn one_at_a_time() {
    let (mut sim, _) = setup_leaving();
    assert_eq!(moves_started(&mut sim), 1);
    sim.advance(SLOT_TIMEOUT_MS - 100);
    assert_eq!(moves_started(&mut sim), 0, "the others wait for the slot");
    // A copy that takes too long loses its slot to one other generation only.
    sim.advance(SLOT_TIMEOUT_MS);
    assert_eq!(moves_started(&mut sim), 1);
}

#[test]
fn next_move_starts_at_once() {
    let (mut sim, generations) = setup_leaving();
    let mut moved = moves_started(&mut sim);
    while let Some(at) = (0..3).find(|at| sim.instances[*at].last_move.is_some()) {
        sim.end_move(at, true);
        moved += moves_started(&mut sim);
    }
    assert_eq!(moved, generations, "without a pause between them");
}

#[test]
fn slots_survive_owner_loss() {
    let (mut sim, generations) = setup_leaving();
    let owner = sim.instances[0].state.owner_of(id("engine-0"));
    let owner = sim.instances.iter().position(|i| id(&i.name) == owner).expect("an owner");
    let lost = sim.instances[owner].running.values().filter(|s| **s == id("engine-0")).count();
    let mut moved = moves_started(&mut sim);
    sim.kill(owner);
    for _ in 0..generations {
        sim.advance(1_000);
        moved += moves_started(&mut sim);
        for at in 0..3 {
            sim.end_move(at, true);
        }
        moved += moves_started(&mut sim);
    }
    assert!(
        moved >= generations - lost,
        "{moved} of {generations} moved, {lost} were lost with the owner"
    );
}
