//! The limits that backend servers have named in answers, as far as this instance knows.
//!
//! The owner of a server keeps to them (`pace.rs`, `brittle.rs`). This instance remembers them for the next owner, and to know which
//! answers to report.

use agateroute_proto::peers::message::Body;
use agateroute_proto::peers::{Grant, ServerCold, ServerNotice};

use crate::Table;
use crate::catalog::Catalog;
use crate::cold;
use crate::id::{Id, Millis};
use crate::rendezvous;
use crate::state::State;

/// How long a limit is remembered after the last answer or grant that named it, in milliseconds. The entry of a server may be
/// missing for a while, so this does not depend on the list.
const RETENTION_MS: Millis = 60_000;

value! {
    /// What a server in need has named.
    #[derive(Default)]
    pub struct Terms {
        /// The requests that it takes from all instances together, in thousandths of a request a second.
        pub limit: Option<u32>,
        /// The refusals for want of room in a second that it bears without falling over.
        pub brittle: Option<u32>,
    }

    struct Known {
        terms: Terms,
        /// When an answer here named them last; `None` if only an owner did.
        named_at: Option<Millis>,
        renewed_at: Millis,
    }
}

/// The known limits by server.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Limits {
    rows: Table<Id, Known>,
}

impl Limits {
    /// What a server has named, if anything is known.
    pub fn get(&self, server: Id) -> Option<Terms> {
        self.rows.get(&server).map(|k| k.terms)
    }

    /// Records what an answer says. `started_at` is when its request got its permit, if that is known: only an answer to a
    /// request that came after the last one that named something shows that the server is in need no longer.
    pub(crate) fn observe(
        &mut self,
        server: Id,
        terms: Terms,
        started_at: Option<Millis>,
        now: Millis,
    ) {
        if terms != Terms::default() {
            let known = Known { terms, named_at: Some(now), renewed_at: now };
            self.rows.insert(server, known);
            return;
        }
        let named_at = self.rows.get(&server).and_then(|k| k.named_at);
        if started_at > named_at {
            self.rows.remove(&server);
        }
    }

    /// Records what the owner of a server knows.
    fn renew(&mut self, server: Id, terms: Terms, now: Millis) {
        let named_at = self.rows.get(&server).and_then(|k| k.named_at);
        self.rows.insert(server, Known { terms, named_at, renewed_at: now });
    }

    fn expire(&mut self, now: Millis) {
        self.rows.retain(|_, k| k.renewed_at + RETENTION_MS > now);
    }
}

impl State {
    /// Applies what a peer's answer says of a server that this instance owns.
    pub(crate) fn receive_notice(&mut self, peer: Id, notice: &ServerNotice) {
        let limit = |s: &State| s.controllers.get(&notice.server)?.pace.map(|p| p.limit);
        let before = limit(self);
        self.with_controller(notice.server, |c, ctx, out| c.notice(peer, notice, ctx, out));
        let after = limit(self);
        if before != after {
            self.effects.push(crate::Effect::LimitChanged { server: notice.server, limit: after });
        }
    }

    /// Records what the owner of a server says of it with a permit.
    pub(crate) fn terms_granted(&mut self, grant: &Grant) {
        let server = grant.server;
        self.heard_cold(server, grant.cold_ms);
        let terms = Terms { limit: grant.limit, brittle: grant.brittle };
        if terms != Terms::default() {
            self.limits.renew(server, terms, self.now);
        }
    }

    pub(crate) fn tick_limits(&mut self) {
        self.limits.expire(self.now);
        self.cold.expire(self.now);
    }

    pub(crate) fn set_cold_terms(&mut self, terms: Vec<(Id, cold::Terms)>) {
        self.cold.set_terms(terms.into_iter().collect());
        self.limit_cold();
    }

    /// The terms of a server for the time that it is cold; `None` if there is no bound.
    fn cold_terms(&self, server: Id) -> Option<cold::Terms> {
        let targets = &self.catalog.targets;
        let runs = |target: Id| targets.get(&target).is_some_and(|s| s.contains(&server));
        self.cold.terms().find(|(target, _)| runs(*target)).map(|(_, terms)| terms)
    }

