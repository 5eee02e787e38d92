//! Servers that want nothing from this instance for a while, as they said when they turned a request away.

use crate::Table;
use crate::id::{Id, Millis};
use crate::state::State;

/// A longer pause is cut to this, in milliseconds. A server that means it longer says so again.
pub const MAX_PAUSE_MS: Millis = 300_000;

/// Until when each server wants nothing. It does not depend on the list of servers: an entry may be missing for a while.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Backoffs {
    until: Table<Id, Millis>,
}

impl Backoffs {
    /// Pauses a server. A shorter pause does not end a longer one.
    pub(crate) fn pause(&mut self, server: Id, pause_ms: Millis, now: Millis) {
        let until = now + pause_ms.min(MAX_PAUSE_MS);
        let known = self.until.entry(server, || until);
        *known = until.max(*known);
    }

    /// How long a server still wants nothing, in milliseconds; 0 if it takes requests.
    pub fn left_ms(&self, server: Id, now: Millis) -> Millis {
        self.until.get(&server).map_or(0, |until| until.saturating_sub(now))
    }

    fn expire(&mut self, now: Millis) {
        self.until.retain(|_, until| *until > now);
    }
}

impl State {
    /// Whether requests may be sent to a server now.
    pub fn is_usable(&self, server: Id) -> bool {
        let wanted = self.backoffs.left_ms(server, self.now) == 0;
        wanted
            && self.health.usable(server, self.now)
            && !self.departures.contains(server)
            && !self.is_evacuated(server)
    }

    /// The time until the first server of a target takes requests again, in milliseconds; `None` unless all want nothing or
    /// are failing.
    /// Servers of evacuated zones do not count: nothing shows how long the evacuation lasts.
    pub(crate) fn shortest_pause_ms(&self, target: Id) -> Option<Millis> {
        let servers = self.catalog.targets.get(&target)?;
        let others = servers.iter().filter(|s| !self.is_evacuated(**s));
        let left_ms = |s: Id| {
            let failing_ms = self.failing.retry_ms(s, self.now);
            self.backoffs.left_ms(s, self.now).max(failing_ms)
        };
        let shortest = others.map(|s| left_ms(*s)).min()?;
        (shortest > 0).then_some(shortest)
    }

    pub(crate) fn tick_backoffs(&mut self) {
        self.backoffs.expire(self.now);
    }
}
