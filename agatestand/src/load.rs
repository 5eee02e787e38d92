//! Load generator: seeded open-loop arrivals, and a reader that checks every token.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::StreamExt;
use http::{Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use sse_stream::SseStream;
use tokio::sync::mpsc;

use crate::baseline::Balancer;
use crate::engine::LoadReport;
use crate::results::{FlowResult, Outcome, RequestResult, RunResult};
use crate::spec::{Flow, LoadSpec, Payload};
use crate::text;

/// Timeout for the head of an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(60);
const BYTES_PER_TOKEN: usize = 4;
/// A stream is late if more than one in this many of its gaps between tokens exceeds the target.
const SLOW_GAPS_ONE_IN: usize = 20;

/// HTTP client of the load generator.
pub type LoadClient = Client<HttpConnector, Full<Bytes>>;

type HttpResult = Result<Response<Incoming>, hyper_util::client::legacy::Error>;

/// Destination of the requests of a load run.
#[derive(Clone, Debug)]
pub enum Target {
    /// Addresses of agateroute instances, used in turn as by a load balancer.
    Balanced(Vec<String>),
    /// Backend servers without agateroute, for the baselines.
    Direct {
        /// Load balancer of generations.
        engines: Balancer,
        /// Load balancer of plain calls.
        services: Balancer,
    },
}

/// Creates a client with its own connection pool, for HTTP/2 if `http2` is set, otherwise HTTP/1.1.
pub fn client(http2: bool) -> LoadClient {
    client_for(http2)
}

/// Like [`client`], for another type of body.
pub fn client_for<B>(http2: bool) -> Client<HttpConnector, B>
where
    B: Body + Send,
    B::Data: Send,
{
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(Duration::from_secs(2)));
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .http2_only(http2)
        .build(connector)
}

/// Draws the arrival times of a flow (a Poisson process), in seconds after the start.
fn arrivals(flow: &Flow, seconds: f64, rng: &mut ChaCha8Rng) -> Vec<f64> {
    let end = if flow.until > 0.0 { flow.until } else { seconds };
    let mut at = flow.from;
    let mut times = Vec::new();
    if flow.rate <= 0.0 {
        return times;
    }
    loop {
        at += -(1.0 - rng.random::<f64>()).ln() / flow.rate;
        if at >= end {
            break;
        }
        times.push(at);
    }
    times
}

/// Runs a load and waits for all answers. `engines` are the engines whose preemptions are counted.
pub async fn run(spec: &LoadSpec, target: &Target, engines: &[String]) -> RunResult {
    let before = preemptions(engines).await;
    let started = Instant::now();
    let (sender, mut results) = mpsc::unbounded_channel();
    let mut schedule = Vec::new();
    for (i, flow) in spec.flows.iter().enumerate() {
        let seed = spec.seed.wrapping_mul(1_000_003).wrapping_add(i as u64);
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let times = arrivals(flow, spec.seconds, &mut rng);
        schedule.extend(times.into_iter().enumerate().map(|(n, at)| (at, i, n)));
    }
    schedule.sort_by(|a, b| a.0.total_cmp(&b.0));
    let client = client(false);
    for (schedule_index, (at, flow, n)) in schedule.into_iter().enumerate() {
        let due = started + Duration::from_secs_f64(at);
        tokio::time::sleep_until(due.into()).await;
        let request = RequestSender {
            flow: spec.flows[flow].clone(),
            flow_index: flow,
            number: n,
            schedule_index,
            seed: spec.seed,
            client: client.clone(),
            target: target.clone(),
            arrivals_end: started + Duration::from_secs_f64(spec.seconds),
        };
        let sender = sender.clone();
        tokio::spawn(async move {
            let _ = sender.send(request.send().await);
        });
    }
    drop(sender);
    let mut flows: Vec<FlowResult> =
        spec.flows.iter().map(|f| FlowResult::new(&f.organisation, &f.kind, &f.rank)).collect();
    while let Some(result) = results.recv().await {
        flows[result.flow].add(&result);
    }
    let after = preemptions(engines).await;
    let preemptions = before.zip(after).map(|(b, a)| a.saturating_sub(b));
    RunResult { flows, seconds: started.elapsed().as_secs_f64(), preemptions }
}