    /// How long a server stays cold, in milliseconds, if it is known to be and there is a bound.
    pub(crate) fn cold_ms(&self, server: Id) -> Option<u32> {
        let left_ms = self.cold.left_ms(server, self.now);
        (left_ms > 0 && self.cold.has_terms()).then_some(left_ms as u32)
    }

    /// Has the controllers of the servers that this instance owns keep to the bound while they are cold.
    pub(crate) fn limit_cold(&mut self) {
        let owned: Vec<Id> = self.owned().collect();
        for server in owned {
            self.limit_cold_server(server);
        }
    }

    fn limit_cold_server(&mut self, server: Id) {
        let terms = self.cold_terms(server);
        let (now, until) = (self.now, self.now + self.cold.left_ms(server, self.now));
        let Some(c) = self.controllers.get_mut(&server) else { return };
        let before = c.cold_ms();
        c.set_cold(terms, until, now);
        let after = c.cold_ms();
        if before.is_some() != after.is_some() {
            let left_ms = after.map_or(0, Millis::from);
            self.effects.push(crate::Effect::ColdChanged { server, left_ms });
        }
    }

    /// Applies what a message says of a cold server: how long it stays so in milliseconds, 0 if it no longer is.
    pub(crate) fn heard_cold(&mut self, server: Id, left_ms: Option<u32>) {
        match left_ms {
            Some(0) => {
                self.cold.end(server, self.now);
            }
            Some(left_ms) if self.cold.has_terms() => {
                self.cold.mark(server, Millis::from(left_ms), false, self.now);
            }
            _ => return,
        }
        self.limit_cold_server(server);
    }

    /// Marks a server as cold for a time, and informs its owner and the next one.
    fn mark_cold(&mut self, server: Id, left_ms: Millis) {
        if self.cold_terms(server).is_some() && self.cold.mark(server, left_ms, true, self.now) {
            self.report_cold(server, left_ms);
        }
        self.limit_cold_server(server);
    }

    /// Marks a server as cold for the time that its service is cold after a start.
    pub(crate) fn mark_started(&mut self, server: Id) {
        if let Some(terms) = self.cold_terms(server) {
            self.mark_cold(server, terms.start_ms);
        }
    }

    fn report_cold(&mut self, server: Id, left_ms: Millis) {
        let me = self.membership.me;
        let owners = rendezvous::order(server, self.owners().iter().copied());
        let left_ms = left_ms.min(cold::MAX_COLD_MS) as u32;
        for owner in owners.into_iter().take(2).filter(|o| *o != me) {
            self.send(owner, Body::ServerCold(ServerCold { server, left_ms }));
        }
    }

    /// Applies the entries of servers, which say how long they stay cold.
    pub(crate) fn cold_read(&mut self, servers: &[(Id, Millis)]) {
        for (server, left_ms) in servers {
            if *left_ms > 0 {
                self.mark_cold(*server, *left_ms);
            } else if self.cold.end(*server, self.now) {
                self.limit_cold_server(*server);
                self.report_cold(*server, 0);
            }
        }
    }

    /// Marks the servers that were not listed before, or have started anew, as cold. Those of the first list too: this instance
    /// does not know whether an evacuation ended or a server started just before. All instances see that, so none is told.
    pub(crate) fn mark_new_cold(&mut self, former: &Catalog) {
        if !self.cold.has_terms() {
            return;
        }
        let catalog = self.catalog.clone();
        if former.servers.is_empty() {
            for server in catalog.servers.keys() {
                if let Some(terms) = self.cold_terms(*server) {
                    self.cold.mark(*server, terms.start_ms, true, self.now);
                }
            }
            self.limit_cold();
            return;
        }
        for (server, info) in catalog.servers.iter() {
            if former.servers.get(server).is_none_or(|f| f.start_ms != info.start_ms) {
                self.mark_started(*server);
            }
        }
    }

    /// Informs a peer that has just linked up of the cold servers.
    pub(crate) fn tell_cold(&mut self, peer: Id) {
        if !self.cold.has_terms() {
            return;
        }
        let cold: Vec<(Id, Millis)> = self.cold.all(self.now).collect();
        for (server, left_ms) in cold.into_iter().filter(|(_, left_ms)| *left_ms > 0) {
            let left_ms = left_ms as u32;
            self.send(peer, Body::ServerCold(ServerCold { server, left_ms }));
        }
    }
}
