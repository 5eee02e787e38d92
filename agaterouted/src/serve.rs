//! Serves one request of a caller on a route, from its head to its one final answer.
//!
//! The request is checked and waits for a permit here, [`crate::attempt`] sends it, and its answer is
//! forwarded: buffered answers from here, streams by [`crate::stream_relay`].

use std::future::pending;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use agateroute_config::organisation::Organisation;
use agateroute_config::route::{Route, RouteKind};
use agateroute_core::effect::Refusal;
use agateroute_core::event::{End, ForwardEnd, RequestId, RequestSpec, ServerSignal, Via};
use agateroute_core::id::Id;
use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, header, request};
use hyper::body::Incoming;
use opentelemetry::trace::SpanKind;
use tokio::time::Instant;

use crate::attempt::{self, Answer, Attempt, Resume};
use crate::connections::Waiting;
use crate::daemon::{Admission, Config, ServerRef, millis};
use crate::error::{ApiError, Outcome};
use crate::final_answer::{
    bad_gateway, error_response, log_refusal, log_retry_denial, plain_response, timed_out,
};
use crate::forward::{self, Hop};
use crate::front::check_header_limits;
use crate::permit::Permit;
use crate::request_body::read_body;
use crate::request_spec::{build_spec, shared_parts};
use crate::request_tracker::{FinalOutcome, LatencyTargets, RequestIdentity, Tracker};
use crate::route_instance::RouteInstance;
use crate::route_listener::BoxBody;
use crate::stopping::{refuse_unfinishable, refused_at_stop, stopping, wait_over};
use crate::stream_relay::{self, StreamRequest};
use crate::telemetry::extract;

/// The final answer is sent this long before the caller stops waiting.
const DEADLINE_MARGIN: Duration = Duration::from_millis(30);
/// Longer timeouts of callers and routes are cut to a day, so that adding them can not overflow.
const MAX_TIMEOUT_MS: u64 = 86_400_000;
/// The retry delay suggested to callers when no better estimate is known.
const RETRY_MS: u32 = 1_000;
/// The retry delay suggested to callers while there is no document or it can not be read.
const UNREADY_RETRY_MS: u32 = 500;
/// Unknown routes and keys are reported as missing only if the document was read within this time. An
/// older document may lack a new one.
const MAX_DOCUMENT_AGE_MS: u64 = 2_000;
/// An attempt that can be retried times out after the target of its route times this. A smaller factor
/// would repeat requests that are only slow.
const ATTEMPT_TIMEOUT_FACTOR: u32 = 2;
/// The organisation of callers without a key in logs, metrics and fairness.
const PUBLIC_ORGANISATION: &str = "public";

/// The codes of answers after which the connection is closed: the body was not read to its end, or others need the place.
const CLOSING_CODES: [&str; 5] =
    ["body_too_large", "body_memory", "body_stalled", "body_timeout", "too_many_connections"];

/// A request of a caller on a route, with its whole body.
#[derive(Debug)]
pub struct RouteCall {
    /// The request id of the caller, or `-`.
    pub id: Arc<str>,
    /// The HTTP method.
    pub method: Method,
    /// The path with the query string.
    pub path: String,
    /// The header fields as the caller sent them.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// The organisation that held the key on arrival. It keeps a stream that continues on another server
    /// even after the key was withdrawn.
    pub organisation: Option<Arc<str>>,
    /// The route, as declared on arrival.
    pub route: Route,
    /// The ids of the parts of the prompt that other requests may share, in order.
    pub parts: Arc<[u64]>,
    /// The rank, 0 for the most urgent.
    pub rank: u8,
    /// When the caller stops waiting, if it says so.
    pub deadline: Option<Instant>,
    /// When the final answer must be sent, from the timeout of the route and the caller's deadline.
    pub answer_by: Instant,
    /// When the request arrived at the first instance.
    pub arrived: Instant,
    /// On which way the request came.
    pub via: Via,
    /// The number of attempts that the peer made from which the request came.
    pub begun: u32,
    /// The version of the document in which the route was found.
    pub version: u64,
}

impl RouteCall {
    /// The organisation for logs, metrics and fairness.
    pub fn organisation_name(&self) -> &str {
        self.organisation.as_deref().unwrap_or(PUBLIC_ORGANISATION)
    }
}

