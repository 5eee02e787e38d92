//! The HTTP listener for callers of routes.
//!
//! This listener uses hyper because a closed connection must be detected while its request waits;
//! the HTTP library of the other listeners does not read in that time. See `docs/DESIGN.md`, "The
//! listener for routes".

use std::convert::Infallible;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderValue, Request, Response, Version};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Sleep;

use crate::body_memory::{BodyReader, ReadError};
use crate::connections::{Connection, RECEIVE_BYTES, Waits};
use crate::daemon::millis;
use crate::route_instance::RouteInstance;
use crate::serve;

/// How often a connection is checked for an overdue request head or idle timeout.
const TIMEOUT_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// The pause after a failed accept, for example when file descriptors run out.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(20);
/// How long, and up to how many bytes, a connection is read after its last answer before it is closed.
const LINGER_TIME: Duration = Duration::from_secs(1);
const MAX_LINGER_BYTES: usize = 1024 * 1024;
/// The bytes that are then read at once.
const LINGER_BLOCK_BYTES: usize = 4 * 1024;
/// What a byte of a head may take: once in the read buffer, which the header fields keep, and once in a copy of the path.
const HEAD_COPIES: usize = 2;
/// The most header fields of one request.
const MAX_HEADERS: usize = 100;
/// The smallest read buffer that hyper accepts.
const MIN_HEAD_BUFFER_BYTES: usize = 8 * 1024;
/// The largest read buffer of a connection, whatever header limit the document sets.
const MAX_HEAD_BUFFER_BYTES: usize = 64 * 1024;

/// Aborts a response whose body can not be completed.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;
/// The body of every response of this listener, buffered or streamed.
pub type BoxBody = UnsyncBoxBody<Bytes, BodyError>;

/// Wraps a body that is entirely in memory.
pub fn full_body(bytes: impl Into<Bytes>) -> BoxBody {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// Accepts connections of callers and serves each in its own task, until the instance is draining.
pub async fn run(instance: Arc<RouteInstance>, listener: TcpListener) {
    // Connections inherit it.
    if let Err(error) = SockRef::from(&listener).set_recv_buffer_size(RECEIVE_BYTES) {
        spdlog::warn!("receive_buffer_not_set", kv: { error: });
    }
    loop {
        let accepted = tokio::select! {
            () = instance.draining.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => {
                let opened = instance.connections.open(|| instance.body_memory.end_stalled());
                let Some((connection, full)) = opened else { continue };
                tokio::spawn(handle_connection(instance.clone(), stream, connection));
                if full {
                    // The connection that gave way frees its descriptor in a task of its own.
                    tokio::task::yield_now().await;
                }
            }
            Err(error) => {
                spdlog::warn!("connection_not_accepted", kv: { error: });
                tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
            }
        }
    }
}

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionState {
    /// It waits for a request, whose head began to arrive at this time, if it did.
    Idle(Option<Instant>),
    /// A request is read, waits or runs.
    Busy,
    /// Its answer has begun.
    Answering,
    /// The whole answer is in this process, and a part of it is not written yet.
    Sending,
}

/// Tracks when a connection was last used, to enforce its timeouts, and whether the caller has its whole answer.
#[derive(Debug)]
struct ConnectionActivity {
    instance: Arc<RouteInstance>,
    connection: Connection,
    /// The state, and when the connection was last written to or became idle.
    state: Mutex<(ConnectionState, Instant)>,
    /// Whether an answer is under way whose end only the end of this connection marks.
    ends_answer: AtomicBool,
    /// Whether a request has arrived.
    used: AtomicBool,
    /// Whether the body of the last request was not read to its end.
    unread: AtomicBool,
    /// Counts the bytes of a head that is not complete.
    head: Mutex<Option<BodyReader>>,
    /// Counts the head of the request that runs.
    held: Mutex<Option<Bytes>>,
    /// The id of the last request, and why the connection ended, for the log.
    last: Mutex<(Option<HeaderValue>, Option<String>)>,
    /// What a request was doing that ended without all of its answer.
    unfinished: Mutex<Option<ConnectionState>>,
}

impl ConnectionState {
    /// The value in logs.
    fn as_str(self) -> &'static str {
        match self {
            ConnectionState::Idle(_) => "idle",
            ConnectionState::Busy => "busy",
            ConnectionState::Answering => "answering",
            ConnectionState::Sending => "sending",
        }
    }
}

