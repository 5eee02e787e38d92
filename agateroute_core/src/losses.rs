//! The circuit breaker of one backend server that accepts connections and loses what is sent to it.
//!
//! A server whose restart goes wrong may accept connections and reset each of them after the request was sent. A request that may
//! run only once is then lost, so the owner of the server, which hears of each loss, closes the server to requests for a while and
//! then tries it with a single one. See `docs/design/failing-servers.md`.

use crate::Table;
use crate::id::{Id, Millis};

/// The consecutive losses that close a server.
const MAX_LOSSES: u32 = 3;
/// A request that was lost after this time or later does not count, in milliseconds: the server may have worked on it.
const MAX_LOSS_MS: u32 = 100;
/// How long a server is closed at first, and at most, in milliseconds.
const MIN_CLOSED_MS: Millis = 1_000;
const MAX_CLOSED_MS: Millis = 4_000;
/// A further probe is allowed if the last one has run for so long without an answer or a loss, in milliseconds. A failing server
/// loses requests within [`MAX_LOSS_MS`], and the answer to a long prompt takes seconds.
const PROBE_MS: Millis = 500;
/// How long a half-open server waits for a probe that may run more than once, in milliseconds.
const CHOICE_MS: Millis = 500;
/// When a denied request may ask a half-open server again, in milliseconds: the probe is lost by then, or will probably be answered.
const PROBE_RETRY_MS: Millis = 100;
/// The unit in which answers state when to come back, in milliseconds.
const RETRY_UNIT_MS: Millis = 10;

value! {
    /// A request that was lost before the first byte of its response.
    pub struct Loss {
        /// The instance that sent the request.
        pub peer: Id,
        /// The identifier that the peer gave to the request.
        pub request: u64,
        /// The time from the permit to the loss, in milliseconds.
        pub took_ms: u32,
        /// The number of peers from which the losses have to come.
        pub peers_needed: usize,
    }

    /// What decides whether a request may probe a half-open server.
    #[derive(Default)]
    pub struct Candidate {
        /// Whether it is a generation that moves, which is not put at risk.
        pub moves: bool,
        /// Whether a better probe may come: this one may run only once and has another server, and other requests for the server
        /// may run more than once.
        pub yields: bool,
    }

    struct Probe {
        peer: Id,
        request: u64,
        granted_at: Millis,
    }

    struct Closed {
        until: Millis,
        /// For how long it was closed.
        pause_ms: Millis,
        probe: Option<Probe>,
    }
}

/// Returns the number of peers whose losses close a server, so that the fault of one instance's own link does not. `others` are the
/// other instances that the owner knows; `is_own` says that the owner itself lost the request. In a fleet of two, nobody else could
/// confirm the losses of the other instance.
pub fn peers_needed(others: usize, is_own: bool) -> usize {
    match (others, is_own) {
        (0, _) | (1, false) => 1,
        _ => 2,
    }
}

/// The consecutive losses of a server, and whether it is closed because of them.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Losses {
    /// When the server started, in milliseconds since 1970; 0 if it is not known.
    start_ms: u64,
    count: u32,
    /// When the first of them was reported.
    first_at: Millis,
    /// The peer that reported the first loss, and whether another peer has reported one since.
    peer: Option<Id>,
    is_confirmed: bool,
    closed: Option<Closed>,
}

impl Losses {
    /// Records when the server started. One that has started again has lost nothing.
    pub fn started(&mut self, start_ms: u64) {
        if self.start_ms != start_ms {
            *self = Losses { start_ms, ..Losses::default() };
        }
    }

    /// Records a loss. Returns for how long it closes the server, in milliseconds, if it does.
    pub fn lost(&mut self, loss: Loss, now: Millis) -> Option<Millis> {
        if let Some(closed) = self.closed {
            // Other requests were sent before the server was closed.
            let is_probe =
                closed.probe.is_some_and(|p| (p.peer, p.request) == (loss.peer, loss.request));
            return is_probe.then(|| self.close((2 * closed.pause_ms).min(MAX_CLOSED_MS), now));
        }
        if loss.took_ms >= MAX_LOSS_MS {
            return None;
        }
        if self.count == 0 {
            self.first_at = now;
        }
        self.count += 1;
        self.is_confirmed |= self.peer.is_some_and(|p| p != loss.peer);
        self.peer = Some(loss.peer);
        let peers = if self.is_confirmed { 2 } else { 1 };
        let closes = self.count >= MAX_LOSSES && peers >= loss.peers_needed;
        closes.then(|| self.close(MIN_CLOSED_MS, now))
    }

