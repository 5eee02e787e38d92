//! The choice of a backend server for a request.

use agateroute_proto::peers::message::Body;
use agateroute_proto::peers::{Offer, Progress, PromptPart, Quote, Release};

use crate::admission;
use crate::catalog::{Capacity, Catalog};
use crate::cost;
use crate::entry::Pending;
use crate::event::{RequestId, RequestSpec};
use crate::id::{Id, Millis};
use crate::notice::Named;
use crate::quotes::{Answer, Candidate, MAX_CANDIDATES, Placed, QUOTE_MS, Quoted};
use crate::rendezvous;
use crate::state::State;

/// The number of servers sampled at random, of which the least loaded is chosen.
const SAMPLE_SIZE: usize = 12;
/// The extra cost of a migration into another availability zone, in thousandths of a server's
/// capacity: a copy between zones takes twice as long.
const CROSS_ZONE_COST: u32 = 600;
/// The extra cost of a new request on a server whose version has lost all its other servers, in thousandths of a
/// server's capacity; in proportion for one that has lost a part of them.
const SHRINKING_COST: u32 = 600;
/// The extra cost of a cold server, in thousandths of its capacity: as if it was full already.
const COLD_COST: u32 = 1_000;
/// How far above the mean load the server with the cached prefix is still preferred, in thousandths.
const MAX_PREFIX_EXCESS: u32 = 250;

/// The number of candidates for quotes that are chosen by their speed; the others are chosen by their load.
const FAST_CANDIDATES: usize = 3;
/// The number of servers of which one candidate is chosen.
const TOURNAMENT_SIZE: usize = 4;
/// The load that a request adds in the comparison of candidates, in thousandths of a server's capacity.
const OWN_LOAD: u32 = 100;
/// A prompt that was read to its end this long after a stream began was read beside it, in milliseconds.
const BESIDE_MS: Millis = 100;
/// The number of events from which the longest pause of a stream tells the time of a step.
const MIN_EVENTS: u32 = 8;
/// The greatest figure of a server that is used, in percent.
const MAX_FIGURE: u32 = 10_000;

/// The version of servers that do not say it. No stream that one of them began goes on at another server.
pub const UNKNOWN_VERSION: Id = 0;

impl State {
    /// Whether a server may serve a request that only this software version may serve; `None` if any may.
    pub(crate) fn may_serve(&self, server: Id, version: Option<Id>) -> bool {
        let Some(version) = version else { return true };
        version != UNKNOWN_VERSION && self.version_of(server) == version
    }

    /// The identifier of the software version of a server.
    pub(crate) fn version_of(&self, server: Id) -> Id {
        self.catalog.servers.get(&server).map_or(UNKNOWN_VERSION, |s| s.version)
    }

    /// Chooses a server: the one that computed the prefix recently, unless its load is far above the
    /// mean, otherwise the least loaded of a random sample. Sampling keeps the instances from all
    /// choosing the server that was idle in the last load report.
    pub(crate) fn choose_server(
        &mut self,
        spec: &RequestSpec,
        excluded: &[Id],
        alone: bool,
        move_from: Option<Id>,
    ) -> Option<Id> {
        let usable = self.usable_servers(spec, excluded);
        if usable.is_empty() {
            return None;
        }
        if alone {
            return rendezvous::owner(spec.target, usable.into_iter());
        }
        let mut loads: Vec<u32> = usable.iter().map(|s| self.cost_at(*s, spec)).collect();
        self.weigh_calls(&usable, &mut loads);
        let mean = loads.iter().sum::<u32>() / usable.len() as u32;
        let cached = self.prefixes.find(spec.prefix, self.now);
        if let Some(at) = usable.iter().position(|s| Some(*s) == cached)
            && loads[at] <= mean + MAX_PREFIX_EXCESS
        {
            return cached;
        }
        let sampled: Vec<usize> = (0..SAMPLE_SIZE).map(|_| self.pick_index(usable.len())).collect();
        let zone = move_from.and_then(|from| self.zones.get(&from).copied());
        let remote = |s: Id| zone.is_some() && self.zones.get(&s).copied() != zone;
        let cost = |at: &usize| loads[*at] + if remote(usable[*at]) { CROSS_ZONE_COST } else { 0 };
        sampled.into_iter().min_by_key(cost).map(|at| usable[at])
    }

