//! Simulated platform: table service, object store, weight store and instance list, with rate
//! limits, outages, added latency, and answers that are lost after the write took effect.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use agateroute_storage::instances::{TargetGroup, TargetLabels};
use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value, json};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::reply;
use crate::serve::{self, Body};

/// Configuration of a simulated platform.
#[derive(Clone, Debug)]
pub struct PlatformOptions {
    /// Latency of each answer of the table service, object store and instance list.
    pub time: Duration,
    /// Maximum number of writes per second.
    pub writes: u32,
    /// Maximum number of reads per second.
    pub reads: u32,
    /// Delay of changes to the instance list.
    pub list_lag: Duration,
}

impl Default for PlatformOptions {
    fn default() -> PlatformOptions {
        PlatformOptions {
            time: Duration::from_millis(2),
            writes: 400,
            reads: 2_000,
            list_lag: Duration::from_millis(500),
        }
    }
}

/// Body of `POST /control`: a fault or a state change to inject.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(tag = "action", rename_all = "snake_case")]
pub enum Control {
    /// Leave all reads and writes unanswered.
    Outage {
        /// Whether the outage starts or ends.
        on: bool,
    },
    /// Add latency to each answer.
    Slow {
        /// Latency added to each answer, in milliseconds.
        ms: u64,
    },
    /// Apply the next transactions but lose their answers.
    LoseAnswers {
        /// Number of transactions whose answers are lost.
        count: u64,
    },
    /// Set the entry of an instance in the instance list.
    Instance {
        /// Name of the instance.
        name: String,
        /// Address of the instance.
        address: String,
        /// `entry` or `backend`.
        role: String,
        /// `live`, `leaving`, or `gone` to remove it.
        state: String,
    },
}

/// Request counters, served as JSON at `/counts`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
pub struct Counts {
    /// Write requests within the rate limit: transactions, whether they conflict or not, and object
    /// uploads.
    pub writes: u64,
    /// Rows written by committed transactions.
    pub rows: u64,
    /// Reads of rows and objects within the rate limit.
    pub reads: u64,
    /// Bytes of the objects read.
    pub object_bytes: u64,
    /// Requests refused by the rate limit.
    pub throttled: u64,
}

#[derive(Debug, Default)]
struct State {
    rows: Vec<((String, String), Map<String, Value>)>,
    objects: Vec<(String, Bytes)>,
    instances: Vec<TargetGroup>,
    past_lists: Vec<(Option<Instant>, Vec<TargetGroup>)>,
    outage: bool,
    extra_time: Duration,
    lost_answers: u64,
    counts: Counts,
    write_tokens: f64,
    read_tokens: f64,
    refilled_at: Option<Instant>,
}

/// Handle of a simulated platform. Clones share its state.
#[derive(Clone, Debug)]
pub struct Platform {
    options: Arc<PlatformOptions>,
    state: Arc<Mutex<State>>,
}

