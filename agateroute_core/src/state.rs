//! The state of an instance and the one reducer over all events.

use std::sync::Arc;

use agateroute_config::Document;
use agateroute_proto::peers::message::Body;
use agateroute_proto::peers::{self, Reset, Suspect};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::Table;
use crate::backoff::Backoffs;
use crate::catalog::Catalog;
use crate::cold::ColdServers;
use crate::controller::{Context, Controller, Reply};
use crate::crashing_parts::CrashingParts;
use crate::departures::Departures;
use crate::effect::Effect;
use crate::entry::Entry;
use crate::estimate::Estimator;
use crate::evacuation::Evacuation;
use crate::event::{Event, LoadReport, ServerSignal};
use crate::health::HealthTable;
use crate::id::{Id, Millis};
use crate::ledger::Ledger;
use crate::limits::Limits;
use crate::liveness::Action;
use crate::losses::FailingServers;
use crate::membership::{Membership, Peer};
use crate::migration::Migration;
use crate::ownership::Ownership;
use crate::prefix::Prefixes;
use crate::quotes::QuoteRate;
use crate::reach::Reach;
use crate::retry::RetryBudget;
use crate::shedding::Shedding;
use crate::streams::Streams;
use crate::suspect::Suspects;
use crate::tempo::Speeds;
use crate::versions::VersionHistory;

/// How long state is kept for a peer that is neither linked nor listed, in milliseconds.
const PEER_RETENTION_MS: Millis = 30_000;
/// The number of known server zones above which those of undeclared servers are dropped.
const MAX_ZONES: usize = 10_000;
/// A peer's permits are released after this many times `peer_ms` without a message from it.
const PEER_LOST_FACTOR: u64 = 5;

/// The state of one instance.
#[derive(Clone, Debug)]
pub struct State {
    /// The time of the last event, in milliseconds.
    pub now: Millis,
    /// The current document, indexed by identifier.
    pub catalog: Arc<Catalog>,
    /// The known instances and their status.
    pub membership: Membership,
    /// The pending and running requests of this instance's callers.
    pub entry: Entry,
    /// The admission controllers of the backend servers that this instance owns.
    pub controllers: Table<Id, Controller>,
    /// The claims of calls that must run at most once.
    pub ledger: Ledger,
    /// The estimated output lengths of each request class.
    pub estimator: Estimator,
    /// The requests that crashed backend servers.
    pub suspects: Suspects,
    /// The parts of prompts that crash backend servers.
    pub parts: CrashingParts,
    /// Where streams began that their callers may resume.
    pub streams: Streams,
    /// The software versions that have served each model lately.
    pub versions: VersionHistory,
    /// The live migrations of generations and the queues for copy slots.
    pub migration: Migration,
    /// Load and recent faults of the backend servers, as far as this instance knows.
    pub health: HealthTable,
    /// The servers that said in an answer that they leave.
    pub departures: Departures,
    /// The availability zones to whose servers nothing may be sent.
    pub evacuation: Evacuation,
    /// The servers that are cold.
    pub cold: ColdServers,
    /// The servers whose owners grant no permits for a while, since they lose requests.
    pub failing: FailingServers,
    /// The servers that want nothing for a while.
    pub backoffs: Backoffs,
    /// The limits that backend servers have named.
    pub limits: Limits,
    /// Whether this instance reaches backend servers.
    pub reach: Reach,
    /// What is known of the speed of servers.
    pub speeds: Speeds,
    pub(crate) quote_rate: QuoteRate,
    pub(crate) shedding: Shedding,
    pub(crate) prefixes: Prefixes,
    pub(crate) budget: RetryBudget,
    /// The availability zones of servers, including those that left recently.
    pub(crate) zones: Table<Id, Id>,
    pub(crate) effects: Vec<Effect>,
    ownership: Ownership,
    loopback: Vec<Body>,
    rng: ChaCha8Rng,
}

