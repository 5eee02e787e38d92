//! Serves one request of a caller on a route: from its head to its one final answer.
//!
//! The way of a request: the head is read and checked here, a permit is waited for, the request is sent
//! ([`crate::attempt`]), and its answer is passed on, whole from here or as a stream by
//! [`crate::stream_relay`].

use std::sync::Arc;
use std::time::Duration;

use agateroute_config::organisation::Organisation;
use agateroute_config::route::{Route, RouteKind};
use agateroute_core::catalog::{model_id, service_id};
use agateroute_core::effect::Refusal;
use agateroute_core::event::{End, RequestSpec, ServerSignal};
use agateroute_core::id::{Id, id_of_bytes, mix};
use agateroute_core::routes::pick_target;
use agateroute_core::{id, leaving};
use bytes::Bytes;
use http::{
    HeaderMap, HeaderValue, Method, Request, Response, StatusCode, header, request, response,
};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use opentelemetry::trace::SpanKind;
use tokio::time::Instant;

use crate::attempt::{self, Answer, Attempt, Resume};
use crate::daemon::{Admission, Config, Permit, ServerRef, millis};
use crate::error::{ApiError, OUTCOME_HEADER, Outcome};
use crate::front::check_header_limits;
use crate::request_tracker::{FinalOutcome, LatencyTargets, RequestIdentity, Tracker};
use crate::route_instance::RouteInstance;
use crate::route_listener::{BoxBody, full_body};
use crate::stream_relay::{self, StreamRequest};
use crate::telemetry::extract;

/// The longest answer of a plain call that is held to see whether it is whole, in bytes.
pub const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;
/// How long before the caller stops waiting its final answer has to be on the way.
const DEADLINE_MARGIN: Duration = Duration::from_millis(30);
/// The longest time that a caller or a route can ask for, in milliseconds: a day.
const MAX_TIMEOUT_MS: u64 = 86_400_000;
/// When asking again makes sense where nothing better is known, in milliseconds.
const RETRY_MS: u32 = 1_000;
/// When asking again makes sense while no document is in force or it can not be read, in milliseconds.
const UNREADY_RETRY_MS: u32 = 500;
/// When asking again makes sense while this instance stops and another one stays, in milliseconds: at
/// once, since a repeat goes to that one.
const STOPPING_RETRY_MS: u32 = 50;
/// How long an instance takes from its end until it is back and ready, in milliseconds: its start, a read of
/// the document and two questions of the balancer.
const RESTART_MS: u64 = 2_000;
/// How old a reading may be so that a route or key that it does not name does not exist, in
/// milliseconds. An older one may just have missed it.
const MAX_DOCUMENT_AGE_MS: u64 = 2_000;
/// The part of the time that a caller has left in which a stream has to start, as a divisor.
const STREAM_WAIT_DIVISOR: u32 = 2;
/// How long an attempt may take before another one is made, as a multiple of the target. Less would repeat
/// what is only slow.
const ATTEMPT_TIMEOUT_FACTOR: u32 = 2;
/// The name of those who need no key, in logs and metrics.
const PUBLIC_ORGANISATION: &str = "public";

/// A request of a caller that was read whole.
#[derive(Debug)]
pub struct RouteCall {
    /// The id for logs.
    pub id: Arc<str>,
    /// The method.
    pub method: Method,
    /// The path and query.
    pub path: String,
    /// The header fields.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// The organisation that held the key at arrival. A stream that goes on elsewhere belongs to it also
    /// after the key was withdrawn.
    pub organisation: Option<Arc<str>>,
    /// The route at arrival.
    pub route: Route,
    /// The rank.
    pub rank: u8,
    /// When the caller stops waiting.
    pub deadline: Option<Instant>,
    /// When the final answer has to be there.
    pub answer_by: Instant,
}

impl RouteCall {
    /// The organisation for logs, metrics and fairness.
    fn organisation_name(&self) -> &str {
        self.organisation.as_deref().unwrap_or(PUBLIC_ORGANISATION)
    }
}

