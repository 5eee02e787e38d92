//! The rate of permits for a backend server that has named a limit of requests.
//!
//! The limit holds for all instances together, so the owner of the server, whose permit every request needs, keeps the
//! one rate. A new owner starts without credit, and one that acts in place of another grants a part of the rate only. See
//! `docs/DESIGN.md`, "Limits that servers name".

use agateroute_proto::peers::{ServerNotice, WithdrawReason};

use crate::cold::{self, ColdLimit};
use crate::controller::{Context, Controller, Reply};
use crate::event::RequestId;
use crate::id::{Id, Millis};
use crate::limits::Terms;

/// The lowest rate, in thousandths of a request a second. Only an answer shows that a limit has ended, and the rule for
/// limits allows five requests in four seconds whatever the limit.
pub const MIN_RATE: u64 = 250;
/// The time whose requests may be granted at once after a pause, in milliseconds, beside one request. The rule allows one and
/// a half times the limit and five requests; what this leaves is for instances that disagree about the owner.
const BURST_MS: i64 = 500;
/// The part of the rate that an owner grants which acts in place of another, in percent: both may grant permits.
const ACTING_PERCENT: u64 = 25;
/// The credit for one request. A rate in thousandths of a request a second earns as much in a millisecond as its number.
const REQUEST: i64 = 1_000_000;
/// The most that requests without a permit can take from the credit in advance.
const MAX_DEBT: i64 = 100 * REQUEST;
/// A longer time without an update earns no more than this one, in milliseconds.
const MAX_ELAPSED_MS: Millis = 3_600_000;
/// The most that the wait for a permit adds to the load of a server, in thousandths of its capacity.
const MAX_WAIT_PRESSURE: u64 = 10_000;

value! {
    /// The rate at which the owner of a server grants permits, and what may be granted now.
    pub struct Pace {
        /// The limit that the server named, in thousandths of a request a second.
        pub limit: u32,
        /// The part of the limit that is granted here, in thousandths of a request a second.
        rate: u64,
        /// What may be granted now, in millionths of a request. Below 0 after requests without a permit.
        credit: i64,
        updated_at: Millis,
    }
}

impl Pace {
    /// Creates the pace for a limit. It has no credit: others may have granted permits just before.
    pub fn new(limit: u32, acting: bool, now: Millis) -> Pace {
        Pace { limit, rate: rate(limit, acting), credit: 0, updated_at: now }
    }

    /// Adds the credit of the time that has passed, at the rate until now.
    pub fn update(&mut self, acting: bool, now: Millis) {
        let elapsed_ms = now.saturating_sub(self.updated_at).min(MAX_ELAPSED_MS);
        self.credit += self.rate as i64 * elapsed_ms as i64;
        self.rate = rate(self.limit, acting);
        self.credit = self.credit.min(self.burst());
        self.updated_at = now;
    }

    /// Changes the limit. The credit earned before stays, up to the burst of the new limit.
    pub fn set_limit(&mut self, limit: u32, acting: bool, now: Millis) {
        self.update(acting, now);
        self.limit = limit;
        self.update(acting, now);
    }

    /// The most credit that can pile up, in millionths of a request.
    fn burst(&self) -> i64 {
        REQUEST + self.rate as i64 * BURST_MS
    }

    /// Whether a request may be granted now.
    pub fn has_credit(&self) -> bool {
        self.credit >= REQUEST
    }

    /// Takes the credit for one request.
    pub fn take(&mut self) {
        self.credit = (self.credit - REQUEST).max(-MAX_DEBT);
    }

    /// Gives the credit back for a permit under which nothing was sent.
    pub fn give_back(&mut self) {
        self.credit = (self.credit + REQUEST).min(self.burst());
    }

    /// The time until so many further requests are granted, in milliseconds.
    pub fn wait_ms(&self, requests: f64) -> f64 {
        let missing = requests * REQUEST as f64 - self.credit as f64;
        (missing / self.rate as f64).max(0.0)
    }
}

fn rate(limit: u32, acting: bool) -> u64 {
    let percent = if acting { ACTING_PERCENT } else { 100 };
    (u64::from(limit) * percent / 100).max(MIN_RATE)
}

impl Controller {
    /// Applies what an answer says of the server's needs. What it does not name is over only if its request was permitted
    /// after the last answer that named something: answers overtake each other.
    pub(crate) fn notice(
        &mut self,
        peer: Id,
        notice: &ServerNotice,
        ctx: &Context<'_>,
        out: &mut Vec<Reply>,
    ) {
        let is_later = self.permitted_at(peer, notice.request) > self.named_at;
        let names = notice.limit.is_some() || notice.brittle.is_some();
        if names || is_later {
            self.named_at = Some(ctx.now);
        }
        match notice.limit {
            Some(limit) => self.set_limit(limit, ctx.now),
            None if is_later => self.pace = None,
            None => {}
        }
        match notice.brittle {
            Some(bears) => self.set_brittle(bears),
            None if is_later => self.brittle = None,
            None => {}
        }
        self.grant_permits(ctx, out);
    }

