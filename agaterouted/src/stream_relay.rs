//! Relays a stream of events to its caller and continues it on another backend server: after a lost
//! connection if the route is resumable, and from a copy of its memory if its server leaves.

use std::future::Future;
use std::future::pending;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use agateroute_adapter::server::CopyResult;
use agateroute_config::route::RouteKind;
use agateroute_core::event::{End, RequestId, ServerSignal};
use agateroute_core::sse::EventSplitter;
use agateroute_core::{Event, Id};
use bytes::Bytes;
use http::Response;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio_stream::wrappers::ReceiverStream;

use crate::attempt::{self, Attempt, Resume, Stream};
use crate::daemon::{Admission, ServerRef};
use crate::final_answer::forwarded_headers;
use crate::memory_copy::copy;
use crate::permit::Permit;
use crate::request_tracker::{FinalOutcome, Tracker};
use crate::route_instance::RouteInstance;
use crate::route_listener::{BodyError, BoxBody};
use crate::serve::RouteCall;
use crate::stalls;

/// Bounds the memory that a slow caller takes; the backend server has to wait beyond it.
const MAX_QUEUED_FRAMES: usize = 8;
/// How long to wait for the last events of a generation that was stopped to move.
const LAST_EVENTS_WAIT: Duration = Duration::from_millis(20);

/// A request whose answer is streamed, with everything that is needed to continue it elsewhere.
#[derive(Debug)]
pub struct StreamRequest {
    /// The request of the caller, sent again when the stream continues.
    pub call: Arc<RouteCall>,
    /// Its permit, which the reducer may replace by one for another server.
    pub permit: Permit,
    /// Records its latency and outcome.
    pub tracker: Tracker,
    /// The backend server that sends the stream now.
    pub server: ServerRef,
}

/// How the part of a stream that one backend server sends ended.
#[derive(Debug)]
enum StreamEnd {
    Complete,
    Cut(String),
    /// The generation stopped, and continues from a copy of its memory.
    Copied(Move),
    CallerGone,
    TimedOut,
    /// This instance ends.
    InstanceEnds,
}

/// A move of a generation with a copy of its memory.
#[derive(Clone, Debug)]
struct Move {
    /// The permit at the destination; `None` if the generation continues on the server where it stopped.
    permit: Option<RequestId>,
    to: ServerRef,
    /// Names the copy on the wire, once one is complete.
    handle: Option<String>,
    /// Whether the last copy was requested, for which the generation stops.
    last: bool,
}

type FrameSender = mpsc::Sender<Result<Frame<Bytes>, BodyError>>;
type CopyFuture = Pin<Box<dyn Future<Output = CopyResult> + Send>>;

/// Relays a stream in its own task and returns the response that carries it.
pub fn start(
    instance: &Arc<RouteInstance>,
    request: StreamRequest,
    stream: Stream,
) -> Response<BoxBody> {
    let (sender, receiver) = mpsc::channel(MAX_QUEUED_FRAMES);
    let mut response = Response::new(StreamBody::new(ReceiverStream::new(receiver)).boxed_unsync());
    *response.status_mut() = stream.head.status;
    *response.headers_mut() = forwarded_headers(&stream.head);
    let event_tokens = instance.source.capacity(&request.call.route).map_or(1, |c| c.event_tokens);
    let relay = StreamRelay {
        instance: instance.clone(),
        request,
        splitter: EventSplitter::default(),
        event_tokens,
        sender,
        queued: None,
        last_event: None,
        longest_pause: Duration::ZERO,
    };
    tokio::spawn(relay.run(stream));
    response
}

struct StreamRelay {
    instance: Arc<RouteInstance>,
    request: StreamRequest,
    splitter: EventSplitter,
    event_tokens: u32,
    sender: FrameSender,
    /// Events that wait until the caller has read others. Nothing is read from the server in that time.
    queued: Option<Queued>,
    /// When the last event came from the server; later by the time in which only the caller was slow.
    last_event: Option<Instant>,
    /// The longest pause between events of the server that sends the stream now.
    longest_pause: Duration,
}

/// Events that have arrived and were not handed to the caller's connection.
struct Queued {
    events: Bytes,
    tokens: u64,
    arrived: Instant,
}