    /// Returns how much one request adds to the load of a server, in thousandths of its capacity.
    pub(crate) fn pressure_step(&self, server: Id) -> u32 {
        match self.catalog.servers.get(&server).map(|s| s.capacity) {
            Some(Capacity::Engine { batch, .. }) => 1000 / batch.max(1),
            Some(Capacity::Slots { slots, .. }) => 1000 / slots.max(1),
            None => 0,
        }
    }

    /// The cost of a request at a server, in thousandths of its capacity. Any version may serve a new request, so one that
    /// loses its servers keeps its places for the streams that it began.
    fn cost_at(&self, server: Id, spec: &RequestSpec) -> u32 {
        let cold = if self.cold_ms(server).is_some() { COLD_COST } else { 0 };
        let load = self.health.cost(server, self.now) + cold;
        match spec.version {
            Some(_) => load,
            None => {
                let shrinkage = self.versions.shrinkage(spec.target, self.version_of(server));
                load + shrinkage * SHRINKING_COST / 1_000
            }
        }
    }

    /// Weighs the loads of plain servers with the time that a call takes there, if that is known of any of them. Engines are
    /// compared by quotes.
    fn weigh_calls(&self, servers: &[Id], loads: &mut [u32]) {
        let slots = |s: &Id| match self.catalog.servers.get(s).map(|i| i.capacity) {
            Some(Capacity::Slots { slots, .. }) => Some(slots),
            _ => None,
        };
        let usual = |s: &Id| slots(s).and_then(|_| self.speeds.usual(*s, self.now));
        if self.speeds.is_empty() || !servers.iter().any(|s| usual(s).is_some()) {
            return;
        }
        for (server, load) in servers.iter().zip(loads) {
            let own = slots(server).map_or(0, |slots| 1_000 / slots.max(1));
            *load = (*load + own) * usual(server).unwrap_or(100) / 100;
        }
    }

    /// The servers that may take a request now.
    pub(crate) fn usable_servers(&self, spec: &RequestSpec, excluded: &[Id]) -> Vec<Id> {
        let Some(capable) = self.catalog.targets.get(&spec.target) else { return Vec::new() };
        capable
            .iter()
            .copied()
            .filter(|s| !excluded.contains(s) && self.is_usable(*s) && !self.fails(*s))
            .filter(|s| self.may_serve(*s, spec.version))
            .collect()
    }

    /// Looks for a server for a pending request: by quotes if the speed of servers matters to it, else at once.
    pub(crate) fn start_placing(&mut self, request: RequestId) {
        if !self.request_quotes(request) {
            self.try_next_server(request);
        }
    }

    /// Whether the speed of servers matters to a pending request and is known of some of them.
    pub(crate) fn minds_speed(&self, request: RequestId) -> bool {
        let Some(pending) = self.entry.pending.get(&request) else { return false };
        pending.spec.gap_ms > 0 && self.context().knows_speed(pending.spec.target)
    }

    /// Whether capacity is planned ahead for a target: the configuration says so, or the speed of one of its servers is known.
    pub fn plans_capacity(&self, target: Id) -> bool {
        self.context().plans_capacity(target)
    }

    /// Asks the owners of some servers what a request would cost there. Returns whether any was asked.
    fn request_quotes(&mut self, request: RequestId) -> bool {
        if !self.minds_speed(request) {
            return false;
        }
        let Some(pending) = self.entry.pending.get(&request).filter(|p| !p.alone) else {
            return false;
        };
        let (spec, tried) = (pending.spec.clone(), pending.tried.clone());
        let moving = pending.move_source.is_some();
        let chosen = self.choose_candidates(&spec, &tried);
        if chosen.len() < 2 || !self.quote_rate.take(chosen.len(), self.now) {
            return false;
        }
        let mut candidates = Vec::new();
        for server in chosen {
            let (owner, tie) = (self.owner_of(server), self.pick_index(usize::MAX / 2) as u32);
            candidates.push(Candidate { server, owner, offer: None, tie });
        }
        let asked: Vec<(Id, Id)> = candidates.iter().map(|c| (c.server, c.owner)).collect();
        let (due, decided_at) = (Some(self.now + QUOTE_MS), self.now);
        if let Some(pending) = self.entry.pending.get_mut(&request) {
            pending.quoted = Some(Quoted { candidates, due, decided_at });
        }
        for (server, owner) in asked {
            let quote = Quote {
                request,
                server,
                organisation: spec.organisation,
                target: spec.target,
                kind: spec.kind,
                rank: if spec.version.is_some() { 0 } else { u32::from(spec.rank) },
                prompt: spec.prompt,
                most: spec.max_tokens,
                hint: spec.hint,
                gap_ms: spec.gap_ms,
                target_left_ms: spec.target_deadline.saturating_sub(self.now) as u32,
                parts: parts(&spec),
                moving,
            };
            self.send(owner, Body::Quote(quote));
        }
        true
    }

