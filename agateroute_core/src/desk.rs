//! The admission desk of one backend server, kept by the server's owner.
//!
//! The desk queues what asks for the server, permits what fits, and keeps the list of what runs.
//! See `docs/DESIGN.md`, "Admission across instances".

use agateroute_proto::peers::message::Body;
use agateroute_proto::peers::{Ask, Deny, DenyReason, Grant, Hold, Load, Progress, Release};

use crate::Table;
use crate::admission;
use crate::catalog::{Capacity, Catalog};
use crate::estimate::{Class, Estimator};
use crate::event::{CacheNews, Report, RequestId};
use crate::fairness::Counters;
use crate::id::{Id, Millis};
use crate::lag::Sample;
use crate::slots::Limit;

/// When a request that waited in vain should be sent again, in milliseconds.
const OVERDUE_RETRY_MS: u32 = 1_000;
/// The most organisations whose counters are kept while idle.
const COUNTERS_MOST: usize = 4_096;
/// The steps in which the deviations kept free follow each preemption, and each report without one.
const DEVIATIONS_UP: f32 = 0.2;
const DEVIATIONS_DOWN: f32 = 0.05;
/// The preemptions of one report that count.
const PREEMPTIONS_MOST: u64 = 3;
/// The bounds of the deviations, as factors on the declared ones.
const DEVIATIONS_LEAST: f32 = 0.5;
const DEVIATIONS_MOST: f32 = 2.0;
/// How long a peer that asked is told of the load, in milliseconds.
const ASKER_MS: Millis = 3_000;
/// The change of the load that is worth telling, in thousandths of what the server can take.
const LOAD_STEP: u32 = 20;
/// How much longer than its time an ask may be predicted to wait before it is denied at once.
const PREDICTION_SLACK: f64 = 1.25;
/// How often a prompt that is not read yet counts in the load of an engine: what comes behind it waits
/// until it is read, and the tokens of others come slower meanwhile.
const UNREAD_FACTOR: usize = 3;
/// The most cached prefixes that are remembered for one engine.
const CACHED_MOST: usize = 4_096;
/// How long a desk that reads no load reports stays closed after a sign that its server is gone, in
/// milliseconds.
const CLOSED_MS: Millis = 500;
/// The weight of the newest interval in the mean interval between departures from the queue.
const INTERVAL_WEIGHT: f64 = 0.1;

record! {
    /// A request that waits for a permit.
    pub struct Waiting {
        /// The entry instance that asked.
        pub peer: Id,
        /// What it asked.
        pub ask: Ask,
        /// When its target can no longer be met, on the clock of the desk.
        pub deadline: Millis,
        /// When the target of its route is missed, on the clock of the desk.
        pub target: Millis,
        /// When it was queued.
        pub since: Millis,
    }

    /// A request that runs under a permit.
    pub struct Held {
        /// The entry instance.
        pub peer: Id,
        /// The request.
        pub request: RequestId,
        /// The class that its length is estimated by.
        pub class: Class,
        /// The rank.
        pub rank: u8,
        /// The prompt, in tokens.
        pub prompt: u32,
        /// The tokens generated, as far as reported.
        pub tokens: u32,
        /// The most tokens that the caller wants, 0 where it did not say.
        pub most: u32,
        /// The hash of the start of its prompt, 0 where it is not known.
        pub prefix: u64,
        /// The caller's guess at the length of the output, 0 where there is none.
        pub hint: u32,
        /// Whether its memory is still being copied here.
        pub moving: bool,
        /// What was charged for it so far.
        pub charged: f64,
        /// Whether it has to run alone.
        pub alone: bool,
    }

