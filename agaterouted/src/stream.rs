//! Runs one generation on one backend server: opens it, forwards its tokens, and resumes it when the
//! connection is lost. `agateroute_core::relay` decides what to do with each chunk.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use agateroute_core::event::{End, ServerSignal};
use agateroute_core::relay::{Action, Relay, StreamInput};
use agateroute_core::sse::EventSplitter;
use bytes::{BufMut, Bytes, BytesMut};
use futures_util::stream::BoxStream;
use futures_util::{FutureExt, StreamExt};
use http::StatusCode;
use http_body_util::{BodyDataStream, BodyExt, Limited};
use hyper::body::Incoming;
use opentelemetry::Context;
use opentelemetry::trace::SpanKind;
use sse_stream::{Sse, SseByteStream};

use crate::client::{HttpClient, client, is_connection_refused};
use crate::daemon::{Daemon, ServerRef, millis};
use crate::engine::{DONE_MARK, OPENAI, StartRequest, Usage};
use crate::error::{ApiError, Outcome};
use crate::permit::Permit;
use crate::request_tracker::{FinalOutcome, Tracker};
use crate::telemetry::{end_span, inject};
use crate::upstream::is_final;

/// The tokens of a stream after which its progress is reported to the reducer again.
const PROGRESS_INTERVAL_TOKENS: u64 = 32;
/// The pause before the first attempt to resume a stream; it doubles before each further one.
const FIRST_RESUME_PAUSE: Duration = Duration::from_millis(10);
/// How long to wait for the end of an answer after its end mark.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(1);
/// Limits the pause between two attempts to resume.
const MAX_RESUME_PAUSE: Duration = Duration::from_millis(300);
/// Longer error bodies of engines are not forwarded.
const MAX_ERROR_BODY_BYTES: usize = 64 * 1024;

/// Why a generation could not be opened.
#[derive(Debug)]
pub enum OpenError {
    /// The attempt failed, and the request may be retried.
    Failed(End),
    /// The engine rejected the request itself, so another engine would too. Holds its status and body.
    Rejected(StatusCode, Bytes),
}

/// One step of a generation.
#[derive(Debug, PartialEq)]
pub enum Output {
    /// A chunk for the caller: the data of one event, and the number of its tokens.
    Chunk(String, u64),
    /// The generation is complete.
    Complete,
    /// The server or the connection failed, and the generation could not be resumed.
    Lost,
}

/// A generation in progress. Dropping it before its end cancels it on its backend server.
#[derive(Debug)]
pub struct Generation {
    daemon: Arc<Daemon>,
    request_id: Arc<str>,
    server: ServerRef,
    http: HttpClient,
    relay: Relay,
    upstream: Option<EventStream>,
    silence_timeout: Duration,
    /// When the last chunk was forwarded, or the generation was opened or resumed.
    progress_at: Instant,
    opened: Instant,
    reported_tokens: u64,
    usage: Option<Usage>,
    want_usage: bool,
    signal: ServerSignal,
    context: Context,
    done: bool,
}

struct EventStream(SseByteStream<BoxStream<'static, std::io::Result<Bytes>>>);

impl EventStream {
    /// Reads the events of an answer. An event that is too long is an error, since an engine in trouble may send one
    /// without end.
    fn new(body: Incoming) -> EventStream {
        let mut splitter = EventSplitter::default();
        let events = BodyDataStream::new(body).map(move |data| {
            let events = splitter.push(&data.map_err(std::io::Error::other)?);
            match splitter.is_too_long() {
                true => Err(std::io::Error::other("event too long")),
                false => Ok(events),
            }
        });
        EventStream(SseByteStream::new(events.boxed()))
    }
}

impl std::fmt::Debug for EventStream {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("EventStream")
    }
}

