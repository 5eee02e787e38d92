//! Guards against wall-clock jumps of a writer that make its row look stale or fresh.

use agateroute_core::presence::RowPresence;

#[test]
fn age_since_last_change() {
    let mut presence = RowPresence::default();
    assert_eq!(presence.observe(1_000, "a", "written at 5"), 0);
    assert_eq!(presence.observe(31_000, "a", "written at 5"), 30_000, "not written since");
    // The writer's wall clock was set back by an hour.
    assert_eq!(presence.observe(32_000, "a", "written at -3600"), 0);
    assert_eq!(presence.observe(33_000, "a", "written at -3600"), 1_000);
}

#[test]
fn forgotten_rows() {
    let mut presence = RowPresence::default();
    presence.observe(0, "a", "one");
    presence.observe(0, "b", "one");
    presence.retain(|name| name == "b");
    assert_eq!(presence.observe(9_000, "a", "one"), 0, "the dropped row counts as new");
    assert_eq!(presence.observe(9_000, "b", "one"), 9_000);
}