impl StreamRelay {
    async fn run(mut self, stream: Stream) {
        let mut stream = stream;
        let opened = Instant::now();
        loop {
            let began = Instant::now();
            (self.last_event, self.longest_pause) = (None, Duration::ZERO);
            let end = self.forward_events(&mut stream).await;
            self.request.permit.paused(self.longest_pause);
            let end = match end {
                StreamEnd::Complete if stream.ends_with_connection() => self.check_end().await,
                end => end,
            };
            let next = match end {
                StreamEnd::Complete => {
                    self.finish(stream, opened).await;
                    return;
                }
                StreamEnd::CallerGone => {
                    let tokens = self.tokens();
                    self.request.permit.end(End::Cancelled { tokens });
                    self.request.tracker.close(FinalOutcome::Cancelled);
                    return;
                }
                // The server must not go on while the error waits for a caller that does not read.
                StreamEnd::TimedOut => {
                    drop(stream);
                    self.give_up(ServerSignal::None, "time_over").await;
                    return;
                }
                StreamEnd::InstanceEnds => {
                    drop(stream);
                    self.give_up(ServerSignal::None, "instance_ends").await;
                    return;
                }
                StreamEnd::Copied(moving) => {
                    drop(stream);
                    self.continue_from_copy(moving).await
                }
                StreamEnd::Cut(cause) => {
                    drop(stream);
                    self.recover_from_cut(&cause, began).await
                }
            };
            match next {
                Some(next) => stream = next,
                None => return,
            }
        }
    }

    /// Tells whether a stream that ended with its connection is complete, unless this instance ends before that is known.
    async fn check_end(&self) -> StreamEnd {
        tokio::select! {
            biased;
            gone = attempt::is_gone(&self.instance, &self.request.server) => match gone {
                true => StreamEnd::Cut("the server was gone at the end of its answer".to_owned()),
                false => StreamEnd::Complete,
            },
            () = self.instance.ending.cancelled() => StreamEnd::InstanceEnds,
        }
    }

    fn tokens(&self) -> u32 {
        (self.splitter.events() as u32).saturating_mul(self.event_tokens)
    }

    async fn finish(mut self, stream: Stream, opened: Instant) {
        let rest = self.splitter.take_partial();
        if !rest.is_empty() {
            let late = tokio::select! {
                biased;
                sent = self.sender.send(Ok(Frame::data(rest))) => {
                    if sent.is_err() {
                        spdlog::debug!("caller_gone_at_end", kv: { request: = &*self.request.call.id });
                    }
                    None
                }
                () = tokio::time::sleep_until(self.request.call.answer_by) => Some("time_over"),
                () = self.instance.ending.cancelled() => Some("instance_ends"),
            };
            if let Some(cause) = late {
                return self.give_up(ServerSignal::None, cause).await;
            }
        }
        let (tokens, took_ms) = (self.tokens(), opened.elapsed().as_millis() as u32);
        self.request.permit.end(End::Completed { tokens, took_ms });
        self.request.tracker.close_stream();
        if self.request.call.route.kind.repeatable() && !stream.response_info.closing {
            self.instance.upstream.put_idle(stream.connection, stream.response_info.keep_alive);
        }
    }

