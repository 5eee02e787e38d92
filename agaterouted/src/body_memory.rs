//! Bounds the memory for requests that are being read or held, over all connections of the process.
//!
//! Bytes are counted before memory is taken for them. Bodies are copied into buffers of their own: the slices that an HTTP
//! library hands out keep its read buffers alive, so bytes that come one by one would cost many times their number. When
//! the bound is reached, the request that has gone longest without progress gives way. Without that pressure a slow body is
//! left alone.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use agateroute_core::table::Table;
use bytes::Bytes;
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::Body;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::error::ApiError;

/// Requests may use the memory of the process divided by this. `docs/CAPACITY.md`, "Memory of an instance", divides it all.
const MEMORY_DIVISOR: usize = 4;
/// A body up to this length may use the whole bound, and a longer one all but a quarter of it, so that a few callers with
/// long bodies do not keep others out.
pub const SMALL_BYTES: usize = 64 * 1024;
/// The part of the bound that is kept for small bodies, as a divisor.
pub const RESERVE_DIVISOR: usize = 4;
/// A request that did not bring [`PROGRESS_BYTES`] more in this time gives way to others if the bound is reached.
const STALL_TIME: Duration = Duration::from_secs(1);
/// The bytes that count as progress. With fewer, a caller could hold its place with a byte now and then.
const PROGRESS_BYTES: usize = 1_024;
/// A request that brings fewer bytes a second than this, since it began, gives way as well if none has stalled. The users'
/// bodies of up to 17 kB are whole after a second at this rate.
pub const MIN_RATE: f64 = 16.0 * 1_024.0;
/// The capacity of the buffer of a body whose first bytes have arrived.
const MIN_CAPACITY: usize = 4 * 1024;
/// The retry delay suggested to callers that were refused because the bound is reached, in milliseconds.
const RETRY_MS: u32 = 1_000;

/// Why a body is not read.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum ReadError {
    /// The body is longer than allowed.
    #[display("the body is longer than {max_bytes} bytes")]
    TooLong {
        /// The longest body that is allowed.
        max_bytes: usize,
    },
    /// The bound is reached, and no other request gives way.
    #[display("the bodies that are being read take all memory that is set aside for them")]
    NoMemory,
    /// Another request needed the memory, and this one had gone longest without progress.
    #[display("the body made no progress while memory for others was short")]
    GaveWay,
    /// The body is malformed, or its connection broke.
    #[display("body not readable: {cause}")]
    Broken {
        /// The error of the HTTP library.
        #[error(not(source))]
        cause: String,
    },
}

impl ReadError {
    /// The code in the answer, which is the cause in logs and metrics.
    pub fn code(&self) -> &'static str {
        match self {
            ReadError::TooLong { .. } => "body_too_large",
            ReadError::NoMemory => "body_memory",
            ReadError::GaveWay => "body_stalled",
            ReadError::Broken { .. } => "invalid_request",
        }
    }
}

impl From<ReadError> for ApiError {
    fn from(error: ReadError) -> ApiError {
        let status = match error {
            ReadError::TooLong { .. } => StatusCode::PAYLOAD_TOO_LARGE,
            ReadError::NoMemory => StatusCode::SERVICE_UNAVAILABLE,
            ReadError::GaveWay => StatusCode::REQUEST_TIMEOUT,
            ReadError::Broken { .. } => StatusCode::BAD_REQUEST,
        };
        let retry_ms = match error {
            ReadError::NoMemory | ReadError::GaveWay => RETRY_MS,
            _ => 0,
        };
        ApiError { retry_ms, ..ApiError::not_run(status, error.code(), error.to_string()) }
    }
}

/// The memory for requests that are being read or held.
#[derive(Debug)]
pub struct BodyMemory {
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    /// The most bytes that may be counted.
    bound: usize,
    /// The bytes that are counted.
    used: usize,
    /// The number of the next request.
    next: u64,
    /// The requests that are being read, in the order of their arrival.
    readers: Table<u64, Reader>,
}

#[derive(Debug)]
struct Reader {
    buffer: Vec<u8>,
    /// The bytes that are counted for this request.
    counted: usize,
    /// The bytes that arrived, and those of them since the last progress.
    arrived: usize,
    unmarked: usize,
    opened: Instant,
    progress: Instant,
    gave_way: CancellationToken,
}

