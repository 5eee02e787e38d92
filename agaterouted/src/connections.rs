//! Bounds the open connections of callers, by the memory and the descriptors of the process.
//!
//! At the bound a new connection takes the place of another one: of the one that has waited longest for a request, else of
//! the one whose caller has gone longest without reading its answer, else of one whose body made no progress. If there is
//! none, the request that has waited longest for a server is refused, and its connection is the next to go.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use agateroute_core::table::Table;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::body_memory::MIN_RATE;

/// The descriptors that a machine reserves for files.
const RESERVED_DESCRIPTORS: usize = 200;
/// Connections of callers may use the other descriptors divided by this. The rest is for backend servers, peers, the table
/// service and the pages for operators.
const DESCRIPTOR_DIVISOR: usize = 2;
/// Connections may use the memory of the process divided by this.
const MEMORY_DIVISOR: usize = 4;
/// The receive buffer of a connection, in bytes. The kernel's own default grows to megabytes, and bytes that are not read
/// yet count as memory of the process.
pub const RECEIVE_BYTES: usize = 32 * 1024;
/// What a connection takes at most beside its request and answer, in bytes: about 15 KiB in the process, measured, and its
/// receive buffer, for which the kernel takes twice its size.
const CONNECTION_BYTES: usize = 16 * 1024 + 2 * RECEIVE_BYTES;
/// A caller that has not read from its answer for so long, or has read it at less than [`MIN_RATE`], gives way to others if a
/// bound is reached.
const UNREAD_TIME: Duration = Duration::from_secs(1);
/// Connections that were closed are logged at most this often.
const LOG_INTERVAL: Duration = Duration::from_secs(1);
/// A request that gives way holds its connection until it has its answer. So many connections, as a part of the bound, may
/// be open beyond it meanwhile.
const SURPLUS_DIVISOR: usize = 8;
/// The smallest bound, whatever the settings say.
const MIN_CONNECTIONS: usize = 16;

/// What a connection waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Waits {
    /// For a request, or the rest of its head.
    Request,
    /// For this process, which reads or serves its request.
    Process,
    /// For its caller, who has to read the rest of an answer.
    Caller,
}

/// The open connections of callers.
#[derive(Debug)]
pub struct Connections {
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    /// The most connections that may be open.
    most: usize,
    /// The number of the next connection.
    next: u64,
    /// The open connections, in the order of their arrival.
    open: Table<u64, Entry>,
    /// The requests that wait for a server, in the order of their arrival, each with the token that ends its wait.
    waiting: Table<u64, CancellationToken>,
    /// The connections that were closed, and the new ones that were refused, since the last line of the log.
    closed: u64,
    refused: u64,
    /// When that line was.
    logged: Option<Instant>,
}

#[derive(Debug)]
struct Entry {
    waits: Waits,
    /// When it began to wait, or its caller read something last.
    since: Instant,
    /// When it began to wait, and the bytes that its caller has read since.
    began: Instant,
    read: usize,
    close: CancellationToken,
}

impl Entry {
    /// The bytes that its caller has read in a second, on average since the whole answer was made.
    fn rate(&self, now: Instant) -> f64 {
        self.read as f64 / now.duration_since(self.began).as_secs_f64()
    }
}

fn bound(memory: usize, descriptors: usize) -> usize {
    let by_descriptors = descriptors.saturating_sub(RESERVED_DESCRIPTORS) / DESCRIPTOR_DIVISOR;
    let by_memory = memory / MEMORY_DIVISOR / CONNECTION_BYTES;
    by_descriptors.min(by_memory).max(MIN_CONNECTIONS)
}

