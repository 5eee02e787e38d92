//! The adapter for model engines: the OpenAI-compatible streaming protocol with the extensions that
//! the platform's engines have. `docs/ENGINES.md` describes them.

use std::borrow::Cow;

use agateroute_core::event::{CacheUpdate, Report};
use bytes::Bytes;
use http::{Method, Request, header};
use http_body_util::Full;
use serde::Deserialize;
use serde_json::{Map, Value, json};

/// A request to a backend server.
pub type ServerRequest = Request<Full<Bytes>>;

/// An order to start a generation.
#[derive(Clone, Debug)]
pub struct StartRequest<'a> {
    /// Whether the caller used the chat form.
    pub chat: bool,
    /// The caller's body.
    pub body: &'a Map<String, Value>,
    /// The generation that the engine has to name in each chunk.
    pub generation: &'a str,
    /// The priority, 0 for the most urgent.
    pub priority: u8,
    /// The key under which the engine reports the start of the prompt as cached, 0 for none.
    pub prefix: u64,
}

/// A model or adapter in a version, as an engine has it loaded.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, derive_more::Display)]
#[display("{id}@{version}")]
pub struct LoadedModel {
    /// The model, or `model:adapter`.
    pub id: String,
    /// The version.
    #[serde(default)]
    pub version: String,
}

/// An order to an engine.
#[derive(Clone, Debug)]
pub struct FleetOrder<'a> {
    /// The fencing number of the lease that it is given under.
    pub fencing: u64,
    /// `load` or `role`.
    pub action: &'a str,
    /// What to load.
    pub subject: &'a LoadedModel,
}

/// A chunk of a generation.
#[derive(Clone, Debug, PartialEq)]
pub struct Chunk<'a> {
    /// The generation that the chunk belongs to.
    pub generation: Cow<'a, str>,
    /// The index of its first token.
    pub index: u64,
    /// The tokens in it.
    pub count: u64,
    /// Whether the generation ends with it.
    pub last: bool,
    /// The usage, in the chunk that carries nothing else.
    pub usage: Option<Usage>,
    /// Whether the engine says that it is leaving.
    pub leaving: bool,
}

/// The tokens of a generation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct Usage {
    /// The prompt, in tokens.
    #[serde(default)]
    pub prompt_tokens: u32,
    /// The answer, in tokens.
    #[serde(default)]
    pub completion_tokens: u32,
}

/// The sequence number of the last cache event, and what the events tell.
pub type CacheResult = serde_json::Result<(u64, CacheUpdate)>;

/// The functions that speak an engine's wire format. Each takes the engine's address first.
#[derive(Clone, Copy, Debug)]
pub struct EngineAdapter {
    /// Encodes the start of a generation.
    pub start: fn(&str, &StartRequest<'_>) -> ServerRequest,
    /// Encodes the request for the rest of a generation from an index on.
    pub resume: fn(&str, &str, u64) -> ServerRequest,
    /// Encodes the cancellation of a generation.
    pub cancel: fn(&str, &str) -> ServerRequest,
    /// Encodes a read of the load report.
    pub report: fn(&str) -> ServerRequest,
    /// Encodes a read of the cache events after a sequence number.
    pub cache: fn(&str, u64) -> ServerRequest,
    /// Decodes cache events that were asked for after a sequence number. Returns the number to ask
    /// after next time.
    pub decode_cache: fn(u64, &[u8]) -> CacheResult,
    /// Encodes a read of what is loaded.
    pub loaded: fn(&str) -> ServerRequest,
    /// Encodes an order to load something or change role.
    pub order: fn(&str, &FleetOrder<'_>) -> ServerRequest,
    /// Decodes what is loaded.
    pub decode_loaded: fn(&[u8]) -> serde_json::Result<Vec<LoadedModel>>,
    /// Decodes a chunk.
    pub decode: for<'a> fn(&'a str) -> serde_json::Result<Chunk<'a>>,
    /// Decodes a load report.
    pub decode_report: fn(&[u8]) -> serde_json::Result<Report>,
}

/// The adapter for OpenAI-compatible engines.
pub const OPENAI: EngineAdapter = EngineAdapter {
    start: openai_start,
    resume: openai_resume,
    cancel: openai_cancel,
    report: load_report,
    cache: engine_cache,
    decode_cache: engine_decode_cache,
    loaded: openai_loaded,
    order: engine_order,
    decode_loaded: openai_decode_loaded,
    decode: openai_decode,
    decode_report: decode_load_report,
};

/// The mark at the end of a stream.
pub const DONE_MARK: &str = "[DONE]";

fn build(method: Method, address: &str, path: &str, body: impl Into<Bytes>) -> ServerRequest {
    let built = Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"))
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::new(body.into()));
    built.unwrap_or_default()
}