    /// Takes over what a peer knows of the server's needs, unless answers have shown this instance more.
    pub(crate) fn adopt(&mut self, terms: Terms, now: Millis) {
        if self.named_at.is_some() {
            return;
        }
        if let Some(limit) = terms.limit {
            self.set_limit(limit, now);
        }
        if let Some(bears) = terms.brittle {
            self.set_brittle(bears);
        }
    }

    fn set_limit(&mut self, limit: u32, now: Millis) {
        match &mut self.pace {
            Some(pace) => pace.set_limit(limit, self.acting, now),
            None => self.pace = Some(Pace::new(limit, self.acting, now)),
        }
    }

    fn permitted_at(&self, peer: Id, request: RequestId) -> Option<Millis> {
        let at = self.find_running(peer, request).ok()?;
        self.running[at].granted_at
    }

    /// Advances the rates of permits to the current time.
    pub(crate) fn update_rates(&mut self, now: Millis) {
        if let Some(pace) = &mut self.pace {
            pace.update(self.acting, now);
        }
        if let Some(cold) = &mut self.cold {
            cold.update(now);
        }
    }

    /// Takes the credit for a request that is permitted, or was sent without a permit of its own.
    pub(crate) fn charge_pace(&mut self, now: Millis) {
        if let Some(pace) = &mut self.pace {
            pace.take();
        }
        if let Some(cold) = &mut self.cold {
            cold.record(now);
        }
    }

    /// Sets the limit for the time that the server is cold.
    pub(crate) fn set_cold(&mut self, terms: Option<cold::Terms>, until: Millis, now: Millis) {
        let Some(terms) = terms else {
            self.cold = None;
            return;
        };
        let mut limit = self.cold.take().unwrap_or_else(|| ColdLimit::new(terms, self.created_at));
        limit.set(terms, until);
        limit.update(now);
        self.cold = Some(limit);
    }

    /// Whether a request that asks again has its permit. One that was lost on its way to a cold server is taken back:
    /// repeated later, it would not be counted among the permits of that time.
    pub(crate) fn holds_permit(&mut self, peer: Id, request: RequestId, ctx: &Context<'_>) -> bool {
        let Ok(at) = self.find_running(peer, request) else { return false };
        if self.cold_ms().is_none() {
            return true;
        }
        let active = self.running.remove(at);
        let share = ctx.catalog.share(active.class.organisation);
        self.counters.charge(active.rank, active.class.organisation, share, -active.charged);
        false
    }

    /// How long the server stays cold, if it is known to be, in milliseconds.
    pub(crate) fn cold_ms(&self) -> Option<u32> {
        let left_ms = self.cold.as_ref().map(ColdLimit::left_ms).filter(|ms| *ms > 0)?;
        Some(left_ms.min(cold::MAX_COLD_MS) as u32)
    }

    /// Whether the rates of permits allow another one now.
    pub(crate) fn has_credit(&self) -> bool {
        self.pace.is_none_or(|p| p.has_credit())
            && self.cold.as_ref().is_none_or(|c| c.has_room(self.acting))
    }

    /// The time until so many further requests are granted by the rates of permits, in milliseconds; `None` without a rate.
    pub(crate) fn rate_wait_ms(&self, requests: f64) -> Option<f64> {
        let paced = self.pace.map(|p| p.wait_ms(requests));
        let cold = self.cold.as_ref().filter(|c| c.left_ms() > 0);
        let cold = cold.map(|c| c.wait_ms(requests, self.acting));
        paced.into_iter().chain(cold).reduce(f64::max)
    }

    /// Returns the credit of a permit, unless the request has reached the server.
    pub(crate) fn return_credit(&mut self, reason: WithdrawReason, granted_at: Option<Millis>) {
        if reason != WithdrawReason::Unspecified {
            return;
        }
        if let Some(pace) = &mut self.pace {
            pace.give_back();
        }
        if let (Some(cold), Some(granted_at)) = (&mut self.cold, granted_at) {
            cold.give_back(granted_at);
        }
    }

    /// The load that the wait of a further request for a permit stands for, in thousandths of the capacity: one for a
    /// millisecond.
    pub(crate) fn pace_pressure(&self) -> u32 {
        let ahead = self.waiting.len() as f64 + 1.0;
        let wait_ms = self.rate_wait_ms(ahead).unwrap_or(0.0);
        (wait_ms as u64).min(MAX_WAIT_PRESSURE) as u32
    }
}
