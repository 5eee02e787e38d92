//! Servers that get nothing more whatever the list says: they said in an answer that they leave, or their availability zone is
//! evacuated. Also what is known of servers that were told to leave, for `core::copies`.

use agateroute_proto::peers::message::Body;
use agateroute_proto::peers::{self, Ask, Deny, DenyReason, Sign};

use crate::Table;
use crate::copies::{self, Fate, Size};
use crate::effect::Effect;
use crate::entry::{Pending, Running, withdrawal};
use crate::estimate::{Class, Curve};
use crate::evacuation::{Evacuation, Point, Update};
use crate::event::{End, RequestId, RequestSpec, ServerSignal};
use crate::id::{Id, Millis};
use crate::migration::{MOVE_RETRY_MS, Move, Stage};
use crate::state::State;
use crate::tempo::ModelTempo;

/// How long a server that is not listed is remembered after it said so, in milliseconds: its entry may come back after an outage.
const RETENTION_MS: Millis = 120_000;
/// The number of tokens of a generation from which its own pace is used where no speed is known.
const MIN_PACE_TOKENS: u32 = 32;
/// How long it takes at least until an instance knows that a lost connection was the end of its server, in milliseconds.
const CRASH_CHECK_MS: Millis = 30;
/// How long after the last event of a generation its server can have gone, in milliseconds: the longest usual pause.
const LAST_PAUSE_MS: Millis = 200;
/// The load up to which a server in the zone of the source is a better destination than any in another one, in thousandths.
const MAX_NEAR_PRESSURE: u32 = 900;
/// The number of attempts for which that holds.
const MAX_NEAR_TRIES: u32 = 2;
/// The number of ended generations of a kind after which their lengths are used instead of callers' hints.
const MIN_HISTORY_SAMPLES: f32 = 40.0;

value! {
    struct Departure {
        /// When the server started that leaves, in milliseconds since 1970; 0 if it is not known.
        start_ms: u64,
        said_at: Millis,
    }
}

record! {
    /// A server that was told to leave.
    pub(crate) struct Departing {
        /// When this instance first heard of it.
        pub(crate) since: Millis,
        name: String,
        /// Its model or service; 0 if it is not known.
        target: Id,
        /// The time of a token there, in milliseconds, if it is known. Its speed is forgotten with its entry in the list.
        token_ms: Option<f32>,
        /// Whether it was seen that the server is gone.
        gone: bool,
    }
}

/// The servers that leave by their own word.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Departures {
    rows: Table<Id, Departure>,
}

impl Departures {
    /// Whether a server has said that it leaves.
    pub fn contains(&self, server: Id) -> bool {
        self.rows.contains(&server)
    }
}

impl State {
    /// Records that a server says in an answer that it leaves, and informs the peers.
    pub(crate) fn departure_noticed(&mut self, server: Id) {
        if !self.departures.contains(server) {
            self.server_departs(server);
            self.broadcast(&departure_sign(server));
        }
    }

    /// Sends a leaving server nothing more, whatever the list says.
    pub(crate) fn server_departs(&mut self, server: Id) {
        let start_ms = self.catalog.servers.get(&server).map_or(0, |s| s.start_ms);
        self.departures.rows.insert(server, Departure { start_ms, said_at: self.now });
        self.server_leaving(server);
    }

    /// Informs a peer that has just linked up of the servers that leave.
    pub(crate) fn tell_departures(&mut self, peer: Id) {
        let departed: Vec<Id> = self.departures.rows.keys().copied().collect();
        for server in departed {
            self.send(peer, departure_sign(server));
        }
    }

    /// Whether the availability zone of a server is evacuated. A server that has left the list keeps its zone for a while.
    pub fn is_evacuated(&self, server: Id) -> bool {
        if self.evacuation.is_empty() {
            return false;
        }
        let listed = self.catalog.servers.get(&server).map(|s| s.zone);
        let zone = listed.or_else(|| self.zones.get(&server).copied());
        zone.is_some_and(|zone| self.evacuation.contains(zone))
    }

    /// Denies a permit for a server that gets nothing more. Returns whether it did. A peer that asks for a permit in an
    /// evacuated zone has not heard of the evacuation, so it is told.
    pub(crate) fn deny_closed(&mut self, peer: Id, ask: &Ask) -> bool {
        let reason = match () {
            () if self.departures.contains(ask.server) => DenyReason::Leaving,
            () if self.is_evacuated(ask.server) => DenyReason::Evacuated,
            () => return self.deny_ask_of_failing(peer, ask),
        };
        if reason == DenyReason::Evacuated && peer != self.membership.me {
            self.tell_evacuation(peer);
        }
        let (request, server) = (ask.request, ask.server);
        let deny = Deny { request, server, reason: reason.into(), ..Deny::default() };
        self.send(peer, Body::Deny(deny));
        true
    }

