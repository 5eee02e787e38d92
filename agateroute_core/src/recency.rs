//! Decides when an instance reads the document itself since no peer has handed it on in time.
//!
//! Ages add up from the readers through the relays, and any number of these may stand still before others notice. An instance
//! that reaches the table service therefore depends on none of them for the bound: it only leaves them the time to be
//! faster. See `docs/design/large-fleets.md`, "The document".

use crate::id::{Id, Millis, mix};

/// How often a reader reads the document again, in percent of the bound.
const REREAD_PERCENT: Millis = 40;
/// The age at which any instance reads the document itself, in percent of the bound. Above the age with which it arrives through
/// readers and relays, and so far below the bound that a read fits in between.
const DUE_PERCENT: Millis = 75;
/// How long after the announcement of a newer version an instance reads it itself, in percent of the bound.
const ANNOUNCED_PERCENT: Millis = 10;
/// The part of the bound over which the reads of a fleet are spread, in percent.
const SPREAD_PERCENT: Millis = 5;
/// The size of a list of servers for each server, and what the slowest link carries in a millisecond, in bytes.
const ENTRY_BYTES: u64 = 400;
const LINK_BYTES_MS: u64 = 1_250;
/// The age by which the first instance of an availability zone has read the list of servers itself, in percent of its bound, and
/// the age before which none does so, however long a read takes.
const LIST_READ_PERCENT: Millis = 80;
const MIN_LIST_PERCENT: Millis = 60;

/// Returns the pause between two reads of the document by a reader, in milliseconds.
pub fn reread_ms(bound_ms: Millis) -> Millis {
    bound_ms * REREAD_PERCENT / 100
}

/// Returns the time until an instance reads the document itself, in milliseconds; 0 if it does now. `age` is that of its document, and
/// `announced` the time since a newer version was announced.
pub fn document_due(bound_ms: Millis, me: Id, age: Millis, announced: Option<Millis>) -> Millis {
    let spread = mix(me, 0) % (bound_ms * SPREAD_PERCENT / 100).max(1);
    let left =
        |percent: Millis, since: Millis| (bound_ms * percent / 100 + spread).saturating_sub(since);
    let by_age = left(DUE_PERCENT, age);
    announced.map_or(by_age, |since| by_age.min(left(ANNOUNCED_PERCENT, since)))
}

/// Returns the age at which an instance reads the list of servers itself that it gets from relays or readers, in milliseconds.
/// `position` is its place in the order of its zone. A read takes longer the more servers there are, and those that come later
/// find the list at a peer by then.
pub fn list_due_ms(bound_ms: Millis, position: usize, servers: usize) -> Millis {
    let read_ms = (servers as u64 * ENTRY_BYTES).div_ceil(LINK_BYTES_MS);
    let first_ms = (bound_ms * LIST_READ_PERCENT / 100).saturating_sub(read_ms);
    first_ms.max(bound_ms * MIN_LIST_PERCENT / 100) + position as Millis * read_ms
}