/// Returns the sum of the preemptions that engines report, if all of them answer.
async fn preemptions(engines: &[String]) -> Option<u64> {
    let client = client(false);
    let mut sum = 0;
    for engine in engines {
        let request = Request::get(format!("http://{engine}/load")).body(Full::default()).ok()?;
        let response = client.request(request).await.ok()?;
        let body = response.into_body().collect().await.ok()?.to_bytes();
        sum += serde_json::from_slice::<LoadReport>(&body).ok()?.preemptions;
    }
    Some(sum)
}

struct RequestSender {
    flow: Flow,
    flow_index: usize,
    number: usize,
    schedule_index: usize,
    seed: u64,
    client: LoadClient,
    target: Target,
    /// End of the arrivals. Tokens received before it are counted as early.
    arrivals_end: Instant,
}

impl RequestSender {
    async fn send(self) -> RequestResult {
        let arrived = Instant::now();
        let failed = |outcome| RequestResult {
            flow: self.flow_index,
            outcome,
            tokens: 0,
            early_tokens: 0,
            first_us: None,
            gaps_us: Vec::new(),
            stall_us: 0,
            violations: 0,
        };
        let server = match (&self.target, &self.flow.payload) {
            (Target::Balanced(_), _) => None,
            (Target::Direct { engines, .. }, Payload::Generation { .. }) => {
                Some(engines.pick().await)
            }
            (Target::Direct { services, .. }, Payload::Call { .. }) => Some(services.pick().await),
        };
        let answer = match (&self.target, &server) {
            (Target::Balanced(all), _) => self.send_balanced(all).await,
            (_, Some(server)) => self.send_to(&server.address).await,
            (_, None) => None,
        };
        let seen = match answer {
            Some(Ok(response)) if response.status() != StatusCode::OK => failed(refusal(&response)),
            Some(Ok(response)) => match self.flow.payload {
                Payload::Generation { .. } => self.read_stream(response, arrived).await,
                Payload::Call { .. } => self.read_answer(response, arrived).await,
            },
            Some(Err(_)) | None => failed(Outcome::Broken),
        };
        drop(server);
        seen
    }

    /// Sends the request to an instance. Instances that refuse the connection are skipped, as by a load
    /// balancer.
    async fn send_balanced(&self, all: &[String]) -> Option<HttpResult> {
        let first = if self.flow.pinned { 0 } else { self.schedule_index };
        for n in 0..all.len() {
            match self.send_to(&all[(first + n) % all.len()]).await {
                Some(Err(e)) if e.is_connect() => {}
                answer => return answer,
            }
        }
        None
    }

    async fn send_to(&self, address: &str) -> Option<HttpResult> {
        let request = self.request(address)?;
        tokio::time::timeout(ANSWER_TIMEOUT, self.client.request(request)).await.ok()
    }

    fn request(&self, address: &str) -> Option<Request<Full<Bytes>>> {
        let direct = matches!(self.target, Target::Direct { .. });
        let flow = &self.flow;
        let mut builder = Request::builder()
            .header(header::AUTHORIZATION, format!("Bearer {}", flow.key))
            .header("agateroute-kind", &flow.kind);
        match &flow.payload {
            Payload::Generation { model, prompt, max_tokens, mark } => {
                let mut body = json!({
                    "model": model,
                    "stream": true,
                    "messages": [{"role": "user", "content": self.prompt(*prompt, mark)}],
                });
                if *max_tokens > 0 {
                    body["max_tokens"] = json!(max_tokens);
                }
                builder = builder.header(header::CONTENT_TYPE, "application/json");
                let uri = format!("http://{address}/v1/chat/completions");
                builder.method("POST").uri(uri).body(Full::from(body.to_string())).ok()
            }
            Payload::Call { service, method, path, keyed } => {
                if *keyed {
                    let key = format!("{}-{}-{}", self.seed, self.flow_index, self.number);
                    builder = builder.header("idempotency-key", key);
                }
                let uri = match direct {
                    true => format!("http://{address}/{path}"),
                    false => format!("http://{address}/v1/services/{service}/{path}"),
                };
                builder.method(method.as_str()).uri(uri).body(Full::from("{}")).ok()
            }
        }
    }

    /// Returns a prompt of some tokens that is unique to this request.
    fn prompt(&self, tokens: usize, mark: &str) -> String {
        let head =
            format!("{} {} {} {mark} ", self.flow.organisation, self.flow_index, self.number);
        let filler = "wire ".repeat(tokens * BYTES_PER_TOKEN / 5);
        head + &filler
    }

