//! A server that loses requests gets less work while it does, and more again later. Guards against
//! sending it ever more requests because the lost ones make it look idle.

mod simulation;

use agateroute_core::event::{End, ServerSignal};
use agateroute_core::id;
use simulation::{Simulation, document};

/// Sends calls one after another. The first server loses all of its calls; returns their number.
fn calls_to_failing(sim: &mut Simulation, first: u64, calls: u64) -> u64 {
    let failing = id("service-0");
    let mut given = 0;
    for request in first..first + calls {
        let spec = sim.spec(request, "yew", "stock");
        sim.arrive(0, spec);
        let server = *sim.instances[0].running.get(&request).expect("it starts");
        let lost = server == failing;
        given += u64::from(lost);
        let end = match lost {
            true => End::Lost { tokens: 0, signal: ServerSignal::None, retry: false },
            false => End::Completed { tokens: 0, took_ms: 10 },
        };
        sim.end(0, request, end);
        sim.advance(25);
    }
    given
}

#[test]
fn fewer_calls_while_failing() {
    let mut sim = Simulation::new(1, document(0, 1_000, 1, 3));
    let given = calls_to_failing(&mut sim, 1, 60);
    assert!(given < 10, "{given} of 60 calls went to the failing server");
    assert!(given > 0, "the failing server got no calls");
    sim.advance(20_000);
    assert!(calls_to_failing(&mut sim, 1_000, 20) > 0, "the failing server got no calls later");
}
