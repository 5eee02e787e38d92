//! When a stream counts as stalled, and the times in which this process itself did not run: it had no processor, was suspended, or
//! one task held its thread.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use agateroute_config::route::Route;

use crate::daemon::millis;

/// The shortest time without an event after which a stream counts as stalled.
const MIN_STALL_TIMEOUT: Duration = Duration::from_secs(2);
/// A stream counts as stalled after this many times the target of its route.
const STALL_TARGETS: u64 = 4;
/// A stream counts as stalled after this many times the longest pause for which its route is still on time.
const STALL_GAPS: u64 = 8;
/// A timer that fires so much late shows no more than the usual delay of a timer.
const MIN_STALL: Duration = Duration::from_millis(5);
/// How long a stall is remembered. Pauses that are longer than this are late whatever caused them.
const RETENTION: Duration = Duration::from_secs(5);

/// The longest stall of the last seconds, seen by a timer that fires at regular intervals.
#[derive(Debug, Default)]
pub struct Stalls {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    /// When the timer is due next.
    due: Option<Instant>,
    longest: Option<(Instant, Duration)>,
}

impl Stalls {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that the timer fired, and when it is due next.
    pub fn record(&self, due: Instant) {
        let now = Instant::now();
        let mut state = self.lock();
        let late = state.due.map_or(Duration::ZERO, |due| now.saturating_duration_since(due));
        state.due = Some(due);
        let is_longest =
            |(at, longest): (Instant, Duration)| longest <= late || now - at > RETENTION;
        if late >= MIN_STALL && state.longest.is_none_or(is_longest) {
            state.longest = Some((now, late));
        }
    }

    /// The longest stall that ended after a time, in milliseconds; 0 if none is known. A timer that is overdue counts, since
    /// other tasks may run before it after a stall.
    pub fn since(&self, start: Instant) -> u64 {
        let state = self.lock();
        let overdue = state.due.map_or(Duration::ZERO, |due| due.elapsed());
        let overdue = if overdue < MIN_STALL { Duration::ZERO } else { overdue };
        let longest = state.longest.filter(|(at, _)| *at >= start);
        longest.map_or(overdue, |(_, late)| late.max(overdue)).as_millis() as u64
    }
}

/// The time without an event after which a stream of a route counts as stalled. Callers leave after this time, so
/// a stream that is only slow is never cut.
pub fn timeout(route: &Route) -> Duration {
    let targets = millis(route.target_ms.saturating_mul(STALL_TARGETS));
    let gaps = millis(route.gap_ms.saturating_mul(STALL_GAPS));
    MIN_STALL_TIMEOUT.max(targets).max(gaps)
}
