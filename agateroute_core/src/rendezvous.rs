//! Rendezvous hashing: places a duty on one of several instances without election.
//!
//! Every instance computes the same owner from the same list, and the loss of one instance moves
//! only the duties that it had. See `docs/DESIGN.md`, "Placement of duties".

use crate::id::{Id, mix};

/// The candidate with the highest hash for a duty.
pub fn owner(duty: Id, candidates: impl Iterator<Item = Id>) -> Option<Id> {
    candidates.max_by_key(|c| (mix(duty, *c), *c))
}

/// Candidates by falling hash for a duty.
pub fn order(duty: Id, candidates: impl Iterator<Item = Id>) -> Vec<Id> {
    let mut ordered: Vec<Id> = candidates.collect();
    ordered.sort_by_key(|c| std::cmp::Reverse((mix(duty, *c), *c)));
    ordered
}
