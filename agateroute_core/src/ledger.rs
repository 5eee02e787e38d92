//! Claims of calls that must run at most once.
//!
//! The entry instance sends a claim to the owner of the claim's shard, which batches claims: it keeps
//! one transaction per shard in flight and collects what arrives meanwhile for the next, so that the
//! number of writes does not grow with the load. Safety rests on the conditions of the writes alone:
//! two instances that both batch a shard only cost additional writes. See `docs/DESIGN.md`, "At most
//! once".

use agateroute_proto::peers::message::Body;
use agateroute_proto::peers::{Claim, ClaimOutcome, ClaimResult};

use crate::Table;
use crate::effect::Effect;
use crate::event::RequestId;
use crate::id::{Id, Millis, id};
use crate::rendezvous;
use crate::state::State;

/// The number of shards among which claims are divided for batching.
pub const CLAIM_SHARDS: u64 = 16;
/// The maximum number of rows in one transaction.
pub const MAX_TRANSACTION_ROWS: usize = 50;
/// The delay before the next transaction after a failed one, in milliseconds.
const RETRY_DELAY_MS: Millis = 100;
/// How long to wait for the owner of a shard before a claim is written without it, in milliseconds.
/// Half of the claim's own time limit applies if that is less.
const MAX_DIRECT_WAIT_MS: Millis = 1_000;
/// The maximum number of queued claims per shard; further ones are answered as unavailable.
const MAX_QUEUED_CLAIMS: usize = 10_000;

record! {
    /// A claim that waits for its transaction.
    pub struct QueuedClaim {
        /// The instance that sent the claim.
        pub peer: Id,
        /// The claim as it was received.
        pub claim: Claim,
        /// When the sender stops waiting.
        pub deadline: Millis,
    }

    /// The claims of one shard that this instance batches.
    pub struct Shard {
        /// Claims for later transactions, oldest first.
        pub queue: Vec<QueuedClaim>,
        /// Claims in the transaction in flight.
        pub in_flight: Vec<QueuedClaim>,
        /// The earliest time of the next transaction.
        pub paused_until: Millis,
    }

    /// The result of one row of a rejected transaction.
    pub struct RowResult {
        /// Whether the condition of the row failed.
        pub failed: bool,
        /// The attempt and the record that the row currently holds.
        pub current: Option<(String, String)>,
    }

    /// The outcome of a transaction.
    pub enum TransactionOutcome {
        /// All rows were written.
        Done,
        /// No row was written, since the conditions of some failed.
        Conflict(Vec<RowResult>),
        /// The service did not answer or returned an error; the write may have taken effect.
        Failed,
    }

    /// A claim of this instance that has not been answered.
    pub struct PendingClaim {
        /// The claim as it was sent.
        pub claim: Claim,
        /// The instance to which the claim was sent.
        pub owner: Id,
        /// When this instance writes the claim itself because the owner has not answered.
        pub direct_at: Millis,
        /// When the claim is given up as unavailable.
        pub deadline: Millis,
    }

    /// The claims that this instance sent, and those that it batches as the owner of shards.
    #[derive(Default)]
    pub struct Ledger {
        /// The unanswered claims of this instance.
        pub pending: Table<RequestId, PendingClaim>,
        /// The shards that this instance batches.
        pub shards: Table<u64, Shard>,
    }
}

/// Returns the shard to which a row belongs.
pub fn shard_of(row: &str) -> u64 {
    id(row) % CLAIM_SHARDS
}

impl Shard {
    fn new() -> Shard {
        Shard { queue: Vec::new(), in_flight: Vec::new(), paused_until: 0 }
    }

    /// Moves the oldest queued claims into the next transaction, at most one for each row.
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
    /// Returns the instance that batches the claims of a row's shard.
    fn shard_owner(&self, row: &str) -> Id {
        let duty = id("ledger").wrapping_add(shard_of(row));
        rendezvous::owner(duty, self.owners().iter().copied()).unwrap_or(self.membership.me)
    }

    /// Sends a claim of this instance to the owner of its shard.
    pub(crate) fn submit_claim(&mut self, claim: Claim) {
        let owner = self.shard_owner(&claim.row);
        let deadline = self.now + u64::from(claim.wait_ms);
        let direct_at = self.now + (u64::from(claim.wait_ms) / 2).min(MAX_DIRECT_WAIT_MS);
        let pending = PendingClaim { claim: claim.clone(), owner, direct_at, deadline };
        self.ledger.pending.insert(claim.request, pending);
        self.send(owner, Body::Claim(claim));
    }

    /// Queues a received claim for its shard. A claim that is queued already is ignored.
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

    /// Handles the outcome of a transaction: answers its claims and starts the next transaction.
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

    /// Answers the claims that lost their row, and those whose row was already written by an earlier
    /// try; the others are queued for the next transaction.
    fn resolve_conflict(&mut self, number: u64, in_flight: Vec<QueuedClaim>, rows: Vec<RowResult>) {
        let mut requeued = Vec::new();
        let results = rows.into_iter().map(Some).chain(std::iter::repeat(None));
        for (queued, row) in in_flight.into_iter().zip(results) {
            let Some(row) = row.filter(|r| r.failed) else {
                requeued.push(queued);
                continue;
            };
            let (attempt, record) = row.current.unwrap_or_default();
            let own_write = attempt == queued.claim.attempt && !queued.claim.settle;
            let outcome = if own_write { ClaimOutcome::Won } else { ClaimOutcome::Lost };
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

    /// Handles the result of a claim that this instance sent.
    pub(crate) fn claim_result(&mut self, result: ClaimResult) {
        if self.ledger.pending.remove(&result.request).is_none() {
            return;
        }
        let outcome = result.outcome();
        let request = result.request;
        self.effects.push(Effect::Claimed { request, outcome, record: result.record });
    }

    /// Expires claims, writes those whose owner does not answer, and starts due transactions.
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

    /// Writes claims directly whose shard's owner does not answer. This is safe even if the owner writes
    /// them as well, since the attempt identifies the claim.
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

    /// Resends claims whose shard has a new owner. This is safe, since the attempt identifies the claim.
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