    /// Applies what was read about evacuated zones, and informs the peers of a change.
    pub(crate) fn evacuation_read(&mut self, point: Point, settled: bool, update: Update) {
        let fetched = matches!(update, Update::Peer(_));
        let before = self.evacuation.clone();
        if self.evacuation.apply(point, settled, update) {
            if let (false, Some(news)) = (fetched, self.evacuation_news()) {
                self.broadcast(&Body::Evacuation(news));
            }
            self.zones_changed(&before, fetched);
        }
    }

    /// Applies what a peer says of evacuated zones. It settles nothing here: only reads do, and what was fetched with their age.
    pub(crate) fn receive_evacuation(&mut self, news: peers::Evacuation) {
        let point = Point { era: news.era, revision: news.revision };
        let before = self.evacuation.clone();
        let era = self.evacuation.point().map(|p| p.era);
        let settled = news.settled && self.evacuation.is_settled() && era == Some(news.era);
        if self.evacuation.apply(point, settled, Update::Peer(news.zones)) {
            self.zones_changed(&before, true);
        }
    }

    /// What peers are told of the evacuated zones; `None` before the first read.
    pub fn evacuation_news(&self) -> Option<peers::Evacuation> {
        let Point { era, revision } = self.evacuation.point()?;
        let zones = self.evacuation.names().to_vec();
        Some(peers::Evacuation { era, revision, zones, settled: self.evacuation.is_settled() })
    }

    /// Informs a peer of the evacuated zones, if there are any.
    pub(crate) fn tell_evacuation(&mut self, peer: Id) {
        if let Some(news) = self.evacuation_news().filter(|n| !n.zones.is_empty()) {
            self.send(peer, Body::Evacuation(news));
        }
    }

    /// The waiting requests for which `test` holds.
    pub(crate) fn pending_where(&self, test: impl Fn(&Pending) -> bool) -> Vec<RequestId> {
        self.entry.pending.iter().filter(|(_, p)| test(p)).map(|(r, _)| *r).collect()
    }

    /// Denies what waits here for servers of evacuated zones, and moves the waiting requests of this instance to other
    /// servers. The servers of a zone that is evacuated no longer count as cold.
    fn zones_changed(&mut self, before: &Evacuation, from_peer: bool) {
        let catalog = self.catalog.clone();
        for (server, info) in catalog.servers.iter() {
            if before.contains(info.zone) && !self.evacuation.contains(info.zone) {
                self.mark_started(*server);
            }
        }
        let owned: Vec<Id> = self.owned().filter(|s| self.is_evacuated(*s)).collect();
        for server in owned {
            self.with_controller(server, |c, _, out| c.deny_waiting(DenyReason::Evacuated, 0, out));
        }
        let mut withdrawn: Vec<(RequestId, Id, Id)> = Vec::new();
        for (request, pending) in self.entry.pending.iter() {
            let evacuated =
                pending.requested.iter().filter(|(server, _)| self.is_evacuated(*server));
            withdrawn.extend(evacuated.map(|(server, owner)| (*request, *server, *owner)));
        }
        let moved = withdrawn.len() as u32;
        for (request, server, owner) in withdrawn {
            self.replace_candidate(request, server, owner);
        }
        let zones = self.evacuation.names().to_vec();
        self.effects.push(Effect::EvacuationChanged { zones, moved, from_peer });
    }

    /// Withdraws a request from a server that takes it no longer, and requests a permit from another one.
    fn replace_candidate(&mut self, request: RequestId, server: Id, owner: Id) {
        let Some(pending) = self.entry.pending.get_mut(&request) else { return };
        pending.requested.retain(|a| *a != (server, owner));
        self.send(owner, withdrawal(request, server));
        self.try_next_server(request);
    }

    /// Forgets servers that have started anew under their name, and those that are gone.
    pub(crate) fn forget_departures(&mut self) {
        let (catalog, now) = (self.catalog.clone(), self.now);
        self.failing.expire(|s| catalog.servers.get(&s).map(|i| i.start_ms), now);
        self.departures.rows.retain(|server, departure| match catalog.servers.get(server) {
            Some(listed) => listed.start_ms == departure.start_ms,
            None => departure.said_at + RETENTION_MS > now,
        });
    }
}

