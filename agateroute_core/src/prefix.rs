//! Where prompts that share a prefix were started, so that the next one finds it cached.

use crate::Table;
use crate::id::{Id, Millis};

/// The most prefixes that are remembered.
const PREFIXES_MOST: usize = 4_096;
/// How long a prefix is worth following, in milliseconds.
const WORTH_MS: Millis = 300_000;

value! {
    struct Place {
        server: Id,
        at: Millis,
    }
}

/// The servers that have computed a prefix lately.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Prefixes {
    places: Table<u64, Place>,
}

impl Prefixes {
    /// The server that has computed a prefix lately.
    pub fn find(&self, prefix: u64, now: Millis) -> Option<Id> {
        let place = self.places.get(&prefix)?;
        (place.at + WORTH_MS > now).then_some(place.server)
    }

    /// Notes that a server computes a prefix. Zero stands for a prompt too short to share.
    pub fn note(&mut self, prefix: u64, server: Id, now: Millis) {
        if prefix == 0 {
            return;
        }
        if self.places.len() >= PREFIXES_MOST && !self.places.contains(&prefix) {
            let oldest = self.places.iter().min_by_key(|(_, p)| p.at).map(|(k, _)| *k);
            if let Some(oldest) = oldest {
                self.places.remove(&oldest);
            }
        }
        self.places.insert(prefix, Place { server, at: now });
    }
}
