//! What reads prove after the table service came back from a copy. Guards against a restored document that
//! renews the right to serve a withdrawn key, and against servers that left being used again.

use agateroute_core::restore::{DocumentVersion, EraChange, Restores};
use agateroute_core::roster::{Change, Listing, Roster};

/// Longer than the time that writers have to write again what was lost.
const SETTLED: u64 = 10_000;
const RESTORED_AT: u64 = 100_000;

fn version(version: u64, era: u64) -> DocumentVersion {
    DocumentVersion { version, era }
}

/// The state of an instance that has read in era 1 and then sees era 2.
fn restored() -> Restores {
    let mut restores = Restores::new(true);
    assert_eq!(restores.observe(0, 1), EraChange::First);
    assert!(restores.is_settled(0), "nothing can be lost before the first start");
    assert_eq!(restores.observe(RESTORED_AT, 2), EraChange::Restored(1));
    restores
}

#[test]
fn eras_only_rise() {
    let mut restores = restored();
    assert_eq!(restores.observe(RESTORED_AT, 1), EraChange::None, "a late response");
    assert_eq!(restores.observe(RESTORED_AT, 2), EraChange::None);
    assert_eq!(
        restores.observe(RESTORED_AT + 500, 5),
        EraChange::Restored(2),
        "eras may be missed"
    );
    assert!(!restores.is_settled(RESTORED_AT + 2_600), "the second return starts the wait again");
    assert!(restores.is_settled(RESTORED_AT + SETTLED));
}

#[test]
fn same_version_not_proof() {
    // The held version may have been followed by one that only the lost seconds held.
    let mut restores = restored();
    restores.record_revision(40);
    let held = version(7, 1);
    assert!(!restores.proves_newest(RESTORED_AT + 10, version(7, 2), 40, held, 0));
    assert!(restores.proves_newest(RESTORED_AT + SETTLED, version(7, 2), 40, held, 0));
}

#[test]
fn rewritten_document_is_proof() {
    let mut restores = restored();
    restores.record_revision(40);
    restores.record_revision(44);
    assert!(restores.proves_newest(RESTORED_AT + 10, version(8, 2), 41, version(7, 1), 0));
    assert!(!restores.proves_newest(RESTORED_AT + 10, version(6, 2), 41, version(7, 1), 0));
}

#[test]
fn older_version_never_proof() {
    let mut restores = restored();
    restores.record_revision(40);
    let late = RESTORED_AT + 10 * SETTLED;
    assert!(!restores.proves_newest(late, version(6, 2), 40, version(7, 1), 0));
    // In the era in which the held document was read nothing was lost, so the operator went back himself.
    assert!(restores.proves_newest(late, version(6, 2), 45, version(7, 2), 0));
}

#[test]
fn announced_version_missing() {
    let mut restores = Restores::new(true);
    restores.observe(0, 1);
    let read = version(6, 1);
    assert!(restores.proves_newest(5, read, 40, read, 6));
    assert!(!restores.proves_newest(5, read, 40, read, 7), "a peer has a newer one");
}

#[test]
fn new_instance_waits() {
    let mut restores = Restores::new(false);
    assert_eq!(restores.observe(RESTORED_AT, 3), EraChange::First);
    assert!(!restores.is_settled(RESTORED_AT), "the service may have returned just before");
    assert!(!restores.confirm(RESTORED_AT + 10, 2), "another era");
    assert!(restores.confirm(RESTORED_AT + 20, 3));
    assert!(!restores.is_settled(RESTORED_AT + 10), "the read was requested before");
    assert!(restores.is_settled(RESTORED_AT + 20));
    assert!(!restores.confirm(RESTORED_AT + 30, 3), "known");
}

#[test]
fn service_without_eras() {
    assert!(Restores::new(false).is_settled(0));
    assert_eq!(Restores::new(false).settles_in(5), 0);
}

fn listing(name: &str, ready: bool, start_ms: u64, writes: u64) -> Listing {
    let (name, service) = (name.to_owned(), "orders".to_owned());
    let (address, zone) = ("10.0.0.1:80".to_owned(), "a".to_owned());
    let version = "v1".to_owned();
    Listing { name, service, address, zone, version, slots: 6, ready, start_ms, writes }
}

