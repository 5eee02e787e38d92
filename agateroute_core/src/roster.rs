//! The backend servers listed in the discovery table.
//!
//! During an outage of the table service, servers can't renew their entries; they do so soon after it.
//! So the entry of a ready server that goes missing around an outage is kept for a grace period; any
//! other entry that goes missing is removed at once.
//!
//! A service that comes back from a copy lists servers as they were some seconds ago, and gives out again the
//! revisions that it has lost. So an entry read in an earlier era is compared by the count of the server's own
//! writes: an entry that its server has not written since is older than what is known here. See
//! `docs/DESIGN.md`, "A table service that comes back from a copy".

use crate::Table;
use crate::id::Millis;

/// How long an entry that went missing around an outage is kept once the service has returned, in
/// milliseconds: live servers renew their entries within about two seconds.
const LAPSE_GRACE_MS: Millis = 1_800;
/// How long after a failure or the return of the table service an entry that goes missing still gets the
/// grace period, in milliseconds.
const POST_OUTAGE_MS: Millis = 2_000;
/// How long a restored entry that its server does not renew may stay listed, in milliseconds: three intervals of
/// heartbeats of 1.2 seconds.
const COPY_LAPSE_MS: Millis = 4_000;
/// How long a server that has left is remembered, in milliseconds. A restored entry of it lapses within
/// seconds, since nobody renews it.
const LEFT_RETENTION_MS: Millis = 120_000;

record! {
    /// An entry of the discovery table.
    pub struct Listing {
        /// The name of the backend server, which usually changes with a restart.
        pub name: String,
        /// The model or plain service that the server runs.
        pub service: String,
        /// The IP address and port.
        pub address: String,
        /// The availability zone.
        pub zone: String,
        /// The version of the server's software, empty if it is not known.
        pub version: String,
        /// The maximum number of concurrent requests.
        pub slots: u32,
        /// Whether the server takes new work.
        pub ready: bool,
        /// The start time in milliseconds since 1970, which reveals a restart under the same name.
        pub start_ms: u64,
        /// The number of times that the server has written its entry since its start; 0 if it does not say.
        pub writes: u64,
    }

    struct Row {
        revision: u64,
        listing: Listing,
        /// Whether the entry was read before the service came back from a copy.
        former: bool,
        /// When a row that went missing is removed; none while it is listed.
        expires_at: Option<Millis>,
    }
}

record! {
    /// The last entry of a server that takes no new work any more.
    struct Left {
        start_ms: u64,
        writes: u64,
        left_at: Millis,
        /// Whether it left before the service came back from a copy.
        former: bool,
    }
}

impl Listing {
    /// Whether the entry says the same about the server, however often it was written.
    pub fn same_server(&self, other: &Listing) -> bool {
        let other = Listing { writes: self.writes, ..other.clone() };
        *self == other
    }

    /// Whether this entry is not newer than one of the same start with this number of writes; `None` if one of
    /// the numbers is unknown.
    fn is_older(&self, start_ms: u64, writes: u64) -> Option<bool> {
        match (self.writes, writes) {
            _ if self.start_ms != start_ms => Some(false),
            (0, _) | (_, 0) => None,
            (own, known) => Some(own <= known),
        }
    }
}

value! {
    /// The effect of an update on the roster.
    pub enum Change {
        /// No server was added, changed or removed.
        None,
        /// A server was added, changed or removed.
        Servers,
    }
}

/// The listed backend servers, with the state of the table service that affects their removal.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Roster {
    rows: Table<String, Row>,
    /// When the table service last failed or returned.
    outage_at: Option<Millis>,
    unavailable: bool,
    removed: Vec<String>,
    /// When the table service last came back from a copy.
    restored_at: Option<Millis>,
    /// The servers that left lately, by name.
    left: Table<String, Left>,
}

impl Roster {
    /// Records that the table service did not answer.
    pub fn service_failed(&mut self, now: Millis) {
        self.outage_at = Some(now);
        self.unavailable = true;
    }

    /// Records that the table service answered.
    pub fn service_answered(&mut self, now: Millis) {
        if std::mem::take(&mut self.unavailable) {
            self.outage_at = Some(now);
            // The grace period of entries that went missing during the outage starts now.
            for (_, row) in self.rows.iter_mut() {
                row.expires_at = row.expires_at.map(|_| now + LAPSE_GRACE_MS);
            }
        }
    }

    /// Records that the table service came back from a copy: its revisions start anew, and entries that were
    /// written in the lost seconds are missing until their servers write them again.
    pub fn service_restored(&mut self, now: Millis) {
        self.unavailable = true;
        self.service_answered(now);
        self.restored_at = Some(now);
        for (_, row) in self.rows.iter_mut() {
            (row.revision, row.former) = (0, true);
        }
        self.left.iter_mut().for_each(|(_, left)| left.former = true);
    }

    /// Whether the service came back from a copy since servers were first read.
    pub fn was_restored(&self) -> bool {
        self.restored_at.is_some() && !self.rows.is_empty()
    }

    /// Whether an entry is what a copy of the service held, and its server has since written a newer one or left.
    /// An entry that says that its server leaves is never taken for one.
    fn is_restored_copy(&self, now: Millis, name: &String, listing: &Listing) -> bool {
        let row = self.rows.get(name).filter(|row| row.former);
        let left = self.left.get(name).filter(|left| left.former);
        let row = row.map(|r| listing.is_older(r.listing.start_ms, r.listing.writes));
        let left = left.map(|l| listing.is_older(l.start_ms, l.writes));
        // Entries that nobody renews lapse within this time.
        let recent = self.restored_at.is_some_and(|at| now < at + COPY_LAPSE_MS);
        listing.ready && row.into_iter().chain(left).any(|older| older.unwrap_or(recent))
    }

