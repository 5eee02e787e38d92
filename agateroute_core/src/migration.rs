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
use crate::event::{RequestId, Ticket};
use crate::id::{Id, Millis};
use crate::state::State;

/// How long a turn lasts at most, in milliseconds: a copy of the largest generation between zones.
const TURN_MS: Millis = 900;
/// The pause after which a turn is asked for again, in milliseconds: the owner of the server may be another
/// one by then, or the ask may have been lost with a stream. A long queue is no reason to go ahead without a
/// turn: copies on one link then keep each other from ending in time.
const ASK_AGAIN_MS: Millis = 300;
/// How long a destination may take to permit, in milliseconds.
const PERMIT_MS: Millis = 400;
/// The pause before a move that found no destination is tried again, in milliseconds: a tick, so that
/// others have their turn first.
const AGAIN_MS: Millis = 25;
/// How often one generation is tried to be moved away from one server.
const TRIES_MOST: u32 = 6;
/// Sets the ids under which destinations are permitted apart from those of requests.
const PERMIT_STRIDE: RequestId = 1 << 48;
/// How long a generation may go on at a server that leaves and still end in time, in milliseconds. It
/// is the shortest notice that servers are known to give, less the time of a late list.
const STAY_MS: u64 = 1_000;
/// How long a token takes at most on a busy engine, in milliseconds.
const TOKEN_MS: u64 = 12;
/// How long news that a server leaves outweigh a document that still declares it, in milliseconds.
const RETURN_MS: Millis = 3_000;
/// How much more a token of output counts than one of a prompt: it takes a step of its own.
const OUTPUT_WEIGHT: u64 = 10;
/// How long a server counts as leaving after it was last said to, in milliseconds.
const LEAVING_MS: Millis = 60_000;

value! {
    /// How far a move is.
    pub enum Stage {
        /// It waits for its turn since a moment.
        Turn(Millis),
        /// It has its turn and waits for a destination.
        Destination,
        /// The copy is made under a permit.
        Copy(RequestId),
        /// It found no destination and is tried again at a moment.
        Again(Millis),
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

    struct Waiting {
        peer: Id,
        request: RequestId,
        worth: u32,
    }
}

/// The turns of one server.
#[derive(Clone, Debug, Default, PartialEq)]
struct Turns {
    waiting: Vec<Waiting>,
    active: Option<(Id, RequestId, Millis)>,
}

/// The generations that move, and the turns that this instance gives.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Migration {
    /// The generations of this instance that move.
    pub moves: Table<RequestId, Move>,
    turns: Table<Id, Turns>,
    leaving: Table<Id, Millis>,
}

impl Migration {
    /// Forgets that servers were leaving which are declared again: a restarted one may have the name that
    /// it had.
    pub(crate) fn returned(&mut self, now: Millis, declared: impl Fn(Id) -> bool) {
        self.leaving.retain(|server, since| now < *since + RETURN_MS || !declared(*server));
    }
}

/// What is lost if a generation is cut, for each part of the time that its copy takes: what was read for
/// it and what it may produce, against what it holds in memory. In thousandths.
fn worth(ticket: &Ticket, tokens: u32) -> u32 {
    let lost = u64::from(ticket.prompt) + u64::from(ticket.most) * OUTPUT_WEIGHT;
    let held = u64::from(ticket.prompt) + u64::from(tokens);
    (lost * 1_000 / held.max(1)).min(u64::from(u32::MAX)) as u32
}

/// Whether a generation surely ends before its server is gone. A caller's guess says nothing here: what
/// has outlived it goes on for long, and what has not may still do so.
fn ends_in_time(ticket: &Ticket, tokens: u32) -> bool {
    ticket.most > 0 && u64::from(ticket.most.saturating_sub(tokens)) * TOKEN_MS < STAY_MS
}

impl State {
    /// Begins to move away what this instance runs on a server that leaves.
    pub(crate) fn move_all(&mut self, server: Id) {
        self.migration.leaving.insert(server, self.now);
        let running = self.entry.running.iter().filter(|(_, r)| r.server == server);
        let mut here: Vec<(u32, RequestId)> =
            running.map(|(request, r)| (worth(&r.ticket, r.tokens), *request)).collect();
        here.sort_unstable_by(|a, b| b.cmp(a));
        for (_, request) in here {
            self.move_begun(request);
        }
    }

