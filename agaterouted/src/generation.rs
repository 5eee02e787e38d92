//! Serves generations: parses a request, waits for its permit, and forwards the answer of an engine.

use std::sync::Arc;

use agateroute_config::Document;
use agateroute_core::catalog::model_id;
use agateroute_core::effect::Refusal;
use agateroute_core::event::{End, ForwardEnd, RequestSpec, ServerSignal, Via};
use agateroute_core::id::{id_of_bytes, mix};
use agateroute_core::{Id, id};
use bytes::Bytes;
use futures_util::stream;
use http::{HeaderMap, HeaderValue, StatusCode, header};
use opentelemetry::trace::SpanKind;
use serde_json::{Map, Value};
use xitca_web::body::{ResponseBody, StreamDataBody};
use xitca_web::http::WebResponse;

use crate::collect::AnswerCollector;
use crate::daemon::{Admission, Config, Daemon};
use crate::engine::StartRequest;
use crate::error::ApiError;
use crate::front::{Caller, rank_targets};
use crate::permit::Permit;
use crate::request_tracker::{FinalOutcome, RequestIdentity, Tracker};
use crate::stream::{CallerStream, Generation, OpenError, Output, generation_lost, sse_frame};
use crate::telemetry::end_span;

/// The header by which a caller selects one of the request kinds of a model.
const KIND_HEADER: &str = "agateroute-kind";
/// Estimates the tokens of a prompt, which only the engine counts exactly.
const BYTES_PER_TOKEN: usize = 4;
/// The tokens that each chat message adds to the estimate for its text.
const TOKENS_PER_MESSAGE: usize = 4;
/// Prompts with the same first bytes count as sharing a prefix.
const PREFIX_BYTES: usize = 512;

/// The parsed body of a request for a generation. Lengths are in tokens.
#[derive(Debug)]
struct GenerationRequest {
    chat: bool,
    body: Map<String, Value>,
    stream: bool,
    want_usage: bool,
    prompt: u32,
    max_output: u32,
    prefix: u64,
}

/// The declared model and request kind of a request, and the index of its rank.
#[derive(Debug)]
struct Resolved<'a> {
    model: &'a str,
    kind: &'a str,
    rank: usize,
}

/// Serves one request for a generation, in the chat form or the completion form.
pub async fn serve(
    daemon: &Arc<Daemon>,
    caller: Caller,
    headers: &HeaderMap,
    chat: bool,
    body: Bytes,
) -> Result<WebResponse, ApiError> {
    let config = caller.config.clone();
    let req = parse(chat, &body)?;
    let resolved = resolve(&config.document, &caller, headers, &req)?;
    let rank = &config.document.ranks[resolved.rank];
    let identity = RequestIdentity {
        request_id: caller.request_id.clone(),
        organisation: caller.organisation().name.as_str().into(),
        kind: resolved.kind.into(),
        rank: rank.name.as_str().into(),
    };
    let spec = build_spec(daemon, &caller, &resolved, &req, &body);
    let tracker = Tracker::open(daemon, identity, rank_targets(rank), caller.context.clone())?;
    run(daemon, &config, tracker, spec, req).await
}

