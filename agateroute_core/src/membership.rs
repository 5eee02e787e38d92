//! The instances known from the platform's list, which lags behind, and from the streams of peers.

use crate::Table;
use crate::id::{Id, Millis, id};
use crate::liveness::{Action, Liveness, Signs};

/// How long after the first reading of the list its instances may take to be linked, in milliseconds: the instance that dials
/// last yields a second to the other one, and a fleet of 300 that starts at once takes as long again.
const LINK_GRACE_MS: Millis = 3_000;
/// The same while further instances are linked: 300 instances on machines with a tenth of a core take longer for their links.
const MAX_LINK_GRACE_MS: Millis = 30_000;

value! {
    /// The status that an instance reports of itself.
    pub struct PeerStatus {
        /// Whether the instance is stopping.
        pub leaving: bool,
        /// Whether the instance can not reach the table service.
        pub cut_off: bool,
        /// Whether the instance reaches no backend server.
        pub cut: bool,
    }
}

record! {
    /// The identity of an instance on a peer stream.
    pub struct Peer {
        /// The name of the instance, from which its identifier is derived.
        pub name: String,
        /// The start time in milliseconds since 1970; distinguishes restarts under the same name.
        pub start: u64,
    }

    /// An instance in the platform's list.
    pub struct ListedInstance {
        /// The name of the instance.
        pub name: String,
        /// Whether the list marks the instance as leaving.
        pub leaving: bool,
    }

    /// The state of one peer.
    pub struct PeerState {
        /// The status that the peer last reported.
        pub status: PeerStatus,
        /// When the peer first reported that it is leaving.
        pub leaving_since: Option<Millis>,
        /// The name of the instance.
        pub name: String,
        /// The start time of the peer, in milliseconds since 1970.
        pub start: u64,
        /// Whether a stream to the peer is up.
        pub linked: bool,
        /// When the last message of the peer arrived.
        pub last_heard: Millis,
        /// Whether the peer has declared that it answers probes.
        pub probes: bool,
    }

    /// This instance's view of the fleet.
    pub struct Membership {
        /// The identifier of this instance.
        pub me: Id,
        /// The peers that have linked and were not removed since.
        pub peers: Table<Id, PeerState>,
        /// Whether each instance in the platform's list is leaving.
        listed: Table<Id, bool>,
        /// When the platform's list was first read.
        first_listed: Option<Millis>,
        /// When a stream began last.
        last_link: Millis,
        status: PeerStatus,
        leaving_since: Option<Millis>,
        liveness: Liveness,
        /// What to do about silent peers, until it is taken.
        actions: Vec<Action>,
        /// The peers that were not reachable at the last [`Membership::refresh`], sorted.
        unreachable: Vec<Id>,
        /// Whether an event since then may have changed which peers are reachable, leaving or known.
        changed: bool,
        /// When one of them becomes unreachable or is removed unless it is heard before.
        check_at: Millis,
        /// The silence for which `check_at` holds.
        silence_ms: Millis,
    }
}

impl PeerState {
    fn signs(&self, peer: Id) -> Signs {
        Signs { peer, last_heard: self.last_heard, probes: self.probes }
    }
}

impl Peer {
    /// Returns the identifier that all instances derive from the name.
    pub fn id(&self) -> Id {
        id(&self.name)
    }
}

impl PeerStatus {
    /// The status of an instance that is not leaving and reaches the table service.
    pub const HEALTHY: PeerStatus = PeerStatus { leaving: false, cut_off: false, cut: false };
}

impl Membership {
    /// Creates the membership of an instance without peers.
    pub fn new(me: &Peer) -> Membership {
        Membership {
            me: me.id(),
            peers: Table::default(),
            listed: Table::default(),
            first_listed: None,
            last_link: 0,
            status: PeerStatus::HEALTHY,
            leaving_since: None,
            liveness: Liveness::default(),
            actions: Vec::new(),
            unreachable: Vec::new(),
            changed: true,
            check_at: 0,
            silence_ms: 0,
        }
    }

    /// Replaces the platform's list of the other instances.
    pub fn set_listed(&mut self, instances: &[ListedInstance], now: Millis) {
        self.changed = true;
        self.first_listed = self.first_listed.or(Some(now));
        self.listed = instances.iter().map(|i| (id(&i.name), i.leaving)).collect();
    }

    /// Records that a stream is up. Returns whether the peer has restarted since it was last linked.
    pub fn link(&mut self, peer: &Peer, now: Millis) -> bool {
        let (name, start) = (peer.name.clone(), peer.start);
        let (status, leaving_since) = (PeerStatus::HEALTHY, None);
        let (linked, last_heard, probes) = (true, now, false);
        let state = PeerState { name, start, linked, last_heard, status, leaving_since, probes };
        self.changed = true;
        self.last_link = now;
        self.liveness.forget(peer.id());
        let former = self.peers.insert(peer.id(), state);
        former.is_some_and(|f| f.start != peer.start)
    }

