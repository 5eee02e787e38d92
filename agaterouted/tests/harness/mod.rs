//! Test harness: stand-in backend servers and a stand-in platform in this process, and real daemon processes.
#![allow(dead_code, reason = "each test file uses only a part of the harness")]

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use agateroute_config::Document;
use agateroute_config::digest::hex_digest;
use agatestand::engine::{Engine, EngineOptions};
use agatestand::fault::FaultProxy;
pub use agatestand::instance::{eventually, eventually_some, field};
use agatestand::load::{LoadClient, client};
use agatestand::platform::{Platform, PlatformOptions};
use agatestand::service::{Service, ServiceOptions};
use bytes::Bytes;
use futures_util::StreamExt;
use http::{HeaderMap, Request, StatusCode, header};
use http_body_util::{BodyExt, Full};
use serde_json::{Value, json};
use sse_stream::SseStream;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

static HARNESS_COUNT: AtomicU32 = AtomicU32::new(0);

/// The API key that the document of the harness accepts for an organisation.
pub fn api_key(organisation: &str) -> String {
    format!("{organisation}-key")
}

/// Stand-ins behind fault proxies, the document that declares them, and the daemons that serve it.
pub struct Harness {
    pub engines: Vec<Engine>,
    pub engine_proxies: Vec<FaultProxy>,
    pub services: Vec<Service>,
    pub service_proxies: Vec<FaultProxy>,
    pub platform: Platform,
    pub platform_address: SocketAddr,
    pub platform_proxy: FaultProxy,
    pub document: Value,
    /// The telemetry section of each daemon's settings.
    pub telemetry: Value,
    /// More settings of each daemon, which replace those of the harness.
    pub settings: Value,
    pub daemons: Vec<Daemon>,
    pub cancel: CancellationToken,
    directory: PathBuf,
}