/// Runs a request until its answer starts. Before that, the request may be retried on other servers.
async fn run(
    daemon: &Arc<Daemon>,
    config: &Config,
    mut tracker: Tracker,
    spec: RequestSpec,
    req: GenerationRequest,
) -> Result<WebResponse, ApiError> {
    let (priority, prefix) = (spec.rank, spec.prefix);
    let mut queue = daemon.telemetry.span("queue", SpanKind::Internal, &tracker.context);
    let mut permit = daemon.enqueue(spec);
    let mut started = false;
    loop {
        let server = match permit.admission().await {
            Admission::Move(unused, _) => {
                permit.move_ended(unused, false);
                continue;
            }
            Admission::Forward(_) => {
                permit.forward_ended(ForwardEnd::NotRun);
                continue;
            }
            Admission::Start(server) => server,
            Admission::Refuse(refusal, retry_ms) => {
                end_span(&queue, "refused");
                return Err(refused(&mut tracker, started, refusal, retry_ms));
            }
        };
        end_span(&queue, "granted");
        let Some(server) = find_server(daemon, config, server) else {
            permit.end(End::NotStarted { signal: ServerSignal::None });
            continue;
        };
        tracker.record_start(&server.name);
        let granted = daemon.telemetry.span("permit", SpanKind::Internal, &tracker.context);
        let generation = format!("{:032x}", rand::random::<u128>());
        let start = StartRequest {
            chat: req.chat,
            body: &req.body,
            generation: &generation,
            priority,
            prefix,
        };
        let opened =
            Generation::open(daemon, &server, &start, &tracker.identity.request_id, &granted).await;
        end_span(&granted, "used");
        match opened {
            Ok(generation) => match start_answer(generation, permit, tracker, &req).await {
                AnswerStart::Response(response) => return response,
                AnswerStart::Retry(retry_permit, retry_tracker) => {
                    started = true;
                    permit = retry_permit;
                    tracker = *retry_tracker;
                }
            },
            Err(OpenError::Failed(end)) => {
                started |= matches!(end, End::Lost { .. });
                permit.end(end);
            }
            Err(OpenError::Rejected(status, body)) => {
                permit.end(End::Cancelled { tokens: 0 });
                tracker.close(FinalOutcome::NotRun);
                return Ok(rejection(status, body));
            }
        }
        queue = daemon.telemetry.span("queue", SpanKind::Internal, &tracker.context);
    }
}

/// Maps a refusal to an error. Once an engine may have started the request, its outcome is unknown.
fn refused(tracker: &mut Tracker, started: bool, refusal: Refusal, retry_ms: u32) -> ApiError {
    if started {
        tracker.close(FinalOutcome::Unknown);
        return ApiError::unknown("engines got this request and lost it before its first token");
    }
    tracker.close(FinalOutcome::NotRun);
    ApiError::refused(refusal, retry_ms)
}

fn find_server(daemon: &Daemon, config: &Config, server: Id) -> Option<crate::daemon::ServerRef> {
    let known = config.servers.get(&server).cloned();
    known.or_else(|| daemon.config().servers.get(&server).cloned())
}

enum AnswerStart {
    Response(Result<WebResponse, ApiError>),
    Retry(Permit, Box<Tracker>),
}

/// Waits for the first token. A generation that is lost before it gives [`AnswerStart::Retry`].
async fn start_answer(
    mut generation: Generation,
    mut permit: Permit,
    mut tracker: Tracker,
    req: &GenerationRequest,
) -> AnswerStart {
    generation.want_usage(req.want_usage && req.stream);
    let mut first = Vec::new();
    loop {
        match generation.next().await {
            Output::Chunk(data, 0) => first.push(data),
            Output::Chunk(data, count) => {
                tracker.record_tokens(count);
                first.push(data);
                break;
            }
            Output::Complete => {
                permit.end(generation.end(true, false));
                tracker.close_stream();
                if req.stream {
                    first.push(crate::engine::DONE_MARK.to_owned());
                    let bytes: Vec<u8> = first.iter().flat_map(|d| sse_frame(d)).collect();
                    return AnswerStart::Response(Ok(sse_response(ResponseBody::from(bytes))));
                }
                return AnswerStart::Response(collected_response(req.chat, &first, &generation));
            }
            Output::Lost => {
                permit.end(generation.end(false, true));
                return AnswerStart::Retry(permit, Box::new(tracker));
            }
        }
    }
    if req.stream {
        let bytes: Vec<u8> = first.iter().flat_map(|d| sse_frame(d)).collect();
        let caller = CallerStream::new(generation, permit, tracker, bytes.into());
        return AnswerStart::Response(Ok(stream_response(caller)));
    }
    AnswerStart::Response(collect_answer(generation, permit, tracker, req.chat, first).await)
}

async fn collect_answer(
    mut generation: Generation,
    mut permit: Permit,
    mut tracker: Tracker,
    chat: bool,
    mut chunks: Vec<String>,
) -> Result<WebResponse, ApiError> {
    loop {
        match generation.next().await {
            Output::Chunk(data, count) => {
                if count > 0 {
                    tracker.record_tokens(count);
                }
                chunks.push(data);
            }
            Output::Complete => {
                permit.end(generation.end(true, false));
                tracker.close_stream();
                return collected_response(chat, &chunks, &generation);
            }
            Output::Lost => {
                permit.end(generation.end(false, false));
                tracker.close(FinalOutcome::Partial);
                return Err(generation_lost());
            }
        }
    }
}