    /// The desk of one backend server.
    pub struct Desk {
        /// The backend server.
        pub server: Id,
        /// What the server can take.
        pub capacity: Capacity,
        /// Requests that wait.
        pub waiting: Vec<Waiting>,
        /// Requests that run, sorted by peer and request.
        pub running: Vec<Held>,
        /// Who goes next.
        pub counters: Counters,
        /// The last load report and when it was read.
        pub report: Option<(Millis, Report)>,
        /// The standard deviations of memory kept free.
        pub deviations: f32,
        /// The adaptive limit of a plain server.
        pub limit: Limit,
        /// Whether the server takes no new work.
        pub closed: bool,
        /// When the desk was closed.
        pub closed_at: Millis,
        /// Whether the owner stands in for one that others may still use.
        pub acting: bool,
        /// The prefixes that the engine says it has cached, sorted.
        pub cached: Vec<u64>,
        /// When the desk was set up.
        pub since: Millis,
        pub(crate) samples: Vec<Sample>,
        interval: Option<f64>,
        departed: Millis,
        askers: Table<Id, Millis>,
        told: (Millis, u32),
    }
}

/// What a desk needs to know beside its own state.
#[derive(Clone, Copy)]
pub struct Surroundings<'a> {
    /// The document in force.
    pub catalog: &'a Catalog,
    /// The estimates of lengths.
    pub estimator: &'a Estimator,
    /// The time.
    pub now: Millis,
}

/// A message for a peer.
pub type Reply = (Id, Body);

impl Desk {
    /// An empty desk.
    pub fn new(server: Id, capacity: Capacity, deviations: f64, now: Millis) -> Desk {
        let limit = match capacity {
            Capacity::Engine { batch, .. } => Limit::fixed(batch),
            Capacity::Slots { slots, adaptive: true } => Limit::new(slots),
            Capacity::Slots { slots, adaptive: false } => Limit::fixed(slots),
        };
        Desk {
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
            since: now,
            samples: Vec::new(),
            askers: Table::default(),
            told: (now, 0),
            interval: None,
            departed: now,
        }
    }

    fn held_at(&self, peer: Id, request: RequestId) -> Result<usize, usize> {
        self.running.binary_search_by_key(&(peer, request), |h| (h.peer, h.request))
    }

    /// Queues an ask. Asking again for the same request changes nothing.
    pub fn ask(&mut self, peer: Id, ask: Ask, around: &Surroundings<'_>, out: &mut Vec<Reply>) {
        self.askers.insert(peer, around.now);
        if let Ok(at) = self.held_at(peer, ask.request) {
            let request = self.running[at].request;
            out.push((peer, self.grant_message(request)));
            return;
        }
        if self.waiting.iter().any(|w| w.peer == peer && w.ask.request == ask.request) {
            return;
        }
        if self.closed {
            out.push((peer, self.deny(&ask, DenyReason::Leaving, 0)));
            return;
        }
        if let Some((reason, retry_ms)) = self.hopeless(&ask, around) {
            out.push((peer, self.deny(&ask, reason, retry_ms)));
            return;
        }
        self.lift(&ask);
        let deadline = around.now + self.patience(&ask);
        let target = around.now + u64::from(ask.target_left_ms);
        self.waiting.push(Waiting { peer, ask, deadline, target, since: around.now });
        self.pump(around, out);
    }

    fn lift(&mut self, ask: &Ask) {
        let rank = ask.rank as u8;
        let waits =
            self.waiting.iter().filter(|w| w.ask.rank == ask.rank).map(|w| w.ask.organisation);
        let runs = self.running.iter().filter(|h| h.rank == rank).map(|h| h.class.organisation);
        let active: Vec<Id> = waits.chain(runs).collect();
        if !active.contains(&ask.organisation) {
            self.counters.lift(rank, ask.organisation, active.into_iter());
        }
    }

    /// Whether the target of an ask can not be met, judged by the pace of the queue and by how many
    /// go first. Returns the reason and when asking again makes sense.
    fn hopeless(&self, ask: &Ask, around: &Surroundings<'_>) -> Option<(DenyReason, u32)> {
        let interval = self.interval?;
        let ahead = admission::ahead(self, ask, around);
        let predicted = interval * ahead;
        let wait = self.patience(ask) as f64;
        if predicted <= wait * PREDICTION_SLACK {
            return None;
        }
        let retry_ms = (predicted - wait).clamp(1_000.0, 60_000.0) as u32;
        Some((self.deny_reason(ask, around), retry_ms))
    }