fn ready(roster: &Roster) -> Vec<&str> {
    roster.ready().map(|l| l.name.as_str()).collect()
}

/// Two servers at their tenth write, of which `s-1` then leaves.
fn one_left() -> Roster {
    let mut roster = Roster::default();
    for name in ["s-1", "s-2"] {
        roster.update(0, name, 500, Some(listing(name, true, 1, 10)));
    }
    roster.update(10, "s-1", 501, Some(listing("s-1", false, 1, 11)));
    roster.update(20, "s-1", 502, None);
    assert_eq!(ready(&roster), ["s-2"]);
    roster.take_removed();
    roster.service_restored(RESTORED_AT);
    roster
}

#[test]
fn left_server_stays_away() {
    let mut roster = one_left();
    let copy = ["s-1", "s-2"].map(|n| (n.to_owned(), 300, Some(listing(n, true, 1, 9))));
    assert_eq!(roster.replace_all(RESTORED_AT, 300, copy.into()), Change::None);
    assert_eq!(ready(&roster), ["s-2"], "the restored entry is older than the departure");
    // Its server writes again, so it had only lapsed.
    roster.update(RESTORED_AT + 500, "s-1", 310, Some(listing("s-1", true, 1, 12)));
    assert_eq!(ready(&roster), ["s-1", "s-2"]);
}

#[test]
fn restarted_server_taken() {
    let mut roster = one_left();
    roster.update(RESTORED_AT, "s-1", 301, Some(listing("s-1", true, 77, 1)));
    assert_eq!(ready(&roster), ["s-1", "s-2"], "a new start under the same name");
}

#[test]
fn lower_revisions_taken() {
    let mut roster = one_left();
    roster.replace_all(
        RESTORED_AT,
        300,
        vec![("s-2".to_owned(), 300, Some(listing("s-2", true, 1, 9)))],
    );
    assert_eq!(
        roster.update(RESTORED_AT + 100, "s-2", 301, Some(listing("s-2", false, 1, 11))),
        Change::Servers,
        "a departure at a revision below those before the return"
    );
    assert!(ready(&roster).is_empty());
}

#[test]
fn departure_always_taken() {
    let mut roster = one_left();
    roster.update(RESTORED_AT, "s-2", 290, Some(listing("s-2", false, 1, 3)));
    assert!(ready(&roster).is_empty());
}

#[test]
fn missing_entry_kept_for_rewrite() {
    let mut roster = one_left();
    assert_eq!(roster.replace_all(RESTORED_AT, 300, Vec::new()), Change::None);
    assert_eq!(ready(&roster), ["s-2"], "it registered in the lost seconds, or its entry lapsed");
    roster.expire(RESTORED_AT + 1_799);
    assert_eq!(ready(&roster), ["s-2"]);
    roster.expire(RESTORED_AT + 1_800);
    assert!(ready(&roster).is_empty());
}

#[test]
fn unknown_counts_wait() {
    // An instance that took its list from peers does not know how often the servers had written.
    let mut roster = Roster::default();
    roster.set_from_peer(0, 400, vec![listing("s-1", true, 1, 0)]);
    roster.set_from_peer(10, 401, Vec::new());
    roster.service_restored(RESTORED_AT);
    roster.update(RESTORED_AT, "s-1", 300, Some(listing("s-1", true, 1, 9)));
    assert!(ready(&roster).is_empty());
    roster.update(RESTORED_AT + 4_000, "s-1", 310, Some(listing("s-1", true, 1, 13)));
    assert_eq!(ready(&roster), ["s-1"], "an entry that nobody renews would have lapsed by now");
}

#[test]
fn two_returns_in_a_row() {
    let mut roster = one_left();
    roster.service_restored(RESTORED_AT + 300);
    roster.update(RESTORED_AT + 310, "s-1", 200, Some(listing("s-1", true, 1, 8)));
    assert_eq!(ready(&roster), ["s-2"]);
}
