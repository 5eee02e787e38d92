//! Instance of agateroute as a child process, on the simulated platform.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use agateroute_standin::{self as standin, ZoneBounds};
use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode, header};
use http_body_util::{BodyExt, Full};
use rustix::process::{Pid, Signal, kill_process};

use crate::load::{LoadClient, client};

/// Time after which a test stops waiting for a condition. Long enough for a busy machine.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval between two evaluations of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Numbers the instances, so that their names are unique in this process.
static INSTANCE_COUNTER: AtomicU32 = AtomicU32::new(0);
/// Numbers the requests, so that their ids are unique in this process.
static REQUEST_COUNTER: AtomicU32 = AtomicU32::new(0);

/// Deadline sent with requests by default, in milliseconds.
const DEFAULT_DEADLINE_MS: u64 = 20_000;

/// Parameters for the start of an instance.
#[derive(Clone, Debug)]
pub struct Launch {
    /// Path of the `agaterouted` program.
    pub program: PathBuf,
    /// Name of the instance.
    pub name: String,
    /// Address of the table service.
    pub store: SocketAddr,
    /// Time for which a withdrawn key may still be served, in milliseconds.
    pub revoke_ms: u64,
    /// Whether the settings say that the whole system starts for the first time.
    pub first_start: bool,
    /// Bounds for evacuated zones and cold servers, if the settings name them.
    pub zone_bounds: Option<ZoneBounds>,
}

impl Launch {
    /// Creates parameters with a unique name.
    pub fn new(program: impl AsRef<Path>, store: SocketAddr, revoke_ms: u64) -> Launch {
        let number = INSTANCE_COUNTER.fetch_add(1, Ordering::Relaxed);
        let name = format!("routed-{}-{number}", std::process::id());
        let program = program.as_ref().to_owned();
        Launch { program, name, store, revoke_ms, first_start: true, zone_bounds: None }
    }

    /// Returns the path of the settings file.
    pub fn settings_file(&self) -> PathBuf {
        std::env::temp_dir().join(format!("{}.toml", self.name))
    }

    /// Writes the settings file.
    pub fn write_settings(&self) -> std::io::Result<()> {
        let text = standin::settings(&self.name, self.store, self.revoke_ms, self.first_start);
        let text = match self.zone_bounds {
            Some(bounds) => standin::with_zone_bounds(&text, bounds),
            None => text,
        };
        std::fs::write(self.settings_file(), text)
    }
}

/// Running instance. Its process is killed when this is dropped.
#[derive(Debug)]
pub struct Instance {
    /// Parameters with which the instance was started.
    pub launch: Launch,
    /// Address at which callers reach the instance.
    pub listen: String,
    /// Address of the readiness endpoint.
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
    /// Starts an instance and waits until it has logged its addresses.
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

    /// Returns the status of the readiness endpoint, 502 if the instance is not reachable.
    pub async fn ready(&self) -> StatusCode {
        self.readiness_request(&client(false)).await
    }

    /// Like [`Instance::ready`], with the connections of a client, as a future that does not borrow the instance.
    pub fn readiness_request(
        &self,
        client: &LoadClient,
    ) -> impl Future<Output = StatusCode> + Send + use<> {
        let uri = format!("http://{}{}", self.ready, standin::READY_PATH);
        let answer = client.request(Request::get(uri).body(Full::default()).expect("a request"));
        async move {
            let answer = answer.await;
            answer.map_or(StatusCode::BAD_GATEWAY, |a| a.status())
        }
    }

    /// Creates a request with a unique id and a deadline.
    pub fn request(&self, method: &str, path: &str, key: &str) -> http::request::Builder {
        self.without_deadline(method, path, key)
            .header(standin::DEADLINE_HEADER, DEFAULT_DEADLINE_MS.to_string())
    }

