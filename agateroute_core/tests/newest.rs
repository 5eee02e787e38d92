//! Guards against a version being replaced by an older one.

use std::time::Duration;

use agateroute_core::newest::Newest;

/// The number of generated inputs per property.
const ITERATIONS: usize = 2_000;
/// Long enough that the number of iterations, not the time, ends a test on any machine.
const TEST_TIME: Duration = Duration::from_secs(600);

/// Full reads, change feeds and peers deliver versions late, twice and out of order. The current version
/// is always the newest one offered so far.
#[test]
fn version_never_decreases() {
    bolero::check!()
        .with_type::<Vec<u8>>()
        .with_iterations(ITERATIONS)
        .with_test_time(TEST_TIME)
        .for_each(|offered| {
            let mut newest = Newest::default();
            let mut newest_version: Option<u64> = None;
            for (order, version) in offered.iter().map(|v| u64::from(*v)).enumerate() {
                let accepted = newest.offer(version, order);
                assert_eq!(accepted, newest_version.is_none_or(|v| v < version), "{offered:?}");
                if accepted {
                    assert_eq!(newest.get(), Some(&order));
                }
                newest_version = newest_version.max(Some(version));
                assert_eq!(newest.version(), newest_version);
            }
            assert_eq!(newest.version(), offered.iter().map(|v| u64::from(*v)).max());
        });
}
