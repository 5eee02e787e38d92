//! The HTTP API for callers: checks limits and keys and dispatches requests to their handlers.

use std::convert::Infallible;
use std::sync::Arc;

use agateroute_config::limits::Limits;
use agateroute_config::organisation::Organisation;
use agateroute_config::rank::Rank;
use http::{HeaderMap, HeaderValue, Method, StatusCode, header};
use opentelemetry::Context;
use opentelemetry::trace::SpanKind;
use serde_json::json;
use xitca_web::body::{RequestBody, ResponseBody};
use xitca_web::http::{RequestExt, WebRequest, WebResponse};

use crate::auth::bearer_key;
use crate::body::read_body;
use crate::body_memory::BodyMemory;
use crate::call::{self, CallRequest};
use crate::daemon::{Config, Daemon, millis};
use crate::error::ApiError;
use crate::generation::{self, json_response};
use crate::permit::ArrivalGuard;
use crate::request_tracker::LatencyTargets;
use crate::telemetry::{end_span, extract};

/// The header that carries the request id in requests and answers.
const REQUEST_ID_HEADER: &str = "x-request-id";
/// A longer request id of a caller is replaced by a random one.
const MAX_REQUEST_ID_BYTES: usize = 128;
/// The start of the path of a call, before the name of the plain service and its own path.
const SERVICES_PATH: &str = "/v1/services/";

/// The authenticated sender of a request.
#[derive(Clone, Debug)]
pub struct Caller {
    /// The configuration that was active on arrival. All checks of the request use it.
    pub config: Arc<Config>,
    /// Names the request in logs and answers.
    pub request_id: Arc<str>,
    /// The trace that the spans of the request belong to.
    pub context: Context,
    organisation_index: usize,
}

impl Caller {
    /// The organisation that the key of the request belongs to.
    pub fn organisation(&self) -> &Organisation {
        &self.config.document.organisations[self.organisation_index]
    }
}

/// Serves one request of a caller. Errors are turned into responses, so the caller always gets an answer.
pub async fn handle(
    daemon: Arc<Daemon>,
    memory: Arc<BodyMemory>,
    request: WebRequest,
) -> Result<WebResponse, Infallible> {
    let id = request_id(request.headers());
    let mut body_unread = has_body(request.headers());
    let parent = extract(request.headers());
    let context = daemon.telemetry.span("caller", SpanKind::Server, &parent);
    let (head, ext) = request.into_parts();
    let body = CallerBody { body: take_body(ext), memory, unread: &mut body_unread };
    let answer = route(&daemon, &head, body, id.clone(), context.clone()).await;
    let mut response = answer.unwrap_or_else(|e| {
        end_span(&context, e.code);
        spdlog::info!("request_refused", kv: {
            request: = &*id,
            status = e.status.as_u16(),
            code = e.code,
            outcome = e.outcome.as_str(),
        });
        e.to_response(&id)
    });
    if let Ok(value) = HeaderValue::from_str(&id) {
        response.headers_mut().insert(REQUEST_ID_HEADER, value);
    }
    // The rest of an unread body would be parsed as the next request, so the connection is closed. The
    // caller must know that before it sends another request.
    if body_unread || daemon.leaving() {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response)
}

fn has_body(headers: &HeaderMap) -> bool {
    let length = headers.get(header::CONTENT_LENGTH);
    length.is_some_and(|l| l != "0") || headers.contains_key(header::TRANSFER_ENCODING)
}

fn request_id(headers: &HeaderMap) -> Arc<str> {
    let given = headers.get(REQUEST_ID_HEADER).and_then(|v| v.to_str().ok());
    match given {
        Some(id) if !id.is_empty() && id.len() <= MAX_REQUEST_ID_BYTES => id.into(),
        _ => format!("{:032x}", rand::random::<u128>()).into(),
    }
}

async fn route(
    daemon: &Arc<Daemon>,
    head: &http::request::Parts,
    body: CallerBody<'_>,
    id: Arc<str>,
    context: Context,
) -> Result<WebResponse, ApiError> {
    let path = head.uri.path();
    match path {
        "/livez" => return Ok(text_response(StatusCode::OK, "live\n")),
        "/readyz" => return Ok(readiness(daemon)),
        _ => {}
    }
    let _arriving = ArrivalGuard::new(daemon);
    let config = daemon.config();
    if !daemon.configured() {
        let message = "no configuration was loaded yet";
        return Err(unavailable("not_ready", message));
    }
    if daemon.refusing() {
        return Err(unavailable("stopping", "this instance stops and accepts no more requests"));
    }
    check_header_limits(&config.document.limits, &head.headers)?;
    let caller = authenticate(config, &head.headers, id, context)?;
    let method = &head.method;
    match path {
        "/v1/models" => {
            check_method(method, &Method::GET)?;
            Ok(json_response(&list_models(&caller)))
        }
        "/v1/chat/completions" | "/v1/completions" => {
            check_method(method, &Method::POST)?;
            let body = body.read(&caller).await?;
            let chat = path == "/v1/chat/completions";
            generation::serve(daemon, caller, &head.headers, chat, body).await
        }
        _ => match path.strip_prefix("/v1/models/") {
            Some(model) => {
                check_method(method, &Method::GET)?;
                model_response(&caller, model)
            }
            None => serve_service_call(daemon, caller, head, body).await,
        },
    }
}

fn take_body(ext: RequestExt<RequestBody>) -> RequestBody {
    ext.replace_body(()).1
}

