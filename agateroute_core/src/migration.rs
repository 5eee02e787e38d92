//! Moves of running generations away from backend servers that leave.
//!
//! A generation that may not run twice is lost with its server, unless its memory is copied to another
//! one in time and it goes on there. Copies queue on the link of the server, and a generation pauses
//! while its last part is copied. So the instances that hold generations of one server take turns, which
//! the owner of the server gives, the most worth first; on its turn an instance gets a permit for a
//! destination and makes the copy. See `docs/DESIGN.md`, "Live migration".

use agateroute_proto::peers::message::Body;
use agateroute_proto::peers::{Progress, Turn, TurnAsk, TurnDone};

use crate::Table;
use crate::effect::Effect;
use crate::event::{RequestId, RequestSpec};
use crate::id::{Id, Millis};
use crate::state::State;

/// How long a turn lasts at most, in milliseconds: a copy of the largest generation between zones.
const SLOT_TIMEOUT_MS: Millis = 900;
/// The pause after which a turn is asked for again, in milliseconds: the owner of the server may be another
/// one by then, or the ask may have been lost with a stream. A long queue is no reason to go ahead without a
/// turn: copies on one link then keep each other from ending in time.
const SLOT_RETRY_MS: Millis = 300;
/// How long a destination may take to permit, in milliseconds.
const PERMIT_TIMEOUT_MS: Millis = 400;
/// The pause before a move that found no destination is tried again, in milliseconds: a tick, so that
/// others have their turn first.
const MOVE_RETRY_MS: Millis = 25;
/// How often one generation is tried to be moved away from one server.
const MAX_TRIES: u32 = 6;
/// Sets the ids under which destinations are permitted apart from those of requests.
const PERMIT_ID_STRIDE: RequestId = 1 << 48;
/// How long a generation may go on at a server that leaves and still end in time, in milliseconds. It
/// is the shortest notice that servers are known to give, less the time of a late list.
const MIN_NOTICE_MS: u64 = 1_000;
/// How long a token takes at most on a busy engine, in milliseconds.
const MAX_TOKEN_MS: u64 = 12;
/// How long news that a server leaves outweigh a document that still declares it, in milliseconds.
const NOTICE_TTL_MS: Millis = 3_000;
/// How much more a token of output counts than one of a prompt: it takes a step of its own.
const OUTPUT_WEIGHT: u64 = 10;
/// How long a server counts as leaving after it was last said to, in milliseconds.
const LEAVING_RETENTION_MS: Millis = 60_000;

value! {
    /// How far a move is.
    pub enum Stage {
        /// It waits for its turn since a moment.
        AwaitingSlot(Millis),
        /// It has its turn and waits for a destination.
        AwaitingPermit,
        /// The copy is made under a permit.
        Copying(RequestId),
        /// It found no destination and is tried again at a moment.
        Backoff(Millis),
    }

    /// A generation that moves.
    pub struct Move {
        /// The server that leaves.
        pub server: Id,
        /// How far it is.
        pub stage: Stage,
        /// How often it was tried.
        pub tries: u32,
        /// The destination that did not take it last.
        pub failed: Option<Id>,
    }

    struct SlotRequest {
        peer: Id,
        request: RequestId,
        priority: u32,
    }
}

/// The turns of one server.
#[derive(Clone, Debug, Default, PartialEq)]
struct SlotQueue {
    waiting: Vec<SlotRequest>,
    active: Option<(Id, RequestId, Millis)>,
}

/// The generations that move, and the turns that this instance gives.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Migration {
    /// The generations of this instance that move.
    pub moves: Table<RequestId, Move>,
    slot_queues: Table<Id, SlotQueue>,
    leaving: Table<Id, Millis>,
}

impl Migration {
    /// Forgets that servers were leaving which are declared again: a restarted one may have the name that
    /// it had.
    pub(crate) fn forget_returned(&mut self, now: Millis, declared: impl Fn(Id) -> bool) {
        self.leaving.retain(|server, since| now < *since + NOTICE_TTL_MS || !declared(*server));
    }
}

