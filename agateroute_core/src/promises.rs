//! When the owner of a server expects room, and the times that it has promised to requests which it denied.
//!
//! The queue of a server drains at a rate that is measured, or predicted from the running generations before a request has
//! left the queue. A request is denied only if neither a wait nor a return can serve it. See `docs/design/shedding.md`.

use crate::id::{Id, Millis};

/// The weight of the newest sample in the moving average of intervals between departures.
pub const INTERVAL_WEIGHT: f64 = 0.1;
/// A caller comes back within this part of the time that it has left.
pub const RETURN_DIVISOR: u64 = 3;
/// The part of the time `T` of its caller for which a stream waits for a permit at most. Until `T/2` it waits as it does where no
/// capacity is planned. A caller that is refused then comes back within a third of the rest, by `2T/3`. A request whose return can
/// not be promised waits in its queue for as long.
pub const LONGEST_WAIT: (u64, u64) = (2, 3);
/// The part of that wait after which a return is offered, `T/2` of `2T/3`: one that returns goes before requests that have missed
/// their target.
pub const FIRST_WAIT: (u64, u64) = (3, 4);
/// An owner remembers times within this part of the time that a caller has left. It knows that time only roughly, by how long
/// the request may wait, and is told of those that are not used.
pub const PROMISE_DIVISOR: u64 = 2;
/// The part of the permits that is promised to requests which come back: 2 of 5. The others are for requests that can still meet
/// their target, which those that come back have missed. It is the largest part with which nine of ten returns get their permit
/// within half a second in `tests/shedding.rs`.
pub const RETURN_SHARE: (u64, u64) = (2, 5);
/// The maximum number of promises that are remembered. At 10 ms from one to the next these are 5 s, and no caller of a long
/// generation, of which fewer are permitted, comes back after more than 13 s.
const MAX_PROMISES: usize = 512;

/// The rate at which requests leave a queue.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Drain {
    /// The mean time between two departures, in milliseconds.
    pub interval_ms: f64,
    /// The squared relative error of that mean.
    pub variance: f64,
}

impl Drain {
    /// The rate by a moving average of measured intervals. For independent ones its squared relative error is `w / (2 - w)`.
    pub fn measured(interval_ms: f64) -> Drain {
        Drain { interval_ms, variance: INTERVAL_WEIGHT / (2.0 - INTERVAL_WEIGHT) }
    }

    /// The rate at which running generations are expected to end, from the sorted times until their ends in milliseconds. Only
    /// the first half counts, since the places of these are taken again before the last ones end.
    pub fn predicted(ends_ms: &[f32]) -> Option<Drain> {
        let count = ends_ms.len().div_ceil(2);
        let last_ms = *ends_ms.get(count.checked_sub(1)?)?;
        Some(Drain { interval_ms: f64::from(last_ms) / count as f64, variance: 1.0 / count as f64 })
    }

    /// The expected time until the request in a place of the queue leaves it, in milliseconds. The first place is 1.
    pub fn wait_ms(&self, place: f64) -> f64 {
        self.interval_ms * place
    }

    /// The standard deviation of that time, in milliseconds: departures are taken to be independent of each other, and the mean
    /// interval has an error of its own.
    pub fn doubt_ms(&self, place: f64) -> f64 {
        self.interval_ms * (place + self.variance * place * place).sqrt()
    }
}

/// Returns when a stream that waits for a permit is given up, from when it is given up where no capacity is planned, at half of
/// its caller's time, and from the end of that time.
pub fn extended_deadline(deadline: Millis, answer_by: Millis) -> Millis {
    let (parts, whole) = LONGEST_WAIT;
    // The second half of the time has to hold the rest of the parts.
    deadline + answer_by.saturating_sub(deadline) * (2 * parts - whole) / whole
}

/// Returns the time that a caller has left when its request may wait for so long, in milliseconds.
pub fn caller_left_ms(wait_ms: Millis) -> Millis {
    wait_ms * LONGEST_WAIT.1 / LONGEST_WAIT.0
}