    /// Forwards complete events until the stream ends. Meanwhile copies the memory of the generation if
    /// the reducer decides to move it.
    async fn forward_events(&mut self, stream: &mut Stream) -> StreamEnd {
        let ends_with_connection = stream.ends_with_connection();
        let body = &mut stream.body;
        let mut current: Option<Move> = None;
        let mut copying: Option<CopyFuture> = None;
        let mut cut: Option<String> = None;
        let mut stopped_at: Option<Instant> = None;
        // The server no longer knew the generation when it was to stop.
        let mut is_unknown = false;
        // The body ended after a whole event, either with the generation or because it stopped.
        let mut has_ended = false;
        let mut progress = (self.splitter.events_with_content(), Instant::now());
        let stall_timeout = stalls::timeout(&self.request.call.route);
        loop {
            if progress.0 != self.splitter.events_with_content() {
                progress = (self.splitter.events_with_content(), Instant::now());
            }
            if has_ended && is_unknown {
                if let Some(moving) = current.take() {
                    self.move_ended(&moving, false);
                }
                return StreamEnd::Complete;
            }
            if let Some(at) = stopped_at
                && (cut.is_some() || at.elapsed() >= LAST_EVENTS_WAIT)
                && let Some(moving) = current.take()
            {
                return StreamEnd::Copied(moving);
            }
            if let (Some(cause), None) = (&cut, &copying) {
                return match current.take() {
                    Some(moving) if moving.handle.is_some() => StreamEnd::Copied(moving),
                    Some(moving) => {
                        self.move_ended(&moving, false);
                        StreamEnd::Cut(cause.clone())
                    }
                    None => StreamEnd::Cut(cause.clone()),
                };
            }
            tokio::select! {
                biased;
                () = self.sender.closed() => return StreamEnd::CallerGone,
                () = wait_for_room(&self.sender), if self.queued.is_some() => {
                    if let Some(Queued { events, tokens, arrived }) = self.queued.take() {
                        // In this time only the caller was slow.
                        progress.1 += arrived.elapsed();
                        self.last_event = self.last_event.map(|at| at + arrived.elapsed());
                        if self.sender.try_send(Ok(Frame::data(events))).is_err() {
                            return StreamEnd::CallerGone;
                        }
                        let sent = Instant::now().into_std();
                        self.request.tracker.record_sent(tokens, arrived.into_std(), sent);
                    }
                }
                frame = body.frame(), if cut.is_none() && self.queued.is_none() => match frame {
                    Some(Ok(frame)) => {
                        self.queue(frame);
                        if self.splitter.is_too_long() {
                            cut = Some("event too long".to_owned());
                        }
                    }
                    Some(Err(error)) => cut = Some(error.to_string()),
                    None if self.splitter.ends_inside_event() => {
                        cut = Some("ended inside an event".to_owned());
                    }
                    // Only the answer to the copy tells whether the generation stopped or ended.
                    None if ends_with_connection && current.as_ref().is_some_and(|m| m.last) => {
                        has_ended = true;
                        cut = Some("ended while it was to stop".to_owned());
                    }
                    None => return StreamEnd::Complete,
                },
                answer = wait_for_copy(&mut copying), if copying.is_some() => {
                    copying = None;
                    if let Some(moving) = current.take() {
                        is_unknown = moving.last && matches!(answer, CopyResult::Missing);
                        let has_stopped;
                        (current, copying, has_stopped) = self.advance_copy(moving, answer);
                        stopped_at = has_stopped.then(Instant::now);
                    }
                }
                admission = self.request.permit.admission(), if current.is_none() => {
                    if let Admission::Move(permit, server) = admission {
                        (current, copying) = self.start_copy(permit, server);
                    }
                }
                () = tokio::time::sleep(LAST_EVENTS_WAIT), if stopped_at.is_some() => {}
                () = tokio::time::sleep_until(progress.1 + stall_timeout),
                    if cut.is_none() && self.queued.is_none() =>
                {
                    cut = Some("stalled".to_owned());
                }
                () = tokio::time::sleep_until(self.request.call.answer_by) => {
                    return StreamEnd::TimedOut;
                }
                () = self.instance.ending.cancelled() => return StreamEnd::InstanceEnds,
            }
        }
    }

    /// Queues the events that a frame completes for the caller.
    fn queue(&mut self, frame: Frame<Bytes>) {
        let Ok(data) = frame.into_data() else { return };
        let before = self.splitter.events();
        let events = self.splitter.push(&data);
        if events.is_empty() {
            return;
        }
        let completed = self.splitter.events() - before;
        let now = Instant::now();
        if let Some(last) = self.last_event.replace(now) {
            self.longest_pause = self.longest_pause.max(now - last);
        }
        self.request.permit.progress(self.tokens());
        let tokens = completed * u64::from(self.event_tokens);
        self.queued = Some(Queued { events, tokens, arrived: now });
    }

    fn copy_to(&self, to: &ServerRef, last: bool) -> CopyFuture {
        let (instance, call) = (self.instance.clone(), self.request.call.clone());
        Box::pin(copy(instance, call, self.request.server.clone(), to.address.clone(), last))
    }

    /// Starts the first copy, which is made while the generation continues to run.
    fn start_copy(&mut self, permit: RequestId, server: Id) -> (Option<Move>, Option<CopyFuture>) {
        match self.find_server(server) {
            Some(to) => {
                let copying = self.copy_to(&to, false);
                (Some(Move { permit: Some(permit), to, handle: None, last: false }), Some(copying))
            }
            None => {
                self.request.permit.move_ended(permit, false);
                (None, None)
            }
        }
    }

