//! The age of the document in fleets in which many instances stand still, are slow or are gone, and no other one has noticed yet. The bound
//! for a new version holds for each instance that runs and reaches the table service, whatever happens to the others.

mod fleet_model;

use agateroute_core::id::Millis;
use fleet_model::{CONFIGURE_MS, Fleet, instance, running};
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};

/// How long instances stand still.
const STOPPED_MS: Millis = 6_000;
/// Sizes of fleets that read for themselves, ask readers, and ask relays.
const SIZES: [usize; 7] = [4, 7, 30, 75, 118, 300, 830];

/// The largest age of a document of a running instance while others stand still, and the reads of it meanwhile.
fn stop(
    fleet: &mut Fleet,
    from: Millis,
    stopped: impl IntoIterator<Item = usize>,
) -> (Millis, u64) {
    for number in stopped {
        fleet.nodes[number].stopped = true;
    }
    let before = fleet.document_reads();
    let oldest = fleet.run_ages(from, from + STOPPED_MS).document;
    (oldest, fleet.document_reads() - before)
}

/// Guards against instances that reach the table service and go on with an old document while those stand still that read it for
/// them: they waited for one after the other, and for a turn that was meant for the list of servers.
#[test]
fn readers_stand_still() {
    for size in SIZES {
        let (mut fleet, now) = running(size);
        let readers: Vec<usize> = fleet.readers.iter().map(|r| fleet.number(*r)).collect();
        let (oldest, reads) = stop(&mut fleet, now, readers);
        println!("{size}: oldest document {oldest} ms, {reads} reads");
        assert!(oldest <= CONFIGURE_MS, "{size}: {oldest} ms");
    }
}

/// The same for any part of the fleet, with slow and dead instances among the others.
#[test]
fn any_part_stands_still() {
    for (size, seeds) in [(4, 20), (7, 40), (30, 40), (75, 40), (118, 20), (300, 6), (830, 2)] {
        for seed in 0..seeds {
            let mut rng = StdRng::seed_from_u64(seed);
            let (mut fleet, now) = running(size);
            let mut order: Vec<usize> = (0..size).collect();
            order.shuffle(&mut rng);
            let stopped = rng.random_range(0..size);
            let slow = rng.random_range(stopped..size);
            for number in &order[stopped..slow] {
                fleet.nodes[*number].slow_ms = rng.random_range(0..2_000);
            }
            // They are known to be dead, but their places are not filled yet.
            for number in order.iter().take(stopped / 4) {
                fleet.nodes[*number].alive = false;
            }
            let (oldest, reads) = stop(&mut fleet, now, order[..stopped].to_vec());
            assert!(
                oldest <= CONFIGURE_MS,
                "{size} instances, seed {seed}, {stopped} stopped: {oldest} ms, {reads} reads"
            );
        }
    }
}

/// Guards against a fleet in which all instances read for themselves while nothing is wrong.
#[test]
fn few_read_in_steady_operation() {
    for size in SIZES {
        let (mut fleet, now) = running(size);
        let before: Vec<u64> = fleet.nodes.iter().map(|n| n.document_reads).collect();
        let oldest = fleet.run_ages(now, now + STOPPED_MS).document;
        let read = |n: &usize| fleet.nodes[*n].document_reads > before[*n];
        let readers: Vec<usize> = (0..size).filter(read).collect();
        println!("{size}: oldest document {oldest} ms, {} instances read it", readers.len());
        assert!(oldest <= CONFIGURE_MS, "{size}: {oldest} ms");
        if size > 5 {
            let is_reader = |n: &usize| fleet.readers.contains(&instance(*n));
            assert!(readers.iter().all(is_reader), "{size}: only readers read");
        }
    }
}