/// Serves one request. Errors are turned into responses, so the caller always gets an answer. Clears `unread` once the
/// body is read.
pub async fn handle(
    instance: Arc<RouteInstance>,
    request: Request<Incoming>,
    unread: &AtomicBool,
) -> Response<BoxBody> {
    let arrived = Instant::now();
    let (head, body) = request.into_parts();
    let id = (instance.deployment.callers.decode)(&head.headers).id;
    let id: Arc<str> = id.unwrap_or("-").into();
    let answer = serve(&instance, (head, body), &id, arrived, unread).await;
    let mut closes = false;
    let mut response = answer.unwrap_or_else(|e| {
        log_refusal(&instance, &e, &id, arrived);
        closes = CLOSING_CODES.contains(&e.code);
        error_response(&instance, &e, &id)
    });
    if closes || instance.daemon.leaving() {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Serves a request that a peer has handed over. Returns the answer, and the code of the refusal if it was not run.
pub async fn handle_forwarded(
    instance: &Arc<RouteInstance>,
    head: request::Parts,
    body: Bytes,
    arrived: Instant,
    hop: Hop,
) -> (Response<BoxBody>, &'static str) {
    let id = (instance.deployment.callers.decode)(&head.headers).id;
    let id: Arc<str> = id.unwrap_or("-").into();
    let answer = async {
        let config = instance.daemon.config();
        if hop.version > config.version {
            return Err(not_ready("the document here is older than that of the peer"));
        }
        let (route, organisation) = check(instance, &config, (&head, &id), arrived)?;
        let origin = (arrived, Via::Peer, hop.begun);
        serve_read(instance, &config, (head, body, id.clone()), (route, organisation), origin).await
    };
    match answer.await {
        Ok(response) => (response, ""),
        Err(e) => {
            log_refusal(instance, &e, &id, arrived);
            let code = if e.outcome == Outcome::NotRun { e.code } else { "" };
            (error_response(instance, &e, &id), code)
        }
    }
}

async fn serve(
    instance: &Arc<RouteInstance>,
    (head, body): (request::Parts, Incoming),
    id: &Arc<str>,
    arrived: Instant,
    unread: &AtomicBool,
) -> Result<Response<BoxBody>, ApiError> {
    let config = instance.daemon.config();
    let (route, organisation) = check(instance, &config, (&head, id), arrived)?;
    let mut read = pin!(read_body(instance, body, &config, millis(route.timeout_ms)));
    // The order to stop may come while the body arrives.
    let body = tokio::select! {
        biased;
        () = refused_at_stop(instance, (&route, &head.headers, id), arrived) => {
            // A caller that still sends would meet a reset instead of the answer.
            tokio::select! {
                body = read => unread.store(body.is_err(), Ordering::Release),
                () = instance.giving_up.cancelled() => {}
            }
            return Err(stopping(instance));
        }
        body = &mut read => body?,
    };
    unread.store(false, Ordering::Release);
    let origin = (arrived, Via::Route, 0);
    let received = (head, body, id.clone());
    serve_read(instance, &config, received, (route, organisation), origin).await
}

/// Checks the head of a request. Returns its route, and its organisation if it needs one.
fn check<'a>(
    instance: &RouteInstance,
    config: &'a Config,
    (head, id): (&request::Parts, &str),
    arrived: Instant,
) -> Result<(Route, Option<&'a Organisation>), ApiError> {
    if !instance.daemon.configured() {
        return Err(not_ready("no document was loaded yet"));
    }
    check_header_limits(&config.document.limits, &head.headers)?;
    let route = find_route(instance, config, &host_of(head), head.uri.path())?.clone();
    let organisation = authorize(instance, config, &route, &head.headers)?;
    refuse_unfinishable(instance, (&route, &head.headers, id), arrived)?;
    Ok((route, organisation))
}

/// Serves a request that was checked and read.
async fn serve_read(
    instance: &Arc<RouteInstance>,
    config: &Config,
    (head, body, id): (request::Parts, Bytes, Arc<str>),
    (route, organisation): (Route, Option<&Organisation>),
    (arrived, via, begun): (Instant, Via, u32),
) -> Result<Response<BoxBody>, ApiError> {
    let (deadline, answer_by) = deadlines(instance, &route, &head.headers, arrived);
    let rank_name = organisation.and_then(|o| o.rank.as_ref()).unwrap_or(&route.rank).clone();
    let rank = config.document.rank_index(&rank_name).unwrap_or(0) as u8;
    let call = RouteCall {
        id,
        path: head.uri.path_and_query().map_or("/", |p| p.as_str()).to_owned(),
        method: head.method,
        parts: shared_parts(instance, &head.headers).iter().map(|p| p.id).collect(),
        headers: head.headers,
        body,
        organisation: organisation.map(|o| o.name.as_str().into()),
        route,
        rank,
        deadline,
        answer_by,
        arrived,
        via,
        begun,
        version: config.version,
    };
    let tracker = open_tracker(instance, &call, &rank_name)?;
    let spec = build_spec(instance, config, &call);
    run(instance, Arc::new(call), tracker, spec).await
}

/// Returns when the caller stops waiting, and when its final answer must be sent.
pub fn deadlines(
    instance: &RouteInstance,
    route: &Route,
    headers: &HeaderMap,
    arrived: Instant,
) -> (Option<Instant>, Instant) {
    let request_info = (instance.deployment.callers.decode)(headers);
    let after = |ms: u64| arrived + millis(ms.min(MAX_TIMEOUT_MS));
    let deadline = request_info.deadline_ms.map(after);
    let due = after(route.timeout_ms);
    let answer_by = deadline.map_or(due, |d| d.checked_sub(DEADLINE_MARGIN).unwrap_or(d).min(due));
    (deadline, answer_by)
}

fn open_tracker(
    instance: &Arc<RouteInstance>,
    call: &RouteCall,
    rank_name: &str,
) -> Result<Tracker, ApiError> {
    let route = &call.route;
    let identity = RequestIdentity {
        request_id: call.id.clone(),
        organisation: call.organisation_name().into(),
        kind: route.name.as_str().into(),
        rank: rank_name.into(),
    };
    let targets = LatencyTargets {
        first_token: millis(route.target_ms),
        between_tokens: if route.gap_ms > 0 { millis(route.gap_ms) } else { Duration::MAX },
        answer: millis(route.target_ms),
        tolerance: 0,
    };
    let parent = extract(&call.headers);
    let context = instance.daemon.telemetry.span("caller", SpanKind::Server, &parent);
    Tracker::open(&instance.daemon, identity, targets, context)
}

fn host_of(head: &request::Parts) -> String {
    let named = head.headers.get(header::HOST).and_then(|v| v.to_str().ok());
    let host = named.or_else(|| head.uri.host()).unwrap_or_default();
    let host = host.rsplit_once(':').map_or(host, |(host, _)| host);
    host.to_ascii_lowercase()
}

/// Finds the route of a request. A route that a stale document lacks may exist nevertheless.
fn find_route<'a>(
    instance: &RouteInstance,
    config: &'a Config,
    host: &str,
    path: &str,
) -> Result<&'a Route, ApiError> {
    config.routes.find(host, path).ok_or_else(|| {
        if instance.document_age() > MAX_DOCUMENT_AGE_MS {
            return not_ready("the document can not be read, so this route may exist");
        }
        let message = format!("no route for host {host:?} and path {path:?}");
        ApiError::not_run(StatusCode::NOT_FOUND, "route_not_found", message)
    })
}