    /// How long an ask may wait so that its answer still comes in time. For plain calls the target is the
    /// whole answer, so the time that an answer usually takes has to be left.
    fn patience(&self, ask: &Ask) -> Millis {
        match self.capacity {
            Capacity::Engine { .. } => u64::from(ask.wait_ms),
            Capacity::Slots { .. } => {
                u64::from(ask.wait_ms).saturating_sub(self.limit.typical_ms())
            }
        }
    }

    fn deny_reason(&self, ask: &Ask, around: &Surroundings<'_>) -> DenyReason {
        if admission::over_share(self, ask, around) {
            DenyReason::OverShare
        } else {
            DenyReason::NoRoom
        }
    }

    /// Takes back an ask or an unused permit.
    pub fn withdraw(
        &mut self,
        peer: Id,
        request: RequestId,
        around: &Surroundings<'_>,
        out: &mut Vec<Reply>,
    ) {
        let waits = |w: &Waiting| (w.peer, w.ask.request) == (peer, request);
        if let Some(at) = self.waiting.iter().position(waits) {
            let waiting = self.waiting.remove(at);
            self.pace(waiting.since, around.now);
        }
        if let Ok(at) = self.held_at(peer, request) {
            let held = self.running.remove(at);
            let share = around.catalog.share(held.class.organisation);
            self.counters.charge(held.rank, held.class.organisation, share, -held.charged);
        }
        self.pump(around, out);
    }

    /// Returns a permit after use. Returns the class and length to learn from, where there is one.
    pub fn release(
        &mut self,
        peer: Id,
        release: &Release,
        around: &Surroundings<'_>,
    ) -> Option<(Class, u32)> {
        let at = self.held_at(peer, release.request).ok()?;
        let running = self.running.len();
        let held = self.running.remove(at);
        let share = around.catalog.share(held.class.organisation);
        match self.capacity {
            Capacity::Engine { .. } => {
                let work = f64::from(held.prompt) + f64::from(release.tokens);
                self.counters.charge(
                    held.rank,
                    held.class.organisation,
                    share,
                    work - held.charged,
                );
                release.whole.then_some((held.class, release.tokens))
            }
            Capacity::Slots { .. } => {
                if release.whole {
                    self.limit.learn(around.now, release.took_ms, running);
                } else {
                    self.limit.shrink(around.now, release.took_ms);
                }
                None
            }
        }
    }

    /// Notes the tokens that a running request has generated. The first ones tell that its prompt was read
    /// or its copy made, which makes room.
    pub fn progress(
        &mut self,
        peer: Id,
        progress: &Progress,
        around: &Surroundings<'_>,
        out: &mut Vec<Reply>,
    ) {
        let Ok(at) = self.held_at(peer, progress.request) else { return };
        let held = &mut self.running[at];
        let first = held.tokens == 0 || held.moving;
        held.tokens = held.tokens.max(progress.tokens);
        held.moving = false;
        if first {
            self.pump(around, out);
        }
    }

    /// Takes over a running request that an entry reports to a new owner.
    pub fn hold(&mut self, peer: Id, hold: &Hold) {
        match self.held_at(peer, hold.request) {
            Ok(at) => self.running[at].tokens = self.running[at].tokens.max(hold.tokens),
            Err(at) => {
                let held = Held {
                    peer,
                    request: hold.request,
                    class: Class {
                        model: hold.target,
                        kind: hold.kind,
                        organisation: hold.organisation,
                    },
                    rank: hold.rank as u8,
                    prompt: hold.prompt,
                    tokens: hold.tokens,
                    most: 0,
                    prefix: 0,
                    hint: 0,
                    moving: false,
                    charged: f64::from(hold.prompt),
                    alone: false,
                };
                self.running.insert(at, held);
            }
        }
    }

    /// Forgets what a peer asked, and with `running` also what it runs.
    pub fn drop_peer(
        &mut self,
        peer: Id,
        running: bool,
        around: &Surroundings<'_>,
        out: &mut Vec<Reply>,
    ) {
        self.waiting.retain(|w| w.peer != peer);
        if running {
            self.running.retain(|h| h.peer != peer);
        }
        self.pump(around, out);
    }