/// Whether a request is denied at once: its wait is too long even if it is shorter than expected by one standard deviation.
pub fn out_of_reach(wait_ms: f64, doubt_ms: f64, max_wait_ms: Millis) -> bool {
    wait_ms - doubt_ms > max_wait_ms as f64
}

/// Whether a caller with so much time left comes back after a delay, both in milliseconds.
pub fn is_useful(delay_ms: Millis, left_ms: Millis) -> bool {
    delay_ms <= left_ms / RETURN_DIVISOR
}

value! {
    /// A time at which a denied request is expected to come back.
    pub struct Promise {
        /// The time.
        pub at: Millis,
        /// The instance that was told.
        pub peer: Id,
        /// The request that was denied.
        pub request: u64,
    }
}

/// A moving average of times.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct MeanTime {
    mean_ms: Option<f64>,
}

impl MeanTime {
    /// Adds a time, in milliseconds.
    pub fn record(&mut self, ms: Millis) {
        let ms = ms as f64;
        let mean_ms = self.mean_ms.unwrap_or(ms);
        self.mean_ms = Some(mean_ms + INTERVAL_WEIGHT * (ms - mean_ms));
    }

    /// The mean in whole milliseconds, rounded up; `None` before the first time.
    pub fn mean_ms(&self) -> Option<Millis> {
        self.mean_ms.map(|ms| ms.ceil() as Millis)
    }
}

/// The mean time between two permits that are granted while requests wait.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PermitRate {
    interval: MeanTime,
    /// When the last permit was granted, or a queue began since then.
    since: Millis,
}

impl PermitRate {
    /// Notes that a request is queued where none waited.
    pub fn queue_began(&mut self, now: Millis) {
        self.since = now;
    }

    /// Records a permit. It tells nothing of the rate if no request had to `wait` for it.
    pub fn record(&mut self, wait: bool, now: Millis) {
        if wait {
            self.interval.record(now.saturating_sub(self.since));
        }
        self.since = now;
    }

    /// The mean time, in milliseconds, if it is known.
    pub fn interval_ms(&self) -> Option<Millis> {
        self.interval.mean_ms()
    }
}

/// Promised times, sorted. They are lost with the owner.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Promises {
    times: Vec<Promise>,
}

impl Promises {
    /// Returns the first time from `earliest` on that has the given distance from all promises, both in milliseconds.
    pub fn next_free(&self, earliest: Millis, interval_ms: Millis) -> Millis {
        let mut free = earliest;
        for promise in &self.times {
            if promise.at >= free + interval_ms {
                break;
            }
            if promise.at + interval_ms > free {
                free = promise.at + interval_ms;
            }
        }
        free
    }

    /// Remembers a promise. The one before to the same request is dropped, and with it those whose time has passed.
    pub fn add(&mut self, promise: Promise, now: Millis) {
        self.expire(now);
        self.withdraw(promise.peer, promise.request);
        if self.times.len() < MAX_PROMISES {
            let at = self.times.partition_point(|p| *p < promise);
            self.times.insert(at, promise);
        }
    }

    /// Drops the promise to a request that uses another one, or waits again.
    pub fn withdraw(&mut self, peer: Id, request: u64) {
        self.times.retain(|p| (p.peer, p.request) != (peer, request));
    }

    /// Drops promises whose time has passed, but for the last one, to which the next one keeps its distance.
    pub fn expire(&mut self, now: Millis) {
        let passed = self.times.partition_point(|p| p.at < now);
        self.times.drain(..passed.saturating_sub(1));
    }

    /// Whether all promises are of a time before this one.
    pub fn ended_before(&self, at: Millis) -> bool {
        self.times.last().is_none_or(|p| p.at < at)
    }

    /// The number of promises.
    pub fn len(&self) -> usize {
        self.times.len()
    }

    /// Whether there is no promise.
    pub fn is_empty(&self) -> bool {
        self.times.is_empty()
    }
}