fn collected_response(
    chat: bool,
    chunks: &[String],
    generation: &Generation,
) -> Result<WebResponse, ApiError> {
    let mut collector = AnswerCollector::default();
    for chunk in chunks {
        if collector.add(chunk).is_err() {
            return Err(generation_lost());
        }
    }
    let value = collector.finish(chat, generation.usage());
    Ok(json_response(&value))
}

/// Builds a response with a JSON body.
pub fn json_response(value: &Value) -> WebResponse {
    let mut response = WebResponse::new(ResponseBody::from(value.to_string()));
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}

fn rejection(status: StatusCode, body: Bytes) -> WebResponse {
    let mut response = WebResponse::new(ResponseBody::from(body));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers.insert(crate::error::OUTCOME_HEADER, HeaderValue::from_static("not_run"));
    response
}

fn stream_response(caller: CallerStream) -> WebResponse {
    let bytes = stream::unfold(caller, async |mut caller| {
        let next = caller.next().await?;
        Some((Ok::<Bytes, std::convert::Infallible>(next), caller))
    });
    sse_response(ResponseBody::boxed(StreamDataBody::new(bytes)))
}

fn sse_response(body: ResponseBody) -> WebResponse {
    let mut response = WebResponse::new(body);
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    response
}

fn parse(chat: bool, body: &[u8]) -> Result<GenerationRequest, ApiError> {
    let body: Map<String, Value> = serde_json::from_slice(body)
        .map_err(|e| ApiError::bad_request(format!("the body is not a JSON object: {e}")))?;
    let stream = bool_field(&body, "stream")?;
    let options = body.get("stream_options").filter(|o| !o.is_null());
    let want_usage = match options {
        None => false,
        Some(Value::Object(options)) => bool_field(options, "include_usage")?,
        Some(_) => return Err(ApiError::bad_request("stream_options is not an object")),
    };
    if !matches!(body.get("n"), None | Some(Value::Null)) && count_field(&body, "n")? != 1 {
        return Err(ApiError::bad_request("n must be 1: a request is one generation"));
    }
    let max_output =
        count_field(&body, "max_tokens")?.max(count_field(&body, "max_completion_tokens")?);
    let (bytes, messages, prefix) = if chat { chat_prompt(&body)? } else { text_prompt(&body)? };
    let prompt = (bytes / BYTES_PER_TOKEN + messages * TOKENS_PER_MESSAGE).max(1) as u32;
    Ok(GenerationRequest { chat, stream, want_usage, prompt, max_output, prefix, body })
}

fn bool_field(body: &Map<String, Value>, key: &str) -> Result<bool, ApiError> {
    match body.get(key) {
        None | Some(Value::Null) => Ok(false),
        Some(Value::Bool(value)) => Ok(*value),
        Some(_) => Err(ApiError::bad_request(format!("{key} is not a boolean"))),
    }
}

fn count_field(body: &Map<String, Value>, key: &str) -> Result<u32, ApiError> {
    match body.get(key) {
        None | Some(Value::Null) => Ok(0),
        Some(value) => {
            let number = value.as_u64().filter(|n| *n > 0).and_then(|n| u32::try_from(n).ok());
            number.ok_or_else(|| ApiError::bad_request(format!("{key} is not a positive number")))
        }
    }
}

/// Returns the bytes of text, the number of messages and the prefix hash of a chat prompt.
fn chat_prompt(body: &Map<String, Value>) -> Result<(usize, usize, u64), ApiError> {
    let messages = match body.get("messages") {
        Some(Value::Array(messages)) if !messages.is_empty() => messages,
        _ => return Err(ApiError::bad_request("messages is not a list with at least one message")),
    };
    let mut text = String::new();
    for message in messages {
        if !message.get("role").is_some_and(Value::is_string) {
            return Err(ApiError::bad_request("a message has no role"));
        }
        collect_text(message.get("content").unwrap_or(&Value::Null), &mut text);
    }
    Ok((text.len(), messages.len(), prefix_hash(&text)))
}

