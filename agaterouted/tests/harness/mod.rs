//! A test bed: stand-ins in this process, real daemons beside it.
#![allow(dead_code, reason = "each test file uses its part of the bed")]

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

/// The key of an organisation.
pub fn api_key(organisation: &str) -> String {
    format!("{organisation}-key")
}

/// Stand-ins, the document that declares them, and the daemons that serve it.
pub struct Harness {
    pub engines: Vec<Engine>,
    pub engine_proxies: Vec<FaultProxy>,
    pub services: Vec<Service>,
    pub service_proxies: Vec<FaultProxy>,
    pub platform: Platform,
    pub platform_address: SocketAddr,
    pub platform_proxy: FaultProxy,
    pub document: Value,
    /// The telemetry section of the settings.
    pub telemetry: Value,
    pub daemons: Vec<Daemon>,
    pub cancel: CancellationToken,
    directory: PathBuf,
}

/// A daemon process.
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
    /// A bed with some engines and services behind fault proxies, and no daemons yet.
    pub async fn new(engines: &[EngineOptions], services: &[ServiceOptions]) -> Harness {
        let cancel = CancellationToken::new();
        let number = HARNESS_COUNT.fetch_add(1, Ordering::Relaxed);
        let directory =
            std::env::temp_dir().join(format!("agaterouted-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&directory).expect("a directory");
        let platform = Platform::new(PlatformOptions::default());
        let (bound, platform_address) = bind_free_port().await;
        tokio::spawn(platform.clone().run(bound, cancel.clone()));
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
            daemons: Vec::new(),
            cancel,
            directory,
        };
        for options in engines {
            let engine = Engine::new(options.clone());
            let (bound, address) = bind_free_port().await;
            tokio::spawn(engine.clone().run(bound, harness.cancel.clone()));
            let link = FaultProxy::start(address, harness.cancel.clone()).await;
            harness.engine_proxies.push(link.expect("a proxy"));
            harness.engines.push(engine);
        }
        for options in services {
            let service = Service::new(options.clone());
            let (bound, address) = bind_free_port().await;
            tokio::spawn(service.clone().run(bound, harness.cancel.clone()));
            let link = FaultProxy::start(address, harness.cancel.clone()).await;
            harness.service_proxies.push(link.expect("a proxy"));
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
        let plain = !self.services.is_empty();
        let granted = if plain { json!(["orders"]) } else { json!([]) };
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
            "services": if plain {
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

    /// Writes the document to a file.
    pub fn write_document(&self) -> PathBuf {
        let path = self.directory.join("document.yaml");
        std::fs::write(&path, self.document.to_string()).expect("the document is written");
        path
    }

    /// The document as the daemons see it.
    pub fn parsed(&self) -> Document {
        serde_json::from_value(self.document.clone()).expect("the document")
    }

    /// Starts a daemon that serves the document file, with the others as its peers.
    pub async fn start_daemon(&mut self, platform: bool) -> usize {
        let name = format!("entry-{}", self.daemons.len());
        let daemon = self.spawn_daemon(&name, platform).await;
        self.daemons.push(daemon);
        let at = self.daemons.len() - 1;
        self.wait_until_ready(at).await;
        at
    }

    /// Waits until a daemon is ready and linked with all others that run.
    pub async fn wait_until_ready(&self, at: usize) {
        let (name, ops) = (&self.daemons[at].name, &self.daemons[at].ops);
        eventually(&format!("{name} is ready"), async || {
            let status = get_json(ops, "/status").await;
            let peers = status["peers"]
                .as_array()
                .map_or(0, |all| all.iter().filter(|p| p["linked"] == true).count());
            status["ready"] == true && peers + 1 >= self.daemons.len()
        })
        .await;
    }

    /// Starts a daemon process and waits until it listens.
    pub async fn spawn_daemon(&self, name: &str, platform: bool) -> Daemon {
        let peers: Vec<&str> = self.daemons.iter().map(|d| d.peer.as_str()).collect();
        let address = self.platform_proxy.address.to_string();
        let mut settings = json!({
            "instance": name, "zone": "a", "listen": "127.0.0.1:0", "peer": "127.0.0.1:0",
            "ops": "127.0.0.1:0", "peers": peers, "workers": 2,
            "document": self.write_document(), "telemetry": self.telemetry,
        });
        if platform {
            settings["platform"] = json!({"table": address, "objects": address,
                "instances": address, "timeout_ms": 1_000, "poll_ms": 200});
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
        let found = eventually_some(&format!("{name} listens"), async || {
            let log = log.lock().expect("the log");
            log.iter().find(|l| l.contains("event=listening")).cloned()
        })
        .await;
        Daemon {
            child,
            name: name.to_owned(),
            listen: field(&found, "listen"),
            ops: field(&found, "ops"),
            peer: field(&found, "peer"),
            log,
        }
    }
}

impl Daemon {
    /// Sends a signal by its name.
    pub fn signal(&self, name: &str) {
        let status = Command::new("kill").arg(name).arg(self.child.id().to_string()).status();
        assert!(status.expect("kill runs").success(), "the signal is sent");
    }

    /// Kills the process at once.
    pub fn kill(&mut self) {
        self.child.kill().expect("the process is killed");
        self.child.wait().expect("the process ends");
    }
}

/// Reads a page as JSON; null where it can not be read.
pub async fn get_json(address: &str, path: &str) -> Value {
    let request = Request::get(format!("http://{address}{path}")).body(Full::default());
    let answer = client(false).request(request.expect("a request")).await;
    let Ok(response) = answer else { return Value::Null };
    let body = response
        .into_body()
        .collect()
        .await
        .map(http_body_util::Collected::to_bytes)
        .unwrap_or_default();
    serde_json::from_slice(&body).unwrap_or_default()
}

/// A whole answer.
#[derive(Debug)]
pub struct Response {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl Response {
    /// The body as JSON.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// The outcome that the answer declares.
    pub fn outcome(&self) -> &str {
        let value = self.headers.get("agateroute-outcome");
        value.and_then(|v| v.to_str().ok()).unwrap_or_default()
    }
}

/// An organisation that calls one instance.
#[derive(Clone)]
pub struct Caller {
    pub address: String,
    pub key: String,
    pub client: LoadClient,
}

impl Caller {
    /// An organisation that calls an instance over HTTP/1.1.
    pub fn new(address: &str, organisation: &str) -> Caller {
        Caller { address: address.to_owned(), key: api_key(organisation), client: client(false) }
    }

    /// Sends a request and reads the whole answer.
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
        let response = self.client.request(request).await.expect("an answer");
        let (head, body) = response.into_parts();
        let body = body.collect().await.expect("a whole body").to_bytes();
        Response { status: head.status, headers: head.headers, body }
    }

    /// Makes an order.
    pub async fn order(&self, key: &str, body: &str) -> Response {
        let headers = [("idempotency-key", key)];
        self.call("POST", "/v1/services/orders/orders", &headers, body.to_owned()).await
    }

    /// Starts a streamed generation.
    pub async fn generate(&self, prompt: &str, most: u64) -> Generation {
        let body = json!({"model": "prose", "stream": true, "max_tokens": most,
            "messages": [{"role": "user", "content": prompt}]});
        let request = Request::post(format!("http://{}/v1/chat/completions", self.address))
            .header(header::AUTHORIZATION, format!("Bearer {}", self.key))
            .body(Full::from(body.to_string()))
            .expect("a request");
        let response = self.client.request(request).await.expect("an answer");
        let status = response.status();
        let headers = response.headers().clone();
        Generation { status, headers, events: SseStream::new(response.into_body()), tokens: vec![] }
    }
}

/// A generation that is being read.
pub struct Generation {
    pub status: StatusCode,
    pub headers: HeaderMap,
    events: SseStream<hyper::body::Incoming>,
    pub tokens: Vec<String>,
}

/// How a stream ended.
#[derive(Debug, PartialEq, Eq)]
pub enum StreamEnd {
    Complete,
    Error(String),
    Cut,
}

impl Generation {
    /// Reads one token. Returns none at the end.
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

    /// Reads to the end.
    pub async fn finish(&mut self) -> StreamEnd {
        loop {
            if let Err(end) = self.next_token().await {
                return end;
            }
        }
    }

    /// Checks that the tokens are one generation's, each once and in order.
    pub fn check_tokens(&self) {
        let mut mark = None;
        for (i, token) in self.tokens.iter().enumerate() {
            let (generation, index) = agatestand::text::parse(token).expect("a token");
            assert_eq!(index, i as u64, "token {i} of {:?}", self.tokens);
            assert_eq!(*mark.get_or_insert(generation), generation, "a splice at token {i}");
        }
    }
}

/// Options of an engine that generates at a slow, steady pace.
pub fn steady(tokens: f64, step_ms: u64) -> EngineOptions {
    EngineOptions {
        median: tokens,
        deviation: 0.0,
        step: Duration::from_millis(step_ms),
        lag: Duration::from_millis(20),
        ..EngineOptions::default()
    }
}
