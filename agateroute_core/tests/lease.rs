//! Guards against two instances that act on one lease at the same time, after pauses, lost answers and
//! restarts.

use std::time::Duration;

use agateroute_core::lease::{Lease, LeaseEffect, LeaseRow, LeaseTimes};
use bolero::{TypeGenerator, check};

/// Long enough that the number of iterations, not the time, ends a test on any machine.
const TEST_TIME: Duration = Duration::from_secs(600);
const TIMES: LeaseTimes =
    LeaseTimes { lease_ms: 3_000, margin_ms: 500, renew_ms: 500, order_timeout_ms: 1_000 };
const INSTANCES: usize = 3;

#[derive(Debug, TypeGenerator)]
enum Input {
    /// An instance runs one tick of its lease, whose access to the table may fail or stay unanswered.
    Tick {
        instance: u8,
        applied: bool,
        answered: bool,
    },
    /// Time passes for all instances; those without a tick are paused.
    Elapse(u8),
    LongPause,
    Restart {
        instance: u8,
    },
}

struct Holder {
    lease: Lease,
    /// The token that the holder had at its last tick and may still use after a pause.
    stale_token: Option<u64>,
}

fn new_holder(n: usize) -> Holder {
    Holder { lease: Lease::new(format!("instance-{n}"), TIMES), stale_token: None }
}

#[derive(Default)]
struct Table {
    row: Option<LeaseRow>,
}

impl Table {
    fn write(&mut self, row: &LeaseRow, expected: Option<&LeaseRow>) -> bool {
        let unchanged = self.row.as_ref().map(LeaseRow::tag) == expected.map(LeaseRow::tag);
        if unchanged {
            self.row = Some(row.clone());
        }
        unchanged
    }
}

fn tick(holder: &mut Holder, table: &mut Table, now: u64, applied: bool, answered: bool) {
    match holder.lease.tick(now) {
        None => {}
        Some(LeaseEffect::Read) if answered => holder.lease.handle_read(now, table.row.clone()),
        Some(LeaseEffect::Read) => {}
        Some(LeaseEffect::Write { row, expected }) => {
            let done = applied.then(|| table.write(&row, expected.as_ref()));
            holder.lease.handle_write(now, done.filter(|_| answered));
        }
    }
}

#[test]
fn one_holder_acts() {
    check!().with_type::<Vec<Input>>().with_iterations(1_000).with_test_time(TEST_TIME).for_each(
        |inputs| {
            let mut table = Table::default();
            let mut holders: Vec<Holder> = (0..INSTANCES).map(new_holder).collect();
            let mut names = INSTANCES;
            let mut numbers: Vec<usize> = (0..INSTANCES).collect();
            let mut now = 0;
            // A server that refuses old tokens accepts this one and higher ones.
            let mut highest = 0;
            let mut owners: Vec<(u64, usize)> = Vec::new();
            for input in inputs.iter().take(300) {
                match *input {
                    Input::Tick { instance, applied, answered } => {
                        let index = usize::from(instance) % INSTANCES;
                        let holder = &mut holders[index];
                        tick(holder, &mut table, now, applied, answered);
                        // A server that refuses old tokens gets this holder's orders: the one delayed by
                        // its pause, and the current one.
                        let stale = holder.stale_token.take();
                        let token = holder.lease.fencing_token(now);
                        if let Some(token) = token {
                            assert!(token >= highest, "the holder's order {token} is refused");
                            let same = owners.iter().find(|(number, _)| *number == token);
                            let owner = *same.map_or(&numbers[index], |(_, owner)| owner);
                            assert_eq!(owner, numbers[index], "two holders have token {token}");
                            owners.push((token, owner));
                        }
                        let after_successor =
                            stale.is_some_and(|s| Some(s) != token && s > highest);
                        assert!(!after_successor, "an order of a former holder is accepted as new");
                        highest = highest.max(token.unwrap_or(0));
                        holder.stale_token = token;
                    }
                    Input::Elapse(ms) => now += u64::from(ms),
                    Input::LongPause => now += 2_700,
                    Input::Restart { instance } => {
                        holders[usize::from(instance) % INSTANCES] = new_holder(names);
                        numbers[usize::from(instance) % INSTANCES] = names;
                        names += 1;
                    }
                }
                let acting: Vec<u64> =
                    holders.iter().filter_map(|h| h.lease.fencing_token(now)).collect();
                assert!(acting.len() <= 1, "two act at {now}: {acting:?}");
                let row = table.row.as_ref().map_or(0, |r| r.fencing);
                assert!(acting.iter().all(|f| *f == row), "{acting:?} acts, the row has {row}");
            }
        },
    );
}

#[test]
fn takeover() {
    let mut table = Table::default();
    let (mut first, mut second) = (new_holder(1), new_holder(2));
    let step = |holder: &mut Holder, table: &mut Table, now| tick(holder, table, now, true, true);
    step(&mut first, &mut table, 0);
    step(&mut first, &mut table, 600);
    assert_eq!(first.lease.fencing_token(600), Some(1));
    assert_eq!(
        first.lease.exclusive_token(600),
        None,
        "orders of a former holder may still arrive"
    );
    assert_eq!(first.lease.exclusive_token(1_700), Some(1));
    for now in (700..4_800).step_by(100) {
        step(&mut second, &mut table, now);
    }
    assert_eq!(first.lease.fencing_token(3_200), None, "a paused holder stops by its own clock");
    assert_eq!(second.lease.fencing_token(4_800), Some(2), "the successor has a higher token");
    step(&mut first, &mut table, 4_900);
    step(&mut first, &mut table, 5_500);
    assert_eq!(first.lease.fencing_token(5_500), None);
}

#[test]
fn released() {
    let mut table = Table::default();
    let (mut first, mut second) = (new_holder(1), new_holder(2));
    tick(&mut first, &mut table, 0, true, true);
    tick(&mut first, &mut table, 600, true, true);
    let Some(LeaseEffect::Write { row, expected }) = first.lease.release(700) else {
        panic!("the holder releases the lease");
    };
    assert!(table.write(&row, expected.as_ref()));
    tick(&mut second, &mut table, 800, true, true);
    tick(&mut second, &mut table, 1_400, true, true);
    assert_eq!(second.lease.fencing_token(1_400), Some(2), "without waiting");
}