    fn close(&mut self, pause_ms: Millis, now: Millis) -> Millis {
        self.closed = Some(Closed { until: now + pause_ms, pause_ms, probe: None });
        pause_ms
    }

    /// Records an answer, or progress of one, to a request that got its permit at `granted_at`, if that is known. Returns whether it
    /// opens the server. A generation that began before the losses goes on at a server that resets new connections, so it shows
    /// nothing.
    pub fn answered(&mut self, granted_at: Option<Millis>) -> bool {
        if granted_at.is_none_or(|at| at < self.first_at) {
            return false;
        }
        let was_closed = self.closed.is_some();
        *self = Losses { start_ms: self.start_ms, ..Losses::default() };
        was_closed
    }

    /// Records a permit. That of a half-open server is a probe.
    pub fn granted(&mut self, peer: Id, request: u64, now: Millis) {
        if let Some(closed) = &mut self.closed {
            closed.probe = Some(Probe { peer, request, granted_at: now });
        }
    }

    /// Forgets a probe that no longer runs, by `runs`: it ended without showing anything.
    pub fn check_probe(&mut self, runs: impl Fn(Id, u64) -> bool) {
        if let Some(closed) = &mut self.closed {
            closed.probe = closed.probe.filter(|p| runs(p.peer, p.request));
        }
    }

    /// Whether the server is open, so that no request is denied.
    pub fn is_open(&self) -> bool {
        self.closed.is_none()
    }

    /// Whether the server is half-open, so that the choice of the probe matters.
    pub fn is_half_open(&self, now: Millis) -> bool {
        self.closed.is_some_and(|c| c.until <= now)
    }

    /// Returns when a denied request may ask again, in milliseconds from now; `None` if it may get a permit.
    pub fn denied_ms(&self, candidate: Candidate, now: Millis) -> Option<Millis> {
        let closed = self.closed?;
        if now < closed.until {
            return Some(closed.until - now);
        }
        let probed = closed.probe.is_some_and(|p| now < p.granted_at + PROBE_MS);
        let waits = candidate.yields && now < closed.until + CHOICE_MS;
        (probed || candidate.moves || waits).then_some(PROBE_RETRY_MS)
    }
}

value! {
    struct Denied {
        until: Millis,
        /// When the server started, in milliseconds since 1970.
        start_ms: u64,
    }
}

/// The servers whose owners have denied a permit because they are failing. An entry instance asks for none until they reopen.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FailingServers {
    rows: Table<Id, Denied>,
}

impl FailingServers {
    /// Records a denial of a server that started at `start_ms`, and the time after which it may be asked again.
    pub fn deny(&mut self, server: Id, retry_ms: Millis, start_ms: u64, now: Millis) {
        // The time comes from a peer.
        let until = now + retry_ms.clamp(1, MAX_CLOSED_MS);
        self.rows.insert(server, Denied { until, start_ms });
    }

    /// The time until a server may be asked for a permit, in milliseconds; 0 if it may.
    pub fn left_ms(&self, server: Id, now: Millis) -> Millis {
        self.rows.get(&server).map_or(0, |d| d.until.saturating_sub(now))
    }

    /// Like [`FailingServers::left_ms`], rounded up to what an answer can state: a caller that comes back before the server is open
    /// has used its only retry.
    pub fn retry_ms(&self, server: Id, now: Millis) -> Millis {
        self.left_ms(server, now).next_multiple_of(RETRY_UNIT_MS)
    }

    /// Forgets denials that are over, and those of servers that have started again or are gone, by `start_ms`.
    pub fn expire(&mut self, start_ms: impl Fn(Id) -> Option<u64>, now: Millis) {
        self.rows.retain(|server, d| d.until > now && start_ms(*server) == Some(d.start_ms));
    }
}
