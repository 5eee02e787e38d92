//! Finds dead peers in a large fleet without a heartbeat on each stream.
//!
//! Up to [`MAX_DENSE_STREAMS`] streams each instance sends heartbeats on all of them. With 300 peers these were 1,200 heartbeats a
//! second for each instance, so above that an instance watches only its successors on the ring of instance ids: it probes one that
//! is silent, and reports it to all peers if it gets no answer. An instance that receives such a report probes the peer itself
//! before it takes it for dead, so a link that is cut between two instances does not make others lose a peer. See
//! `docs/design/large-fleets.md`.

use crate::Table;
use crate::id::{Id, Millis};

/// The number of streams up to which heartbeats are sent on each of them.
pub const MAX_DENSE_STREAMS: usize = 48;
/// The number of successors on the ring that an instance watches. Eight watchers rarely die together with the watched instance.
pub const WATCHED: usize = 8;
/// The interval of heartbeats on streams that need none, in milliseconds.
pub const SLOW_HEARTBEAT_MS: Millis = 10_000;
/// The silence after which a peer is probed that this instance does not watch, in milliseconds. A fifth more than the interval of
/// slow heartbeats, so that a late one does no harm.
pub const SLOW_SILENCE_MS: Millis = 12_000;
/// How long an answer to a request for a permit may take before its owner is probed, in milliseconds.
pub const ANSWER_MS: Millis = 250;
/// The longest pause between two such probes, in milliseconds. The pause doubles with each probe, since an owner that has no room
/// answers probes for as long as requests wait there. Its watchers find a dead owner meanwhile.
pub const MAX_ANSWER_PAUSE_MS: Millis = 4_000;
/// A watched peer is probed after the time-out divided by this.
const PROBE_DIVISOR: u64 = 2;
/// An unanswered probe is repeated after the time-out divided by this.
const REPEAT_DIVISOR: u64 = 4;
/// The link of a peer that is taken for dead is closed after this many times the time-out, as in a small fleet.
const CLOSE_FACTOR: u64 = 2;

value! {
    /// What is known of a peer with a stream.
    pub struct Signs {
        /// The peer.
        pub peer: Id,
        /// When the last message of the peer arrived.
        pub last_heard: Millis,
        /// Whether the peer has declared that it answers probes.
        pub probes: bool,
    }

    /// What to do about a silent peer.
    pub enum Action {
        /// Send it a probe.
        Probe(Id),
        /// Report it to all linked peers.
        Report(Id),
        /// Close the stream to it, so that it is dialed again.
        Close(Id),
    }

    struct Suspect {
        /// From when on the peer has not answered.
        since: Millis,
        probe_at: Millis,
        /// Whether it was reported, by this instance or to it.
        reported: bool,
        closed: bool,
        /// When the first probe went out, or a later one after a time in which this instance stood still.
        probed: Option<Millis>,
    }

    /// An instance that was asked for permits.
    struct Asked {
        /// When it was first asked, or last probed for it.
        since: Millis,
        /// How long after that it is probed.
        pause_ms: Millis,
    }
}

/// The peers that this instance watches and those that may be dead.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Liveness {
    sparse: bool,
    /// Sorted. Empty unless `sparse`, as then all peers are watched.
    watched: Vec<Id>,
    suspects: Table<Id, Suspect>,
    /// The instances that were asked for permits and have not answered.
    asked: Table<Id, Asked>,
}

/// Returns the successors of an instance on the ring of ids that it watches. `ids` has to be sorted.
pub fn watch_set(me: Id, ids: &[Id]) -> Vec<Id> {
    let start = ids.partition_point(|id| *id <= me);
    let ring = ids[start..].iter().chain(&ids[..start]).filter(|id| **id != me);
    let mut watched: Vec<Id> = ring.take(WATCHED).copied().collect();
    watched.sort_unstable();
    watched
}

impl Liveness {
    /// Replaces the peers with a stream, sorted.
    pub fn set_streams(&mut self, me: Id, linked: &[Id]) {
        self.sparse = linked.len() > MAX_DENSE_STREAMS;
        self.watched = if self.sparse { watch_set(me, linked) } else { Vec::new() };
    }

    /// Whether peers that answer probes get no heartbeats.
    pub fn is_sparse(&self) -> bool {
        self.sparse
    }

    fn watches(&self, peer: Id) -> bool {
        !self.sparse || self.watched.binary_search(&peer).is_ok()
    }

    /// Records that a peer may be dead; it counts as dead if it does not answer from now on. `reported` says whether all others
    /// know already.
    pub fn suspect(&mut self, peer: Id, now: Millis, reported: bool) {
        let new = Suspect { since: now, probe_at: now, reported, closed: false, probed: None };
        self.suspects.entry(peer, || new).reported |= reported;
    }

