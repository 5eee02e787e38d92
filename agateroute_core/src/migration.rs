//! Live migration of running generations away from leaving backend servers.
//!
//! A generation that may not run twice is lost with its server, unless its memory is copied to another
//! server in time and it continues there. Copies share the link of the server, and a generation pauses
//! while the last part of its memory is copied. So the owner of the server grants one copy slot at a
//! time, highest priority first; the holder of the slot then requests a permit for a destination and
//! makes the copy. See `docs/DESIGN.md`, "Live migration".
//!
//! Where capacity is planned ahead, `core::copies` orders the copies, and the permit is reserved before the slot is granted.

use agateroute_proto::peers::message::Body;
use agateroute_proto::peers::{Progress, Turn, TurnAsk, TurnDone, TurnPhase};

use crate::Table;
use crate::copies::{Destination, Fate, Notices, Order, Queue, Rates, Site, Size, Waiting};
use crate::departures::Departing;
use crate::effect::Effect;
use crate::entry::{Pending, Running};
use crate::estimate::Estimator;
use crate::event::{End, RequestId, RequestSpec};
use crate::id::{Id, Millis};
use crate::state::State;

/// The interval at which an unanswered slot request is repeated, in milliseconds: the server may have a
/// new owner, or the request may have been lost with a stream. A copy never starts without a slot, however
/// long the queue: concurrent copies on one link keep each other from ending in time.
const SLOT_RETRY_MS: Millis = 300;
/// How long a migration waits for a permit at a destination, in milliseconds.
const PERMIT_TIMEOUT_MS: Millis = 400;
/// The delay before a failed migration is tried again, in milliseconds: one tick, so that other
/// generations get the slot first.
pub(crate) const MOVE_RETRY_MS: Millis = 25;
/// The maximum number of attempts to migrate one generation away from one server.
const MAX_TRIES: u32 = 6;
/// Added to a request id for each attempt, so that permits of destinations have ids of their own.
const PERMIT_ID_STRIDE: RequestId = 1 << 48;
/// The time that a generation has to end on a leaving server, in milliseconds: the shortest notice that
/// servers give, less the delay of the list that announces it.
const MIN_NOTICE_MS: u64 = 1_000;
/// The longest time per token on a busy engine, in milliseconds.
const MAX_TOKEN_MS: u64 = 12;
/// How long the notice that a server is leaving takes precedence over a document that still declares
/// the server, in milliseconds.
const NOTICE_TTL_MS: Millis = 3_000;
/// The weight of an output token relative to a prompt token: each takes a batch step of its own.
const OUTPUT_WEIGHT: u64 = 10;
/// How long a server counts as leaving after the last notice, in milliseconds.
const LEAVING_RETENTION_MS: Millis = 60_000;

value! {
    /// The stage of a migration.
    pub enum Stage {
        /// Waits for a copy slot, which was requested at this time.
        AwaitingSlot(Millis),
        /// Holds the copy slot and waits for a permit at a destination.
        AwaitingPermit,
        /// Is the next to get the slot and waits for a permit at a destination.
        Preparing,
        /// Has reserved this permit and waits for the slot, which was requested at this time.
        Reserved(RequestId, Millis),
        /// Copies the memory under this permit since this time.
        Copying(RequestId, Millis),
        /// Failed, and is tried again at this time.
        Backoff(Millis),
    }

    /// The migration of one generation.
    pub struct Move {
        /// The leaving server, from which the generation is moved.
        pub server: Id,
        /// The current stage.
        pub stage: Stage,
        /// The number of attempts to find a destination.
        pub tries: u32,
        /// The destination of the last failed copy, which the next attempt avoids.
        pub failed: Option<Id>,
        /// Whether capacity is planned for its model, so that the owner of the server is told its size.
        pub planned: bool,
    }
}

