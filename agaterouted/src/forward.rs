//! Requests that one instance hands to another, since it reaches no backend server itself.
//!
//! `agateroute_core::forward` decides which peer gets a request. The peer checks key, route and limits again and serves it as
//! its own, at one hop at most; its answer comes back as a stream of parts, which is complete only with its last part.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use agateroute_core::Id;
use agateroute_core::event::ForwardEnd;
use agateroute_proto::peers::forward_part::Part;
use agateroute_proto::peers::{
    ForwardFinish, ForwardHead, ForwardHeader, ForwardPart, ForwardRequest,
};
use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream::{self, BoxStream};
use http::{HeaderMap, HeaderName, HeaderValue, Request, Response, StatusCode, request};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Body, Frame};
use opentelemetry::trace::SpanKind;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio_stream::wrappers::ReceiverStream;
use tonic::{Code, Status, Streaming};

use crate::body_memory::ReadError;
use crate::peer_listener::{NO_MEMORY, no_memory};
use crate::permit::Permit;
use crate::request_tracker::{FinalOutcome, Tracker};
use crate::route_instance::RouteInstance;
use crate::route_listener::{BoxBody, full_body};
use crate::serve::{self, RouteCall};
use crate::telemetry::{end_span, inject};
use crate::upstream::is_final;

/// The peer ends a request this long before the entry instance has to, in milliseconds, so that its answer arrives in time.
const HOP_MS: u64 = 10;
/// The frames of a stream that may wait for a caller that does not read.
const MAX_QUEUED_FRAMES: usize = 8;
/// A caller has not waited longer than this, in milliseconds.
const MAX_ELAPSED_MS: u64 = 86_400_000;
/// The codes of refusals after which another peer may serve a request.
const OWN_REFUSALS: [&str; 3] = ["no_server", "not_ready", "stopping"];

/// The parts of an answer that are sent to the entry instance.
pub type Parts = BoxStream<'static, Result<ForwardPart, Status>>;

/// What a peer says of a request that it hands over.
#[derive(Clone, Copy, Debug)]
pub struct Hop {
    /// The version of the document that the peer has in force.
    pub version: u64,
    /// The number of attempts that the peer made.
    pub begun: u32,
}

/// What came of a request that was handed to a peer.
pub enum Outcome {
    /// The whole answer.
    Answered(Response<BoxBody>),
    /// The peer refused the request, with an answer for the caller.
    Refused(Response<BoxBody>),
    /// The head of a stream, and the parts to come.
    Streaming(Response<()>, Box<Streaming<ForwardPart>>),
    /// The peer has not run the request, and another one may.
    NotRun,
    /// A server may have run the request, and the answer is lost.
    Lost,
    /// The request has no time left. A server may have run it.
    TimedOut,
}

/// Hands a request to a peer and waits for its answer, or for the head of a stream. `begun` attempts were made before.
pub async fn send(
    instance: &RouteInstance,
    call: &RouteCall,
    tracker: &Tracker,
    peer: Id,
    begun: u32,
) -> Outcome {
    let started = Instant::now();
    let exchange = exchange(instance, call, tracker, peer, begun);
    let outcome = tokio::select! {
        biased;
        outcome = tokio::time::timeout_at(call.answer_by, exchange) => {
            outcome.unwrap_or(Outcome::TimedOut)
        }
        () = instance.giving_up.cancelled() => Outcome::TimedOut,
    };
    let (label, status) = match &outcome {
        Outcome::Answered(response) => ("answered", response.status().as_u16()),
        Outcome::Refused(response) => ("refused", response.status().as_u16()),
        Outcome::Streaming(head, _) => ("streams", head.status().as_u16()),
        Outcome::NotRun => ("not_run", 0),
        Outcome::Lost => ("lost", 0),
        Outcome::TimedOut => ("timed_out", 0),
    };
    let name = instance.daemon.read(|s| s.membership.peers.get(&peer).map(|p| p.name.clone()));
    spdlog::info!("request_forwarded", kv: {
        request: = &*call.id,
        route: = call.route.name.as_str(),
        peer: = name.as_deref().unwrap_or("-"),
        outcome = label,
        status,
        took_ms = started.elapsed().as_millis() as u64,
    });
    outcome
}

