//! The requests of this instance's callers: those that wait for a permit and those that run.
//! The instance that received a request from its caller is the entry instance of that request.

use agateroute_proto::peers::message::Body;
use agateroute_proto::peers::{
    Ask, Deny, DenyReason, Grant, Hold, Progress, Release, Withdraw, WithdrawReason,
};

use crate::Table;
use crate::effect::{Effect, Refusal};
use crate::event::{End, RequestId, RequestSpec, ServerSignal, Via};
use crate::forward::Forwarded;
use crate::id::{Id, Millis};
use crate::placement;
pub use crate::requests::{Pending, Running};
use crate::state::State;
use crate::streams::Origin;
use crate::suspect::SuspectStatus;

/// How long to wait for a permit before one is requested from a further server as well, in
/// milliseconds. The interval doubles with each further server.
const HEDGE_MS: Millis = 25;
/// The maximum number of servers from which one request waits for a permit at the same time.
const MAX_PERMIT_REQUESTS: usize = 4;
/// The number of tokens between two progress reports to the owner.
const PROGRESS_TOKENS: u32 = 16;
/// The retry delay given to callers when no owner suggested one, in milliseconds.
pub(crate) const DEFAULT_RETRY_MS: u32 = 1_000;

/// The requests that this instance received from callers and that have not ended.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Entry {
    /// The requests that wait for a permit.
    pub pending: Table<RequestId, Pending>,
    /// The requests that run under a permit.
    pub running: Table<RequestId, Running>,
    /// The requests that a peer serves.
    pub forwarded: Table<RequestId, Forwarded>,
}

impl State {
    /// Adds a new request and counts it for the retry budget.
    pub(crate) fn add_request(&mut self, spec: RequestSpec) {
        let allowance = self.allowance();
        if spec.via != Via::Peer {
            self.budget.record_arrival(spec.target, self.now, allowance);
        }
        match &spec.resumes {
            Some(_) => self.find_origin(spec),
            None => self.place_arrived(spec),
        }
    }

    /// Looks for a server for a request that has not been on one.
    pub(crate) fn place_arrived(&mut self, spec: RequestSpec) {
        self.place(spec, Vec::new(), 0, 0);
    }

    /// Looks for a server for a request, or for a peer that serves it.
    pub(crate) fn place(
        &mut self,
        spec: RequestSpec,
        tried: Vec<Id>,
        attempts: u32,
        started_on: u32,
    ) {
        let forwarded = Forwarded { spec, peers: Vec::new(), attempts, started_on };
        let Some(Forwarded { spec, .. }) = self.try_forward(forwarded) else { return };
        let alone = match self.suspects.status(spec.fingerprint, self.now, self.catalog.routing()) {
            SuspectStatus::Clear => false,
            SuspectStatus::Alone => true,
            SuspectStatus::Quarantined => {
                self.refuse(spec.request, Refusal::Quarantined, 0);
                return;
            }
        };
        if let Some(left_ms) = self.parts.blocked_for(&spec.parts, self.now) {
            self.refuse(spec.request, Refusal::Quarantined, left_ms as u32);
            return;
        }
        let request = spec.request;
        let pending = Pending {
            spec,
            alone,
            requested: Vec::new(),
            tried,
            widen_at: self.now + HEDGE_MS,
            widen_ms: HEDGE_MS,
            denied: None,
            rooms: Vec::new(),
            attempts,
            started_on,
            move_source: None,
            quoted: None,
        };
        self.entry.pending.insert(request, pending);
        self.start_placing(request);
    }

    /// Requests a permit from one more server. Refuses the request if no server is left to wait for.
    pub(crate) fn try_next_server(&mut self, request: RequestId) {
        let Some(pending) = self.entry.pending.get(&request) else { return };
        if pending.requested.len() >= MAX_PERMIT_REQUESTS || pending.awaits_offers() {
            return;
        }
        let spec = pending.spec.clone();
        let excluded: Vec<Id> =
            pending.tried.iter().copied().chain(pending.requested.iter().map(|a| a.0)).collect();
        let (alone, none_open) = (pending.alone, pending.requested.is_empty());
        let move_from = pending.move_source.map(|(_, from)| from);
        let excluded = self.exclude_full(request, excluded);
        let offered = self.next_offer(request, &excluded);
        match offered.or_else(|| self.choose_server(&spec, &excluded, alone, move_from)) {
            Some(server) => self.request_permit(request, server),
            None if none_open && !self.awaits_reopening(request) => self.refuse_unplaced(request),
            None => {}
        }
    }