    /// Chooses the servers to ask for their cost: the one that has computed the prefix, then some that are fast, and some
    /// with little load, each the best of a few drawn at random. Servers of unknown speed count as the fastest, so that it
    /// becomes known.
    fn choose_candidates(&mut self, spec: &RequestSpec, excluded: &[Id]) -> Vec<Id> {
        let mut open = self.usable_servers(spec, excluded);
        let mut chosen = Vec::new();
        let cached = self.prefixes.find(spec.prefix, self.now);
        if let Some(at) = open.iter().position(|s| Some(*s) == cached) {
            chosen.push(open.swap_remove(at));
        }
        while chosen.len() < MAX_CANDIDATES && !open.is_empty() {
            let by_speed = chosen.len() < FAST_CANDIDATES;
            let drawn: Vec<usize> =
                (0..TOURNAMENT_SIZE).map(|_| self.pick_index(open.len())).collect();
            let key = |at: &usize| {
                let usual = self.speeds.usual(open[*at], self.now).unwrap_or(0);
                let load = self.cost_at(open[*at], spec) + OWN_LOAD;
                if by_speed { (usual, load) } else { (load * usual.max(1), 0) }
            };
            let Some(best) = drawn.into_iter().min_by_key(key) else { break };
            chosen.push(open.swap_remove(best));
        }
        chosen
    }

    /// Answers what a request would cost at a server that this instance owns.
    pub(crate) fn receive_quote(&mut self, peer: Id, quote: Quote) {
        let (request, server) = (quote.request, quote.server);
        let mut offer = Offer { request, server, ..Offer::default() };
        if !self.departures.contains(server) && !self.owns_failing(server) {
            self.with_controller(server, |c, ctx, _| offer = admission::offer(c, quote, ctx));
        }
        self.send(peer, Body::Offer(offer));
    }

    /// Records the answer of an owner, and asks for the permit once all have answered.
    pub(crate) fn offered(&mut self, peer: Id, offer: &Offer) {
        self.usual_told(peer, offer.server, offer.slowness);
        if offer.cost_ms.is_some() {
            self.health.set_pressure(offer.server, offer.pressure);
        }
        let Some(pending) = self.entry.pending.get(&offer.request) else { return };
        let extra_ms = self.extra_cost_ms(pending, offer.server);
        let cost_ms = offer.cost_ms.map(|c| c.saturating_add(extra_ms));
        let answer = Answer { cost_ms, saved_ms: offer.saved_ms };
        let Some(pending) = self.entry.pending.get_mut(&offer.request) else { return };
        let Some(quoted) = &mut pending.quoted else { return };
        if quoted.answer(offer.server, peer, answer) {
            self.decide(offer.request);
        }
    }

    /// What the owner of a server does not count, in milliseconds: faults that this instance saw, a version that loses its
    /// servers, and a move into another zone.
    fn extra_cost_ms(&self, pending: &Pending, server: Id) -> u32 {
        let seen = self.cost_at(server, &pending.spec).saturating_sub(self.health.pressure(server));
        let zone = |s: Id| self.zones.get(&s).copied();
        let from = pending.move_source.and_then(|(_, from)| zone(from));
        let crosses = from.is_some() && zone(server) != from;
        seen + if crosses { cost::CROSS_ZONE_MS } else { 0 }
    }

    /// Asks for the permit where a request costs least by the offers so far.
    fn decide(&mut self, request: RequestId) {
        let now = self.now;
        if let Some(pending) = self.entry.pending.get_mut(&request)
            && let Some(quoted) = &mut pending.quoted
        {
            (quoted.due, quoted.decided_at) = (None, now);
            pending.widen_at = now + pending.widen_ms;
            self.try_next_server(request);
            self.delay_widening(request);
        }
    }