impl Connections {
    /// Creates a bound from the memory of the process, in bytes, and its descriptors.
    pub fn new(memory: usize, descriptors: usize) -> Arc<Connections> {
        let most = bound(memory, descriptors);
        let state = State {
            most,
            next: 0,
            open: Table::default(),
            waiting: Table::default(),
            closed: 0,
            refused: 0,
            logged: None,
        };
        Arc::new(Connections { state: Mutex::new(state) })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the memory and the descriptors of the process. Open connections stay.
    pub fn resize(&self, memory: usize, descriptors: usize) {
        self.lock().most = bound(memory, descriptors);
    }

    /// Counts a new connection, and whether it took the place of another one. `None` if the bound is reached and none gives
    /// way; `end_stalled` has a request end whose connection then closes.
    pub fn open(
        self: &Arc<Self>,
        end_stalled: impl FnOnce() -> bool,
    ) -> Option<(Connection, bool)> {
        let now = Instant::now();
        let mut state = self.lock();
        let full = state.open.len() >= state.most;
        if full {
            let gave_way = state.close_longest(Waits::Request, now)
                || state.close_longest(Waits::Caller, now)
                || (state.open.len() < state.most + state.most / SURPLUS_DIVISOR
                    && (end_stalled() || state.end_waiting()));
            state.refused += u64::from(!gave_way);
            state.log(now);
            if !gave_way {
                return None;
            }
        }
        let id = state.next;
        state.next += 1;
        let close = CancellationToken::new();
        let entry =
            Entry { waits: Waits::Request, since: now, began: now, read: 0, close: close.clone() };
        state.open.insert(id, entry);
        Some((Connection { connections: self.clone(), id, close }, full))
    }

    /// Records a request that waits for a server, until the returned value is dropped.
    pub fn wait(self: &Arc<Self>) -> Waiting {
        let mut state = self.lock();
        let id = state.next;
        state.next += 1;
        let gave_way = CancellationToken::new();
        state.waiting.insert(id, gave_way.clone());
        Waiting { connections: self.clone(), id, gave_way }
    }

    /// Closes the connection whose caller has gone longest without reading its answer, to free the memory of that answer.
    /// Returns whether there was one.
    pub fn close_unread(&self) -> bool {
        let now = Instant::now();
        let mut state = self.lock();
        let closed = state.close_longest(Waits::Caller, now);
        state.log(now);
        closed
    }
}

impl State {
    fn close_longest(&mut self, waits: Waits, now: Instant) -> bool {
        let after = if waits == Waits::Caller { UNREAD_TIME } else { Duration::ZERO };
        let waiting = || self.open.iter().filter(|(_, entry)| entry.waits == waits);
        let longest = waiting().min_by_key(|(_, entry)| entry.since);
        let longest = longest.filter(|(_, entry)| now.duration_since(entry.since) >= after);
        let old = waiting().filter(|(_, entry)| now.duration_since(entry.began) >= after);
        let slowest = old.min_by(|(_, a), (_, b)| a.rate(now).total_cmp(&b.rate(now)));
        let slow = slowest.filter(|(_, entry)| entry.rate(now) < MIN_RATE);
        let Some(id) = longest.or(slow).map(|(id, _)| *id) else { return false };
        if let Some(entry) = self.open.remove(&id) {
            entry.close.cancel();
        }
        self.closed += 1;
        true
    }

    /// Ends the wait of the request that has waited longest. Returns whether there was one.
    fn end_waiting(&mut self) -> bool {
        let Some(id) = self.waiting.keys().next().copied() else { return false };
        if let Some(gave_way) = self.waiting.remove(&id) {
            gave_way.cancel();
        }
        true
    }

    /// Logs the connections that were closed or refused since the last line.
    fn log(&mut self, now: Instant) {
        let recent = self.logged.is_some_and(|at| now.duration_since(at) < LOG_INTERVAL);
        if recent || self.closed + self.refused == 0 {
            return;
        }
        spdlog::warn!("caller_connections_bounded", kv: {
            closed = self.closed,
            refused = self.refused,
            open = self.open.len(),
            most = self.most,
        });
        (self.closed, self.refused, self.logged) = (0, 0, Some(now));
    }
}

/// An open connection. It no longer counts once this is dropped.
#[derive(Debug)]
pub struct Connection {
    connections: Arc<Connections>,
    id: u64,
    /// Cancelled when the connection has to close, because another one takes its place or its memory.
    pub close: CancellationToken,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.connections.lock().open.remove(&self.id);
    }
}

impl Connection {
    /// Records what the connection waits for from now on.
    pub fn set_waits(&self, waits: Waits) {
        if let Some(entry) = self.connections.lock().open.get_mut(&self.id) {
            let now = Instant::now();
            (entry.waits, entry.since, entry.began, entry.read) = (waits, now, now, 0);
        }
    }

    /// Records that the caller has read more of its answer.
    pub fn wrote(&self, bytes: usize) {
        if let Some(entry) = self.connections.lock().open.get_mut(&self.id) {
            entry.since = Instant::now();
            entry.read += bytes;
        }
    }
}

/// A request that waits for a server.
#[derive(Debug)]
pub struct Waiting {
    connections: Arc<Connections>,
    id: u64,
    gave_way: CancellationToken,
}

impl Drop for Waiting {
    fn drop(&mut self) {
        self.connections.lock().waiting.remove(&self.id);
    }
}

impl Waiting {
    /// Waits until this request has to give way to others.
    pub async fn gave_way(&self) {
        self.gave_way.cancelled().await;
    }
}
