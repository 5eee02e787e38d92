//! What an entry instance believes of denials, and how it spaces the returns of the callers that it refuses.
//!
//! Owners deny requests that can not be served in time. Their denials are remembered for a few of the intervals at which they
//! grant permits, so that a burst does not ask every owner for each request. See `docs/design/shedding.md`.

use crate::Table;
use crate::id::{Id, Millis};
use crate::promises::{Promise, Promises, is_useful};

/// The number of servers that a request asks itself before remembered denials refuse it. Each asks servers whose denials are not
/// remembered first, so that a server which has room is found within a few requests.
pub const MIN_ASKED: usize = 3;
/// The number of intervals between permits for which a denial is believed. With four departures expected, the queue has drained at
/// more than twice its mean rate, for which [`Denial::refuses`] allows, with a probability of 2 percent.
const VALID_INTERVALS: u64 = 4;
/// The longest time for which a denial is believed, in milliseconds: a sixth of the time of a caller of short generations. Long
/// intervals are predicted from few generations.
const MAX_VALID_MS: Millis = 1_000;
/// The maximum number of remembered denials.
const MAX_DENIALS: usize = 4_096;
/// The time for which the interval of a server is used to space returns, in milliseconds.
const INTERVAL_RETENTION_MS: Millis = 10_000;
/// The maximum number of refused requests whose return is recognised.
const MAX_RETURNS: usize = 4_096;
/// How long after its stated time a return is recognised, in milliseconds.
const RETURN_RETENTION_MS: Millis = 5_000;

value! {
    /// The requests that a denial stands for: an owner's queue has an order by kind and organisation.
    pub struct Class {
        /// The organisation.
        pub organisation: Id,
        /// The request kind.
        pub kind: Id,
    }

    /// A denial with the time of the next room.
    pub struct Denial {
        /// When the owner expects room.
        pub room_at: Millis,
        /// The mean time between two permits, in milliseconds.
        pub interval_ms: Millis,
        /// When the denial arrived.
        pub told_at: Millis,
    }

    /// A stated time to come back.
    pub struct Stated {
        /// The delay, in milliseconds.
        pub delay_ms: Millis,
        /// Whether the caller comes back after it.
        pub returns: bool,
    }
}

impl Denial {
    /// Whether the server would deny a request that may wait so long, in milliseconds. The queue may have drained at twice the
    /// mean rate since the denial.
    pub fn refuses(&self, max_wait_ms: Millis, now: Millis) -> bool {
        let age_ms = now.saturating_sub(self.told_at);
        let room_ms = self.room_at.saturating_sub(now).saturating_sub(age_ms);
        self.is_valid(now) && room_ms > max_wait_ms
    }

    fn is_valid(&self, now: Millis) -> bool {
        let valid_ms = (self.interval_ms * VALID_INTERVALS).min(MAX_VALID_MS);
        now.saturating_sub(self.told_at) <= valid_ms
    }
}

/// The denials that an instance remembers, and the times that it has stated to callers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Shedding {
    denials: Table<(Id, Class), Denial>,
    /// The mean time between two permits of each server, and when it was told.
    intervals: Table<Id, (Millis, Millis)>,
    /// The times stated to the callers of each target.
    stated: Table<Id, Promises>,
    /// When the callers of refused requests come back, by the fingerprint of the request.
    returns: Table<u64, Millis>,
    /// When `expire` was last called.
    pub expired_at: Millis,
}

impl Shedding {
    /// Remembers a denial.
    pub fn record(&mut self, server: Id, class: Class, denial: Denial) {
        let now = denial.told_at;
        self.intervals.insert(server, (denial.interval_ms, now));
        if self.denials.len() >= MAX_DENIALS {
            self.expire(now);
        }
        if self.denials.len() < MAX_DENIALS || self.denials.contains(&(server, class)) {
            self.denials.insert((server, class), denial);
        }
    }

    /// The remembered denial of a server for requests of a class that may wait so long, in milliseconds.
    pub fn denial(
        &self,
        server: Id,
        class: Class,
        max_wait_ms: Millis,
        now: Millis,
    ) -> Option<Denial> {
        self.denials.get(&(server, class)).copied().filter(|d| d.refuses(max_wait_ms, now))
    }

    /// The time between two returns to one of `instances` instances, in milliseconds: its part of the permits of all servers that
    /// are for returns. Servers whose interval is not known count as the mean of the others. `None` if none is known.
    pub fn own_interval_ms(&self, servers: &[Id], instances: usize, now: Millis) -> Option<Millis> {
        let known: Vec<f64> = servers
            .iter()
            .filter_map(|s| self.intervals.get(s))
            .filter(|(_, told_at)| *told_at + INTERVAL_RETENTION_MS > now)
            .map(|(interval_ms, _)| 1.0 / (*interval_ms).max(1) as f64)
            .collect();
        let rate = known.iter().sum::<f64>() / known.len() as f64 * servers.len() as f64;
        (!known.is_empty()).then(|| (instances as f64 / rate) as Millis)
    }

    /// States the time to come back to a caller: the next position from `room_at` on in the sequence for the target. A position
    /// that is of no use to the caller is stated, but stays free for others. `left_ms` is the time that the caller has left in
    /// milliseconds; `None` if it is not known.
    pub fn state(
        &mut self,
        (target, request): (Id, u64),
        room_at: Millis,
        interval_ms: Millis,
        left_ms: Option<Millis>,
        now: Millis,
    ) -> Stated {
        let stated = self.stated.entry(target, Promises::default);
        let at = stated.next_free(room_at.max(now), interval_ms);
        let delay_ms = at - now;
        let returns = left_ms.is_none_or(|left_ms| is_useful(delay_ms, left_ms));
        if returns {
            stated.add(Promise { at, peer: 0, request }, now);
        }
        Stated { delay_ms, returns }
    }

    /// Remembers when the caller of a refused request comes back.
    pub fn expect_return(&mut self, fingerprint: u64, at: Millis) {
        if self.returns.len() < MAX_RETURNS {
            self.returns.insert(fingerprint, at);
        }
    }

    /// Recognises a request that was refused here before. Returns the time that was stated to its caller.
    pub fn take_return(&mut self, fingerprint: u64) -> Option<Millis> {
        self.returns.remove(&fingerprint)
    }

    /// Drops what is too old to be used.
    pub fn expire(&mut self, now: Millis) {
        self.expired_at = now;
        self.denials.retain(|_, d| d.is_valid(now));
        self.intervals.retain(|_, (_, told_at)| *told_at + INTERVAL_RETENTION_MS > now);
        self.returns.retain(|_, at| *at + RETURN_RETENTION_MS > now);
        self.stated.iter_mut().for_each(|(_, promises)| promises.expire(now));
        self.stated.retain(|_, promises| {
            !promises.ended_before(now.saturating_sub(INTERVAL_RETENTION_MS))
        });
    }
}
