//! Requests that ran on backend servers that crashed.
//!
//! After one crash a request runs alone, so that it harms nobody else and is told from the innocent
//! ones that ran beside it. After as many crashes as the document says it is quarantined. See `docs/DESIGN.md`,
//! "Requests that crash servers".

use agateroute_config::routing::Routing;

use crate::Table;
use crate::id::Millis;

/// How long a request is remembered, in milliseconds.
const REMEMBER_MS: Millis = 3_600_000;
/// The most requests that are remembered.
const SUSPECTS_MOST: usize = 10_000;

value! {
    /// How a request may run.
    pub enum Standing {
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
    pub fn standing(&self, fingerprint: u64, now: Millis, routing: &Routing) -> Standing {
        match self.crashes(fingerprint, now) {
            0 => Standing::Clear,
            crashes if crashes >= routing.quarantine_crashes => Standing::Quarantined,
            _ if routing.suspects_alone => Standing::Alone,
            _ => Standing::Clear,
        }
    }

    /// Counts a crash under a request and returns the crashes so far.
    pub fn count(&mut self, fingerprint: u64, now: Millis) -> u32 {
        let crashes = self.crashes(fingerprint, now) + 1;
        self.learn(fingerprint, crashes, now);
        crashes
    }

    /// Takes over what a peer or the table service knows; zero crashes clear the request.
    pub fn learn(&mut self, fingerprint: u64, crashes: u32, now: Millis) {
        if crashes == 0 {
            self.records.remove(&fingerprint);
            return;
        }
        if self.records.len() >= SUSPECTS_MOST {
            self.records.retain(|_, r| r.until > now);
        }
        if self.records.len() >= SUSPECTS_MOST && !self.records.contains(&fingerprint) {
            return;
        }
        let crashes = crashes.max(self.crashes(fingerprint, now));
        self.records.insert(fingerprint, Record { crashes, until: now + REMEMBER_MS });
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
