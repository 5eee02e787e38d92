//! Refusals by the entry instance: when all servers are known to have no room in time, and the time that is stated then.

use agateroute_proto::peers::Deny;

use crate::controller::Context;
use crate::denials::UNLIMITED_WAIT_MS;
use crate::effect::{Effect, Refusal};
use crate::entry::{Pending, withdrawal};
use crate::event::{RequestId, RequestSpec};
use crate::id::{Id, Millis};
use crate::promises::{PROMISE_DIVISOR, extended_deadline, is_useful};
use crate::requests::Room;
use crate::shedding::{Class, Denial, MIN_ASKED};
use crate::state::State;

/// The interval at which what is too old is dropped, in milliseconds.
const EXPIRY_MS: Millis = 1_000;
/// How much earlier than this instance an owner may see the end of a wait, in milliseconds: two ticks.
const MESSAGE_MS: Millis = 50;

impl State {
    pub(crate) fn context(&self) -> Context<'_> {
        let (catalog, estimator) = (&self.catalog, &self.estimator);
        Context { catalog, estimator, speeds: &self.speeds, now: self.now }
    }

    /// Whether a request may be refused before its time is over. One that may have run, a stream that goes on and a
    /// generation that moves may not.
    fn may_shed(&self, pending: &Pending) -> bool {
        pending.started_on == 0
            && pending.spec.version.is_none()
            && pending.move_source.is_none()
            && self.plans_capacity(pending.spec.target)
    }

    /// When a request is refused if it still has no permit.
    pub(crate) fn wait_until(&self, pending: &Pending) -> Millis {
        let spec = &pending.spec;
        match spec.answer_by > spec.deadline && self.may_shed(pending) {
            true => extended_deadline(spec.deadline, spec.answer_by),
            false => spec.deadline,
        }
    }

    /// How long a request may wait for a permit, as its owners are told, in milliseconds.
    pub(crate) fn wait_ms(&self, request: RequestId) -> u32 {
        let Some(pending) = self.entry.pending.get(&request) else { return 0 };
        let moves = pending.move_source.is_some();
        if !moves && self.plans_capacity(pending.spec.target) && !self.may_shed(pending) {
            return UNLIMITED_WAIT_MS;
        }
        self.wait_until(pending).saturating_sub(self.now) as u32
    }

    /// Records when the owner of a server expects room for a request that it denied.
    pub(crate) fn room_told(&mut self, owner: Id, deny: &Deny) {
        let Some(room_ms) = deny.room_ms else { return };
        let Some(pending) = self.entry.pending.get_mut(&deny.request) else { return };
        let (server, room_at) = (deny.server, self.now + u64::from(room_ms));
        pending.rooms.push(Room { server, owner, at: room_at });
        let class = class(&pending.spec);
        if let Some(interval_ms) = deny.interval_ms.filter(|ms| *ms > 0) {
            let (interval_ms, told_at) = (u64::from(interval_ms), self.now);
            self.shedding.record(server, class, Denial { room_at, interval_ms, told_at });
        }
    }

    /// Whether a request that was just denied is refused without asking further servers: its caller can come back when the server
    /// has room, or its time is nearly over.
    pub(crate) fn ends_wait(&self, request: RequestId) -> bool {
        let Some(pending) = self.entry.pending.get(&request) else { return false };
        let Some(room) = pending.rooms.last().filter(|_| self.may_shed(pending)) else {
            return false;
        };
        let left_ms = pending.spec.answer_by.saturating_sub(self.now);
        let waited = pending.spec.deadline <= self.now + MESSAGE_MS;
        let returns = waited && is_useful(room.at.saturating_sub(self.now), left_ms);
        let is_over = self.wait_until(pending) <= self.now + MESSAGE_MS;
        returns || is_over && pending.requested.is_empty()
    }

    /// Adds the servers that are known to have no room for a request in time to those that are not asked. A request that has
    /// asked a few servers itself is refused if no other is left.
    pub(crate) fn exclude_full(&self, request: RequestId, mut excluded: Vec<Id>) -> Vec<Id> {
        let Some(pending) = self.entry.pending.get(&request) else { return excluded };
        if pending.alone || !self.may_shed(pending) {
            return excluded;
        }
        let full: Vec<Id> = self.full_servers(pending).map(|(server, _)| server).collect();
        if full.is_empty() {
            return excluded;
        }
        let servers = self.catalog.targets.get(&pending.spec.target);
        let is_open = |s: &Id| !excluded.contains(s) && !full.contains(s) && self.is_usable(*s);
        let open = servers.is_some_and(|servers| servers.iter().any(is_open));
        if open || excluded.len() >= MIN_ASKED {
            excluded.extend(full);
        }
        excluded
    }

    /// The servers that would deny a request by the denials that this instance remembers.
    fn full_servers(&self, pending: &Pending) -> impl Iterator<Item = (Id, Denial)> {
        let spec = &pending.spec;
        let (class, wait_ms) = (class(spec), self.wait_until(pending).saturating_sub(self.now));
        let servers = self.catalog.targets.get(&spec.target).into_iter().flatten();
        servers.filter_map(move |server| {
            let denial = self.shedding.denial(*server, class, wait_ms, self.now)?;
            (!pending.tried.contains(server)).then_some((*server, denial))
        })
    }

    /// Returns the reason and the retry delay in milliseconds for a request that is refused because no server has room for it
    /// in time. Gives back the promises of the owners that it does not use. `None` if no owner has told when it has room, or
    /// the request is not one to be refused early.
    pub(crate) fn state_room(&mut self, pending: &Pending) -> Option<(Refusal, u32)> {
        if !self.may_shed(pending) {
            return None;
        }
        let (spec, now) = (&pending.spec, self.now);
        let known: Vec<Millis> = self.full_servers(pending).map(|(_, d)| d.room_at).collect();
        // A remembered time was promised to another request.
        let own = pending.rooms.iter().map(|r| r.at).filter(|at| *at >= now).min();
        let room_at = own.or(known.iter().copied().min())?;
        let servers = self.catalog.targets.get(&spec.target).map_or(&[][..], Vec::as_slice);
        let instances = self.owners().len();
        let interval_ms = self.shedding.own_interval_ms(servers, instances, now).unwrap_or(0);
        let left_ms = (spec.answer_by > 0).then(|| spec.answer_by.saturating_sub(now));
        let sequence = (spec.target, spec.request);
        let stated = self.shedding.state(sequence, room_at, interval_ms, left_ms, now);
        if stated.returns {
            self.shedding.expect_return(spec.fingerprint, now + stated.delay_ms);
        }
        for room in &pending.rooms {
            let used = stated.returns && room.at == room_at;
            let promised = left_ms.is_none_or(|l| room.at <= now + l / PROMISE_DIVISOR);
            if !used && promised {
                self.send(room.owner, withdrawal(spec.request, room.server));
            }
        }
        let refusal = pending.denied.map_or(Refusal::NoRoom, |d| d.0);
        let delay_ms = stated.delay_ms.min(u64::from(u32::MAX)) as u32;
        self.effects.push(Effect::Shed {
            request: spec.request,
            refusal,
            delay_ms,
            returns: stated.returns,
            asked: pending.tried.len() as u32,
            remembered: known.len() as u32,
        });
        Some((refusal, delay_ms.max(1)))
    }

    /// Recognises the return of a request that this instance refused, when it gets its permit.
    pub(crate) fn return_permitted(&mut self, spec: &RequestSpec) {
        if let Some(stated_at) = self.shedding.take_return(spec.fingerprint) {
            let late_ms = self.now.saturating_sub(stated_at);
            self.effects.push(Effect::ReturnPermitted { request: spec.request, late_ms });
        }
    }

    pub(crate) fn tick_shedding(&mut self) {
        if self.now >= self.shedding.expired_at + EXPIRY_MS {
            self.shedding.expire(self.now);
        }
    }
}

fn class(spec: &RequestSpec) -> Class {
    Class { organisation: spec.organisation, kind: spec.kind }
}
