//! Decides from which peers an instance of a large fleet takes the document and the list of backend servers.
//!
//! Readers of the table service hand the list to a few relays in each availability zone, and these to the other instances of
//! their zone. Each instance hands it to a bounded number of peers, so that neither a start of the whole fleet nor a change
//! sends most of the bytes through one link. See `docs/design/large-fleets.md`, "Distribution of the list".

use crate::Table;
use crate::id::{Id, Millis, id, mix};
use crate::rendezvous;

/// The largest fleet in which all instances ask readers.
const MAX_FLAT_FLEET: usize = 48;
/// The most peers to which one instance hands the list. A third more than the mean of both levels, so that an instance that is
/// refused by its first choice finds another one.
pub const MAX_CLIENTS: usize = 8;
/// The relays for each [`INSTANCES_PER_GROUP`] instances of a zone that are no readers. With one reader in 32 instances, readers and
/// relays have about five clients each.
const RELAYS_PER_GROUP: usize = 5;
const INSTANCES_PER_GROUP: usize = 32;
/// How long an instance counts as a client after it has got the list, in milliseconds: three fetches.
const CLIENT_TTL_MS: Millis = 1_200;
/// The most peers of the preferred level that are asked in one round, and of the other one.
const MAX_PREFERRED: usize = 3;
const MAX_OTHERS: usize = 2;
/// How long an instance without a recent list is refused before it asks without a bound, in milliseconds. The bound is on the mean
/// load of a link; an instance without servers serves nobody.
const MAX_REFUSED_MS: Millis = 800;
/// When the first instance of a zone reads the table service itself, in milliseconds since it got no recent list, if it has an older
/// one. By then it has asked without a bound.
const STALE_WAIT_MS: Millis = 1_000;
/// The same for an instance that has started, if no peer answers.
const ALONE_WAIT_MS: Millis = 2_000;
/// The same if peers answer that they have no list yet. Readers on the smallest machines take seconds for 1.2 MB.
const START_WAIT_MS: Millis = 4_000;
/// How long one read of the whole list takes at most on a link of 10 Mbit/s, in milliseconds.
const READ_SLOT_MS: Millis = 1_000;
/// The part of a slot over which the reads of one slot are spread, in percent.
const JITTER_PERCENT: u64 = 50;
/// The shortest and the longest pause before a peer that had no list is asked again, in milliseconds.
const MIN_RETRY_MS: Millis = 50;
const MAX_RETRY_MS: Millis = 1_000;
/// How long a peer that has not answered is not asked, in milliseconds: as long as it takes to find it dead.
const SILENCE_MS: Millis = 3_000;

value! {
    /// The place of an instance that does not read the table service.
    pub enum Place {
        /// It asks readers and hands the list to others in its zone.
        Relay,
        /// It asks relays of its zone.
        Leaf,
    }

    /// The turn of an instance among the clients of its zone to read the table service itself.
    pub struct Rank {
        /// The position in the order of the zone, from 0.
        pub position: usize,
        /// The number of clients in the zone.
        pub clients: usize,
    }
}

record! {
    /// The peers that an instance may ask.
    pub struct Sources {
        /// Whether this instance relays the list.
        pub place: Place,
        /// The turn of this instance to read the table service.
        pub rank: Rank,
        /// The peers of the level above, in order of preference.
        pub preferred: Vec<Id>,
        /// The peers that are asked if none of these has a recent list.
        pub others: Vec<Id>,
    }
}

impl Place {
    /// Returns the name under which the place is logged.
    pub fn as_str(self) -> &'static str {
        match self {
            Place::Relay => "relay",
            Place::Leaf => "leaf",
        }
    }
}

/// Whether a fleet is so large that relays hand on the list.
pub fn uses_relays(instances: usize) -> bool {
    instances > MAX_FLAT_FLEET
}

/// Returns the number of relays among the clients of a zone.
fn relay_count(clients: usize) -> usize {
    (clients * RELAYS_PER_GROUP).div_ceil(INSTANCES_PER_GROUP)
}

/// Returns the peers that an instance asks. `zone` are the reachable instances of its availability zone with itself, and `readers`
/// those that read the table service, in its order of preference. All instances with the same view choose the same relays, and one
/// that joins or goes moves at most one other instance to another level.
pub fn sources(me: Id, duty: Id, zone: &[Id], readers: &[Id]) -> Sources {
    let clients = zone.iter().copied().filter(|i| *i == me || !readers.contains(i));
    let ranked = rendezvous::order(mix(duty, id("relay")), clients);
    let relays = &ranked[..relay_count(ranked.len())];
    let position = ranked.iter().position(|i| *i == me).unwrap_or(ranked.len());
    let rank = Rank { position, clients: ranked.len() };
    let ordered = |relays: &[Id]| {
        rendezvous::order(mix(duty, me), relays.iter().copied().filter(|r| *r != me))
    };
    if position < relays.len() {
        // A relay asks only those before it, so that relays do not wait for each other in a circle.
        let others = ordered(&relays[..position]);
        return Sources { place: Place::Relay, rank, preferred: readers.to_vec(), others };
    }
    Sources { place: Place::Leaf, rank, preferred: ordered(relays), others: readers.to_vec() }
}

impl Sources {
    /// Drops the peers that can not be asked now.
    pub fn retain(&mut self, can_ask: impl Fn(Id) -> bool) {
        self.preferred.retain(|i| can_ask(*i));
        self.others.retain(|i| can_ask(*i));
    }