    fn record_left(&mut self, now: Millis, name: &str) {
        self.left.retain(|_, left| now < left.left_at + LEFT_RETENTION_MS);
        if let Some(row) = self.rows.get(&name.to_owned()) {
            let (start_ms, writes) = (row.listing.start_ms, row.listing.writes);
            let left = Left { start_ms, writes, left_at: now, former: row.former };
            self.left.insert(name.to_owned(), left);
        }
        self.removed.push(name.to_owned());
    }

    /// Updates a row that was read at a revision. `listing` is none if the row was removed or names no
    /// server. Older revisions are ignored.
    pub fn update(
        &mut self,
        now: Millis,
        name: &str,
        revision: u64,
        listing: Option<Listing>,
    ) -> Change {
        let name_owned = name.to_owned();
        let known = self.rows.get(&name_owned);
        if known.is_some_and(|row| row.revision > revision) {
            return Change::None;
        }
        if listing.as_ref().is_some_and(|l| self.is_restored_copy(now, &name_owned, l)) {
            if let Some(row) = self.rows.get_mut(&name_owned) {
                row.expires_at = None;
            }
            return Change::None;
        }
        match listing {
            Some(listing) => {
                let same = known.is_some_and(|r| r.listing.same_server(&listing));
                if !listing.ready && known.is_some_and(|r| r.listing.ready) {
                    self.record_left(now, name);
                }
                let row = Row { revision, listing, former: false, expires_at: None };
                self.rows.insert(name_owned, row);
                if same { Change::None } else { Change::Servers }
            }
            None => self.remove(now, name),
        }
    }

    fn remove(&mut self, now: Millis, name: &str) -> Change {
        let outage = self.unavailable || self.outage_at.is_some_and(|at| now < at + POST_OUTAGE_MS);
        let Some(row) = self.rows.get_mut(&name.to_owned()) else { return Change::None };
        if outage && row.listing.ready {
            row.expires_at = row.expires_at.or(Some(now + LAPSE_GRACE_MS));
            return Change::None;
        }
        if row.listing.ready {
            self.record_left(now, name);
        }
        self.rows.remove(&name.to_owned());
        Change::Servers
    }

    /// Returns the servers that have stopped taking new work since the last call.
    pub fn take_removed(&mut self) -> Vec<String> {
        std::mem::take(&mut self.removed)
    }

    /// Replaces all rows by those read at a revision. Rows that are not among them went missing.
    pub fn replace_all(
        &mut self,
        now: Millis,
        revision: u64,
        listings: Vec<(String, u64, Option<Listing>)>,
    ) -> Change {
        let mut change = Change::None;
        let mut names: Vec<String> = Vec::new();
        for (name, row_revision, listing) in listings {
            change = change.max(self.update(now, &name, row_revision, listing));
            names.push(name);
        }
        names.sort_unstable();
        let missing: Vec<String> = self
            .rows
            .iter()
            .filter(|(name, row)| row.revision <= revision && names.binary_search(name).is_err())
            .map(|(name, _)| name.clone())
            .collect();
        for name in missing {
            change = change.max(self.remove(now, &name));
        }
        change
    }

    /// Replaces all rows by a peer's list of servers that take new work. The peer has already applied the
    /// grace period, so none is applied here.
    pub fn set_from_peer(&mut self, now: Millis, revision: u64, listings: Vec<Listing>) -> Change {
        (self.unavailable, self.outage_at) = (false, None);
        // Peers do not send the number of writes, so the known one is kept.
        let known = |l: &Listing| {
            let row = self.rows.get(&l.name).filter(|r| r.listing.start_ms == l.start_ms);
            row.map_or(l.writes, |r| r.listing.writes)
        };
        let rows = listings.into_iter().map(|l| {
            let writes = known(&l);
            (l.name.clone(), revision, Some(Listing { writes, ..l }))
        });
        let rows: Vec<_> = rows.collect();
        self.replace_all(now, revision, rows)
    }

    /// Applies what has changed in a peer's list since the last update from it, as [`Roster::set_from_peer`] does for a
    /// whole list.
    pub fn update_from_peer(
        &mut self,
        now: Millis,
        revision: u64,
        changed: Vec<Listing>,
        removed: &[String],
    ) -> Change {
        (self.unavailable, self.outage_at) = (false, None);
        let mut change = Change::None;
        for listing in changed {
            let row =
                self.rows.get(&listing.name).filter(|r| r.listing.start_ms == listing.start_ms);
            let writes = row.map_or(listing.writes, |r| r.listing.writes);
            let name = listing.name.clone();
            change =
                change.max(self.update(now, &name, revision, Some(Listing { writes, ..listing })));
        }
        for name in removed {
            change = change.max(self.update(now, name, revision, None));
        }
        change
    }

    /// Removes the rows whose grace period is over. Nothing is removed during an outage.
    pub fn expire(&mut self, now: Millis) -> Change {
        if self.unavailable {
            return Change::None;
        }
        let over = |row: &Row| row.expires_at.is_some_and(|until| until <= now);
        let expired: Vec<String> =
            self.rows.iter().filter(|(_, row)| over(row)).map(|(name, _)| name.clone()).collect();
        for name in &expired {
            if self.rows.get(name).is_some_and(|row| row.listing.ready) {
                self.record_left(now, name);
            }
            self.rows.remove(name);
        }
        if expired.is_empty() { Change::None } else { Change::Servers }
    }

    /// Returns the servers that take new work, ordered by name.
    pub fn ready(&self) -> impl Iterator<Item = &Listing> {
        self.rows.values().map(|r| &r.listing).filter(|l| l.ready)
    }
}