/// Serves one request. Whatever happens, the caller gets an answer.
pub async fn handle(instance: Arc<RouteInstance>, request: Request<Incoming>) -> Response<BoxBody> {
    let arrived = Instant::now();
    let (head, body) = request.into_parts();
    let id = (instance.deployment.callers.read)(&head.headers).id;
    let id: Arc<str> = id.unwrap_or("-").into();
    let answer = serve(&instance, head, body, &id, arrived).await;
    let mut response = answer.unwrap_or_else(|e| {
        spdlog::info!("request_refused", kv: {
            request: = &*id,
            status = e.status.as_u16(),
            code = e.code,
            outcome = e.outcome.as_str(),
            retry_ms = e.retry_ms,
            after_ms = arrived.elapsed().as_millis() as u64,
            version = instance.daemon.config().version,
            reading_age_ms = instance.document_age(),
        });
        error_response(&instance, &e, &id)
    });
    if instance.daemon.leaving() {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// The answer that carries an error of this instance.
fn error_response(instance: &RouteInstance, error: &ApiError, id: &str) -> Response<BoxBody> {
    let mut response = Response::new(full_body(error.to_json(id)));
    *response.status_mut() = error.status;
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers.insert(OUTCOME_HEADER, HeaderValue::from_static(error.outcome.as_str()));
    if let Ok(value) = HeaderValue::from_str(id) {
        headers.insert(instance.deployment.callers.id_header, value);
    }
    if error.retry_ms > 0 {
        let seconds = format!("{:.2}", f64::from(error.retry_ms) / 1_000.0);
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            headers.insert(header::RETRY_AFTER, value);
        }
    }
    response
}

async fn serve(
    instance: &Arc<RouteInstance>,
    head: request::Parts,
    body: Incoming,
    id: &Arc<str>,
    arrived: Instant,
) -> Result<Response<BoxBody>, ApiError> {
    let config = instance.daemon.config();
    if !instance.daemon.configured() {
        return Err(not_ready("no document is in force yet"));
    }
    check_header_limits(&config.document.limits, &head.headers)?;
    let route = find_route(instance, &config, &host_of(&head), head.uri.path())?.clone();
    let organisation = authorize(instance, &config, &route, &head.headers)?;
    refuse_unfinishable(instance, &route, &head.headers)?;
    let body = read_body(body, &config, millis(route.timeout_ms)).await?;
    let (deadline, answer_by) = deadlines(instance, &route, &head.headers, arrived);
    let rank_name = organisation.and_then(|o| o.rank.as_ref()).unwrap_or(&route.rank).clone();
    let rank = config.document.rank_index(&rank_name).unwrap_or(0) as u8;
    let call = RouteCall {
        id: id.clone(),
        path: head.uri.path_and_query().map_or("/", |p| p.as_str()).to_owned(),
        method: head.method,
        headers: head.headers,
        body,
        organisation: organisation.map(|o| o.name.as_str().into()),
        route,
        rank,
        deadline,
        answer_by,
    };
    let tracker = open_tracker(instance, &call, &rank_name)?;
    let spec = spec(instance, &config, &call);
    run(instance, Arc::new(call), tracker, spec).await
}

/// When the caller stops waiting, and when its final answer has to be there.
fn deadlines(
    instance: &RouteInstance,
    route: &Route,
    headers: &HeaderMap,
    arrived: Instant,
) -> (Option<Instant>, Instant) {
    let facts = (instance.deployment.callers.read)(headers);
    let after = |ms: u64| arrived + millis(ms.min(MAX_TIMEOUT_MS));
    let deadline = facts.deadline_ms.map(after);
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

/// The route of a request. What a stale document does not name may exist all the same.
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

/// The organisation of a request, unless the route needs none. The key has to be known by a document
/// that was read lately, since it may have been withdrawn.
pub fn authorize<'a>(
    instance: &RouteInstance,
    config: &'a Config,
    route: &Route,
    headers: &HeaderMap,
) -> Result<Option<&'a Organisation>, ApiError> {
    let key = (instance.deployment.callers.read)(headers).key;
    let found = key.and_then(|k| config.keys.find(k));
    let found = found.map(|at| &config.document.organisations[at]);
    if route.public || config.document.organisations.is_empty() {
        return Ok(found);
    }
    if !instance.document_is_fresh() {
        return Err(not_ready("the document was not read lately, so this key may be withdrawn"));
    }
    if found.is_none() && instance.document_age() > MAX_DOCUMENT_AGE_MS {
        return Err(not_ready("the document can not be read, so this key may be new"));
    }
    let missing = || {
        let message = "the key is missing or names no organisation";
        ApiError::not_run(StatusCode::UNAUTHORIZED, "unknown_key", message)
    };
    found.map(Some).ok_or_else(missing)
}