    /// Takes over what the engine tells of its prefix cache. It tells late and with gaps; after a gap
    /// only what is told anew counts.
    pub fn cache_news(&mut self, news: &CacheNews) {
        if news.gap {
            self.cached.clear();
        }
        for prefix in &news.added {
            if let Err(at) = self.cached.binary_search(prefix)
                && self.cached.len() < CACHED_MOST
            {
                self.cached.insert(at, *prefix);
            }
        }
        for prefix in &news.removed {
            if let Ok(at) = self.cached.binary_search(prefix) {
                self.cached.remove(at);
            }
        }
    }

    /// Whether the engine holds a prefix once for several prompts.
    pub fn shares(&self, prefix: u64) -> bool {
        prefix != 0 && self.cached.binary_search(&prefix).is_ok()
    }

    /// Takes over a load report.
    pub fn report(&mut self, report: Report, around: &Surroundings<'_>, out: &mut Vec<Reply>) {
        self.steer(report.preemptions, around);
        self.closed = report.leaving;
        self.report = Some((around.now, report));
        self.sample(around.now);
        self.close_or_pump(around, out);
    }

    /// Keeps more memory free after preemptions, and less while there are none.
    fn steer(&mut self, preemptions: u64, around: &Surroundings<'_>) {
        let Some((_, before)) = &self.report else { return };
        let fresh = preemptions.saturating_sub(before.preemptions).min(PREEMPTIONS_MOST);
        let change = if fresh > 0 { DEVIATIONS_UP * fresh as f32 } else { -DEVIATIONS_DOWN };
        let middle = around.catalog.routing().deviations as f32;
        let (least, most) = (middle * DEVIATIONS_LEAST, middle * DEVIATIONS_MOST);
        self.deviations = (self.deviations + change).clamp(least, most);
    }

    /// Stops giving permits until the server reports again.
    pub fn close(&mut self, around: &Surroundings<'_>, out: &mut Vec<Reply>) {
        self.closed = true;
        self.closed_at = around.now;
        // A server that comes back may have lost its cache.
        self.cached.clear();
        self.close_or_pump(around, out);
    }

    fn close_or_pump(&mut self, around: &Surroundings<'_>, out: &mut Vec<Reply>) {
        if !self.closed {
            self.pump(around, out);
            return;
        }
        for waiting in std::mem::take(&mut self.waiting) {
            out.push((waiting.peer, self.deny(&waiting.ask, DenyReason::Leaving, 0)));
        }
    }

    /// Denies everything that waits, since another instance owns the server now.
    pub fn hand_over(&mut self, out: &mut Vec<Reply>) {
        for waiting in std::mem::take(&mut self.waiting) {
            out.push((waiting.peer, self.deny(&waiting.ask, DenyReason::UnknownServer, 0)));
        }
    }

    /// Tells the load to the peers that asked lately, if it has changed.
    pub fn tell_load(&mut self, load_ms: Millis, now: Millis, out: &mut Vec<Reply>) {
        let (at, last) = self.told;
        let pressure = self.pressure();
        if now < at + load_ms || pressure.abs_diff(last) < LOAD_STEP {
            return;
        }
        self.told = (now, pressure);
        self.askers.retain(|_, asked| *asked + ASKER_MS > now);
        let load = Load { server: self.server, pressure };
        out.extend(self.askers.keys().map(|peer| (*peer, Body::Load(load))));
    }

    /// Drops what is overdue and gives permits that time has made room for.
    pub fn tick(&mut self, around: &Surroundings<'_>, out: &mut Vec<Reply>) {
        let now = around.now;
        self.deny_overdue(around, out);
        self.counters.fade(now);
        let (waiting, running) = (&self.waiting, &self.running);
        self.counters.forget(COUNTERS_MOST, |rank, organisation| {
            waiting
                .iter()
                .any(|w| w.ask.organisation == organisation && w.ask.rank == u32::from(rank))
                || running.iter().any(|h| h.class.organisation == organisation && h.rank == rank)
        });
        self.sample(now);
        if self.closed && self.report.is_none() && now >= self.closed_at + CLOSED_MS {
            self.closed = false;
        }
        if self.waiting.is_empty() {
            self.interval = None;
        }
        self.pump(around, out);
    }

