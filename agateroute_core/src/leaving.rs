//! What an instance that was told to stop still takes.
//!
//! Callers are sent to it for some seconds more. What it can not answer before it is gone is refused at
//! once as not run, so that the caller asks another instance instead of losing its answer half-way.

use agateroute_config::route::RouteKind;

/// How long a token takes on a busy engine, in milliseconds.
const BUSY_TOKEN_MS: u64 = 12;
/// How long the first token may take: the wait for a place and the reading of a long prompt, in
/// milliseconds.
const MAX_FIRST_TOKEN_MS: u64 = 1_500;
/// How far a caller's guess at the length may be off on the short side, as a factor.
const HINT_FACTOR: u32 = 2;
/// How long a plain call may take, in milliseconds.
const MAX_CALL_MS: u64 = 700;

/// Whether a request can probably be answered whole in the time that is left. `max_tokens` is the longest
/// output and `hint` the caller's guess at it, in tokens; a hint of 0 is none.
pub fn can_finish(left_ms: u64, kind: RouteKind, max_tokens: u32, hint: u32) -> bool {
    if !kind.streams() {
        return left_ms >= MAX_CALL_MS;
    }
    let tokens =
        if hint == 0 { max_tokens } else { hint.saturating_mul(HINT_FACTOR).min(max_tokens) };
    left_ms >= MAX_FIRST_TOKEN_MS + u64::from(tokens) * BUSY_TOKEN_MS
}
