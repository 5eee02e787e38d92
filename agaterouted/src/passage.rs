//! Passes a stream of events on to its caller, and continues it on another backend server where that
//! is allowed: after a cut where the stream may be resumed, and with a copy of its memory where its server
//! leaves.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use agateroute_adapter::server::CopyResult;
use agateroute_config::route::RouteKind;
use agateroute_core::Id;
use agateroute_core::event::{End, RequestId, ServerSignal};
use agateroute_core::sse::EventSplitter;
use bytes::Bytes;
use http::Response;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio_stream::wrappers::ReceiverStream;

use crate::account::{Account, Ended};
use crate::attempt::{self, Attempt, Resume, Stream};
use crate::copying::copy;
use crate::gate::{CutError, GateBody};
use crate::routed::Routed;
use crate::serve::{Call, passed_headers};
use crate::shell::{Admission, Permit, ServerRef};

/// The frames that wait for a slow caller.
const BUFFERED: usize = 8;
/// How long the last events of a generation that was stopped are waited for.
const LAST_EVENTS: Duration = Duration::from_millis(20);

/// A stream on its way to its caller.
#[derive(Debug)]
pub struct Passage {
    /// The request.
    pub call: Arc<Call>,
    /// Its place in the reducer.
    pub permit: Permit,
    /// Its account.
    pub account: Account,
    /// The backend server.
    pub server: ServerRef,
}

/// How a stream from one backend server ended.
#[derive(Debug)]
enum StreamEnd {
    Whole,
    Cut(String),
    /// A copy of its memory is at another server.
    Copied(Copy),
    CallerGone,
    TimeOver,
}

/// A copy of the memory of a generation.
#[derive(Clone, Debug)]
struct Copy {
    /// The permit of the destination; none where the generation goes on where it stopped.
    permit: Option<RequestId>,
    to: ServerRef,
    /// The name of the copy, once there is one.
    handle: Option<String>,
    /// Whether the generation was told to stop.
    stops: bool,
}

type FrameSender = mpsc::Sender<Result<Frame<Bytes>, CutError>>;
type Copying = Pin<Box<dyn Future<Output = CopyResult> + Send>>;

/// Starts to pass a stream on and returns the answer that carries it.
pub fn start(routed: &Arc<Routed>, passage: Passage, stream: Stream) -> Response<GateBody> {
    let (sender, receiver) = mpsc::channel(BUFFERED);
    let mut response = Response::new(StreamBody::new(ReceiverStream::new(receiver)).boxed_unsync());
    *response.status_mut() = stream.head.status;
    *response.headers_mut() = passed_headers(&stream.head);
    let event_tokens = routed.source.capacity(&passage.call.route).map_or(1, |c| c.event_tokens);
    let relay = Relay {
        routed: routed.clone(),
        passage,
        cutter: EventSplitter::default(),
        event_tokens,
        sender,
    };
    tokio::spawn(relay.run(stream));
    response
}

/// Everything that passing one stream on needs.
struct Relay {
    routed: Arc<Routed>,
    passage: Passage,
    cutter: EventSplitter,
    event_tokens: u32,
    sender: FrameSender,
}

impl Relay {
    async fn run(mut self, stream: Stream) {
        let mut stream = stream;
        let opened = Instant::now();
        loop {
            let end = self.relay(&mut stream.body).await;
            let next = match end {
                StreamEnd::Whole => {
                    self.finish(stream, opened).await;
                    return;
                }
                StreamEnd::CallerGone => {
                    let tokens = self.tokens();
                    self.passage.permit.end(End::Cancelled { tokens });
                    self.passage.account.close(Ended::Cancelled);
                    return;
                }
                StreamEnd::TimeOver => {
                    self.give_up(ServerSignal::None, "time_over").await;
                    return;
                }
                StreamEnd::Copied(copy) => {
                    drop(stream);
                    self.go_on(copy).await
                }
                StreamEnd::Cut(cause) => {
                    drop(stream);
                    self.after_cut(&cause).await
                }
            };
            match next {
                Some(next) => stream = next,
                None => return,
            }
        }
    }

    fn tokens(&self) -> u32 {
        (self.cutter.events() as u32).saturating_mul(self.event_tokens)
    }

    async fn finish(mut self, stream: Stream, opened: Instant) {
        let rest = self.cutter.take_partial();
        if !rest.is_empty() && self.sender.send(Ok(Frame::data(rest))).await.is_err() {
            spdlog::debug!("caller_gone_at_end", kv: { request: = &*self.passage.call.id });
        }
        let (tokens, took_ms) = (self.tokens(), opened.elapsed().as_millis() as u32);
        self.passage.permit.end(End::Completed { tokens, took_ms });
        self.passage.account.close_stream();
        if self.passage.call.route.kind.repeatable() && !stream.judgement.closing {
            self.routed.upstream.keep(stream.connection, stream.judgement.keep_alive);
        }
    }

