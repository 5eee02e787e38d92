//! Admission control for one backend server, run by the instance that owns the server.
//!
//! The controller queues requests for the server, grants permits while there is room, and tracks
//! the requests that run. See `docs/DESIGN.md`, "Admission across instances".

use agateroute_proto::peers::message::Body;
use agateroute_proto::peers::{
    Ask, Deny, DenyReason, Grant, Hold, Load, Progress, Release, Withdraw,
};

use crate::Table;
use crate::admission;
use crate::brittle::Brittle;
use crate::catalog::{Capacity, Catalog};
use crate::cold::ColdLimit;
use crate::concurrency::CallLimit;
use crate::estimate::{Class, Estimator};
use crate::event::{CacheUpdate, LoadReport, RequestId};
use crate::fairness::Counters;
use crate::foreign_load::Sample;
use crate::id::{Id, Millis};
use crate::kept::Kept;
use crate::limits::Terms;
use crate::losses::Losses;
use crate::pace::Pace;
pub use crate::permits::{Running, Waiting};
use crate::promises::{INTERVAL_WEIGHT, MeanTime, PermitRate, Promises};
use crate::tempo::Speeds;

/// The number of counters above which those of idle organisations are dropped.
const MAX_COUNTERS: usize = 4_096;
/// The steps of `Controller::deviations`: up for each preemption, down for each report without one.
const DEVIATION_STEP_UP: f32 = 0.2;
const DEVIATION_STEP_DOWN: f32 = 0.05;
/// The number of preemptions in one report above which further ones have no effect.
const MAX_PREEMPTIONS: u64 = 3;
/// The lower and upper bound of `Controller::deviations`, as factors of the configured value.
const MIN_DEVIATIONS_FACTOR: f32 = 0.5;
const MAX_DEVIATIONS_FACTOR: f32 = 2.0;
/// How long a peer receives load updates after its last request, in milliseconds.
const SUBSCRIPTION_MS: Millis = 3_000;
/// The smallest load change that is sent to peers, in thousandths of the server's capacity.
const MIN_LOAD_CHANGE: u32 = 20;
/// The weight of unprocessed prompt tokens in the load of an engine: requests behind them wait, and
/// prefill slows down the running generations.
const BACKLOG_WEIGHT: usize = 3;
/// The maximum number of cached prefixes tracked for one engine.
const MAX_CACHED_PREFIXES: usize = 4_096;
/// How long a controller stays closed if the server sends no load reports that could reopen it, in
/// milliseconds.
const REOPEN_AFTER_MS: Millis = 500;

record! {
    /// The admission controller of one backend server.
    pub struct Controller {
        /// The backend server.
        pub server: Id,
        /// The declared capacity of the server.
        pub capacity: Capacity,
        /// The queue, in order of arrival.
        pub waiting: Vec<Waiting>,
        /// Requests that hold a permit, sorted by peer and request.
        pub running: Vec<Running>,
        /// Work done for each organisation and rank, which decides the order of the queue.
        pub counters: Counters,
        /// The last load report and when it was read.
        pub report: Option<(Millis, LoadReport)>,
        /// How many standard deviations of the predicted memory use are kept free.
        pub deviations: f32,
        /// The limit of concurrent calls on a plain server.
        pub limit: CallLimit,
        /// Whether all requests are denied because the server is leaving or unreachable.
        pub closed: bool,
        /// When `close` was last called.
        pub closed_at: Millis,
        /// Whether this instance replaces the preferred owner, which some peers may still use.
        pub acting: bool,
        /// Hashes of the prompt prefixes that the engine reports as cached, sorted.
        pub cached: Vec<u64>,
        /// The parts of prompts that the server has read lately.
        pub kept: Kept,
        /// When a prompt was last read to its end.
        pub read_at: Millis,
        /// When this instance became the owner of the server.
        pub created_at: Millis,
        /// The rate of permits, if the server has named a limit.
        pub pace: Option<Pace>,
        /// The limit while the server is cold, if its service has terms for that.
        pub cold: Option<ColdLimit>,
        /// The requests that the server lost in a row, which close it for a while.
        pub losses: Losses,
        /// What is known of the server if it is brittle.
        pub brittle: Option<Brittle>,
        /// When an answer last named a limit, or showed the end of one.
        pub(crate) named_at: Option<Millis>,
        pub(crate) samples: Vec<Sample>,
        /// The rate of permits for requests that had to wait.
        pub permit_rate: PermitRate,
        /// The time from a permit to the first event.
        pub first_event: MeanTime,
        /// The times at which requests that were denied are expected again.
        pub promises: Promises,
        /// The mean interval between departures from the queue, in milliseconds.
        pub(crate) interval_ms: Option<f64>,
        last_departure: Millis,
        subscribers: Table<Id, Millis>,
        last_load: (Millis, u32),
    }
}

