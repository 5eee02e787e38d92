//! The owner of each backend server, updated for the instances and servers that changed.
//!
//! The owners are those of [`rendezvous::owner`](crate::rendezvous::owner). In a fleet of 300 instances with 3,000 servers,
//! hashing each server with each instance at each new link took most of the time of a start, so the winning hash of each server
//! is kept: a new instance is compared with it, and only the servers of an instance that went are hashed with all others.

use std::cmp::Ordering;
use std::iter::Peekable;

use crate::Table;
use crate::id::{Id, mix};
use crate::rendezvous;

/// The hash of a server with its best candidate, and that candidate; `None` without candidates.
type Winner = Option<(u64, Id)>;

record! {
    #[derive(Default)]
    struct Row {
        owner: Winner,
        preferred: Winner,
    }

    /// The owners of the backend servers.
    #[derive(Default)]
    pub struct Ownership {
        /// The instances that can own servers, sorted.
        members: Vec<Id>,
        /// The instances that may exist, sorted. They include those that are not reachable now.
        known: Vec<Id>,
        servers: Table<Id, Row>,
        hashes: u64,
    }
}

value! {
    /// An instance that was added to one of the two sets or to both.
    struct Joined {
        instance: Id,
        member: bool,
        known: bool,
    }
}

impl Ownership {
    /// Replaces the servers, which have to be sorted. Only those that are added are hashed.
    pub fn set_servers(&mut self, servers: impl Iterator<Item = Id>) {
        let former = std::mem::take(&mut self.servers);
        let mut former = former.iter().map(|(server, row)| (*server, row.clone())).peekable();
        let mut rows = Vec::with_capacity(servers.size_hint().0);
        for server in servers {
            while former.next_if(|(s, _)| *s < server).is_some() {}
            let row = match former.next_if(|(s, _)| *s == server) {
                Some((_, row)) => row,
                None => Row {
                    owner: best(server, &self.members, &mut self.hashes),
                    preferred: best(server, &self.known, &mut self.hashes),
                },
            };
            rows.push((server, row));
        }
        self.servers = rows.into_iter().collect();
    }

    /// Replaces the instances that can own servers, and those that may exist. Both have to be sorted, without duplicates.
    pub fn set_instances(&mut self, members: Vec<Id>, known: Vec<Id>) {
        let (new_members, lost) = difference(&self.members, &members);
        let (new_known, unknown) = difference(&self.known, &known);
        let joined = merge(new_members, new_known);
        (self.members, self.known) = (members, known);
        if joined.is_empty() && lost.is_empty() && unknown.is_empty() {
            return;
        }
        let gone = |of: &[Id], winner: Winner| {
            winner.is_some_and(|(_, instance)| of.binary_search(&instance).is_ok())
        };
        for (server, row) in self.servers.iter_mut() {
            let owner_gone = gone(&lost, row.owner);
            let preferred_gone = gone(&unknown, row.preferred);
            for Joined { instance, member, known } in &joined {
                let (member, known) = (*member && !owner_gone, *known && !preferred_gone);
                if !member && !known {
                    continue;
                }
                self.hashes += 1;
                let candidate = Some((mix(*server, *instance), *instance));
                if member {
                    row.owner = row.owner.max(candidate);
                }
                if known {
                    row.preferred = row.preferred.max(candidate);
                }
            }
            if owner_gone {
                row.owner = best(*server, &self.members, &mut self.hashes);
            }
            if preferred_gone {
                row.preferred = best(*server, &self.known, &mut self.hashes);
            }
        }
    }

    /// Returns the owner of a server, or of any other duty; `None` without instances.
    pub fn owner(&self, duty: Id) -> Option<Id> {
        match self.servers.get(&duty) {
            Some(row) => row.owner.map(|(_, instance)| instance),
            None => rendezvous::owner(duty, self.members.iter().copied()),
        }
    }

    /// Returns the instance that would own a server if all known ones were reachable.
    pub fn preferred_owner(&self, duty: Id) -> Option<Id> {
        match self.servers.get(&duty) {
            Some(row) => row.preferred.map(|(_, instance)| instance),
            None => rendezvous::owner(duty, self.known.iter().copied()),
        }
    }

    /// Returns the servers of an instance, sorted.
    pub fn owned_by(&self, instance: Id) -> impl Iterator<Item = Id> {
        let owned = self.servers.iter();
        owned.filter(move |(_, r)| r.owner.is_some_and(|(_, o)| o == instance)).map(|(s, _)| *s)
    }

    /// Returns the instances that can own servers, sorted.
    pub fn members(&self) -> &[Id] {
        &self.members
    }

    /// Returns how many hashes of a server with an instance were computed so far.
    pub fn hashes(&self) -> u64 {
        self.hashes
    }
}

fn best(server: Id, candidates: &[Id], hashes: &mut u64) -> Winner {
    *hashes += candidates.len() as u64;
    candidates.iter().map(|c| (mix(server, *c), *c)).max()
}

/// Returns what a sorted list has that the former one has not, and the reverse.
fn difference(former: &[Id], current: &[Id]) -> (Vec<Id>, Vec<Id>) {
    let mut former = former.iter().copied().peekable();
    let mut current = current.iter().copied().peekable();
    let (mut added, mut removed) = (Vec::new(), Vec::new());
    while let Some(order) = compare(&mut former, &mut current) {
        match order {
            Ordering::Less => removed.extend(former.next()),
            Ordering::Greater => added.extend(current.next()),
            Ordering::Equal => {
                former.next();
                current.next();
            }
        }
    }
    (added, removed)
}

/// Compares the next items of two sorted lists; the end of a list is greater than any item.
fn compare(
    a: &mut Peekable<impl Iterator<Item = Id>>,
    b: &mut Peekable<impl Iterator<Item = Id>>,
) -> Option<Ordering> {
    match (a.peek(), b.peek()) {
        (Some(a), Some(b)) => Some(a.cmp(b)),
        (Some(_), None) => Some(Ordering::Less),
        (None, Some(_)) => Some(Ordering::Greater),
        (None, None) => None,
    }
}

/// Merges new members and newly known instances, so that one that is both is hashed once.
fn merge(members: Vec<Id>, known: Vec<Id>) -> Vec<Joined> {
    let mut joined: Table<Id, Joined> = Table::default();
    for instance in members {
        joined.insert(instance, Joined { instance, member: true, known: false });
    }
    for instance in known {
        joined.entry(instance, || Joined { instance, member: false, known: false }).known = true;
    }
    joined.values().copied().collect()
}