/// The migrations of this instance's generations, and the copy slots that it grants as an owner.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Migration {
    /// The migrations of generations for which this instance is the entry instance.
    pub moves: Table<RequestId, Move>,
    pub(crate) slot_queues: Table<Id, Queue>,
    pub(crate) leaving: Table<Id, Millis>,
    pub(crate) departing: Table<Id, Departing>,
    /// The lengths of this instance's generations: one that owns few servers learns little as an owner.
    pub(crate) lengths: Estimator,
    pub(crate) rates: Rates,
    pub(crate) notices: Notices,
}

impl Migration {
    /// Clears the leaving mark of servers that are declared again: a restarted server may keep its name.
    pub(crate) fn forget_returned(&mut self, now: Millis, declared: impl Fn(Id) -> bool) {
        self.leaving.retain(|server, since| now < *since + NOTICE_TTL_MS || !declared(*server));
        self.departing.retain(|server, d| now < d.since + NOTICE_TTL_MS || !declared(*server));
    }
}

/// Returns the copy priority of a generation, in thousandths: the work lost if it is cut (its prompt and
/// possible output) per token of memory, which determines the time that its copy takes.
fn priority(spec: &RequestSpec, tokens: u32) -> u32 {
    let lost = u64::from(spec.prompt) + u64::from(spec.max_tokens) * OUTPUT_WEIGHT;
    let held = u64::from(spec.prompt) + u64::from(tokens);
    (lost * 1_000 / held.max(1)).min(u64::from(u32::MAX)) as u32
}

/// Returns whether a generation is certain to end before its server is gone. The caller's estimate of
/// the length is ignored: a generation may run far beyond it.
fn ends_in_time(spec: &RequestSpec, tokens: u32) -> bool {
    spec.max_tokens > 0
        && u64::from(spec.max_tokens.saturating_sub(tokens)) * MAX_TOKEN_MS < MIN_NOTICE_MS
}

impl State {
    /// Starts to migrate the generations that this instance runs on a leaving server.
    pub(crate) fn move_all(&mut self, server: Id) {
        self.note_departing(server);
        self.migration.leaving.insert(server, self.now);
        self.return_reserved_at(server);
        let running = self.entry.running.iter().filter(|(_, r)| r.server == server);
        let mut by_priority: Vec<(u32, RequestId)> =
            running.map(|(request, r)| (priority(&r.spec, r.tokens), *request)).collect();
        by_priority.sort_unstable_by(|a, b| b.cmp(a));
        for (_, request) in by_priority {
            self.start_move(request);
        }
    }

    /// Starts to migrate a generation if its server is leaving and it has memory to copy.
    pub(crate) fn start_move(&mut self, request: RequestId) {
        let Some(running) = self.entry.running.get(&request) else { return };
        let server = running.server;
        let eligible = running.spec.movable
            && running.tokens > 0
            && self.migration.leaving.contains(&server)
            && !self.migration.moves.contains(&request)
            && !ends_in_time(&running.spec, running.tokens);
        if eligible {
            self.request_slot(request, server, None);
        }
    }

    fn request_slot(&mut self, request: RequestId, server: Id, previous: Option<Move>) {
        let Some(running) = self.entry.running.get(&request) else { return };
        let worth = priority(&running.spec, running.tokens);
        let planned = self.plans_capacity(running.spec.target);
        let size = planned.then(|| self.size(running));
        let mut ask = TurnAsk { request, server, worth, ..Default::default() };
        if let Some(size) = size {
            if self.will_end(running) {
                self.give_up_slot(request);
                return;
            }
            (ask.held, ask.left) = (Some(size.held), Some(size.left));
        }
        let stage = match previous.map(|m| m.stage) {
            Some(Stage::Reserved(permit, _)) => {
                ask.reserved = self.entry.running.get(&permit).map(|r| r.server);
                Stage::Reserved(permit, self.now)
            }
            _ => Stage::AwaitingSlot(self.now),
        };
        let (tries, failed) = previous.map_or((0, None), |m| (m.tries, m.failed));
        self.migration.moves.insert(request, Move { server, stage, tries, failed, planned });
        let owner = self.owner_of(server);
        self.send(owner, Body::TurnAsk(ask));
    }

