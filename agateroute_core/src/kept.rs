//! Which parts of prompts a server still holds, as far as the owner of the server can tell.
//!
//! An engine keeps what it has read until it needs the memory. The owner knows what it granted permits for since a part was
//! last used, and takes the part for kept with a probability that falls with that amount. See `docs/design/kept-prefixes.md`.

use agateroute_proto::peers::PromptPart;

use crate::Table;
use crate::id::Id;

/// The maximum number of parts tracked for one server; the one that was used longest ago is replaced.
const MAX_PARTS: usize = 1_024;

value! {
    struct Row {
        /// The sum of granted tokens when the part was last used.
        used_at: u64,
        /// The hash of the prompt's shared start that the part belonged to.
        prefix: u64,
    }
}

/// The parts of prompts that one server has read.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Kept {
    rows: Table<Id, Row>,
    /// The tokens that all permits so far needed.
    granted: u64,
    /// When the server started, in milliseconds since 1970; 0 until it is known.
    start_ms: u64,
}

impl Kept {
    /// Records a permit for a prompt with shared parts, which needs `tokens` of memory in all.
    pub fn record(&mut self, parts: &[PromptPart], prefix: u64, tokens: u32) {
        self.granted += u64::from(tokens);
        for part in parts {
            if self.rows.len() >= MAX_PARTS && !self.rows.contains(&part.part) {
                let oldest = self.rows.iter().min_by_key(|(_, r)| r.used_at).map(|(p, _)| *p);
                if let Some(oldest) = oldest {
                    self.rows.remove(&oldest);
                }
            }
            self.rows.insert(part.part, Row { used_at: self.granted, prefix });
        }
    }

    /// The expected number of tokens at the start of a prompt that a server with this much memory still holds. A part is of
    /// use only behind those before it. With `cached` the engine itself has said that it holds them all.
    pub fn expected_tokens(&self, parts: &[PromptPart], memory: u64, cached: bool) -> f32 {
        let mut chance: f32 = 1.0;
        let mut expected = 0.0;
        for part in parts {
            if !cached {
                chance = chance.min(self.chance(part.part, memory));
            }
            expected += part.tokens as f32 * chance;
        }
        expected
    }

    /// The probability that a part is still held. It halves with each time that the memory was needed since.
    fn chance(&self, part: Id, memory: u64) -> f32 {
        let Some(row) = self.rows.get(&part) else { return 0.0 };
        let since = self.granted.saturating_sub(row.used_at) as f32;
        (-since / memory.max(1) as f32).exp2()
    }

    /// Drops the parts of a start of prompts that the engine says it has evicted.
    pub fn evicted(&mut self, prefix: u64) {
        if prefix != 0 {
            self.rows.retain(|_, row| row.prefix != prefix);
        }
    }

    /// Drops everything: the server leaves, or may have been restarted.
    pub fn clear(&mut self) {
        self.rows = Table::default();
    }

    /// Drops everything if the server has another start time than before. The first one that becomes known says nothing.
    pub fn started(&mut self, start_ms: u64) {
        let former = std::mem::replace(&mut self.start_ms, start_ms);
        if former != 0 && former != start_ms {
            self.clear();
        }
    }
}