    /// Decides requests whose offers are overdue.
    pub(crate) fn tick_quotes(&mut self) {
        let now = self.now;
        let is_due = |p: &Pending| p.quoted.as_ref().and_then(|q| q.due).is_some_and(|d| d <= now);
        for request in self.pending_where(is_due) {
            self.decide(request);
        }
    }

    /// Asks the next server later if a request costs so much more there that the wait is better, but not if the owners that
    /// were asked are silent.
    pub(crate) fn delay_widening(&mut self, request: RequestId) {
        let silence_ms = self.catalog.routing().peer_ms;
        let Some(pending) = self.entry.pending.get(&request) else { return };
        let Some(quoted) = &pending.quoted else { return };
        let heard = |o: Id| self.membership.reachable(o, self.now, silence_ms);
        if !pending.requested.iter().any(|(_, owner)| heard(*owner)) {
            return;
        }
        let costs = quoted.by_cost();
        let asked = |server: Id| pending.requested.iter().any(|r| r.0 == server);
        let first = costs.iter().find(|(s, _)| asked(*s));
        let next = costs.iter().find(|(s, _)| !asked(*s) && !pending.tried.contains(s));
        let (Some((_, first)), Some((_, next))) = (first, next) else { return };
        let left_ms = pending.spec.target_deadline.saturating_sub(quoted.decided_at);
        let longest_ms = left_ms / cost::PATIENCE_DIVISOR;
        let until = quoted.decided_at + u64::from(next.saturating_sub(*first)).min(longest_ms);
        if let Some(pending) = self.entry.pending.get_mut(&request) {
            pending.widen_at = pending.widen_at.max(until);
        }
    }

    /// The server of lowest cost that can still be asked for a permit.
    pub(crate) fn next_offer(&self, request: RequestId, excluded: &[Id]) -> Option<Id> {
        let pending = self.entry.pending.get(&request)?;
        let costs = pending.quoted.as_ref()?.by_cost();
        let open = |s: &Id| {
            !excluded.contains(s)
                && self.is_usable(*s)
                && !self.fails(*s)
                && self.may_serve(*s, pending.spec.version)
                && self.catalog.servers.contains(s)
        };
        costs.into_iter().map(|(server, _)| server).find(open)
    }

    /// How a request was placed at a server, if by quotes.
    pub(crate) fn placement(&self, pending: &Pending, server: Id) -> Option<Placed> {
        let quoted = pending.quoted.as_ref()?;
        let offer = quoted.candidates.iter().find(|c| c.server == server)?.offer?;
        let second = quoted.by_cost().into_iter().find(|(s, _)| *s != server);
        Some(Placed {
            cost_ms: offer.cost_ms?,
            saved_ms: offer.saved_ms,
            second_ms: second.map(|s| s.1),
            slowness: self.speeds.usual(server, self.now),
            age_ms: self.speeds.age_ms(server, self.now).unwrap_or(0),
        })
    }

    /// How a running request was placed, if by quotes.
    pub fn placed(&self, request: RequestId) -> Option<Placed> {
        self.entry.running.get(&request)?.placed
    }

    /// Records the usual slowness of a server according to its owner.
    pub(crate) fn usual_told(&mut self, peer: Id, server: Id, slowness: Option<u32>) {
        if let Some(usual) = slowness
            && peer != self.membership.me
            && self.catalog.servers.contains(&server)
        {
            self.speeds.told(server, usual.min(MAX_FIGURE), self.now);
        }
    }

    /// Records the figure of an answer. The owner of an engine gets it with the first progress of the generation.
    pub(crate) fn slowness_seen(&mut self, request: RequestId, server: Id, figure: Named<u32>) {
        let figure = match figure {
            Named::Absent => return,
            Named::Invalid => return self.speeds.mark_invalid(server),
            Named::Value(figure) => figure.clamp(1, MAX_FIGURE),
        };
        let Some(running) = self.entry.running.get_mut(&request) else { return };
        running.slowness = Some(figure);
        let (model, owner) = (running.spec.target, running.owner);
        let capacity = self.catalog.servers.get(&server).map(|s| s.capacity);
        // An engine's figure comes back to this instance with the progress if it is the owner.
        let is_plain = matches!(capacity, Some(Capacity::Slots { .. }));
        if capacity.is_some() && (is_plain || owner != self.membership.me) {
            self.speeds.observe(model, server, figure, self.now);
        }
    }