    /// Queues a peer's request for a copy slot.
    pub(crate) fn receive_slot_request(&mut self, peer: Id, ask: &TurnAsk) {
        if ask.held.is_some() {
            self.note_departing(ask.server);
        }
        let zone = |server: Id| self.zones.get(&server).copied();
        let destination = ask
            .reserved
            .map(|server| Destination { server, crosses: zone(server) != zone(ask.server) });
        let size = ask.held.map(|held| Size { held, left: ask.left.unwrap_or(0) });
        let waiting = Waiting {
            peer,
            request: ask.request,
            worth: ask.worth,
            size,
            asked_at: self.now,
            destination,
            search_since: None,
            was_far: false,
        };
        let queue = self.migration.slot_queues.entry(ask.server, Queue::default);
        match queue.ask(waiting) {
            Some(repeated) => self.send_order(ask.server, repeated),
            None => self.grant_slot(ask.server),
        }
    }

    fn send_order(&mut self, server: Id, order: Order) {
        let (peer, request, phase) = match order {
            Order::Grant(peer, request) => (peer, request, TurnPhase::Granted),
            Order::Prepare(peer, request) => (peer, request, TurnPhase::Prepare),
            Order::Return(peer, request) => (peer, request, TurnPhase::Return),
        };
        self.send(peer, Body::Turn(Turn { request, server, phase: phase.into() }));
    }

    fn grant_slot(&mut self, server: Id) {
        let (since, target, token_ms) = self.departure(server);
        let migration = &mut self.migration;
        let Some(queue) = migration.slot_queues.get_mut(&server) else { return };
        let (rates, notices) = (&migration.rates, &migration.notices);
        let site = Site { server, now: self.now, since, target, token_ms, rates, notices };
        let orders = queue.orders(&site);
        if queue.is_empty() {
            migration.slot_queues.remove(&server);
        }
        for order in orders {
            self.send_order(server, order);
        }
    }

    /// Uses a granted copy slot to request a permit at a destination, or to start the copy if one is reserved.
    pub(crate) fn slot_granted(&mut self, peer: Id, turn: &Turn) {
        let moving = self.migration.moves.get(&turn.request).filter(|m| m.server == turn.server);
        match (turn.phase(), moving.map(|m| m.stage)) {
            (TurnPhase::Granted, Some(Stage::AwaitingSlot(_))) => {
                self.find_destination(turn.request, Stage::AwaitingPermit);
            }
            (TurnPhase::Granted, Some(Stage::Preparing)) => {
                self.set_stage(turn.request, Stage::AwaitingPermit);
            }
            (TurnPhase::Granted, Some(Stage::Reserved(permit, _))) => {
                self.copy_reserved(turn.request, permit);
            }
            (TurnPhase::Prepare, Some(Stage::AwaitingSlot(_))) => {
                self.find_destination(turn.request, Stage::Preparing);
            }
            (TurnPhase::Prepare, Some(Stage::Reserved(..))) => self.ask_again(turn.request),
            (TurnPhase::Return, Some(Stage::Reserved(permit, _))) => {
                self.return_permit(permit);
                self.set_stage(turn.request, Stage::AwaitingSlot(self.now));
            }
            (_, Some(Stage::Backoff(_)) | None) => {
                let done =
                    TurnDone { request: turn.request, server: turn.server, ..TurnDone::default() };
                self.send(peer, Body::TurnDone(done));
            }
            // The slot was granted twice, or the message is late.
            _ => {}
        }
    }

    pub(crate) fn set_stage(&mut self, request: RequestId, stage: Stage) {
        if let Some(moving) = self.migration.moves.get_mut(&request) {
            moving.stage = stage;
        }
    }

