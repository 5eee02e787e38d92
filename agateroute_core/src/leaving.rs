//! What an instance that was told to stop still takes.
//!
//! Callers are sent to it for some seconds more. What it can not answer before it is gone is refused at
//! once as not run, so that the caller asks another instance instead of losing its answer half-way.

use agateroute_config::route::RouteKind;

/// How long a token takes on a busy engine, in milliseconds.
const TOKEN_MS: u64 = 12;
/// How long the first token may take: the wait for a place and the reading of a long prompt, in
/// milliseconds.
const FIRST_TOKEN_MS: u64 = 1_500;
/// How far a caller's guess at the length may be off on the short side, as a factor.
const HINT_FACTOR: u32 = 2;
/// How long a plain call may take, in milliseconds.
const CALL_MS: u64 = 700;

/// Whether a request can probably be answered whole in the time that is left. `most` is the longest
/// output and `hint` the caller's guess at it, in tokens; a hint of 0 is none.
pub fn fits(left_ms: u64, kind: RouteKind, most: u32, hint: u32) -> bool {
    if !kind.streams() {
        return left_ms >= CALL_MS;
    }
    let tokens = if hint == 0 { most } else { hint.saturating_mul(HINT_FACTOR).min(most) };
    left_ms >= FIRST_TOKEN_MS + u64::from(tokens) * TOKEN_MS
}