impl State {
    /// Creates the state of an instance without peers. `seed` makes its random choices repeatable.
    pub fn new(me: &Peer, document: Arc<Document>, seed: u64) -> State {
        let membership = Membership::new(me);
        let mut state = State {
            now: 0,
            catalog: Arc::new(Catalog::new(document)),
            ownership: Ownership::default(),
            membership,
            entry: Entry::default(),
            controllers: Table::default(),
            ledger: Ledger::default(),
            estimator: Estimator::default(),
            suspects: Suspects::default(),
            parts: CrashingParts::default(),
            streams: Streams::default(),
            versions: VersionHistory::default(),
            migration: Migration::default(),
            health: HealthTable::default(),
            departures: Departures::default(),
            evacuation: Evacuation::default(),
            cold: ColdServers::default(),
            failing: FailingServers::default(),
            backoffs: Backoffs::default(),
            limits: Limits::default(),
            reach: Reach::default(),
            speeds: Speeds::default(),
            quote_rate: QuoteRate::default(),
            shedding: Shedding::default(),
            prefixes: Prefixes::default(),
            budget: RetryBudget::default(),
            zones: Table::default(),
            effects: Vec::new(),
            loopback: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        state.ownership.set_servers(state.catalog.servers.keys().copied());
        state.update_ownership();
        state.observe_versions();
        state
    }

    /// Applies an event and returns the effects that the caller has to carry out.
    pub fn apply(&mut self, now: Millis, event: Event) -> Vec<Effect> {
        self.now = self.now.max(now);
        self.handle(event);
        self.deliver_loopback();
        std::mem::take(&mut self.effects)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Configured { document } => self.configure(document),
            Event::Listed { instances } => {
                self.membership.set_listed(&instances, self.now);
                self.update_ownership();
            }
            Event::Linked { peer } => self.link(&peer),
            Event::Heartbeat { peer, status } => {
                self.membership.mark_heard(peer, self.now);
                self.membership.set_status(peer, status, self.now);
            }
            Event::AnswersProbes { peer } => self.membership.set_probes(peer),
            Event::TableReachable { reachable } => self.membership.set_table_reachable(reachable),
            Event::Unlinked { peer } => {
                self.membership.unlink(peer, self.now);
                self.update_ownership();
            }
            Event::Received { peer, body } => {
                self.membership.mark_heard(peer, self.now);
                self.receive(peer, body);
            }
            Event::Arrived(spec) => self.add_request(spec),
            Event::Abandoned { request } => self.abandon(request),
            Event::AnswerBegan { request } => self.answer_began(request),
            Event::Slowness { request, server, figure } => {
                self.slowness_seen(request, server, figure);
            }
            Event::Paused { request, gap_ms } => self.paused(request, gap_ms),
            Event::Progressed { request, tokens } => self.progressed(request, tokens),
            Event::RetryAsked { request } => self.ask_retry(request),
            Event::Ended { request, end } => self.ended(request, &end),
            Event::Connected { server } => self.connected(server),
            Event::ConnectFailed { server } => self.connect_failed(server),
            Event::ForwardEnded { request, end } => self.forward_ended(request, end),
            Event::Noticed { request, server, notice } => self.noticed(request, server, &notice),
            Event::SentAgain { server } => {
                self.send(self.owner_of(server), Body::Charge(peers::Charge { server }));
            }
            Event::Reported { server, report } => self.reported(server, report),
            Event::CacheChanged { server, update } => {
                self.with_controller(server, |c, _, _| c.update_cache(&update));
            }
            Event::ReportFailed { server, refused } => self.report_failed(server, refused),
            Event::ServerLeaving { server } => self.server_leaving(server),
            Event::MoveCopied { request } => self.move_copied(request),
            Event::MoveEnded { request, permit, moved } => {
                self.move_ended(request, permit, moved);
            }
            Event::ColdTermsRead { terms } => self.set_cold_terms(terms),
            Event::ColdRead { servers } => self.cold_read(&servers),
            Event::EvacuationRead { point, settled, update } => {
                self.evacuation_read(point, settled, update);
            }
            Event::SuspectLoaded { fingerprint, crashes } => {
                self.update_suspect(fingerprint, crashes);
            }
            Event::PartBlockLoaded { part, left_ms } => self.block_part(part, left_ms, false),
            Event::VersionsLoaded { stored } => self.versions_loaded(&stored),
            Event::VersionsNotStored { target } => self.store_versions_again(Some(target)),
            Event::TableRestored => {
                self.store_suspects_again();
                self.store_versions_again(None);
            }
            Event::ClaimSubmitted(claim) => self.submit_claim(claim),
            Event::Transacted { shard, outcome } => self.transacted(shard, outcome),
            Event::Leave => {
                self.membership.start_leaving(self.now);
                self.update_ownership();
                self.hand_over_streams();
            }
            Event::Tick => self.tick(),
        }
    }

