//! Decides which new requests an instance still accepts while it is shutting down.
//!
//! Callers are routed to it for some seconds more. A request that it can not answer before it exits is
//! refused as not run, so that the caller retries elsewhere instead of losing a partial answer.

use agateroute_config::route::RouteKind;

use crate::id::Millis;

/// The time per token on a busy engine, in milliseconds.
const BUSY_TOKEN_MS: u64 = 12;
/// The longest time to the first token, in milliseconds: queueing and processing of a long prompt.
const MAX_FIRST_TOKEN_MS: u64 = 1_500;
/// The factor by which a generation may exceed the caller's estimate of its length.
const HINT_FACTOR: u32 = 2;
/// How long after the order to stop the caller's estimate of a length counts, in milliseconds. It is right at the median
/// and often far off; a request that arrives later must be answered completely, so only its limit on the output counts.
const HINT_TRUST_MS: u64 = 2_500;
/// The longest time of a plain call, in milliseconds.
const MAX_CALL_MS: u64 = 700;

/// Returns whether a stopping instance accepts a request that arrives `stopping_ms` after the order to stop; see
/// [`latest_start_ms`].
pub fn can_finish(
    (serving_ms, due_ms): (Millis, Millis),
    stopping_ms: Millis,
    kind: RouteKind,
    max_tokens: u32,
    hint: u32,
) -> bool {
    latest_start_ms((serving_ms, due_ms), kind, max_tokens, hint)
        .is_some_and(|latest| stopping_ms <= latest)
}

/// Returns the latest time after the order to stop at which a request may start; `None` if it may not start at all.
///
/// Its answer is due by `due_ms`, its caller's deadline or the timeout of its route, and the instance serves until
/// `serving_ms`. A request that is due later is never accepted: no estimate of its length bounds what a server takes. Of
/// the others, those are accepted that are likely to be answered in time. All times are in milliseconds after the
/// order to stop. `max_tokens` limits the output and `hint` is the caller's estimate of its length in tokens, 0 if there
/// is none.
pub fn latest_start_ms(
    (serving_ms, due_ms): (Millis, Millis),
    kind: RouteKind,
    max_tokens: u32,
    hint: u32,
) -> Option<Millis> {
    if due_ms > serving_ms {
        return None;
    }
    if !kind.streams() {
        return serving_ms.checked_sub(MAX_CALL_MS);
    }
    let latest = |tokens: u32| {
        serving_ms.checked_sub(MAX_FIRST_TOKEN_MS + u64::from(tokens) * BUSY_TOKEN_MS)
    };
    let estimated = hint.saturating_mul(HINT_FACTOR).min(max_tokens);
    let by_hint = latest(estimated).filter(|_| hint > 0).map(|at| at.min(HINT_TRUST_MS));
    latest(max_tokens).max(by_hint)
}
