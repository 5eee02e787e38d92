//! What an instance that was told to stop still takes.

use agateroute_config::route::RouteKind;
use agateroute_core::leaving::fits;

#[test]
fn calls_until_last() {
    assert!(fits(800, RouteKind::Once, 0, 0));
    assert!(!fits(100, RouteKind::Repeatable, 0, 0));
}

#[test]
fn streams_that_end() {
    // A summary of a few events ends within seconds, a draft of 900 tokens does not.
    assert!(fits(4_000, RouteKind::ResumableStream, 40, 12));
    assert!(!fits(7_000, RouteKind::Stream, 2_200, 900));
    assert!(!fits(1_500, RouteKind::ResumableStream, 40, 12));
    // Without a guess the longest output counts.
    assert!(!fits(7_000, RouteKind::Stream, 2_200, 0));
    assert!(fits(7_000, RouteKind::Stream, 100, 0));
}
