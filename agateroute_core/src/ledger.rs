//! Claims of calls that may not be repeated.
//!
//! The entry instance sends a claim to the instance that batches the claims of its shard. That one
//! has one transaction in flight for a shard; all that arrives meanwhile goes into the next, so that
//! the number of writes does not grow with the load. Safety rests on the conditions of the writes
//! alone: two instances that both batch a shard only cost writes. See `docs/DESIGN.md`, "At most
//! once".

use agateroute_proto::peers::message::Body;
use agateroute_proto::peers::{Claim, ClaimOutcome, ClaimResult};

use crate::Table;
use crate::effect::Effect;
use crate::event::RequestId;
use crate::id::{Id, Millis, id};
use crate::rendezvous;
use crate::state::State;

/// The shards that claims are batched by.
pub const CLAIM_SHARDS: u64 = 16;
/// The most rows in one transaction.
pub const MAX_TRANSACTION_ROWS: usize = 50;
/// The pause after a transaction that failed, in milliseconds.
const RETRY_DELAY_MS: Millis = 100;
/// How long the instance that batches a shard may be silent before a claim is written without it, in
/// milliseconds; half of the time of the claim where that is less.
const MAX_DIRECT_WAIT_MS: Millis = 1_000;
/// The most claims that wait for one shard; more are answered as unavailable.
const MAX_QUEUED_CLAIMS: usize = 10_000;

record! {
    /// A claim that waits for its transaction.
    pub struct QueuedClaim {
        /// The instance that asked.
        pub peer: Id,
        /// The claim.
        pub claim: Claim,
        /// When the sender no longer waits.
        pub deadline: Millis,
    }

    /// The claims of one shard.
    pub struct Shard {
        /// Claims for the next transactions.
        pub queue: Vec<QueuedClaim>,
        /// Claims in the transaction in flight.
        pub in_flight: Vec<QueuedClaim>,
        /// When the next transaction may start.
        pub paused_until: Millis,
    }

    /// What came of one row of a transaction.
    pub struct RowResult {
        /// Whether its condition failed.
        pub failed: bool,
        /// The attempt and the record that stand in the row.
        pub current: Option<(String, String)>,
    }

    /// What came of a transaction.
    pub enum TransactionOutcome {
        /// All rows are written.
        Done,
        /// No row is written.
        Conflict(Vec<RowResult>),
        /// The service did not answer, or refused; the write may have taken effect.
        Failed,
    }

    /// A claim that this instance waits for.
    pub struct PendingClaim {
        /// The claim.
        pub claim: Claim,
        /// The instance that was asked.
        pub owner: Id,
        /// When this instance writes the claim itself, since the one that was asked does not answer.
        pub direct_at: Millis,
        /// When this instance gives up.
        pub deadline: Millis,
    }

    /// All claims of this instance, as a sender and as one that batches.
    #[derive(Default)]
    pub struct Ledger {
        /// The claims that this instance waits for.
        pub pending: Table<RequestId, PendingClaim>,
        /// The shards that this instance batches.
        pub shards: Table<u64, Shard>,
    }
}

/// The shard of a row.
pub fn shard_of(row: &str) -> u64 {
    id(row) % CLAIM_SHARDS
}

impl Shard {
    fn new() -> Shard {
        Shard { queue: Vec::new(), in_flight: Vec::new(), paused_until: 0 }
    }

    /// Takes the claims for the next transaction: in order, one for each row.
    fn next_batch(&mut self) -> Vec<Claim> {
        let mut later = Vec::new();
        for queued in std::mem::take(&mut self.queue) {
            let taken = self.in_flight.iter().any(|f| f.claim.row == queued.claim.row);
            if taken || self.in_flight.len() >= MAX_TRANSACTION_ROWS {
                later.push(queued);
            } else {
                self.in_flight.push(queued);
            }
        }
        self.queue = later;
        self.in_flight.iter().map(|f| f.claim.clone()).collect()
    }
}

impl State {
    /// The instance that batches a shard.
    fn shard_owner(&self, row: &str) -> Id {
        let duty = id("ledger").wrapping_add(shard_of(row));
        rendezvous::owner(duty, self.owners().iter().copied()).unwrap_or(self.membership.me)
    }

    /// Sends a claim of this instance to the one that batches its shard.
    pub(crate) fn submit_claim(&mut self, claim: Claim) {
        let owner = self.shard_owner(&claim.row);
        let deadline = self.now + u64::from(claim.wait_ms);
        let direct_at = self.now + (u64::from(claim.wait_ms) / 2).min(MAX_DIRECT_WAIT_MS);
        let pending = PendingClaim { claim: claim.clone(), owner, direct_at, deadline };
        self.ledger.pending.insert(claim.request, pending);
        self.send(owner, Body::Claim(claim));
    }

    /// Queues a claim for its shard.
    pub(crate) fn queue_claim(&mut self, peer: Id, claim: Claim) {
        let number = shard_of(&claim.row);
        let shard = self.ledger.shards.entry(number, Shard::new);
        let same = |q: &QueuedClaim| {
            q.peer == peer && q.claim.request == claim.request && q.claim.attempt == claim.attempt
        };
        if shard.queue.iter().chain(&shard.in_flight).any(same) {
            return;
        }
        if shard.queue.len() >= MAX_QUEUED_CLAIMS {
            self.answer_claim(peer, claim.request, ClaimOutcome::Unavailable, "");
            return;
        }
        let deadline = self.now + u64::from(claim.wait_ms);
        shard.queue.push(QueuedClaim { peer, claim, deadline });
        self.start_transaction(number);
    }

