//! Denials by the owner of a server: which requests it can not serve in time, and when it expects room for them.

use agateroute_proto::peers::message::Body;
use agateroute_proto::peers::{Ask, Deny, DenyReason};

use crate::admission;
use crate::catalog::Capacity;
use crate::controller::{Context, Controller, Reply};
use crate::id::{Id, Millis};
use crate::permits::Waiting;
use crate::promises::{self, Drain, FIRST_WAIT, PROMISE_DIVISOR, Promise, RETURN_SHARE};

/// The retry delay for a request that waited past its deadline, in milliseconds.
const RETRY_AFTER_MS: u32 = 1_000;
/// A request is denied at once if its predicted wait exceeds this multiple of its maximum wait, where no capacity is planned.
const PREDICTION_SLACK: f64 = 1.25;
/// How long before its deadline a queued request is denied where capacity is planned, in milliseconds: two ticks, so that the
/// time of the next room reaches its entry instance before that refuses it without one.
const LAST_CALL_MS: Millis = 50;
/// The maximum wait of a request that may not be refused early: it may have run, or its stream goes on. Its entry instance
/// withdraws it when its time is over.
pub const UNLIMITED_WAIT_MS: u32 = u32::MAX;

value! {
    /// The expected wait of a request, in milliseconds.
    #[derive(Default)]
    struct Prospect {
        wait_ms: Millis,
        doubt_ms: Millis,
        interval_ms: Millis,
    }
}

impl Context<'_> {
    /// Whether capacity is planned ahead for a target: the configuration says so, or the speed of one of its servers is known.
    pub fn plans_capacity(&self, target: Id) -> bool {
        self.catalog.routing().plan_capacity || self.knows_speed(target)
    }

    /// Whether the speed of an engine of a target is known.
    pub fn knows_speed(&self, target: Id) -> bool {
        let is_engine = |s: &Id| {
            let capacity = self.catalog.servers.get(s).map(|i| i.capacity);
            matches!(capacity, Some(Capacity::Engine { .. }))
        };
        let known = |s: &Id| self.speeds.usual(*s, self.now).is_some() && is_engine(s);
        !self.speeds.is_empty()
            && self.catalog.targets.get(&target).is_some_and(|t| t.iter().any(known))
    }
}

impl Controller {
    /// Returns the denial of a request that would wait too long.
    pub(crate) fn predicted_denial(
        &mut self,
        peer: Id,
        ask: &Ask,
        ctx: &Context<'_>,
    ) -> Option<Body> {
        if ask.moving || !ctx.plans_capacity(ask.target) {
            let (reason, retry_ms) = self.denial_by_rate(ask, ctx)?;
            return Some(self.deny_message(ask, reason, retry_ms));
        }
        let max_wait_ms = self.max_wait_ms(ask);
        let waiting = self.queued(peer, ask.clone(), ctx);
        if self.waiting.is_empty() && admission::has_room(self, &waiting, ctx) {
            return None;
        }
        let prospect = self.prospect(&waiting, ctx)?;
        let (wait_ms, doubt_ms) = (prospect.wait_ms as f64, prospect.doubt_ms as f64);
        promises::out_of_reach(wait_ms, doubt_ms, max_wait_ms)
            .then(|| self.deny_with_room(&waiting, prospect, ctx))
    }

    /// Returns a reason and a retry delay in milliseconds if the request would wait too long,
    /// judging by the rate at which the queue drains and the number of requests ahead.
    fn denial_by_rate(&self, ask: &Ask, ctx: &Context<'_>) -> Option<(DenyReason, u32)> {
        if self.interval_ms.is_none() && self.rate_wait_ms(0.0).is_none() {
            return None;
        }
        let ahead = admission::requests_ahead(self, ask, ctx);
        let drained = self.interval_ms.map_or(0.0, |interval_ms| interval_ms * ahead);
        let predicted = drained.max(self.rate_wait_ms(ahead).unwrap_or(0.0));
        let wait = self.max_wait_ms(ask) as f64;
        if predicted <= wait * PREDICTION_SLACK {
            return None;
        }
        let retry_ms = (predicted - wait).clamp(1_000.0, 60_000.0) as u32;
        Some((self.deny_reason(ask, ctx), retry_ms))
    }

    /// Returns the entry of a request in the queue if it is queued now.
    pub(crate) fn queued(&self, peer: Id, ask: Ask, ctx: &Context<'_>) -> Waiting {
        let deadline = ctx.now + self.max_wait_ms(&ask);
        let target_at = ctx.now + u64::from(ask.target_left_ms);
        Waiting { peer, ask, deadline, target_at, queued_at: ctx.now }
    }

    /// How long a request may wait and still meet its target. The target of plain calls is for the
    /// whole answer, so the usual time of an answer is subtracted.
    fn max_wait_ms(&self, ask: &Ask) -> Millis {
        match self.capacity {
            Capacity::Engine { .. } => u64::from(ask.wait_ms),
            Capacity::Slots { .. } => {
                u64::from(ask.wait_ms).saturating_sub(self.limit.typical_ms())
            }
        }
    }

    /// When the caller of a queued request gives up, as far as the message tells it: a stream may wait for a part of the time
    /// of its caller, a plain call for all of it. 0 for a request with unlimited wait, which so goes before others.
    pub(crate) fn caller_until(&self, waiting: &Waiting) -> Millis {
        let wait_ms = match (waiting.ask.wait_ms, self.capacity) {
            (UNLIMITED_WAIT_MS, _) => return 0,
            (wait_ms, Capacity::Engine { .. }) => promises::caller_left_ms(u64::from(wait_ms)),
            (wait_ms, Capacity::Slots { .. }) => u64::from(wait_ms),
        };
        waiting.queued_at + wait_ms
    }

