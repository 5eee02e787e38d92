//! An instance of agateroute on the stand-in of the platform, as a process of its own.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use agateroute_standin as standin;
use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode, header};
use http_body_util::{BodyExt, Full};
use rustix::process::{Pid, Signal, kill_process};

use crate::load::client;

/// The time after which a condition that has to come about counts as missing. Long enough for a machine
/// that is busy with other things.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(30);
/// The pause between two looks at a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

static INSTANCES: AtomicU32 = AtomicU32::new(0);
static REQUESTS: AtomicU32 = AtomicU32::new(0);

/// How long a caller waits where nothing else is said, in milliseconds.
const DEFAULT_DEADLINE_MS: u64 = 20_000;

/// What an instance is started with.
#[derive(Clone, Debug)]
pub struct Launch {
    /// The program.
    pub program: PathBuf,
    /// The name of the instance.
    pub name: String,
    /// The address of the table service.
    pub store: SocketAddr,
    /// How long a withdrawn key may be served, in milliseconds.
    pub revoke_ms: u64,
}

impl Launch {
    /// An instance with a name that no other one has.
    pub fn new(program: impl AsRef<Path>, store: SocketAddr, revoke_ms: u64) -> Launch {
        let number = INSTANCES.fetch_add(1, Ordering::Relaxed);
        let name = format!("routed-{}-{number}", std::process::id());
        Launch { program: program.as_ref().to_owned(), name, store, revoke_ms }
    }

    /// The settings file of the instance.
    pub fn settings_file(&self) -> PathBuf {
        std::env::temp_dir().join(format!("{}.toml", self.name))
    }

    /// Writes the settings file.
    pub fn write_settings(&self) -> std::io::Result<()> {
        std::fs::write(
            self.settings_file(),
            standin::settings(&self.name, self.store, self.revoke_ms),
        )
    }
}

/// A running instance. It is killed when this is dropped.
#[derive(Debug)]
pub struct Instance {
    /// What it was started with.
    pub launch: Launch,
    /// Where it listens for callers.
    pub listen: String,
    /// Where it says whether it is ready.
    pub ready: String,
    child: Child,
    log: Arc<Mutex<Vec<String>>>,
}

impl Drop for Instance {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(self.launch.settings_file());
    }
}

impl Instance {
    /// Starts an instance and waits until it listens.
    pub async fn start(launch: Launch) -> Result<Instance, String> {
        let name = launch.name.clone();
        launch.write_settings().map_err(|e| format!("settings of {name}: {e}"))?;
        let mut child = Command::new(&launch.program)
            .arg("--platform")
            .env(standin::SETTINGS_VARIABLE, launch.settings_file())
            .stdout(Stdio::piped())
            .spawn()
            .map_err(|e| format!("start of {name}: {e}"))?;
        let log: Arc<Mutex<Vec<String>>> = Arc::default();
        let lines = log.clone();
        if let Some(stdout) = child.stdout.take() {
            std::thread::spawn(move || {
                for line in BufReader::new(stdout).lines().map_while(Result::ok) {
                    lines.lock().expect("the log").push(line);
                }
            });
        }
        let mut instance =
            Instance { launch, listen: String::new(), ready: String::new(), child, log };
        let started =
            eventually_some(&format!("{name} listens"), async || instance.find("event=started"))
                .await;
        instance.listen = field(&started, "listen");
        instance.ready = field(&started, "ready");
        Ok(instance)
    }

    /// Whether it says that it is ready.
    pub async fn ready(&self) -> StatusCode {
        self.readiness_request().await
    }

    /// The same question, which need not wait for its turn here.
    pub fn readiness_request(&self) -> impl Future<Output = StatusCode> + Send + use<> {
        let uri = format!("http://{}{}", self.ready, standin::READY_PATH);
        let request = Request::get(uri).body(Full::default()).expect("a request");
        async move {
            let answer = client(false).request(request).await;
            answer.map_or(StatusCode::BAD_GATEWAY, |a| a.status())
        }
    }