/// The body of a request that is not read yet.
struct CallerBody<'a> {
    body: RequestBody,
    memory: Arc<BodyMemory>,
    unread: &'a mut bool,
}

impl CallerBody<'_> {
    async fn read(self, caller: &Caller) -> Result<bytes::Bytes, ApiError> {
        let limits = &caller.config.document.limits;
        let timeout = millis(limits.body_ms);
        let body = read_body(self.body, limits.body_bytes, timeout, &self.memory).await?;
        *self.unread = false;
        Ok(body)
    }
}

async fn serve_service_call(
    daemon: &Arc<Daemon>,
    caller: Caller,
    head: &http::request::Parts,
    body: CallerBody<'_>,
) -> Result<WebResponse, ApiError> {
    let path = head.uri.path();
    let Some(rest) = path.strip_prefix(SERVICES_PATH) else {
        let message = format!("path {path:?} does not exist");
        return Err(ApiError::not_run(StatusCode::NOT_FOUND, "path_not_found", message));
    };
    let (service, call_path) = rest.split_once('/').unwrap_or((rest, ""));
    let target = match head.uri.query() {
        Some(query) => format!("{call_path}?{query}"),
        None => call_path.to_owned(),
    };
    let body = body.read(&caller).await?;
    let req = CallRequest {
        method: &head.method,
        service,
        path: call_path,
        full_path: &target,
        headers: &head.headers,
        body,
    };
    call::serve(daemon, caller, req).await
}

/// Checks the number and the total size of header fields against the limits of the document.
pub fn check_header_limits(limits: &Limits, headers: &HeaderMap) -> Result<(), ApiError> {
    let bytes: usize = headers.iter().map(|(n, v)| n.as_str().len() + v.len()).sum();
    if headers.len() > limits.header_count as usize || bytes as u64 > limits.header_bytes {
        return Err(ApiError::not_run(
            StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            "headers_too_large",
            format!(
                "more than {} header fields or {} bytes of them",
                limits.header_count, limits.header_bytes
            ),
        ));
    }
    Ok(())
}

fn check_method(method: &Method, wanted: &Method) -> Result<(), ApiError> {
    if method == wanted {
        return Ok(());
    }
    let message = format!("this path accepts {wanted}, not {method}");
    Err(ApiError::not_run(StatusCode::METHOD_NOT_ALLOWED, "method_not_allowed", message))
}

fn authenticate(
    config: Arc<Config>,
    headers: &HeaderMap,
    request_id: Arc<str>,
    context: Context,
) -> Result<Caller, ApiError> {
    let key = headers.get(header::AUTHORIZATION).and_then(|v| bearer_key(v.as_bytes()));
    let organisation_index = key.and_then(|k| config.keys.find(k));
    let organisation_index = organisation_index.ok_or_else(|| {
        let message = "the bearer key is missing or unknown";
        ApiError::not_run(StatusCode::UNAUTHORIZED, "unknown_key", message)
    })?;
    Ok(Caller { config, request_id, context, organisation_index })
}

fn list_models(caller: &Caller) -> serde_json::Value {
    let names = model_names(caller);
    let data: Vec<_> = names.iter().map(|n| model_json(caller, n)).collect();
    json!({"object": "list", "data": data})
}

/// The models that an organisation may use, and their adapters as `model:adapter`.
fn model_names(caller: &Caller) -> Vec<String> {
    let document = &caller.config.document;
    let granted = caller.organisation().models.iter().filter_map(|m| document.model(m));
    let names = granted.flat_map(|m| {
        let adapters = m.adapters.iter().map(|a| format!("{}:{}", m.name, a.name));
        std::iter::once(m.name.clone()).chain(adapters)
    });
    names.collect()
}

fn model_json(caller: &Caller, name: &str) -> serde_json::Value {
    let owner = &caller.config.document.deployment;
    json!({"id": name, "object": "model", "created": 0, "owned_by": owner})
}

fn model_response(caller: &Caller, name: &str) -> Result<WebResponse, ApiError> {
    if model_names(caller).iter().any(|n| n == name) {
        return Ok(json_response(&model_json(caller, name)));
    }
    let message = format!("model {name:?} does not exist");
    Err(ApiError::not_run(StatusCode::NOT_FOUND, "model_not_found", message))
}

fn readiness(daemon: &Daemon) -> WebResponse {
    if daemon.ready() {
        text_response(StatusCode::OK, "ready\n")
    } else {
        text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
    }
}

fn unavailable(code: &'static str, message: &str) -> ApiError {
    let mut error = ApiError::not_run(StatusCode::SERVICE_UNAVAILABLE, code, message);
    error.retry_ms = 1_000;
    error
}

/// Builds a response with a plain text body.
pub fn text_response(status: StatusCode, text: impl Into<String>) -> WebResponse {
    let mut response = WebResponse::new(ResponseBody::from(text.into()));
    *response.status_mut() = status;
    let plain = HeaderValue::from_static("text/plain; charset=utf-8");
    response.headers_mut().insert(header::CONTENT_TYPE, plain);
    response
}

/// One in this many pauses between tokens may exceed the target of a rank, which is declared for 95 in 100.
const RANK_TOLERANCE: u64 = 20;

/// The latency targets that a rank declares.
pub fn rank_targets(rank: &Rank) -> LatencyTargets {
    LatencyTargets {
        first_token: millis(rank.first_token_ms),
        between_tokens: millis(rank.between_tokens_ms),
        answer: millis(rank.answer_ms),
        tolerance: RANK_TOLERANCE,
    }
}