/// What is lost if a generation is cut, for each part of the time that its copy takes: what was read for
/// it and what it may produce, against what it holds in memory. In thousandths.
fn priority(spec: &RequestSpec, tokens: u32) -> u32 {
    let lost = u64::from(spec.prompt) + u64::from(spec.max_tokens) * OUTPUT_WEIGHT;
    let held = u64::from(spec.prompt) + u64::from(tokens);
    (lost * 1_000 / held.max(1)).min(u64::from(u32::MAX)) as u32
}

/// Whether a generation surely ends before its server is gone. A caller's guess says nothing here: what
/// has outlived it goes on for long, and what has not may still do so.
fn ends_in_time(spec: &RequestSpec, tokens: u32) -> bool {
    spec.max_tokens > 0
        && u64::from(spec.max_tokens.saturating_sub(tokens)) * MAX_TOKEN_MS < MIN_NOTICE_MS
}

impl State {
    /// Begins to move away what this instance runs on a server that leaves.
    pub(crate) fn move_all(&mut self, server: Id) {
        self.migration.leaving.insert(server, self.now);
        let running = self.entry.running.iter().filter(|(_, r)| r.server == server);
        let mut here: Vec<(u32, RequestId)> =
            running.map(|(request, r)| (priority(&r.spec, r.tokens), *request)).collect();
        here.sort_unstable_by(|a, b| b.cmp(a));
        for (_, request) in here {
            self.start_move(request);
        }
    }

    /// Begins to move a generation away, if its server leaves and it has memory to copy.
    pub(crate) fn start_move(&mut self, request: RequestId) {
        let Some(running) = self.entry.running.get(&request) else { return };
        let server = running.server;
        let wanted = running.spec.movable
            && running.tokens > 0
            && self.migration.leaving.contains(&server)
            && !self.migration.moves.contains(&request)
            && !ends_in_time(&running.spec, running.tokens);
        if wanted {
            self.request_slot(request, server, None);
        }
    }

    fn request_slot(&mut self, request: RequestId, server: Id, previous: Option<Move>) {
        let Some(running) = self.entry.running.get(&request) else { return };
        let priority = priority(&running.spec, running.tokens);
        let stage = Stage::AwaitingSlot(self.now);
        let (tries, failed) = previous.map_or((0, None), |m| (m.tries, m.failed));
        self.migration.moves.insert(request, Move { server, stage, tries, failed });
        let owner = self.owner_of(server);
        self.send(owner, Body::TurnAsk(TurnAsk { request, server, worth: priority }));
    }

    /// Queues an ask for a turn.
    pub(crate) fn receive_slot_request(&mut self, peer: Id, ask: &TurnAsk) {
        let queue = self.migration.slot_queues.entry(ask.server, SlotQueue::default);
        let known = queue.waiting.iter().any(|w| (w.peer, w.request) == (peer, ask.request));
        let active = queue.active.is_some_and(|(p, r, _)| (p, r) == (peer, ask.request));
        if active {
            // The turn was lost on its way, or has crossed the ask.
            let turn = Turn { request: ask.request, server: ask.server };
            self.send(peer, Body::Turn(turn));
            return;
        }
        if !known {
            let waiting = SlotRequest { peer, request: ask.request, priority: ask.worth };
            queue.waiting.push(waiting);
        }
        self.grant_slot(ask.server);
    }

    fn grant_slot(&mut self, server: Id) {
        let now = self.now;
        let Some(queue) = self.migration.slot_queues.get_mut(&server) else { return };
        if queue.active.is_some_and(|(_, _, since)| now < since + SLOT_TIMEOUT_MS) {
            return;
        }
        queue.active = None;
        let best = queue.waiting.iter().enumerate().max_by_key(|(_, w)| w.priority);
        let Some((at, _)) = best else {
            self.migration.slot_queues.remove(&server);
            return;
        };
        let next = queue.waiting.remove(at);
        queue.active = Some((next.peer, next.request, now));
        self.send(next.peer, Body::Turn(Turn { request: next.request, server }));
    }

