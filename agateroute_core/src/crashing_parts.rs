//! Parts of prompts that crash every backend server which begins to answer them.
//!
//! Requests with such a part may have nothing else in common, so counting crashes by request does not find it. A part
//! is blocked when servers crashed one after the other as they began to answer requests with it, when no answer on it
//! went on since, and when other answers did. See `docs/DESIGN.md`, "Parts of prompts that crash servers".

use agateroute_proto::peers::{
    CrashedPart, PartBlock, PartCrash, PartSurvived, Suspect, message::Body,
};

use crate::Table;
use crate::effect::Effect;
use crate::entry::Running;
use crate::event::{RequestId, RequestSpec};
use crate::id::{Id, Millis};
use crate::state::State;
use crate::suspect::SuspectStatus;

/// An answer that has been under way for this long, in milliseconds, did not crash its server as it began.
const SURVIVAL_MS: Millis = 600;
/// Reports of a crash of the same server that are closer together are of the same crash, in milliseconds.
const SAME_CRASH_MS: Millis = 1_000;
/// The weight of a crash of a server that had just begun the answer.
const BEGAN_POINTS: u32 = 2;
/// The weight of a crash while the request waited on the server, which may be the fault of another request.
const WAITED_POINTS: u32 = 1;
/// A part is blocked at this weight: after three crashes of servers that had just begun to answer.
const BLOCK_POINTS: u32 = 6;
/// The same for a part on which an answer went on before: it may only accompany the part that crashes servers.
const PROVEN_BLOCK_POINTS: u32 = 10;
/// How long after the first crash a part with a proof is blocked at the earliest, in milliseconds. If many servers fail
/// at once, answers on the others have shown by then that the part is not the cause.
const PROVEN_DELAY_MS: Millis = 2_500;
/// The points that crashes must add after a block before another part is blocked: the crashes before are explained, until
/// they go on.
const FRESH_POINTS: u32 = 4;
/// An answer that went on this long before a part was blocked, in milliseconds, may not have been known there yet.
const PROOF_SLACK_MS: Millis = 1_000;
/// The maximum number of parts of a prompt that are counted.
const MAX_PARTS: usize = 32;
/// How long an answer that went on counts for its parts, in milliseconds.
const PROOF_MS: Millis = 300_000;
/// How long after the last answer that went on a part without a proof may be blocked, in milliseconds. If no answer goes
/// on, whatever was asked, a part is not the cause.
const ALIVE_MS: Millis = 5_000;
/// How long crashes count, in milliseconds.
const EVIDENCE_MS: Millis = 3_600_000;
/// How long a part is blocked, in milliseconds. Afterwards it takes as many crashes to block it again.
const BLOCK_MS: Millis = 600_000;
/// The maximum numbers of parts with crashes, with proofs and blocked, so that callers can not fill the memory.
const MAX_RECORDS: usize = 1_024;
const MAX_PROOFS: usize = 4_096;
const MAX_BLOCKS: usize = 1_024;
/// The maximum number of crashes that are kept for a part.
const MAX_CRASHES: usize = 16;

value! {
    struct Crash {
        server: Id,
        at: Millis,
        points: u32,
    }
}

record! {
    /// The crashes of servers that had requests with one part.
    struct Record {
        crashes: Vec<Crash>,
        first_at: Millis,
        /// The position of the part in the prompt.
        depth: usize,
        /// Whether an answer on the part went on before the first crash.
        proven: bool,
        /// Whether an answer without the part went on after the first crash.
        others_alive: bool,
        /// When another part was last blocked, which explains the crashes before.
        explained_at: Option<Millis>,
    }

    struct Block {
        until: Millis,
        /// The crashes that speak against the part.
        crashes: Vec<Crash>,
    }
}

impl Crash {
    fn is_same(&self, other: &Crash) -> bool {
        self.server == other.server && self.at.abs_diff(other.at) < SAME_CRASH_MS
    }
}

impl Record {
    fn add(&mut self, crash: Crash) {
        match self.crashes.iter().rposition(|c| c.is_same(&crash)) {
            Some(at) => self.crashes[at].points = self.crashes[at].points.max(crash.points),
            None => {
                if self.crashes.len() >= MAX_CRASHES {
                    self.crashes.remove(0);
                }
                self.crashes.push(crash);
            }
        }
    }

    fn points(&self) -> u32 {
        self.crashes.iter().map(|c| c.points).sum()
    }

    /// The points of the crashes that no other blocked part explains.
    fn fresh_points(&self) -> u32 {
        let fresh = self.crashes.iter().filter(|c| self.explained_at.is_none_or(|at| c.at > at));
        fresh.map(|c| c.points).sum()
    }
}

