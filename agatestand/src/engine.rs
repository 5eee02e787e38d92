//! Simulated model engine. It serves the OpenAI-compatible streaming API with priorities, generation
//! ids, token indices, resume, cancel, delayed load reports, draining and fencing.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::stream;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::batch::{Batch, Job, PREFIX_TOKENS};
use crate::lengths::Lengths;
use crate::reply;
use crate::serve::{self, Body};
use crate::text::{self, TokenFormat};

/// Maximum number of generations kept. Ended ones can be resumed until newer ones replace them.
const MAX_GENERATIONS: usize = 4_096;
/// Maximum number of prefix cache events kept for readers.
const MAX_CACHE_EVENTS: usize = 1_000;
/// Number of bytes at the start of a prompt that identify its prefix.
const PREFIX_BYTES: usize = 512;
const BYTES_PER_TOKEN: u64 = 4;
/// Token index at which a generation with a poisoned prompt crashes the engine.
const POISON_CRASH_TOKEN: u64 = 3;

/// Configuration of a simulated engine.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// Memory for prompts and answers, in tokens.
    pub memory: u64,
    /// Maximum number of generations in the batch.
    pub batch: usize,
    /// Time of a step with an empty batch.
    pub step: Duration,
    /// Time that each generation in the batch adds to a step.
    pub step_each: Duration,
    /// Time after which load reports and cache events become visible to readers.
    pub lag: Duration,
    /// Median output length, in tokens.
    pub median: f64,
    /// Standard deviation of the logarithm of output lengths.
    pub deviation: f64,
    /// Seed of the output lengths.
    pub seed: u64,
    /// Format of the token text.
    pub format: TokenFormat,
    /// Text that crashes the engine when a prompt contains it.
    pub poison: Option<String>,
    /// Time from a crash until the engine listens again.
    pub restart: Duration,
    /// Whether orders with a stale fencing number are refused.
    pub fenced: bool,
    /// Every n-th cache event is lost. `None` loses none.
    pub lost_every: Option<u64>,
    /// Models loaded at the start, as name and version.
    pub loaded: Vec<(String, String)>,
    /// Time from a load order until the model is listed.
    pub load_time: Duration,
}

impl Default for EngineOptions {
    fn default() -> EngineOptions {
        EngineOptions {
            memory: 16_000,
            batch: 32,
            step: Duration::from_millis(5),
            step_each: Duration::from_micros(100),
            lag: Duration::from_millis(500),
            median: 100.0,
            deviation: 1.0,
            seed: 1,
            format: TokenFormat::Checkable,
            poison: None,
            restart: Duration::from_millis(500),
            fenced: false,
            lost_every: Some(50),
            loaded: Vec::new(),
            load_time: Duration::from_millis(50),
        }
    }
}

/// Load report as served at `/load`. The field names are the keys of its JSON.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
pub struct LoadReport {
    /// Tokens in the memory of the engine.
    pub used: u64,
    /// Generations that run in the batch.
    pub running: u32,
    /// Generations queued on the engine.
    pub waiting: u32,
    /// Preemptions since the engine started.
    pub preemptions: u64,
    /// Whether the engine is draining.
    pub draining: bool,
    /// Age of the report, in milliseconds.
    pub age_ms: u64,
}

/// Insertion into or eviction from the prefix cache, as served at `/cache`.
#[derive(Clone, Debug, Serialize)]
struct CacheEvent {
    sequence: u64,
    prefix: String,
    cached: bool,
}

/// Body of `POST /control`: a fault or a state change to inject.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(tag = "action", rename_all = "snake_case")]
pub enum Control {
    /// Lose all state and restart after [`EngineOptions::restart`].
    Crash,
    /// Compute no steps for a time.
    Stall {
        /// Duration of the stall, in milliseconds.
        ms: u64,
    },
    /// Refuse new generations.
    Drain,
    /// Accept new generations again.
    Undrain,
    /// Refuse new generations, and crash after a notice.
    Reclaim {
        /// Time until the crash, in milliseconds.
        notice_ms: u64,
    },
}

/// Body of `POST /orders`: loads a model or changes the role of the engine.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct FleetOrder {
    /// Fencing number of the sender.
    pub fencing: u64,
    /// Kind of the order: `load` or `role`.
    pub action: String,
    /// Name of the model, adapter or role.
    #[serde(default)]
    pub subject: String,
    /// Version to load.
    #[serde(default)]
    pub version: String,
}