    /// Records the arrival of a message from a peer.
    pub fn mark_heard(&mut self, peer: Id, now: Millis) {
        if let Some(state) = self.peers.get_mut(&peer) {
            let signs = state.signs(peer);
            self.changed |= self.liveness.is_silent(signs, now, self.silence_ms);
            self.liveness.heard(peer);
            state.last_heard = now;
        }
    }

    /// Records the status that a peer reports of itself.
    pub fn set_status(&mut self, peer: Id, status: PeerStatus, now: Millis) {
        if let Some(state) = self.peers.get_mut(&peer) {
            self.changed |= state.status.leaving != status.leaving;
            state.status = status;
            state.leaving_since = state.leaving_since.or(Some(now)).filter(|_| status.leaving);
        }
    }

    /// Records whether this instance can reach the table service.
    pub fn set_table_reachable(&mut self, reachable: bool) {
        self.status.cut_off = !reachable;
    }

    /// Records whether this instance reaches backend servers.
    pub fn set_servers_reached(&mut self, reached: bool) {
        self.status.cut = !reached;
    }

    /// Returns the status that this instance reports to its peers.
    pub fn status(&self) -> PeerStatus {
        self.status
    }

    /// Records that a linked peer has declared that it answers probes.
    pub fn set_probes(&mut self, peer: Id) {
        if let Some(state) = self.peers.get_mut(&peer) {
            self.changed = true;
            state.probes = true;
        }
    }

    /// Whether a peer neither sends nor gets heartbeats while its stream is idle, since it answers probes and the fleet is large.
    pub fn is_quiet(&self, peer: Id) -> bool {
        self.liveness.is_sparse() && self.peers.get(&peer).is_some_and(|p| p.probes)
    }

    /// Whether this instance has more streams than a fleet in which each instance does everything for itself.
    pub fn is_large(&self) -> bool {
        self.liveness.is_sparse()
    }

    /// Records that a peer may be dead. `start` is its start time if another instance reports it.
    pub fn suspect(&mut self, peer: Id, start: Option<u64>, now: Millis) {
        let Some(state) = self.peers.get(&peer) else { return };
        if state.linked && state.probes && start.is_none_or(|s| s == state.start) {
            self.liveness.suspect(peer, now, start.is_some());
            self.check_at = now;
        }
    }

    /// Suspects instances that were asked for permits and have not answered. `owners` has to be sorted.
    pub fn await_answers(&mut self, owners: &[Id], now: Millis) {
        let owners: Vec<Id> = owners.iter().copied().filter(|o| self.is_quiet(*o)).collect();
        let heard = |owner| self.peers.get(&owner).map_or(now, |p: &PeerState| p.last_heard);
        self.liveness.await_answers(&owners, now, heard);
        if owners.iter().any(|o| self.liveness.silent_since(*o) == Some(now)) {
            self.check_at = now;
        }
    }

    /// Returns what to do about silent peers since the last call.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// From when on a peer was not heard, or has not answered although it was asked to.
    pub fn silent_since(&self, peer: Id) -> Millis {
        let heard = self.peers.get(&peer).map_or(0, |p| p.last_heard);
        self.liveness.silent_since(peer).unwrap_or(heard)
    }

    /// Records that the stream to a peer ended.
    pub fn unlink(&mut self, peer: Id, now: Millis) {
        // A quiet peer was last heard up to some seconds ago, but its stream stood until now.
        let quiet = self.is_quiet(peer).then(|| self.liveness.silent_since(peer).unwrap_or(now));
        self.liveness.forget(peer);
        if let Some(state) = self.peers.get_mut(&peer) {
            state.last_heard = quiet.unwrap_or(state.last_heard);
            self.changed = true;
            state.linked = false;
        }
    }

    /// Marks this instance as leaving.
    pub fn start_leaving(&mut self, now: Millis) {
        self.changed = true;
        self.status.leaving = true;
        self.leaving_since = self.leaving_since.or(Some(now));
    }

    /// Returns when the first instance exits, and may be replaced, if all reachable ones are leaving;
    /// `None` if one of them stays. Each exits `grace_ms` after it began to leave.
    pub fn first_exit(&self, now: Millis, silence_ms: Millis, grace_ms: Millis) -> Option<Millis> {
        let reachable = self.peers.iter().filter(|(id, _)| self.reachable(**id, now, silence_ms));
        let mut leaving_since = vec![self.leaving_since];
        leaving_since.extend(reachable.map(|(_, peer)| peer.leaving_since));
        let all: Option<Vec<Millis>> = leaving_since.into_iter().collect();
        all?.into_iter().min().map(|since| since + grace_ms)
    }

