//! Whether this instance reaches backend servers at all.
//!
//! An instance that can connect to no server is cut off itself, and the servers are not at fault: it blames none, informs its peers
//! and hands requests to those that reach servers (`forward.rs`). New connections alone decide, since old ones may live on. A
//! server that refuses connections of a single instance is not closed for the others. See `docs/DESIGN.md`, "Instances without
//! servers".
//!
//! A server that this instance owns and that loses the requests of several instances is closed by `losses.rs`.

use agateroute_proto::peers::{self, Ask, Deny, DenyReason, Release};

use crate::Table;
use crate::catalog::{model_id, service_id};
use crate::controller::{Context, Controller, Reply, Running};
use crate::effect::Effect;
use crate::event::{End, RequestId, ServerSignal};
use crate::id::{Id, Millis, id};
use crate::losses::{self, Candidate, Loss};
use crate::state::State;

/// The servers to which connections have to fail, with none that succeeds between, until the instance counts as cut off. Fewer
/// if fewer are declared. One part of a prompt may crash five servers at once before it is blocked: with three, an instance
/// took this for a cut, did not count the crashes, and did not block the part.
const MIN_FAILED: usize = 6;
/// At this number, others are probed at once, also if a connection succeeded a moment before.
const MIN_SUSPECT: usize = 3;
/// The servers to which connections have to succeed one after the other until it no longer does.
const MIN_REACHED: usize = 2;
/// How long a failed connection or the report of a peer counts, in milliseconds.
const WINDOW_MS: Millis = 2_000;
/// How long a connection that succeeded shows that servers are reached, in milliseconds.
const PROOF_MS: Millis = 250;
/// The interval between two rounds of probes, in milliseconds.
const PROBE_INTERVAL_MS: Millis = 500;

/// What connections have shown lately.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Reach {
    /// When a connection from here failed, by server, since one last succeeded.
    failed: Table<Id, Millis>,
    /// When a peer last reported that it can not connect, by server.
    reported: Table<Id, Millis>,
    connected_at: Option<Millis>,
    /// The servers reached in a row while cut off.
    reached: Vec<Id>,
    probed_at: Option<Millis>,
    cut: bool,
}

impl Reach {
    /// Whether this instance reaches no server.
    pub fn is_cut(&self) -> bool {
        self.cut
    }

    /// Whether a connection to this server failed lately, and none to any server succeeded since.
    pub fn has_failed(&self, server: Id, now: Millis) -> bool {
        self.failed.get(&server).is_some_and(|at| at + WINDOW_MS > now)
    }

    fn is_reported(&self, server: Id, now: Millis) -> bool {
        self.reported.get(&server).is_some_and(|at| at + WINDOW_MS > now)
    }

    fn expire(&mut self, now: Millis) {
        self.failed.retain(|_, at| *at + WINDOW_MS > now);
        self.reported.retain(|_, at| *at + WINDOW_MS > now);
    }
}

impl Controller {
    /// Grants permits again that were denied because this instance could not connect: it is cut off itself.
    pub(crate) fn reopen(&mut self, ctx: &Context<'_>, out: &mut Vec<Reply>) {
        self.closed = self.report.as_ref().is_some_and(|(_, report)| report.leaving);
        self.close_or_grant(ctx, out);
    }
}

impl Controller {
    /// Whether the server gets no permits now, since it loses requests.
    pub(crate) fn is_failing(&self, now: Millis) -> bool {
        self.losses.denied_ms(Candidate::default(), now).is_some()
    }

    /// Denies what waits for a server that gets no permits now, since it loses requests.
    pub(crate) fn deny_failing(&mut self, now: Millis, out: &mut Vec<Reply>) {
        let running = &self.running;
        let key = |r: &Running| (r.peer, r.request);
        self.losses.check_probe(|peer, request| {
            running.binary_search_by_key(&(peer, request), key).is_ok()
        });
        if let Some(left_ms) = self.losses.denied_ms(Candidate::default(), now) {
            self.deny_waiting(DenyReason::Failing, left_ms as u32, out);
        }
    }
}

impl State {
    /// Records that a new connection to a server was made.
    pub(crate) fn connected(&mut self, server: Id) {
        self.reach.connected_at = Some(self.now);
        if !self.reach.cut && !self.reach.failed.is_empty() {
            // What the last round showed is over: the next failures need a round of their own.
            self.reach.probed_at = None;
        }
        self.reach.failed = Table::default();
        if !self.reach.cut {
            return;
        }
        if !self.reach.reached.contains(&server) {
            self.reach.reached.push(server);
        }
        if self.reach.reached.len() >= MIN_REACHED.min(self.catalog.servers.len()) {
            self.set_cut(false);
        }
    }

