//! The age of the list of servers in fleets with relays in which many instances stand still, and no other one has noticed yet.

mod fleet_model;

use agateroute_core::id::Millis;
use fleet_model::{Ages, DRAIN_MS, Fleet, running};
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};

/// How long instances stand still.
const STOPPED_MS: Millis = 6_000;

fn stop(fleet: &mut Fleet, from: Millis, stopped: impl IntoIterator<Item = usize>) -> Ages {
    for number in stopped {
        fleet.nodes[number].stopped = true;
    }
    fleet.run_ages(from, from + STOPPED_MS)
}

/// Guards against a server that left and gets requests because the readers stand still, and nobody else reads the list in time to
/// tell the others.
#[test]
fn list_without_readers() {
    for (size, servers) in [(75, 49), (118, 350), (300, 1_200), (830, 3_000)] {
        let (mut fleet, now) = running(size);
        fleet.servers = servers;
        let readers: Vec<usize> = fleet.readers.iter().map(|r| fleet.number(*r)).collect();
        let ages = stop(&mut fleet, now, readers);
        let reads: u64 = fleet.nodes.iter().map(|n| n.list_reads).sum();
        println!(
            "{size}: newest list {} ms, oldest {} ms, {reads} reads",
            ages.newest_list, ages.list
        );
        assert!(ages.newest_list <= DRAIN_MS, "{size}: {} ms", ages.newest_list);
    }
}

/// The same for each instance of a fleet with a short list, whatever part of it stands still.
#[test]
fn list_of_each_running_instance() {
    for seed in 0..60 {
        let mut rng = StdRng::seed_from_u64(seed);
        let (mut fleet, now) = running(75);
        fleet.servers = 49;
        let mut order: Vec<usize> = (0..75).collect();
        order.shuffle(&mut rng);
        let stopped = rng.random_range(0..75);
        let ages = stop(&mut fleet, now, order[..stopped].to_vec());
        assert!(ages.list <= DRAIN_MS, "seed {seed}, {stopped} stopped: {} ms", ages.list);
    }
}

/// Guards against a fleet that reads the list for itself while nothing is wrong.
#[test]
fn list_in_steady_operation() {
    for (size, servers) in [(75, 49), (118, 350), (300, 1_200), (830, 3_000)] {
        let (mut fleet, now) = running(size);
        fleet.servers = servers;
        let before: u64 = fleet.nodes.iter().map(|n| n.list_reads).sum();
        let ages = fleet.run_ages(now, now + STOPPED_MS);
        let reads: u64 = fleet.nodes.iter().map(|n| n.list_reads).sum();
        assert!(ages.list <= DRAIN_MS, "{size}: {} ms", ages.list);
        assert_eq!(reads, before, "{size}: only readers read");
    }
}