    /// Handles the answer to a copy. Returns the move, the next copy to wait for, and whether the
    /// generation is known to have stopped.
    fn advance_copy(
        &mut self,
        moving: Move,
        answer: CopyResult,
    ) -> (Option<Move>, Option<CopyFuture>, bool) {
        match answer {
            CopyResult::Copied { handle } if moving.last => {
                self.request.permit.move_copied();
                (Some(Move { handle: Some(handle), ..moving }), None, true)
            }
            // The last copy stops the generation, which would then have no destination.
            CopyResult::Copied { .. } if self.instance.is_evacuated(moving.to.id) => {
                self.move_ended(&moving, false);
                (None, None, false)
            }
            CopyResult::Copied { handle } => {
                let copying = self.copy_to(&moving.to, true);
                let moving = Move { handle: Some(handle), last: true, ..moving };
                (Some(moving), Some(copying), false)
            }
            CopyResult::NoRoom { handle: Some(handle) } if moving.last => {
                // The generation has stopped, and the source still holds its memory.
                let to = self.request.server.clone();
                self.move_ended(&moving, false);
                let moving = Move { permit: None, to, handle: Some(handle), last: true };
                (Some(moving), None, true)
            }
            // The generation may have stopped. If its stream ends, the first copy is used.
            _ if moving.last => (Some(moving), None, false),
            _ => {
                self.move_ended(&moving, false);
                (None, None, false)
            }
        }
    }

    fn move_ended(&mut self, moving: &Move, moved: bool) {
        if let Some(permit) = moving.permit {
            self.request.permit.move_ended(permit, moved);
        }
    }

    fn find_server(&self, server: Id) -> Option<ServerRef> {
        self.instance.daemon.config().servers.get(&server).cloned()
    }

    /// Whether a server is declared as it was when it was chosen, and is not known to leave or to be unreachable.
    fn is_usable(&self, server: &ServerRef) -> bool {
        self.find_server(server.id).is_some_and(|s| s.version == server.version)
            && self.instance.daemon.read(|state| state.is_usable(server.id))
    }

    /// Whether a server has asked this instance to send it nothing for now.
    fn wants_nothing(&self, server: &ServerRef) -> bool {
        self.instance.daemon.read(|state| state.backoffs.left_ms(server.id, state.now) > 0)
    }

    /// Continues a generation from a copy of its memory: at the destination, or on the server where it
    /// stopped if the destination leaves or refuses it. If neither takes it, a resumable stream continues without the
    /// copy.
    async fn continue_from_copy(&mut self, moving: Move) -> Option<Stream> {
        let source = self.request.server.clone();
        let handle = moving.handle.clone().unwrap_or_default();
        self.splitter.take_partial();
        let memory = Some((&*source.address, handle.as_str()));
        let resume = Resume { last_event: self.splitter.last_id(), memory };
        for server in [moving.to.clone(), source.clone()] {
            let moved = server.id != source.id;
            // It was chosen before the copies, which take a while.
            if moved && !self.is_usable(&server) {
                spdlog::info!("destination_left", kv: {
                    request: = &*self.request.call.id,
                    server: = &*server.name,
                });
                continue;
            }
            let StreamRequest { call, permit, .. } = &self.request;
            let request = moving.permit.filter(|_| moved).unwrap_or(permit.request());
            if !moved && (self.wants_nothing(&server) || self.instance.is_evacuated(server.id)) {
                break;
            }
            if !moved {
                self.instance.daemon.apply(Event::SentAgain { server: server.id });
            }
            let result =
                attempt::send(&self.instance, call, request, &server, resume, pending()).await;
            match result {
                Attempt::Streaming(stream) => {
                    self.move_ended(&moving, moved);
                    self.request.tracker.record_start(&server.name);
                    self.request.server = server;
                    return Some(stream);
                }
                Attempt::NotStarted(_) if moved => {}
                _ => break,
            }
        }
        self.move_ended(&moving, false);
        if self.request.call.route.kind == RouteKind::ResumableStream
            && let Some(stream) = self.resume(ServerSignal::None).await
        {
            return Some(stream);
        }
        self.give_up(ServerSignal::None, "copy_not_used").await;
        None
    }