    /// Passes whole events on until the stream ends in one way or another. Meanwhile the memory is copied
    /// where the reducer says so.
    async fn relay(&mut self, body: &mut Incoming) -> StreamEnd {
        let mut made: Option<Copy> = None;
        let mut copying: Option<Copying> = None;
        let mut cut: Option<String> = None;
        let mut stopped: Option<Instant> = None;
        loop {
            if let Some(at) = stopped
                && (cut.is_some() || at.elapsed() >= LAST_EVENTS)
                && let Some(copy) = made.take()
            {
                return StreamEnd::Copied(copy);
            }
            if let (Some(cause), None) = (&cut, &copying) {
                return match made.take() {
                    Some(copy) if copy.handle.is_some() => StreamEnd::Copied(copy),
                    Some(copy) => {
                        self.move_ended(&copy, false);
                        StreamEnd::Cut(cause.clone())
                    }
                    None => StreamEnd::Cut(cause.clone()),
                };
            }
            tokio::select! {
                biased;
                () = self.sender.closed() => return StreamEnd::CallerGone,
                frame = body.frame(), if cut.is_none() => match frame {
                    Some(Ok(frame)) => {
                        if !self.pass(frame).await {
                            return StreamEnd::CallerGone;
                        }
                    }
                    Some(Err(error)) => cut = Some(error.to_string()),
                    None => return StreamEnd::Whole,
                },
                answer = wait(&mut copying), if copying.is_some() => {
                    copying = None;
                    if let Some(copy) = made.take() {
                        let has_stopped;
                        (made, copying, has_stopped) = self.next_copy(copy, answer);
                        stopped = has_stopped.then(Instant::now);
                    }
                }
                admission = self.passage.permit.admission(), if made.is_none() => {
                    if let Admission::Move(permit, server) = admission {
                        (made, copying) = self.first_copy(permit, server);
                    }
                }
                () = tokio::time::sleep(LAST_EVENTS), if stopped.is_some() => {}
                () = tokio::time::sleep_until(self.passage.call.limit) => {
                    return StreamEnd::TimeOver;
                }
            }
        }
    }

    /// Passes the whole events of a frame on. Returns whether the caller is still there.
    async fn pass(&mut self, frame: Frame<Bytes>) -> bool {
        let Ok(data) = frame.into_data() else { return true };
        let before = self.cutter.events();
        let events = self.cutter.push(&data);
        if events.is_empty() {
            return true;
        }
        let fresh = self.cutter.events() - before;
        self.passage.account.tokens(fresh * u64::from(self.event_tokens));
        let tokens = self.tokens();
        self.passage.permit.progress(tokens);
        self.sender.send(Ok(Frame::data(events))).await.is_ok()
    }

    fn copy_to(&self, to: &ServerRef, last: bool) -> Copying {
        let (routed, call) = (self.routed.clone(), self.passage.call.clone());
        Box::pin(copy(routed, call, self.passage.server.clone(), to.address.clone(), last))
    }

    /// Starts the copy that is made while the generation goes on.
    fn first_copy(&mut self, permit: RequestId, server: Id) -> (Option<Copy>, Option<Copying>) {
        match self.server_of(server) {
            Some(to) => {
                let copying = self.copy_to(&to, false);
                (Some(Copy { permit: Some(permit), to, handle: None, stops: false }), Some(copying))
            }
            None => {
                self.passage.permit.move_ended(permit, false);
                (None, None)
            }
        }
    }

    /// What follows an answer to a copy: the copy, the next copying, and whether the generation has
    /// stopped for certain.
    fn next_copy(
        &mut self,
        copy: Copy,
        answer: CopyResult,
    ) -> (Option<Copy>, Option<Copying>, bool) {
        match answer {
            CopyResult::Copied { handle } if copy.stops => {
                self.passage.permit.move_copied();
                (Some(Copy { handle: Some(handle), ..copy }), None, true)
            }
            CopyResult::Copied { handle } => {
                let copying = self.copy_to(&copy.to, true);
                let copy = Copy { handle: Some(handle), stops: true, ..copy };
                (Some(copy), Some(copying), false)
            }
            CopyResult::NoRoom { handle: Some(handle) } if copy.stops => {
                // It has stopped, and its memory is still where it was.
                let to = self.passage.server.clone();
                self.move_ended(&copy, false);
                let copy = Copy { permit: None, to, handle: Some(handle), stops: true };
                (Some(copy), None, true)
            }
            // Whether it has stopped is not known. If its stream ends, the first copy is used.
            _ if copy.stops => (Some(copy), None, false),
            _ => {
                self.move_ended(&copy, false);
                (None, None, false)
            }
        }
    }