async fn exchange(
    instance: &RouteInstance,
    call: &RouteCall,
    tracker: &Tracker,
    peer: Id,
    begun: u32,
) -> Outcome {
    let Some(address) = instance.daemon.peer_address(peer) else { return Outcome::NotRun };
    let context = instance.daemon.telemetry.span("peer", SpanKind::Client, &tracker.context);
    let request = encode_request(instance, call, &context, begun);
    let sent = instance.source.channels.forward(&address, request).await;
    end_span(&context, if sent.is_ok() { "answered" } else { "failed" });
    let mut parts = match sent {
        Ok(parts) => parts,
        // Nothing was sent without a connection.
        Err(status) if status.code() == Code::Unavailable && !reached(&status) => {
            return Outcome::NotRun;
        }
        // A peer of an older build does not know the method, and one without routes serves none.
        Err(status) if status.code() == Code::Unimplemented => return Outcome::NotRun,
        Err(status) if status.message() == NO_MEMORY => return Outcome::NotRun,
        Err(_) => return Outcome::Lost,
    };
    let Ok(Some(Part::Head(head))) = receive_part(&mut parts).await else {
        return Outcome::Lost;
    };
    let Some(response) = decode_head(&head) else { return Outcome::Lost };
    if OWN_REFUSALS.contains(&head.refused.as_str()) {
        return Outcome::NotRun;
    }
    if call.route.kind.streams() && response.status() == StatusCode::OK {
        return Outcome::Streaming(response, Box::new(parts));
    }
    let body = match instance.answer_memory.read(buffered(parts)).await {
        Ok(body) => body,
        Err(error) => {
            spdlog::warn!("forwarded_answer_lost", kv: { request: = &*call.id, error: });
            return Outcome::Lost;
        }
    };
    let response = response.map(|()| full_body(body));
    match head.refused.is_empty() {
        true => Outcome::Answered(response),
        false => Outcome::Refused(response),
    }
}

/// The rest of an answer that is not streamed. It is broken without its last part.
fn buffered(parts: Streaming<ForwardPart>) -> impl Body<Data = Bytes, Error = &'static str> {
    let next = async |parts: Option<Streaming<ForwardPart>>| {
        let mut parts = parts?;
        match receive_part(&mut parts).await {
            Ok(Some(Part::Data(data))) => Some((Ok(Frame::data(Bytes::from(data))), Some(parts))),
            Ok(Some(Part::Finish(_))) => None,
            _ => Some((Err("the last part is missing"), None)),
        }
    };
    StreamBody::new(stream::unfold(Some(parts), next))
}

/// Receives the next part of an answer. Kinds that a later build has added are passed over.
async fn receive_part(parts: &mut Streaming<ForwardPart>) -> Result<Option<Part>, Status> {
    loop {
        match parts.message().await? {
            Some(ForwardPart { part: None }) => {}
            next => return Ok(next.and_then(|p| p.part)),
        }
    }
}

/// Whether a failed call may have reached the peer: only an error of the connection itself shows that it has not.
fn reached(status: &Status) -> bool {
    let mut source = std::error::Error::source(status);
    while let Some(error) = source {
        if error.downcast_ref::<std::io::Error>().is_some_and(|e| {
            matches!(e.kind(), std::io::ErrorKind::ConnectionRefused | std::io::ErrorKind::TimedOut)
        }) {
            return false;
        }
        source = error.source();
    }
    true
}

fn encode_request(
    instance: &RouteInstance,
    call: &RouteCall,
    context: &opentelemetry::Context,
    begun: u32,
) -> ForwardRequest {
    let mut headers = call.headers.clone();
    inject(context, &mut headers);
    ForwardRequest {
        method: call.method.to_string(),
        path: call.path.clone(),
        headers: encode_headers(&headers),
        body: call.body.to_vec(),
        elapsed_ms: call.arrived.elapsed().as_millis() as u64 + HOP_MS,
        version: instance.daemon.config().version,
        begun,
    }
}

fn encode_headers(headers: &HeaderMap) -> Vec<ForwardHeader> {
    let encode = |(name, value): (&HeaderName, &HeaderValue)| ForwardHeader {
        name: name.to_string(),
        value: value.as_bytes().to_vec(),
    };
    headers.iter().map(encode).collect()
}

fn decode_headers(list: &[ForwardHeader]) -> Option<HeaderMap> {
    let mut headers = HeaderMap::new();
    for header in list {
        let name = HeaderName::from_bytes(header.name.as_bytes()).ok()?;
        headers.append(name, HeaderValue::from_bytes(&header.value).ok()?);
    }
    Some(headers)
}

fn decode_head(head: &ForwardHead) -> Option<Response<()>> {
    let mut response = Response::new(());
    let status = StatusCode::from_u16(u16::try_from(head.status).ok()?).ok()?;
    *response.status_mut() = Some(status).filter(|s| is_final(*s))?;
    *response.headers_mut() = decode_headers(&head.headers)?;
    Some(response)
}

