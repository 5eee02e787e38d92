//! Requests that were running on a backend server when it crashed.
//!
//! After one crash a request runs alone on a server, which protects other requests and shows
//! whether it is the cause. After the configured number of crashes it is quarantined. See
//! `docs/DESIGN.md`, "Requests that crash servers".

use agateroute_config::routing::Routing;

use crate::Table;
use crate::id::Millis;

/// How long a request is remembered after its last crash, in milliseconds.
const RETENTION_MS: Millis = 3_600_000;
/// The maximum number of suspect requests; further ones are not recorded.
const MAX_SUSPECTS: usize = 10_000;

value! {
    /// Whether and how a request may run, given the backend servers that crashed under it.
    pub enum SuspectStatus {
        /// No restriction.
        Clear,
        /// Only alone on its server.
        Alone,
        /// Refused.
        Quarantined,
    }

    struct Record {
        crashes: u32,
        until: Millis,
    }
}

/// The suspect requests and their crashes, by request fingerprint.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Suspects {
    records: Table<u64, Record>,
}

impl Suspects {
    /// Returns the restriction on a request under the configured limits.
    pub fn status(&self, fingerprint: u64, now: Millis, routing: &Routing) -> SuspectStatus {
        match self.crashes(fingerprint, now) {
            0 => SuspectStatus::Clear,
            crashes if crashes >= routing.quarantine_crashes => SuspectStatus::Quarantined,
            _ if routing.suspects_alone => SuspectStatus::Alone,
            _ => SuspectStatus::Clear,
        }
    }

    /// Counts a crash while the request was running. Returns the number of crashes so far.
    pub fn record_crash(&mut self, fingerprint: u64, now: Millis) -> u32 {
        let crashes = self.crashes(fingerprint, now) + 1;
        self.update(fingerprint, crashes, now);
        crashes
    }

    /// Merges a count from a peer or the table service: the higher one wins, zero clears it.
    pub fn update(&mut self, fingerprint: u64, crashes: u32, now: Millis) {
        if crashes == 0 {
            self.records.remove(&fingerprint);
            return;
        }
        if self.records.len() >= MAX_SUSPECTS {
            self.records.retain(|_, r| r.until > now);
        }
        if self.records.len() >= MAX_SUSPECTS && !self.records.contains(&fingerprint) {
            return;
        }
        let crashes = crashes.max(self.crashes(fingerprint, now));
        self.records.insert(fingerprint, Record { crashes, until: now + RETENTION_MS });
    }

    /// The number of crashes recorded for a request, 0 if they have expired.
    pub fn crashes(&self, fingerprint: u64, now: Millis) -> u32 {
        self.records.get(&fingerprint).filter(|r| r.until > now).map_or(0, |r| r.crashes)
    }

    /// The fingerprints of all suspect requests and their numbers of crashes.
    pub fn iter(&self) -> impl Iterator<Item = (u64, u32)> {
        self.records.iter().map(|(f, r)| (*f, r.crashes))
    }
}