/// Finds the organisation of a request, which public routes do not need. Its key is checked against a
/// recently read document only, since an older one may hold a withdrawn key.
pub fn authorize<'a>(
    instance: &RouteInstance,
    config: &'a Config,
    route: &Route,
    headers: &HeaderMap,
) -> Result<Option<&'a Organisation>, ApiError> {
    let key = (instance.deployment.callers.decode)(headers).key;
    let found = key.and_then(|k| config.keys.find(k));
    let found = found.map(|i| &config.document.organisations[i]);
    if route.public || config.document.organisations.is_empty() {
        return Ok(found);
    }
    if !instance.document_is_fresh() {
        return Err(not_ready("the document was not read recently, so this key may be withdrawn"));
    }
    if found.is_none() && instance.document_age() > MAX_DOCUMENT_AGE_MS {
        return Err(not_ready("the document can not be read, so this key may be new"));
    }
    let missing = || {
        let message = "the key is missing or unknown";
        ApiError::not_run(StatusCode::UNAUTHORIZED, "unknown_key", message)
    };
    found.map(Some).ok_or_else(missing)
}

fn not_ready(message: &str) -> ApiError {
    let mut error =
        ApiError::not_run(StatusCode::SERVICE_UNAVAILABLE, "not_ready", message.to_owned());
    error.retry_ms = UNREADY_RETRY_MS;
    error
}

/// The attempts made so far for a request that has no final answer yet.
#[derive(Default)]
struct Progress {
    attempts: u32,
    /// Whether a backend server may have started to run the request.
    maybe_started: bool,
    /// The last error response of a backend server, returned if no further attempt succeeds.
    failure: Option<Answer>,
}

