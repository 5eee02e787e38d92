//! The adapter for model engines: the OpenAI-compatible streaming protocol with the extensions of the
//! platform's engines. See `docs/ENGINES.md`.

use std::borrow::Cow;

use agateroute_core::event::{CacheUpdate, LoadReport};
use bytes::Bytes;
use http::{Method, Request, header};
use http_body_util::Full;
use serde::Deserialize;
use serde_json::{Map, Value, json};

/// A request to a backend server, with its whole body.
pub type ServerRequest = Request<Full<Bytes>>;

/// A request to start a generation on an engine.
#[derive(Clone, Debug)]
pub struct StartRequest<'a> {
    /// Whether to use the chat endpoint rather than the completion endpoint.
    pub chat: bool,
    /// The request body of the caller, to which the engine's extensions are added.
    pub body: &'a Map<String, Value>,
    /// The generation id, which the engine repeats in each chunk.
    pub generation: &'a str,
    /// The priority, 0 for the most urgent.
    pub priority: u8,
    /// Identifies the prefix of the prompt in the cache events of the engine, 0 for none.
    pub prefix: u64,
}

/// A version of a model or adapter that an engine has loaded or should load.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, derive_more::Display)]
#[display("{id}@{version}")]
pub struct LoadedModel {
    /// The model, or `model:adapter`.
    pub id: String,
    /// The version, empty if the engine does not report one.
    #[serde(default)]
    pub version: String,
}

/// An instruction to an engine to load a model or change its role.
#[derive(Clone, Debug)]
pub struct FleetOrder<'a> {
    /// The fencing number of the lease of the sender, so that engines can ignore a former lease holder.
    pub fencing: u64,
    /// `load` or `role`.
    pub action: &'a str,
    /// The model or adapter that the action is about.
    pub subject: &'a LoadedModel,
}

/// A decoded chunk of a generation.
#[derive(Clone, Debug, PartialEq)]
pub struct Chunk<'a> {
    /// The id of the generation that the chunk belongs to.
    pub generation: Cow<'a, str>,
    /// The index of its first token in the generation.
    pub index: u64,
    /// The number of its tokens.
    pub count: u64,
    /// Whether the generation ends with it.
    pub last: bool,
    /// The token usage, which engines send in a chunk without choices.
    pub usage: Option<Usage>,
    /// Whether the engine announces that it is stopping.
    pub leaving: bool,
}

/// The token usage of a generation, as the engine counts it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct Usage {
    /// The length of the prompt, in tokens.
    #[serde(default)]
    pub prompt_tokens: u32,
    /// The length of the answer, in tokens.
    #[serde(default)]
    pub completion_tokens: u32,
}

/// The sequence number of the last cache event, and the changes that the events describe.
pub type CacheResult = serde_json::Result<(u64, CacheUpdate)>;

/// The functions that encode and decode an engine's wire format. Encoders take the address first.
#[derive(Clone, Copy, Debug)]
pub struct EngineAdapter {
    /// Encodes the start of a generation.
    pub start: fn(&str, &StartRequest<'_>) -> ServerRequest,
    /// Encodes the request for the rest of a generation, from a token index on.
    pub resume: fn(&str, &str, u64) -> ServerRequest,
    /// Encodes the cancellation of a generation.
    pub cancel: fn(&str, &str) -> ServerRequest,
    /// Encodes a read of the load report.
    pub report: fn(&str) -> ServerRequest,
    /// Encodes a read of the cache events after a sequence number.
    pub cache: fn(&str, u64) -> ServerRequest,
    /// Decodes the cache events after a sequence number. Returns the number to continue from in the
    /// next read.
    pub decode_cache: fn(u64, &[u8]) -> CacheResult,
    /// Encodes a read of the loaded models and adapters.
    pub loaded: fn(&str) -> ServerRequest,
    /// Encodes an instruction to load a model or change the role.
    pub order: fn(&str, &FleetOrder<'_>) -> ServerRequest,
    /// Decodes the loaded models and adapters.
    pub decode_loaded: fn(&[u8]) -> serde_json::Result<Vec<LoadedModel>>,
    /// Decodes the data of an event as a chunk.
    pub decode: for<'a> fn(&'a str) -> serde_json::Result<Chunk<'a>>,
    /// Decodes a load report.
    pub decode_report: fn(&[u8]) -> serde_json::Result<LoadReport>,
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

/// The data of the event at the end of a stream.
pub const DONE_MARK: &str = "[DONE]";

fn build(method: Method, address: &str, path: &str, body: impl Into<Bytes>) -> ServerRequest {
    let built = Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"))
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::new(body.into()));
    built.unwrap_or_default()
}

fn openai_start(address: &str, start: &StartRequest<'_>) -> ServerRequest {
    let mut body = start.body.clone();
    body.insert("stream".to_owned(), Value::Bool(true));
    body.insert("stream_options".to_owned(), json!({"include_usage": true}));
    body.insert("priority".to_owned(), start.priority.into());
    body.insert("generation_id".to_owned(), start.generation.into());
    if start.prefix != 0 {
        body.insert("prefix_key".to_owned(), format!("{:016x}", start.prefix).into());
    }
    let path = if start.chat { "/v1/chat/completions" } else { "/v1/completions" };
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

/// If the sequence jumps forwards or backwards, events are missing and only later ones are used.
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

/// Decodes a load report, which has the same form for engines and plain servers.
pub fn decode_load_report(body: &[u8]) -> serde_json::Result<LoadReport> {
    let wire: WireReport = serde_json::from_slice(body)?;
    Ok(LoadReport {
        used: wire.used,
        running: wire.running,
        waiting: wire.waiting,
        preemptions: wire.preemptions,
        leaving: wire.draining,
        age_ms: wire.age_ms,
    })
}
