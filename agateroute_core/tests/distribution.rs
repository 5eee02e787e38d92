//! The distribution of the list of servers in large fleets, in a simulation without a network. Guards against a start in which each
//! instance reads the whole list itself, a link over which most instances get it, and a list that is older than its bound after
//! relays have died.

mod fleet_model;

use agateroute_core::distribution::{Answers, Clients, MAX_CLIENTS, Place, Rank, Turn};
use agateroute_core::distribution::{sources, uses_relays};
use agateroute_core::id::Millis;
use agateroute_core::readers::reader_count;
use agateroute_core::{Id, id};
use fleet_model::{DRAIN_MS, Fleet, LEAF_AGE_MS, STEP_MS, instance, running};

// Guards against the start before: each instance that had no list after 2 s read it from the table service.
#[test]
fn all_start_together() {
    for (size, most_ms) in [(75, 3_000), (300, 3_000), (830, 3_000)] {
        let mut fleet = Fleet::new(size);
        let mut done = 0;
        while fleet.without_list() > 0 && done < 20_000 {
            fleet.run(done, done + STEP_MS);
            done += STEP_MS;
        }
        fleet.run(done, done + 2_000);
        let busiest = fleet.nodes.iter().map(|n| n.sent_lists).max().unwrap_or(0);
        let asked = fleet.nodes.iter().map(|n| n.asked).max().unwrap_or(0);
        let level = fleet.nodes.iter().map(|n| n.level).max().unwrap_or(0);
        let lists: u64 = fleet.nodes.iter().map(|n| n.sent_lists).sum();
        let reads = fleet.table_reads();
        println!(
            "{size}: all have it after {done} ms, {reads} table reads, busiest sends {busiest} lists \
             of {lists} and is asked {asked} times, levels {level}"
        );
        assert_eq!(reads, reader_count(size) as u64, "only readers read the table service");
        assert!(done <= most_ms, "{size}: {done} ms");
        assert!(busiest <= 2 * MAX_CLIENTS as u64, "{size}: {busiest} lists from one instance");
        assert!(level <= 3, "{size}: {level} levels");
    }
}

#[test]
fn bounded_clients() {
    for size in [75, 300, 830] {
        let (mut fleet, now) = running(size);
        let oldest = fleet.run(now, now + 6_000);
        let most = fleet.nodes.iter().map(|n| n.most_clients).max().unwrap_or(0);
        let level = fleet.nodes.iter().map(|n| n.level).max().unwrap_or(0);
        println!("{size}: most clients {most}, oldest list {oldest} ms, levels {level}");
        assert!(most <= MAX_CLIENTS);
        assert!(oldest < LEAF_AGE_MS, "{size}: {oldest} ms through all levels");
        assert!(level <= 2, "{size}: {level} levels");
        assert_eq!(fleet.table_reads(), reader_count(size) as u64);
    }
}

// Guards against clients of dead relays that wait, or that all read the table service.
#[test]
fn tenth_dies() {
    for size in [75, 300, 830] {
        let (mut fleet, now) = running(size);
        fleet.kill_relays(size / 10);
        let reads = fleet.table_reads();
        let oldest = fleet.run(now, now + 6_000);
        let most = fleet.nodes.iter().map(|n| n.most_clients).max().unwrap_or(0);
        println!(
            "{size}: oldest list {oldest} ms after a tenth died, most clients {most}, {} table reads",
            fleet.table_reads() - reads
        );
        assert!(oldest < DRAIN_MS, "{size}: {oldest} ms");
        assert_eq!(fleet.table_reads(), reads, "{size}: the list came from peers");
    }
}

#[test]
fn readers_die() {
    for size in [75, 300, 830] {
        let (mut fleet, now) = running(size);
        for reader in fleet.readers.clone() {
            let number = fleet.number(reader);
            fleet.nodes[number].alive = false;
        }
        fleet.elect();
        let oldest = fleet.run(now, now + 6_000);
        assert!(oldest < DRAIN_MS, "{size}: {oldest} ms");
        assert_eq!(fleet.without_list(), 0);
    }
}

/// The relay with the most clients.
fn busiest_relay(fleet: &Fleet) -> usize {
    let served = |n: usize| fleet.nodes.iter().filter(|o| o.parent == Some(instance(n))).count();
    let relays = (0..fleet.nodes.len()).filter(|n| !fleet.readers.contains(&instance(*n)));
    relays.max_by_key(|n| served(*n)).expect("a relay")
}

