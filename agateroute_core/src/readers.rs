//! Which instances read the table service.
//!
//! In a small fleet each instance reads for itself and depends on nobody. In a larger one a few read, and
//! the others ask these: what the service has to answer then grows with the readers, not with the
//! fleet. An instance that the service does not answer hands its part over. See `docs/DESIGN.md`,
//! "Readers of the table service".

use crate::id::{Id, mix};
use crate::membership::Membership;
use crate::rendezvous;

/// The instances up to which each reads for itself: as many as one deployment of the users has in all its
/// availability zones.
const MAX_SMALL_FLEET: usize = 5;
/// The readers of a larger fleet at least, so that two may be lost at once.
const MIN_READERS: usize = 3;
/// The instances for which there is one reader: it answers each of them twice a second.
const INSTANCES_PER_READER: usize = 16;

/// What an instance does about the table service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Role {
    /// It follows the changes.
    Follower,
    /// It reads whole tables now and then, beside another one that follows the changes.
    Poller,
    /// It asks one of these instances, the first of them first.
    Client(Vec<Id>),
}

impl Role {
    /// The name for logs.
    pub fn as_str(&self) -> &'static str {
        match self {
            Role::Follower => "follows",
            Role::Poller => "reads",
            Role::Client(_) => "asks",
        }
    }
}

/// The role of this instance among `owners`, the instances that are reachable and stay.
pub fn role(membership: &Membership, duty: Id, owners: &[Id]) -> Role {
    let me = membership.me;
    let mut candidates: Vec<Id> =
        owners.iter().copied().filter(|i| membership.reaches_table(*i)).collect();
    if candidates.is_empty() {
        candidates = owners.to_vec();
    }
    let mut readers = rendezvous::order(duty, candidates.into_iter());
    if owners.len() <= MAX_SMALL_FLEET {
        return if readers.first() == Some(&me) { Role::Follower } else { Role::Poller };
    }
    readers.truncate(MIN_READERS.max(owners.len().div_ceil(INSTANCES_PER_READER)));
    if readers.contains(&me) {
        return Role::Follower;
    }
    Role::Client(rendezvous::order(mix(duty, me), readers.into_iter()))
}
