//! What backend servers say of their needs in answers.

use agateroute_proto::peers::ServerNotice;
use agateroute_proto::peers::message::Body;

use crate::event::RequestId;
use crate::id::{Id, Millis};
use crate::limits::Terms;
use crate::state::State;

value! {
    /// A value that a server may name in an answer.
    #[derive(Default)]
    pub enum Named<T> {
        /// The answer does not name it.
        #[default]
        Absent,
        /// The answer names something else than a valid value.
        Invalid,
        /// The value that the answer names.
        Value(T),
    }

    /// What one answer says of its server.
    #[derive(Default)]
    pub struct Notice {
        /// The requests that the server takes from all instances together, in thousandths of a request a second.
        pub limit: Named<u32>,
        /// The refusals for want of room in a second that the server bears without falling over, if it is brittle.
        pub brittle: Named<u32>,
        /// For how long it wants nothing from this instance, in milliseconds.
        pub pause_ms: Named<Millis>,
        /// Whether it leaves.
        pub leaving: bool,
    }
}

impl<T> Named<T> {
    /// The value, if there is one.
    pub fn value(self) -> Option<T> {
        match self {
            Named::Value(value) => Some(value),
            Named::Absent | Named::Invalid => None,
        }
    }

    /// The value, or the one before if it is not known what is meant.
    fn or_before(self, before: Option<T>) -> Option<T> {
        match self {
            Named::Value(value) => Some(value),
            Named::Absent => None,
            Named::Invalid => before,
        }
    }
}

impl State {
    /// Whether an answer of a server has to be reported to the reducer.
    pub fn expects_notice(&self, server: Id, notice: &Notice) -> bool {
        *notice != Notice::default() || self.limits.get(server).is_some()
    }

    /// Records what the answer to a request says of its server.
    pub(crate) fn noticed(&mut self, request: RequestId, server: Id, notice: &Notice) {
        if notice.leaving {
            self.departure_noticed(server);
        }
        if let Named::Value(pause_ms) = notice.pause_ms {
            self.backoffs.pause(server, pause_ms, self.now);
        }
        let known = self.limits.get(server);
        let before = known.unwrap_or_default();
        let terms = Terms {
            limit: notice.limit.or_before(before.limit),
            brittle: notice.brittle.or_before(before.brittle),
        };
        if known.is_some() || terms != Terms::default() {
            self.terms_noticed(request, server, terms);
        }
    }

    /// Records what an answer names, and reports it to the owner of the server.
    fn terms_noticed(&mut self, request: RequestId, server: Id, terms: Terms) {
        let running = self.entry.running.get(&request).filter(|r| r.server == server);
        let started_at = running.map(|r| r.started_at);
        let owner = running.map_or_else(|| self.owner_of(server), |r| r.owner);
        self.limits.observe(server, terms, started_at, self.now);
        let Terms { limit, brittle } = terms;
        self.send(owner, Body::ServerNotice(ServerNotice { request, server, limit, brittle }));
    }
}