/// Waits for permits and makes attempts until the request has a final answer.
async fn run(
    instance: &Arc<RouteInstance>,
    call: Arc<RouteCall>,
    mut tracker: Tracker,
    spec: RequestSpec,
) -> Result<Response<BoxBody>, ApiError> {
    let mut permit = instance.daemon.enqueue(spec);
    let mut progress = Progress::default();
    loop {
        let may_yield = !progress.maybe_started && call.via == Via::Route;
        let waiting = may_yield.then(|| instance.connections.wait());
        let admission = tokio::select! {
            biased;
            () = wait_over(instance, &call, progress.maybe_started) => {
                return finish(progress, tracker, stopping(instance));
            }
            () = gave_way(&waiting) => {
                return finish(progress, tracker, too_many_connections());
            }
            admission = tokio::time::timeout_at(call.answer_by, permit.admission()) => admission,
        };
        drop(waiting);
        let server = match admission {
            Ok(Admission::Start(server)) => server,
            Ok(Admission::Move(unused, _)) => {
                permit.move_ended(unused, false);
                continue;
            }
            Ok(Admission::Forward(peer)) => {
                match serve_by_peer(instance, &call, (permit, tracker), &mut progress, peer).await {
                    Ok(answer) => return answer,
                    Err(kept) => (permit, tracker) = kept,
                }
                continue;
            }
            Ok(Admission::Refuse(refusal, retry_ms)) => {
                return finish(progress, tracker, refused(refusal, retry_ms));
            }
            Err(_) => return finish(progress, tracker, refused(Refusal::NoRoom, RETRY_MS)),
        };
        let server = match recheck(instance, &call, server, &mut permit, &mut tracker) {
            Ok(Some(server)) => server,
            Ok(None) => continue,
            // An attempt before may have run.
            Err(error) => return finish(progress, tracker, error),
        };
        let timeout = attempt_timeout(&call, progress.attempts);
        progress.attempts += 1;
        let request = permit.request();
        let given_up = retry_approved(instance, &call, &permit, &server, timeout);
        let resume = Resume::default();
        match attempt::send(instance, &call, request, &server, resume, given_up).await {
            Attempt::Streaming(answer) => {
                permit.began();
                let request = StreamRequest { call: call.clone(), permit, tracker, server };
                return Ok(stream_relay::start(instance, request, answer));
            }
            Attempt::Answered(answer) => {
                let failed = answer.head.status.is_server_error();
                if failed && call.route.kind == RouteKind::Repeatable {
                    progress = Progress { maybe_started: true, failure: Some(answer), ..progress };
                    check_retry(instance, &call, &server, request);
                    permit.end(lost_end(true));
                    continue;
                }
                let took_ms = answer.took.as_millis() as u32;
                permit.end(if failed {
                    lost_end(false)
                } else {
                    End::Completed { tokens: 0, took_ms }
                });
                tracker.close_answer();
                return Ok(plain_response(answer));
            }
            Attempt::NotStarted(signal) => permit.end(End::NotStarted { signal }),
            Attempt::Lost(signal) => {
                progress.maybe_started = true;
                let retry = call.route.kind.repeatable();
                if retry {
                    check_retry(instance, &call, &server, request);
                }
                permit.end(End::Lost { tokens: 0, signal, retry });
            }
            // The server did its part, and another one could not help either.
            Attempt::NoMemory(took) => {
                permit.end(End::Completed { tokens: 0, took_ms: took.as_millis() as u32 });
                tracker.close(FinalOutcome::Unknown);
                return Err(bad_gateway());
            }
            Attempt::TimedOut => {
                permit.end(lost_end(false));
                tracker.close(FinalOutcome::Unknown);
                return Err(timed_out());
            }
        }
    }
}

/// Has a peer serve a request. Without a final answer the permit is given back, on which another decision follows.
async fn serve_by_peer(
    instance: &Arc<RouteInstance>,
    call: &Arc<RouteCall>,
    (permit, mut tracker): (Permit, Tracker),
    progress: &mut Progress,
    peer: Id,
) -> Result<Result<Response<BoxBody>, ApiError>, (Permit, Tracker)> {
    match forward::send(instance, call, &tracker, peer, progress.attempts).await {
        forward::Outcome::Answered(response) => {
            tracker.close_answer();
            Ok(Ok(response))
        }
        // A refusal says that nothing has run, which is not known after an attempt.
        forward::Outcome::Refused(_) if progress.maybe_started => {
            Ok(finish(std::mem::take(progress), tracker, bad_gateway()))
        }
        forward::Outcome::Refused(response) => {
            tracker.close(FinalOutcome::NotRun);
            Ok(Ok(response))
        }
        forward::Outcome::Streaming(head, parts) => {
            Ok(Ok(forward::relay(instance, call.clone(), (permit, tracker), (head, parts))))
        }
        forward::Outcome::NotRun => {
            permit.forward_ended(ForwardEnd::NotRun);
            Err((permit, tracker))
        }
        forward::Outcome::Lost if call.route.kind.repeatable() => {
            progress.maybe_started = true;
            permit.forward_ended(ForwardEnd::Lost);
            Err((permit, tracker))
        }
        forward::Outcome::Lost => {
            tracker.close(FinalOutcome::Unknown);
            Ok(Err(bad_gateway()))
        }
        forward::Outcome::TimedOut => {
            tracker.close(FinalOutcome::Unknown);
            Ok(Err(timed_out()))
        }
    }
}

