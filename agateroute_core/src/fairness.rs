//! Weighted virtual token counters: who goes next inside a rank, and which rank goes next.
//!
//! Each organisation's counter grows with the tokens it was given, divided by what it is owed; the organisation
//! with the lowest counter goes next. A rank with a declared floor goes first while it has had less
//! than its floor lately. See `docs/DESIGN.md`, "Who goes next".

use crate::Table;
use crate::id::{Id, Millis};

/// The time in which what a rank was given fades to a third, in milliseconds.
const RANK_DECAY_MS: f64 = 10_000.0;

/// The counters of one backend server.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Counters {
    organisations: Table<(u8, Id), f64>,
    ranks: Vec<f64>,
    decayed_at: Millis,
}

impl Counters {
    /// The counter of an organisation in a rank.
    pub fn organisation(&self, rank: u8, organisation: Id) -> f64 {
        self.organisations.get(&(rank, organisation)).copied().unwrap_or(0.0)
    }

    /// Charges work to an organisation and its rank. Negative work returns what was charged too much.
    pub fn charge(&mut self, rank: u8, organisation: Id, share: f64, work: f64) {
        *self.organisations.entry((rank, organisation), || 0.0) += work / share.max(1.0);
        let rank = usize::from(rank);
        if self.ranks.len() <= rank {
            self.ranks.resize(rank + 1, 0.0);
        }
        self.ranks[rank] = (self.ranks[rank] + work).max(0.0);
    }

    /// Lifts the counter of an organisation that returns from idleness, so that it can not spend what it
    /// did not use. `active` are the organisations that wait or run in the same rank.
    pub fn raise(&mut self, rank: u8, organisation: Id, active: impl Iterator<Item = Id>) {
        let lowest = active.map(|o| self.organisation(rank, o)).reduce(f64::min);
        if let Some(lowest) = lowest {
            let counter = self.organisations.entry((rank, organisation), || 0.0);
            *counter = counter.max(lowest);
        }
    }

    /// Fades what the ranks were given, and forgets organisations that neither wait nor run.
    pub fn decay(&mut self, now: Millis) {
        let elapsed = now.saturating_sub(self.decayed_at) as f64;
        let factor = (-elapsed / RANK_DECAY_MS).exp();
        self.ranks.iter_mut().for_each(|w| *w *= factor);
        self.decayed_at = now;
    }

    /// Forgets the counters of idle organisations once there are many, keeping those in `active`.
    pub fn forget_idle(&mut self, max: usize, active: impl Fn(u8, Id) -> bool) {
        if self.organisations.len() > max {
            self.organisations.retain(|(rank, organisation), _| active(*rank, *organisation));
        }
    }

    /// The rank that goes next among those that wait, given the floor of each rank.
    pub fn next_rank(&self, waiting: &[u8], floor: impl Fn(u8) -> f64) -> Option<u8> {
        let most_urgent = waiting.iter().copied().min()?;
        let total: f64 = self.ranks.iter().sum();
        if total <= 0.0 {
            return Some(most_urgent);
        }
        let used = |rank: u8| self.ranks.get(usize::from(rank)).copied().unwrap_or(0.0) / total;
        let below = waiting.iter().copied().filter(|r| *r != most_urgent && used(*r) < floor(*r));
        Some(below.max().unwrap_or(most_urgent))
    }
}
