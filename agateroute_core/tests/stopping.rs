//! The requests that a leaving instance still accepts. Guards against answers that are cut off when it
//! exits.

use agateroute_config::route::RouteKind;
use agateroute_core::leaving;

const KINDS: [RouteKind; 4] =
    [RouteKind::Once, RouteKind::Repeatable, RouteKind::Stream, RouteKind::ResumableStream];

/// Whether a request is accepted whose answer is due when the instance ends.
fn can_finish(left_ms: u64, stopping_ms: u64, kind: RouteKind, most: u32, hint: u32) -> bool {
    let serving_ms = stopping_ms + left_ms;
    leaving::can_finish((serving_ms, serving_ms), stopping_ms, kind, most, hint)
}

fn latest_start_ms(serving_ms: u64, kind: RouteKind, most: u32, hint: u32) -> Option<u64> {
    leaving::latest_start_ms((serving_ms, serving_ms), kind, most, hint)
}

// Guards against requests that are accepted on an estimate and whose server takes longer, up to the deadline.
#[test]
fn never_due_after_the_end() {
    type Input = ((u32, u32), u32, usize, (u32, u32));
    bolero::check!().with_type::<Input>().for_each(
        |((serving, due), stopping, kind, (most, hint))| {
            let (serving, due) = (u64::from(*serving), u64::from(*due));
            let (kind, stopping) = (KINDS[kind % KINDS.len()], u64::from(*stopping));
            if leaving::can_finish((serving, due), stopping, kind, *most, *hint) {
                assert!(due <= serving && stopping <= serving);
            }
        },
    );
}

#[test]
fn due_before_the_end() {
    assert!(leaving::can_finish((7_400, 7_000), 1_000, RouteKind::ResumableStream, 40, 12));
    assert!(!leaving::can_finish((7_400, 7_401), 1_000, RouteKind::ResumableStream, 40, 12));
    assert!(leaving::can_finish((7_400, 7_400), 5_400, RouteKind::Once, 0, 0));
    assert!(!leaving::can_finish((7_400, 8_400), 5_400, RouteKind::Once, 0, 0));
    assert!(!leaving::can_finish((7_400, 8_400), 5_400, RouteKind::Repeatable, 0, 0));
}

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

// Guards against generations that are accepted more than 3 s after the order to stop, and are cut off 4 s later when the
// process ends. Their estimates are assumed.
#[test]
fn long_generations_late() {
    assert!(!can_finish(4_086, 3_314, RouteKind::Stream, 1_768, 100));
    assert!(!can_finish(3_546, 3_854, RouteKind::Stream, 1_768, 80));
}

#[test]
fn latest_starts() {
    assert_eq!(latest_start_ms(7_400, RouteKind::Once, 0, 0), Some(6_700));
    assert_eq!(latest_start_ms(500, RouteKind::Once, 0, 0), None);
    assert_eq!(latest_start_ms(7_400, RouteKind::Stream, 100, 0), Some(4_700));
    assert_eq!(latest_start_ms(7_400, RouteKind::Stream, 1_100, 0), None);
    // On the estimate, a generation starts early or not at all.
    assert_eq!(latest_start_ms(7_400, RouteKind::Stream, 1_100, 30), Some(2_500));
    assert_eq!(latest_start_ms(7_400, RouteKind::Stream, 1_100, 200), Some(1_100));
    assert_eq!(latest_start_ms(7_400, RouteKind::Stream, 1_100, 400), None);
    assert_eq!(latest_start_ms(7_400, RouteKind::Stream, 100, 30), Some(4_700));
}
