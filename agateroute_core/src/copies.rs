//! Which generations of a leaving server are copied to another one, and in which order.
//!
//! A generation that may not run twice ends in time, continues from a copy of its memory, or is cut when its server goes. The
//! owner of the server plans its copies, which use one link one after the other: the greatest expected loss for each
//! millisecond of copying comes first. While one copy runs, the next generation reserves its destination. How long a copy takes
//! and how long servers stay after a notice is learned. See `docs/design/short-notices.md`.

use crate::Table;
use crate::estimate::Curve;
use crate::event::RequestId;
use crate::id::{Id, Millis};

/// How long a copy slot can be held, in milliseconds: the time to copy the largest generation between
/// availability zones.
pub const SLOT_TIMEOUT_MS: Millis = 900;
/// The notice period until it is known, in milliseconds: the shortest one of the deployments.
pub const DEFAULT_NOTICE_MS: Millis = 1_500;
/// The number of servers that have gone before the period that they were given is used.
const MIN_NOTICES: usize = 4;
/// The number of notice periods and copy rates that are kept of each kind.
const MAX_SAMPLES: usize = 32;
/// The quantile of notice periods that is relied on: a copy that is late is lost, and one that is not made may be.
const NOTICE_QUANTILE: f32 = 0.1;
/// The bounds of a notice period that is believed, in milliseconds. A shorter one is a crash or the fault of a link.
const MIN_NOTICE_MS: Millis = 300;
const MAX_NOTICE_MS: Millis = 30_000;
/// The quantile of copy rates that is relied on.
const RATE_QUANTILE: f32 = 0.75;
/// The number of copies of a source from which its own rate is used.
const MIN_RATES: usize = 2;
/// The ratio of the time of a copy into another availability zone to one within a zone, until both are known.
const CROSS_ZONE_FACTOR: f32 = 2.0;
/// The maximum number of sources whose rate is kept.
const MAX_SOURCES: usize = 512;
/// The maximum number of models and services whose notice periods are kept.
const MAX_TARGETS: usize = 1_024;
/// A generation that ends in time with more than this probability is not copied.
pub const CERTAIN_END: f32 = 0.9;
/// What a copy needs beyond the learned time, in milliseconds: the order to the source, the answer, and the last event.
const MARGIN_MS: f32 = 30.0;
/// How long a generation may look for a destination before another one does, in milliseconds.
const SEARCH_TIMEOUT_MS: Millis = 500;
/// A generation whose instance has not asked again for so long no longer waits, in milliseconds.
const ASK_TTL_MS: Millis = 2_000;
/// The time of a token until it is known, in milliseconds.
pub const DEFAULT_TOKEN_MS: f32 = 10.0;
/// The longest output that is considered, in tokens.
const MAX_TOKENS: f32 = 65_536.0;

value! {
    /// What became of a generation on a leaving server, or of a copy of it.
    pub enum Fate {
        /// A copy was started.
        CopyStarted,
        /// It continues at its destination.
        CopyUsed,
        /// A copy that was started has no use: it failed, or the generation ended meanwhile.
        CopyUnused,
        /// The generation ended by itself before its server went.
        EndedInTime,
        /// It was lost with its server, and no copy of it was started, for lack of time or of a destination.
        CutWaiting,
        /// It was lost with its server while it was copied.
        CutCopying,
    }

    /// A message to the instance of a waiting generation.
    pub enum Order {
        /// It has the copy slot.
        Grant(Id, RequestId),
        /// It is the next one and reserves a permit at a destination.
        Prepare(Id, RequestId),
        /// There is no time left for its copy: it returns the permit that it has reserved.
        Return(Id, RequestId),
    }

    /// The generation that has the copy slot.
    pub struct Active {
        /// The instance of its caller.
        pub peer: Id,
        /// Its identifier there.
        pub request: RequestId,
        /// Whether the copy goes into another availability zone.
        pub crosses: bool,
        /// When the copy is expected to be complete.
        expected: Millis,
        /// When the slot is granted to another one.
        until: Millis,
    }
}