/// What is needed to plan the copies of generations on leaving servers.
impl State {
    /// Remembers when a server was told to leave.
    pub(crate) fn note_departing(&mut self, server: Id) {
        if self.migration.departing.contains(&server) {
            return;
        }
        let target = self.catalog.targets.iter().find(|(_, servers)| servers.contains(&server));
        let target = target.map_or(0, |(target, _)| *target);
        let usual = self.speeds.usual(server, self.now);
        let token_ms = self.speeds.model(target).and_then(ModelTempo::token_ms);
        let token_ms = usual.zip(token_ms).map(|(usual, ms)| ms * usual as f32 / 100.0);
        let name = self.catalog.servers.get(&server).map_or(String::new(), |s| s.name.clone());
        let departing = Departing { since: self.now, name, target, token_ms, gone: false };
        self.migration.departing.insert(server, departing);
    }

    /// The name of a server that was told to leave. It may have left the list.
    pub fn departing_name(&self, server: Id) -> Option<&str> {
        self.migration.departing.get(&server).map(|d| d.name.as_str())
    }

    /// When a leaving server was told so, its model or service, and the time of a token there in milliseconds.
    pub(crate) fn departure(&self, server: Id) -> (Millis, Id, f32) {
        match self.migration.departing.get(&server) {
            Some(d) => (d.since, d.target, d.token_ms.unwrap_or(copies::DEFAULT_TOKEN_MS)),
            None => (self.now, 0, copies::DEFAULT_TOKEN_MS),
        }
    }

    /// The distribution of lengths of a request's class: what this instance has seen more of as an owner or as an entry instance.
    fn length_curve(&self, spec: &RequestSpec) -> Curve {
        let class = Class { model: spec.target, kind: spec.kind, organisation: spec.organisation };
        let (owner, entry) = (&self.estimator, &self.migration.lengths);
        let best = if entry.samples(class) > owner.samples(class) { entry } else { owner };
        if spec.hint > 0 && best.samples(class) < MIN_HISTORY_SAMPLES {
            return Curve::from_hint(spec.hint).clone();
        }
        best.curve(class).cloned().unwrap_or_else(Curve::prior)
    }

    /// The tokens that a generation holds, and those that it probably produces yet.
    pub(crate) fn size(&self, running: &Running) -> Size {
        let curve = self.length_curve(&running.spec);
        Size {
            held: running.spec.prompt.saturating_add(running.tokens),
            left: copies::expected_left(&curve, running.tokens, running.spec.max_tokens),
        }
    }

    /// Whether a generation on a leaving server is nearly certain to end before the server goes.
    pub(crate) fn will_end(&self, running: &Running) -> bool {
        let (since, target, token_ms) = self.departure(running.server);
        let gone_at = since + self.migration.notices.notice_ms(target);
        let known = self.migration.departing.get(&running.server).and_then(|d| d.token_ms);
        let began_at = running.first_token.filter(|_| running.tokens >= MIN_PACE_TOKENS);
        let pace = began_at
            .map(|at| running.last_token.saturating_sub(at) as f32 / running.tokens.max(1) as f32);
        let token_ms = known.or(pace.filter(|ms| *ms > 0.0)).unwrap_or(token_ms);
        let left_ms = gone_at.saturating_sub(self.now) as f32;
        let (tokens, limit) = (running.tokens, running.spec.max_tokens);
        let curve = self.length_curve(&running.spec);
        copies::chance_of_end(&curve, tokens, limit, left_ms, token_ms) > copies::CERTAIN_END
    }

    /// The servers that are no destination of a move: cold ones and those that leave. Those of evacuated zones get nothing anyway.
    /// A copy into another zone takes the time of two, so for the first attempts those of other zones are none either while one in
    /// the zone of the source has room.
    pub(crate) fn poor_destinations(&self, target: Id, from: Id, tries: u32) -> Vec<Id> {
        let servers = self.catalog.targets.get(&target).map_or(&[][..], |s| s);
        let is_poor = |s: Id| self.cold_ms(s).is_some() || self.migration.leaving.contains(&s);
        let zone = |s: Id| self.zones.get(&s).copied();
        let is_near = |s: Id| zone(s) == zone(from);
        let has_room = |s: Id| self.is_usable(s) && self.health.pressure(s) < MAX_NEAR_PRESSURE;
        let any_near = servers.iter().any(|s| is_near(*s) && !is_poor(*s) && has_room(*s));
        let near_only = tries <= MAX_NEAR_TRIES && any_near;
        let excluded = |s: &Id| is_poor(*s) || near_only && !is_near(*s);
        servers.iter().copied().filter(excluded).collect()
    }