    fn configure(&mut self, document: Arc<Document>) {
        let former = std::mem::replace(&mut self.catalog, Arc::new(Catalog::new(document)));
        let catalog = self.catalog.clone();
        self.forget_changed_versions(&former);
        self.mark_new_cold(&former);
        self.observe_versions();
        if self.zones.len() > MAX_ZONES {
            self.zones.retain(|server, _| catalog.servers.contains(server));
        }
        self.migration.forget_returned(self.now, |s| catalog.servers.contains(&s));
        for (server, info) in catalog.servers.iter() {
            self.zones.insert(*server, info.zone);
        }
        self.health.retain(|s| catalog.servers.contains(&s));
        self.forget_speeds(&former);
        self.forget_departures();
        for (server, c) in self.controllers.iter_mut() {
            if let Some(info) = catalog.servers.get(server) {
                c.capacity = info.capacity;
                c.kept.started(info.start_ms);
            }
        }
        self.ownership.set_servers(catalog.servers.keys().copied());
        self.update_ownership();
    }

    fn link(&mut self, peer: &Peer) {
        let id = peer.id();
        if self.membership.link(peer, self.now) {
            self.each_controller(|c, ctx, out| c.drop_peer(id, true, ctx, out));
        }
        self.send(id, Body::Reset(Reset {}));
        self.update_ownership();
        self.resync_owner(id);
        let known: Vec<(u64, u32)> = self.suspects.iter().collect();
        for (fingerprint, crashes) in known {
            self.send(peer.id(), Body::Suspect(Suspect { fingerprint, crashes }));
        }
        self.send_part_blocks(id);
        self.tell_departures(id);
        self.tell_evacuation(id);
        self.tell_cold(id);
        self.tell_linked(id);
        self.ask_linked(id);
    }

    /// Recomputes the owners after a change of membership or configuration: creates and drops admission
    /// controllers, and sends requests and claims of this instance to new owners.
    fn update_ownership(&mut self) {
        let silence_ms = self.catalog.routing().peer_ms;
        let members = self.membership.owners(self.now, silence_ms);
        self.ownership.set_instances(members, self.membership.known());
        let (me, now) = (self.membership.me, self.now);
        let ownership = &self.ownership;
        let mut out = Vec::new();
        self.controllers.retain(|server, c| {
            let keep =
                self.catalog.servers.contains(server) && ownership.owner(*server) == Some(me);
            if !keep {
                c.deny_waiting(peers::DenyReason::UnknownServer, 0, &mut out);
            }
            keep
        });
        let deviations = self.catalog.routing().deviations;
        for server in ownership.owned_by(me) {
            let Some(info) = self.catalog.servers.get(&server) else { continue };
            let c = self
                .controllers
                .entry(server, || Controller::new(server, info.capacity, deviations, now));
            c.acting = ownership.preferred_owner(server) != Some(me);
            c.losses.started(info.start_ms);
            if let Some(terms) = self.limits.get(server) {
                c.adopt(terms, now);
            }
        }
        self.send_all(out);
        self.limit_cold();
        self.update_owners();
        self.update_shard_owners();
    }

    /// Returns the owner of a backend server according to this instance's view of the membership.
    pub fn owner_of(&self, server: Id) -> Id {
        self.ownership.owner(server).unwrap_or(self.membership.me)
    }

    /// Returns the instances that can own servers and claim shards, sorted.
    pub fn owners(&self) -> &[Id] {
        self.ownership.members()
    }

    /// Returns how many hashes of a server with an instance were computed to find owners.
    pub fn owner_hashes(&self) -> u64 {
        self.ownership.hashes()
    }

    /// Returns the backend servers that this instance owns and whose load it polls.
    pub fn owned(&self) -> impl Iterator<Item = Id> {
        self.controllers.keys().copied()
    }

    pub(crate) fn pick_index(&mut self, bound: usize) -> usize {
        self.rng.random_range(0..bound)
    }

    /// Sends a message to a peer; one to this instance itself is queued locally.
    pub(crate) fn send(&mut self, peer: Id, body: Body) {
        if peer == self.membership.me {
            self.loopback.push(body);
        } else {
            self.effects.push(Effect::Send { peer, body });
        }
    }

    fn send_all(&mut self, replies: Vec<Reply>) {
        for (peer, body) in replies {
            self.send(peer, body);
        }
    }

    fn deliver_loopback(&mut self) {
        let me = self.membership.me;
        while !self.loopback.is_empty() {
            for body in std::mem::take(&mut self.loopback) {
                self.receive(me, body);
            }
        }
    }

