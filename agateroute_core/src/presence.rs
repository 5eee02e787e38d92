//! Detects which rows of the table service are still refreshed by their writers.
//!
//! A live writer rewrites its row periodically. The reader measures on its own monotonic clock how long
//! ago it saw the row change, so wall clocks, which may jump on either side, are not compared.

use crate::Table;
use crate::id::Millis;

/// The last known mark of each row, and when it was first seen.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RowPresence {
    seen: Table<String, (String, Millis)>,
}

impl RowPresence {
    /// Records that a row was read. `mark` is a value in the row that changes with each write. Returns how
    /// long ago this mark was first seen, in milliseconds.
    pub fn observe(&mut self, now: Millis, row: &str, mark: &str) -> Millis {
        let row = row.to_owned();
        if let Some((known, since)) = self.seen.get(&row)
            && known == mark
        {
            return now.saturating_sub(*since);
        }
        self.seen.insert(row, (mark.to_owned(), now));
        0
    }

    /// Drops the rows for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.seen.retain(|row, _| keep(row));
    }
}
