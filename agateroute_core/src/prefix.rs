//! Where prompts that share a prefix were started, so that the next one finds it cached.

use crate::Table;
use crate::id::{Id, Millis};

/// The most prefixes that are remembered.
const MAX_PREFIXES: usize = 4_096;
/// How long a prefix is worth following, in milliseconds.
const PREFIX_TTL_MS: Millis = 300_000;

value! {
    struct Location {
        server: Id,
        at: Millis,
    }
}

/// The servers that have computed a prefix lately.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Prefixes {
    locations: Table<u64, Location>,
}

impl Prefixes {
    /// The server that has computed a prefix lately.
    pub fn find(&self, prefix: u64, now: Millis) -> Option<Id> {
        let location = self.locations.get(&prefix)?;
        (location.at + PREFIX_TTL_MS > now).then_some(location.server)
    }

    /// Notes that a server computes a prefix. Zero stands for a prompt too short to share.
    pub fn record(&mut self, prefix: u64, server: Id, now: Millis) {
        if prefix == 0 {
            return;
        }
        if self.locations.len() >= MAX_PREFIXES && !self.locations.contains(&prefix) {
            let oldest = self.locations.iter().min_by_key(|(_, p)| p.at).map(|(k, _)| *k);
            if let Some(oldest) = oldest {
                self.locations.remove(&oldest);
            }
        }
        self.locations.insert(prefix, Location { server, at: now });
    }
}