fn openai_start(address: &str, order: &StartRequest<'_>) -> ServerRequest {
    let mut body = order.body.clone();
    body.insert("stream".to_owned(), Value::Bool(true));
    body.insert("stream_options".to_owned(), json!({"include_usage": true}));
    body.insert("priority".to_owned(), order.priority.into());
    body.insert("generation_id".to_owned(), order.generation.into());
    if order.prefix != 0 {
        body.insert("prefix_key".to_owned(), format!("{:016x}", order.prefix).into());
    }
    let path = if order.chat { "/v1/chat/completions" } else { "/v1/completions" };
    build(Method::POST, address, path, Value::Object(body).to_string())
}

fn openai_resume(address: &str, generation: &str, from: u64) -> ServerRequest {
    let path = format!("/v1/generations/{generation}?from={from}");
    build(Method::GET, address, &path, "")
}

fn openai_cancel(address: &str, generation: &str) -> ServerRequest {
    build(Method::DELETE, address, &format!("/v1/generations/{generation}"), "")
}

fn load_report(address: &str) -> ServerRequest {
    build(Method::GET, address, "/load", "")
}

fn engine_cache(address: &str, after: u64) -> ServerRequest {
    build(Method::GET, address, &format!("/cache?after={after}"), "")
}

#[derive(Deserialize)]
struct WireCache {
    events: Vec<WireCacheEvent>,
}

#[derive(Deserialize)]
struct WireCacheEvent {
    sequence: u64,
    prefix: String,
    cached: bool,
}

/// A jump in the sequence, forwards or backwards, means that events are missing.
fn engine_decode_cache(after: u64, body: &[u8]) -> CacheResult {
    let wire: WireCache = serde_json::from_slice(body)?;
    let mut update = CacheUpdate { added: Vec::new(), removed: Vec::new(), gap: false };
    let mut last = after;
    for event in wire.events {
        if event.sequence != last.wrapping_add(1) {
            update = CacheUpdate { added: Vec::new(), removed: Vec::new(), gap: true };
        }
        last = event.sequence;
        let Ok(prefix) = u64::from_str_radix(&event.prefix, 16) else { continue };
        let (to, from) = match event.cached {
            true => (&mut update.added, &mut update.removed),
            false => (&mut update.removed, &mut update.added),
        };
        from.retain(|p| *p != prefix);
        to.push(prefix);
    }
    Ok((last, update))
}

fn openai_loaded(address: &str) -> ServerRequest {
    build(Method::GET, address, "/v1/models", "")
}

fn engine_order(address: &str, order: &FleetOrder<'_>) -> ServerRequest {
    let body = json!({
        "fencing": order.fencing,
        "action": order.action,
        "subject": order.subject.id,
        "version": order.subject.version,
    });
    build(Method::POST, address, "/orders", body.to_string())
}

fn openai_decode_loaded(body: &[u8]) -> serde_json::Result<Vec<LoadedModel>> {
    #[derive(Deserialize)]
    struct List {
        data: Vec<LoadedModel>,
    }
    let list: List = serde_json::from_slice(body)?;
    Ok(list.data)
}

#[derive(Deserialize)]
struct WireChunk<'a> {
    #[serde(borrow, default)]
    generation_id: Cow<'a, str>,
    #[serde(default)]
    token_index: u64,
    token_count: Option<u64>,
    #[serde(borrow, default)]
    choices: Vec<WireChoice<'a>>,
    usage: Option<Usage>,
    #[serde(default)]
    draining: bool,
}

#[derive(Deserialize)]
struct WireChoice<'a> {
    #[serde(borrow)]
    finish_reason: Option<Cow<'a, str>>,
}

fn openai_decode(data: &str) -> serde_json::Result<Chunk<'_>> {
    let wire: WireChunk<'_> = serde_json::from_str(data)?;
    let last = wire.choices.iter().any(|c| c.finish_reason.is_some());
    let usage = if wire.choices.is_empty() { wire.usage } else { None };
    Ok(Chunk {
        generation: wire.generation_id,
        index: wire.token_index,
        count: wire.token_count.unwrap_or(1),
        last,
        usage,
        leaving: wire.draining,
    })
}

#[derive(Deserialize)]
struct WireReport {
    used: u64,
    running: u32,
    waiting: u32,
    preemptions: u64,
    #[serde(default)]
    draining: bool,
    #[serde(default)]
    age_ms: u64,
}

/// Decodes a load report, which engines and plain servers write alike.
pub fn decode_load_report(body: &[u8]) -> serde_json::Result<Report> {
    let wire: WireReport = serde_json::from_slice(body)?;
    Ok(Report {
        used: wire.used,
        running: wire.running,
        waiting: wire.waiting,
        preemptions: wire.preemptions,
        leaving: wire.draining,
        age_ms: wire.age_ms,
    })
}