/// What is known about parts of prompts and crashes, by the identifier of the part.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CrashingParts {
    records: Table<Id, Record>,
    /// When an answer on a part last went on.
    proofs: Table<Id, Millis>,
    /// The blocked parts.
    blocks: Table<Id, Block>,
    /// When any answer last went on.
    alive_at: Option<Millis>,
}

impl CrashingParts {
    /// Whether any of these parts is blocked.
    pub fn is_blocked(&self, parts: &[Id], now: Millis) -> bool {
        self.blocked_for(parts, now).is_some()
    }

    /// How long a request with these parts stays blocked, in milliseconds; `None` if none of them is.
    pub fn blocked_for(&self, parts: &[Id], now: Millis) -> Option<Millis> {
        let left = |part| self.blocks.get(part)?.until.checked_sub(now).filter(|left| *left > 0);
        parts.iter().filter_map(left).max()
    }

    /// The blocked parts, each with the time for which it stays blocked, in milliseconds.
    pub fn blocked(&self, now: Millis) -> impl Iterator<Item = (Id, Millis)> {
        let left = move |(part, block): (&Id, &Block)| Some((*part, block.until.checked_sub(now)?));
        self.blocks.iter().filter_map(left).filter(|(_, left_ms)| *left_ms > 0)
    }

    /// Blocks a part for a time in milliseconds, or lifts its block with 0. Returns whether that is a change.
    pub fn set_block(&mut self, part: Id, left_ms: Millis, now: Millis) -> bool {
        let known = self.is_blocked(&[part], now);
        if left_ms == 0 {
            self.blocks.remove(&part);
            return known;
        }
        if self.blocks.len() >= MAX_BLOCKS {
            self.blocks.retain(|_, b| b.until > now);
        }
        if known || self.blocks.len() >= MAX_BLOCKS {
            return false;
        }
        let crashes = self.records.remove(&part).map(|r| r.crashes).unwrap_or_default();
        self.blocks.insert(part, Block { until: now + left_ms.min(BLOCK_MS), crashes });
        self.records.iter_mut().for_each(|(_, r)| r.explained_at = Some(now));
        true
    }

    /// Returns the blocked parts that were only beside this one: all their crashes are among its own.
    fn companions(&self, part: Id) -> Vec<Id> {
        let Some(block) = self.blocks.get(&part) else { return Vec::new() };
        let explained = |b: &Block| {
            !b.crashes.is_empty()
                && b.crashes.len() < block.crashes.len()
                && b.crashes.iter().all(|c| block.crashes.iter().any(|own| own.is_same(c)))
        };
        let found = self.blocks.iter().filter(|(p, b)| **p != part && explained(b));
        found.map(|(p, _)| *p).collect()
    }

    /// Whether an answer on a part went on after it was blocked, or shortly before.
    fn is_refuted(&self, part: Id, left_ms: Millis, now: Millis) -> bool {
        let blocked_at = (now + left_ms.min(BLOCK_MS)).saturating_sub(BLOCK_MS);
        self.proofs.get(&part).is_some_and(|at| at + PROOF_SLACK_MS >= blocked_at)
    }

    /// Whether an answer on a part went on lately.
    fn is_proven(&self, part: Id, now: Millis) -> bool {
        self.proofs.get(&part).is_some_and(|at| now < at + PROOF_MS)
    }

    /// Counts the crash of a server for the parts of a request, in the order of the prompt, each with whether it is
    /// proven. `began` says whether the server had begun the answer.
    fn count_crash(
        &mut self,
        server: Id,
        parts: impl Iterator<Item = (Id, bool)>,
        began: bool,
        now: Millis,
    ) {
        let points = if began { BEGAN_POINTS } else { WAITED_POINTS };
        self.records.retain(|_, r| now < r.first_at + EVIDENCE_MS);
        for (depth, (part, proven)) in parts.take(MAX_PARTS).enumerate() {
            if self.records.len() >= MAX_RECORDS && !self.records.contains(&part) {
                let weakest = self.records.iter().min_by_key(|(_, r)| (r.points(), r.first_at));
                if let Some(weakest) = weakest.map(|(part, _)| *part) {
                    self.records.remove(&weakest);
                }
            }
            let proven = proven || self.is_proven(part, now);
            let record = self.records.entry(part, || Record {
                crashes: Vec::new(),
                first_at: now,
                depth,
                proven: false,
                others_alive: false,
                explained_at: None,
            });
            record.proven |= proven;
            record.add(Crash { server, at: now, points });
        }
    }

