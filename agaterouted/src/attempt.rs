//! One attempt of a request on one backend server, up to its whole answer or the head of its stream.

use std::time::Duration;

use agateroute_adapter::server::{AttemptInfo, ResponseInfo, ServerLoad};
use agateroute_core::event::ServerSignal;
use bytes::Bytes;
use http::{Request, StatusCode, response};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use tokio::time::Instant;

use crate::daemon::ServerRef;
use crate::route_instance::RouteInstance;
use crate::serve::{MAX_ANSWER_BYTES, RouteCall};
use crate::upstream::{Connection, SendError};

/// How long after a cut connection its server is asked whether it is still there, so that a server that
/// is just crashing has closed its port.
const CRASH_CHECK_DELAY: Duration = Duration::from_millis(30);

/// What came of an attempt.
pub enum Attempt {
    /// The whole answer.
    Answered(Answer),
    /// The head of a stream.
    Streaming(Stream),
    /// Nothing of the request has run.
    NotStarted(ServerSignal),
    /// The server may have run it and its answer is lost.
    Lost(ServerSignal),
    /// The time was over.
    TimedOut,
}

/// A whole answer.
pub struct Answer {
    /// The head.
    pub head: response::Parts,
    /// The body.
    pub body: Bytes,
    /// How long the server took.
    pub took: Duration,
    /// The load that the server told.
    pub load: Option<ServerLoad>,
}

/// A stream whose head has come.
pub struct Stream {
    /// The head.
    pub head: response::Parts,
    /// The body.
    pub body: Incoming,
    /// The connection, which has to live as long as the body is read.
    pub connection: Connection,
    /// What the head says.
    pub judgement: ResponseInfo,
}

/// From where a stream is continued.
#[derive(Clone, Copy, Debug, Default)]
pub struct Resume<'a> {
    /// The last event that the caller has.
    pub last_event: Option<u64>,
    /// The address of the server that the memory was copied from, and the handle of the copy.
    pub memory: Option<(&'a str, &'a str)>,
}

/// Sends a request to a server. With patience, an answer that does not begin within it counts as lost.
pub async fn make(
    instance: &RouteInstance,
    call: &RouteCall,
    server: &ServerRef,
    resume: Resume<'_>,
    timeout: Option<Duration>,
) -> Attempt {
    let started = Instant::now();
    let until = timeout.map_or(call.answer_by, |p| call.answer_by.min(started + p));
    let request = encode_request(instance, call, server, resume);
    let reuse = call.route.kind.repeatable() && resume.memory.is_none();
    let sent = instance.upstream.send(server, request, reuse);
    let attempt = match tokio::time::timeout_at(until, sent).await {
        Ok(Ok((response, connection))) => {
            receive(instance, call, response, connection, started).await
        }
        Ok(Err(error)) => send_failed(instance, server, &error).await,
        Err(_) if until < call.answer_by => Attempt::Lost(ServerSignal::None),
        Err(_) => Attempt::TimedOut,
    };
    log_attempt(instance, call, server, &attempt, started);
    attempt
}

fn encode_request(
    instance: &RouteInstance,
    call: &RouteCall,
    server: &ServerRef,
    resume: Resume<'_>,
) -> Request<Full<Bytes>> {
    let left =
        call.deadline.map(|d| d.min(call.answer_by).saturating_duration_since(Instant::now()));
    let order = AttemptInfo {
        server: &server.name,
        organisation: call.organisation.as_deref(),
        remaining_ms: left.map(|l| l.as_millis() as u64),
        rank: call.rank,
        last_event: resume.last_event,
        memory: resume.memory,
    };
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    match call.path.parse() {
        Ok(uri) => *request.uri_mut() = uri,
        Err(error) => {
            spdlog::error!("path_not_encoded", kv: { request: = &*call.id, error: });
        }
    }
    *request.headers_mut() = (instance.deployment.servers.headers)(&call.headers, &order);
    request
}

async fn receive(
    instance: &RouteInstance,
    call: &RouteCall,
    response: hyper::Response<Incoming>,
    connection: Connection,
    started: Instant,
) -> Attempt {
    let (head, body) = response.into_parts();
    let judgement = (instance.deployment.servers.read_head)(&head);
    let own = judgement.id.as_deref() == Some(&*call.id);
    if judgement.refused && (own || judgement.id.is_none()) {
        let signal = if judgement.misdirected { ServerSignal::Leaving } else { ServerSignal::None };
        return Attempt::NotStarted(signal);
    }
    if !own || judgement.encoded {
        return Attempt::Lost(ServerSignal::None);
    }
    if call.route.kind.streams() && head.status == StatusCode::OK {
        return Attempt::Streaming(Stream { head, body, connection, judgement });
    }
    let read = Limited::new(body, MAX_ANSWER_BYTES).collect();
    match tokio::time::timeout_at(call.answer_by, read).await {
        Ok(Ok(body)) => {
            if !judgement.closing {
                instance.upstream.put_idle(connection, judgement.keep_alive);
            }
            let (body, took) = (body.to_bytes(), started.elapsed());
            Attempt::Answered(Answer { head, body, took, load: judgement.load })
        }
        Ok(Err(_)) => Attempt::Lost(ServerSignal::None),
        Err(_) => Attempt::TimedOut,
    }
}

async fn send_failed(instance: &RouteInstance, server: &ServerRef, error: &SendError) -> Attempt {
    match error {
        SendError::NotConnected(_) | SendError::NotSent(_) => {
            Attempt::NotStarted(ServerSignal::Refused)
        }
        SendError::Lost(_) => Attempt::Lost(check_crashed(instance, server).await),
    }
}

/// Whether a server whose connection was cut has crashed: it accepts no new one.
pub async fn check_crashed(instance: &RouteInstance, server: &ServerRef) -> ServerSignal {
    tokio::time::sleep(CRASH_CHECK_DELAY).await;
    if instance.upstream.accepts_connections(server).await {
        ServerSignal::None
    } else {
        ServerSignal::Crashed
    }
}

fn log_attempt(
    instance: &RouteInstance,
    call: &RouteCall,
    server: &ServerRef,
    attempt: &Attempt,
    started: Instant,
) {
    let (outcome, status) = match attempt {
        Attempt::Answered(answer) => ("answered", answer.head.status.as_u16()),
        Attempt::Streaming(stream) => ("streams", stream.head.status.as_u16()),
        Attempt::NotStarted(ServerSignal::Refused) => ("not_connected", 0),
        Attempt::NotStarted(_) => ("not_started", 0),
        Attempt::Lost(ServerSignal::Crashed) => ("server_crashed", 0),
        Attempt::Lost(_) => ("lost", 0),
        Attempt::TimedOut => ("timed_out", 0),
    };
    let load = match attempt {
        Attempt::Answered(answer) => answer.load,
        Attempt::Streaming(stream) => stream.judgement.load,
        _ => None,
    };
    let load =
        load.map_or_else(String::new, |l| format!("{}+{}/{}", l.running, l.waiting, l.slots));
    spdlog::info!("attempt", kv: {
        request: = &*call.id,
        route: = call.route.name.as_str(),
        server: = &*server.name,
        outcome,
        status,
        took_ms = started.elapsed().as_millis() as u64,
        load: = load.as_str(),
        version = instance.daemon.config().version,
        reading_age_ms = instance.document_age(),
    });
}
