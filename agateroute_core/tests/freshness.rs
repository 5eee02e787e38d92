//! Guards against documents that count as newer than they are, for example after a slow answer, a
//! suspension, or a transfer between peers.

use std::time::Duration;

use agateroute_core::freshness::Freshness;

/// The number of generated inputs per property.
const ITERATIONS: usize = 2_000;
/// Long enough that the number of iterations, not the time, ends a test on any machine.
const TEST_TIME: Duration = Duration::from_secs(600);

const BOUND_MS: u64 = 5_000;

#[test]
fn age_counts_from_request() {
    let mut freshness = Freshness::default();
    assert!(!freshness.is_within(1, BOUND_MS), "no read yet");
    // The answer may be as old as the request, however late it arrives.
    freshness.record_read(1_000, 0);
    assert!(freshness.is_within(5_999, BOUND_MS));
    assert!(!freshness.is_within(6_000, BOUND_MS));
}

#[test]
fn older_reads_ignored() {
    let mut freshness = Freshness::default();
    freshness.record_read(10_000, 0);
    freshness.record_read(12_000, 4_000);
    assert_eq!(freshness.age(12_000), Some(2_000));
    freshness.record_read(12_000, 100);
    assert_eq!(freshness.age(12_000), Some(100));
    freshness.record_read(50, 100);
    assert_eq!(freshness.age(12_000), Some(100), "a read from before the clock's start");
}

/// Two instances exchange reads in any order, with any delay between request and answer. Neither ever
/// underestimates the age of a read.
#[test]
fn age_never_underestimated() {
    bolero::check!()
        .with_iterations(ITERATIONS)
        .with_test_time(TEST_TIME)
        .with_type::<Vec<(bool, bool, u16, u16)>>()
        .for_each(|steps| {
            // The clocks of the two instances differ by a constant.
            let offset = [0u64, 77_777];
            let mut known = [Freshness::default(); 2];
            let mut newest = None;
            let mut now = 100_000u64;
            for (second, from_service, before, after) in steps {
                let at = usize::from(*second);
                let asked = now;
                now += u64::from(*before);
                let age = if *from_service {
                    newest = Some(now);
                    Some(0)
                } else {
                    known[1 - at].age(now + offset[1 - at])
                };
                now += u64::from(*after);
                if let Some(age) = age {
                    known[at].record_read(asked + offset[at], age);
                }
                for (i, freshness) in known.iter().enumerate() {
                    let truth = newest.map(|t| now - t);
                    let age = freshness.age(now + offset[i]);
                    assert!(age.is_none() || age >= truth, "age {age:?}, but really {truth:?}");
                }
            }
        });
}
