//! Decides what reads of the table service prove after it came back from an older copy.
//!
//! The service counts such returns: its era rises by one each time. What was written in the lost seconds is
//! gone until its writers write it again, so a read just after a return may show a document that still holds
//! a withdrawn key. Such a read must not renew the right to serve that key. See `docs/DESIGN.md`, "A table
//! service that comes back from a copy".

use crate::id::Millis;

/// How long after the first response of an era the writers may take to write again what was lost, in
/// milliseconds: the platform allows them two seconds, and a read takes up to half a second.
const REWRITE_TIME_MS: Millis = 2_500;

value! {
    /// The place of a document among all versions: the operator's version number, then the era in which it was
    /// read. The same version read in a later era may have another content and replaces the former one.
    pub struct DocumentVersion {
        /// The version that the operator gave the document.
        pub version: u64,
        /// The era of the table service in which it was read.
        pub era: u64,
    }

    /// The effect of a response's era.
    pub enum EraChange {
        /// The era was known, or the response came late and belongs to an earlier one.
        None,
        /// It is the first era that this instance sees.
        First,
        /// The service came back from a copy since this era.
        Restored(u64),
    }
}

/// The era of the table service, and since when its reads prove what the newest content is.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Restores {
    /// The current era, `None` before the first response and for a service without eras.
    era: Option<u64>,
    /// Reads requested from this time on show everything that was written again.
    settled_at: Millis,
    /// The revision of the first read of the document's table in this era.
    first_revision: Option<u64>,
    /// Whether the whole system starts for the first time, so nothing can have been lost before.
    first_start: bool,
}

impl Restores {
    /// Creates the state of an instance that has not read anything.
    pub fn new(first_start: bool) -> Restores {
        Restores { first_start, ..Restores::default() }
    }

    /// The current era, 0 before the first response and for a service without eras.
    pub fn era(&self) -> u64 {
        self.era.unwrap_or(0)
    }

    /// Records the era of a response.
    pub fn observe(&mut self, now: Millis, era: u64) -> EraChange {
        let change = match self.era {
            Some(known) if era <= known => return EraChange::None,
            Some(known) => EraChange::Restored(known),
            None => EraChange::First,
        };
        (self.era, self.first_revision) = (Some(era), None);
        let trusted = change == EraChange::First && self.first_start;
        self.settled_at = if trusted { 0 } else { now + REWRITE_TIME_MS };
        change
    }

    /// Records that an instance which has seen this era begin waited until everything was written again.
    /// Returns whether that was not known yet.
    pub fn confirm(&mut self, now: Millis, era: u64) -> bool {
        let news = self.era == Some(era) && now < self.settled_at;
        if news {
            self.settled_at = now;
        }
        news
    }

    /// Whether a read that was requested at a time shows everything that was written again.
    pub fn is_settled(&self, requested_at: Millis) -> bool {
        self.settled_at <= requested_at
    }

    /// The time until reads are settled, in milliseconds; 0 if they are.
    pub fn settles_in(&self, now: Millis) -> Millis {
        self.settled_at.saturating_sub(now)
    }

    /// Records the service's revision at a read of the document's table.
    pub fn record_revision(&mut self, revision: u64) {
        self.first_revision.get_or_insert(revision);
    }

    /// Whether a read proves that no newer document exists than the one that is held afterwards. `revision` is
    /// that of the document's row: one that was written after the first read of this era was written again by
    /// the operator. A version older than the held one is what is left of a lost one, and one older than a peer has
    /// announced may be.
    pub fn proves_newest(
        &self,
        requested_at: Millis,
        read: DocumentVersion,
        revision: u64,
        held: DocumentVersion,
        announced: u64,
    ) -> bool {
        if read.version < held.version && held.era < read.era || held.version < announced {
            return false;
        }
        let rewritten = self.first_revision.is_some_and(|first| revision > first);
        rewritten || self.is_settled(requested_at)
    }
}
