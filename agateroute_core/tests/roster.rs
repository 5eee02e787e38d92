//! The list of backend servers before, during and after an outage of the table service. Guards against
//! live servers being removed because the service could not renew their entries.

use agateroute_core::roster::{Change, Listing, Roster};

fn listing(name: &str, ready: bool) -> Listing {
    Listing {
        name: name.to_owned(),
        service: "orders".to_owned(),
        address: "10.0.0.1:80".to_owned(),
        zone: "a".to_owned(),
        version: "v1".to_owned(),
        slots: 6,
        ready,
        start_ms: 1,
        writes: 0,
    }
}

fn ready(roster: &Roster) -> Vec<&str> {
    roster.ready().map(|l| l.name.as_str()).collect()
}

fn two_servers() -> Roster {
    let mut roster = Roster::default();
    let rows = ["s-1", "s-2"].map(|n| (n.to_owned(), 5, Some(listing(n, true))));
    assert_eq!(roster.replace_all(0, 9, rows.into()), Change::Servers);
    roster
}

#[test]
fn removed_without_outage() {
    let mut roster = two_servers();
    assert_eq!(roster.update(10, "s-1", 10, Some(listing("s-1", true))), Change::None, "a renewal");
    assert_eq!(roster.update(20, "s-1", 11, Some(listing("s-1", false))), Change::Servers);
    assert_eq!(ready(&roster), ["s-2"], "a leaving server takes no new work");
    assert_eq!(roster.update(30, "s-2", 12, None), Change::Servers);
    assert!(ready(&roster).is_empty());
}

#[test]
fn old_rows_ignored() {
    let mut roster = two_servers();
    roster.update(10, "s-1", 20, Some(listing("s-1", false)));
    assert_eq!(roster.update(20, "s-1", 19, Some(listing("s-1", true))), Change::None);
    assert_eq!(ready(&roster), ["s-2"]);
    // A full read that is older than a row does not remove it.
    roster.update(30, "s-3", 40, Some(listing("s-3", true)));
    roster.replace_all(40, 30, vec![("s-2".to_owned(), 5, Some(listing("s-2", true)))]);
    assert_eq!(ready(&roster), ["s-2", "s-3"]);
}

#[test]
fn removed_after_outage() {
    let mut roster = two_servers();
    roster.service_failed(1_000);
    assert_eq!(roster.update(9_000, "s-1", 30, None), Change::None, "lost in the outage");
    assert_eq!(roster.expire(60_000), Change::None, "nothing is removed during the outage");
    roster.service_answered(60_000);
    roster.replace_all(60_000, 31, Vec::new());
    assert_eq!(ready(&roster), ["s-1", "s-2"]);
    roster.update(61_000, "s-2", 35, Some(listing("s-2", true)));
    assert_eq!(roster.expire(61_700), Change::None);
    assert_eq!(roster.expire(61_800), Change::Servers, "the grace period is over");
    assert_eq!(ready(&roster), ["s-2"]);
    assert_eq!(roster.update(64_100, "s-2", 50, None), Change::Servers, "the outage is over");
}

#[test]
fn draining_then_removed() {
    let mut roster = two_servers();
    roster.service_failed(1_000);
    roster.update(1_100, "s-1", 30, Some(listing("s-1", false)));
    assert_eq!(roster.update(1_200, "s-1", 31, None), Change::Servers);
    assert_eq!(ready(&roster), ["s-2"]);
}

#[test]
fn removals_reported_once() {
    // A removal may come from an update, a full read without the server, or the end of the grace period.
    let mut roster = two_servers();
    roster.update(10, "s-1", 20, Some(listing("s-1", false)));
    assert_eq!(roster.take_removed(), ["s-1"]);
    roster.replace_all(20, 30, Vec::new());
    assert_eq!(roster.take_removed(), ["s-2"], "the leaving server is not reported twice");
    let mut roster = two_servers();
    roster.service_failed(1_000);
    roster.service_answered(2_000);
    roster.replace_all(2_000, 30, Vec::new());
    assert!(roster.take_removed().is_empty(), "the grace period is not over");
    roster.expire(3_900);
    assert_eq!(roster.take_removed(), ["s-1", "s-2"]);
}

#[test]
fn list_from_peer() {
    let mut roster = Roster::default();
    roster.update(0, "a", 5, Some(listing("a", true)));
    roster.update(0, "b", 6, Some(listing("b", true)));
    // The outage here does not matter: the peer has applied the grace period to its list.
    roster.service_failed(10);
    assert_eq!(roster.set_from_peer(20, 9, vec![listing("a", true)]), Change::Servers);
    assert_eq!(roster.ready().map(|l| l.name.as_str()).collect::<Vec<_>>(), ["a"]);
    assert_eq!(roster.take_removed(), ["b"]);
    assert_eq!(roster.set_from_peer(30, 10, vec![listing("a", true)]), Change::None);
    // A row that was read here at a later revision than the peer's list is kept.
    roster.update(40, "c", 12, Some(listing("c", true)));
    assert_eq!(roster.set_from_peer(50, 11, vec![listing("a", true)]), Change::None);
    assert_eq!(roster.ready().count(), 2);
}
