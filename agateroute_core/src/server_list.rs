//! The list of backend servers that an instance hands to its peers, by changes.
//!
//! In a large fleet with many servers the list changes all the time and few of its entries do. So an instance numbers the
//! changes of its list, and a peer that names the number up to which it has taken them gets only what came after. A
//! digest of the whole list shows whether both then have the same one; if not, the peer asks for all of it. See
//! `docs/DESIGN.md`, "The list of servers by changes".

use std::collections::VecDeque;

use crate::Table;
use crate::id::{Id, id_of_bytes, mix};
use crate::roster::Listing;

/// The most changes that are kept. A peer that is further behind gets the whole list, which is shorter than so many
/// changes unless there are several thousand servers.
const MAX_CHANGES: usize = 4_096;

value! {
    /// A point in the changes of one instance's list.
    #[derive(Default)]
    pub struct ListPoint {
        /// The instance and start that numbered the changes, 0 for none.
        pub source: u64,
        /// The number of the last change that is included.
        pub number: u64,
    }
}

record! {
    /// What a peer needs to have the same list.
    pub enum ListUpdate {
        /// Nothing: it has the same list.
        Same,
        /// The entries that were added or changed, and the names of those that were removed.
        Changes(Vec<Listing>, Vec<String>),
        /// The whole list.
        Whole(Vec<Listing>),
    }

    /// A list of backend servers with the latest changes.
    pub struct ServerList {
        source: u64,
        number: u64,
        listings: Table<String, Listing>,
        digest: u64,
        /// The names whose entries changed, oldest first; the last has the number `number`.
        changes: VecDeque<String>,
    }
}

impl ServerList {
    /// Creates an empty list. `source` must differ between instances and their starts, and not be 0.
    pub fn new(source: u64) -> ServerList {
        let (listings, changes) = Default::default();
        ServerList { source, number: 0, listings, digest: 0, changes }
    }

    /// Replaces the content and records what has changed.
    pub fn replace(&mut self, listings: impl Iterator<Item = Listing>) {
        let next: Table<String, Listing> = listings.map(|l| (l.name.clone(), l)).collect();
        let mut changed: Vec<String> = Vec::new();
        for (name, listing) in next.iter() {
            if self.listings.get(name).is_none_or(|known| !known.same_server(listing)) {
                changed.push(name.clone());
            }
        }
        changed.extend(self.listings.keys().filter(|name| !next.contains(name)).cloned());
        for name in &changed {
            let entries = [self.listings.get(name), next.get(name)];
            // The sum of the entries' digests does not depend on their order.
            self.digest = self.digest.wrapping_sub(entries[0].map_or(0, digest));
            self.digest = self.digest.wrapping_add(entries[1].map_or(0, digest));
        }
        self.number += changed.len() as u64;
        self.changes.extend(changed);
        let surplus = self.changes.len().saturating_sub(MAX_CHANGES);
        self.changes.drain(..surplus);
        self.listings = next;
    }

    /// The digest of the whole list, 0 for an empty one.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// The latest point of the changes.
    pub fn point(&self) -> ListPoint {
        ListPoint { source: self.source, number: self.number }
    }

    /// Returns what a peer needs that has a list with a digest and has taken the changes up to a point.
    pub fn update_since(&self, point: ListPoint, digest: u64) -> ListUpdate {
        if digest == self.digest {
            return ListUpdate::Same;
        }
        let behind = self.number.checked_sub(point.number).map(|n| n as usize);
        let known = behind.filter(|n| point.source == self.source && *n <= self.changes.len());
        let Some(behind) = known else { return self.whole() };
        let mut names: Vec<&String> =
            self.changes.iter().skip(self.changes.len() - behind).collect();
        names.sort_unstable();
        names.dedup();
        if names.is_empty() || names.len() > self.listings.len() {
            // Without changes the lists should be the same, so the peer's is not the one that was sent.
            return self.whole();
        }
        let changed = names.iter().filter_map(|n| self.listings.get(n)).cloned().collect();
        let removed = names.iter().filter(|n| !self.listings.contains(n));
        ListUpdate::Changes(changed, removed.map(|n| (*n).clone()).collect())
    }

    fn whole(&self) -> ListUpdate {
        ListUpdate::Whole(self.listings.values().cloned().collect())
    }
}

/// The digest of an entry, without the number of times that it was written.
fn digest(listing: &Listing) -> u64 {
    let Listing { name, service, address, zone, version, slots, ready, start_ms, writes: _ } =
        listing;
    let texts = [name, service, address, zone, version].into_iter();
    let hash = texts.fold(0, |hash: Id, text| mix(hash, id_of_bytes(text.as_bytes())));
    mix(mix(hash, u64::from(*slots) * 2 + u64::from(*ready)), *start_ms)
}