impl Generation {
    /// Starts a generation on a backend server and waits for the head of its answer.
    pub async fn open(
        daemon: &Arc<Daemon>,
        server: &ServerRef,
        start_request: &StartRequest<'_>,
        request_id: &Arc<str>,
        parent: &Context,
    ) -> Result<Generation, OpenError> {
        let config = daemon.config();
        let routing = &config.document.routing;
        let context = daemon.telemetry.span("backend server", SpanKind::Client, parent);
        let http = client(millis(routing.connect_ms));
        let mut request = (OPENAI.start)(&server.address, start_request);
        inject(&context, request.headers_mut());
        let sent = tokio::time::timeout(millis(routing.start_ms), http.request(request)).await;
        let failed = |end| {
            end_span(&context, "failed");
            OpenError::Failed(end)
        };
        let response = match sent {
            Ok(Ok(response)) => response,
            Ok(Err(e)) if e.is_connect() => {
                return Err(failed(End::NotStarted { signal: ServerSignal::Refused }));
            }
            Ok(Err(_)) => {
                return Err(failed(End::Lost {
                    tokens: 0,
                    signal: ServerSignal::None,
                    retry: true,
                }));
            }
            Err(_) => {
                cancel(&http, &server.address, start_request.generation);
                return Err(failed(End::Lost {
                    tokens: 0,
                    signal: ServerSignal::None,
                    retry: true,
                }));
            }
        };
        let status = response.status();
        if status != StatusCode::OK {
            return Err(match status {
                // It says nothing of whether the generation runs.
                s if !is_final(s) => {
                    failed(End::Lost { tokens: 0, signal: ServerSignal::None, retry: true })
                }
                StatusCode::SERVICE_UNAVAILABLE => {
                    failed(End::NotStarted { signal: ServerSignal::Leaving })
                }
                s if s.is_client_error() && s != StatusCode::TOO_MANY_REQUESTS => {
                    end_span(&context, "rejected");
                    let body =
                        Limited::new(response.into_body(), MAX_ERROR_BODY_BYTES).collect().await;
                    OpenError::Rejected(
                        status,
                        body.map(http_body_util::Collected::to_bytes).unwrap_or_default(),
                    )
                }
                _ => failed(End::NotStarted { signal: ServerSignal::None }),
            });
        }
        Ok(Generation {
            daemon: daemon.clone(),
            request_id: request_id.clone(),
            server: server.clone(),
            http,
            relay: Relay::new(start_request.generation, routing.resumes),
            upstream: Some(EventStream::new(response.into_body())),
            silence_timeout: millis(routing.silence_ms),
            progress_at: Instant::now(),
            opened: Instant::now(),
            reported_tokens: 0,
            usage: None,
            want_usage: false,
            signal: ServerSignal::None,
            context,
            done: false,
        })
    }

    /// Sets whether the usage chunk is forwarded to the caller.
    pub fn want_usage(&mut self, want: bool) {
        self.want_usage = want;
    }

    /// The token usage, once the engine has reported it.
    pub fn usage(&self) -> Option<Usage> {
        self.usage
    }

    /// The number of tokens forwarded so far.
    pub fn tokens(&self) -> u64 {
        self.relay.tokens()
    }

    /// Returns the next chunk, or how the generation ended.
    pub async fn next(&mut self) -> Output {
        loop {
            // Comments and repeated chunks are no progress.
            let silent_at = self.progress_at + self.silence_timeout;
            let event = tokio::time::timeout_at(silent_at.into(), self.next_event()).await;
            let data = match event {
                Ok(Some(Ok(sse))) => match sse.data {
                    Some(data) => data,
                    None => continue,
                },
                Ok(Some(Err(_)) | None) | Err(_) => String::new(),
            };
            let (action, count) = self.check_event(&data);
            match action {
                Action::Forward => {
                    self.progress_at = Instant::now();
                    return Output::Chunk(data, count);
                }
                Action::Drop => {}
                Action::Finish => {
                    self.done = true;
                    self.drain_upstream();
                    end_span(&self.context, "whole");
                    return Output::Complete;
                }
                Action::Resume(from) => {
                    if !self.resume(from).await {
                        return self.fail();
                    }
                }
                Action::Lost => return self.fail(),
            }
        }
    }

    async fn next_event(&mut self) -> Option<Result<Sse, sse_stream::Error>> {
        match &mut self.upstream {
            Some(upstream) => upstream.0.next().await,
            None => None,
        }
    }

    /// Reads the rest of the answer after the end mark, so that the connection can be reused.
    fn drain_upstream(&mut self) {
        let Some(mut upstream) = self.upstream.take() else { return };
        if upstream.0.next().now_or_never().is_some() {
            return;
        }
        tokio::spawn(async move {
            let _ = tokio::time::timeout(DRAIN_TIMEOUT, upstream.0.next()).await;
        });
    }

    /// Decides what to do with the data of an event. Empty data stands for a lost connection.
    fn check_event(&mut self, data: &str) -> (Action, u64) {
        if data.is_empty() {
            return (self.relay.apply(&StreamInput::Cut), 0);
        }
        if data == DONE_MARK {
            return (self.relay.apply(&StreamInput::EndMark), 0);
        }
        let Ok(chunk) = (OPENAI.decode)(data) else {
            return (self.relay.apply(&StreamInput::Cut), 0);
        };
        if chunk.leaving {
            self.signal = ServerSignal::Leaving;
        }
        if let Some(usage) = chunk.usage {
            let is_first = self.usage.replace(usage).is_none();
            let pass = is_first && self.want_usage && chunk.generation == self.relay.generation();
            return (if pass { Action::Forward } else { Action::Drop }, 0);
        }
        let input = StreamInput::Chunk {
            generation: &chunk.generation,
            index: chunk.index,
            count: chunk.count,
            last: chunk.last,
        };
        let action = self.relay.apply(&input);
        if action == Action::Drop {
            self.daemon.telemetry.dropped.add(1, &[]);
        }
        (action, chunk.count)
    }

