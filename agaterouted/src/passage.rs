//! Passes a stream of events on to its caller, and continues it on another backend server where that
//! is allowed.

use std::sync::Arc;

use agateroute_config::route::RouteKind;
use agateroute_core::event::{End, Sign};
use agateroute_core::events::EventCutter;
use agateroute_core::Id;
use bytes::Bytes;
use http::Response;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio_stream::wrappers::ReceiverStream;

use crate::account::{Account, Ended};
use crate::attempt::{self, Attempt, Stream};
use crate::gate::{CutError, GateBody};
use crate::routed::Routed;
use crate::serve::{Call, passed_headers};
use crate::shell::{Admission, Permit, ServerRef};
use crate::upstream::Connection;

/// The frames that wait for a slow caller.
const BUFFERED: usize = 8;

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
#[derive(Debug, PartialEq)]
enum StreamEnd {
    Whole,
    Cut(String),
    CallerGone,
    TimeOver,
}

type FrameSender = mpsc::Sender<Result<Frame<Bytes>, CutError>>;

/// Starts to pass a stream on and returns the answer that carries it.
pub fn start(routed: &Arc<Routed>, passage: Passage, stream: Stream) -> Response<GateBody> {
    let (sender, receiver) = mpsc::channel(BUFFERED);
    let mut response = Response::new(StreamBody::new(ReceiverStream::new(receiver)).boxed_unsync());
    *response.status_mut() = stream.head.status;
    *response.headers_mut() = passed_headers(&stream.head);
    tokio::spawn(pass(routed.clone(), passage, stream, sender));
    response
}

async fn pass(routed: Arc<Routed>, mut passage: Passage, stream: Stream, sender: FrameSender) {
    let mut cutter = EventCutter::default();
    let event_tokens = routed.source.event_tokens(&passage.call.route);
    let mut source = (stream.body, stream.connection);
    let mut keeps = stream.judgement;
    loop {
        let opened = Instant::now();
        let (body, connection) = source;
        let (end, connection) =
            relay(&mut passage, body, connection, &mut cutter, event_tokens, &sender).await;
        let tokens = tokens(&cutter, event_tokens);
        match end {
            StreamEnd::Whole => {
                let rest = cutter.take_rest();
                if !rest.is_empty() {
                    let _ = sender.send(Ok(Frame::data(rest))).await;
                }
                passage.permit.end(End::Whole { tokens, took_ms: opened.elapsed().as_millis() as u32 });
                passage.account.close_stream();
                if passage.call.route.kind.repeatable() && !keeps.closing {
                    routed.upstream.keep(connection, keeps.keeps);
                }
                return;
            }
            StreamEnd::CallerGone => {
                passage.permit.end(End::Cancelled { tokens });
                passage.account.close(Ended::Cancelled);
                return;
            }
            StreamEnd::TimeOver => {
                give_up(passage, tokens, Sign::Nothing, &sender, "time_over").await;
                return;
            }
            StreamEnd::Cut(cause) => {
                drop(connection);
                let sign = attempt::crash_sign(&routed, &passage.server).await;
                spdlog::warn!("stream_cut", kv: {
                    request: = &*passage.call.id,
                    server: = &*passage.server.name,
                    events = cutter.events(),
                    crashed = sign == Sign::Crashed,
                    cause: = cause.as_str(),
                });
                if passage.call.route.kind != RouteKind::ResumableStream {
                    give_up(passage, tokens, sign, &sender, "cut").await;
                    return;
                }
                cutter.take_rest();
                match resume(&routed, &mut passage, &cutter, sign, &sender).await {
                    Some(stream) => {
                        source = (stream.body, stream.connection);
                        keeps = stream.judgement;
                    }
                    None => {
                        give_up(passage, tokens, sign, &sender, "not_resumed").await;
                        return;
                    }
                }
            }
        }
    }
}

fn tokens(cutter: &EventCutter, event_tokens: u32) -> u32 {
    (cutter.events() as u32).saturating_mul(event_tokens)
}

/// Passes whole events on until the stream ends in one way or another.
async fn relay(
    passage: &mut Passage,
    mut body: Incoming,
    connection: Connection,
    cutter: &mut EventCutter,
    event_tokens: u32,
    sender: &FrameSender,
) -> (StreamEnd, Connection) {
    let end = loop {
        let frame = tokio::select! {
            biased;
            () = sender.closed() => break StreamEnd::CallerGone,
            frame = body.frame() => frame,
            () = tokio::time::sleep_until(passage.call.limit) => break StreamEnd::TimeOver,
        };
        let data = match frame {
            Some(Ok(frame)) => match frame.into_data() {
                Ok(data) => data,
                Err(_) => continue,
            },
            Some(Err(error)) => break StreamEnd::Cut(error.to_string()),
            None => break StreamEnd::Whole,
        };
        let before = cutter.events();
        let events = cutter.push(&data);
        if events.is_empty() {
            continue;
        }
        let fresh = cutter.events() - before;
        passage.account.tokens(fresh * u64::from(event_tokens));
        passage.permit.progress(tokens(cutter, event_tokens));
        if sender.send(Ok(Frame::data(events))).await.is_err() {
            break StreamEnd::CallerGone;
        }
    };
    (end, connection)
}

/// Continues a stream on another backend server after the last event that was passed on.
async fn resume(
    routed: &Routed,
    passage: &mut Passage,
    cutter: &EventCutter,
    sign: Sign,
    sender: &FrameSender,
) -> Option<Stream> {
    let tokens = 0;
    passage.permit.end(End::Lost { tokens, sign, again: true });
    loop {
        let admission = tokio::select! {
            biased;
            () = sender.closed() => return None,
            admission = passage.permit.admission() => admission,
            () = tokio::time::sleep_until(passage.call.limit) => return None,
        };
        let Admission::Start(server) = admission else { return None };
        let Some(server) = server_of(routed, server) else {
            passage.permit.end(End::NotStarted { sign: Sign::Refused });
            continue;
        };
        passage.account.started(&server.name);
        match attempt::make(routed, &passage.call, &server, cutter.last_id()).await {
            Attempt::Streams(stream) => {
                passage.server = server;
                return Some(stream);
            }
            Attempt::NotStarted(sign) => passage.permit.end(End::NotStarted { sign }),
            Attempt::Lost(sign) => passage.permit.end(End::Lost { tokens, sign, again: true }),
            Attempt::Answered(_) | Attempt::TimedOut => {
                passage.permit.end(End::Lost { tokens, sign: Sign::Nothing, again: false });
                return None;
            }
        }
    }
}

fn server_of(routed: &Routed, server: Id) -> Option<ServerRef> {
    routed.shell.in_force().servers.get(&server).cloned()
}

/// Ends a stream that can not be completed so that it does not look complete.
async fn give_up(
    mut passage: Passage,
    tokens: u32,
    sign: Sign,
    sender: &FrameSender,
    cause: &'static str,
) {
    spdlog::warn!("stream_given_up", kv: {
        request: = &*passage.call.id,
        server: = &*passage.server.name,
        tokens,
        cause,
    });
    passage.permit.end(End::Lost { tokens, sign, again: false });
    passage.account.close(Ended::Partial);
    let _ = sender.send(Err(cause.into())).await;
}
