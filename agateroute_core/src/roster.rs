//! The backend servers that the discovery table lists.
//!
//! Entries lapse while the table service is away and return soon after it does. So an entry that goes
//! missing around an outage still counts for a moment; one that goes missing on a calm day is gone.

use crate::Table;
use crate::id::Millis;

/// How long an entry that lapsed during an outage still counts after the return of the service, in
/// milliseconds: entries of servers that live are back within about two seconds.
const LAPSE_GRACE_MS: Millis = 1_800;
/// How long after an outage an entry that goes missing counts as lapsed, in milliseconds. After that
/// it is gone at once.
const POST_OUTAGE_MS: Millis = 2_000;

record! {
    /// A backend server in the discovery table.
    pub struct Listing {
        /// The name, which a restarted server mostly changes.
        pub name: String,
        /// The model or plain service that it runs.
        pub service: String,
        /// The IP address and port.
        pub address: String,
        /// The availability zone.
        pub zone: String,
        /// The requests that it works on at once.
        pub slots: u32,
        /// Whether it takes new work.
        pub ready: bool,
        /// When it started, in milliseconds since 1970; tells a restart under the same name.
        pub start_ms: u64,
    }

    struct Row {
        revision: u64,
        listing: Listing,
        /// Until when a row that went missing still counts.
        expires_at: Option<Millis>,
    }
}

value! {
    /// What a change of a row did to the roster.
    pub enum Change {
        /// Nothing that matters for choosing a server.
        None,
        /// A server came, changed or went.
        Servers,
    }
}

/// The listed backend servers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Roster {
    rows: Table<String, Row>,
    outage_at: Option<Millis>,
    unavailable: bool,
    removed: Vec<String>,
}

impl Roster {
    /// Notes that the table service did not answer.
    pub fn service_failed(&mut self, now: Millis) {
        self.outage_at = Some(now);
        self.unavailable = true;
    }

    /// Notes that the table service answered.
    pub fn service_answered(&mut self, now: Millis) {
        if std::mem::take(&mut self.unavailable) {
            self.outage_at = Some(now);
            // The outage ends now, so what lapsed during it has to return from now on.
            for (_, row) in self.rows.iter_mut() {
                row.expires_at = row.expires_at.map(|_| now + LAPSE_GRACE_MS);
            }
        }
    }

    /// Takes over a row as it stands at a revision; no listing where it names no server or was
    /// removed.
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

    /// The servers that took new work until now and do not any more, since this was last asked.
    pub fn take_removed(&mut self) -> Vec<String> {
        std::mem::take(&mut self.removed)
    }

    /// Takes over all rows as they stand at a revision; what is not among them is missing.
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

    /// Takes over the servers that take new work as a peer knows them at a revision. The peer has judged
    /// what lapsed.
    pub fn set_from_peer(&mut self, now: Millis, revision: u64, listings: Vec<Listing>) -> Change {
        (self.unavailable, self.outage_at) = (false, None);
        let rows = listings.into_iter().map(|l| (l.name.clone(), revision, Some(l)));
        self.replace_all(now, revision, rows.collect())
    }

    /// Drops the rows whose grace is over.
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

    /// The servers that take new work, by name.
    pub fn ready(&self) -> impl Iterator<Item = &Listing> {
        self.rows.values().map(|r| &r.listing).filter(|l| l.ready)
    }
}
