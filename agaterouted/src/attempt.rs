//! Sends a request to one backend server and reads its answer, or only the head if it is a stream.

use std::time::Duration;

use agateroute_adapter::server::{AttemptInfo, ResponseInfo, ServerLoad};
use agateroute_core::Event;
use agateroute_core::event::{RequestId, ServerSignal};
use agateroute_core::notice::{Named, Notice};
use bytes::Bytes;
use futures_util::future::join_all;
use http::{Request, StatusCode, header, response};
use http_body_util::Full;
use hyper::body::Incoming;
use rand::seq::SliceRandom;
use tokio::time::Instant;

use crate::answer_body::BodyError;
use crate::daemon::ServerRef;
use crate::route_instance::RouteInstance;
use crate::serve::RouteCall;
use crate::upstream::{Connection, SendError, is_final};

/// After a lost connection, a server that is crashing has closed its port within this time.
pub const CRASH_CHECK_DELAY: Duration = Duration::from_millis(30);

/// The other servers to which this instance connects at the same time to see whether it is cut off itself.
const CONTROL_SERVERS: usize = 2;
/// The maximum number of them. One part of a prompt may crash five servers at once, the lost one among them, so that four
/// others may be gone.
const MAX_CONTROLS: usize = 6;

/// What happened to a request that was sent to one backend server.
pub enum Attempt {
    /// The answer is complete.
    Answered(Answer),
    /// The head of a stream has arrived.
    Streaming(Stream),
    /// The server has not run any of the request.
    NotStarted(ServerSignal),
    /// The server may have run the request, and its answer is lost.
    Lost(ServerSignal),
    /// The request has no time left. The server may have run it.
    TimedOut,
    /// The server has answered, after this time, and this instance has no memory for the answer.
    NoMemory(Duration),
}

/// A complete answer of a backend server.
pub struct Answer {
    /// The status and the header fields of the server.
    pub head: response::Parts,
    /// The whole body.
    pub body: Bytes,
    /// The time from sending the request to the end of the body.
    pub took: Duration,
    /// The load that the server reports with the answer.
    pub load: Option<ServerLoad>,
}

/// A stream whose head has arrived.
pub struct Stream {
    /// The status and the header fields of the server.
    pub head: response::Parts,
    /// The events, not yet read.
    pub body: Incoming,
    /// The connection, which must be kept until the body is read.
    pub connection: Connection,
    /// What the adapter decoded from the head.
    pub response_info: ResponseInfo,
}

impl Stream {
    /// Whether the body has neither a length nor chunks, so that it ends with its connection. Its end does not tell
    /// whether more was to come.
    pub fn ends_with_connection(&self) -> bool {
        let headers = &self.head.headers;
        !headers.contains_key(header::CONTENT_LENGTH)
            && !headers.contains_key(header::TRANSFER_ENCODING)
    }
}

/// The point from which a stream continues.
#[derive(Clone, Copy, Debug, Default)]
pub struct Resume<'a> {
    /// The id of the last event that the caller has.
    pub last_event: Option<u64>,
    /// The address of the server that the memory was copied from, and the handle of the copy.
    pub memory: Option<(&'a str, &'a str)>,
}