    /// Continues a stream whose connection was lost, if its route is resumable, or gives it up.
    async fn recover_from_cut(&mut self, cause: &str, began: Instant) -> Option<Stream> {
        let StreamRequest { call, server, .. } = &self.request;
        let began = Some(began.elapsed());
        let signal = tokio::select! {
            biased;
            signal = attempt::check_crashed(&self.instance, call, server, began) => signal,
            () = self.instance.ending.cancelled() => {
                self.give_up(ServerSignal::None, "instance_ends").await;
                return None;
            }
        };
        spdlog::warn!("stream_cut", kv: {
            request: = &*self.request.call.id,
            server: = &*self.request.server.name,
            software: = &*self.request.server.version,
            events = self.splitter.events(),
            crashed = signal == ServerSignal::Crashed,
            cause,
        });
        if self.request.call.route.kind != RouteKind::ResumableStream {
            self.give_up(signal, "cut").await;
            return None;
        }
        self.splitter.take_partial();
        let resumed = self.resume(signal).await;
        if resumed.is_none() {
            self.give_up(signal, "not_resumed").await;
        }
        resumed
    }

    /// Continues a stream on another backend server after the last event that was forwarded.
    async fn resume(&mut self, signal: ServerSignal) -> Option<Stream> {
        let tokens = 0;
        self.request.permit.end(End::Lost { tokens, signal, retry: true });
        loop {
            let admission = tokio::select! {
                biased;
                () = self.sender.closed() => return None,
                admission = self.request.permit.admission() => admission,
                () = tokio::time::sleep_until(self.request.call.answer_by) => return None,
                () = self.instance.ending.cancelled() => return None,
            };
            let server = match admission {
                Admission::Start(server) => server,
                Admission::Move(unused, _) => {
                    self.request.permit.move_ended(unused, false);
                    continue;
                }
                // Only the beginning of a stream can be handed to a peer.
                Admission::Refuse(..) | Admission::Forward(_) => return None,
            };
            let Some(server) = self.find_server(server) else {
                self.request.permit.end(End::NotStarted { signal: ServerSignal::Refused });
                continue;
            };
            if self.instance.is_evacuated(server.id) {
                self.request.permit.end(End::NotStarted { signal: ServerSignal::Evacuated });
                continue;
            }
            self.request.tracker.record_start(&server.name);
            let resume = Resume { last_event: self.splitter.last_id(), memory: None };
            let StreamRequest { call, permit, .. } = &self.request;
            let request = permit.request();
            match attempt::send(&self.instance, call, request, &server, resume, pending()).await {
                Attempt::Streaming(stream) => {
                    self.request.permit.began();
                    self.request.server = server;
                    return Some(stream);
                }
                Attempt::NotStarted(signal) => self.request.permit.end(End::NotStarted { signal }),
                Attempt::Lost(signal) => {
                    self.request.permit.end(End::Lost { tokens, signal, retry: true });
                }
                Attempt::Answered(_) | Attempt::TimedOut | Attempt::NoMemory(_) => {
                    self.request.permit.end(End::Lost {
                        tokens,
                        signal: ServerSignal::None,
                        retry: false,
                    });
                    return None;
                }
            }
        }
    }

    /// Aborts the response of a stream that can not be completed, so that it does not look complete.
    async fn give_up(&mut self, signal: ServerSignal, cause: &'static str) {
        let tokens = self.tokens();
        spdlog::warn!("stream_given_up", kv: {
            request: = &*self.request.call.id,
            server: = &*self.request.server.name,
            tokens,
            cause,
            stopping_ms = self.instance.stopping_ms(),
        });
        self.request.permit.end(End::Lost { tokens, signal, retry: false });
        self.request.tracker.close(FinalOutcome::Partial);
        if self.sender.send(Err(cause.into())).await.is_err() {
            spdlog::debug!("caller_gone_at_end", kv: { request: = &*self.request.call.id });
        }
    }
}

/// Waits until the caller has read so much that a frame can be sent, or is gone.
async fn wait_for_room(sender: &FrameSender) {
    drop(sender.reserve().await);
}

/// Waits for a copy, or forever if none is in progress.
async fn wait_for_copy(copying: &mut Option<CopyFuture>) -> CopyResult {
    match copying {
        Some(copying) => copying.await,
        None => pending().await,
    }
}