    /// Begins to move a generation away, if its server leaves and it has memory to copy.
    pub(crate) fn move_begun(&mut self, request: RequestId) {
        let Some(running) = self.entry.running.get(&request) else { return };
        let server = running.server;
        let wanted = running.ticket.movable
            && running.tokens > 0
            && self.migration.leaving.contains(&server)
            && !self.migration.moves.contains(&request)
            && !ends_in_time(&running.ticket, running.tokens);
        if wanted {
            self.ask_turn(request, server, None);
        }
    }

    fn ask_turn(&mut self, request: RequestId, server: Id, former: Option<Move>) {
        let Some(running) = self.entry.running.get(&request) else { return };
        let worth = worth(&running.ticket, running.tokens);
        let stage = Stage::Turn(self.now);
        let (tries, failed) = former.map_or((0, None), |m| (m.tries, m.failed));
        self.migration.moves.insert(request, Move { server, stage, tries, failed });
        let owner = self.owner_of(server);
        self.send(owner, Body::TurnAsk(TurnAsk { request, server, worth }));
    }

    /// Queues an ask for a turn.
    pub(crate) fn receive_turn_ask(&mut self, peer: Id, ask: &TurnAsk) {
        let turns = self.migration.turns.entry(ask.server, Turns::default);
        let known = turns.waiting.iter().any(|w| (w.peer, w.request) == (peer, ask.request));
        let active = turns.active.is_some_and(|(p, r, _)| (p, r) == (peer, ask.request));
        if active {
            // The turn was lost on its way, or has crossed the ask.
            let turn = Turn { request: ask.request, server: ask.server };
            self.send(peer, Body::Turn(turn));
            return;
        }
        if !known {
            let waiting = Waiting { peer, request: ask.request, worth: ask.worth };
            turns.waiting.push(waiting);
        }
        self.next_turn(ask.server);
    }

    fn next_turn(&mut self, server: Id) {
        let now = self.now;
        let Some(turns) = self.migration.turns.get_mut(&server) else { return };
        if turns.active.is_some_and(|(_, _, since)| now < since + TURN_MS) {
            return;
        }
        turns.active = None;
        let best = turns.waiting.iter().enumerate().max_by_key(|(_, w)| w.worth);
        let Some((at, _)) = best else {
            self.migration.turns.remove(&server);
            return;
        };
        let next = turns.waiting.remove(at);
        turns.active = Some((next.peer, next.request, now));
        self.send(next.peer, Body::Turn(Turn { request: next.request, server }));
    }

    /// Takes a turn: asks for a destination.
    pub(crate) fn receive_turn(&mut self, peer: Id, turn: &Turn) {
        let moving = self.migration.moves.get(&turn.request).filter(|m| m.server == turn.server);
        match moving.map(|m| m.stage) {
            Some(Stage::Turn(_)) => self.find_destination(turn.request),
            // The turn was given twice.
            Some(Stage::Destination | Stage::Copy(_)) => {}
            Some(Stage::Again(_)) | None => {
                let done = TurnDone { request: turn.request, server: turn.server };
                self.send(peer, Body::TurnDone(done));
            }
        }
    }

    fn find_destination(&mut self, request: RequestId) {
        let Some(running) = self.entry.running.get(&request) else { return };
        let Some(moving) = self.migration.moves.get_mut(&request) else { return };
        moving.stage = Stage::Destination;
        moving.tries += 1;
        let (server, tries, failed) = (moving.server, moving.tries, moving.failed);
        let ticket = Ticket {
            request: request + PERMIT_STRIDE * u64::from(tries),
            prompt: running.ticket.prompt + running.tokens,
            most: running.ticket.most.saturating_sub(running.tokens),
            rank: 0,
            prefix: 0,
            shared: 0,
            deadline: self.now + PERMIT_MS,
            ..running.ticket.clone()
        };
        let avoided = [Some(server), failed].into_iter().flatten().collect();
        self.place_move(request, ticket, server, avoided);
    }

