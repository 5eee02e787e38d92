//! Rendezvous hashing, which assigns duties to instances without an election.
//!
//! Every instance computes the same owner from the same list, and the loss of one instance moves
//! only the duties that it owned. See `docs/DESIGN.md`, "Placement of duties".

use crate::id::{Id, mix};

/// Returns the candidate with the highest hash for a duty; `None` without candidates.
pub fn owner(duty: Id, candidates: impl Iterator<Item = Id>) -> Option<Id> {
    candidates.max_by_key(|c| (mix(duty, *c), *c))
}

/// Sorts the candidates by descending hash for a duty, the owner first.
pub fn order(duty: Id, candidates: impl Iterator<Item = Id>) -> Vec<Id> {
    let mut ordered: Vec<Id> = candidates.collect();
    ordered.sort_by_cached_key(|c| std::cmp::Reverse((mix(duty, *c), *c)));
    ordered
}