    /// A request with an id of its own, whose caller waits for a while.
    pub fn request(&self, method: &str, path: &str, key: &str) -> http::request::Builder {
        self.without_deadline(method, path, key)
            .header(standin::DEADLINE, DEFAULT_DEADLINE_MS.to_string())
    }

    /// A request whose caller says nothing of how long it waits.
    pub fn without_deadline(&self, method: &str, path: &str, key: &str) -> http::request::Builder {
        let number = REQUESTS.fetch_add(1, Ordering::Relaxed);
        let mut builder = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.listen))
            .header(header::HOST, standin::HOST)
            .header(standin::REQUEST_ID, format!("request-{number}"));
        if !key.is_empty() {
            builder = builder.header(header::AUTHORIZATION, standin::authorization(key));
        }
        builder
    }

    /// Sends a request on a connection of its own and reads its answer.
    pub async fn send(&self, request: Request<Full<Bytes>>) -> Answer {
        Answer::read(client(false).request(request).await.expect("an answer")).await
    }

    /// Sends a request with a body and reads its answer.
    pub async fn call(&self, method: &str, path: &str, key: &str, body: &str) -> Answer {
        let request = self.request(method, path, key).body(Full::new(body.to_owned().into()));
        self.send(request.expect("a request")).await
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
        if let Some(pid) = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw) {
            let _ = kill_process(pid, signal);
        }
    }

    /// Asks it to stop.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Whether the process has ended, and whether well.
    pub fn exit_success(&mut self) -> Option<bool> {
        self.child.try_wait().ok().flatten().map(|status| status.success())
    }

    /// The newest log line with a part.
    pub fn find(&self, part: &str) -> Option<String> {
        let log = self.log.lock().expect("the log");
        log.iter().rev().find(|l| l.contains(part)).cloned()
    }

    /// Whether a log line has a part.
    pub fn logged(&self, part: &str) -> bool {
        self.find(part).is_some()
    }

    /// All log lines so far.
    pub fn lines(&self) -> Vec<String> {
        self.log.lock().expect("the log").clone()
    }
}

/// A whole answer, or as much of it as came.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The status.
    pub status: StatusCode,
    /// The header fields.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// Whether the body came whole.
    pub complete: bool,
}

impl Answer {
    /// The text of a header field, empty where there is none.
    pub fn field(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|v| v.to_str().ok()).unwrap_or_default()
    }

    /// The numbers of the events in a stream.
    pub fn event_ids(&self) -> Vec<u64> {
        let text = String::from_utf8_lossy(&self.body).into_owned();
        text.lines().filter_map(|l| l.strip_prefix("id: ")?.parse().ok()).collect()
    }

    /// Reads an answer to its end, however it ends.
    pub async fn read(response: http::Response<hyper::body::Incoming>) -> Answer {
        let (head, mut body) = response.into_parts();
        let mut collected = Vec::new();
        let complete = loop {
            match body.frame().await {
                Some(Ok(frame)) => collected.extend_from_slice(frame.data_ref().map_or(&[], |d| d)),
                Some(Err(_)) => break false,
                None => break true,
            }
        };
        Answer { status: head.status, headers: head.headers, body: collected.into(), complete }
    }
}

/// The value of a key in a log line.
pub fn field(line: &str, key: &str) -> String {
    let start = format!(" {key}=");
    let rest = line.split(&start).nth(1).unwrap_or_default();
    rest.split_whitespace().next().unwrap_or_default().to_owned()
}

/// Waits until a condition holds.
pub async fn eventually(what: &str, mut condition: impl AsyncFnMut() -> bool) {
    eventually_some(what, async || condition().await.then_some(())).await;
}

/// Waits until there is a value.
pub async fn eventually_some<T>(what: &str, mut poll: impl AsyncFnMut() -> Option<T>) -> T {
    let started = Instant::now();
    loop {
        if let Some(value) = poll().await {
            return value;
        }
        assert!(started.elapsed() < CONDITION_TIMEOUT, "it never came about that {what}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