/// Refuses what can not be answered before this instance is gone. Another one serves it whole.
fn refuse_unfinishable(
    instance: &RouteInstance,
    route: &Route,
    headers: &HeaderMap,
) -> Result<(), ApiError> {
    let Some(left) = instance.time_to_stop() else { return Ok(()) };
    let facts = (instance.deployment.callers.read)(headers);
    let most = facts.size.map_or(u32::MAX, |s| s.max_tokens);
    let hint = facts.length_hint.unwrap_or(0);
    if leaving::can_finish(left.as_millis() as u64, route.kind, most, hint) {
        return Ok(());
    }
    let message = "this instance is stopping and would not answer before it is gone".to_owned();
    let mut error = ApiError::not_run(StatusCode::SERVICE_UNAVAILABLE, "stopping", message);
    error.retry_ms = stopping_retry_ms(instance);
    Err(error)
}

/// When a request that this instance would not finish can be served: at once where another instance stays,
/// and where all stop, when the first of them may be back.
fn stopping_retry_ms(instance: &RouteInstance) -> u32 {
    let (now, grace) = (instance.daemon.now(), instance.bounds().grace_ms);
    let silence = instance.daemon.config().document.routing.peer_ms;
    let gone = instance.daemon.read(|state| state.membership.first_exit(now, silence, grace));
    gone.map_or(STOPPING_RETRY_MS, |at| (at.saturating_sub(now) + RESTART_MS) as u32)
}

fn not_ready(message: &str) -> ApiError {
    let mut error =
        ApiError::not_run(StatusCode::SERVICE_UNAVAILABLE, "not_ready", message.to_owned());
    error.retry_ms = UNREADY_RETRY_MS;
    error
}

async fn read_body(body: Incoming, config: &Config, time: Duration) -> Result<Bytes, ApiError> {
    let most = config.document.limits.body_bytes;
    let limited = Limited::new(body, most as usize);
    match tokio::time::timeout(time, limited.collect()).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(e)) if e.is::<LengthLimitError>() => Err(ApiError::not_run(
            StatusCode::PAYLOAD_TOO_LARGE,
            "body_too_large",
            format!("the body is longer than {most} bytes"),
        )),
        Ok(Err(e)) => Err(ApiError::bad_request(format!("body not readable: {e}"))),
        Err(_) => Err(ApiError::not_run(
            StatusCode::REQUEST_TIMEOUT,
            "body_timeout",
            format!("the body did not arrive within {} ms", time.as_millis()),
        )),
    }
}

/// The target of a route as the reducer knows it: a model where it has engines, else a service.
fn target_id(config: &Config, service: &str) -> Id {
    match config.document.model(service) {
        Some(_) => model_id(service),
        None => service_id(service),
    }
}

fn spec(instance: &RouteInstance, config: &Config, call: &RouteCall) -> RequestSpec {
    let route = &call.route;
    let facts = (instance.deployment.callers.read)(&call.headers);
    let service = pick_target(route, rand::random()).unwrap_or_default();
    let shared = facts.parts.split_last().map_or(&[][..], |(_, shared)| shared);
    let left = call.answer_by.saturating_duration_since(Instant::now());
    let max_wait = if route.kind.streams() { left / STREAM_WAIT_DIVISOR } else { left };
    let organisation = id(call.organisation_name());
    let now = instance.daemon.now();
    RequestSpec {
        request: instance.daemon.next_request_id(),
        organisation,
        target: target_id(config, service),
        kind: id(&route.name),
        rank: call.rank,
        prompt: facts.size.map_or(0, |s| s.prompt),
        max_tokens: facts.size.map_or(0, |s| s.max_tokens),
        prefix: shared.iter().fold(0, |hash, part| mix(hash, part.id)),
        prefix_tokens: shared.iter().map(|p| p.tokens).sum(),
        fingerprint: mix(mix(organisation, id(&call.path)), id_of_bytes(&call.body)),
        deadline: now + max_wait.as_millis() as u64,
        target_ms: route.target_ms.min(u64::from(u32::MAX)) as u32,
        target_deadline: now + route.target_ms,
        hint: facts.length_hint.unwrap_or(0),
        movable: route.kind.streams() && instance.source.capacity(route).is_some_and(|c| c.moves),
        max_attempts: if route.kind.repeatable() { route.attempts } else { 1 },
    }
}

/// What is known of a request that got no answer yet.
#[derive(Default)]
struct Progress {
    /// The attempts that were made.
    attempts: u32,
    /// A backend server may have begun it.
    begun: bool,
    /// The last answer of a backend server, a failure that another attempt might have mended.
    failure: Option<Answer>,
}