    /// Learns the time of an event from two reports of a stream, unless its owner is this instance and does.
    pub(crate) fn learn_steps(&mut self, request: RequestId, since: (u32, Millis)) {
        let Some(running) = self.entry.running.get(&request) else { return };
        let usual = self.speeds.usual(running.server, self.now);
        let (Some(usual), false) = (usual, running.owner == self.membership.me) else { return };
        let Some(tempo) = self.speeds.model_mut(running.spec.target) else { return };
        match since {
            (0, _) => tempo.record_first(running.tokens, None, None),
            (_, 0) => {}
            (tokens, at) => {
                let took_ms = self.now.saturating_sub(at) as f32;
                tempo.record_interval(running.tokens.saturating_sub(tokens), took_ms, usual);
            }
        }
    }

    /// Records the longest pause of a server's part of a stream. The owner of the server learns from it if a prompt was read
    /// beside the stream. Another instance does not know that, but sees more servers than it owns.
    pub(crate) fn paused(&mut self, request: RequestId, gap_ms: u32) {
        let Some(running) = self.entry.running.get_mut(&request) else { return };
        running.gap_ms = running.gap_ms.max(gap_ms);
        let usual = self.speeds.usual(running.server, self.now);
        let (Some(usual), false) = (usual, running.owner == self.membership.me) else { return };
        if let Some(tempo) = self.speeds.model_mut(running.spec.target)
            && running.tokens >= MIN_EVENTS * tempo.event_tokens()
        {
            tempo.record_unexplained_pause(gap_ms, usual);
        }
    }

    /// Learns the speed of a server and the steps of its model from a report about a stream.
    pub(crate) fn learn_progress(&mut self, peer: Id, progress: &Progress) {
        let (server, now) = (progress.server, self.now);
        let Some(c) = self.controllers.get(&server) else { return };
        let Ok(at) = c.find_running(peer, progress.request) else { return };
        let running = &c.running[at];
        let model = running.class.model;
        if let Some(figure) = progress.slowness {
            self.speeds.observe(model, server, figure.clamp(1, MAX_FIGURE), now);
        }
        let usual = self.speeds.usual(server, now);
        let Some(granted_at) = running.granted_at.filter(|_| !running.moving) else { return };
        let undisturbed = c.prefill_backlog() == 0 && c.read_at <= running.progress_at;
        let Some(tempo) = self.speeds.model_mut(model) else { return };
        if running.began_at == 0 {
            let read_ms = now.saturating_sub(granted_at) as f32;
            let alone = running.ahead == running.prompt;
            tempo.record_first(progress.tokens, alone.then_some((read_ms, running.ahead)), usual);
        } else if let Some(usual) = usual
            && undisturbed
            && progress.tokens > running.tokens
        {
            let took_ms = now.saturating_sub(running.progress_at) as f32;
            tempo.record_interval(progress.tokens - running.tokens, took_ms, usual);
        }
    }

    /// Learns the time of an event while a prompt is being read from the longest pause of a stream.
    pub(crate) fn learn_release(&mut self, peer: Id, release: &Release) {
        let Some(c) = self.controllers.get(&release.server) else { return };
        let Ok(at) = c.find_running(peer, release.request) else { return };
        let running = &c.running[at];
        let read_beside = running.began_at > 0 && c.read_at > running.began_at + BESIDE_MS;
        let Some(usual) = self.speeds.usual(release.server, self.now) else { return };
        if release.gap_ms > 0
            && read_beside
            && let Some(tempo) = self.speeds.model_mut(running.class.model)
            && release.tokens >= MIN_EVENTS * tempo.event_tokens()
        {
            tempo.record_pause(release.gap_ms, usual);
        }
    }

    /// Forgets the speed of servers that are no longer declared or have started again.
    pub(crate) fn forget_speeds(&mut self, former: &Catalog) {
        let catalog = self.catalog.clone();
        let start = |c: &Catalog, s: Id| c.servers.get(&s).map(|i| i.start_ms);
        self.speeds
            .retain(|s| catalog.servers.contains(&s) && start(&catalog, s) == start(former, s));
    }
}

/// The parts of a prompt that other requests may share.
pub(crate) fn parts(spec: &RequestSpec) -> Vec<PromptPart> {
    let parts = spec.parts.iter().zip(spec.part_tokens.iter());
    parts.map(|(part, tokens)| PromptPart { part: *part, tokens: *tokens }).collect()
}