/// State of the instance that a controller reads but does not own.
#[derive(Clone, Copy)]
pub struct Context<'a> {
    /// The active configuration.
    pub catalog: &'a Catalog,
    /// The estimates of output lengths.
    pub estimator: &'a Estimator,
    /// What is known of the speed of servers.
    pub speeds: &'a Speeds,
    /// The current time.
    pub now: Millis,
}

/// A message and the peer that it is sent to.
pub type Reply = (Id, Body);

impl Controller {
    /// Creates a controller without requests. `deviations` is the configured starting value.
    pub fn new(server: Id, capacity: Capacity, deviations: f64, now: Millis) -> Controller {
        let limit = match capacity {
            Capacity::Engine { batch, .. } => CallLimit::fixed(batch),
            Capacity::Slots { slots, adaptive: true } => CallLimit::new(slots),
            Capacity::Slots { slots, adaptive: false } => CallLimit::fixed(slots),
        };
        Controller {
            server,
            capacity,
            waiting: Vec::new(),
            running: Vec::new(),
            counters: Counters::default(),
            report: None,
            deviations: deviations as f32,
            limit,
            closed: false,
            closed_at: now,
            acting: false,
            cached: Vec::new(),
            kept: Kept::default(),
            read_at: 0,
            created_at: now,
            pace: None,
            cold: None,
            losses: Losses::default(),
            brittle: None,
            named_at: None,
            samples: Vec::new(),
            subscribers: Table::default(),
            last_load: (now, 0),
            permit_rate: PermitRate::default(),
            first_event: MeanTime::default(),
            promises: Promises::default(),
            interval_ms: None,
            last_departure: now,
        }
    }

    pub(crate) fn find_running(&self, peer: Id, request: RequestId) -> Result<usize, usize> {
        self.running.binary_search_by_key(&(peer, request), |r| (r.peer, r.request))
    }

    /// Queues a request for a permit. A repeated message has no effect while the request is queued; once
    /// it runs, the grant is sent again.
    pub fn enqueue(&mut self, peer: Id, ask: Ask, ctx: &Context<'_>, out: &mut Vec<Reply>) {
        self.subscribers.insert(peer, ctx.now);
        self.adopt(Terms { limit: ask.limit, brittle: ask.brittle }, ctx.now);
        if self.holds_permit(peer, ask.request, ctx) {
            out.push((peer, self.grant_message(ask.request, ctx)));
            return;
        }
        if self.waiting.iter().any(|w| w.peer == peer && w.ask.request == ask.request) {
            return;
        }
        if self.closed {
            out.push((peer, self.deny_message(&ask, DenyReason::Leaving, 0)));
            return;
        }
        if let Some(denial) = self.predicted_denial(peer, &ask, ctx) {
            out.push((peer, denial));
            return;
        }
        self.raise_counter(&ask);
        self.promises.withdraw(peer, ask.request);
        if self.waiting.is_empty() {
            self.permit_rate.queue_began(ctx.now);
        }
        let waiting = self.queued(peer, ask, ctx);
        self.waiting.push(waiting);
        self.grant_permits(ctx, out);
    }

    fn raise_counter(&mut self, ask: &Ask) {
        let rank = ask.rank as u8;
        let waits =
            self.waiting.iter().filter(|w| w.ask.rank == ask.rank).map(|w| w.ask.organisation);
        let runs = self.running.iter().filter(|r| r.rank == rank).map(|r| r.class.organisation);
        let competing: Vec<Id> = waits.chain(runs).collect();
        if !competing.contains(&ask.organisation) {
            self.counters.raise(rank, ask.organisation, competing.into_iter());
        }
    }