impl ConnectionActivity {
    fn new(instance: Arc<RouteInstance>, connection: Connection) -> ConnectionActivity {
        instance.daemon.telemetry.connections.add(1, &[]);
        ConnectionActivity {
            instance,
            connection,
            state: Mutex::new((ConnectionState::Idle(None), Instant::now())),
            ends_answer: AtomicBool::new(false),
            used: AtomicBool::new(false),
            unread: AtomicBool::new(false),
            head: Mutex::default(),
            held: Mutex::default(),
            last: Mutex::default(),
            unfinished: Mutex::default(),
        }
    }

    fn head(&self) -> MutexGuard<'_, Option<BodyReader>> {
        self.head.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn last(&self) -> MutexGuard<'_, (Option<HeaderValue>, Option<String>)> {
        self.last.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether a request has arrived on the connection.
    fn is_used(&self) -> bool {
        self.used.load(Ordering::Acquire)
    }

    fn unfinished(&self) -> Option<ConnectionState> {
        *self.unfinished.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn ended(&self, cause: impl ToString) {
        self.last().1 = Some(cause.to_string());
    }

    fn lock(&self) -> MutexGuard<'_, (ConnectionState, Instant)> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn request_started(&self, id: Option<&HeaderValue>) {
        self.last().0 = id.cloned();
        self.used.store(true, Ordering::Release);
        let mut state = self.lock();
        if matches!(state.0, ConnectionState::Idle(_)) {
            self.instance.unsent_answers.fetch_add(1, Ordering::AcqRel);
        }
        state.0 = ConnectionState::Busy;
        let held = self.head().take().and_then(|head| head.finish().ok());
        *self.held.lock().unwrap_or_else(PoisonError::into_inner) = held;
        self.connection.set_waits(Waits::Process);
    }

    fn answer_began(&self) {
        self.lock().0 = ConnectionState::Answering;
    }

    fn request_ended(&self, is_complete: bool) {
        let state =
            std::mem::replace(&mut *self.lock(), (ConnectionState::Sending, Instant::now()));
        let mut unfinished = self.unfinished.lock().unwrap_or_else(PoisonError::into_inner);
        *unfinished = (!is_complete).then_some(state.0);
        self.held.lock().unwrap_or_else(PoisonError::into_inner).take();
        self.connection.set_waits(Waits::Caller);
    }

    /// Records that bytes were read, which count until the head of a request is complete.
    fn bytes_read(&self, bytes: usize) -> Result<(), ReadError> {
        let mut state = self.lock();
        let ConnectionState::Idle(since) = state.0 else { return Ok(()) };
        state.0 = ConnectionState::Idle(since.or(Some(Instant::now())));
        let open = || self.instance.body_memory.open_with(self.connection.close.clone());
        self.head().get_or_insert_with(open).count(bytes * HEAD_COPIES)
    }

    fn bytes_written(&self, bytes: usize) {
        let mut state = self.lock();
        state.1 = Instant::now();
        if state.0 == ConnectionState::Sending {
            self.connection.wrote(bytes);
        }
    }

    /// Records that all bytes were written which are ready to be written.
    fn flushed(&self) {
        let mut state = self.lock();
        if state.0 == ConnectionState::Sending {
            *state = (ConnectionState::Idle(None), Instant::now());
            self.connection.set_waits(Waits::Request);
            self.instance.unsent_answers.fetch_sub(1, Ordering::AcqRel);
        }
    }

    /// Whether the rest of a request head, or the next request, is overdue, or the caller does not read its answer.
    fn timed_out(&self, head_timeout: Duration, idle_timeout: Duration) -> bool {
        let (state, last_used) = *self.lock();
        match state {
            ConnectionState::Busy | ConnectionState::Answering => false,
            ConnectionState::Idle(Some(at)) => at.elapsed() > head_timeout,
            ConnectionState::Idle(None) | ConnectionState::Sending => {
                last_used.elapsed() > idle_timeout
            }
        }
    }
}

