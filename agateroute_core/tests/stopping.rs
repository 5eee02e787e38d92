//! The requests that a leaving instance still accepts. Guards against answers that are cut off when it
//! exits.

use agateroute_config::route::RouteKind;
use agateroute_core::leaving::can_finish;

#[test]
fn short_calls() {
    assert!(can_finish(800, 0, RouteKind::Once, 0, 0));
    assert!(!can_finish(100, 0, RouteKind::Repeatable, 0, 0));
}

#[test]
fn short_streams() {
    // A generation of about 12 tokens ends in time, one of about 900 does not.
    assert!(can_finish(4_000, 0, RouteKind::ResumableStream, 40, 12));
    assert!(!can_finish(7_000, 0, RouteKind::Stream, 2_200, 900));
    assert!(!can_finish(1_500, 0, RouteKind::ResumableStream, 40, 12));
    // Without the caller's estimate, the limit on the output applies.
    assert!(!can_finish(7_000, 0, RouteKind::Stream, 2_200, 0));
    assert!(can_finish(7_000, 0, RouteKind::Stream, 100, 0));
}

#[test]
fn estimates_not_trusted_late() {
    // 5.1 s after the order to stop, 2.3 s were left for a generation that its caller took for a short one. It made
    // 150 tokens in 1.9 s and was cut off.
    assert!(!can_finish(2_300, 5_100, RouteKind::Stream, 1_100, 30));
    assert!(
        can_finish(2_300, 5_100, RouteKind::ResumableStream, 40, 12),
        "its limit is short enough"
    );
    assert!(can_finish(5_500, 1_900, RouteKind::Stream, 1_100, 100), "early on it counts");
}
