//! Requests that this instance hands to a peer, since it reaches no backend server itself.
//!
//! The peer serves such a request as its own and hands it to nobody. See `docs/DESIGN.md`, "Instances without servers".

use crate::effect::{Effect, Refusal};
use crate::entry::Pending;
use crate::event::{ForwardEnd, RequestId, RequestSpec, Via};
use crate::id::Id;
use crate::state::State;

/// The maximum number of peers to which one request is handed.
const MAX_PEERS: usize = 3;
/// The retry delay given to callers when no peer serves a request, in milliseconds.
const RETRY_MS: u32 = 1_000;

record! {
    /// A request that a peer serves.
    pub struct Forwarded {
        /// The request as it arrived.
        pub spec: RequestSpec,
        /// The peers that got it.
        pub peers: Vec<Id>,
        /// The number of failed attempts on backend servers.
        pub attempts: u32,
        /// The number of backend servers that may have begun the request.
        pub started_on: u32,
    }
}

impl State {
    /// Whether requests can be served, here or by a peer.
    pub fn can_serve(&self) -> bool {
        !self.reach.is_cut() || !self.forward_peers(&[]).is_empty()
    }

    /// The peers that reach servers and stay, without those that were tried.
    fn forward_peers(&self, tried: &[Id]) -> Vec<Id> {
        let silence_ms = self.catalog.routing().peer_ms;
        let peers = self.membership.peers.iter();
        let usable = peers.filter(|(id, p)| {
            let up = self.membership.reachable(**id, self.now, silence_ms);
            up && !p.status.leaving && !p.status.cut && !tried.contains(id)
        });
        usable.map(|(id, _)| *id).collect()
    }

    /// Hands a request to a peer if this instance reaches no server. Returns the request if it does, or no peer can take it.
    pub(crate) fn try_forward(&mut self, forwarded: Forwarded) -> Option<Forwarded> {
        let peers = self.forward_peers(&forwarded.peers);
        let tried = forwarded.peers.len() >= MAX_PEERS;
        if !self.reach.is_cut() || forwarded.spec.via != Via::Route || tried || peers.is_empty() {
            return Some(forwarded);
        }
        let peer = peers[self.pick_index(peers.len())];
        let request = forwarded.spec.request;
        let peers = [&forwarded.peers[..], &[peer]].concat();
        self.entry.forwarded.insert(request, Forwarded { peers, ..forwarded });
        self.effects.push(Effect::Forward { request, peer });
        None
    }

    /// Hands the requests that wait for permits to peers.
    pub(crate) fn forward_waiting(&mut self) {
        let waits = |p: &Pending| p.move_source.is_none() && p.spec.via == Via::Route;
        for request in self.pending_where(waits) {
            if self.forward_peers(&[]).is_empty() {
                return;
            }
            let Some(pending) = self.entry.pending.remove(&request) else { continue };
            self.withdraw_all(&pending);
            let (attempts, started_on) = (pending.attempts, pending.started_on);
            let forwarded =
                Forwarded { spec: pending.spec, peers: Vec::new(), attempts, started_on };
            if self.try_forward(forwarded).is_some() {
                self.refuse(request, Refusal::NoServer, RETRY_MS);
            }
        }
    }

    /// Handles the end of a request that a peer served, or has not run.
    pub(crate) fn forward_ended(&mut self, request: RequestId, end: ForwardEnd) {
        let Some(mut forwarded) = self.entry.forwarded.remove(&request) else { return };
        let refusal = match end {
            ForwardEnd::Done => return,
            ForwardEnd::NotRun => Refusal::NoServer,
            ForwardEnd::Lost => Refusal::Failed,
        };
        if end == ForwardEnd::Lost {
            forwarded.started_on += 1;
            let (max, allowance) = (forwarded.spec.max_attempts, self.allowance());
            let left = max == 0 || forwarded.started_on < max;
            let target = forwarded.spec.target;
            if !left || !self.budget.try_spend(target, self.now, allowance) {
                return self.refuse(request, refusal, RETRY_MS);
            }
        }
        if self.now >= forwarded.spec.deadline {
            return self.refuse(request, refusal, RETRY_MS);
        }
        if let Some(forwarded) = self.try_forward(forwarded) {
            let Forwarded { spec, attempts, started_on, .. } = forwarded;
            match self.reach.is_cut() {
                true => self.refuse(request, refusal, RETRY_MS),
                false => self.place(spec, Vec::new(), attempts, started_on),
            }
        }
    }
}
