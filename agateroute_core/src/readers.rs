//! Selects the instances that read the table service.
//!
//! In a small fleet each instance reads for itself and depends on no other. In a larger one a few
//! instances read and serve the others, so that the load on the service grows with the number of
//! readers, not with the fleet. An instance that can not reach the service is replaced as a reader.
//! See `docs/DESIGN.md`, "Readers of the table service".

use crate::id::{Id, Millis, mix};
use crate::membership::Membership;
use crate::rendezvous;

/// The largest fleet in which each instance reads for itself: as many instances as one deployment of
/// the users has across its availability zones.
const MAX_SMALL_FLEET: usize = 5;
/// The minimum number of readers in a larger fleet, so that two can fail at once.
const MIN_READERS: usize = 3;
/// The number of instances per reader, which answers each of them once or twice a second. A change of the table is
/// sent to each reader, so more of them cost more.
const INSTANCES_PER_READER: usize = 32;

/// How an instance obtains the contents of the table service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Role {
    /// Follows the table service's feed of changes.
    Follower,
    /// Reads whole tables periodically, while another instance follows the feed.
    Poller,
    /// Fetches from one of these readers, in order of preference.
    Client(Vec<Id>),
}

impl Role {
    /// Returns the name under which the role is logged.
    pub fn as_str(&self) -> &'static str {
        match self {
            Role::Follower => "follows",
            Role::Poller => "reads",
            Role::Client(_) => "asks",
        }
    }
}

/// Returns how many of a number of instances follow the table service's feed.
pub fn reader_count(instances: usize) -> usize {
    match instances <= MAX_SMALL_FLEET {
        true => 1,
        false => MIN_READERS.max(instances.div_ceil(INSTANCES_PER_READER)),
    }
}

/// Returns the number of instances by which the roles are assigned. An instance that has just started is linked to few others, and
/// must not take the fleet for a small one.
pub fn fleet_size(membership: &Membership, owners: &[Id]) -> usize {
    membership.listed_count().max(owners.len())
}

/// Returns the role of this instance among `owners`, the reachable instances that are not leaving, and those that it expects to
/// be linked with soon.
pub fn role(membership: &Membership, duty: Id, owners: &[Id], now: Millis) -> Role {
    let me = membership.me;
    let readers = followers(membership, duty, owners, now);
    if readers.contains(&me) {
        return Role::Follower;
    }
    match fleet_size(membership, owners) <= MAX_SMALL_FLEET {
        true => Role::Poller,
        false => Role::Client(rendezvous::order(mix(duty, me), readers.into_iter())),
    }
}

/// Moves the readers in the client's availability zone to the front, each group in the order of preference. Most bytes between
/// instances are lists of servers, and bytes between availability zones cost the most.
pub fn near_first(readers: Vec<Id>, same_zone: impl Fn(Id) -> bool) -> Vec<Id> {
    let (mut ordered, others): (Vec<Id>, Vec<Id>) =
        readers.into_iter().partition(|reader| same_zone(*reader));
    ordered.extend(others);
    ordered
}

/// Returns the instances that follow the table service's feed. The first one announces what all of them read.
pub fn followers(membership: &Membership, duty: Id, owners: &[Id], now: Millis) -> Vec<Id> {
    let reaching = owners.iter().copied().filter(|i| membership.reaches_table(*i));
    let mut candidates: Vec<Id> = reaching.chain(membership.expected(now)).collect();
    if candidates.is_empty() {
        candidates = owners.to_vec();
    }
    let mut readers = rendezvous::order(duty, candidates.into_iter());
    readers.truncate(reader_count(fleet_size(membership, owners)));
    readers
}
