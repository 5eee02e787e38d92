//! Simulated plain service. It counts executions by idempotency key, so that repeats are detected.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use http::{HeaderMap, Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::engine::LoadReport;
use crate::reply;
use crate::serve::{self, Body};

/// Configuration of a simulated plain service.
#[derive(Clone, Debug)]
pub struct ServiceOptions {
    /// Time to execute a call once a worker is free.
    pub time: Duration,
    /// Maximum number of concurrent calls. Further calls wait.
    pub workers: usize,
    /// Whether calls with a stale fencing number are refused.
    pub fenced: bool,
}

impl Default for ServiceOptions {
    fn default() -> ServiceOptions {
        ServiceOptions { time: Duration::from_millis(5), workers: 16, fenced: false }
    }
}

/// Execution count of a key, as served at `/executions`.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct Execution {
    /// Organisation and idempotency key, separated by a slash.
    pub key: String,
    /// Number of times that a call with this key was executed.
    pub count: u64,
}

/// Body of `POST /control`: a fault or a state change to inject.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(tag = "action", rename_all = "snake_case")]
pub enum Control {
    /// Execute the next calls but lose their answers.
    LoseAnswers {
        /// Number of calls whose answers are lost.
        count: u64,
    },
    /// Add time to each call.
    Slow {
        /// Time added to each call, in milliseconds.
        ms: u64,
    },
    /// Refuse new calls.
    Drain,
}

#[derive(Debug, Default)]
struct State {
    executions: Vec<Execution>,
    running: u32,
    lost_answers: u64,
    extra_time: Duration,
    draining: bool,
    fencing: u64,
}

/// Handle of a simulated plain service. Clones share its state.
#[derive(Clone, Debug)]
pub struct Service {
    options: Arc<ServiceOptions>,
    state: Arc<Mutex<State>>,
    workers: Arc<tokio::sync::Semaphore>,
}

impl Service {
    /// Creates an idle service.
    pub fn new(options: ServiceOptions) -> Service {
        let workers = Arc::new(tokio::sync::Semaphore::new(options.workers));
        Service { options: Arc::new(options), state: Arc::default(), workers }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Serves on a listener until cancelled.
    pub async fn run(self, listener: TcpListener, cancel: CancellationToken) {
        let handler = move |request| self.clone().handle(request);
        serve::serve(listener, cancel, handler).await;
    }

    /// Returns the execution counts, sorted by key.
    pub fn executions(&self) -> Vec<Execution> {
        self.lock().executions.clone()
    }

    /// Applies a fault or a state change.
    pub fn control(&self, control: &Control) {
        let mut state = self.lock();
        match control {
            Control::LoseAnswers { count } => state.lost_answers = *count,
            Control::Slow { ms } => state.extra_time = Duration::from_millis(*ms),
            Control::Drain => state.draining = true,
        }
    }

    async fn handle(self, request: Request<Incoming>) -> Response<Body> {
        let (head, body) = request.into_parts();
        let body = reply::read(body).await;
        match (&head.method, head.uri.path()) {
            (&Method::GET, "/load") => reply::json(StatusCode::OK, &self.report()),
            (&Method::GET, "/executions") => reply::json(StatusCode::OK, &self.executions()),
            (&Method::POST, "/control") => match serde_json::from_slice(&body) {
                Ok(control) => {
                    self.control(&control);
                    reply::empty(StatusCode::NO_CONTENT)
                }
                Err(e) => reply::json(StatusCode::BAD_REQUEST, &json!({"error": e.to_string()})),
            },
            // The call runs to its end even if its caller disconnects.
            _ => {
                let call = tokio::spawn(async move { self.call(&head, &body).await });
                call.await.unwrap_or_else(|_| reply::empty(StatusCode::INTERNAL_SERVER_ERROR))
            }
        }
    }

    fn report(&self) -> LoadReport {
        let state = self.lock();
        LoadReport {
            used: u64::from(state.running),
            running: state.running,
            draining: state.draining,
            ..LoadReport::default()
        }
    }

    async fn call(&self, head: &http::request::Parts, body: &[u8]) -> Response<Body> {
        if let Some(refusal) = self.refuse(&head.headers) {
            return refusal;
        }
        let time = self.options.time + self.lock().extra_time;
        self.lock().running += 1;
        let worker = self.workers.acquire().await;
        tokio::time::sleep(time).await;
        drop(worker);
        let (execution, lose) = self.execute(&head.headers);
        if lose {
            std::future::pending::<()>().await;
        }
        let answer = json!({
            "method": head.method.as_str(),
            "path": head.uri.path(),
            "query": head.uri.query(),
            "traceparent": header_text(&head.headers, "traceparent"),
            "organisation": header_text(&head.headers, "agateroute-organisation"),
            "execution": execution,
            "bytes": body.len(),
            "body": String::from_utf8_lossy(body),
        });
        reply::json(StatusCode::OK, &answer)
    }

    fn refuse(&self, headers: &HeaderMap) -> Option<Response<Body>> {
        let mut state = self.lock();
        if state.draining {
            return Some(reply::empty(StatusCode::SERVICE_UNAVAILABLE));
        }
        let number = header_text(headers, "fencing-token").parse::<u64>().ok()?;
        if self.options.fenced && number < state.fencing {
            let known = json!({"fencing": state.fencing});
            return Some(reply::json(StatusCode::PRECONDITION_FAILED, &known));
        }
        state.fencing = state.fencing.max(number);
        None
    }

    /// Counts an execution. Returns the execution count of its key and whether to lose the answer.
    fn execute(&self, headers: &HeaderMap) -> (u64, bool) {
        let mut state = self.lock();
        state.running -= 1;
        let lose = state.lost_answers > 0;
        state.lost_answers = state.lost_answers.saturating_sub(1);
        let key = header_text(headers, "idempotency-key");
        if key.is_empty() {
            return (1, lose);
        }
        let key = format!("{}/{key}", header_text(headers, "agateroute-organisation"));
        let at = match state.executions.binary_search_by(|e| e.key.cmp(&key)) {
            Ok(at) => at,
            Err(at) => {
                state.executions.insert(at, Execution { key, count: 0 });
                at
            }
        };
        state.executions[at].count += 1;
        (state.executions[at].count, lose)
    }
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    headers.get(name).and_then(|v| v.to_str().ok()).unwrap_or_default()
}
