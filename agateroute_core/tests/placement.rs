//! The load of a release: the old version loses its servers while new streams keep coming. Guards against new streams that
//! take the last places of the old version, which its own streams need when one more of its servers goes.

mod simulation;

use std::sync::Arc;

use agateroute_config::Document;
use agateroute_core::event::{End, RequestId, RequestSpec, ServerSignal};
use agateroute_core::{Event, Id, id};
use simulation::{Simulation, document};

const SERVERS: usize = 8;
/// The places of each server.
const BATCH: u32 = 8;
/// Four fifths of all places: evenly spread, the streams of a server would not fit on the others of its version.
const STREAMS: u64 = 52;

fn configure(sim: &mut Simulation, document: Document) {
    let document = Arc::new(document);
    sim.document = document.clone();
    sim.apply(0, Event::Configured { document });
}

/// Half of the servers have been replaced by new ones of another version.
fn half_released() -> Simulation {
    let before = document(SERVERS, 1_000_000, BATCH, 0);
    let mut sim = Simulation::new(1, before.clone());
    let mut after = before;
    for server in &mut after.servers[SERVERS / 2..] {
        server.name = format!("{}-new", server.name);
        server.version = "v2".to_owned();
    }
    configure(&mut sim, after);
    sim.advance(500);
    sim
}

fn arrive(sim: &mut Simulation, request: RequestId, version: Option<Id>) {
    let deadline = sim.now + 5_000;
    let spec = RequestSpec { version, deadline, ..sim.spec(request, "yew", "draft") };
    sim.arrive(0, spec);
    sim.advance(25);
}

#[test]
fn room_for_resumed_streams() {
    let mut sim = half_released();
    for request in 1..=STREAMS {
        arrive(&mut sim, request, None);
        sim.apply(0, Event::Progressed { request, tokens: 4 });
    }
    assert_eq!(sim.instances[0].running.len() as u64, STREAMS);
    let crashed = sim.document.servers[0].name.clone();
    let running = sim.instances[0].running.iter();
    let cut: Vec<RequestId> =
        running.filter(|(_, server)| **server == id(&crashed)).map(|(r, _)| *r).collect();
    let mut without = (*sim.document).clone();
    without.servers.retain(|s| s.name != crashed);
    configure(&mut sim, without);
    for request in &cut {
        let (tokens, signal) = (4, ServerSignal::None);
        sim.end(0, *request, End::Lost { tokens, signal, retry: true });
    }
    sim.advance(25);
    let waiting: Vec<_> = cut.iter().filter(|r| !sim.instances[0].running.contains(r)).collect();
    assert!(waiting.is_empty(), "{} of {} streams found no place", waiting.len(), cut.len());
}

#[test]
fn resumed_streams_go_first() {
    let mut document = document(2, 1_000_000, BATCH, 0);
    document.servers[1].version = "v2".to_owned();
    let mut sim = Simulation::new(1, document);
    let places = u64::from(BATCH) * 2;
    for request in 1..=places {
        arrive(&mut sim, request, None);
    }
    // Each of these asks both servers.
    for request in [1_001, 1_002] {
        arrive(&mut sim, request, None);
        sim.advance(50);
    }
    arrive(&mut sim, 1_003, Some(id("v1")));
    assert_eq!(sim.instances[0].running.len() as u64, places);
    let on_it = sim.instances[0].running.iter().find(|(_, s)| **s == id("engine-0"));
    let request = *on_it.expect("a running request").0;
    sim.end(0, request, End::Completed { tokens: 8, took_ms: 100 });
    assert!(sim.instances[0].running.contains(&1_003), "a new stream went first");
}