impl Platform {
    /// Creates an empty platform.
    pub fn new(options: PlatformOptions) -> Platform {
        Platform { options: Arc::new(options), state: Arc::default() }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Serves on a listener until cancelled.
    pub async fn run(self, listener: TcpListener, cancel: CancellationToken) {
        let handler = move |request| self.clone().handle(request);
        serve::serve(listener, cancel, handler).await;
    }

    /// Returns the request counters.
    pub fn counts(&self) -> Counts {
        self.lock().counts
    }

    /// Returns the number of rows in partitions whose names start with a prefix.
    pub fn rows(&self, start: &str) -> usize {
        self.lock().rows.iter().filter(|((p, _), _)| p.starts_with(start)).count()
    }

    /// Applies a fault or a state change.
    pub fn control(&self, control: Control) {
        let mut state = self.lock();
        match control {
            Control::Outage { on } => state.outage = on,
            Control::Slow { ms } => state.extra_time = Duration::from_millis(ms),
            Control::LoseAnswers { count } => state.lost_answers = count,
            Control::Instance { name, address, role, state: condition } => {
                state.set_instance(name, address, role, condition);
            }
        }
    }

    async fn handle(self, request: Request<Incoming>) -> Response<Body> {
        let (head, body) = request.into_parts();
        let path = head.uri.path().to_owned();
        let body = reply::read(body).await;
        if path == "/control" {
            return self.handle_control(&body);
        }
        if path == "/counts" {
            return reply::json(StatusCode::OK, &self.counts());
        }
        let (outage, extra_time) = {
            let state = self.lock();
            (state.outage, state.extra_time)
        };
        if outage {
            std::future::pending::<()>().await;
        }
        tokio::time::sleep(self.options.time + extra_time).await;
        match (&head.method, path.as_str()) {
            (&Method::POST, "/") => {
                let target = head.headers.get("x-amz-target").and_then(|t| t.to_str().ok());
                let action = target.and_then(|t| t.rsplit('.').next()).unwrap_or_default();
                self.table(action, &body).await
            }
            (&Method::GET, "/instances") => {
                reply::json(StatusCode::OK, &self.lock().delayed_list(self.options.list_lag))
            }
            (&Method::PUT, _) => self.put_object(&path, body),
            (&Method::GET, _) => self.get_object(&path),
            _ => reply::empty(StatusCode::NOT_FOUND),
        }
    }

    fn handle_control(&self, body: &[u8]) -> Response<Body> {
        match serde_json::from_slice(body) {
            Ok(control) => {
                self.control(control);
                reply::empty(StatusCode::NO_CONTENT)
            }
            Err(e) => reply::json(StatusCode::BAD_REQUEST, &json!({"error": e.to_string()})),
        }
    }

    async fn table(&self, action: &str, body: &[u8]) -> Response<Body> {
        let body: Value = serde_json::from_slice(body).unwrap_or_default();
        if !self.lock().take_token(action == "TransactWriteItems", &self.options) {
            return throttled();
        }
        match action {
            "TransactWriteItems" => self.transact(&body).await,
            "GetItem" => {
                let item = self.lock().find(&body["Key"]).cloned();
                let answer = item.map_or_else(|| json!({}), |i| json!({"Item": i}));
                reply::json(StatusCode::OK, &answer)
            }
            "Query" => reply::json(StatusCode::OK, &self.lock().query(&body)),
            _ => error("ValidationException", json!({})),
        }
    }

    async fn transact(&self, body: &Value) -> Response<Body> {
        let (answer, lost) = {
            let mut state = self.lock();
            let answer = state.transact(body);
            let lost = state.lost_answers > 0;
            state.lost_answers = state.lost_answers.saturating_sub(1);
            (answer, lost)
        };
        if lost {
            std::future::pending::<()>().await;
        }
        match answer {
            Ok(()) => reply::json(StatusCode::OK, &json!({})),
            Err(reasons) => {
                error("TransactionCanceledException", json!({"CancellationReasons": reasons}))
            }
        }
    }

    fn put_object(&self, path: &str, body: Bytes) -> Response<Body> {
        let mut state = self.lock();
        if !state.take_token(true, &self.options) {
            return reply::empty(StatusCode::SERVICE_UNAVAILABLE);
        }
        match state.objects.binary_search_by(|(k, _)| k.as_str().cmp(path)) {
            Ok(at) => state.objects[at].1 = body,
            Err(at) => state.objects.insert(at, (path.to_owned(), body)),
        }
        reply::empty(StatusCode::OK)
    }

    fn get_object(&self, path: &str) -> Response<Body> {
        let mut state = self.lock();
        if !state.take_token(false, &self.options) {
            return reply::empty(StatusCode::SERVICE_UNAVAILABLE);
        }
        match state.objects.binary_search_by(|(k, _)| k.as_str().cmp(path)) {
            Ok(at) => {
                let body = state.objects[at].1.clone();
                state.counts.object_bytes += body.len() as u64;
                reply::bytes(StatusCode::OK, body)
            }
            Err(_) => reply::empty(StatusCode::NOT_FOUND),
        }
    }
}

fn throttled() -> Response<Body> {
    error("ThrottlingException", json!({}))
}

fn error(kind: &str, mut body: Value) -> Response<Body> {
    body["__type"] = json!(format!("com.amazonaws.dynamodb.v20120810#{kind}"));
    reply::json(StatusCode::BAD_REQUEST, &body)
}

fn string_attribute<'a>(item: &'a Value, key: &str) -> &'a str {
    item.get(key).and_then(|v| v.get("S")).and_then(Value::as_str).unwrap_or_default()
}

fn tag_of(row: &Map<String, Value>) -> &str {
    row.get("tag").and_then(|t| t["S"].as_str()).unwrap_or_default()
}