record! {
    /// A generation that waits for the copy slot.
    pub struct Waiting {
        /// The instance of its caller.
        pub peer: Id,
        /// Its identifier there.
        pub request: RequestId,
        /// The priority that its instance gave it, by which the order of the previous build goes.
        pub worth: u32,
        /// The tokens in memory and those that it probably produces yet; `None` if its instance does not say.
        pub size: Option<Size>,
        /// When it last asked.
        pub asked_at: Millis,
        /// The server at which it has reserved a permit.
        pub destination: Option<Destination>,
        /// Since when it looks for a destination.
        pub search_since: Option<Millis>,
        /// Whether it returned a permit in another availability zone: the next one is probably no nearer.
        pub was_far: bool,
    }

    /// The queue for the copy slot of one server.
    #[derive(Default)]
    pub struct Queue {
        /// Those that wait, in the order in which they first asked.
        pub waiting: Vec<Waiting>,
        /// The one that has the slot.
        pub active: Option<Active>,
    }

    /// The last samples of a time or a rate.
    #[derive(Default)]
    struct Samples {
        values: Vec<f32>,
        at: Millis,
    }

    /// How long copies take.
    #[derive(Default)]
    pub struct Rates {
        /// The milliseconds for a token, by source and by whether the copy goes into another availability zone.
        sources: Table<(Id, bool), Samples>,
        /// The same of all sources together.
        all: Table<bool, Samples>,
    }

    /// How long servers stay after the notice that they leave.
    #[derive(Default)]
    pub struct Notices {
        targets: Table<Id, Samples>,
    }
}

value! {
    /// The size of a generation, in tokens.
    pub struct Size {
        /// The tokens in memory.
        pub held: u32,
        /// The tokens that it is expected to produce yet.
        pub left: u32,
    }

    /// A server at which a permit is reserved.
    pub struct Destination {
        /// The server.
        pub server: Id,
        /// Whether it is in another availability zone than the source.
        pub crosses: bool,
    }

    /// What is done about a generation on a leaving server.
    pub enum Verdict {
        /// It will probably end there in time.
        Continue,
        /// It is copied when its turn comes.
        Move,
        /// Its copy can not be completed in time.
        Cut,
    }
}

/// What is known of a leaving server.
#[derive(Clone, Copy, Debug)]
pub struct Site<'a> {
    /// The leaving server.
    pub server: Id,
    /// The current time.
    pub now: Millis,
    /// When it was told to leave.
    pub since: Millis,
    /// Its model or service.
    pub target: Id,
    /// The time of a token there, in milliseconds.
    pub token_ms: f32,
    /// How long copies take.
    pub rates: &'a Rates,
    /// How long servers stay after a notice.
    pub notices: &'a Notices,
}

impl Site<'_> {
    /// When the server is expected to go.
    fn gone_at(&self) -> Millis {
        self.since + self.notices.notice_ms(self.target)
    }
}

impl Samples {
    fn add(&mut self, value: f32, now: Millis) {
        if self.values.len() >= MAX_SAMPLES {
            self.values.remove(0);
        }
        self.values.push(value);
        self.at = now;
    }

    fn quantile(&self, quantile: f32) -> Option<f32> {
        let mut sorted = self.values.clone();
        sorted.sort_unstable_by(f32::total_cmp);
        let rank = (sorted.len() as f32 * quantile).ceil() as usize;
        sorted.get(rank.saturating_sub(1)).copied()
    }
}

impl Rates {
    /// Adds a copy that was completed.
    pub fn observe(&mut self, source: Id, crosses: bool, copied_ms: u32, tokens: u32, now: Millis) {
        if tokens == 0 || copied_ms == 0 || Millis::from(copied_ms) > SLOT_TIMEOUT_MS * 4 {
            return;
        }
        let rate = copied_ms as f32 / tokens as f32;
        self.all.entry(crosses, Samples::default).add(rate, now);
        if self.sources.len() >= MAX_SOURCES {
            let oldest = self.sources.values().map(|s| s.at).min().unwrap_or(0);
            self.sources.retain(|_, s| s.at > oldest);
        }
        self.sources.entry((source, crosses), Samples::default).add(rate, now);
    }