    /// A destination is permitted.
    pub(crate) fn move_permitted(&mut self, request: RequestId, permit: RequestId, server: Id) {
        match self.migration.moves.get_mut(&request) {
            Some(moving) => {
                moving.stage = Stage::Copy(permit);
                self.effects.push(Effect::Move { request, permit, server });
            }
            None => self.abandon(permit),
        }
    }

    /// No destination permits.
    pub(crate) fn move_refused(&mut self, request: RequestId) {
        let again = self.now + AGAIN_MS;
        let Some(moving) = self.migration.moves.get_mut(&request) else { return };
        moving.stage = Stage::Again(again);
        let server = moving.server;
        self.give_turn_back(request, server);
    }

    /// A copy is made, so the next one can begin while this generation goes on elsewhere.
    pub(crate) fn move_copied(&mut self, request: RequestId) {
        if let Some(moving) = self.migration.moves.get(&request) {
            self.give_turn_back(request, moving.server);
        }
    }

    fn give_turn_back(&mut self, request: RequestId, server: Id) {
        let owner = self.owner_of(server);
        self.send(owner, Body::TurnDone(TurnDone { request, server }));
    }

    /// Gives the turn to the next.
    pub(crate) fn receive_turn_done(&mut self, peer: Id, done: &TurnDone) {
        let Some(turns) = self.migration.turns.get_mut(&done.server) else { return };
        turns.waiting.retain(|w| (w.peer, w.request) != (peer, done.request));
        if turns.active.is_some_and(|(p, r, _)| (p, r) == (peer, done.request)) {
            turns.active = None;
        }
        self.next_turn(done.server);
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
        moving.stage = Stage::Again(now + AGAIN_MS);
        moving.failed = self.entry.running.get(&permit).map(|r| r.server);
        self.give_turn_back(request, server);
        if !moved {
            self.abandon(permit);
            return;
        }
        self.migration.moves.remove(&request);
        let Some(former) = self.entry.running.get(&request).cloned() else { return };
        let allowance = self.allowance();
        self.budget.record_move(former.ticket.target, now, allowance);
        self.entry_release(request);
        if let Some(running) = self.entry.running.get_mut(&permit) {
            // The ticket tells the whole size again, in case it moves once more.
            let ticket = Ticket { request: permit, ..former.ticket };
            running.ticket = ticket;
            running.tokens = former.tokens;
            running.reported = former.tokens;
            running.begun = former.begun;
            running.attempts = former.attempts;
            // The owner of the destination learns that the copy is over.
            let (owner, server, tokens) = (running.owner, running.server, running.tokens.max(1));
            let progress = Progress { request: permit, server, tokens };
            self.send(owner, Body::Progress(progress));
        }
        self.move_begun(permit);
    }

    /// Forgets the move of a request that ended.
    pub(crate) fn forget_move(&mut self, request: RequestId) {
        let Some(moving) = self.migration.moves.remove(&request) else { return };
        self.give_turn_back(request, moving.server);
        let pending = |p: &crate::entry::Pending| p.moves.is_some_and(|(r, _)| r == request);
        let asked = self.entry.pending.iter().find(|(_, p)| pending(p)).map(|(r, _)| *r);
        if let Some(permit) = asked {
            self.abandon(permit);
        }
        if let Stage::Copy(permit) = moving.stage {
            self.abandon(permit);
        }
    }

    /// Tries moves again, gives turns whose holders are silent to others, and forgets servers that left.
    pub(crate) fn tick_moves(&mut self) {
        let now = self.now;
        let mut again = Vec::new();
        let mut unheard = Vec::new();
        for (request, moving) in self.migration.moves.iter() {
            match moving.stage {
                Stage::Again(at) if at <= now => again.push((*request, *moving)),
                Stage::Turn(since) if since + ASK_AGAIN_MS <= now => {
                    unheard.push((*request, *moving));
                }
                _ => {}
            }
        }
        for (request, moving) in again {
            if moving.tries < TRIES_MOST {
                self.ask_turn(request, moving.server, Some(moving));
            }
        }
        for (request, moving) in unheard {
            self.ask_turn(request, moving.server, Some(moving));
        }
        let servers: Vec<Id> = self.migration.turns.keys().copied().collect();
        for server in servers {
            self.next_turn(server);
        }
        self.migration.leaving.retain(|_, since| now < *since + LEAVING_MS);
    }
}
