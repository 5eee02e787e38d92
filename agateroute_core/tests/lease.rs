//! A lease has one acting holder at a time, whatever pauses, lost answers and deaths there are.

use std::time::Duration;

use agateroute_core::lease::{Lease, LeaseEffect, LeaseRow, LeaseTimes};
use bolero::{TypeGenerator, check};

/// Long enough that the iterations decide when a test ends, on any machine.
const TEST_TIME: Duration = Duration::from_secs(600);
const TIMES: LeaseTimes =
    LeaseTimes { lease_ms: 3_000, margin_ms: 500, renew_ms: 500, order_ms: 1_000 };
const INSTANCES: usize = 3;

#[derive(Debug, TypeGenerator)]
enum Input {
    /// An instance works: its pending answer arrives, then it does what its lease asks for.
    Work {
        on: u8,
        effect: bool,
        told: bool,
    },
    /// Time passes for all, while instances that do not work are paused.
    Pass(u8),
    Long,
    Die {
        on: u8,
    },
}

struct Holder {
    lease: Lease,
    /// The fencing number that a paused holder read before its pause, to act with later.
    intends: Option<u64>,
}

fn fresh(n: usize) -> Holder {
    Holder { lease: Lease::new(format!("instance-{n}"), TIMES), intends: None }
}

#[derive(Default)]
struct Table {
    row: Option<LeaseRow>,
}

impl Table {
    fn write(&mut self, row: &LeaseRow, expected: Option<&LeaseRow>) -> bool {
        let fits = self.row.as_ref().map(LeaseRow::tag) == expected.map(LeaseRow::tag);
        if fits {
            self.row = Some(row.clone());
        }
        fits
    }
}

fn work(holder: &mut Holder, table: &mut Table, now: u64, effect: bool, told: bool) {
    match holder.lease.tick(now) {
        None => {}
        Some(LeaseEffect::Read) if told => holder.lease.was_read(now, table.row.clone()),
        Some(LeaseEffect::Read) => {}
        Some(LeaseEffect::Write { row, expected }) => {
            let done = effect.then(|| table.write(&row, expected.as_ref()));
            holder.lease.was_written(now, done.filter(|_| told));
        }
    }
}

#[test]
fn one_acting() {
    check!().with_type::<Vec<Input>>().with_iterations(1_000).with_test_time(TEST_TIME).for_each(
        |inputs| {
            let mut table = Table::default();
            let mut holders: Vec<Holder> = (0..INSTANCES).map(fresh).collect();
            let mut names = INSTANCES;
            let mut now = 0;
            let mut highest = 0;
            for input in inputs.iter().take(300) {
                match *input {
                    Input::Work { on, effect, told } => {
                        let holder = &mut holders[usize::from(on) % INSTANCES];
                        work(holder, &mut table, now, effect, told);
                        // A server that refuses old numbers sees the orders of this holder: what it
                        // meant to send before its pause, and what it sends now.
                        let late = holder.intends.take();
                        let fresh = holder.lease.acting(now);
                        for number in late.into_iter().chain(fresh) {
                            highest = highest.max(number);
                        }
                        holder.intends = fresh;
                    }
                    Input::Pass(ms) => now += u64::from(ms),
                    Input::Long => now += 2_700,
                    Input::Die { on } => {
                        holders[usize::from(on) % INSTANCES] = fresh(names);
                        names += 1;
                    }
                }
                let acting: Vec<u64> = holders.iter().filter_map(|h| h.lease.acting(now)).collect();
                assert!(acting.len() <= 1, "two act at {now}: {acting:?}");
                let row = table.row.as_ref().map_or(0, |r| r.fencing);
                assert!(acting.iter().all(|f| *f == row), "{acting:?} acts beside {row}");
            }
        },
    );
}

#[test]
fn taken_over() {
    let mut table = Table::default();
    let (mut first, mut second) = (fresh(1), fresh(2));
    let step = |holder: &mut Holder, table: &mut Table, now| work(holder, table, now, true, true);
    step(&mut first, &mut table, 0);
    step(&mut first, &mut table, 600);
    assert_eq!(first.lease.acting(600), Some(1));
    assert_eq!(
        first.lease.acting_alone(600),
        None,
        "orders of a former holder may be on their way"
    );
    assert_eq!(first.lease.acting_alone(1_700), Some(1));
    for now in (700..4_800).step_by(100) {
        step(&mut second, &mut table, now);
    }
    assert_eq!(first.lease.acting(3_200), None, "a paused holder stops by its own clock");
    assert_eq!(second.lease.acting(4_800), Some(2), "the successor has a higher number");
    step(&mut first, &mut table, 4_900);
    step(&mut first, &mut table, 5_500);
    assert_eq!(first.lease.acting(5_500), None);
}

#[test]
fn given_back() {
    let mut table = Table::default();
    let (mut first, mut second) = (fresh(1), fresh(2));
    work(&mut first, &mut table, 0, true, true);
    work(&mut first, &mut table, 600, true, true);
    let Some(LeaseEffect::Write { row, expected }) = first.lease.give_back(700) else {
        panic!("the holder gives it back");
    };
    assert!(table.write(&row, expected.as_ref()));
    work(&mut second, &mut table, 800, true, true);
    work(&mut second, &mut table, 1_400, true, true);
    assert_eq!(second.lease.acting(1_400), Some(2), "without waiting");
}