/// Relays the stream of a peer to the caller. It ends without its end if the peer's does.
pub fn relay(
    instance: &Arc<RouteInstance>,
    call: Arc<RouteCall>,
    (permit, mut tracker): (Permit, Tracker),
    (head, mut parts): (Response<()>, Box<Streaming<ForwardPart>>),
) -> Response<BoxBody> {
    let (sender, receiver) = mpsc::channel(MAX_QUEUED_FRAMES);
    let instance = instance.clone();
    tokio::spawn(async move {
        let cause = loop {
            let part = tokio::select! {
                biased;
                () = sender.closed() => break Some("caller_gone"),
                part = receive_part(&mut parts) => part,
                () = tokio::time::sleep_until(call.answer_by) => break Some("time_over"),
                () = instance.ending.cancelled() => break Some("instance_ends"),
            };
            match part {
                Ok(Some(Part::Data(data))) => {
                    tracker.record_tokens(1);
                    if sender.send(Ok(Frame::data(Bytes::from(data)))).await.is_err() {
                        break Some("caller_gone");
                    }
                }
                Ok(Some(Part::Finish(_))) => break None,
                _ => break Some("peer_broke_off"),
            }
        };
        permit.forward_ended(ForwardEnd::Done);
        match cause {
            None => tracker.close_stream(),
            Some("caller_gone") => tracker.close(FinalOutcome::Cancelled),
            Some(cause) => {
                spdlog::warn!("stream_given_up", kv: { request: = &*call.id, cause });
                tracker.close(FinalOutcome::Partial);
                let _ = sender.send(Err(cause.into())).await;
            }
        }
    });
    head.map(|()| StreamBody::new(ReceiverStream::new(receiver)).boxed_unsync())
}

/// Counts a request of a peer as running, so that this instance does not stop before it has ended.
struct BusyGuard(Arc<RouteInstance>);

impl Drop for BusyGuard {
    fn drop(&mut self) {
        self.0.busy_requests.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Serves a request that a peer has handed to this instance.
pub async fn receive(
    instance: Arc<RouteInstance>,
    forwarded: ForwardRequest,
) -> Result<Parts, Status> {
    instance.busy_requests.fetch_add(1, Ordering::AcqRel);
    let guard = BusyGuard(instance.clone());
    let head = request_head(&forwarded)
        .ok_or_else(|| Status::invalid_argument("the head of the request is not valid"))?;
    let body = hold_body(&instance, forwarded.body).map_err(no_memory)?;
    let arrived = Instant::now() - crate::daemon::millis(forwarded.elapsed_ms.min(MAX_ELAPSED_MS));
    let hop = Hop { version: forwarded.version, begun: forwarded.begun };
    let (response, refused) = serve::handle_forwarded(&instance, head, body, arrived, hop).await;
    let (head, body) = response.into_parts();
    let first = ForwardHead {
        status: u32::from(head.status.as_u16()),
        headers: encode_headers(&head.headers),
        refused: refused.to_owned(),
    };
    let rest = stream::unfold((Some(body), guard), next_part);
    let first = stream::iter([Ok(ForwardPart { part: Some(Part::Head(first)) })]);
    Ok(first.chain(rest).boxed())
}

/// Counts a body until its last copy is dropped.
fn hold_body(instance: &RouteInstance, body: Vec<u8>) -> Result<Bytes, ReadError> {
    let reader = instance.body_memory.open();
    reader.push(&body, body.len(), body.len())?;
    drop(body);
    reader.finish()
}

type Rest = (Option<BoxBody>, BusyGuard);

async fn next_part((body, guard): Rest) -> Option<(Result<ForwardPart, Status>, Rest)> {
    let mut body = body?;
    loop {
        match body.frame().await {
            Some(Ok(frame)) => {
                let Ok(data) = frame.into_data() else { continue };
                let part = ForwardPart { part: Some(Part::Data(data.to_vec())) };
                return Some((Ok(part), (Some(body), guard)));
            }
            Some(Err(error)) => {
                return Some((Err(Status::aborted(error.to_string())), (None, guard)));
            }
            None => {
                let part = ForwardPart { part: Some(Part::Finish(ForwardFinish {})) };
                return Some((Ok(part), (None, guard)));
            }
        }
    }
}

fn request_head(forwarded: &ForwardRequest) -> Option<request::Parts> {
    let request = Request::builder().method(forwarded.method.as_str()).uri(&forwarded.path);
    let (mut head, ()) = request.body(()).ok()?.into_parts();
    head.headers = decode_headers(&forwarded.headers)?;
    Some(head)
}