    pub(crate) fn request_permit(&mut self, request: RequestId, server: Id) {
        let owner = self.owner_of(server);
        let now = self.now;
        let terms = self.limits.get(server).unwrap_or_default();
        let by_speed = self.minds_speed(request);
        let cold_ms = self.cold_ms(server);
        let wait_ms = self.wait_ms(request);
        let Some(pending) = self.entry.pending.get_mut(&request) else { return };
        pending.requested.push((server, owner));
        let spec = &pending.spec;
        let ask = Ask {
            request,
            server,
            organisation: spec.organisation,
            target: spec.target,
            kind: spec.kind,
            // A stream that goes on has fewer servers to choose from, and its caller has a part of it.
            rank: if spec.version.is_some() { 0 } else { u32::from(spec.rank) },
            prompt: spec.prompt,
            most: spec.max_tokens,
            wait_ms,
            alone: pending.alone,
            prefix: spec.prefix,
            shared: spec.prefix_tokens,
            hint: spec.hint,
            moving: pending.move_source.is_some(),
            target_ms: spec.target_ms,
            target_left_ms: spec.target_deadline.saturating_sub(now) as u32,
            limit: terms.limit,
            brittle: terms.brittle,
            gap_ms: if by_speed { spec.gap_ms } else { 0 },
            parts: if by_speed { placement::parts(spec) } else { Vec::new() },
            cold_ms,
        };
        let step = self.pressure_step(server);
        self.health.add_pressure(server, step);
        self.send(owner, Body::Ask(ask));
    }

    /// Requests a permit for the destination of a migration. `spec` describes the rest of the generation
    /// under a request id of its own.
    pub(crate) fn place_move(
        &mut self,
        moving: RequestId,
        spec: RequestSpec,
        from: Id,
        tried: Vec<Id>,
    ) {
        let request = spec.request;
        let pending = Pending {
            spec,
            alone: false,
            requested: Vec::new(),
            tried,
            widen_at: self.now + HEDGE_MS,
            widen_ms: HEDGE_MS,
            denied: None,
            rooms: Vec::new(),
            attempts: 0,
            started_on: 0,
            move_source: Some((moving, from)),
            quoted: None,
        };
        self.entry.pending.insert(request, pending);
        self.start_placing(request);
    }

    pub(crate) fn granted(&mut self, peer: Id, grant: &Grant) {
        self.health.set_pressure(grant.server, grant.pressure);
        self.terms_granted(grant);
        self.usual_told(peer, grant.server, grant.slowness);
        let (request, server) = (grant.request, grant.server);
        if let Some(running) = self.entry.running.get(&request)
            && running.server == server
            && running.owner == peer
        {
            return;
        }
        let expected =
            self.entry.pending.get(&request).is_some_and(|p| p.requested.contains(&(server, peer)));
        let version = self.entry.pending.get(&request).and_then(|p| p.spec.version);
        let usable = self.is_usable(server) && self.may_serve(server, version);
        if !expected || !usable {
            self.send(peer, withdrawal(request, server));
            if expected {
                self.drop_candidate(request, server, peer);
            }
            return;
        }
        let Some(pending) = self.entry.pending.remove(&request) else { return };
        for (other, owner) in &pending.requested {
            if *other != server {
                self.send(*owner, withdrawal(request, *other));
            }
        }
        self.prefixes.record(pending.spec.prefix, server, self.now);
        self.return_permitted(&pending.spec);
        let running = Running {
            placed: self.placement(&pending, server),
            started_at: self.now,
            spec: pending.spec,
            server,
            version: self.version_of(server),
            owner: peer,
            began: false,
            first_token: None,
            last_token: 0,
            survived: false,
            tokens: 0,
            reported_tokens: 0,
            reported_at: 0,
            slowness: None,
            gap_ms: 0,
            retry: None,
            attempts: pending.attempts,
            started_on: pending.started_on,
            tried: pending.tried,
        };
        self.entry.running.insert(request, running);
        match pending.move_source {
            None => self.effects.push(Effect::Start { request, server }),
            Some((moving, _)) => self.move_permitted(moving, request, server),
        }
    }

