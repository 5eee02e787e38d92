//! Reads the body of an answer into memory, within bounds for one answer and for all answers together.
//!
//! A backend server in trouble may send a body without end, and several may do so at once. Callers may not read their
//! answers, so an answer counts until its caller has it.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;

use crate::body_memory::{RESERVE_DIVISOR, SMALL_BYTES, next_capacity};
use crate::connections::Connections;

/// The longest body of one answer, in bytes.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;
/// Answers may use the memory of the process divided by this.
const MEMORY_DIVISOR: usize = 4;

/// Why a body could not be read.
#[derive(Debug, derive_more::Display)]
pub enum BodyError {
    /// The connection broke, or the body is malformed.
    #[display("body broken: {_0}")]
    Broken(String),
    /// The body is longer than any that is accepted.
    #[display("body longer than {MAX_ANSWER_BYTES} bytes")]
    TooLong,
    /// The answers that are being read or sent together take all the memory that is set aside for them.
    #[display("no memory left for the body")]
    NoMemory,
}

/// The memory for the bodies of all answers that are being read, or sent to their callers.
#[derive(Debug)]
pub struct AnswerMemory {
    /// The most bytes that may be counted, and those that are.
    state: Mutex<(usize, usize)>,
    /// Connections that close if their callers do not read and memory is short.
    connections: Arc<Connections>,
}

/// The body of an answer, which counts until it is dropped.
#[derive(Debug)]
struct CountedBody {
    buffer: Vec<u8>,
    memory: Arc<AnswerMemory>,
    counted: usize,
}

impl Drop for CountedBody {
    fn drop(&mut self) {
        // Freed first, so that no more memory is in use than counted.
        self.buffer = Vec::new();
        self.memory.lock().1 -= self.counted;
    }
}

impl AsRef<[u8]> for CountedBody {
    fn as_ref(&self) -> &[u8] {
        &self.buffer
    }
}

impl AnswerMemory {
    /// Creates a bound that is a share of the memory of the process, in bytes.
    pub fn new(memory: usize, connections: Arc<Connections>) -> Arc<AnswerMemory> {
        let state = Mutex::new((memory / MEMORY_DIVISOR, 0));
        Arc::new(AnswerMemory { state, connections })
    }

    fn lock(&self) -> MutexGuard<'_, (usize, usize)> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the memory of the process. What is counted already stays.
    pub fn resize(&self, memory: usize) {
        self.lock().0 = memory / MEMORY_DIVISOR;
    }

    /// Counts more bytes for a body that then takes `total`. Long ones leave a part of the bound to others.
    fn count(&self, more: usize, total: usize) -> bool {
        let mut state = self.lock();
        let reserve = if total > SMALL_BYTES { state.0 / RESERVE_DIVISOR } else { 0 };
        let fits = state.1 + more <= state.0 - reserve;
        if fits {
            state.1 += more;
        }
        fits
    }

    /// Reads a whole body. Its memory counts until the returned bytes and all their copies are dropped.
    pub async fn read<B>(self: &Arc<Self>, body: B) -> Result<Bytes, BodyError>
    where
        B: Body<Data = Bytes>,
        B::Error: std::fmt::Display,
    {
        let mut body = std::pin::pin!(body);
        let announced = body.size_hint().exact().map_or(usize::MAX, |length| length as usize);
        let most = announced.min(MAX_ANSWER_BYTES);
        let mut read = CountedBody { buffer: Vec::new(), memory: self.clone(), counted: 0 };
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame.map_err(|e| BodyError::Broken(e.to_string()))?.into_data() else {
                continue;
            };
            let length = read.buffer.len() + data.len();
            if length > MAX_ANSWER_BYTES {
                return Err(BodyError::TooLong);
            }
            let capacity = read.buffer.capacity();
            if length > capacity {
                let next = next_capacity(capacity, length, most);
                while !self.count(next - capacity, next) {
                    if !self.connections.close_unread() {
                        return Err(BodyError::NoMemory);
                    }
                    // The closed connection frees its memory in a task of its own.
                    tokio::task::yield_now().await;
                }
                read.counted += next - capacity;
                read.buffer.reserve_exact(next - read.buffer.len());
            }
            read.buffer.extend_from_slice(&data);
        }
        Ok(Bytes::from_owner(read))
    }
}