    /// Records that an answer that began at `began_at` goes on. Returns the parts that this clears of a suspicion.
    fn record_survival(&mut self, parts: &[Id], began_at: Millis, now: Millis) -> Vec<Id> {
        self.record_proofs(parts, now);
        let cleared = |part: &&Id| {
            self.records.get(part).is_some_and(|r| r.first_at <= began_at)
                || self.is_blocked(&[**part], now)
        };
        parts.iter().filter(cleared).copied().collect()
    }

    fn record_proofs(&mut self, parts: &[Id], now: Millis) {
        for part in parts.iter().take(MAX_PARTS) {
            if self.proofs.len() >= MAX_PROOFS {
                self.proofs.retain(|_, at| now < *at + PROOF_MS);
            }
            if self.proofs.len() < MAX_PROOFS || self.proofs.contains(part) {
                self.proofs.insert(*part, now);
            }
        }
    }

    /// Records that an answer with these parts goes on, so that the servers do not all fail.
    fn record_alive(&mut self, parts: &[Id], now: Millis) {
        self.alive_at = Some(now);
        for (part, record) in self.records.iter_mut() {
            record.others_alive |= !parts.contains(part);
        }
    }

    /// Drops what speaks against a part.
    fn clear(&mut self, part: Id) {
        self.records.remove(&part);
    }

    /// Returns the part that is to be blocked, if there is one. Of several, the one without a proof, with the most
    /// crashes, and the most specific is taken: blocking it concerns the fewest requests.
    fn culprit(&self, now: Millis) -> Option<Id> {
        let alive = self.alive_at.is_some_and(|at| now < at + ALIVE_MS);
        let is_fresh = |r: &Record| r.fresh_points() >= FRESH_POINTS;
        let convicted = |r: &Record| match r.proven {
            true => {
                let in_time = now >= r.first_at + PROVEN_DELAY_MS;
                in_time && r.others_alive && r.points() >= PROVEN_BLOCK_POINTS
            }
            false => alive && r.points() >= BLOCK_POINTS,
        };
        let found = self.records.iter().filter(|(_, r)| is_fresh(r) && convicted(r));
        found.max_by_key(|(_, r)| (!r.proven, r.points(), r.depth)).map(|(part, _)| *part)
    }
}

impl State {
    pub(crate) fn count_crash(&mut self, spec: &RequestSpec) {
        let fingerprint = spec.fingerprint;
        let crashes = self.suspects.record_crash(fingerprint, self.now);
        self.broadcast_suspect(fingerprint, crashes);
        self.refuse_quarantined(fingerprint);
    }

    pub(crate) fn update_suspect(&mut self, fingerprint: u64, crashes: u32) {
        self.suspects.update(fingerprint, crashes, self.now);
        self.refuse_quarantined(fingerprint);
    }

    /// Refuses the requests with a fingerprint that wait for a permit, once it is quarantined.
    fn refuse_quarantined(&mut self, fingerprint: u64) {
        let status = self.suspects.status(fingerprint, self.now, self.catalog.routing());
        if status == SuspectStatus::Quarantined {
            self.refuse_waiting(0, |p| p.spec.fingerprint == fingerprint);
        }
    }

    pub(crate) fn clear_suspect(&mut self, spec: &RequestSpec) {
        if self.suspects.crashes(spec.fingerprint, self.now) > 0 {
            self.suspects.update(spec.fingerprint, 0, self.now);
            self.broadcast_suspect(spec.fingerprint, 0);
        }
    }

    fn broadcast_suspect(&mut self, fingerprint: u64, crashes: u32) {
        self.broadcast(&Body::Suspect(Suspect { fingerprint, crashes }));
        self.effects.push(Effect::StoreSuspect { fingerprint, crashes });
    }

    /// Stores the suspect requests and blocked parts again whose owner this instance is. All instances know them, so each
    /// is written once.
    pub(crate) fn store_suspects_again(&mut self) {
        let owns = |key| self.owner_of(key) == self.membership.me;
        let own: Vec<(u64, u32)> = self.suspects.iter().filter(|(f, _)| owns(*f)).collect();
        let blocked = self.parts.blocked(self.now).filter(|(part, _)| owns(*part));
        let blocked: Vec<(Id, Millis)> = blocked.collect();
        for (fingerprint, crashes) in own {
            self.effects.push(Effect::StoreSuspect { fingerprint, crashes });
        }
        for (part, left_ms) in blocked {
            self.effects.push(Effect::PartBlocked { part, left_ms, decided: true });
        }
    }

    pub(crate) fn answer_began(&mut self, request: RequestId) {
        if let Some(running) = self.entry.running.get_mut(&request) {
            running.began = true;
        }
    }