#[derive(Debug)]
struct Generation {
    id: String,
    chat: bool,
    model: String,
    prompt_tokens: u64,
    length: u64,
    length_limited: bool,
    progress: watch::Sender<(u64, bool)>,
}

#[derive(Debug)]
struct State {
    batch: Batch,
    lengths: Lengths,
    generations: Vec<Arc<Generation>>,
    reports: Vec<(Instant, LoadReport)>,
    draining: bool,
    stalled_until: Option<Instant>,
    crashed: bool,
    fencing: u64,
    cache_events: Vec<(Instant, CacheEvent)>,
    cache_sequence: u64,
    orders: Vec<FleetOrder>,
    loaded: Vec<(String, String, Instant)>,
    started: u64,
}

/// Handle of a simulated engine. Clones share its state.
#[derive(Clone, Debug)]
pub struct Engine {
    options: Arc<EngineOptions>,
    state: Arc<Mutex<State>>,
    crash: Arc<tokio::sync::Notify>,
}

impl Engine {
    /// Creates an idle engine.
    pub fn new(options: EngineOptions) -> Engine {
        let state = State::new(&options);
        Engine {
            options: Arc::new(options),
            state: Arc::new(Mutex::new(state)),
            crash: Arc::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Serves on a listener until cancelled. After a crash, it listens on the same address again.
    pub async fn run(self, listener: TcpListener, cancel: CancellationToken) {
        let Ok(address) = listener.local_addr() else { return };
        let mut next = Some(listener);
        while !cancel.is_cancelled() {
            let Some(listener) = next.take() else {
                tokio::time::sleep(self.options.restart).await;
                next = TcpListener::bind(address).await.ok();
                continue;
            };
            let connections = cancel.child_token();
            let engine = self.clone();
            let handler = move |request| engine.clone().handle(request);
            let serving = serve::serve(listener, connections.clone(), handler);
            tokio::select! {
                () = serving => {}
                () = self.run_steps() => {}
                () = self.crash.notified() => {}
            }
            connections.cancel();
            *self.lock() = State::new(&self.options);
        }
    }

    async fn run_steps(&self) {
        let mut next_step = tokio::time::Instant::now();
        loop {
            let time = {
                let mut state = self.lock();
                state.step(&self.options);
                if std::mem::take(&mut state.crashed) {
                    return;
                }
                let batch_time = self.options.step_each * state.batch.running() as u32;
                self.options.step + batch_time
            };
            next_step = (next_step + time).max(tokio::time::Instant::now());
            tokio::time::sleep_until(next_step).await;
        }
    }

    /// Applies a fault or a state change.
    pub fn control(&self, control: &Control) {
        let mut state = self.lock();
        match control {
            Control::Crash => self.crash.notify_one(),
            Control::Stall { ms } => {
                state.stalled_until = Some(Instant::now() + Duration::from_millis(*ms));
            }
            Control::Drain => state.draining = true,
            Control::Undrain => state.draining = false,
            Control::Reclaim { notice_ms } => {
                state.draining = true;
                let (engine, notice) = (self.clone(), Duration::from_millis(*notice_ms));
                tokio::spawn(async move {
                    tokio::time::sleep(notice).await;
                    engine.control(&Control::Crash);
                });
            }
        }
    }

    /// Returns the number of generations started since the last crash.
    pub fn started(&self) -> u64 {
        self.lock().started
    }

    /// Returns the orders accepted since the last crash.
    pub fn orders(&self) -> Vec<FleetOrder> {
        self.lock().orders.clone()
    }

    /// Returns the current load, without the delay of [`EngineOptions::lag`].
    pub fn load(&self) -> LoadReport {
        self.lock().report()
    }

    async fn handle(self, request: Request<Incoming>) -> Response<Body> {
        let (head, body) = request.into_parts();
        let path = head.uri.path();
        match (&head.method, path) {
            (&Method::POST, "/v1/chat/completions" | "/v1/completions") => {
                self.start(path.contains("chat"), &reply::read(body).await)
            }
            (&Method::GET, "/load") => {
                let report = self.lock().delayed_report(self.options.lag);
                reply::json(StatusCode::OK, &report)
            }
            (&Method::POST, "/control") => match serde_json::from_slice(&reply::read(body).await) {
                Ok(control) => {
                    self.control(&control);
                    reply::empty(StatusCode::NO_CONTENT)
                }
                Err(e) => reply::json(StatusCode::BAD_REQUEST, &json!({"error": e.to_string()})),
            },
            (&Method::POST, "/orders") => self.accept_order(&reply::read(body).await),
            (&Method::GET, "/cache") => {
                let after = head.uri.query().and_then(|q| q.strip_prefix("after="));
                let after = after.and_then(|n| n.parse().ok()).unwrap_or(0);
                reply::json(StatusCode::OK, &self.lock().events_after(after, self.options.lag))
            }
            (&Method::GET, "/v1/models") => reply::json(StatusCode::OK, &self.lock().models()),
            (&Method::GET, "/orders") => reply::json(StatusCode::OK, &self.lock().orders),
            _ => match path.strip_prefix("/v1/generations/") {
                Some(id) if head.method == Method::GET => self.resume(id, head.uri.query()),
                Some(id) if head.method == Method::DELETE => self.cancel(id),
                _ => reply::empty(StatusCode::NOT_FOUND),
            },
        }
    }

    fn accept_order(&self, body: &[u8]) -> Response<Body> {
        let order: FleetOrder = match serde_json::from_slice(body) {
            Ok(order) => order,
            Err(e) => {
                return reply::json(StatusCode::BAD_REQUEST, &json!({"error": e.to_string()}));
            }
        };
        let mut state = self.lock();
        if self.options.fenced && order.fencing < state.fencing {
            return reply::json(StatusCode::CONFLICT, &json!({"fencing": state.fencing}));
        }
        state.fencing = state.fencing.max(order.fencing);
        if order.action == "load" {
            let ready = Instant::now() + self.options.load_time;
            state.loaded.retain(|(name, _, _)| *name != order.subject);
            state.loaded.push((order.subject.clone(), order.version.clone(), ready));
        }
        state.orders.push(order);
        reply::empty(StatusCode::NO_CONTENT)
    }

    fn start(&self, chat: bool, body: &[u8]) -> Response<Body> {
        let body: Value = match serde_json::from_slice(body) {
            Ok(body) => body,
            Err(e) => {
                let error =
                    json!({"error": {"message": e.to_string(), "type": "invalid_request_error"}});
                return reply::json(StatusCode::BAD_REQUEST, &error);
            }
        };
        let mut state = self.lock();
        if state.draining {
            return reply::json(StatusCode::SERVICE_UNAVAILABLE, &json!({"error": "draining"}));
        }
        let generation = state.begin(chat, &body, &self.options);
        drop(state);
        let streamed = body.get("stream").and_then(Value::as_bool).unwrap_or(false);
        if streamed {
            self.stream(generation, 0)
        } else {
            reply::empty(StatusCode::NOT_IMPLEMENTED)
        }
    }

    fn resume(&self, id: &str, query: Option<&str>) -> Response<Body> {
        let from = query.and_then(|q| q.strip_prefix("from=")).and_then(|n| n.parse().ok());
        let found = self.lock().generations.iter().find(|g| g.id == id).cloned();
        match found {
            Some(generation) => self.stream(generation, from.unwrap_or(0)),
            None => reply::empty(StatusCode::NOT_FOUND),
        }
    }

    fn cancel(&self, id: &str) -> Response<Body> {
        let mut state = self.lock();
        state.batch.cancel(id);
        state.generations.retain(|g| g.id != id);
        reply::empty(StatusCode::NO_CONTENT)
    }

    fn stream(&self, generation: Arc<Generation>, from: u64) -> Response<Body> {
        let stream_state = ChunkStream {
            progress: generation.progress.subscribe(),
            generation,
            next: from,
            format: self.options.format,
            engine: self.clone(),
            ended: false,
        };
        let frames = stream::unfold(stream_state, async |mut stream_state| {
            let bytes = stream_state.next().await?;
            Some((Ok::<_, std::convert::Infallible>(Frame::data(bytes)), stream_state))
        });
        let mut response = Response::new(StreamBody::new(frames).boxed_unsync());
        let kind = http::HeaderValue::from_static("text/event-stream");
        response.headers_mut().insert(http::header::CONTENT_TYPE, kind);
        response
    }
}

impl State {
    fn new(options: &EngineOptions) -> State {
        State {
            batch: Batch::new(options.memory, options.batch),
            lengths: Lengths::new(options.median, options.deviation, options.seed),
            generations: Vec::new(),
            reports: Vec::new(),
            draining: false,
            stalled_until: None,
            crashed: false,
            fencing: 0,
            cache_events: Vec::new(),
            cache_sequence: 0,
            orders: Vec::new(),
            loaded: options
                .loaded
                .iter()
                .map(|(n, v)| (n.clone(), v.clone(), Instant::now()))
                .collect(),
            started: 0,
        }
    }

    fn begin(&mut self, chat: bool, body: &Value, options: &EngineOptions) -> Arc<Generation> {
        let text = body.get("messages").or(body.get("prompt")).map(Value::to_string);
        let text = text.unwrap_or_default();
        let number = |key: &str| body.get(key).and_then(Value::as_u64);
        let id = body.get("generation_id").and_then(Value::as_str).map(str::to_owned);
        let id = id.unwrap_or_else(|| format!("{:032x}", rand::random::<u128>()));
        let limit = number("max_tokens").or(number("max_completion_tokens")).unwrap_or(u64::MAX);
        let sampled = self.lengths.sample(&text);
        let length = sampled.min(limit);
        let prompt = (text.len() as u64 / BYTES_PER_TOKEN).max(1);
        let priority = number("priority").unwrap_or(0) as u8;
        let poisoned = options.poison.as_ref().is_some_and(|p| text.contains(p));
        let length = if poisoned { u64::MAX } else { length };
        let generation = Arc::new(Generation {
            id: id.clone(),
            chat,
            model: body.get("model").and_then(Value::as_str).unwrap_or("model").to_owned(),
            prompt_tokens: prompt,
            length,
            length_limited: sampled > limit,
            progress: watch::Sender::new((0, false)),
        });
        let explicit_prefix = body.get("prefix_key").and_then(Value::as_str);
        let explicit_prefix = explicit_prefix.and_then(|k| u64::from_str_radix(k, 16).ok());
        let prefix = explicit_prefix.unwrap_or_else(|| prefix_hash(&text));
        let prefix = if prompt > PREFIX_TOKENS { prefix } else { 0 };
        self.batch.add(Job::new(&id, priority, prompt, prefix, length));
        self.generations.push(generation.clone());
        if self.generations.len() > MAX_GENERATIONS {
            let at = self.generations.iter().position(|g| g.progress.borrow().1);
            self.generations.remove(at.unwrap_or(0));
        }
        self.started += 1;
        generation
    }

    fn step(&mut self, options: &EngineOptions) {
        let now = Instant::now();
        if self.stalled_until.is_none_or(|until| until <= now) {
            self.stalled_until = None;
            for progress in self.batch.step() {
                let found = self.generations.iter().find(|g| g.id == progress.generation);
                let Some(generation) = found else { continue };
                generation.progress.send_replace((progress.tokens, progress.done));
                if generation.length == u64::MAX && progress.tokens >= POISON_CRASH_TOKEN {
                    self.crashed = true;
                }
            }
        }
        for (prefix, cached) in self.batch.cache_changes() {
            self.cache_sequence += 1;
            let lost = options.lost_every.is_some_and(|n| self.cache_sequence.is_multiple_of(n));
            if !lost {
                let prefix = format!("{prefix:016x}");
                let event = CacheEvent { sequence: self.cache_sequence, prefix, cached };
                self.cache_events.push((now, event));
            }
        }
        if self.cache_events.len() > MAX_CACHE_EVENTS {
            self.cache_events.remove(0);
        }
        let report_due =
            self.reports.last().is_none_or(|(at, _)| now - *at >= Duration::from_millis(20));
        if report_due {
            let report = self.report();
            self.reports.push((now, report));
            let keep = options.lag + Duration::from_millis(200);
            self.reports.retain(|(at, _)| now - *at <= keep);
        }
    }

    /// Returns the cache events after a sequence number that are at least as old as the lag.
    fn events_after(&self, after: u64, lag: Duration) -> Value {
        let now = Instant::now();
        let old = self.cache_events.iter().filter(|(at, _)| now - *at >= lag);
        // A reader that is ahead has read events from before a crash, and gets all events.
        let after = if after > self.cache_sequence { 0 } else { after };
        let events: Vec<&CacheEvent> = old.map(|(_, e)| e).filter(|e| e.sequence > after).collect();
        json!({"events": events})
    }

    fn models(&self) -> Value {
        let now = Instant::now();
        let ready = self.loaded.iter().filter(|(_, _, at)| *at <= now);
        let data: Vec<Value> =
            ready.map(|(id, version, _)| json!({"id": id, "version": version})).collect();
        json!({"object": "list", "data": data})
    }

    fn report(&self) -> LoadReport {
        LoadReport {
            used: self.batch.used(),
            running: self.batch.running() as u32,
            waiting: self.batch.waiting() as u32,
            preemptions: self.batch.preemptions(),
            draining: self.draining,
            age_ms: 0,
        }
    }

    /// Returns the newest report that is at least as old as the lag, or the oldest one if all are newer.
    /// Draining is reported without delay.
    fn delayed_report(&self, lag: Duration) -> LoadReport {
        let now = Instant::now();
        let old = self.reports.iter().rev().find(|(at, _)| now - *at >= lag);
        let (age, report) = match old.or(self.reports.first()) {
            Some((at, report)) => (now - *at, report.clone()),
            None => (Duration::ZERO, self.report()),
        };
        LoadReport { age_ms: age.as_millis() as u64, draining: self.draining, ..report }
    }
}

fn prefix_hash(text: &str) -> u64 {
    use std::hash::{DefaultHasher, Hash, Hasher};
    let Some(start) = text.get(..PREFIX_BYTES) else { return 0 };
    let mut hasher = DefaultHasher::new();
    start.hash(&mut hasher);
    hasher.finish()
}

/// Streams the chunks of a generation as they are computed. The generation continues after this is
/// dropped, so that a client whose connection was cut can resume.
struct ChunkStream {
    generation: Arc<Generation>,
    progress: watch::Receiver<(u64, bool)>,
    next: u64,
    format: TokenFormat,
    engine: Engine,
    ended: bool,
}

impl ChunkStream {
    async fn next(&mut self) -> Option<Bytes> {
        if self.ended {
            return None;
        }
        loop {
            let (tokens, done) = *self.progress.borrow_and_update();
            if self.next < tokens || done {
                return Some(self.chunks(tokens, done));
            }
            if self.progress.changed().await.is_err() {
                return None;
            }
        }
    }

    fn chunks(&mut self, tokens: u64, done: bool) -> Bytes {
        let mut out = String::new();
        let draining = self.engine.lock().draining;
        while self.next < tokens {
            let text = text::token(self.format, &self.generation.id, self.next);
            self.push(&mut out, Some(&text), 1, draining);
            self.next += 1;
        }
        if done {
            self.push(&mut out, None, 0, draining);
            self.push_usage(&mut out);
            out.push_str("data: [DONE]\n\n");
            self.ended = true;
        }
        Bytes::from(out)
    }

    fn push(&self, out: &mut String, text: Option<&str>, count: u64, draining: bool) {
        let generation = &self.generation;
        let reason = if generation.length_limited { "length" } else { "stop" };
        let finish = if text.is_none() { json!(reason) } else { Value::Null };
        let choice = if generation.chat {
            let delta = match text {
                Some(text) if self.next == 0 => json!({"role": "assistant", "content": text}),
                Some(text) => json!({"content": text}),
                None => json!({}),
            };
            json!({"index": 0, "delta": delta, "finish_reason": finish})
        } else {
            json!({"index": 0, "text": text.unwrap_or_default(), "finish_reason": finish})
        };
        let mut chunk = self.base_chunk();
        chunk["choices"] = json!([choice]);
        chunk["token_index"] = json!(self.next);
        chunk["token_count"] = json!(count);
        if draining {
            chunk["draining"] = json!(true);
        }
        out.push_str(&format!("data: {chunk}\n\n"));
    }

    fn push_usage(&self, out: &mut String) {
        let generation = &self.generation;
        let mut chunk = self.base_chunk();
        chunk["choices"] = json!([]);
        chunk["usage"] = json!({
            "prompt_tokens": generation.prompt_tokens,
            "completion_tokens": self.next,
            "total_tokens": generation.prompt_tokens + self.next,
        });
        out.push_str(&format!("data: {chunk}\n\n"));
    }

    fn base_chunk(&self) -> Value {
        let generation = &self.generation;
        let object = if generation.chat { "chat.completion.chunk" } else { "text_completion" };
        json!({
            "id": format!("gen-{}", generation.id),
            "object": object,
            "created": 0,
            "model": generation.model,
            "generation_id": generation.id,
        })
    }
}