    pub(crate) fn denied(&mut self, peer: Id, deny: &Deny) {
        self.health.set_pressure(deny.server, deny.pressure);
        let owner_changed = deny.reason() == DenyReason::UnknownServer;
        if deny.reason() == DenyReason::Leaving {
            self.health.record_leaving(deny.server, self.now);
        }
        self.note_failing(deny);
        let owner = self.owner_of(deny.server);
        let Some(pending) = self.entry.pending.get_mut(&deny.request) else { return };
        let sent = (deny.server, peer);
        if !pending.requested.contains(&sent) {
            return;
        }
        if owner_changed && owner != peer {
            pending.requested.retain(|a| *a != sent);
            self.request_permit(deny.request, deny.server);
            return;
        }
        pending.denied = match deny.reason() {
            DenyReason::NoRoom => Some((Refusal::NoRoom, deny.retry_ms)),
            DenyReason::OverShare => Some((Refusal::OverShare, deny.retry_ms)),
            _ => pending.denied,
        };
        self.room_told(peer, deny);
        self.drop_candidate(deny.request, deny.server, peer);
    }

    /// Excludes a server whose owner denied the request, or granted it after this instance learned that
    /// the server is leaving or gone.
    fn drop_candidate(&mut self, request: RequestId, server: Id, owner: Id) {
        let Some(pending) = self.entry.pending.get_mut(&request) else { return };
        pending.requested.retain(|a| *a != (server, owner));
        pending.tried.push(server);
        if self.ends_wait(request) {
            self.refuse_unplaced(request);
        } else if self.entry.pending.get(&request).is_some_and(|p| p.requested.is_empty()) {
            self.try_next_server(request);
        }
    }

    /// Refuses a pending request for which no usable server is left.
    fn refuse_unplaced(&mut self, request: RequestId) {
        let Some(pending) = self.entry.pending.remove(&request) else { return };
        if let Some((moving, _)) = pending.move_source {
            self.move_refused(moving);
            return;
        }
        self.withdraw_all(&pending);
        let (refusal, retry_ms) = match self.state_room(&pending).or(pending.denied) {
            Some(denied) => denied,
            None => {
                let failed = pending.attempts > 0;
                let refusal = if failed { Refusal::Failed } else { Refusal::NoServer };
                let pause_ms = self.shortest_pause_ms(pending.spec.target);
                (refusal, pause_ms.map_or(DEFAULT_RETRY_MS, |ms| ms as u32))
            }
        };
        self.refuse(request, refusal, retry_ms);
    }

    /// Refuses the waiting requests for which `test` holds as quarantined, for a time in milliseconds if it is known and
    /// not 0. Generations that move are no new work.
    pub(crate) fn refuse_waiting(&mut self, left_ms: Millis, test: impl Fn(&Pending) -> bool) {
        for request in self.pending_where(|p| p.move_source.is_none() && test(p)) {
            if let Some(pending) = self.entry.pending.remove(&request) {
                self.withdraw_all(&pending);
                self.refuse(request, Refusal::Quarantined, left_ms as u32);
            }
        }
    }

    pub(crate) fn refuse(&mut self, request: RequestId, refusal: Refusal, retry_ms: u32) {
        self.effects.push(Effect::Refuse { request, refusal, retry_ms });
    }

    /// Drops a request whose caller disconnected, also if its permit was granted at the same moment.
    pub(crate) fn abandon(&mut self, request: RequestId) {
        self.streams.abandon(request);
        self.entry.forwarded.remove(&request);
        if let Some(pending) = self.entry.pending.remove(&request) {
            self.withdraw_all(&pending);
        }
        if let Some(running) = self.entry.running.get(&request) {
            let tokens = running.tokens;
            self.ended(request, &End::Cancelled { tokens });
        }
    }

    pub(crate) fn withdraw_all(&mut self, pending: &Pending) {
        let request = pending.spec.request;
        for (server, owner) in &pending.requested {
            self.send(*owner, withdrawal(request, *server));
        }
    }

