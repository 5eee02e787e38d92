//! Serves calls of plain services: waits for a permit and forwards the call and its answer.

use std::sync::Arc;
use std::time::Instant;

use agateroute_config::service::{Call, Service};
use agateroute_core::catalog::service_id;
use agateroute_core::event::{End, ForwardEnd, RequestSpec, ServerSignal, Via};
use agateroute_core::id;
use agateroute_core::id::{id_of_bytes, mix};
use bytes::Bytes;
use futures_util::stream;
use http::{HeaderMap, Method, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use opentelemetry::Context;
use opentelemetry::trace::SpanKind;
use xitca_web::body::{ResponseBody, StreamDataBody};
use xitca_web::http::WebResponse;

use crate::claims;
use crate::client::single_use_client;
use crate::daemon::{Admission, Daemon, ServerRef, millis};
use crate::error::ApiError;
use crate::front::{Caller, rank_targets};
use crate::permit::Permit;
use crate::plain::{HTTP, IDEMPOTENCY_KEY_HEADER, OutgoingCall, is_forwarded};
use crate::request_tracker::{FinalOutcome, RequestIdentity, Tracker};
use crate::telemetry::{end_span, inject};
use crate::upstream::is_final;

/// A call of a plain service, as the caller sent it.
#[derive(Debug)]
pub struct CallRequest<'a> {
    /// The HTTP method.
    pub method: &'a Method,
    /// The name of the service, from the path.
    pub service: &'a str,
    /// The path below that of the service, without the query string.
    pub path: &'a str,
    /// The path below that of the service, with the query string.
    pub full_path: &'a str,
    /// The header fields, not yet filtered.
    pub headers: &'a HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

/// The result of one attempt on a backend server.
pub enum Attempt {
    /// The head of the answer has arrived, and its body can be read.
    Answered(hyper::Response<Incoming>),
    /// The server has not run any of the call.
    NotStarted(ServerSignal),
    /// The server may have run the call and did not answer.
    Unknown,
}

/// Serves one call. A call that may not be repeated goes to [`claims`].
pub async fn serve(
    daemon: &Arc<Daemon>,
    caller: Caller,
    req: CallRequest<'_>,
) -> Result<WebResponse, ApiError> {
    let config = caller.config.clone();
    let document = &config.document;
    let missing = || {
        let message = format!("service {:?} does not exist", req.service);
        ApiError::not_run(StatusCode::NOT_FOUND, "service_not_found", message)
    };
    let service = document.service(req.service).ok_or_else(missing)?;
    let organisation = caller.organisation();
    if !organisation.services.contains(&service.name) {
        let message =
            format!("organisation {:?} may not call service {:?}", organisation.name, service.name);
        return Err(ApiError::not_run(StatusCode::FORBIDDEN, "not_granted", message));
    }
    let call = service.call(req.method.as_str(), req.path).ok_or_else(|| {
        let message =
            format!("service {:?} has no call {} {:?}", service.name, req.method, req.path);
        ApiError::not_run(StatusCode::NOT_FOUND, "call_not_found", message)
    })?;
    let rank = &document.ranks[document.rank_index(&call.rank).unwrap_or(0)];
    let identity = RequestIdentity {
        request_id: caller.request_id.clone(),
        organisation: organisation.name.as_str().into(),
        kind: call.kind.as_str().into(),
        rank: rank.name.as_str().into(),
    };
    let mut tracker = Tracker::open(daemon, identity, rank_targets(rank), caller.context.clone())?;
    let spec = build_spec(daemon, &caller, service, call, &req);
    if !call.repeatable {
        let key = check_key(&req, document.limits.key_bytes as usize);
        let key = key.inspect_err(|_| tracker.close(FinalOutcome::NotRun))?;
        return claims::serve(daemon, tracker, service, spec, &req, key).await;
    }
    serve_repeatable(daemon, tracker, service, spec, &req).await
}

/// Returns the idempotency key, which a call that may not be repeated must have.
fn check_key<'a>(req: &'a CallRequest<'_>, max_bytes: usize) -> Result<&'a str, ApiError> {
    let value = req.headers.get(IDEMPOTENCY_KEY_HEADER);
    let key = value.and_then(|v| v.to_str().ok()).map(str::trim).filter(|k| !k.is_empty());
    match key {
        Some(key) if key.len() <= max_bytes => Ok(key),
        Some(_) => {
            Err(ApiError::bad_request(format!("Idempotency-Key is longer than {max_bytes} bytes")))
        }
        None => Err(ApiError::bad_request(
            "this call may not be repeated and requires the header Idempotency-Key",
        )),
    }
}

fn build_spec(
    daemon: &Daemon,
    caller: &Caller,
    service: &Service,
    call: &Call,
    req: &CallRequest<'_>,
) -> RequestSpec {
    let document = &caller.config.document;
    let rank = document.rank_index(&call.rank).unwrap_or(0);
    let organisation = id(&caller.organisation().name);
    let kind = id(&call.kind);
    let content = mix(id(req.full_path), id_of_bytes(&req.body));
    RequestSpec {
        request: daemon.next_request_id(),
        organisation,
        target: service_id(&service.name),
        kind,
        rank: rank as u8,
        prompt: 0,
        max_tokens: 0,
        prefix: 0,
        prefix_tokens: 0,
        fingerprint: mix(mix(organisation, kind), content),
        deadline: daemon.now() + document.ranks[rank].answer_ms,
        answer_by: 0,
        max_attempts: 0,
        hint: 0,
        target_ms: 0,
        target_deadline: 0,
        movable: false,
        parts: Arc::from([]),
        version: None,
        stream: 0,
        resumes: None,
        part_tokens: Arc::from([]),
        gap_ms: 0,
        via: Via::Caller,
    }
}

/// Serves a call that may be repeated: makes attempts until a backend server answers.
async fn serve_repeatable(
    daemon: &Arc<Daemon>,
    mut tracker: Tracker,
    service: &Service,
    spec: RequestSpec,
    req: &CallRequest<'_>,
) -> Result<WebResponse, ApiError> {
    let mut permit = daemon.enqueue(spec);
    let mut maybe_started = false;
    loop {
        let server = match acquire(daemon, &mut permit, &mut tracker, maybe_started).await? {
            Some(server) => server,
            None => continue,
        };
        let started = Instant::now();
        match send_call(daemon, &server, service, req, &tracker, None).await {
            Attempt::Answered(response) => {
                return Ok(forward_answer(response, permit, tracker, started));
            }
            Attempt::NotStarted(signal) => permit.end(End::NotStarted { signal }),
            Attempt::Unknown => {
                maybe_started = true;
                permit.end(End::Lost { tokens: 0, signal: ServerSignal::None, retry: true });
            }
        }
    }
}

/// Waits for a permit. Returns `None` if the permitted server is no longer declared.
pub async fn acquire(
    daemon: &Arc<Daemon>,
    permit: &mut Permit,
    tracker: &mut Tracker,
    maybe_started: bool,
) -> Result<Option<ServerRef>, ApiError> {
    let queue = daemon.telemetry.span("queue", SpanKind::Internal, &tracker.context);
    match permit.admission().await {
        Admission::Start(server) => {
            end_span(&queue, "granted");
            let found = daemon.config().servers.get(&server).cloned();
            match &found {
                Some(server) => tracker.record_start(&server.name),
                None => permit.end(End::NotStarted { signal: ServerSignal::None }),
            }
            Ok(found)
        }
        Admission::Move(unused, _) => {
            permit.move_ended(unused, false);
            Ok(None)
        }
        Admission::Forward(_) => {
            permit.forward_ended(ForwardEnd::NotRun);
            Ok(None)
        }
        Admission::Refuse(..) if maybe_started => {
            end_span(&queue, "refused");
            tracker.close(FinalOutcome::Unknown);
            Err(ApiError::unknown("a backend server got the call and did not answer"))
        }
        Admission::Refuse(refusal, retry_ms) => {
            end_span(&queue, "refused");
            tracker.close(FinalOutcome::NotRun);
            Err(ApiError::refused(refusal, retry_ms))
        }
    }
}

/// Sends a call to a backend server and waits for the head of its answer.
pub async fn send_call(
    daemon: &Arc<Daemon>,
    server: &ServerRef,
    service: &Service,
    req: &CallRequest<'_>,
    tracker: &Tracker,
    fencing: Option<u64>,
) -> Attempt {
    let connect = millis(daemon.config().document.routing.connect_ms);
    let granted = daemon.telemetry.span("permit", SpanKind::Internal, &tracker.context);
    let context = daemon.telemetry.span("backend server", SpanKind::Client, &granted);
    let outgoing = OutgoingCall {
        method: req.method,
        path: req.full_path,
        headers: req.headers,
        body: &req.body,
        organisation: &tracker.identity.organisation,
        fencing,
    };
    let mut request = (HTTP.call)(&server.address, &outgoing);
    inject(&context, request.headers_mut());
    let answer = single_use_client(connect).request(request);
    let result = tokio::time::timeout(millis(service.timeout_ms), answer).await;
    let attempt = classify(result);
    end_spans(&granted, &context, &attempt);
    attempt
}

fn end_spans(granted: &Context, context: &Context, attempt: &Attempt) {
    let outcome = match attempt {
        Attempt::Answered(_) => "answered",
        Attempt::NotStarted(_) => "not started",
        Attempt::Unknown => "unknown",
    };
    end_span(context, outcome);
    end_span(granted, "used");
}

type Exchange = Result<
    Result<hyper::Response<Incoming>, hyper_util::client::legacy::Error>,
    tokio::time::error::Elapsed,
>;

/// A server that answers 503 has not run the call, by contract.
fn classify(result: Exchange) -> Attempt {
    match result {
        Ok(Ok(response)) if response.status() == StatusCode::SERVICE_UNAVAILABLE => {
            Attempt::NotStarted(ServerSignal::Leaving)
        }
        Ok(Ok(response)) if is_final(response.status()) => Attempt::Answered(response),
        Ok(Err(e)) if e.is_connect() => Attempt::NotStarted(ServerSignal::Refused),
        Ok(Ok(_) | Err(_)) | Err(_) => Attempt::Unknown,
    }
}

/// The body of an answer that is being forwarded to the caller.
struct AnswerStream {
    body: Incoming,
    permit: Permit,
    tracker: Tracker,
    started: Instant,
}

impl AnswerStream {
    async fn next(&mut self) -> Option<Result<Bytes, std::io::Error>> {
        loop {
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        return Some(Ok(data));
                    }
                }
                Some(Err(e)) => {
                    self.permit.end(End::Lost {
                        tokens: 0,
                        signal: ServerSignal::None,
                        retry: false,
                    });
                    self.tracker.close(FinalOutcome::Partial);
                    return Some(Err(std::io::Error::other(e)));
                }
                None => {
                    let took_ms = self.started.elapsed().as_millis() as u32;
                    self.permit.end(End::Completed { tokens: 0, took_ms });
                    self.tracker.close_answer();
                    return None;
                }
            }
        }
    }
}

fn forward_answer(
    response: hyper::Response<Incoming>,
    permit: Permit,
    tracker: Tracker,
    started: Instant,
) -> WebResponse {
    let (head, body) = response.into_parts();
    let answer_stream = AnswerStream { body, permit, tracker, started };
    let bytes = stream::unfold(answer_stream, async |mut answer_stream| {
        let next = answer_stream.next().await?;
        Some((next, answer_stream))
    });
    let mut response = WebResponse::new(ResponseBody::boxed(StreamDataBody::new(bytes)));
    *response.status_mut() = head.status;
    for (name, value) in &head.headers {
        if is_forwarded(name.as_str()) {
            response.headers_mut().append(name.clone(), value.clone());
        }
    }
    response
}