    fn move_ended(&mut self, copy: &Copy, moved: bool) {
        if let Some(permit) = copy.permit {
            self.passage.permit.move_ended(permit, moved);
        }
    }

    fn server_of(&self, server: Id) -> Option<ServerRef> {
        self.routed.shell.in_force().servers.get(&server).cloned()
    }

    /// Lets a generation go on with a copy of its memory: at the destination, and where that does not
    /// take it, at the server where it stopped.
    async fn go_on(&mut self, copy: Copy) -> Option<Stream> {
        let source = self.passage.server.clone();
        let handle = copy.handle.clone().unwrap_or_default();
        self.cutter.take_partial();
        let memory = Some((&*source.address, handle.as_str()));
        let resume = Resume { last_event: self.cutter.last_id(), memory };
        for server in [copy.to.clone(), source.clone()] {
            let made = attempt::make(&self.routed, &self.passage.call, &server, resume, None).await;
            let moved = server.id != source.id;
            match made {
                Attempt::Streams(stream) => {
                    self.move_ended(&copy, moved);
                    self.passage.account.started(&server.name);
                    self.passage.server = server;
                    return Some(stream);
                }
                Attempt::NotStarted(_) if moved => {}
                _ => break,
            }
        }
        self.move_ended(&copy, false);
        self.give_up(ServerSignal::None, "copy_not_used").await;
        None
    }

    /// What to do after a stream was cut: continue it elsewhere where that is allowed.
    async fn after_cut(&mut self, cause: &str) -> Option<Stream> {
        let signal = attempt::crash_sign(&self.routed, &self.passage.server).await;
        spdlog::warn!("stream_cut", kv: {
            request: = &*self.passage.call.id,
            server: = &*self.passage.server.name,
            events = self.cutter.events(),
            crashed = signal == ServerSignal::Crashed,
            cause,
        });
        if self.passage.call.route.kind != RouteKind::ResumableStream {
            self.give_up(signal, "cut").await;
            return None;
        }
        self.cutter.take_partial();
        let resumed = self.resume(signal).await;
        if resumed.is_none() {
            self.give_up(signal, "not_resumed").await;
        }
        resumed
    }

    /// Continues a stream on another backend server after the last event that was passed on.
    async fn resume(&mut self, signal: ServerSignal) -> Option<Stream> {
        let tokens = 0;
        self.passage.permit.end(End::Lost { tokens, signal, retry: true });
        loop {
            let admission = tokio::select! {
                biased;
                () = self.sender.closed() => return None,
                admission = self.passage.permit.admission() => admission,
                () = tokio::time::sleep_until(self.passage.call.limit) => return None,
            };
            let server = match admission {
                Admission::Start(server) => server,
                Admission::Move(unused, _) => {
                    self.passage.permit.move_ended(unused, false);
                    continue;
                }
                Admission::Refuse(..) => return None,
            };
            let Some(server) = self.server_of(server) else {
                self.passage.permit.end(End::NotStarted { signal: ServerSignal::Refused });
                continue;
            };
            self.passage.account.started(&server.name);
            let resume = Resume { last_event: self.cutter.last_id(), memory: None };
            match attempt::make(&self.routed, &self.passage.call, &server, resume, None).await {
                Attempt::Streams(stream) => {
                    self.passage.server = server;
                    return Some(stream);
                }
                Attempt::NotStarted(signal) => self.passage.permit.end(End::NotStarted { signal }),
                Attempt::Lost(signal) => {
                    self.passage.permit.end(End::Lost { tokens, signal, retry: true });
                }
                Attempt::Answered(_) | Attempt::TimedOut => {
                    self.passage.permit.end(End::Lost {
                        tokens,
                        signal: ServerSignal::None,
                        retry: false,
                    });
                    return None;
                }
            }
        }
    }

    /// Ends a stream that can not be completed so that it does not look complete.
    async fn give_up(&mut self, signal: ServerSignal, cause: &'static str) {
        let tokens = self.tokens();
        spdlog::warn!("stream_given_up", kv: {
            request: = &*self.passage.call.id,
            server: = &*self.passage.server.name,
            tokens,
            cause,
        });
        self.passage.permit.end(End::Lost { tokens, signal, retry: false });
        self.passage.account.close(Ended::Partial);
        if self.sender.send(Err(cause.into())).await.is_err() {
            spdlog::debug!("caller_gone_at_end", kv: { request: = &*self.passage.call.id });
        }
    }
}

/// Waits for a copy, for ever where there is none.
async fn wait(copying: &mut Option<Copying>) -> CopyResult {
    match copying {
        Some(copying) => copying.await,
        None => std::future::pending().await,
    }
}