    pub(crate) fn progressed(&mut self, request: RequestId, tokens: u32) {
        let Some(running) = self.entry.running.get_mut(&request) else { return };
        running.tokens = running.tokens.max(tokens);
        if running.spec.version.is_none() {
            running.spec.version = Some(running.version);
            let origin = Origin { target: running.spec.target, version: running.version };
            let stream = running.spec.stream;
            self.stream_began(stream, origin);
        }
        self.check_survival(request);
        self.start_move(request);
        let Some(running) = self.entry.running.get_mut(&request) else { return };
        // The first report tells the owner that the prompt has been processed.
        if running.reported_tokens > 0 && running.tokens < running.reported_tokens + PROGRESS_TOKENS
        {
            return;
        }
        let since = (running.reported_tokens, running.reported_at);
        running.reported_tokens = running.tokens;
        running.reported_at = self.now;
        let (owner, server) = (running.owner, running.server);
        let slowness = running.slowness.take();
        self.send(owner, Body::Progress(Progress { request, server, tokens, slowness }));
        self.learn_steps(request, since);
    }

    /// Handles the end of an attempt: releases the permit, records what was observed of the server,
    /// and retries the request on another server if that is allowed.
    pub(crate) fn ended(&mut self, request: RequestId, end: &End) {
        let Some(mut running) = self.entry.running.remove(&request) else { return };
        self.forget_move(request, &running, end);
        let elapsed_ms = self.now.saturating_sub(running.started_at) as u32;
        let (tokens, whole, took_ms) = match end {
            End::Completed { tokens, took_ms } => (*tokens, true, *took_ms),
            End::Lost { tokens, .. } | End::Cancelled { tokens } => (*tokens, false, elapsed_ms),
            End::NotStarted { .. } => (0, false, 0),
        };
        let cancelled = matches!(end, End::Cancelled { .. });
        let lost = self.is_reset(end);
        let server = running.server;
        let step = self.pressure_step(server);
        self.health.sub_pressure(server, step);
        let body = match end {
            End::NotStarted { signal: ServerSignal::Refused | ServerSignal::Evacuated } => {
                withdrawal(request, server)
            }
            End::NotStarted { .. } => {
                let reason = WithdrawReason::Refused.into();
                Body::Withdraw(Withdraw { request, server, reason })
            }
            _ => {
                let gap_ms = running.gap_ms;
                Body::Release(Release {
                    request,
                    server,
                    tokens,
                    whole,
                    took_ms,
                    cancelled,
                    gap_ms,
                    lost,
                })
            }
        };
        self.send(running.owner, body);
        match end {
            End::Completed { .. } => {
                self.clear_suspect(&running.spec);
                if let Some(began_at) = running.first_token {
                    self.answer_survived(&running.spec.parts, began_at);
                }
            }
            End::Cancelled { .. } => {}
            End::NotStarted { signal: ServerSignal::Evacuated } => {
                self.place(running.spec, running.tried, running.attempts, running.started_on);
            }
            End::NotStarted { signal } => {
                self.record_signal(server, running.owner, *signal);
                // A refused connection never reached the server, so it uses no retry budget.
                self.retry_elsewhere(running, true, *signal != ServerSignal::Refused);
            }
            End::Lost { signal, retry, .. } => {
                self.record_signal(server, running.owner, *signal);
                self.health.record_failure(server, self.now);
                if *signal == ServerSignal::Crashed {
                    self.count_crash(&running.spec);
                    self.count_part_crash(&running);
                }
                running.started_on += 1;
                let max_attempts = running.spec.max_attempts;
                let retry = *retry && (max_attempts == 0 || running.started_on < max_attempts);
                self.retry_elsewhere(running, retry, true);
            }
        }
    }

    /// Releases the permit of a migrated request, which continues under another permit.
    pub(crate) fn release_permit(&mut self, request: RequestId) {
        let Some(running) = self.entry.running.remove(&request) else { return };
        let (server, tokens) = (running.server, running.tokens);
        let gap_ms = running.gap_ms;
        let release = Release { request, server, tokens, gap_ms, ..Release::default() };
        self.send(running.owner, Body::Release(release));
    }