/// Waits for permits and makes attempts until there is a final answer.
async fn run(
    instance: &Arc<RouteInstance>,
    call: Arc<RouteCall>,
    mut tracker: Tracker,
    spec: RequestSpec,
) -> Result<Response<BoxBody>, ApiError> {
    let mut permit = instance.daemon.enqueue(spec);
    let mut progress = Progress::default();
    loop {
        let admission = tokio::time::timeout_at(call.answer_by, permit.admission()).await;
        let server = match admission {
            Ok(Admission::Start(server)) => server,
            Ok(Admission::Move(unused, _)) => {
                permit.move_ended(unused, false);
                continue;
            }
            Ok(Admission::Refuse(refusal, retry_ms)) => {
                return finish(progress, tracker, refused(refusal, retry_ms));
            }
            Err(_) => return finish(progress, tracker, refused(Refusal::NoRoom, RETRY_MS)),
        };
        let Some(server) = recheck(instance, &call, server, &mut permit, &mut tracker)? else {
            continue;
        };
        let timeout = attempt_timeout(&call, progress.attempts);
        progress.attempts += 1;
        match attempt::make(instance, &call, &server, Resume::default(), timeout).await {
            Attempt::Streaming(answer) => {
                let request = StreamRequest { call: call.clone(), permit, tracker, server };
                return Ok(stream_relay::start(instance, request, answer));
            }
            Attempt::Answered(answer) => {
                let failed = answer.head.status.is_server_error();
                if failed && call.route.kind == RouteKind::Repeatable {
                    progress = Progress { begun: true, failure: Some(answer), ..progress };
                    permit.end(lost(true));
                    continue;
                }
                let took_ms = answer.took.as_millis() as u32;
                permit.end(if failed {
                    lost(false)
                } else {
                    End::Completed { tokens: 0, took_ms }
                });
                tracker.close_answer();
                return Ok(plain_response(answer));
            }
            Attempt::NotStarted(signal) => permit.end(End::NotStarted { signal }),
            Attempt::Lost(signal) => {
                progress.begun = true;
                let retry = call.route.kind.repeatable();
                permit.end(End::Lost { tokens: 0, signal, retry });
            }
            Attempt::TimedOut => {
                permit.end(lost(false));
                tracker.close(FinalOutcome::Unknown);
                return Err(timed_out());
            }
        }
    }
}

/// How long one attempt may take where another one could follow: a server that is silent for so long has
/// missed the target anyway.
fn attempt_timeout(call: &RouteCall, attempts: u32) -> Option<Duration> {
    let another = call.route.kind.repeatable() && attempts + 1 < call.route.attempts;
    another.then(|| millis(call.route.target_ms) * ATTEMPT_TIMEOUT_FACTOR)
}

fn lost(retry: bool) -> End {
    End::Lost { tokens: 0, signal: ServerSignal::None, retry }
}

/// Checks at the moment of sending what may have changed while the request waited.
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
        tracker.close(FinalOutcome::NotRun);
        return Err(error);
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

/// The final answer of a request for which no attempt is left.
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
        Progress { begun: true, .. } => {
            tracker.close(FinalOutcome::Unknown);
            Err(bad_gateway())
        }
        Progress { begun: false, .. } => {
            tracker.close(FinalOutcome::NotRun);
            Err(error)
        }
    }
}

/// A refusal on a route. Callers take 4xx for their own fault, so only what is one gets it.
fn refused(refusal: Refusal, retry_ms: u32) -> ApiError {
    let mut error = ApiError::refused(refusal, retry_ms);
    if refusal == Refusal::Quarantined {
        error.status = StatusCode::SERVICE_UNAVAILABLE;
    }
    error
}

fn bad_gateway() -> ApiError {
    ApiError {
        status: StatusCode::BAD_GATEWAY,
        code: "answer_lost",
        message: "a backend server got the request and its answer was lost".to_owned(),
        outcome: Outcome::Unknown,
        retry_ms: 0,
    }
}

fn timed_out() -> ApiError {
    ApiError {
        status: StatusCode::GATEWAY_TIMEOUT,
        code: "timeout",
        message: "a backend server got the request and did not answer in time".to_owned(),
        outcome: Outcome::Unknown,
        retry_ms: 0,
    }
}

/// The answer of a backend server as the caller gets it.
fn plain_response(answer: Answer) -> Response<BoxBody> {
    let mut response = Response::new(full_body(answer.body));
    *response.status_mut() = answer.head.status;
    *response.headers_mut() = forwarded_headers(&answer.head);
    response
}

/// The header fields of an answer that are passed on.
pub fn forwarded_headers(head: &response::Parts) -> HeaderMap {
    let mut headers = head.headers.clone();
    for name in head.headers.keys() {
        if agateroute_adapter::hop_by_hop::is_connection_specific(&head.headers, name)
            || name == header::CONTENT_LENGTH
        {
            headers.remove(name);
        }
    }
    headers
}
