//! The backend servers listed in the discovery table.
//!
//! During an outage of the table service, servers can't renew their entries; they do so soon after it.
//! So the entry of a ready server that goes missing around an outage is kept for a grace period; any
//! other entry that goes missing is removed at once.

use crate::Table;
use crate::id::Millis;

/// How long an entry that went missing around an outage is kept once the service has returned, in
/// milliseconds: live servers renew their entries within about two seconds.
const LAPSE_GRACE_MS: Millis = 1_800;
/// How long after a failure or the return of the table service an entry that goes missing still gets the
/// grace period, in milliseconds.
const POST_OUTAGE_MS: Millis = 2_000;

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
        /// The maximum number of concurrent requests.
        pub slots: u32,
        /// Whether the server takes new work.
        pub ready: bool,
        /// The start time in milliseconds since 1970, which reveals a restart under the same name.
        pub start_ms: u64,
    }

    struct Row {
        revision: u64,
        listing: Listing,
        /// When a row that went missing is removed; none while it is listed.
        expires_at: Option<Millis>,
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

    /// Updates a row that was read at a revision. `listing` is none if the row was removed or names no
    /// server. Older revisions are ignored.
    pub fn update(
        &mut self,
        now: Millis,
        name: &str,
        revision: u64,
        listing: Option<Listing>,
    ) -> Change {
        let known = self.rows.get(&name.to_owned());
        if known.is_some_and(|row| row.revision > revision) {
            return Change::None;
        }
        match listing {
            Some(listing) => {
                let same = known.is_some_and(|r| r.listing == listing);
                if !listing.ready && known.is_some_and(|r| r.listing.ready) {
                    self.removed.push(name.to_owned());
                }
                self.rows.insert(name.to_owned(), Row { revision, listing, expires_at: None });
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
            self.removed.push(name.to_owned());
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
        let rows = listings.into_iter().map(|l| (l.name.clone(), revision, Some(l)));
        self.replace_all(now, revision, rows.collect())
    }

    /// Removes the rows whose grace period is over. Nothing is removed during an outage.
    pub fn expire(&mut self, now: Millis) -> Change {
        if self.unavailable {
            return Change::None;
        }
        let before = self.rows.len();
        let removed = &mut self.removed;
        self.rows.retain(|name, row| {
            let keep = row.expires_at.is_none_or(|until| now < until);
            if !keep && row.listing.ready {
                removed.push(name.clone());
            }
            keep
        });
        if self.rows.len() < before { Change::Servers } else { Change::None }
    }

    /// Returns the servers that take new work, ordered by name.
    pub fn ready(&self) -> impl Iterator<Item = &Listing> {
        self.rows.values().map(|r| &r.listing).filter(|l| l.ready)
    }
}