    /// Records that the answer to a request goes on, once it has done so for long enough to say something of its prompt.
    pub(crate) fn check_survival(&mut self, request: RequestId) {
        let now = self.now;
        let Some(running) = self.entry.running.get_mut(&request) else { return };
        let began_at = *running.first_token.get_or_insert(now);
        running.last_token = now;
        if running.spec.parts.is_empty() || now < began_at + SURVIVAL_MS {
            return;
        }
        let parts = running.spec.parts.clone();
        if !std::mem::replace(&mut running.survived, true) {
            self.answer_survived(&parts, began_at);
        }
        self.parts.record_alive(&parts, now);
    }

    /// Counts the crash of a server for the parts of a request that was on it, unless the answer went on for some time.
    pub(crate) fn count_part_crash(&mut self, running: &Running) {
        let parts = &running.spec.parts;
        let went_on = |first| running.last_token >= first + SURVIVAL_MS;
        if parts.is_empty() || running.first_token.is_some_and(went_on) {
            return;
        }
        let now = self.now;
        let crashed =
            |part: &Id| CrashedPart { part: *part, proven: self.parts.is_proven(*part, now) };
        let parts = parts.iter().map(crashed).collect();
        let crash = PartCrash { server: running.server, parts, began: running.began };
        self.broadcast(&Body::PartCrash(crash.clone()));
        self.receive_part_crash(&crash);
        // Peers look at their next tick, so that one of them announces the block.
        self.block_culprit();
    }

    pub(crate) fn receive_part_crash(&mut self, crash: &PartCrash) {
        let parts = crash.parts.iter().map(|p| (p.part, p.proven));
        self.parts.count_crash(crash.server, parts, crash.began, self.now);
    }

    /// Records an answer that goes on: its parts crash nothing.
    pub(crate) fn answer_survived(&mut self, parts: &[Id], began_at: Millis) {
        let cleared = self.parts.record_survival(parts, began_at, self.now);
        if !cleared.is_empty() {
            self.broadcast(&Body::PartSurvived(PartSurvived { parts: cleared.clone() }));
            self.clear_parts(&cleared, true);
        }
        self.parts.record_alive(parts, self.now);
    }

    /// Drops what speaks against the parts of an answer that went on. `decided` says whether this instance saw it.
    pub(crate) fn clear_parts(&mut self, parts: &[Id], decided: bool) {
        self.parts.record_proofs(parts, self.now);
        for part in parts {
            self.parts.clear(*part);
            self.lift_block(*part, decided);
        }
        self.parts.record_alive(parts, self.now);
    }

    fn lift_block(&mut self, part: Id, decided: bool) {
        if self.parts.set_block(part, 0, self.now) {
            self.effects.push(Effect::PartBlocked { part, left_ms: 0, decided });
        }
    }

    /// Blocks the part that the crashes speak against, if there is one, and lifts the blocks of those that were only
    /// beside it.
    pub(crate) fn block_culprit(&mut self) {
        let Some(part) = self.parts.culprit(self.now) else { return };
        self.broadcast(&Body::PartBlock(PartBlock { part, left_ms: BLOCK_MS }));
        self.block_part(part, BLOCK_MS, true);
        for companion in self.parts.companions(part) {
            self.broadcast(&Body::PartBlock(PartBlock { part: companion, left_ms: 0 }));
            self.lift_block(companion, true);
        }
    }

    /// Handles the block of a part that a peer announced, or its end. A peer that has missed an answer on the part is told.
    pub(crate) fn receive_part_block(&mut self, peer: Id, block: &PartBlock) {
        let (part, left_ms) = (block.part, block.left_ms);
        if left_ms == 0 {
            self.lift_block(part, false);
        } else if self.parts.is_refuted(part, left_ms, self.now) {
            self.send(peer, Body::PartSurvived(PartSurvived { parts: vec![part] }));
        } else {
            self.block_part(part, left_ms, false);
        }
    }

    /// Blocks a part, and refuses the requests with it that wait for a permit. `decided` says whether this instance
    /// found it.
    pub(crate) fn block_part(&mut self, part: Id, left_ms: Millis, decided: bool) {
        if !self.parts.set_block(part, left_ms, self.now) {
            return;
        }
        self.effects.push(Effect::PartBlocked { part, left_ms, decided });
        self.refuse_waiting(left_ms, |p| p.spec.parts.contains(&part));
    }

    /// Sends all blocked parts to an instance that was linked.
    pub(crate) fn send_part_blocks(&mut self, peer: Id) {
        let blocked: Vec<(Id, Millis)> = self.parts.blocked(self.now).collect();
        for (part, left_ms) in blocked {
            self.send(peer, Body::PartBlock(PartBlock { part, left_ms }));
        }
    }
}
