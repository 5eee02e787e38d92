//! What an instance that was told to stop still takes.

use agateroute_config::route::RouteKind;
use agateroute_core::leaving::can_finish;

#[test]
fn short_calls() {
    assert!(can_finish(800, RouteKind::Once, 0, 0));
    assert!(!can_finish(100, RouteKind::Repeatable, 0, 0));
}

#[test]
fn short_streams() {
    // A summary of a few events ends within seconds, a draft of 900 tokens does not.
    assert!(can_finish(4_000, RouteKind::ResumableStream, 40, 12));
    assert!(!can_finish(7_000, RouteKind::Stream, 2_200, 900));
    assert!(!can_finish(1_500, RouteKind::ResumableStream, 40, 12));
    // Without a guess the longest output counts.
    assert!(!can_finish(7_000, RouteKind::Stream, 2_200, 0));
    assert!(can_finish(7_000, RouteKind::Stream, 100, 0));
}
