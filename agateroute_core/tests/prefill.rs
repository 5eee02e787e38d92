//! A burst of long prompts on a new server. Guards against all of them being queued on the engine,
//! where requests with a shorter target could no longer overtake them. The backlog of unprocessed
//! prompt tokens is limited to about a second of prefill.

mod simulation;

use agateroute_core::Event;
use agateroute_core::event::{RequestId, RequestSpec};
use simulation::{Simulation, document};

const PROMPT: u32 = 3_000;

/// One engine with room for everything and a limit of 6,500 unprocessed prompt tokens.
fn burst() -> Simulation {
    let mut document = document(1, 1_000_000, 64, 0);
    document.routing.unread_tokens = 6_500;
    Simulation::new(1, document)
}

fn spec(sim: &Simulation, request: RequestId, target_ms: u32, target_deadline: u64) -> RequestSpec {
    let plain = sim.spec(request, "yew", "draft");
    RequestSpec { prompt: PROMPT, target_ms, target_deadline, ..plain }
}

fn running(sim: &Simulation) -> Vec<RequestId> {
    sim.instances[0].running.keys().copied().collect()
}

#[test]
fn backlog_bounded() {
    let mut sim = burst();
    for request in 1..=8 {
        let spec = spec(&sim, request, 4_000, 4_000);
        sim.arrive(0, spec);
    }
    assert_eq!(running(&sim), [1, 2], "the others wait in the queue");
    sim.apply(0, Event::Progressed { request: 1, tokens: 4 });
    assert_eq!(running(&sim), [1, 2, 3], "the first prompt was processed");
}

#[test]
fn shorter_target_first() {
    let mut sim = burst();
    for request in 1..=4 {
        let spec = spec(&sim, request, 4_000, 4_000);
        sim.arrive(0, spec);
    }
    let short = spec(&sim, 5, 1_500, 1_500);
    sim.arrive(0, short);
    // The target of this one has already passed; it is still answered, but last.
    let late = spec(&sim, 6, 1_000, 0);
    sim.arrive(0, late);
    for request in [1, 2, 5, 3, 4] {
        sim.apply(0, Event::Progressed { request, tokens: 4 });
    }
    let order: Vec<RequestId> = sim.start_order();
    assert_eq!(order, [1, 2, 5, 3, 4, 6]);
}

#[test]
fn one_long_prompt() {
    let mut sim = burst();
    let mut long = spec(&sim, 1, 4_000, 4_000);
    long.prompt = 20_000;
    sim.arrive(0, long);
    assert_eq!(running(&sim), [1], "a prompt above the limit runs alone");
}
