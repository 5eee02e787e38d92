//! Estimates of output lengths, and the memory use predicted from them.

use std::time::Duration;

use agateroute_core::estimate::{Class, Curve, Estimator};
use agateroute_core::memory::{Demand, peak};
use bolero::check;

/// Long enough that the number of iterations ends each test, also on a slow machine.
const TEST_TIME: Duration = Duration::from_secs(600);
const CLASS: Class = Class { model: 1, kind: 2, organisation: 3 };

#[test]
fn learns_lengths() {
    let mut estimator = Estimator::default();
    for _ in 0..200 {
        estimator.learn(CLASS, 100);
    }
    let curve = estimator.curve(CLASS).expect("a curve");
    assert!(curve.survives(0.0, 50.0) > 0.9);
    assert!(curve.survives(0.0, 200.0) < 0.1);
    assert!(curve.mean() > 60.0 && curve.mean() < 180.0, "{}", curve.mean());
}

#[test]
fn shrinks_towards_kind() {
    let mut estimator = Estimator::default();
    for _ in 0..300 {
        estimator.learn(CLASS, 1_000);
    }
    let newcomer = Class { organisation: 4, ..CLASS };
    estimator.learn(newcomer, 10);
    let curve = estimator.curve(newcomer).expect("a curve");
    assert!(curve.at_least(500.0) > 0.5, "one short answer does not make a short organisation");
    let stranger = Class { organisation: 5, ..CLASS };
    assert_eq!(estimator.curve(stranger), estimator.curve(Class { organisation: 0, ..CLASS }));
}

#[test]
fn probabilities_hold() {
    check!().with_type::<Vec<u16>>().with_iterations(200).with_test_time(TEST_TIME).for_each(
        |lengths| {
            let mut estimator = Estimator::default();
            for length in lengths {
                estimator.learn(CLASS, u32::from(*length));
            }
            let prior = Curve::prior();
            let curve = estimator.curve(CLASS).unwrap_or(&prior);
            let mut last = 1.0;
            for length in [0.0, 1.0, 10.0, 100.0, 1_000.0, 10_000.0, 60_000.0] {
                let now = curve.at_least(length);
                assert!((0.0..=1.0001).contains(&now) && now <= last + 1e-4, "{now} after {last}");
                last = now;
                let more = curve.survives(length, 100.0);
                assert!((0.0..=1.0).contains(&more), "{more}");
            }
        },
    );
}

#[test]
fn peak_grows() {
    let curve = Curve::prior();
    let demand = Demand { prompt: 100.0, generated: 0.0, max_tokens: f32::INFINITY, curve: &curve };
    let one = peak([demand].into_iter(), 2.0);
    let two = peak([demand, demand].into_iter(), 2.0);
    assert!(two > one && one >= 100.0, "{one} {two}");
    let capped = Demand { max_tokens: 16.0, ..demand };
    assert!(peak([capped].into_iter(), 2.0) <= 116.0 + 1.0);
}

#[test]
fn classes_bounded() {
    let mut estimator = Estimator::default();
    for organisation in 0..20_000 {
        estimator.learn(Class { organisation, ..CLASS }, 100);
    }
    assert!(estimator.classes() <= 8_192);
}