    fn receive(&mut self, peer: Id, body: Body) {
        match body {
            Body::Ask(ask) => self.receive_ask(peer, ask),
            Body::Grant(grant) => self.granted(peer, &grant),
            Body::Deny(deny) => self.denied(peer, &deny),
            Body::Withdraw(w) => self.with_controller(w.server, |c, ctx, out| {
                c.withdraw(peer, &w, ctx, out);
            }),
            Body::Release(release) => self.receive_release(peer, &release),
            Body::Progress(p) => {
                self.learn_progress(peer, &p);
                self.record_answer(peer, p.server, p.request);
                self.with_controller(p.server, |c, ctx, out| c.progress(peer, &p, ctx, out));
            }
            Body::Hold(hold) => {
                self.with_controller(hold.server, |c, _, _| c.hold(peer, &hold));
            }
            Body::Reset(_) => {
                self.each_controller(|c, ctx, out| c.drop_peer(peer, true, ctx, out));
            }
            Body::Load(load) => self.health.set_pressure(load.server, load.pressure),
            Body::Sign(signal) => self.receive_signal(peer, &signal),
            Body::Charge(charge) => {
                self.with_controller(charge.server, |c, ctx, _| c.charge_pace(ctx.now));
            }
            Body::ServerNotice(notice) => self.receive_notice(peer, &notice),
            Body::Suspect(s) => self.update_suspect(s.fingerprint, s.crashes),
            Body::PartCrash(crash) => self.receive_part_crash(&crash),
            Body::PartSurvived(survived) => self.clear_parts(&survived.parts, false),
            Body::PartBlock(block) => self.receive_part_block(peer, &block),
            Body::Claim(claim) => self.queue_claim(peer, claim),
            Body::ClaimResult(result) => self.claim_result(result),
            Body::TurnAsk(ask) => self.receive_slot_request(peer, &ask),
            Body::Turn(turn) => self.slot_granted(peer, &turn),
            Body::TurnDone(done) => self.receive_slot_release(peer, &done),
            Body::StreamOrigins(message) => self.receive_origins(&message),
            Body::StreamAsk(ask) => self.receive_stream_ask(peer, &ask),
            Body::StreamReply(reply) => self.receive_stream_reply(peer, &reply),
            Body::TallyRow(row) => self.effects.push(Effect::HoldTally(row)),
            Body::Silent(silent) => {
                self.membership.suspect(silent.instance, Some(silent.start), self.now);
            }
            Body::Evacuation(news) => self.receive_evacuation(news),
            Body::Quote(quote) => self.receive_quote(peer, quote),
            Body::Offer(offer) => self.offered(peer, &offer),
            Body::ServerCold(cold) => self.heard_cold(cold.server, Some(cold.left_ms)),
        }
    }

    fn receive_ask(&mut self, peer: Id, ask: peers::Ask) {
        self.heard_cold(ask.server, ask.cold_ms);
        if self.deny_closed(peer, &ask) {
            return;
        }
        if self.controllers.contains(&ask.server) {
            let server = ask.server;
            self.with_controller(server, |c, ctx, out| c.enqueue(peer, ask, ctx, out));
            return;
        }
        let deny = peers::Deny {
            request: ask.request,
            server: ask.server,
            reason: peers::DenyReason::UnknownServer.into(),
            retry_ms: 0,
            pressure: self.health.pressure(ask.server),
            ..peers::Deny::default()
        };
        self.send(peer, Body::Deny(deny));
    }

    fn receive_release(&mut self, peer: Id, release: &peers::Release) {
        self.learn_release(peer, release);
        self.record_loss(peer, release);
        let mut learned = None;
        self.with_controller(release.server, |c, ctx, _| {
            learned = c.release(peer, release, ctx);
        });
        if let Some((class, length)) = learned {
            self.estimator.learn(class, length);
        }
        self.with_controller(release.server, Controller::grant_permits);
    }

    fn receive_signal(&mut self, peer: Id, signal: &peers::Sign) {
        if !signal.leaving {
            self.server_refuses(peer, signal.server);
            return;
        }
        if self.controllers.get(&signal.server).is_some_and(|c| !c.closed) {
            self.effects.push(Effect::ServerClosed { server: signal.server, leaving: true });
        }
        match signal.said {
            true if !self.departures.contains(signal.server) => self.server_departs(signal.server),
            true => {}
            false => self.server_leaving(signal.server),
        }
    }

    /// Closes a leaving server to new work and migrates the generations that run on it.
    pub(crate) fn server_leaving(&mut self, server: Id) {
        self.health.record_leaving(server, self.now);
        self.with_controller(server, Controller::close);
        self.move_all(server);
    }