    /// Whether a peer's stream is up and the peer was heard within `silence_ms`, or did not have to be; always true for this
    /// instance.
    pub fn reachable(&self, peer: Id, now: Millis, silence_ms: Millis) -> bool {
        let recent =
            |p: &PeerState| p.linked && !self.liveness.is_silent(p.signs(peer), now, silence_ms);
        peer == self.me || self.peers.get(&peer).is_some_and(recent)
    }

    /// Returns the instances that can own duties, sorted: reachable and not leaving, or else only this one.
    pub fn owners(&self, now: Millis, silence_ms: Millis) -> Vec<Id> {
        let reported = |p: &Id| self.peers.get(p).is_some_and(|s| s.status.leaving);
        let leaving = |p: &Id| reported(p) || self.listed.get(p).copied().unwrap_or(false);
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

    /// Whether the platform's list was read.
    pub fn has_list(&self) -> bool {
        self.first_listed.is_some()
    }

    /// Returns the number of instances of the fleet: this one and those that the list has and does not mark as leaving.
    pub fn listed_count(&self) -> usize {
        self.listed.values().filter(|leaving| !**leaving).count() + 1
    }

    /// Returns the listed instances that this one expects to be linked with soon, since it has just started; none later.
    pub fn expected(&self, now: Millis) -> impl Iterator<Item = Id> {
        let linking = now < self.last_link + LINK_GRACE_MS;
        let grace = if linking { MAX_LINK_GRACE_MS } else { LINK_GRACE_MS };
        let starting = self.first_listed.is_some_and(|at| now < at + grace);
        let listed = self.listed.iter().filter(move |(_, leaving)| starting && !**leaving);
        listed.map(|(id, _)| *id).filter(|id| *id != self.me && !self.peers.contains(id))
    }

    /// Returns whether an instance reports that it reaches the table service.
    pub fn reaches_table(&self, instance: Id) -> bool {
        if instance == self.me {
            return !self.status.cut_off;
        }
        self.peers.get(&instance).is_some_and(|p| !p.status.cut_off)
    }

    /// Returns the instances that may exist and were not listed as leaving, sorted. Peers that still reach one that is not
    /// reachable here may use it as the owner of a server.
    pub fn known(&self) -> Vec<Id> {
        let listed = self.listed.iter().filter(|(_, leaving)| !**leaving).map(|(i, _)| *i);
        let mut all: Vec<Id> = listed.chain(self.peers.keys().copied()).collect();
        all.push(self.me);
        all.sort_unstable();
        all.dedup();
        all
    }

    /// Returns the number of instances that may exist: this one, those listed, and peers not yet removed.
    pub fn known_count(&self) -> usize {
        let unlisted = self.peers.keys().filter(|p| !self.listed.contains(p)).count();
        self.listed.len() + unlisted + 1
    }

    /// Removes peers that are neither linked nor listed and have been silent for `forget_ms`, and finds the unreachable ones.
    /// Returns false if nothing can have changed since the last call, which costs nothing.
    pub fn refresh(&mut self, now: Millis, silence_ms: Millis, forget_ms: Millis) -> bool {
        if !self.changed && now < self.check_at && silence_ms == self.silence_ms {
            return false;
        }
        let listed = &self.listed;
        let removed_at = |id: &Id, p: &PeerState| {
            (!p.linked && !listed.contains(id)).then_some(p.last_heard + forget_ms)
        };
        self.peers.retain(|id, p| removed_at(id, p).is_none_or(|at| now < at));
        let removed_at = self.peers.iter().filter_map(|(id, p)| removed_at(id, p)).min();
        if self.changed {
            let linked = self.peers.iter().filter(|(_, p)| p.linked);
            let linked: Vec<Id> = linked.map(|(id, _)| *id).collect();
            self.liveness.set_streams(self.me, &linked);
        }
        let linked = self.peers.iter().filter(|(_, p)| p.linked).map(|(id, p)| p.signs(*id));
        let (actions, next) = self.liveness.step(linked, now, silence_ms);
        self.actions.extend(actions);
        self.check_at = removed_at.map_or(next, |at| at.min(next));
        let unreachable = self.peers.keys().copied();
        let unreachable = unreachable.filter(|id| !self.reachable(*id, now, silence_ms)).collect();
        (self.unreachable, self.changed, self.silence_ms) = (unreachable, false, silence_ms);
        true
    }

    /// Returns the peers that were not reachable at the last [`Membership::refresh`], sorted.
    pub fn unreachable(&self) -> &[Id] {
        &self.unreachable
    }
}