    /// Refuses pending requests whose deadline has passed, and requests permits from further servers for
    /// those that have waited long enough.
    pub(crate) fn tick_requests(&mut self) {
        let now = self.now;
        let expired: Vec<RequestId> = self.pending_where(|p| self.wait_until(p) <= now);
        for request in expired {
            if let Some(pending) = self.entry.pending.remove(&request) {
                self.withdraw_all(&pending);
                if let Some((moving, _)) = pending.move_source {
                    self.move_refused(moving);
                    continue;
                }
                let denied = self.state_room(&pending).or(pending.denied);
                let (refusal, retry_ms) = denied.unwrap_or((Refusal::NoRoom, DEFAULT_RETRY_MS));
                self.refuse(request, refusal, retry_ms);
            }
        }
        self.tick_quotes();
        self.tick_shedding();
        let due: Vec<RequestId> = self.pending_where(|p| p.widen_at <= now && !p.awaits_offers());
        for request in due {
            if let Some(pending) = self.entry.pending.get_mut(&request) {
                pending.widen_ms *= 2;
                pending.widen_at = now + pending.widen_ms;
            }
            self.try_next_server(request);
            self.delay_widening(request);
        }
    }

    /// Sends open permit requests and running requests to the new owners of their servers.
    pub(crate) fn update_owners(&mut self) {
        // The new owners have to know the running requests before they grant further permits.
        self.report_running();
        let mut moved = Vec::new();
        for (request, pending) in self.entry.pending.iter() {
            for (server, owner) in &pending.requested {
                if self.owner_of(*server) != *owner {
                    moved.push((*request, *server, *owner));
                }
            }
        }
        for (request, server, owner) in moved {
            if let Some(pending) = self.entry.pending.get_mut(&request) {
                pending.requested.retain(|a| *a != (server, owner));
                self.send(owner, withdrawal(request, server));
                self.request_permit(request, server);
            }
        }
    }

    /// Reports running requests to the new owners of their servers and withdraws them from the former.
    fn report_running(&mut self) {
        let owners: Vec<(RequestId, Id)> =
            self.entry.running.iter().map(|(r, h)| (*r, self.owner_of(h.server))).collect();
        for (request, owner) in owners {
            let Some(running) = self.entry.running.get_mut(&request) else { continue };
            if running.owner == owner {
                continue;
            }
            let former = std::mem::replace(&mut running.owner, owner);
            let server = running.server;
            let hold = running.hold();
            let reason = WithdrawReason::OwnerChanged.into();
            self.send(former, Body::Withdraw(Withdraw { request, server, reason }));
            self.send(owner, Body::Hold(hold));
        }
    }

    /// Sends an owner all pending and running requests that concern it, after a stream to it was set up.
    pub(crate) fn resync_owner(&mut self, owner: Id) {
        let held: Vec<Hold> =
            self.entry.running.values().filter(|r| r.owner == owner).map(Running::hold).collect();
        for hold in held {
            self.send(owner, Body::Hold(hold));
        }
        let sent: Vec<(RequestId, Id)> = self
            .entry
            .pending
            .iter()
            .flat_map(|(r, p)| p.requested.iter().map(|a| (*r, *a)))
            .filter(|(_, (_, o))| *o == owner)
            .map(|(r, (server, _))| (r, server))
            .collect();
        for (request, server) in sent {
            if let Some(pending) = self.entry.pending.get_mut(&request) {
                pending.requested.retain(|a| *a != (server, owner));
                self.request_permit(request, server);
            }
        }
    }
}

impl Running {
    /// Builds the message that reports this request to the owner of its server.
    fn hold(&self) -> Hold {
        Hold {
            request: self.spec.request,
            server: self.server,
            organisation: self.spec.organisation,
            target: self.spec.target,
            kind: self.spec.kind,
            rank: u32::from(self.spec.rank),
            prompt: self.spec.prompt,
            tokens: self.tokens,
        }
    }
}

/// Builds the message that cancels a request for a permit, or returns a permit under which nothing was sent.
pub(crate) fn withdrawal(request: RequestId, server: Id) -> Body {
    Body::Withdraw(Withdraw { request, server, reason: WithdrawReason::Unspecified.into() })
}