    /// Removes a request from the queue, or returns its permit and refunds the work charged for it.
    pub fn withdraw(
        &mut self,
        peer: Id,
        withdraw: &Withdraw,
        ctx: &Context<'_>,
        out: &mut Vec<Reply>,
    ) {
        let request = withdraw.request;
        self.promises.withdraw(peer, request);
        let waits = |w: &Waiting| (w.peer, w.ask.request) == (peer, request);
        if let Some(at) = self.waiting.iter().position(waits) {
            let waiting = self.waiting.remove(at);
            self.record_departure(waiting.queued_at, ctx.now);
        }
        if let Ok(at) = self.find_running(peer, request) {
            let active = self.running.remove(at);
            let share = ctx.catalog.share(active.class.organisation);
            self.counters.charge(active.rank, active.class.organisation, share, -active.charged);
            self.return_credit(withdraw.reason(), active.granted_at);
            self.record_withdrawal(withdraw.reason(), ctx.now);
        }
        self.grant_permits(ctx, out);
    }

    /// Returns a permit after use. If the generation ended by itself, yields its class and length
    /// for the length estimates.
    pub fn release(
        &mut self,
        peer: Id,
        release: &Release,
        ctx: &Context<'_>,
    ) -> Option<(Class, u32)> {
        let at = self.find_running(peer, release.request).ok()?;
        let running = self.running.len();
        let active = self.running.remove(at);
        let share = ctx.catalog.share(active.class.organisation);
        match self.capacity {
            Capacity::Engine { .. } => {
                let work = f64::from(active.prompt) + f64::from(release.tokens);
                self.counters.charge(
                    active.rank,
                    active.class.organisation,
                    share,
                    work - active.charged,
                );
                release.whole.then_some((active.class, release.tokens))
            }
            Capacity::Slots { .. } => {
                if release.whole {
                    self.limit.record_answer(ctx.now, release.took_ms, running);
                } else if !release.cancelled {
                    self.limit.shrink(ctx.now, release.took_ms);
                }
                None
            }
        }
    }

    /// Updates the number of tokens that a request has generated. The first report means that the
    /// prompt was processed or the copy is complete, which makes room.
    pub fn progress(
        &mut self,
        peer: Id,
        progress: &Progress,
        ctx: &Context<'_>,
        out: &mut Vec<Reply>,
    ) {
        let Ok(at) = self.find_running(peer, progress.request) else { return };
        let active = &mut self.running[at];
        let first = active.tokens == 0 || active.moving;
        active.progress_at = ctx.now;
        if let (0, Some(granted_at)) = (active.began_at, active.granted_at) {
            if !active.moving {
                self.first_event.record(ctx.now - granted_at);
            }
            active.began_at = ctx.now;
            self.read_at = if active.moving { self.read_at } else { ctx.now };
        }
        active.tokens = active.tokens.max(progress.tokens);
        active.moving = false;
        if first {
            self.grant_permits(ctx, out);
        }
    }

    /// Registers a running request that a peer reports after this instance became the owner.
    pub fn hold(&mut self, peer: Id, hold: &Hold) {
        match self.find_running(peer, hold.request) {
            Ok(at) => self.running[at].tokens = self.running[at].tokens.max(hold.tokens),
            Err(at) => self.running.insert(at, Running::reported(peer, hold)),
        }
    }

    /// Drops the queued requests of a peer, and with `running` also its permits.
    pub fn drop_peer(&mut self, peer: Id, running: bool, ctx: &Context<'_>, out: &mut Vec<Reply>) {
        self.waiting.retain(|w| w.peer != peer);
        if running {
            self.running.retain(|r| r.peer != peer);
        }
        self.grant_permits(ctx, out);
    }

    /// Applies changes of the engine's prefix cache. Updates can be late or missing; after a gap,
    /// all older entries are discarded.
    pub fn update_cache(&mut self, update: &CacheUpdate) {
        if update.gap {
            self.cached.clear();
            self.kept.clear();
        }
        for prefix in &update.added {
            if let Err(at) = self.cached.binary_search(prefix)
                && self.cached.len() < MAX_CACHED_PREFIXES
            {
                self.cached.insert(at, *prefix);
            }
        }
        for prefix in &update.removed {
            self.kept.evicted(*prefix);
            if let Ok(at) = self.cached.binary_search(prefix) {
                self.cached.remove(at);
            }
        }
    }

    /// Whether the engine holds a prefix in memory once for all prompts that start with it.
    pub fn is_cached(&self, prefix: u64) -> bool {
        prefix != 0 && self.cached.binary_search(&prefix).is_ok()
    }