    /// The time to copy a token, in milliseconds; `None` before the first copy. What is not known of a source is taken from all of
    /// them, and what is not known of copies between availability zones from those within one.
    pub fn token_ms(&self, source: Id, crosses: bool) -> Option<f32> {
        let own = |crosses: bool| {
            let samples = self.sources.get(&(source, crosses))?;
            (samples.values.len() >= MIN_RATES).then(|| samples.quantile(RATE_QUANTILE))?
        };
        let all = |crosses: bool| self.all.get(&crosses)?.quantile(RATE_QUANTILE);
        let factor = if crosses { CROSS_ZONE_FACTOR } else { 1.0 / CROSS_ZONE_FACTOR };
        own(crosses)
            .or_else(|| Some(own(!crosses)? * factor))
            .or_else(|| all(crosses))
            .or_else(|| Some(all(!crosses)? * factor))
    }
}

impl Notices {
    /// Adds the time from the notice of a server to its end.
    pub fn observe(&mut self, target: Id, notice_ms: Millis, now: Millis) {
        let known = self.targets.contains(&target) || self.targets.len() < MAX_TARGETS;
        if known && (MIN_NOTICE_MS..=MAX_NOTICE_MS).contains(&notice_ms) {
            self.targets.entry(target, Samples::default).add(notice_ms as f32, now);
        }
    }

    /// How long a server of a model or service stays after its notice, in milliseconds.
    pub fn notice_ms(&self, target: Id) -> Millis {
        let samples = self.targets.get(&target).filter(|s| s.values.len() >= MIN_NOTICES);
        let learned = samples.and_then(|s| s.quantile(NOTICE_QUANTILE));
        learned.map_or(DEFAULT_NOTICE_MS, |ms| ms as Millis)
    }

    /// Whether a server that is still there this long after its notice is likely to be there at a later time. Beyond the notice
    /// period a copy on the idle link is worth its place at the destination if it is more likely used than not.
    fn stays(&self, target: Id, elapsed_ms: Millis, until_ms: Millis) -> bool {
        if until_ms <= self.notice_ms(target) {
            return true;
        }
        let samples = self.targets.get(&target).filter(|s| s.values.len() >= MIN_NOTICES);
        let longer_than = |ms: Millis| {
            samples.map_or(0, |s| s.values.iter().filter(|v| **v >= ms as f32).count())
        };
        longer_than(until_ms) > longer_than(elapsed_ms) / 2
    }
}

/// The probability that a generation ends within a time, by the distribution of lengths of its class. `limit` is the caller's
/// limit on the output, in tokens; 0 if there is none.
pub fn chance_of_end(curve: &Curve, generated: u32, limit: u32, ms: f32, token_ms: f32) -> f32 {
    let tokens = ms.max(0.0) / token_ms.max(0.001);
    if limit > 0 && limit.saturating_sub(generated) as f32 <= tokens {
        return 1.0;
    }
    1.0 - curve.survives(generated as f32, tokens)
}

/// The number of tokens that a generation is expected to produce yet.
pub fn expected_left(curve: &Curve, generated: u32, limit: u32) -> u32 {
    let most = match limit {
        0 => MAX_TOKENS,
        limit => limit.saturating_sub(generated) as f32,
    };
    let (mut from, mut left, mut reaches_from) = (0.0, 0.0, 1.0);
    while from < most && reaches_from > 0.01 {
        // Steps grow with the distance, as the buckets of the distribution do.
        let to = (from * 1.25 + 8.0_f32).min(most);
        let reaches_to = curve.survives(generated as f32, to);
        left += (to - from) * (reaches_from + reaches_to) / 2.0;
        (from, reaches_from) = (to, reaches_to);
    }
    left as u32
}