    /// Requests the rest of the generation from the same server, until it answers, is found to have crashed,
    /// or the silence timeout ends. Returns whether the stream continues.
    async fn resume(&mut self, from: u64) -> bool {
        self.daemon.telemetry.resumes.add(1, &[]);
        spdlog::warn!("link_cut", kv: {
            request: = &*self.request_id,
            server: = &*self.server.name,
            generation: = self.relay.generation(),
            index = from,
        });
        let deadline = Instant::now() + self.silence_timeout;
        let mut pause = FIRST_RESUME_PAUSE;
        while Instant::now() < deadline {
            tokio::time::sleep(pause).await;
            pause = (pause * 2).min(MAX_RESUME_PAUSE);
            let request = (OPENAI.resume)(&self.server.address, self.relay.generation(), from);
            let left = deadline.saturating_duration_since(Instant::now());
            let answer = tokio::time::timeout(left, self.http.request(request)).await;
            let Ok(answer) = answer else { return false };
            match answer.map(|r| (r.status(), r)) {
                Ok((StatusCode::OK, response)) => {
                    self.upstream = Some(EventStream::new(response.into_body()));
                    self.progress_at = Instant::now();
                    return true;
                }
                Ok((StatusCode::NOT_FOUND | StatusCode::GONE, _)) => {
                    self.signal = ServerSignal::Crashed;
                    return false;
                }
                Err(e) if is_connection_refused(&e) => {
                    self.signal = ServerSignal::Crashed;
                    return false;
                }
                Ok(_) | Err(_) => {}
            }
        }
        false
    }

    fn fail(&mut self) -> Output {
        self.done = true;
        end_span(&self.context, "lost");
        if self.signal != ServerSignal::Crashed {
            cancel(&self.http, &self.server.address, self.relay.generation());
        }
        Output::Lost
    }

    /// Describes the end of the generation for the reducer. `retry` allows a retry if no token was sent.
    pub fn end(&self, complete: bool, retry: bool) -> End {
        let tokens = self.relay.tokens() as u32;
        if complete {
            End::Completed { tokens, took_ms: self.opened.elapsed().as_millis() as u32 }
        } else {
            End::Lost { tokens, signal: self.signal, retry: retry && tokens == 0 }
        }
    }
}

impl Drop for Generation {
    fn drop(&mut self) {
        if !self.done {
            end_span(&self.context, "cancelled");
            cancel(&self.http, &self.server.address, self.relay.generation());
        }
    }
}

/// Cancels a generation on its server without waiting for the answer.
fn cancel(http: &HttpClient, address: &str, generation: &str) {
    let request = (OPENAI.cancel)(address, generation);
    let http = http.clone();
    if let Ok(runtime) = tokio::runtime::Handle::try_current() {
        runtime.spawn(async move {
            let _ = tokio::time::timeout(Duration::from_secs(2), http.request(request)).await;
        });
    }
}

/// A generation that is forwarded to a caller as a stream.
#[derive(Debug)]
pub struct CallerStream {
    generation: Generation,
    permit: Permit,
    tracker: Tracker,
    first: Option<Bytes>,
    ended: bool,
}

impl CallerStream {
    /// Creates a stream. `first` holds the events that were already received.
    pub fn new(
        generation: Generation,
        permit: Permit,
        tracker: Tracker,
        first: Bytes,
    ) -> CallerStream {
        CallerStream { generation, permit, tracker, first: Some(first), ended: false }
    }

    /// Returns the next bytes for the caller, or `None` at the end.
    pub async fn next(&mut self) -> Option<Bytes> {
        if let Some(first) = self.first.take() {
            return Some(first);
        }
        if self.ended {
            return None;
        }
        match self.generation.next().await {
            Output::Chunk(data, count) => {
                self.record_tokens(count);
                Some(sse_frame(&data))
            }
            Output::Complete => {
                self.ended = true;
                self.permit.end(self.generation.end(true, false));
                self.tracker.close_stream();
                Some(sse_frame(DONE_MARK))
            }
            Output::Lost => {
                self.ended = true;
                self.permit.end(self.generation.end(false, false));
                self.tracker.close(FinalOutcome::Partial);
                Some(sse_frame(&generation_lost().to_json(&self.tracker.identity.request_id)))
            }
        }
    }

    fn record_tokens(&mut self, count: u64) {
        if count == 0 {
            return;
        }
        self.tracker.record_tokens(count);
        let tokens = self.generation.tokens();
        self.permit.set_tokens(tokens as u32);
        if tokens >= self.generation.reported_tokens + PROGRESS_INTERVAL_TOKENS {
            self.generation.reported_tokens = tokens;
            self.permit.progress(tokens as u32);
        }
    }
}

/// Creates the error for a generation that was lost after its first token.
pub fn generation_lost() -> ApiError {
    ApiError {
        status: StatusCode::BAD_GATEWAY,
        code: "generation_lost",
        message: "the backend server lost this generation; the delivered part is incomplete".into(),
        outcome: Outcome::Partial,
        retry_ms: 0,
    }
}

/// Encodes data as one server-sent event.
pub fn sse_frame(data: &str) -> Bytes {
    let mut out = BytesMut::with_capacity(data.len() + 8);
    out.put_slice(b"data: ");
    out.put_slice(data.as_bytes());
    out.put_slice(b"\n\n");
    out.freeze()
}

/// Whether any request is still in progress on this instance, or its body still arrives.
pub fn has_active_requests(daemon: &Daemon) -> bool {
    daemon.active.load(Ordering::Acquire) > 0 || daemon.arriving.load(Ordering::Acquire) > 0
}