    pub(crate) fn ask_again(&mut self, request: RequestId) {
        if let Some(moving) = self.migration.moves.get(&request).copied() {
            self.request_slot(request, moving.server, Some(moving));
        }
    }

    fn find_destination(&mut self, request: RequestId, stage: Stage) {
        let Some(running) = self.entry.running.get(&request) else { return };
        let Some(moving) = self.migration.moves.get_mut(&request) else { return };
        moving.stage = stage;
        moving.tries += 1;
        let (server, tries, failed) = (moving.server, moving.tries, moving.failed);
        let spec = RequestSpec {
            request: request + PERMIT_ID_STRIDE * u64::from(tries),
            prompt: running.spec.prompt + running.tokens,
            max_tokens: running.spec.max_tokens.saturating_sub(running.tokens),
            rank: 0,
            prefix: 0,
            prefix_tokens: 0,
            deadline: self.now + PERMIT_TIMEOUT_MS,
            ..running.spec.clone()
        };
        let planned = moving.planned;
        let mut excluded: Vec<Id> = [Some(server), failed].into_iter().flatten().collect();
        if planned {
            excluded.extend(self.poor_destinations(spec.target, server, tries));
        }
        self.place_move(request, spec, server, excluded);
    }

    /// Starts the copy after a destination has granted a permit, or requests the copy slot if it is not granted yet.
    pub(crate) fn move_permitted(&mut self, request: RequestId, permit: RequestId, server: Id) {
        match self.migration.moves.get(&request).map(|m| m.stage) {
            Some(Stage::Preparing) => {
                self.set_stage(request, Stage::Reserved(permit, self.now));
                self.ask_again(request);
            }
            Some(_) => self.start_copy(request, permit, server),
            None => self.abandon(permit),
        }
    }

    pub(crate) fn start_copy(&mut self, request: RequestId, permit: RequestId, server: Id) {
        self.set_stage(request, Stage::Copying(permit, self.now));
        self.effects.push(Effect::Move { request, permit, server });
        if let Some(moving) = self.migration.moves.get(&request).copied() {
            self.report_fate(request, moving.server, Fate::CopyStarted);
        }
    }

    /// Schedules another attempt after no destination has granted a permit.
    pub(crate) fn move_refused(&mut self, request: RequestId) {
        let due = self.now + MOVE_RETRY_MS;
        let Some(moving) = self.migration.moves.get_mut(&request) else { return };
        moving.stage = Stage::Backoff(due);
        let server = moving.server;
        self.release_slot(request, server);
    }

    /// Releases the slot once the memory is copied, so that the next copy starts during the hand-over.
    pub(crate) fn move_copied(&mut self, request: RequestId) {
        let Some(moving) = self.migration.moves.get(&request).copied() else { return };
        let mut done = TurnDone { request, server: moving.server, ..TurnDone::default() };
        if let (true, Stage::Copying(_, since)) = (moving.planned, moving.stage)
            && let Some(running) = self.entry.running.get(&request)
        {
            done.copied_ms = Some(self.now.saturating_sub(since) as u32);
            done.copied = Some(running.spec.prompt.saturating_add(running.tokens));
        }
        self.send(self.owner_of(moving.server), Body::TurnDone(done));
    }

    pub(crate) fn release_slot(&mut self, request: RequestId, server: Id) {
        let owner = self.owner_of(server);
        self.send(owner, Body::TurnDone(TurnDone { request, server, ..TurnDone::default() }));
    }

    /// Removes a slot request or a granted slot, and grants the slot to the next in the queue.
    pub(crate) fn receive_slot_release(&mut self, peer: Id, done: &TurnDone) {
        let Some(queue) = self.migration.slot_queues.get_mut(&done.server) else { return };
        let crosses = queue.remove(peer, done.request);
        if let (Some(crosses), Some(took_ms), Some(tokens)) = (crosses, done.copied_ms, done.copied)
        {
            self.migration.rates.observe(done.server, crosses, took_ms, tokens, self.now);
        }
        self.grant_slot(done.server);
    }