fn text_prompt(body: &Map<String, Value>) -> Result<(usize, usize, u64), ApiError> {
    let prompt = body.get("prompt").filter(|p| p.is_string() || p.is_array());
    let prompt = prompt.ok_or_else(|| ApiError::bad_request("prompt is not a string or a list"))?;
    let numbers = prompt.as_array().map_or(0, |a| a.iter().filter(|t| t.is_number()).count());
    let mut text = String::new();
    collect_text(prompt, &mut text);
    Ok((text.len() + numbers * BYTES_PER_TOKEN, 0, prefix_hash(&text)))
}

fn collect_text(value: &Value, text: &mut String) {
    match value {
        Value::String(s) => text.push_str(s),
        Value::Array(items) => items.iter().for_each(|i| collect_text(i, text)),
        Value::Object(fields) => {
            if let Some(inner) = fields.get("text") {
                collect_text(inner, text);
            }
        }
        _ => {}
    }
}

fn prefix_hash(text: &str) -> u64 {
    let end = text.floor_char_boundary(PREFIX_BYTES);
    if end < PREFIX_BYTES / 2 { 0 } else { id(&text[..end]) }
}

fn resolve<'a>(
    document: &'a Document,
    caller: &Caller,
    headers: &HeaderMap,
    req: &GenerationRequest,
) -> Result<Resolved<'a>, ApiError> {
    let name = req.body.get("model").and_then(Value::as_str);
    let name = name.ok_or_else(|| ApiError::bad_request("model is not a string"))?;
    let (base, adapter) = name.split_once(':').map_or((name, None), |(b, a)| (b, Some(a)));
    let missing = || {
        let message = format!("model {name:?} does not exist");
        ApiError::not_run(StatusCode::NOT_FOUND, "model_not_found", message)
    };
    let model = document.model(base).ok_or_else(missing)?;
    if adapter.is_some_and(|a| !model.adapters.iter().any(|d| d.name == a)) {
        return Err(missing());
    }
    let organisation = caller.organisation();
    if !organisation.models.iter().any(|m| m == base) {
        let message = format!("organisation {:?} may not use model {base:?}", organisation.name);
        return Err(ApiError::not_run(StatusCode::FORBIDDEN, "not_granted", message));
    }
    if req.prompt.saturating_add(req.max_output) > model.context_tokens {
        let message = format!(
            "prompt and max_tokens together exceed the {} tokens of model {base:?}",
            model.context_tokens
        );
        return Err(ApiError::not_run(StatusCode::BAD_REQUEST, "context_length_exceeded", message));
    }
    let wanted = headers.get(KIND_HEADER).map(|v| v.to_str().unwrap_or_default());
    let kind = model.kind(wanted).ok_or_else(|| {
        let wanted = wanted.unwrap_or_default();
        ApiError::bad_request(format!("kind {wanted:?} does not exist in model {base:?}"))
    })?;
    let rank = document.rank_index(&kind.rank).unwrap_or(0);
    Ok(Resolved { model: &model.name, kind: &kind.name, rank })
}

fn build_spec(
    daemon: &Daemon,
    caller: &Caller,
    resolved: &Resolved<'_>,
    req: &GenerationRequest,
    body: &Bytes,
) -> RequestSpec {
    let document = &caller.config.document;
    let organisation = id(&caller.organisation().name);
    let kind = id(resolved.kind);
    let prefix = if req.prefix == 0 { 0 } else { mix(organisation, req.prefix) };
    RequestSpec {
        request: daemon.next_request_id(),
        organisation,
        target: model_id(resolved.model),
        kind,
        rank: resolved.rank as u8,
        prompt: req.prompt,
        max_tokens: req.max_output,
        prefix,
        prefix_tokens: if prefix == 0 { 0 } else { (PREFIX_BYTES / BYTES_PER_TOKEN) as u32 },
        fingerprint: mix(mix(organisation, kind), id_of_bytes(body)),
        deadline: daemon.now() + document.ranks[resolved.rank].first_token_ms,
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