impl Waiting {
    /// The tokens in memory and those that are expected yet, after what was produced since the last report.
    fn size_at(&self, size: Size, site: &Site<'_>) -> (f32, f32) {
        let elapsed_ms = site.now.saturating_sub(self.asked_at) as f32;
        (size.held as f32 + elapsed_ms / site.token_ms, size.left.max(1) as f32)
    }

    /// The expected time of the copy; `None` before the first copy that was completed.
    fn copy_ms(&self, size: Size, site: &Site<'_>) -> Option<f32> {
        let crosses = self.destination.map_or(self.was_far, |d| d.crosses);
        let rate = site.rates.token_ms(site.server, crosses)?;
        Some(self.size_at(size, site).0 * rate + MARGIN_MS)
    }

    /// The probability that it still runs when its server goes. The remaining length has no memory: only its mean is known.
    fn survival(&self, size: Size, site: &Site<'_>) -> f32 {
        let left_ms = site.gone_at().saturating_sub(site.now) as f32;
        (-left_ms / site.token_ms / self.size_at(size, site).1).exp()
    }

    /// What is done about the generation if its copy can start at a time.
    fn verdict(&self, size: Size, start_at: Millis, site: &Site<'_>) -> Verdict {
        if 1.0 - self.survival(size, site) > CERTAIN_END {
            return Verdict::Continue;
        }
        let copy_ms = self.copy_ms(size, site).unwrap_or(MARGIN_MS);
        let done_ms = start_at.max(site.now).saturating_sub(site.since) + copy_ms as Millis;
        let elapsed_ms = site.now.saturating_sub(site.since);
        match site.notices.stays(site.target, elapsed_ms, done_ms) {
            true => Verdict::Move,
            false => Verdict::Cut,
        }
    }

    /// The expected loss for each millisecond of copying; before the first copy, for each token.
    fn urgency(&self, size: Size, site: &Site<'_>) -> f32 {
        let cost = self.copy_ms(size, site).unwrap_or_else(|| self.size_at(size, site).0);
        self.survival(size, site) / cost.max(1.0)
    }
}

