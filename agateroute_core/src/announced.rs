//! The versions of the document that peers have announced and that are not active here yet.
//!
//! They tell how long this instance is behind. See `docs/DESIGN.md`, "Readers of the table service".

use crate::Table;
use crate::id::Millis;

/// The most versions that are remembered. Further ones are not, since the delay counts from the first one.
const MAX_PENDING: usize = 32;

/// The announced versions, each with the time at which it was first heard of.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Announced {
    pending: Table<u64, Millis>,
}

impl Announced {
    /// Records that a peer has a version active which is newer than the one here. Returns whether it was not known.
    pub fn hear(&mut self, now: Millis, version: u64) -> bool {
        let news = !self.pending.contains(&version) && self.pending.len() < MAX_PENDING;
        if news {
            self.pending.insert(version, now);
        }
        news
    }

    /// Records that a version is active here. Returns when the first version up to it was heard of.
    pub fn activate(&mut self, version: u64) -> Option<Millis> {
        let first = self.pending.iter().filter(|(v, _)| **v <= version).map(|(_, at)| *at).min();
        self.pending.retain(|v, _| *v > version);
        first
    }

    /// When the first version was heard of that is not active here; `None` if no newer one is known.
    pub fn since(&self) -> Option<Millis> {
        self.pending.values().copied().min()
    }
}
