//! Loads of backend servers reach the instances that asked for permits lately. Guards against a grant to one instance
//! that counts as news for all others.

mod simulation;

use agateroute_core::id;
use simulation::{Simulation, document};

#[test]
fn grants_are_news_for_others() {
    let mut sim = Simulation::new(2, document(0, 1_000, 1, 1));
    let server = id("service-0");
    let owner = sim.instances[0].state.owner_of(server);
    let owner_at = usize::from(owner != sim.instances[0].state.membership.me);
    let other = 1 - owner_at;
    // Both have asked once, so both are told about the load.
    for at in [0, 1] {
        let spec = sim.spec(at as u64 + 1, "yew", "stock");
        sim.arrive(at, spec);
    }
    sim.advance(2_000);
    let before = sim.instances[other].state.health.pressure(server);
    let spec = sim.spec(100, "yew", "stock");
    sim.arrive(owner_at, spec);
    sim.advance(1_000);
    let after = sim.instances[other].state.health.pressure(server);
    assert!(
        after > before,
        "the other instance still sees {before} after a grant, not more: {after}"
    );
}
