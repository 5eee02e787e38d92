//! A server that loses or fails requests gets less work while it does, and some again later.

mod world;

use agateroute_core::event::{End, Sign};
use agateroute_core::id;
use world::{World, document};

/// Sends calls one after the other, of which the first server loses all, and counts what it was given.
fn given(world: &mut World, first: u64, calls: u64) -> u64 {
    let grey = id("service-0");
    let mut given = 0;
    for request in first..first + calls {
        let ticket = world.ticket(request, "yew", "stock");
        world.arrive(0, ticket);
        let server = *world.instances[0].running.get(&request).expect("it starts");
        let lost = server == grey;
        given += u64::from(lost);
        let end = match lost {
            true => End::Lost { tokens: 0, sign: Sign::Nothing, again: false },
            false => End::Whole { tokens: 0, took_ms: 10 },
        };
        world.end(0, request, end);
        world.pass(25);
    }
    given
}

#[test]
fn less_work() {
    let mut world = World::new(1, document(0, 1_000, 1, 3));
    let given_to_it = given(&mut world, 1, 60);
    assert!(given_to_it < 10, "{given_to_it} of 60 calls went to the server that loses all");
    assert!(given_to_it > 0, "it is tried");
    world.pass(20_000);
    assert!(given(&mut world, 1_000, 20) > 0, "it is tried again later");
}