    /// Returns the peers of the level above to ask in one round, in order. The former source comes first, since only it can send what has
    /// changed. Later rounds reach peers beyond the first choices, which may all have enough clients.
    pub fn candidates(&self, former: Option<Id>, round: usize) -> Vec<Id> {
        let former = former.filter(|f| self.preferred.contains(f));
        let mut asked: Vec<Id> = former.into_iter().collect();
        let first = self.preferred.iter().copied().filter(|i| Some(*i) != former);
        asked.extend(first.take(MAX_PREFERRED));
        let left: Vec<Id> = self.preferred.iter().copied().filter(|i| !asked.contains(i)).collect();
        asked.extend(left.get(round % left.len().max(1)));
        asked
    }

    /// Returns the peers to ask if none of these is alive and has a recent list, in order.
    pub fn fallbacks(&self) -> &[Id] {
        &self.others[..self.others.len().min(MAX_OTHERS)]
    }
}

/// The peers to which an instance hands the list.
#[derive(Clone, Debug, Default)]
pub struct Clients {
    asked_at: Table<Id, Millis>,
}

impl Clients {
    /// Records that a peer asks for the list of this instance. Returns whether it is one of those to which it is handed.
    pub fn admit(&mut self, peer: Id, now: Millis) -> bool {
        self.asked_at.retain(|_, at| now < *at + CLIENT_TTL_MS);
        if self.asked_at.len() >= MAX_CLIENTS && !self.asked_at.contains(&peer) {
            return false;
        }
        self.asked_at.insert(peer, now);
        true
    }

    /// The number of peers that have asked lately.
    pub fn count(&self) -> usize {
        self.asked_at.len()
    }
}

value! {
    /// What the peers of the level above answered in one round of questions.
    #[derive(Default)]
    pub struct Answers {
        /// Whether one of them answered.
        pub any: bool,
        /// Whether one of them refused, so that it has a list.
        pub refused: bool,
        /// Whether one of them had no list yet.
        pub waiting: bool,
    }
}

/// Decides whom an instance asks that gets no recent list, and when it reads the table service itself.
#[derive(Clone, Copy, Debug, Default)]
pub struct Turn {
    /// When the first round without a recent list ended.
    since: Option<Millis>,
    /// When the first round ended since which a peer has refused in each.
    refused_since: Option<Millis>,
    /// Whether there was a list then. An instance that has started gets its first list late, and not as a recent one; it must not
    /// read the table service at once for that.
    had_list: bool,
    /// Whether a peer answered in the last round.
    answered: bool,
    /// The rounds without a recent list.
    rounds: usize,
}

impl Turn {
    /// Records that this instance has got a recent list, from a peer or by a read of its own.
    pub fn served(&mut self) {
        *self = Turn::default();
    }

    /// Records the end of a round in which no peer gave a recent list. `has_list` says whether this instance has any.
    pub fn unserved(&mut self, now: Millis, answers: Answers, has_list: bool) {
        self.had_list = if self.since.is_none() { has_list } else { self.had_list };
        self.since = self.since.or(Some(now));
        self.refused_since = self.refused_since.or(Some(now)).filter(|_| answers.refused);
        self.answered = answers.any;
        self.rounds += 1;
    }

    /// The number of rounds without a recent list.
    pub fn rounds(&self) -> usize {
        self.rounds
    }

    /// Whether this instance was refused for so long that it asks without a bound.
    pub fn insists(&self, now: Millis) -> bool {
        self.refused_since.is_some_and(|at| at + MAX_REFUSED_MS <= now)
    }

    /// Whether the fallbacks are asked in a round in which the level above gave these answers. While it starts, its clients wait:
    /// otherwise all of them would take the list from the readers as soon as these have it.
    pub fn asks_fallbacks(&self, now: Millis, answers: Answers) -> bool {
        let waits = answers.refused || answers.waiting;
        !waits || self.since.is_some_and(|at| at + ALONE_WAIT_MS <= now)
    }

    /// Whether this instance may read the table service now, if its own list is not recent. In each slot one in 32 instances of a zone gets its turn; those that come
    /// later find the list at a peer by then.
    pub fn may_read(&self, now: Millis, rank: Rank, me: Id) -> bool {
        let Some(since) = self.since else { return false };
        let wait = match (self.had_list, self.answered) {
            (true, _) => STALE_WAIT_MS,
            (false, true) => START_WAIT_MS,
            (false, false) => ALONE_WAIT_MS,
        };
        let at_once = rank.clients.div_ceil(INSTANCES_PER_GROUP).max(1);
        let slot = (rank.position / at_once) as Millis;
        // The first slot has no jitter: it is the shortest way back to a recent list.
        let spread = if slot == 0 { 0 } else { READ_SLOT_MS * JITTER_PERCENT / 100 };
        let jitter = me % spread.max(1);
        since + wait + slot * READ_SLOT_MS + jitter <= now
    }
}

/// The peers that have not answered lately. One that stands still would cost a time limit in each round until its link ends.
#[derive(Clone, Debug, Default)]
pub struct Silences {
    silent_at: Table<Id, Millis>,
}

impl Silences {
    /// Records whether a peer has answered.
    pub fn record(&mut self, peer: Id, now: Millis, answered: bool) {
        self.silent_at.retain(|_, at| now < *at + SILENCE_MS);
        if answered {
            self.silent_at.remove(&peer);
        } else {
            self.silent_at.insert(peer, now);
        }
    }

    /// Whether a peer may be asked.
    pub fn may_ask(&self, peer: Id, now: Millis) -> bool {
        self.silent_at.get(&peer).is_none_or(|at| *at + SILENCE_MS <= now)
    }
}

/// Returns the pause before an instance asks again that was told when to do so, in milliseconds.
pub fn retry_pause(told: Option<Millis>, rounds: usize) -> Millis {
    let own = MIN_RETRY_MS << rounds.min(4);
    told.unwrap_or(own).clamp(MIN_RETRY_MS, MAX_RETRY_MS)
}
