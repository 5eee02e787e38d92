//! A plain call is refused early if its answer would come too late. Guards against queueing calls
//! until their target has passed, because the time that the answer takes was not subtracted.

mod simulation;

use agateroute_core::event::End;
use simulation::{Simulation, document};

/// The answer time of the plain server, in milliseconds; the target is 1,000.
const SLOW_MS: u32 = 900;

#[test]
fn late_answers_refused() {
    let mut sim = Simulation::new(1, document(0, 1_000, 1, 1));
    let mut request = 0;
    for _ in 0..40 {
        request += 1;
        let spec = sim.spec(request, "yew", "stock");
        sim.arrive(0, spec);
        sim.end(0, request, End::Completed { tokens: 0, took_ms: SLOW_MS });
    }
    let first = request + 1;
    for request in first..first + 8 {
        let spec = sim.spec(request, "yew", "stock");
        sim.arrive(0, spec);
    }
    assert!(!sim.instances[0].running.is_empty());
    sim.advance(200);
    assert!(sim.instances[0].state.entry.pending.is_empty(), "late calls are still queued");
    assert!(!sim.instances[0].refused.is_empty(), "no late call was refused");
}