impl Drop for ConnectionActivity {
    fn drop(&mut self) {
        self.instance.daemon.telemetry.connections.add(-1, &[]);
        let state = self.lock().0;
        if matches!(state, ConnectionState::Idle(_)) {
            return;
        }
        self.instance.unsent_answers.fetch_sub(1, Ordering::AcqRel);
        let last = self.last();
        spdlog::info!("caller_connection_cut", kv: {
            request: = last.0.as_ref().and_then(|id| id.to_str().ok()).unwrap_or("-"),
            state = self.unfinished().unwrap_or(state).as_str(),
            // Without a cause, the task of the connection ended with the process.
            cause: = last.1.as_deref().unwrap_or("instance_ends"),
            stopping_ms = self.instance.stopping_ms(),
        });
    }
}

async fn handle_connection(
    instance: Arc<RouteInstance>,
    stream: TcpStream,
    connection: Connection,
) {
    let close = connection.close.clone();
    if let Err(error) = stream.set_nodelay(true) {
        spdlog::debug!("nodelay_not_set", kv: { error: });
    }
    let activity = Arc::new(ConnectionActivity::new(instance.clone(), connection));
    let io = TrackedIo { stream, activity: activity.clone(), resets: false, linger: None };
    let limits = instance.daemon.config().document.limits.clone();
    let max_head_bytes =
        (limits.header_bytes as usize * 2).clamp(MIN_HEAD_BUFFER_BYTES, MAX_HEAD_BUFFER_BYTES);
    let handler = {
        let (instance, activity) = (instance.clone(), activity.clone());
        move |request| handle_request(instance.clone(), activity.clone(), request)
    };
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(None)
        .max_buf_size(max_head_bytes)
        .max_headers(MAX_HEADERS)
        .serve_connection(TokioIo::new(io), service_fn(handler));
    let mut served = std::pin::pin!(served);
    let (mut retired, mut draining) = (false, false);
    loop {
        tokio::select! {
            // A connection that has to close must not begin another request.
            biased;
            () = close.cancelled() => {
                activity.ended("gave_way");
                return;
            }
            // A connection that was not used yet may come from a load balancer that has no other instance.
            () = instance.retiring.cancelled(), if !retired && activity.is_used() => {
                retired = true;
                served.as_mut().graceful_shutdown();
            }
            () = instance.draining.cancelled(), if !draining => {
                draining = true;
                served.as_mut().graceful_shutdown();
            }
            ended = served.as_mut() => {
                match ended {
                    Ok(()) => activity.ended("closed"),
                    Err(error) => {
                        spdlog::debug!("caller_connection_ended", kv: { error: });
                        activity.ended(error);
                    }
                }
                return;
            }
            () = tokio::time::sleep(TIMEOUT_CHECK_INTERVAL) => {
                let limits = &instance.daemon.config().document.limits;
                if activity.timed_out(millis(limits.head_ms), millis(limits.idle_ms)) {
                    activity.ended("timeout");
                    return;
                }
            }
        }
    }
}

async fn handle_request(
    instance: Arc<RouteInstance>,
    activity: Arc<ConnectionActivity>,
    request: Request<Incoming>,
) -> Result<Response<TrackedBody>, Infallible> {
    activity.request_started(request.headers().get(instance.deployment.callers.id_header));
    instance.busy_requests.fetch_add(1, Ordering::AcqRel);
    let has_chunks = request.version() > Version::HTTP_10;
    activity.unread.store(!request.body().is_end_stream(), Ordering::Release);
    let guard = BusyGuard { instance: instance.clone(), activity, is_complete: false };
    let response = serve::handle(instance, request, &guard.activity.unread).await;
    let ends_answer = !has_chunks && response.body().size_hint().exact().is_none();
    guard.activity.ends_answer.store(ends_answer, Ordering::Release);
    guard.activity.answer_began();
    Ok(response.map(|body| TrackedBody { body, guard }))
}