    /// Starts the copy of a generation that has a destination, if that still takes it.
    pub(crate) fn copy_reserved(&mut self, request: RequestId, permit: RequestId) {
        let destination = self.entry.running.get(&permit).map(|r| r.server);
        let usable = |s: &Id| self.is_usable(*s) && self.cold_ms(*s).is_none();
        if let Some(server) = destination.filter(usable) {
            self.start_copy(request, permit, server);
            return;
        }
        self.return_permit(permit);
        self.set_stage(request, Stage::Backoff(self.now + MOVE_RETRY_MS));
        if let Some(moving) = self.migration.moves.get(&request).copied() {
            self.release_slot(request, moving.server);
        }
    }

    /// Returns a reserved permit under which nothing was sent.
    pub(crate) fn return_permit(&mut self, permit: RequestId) {
        let Some(running) = self.entry.running.remove(&permit) else { return };
        let step = self.pressure_step(running.server);
        self.health.sub_pressure(running.server, step);
        self.send(running.owner, withdrawal(permit, running.server));
    }

    /// Returns the permits that are reserved at a server that leaves, and looks for other destinations.
    pub(crate) fn return_reserved_at(&mut self, server: Id) {
        let reserved = self.migration.moves.iter().filter_map(|(request, m)| match m.stage {
            Stage::Reserved(permit, _) => Some((*request, permit)),
            _ => None,
        });
        let at = |permit: RequestId| self.entry.running.get(&permit).map(|r| r.server);
        let lost: Vec<(RequestId, RequestId)> =
            reserved.filter(|(_, permit)| at(*permit) == Some(server)).collect();
        for (request, permit) in lost {
            self.return_permit(permit);
            self.set_stage(request, Stage::AwaitingSlot(self.now));
            self.ask_again(request);
        }
    }

    /// Ends the migration of a generation that will probably end before its server goes.
    pub(crate) fn give_up_slot(&mut self, request: RequestId) {
        let Some(moving) = self.migration.moves.remove(&request) else { return };
        self.release_slot(request, moving.server);
        self.cancel_search(request);
        if let Stage::Reserved(permit, _) = moving.stage {
            self.return_permit(permit);
        }
    }

    /// Learns from the end of a generation, and reports what became of it if its server leaves.
    pub(crate) fn learn_end(
        &mut self,
        request: RequestId,
        running: &Running,
        end: &End,
        moving: Option<Move>,
    ) {
        let (spec, server, now) = (&running.spec, running.server, self.now);
        if let End::Completed { tokens, .. } = end
            && self.plans_capacity(spec.target)
            && spec.movable
        {
            let class =
                Class { model: spec.target, kind: spec.kind, organisation: spec.organisation };
            self.migration.lengths.learn(class, *tokens);
        }
        let copying = matches!(moving.map(|m| m.stage), Some(Stage::Copying(..)));
        if copying {
            self.report_fate(request, server, Fate::CopyUnused);
        }
        let Some(departing) = self.migration.departing.get_mut(&server) else { return };
        let fate = match end {
            End::Completed { .. } => Fate::EndedInTime,
            End::Lost { .. } if copying => Fate::CutCopying,
            End::Lost { .. } => Fate::CutWaiting,
            End::Cancelled { .. } | End::NotStarted { .. } => return,
        };
        if let End::Lost { signal: ServerSignal::Crashed, .. } = end
            && running.last_token > departing.since
            && !std::mem::replace(&mut departing.gone, true)
        {
            let last = running.last_token;
            let gone_at = now.saturating_sub(CRASH_CHECK_MS).clamp(last, last + LAST_PAUSE_MS);
            let (target, notice_ms) = (departing.target, gone_at - departing.since);
            self.migration.notices.observe(target, notice_ms, now);
        }
        if spec.movable {
            self.report_fate(request, server, fate);
        }
    }

    pub(crate) fn report_fate(&mut self, request: RequestId, server: Id, fate: Fate) {
        self.effects.push(Effect::CopyReported { request, server, fate });
    }
}

fn departure_sign(server: Id) -> Body {
    Body::Sign(Sign { server, refused: false, leaving: true, said: true })
}