    fn start_transaction(&mut self, number: u64) {
        let now = self.now;
        let Some(shard) = self.ledger.shards.get_mut(&number) else { return };
        if !shard.in_flight.is_empty() || shard.paused_until > now || shard.queue.is_empty() {
            return;
        }
        let claims = shard.next_batch();
        self.effects.push(Effect::Transact { shard: number, claims });
    }

    /// Takes what came of a transaction, answers its claims, and starts the next one.
    pub(crate) fn transacted(&mut self, number: u64, outcome: TransactionOutcome) {
        let now = self.now;
        let Some(shard) = self.ledger.shards.get_mut(&number) else { return };
        let in_flight = std::mem::take(&mut shard.in_flight);
        match outcome {
            TransactionOutcome::Done => {
                for queued in in_flight {
                    let request = queued.claim.request;
                    self.answer_claim(queued.peer, request, ClaimOutcome::Won, "");
                }
            }
            TransactionOutcome::Conflict(rows) => self.resolve_conflict(number, in_flight, rows),
            TransactionOutcome::Failed => {
                shard.paused_until = now + RETRY_DELAY_MS;
                let queue = std::mem::take(&mut shard.queue);
                shard.queue = in_flight.into_iter().chain(queue).collect();
                self.expire_claims(number);
            }
        }
        self.start_transaction(number);
    }

    /// Answers the claims that lost their row, and those whose row already stands from an earlier
    /// try; the others go into the next transaction.
    fn resolve_conflict(&mut self, number: u64, in_flight: Vec<QueuedClaim>, rows: Vec<RowResult>) {
        let mut requeued = Vec::new();
        let results = rows.into_iter().map(Some).chain(std::iter::repeat(None));
        for (queued, row) in in_flight.into_iter().zip(results) {
            let Some(row) = row.filter(|r| r.failed) else {
                requeued.push(queued);
                continue;
            };
            let (attempt, record) = row.current.unwrap_or_default();
            let opened = attempt == queued.claim.attempt && !queued.claim.settle;
            let outcome = if opened { ClaimOutcome::Won } else { ClaimOutcome::Lost };
            self.answer_claim(queued.peer, queued.claim.request, outcome, &record);
        }
        if let Some(shard) = self.ledger.shards.get_mut(&number) {
            let queue = std::mem::take(&mut shard.queue);
            shard.queue = requeued.into_iter().chain(queue).collect();
        }
    }

    fn answer_claim(&mut self, peer: Id, request: RequestId, outcome: ClaimOutcome, record: &str) {
        let result = ClaimResult { request, outcome: outcome.into(), record: record.to_owned() };
        self.send(peer, Body::ClaimResult(result));
    }

    fn expire_claims(&mut self, number: u64) {
        let now = self.now;
        let Some(shard) = self.ledger.shards.get_mut(&number) else { return };
        let queue = std::mem::take(&mut shard.queue);
        let (expired, kept) = queue.into_iter().partition(|q: &QueuedClaim| q.deadline <= now);
        shard.queue = kept;
        for queued in expired {
            self.answer_claim(queued.peer, queued.claim.request, ClaimOutcome::Unavailable, "");
        }
    }

    /// Takes the result of a claim that this instance wanted.
    pub(crate) fn claim_result(&mut self, result: ClaimResult) {
        if self.ledger.pending.remove(&result.request).is_none() {
            return;
        }
        let outcome = result.outcome();
        let request = result.request;
        self.effects.push(Effect::Claimed { request, outcome, record: result.record });
    }

    /// Gives up claims whose time is over, and turns to the new owners of shards.
    pub(crate) fn tick_ledger(&mut self) {
        let now = self.now;
        let pending = &self.ledger.pending;
        let expired: Vec<RequestId> =
            pending.iter().filter(|(_, w)| w.deadline <= now).map(|(r, _)| *r).collect();
        for request in expired {
            self.ledger.pending.remove(&request);
            let outcome = ClaimOutcome::Unavailable;
            self.effects.push(Effect::Claimed { request, outcome, record: String::new() });
        }
        self.write_direct();
        let shards: Vec<u64> = self.ledger.shards.keys().copied().collect();
        for number in shards {
            self.expire_claims(number);
            self.start_transaction(number);
        }
    }

    /// Writes claims itself whose shard's owner does not answer. Two instances that write the same
    /// claim do no harm, since its attempt names it.
    fn write_direct(&mut self) {
        let (now, me) = (self.now, self.membership.me);
        let silent: Vec<Claim> = self
            .ledger
            .pending
            .iter()
            .filter(|(_, w)| w.direct_at <= now && w.owner != me)
            .map(|(_, w)| w.claim.clone())
            .collect();
        for mut claim in silent {
            if let Some(pending) = self.ledger.pending.get_mut(&claim.request) {
                pending.owner = me;
                claim.wait_ms = pending.deadline.saturating_sub(now) as u32;
            }
            self.queue_claim(me, claim);
        }
    }

    /// Sends claims again whose shard has a new owner. Repeating a claim is harmless, since its
    /// attempt names it.
    pub(crate) fn update_shard_owners(&mut self) {
        let moved: Vec<(RequestId, Id)> = self
            .ledger
            .pending
            .iter()
            .map(|(r, w)| (*r, self.shard_owner(&w.claim.row)))
            .filter(|(r, owner)| self.ledger.pending.get(r).is_some_and(|w| w.owner != *owner))
            .collect();
        for (request, owner) in moved {
            let now = self.now;
            let Some(pending) = self.ledger.pending.get_mut(&request) else { continue };
            pending.owner = owner;
            let mut claim = pending.claim.clone();
            claim.wait_ms = pending.deadline.saturating_sub(now) as u32;
            self.send(owner, Body::Claim(claim));
        }
    }
}