/// Sends a request to a server, under the permit of `request`. An answer that has not begun when `given_up` ends counts as
/// lost.
pub async fn send(
    instance: &RouteInstance,
    call: &RouteCall,
    request_id: RequestId,
    server: &ServerRef,
    resume: Resume<'_>,
    given_up: impl Future<Output = ()>,
) -> Attempt {
    let started = Instant::now();
    log_placed(instance, call, request_id, server);
    let request = encode_request(instance, call, server, resume);
    let reuse = call.route.kind.repeatable() && resume.memory.is_none();
    let mut notice = Notice::default();
    let mut ended = DropLog {
        instance,
        call,
        server,
        last_event: resume.last_event,
        started,
        is_logged: false,
    };
    let exchange = async {
        let sent = instance.upstream.send(server, request, reuse);
        let sent = tokio::select! {
            biased;
            sent = tokio::time::timeout_at(call.answer_by, sent) => sent,
            () = given_up => return Attempt::Lost(ServerSignal::None),
        };
        match sent {
            Ok(Ok((response, connection))) => {
                if connection.is_new {
                    instance.daemon.apply(Event::Connected { server: server.id });
                }
                let (head, body) = response.into_parts();
                let response_info = (instance.deployment.servers.decode_head)(&head);
                notice = response_info.notice;
                observe(instance, request_id, server, notice);
                if let Some(load) = response_info.load {
                    observe_slowness(instance, call, request_id, server, load.slowness);
                }
                let stream = Stream { head, body, connection, response_info };
                receive(instance, call, server, stream, started).await
            }
            Ok(Err(error)) => send_failed(instance, call, server, &error).await,
            Err(_) => Attempt::TimedOut,
        }
    };
    let attempt = tokio::select! {
        biased;
        attempt = exchange => attempt,
        () = instance.giving_up.cancelled() => Attempt::TimedOut,
    };
    ended.is_logged = true;
    log_attempt(instance, call, server, (Some(&attempt), notice, resume.last_event), started);
    attempt
}

/// Logs an attempt that is dropped before its end, because its caller left or its connection was closed.
struct DropLog<'a> {
    instance: &'a RouteInstance,
    call: &'a RouteCall,
    server: &'a ServerRef,
    last_event: Option<u64>,
    started: Instant,
    is_logged: bool,
}

impl Drop for DropLog<'_> {
    fn drop(&mut self) {
        if !self.is_logged {
            let what = (None, Notice::default(), self.last_event);
            log_attempt(self.instance, self.call, self.server, what, self.started);
        }
    }
}

/// Passes what a response says of its server to the reducer.
fn observe(instance: &RouteInstance, request: RequestId, server: &ServerRef, notice: Notice) {
    let server = server.id;
    if instance.daemon.read(|state| state.expects_notice(server, &notice)) {
        instance.daemon.apply(Event::Noticed { request, server, notice });
    }
}

/// Logs and counts a generation that was placed by quotes.
fn log_placed(instance: &RouteInstance, call: &RouteCall, request: RequestId, server: &ServerRef) {
    let Some(placed) = instance.daemon.read(|state| state.placed(request)) else { return };
    let telemetry = &instance.daemon.telemetry;
    telemetry.placed.add(1, &[]);
    telemetry.saved_ms.add(u64::from(placed.saved_ms), &[]);
    spdlog::info!("placed", kv: {
        request: = &*call.id,
        route: = call.route.name.as_str(),
        server: = &*server.name,
        cost_ms = placed.cost_ms,
        saved_ms = placed.saved_ms,
        second_ms = placed.second_ms.map_or(-1, i64::from),
        slowness = placed.slowness.unwrap_or(0),
        age_ms = placed.age_ms,
    });
}

/// Passes what a response says of the speed of its server to the reducer.
fn observe_slowness(
    instance: &RouteInstance,
    call: &RouteCall,
    request: RequestId,
    server: &ServerRef,
    figure: Named<u32>,
) {
    let server_id = server.id;
    match figure {
        Named::Absent => return,
        Named::Invalid if instance.daemon.read(|s| s.speeds.sent_invalid(server_id)) => return,
        Named::Invalid => {
            spdlog::warn!("slowness_invalid", kv: {
                request: = &*call.id,
                server: = &*server.name,
            });
        }
        Named::Value(_) => {}
    }
    instance.daemon.apply(Event::Slowness { request, server: server_id, figure });
}

