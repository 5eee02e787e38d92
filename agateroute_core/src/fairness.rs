//! Virtual token counters that choose the next rank, and the next organisation inside a rank.
//!
//! An organisation's counter grows by the tokens or calls used, divided by its share; the lowest
//! counter goes next. A rank with a configured floor goes first while its recent part of the work is below
//! the floor. See `docs/DESIGN.md`, "Who goes next".

use crate::Table;
use crate::id::{Id, Millis};

/// The time constant with which a rank's recorded work decays, in milliseconds.
const RANK_DECAY_MS: f64 = 10_000.0;

/// The counters of one backend server.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Counters {
    organisations: Table<(u8, Id), f64>,
    /// The recent work of each rank, in tokens or calls.
    rank_work: Vec<f64>,
    decayed_at: Millis,
}

impl Counters {
    /// The counter of an organisation in a rank: work divided by share, 0 if unknown.
    pub fn organisation(&self, rank: u8, organisation: Id) -> f64 {
        self.organisations.get(&(rank, organisation)).copied().unwrap_or(0.0)
    }

    /// Adds work, in tokens or calls, to an organisation and its rank. Negative work is a refund.
    pub fn charge(&mut self, rank: u8, organisation: Id, share: f64, work: f64) {
        *self.organisations.entry((rank, organisation), || 0.0) += work / share.max(1.0);
        let rank = usize::from(rank);
        if self.rank_work.len() <= rank {
            self.rank_work.resize(rank + 1, 0.0);
        }
        self.rank_work[rank] = (self.rank_work[rank] + work).max(0.0);
    }

    /// Raises the counter of an organisation that was idle to the lowest of the `active` ones in
    /// its rank, so that idle time earns no priority.
    pub fn raise(&mut self, rank: u8, organisation: Id, active: impl Iterator<Item = Id>) {
        let lowest = active.map(|o| self.organisation(rank, o)).reduce(f64::min);
        if let Some(lowest) = lowest {
            let counter = self.organisations.entry((rank, organisation), || 0.0);
            *counter = counter.max(lowest);
        }
    }

    /// Decays the recorded work of the ranks by the time since the last call.
    pub fn decay(&mut self, now: Millis) {
        let elapsed = now.saturating_sub(self.decayed_at) as f64;
        let factor = (-elapsed / RANK_DECAY_MS).exp();
        self.rank_work.iter_mut().for_each(|w| *w *= factor);
        self.decayed_at = now;
    }

    /// Drops the counters of organisations that are not `active` once there are more than `max`.
    pub fn forget_idle(&mut self, max: usize, active: impl Fn(u8, Id) -> bool) {
        if self.organisations.len() > max {
            self.organisations.retain(|(rank, organisation), _| active(*rank, *organisation));
        }
    }

    /// Chooses the next of the `waiting` ranks: the least urgent one below its floor, or else the most
    /// urgent; `None` if nothing waits. `floor` returns the floor of a rank, from 0 to 1.
    pub fn next_rank(&self, waiting: &[u8], floor: impl Fn(u8) -> f64) -> Option<u8> {
        let most_urgent = waiting.iter().copied().min()?;
        let total: f64 = self.rank_work.iter().sum();
        if total <= 0.0 {
            return Some(most_urgent);
        }
        let used = |rank: u8| self.rank_work.get(usize::from(rank)).copied().unwrap_or(0.0) / total;
        let below = waiting.iter().copied().filter(|r| *r != most_urgent && used(*r) < floor(*r));
        Some(below.max().unwrap_or(most_urgent))
    }
}