/// Marks the request of a connection as ended when its response is complete or dropped.
struct BusyGuard {
    instance: Arc<RouteInstance>,
    activity: Arc<ConnectionActivity>,
    /// Whether the HTTP library has taken all of the answer.
    is_complete: bool,
}

impl Drop for BusyGuard {
    fn drop(&mut self) {
        self.instance.busy_requests.fetch_sub(1, Ordering::AcqRel);
        self.activity.request_ended(self.is_complete);
    }
}

/// A response body that keeps its request marked as running until dropped.
pub struct TrackedBody {
    body: BoxBody,
    /// Marks the request as ended when it is dropped.
    guard: BusyGuard,
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let frame = Pin::new(&mut self.body).poll_frame(cx);
        if matches!(frame, Poll::Ready(None)) {
            self.guard.activity.ends_answer.store(false, Ordering::Release);
        }
        let is_error = matches!(frame, Poll::Ready(Some(Err(_))));
        self.guard.is_complete =
            !is_error && (matches!(frame, Poll::Ready(None)) || self.body.is_end_stream());
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Records when request bytes arrive on a connection, and when bytes of its answer are written.
struct TrackedIo {
    stream: TcpStream,
    activity: Arc<ConnectionActivity>,
    /// Whether closing the socket resets the connection.
    resets: bool,
    /// Until when bytes of a caller are discarded after the end of the last answer, and how many may still come.
    linger: Option<(Pin<Box<Sleep>>, usize)>,
}

impl TrackedIo {
    /// Has the socket reset its connection, also when this process is killed, while the end of the connection would look
    /// like the end of an answer.
    fn update_linger(&mut self) {
        let resets = self.activity.ends_answer.load(Ordering::Acquire);
        if resets == self.resets {
            return;
        }
        self.resets = resets;
        let linger = resets.then_some(Duration::ZERO);
        if let Err(error) = SockRef::from(&self.stream).set_linger(linger) {
            spdlog::warn!("linger_not_set", kv: { resets, error: });
        }
    }

    /// Reads and discards the rest of a body that was answered before its end, until the caller has closed the connection
    /// too. Closing the socket before would reset the connection, and the caller might lose the answer.
    fn poll_linger(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let (until, left) = self
            .linger
            .get_or_insert_with(|| (Box::pin(tokio::time::sleep(LINGER_TIME)), MAX_LINGER_BYTES));
        let mut block = [0; LINGER_BLOCK_BYTES];
        while *left > 0 {
            let mut read = ReadBuf::new(&mut block);
            match Pin::new(&mut self.stream).poll_read(cx, &mut read) {
                Poll::Ready(Ok(())) if !read.filled().is_empty() => {
                    *left = left.saturating_sub(read.filled().len());
                }
                Poll::Ready(_) => return Poll::Ready(()),
                Poll::Pending => return until.as_mut().poll(cx),
            }
        }
        Poll::Ready(())
    }

    fn record_written(&self, written: &Poll<std::io::Result<usize>>) {
        if let Poll::Ready(Ok(bytes)) = written {
            self.activity.bytes_written(*bytes);
        }
    }
}

impl AsyncRead for TrackedIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let before = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        if matches!(read, Poll::Ready(Ok(()))) {
            let bytes = buf.filled().len() - before;
            self.activity.bytes_read(bytes).map_err(std::io::Error::other)?;
        }
        read
    }
}

impl AsyncWrite for TrackedIo {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        self.update_linger();
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.record_written(&written);
        written
    }

    /// The HTTP library calls this once it has written all bytes that are ready.
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        let flushed = Pin::new(&mut self.stream).poll_flush(cx);
        if matches!(flushed, Poll::Ready(Ok(()))) {
            self.activity.flushed();
        }
        flushed
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        self.update_linger();
        if self.linger.is_none() {
            ready!(Pin::new(&mut self.stream).poll_shutdown(cx))?;
        }
        // A request that crosses the end is left unread, so that its caller may send it again.
        if !self.resets && self.activity.unread.load(Ordering::Acquire) {
            ready!(self.poll_linger(cx));
        }
        Poll::Ready(Ok(()))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[std::io::IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        self.update_linger();
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.record_written(&written);
        written
    }
}
