//! Which rows of the table service are kept up by somebody, told without comparing clocks.
//!
//! Whoever keeps a row writes it anew now and then. The reader measures on its own clock how long ago it
//! saw the row change, so that times of day, which may jump on either side, play no part.

use crate::Table;
use crate::id::Millis;

/// When each row was last seen to change.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Presence {
    seen: Table<String, (String, Millis)>,
}

impl Presence {
    /// Notes a row as it stands at a reading. `mark` differs each time that the row is written. Returns how
    /// long ago it was first seen to stand so.
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

    /// Forgets the rows that are not among those.
    pub fn retain(&mut self, among: impl Fn(&str) -> bool) {
        self.seen.retain(|row, _| among(row));
    }
}
