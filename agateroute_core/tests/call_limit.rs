//! The adaptive limit of concurrent calls on a plain server. Guards against callers that leave, which say nothing about
//! the server, and against a burst of lost calls that lowers the limit once for each.

mod simulation;

use agateroute_core::event::{End, ServerSignal};
use agateroute_core::id;
use simulation::{Simulation, document};

/// The number of calls that the only plain server may run at a time.
fn calls_at_once(sim: &Simulation) -> usize {
    let controller = sim.instances[0].state.controllers.get(&id("service-0"));
    controller.expect("the server is owned").limit.allowed()
}

/// Ends calls one after the other, each a while after its start.
fn end_calls(sim: &mut Simulation, calls: u64, end: &End) {
    for request in 1..=calls {
        let spec = sim.spec(request, "yew", "stock");
        sim.arrive(0, spec);
        sim.advance(25);
        sim.end(0, request, end.clone());
    }
}

#[test]
fn cancelled_calls_do_not_count() {
    let mut sim = Simulation::new(1, document(0, 1_000, 1, 1));
    end_calls(&mut sim, 40, &End::Completed { tokens: 0, took_ms: 10 });
    let mut left = Simulation::new(1, document(0, 1_000, 1, 1));
    end_calls(&mut left, 40, &End::Completed { tokens: 0, took_ms: 10 });
    for request in 100..140 {
        let spec = left.spec(request, "yew", "stock");
        left.arrive(0, spec);
        left.end(0, request, End::Cancelled { tokens: 0 });
    }
    assert_eq!(calls_at_once(&left), calls_at_once(&sim));
}

#[test]
fn lost_calls_count_once_in_their_time() {
    // Calls that are lost together after a while are one sign of overload, however many they are.
    let after_losses = |count: u64| {
        let mut sim = Simulation::new(1, document(0, 1_000, 1, 1));
        end_calls(&mut sim, 40, &End::Completed { tokens: 0, took_ms: 10 });
        for first in [100, 200] {
            for request in first..first + count {
                let spec = sim.spec(request, "yew", "stock");
                sim.arrive(0, spec);
            }
            sim.advance(500);
            for request in first..first + count {
                let end = End::Lost { tokens: 0, signal: ServerSignal::None, retry: false };
                sim.end(0, request, end);
            }
        }
        calls_at_once(&sim)
    };
    assert_eq!(after_losses(2), after_losses(1));
}