impl BodyMemory {
    /// Creates a bound that is a share of the memory of the process, in bytes.
    pub fn new(memory: usize) -> Arc<BodyMemory> {
        let bound = memory / MEMORY_DIVISOR;
        let state = State { bound, used: 0, next: 0, readers: Table::default() };
        Arc::new(BodyMemory { state: Mutex::new(state) })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the memory of the process. What is counted already stays.
    pub fn resize(&self, memory: usize) {
        self.lock().bound = memory / MEMORY_DIVISOR;
    }

    /// Begins to read a request.
    pub fn open(self: &Arc<Self>) -> BodyReader {
        self.open_with(CancellationToken::new())
    }

    /// Begins to read a request. `gave_way` is cancelled when it has to give way to others.
    pub fn open_with(self: &Arc<Self>, gave_way: CancellationToken) -> BodyReader {
        let mut state = self.lock();
        let id = state.next;
        state.next += 1;
        let now = Instant::now();
        let reader = Reader {
            buffer: Vec::new(),
            counted: 0,
            arrived: 0,
            unmarked: 0,
            opened: now,
            progress: now,
            gave_way: gave_way.clone(),
        };
        state.readers.insert(id, reader);
        BodyReader { memory: self.clone(), id, gave_way }
    }

    /// Has the request give way that has gone longest without progress. Returns whether there was one.
    pub fn end_stalled(&self) -> bool {
        self.lock().end_stalled(None)
    }

    /// Reads a whole body. Its memory counts until the returned bytes and all their copies are dropped.
    pub async fn read<B>(self: &Arc<Self>, body: B, max_bytes: usize) -> Result<Bytes, ReadError>
    where
        B: Body<Data = Bytes>,
        B::Error: std::fmt::Display,
    {
        let announced = body.size_hint().exact();
        if announced.is_some_and(|length| length > max_bytes as u64) {
            return Err(ReadError::TooLong { max_bytes });
        }
        if announced == Some(0) {
            return Ok(Bytes::new());
        }
        let most = announced.map_or(max_bytes, |length| length as usize);
        let reader = self.open();
        let mut body = std::pin::pin!(body);
        loop {
            let frame = tokio::select! {
                biased;
                () = reader.gave_way() => return Err(ReadError::GaveWay),
                frame = body.frame() => frame,
            };
            let Some(frame) = frame else { return reader.finish() };
            let frame = frame.map_err(|e| ReadError::Broken { cause: e.to_string() })?;
            if let Ok(data) = frame.into_data() {
                reader.push(&data, most, max_bytes)?;
            }
        }
    }
}

/// Returns the next capacity of a buffer that has to hold `length` bytes and is expected to hold `most`. Doubling bounds
/// the number of copies.
pub fn next_capacity(capacity: usize, length: usize, most: usize) -> usize {
    (capacity * 2).max(MIN_CAPACITY).min(most).max(length)
}

impl Reader {
    /// The bytes that arrived in a second, on average since the request began.
    fn rate(&self, now: Instant) -> f64 {
        self.arrived as f64 / now.duration_since(self.opened).as_secs_f64()
    }
}

impl State {
    /// Counts more bytes for a request that then has `total` of them. Others give way if they must.
    fn count(&mut self, id: u64, more: usize, total: usize) -> Result<(), ReadError> {
        let own = self.readers.get(&id).ok_or(ReadError::GaveWay)?.counted;
        let reserve = if total > SMALL_BYTES { self.bound / RESERVE_DIVISOR } else { 0 };
        // A request that is alone is bounded by the limit on one body only.
        while self.used + more > self.bound - reserve && self.used > own {
            if !self.end_stalled(Some(id)) {
                return Err(ReadError::NoMemory);
            }
        }
        self.used += more;
        if let Some(reader) = self.readers.get_mut(&id) {
            reader.counted += more;
        }
        Ok(())
    }