    /// Takes a turn: asks for a destination.
    pub(crate) fn receive_slot(&mut self, peer: Id, turn: &Turn) {
        let moving = self.migration.moves.get(&turn.request).filter(|m| m.server == turn.server);
        match moving.map(|m| m.stage) {
            Some(Stage::AwaitingSlot(_)) => self.find_destination(turn.request),
            // The turn was given twice.
            Some(Stage::AwaitingPermit | Stage::Copying(_)) => {}
            Some(Stage::Backoff(_)) | None => {
                let done = TurnDone { request: turn.request, server: turn.server };
                self.send(peer, Body::TurnDone(done));
            }
        }
    }

    fn find_destination(&mut self, request: RequestId) {
        let Some(running) = self.entry.running.get(&request) else { return };
        let Some(moving) = self.migration.moves.get_mut(&request) else { return };
        moving.stage = Stage::AwaitingPermit;
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
        let avoided = [Some(server), failed].into_iter().flatten().collect();
        self.place_move(request, spec, server, avoided);
    }

    /// A destination is permitted.
    pub(crate) fn move_permitted(&mut self, request: RequestId, permit: RequestId, server: Id) {
        match self.migration.moves.get_mut(&request) {
            Some(moving) => {
                moving.stage = Stage::Copying(permit);
                self.effects.push(Effect::Move { request, permit, server });
            }
            None => self.abandon(permit),
        }
    }

    /// No destination permits.
    pub(crate) fn move_refused(&mut self, request: RequestId) {
        let due = self.now + MOVE_RETRY_MS;
        let Some(moving) = self.migration.moves.get_mut(&request) else { return };
        moving.stage = Stage::Backoff(due);
        let server = moving.server;
        self.release_slot(request, server);
    }

    /// A copy is made, so the next one can begin while this generation goes on elsewhere.
    pub(crate) fn move_copied(&mut self, request: RequestId) {
        if let Some(moving) = self.migration.moves.get(&request) {
            self.release_slot(request, moving.server);
        }
    }

    fn release_slot(&mut self, request: RequestId, server: Id) {
        let owner = self.owner_of(server);
        self.send(owner, Body::TurnDone(TurnDone { request, server }));
    }

    /// Gives the turn to the next.
    pub(crate) fn receive_slot_release(&mut self, peer: Id, done: &TurnDone) {
        let Some(queue) = self.migration.slot_queues.get_mut(&done.server) else { return };
        queue.waiting.retain(|w| (w.peer, w.request) != (peer, done.request));
        if queue.active.is_some_and(|(p, r, _)| (p, r) == (peer, done.request)) {
            queue.active = None;
        }
        self.grant_slot(done.server);
    }

    /// A copy came to an end. Where the generation goes on at the destination, it is held there from now
    /// on under the id of the permit.
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
            // The ticket tells the whole size again, in case it moves once more.
            let spec = RequestSpec { request: permit, ..previous.spec };
            running.spec = spec;
            running.tokens = previous.tokens;
            running.reported_tokens = previous.tokens;
            running.started_on = previous.started_on;
            running.attempts = previous.attempts;
            // The owner of the destination learns that the copy is over.
            let (owner, server, tokens) = (running.owner, running.server, running.tokens.max(1));
            let progress = Progress { request: permit, server, tokens };
            self.send(owner, Body::Progress(progress));
        }
        self.start_move(permit);
    }

    /// Forgets the move of a request that ended.
    pub(crate) fn forget_move(&mut self, request: RequestId) {
        let Some(moving) = self.migration.moves.remove(&request) else { return };
        self.release_slot(request, moving.server);
        let pending = |p: &crate::entry::Pending| p.move_source.is_some_and(|(r, _)| r == request);
        let asked = self.entry.pending.iter().find(|(_, p)| pending(p)).map(|(r, _)| *r);
        if let Some(permit) = asked {
            self.abandon(permit);
        }
        if let Stage::Copying(permit) = moving.stage {
            self.abandon(permit);
        }
    }

    /// Tries moves again, gives turns whose holders are silent to others, and forgets servers that left.
    pub(crate) fn tick_moves(&mut self) {
        let now = self.now;
        let mut due = Vec::new();
        let mut unanswered = Vec::new();
        for (request, moving) in self.migration.moves.iter() {
            match moving.stage {
                Stage::Backoff(at) if at <= now => due.push((*request, *moving)),
                Stage::AwaitingSlot(since) if since + SLOT_RETRY_MS <= now => {
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
    }
}