    /// The expected wait of a request; `None` if nothing tells the rate at which requests leave the queue.
    fn prospect(&self, waiting: &Waiting, ctx: &Context<'_>) -> Option<Prospect> {
        let drain = match self.interval_ms {
            Some(interval_ms) => Some(Drain::measured(interval_ms)),
            None => Drain::predicted(&admission::ends_ms(self, waiting.ask.target, ctx)),
        };
        if drain.is_none() && self.rate_wait_ms(0.0).is_none() {
            return None;
        }
        let interval_ms = drain.map_or(0.0, |d| d.interval_ms);
        let place = admission::place(self, waiting, interval_ms, ctx);
        let drained_ms = drain.map_or(0.0, |d| d.wait_ms(place));
        let rated_wait_ms = self.rate_wait_ms(place).unwrap_or(0.0);
        let (departure_ms, rated_ms) = (interval_ms as Millis, (rated_wait_ms / place) as Millis);
        let doubt_ms =
            drain.filter(|_| drained_ms >= rated_wait_ms).map_or(0.0, |d| d.doubt_ms(place));
        Some(Prospect {
            wait_ms: drained_ms.max(rated_wait_ms) as Millis,
            doubt_ms: doubt_ms as Millis,
            interval_ms: self.permit_rate.interval_ms().unwrap_or(departure_ms).max(rated_ms),
        })
    }

    /// When room is expected for a request that is denied, behind those to whom a time was promised before.
    fn room_at(&self, prospect: Prospect, ctx: &Context<'_>) -> Millis {
        let distance_ms = prospect.interval_ms * RETURN_SHARE.1 / RETURN_SHARE.0;
        let earliest = ctx.now + prospect.wait_ms.max(prospect.interval_ms);
        self.promises.next_free(earliest, distance_ms)
    }

    /// Denies a request with the time at which room is expected for it. The time is promised if the caller may come back then.
    fn deny_with_room(&mut self, waiting: &Waiting, prospect: Prospect, ctx: &Context<'_>) -> Body {
        let at = self.room_at(prospect, ctx);
        let left_ms = self.caller_until(waiting).saturating_sub(ctx.now);
        let room_ms = at - ctx.now;
        if room_ms <= left_ms / PROMISE_DIVISOR {
            let promise = Promise { at, peer: waiting.peer, request: waiting.ask.request };
            self.promises.add(promise, ctx.now);
        }
        let room_ms = room_ms.min(u64::from(u32::MAX)) as u32;
        let reason = self.deny_reason(&waiting.ask, ctx);
        let interval_ms = Some(prospect.interval_ms as u32);
        match self.deny_message(&waiting.ask, reason, room_ms) {
            Body::Deny(deny) => Body::Deny(Deny { room_ms: Some(room_ms), interval_ms, ..deny }),
            other => other,
        }
    }

    fn deny_reason(&self, ask: &Ask, ctx: &Context<'_>) -> DenyReason {
        if admission::over_share(self, ask, ctx) {
            DenyReason::OverShare
        } else {
            DenyReason::NoRoom
        }
    }

    /// Denies queued requests whose deadline has passed.
    pub(crate) fn deny_overdue(&mut self, ctx: &Context<'_>, out: &mut Vec<Reply>) {
        let plans = self.waiting.first().is_some_and(|w| ctx.plans_capacity(w.ask.target));
        // After most of its wait a plain call has no time left for a return.
        if plans && matches!(self.capacity, Capacity::Engine { .. }) {
            self.offer_returns(ctx, out);
        }
        let until = if plans { ctx.now + LAST_CALL_MS } else { ctx.now };
        let waiting = std::mem::take(&mut self.waiting);
        let (late, kept) = waiting.into_iter().partition(|w: &Waiting| w.deadline <= until);
        self.waiting = kept;
        for waiting in late {
            let prospect = self.prospect(&waiting, ctx).filter(|_| plans && !waiting.ask.moving);
            let body = match prospect {
                Some(prospect) => self.deny_with_room(&waiting, prospect, ctx),
                None => {
                    let reason = self.deny_reason(&waiting.ask, ctx);
                    self.deny_message(&waiting.ask, reason, RETRY_AFTER_MS)
                }
            };
            out.push((waiting.peer, body));
        }
    }

    /// Denies requests that have missed their target and the first part of their wait, if their callers can come back when there
    /// is room. Those who have the least time left go first.
    fn offer_returns(&mut self, ctx: &Context<'_>, out: &mut Vec<Reply>) {
        let has_waited = |w: &Waiting| {
            let wait_ms = u64::from(w.ask.wait_ms) * FIRST_WAIT.0 / FIRST_WAIT.1;
            ctx.now + LAST_CALL_MS >= w.queued_at + wait_ms
        };
        let mut due: Vec<(Millis, Id, u64)> = self
            .waiting
            .iter()
            .filter(|w| !w.ask.moving && has_waited(w) && admission::has_missed(self, w, ctx))
            .map(|w| (self.caller_until(w), w.peer, w.ask.request))
            .collect();
        due.sort_unstable();
        for (caller_until, peer, request) in due {
            let left_ms = caller_until.saturating_sub(ctx.now);
            let Some(at) =
                self.waiting.iter().position(|w| (w.peer, w.ask.request) == (peer, request))
            else {
                continue;
            };
            let Some(prospect) = self.prospect(&self.waiting[at], ctx) else { return };
            let delay_ms = self.room_at(prospect, ctx) - ctx.now;
            if !promises::is_useful(delay_ms, left_ms) {
                return;
            }
            let waiting = self.waiting.remove(at);
            let body = self.deny_with_room(&waiting, prospect, ctx);
            out.push((waiting.peer, body));
        }
    }
}