fn row_key(item: &Value) -> (String, String) {
    (string_attribute(item, "pk").to_owned(), string_attribute(item, "sk").to_owned())
}

impl State {
    /// Takes a token from the bucket of reads or writes. Returns whether there was one.
    fn take_token(&mut self, write: bool, options: &PlatformOptions) -> bool {
        let now = Instant::now();
        let passed = self.refilled_at.map_or(1.0, |f| (now - f).as_secs_f64());
        self.refilled_at = Some(now);
        let (writes, reads) = (f64::from(options.writes), f64::from(options.reads));
        self.write_tokens = (self.write_tokens + passed * writes).min(writes);
        self.read_tokens = (self.read_tokens + passed * reads).min(reads);
        let tokens = if write { &mut self.write_tokens } else { &mut self.read_tokens };
        if *tokens < 1.0 {
            self.counts.throttled += 1;
            return false;
        }
        *tokens -= 1.0;
        if write {
            self.counts.writes += 1;
        } else {
            self.counts.reads += 1;
        }
        true
    }

    fn find(&self, key: &Value) -> Option<&Map<String, Value>> {
        let key = row_key(key);
        let at = self.rows.binary_search_by(|(k, _)| k.cmp(&key)).ok()?;
        Some(&self.rows[at].1)
    }

    fn query(&self, body: &Value) -> Value {
        let values = &body["ExpressionAttributeValues"];
        let (partition, after) = (string_attribute(values, ":pk"), string_attribute(values, ":sk"));
        let limit = body["Limit"].as_u64().unwrap_or(100) as usize;
        let found = self.rows.iter().filter(|((p, s), _)| p == partition && s.as_str() > after);
        let items: Vec<&Map<String, Value>> = found.take(limit).map(|(_, item)| item).collect();
        json!({"Items": items})
    }

    fn transact(&mut self, body: &Value) -> Result<(), Vec<Value>> {
        let empty = Vec::new();
        let items = body["TransactItems"].as_array().unwrap_or(&empty);
        let reasons: Vec<Value> = items.iter().map(|i| self.check_condition(&i["Put"])).collect();
        if reasons.iter().any(|r| r["Code"] != "None") {
            return Err(reasons);
        }
        self.counts.rows += items.len() as u64;
        for item in items {
            let row = &item["Put"]["Item"];
            let key = row_key(row);
            let row = row.as_object().cloned().unwrap_or_default();
            match self.rows.binary_search_by(|(k, _)| k.cmp(&key)) {
                Ok(at) => self.rows[at].1 = row,
                Err(at) => self.rows.insert(at, (key, row)),
            }
        }
        Ok(())
    }

    fn check_condition(&self, put: &Value) -> Value {
        let expression = put["ConditionExpression"].as_str().unwrap_or_default();
        let found = self.find(&put["Item"]);
        let tag = string_attribute(&put["ExpressionAttributeValues"], ":tag");
        let has_tag = found.is_some_and(|f| f.get("tag").is_some_and(|t| t["S"] == tag));
        let holds = match expression {
            "" => true,
            "attribute_not_exists(pk)" => found.is_none(),
            "#tag = :tag" => has_tag,
            "attribute_not_exists(pk) OR #tag = :tag" => found.is_none() || has_tag,
            "attribute_not_exists(pk) OR #tag < :tag" => found.is_none_or(|f| tag_of(f) < tag),
            _ => false,
        };
        match (holds, found) {
            (true, _) => json!({"Code": "None"}),
            (false, Some(item)) => json!({"Code": "ConditionalCheckFailed", "Item": item}),
            (false, None) => json!({"Code": "ConditionalCheckFailed"}),
        }
    }

    fn set_instance(&mut self, name: String, address: String, role: String, condition: String) {
        self.past_lists.push((Some(Instant::now()), self.instances.clone()));
        self.instances.retain(|g| g.labels.instance != name);
        if condition != "gone" {
            let labels = TargetLabels { instance: name, role, state: condition };
            self.instances.push(TargetGroup { targets: vec![address], labels });
        }
    }

    /// Returns the instance list as it was `lag` ago.
    fn delayed_list(&mut self, lag: Duration) -> Vec<TargetGroup> {
        let now = Instant::now();
        self.past_lists.retain(|(until, _)| until.is_some_and(|u| now - u < lag));
        self.past_lists.first().map_or_else(|| self.instances.clone(), |(_, list)| list.clone())
    }
}
