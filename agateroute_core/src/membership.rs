//! Which instances there are, from the platform's lagging list and from what is heard.

use crate::Table;
use crate::id::{Id, Millis, id};
use crate::rendezvous;

value! {
    /// What an instance says of itself.
    pub struct PeerStatus {
        /// Whether it was told to stop.
        pub leaving: bool,
        /// Whether the table service does not answer it.
        pub cut_off: bool,
    }
}

record! {
    /// An instance at the other end of a stream.
    pub struct Peer {
        /// The name.
        pub name: String,
        /// Tells a restarted instance from its predecessor, in milliseconds since 1970.
        pub start: u64,
    }

    /// An instance in the platform's list.
    pub struct ListedInstance {
        /// The name.
        pub name: String,
        /// Whether it is leaving.
        pub leaving: bool,
    }

    /// What is known of one peer.
    pub struct PeerState {
        /// What it says of itself.
        pub status: PeerStatus,
        /// When it was first heard to leave.
        pub leaving_since: Option<Millis>,
        /// The name.
        pub name: String,
        /// The start number it gave.
        pub start: u64,
        /// Whether a stream to it is up.
        pub linked: bool,
        /// When it was last heard.
        pub last_heard: Millis,
    }

    /// The membership as this instance sees it.
    pub struct Membership {
        /// This instance.
        pub me: Id,
        /// The peers that were ever heard and are not forgotten.
        pub peers: Table<Id, PeerState>,
        listed: Table<Id, bool>,
        status: PeerStatus,
        leaving_since: Option<Millis>,
    }
}

impl Peer {
    /// The identifier of the instance.
    pub fn id(&self) -> Id {
        id(&self.name)
    }
}

impl PeerStatus {
    /// An instance that stays and reaches everything.
    pub const HEALTHY: PeerStatus = PeerStatus { leaving: false, cut_off: false };
}

impl Membership {
    /// The membership of an instance that knows only itself.
    pub fn new(me: &Peer) -> Membership {
        Membership {
            me: me.id(),
            peers: Table::default(),
            listed: Table::default(),
            status: PeerStatus::HEALTHY,
            leaving_since: None,
        }
    }

    /// Takes over the platform's list.
    pub fn set_listed(&mut self, instances: &[ListedInstance]) {
        self.listed = instances.iter().map(|i| (id(&i.name), i.leaving)).collect();
    }

    /// Notes that a stream is up. Returns whether the peer was restarted since it was last linked.
    pub fn link(&mut self, peer: &Peer, now: Millis) -> bool {
        let (name, start) = (peer.name.clone(), peer.start);
        let (status, leaving_since) = (PeerStatus::HEALTHY, None);
        let state = PeerState { name, start, linked: true, last_heard: now, status, leaving_since };
        let former = self.peers.insert(peer.id(), state);
        former.is_some_and(|f| f.start != peer.start)
    }

    /// Notes that something was heard from a peer.
    pub fn mark_heard(&mut self, peer: Id, now: Millis) {
        if let Some(state) = self.peers.get_mut(&peer) {
            state.last_heard = now;
        }
    }

    /// Notes what a peer says of itself.
    pub fn set_status(&mut self, peer: Id, status: PeerStatus, now: Millis) {
        if let Some(state) = self.peers.get_mut(&peer) {
            state.status = status;
            state.leaving_since = state.leaving_since.or(Some(now)).filter(|_| status.leaving);
        }
    }

    /// Notes whether the table service answers this instance.
    pub fn set_table_reachable(&mut self, reachable: bool) {
        self.status.cut_off = !reachable;
    }

    /// What this instance says of itself.
    pub fn status(&self) -> PeerStatus {
        self.status
    }

    /// Notes that a stream ended.
    pub fn unlink(&mut self, peer: Id) {
        if let Some(state) = self.peers.get_mut(&peer) {
            state.linked = false;
        }
    }

    /// Notes that this instance was told to stop.
    pub fn start_leaving(&mut self, now: Millis) {
        self.status.leaving = true;
        self.leaving_since = self.leaving_since.or(Some(now));
    }

    /// When the first of the instances will be gone that all leave, so that one may be back that stays;
    /// none where a reachable one stays. Each is gone `grace_ms` after it was told to stop.
    pub fn first_exit(&self, now: Millis, silence_ms: Millis, grace_ms: Millis) -> Option<Millis> {
        let reachable = self.peers.iter().filter(|(id, _)| self.reachable(**id, now, silence_ms));
        let mut leaving_since = vec![self.leaving_since];
        leaving_since.extend(reachable.map(|(_, peer)| peer.leaving_since));
        let all: Option<Vec<Millis>> = leaving_since.into_iter().collect();
        all?.into_iter().min().map(|since| since + grace_ms)
    }

    /// Whether a peer can be asked: its stream is up and it was heard lately.
    pub fn reachable(&self, peer: Id, now: Millis, silence_ms: Millis) -> bool {
        let heard = |p: &PeerState| p.linked && now.saturating_sub(p.last_heard) < silence_ms;
        peer == self.me || self.peers.get(&peer).is_some_and(heard)
    }

    /// The instances that can own duties, sorted.
    pub fn owners(&self, now: Millis, silence_ms: Millis) -> Vec<Id> {
        let says = |p: &Id| self.peers.get(p).is_some_and(|s| s.status.leaving);
        let leaving = |p: &Id| says(p) || self.listed.get(p).copied().unwrap_or(false);
        let mut all: Vec<Id> = self
            .peers
            .keys()
            .copied()
            .filter(|p| self.reachable(*p, now, silence_ms) && !leaving(p))
            .collect();
        if !self.status.leaving || all.is_empty() {
            all.push(self.me);
        }
        all.sort_unstable();
        all
    }

    /// Whether the table service answers an instance, as far as it says.
    pub fn reaches_table(&self, instance: Id) -> bool {
        if instance == self.me {
            return !self.status.cut_off;
        }
        self.peers.get(&instance).is_some_and(|p| !p.status.cut_off)
    }

    /// The owner of a duty if every instance were reachable: the one the others may still use.
    pub fn preferred_owner(&self, duty: Id) -> Option<Id> {
        let listed = self.listed.iter().filter(|(_, leaving)| !**leaving).map(|(i, _)| *i);
        let mut all: Vec<Id> = listed.chain(self.peers.keys().copied()).collect();
        all.push(self.me);
        rendezvous::owner(duty, all.into_iter())
    }

    /// How many instances there may be, this one included: those listed and those not yet forgotten.
    pub fn known_count(&self) -> usize {
        let unlisted = self.peers.keys().filter(|p| !self.listed.contains(p)).count();
        self.listed.len() + unlisted + 1
    }

    /// Forgets peers that are neither linked, listed, nor heard for `forget_ms`.
    pub fn forget(&mut self, now: Millis, forget_ms: Millis) {
        let listed = &self.listed;
        self.peers.retain(|id, p| {
            p.linked || listed.contains(id) || now.saturating_sub(p.last_heard) < forget_ms
        });
    }
}