    /// Handles the end of a migration. If it succeeded, the generation continues at the destination under
    /// the request id of its permit.
    pub(crate) fn move_ended(&mut self, request: RequestId, permit: RequestId, moved: bool) {
        let now = self.now;
        let Some(moving) = self.migration.moves.get_mut(&request) else {
            self.abandon(permit);
            return;
        };
        let server = moving.server;
        moving.stage = Stage::Backoff(now + MOVE_RETRY_MS);
        moving.failed = self.entry.running.get(&permit).map(|r| r.server);
        self.release_slot(request, server);
        self.report_fate(request, server, if moved { Fate::CopyUsed } else { Fate::CopyUnused });
        if !moved {
            self.abandon(permit);
            return;
        }
        self.migration.moves.remove(&request);
        let Some(previous) = self.entry.running.get(&request).cloned() else { return };
        let allowance = self.allowance();
        self.budget.record_move(previous.spec.target, now, allowance);
        self.release_permit(request);
        if let Some(running) = self.entry.running.get_mut(&permit) {
            // Restore the full prompt and output size, in case the generation is migrated again.
            let spec = RequestSpec { request: permit, ..previous.spec };
            running.spec = spec;
            running.tokens = previous.tokens;
            running.began = previous.began;
            running.first_token = previous.first_token;
            running.last_token = previous.last_token;
            running.survived = previous.survived;
            running.reported_tokens = previous.tokens;
            running.started_on = previous.started_on;
            running.attempts = previous.attempts;
            // Tell the owner of the destination that the copy is complete.
            let (owner, server, tokens) = (running.owner, running.server, running.tokens.max(1));
            let progress = Progress { request: permit, server, tokens, slowness: None };
            self.send(owner, Body::Progress(progress));
        }
        self.start_move(permit);
    }

    /// Cancels the migration of a request that ended, and learns from its end.
    pub(crate) fn forget_move(&mut self, request: RequestId, running: &Running, end: &End) {
        let moving = self.migration.moves.remove(&request);
        self.learn_end(request, running, end, moving);
        let Some(moving) = moving else { return };
        self.release_slot(request, moving.server);
        self.cancel_search(request);
        match moving.stage {
            Stage::Copying(permit, _) => self.abandon(permit),
            Stage::Reserved(permit, _) => self.return_permit(permit),
            _ => {}
        }
    }

    pub(crate) fn cancel_search(&mut self, request: RequestId) {
        let pending = |p: &Pending| p.move_source.is_some_and(|(r, _)| r == request);
        let requested = self.entry.pending.iter().find(|(_, p)| pending(p)).map(|(r, _)| *r);
        if let Some(permit) = requested {
            self.abandon(permit);
        }
    }

    /// Repeats migrations and slot requests, reclaims expired slots, and clears old leaving marks.
    pub(crate) fn tick_moves(&mut self) {
        let now = self.now;
        let mut due = Vec::new();
        let mut unanswered = Vec::new();
        for (request, moving) in self.migration.moves.iter() {
            match moving.stage {
                Stage::Backoff(at) if at <= now => due.push((*request, *moving)),
                Stage::AwaitingSlot(since) | Stage::Reserved(_, since)
                    if since + SLOT_RETRY_MS <= now =>
                {
                    unanswered.push((*request, *moving));
                }
                _ => {}
            }
        }
        for (request, moving) in due {
            if moving.tries < MAX_TRIES {
                self.request_slot(request, moving.server, Some(moving));
            }
        }
        for (request, moving) in unanswered {
            self.request_slot(request, moving.server, Some(moving));
        }
        let servers: Vec<Id> = self.migration.slot_queues.keys().copied().collect();
        for server in servers {
            self.grant_slot(server);
        }
        self.migration.leaving.retain(|_, since| now < *since + LEAVING_RETENTION_MS);
        self.migration.departing.retain(|_, d| now < d.since + LEAVING_RETENTION_MS);
    }
}