    /// Runs `step` on the controller of a server, if this instance owns it, and sends its replies.
    pub(crate) fn with_controller(
        &mut self,
        server: Id,
        step: impl FnOnce(&mut Controller, &Context<'_>, &mut Vec<Reply>),
    ) {
        let mut out = Vec::new();
        let (catalog, estimator) = (&self.catalog, &self.estimator);
        let ctx = Context { catalog, estimator, speeds: &self.speeds, now: self.now };
        if let Some(c) = self.controllers.get_mut(&server) {
            step(c, &ctx, &mut out);
        }
        self.send_all(out);
    }

    pub(crate) fn each_controller(
        &mut self,
        mut step: impl FnMut(&mut Controller, &Context<'_>, &mut Vec<Reply>),
    ) {
        let mut out = Vec::new();
        let (catalog, estimator) = (&self.catalog, &self.estimator);
        let ctx = Context { catalog, estimator, speeds: &self.speeds, now: self.now };
        for (_, c) in self.controllers.iter_mut() {
            step(c, &ctx, &mut out);
        }
        self.send_all(out);
    }

    fn reported(&mut self, server: Id, report: LoadReport) {
        if report.leaving {
            self.health.record_leaving(server, self.now);
        }
        self.with_controller(server, |c, ctx, out| c.report(report, ctx, out));
        self.connected(server);
    }

    fn report_failed(&mut self, server: Id, refused: bool) {
        if refused {
            self.connect_failed(server);
        }
    }

    /// Records what an attempt observed of a server and reports it to the server's owner.
    pub(crate) fn record_signal(&mut self, server: Id, owner: Id, signal: ServerSignal) {
        let leaving = match signal {
            ServerSignal::None | ServerSignal::Reset | ServerSignal::Evacuated => return,
            ServerSignal::Leaving => true,
            ServerSignal::Refused | ServerSignal::Crashed => false,
        };
        if leaving {
            self.health.record_leaving(server, self.now);
            self.send(
                owner,
                Body::Sign(peers::Sign { server, refused: false, leaving, said: false }),
            );
        } else {
            self.health.record_refusal(server, self.now);
            self.report_refusal(server, owner);
        }
    }

    /// Sends a message to all linked peers.
    pub(crate) fn broadcast(&mut self, body: &Body) {
        let linked: Vec<Id> =
            self.membership.peers.iter().filter(|(_, p)| p.linked).map(|(id, _)| *id).collect();
        for peer in linked {
            self.send(peer, body.clone());
        }
    }

    fn tick(&mut self) {
        let silence_ms = self.catalog.routing().peer_ms;
        if self.membership.refresh(self.now, silence_ms, PEER_RETENTION_MS)
            && self.membership.owners(self.now, silence_ms) != self.ownership.members()
        {
            self.update_ownership();
        }
        self.check_silent_peers();
        self.drop_silent_peers(silence_ms * PEER_LOST_FACTOR);
        self.tick_requests();
        self.tick_streams();
        self.tick_versions();
        self.tick_limits();
        self.tick_backoffs();
        self.tick_reach();
        self.block_culprit();
        self.tick_moves();
        self.tick_ledger();
        self.each_controller(Controller::tick);
        let load_ms = self.catalog.routing().load_ms;
        self.each_controller(|c, ctx, out| c.send_load(load_ms, ctx.now, out));
    }

    /// Probes, reports and closes silent peers, and suspects owners that do not answer.
    fn check_silent_peers(&mut self) {
        for action in self.membership.take_actions() {
            match action {
                Action::Probe(peer) => self.effects.push(Effect::ProbePeer { peer }),
                Action::Close(peer) => self.effects.push(Effect::CloseLink { peer }),
                Action::Report(peer) => {
                    let start = self.membership.peers.get(&peer).map_or(0, |p| p.start);
                    self.broadcast(&Body::Silent(peers::Silent { instance: peer, start }));
                }
            }
        }
        if !self.membership.is_large() {
            return;
        }
        let requested = self.entry.pending.values().flat_map(|p| &p.requested);
        let mut owners: Vec<Id> = requested.map(|(_, owner)| *owner).collect();
        owners.sort_unstable();
        owners.dedup();
        self.membership.await_answers(&owners, self.now);
    }

    /// Drops the waiting requests of peers that are unreachable, and the permits of those that were silent
    /// for longer than `lost_ms`.
    fn drop_silent_peers(&mut self, lost_ms: Millis) {
        let now = self.now;
        for at in 0..self.membership.unreachable().len() {
            let peer = self.membership.unreachable()[at];
            let running = now.saturating_sub(self.membership.silent_since(peer)) > lost_ms;
            self.each_controller(|c, ctx, out| {
                let involved = c.waiting.iter().any(|w| w.peer == peer)
                    || (running && c.running.iter().any(|h| h.peer == peer));
                if involved {
                    c.drop_peer(peer, running, ctx, out);
                }
            });
        }
    }
}
