//! Requests that ran on backend servers that crashed.
//!
//! After one crash a request runs alone, so that it harms nobody else and is told from the innocent
//! ones that ran beside it. After as many crashes as the document says it is quarantined. See `docs/DESIGN.md`,
//! "Requests that crash servers".

use agateroute_config::routing::Routing;

use crate::Table;
use crate::id::Millis;

/// How long a request is remembered, in milliseconds.
const RETENTION_MS: Millis = 3_600_000;
/// The most requests that are remembered.
const MAX_SUSPECTS: usize = 10_000;

value! {
    /// How a request may run.
    pub enum SuspectStatus {
        /// Beside others.
        Clear,
        /// Alone on its server.
        Alone,
        /// Not at all.
        Quarantined,
    }

    struct Record {
        crashes: u32,
        until: Millis,
    }
}

/// The requests under suspicion, by fingerprint.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Suspects {
    records: Table<u64, Record>,
}

impl Suspects {
    /// How a request may run.
    pub fn status(&self, fingerprint: u64, now: Millis, routing: &Routing) -> SuspectStatus {
        match self.crashes(fingerprint, now) {
            0 => SuspectStatus::Clear,
            crashes if crashes >= routing.quarantine_crashes => SuspectStatus::Quarantined,
            _ if routing.suspects_alone => SuspectStatus::Alone,
            _ => SuspectStatus::Clear,
        }
    }

    /// Counts a crash under a request and returns the crashes so far.
    pub fn record_crash(&mut self, fingerprint: u64, now: Millis) -> u32 {
        let crashes = self.crashes(fingerprint, now) + 1;
        self.update(fingerprint, crashes, now);
        crashes
    }

    /// Takes over what a peer or the table service knows; zero crashes clear the request.
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

    /// The crashes that are known of a request.
    pub fn crashes(&self, fingerprint: u64, now: Millis) -> u32 {
        self.records.get(&fingerprint).filter(|r| r.until > now).map_or(0, |r| r.crashes)
    }

    /// The requests under suspicion and their crashes.
    pub fn iter(&self) -> impl Iterator<Item = (u64, u32)> {
        self.records.iter().map(|(f, r)| (*f, r.crashes))
    }
}
