//! The requests that a leaving instance still accepts. Guards against answers that are cut off when it
//! exits.

use agateroute_config::route::RouteKind;
use agateroute_core::leaving::can_finish;

#[test]
fn short_calls() {
    assert!(can_finish(800, RouteKind::Once, 0, 0));
    assert!(!can_finish(100, RouteKind::Repeatable, 0, 0));
}

#[test]
fn short_streams() {
    // A generation of about 12 tokens ends in time, one of about 900 does not.
    assert!(can_finish(4_000, RouteKind::ResumableStream, 40, 12));
    assert!(!can_finish(7_000, RouteKind::Stream, 2_200, 900));
    assert!(!can_finish(1_500, RouteKind::ResumableStream, 40, 12));
    // Without the caller's estimate, the limit on the output applies.
    assert!(!can_finish(7_000, RouteKind::Stream, 2_200, 0));
    assert!(can_finish(7_000, RouteKind::Stream, 100, 0));
}