    /// Applies a load report of the server.
    pub fn report(&mut self, report: LoadReport, ctx: &Context<'_>, out: &mut Vec<Reply>) {
        self.adjust_deviations(report.preemptions, ctx);
        self.closed = report.leaving;
        self.report = Some((ctx.now, report));
        self.record_sample(ctx.now);
        self.close_or_grant(ctx, out);
    }

    /// Keeps more memory free after preemptions, and less after reports without any.
    fn adjust_deviations(&mut self, preemptions: u64, ctx: &Context<'_>) {
        let Some((_, before)) = &self.report else { return };
        let count = preemptions.saturating_sub(before.preemptions).min(MAX_PREEMPTIONS);
        let change =
            if count > 0 { DEVIATION_STEP_UP * count as f32 } else { -DEVIATION_STEP_DOWN };
        let declared = ctx.catalog.routing().deviations as f32;
        let (min, max) = (declared * MIN_DEVIATIONS_FACTOR, declared * MAX_DEVIATIONS_FACTOR);
        self.deviations = (self.deviations + change).clamp(min, max);
    }

    /// Denies all requests until the next load report, or for `REOPEN_AFTER_MS` if the server sends none.
    pub fn close(&mut self, ctx: &Context<'_>, out: &mut Vec<Reply>) {
        self.closed = true;
        self.closed_at = ctx.now;
        // A server that comes back may have been restarted with an empty cache.
        self.cached.clear();
        self.kept.clear();
        self.close_or_grant(ctx, out);
    }

    pub(crate) fn close_or_grant(&mut self, ctx: &Context<'_>, out: &mut Vec<Reply>) {
        if !self.closed {
            self.grant_permits(ctx, out);
            return;
        }
        for waiting in std::mem::take(&mut self.waiting) {
            out.push((waiting.peer, self.deny_message(&waiting.ask, DenyReason::Leaving, 0)));
        }
    }

    /// Denies all queued requests, since another instance became the owner of the server, its zone is evacuated, or it is
    /// failing. They may ask again after `retry_ms`.
    pub fn deny_waiting(&mut self, reason: DenyReason, retry_ms: u32, out: &mut Vec<Reply>) {
        for waiting in std::mem::take(&mut self.waiting) {
            out.push((waiting.peer, self.deny_message(&waiting.ask, reason, retry_ms)));
        }
    }

    /// Sends the load to peers with recent requests if it has changed, at most once in `load_ms`.
    pub fn send_load(&mut self, load_ms: Millis, now: Millis, out: &mut Vec<Reply>) {
        let (at, last) = self.last_load;
        let pressure = self.pressure();
        if now < at + load_ms || pressure.abs_diff(last) < MIN_LOAD_CHANGE {
            return;
        }
        self.last_load = (now, pressure);
        self.subscribers.retain(|_, requested_at| *requested_at + SUBSCRIPTION_MS > now);
        let load = Load { server: self.server, pressure };
        out.extend(self.subscribers.keys().map(|peer| (*peer, Body::Load(load))));
    }

    /// Runs the periodic work: deadlines, decay of counters, and permits that have become possible.
    pub fn tick(&mut self, ctx: &Context<'_>, out: &mut Vec<Reply>) {
        let now = ctx.now;
        self.deny_overdue(ctx, out);
        self.counters.decay(now);
        let (waiting, running) = (&self.waiting, &self.running);
        self.counters.forget_idle(MAX_COUNTERS, |rank, organisation| {
            waiting
                .iter()
                .any(|w| w.ask.organisation == organisation && w.ask.rank == u32::from(rank))
                || running.iter().any(|r| r.class.organisation == organisation && r.rank == rank)
        });
        self.record_sample(now);
        if self.closed && self.report.is_none() && now >= self.closed_at + REOPEN_AFTER_MS {
            self.closed = false;
        }
        if self.waiting.is_empty() {
            self.interval_ms = None;
        }
        self.grant_permits(ctx, out);
    }