/// When an attempt that another one can follow is late. A server that is silent for so long has missed the target anyway.
fn attempt_timeout(call: &RouteCall, attempts: u32) -> Option<Duration> {
    let can_retry = call.route.kind.repeatable() && attempts + 1 < call.route.attempts;
    can_retry.then(|| millis(call.route.target_ms) * ATTEMPT_TIMEOUT_FACTOR)
}

/// Waits until an attempt is late and another one was approved in its place. Never ends if none was: without another attempt
/// the answer of the server, however late, is the only one that the caller can get.
async fn retry_approved(
    instance: &RouteInstance,
    call: &RouteCall,
    permit: &Permit,
    server: &ServerRef,
    timeout: Option<Duration>,
) {
    if let Some(timeout) = timeout {
        tokio::time::sleep(timeout).await;
        match permit.ask_retry() {
            Ok(()) => return,
            Err(denial) => log_retry_denial(instance, call, server, denial),
        }
    }
    pending::<()>().await;
}

/// Logs why the loss of a running attempt leaves its request without another one.
fn check_retry(instance: &RouteInstance, call: &RouteCall, server: &ServerRef, id: RequestId) {
    if let Some(denial) = instance.daemon.read(|state| state.retry_denial(id)) {
        log_retry_denial(instance, call, server, denial);
    }
}

fn lost_end(retry: bool) -> End {
    End::Lost { tokens: 0, signal: ServerSignal::None, retry }
}

/// Checks the key and the server again, since both may have changed while the request waited.
fn recheck(
    instance: &RouteInstance,
    call: &RouteCall,
    server: Id,
    permit: &mut Permit,
    tracker: &mut Tracker,
) -> Result<Option<ServerRef>, ApiError> {
    let config = instance.daemon.config();
    if let Err(error) = authorize(instance, &config, &call.route, &call.headers) {
        permit.end(End::NotStarted { signal: ServerSignal::Refused });
        return Err(error);
    }
    if instance.is_evacuated(server) {
        permit.end(End::NotStarted { signal: ServerSignal::Evacuated });
        return Ok(None);
    }
    match config.servers.get(&server) {
        Some(found) => {
            tracker.record_start(&found.name);
            Ok(Some(found.clone()))
        }
        None => {
            permit.end(End::NotStarted { signal: ServerSignal::Refused });
            Ok(None)
        }
    }
}

/// Ends a request that has no attempts left.
fn finish(
    progress: Progress,
    mut tracker: Tracker,
    error: ApiError,
) -> Result<Response<BoxBody>, ApiError> {
    match progress {
        Progress { failure: Some(answer), .. } => {
            tracker.close(FinalOutcome::Unknown);
            Ok(plain_response(answer))
        }
        Progress { maybe_started: true, .. } => {
            tracker.close(FinalOutcome::Unknown);
            Err(bad_gateway())
        }
        Progress { maybe_started: false, .. } => {
            tracker.close(FinalOutcome::NotRun);
            Err(error)
        }
    }
}

/// Waits until a request has to give way to others, or forever if it may not.
async fn gave_way(waiting: &Option<Waiting>) {
    match waiting {
        Some(waiting) => waiting.gave_way().await,
        None => pending().await,
    }
}

/// The refusal of a request that waits while other callers find no connection.
fn too_many_connections() -> ApiError {
    let message = "this request waited while other callers found no connection".to_owned();
    let status = StatusCode::SERVICE_UNAVAILABLE;
    let mut error = ApiError::not_run(status, "too_many_connections", message);
    error.retry_ms = RETRY_MS;
    error
}

/// Maps a refusal to an error. Callers take a 4xx status for their own fault, so a quarantine gets a 503.
fn refused(refusal: Refusal, retry_ms: u32) -> ApiError {
    let mut error = ApiError::refused(refusal, retry_ms);
    if refusal == Refusal::Quarantined {
        error.status = StatusCode::SERVICE_UNAVAILABLE;
    }
    error
}