// Guards against clients that stay with a relay which answers, but has had no news for some time.
#[test]
fn relay_behind() {
    let (mut fleet, now) = running(300);
    let behind = busiest_relay(&fleet);
    // It does not run any more, but its answers still go out.
    fleet.nodes[behind].next = Millis::MAX;
    let reads = fleet.table_reads();
    let mut oldest = 0;
    for at in (now..now + 6_000).step_by(STEP_MS as usize) {
        fleet.step(at);
        let others = (0..300).filter(|n| *n != behind).filter_map(|n| fleet.nodes[n].read_at);
        oldest = oldest.max(others.map(|read_at| at - read_at).max().unwrap_or(0));
    }
    assert!(oldest < DRAIN_MS, "{oldest} ms");
    assert_eq!(fleet.table_reads(), reads);
    assert!(fleet.nodes.iter().all(|n| n.parent != Some(instance(behind))), "none stays with it");
}

// Guards against a relay that gets the list from no reader, and against all instances that read the table at once when no peer has a
// recent list.
#[test]
fn cut_off_from_readers() {
    let all: Vec<Id> = (0..97).map(instance).collect();
    let place = |me: Id| sources(me, id("discovery"), &all, &[]);
    let relays: Vec<Id> = all.iter().copied().filter(|i| place(*i).place == Place::Relay).collect();
    assert_eq!(relays.len(), 16);
    for relay in &relays {
        let sources = place(*relay);
        assert!(sources.preferred.is_empty(), "no reader is reached");
        assert_eq!(sources.others.len(), sources.rank.position, "it asks the relays before it");
        for other in &sources.others {
            assert!(!place(*other).others.contains(relay), "no two ask each other");
        }
    }
    let ranks: Vec<(Id, Rank)> = all.iter().map(|me| (*me, place(*me).rank)).collect();
    for (has_list, answered) in [(true, true), (false, true), (false, false)] {
        let mut turn = Turn::default();
        let answers = Answers { any: answered, refused: false, waiting: answered };
        turn.unserved(0, answers, has_list);
        let may_read = |now, me: Id, rank| turn.may_read(now, rank, me);
        let mut former = 0;
        let mut starts = Vec::new();
        for now in (0..60_000).step_by(STEP_MS as usize) {
            let count = ranks.iter().filter(|(me, rank)| may_read(now, *me, *rank)).count();
            starts.extend(std::iter::repeat_n(now, count - former));
            former = count;
        }
        assert_eq!(starts.len(), all.len(), "each gets its turn at last");
        for at in &starts {
            let at_once = starts.iter().filter(|s| (*at..at + 500).contains(*s)).count();
            assert!(at_once <= 8, "{at_once} reads begin within half a second");
        }
    }
}

#[test]
fn refused_for_long() {
    let mut clients = Clients::default();
    for number in 0..MAX_CLIENTS {
        assert!(clients.admit(instance(number), 100 * number as Millis));
    }
    assert!(!clients.admit(instance(100), 1_000));
    assert!(clients.admit(instance(0), 1_100), "it is one of them");
    // One that has not asked for 1.2 s makes room.
    assert!(clients.admit(instance(100), 1_300));
    let refused = Answers { any: true, refused: true, waiting: false };
    let mut turn = Turn::default();
    turn.unserved(1_000, refused, true);
    assert!(!turn.insists(1_700));
    turn.unserved(1_800, refused, true);
    assert!(turn.insists(1_800), "it is served in the end");
    turn.served();
    assert!(!turn.insists(9_000));
}

// Guards against an instance that starts, gets its first list when it is no longer recent, and reads the table service at once.
#[test]
fn first_list_is_late() {
    let waiting = Answers { any: true, refused: false, waiting: true };
    let behind = Answers { any: true, refused: false, waiting: false };
    let first = Rank { position: 0, clients: 50 };
    let mut turn = Turn::default();
    turn.unserved(500, waiting, false);
    turn.unserved(2_500, behind, true);
    assert!(!turn.may_read(2_600, first, instance(0)));
    assert!(turn.may_read(4_500, first, instance(0)));
    turn.served();
    turn.unserved(10_000, behind, true);
    assert!(!turn.may_read(10_900, first, instance(0)));
    assert!(turn.may_read(11_000, first, instance(0)));
}

#[test]
fn one_joins() {
    let all: Vec<Id> = (0..100).map(instance).collect();
    let relays = |zone: &[Id]| -> Vec<Id> {
        let place = |me: Id| sources(me, id("discovery"), zone, &[]).place;
        zone.iter().copied().filter(|i| place(*i) == Place::Relay).collect()
    };
    for left in 0..100 {
        let others: Vec<Id> = all.iter().copied().filter(|i| *i != instance(left)).collect();
        let (before, after) = (relays(&others), relays(&all));
        let moved = before.iter().filter(|r| !after.contains(r)).count();
        assert!(moved <= 1, "{moved} relays became leaves");
    }
}

#[test]
fn small_fleets() {
    assert!(!uses_relays(48), "everything stays as it was");
    assert!(uses_relays(49));
}
