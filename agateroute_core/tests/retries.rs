//! The retry budget: a percentage of the requests, plus a part of the slack for each instance.

use std::time::Duration;

use agateroute_core::retry::{Allowance, RetryBudget};

/// The number of random inputs.
const ITERATIONS: usize = 2_000;
/// Long enough that the number of iterations ends the test, also on a slow machine.
const TEST_TIME: Duration = Duration::from_secs(600);

const TARGET: u64 = 7;

fn allowance(instances: u32) -> Allowance {
    Allowance { percent: 20, slack: 58, instances, window_ms: 10_000 }
}

#[test]
fn slack_divided() {
    let mut budget = RetryBudget::default();
    let spent = (0..100).filter(|_| budget.try_spend(TARGET, 5, allowance(4))).count();
    assert_eq!(spent, 14, "a slack of 58 over 4 instances");
    assert!(budget.try_spend(TARGET + 1, 5, allowance(4)), "another target has its own budget");
}

#[test]
fn moves_counted() {
    let mut budget = RetryBudget::default();
    for _ in 0..50 {
        budget.record_move(TARGET, 5, allowance(1));
    }
    let spent = (0..100).filter(|_| budget.try_spend(TARGET, 5, allowance(1))).count();
    assert_eq!(spent, 8, "a slack of 58 less 50 moves");
    for _ in 0..50 {
        budget.record_move(TARGET, 5, allowance(1));
    }
    assert!(!budget.try_spend(TARGET, 9_000, allowance(1)), "only moves are left");
}

#[test]
fn first_requests_earn() {
    let mut budget = RetryBudget::default();
    let no_slack = Allowance { slack: 0, ..allowance(1) };
    for _ in 0..50 {
        budget.record_arrival(TARGET, 100, no_slack);
    }
    let spent = (0..100).filter(|_| budget.try_spend(TARGET, 200, no_slack)).count();
    assert_eq!(spent, 10, "20 percent of 50 requests in the only part of the window so far");
    assert!(!budget.try_spend(TARGET, 10_500, no_slack), "their part is partly outside");
}

#[test]
fn window_slides() {
    let mut budget = RetryBudget::default();
    while budget.try_spend(TARGET, 500, allowance(1)) {}
    assert!(!budget.try_spend(TARGET, 10_400, allowance(1)), "the retries are still in the window");
    assert!(budget.try_spend(TARGET, 11_500, allowance(1)), "the retries are older than a window");
}

/// Guards against exceeding the budget when instances spend it independently: in each window,
/// retries stay within the slack and 20 percent of the requests in this window and the one before.
#[test]
fn sum_bounded() {
    bolero::check!()
        .with_iterations(ITERATIONS)
        .with_test_time(TEST_TIME)
        .with_type::<Vec<(u8, bool, u8)>>()
        .for_each(|steps| {
            let instances = 4;
            let mut budgets = vec![RetryBudget::default(); instances];
            let mut now = 0;
            let (mut arrivals, mut retries) = (Vec::new(), Vec::new());
            for (at, arrives, pause) in steps {
                now += u64::from(*pause) * 8;
                let budget = &mut budgets[usize::from(*at) % instances];
                if *arrives {
                    budget.record_arrival(TARGET, now, allowance(instances as u32));
                    arrivals.push(now);
                } else if budget.try_spend(TARGET, now, allowance(instances as u32)) {
                    retries.push(now);
                }
            }
            for from in &retries {
                let within = |t: &&u64| **t >= *from && **t < from + 10_000;
                let spent = retries.iter().filter(within).count() as f64;
                let lately = |t: &&u64| **t + 10_000 >= *from && **t < from + 10_000;
                let asked = arrivals.iter().filter(lately).count() as f64;
                assert!(spent <= 0.2 * asked + 58.0, "{spent} retries for {asked} requests");
            }
        });
}