    /// Records that a new connection to a server was refused or not made in time.
    pub(crate) fn connect_failed(&mut self, server: Id) {
        let now = self.now;
        self.reach.expire(now);
        self.reach.reached.clear();
        self.reach.failed.insert(server, now);
        if self.reach.cut {
            return;
        }
        let declared = self.catalog.servers.len();
        let failed = self.reach.failed.keys().filter(|s| self.catalog.servers.contains(s)).count();
        if declared > 0 && failed >= MIN_FAILED.min(declared) {
            self.set_cut(true);
            return;
        }
        self.close_if_confirmed(server);
        let quiet = self.reach.connected_at.is_none_or(|at| at + PROOF_MS <= now);
        if quiet || failed >= MIN_SUSPECT {
            self.probe_others();
        }
    }

    /// Whether the end of an attempt is evidence against its server: it reset the connection, and this instance is not cut off.
    pub(crate) fn is_reset(&self, end: &End) -> bool {
        !self.reach.cut && matches!(end, End::Lost { signal: ServerSignal::Reset, .. })
    }

    fn set_cut(&mut self, cut: bool) {
        self.reach.cut = cut;
        self.reach.reached.clear();
        self.membership.set_servers_reached(!cut);
        self.effects.push(Effect::ReachChanged { cut });
        if cut {
            self.each_controller(Controller::reopen);
            self.forward_waiting();
        }
    }

    /// Connects to servers that have not failed lately, to distinguish a fault of this instance from one of a server.
    fn probe_others(&mut self) {
        let now = self.now;
        if self.reach.probed_at.is_some_and(|at| at + PROBE_INTERVAL_MS > now) {
            return;
        }
        self.reach.probed_at = Some(now);
        let declared = self.catalog.servers.keys().copied();
        let mut left: Vec<Id> = declared.filter(|s| !self.reach.has_failed(*s, now)).collect();
        let mut servers = Vec::new();
        while servers.len() < MIN_FAILED && !left.is_empty() {
            let at = self.pick_index(left.len());
            servers.push(left.swap_remove(at));
        }
        self.probe(servers);
    }

    fn probe(&mut self, servers: Vec<Id>) {
        if !servers.is_empty() {
            self.effects.push(Effect::Probe { servers });
        }
    }

    /// Handles the report of a peer, or of this instance itself, that it can not connect to a server.
    pub(crate) fn server_refuses(&mut self, reporter: Id, server: Id) {
        if self.reach.cut || !self.controllers.contains(&server) {
            return;
        }
        if reporter != self.membership.me {
            let last = self.reach.reported.insert(server, self.now);
            let probed = last.is_some_and(|at| at + PROBE_INTERVAL_MS > self.now);
            if !self.reach.has_failed(server, self.now) && !probed {
                self.probe(vec![server]);
            }
        }
        self.close_if_confirmed(server);
    }

    /// Closes a server that this instance owns if a connection from here failed and a peer reports the same: the path of one
    /// instance may be broken. Without peers its own connection decides.
    fn close_if_confirmed(&mut self, server: Id) {
        let alone = !self.membership.peers.values().any(|p| p.linked);
        let now = self.now;
        let confirmed = alone || self.reach.is_reported(server, now);
        if !confirmed || !self.reach.has_failed(server, now) {
            return;
        }
        if self.controllers.get(&server).is_some_and(|c| !c.closed) {
            self.effects.push(Effect::ServerClosed { server, leaving: false });
        }
        self.health.record_refusal(server, now);
        self.with_controller(server, Controller::close);
    }

    /// Tells the owner of a server that a connection was refused, unless this instance itself is cut off.
    pub(crate) fn report_refusal(&mut self, server: Id, owner: Id) {
        if !self.reach.cut {
            let sign = peers::Sign { server, refused: true, leaving: false, said: false };
            self.send(owner, peers::message::Body::Sign(sign));
        }
    }

    /// Looks now and then whether servers are reached again.
    pub(crate) fn tick_reach(&mut self) {
        let now = self.now;
        let due = self.reach.probed_at.is_none_or(|at| at + PROBE_INTERVAL_MS <= now);
        if !self.reach.cut || !due {
            return;
        }
        self.reach.probed_at = Some(now);
        let mut left: Vec<Id> = self.catalog.servers.keys().copied().collect();
        let mut servers = Vec::new();
        while servers.len() < MIN_REACHED && !left.is_empty() {
            let at = self.pick_index(left.len());
            servers.push(left.swap_remove(at));
        }
        self.probe(servers);
    }
}

/// Servers that lose requests: what their owners decide with `losses.rs`, and what the entry instances make of it.
impl State {
    /// Whether the owner of a server has denied permits for a while, since the server loses requests.
    pub(crate) fn fails(&self, server: Id) -> bool {
        self.failing.left_ms(server, self.now) > 0
    }