/// A daemon process with the addresses that it logged at its start. It is killed on drop.
pub struct Daemon {
    pub child: Child,
    pub name: String,
    pub listen: String,
    pub ops: String,
    pub peer: String,
    pub log: Arc<Mutex<Vec<String>>>,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Harness {
    fn drop(&mut self) {
        self.cancel.cancel();
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

async fn bind_free_port() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("its address");
    (listener, address)
}

impl Harness {
    /// Starts the stand-ins. Daemons are started by `start_daemon`.
    pub async fn new(engines: &[EngineOptions], services: &[ServiceOptions]) -> Harness {
        let cancel = CancellationToken::new();
        let number = HARNESS_COUNT.fetch_add(1, Ordering::Relaxed);
        let directory =
            std::env::temp_dir().join(format!("agaterouted-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&directory).expect("the directory is created");
        let platform = Platform::new(PlatformOptions::default());
        let (listener, platform_address) = bind_free_port().await;
        tokio::spawn(platform.clone().run(listener, cancel.clone()));
        let platform_proxy = FaultProxy::start(platform_address, cancel.clone()).await;
        let mut harness = Harness {
            engines: Vec::new(),
            engine_proxies: Vec::new(),
            services: Vec::new(),
            service_proxies: Vec::new(),
            platform,
            platform_address,
            platform_proxy: platform_proxy.expect("a proxy"),
            document: json!({}),
            telemetry: json!({}),
            settings: json!({}),
            daemons: Vec::new(),
            cancel,
            directory,
        };
        for options in engines {
            let engine = Engine::new(options.clone());
            let (listener, address) = bind_free_port().await;
            tokio::spawn(engine.clone().run(listener, harness.cancel.clone()));
            let proxy = FaultProxy::start(address, harness.cancel.clone()).await;
            harness.engine_proxies.push(proxy.expect("a proxy"));
            harness.engines.push(engine);
        }
        for options in services {
            let service = Service::new(options.clone());
            let (listener, address) = bind_free_port().await;
            tokio::spawn(service.clone().run(listener, harness.cancel.clone()));
            let proxy = FaultProxy::start(address, harness.cancel.clone()).await;
            harness.service_proxies.push(proxy.expect("a proxy"));
            harness.services.push(service);
        }
        harness.document = harness.build_document(engines, services);
        harness
    }

    fn build_document(&self, engines: &[EngineOptions], services: &[ServiceOptions]) -> Value {
        let fencing = |fenced: bool| if fenced { "refuses" } else { "ignores" };
        let engines = engines.iter().zip(&self.engine_proxies).enumerate().map(|(i, (o, l))| {
            json!({"name": format!("engine-{i}"), "address": l.address.to_string(), "zone": "a",
                "fencing": fencing(o.fenced),
                "engine": {"models": ["prose"], "memory_tokens": o.memory, "batch": o.batch}})
        });
        let services = services.iter().zip(&self.service_proxies).enumerate().map(|(i, (o, l))| {
            json!({"name": format!("service-{i}"), "address": l.address.to_string(), "zone": "a",
                "fencing": fencing(o.fenced),
                "plain": {"service": "orders", "slots": 32}})
        });
        let servers: Vec<Value> = engines.chain(services).collect();
        let has_services = !self.services.is_empty();
        let granted = if has_services { json!(["orders"]) } else { json!([]) };
        let organisation = |name: &str, share: u32| {
            json!({"name": name, "share": share, "models": ["prose"], "services": granted,
                "keys": [{"sha256": hex_digest(api_key(name).as_bytes())}]})
        };
        let calls = json!([
            {"kind": "order", "method": "POST", "path": "orders", "rank": "urgent", "repeatable": false},
            {"kind": "stock", "method": "*", "path": "stock", "rank": "urgent"},
        ]);
        json!({
            "deployment": "bed",
            "ranks": [
                {"name": "urgent", "first_token_ms": 20_000, "between_tokens_ms": 5_000,
                    "answer_ms": 20_000, "worth": 10.0},
                {"name": "deferrable", "first_token_ms": 20_000, "between_tokens_ms": 5_000,
                    "answer_ms": 20_000, "floor_percent": 20},
            ],
            "models": [{"name": "prose", "version": "1", "context_tokens": 32768,
                "adapters": [{"name": "verse", "version": "1"}],
                "kinds": [{"name": "draft", "rank": "deferrable"},
                    {"name": "quote", "rank": "urgent"}]}],
            "services": if has_services {
                json!([{"name": "orders", "timeout_ms": 2_000, "calls": calls}])
            } else {
                json!([])
            },
            "servers": servers,
            "organisations": [organisation("yew", 1), organisation("box", 1), {
                "name": "stranger", "keys": [{"sha256": hex_digest(b"stranger-key")}]}],
            "routing": {"notice_ms": 100, "report_ms": 50, "silence_ms": 1_000, "peer_ms": 1_000,
                "claim_ms": 1_000, "repeat_ms": 2_000},
        })
    }

    /// Writes the document to the file that daemons read.
    pub fn write_document(&self) -> PathBuf {
        let path = self.directory.join("document.yaml");
        std::fs::write(&path, self.document.to_string()).expect("the document is written");
        path
    }

    /// The document as a daemon parses it.
    pub fn parsed(&self) -> Document {
        serde_json::from_value(self.document.clone()).expect("the document")
    }

    /// Starts a daemon, with or without the platform, and waits until it is ready. Returns its index.
    pub async fn start_daemon(&mut self, with_platform: bool) -> usize {
        let name = format!("entry-{}", self.daemons.len());
        let daemon = self.spawn_daemon(&name, with_platform).await;
        self.daemons.push(daemon);
        let index = self.daemons.len() - 1;
        self.wait_until_ready(index).await;
        index
    }

    /// Waits until a daemon is ready and linked to all other daemons.
    pub async fn wait_until_ready(&self, index: usize) {
        let (name, ops) = (&self.daemons[index].name, &self.daemons[index].ops);
        eventually(&format!("{name} is ready"), async || {
            let status = get_json(ops, "/status").await;
            let peers = status["peers"]
                .as_array()
                .map_or(0, |all| all.iter().filter(|p| p["linked"] == true).count());
            status["ready"] == true && peers + 1 >= self.daemons.len()
        })
        .await;
    }

    /// Starts a daemon process with the daemons so far as its peers, and waits until it listens.
    pub async fn spawn_daemon(&self, name: &str, with_platform: bool) -> Daemon {
        let peers: Vec<&str> = self.daemons.iter().map(|d| d.peer.as_str()).collect();
        let address = self.platform_proxy.address.to_string();
        let mut settings = json!({
            "instance": name, "zone": "a", "listen": "127.0.0.1:0", "peer": "127.0.0.1:0",
            "ops": "127.0.0.1:0", "peers": peers, "workers": 2,
            "document": self.write_document(), "telemetry": self.telemetry,
        });
        if with_platform {
            settings["platform"] = json!({"table": address, "objects": address,
                "instances": address, "timeout_ms": 1_000, "poll_ms": 200});
        }
        for (name, value) in self.settings.as_object().into_iter().flatten() {
            settings[name] = value.clone();
        }
        let path = self.directory.join(format!("{name}.yaml"));
        std::fs::write(&path, settings.to_string()).expect("the settings are written");
        let mut child = Command::new(env!("CARGO_BIN_EXE_agaterouted"))
            .arg("--settings")
            .arg(&path)
            .stdout(Stdio::piped())
            .spawn()
            .expect("the daemon starts");
        let log: Arc<Mutex<Vec<String>>> = Arc::default();
        let stdout = child.stdout.take().expect("its standard output");
        let lines = log.clone();
        std::thread::spawn(move || {
            for line in BufReader::new(stdout).lines().map_while(Result::ok) {
                lines.lock().expect("the log").push(line);
            }
        });
        let line = eventually_some(&format!("{name} listens"), async || {
            let log = log.lock().expect("the log");
            log.iter().find(|l| l.contains("event=listening")).cloned()
        })
        .await;
        Daemon {
            child,
            name: name.to_owned(),
            listen: field(&line, "listen"),
            ops: field(&line, "ops"),
            peer: field(&line, "peer"),
            log,
        }
    }
}

impl Daemon {
    /// Sends a signal, named as for `kill`, such as `-STOP`.
    pub fn signal(&self, name: &str) {
        let status = Command::new("kill").arg(name).arg(self.child.id().to_string()).status();
        assert!(status.expect("kill runs").success(), "kill failed");
    }

    /// Kills the process with SIGKILL and waits for its end.
    pub fn kill(&mut self) {
        self.child.kill().expect("the process is killed");
        self.child.wait().expect("the process ends");
    }
}

/// Fetches a page as JSON. Returns null if it can't be fetched or parsed.
pub async fn get_json(address: &str, path: &str) -> Value {
    let request = Request::get(format!("http://{address}{path}")).body(Full::default());
    let result = client(false).request(request.expect("a request")).await;
    let Ok(response) = result else { return Value::Null };
    let body = response
        .into_body()
        .collect()
        .await
        .map(http_body_util::Collected::to_bytes)
        .unwrap_or_default();
    serde_json::from_slice(&body).unwrap_or_default()
}

/// A response with its complete body.
#[derive(Debug)]
pub struct Response {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl Response {
    /// The body as JSON, or null if it is none.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// The outcome header field: whether the request was executed.
    pub fn outcome(&self) -> &str {
        let value = self.headers.get("agateroute-outcome");
        value.and_then(|v| v.to_str().ok()).unwrap_or_default()
    }
}

/// A client of one instance with the key of an organisation.
#[derive(Clone)]
pub struct Caller {
    pub address: String,
    pub key: String,
    pub client: LoadClient,
}

impl Caller {
    /// A caller that uses HTTP/1.1.
    pub fn new(address: &str, organisation: &str) -> Caller {
        Caller { address: address.to_owned(), key: api_key(organisation), client: client(false) }
    }

    /// Sends a request and reads the complete response.
    pub async fn call(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Response {
        let mut builder = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header(header::AUTHORIZATION, format!("Bearer {}", self.key));
        for (name, value) in headers {
            builder = builder.header(*name, *value);
        }
        let request = builder.body(Full::new(body.into())).expect("a request");
        let response = self.client.request(request).await.expect("a response");
        let (head, body) = response.into_parts();
        let body = body.collect().await.expect("a complete body").to_bytes();
        Response { status: head.status, headers: head.headers, body }
    }

    /// Sends a call that must not be executed twice, with an idempotency key.
    pub async fn order(&self, key: &str, body: &str) -> Response {
        let headers = [("idempotency-key", key)];
        self.call("POST", "/v1/services/orders/orders", &headers, body.to_owned()).await
    }

    /// Starts a streamed generation and returns after the response head.
    pub async fn generate(&self, prompt: &str, max_tokens: u64) -> Generation {
        let body = json!({"model": "prose", "stream": true, "max_tokens": max_tokens,
            "messages": [{"role": "user", "content": prompt}]});
        let request = Request::post(format!("http://{}/v1/chat/completions", self.address))
            .header(header::AUTHORIZATION, format!("Bearer {}", self.key))
            .body(Full::from(body.to_string()))
            .expect("a request");
        let response = self.client.request(request).await.expect("a response");
        let status = response.status();
        let headers = response.headers().clone();
        Generation { status, headers, events: SseStream::new(response.into_body()), tokens: vec![] }
    }
}

/// A streamed generation, with the tokens read so far.
pub struct Generation {
    pub status: StatusCode,
    pub headers: HeaderMap,
    events: SseStream<hyper::body::Incoming>,
    pub tokens: Vec<String>,
}

/// How a stream ended: with its end mark, with an error event (its outcome), or without either.
#[derive(Debug, PartialEq, Eq)]
pub enum StreamEnd {
    Complete,
    Error(String),
    Cut,
}

impl Generation {
    /// Reads up to the next token. At the end of the stream the error says how it ended.
    pub async fn next_token(&mut self) -> Result<(), StreamEnd> {
        loop {
            let Some(Ok(event)) = self.events.next().await else { return Err(StreamEnd::Cut) };
            let data = event.data.unwrap_or_default();
            if data == "[DONE]" {
                return Err(StreamEnd::Complete);
            }
            let chunk: Value = serde_json::from_str(&data).expect("a chunk is JSON");
            if let Some(outcome) = chunk.pointer("/error/outcome").and_then(Value::as_str) {
                return Err(StreamEnd::Error(outcome.to_owned()));
            }
            if let Some(text) = chunk.pointer("/choices/0/delta/content").and_then(Value::as_str) {
                self.tokens.push(text.to_owned());
                return Ok(());
            }
        }
    }

    /// Reads the rest of the stream.
    pub async fn finish(&mut self) -> StreamEnd {
        loop {
            if let Err(end) = self.next_token().await {
                return end;
            }
        }
    }

    /// Checks that all tokens come from one generation, each once and in order.
    pub fn check_tokens(&self) {
        let mut first = None;
        for (i, token) in self.tokens.iter().enumerate() {
            let (generation, index) = agatestand::text::parse(token).expect("a token");
            assert_eq!(index, i as u64, "token {i} of {:?}", self.tokens);
            assert_eq!(*first.get_or_insert(generation), generation, "token {i}: other generation");
        }
    }
}

/// An engine whose generations all have the same length, and whose steps take the same time.
pub fn steady(tokens: f64, step_ms: u64) -> EngineOptions {
    EngineOptions {
        median: tokens,
        deviation: 0.0,
        step: Duration::from_millis(step_ms),
        lag: Duration::from_millis(20),
        ..EngineOptions::default()
    }
}
