//! Bodies of a soak's requests: with a length, or in chunks with pauses and trailers.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use http::{HeaderMap, HeaderName, HeaderValue};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::Frame;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// Body of a request.
pub type Body = UnsyncBoxBody<Bytes, Infallible>;
/// Client that sends such bodies.
pub type SoakClient = Client<HttpConnector, Body>;

/// One request in this many has its body in chunks.
const CHUNKED_ONE_IN: u32 = 2;
/// Maximum number of chunks with content.
const MAX_CHUNKS: usize = 4;
/// Upper bounds for the time from the head to the end of a body, one of which is drawn per body: one write, several in a row,
/// and so long that SIGTERM may come before the end.
const MAX_TIMES_MS: [u64; 4] = [0, 0, 40, 3_000];
/// One body in this many waits with its last chunk only.
const LATE_END_ONE_IN: u32 = 3;
/// One body in chunks of this many has trailers.
const TRAILERS_ONE_IN: u32 = 4;
/// Field that bodies with trailers end with.
pub const TRAILER: HeaderName = HeaderName::from_static("x-checksum");

/// How the body of a request is sent in chunks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Chunks {
    /// Pauses before each chunk with content, and before the end of the body.
    pauses: Vec<Duration>,
    /// Whether trailers follow the last chunk.
    pub trailers: bool,
}

impl Chunks {
    /// Draws how a body is sent; `None` if its length is sent instead.
    pub fn draw(rng: &mut ChaCha8Rng) -> Option<Chunks> {
        if !rng.random_ratio(1, CHUNKED_ONE_IN) {
            return None;
        }
        let count = rng.random_range(1..=MAX_CHUNKS);
        let bound_ms = MAX_TIMES_MS[rng.random_range(0..MAX_TIMES_MS.len())];
        let late_end = rng.random_ratio(1, LATE_END_ONE_IN);
        let mut pause = |number: usize| match late_end {
            true if number < count => Duration::ZERO,
            true => Duration::from_millis(rng.random_range(0..=bound_ms)),
            false => Duration::from_millis(rng.random_range(0..=bound_ms / (count as u64 + 1))),
        };
        let pauses = (0..=count).map(&mut pause).collect();
        Some(Chunks { pauses, trailers: rng.random_ratio(1, TRAILERS_ONE_IN) })
    }

    /// Creates the body. `ended` is called just before its last bytes are sent.
    pub fn body(self, text: String, ended: impl FnOnce() + Send + 'static) -> Body {
        let text = Bytes::from(text);
        let size = text.len().div_ceil(self.pauses.len() - 1).max(1);
        let parts: VecDeque<Bytes> = (0..text.len())
            .step_by(size)
            .map(|at| text.slice(at..text.len().min(at + size)))
            .collect();
        let left = (self.pauses.into_iter(), parts, Some((ended, self.trailers)));
        let frames = stream::unfold(left, async |(mut pauses, mut parts, mut ended)| {
            if let Some(pause) = pauses.next().filter(|p| !p.is_zero()) {
                tokio::time::sleep(pause).await;
            }
            let frame = match parts.pop_front() {
                Some(part) => Frame::data(part),
                None => {
                    let (ended, trailers) = ended.take()?;
                    ended();
                    let fields = [(TRAILER, HeaderValue::from_static("0"))];
                    trailers.then(|| Frame::trailers(HeaderMap::from_iter(fields)))?
                }
            };
            Some((Ok(frame), (pauses, parts, ended)))
        });
        StreamBody::new(frames).boxed_unsync()
    }
}

/// Creates a body with a length.
pub fn with_length(text: String) -> Body {
    Full::new(text.into()).boxed_unsync()
}
