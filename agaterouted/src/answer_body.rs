//! Reads the body of an answer into memory, within bounds for one answer and for all answers together.
//!
//! A backend server in trouble may send a body without end, and several may do so at once.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::sync::Semaphore;

/// The longest body of one answer, in bytes.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;
/// The memory for the bodies of all answers that are being read, in bytes. The smallest instances have 165 MB.
const MAX_TOTAL_BYTES: usize = 48 * 1024 * 1024;
/// The unit in which that memory is counted.
const UNIT_BYTES: usize = 16 * 1024;

/// Why a body could not be read.
#[derive(Debug, derive_more::Display)]
pub enum BodyError {
    /// The connection broke, or the body is malformed.
    #[display("body broken: {_0}")]
    Broken(hyper::Error),
    /// The body is longer than any that is accepted.
    #[display("body longer than {MAX_ANSWER_BYTES} bytes")]
    TooLong,
    /// The bodies that are being read together take all the memory that is set aside for them.
    #[display("no memory left for the body")]
    NoMemory,
}

/// The memory for the bodies of all answers that are being read.
#[derive(Debug)]
pub struct AnswerMemory {
    units: Semaphore,
}

impl Default for AnswerMemory {
    fn default() -> AnswerMemory {
        AnswerMemory { units: Semaphore::new(MAX_TOTAL_BYTES / UNIT_BYTES) }
    }
}

impl AnswerMemory {
    /// Reads a whole body. Its memory counts until this returns.
    pub async fn read(&self, mut body: Incoming) -> Result<Bytes, BodyError> {
        let mut read = BytesMut::new();
        let mut taken = self.units.try_acquire().map_err(|_| BodyError::NoMemory)?;
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame.map_err(BodyError::Broken)?.into_data() else { continue };
            let length = read.len() + data.len();
            if length > MAX_ANSWER_BYTES {
                return Err(BodyError::TooLong);
            }
            let missing = length.div_ceil(UNIT_BYTES).saturating_sub(taken.num_permits());
            if missing > 0 {
                let more = self.units.try_acquire_many(missing as u32);
                taken.merge(more.map_err(|_| BodyError::NoMemory)?);
            }
            if read.is_empty() && body.is_end_stream() {
                return Ok(data);
            }
            read.extend_from_slice(&data);
        }
        Ok(read.freeze())
    }
}
