//! Many generations on a server that leaves: its link carries one copy at a time, however long the queue.

mod simulation;

use agateroute_core::event::Ticket;
use agateroute_core::{Event, id};
use simulation::{Simulation, document};

/// The time that the owner of a server leaves to one move before it gives the next turn, in milliseconds.
const TURN_MS: u64 = 900;

/// Three instances with generations that all run on `engine-0`, which leaves. Returns how many.
fn leaving() -> (Simulation, usize) {
    let mut sim = Simulation::new(3, document(8, 100_000, 30, 0));
    for request in 0..64 {
        let at = (request % 3) as usize;
        let ticket = sim.ticket(request, "yew", "draft");
        sim.arrive(at, Ticket { movable: true, most: 4_000, ..ticket });
        sim.apply(at, Event::Progressed { request, tokens: 8 });
    }
    let here = sim.running_on(id("engine-0"));
    assert!(here > 3, "there are enough of them: {here}");
    sim.take_log();
    sim.server_leaving("engine-0");
    (sim, here)
}

/// The moves that were begun since the last call.
fn begun(sim: &mut Simulation) -> usize {
    sim.take_log().lines().filter(|l| l.contains(": move ")).count()
}

#[test]
fn one_at_a_time() {
    let (mut sim, _) = leaving();
    assert_eq!(begun(&mut sim), 1);
    sim.advance(TURN_MS - 100);
    assert_eq!(begun(&mut sim), 0, "the others wait for their turn");
    // A move that takes longer loses its turn to one other, not to all.
    sim.advance(TURN_MS);
    assert_eq!(begun(&mut sim), 1);
}

#[test]
fn one_after_another() {
    let (mut sim, here) = leaving();
    let mut moved = begun(&mut sim);
    while let Some(at) = (0..3).find(|at| sim.instances[*at].last_move.is_some()) {
        sim.end_move(at, true);
        moved += begun(&mut sim);
    }
    assert_eq!(moved, here, "without a pause between them");
}

#[test]
fn turns_survive_their_owner() {
    let (mut sim, here) = leaving();
    let owner = sim.instances[0].state.owner_of(id("engine-0"));
    let owner = sim.instances.iter().position(|i| id(&i.name) == owner).expect("an owner");
    let lost = sim.instances[owner].running.values().filter(|s| **s == id("engine-0")).count();
    let mut moved = begun(&mut sim);
    sim.kill(owner);
    for _ in 0..here {
        sim.advance(1_000);
        moved += begun(&mut sim);
        for at in 0..3 {
            sim.end_move(at, true);
        }
        moved += begun(&mut sim);
    }
    assert!(moved >= here - lost, "{moved} of {here} without the {lost} of the owner");
}