fn encode_request(
    instance: &RouteInstance,
    call: &RouteCall,
    server: &ServerRef,
    resume: Resume<'_>,
) -> Request<Full<Bytes>> {
    let left =
        call.deadline.map(|d| d.min(call.answer_by).saturating_duration_since(Instant::now()));
    let attempt_info = AttemptInfo {
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
    *request.headers_mut() =
        (instance.deployment.servers.encode_headers)(&call.headers, &attempt_info);
    request
}

async fn receive(
    instance: &RouteInstance,
    call: &RouteCall,
    server: &ServerRef,
    response: Stream,
    started: Instant,
) -> Attempt {
    let ends_with_connection = response.ends_with_connection();
    let Stream { head, body, connection, response_info } = response;
    if !is_final(head.status) {
        let (server, status) = (&*server.name, head.status.as_u16());
        spdlog::warn!("status_invalid", kv: { request: = &*call.id, server, status });
        return Attempt::Lost(ServerSignal::None);
    }
    let matches = response_info.id.as_deref() == Some(&*call.id);
    if response_info.refused && (matches || response_info.id.is_none()) {
        let signal =
            if response_info.misdirected { ServerSignal::Leaving } else { ServerSignal::None };
        return Attempt::NotStarted(signal);
    }
    if !matches || response_info.encoded {
        return Attempt::Lost(ServerSignal::None);
    }
    if call.route.kind.streams() && head.status == StatusCode::OK {
        return Attempt::Streaming(Stream { head, body, connection, response_info });
    }
    let answered = Instant::now();
    let read = instance.answer_memory.read(body);
    match tokio::time::timeout_at(call.answer_by, read).await {
        Ok(Ok(body)) => {
            if ends_with_connection && is_gone(instance, server).await {
                let began = Some(answered.elapsed());
                return Attempt::Lost(check_crashed(instance, call, server, began).await);
            }
            if !response_info.closing {
                instance.upstream.put_idle(connection, response_info.keep_alive);
            }
            let took = started.elapsed();
            Attempt::Answered(Answer { head, body, took, load: response_info.load })
        }
        Ok(Err(error)) => {
            spdlog::info!("answer_not_read", kv: { request: = &*call.id, error: = &error });
            match error {
                BodyError::NoMemory => Attempt::NoMemory(started.elapsed()),
                BodyError::TooLong => Attempt::Lost(ServerSignal::None),
                BodyError::Broken(_) => {
                    let began = Some(answered.elapsed());
                    Attempt::Lost(check_crashed(instance, call, server, began).await)
                }
            }
        }
        Err(_) => Attempt::TimedOut,
    }
}

async fn send_failed(
    instance: &RouteInstance,
    call: &RouteCall,
    server: &ServerRef,
    error: &SendError,
) -> Attempt {
    match error {
        SendError::NotConnected(_) => {
            instance.daemon.apply(Event::ConnectFailed { server: server.id });
            Attempt::NotStarted(ServerSignal::Refused)
        }
        SendError::NotSent(_) => Attempt::NotStarted(ServerSignal::Refused),
        SendError::Lost(_) => Attempt::Lost(check_crashed(instance, call, server, None).await),
        SendError::Reset(_) => match check_crashed(instance, call, server, None).await {
            ServerSignal::None => {
                instance.daemon.telemetry.resets.add(1, &[]);
                Attempt::Lost(ServerSignal::Reset)
            }
            signal => Attempt::Lost(signal),
        },
    }
}

/// Whether the process of a server is gone: one that crashes closes its connections as one that has sent its whole answer
/// does. A connection that is not made in time shows nothing.
pub async fn is_gone(instance: &RouteInstance, server: &ServerRef) -> bool {
    tokio::time::sleep(CRASH_CHECK_DELAY).await;
    instance.upstream.refuses_connections(server).await
}

/// Checks whether a server that lost a connection has crashed, that is, accepts no new connection. `began` is the time
/// since its answer began, if it did.
pub async fn check_crashed(
    instance: &RouteInstance,
    call: &RouteCall,
    server: &ServerRef,
    began: Option<Duration>,
) -> ServerSignal {
    tokio::time::sleep(CRASH_CHECK_DELAY).await;
    if instance.upstream.accepts_connections(server).await {
        return ServerSignal::None;
    }
    instance.daemon.apply(Event::ConnectFailed { server: server.id });
    if !reaches_others(instance, server).await {
        return ServerSignal::Refused;
    }
    let parts: Vec<String> = call.parts.iter().map(|p| format!("{p:x}")).collect();
    spdlog::warn!("server_crashed", kv: {
        request: = &*call.id,
        route: = call.route.name.as_str(),
        server: = &*server.name,
        began_ms = began.map_or(-1, |b| b.as_millis() as i64),
        parts: = parts.join(","),
    });
    ServerSignal::Crashed
}

/// Whether this instance can connect to another server. If not, the one that it lost may be sound.
async fn reaches_others(instance: &RouteInstance, server: &ServerRef) -> bool {
    if instance.daemon.read(|state| state.reach.is_cut()) {
        return false;
    }
    let config = instance.daemon.config();
    let mut others: Vec<&ServerRef> =
        config.servers.values().filter(|s| s.id != server.id).collect();
    if others.is_empty() {
        return true;
    }
    others.shuffle(&mut rand::rng());
    instance.daemon.read(|s| others.sort_by_key(|other| s.reach.has_failed(other.id, s.now)));
    others.truncate(MAX_CONTROLS);
    for some in others.chunks(CONTROL_SERVERS) {
        let probes = some.iter().map(async |other| {
            let reached = instance.upstream.accepts_connections(other).await;
            let server = other.id;
            instance.daemon.apply(match reached {
                true => Event::Connected { server },
                false => Event::ConnectFailed { server },
            });
            reached
        });
        if join_all(probes).await.contains(&true) {
            return true;
        }
        if instance.daemon.read(|state| state.reach.is_cut()) {
            return false;
        }
    }
    false
}

fn log_attempt(
    instance: &RouteInstance,
    call: &RouteCall,
    server: &ServerRef,
    (attempt, notice, last_event): (Option<&Attempt>, Notice, Option<u64>),
    started: Instant,
) {
    let caller = (instance.deployment.callers.decode)(&call.headers);
    let (outcome, status) = match attempt {
        None => ("dropped", 0),
        Some(Attempt::Answered(answer)) => ("answered", answer.head.status.as_u16()),
        Some(Attempt::Streaming(stream)) => ("streams", stream.head.status.as_u16()),
        Some(Attempt::NotStarted(ServerSignal::Refused)) => ("not_connected", 0),
        Some(Attempt::NotStarted(_)) => ("not_started", 0),
        Some(Attempt::Lost(ServerSignal::Crashed)) => ("server_crashed", 0),
        Some(Attempt::Lost(_)) => ("lost", 0),
        Some(Attempt::TimedOut) => ("timed_out", 0),
        Some(Attempt::NoMemory(_)) => ("no_memory", 0),
    };
    let load = match attempt {
        Some(Attempt::Answered(answer)) => answer.load,
        Some(Attempt::Streaming(stream)) => stream.response_info.load,
        _ => None,
    };
    let slowness = load.map_or(Named::Absent, |l| l.slowness);
    let load =
        load.map_or_else(String::new, |l| format!("{}+{}/{}", l.running, l.waiting, l.slots));
    spdlog::info!("attempt", kv: {
        request: = &*call.id,
        route: = call.route.name.as_str(),
        server: = &*server.name,
        software: = &*server.version,
        resumes: = caller.resumes.unwrap_or("-"),
        after_event = last_event.or(caller.last_event).unwrap_or(0),
        outcome,
        status,
        took_ms = started.elapsed().as_millis() as u64,
        load: = load.as_str(),
        slowness: = label(slowness).as_str(),
        limit: = label(notice.limit).as_str(),
        pause_ms: = label(notice.pause_ms).as_str(),
        brittle: = label(notice.brittle).as_str(),
        leaving = notice.leaving,
        decided_by = call.version,
        version = instance.daemon.config().version,
        reading_age_ms = instance.document_age(),
    });
}

/// What a response names, for the log.
fn label<T: ToString>(named: Named<T>) -> String {
    match named {
        Named::Absent => String::new(),
        Named::Invalid => "invalid".to_owned(),
        Named::Value(value) => value.to_string(),
    }
}