    /// Denies at once what can no longer meet its target.
    fn deny_overdue(&mut self, around: &Surroundings<'_>, out: &mut Vec<Reply>) {
        let waiting = std::mem::take(&mut self.waiting);
        let (late, kept) = waiting.into_iter().partition(|w: &Waiting| w.deadline <= around.now);
        self.waiting = kept;
        for waiting in late {
            let reason = self.deny_reason(&waiting.ask, around);
            out.push((waiting.peer, self.deny(&waiting.ask, reason, OVERDUE_RETRY_MS)));
        }
    }

    /// The load of the server, in thousandths of what it can take.
    pub fn pressure(&self) -> u32 {
        let share = |part: usize, whole: usize| (1000 * part / whole.max(1)) as u32;
        let used = match self.capacity {
            Capacity::Engine { memory, batch } => {
                let filled = share(self.account() as usize, memory as usize);
                filled.max(share(self.running.len(), batch as usize))
                    + share(self.unread() as usize * UNREAD_FACTOR, memory as usize)
            }
            Capacity::Slots { .. } => share(self.running.len(), self.limit.allowed()),
        };
        used + share(self.waiting.len(), 10)
    }

    /// The prompts that were permitted and are not read yet, in tokens.
    pub fn unread(&self) -> u32 {
        self.running.iter().filter(|h| h.tokens == 0 && !h.moving).map(|h| h.prompt).sum()
    }

    fn grant_message(&mut self, request: RequestId) -> Body {
        let pressure = self.pressure();
        // Whoever gets this believes it until it is told otherwise.
        self.told.1 = pressure;
        Body::Grant(Grant { request, server: self.server, pressure })
    }

    fn deny(&self, ask: &Ask, reason: DenyReason, retry_ms: u32) -> Body {
        Body::Deny(Deny {
            request: ask.request,
            server: self.server,
            reason: reason.into(),
            retry_ms,
            pressure: self.pressure(),
        })
    }

    /// Gives permits, in the order that fairness says, while there is room.
    pub fn pump(&mut self, around: &Surroundings<'_>, out: &mut Vec<Reply>) {
        while !self.closed {
            let Some(at) = admission::next(self, around) else { break };
            if !admission::room(self, &self.waiting[at], around) {
                break;
            }
            let waiting = self.waiting.remove(at);
            self.permit(waiting, around, out);
        }
    }

    fn permit(&mut self, waiting: Waiting, around: &Surroundings<'_>, out: &mut Vec<Reply>) {
        let ask = waiting.ask;
        let class = Class { model: ask.target, kind: ask.kind, organisation: ask.organisation };
        let charged = match self.capacity {
            Capacity::Engine { .. } => {
                f64::from(ask.prompt) + admission::expected(around.estimator, class, ask.most)
            }
            Capacity::Slots { .. } => 1.0,
        };
        let rank = ask.rank as u8;
        self.counters.charge(
            rank,
            ask.organisation,
            around.catalog.share(ask.organisation),
            charged,
        );
        let held = Held {
            peer: waiting.peer,
            request: ask.request,
            class,
            rank,
            prompt: ask.prompt,
            tokens: 0,
            most: ask.most,
            prefix: ask.prefix,
            hint: ask.hint,
            moving: ask.moving,
            charged,
            alone: ask.alone,
        };
        if let Err(slot) = self.held_at(waiting.peer, ask.request) {
            self.running.insert(slot, held);
        }
        self.pace(waiting.since, around.now);
        out.push((waiting.peer, self.grant_message(ask.request)));
    }

    /// Learns the pace at which waiting requests leave the queue: with a permit from here, or with one
    /// from another server that they asked for too.
    fn pace(&mut self, since: Millis, now: Millis) {
        if since < now {
            let passed = now.saturating_sub(self.departed.max(since)) as f64;
            let mean = self.interval.unwrap_or(passed);
            self.interval = Some(mean + INTERVAL_WEIGHT * (passed - mean));
        }
        self.departed = now;
    }
}
