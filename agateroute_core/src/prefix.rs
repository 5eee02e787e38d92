//! The server that last processed each prompt prefix, so that similar prompts hit its cache.

use crate::Table;
use crate::id::{Id, Millis};

/// The maximum number of prefixes; the oldest one is replaced.
const MAX_PREFIXES: usize = 4_096;
/// How long a prefix is assumed to stay in the server's cache, in milliseconds.
const PREFIX_TTL_MS: Millis = 300_000;

value! {
    struct Location {
        server: Id,
        recorded_at: Millis,
    }
}

/// The server that last processed each prefix, by prefix hash.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Prefixes {
    locations: Table<u64, Location>,
}

impl Prefixes {
    /// The server that last processed a prefix, if that was within the last `PREFIX_TTL_MS`.
    pub fn find(&self, prefix: u64, now: Millis) -> Option<Id> {
        let location = self.locations.get(&prefix)?;
        (location.recorded_at + PREFIX_TTL_MS > now).then_some(location.server)
    }

    /// Records that a server processes a prefix. Zero, for prompts too short to share, is ignored.
    pub fn record(&mut self, prefix: u64, server: Id, now: Millis) {
        if prefix == 0 {
            return;
        }
        if self.locations.len() >= MAX_PREFIXES && !self.locations.contains(&prefix) {
            let oldest = self.locations.iter().min_by_key(|(_, p)| p.recorded_at).map(|(k, _)| *k);
            if let Some(oldest) = oldest {
                self.locations.remove(&oldest);
            }
        }
        self.locations.insert(prefix, Location { server, recorded_at: now });
    }
}