    /// Creates a request with a unique id and without a deadline.
    pub fn without_deadline(&self, method: &str, path: &str, key: &str) -> http::request::Builder {
        let number = REQUEST_COUNTER.fetch_add(1, Ordering::Relaxed);
        let mut builder = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.listen))
            .header(header::HOST, standin::HOST)
            .header(standin::REQUEST_ID_HEADER, format!("request-{number}"));
        if !key.is_empty() {
            builder = builder.header(header::AUTHORIZATION, standin::authorization(key));
        }
        builder
    }

    /// Sends a request on a new connection and reads its answer.
    pub async fn send(&self, request: Request<Full<Bytes>>) -> Answer {
        Answer::read(client(false).request(request).await.expect("an answer")).await
    }

    /// Sends a request with a body on a new connection and reads its answer.
    pub async fn call(&self, method: &str, path: &str, key: &str, body: &str) -> Answer {
        let request = self.request(method, path, key).body(Full::new(body.to_owned().into()));
        self.send(request.expect("a request")).await
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        if let Some(pid) = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw) {
            let _ = kill_process(pid, signal);
        }
    }

    /// Requests a graceful stop.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Returns the peak of the resident memory of the process, in MiB.
    pub fn peak_memory_mib(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.unwrap_or_default();
        let peak = status.lines().find_map(|l| l.strip_prefix("VmHWM:"));
        let kib = peak.and_then(|p| p.split_whitespace().next()?.parse::<u64>().ok());
        kib.unwrap_or(u64::MAX) / 1_024
    }

    /// Returns whether the process exited successfully, or `None` while it runs.
    pub fn exit_success(&mut self) -> Option<bool> {
        self.child.try_wait().ok().flatten().map(|status| status.success())
    }

    /// Returns the newest log line that contains a text.
    pub fn find(&self, part: &str) -> Option<String> {
        let log = self.log.lock().expect("the log");
        log.iter().rev().find(|l| l.contains(part)).cloned()
    }

    /// Whether any log line contains a text.
    pub fn logged(&self, part: &str) -> bool {
        self.find(part).is_some()
    }

    /// Returns all log lines so far.
    pub fn lines(&self) -> Vec<String> {
        self.log.lock().expect("the log").clone()
    }
}

/// Answer to a request, with its body, which may be incomplete.
#[derive(Clone, Debug)]
pub struct Answer {
    /// HTTP status of the answer.
    pub status: StatusCode,
    /// Header fields of the answer.
    pub headers: HeaderMap,
    /// Bytes of the body that arrived.
    pub body: Bytes,
    /// Whether the body ended without an error.
    pub complete: bool,
}

impl Answer {
    /// Returns the value of a header field, or an empty string.
    pub fn field(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|v| v.to_str().ok()).unwrap_or_default()
    }

    /// Returns the ids of the events of a stream.
    pub fn event_ids(&self) -> Vec<u64> {
        let text = String::from_utf8_lossy(&self.body).into_owned();
        text.lines().filter_map(|l| l.strip_prefix("id: ")?.parse().ok()).collect()
    }

    /// Reads an answer to its end or to the first error.
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

/// Returns the value of a key in a log line, or an empty string.
pub fn field(line: &str, key: &str) -> String {
    let start = format!(" {key}=");
    let rest = line.split(&start).nth(1).unwrap_or_default();
    rest.split_whitespace().next().unwrap_or_default().to_owned()
}

/// Waits until a condition holds. Panics after 30 s; `what` describes the condition.
pub async fn eventually(what: &str, mut condition: impl AsyncFnMut() -> bool) {
    eventually_some(what, async || condition().await.then_some(())).await;
}

/// Waits until a poll returns a value. Panics after 30 s; `what` describes the condition.
pub async fn eventually_some<T>(what: &str, mut poll: impl AsyncFnMut() -> Option<T>) -> T {
    let started = Instant::now();
    loop {
        if let Some(value) = poll().await {
            return value;
        }
        assert!(started.elapsed() < CONDITION_TIMEOUT, "timed out waiting until {what}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