    /// Whether this instance owns a server and grants no permits for it now, since it loses requests.
    pub(crate) fn owns_failing(&self, server: Id) -> bool {
        self.controllers.get(&server).is_some_and(|c| c.is_failing(self.now))
    }

    /// Remembers a denial because the server loses requests. It is neither leaving nor unreachable.
    pub(crate) fn note_failing(&mut self, deny: &Deny) {
        if deny.reason() == DenyReason::Failing {
            let start_ms = self.catalog.servers.get(&deny.server).map_or(0, |s| s.start_ms);
            self.failing.deny(deny.server, Millis::from(deny.retry_ms), start_ms, self.now);
        }
    }

    /// Has a request without a server wait until the first one reopens, if it may have run before: it can't be refused as not run.
    /// Returns whether it waits.
    pub(crate) fn awaits_reopening(&mut self, request: RequestId) -> bool {
        let (now, failing) = (self.now, &self.failing);
        let Some(pending) = self.entry.pending.get(&request) else { return false };
        let may_have_run = pending.started_on > 0 || pending.spec.version.is_some();
        if !may_have_run || pending.move_source.is_some() {
            return false;
        }
        let servers = self.catalog.targets.get(&pending.spec.target).into_iter().flatten();
        let serve =
            servers.filter(|s| self.is_usable(**s) && self.may_serve(**s, pending.spec.version));
        let Some(left_ms) = serve.map(|s| failing.left_ms(*s, now)).filter(|ms| *ms > 0).min()
        else {
            return false;
        };
        let Some(pending) = self.entry.pending.get_mut(&request) else { return false };
        if now + left_ms >= pending.spec.deadline {
            return false;
        }
        pending.tried.retain(|s| failing.left_ms(*s, now) == 0);
        pending.widen_at = now + left_ms;
        true
    }

    /// Counts a request that a server of this instance lost, or its answer. The permit must not have been removed yet.
    pub(crate) fn record_loss(&mut self, peer: Id, release: &Release) {
        let (server, request, took_ms) = (release.server, release.request, release.took_ms);
        if release.whole {
            self.record_answer(peer, server, request);
        }
        if !release.lost {
            return;
        }
        let linked = self.membership.peers.values().any(|p| p.linked);
        let others = if linked { self.membership.known_count() - 1 } else { 0 };
        let peers_needed = losses::peers_needed(others, peer == self.membership.me);
        let Some(c) = self.controllers.get_mut(&server) else { return };
        if c.find_running(peer, request).is_err() {
            return;
        }
        let loss = Loss { peer, request, took_ms, peers_needed };
        if let Some(closed_ms) = c.losses.lost(loss, self.now) {
            self.effects.push(Effect::ServerFailing { server, closed_ms });
        }
    }

    /// Records that a server of this instance answers a request.
    pub(crate) fn record_answer(&mut self, peer: Id, server: Id, request: RequestId) {
        let Some(c) = self.controllers.get_mut(&server) else { return };
        let Ok(at) = c.find_running(peer, request) else { return };
        if c.losses.answered(c.running[at].granted_at) {
            self.effects.push(Effect::ServerFailing { server, closed_ms: 0 });
        }
    }

    /// Denies a permit for a server of this instance that loses requests. Returns whether it did. A request that holds its permit
    /// already gets it again.
    pub(crate) fn deny_ask_of_failing(&mut self, peer: Id, ask: &Ask) -> bool {
        let (server, now) = (ask.server, self.now);
        let Some(c) = self.controllers.get(&server).filter(|c| !c.losses.is_open()) else {
            return false;
        };
        let yields = c.losses.is_half_open(now) && self.yields_probe(ask);
        let candidate = Candidate { moves: ask.moving, yields };
        let Some(left_ms) = c.losses.denied_ms(candidate, now) else { return false };
        if c.find_running(peer, ask.request).is_ok() {
            return false;
        }
        let deny = c.deny_message(ask, DenyReason::Failing, left_ms as u32);
        self.send(peer, deny);
        true
    }

    /// Whether a request may run only once and has another server, while requests for the same servers exist that may be repeated.
    fn yields_probe(&self, ask: &Ask) -> bool {
        let routes = || self.catalog.document.routes.iter().filter(|r| r.kind.repeatable());
        if routes().any(|r| id(&r.name) == ask.kind) {
            return false;
        }
        let serves = |name: &str| [model_id(name), service_id(name)].contains(&ask.target);
        let servers = self.catalog.targets.get(&ask.target).map_or(&[][..], Vec::as_slice);
        let mut others = servers.iter().filter(|s| **s != ask.server);
        others.any(|s| self.is_usable(*s) && !self.fails(*s))
            && routes().any(|r| r.targets.iter().any(|t| serves(&t.service)))
    }
}