    /// Records that a peer was heard. Returns whether it was suspected.
    pub fn heard(&mut self, peer: Id) -> bool {
        !self.suspects.is_empty() && self.suspects.remove(&peer).is_some()
    }

    /// Forgets a peer whose stream began or ended.
    pub fn forget(&mut self, peer: Id) {
        self.suspects.remove(&peer);
        self.asked.remove(&peer);
    }

    /// Whether a peer with a stream counts as dead.
    pub fn is_silent(&self, signs: Signs, now: Millis, silence_ms: Millis) -> bool {
        if !signs.probes {
            return now.saturating_sub(signs.last_heard) >= silence_ms;
        }
        self.suspects.get(&signs.peer).is_some_and(|s| now >= s.since + silence_ms)
    }

    /// From when on a peer has not answered, if it is suspected.
    pub fn silent_since(&self, peer: Id) -> Option<Millis> {
        self.suspects.get(&peer).map(|s| s.since)
    }

    /// Suspects instances that have not answered a request for a permit. `owners` are those that were asked, sorted, and `heard`
    /// returns when one was last heard. An owner that answers the probe is probed again after growing pauses while requests wait.
    pub fn await_answers(&mut self, owners: &[Id], now: Millis, heard: impl Fn(Id) -> Millis) {
        self.asked.retain(|owner, _| owners.binary_search(owner).is_ok());
        for owner in owners {
            let asked = self.asked.entry(*owner, || Asked { since: now, pause_ms: ANSWER_MS });
            if now < (asked.since + asked.pause_ms).max(heard(*owner) + ANSWER_MS) {
                continue;
            }
            asked.since = now;
            asked.pause_ms = MAX_ANSWER_PAUSE_MS.min(2 * asked.pause_ms);
            self.suspect(*owner, now, false);
        }
    }

    /// Finds what to do about peers with a stream that are silent. Returns that and when to call again.
    pub fn step(
        &mut self,
        peers: impl Iterator<Item = Signs>,
        now: Millis,
        silence_ms: Millis,
    ) -> (Vec<Action>, Millis) {
        let mut actions = Vec::new();
        let mut next = Millis::MAX;
        for signs in peers {
            let due = match signs.probes {
                true => self.step_peer(signs, now, silence_ms, &mut actions),
                false => signs.last_heard + silence_ms,
            };
            next = next.min(if due > now { due } else { Millis::MAX });
        }
        (actions, next)
    }

    fn step_peer(
        &mut self,
        signs: Signs,
        now: Millis,
        silence_ms: Millis,
        actions: &mut Vec<Action>,
    ) -> Millis {
        let Signs { peer, last_heard, .. } = signs;
        let watched = self.watches(peer);
        let probe_ms = silence_ms / PROBE_DIVISOR;
        if !self.suspects.contains(&peer) {
            let probe_at = last_heard + if watched { probe_ms } else { SLOW_SILENCE_MS };
            if now < probe_at {
                return probe_at;
            }
            // In a large fleet, an instance that was stopped for a while itself gives the watched peers the time to answer.
            let since = match (self.sparse, watched) {
                (false, _) => last_heard,
                (true, true) => last_heard.max(now.saturating_sub(probe_ms)),
                (true, false) => now,
            };
            let (reported, closed, probed) = (false, false, None);
            let suspect = Suspect { since, probe_at: now, reported, closed, probed };
            self.suspects.insert(peer, suspect);
        }
        let sparse = self.sparse;
        let Some(suspect) = self.suspects.get_mut(&peer) else { return Millis::MAX };
        if suspect.probed.is_some() && now >= suspect.probe_at + silence_ms {
            // This instance stood still, and answers may wait in the sockets.
            suspect.probed = None;
            if sparse && !suspect.reported {
                suspect.since = suspect.since.max(now.saturating_sub(probe_ms));
            }
        }
        // The stream of a peer stays until the peer has had the time to answer a probe, also if it was silent only because this
        // instance stood still and has not read what arrived.
        let probed = *suspect.probed.get_or_insert(now);
        let dead_at = suspect.since + silence_ms;
        let close_since = suspect.since.max(probed.saturating_sub(probe_ms));
        let close_at = close_since + CLOSE_FACTOR * silence_ms;
        if now >= close_at {
            if !std::mem::replace(&mut suspect.closed, true) {
                actions.push(Action::Close(peer));
            }
            return Millis::MAX;
        }
        if now >= suspect.probe_at {
            suspect.probe_at = now + (silence_ms / REPEAT_DIVISOR).max(1);
            actions.push(Action::Probe(peer));
        }
        if now < dead_at {
            return suspect.probe_at.min(dead_at);
        }
        if sparse && !std::mem::replace(&mut suspect.reported, true) {
            actions.push(Action::Report(peer));
        }
        suspect.probe_at.min(close_at)
    }
}