    fn end_stalled(&mut self, except: Option<u64>) -> bool {
        let now = Instant::now();
        let others = || self.readers.iter().filter(|(id, _)| Some(**id) != except);
        let longest = others().min_by_key(|(_, reader)| reader.progress);
        let stalled = longest.filter(|(_, r)| now.duration_since(r.progress) >= STALL_TIME);
        let old = others().filter(|(_, r)| now.duration_since(r.opened) >= STALL_TIME);
        let slowest = old.min_by(|(_, a), (_, b)| a.rate(now).total_cmp(&b.rate(now)));
        let slow = slowest.filter(|(_, r)| r.rate(now) < MIN_RATE);
        let Some(id) = stalled.or(slow).map(|(id, _)| *id) else { return false };
        if let Some(reader) = self.readers.remove(&id) {
            self.used -= reader.counted;
            reader.gave_way.cancel();
        }
        true
    }
}

/// A request that is being read. Its bytes no longer count once this is dropped.
#[derive(Debug)]
pub struct BodyReader {
    memory: Arc<BodyMemory>,
    id: u64,
    gave_way: CancellationToken,
}

impl Drop for BodyReader {
    fn drop(&mut self) {
        let mut state = self.memory.lock();
        if let Some(reader) = state.readers.remove(&self.id) {
            state.used -= reader.counted;
        }
    }
}

impl BodyReader {
    /// Waits until this request has to give way to others.
    pub async fn gave_way(&self) {
        self.gave_way.cancelled().await;
    }

    /// Counts bytes that another part of the process keeps for this request, such as those of its head.
    pub fn count(&self, bytes: usize) -> Result<(), ReadError> {
        let mut state = self.memory.lock();
        let total = state.readers.get(&self.id).map_or(0, |r| r.counted) + bytes;
        state.count(self.id, bytes, total)?;
        state.arrived(self.id, bytes);
        Ok(())
    }

    /// Appends bytes to the body. `most` is the length that is expected at most, and `max_bytes` the length that is
    /// allowed.
    pub fn push(&self, data: &[u8], most: usize, max_bytes: usize) -> Result<(), ReadError> {
        let mut state = self.memory.lock();
        let reader = state.readers.get(&self.id).ok_or(ReadError::GaveWay)?;
        let (length, capacity) = (reader.buffer.len() + data.len(), reader.buffer.capacity());
        if length > max_bytes {
            return Err(ReadError::TooLong { max_bytes });
        }
        if length > capacity {
            let next = next_capacity(capacity, length, most);
            state.count(self.id, next - capacity, next)?;
            if let Some(reader) = state.readers.get_mut(&self.id) {
                let missing = next - reader.buffer.len();
                reader.buffer.reserve_exact(missing);
            }
        }
        if let Some(reader) = state.readers.get_mut(&self.id) {
            reader.buffer.extend_from_slice(data);
        }
        state.arrived(self.id, data.len());
        Ok(())
    }

    /// Ends the body and returns it.
    pub fn finish(self) -> Result<Bytes, ReadError> {
        let mut state = self.memory.lock();
        let reader = state.readers.remove(&self.id).ok_or(ReadError::GaveWay)?;
        drop(state);
        let (memory, counted) = (self.memory.clone(), reader.counted);
        Ok(Bytes::from_owner(HeldBody { buffer: reader.buffer, counted, memory }))
    }
}

impl State {
    /// Records that bytes of a request have arrived.
    fn arrived(&mut self, id: u64, bytes: usize) {
        let Some(reader) = self.readers.get_mut(&id) else { return };
        reader.arrived += bytes;
        reader.unmarked += bytes;
        if reader.unmarked >= PROGRESS_BYTES {
            (reader.unmarked, reader.progress) = (0, Instant::now());
        }
    }
}

/// A whole body, which counts until it is dropped.
#[derive(Debug)]
struct HeldBody {
    buffer: Vec<u8>,
    counted: usize,
    memory: Arc<BodyMemory>,
}

impl AsRef<[u8]> for HeldBody {
    fn as_ref(&self) -> &[u8] {
        &self.buffer
    }
}

impl Drop for HeldBody {
    fn drop(&mut self) {
        // Freed first, so that no more memory is in use than counted.
        self.buffer = Vec::new();
        self.memory.lock().used -= self.counted;
    }
}