    async fn read_answer(&self, response: Response<Incoming>, arrived: Instant) -> RequestResult {
        let body = response.into_body().collect().await;
        let passed = arrived.elapsed();
        let outcome = match body {
            Ok(_) if passed <= self.flow.targets.answer() => Outcome::OnTime,
            Ok(_) => Outcome::Late,
            Err(_) => Outcome::Broken,
        };
        RequestResult {
            flow: self.flow_index,
            outcome,
            tokens: 0,
            early_tokens: 0,
            first_us: Some(passed.as_micros() as u64),
            gaps_us: Vec::new(),
            stall_us: 0,
            violations: 0,
        }
    }

    async fn read_stream(&self, response: Response<Incoming>, arrived: Instant) -> RequestResult {
        let mut reader = StreamReader::new(arrived, self.arrivals_end);
        let mut events = SseStream::new(response.into_body());
        let mut outcome = Outcome::Broken;
        while let Some(Ok(event)) = events.next().await {
            let Some(data) = event.data else { continue };
            if data == "[DONE]" {
                outcome = Outcome::OnTime;
                break;
            }
            if reader.read_event(&data) {
                outcome = Outcome::Partial;
                break;
            }
        }
        let targets = &self.flow.targets;
        let between = targets.between().as_micros() as u64;
        let slow = reader.gaps_us.iter().filter(|g| **g > between).count();
        let stall_us = reader.gaps_us.iter().map(|g| g.saturating_sub(between)).sum();
        let first_late = reader.first_us.is_none_or(|f| f > targets.first().as_micros() as u64);
        if outcome == Outcome::OnTime
            && (first_late || slow * SLOW_GAPS_ONE_IN > reader.gaps_us.len())
        {
            outcome = Outcome::Late;
        }
        RequestResult {
            flow: self.flow_index,
            outcome,
            tokens: reader.tokens,
            early_tokens: reader.early_tokens,
            first_us: reader.first_us,
            gaps_us: reader.gaps_us,
            stall_us,
            violations: reader.violations,
        }
    }
}

/// Returns the outcome of an answer with another status than 200: the one that its header field
/// states, or one that follows from the status.
fn refusal(response: &Response<Incoming>) -> Outcome {
    let outcome = response.headers().get("agateroute-outcome").and_then(|v| v.to_str().ok());
    match outcome {
        Some("not_run") => Outcome::NotRun,
        Some("partial") => Outcome::Partial,
        Some("unknown") => Outcome::Unknown,
        _ if response.status() == StatusCode::SERVICE_UNAVAILABLE => Outcome::NotRun,
        _ => Outcome::Broken,
    }
}

/// Checks that each token of a stream arrives once, in order and from one generation, and records
/// the time to the first token and between tokens, in microseconds.
struct StreamReader {
    arrived: Instant,
    last: Instant,
    first_us: Option<u64>,
    gaps_us: Vec<u64>,
    tokens: u64,
    early_tokens: u64,
    arrivals_end: Instant,
    violations: u64,
    mark: Option<Arc<str>>,
}

impl StreamReader {
    fn new(arrived: Instant, arrivals_end: Instant) -> StreamReader {
        StreamReader {
            arrived,
            last: arrived,
            first_us: None,
            gaps_us: Vec::new(),
            tokens: 0,
            early_tokens: 0,
            arrivals_end,
            violations: 0,
            mark: None,
        }
    }

    /// Processes the data of an event. Returns whether it is an error event.
    fn read_event(&mut self, data: &str) -> bool {
        let Ok(chunk) = serde_json::from_str::<Value>(data) else {
            self.violations += 1;
            return false;
        };
        if chunk.get("error").is_some() {
            return true;
        }
        let content = chunk.pointer("/choices/0/delta/content").and_then(Value::as_str);
        if let Some(token) = content {
            self.record_token(token);
        }
        false
    }

    fn record_token(&mut self, token: &str) {
        let now = Instant::now();
        match self.first_us {
            None => self.first_us = Some((now - self.arrived).as_micros() as u64),
            Some(_) => self.gaps_us.push((now - self.last).as_micros() as u64),
        }
        self.last = now;
        match text::parse(token) {
            Some((mark, index)) => {
                let known = self.mark.get_or_insert_with(|| mark.into());
                if &**known != mark || index != self.tokens {
                    self.violations += 1;
                }
            }
            None => self.violations += 1,
        }
        self.tokens += 1;
        self.early_tokens += u64::from(now < self.arrivals_end);
    }
}