impl Queue {
    /// Whether nobody waits or has the slot.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty() && self.active.is_none()
    }

    /// Adds a generation, or updates it if it asks again. Returns the order to repeat if it already has the slot.
    pub fn ask(&mut self, ask: Waiting) -> Option<Order> {
        let key = (ask.peer, ask.request);
        if self.active.is_some_and(|a| (a.peer, a.request) == key) {
            if ask.size.is_none() || ask.destination.is_some() {
                // The grant was lost, or crossed this request on the way.
                return Some(Order::Grant(ask.peer, ask.request));
            }
            // Its destination was lost before the copy started.
            self.active = None;
        }
        match self.waiting.iter_mut().find(|w| (w.peer, w.request) == key) {
            Some(known) if ask.size.is_some() => {
                let search_since = known.search_since.filter(|_| ask.destination.is_none());
                *known = Waiting { search_since, was_far: known.was_far, ..ask };
                search_since.map(|_| Order::Prepare(key.0, key.1))
            }
            Some(_) => None,
            None => {
                self.waiting.push(ask);
                None
            }
        }
    }

    /// Removes a generation that was copied, ended, or gave its place up. Returns whether the copy went into another availability
    /// zone, if it had the slot.
    pub fn remove(&mut self, peer: Id, request: RequestId) -> Option<bool> {
        self.waiting.retain(|w| (w.peer, w.request) != (peer, request));
        let active = self.active.filter(|a| (a.peer, a.request) == (peer, request))?;
        self.active = None;
        Some(active.crosses)
    }

    /// Grants the slot if it is free, and has the next generation look for its destination. If an instance does not say how much
    /// its generations hold, the slot goes by worth, as before.
    pub fn orders(&mut self, site: &Site<'_>) -> Vec<Order> {
        let now = site.now;
        if self.active.is_some_and(|a| now >= a.until) {
            self.active = None;
        }
        let planned = self.waiting.iter().all(|w| w.size.is_some());
        if !planned {
            return self.grant_by_worth(now).into_iter().collect();
        }
        self.waiting.retain(|w| {
            let searching = w.search_since.is_none_or(|since| now < since + SEARCH_TIMEOUT_MS);
            searching && now < w.asked_at + ASK_TTL_MS
        });
        let mut orders = Vec::new();
        self.return_late(site, &mut orders);
        if self.active.is_none()
            && let Some(at) = self.best(site, |w| w.destination.is_some())
        {
            let next = self.waiting.remove(at);
            self.activate(&next, site);
            orders.push(Order::Grant(next.peer, next.request));
        }
        let prepared = |w: &Waiting| w.destination.is_some() || w.search_since.is_some();
        if !self.waiting.iter().any(prepared)
            && let Some(at) = self.best(site, |_| true)
        {
            let next = &mut self.waiting[at];
            next.search_since = Some(now);
            orders.push(Order::Prepare(next.peer, next.request));
        }
        orders
    }

    /// When the next copy can start.
    fn free_at(&self, now: Millis) -> Millis {
        self.active.map_or(now, |a| a.expected.max(now))
    }

    /// The most urgent of the generations for which `test` holds and whose copy can be completed in time.
    fn best(&self, site: &Site<'_>, test: impl Fn(&Waiting) -> bool) -> Option<usize> {
        let start_at = self.free_at(site.now);
        let mut best: Option<(usize, f32)> = None;
        for (at, waiting) in self.waiting.iter().enumerate() {
            let Some(size) = waiting.size.filter(|_| test(waiting)) else { continue };
            if waiting.verdict(size, start_at, site) != Verdict::Move {
                continue;
            }
            let urgency = waiting.urgency(size, site);
            if best.is_none_or(|(_, most)| urgency > most) {
                best = Some((at, urgency));
            }
        }
        best.map(|(at, _)| at)
    }

    /// Has those return their permits whose copies would be too late by now.
    fn return_late(&mut self, site: &Site<'_>, orders: &mut Vec<Order>) {
        let start_at = self.free_at(site.now);
        for waiting in &mut self.waiting {
            let Some(size) = waiting.size.filter(|_| waiting.destination.is_some()) else {
                continue;
            };
            if waiting.verdict(size, start_at, site) != Verdict::Move {
                waiting.was_far = waiting.destination.is_some_and(|d| d.crosses);
                waiting.destination = None;
                orders.push(Order::Return(waiting.peer, waiting.request));
            }
        }
    }

    fn activate(&mut self, next: &Waiting, site: &Site<'_>) {
        let copy_ms = next.size.and_then(|size| next.copy_ms(size, site));
        let expected = site.now + copy_ms.map_or(0, |ms| ms as Millis);
        let until = site.now + copy_ms.map_or(SLOT_TIMEOUT_MS, |ms| ms as Millis * 2);
        self.active = Some(Active {
            peer: next.peer,
            request: next.request,
            crosses: next.destination.is_some_and(|d| d.crosses),
            expected,
            until: until.min(site.now + SLOT_TIMEOUT_MS),
        });
    }

    /// Grants a free slot in the order of the previous build.
    fn grant_by_worth(&mut self, now: Millis) -> Option<Order> {
        if self.active.is_some() {
            return None;
        }
        let best = self.waiting.iter().enumerate().max_by_key(|(_, w)| w.worth);
        let next = self.waiting.remove(best?.0);
        let (peer, request) = (next.peer, next.request);
        let until = now + SLOT_TIMEOUT_MS;
        let crosses = next.destination.is_some_and(|d| d.crosses);
        self.active = Some(Active { peer, request, crosses, expected: until, until });
        Some(Order::Grant(peer, request))
    }
}