    /// The load of the server, in thousandths of its capacity. Each queued request adds 100.
    pub fn pressure(&self) -> u32 {
        let share = |part: usize, whole: usize| (1000 * part / whole.max(1)) as u32;
        let used = match self.capacity {
            Capacity::Engine { memory, batch } => {
                let filled = share(self.own_load() as usize, memory as usize);
                filled.max(share(self.running.len(), batch as usize))
                    + share(self.prefill_backlog() as usize * BACKLOG_WEIGHT, memory as usize)
            }
            Capacity::Slots { .. } => share(self.running.len(), self.limit.allowed()),
        };
        used + share(self.waiting.len(), 10) + self.pace_pressure()
    }

    /// The prompt tokens of permitted requests that the engine has not processed yet.
    pub fn prefill_backlog(&self) -> u32 {
        self.running.iter().filter(|r| r.tokens == 0 && !r.moving).map(|r| r.prompt).sum()
    }

    fn grant_message(&mut self, request: RequestId, ctx: &Context<'_>) -> Body {
        let pressure = self.pressure();
        // The receiver uses this value until the next load update.
        self.last_load.1 = pressure;
        let limit = self.pace.map(|p| p.limit);
        let brittle = self.brittle.as_ref().map(|b| b.bears);
        let (server, slowness) = (self.server, ctx.speeds.usual(self.server, ctx.now));
        let cold_ms = self.cold_ms();
        Body::Grant(Grant { request, server, pressure, limit, brittle, cold_ms, slowness })
    }

    pub(crate) fn deny_message(&self, ask: &Ask, reason: DenyReason, retry_ms: u32) -> Body {
        Body::Deny(Deny {
            request: ask.request,
            server: self.server,
            reason: reason.into(),
            retry_ms,
            pressure: self.pressure(),
            ..Deny::default()
        })
    }

    /// Grants permits in the order of `admission::select_next` while there is room.
    pub fn grant_permits(&mut self, ctx: &Context<'_>, out: &mut Vec<Reply>) {
        self.update_rates(ctx.now);
        while !self.closed && !self.is_failing(ctx.now) {
            let Some(at) = admission::select_next(self, ctx) else { break };
            if !admission::has_room(self, &self.waiting[at], ctx) {
                break;
            }
            let waiting = self.waiting.remove(at);
            self.grant(waiting, ctx, out);
        }
        self.deny_failing(ctx.now, out);
    }

    fn grant(&mut self, waiting: Waiting, ctx: &Context<'_>, out: &mut Vec<Reply>) {
        let ask = waiting.ask;
        let class = Class { model: ask.target, kind: ask.kind, organisation: ask.organisation };
        let charged = match self.capacity {
            Capacity::Engine { .. } => {
                f64::from(ask.prompt) + admission::expected_tokens(ctx.estimator, class, ask.most)
            }
            Capacity::Slots { .. } => 1.0,
        };
        let rank = ask.rank as u8;
        self.counters.charge(rank, ask.organisation, ctx.catalog.share(ask.organisation), charged);
        let active = Running {
            peer: waiting.peer,
            request: ask.request,
            class,
            rank,
            prompt: ask.prompt,
            tokens: 0,
            max_tokens: ask.most,
            prefix: ask.prefix,
            hint: ask.hint,
            moving: ask.moving,
            charged,
            alone: ask.alone,
            granted_at: Some(ctx.now),
            gap_ms: ask.gap_ms,
            ahead: self.prefill_backlog() + ask.prompt,
            began_at: 0,
            progress_at: 0,
        };
        self.charge_pace(ctx.now);
        self.losses.granted(waiting.peer, ask.request, ctx.now);
        self.kept.record(&ask.parts, ask.prefix, charged as u32);
        if let Err(index) = self.find_running(waiting.peer, ask.request) {
            self.running.insert(index, active);
        }
        self.record_departure(waiting.queued_at, ctx.now);
        let waited = waiting.queued_at < ctx.now || !self.waiting.is_empty();
        self.permit_rate.record(waited, ctx.now);
        out.push((waiting.peer, self.grant_message(ask.request, ctx)));
    }

    /// Updates the rate at which requests leave the queue, whether with a permit from here or
    /// because another server has granted one.
    fn record_departure(&mut self, queued_at: Millis, now: Millis) {
        if queued_at < now {
            let elapsed = now.saturating_sub(self.last_departure.max(queued_at)) as f64;
            let mean = self.interval_ms.unwrap_or(elapsed);
            self.interval_ms = Some(mean + INTERVAL_WEIGHT * (elapsed - mean));
        }
        self.last_departure = now;
    }
}
