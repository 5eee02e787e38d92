//! Measures the overhead of an instance: the same requests sent directly to an engine and through
//! the instance, one after the other in one run.

use std::sync::Arc;
use std::time::{Duration, Instant};

use agatestand::load::{LoadClient, client};
use agatestand::process::{self, Usage};
use bytes::Bytes;
use futures_util::StreamExt;
use hdrhistogram::Histogram;
use http::{Request, header};
use http_body_util::Full;
use serde_json::json;
use sse_stream::SseStream;
use tokio::sync::Mutex;
use tokio::task::JoinSet;

/// Upper bound of the histograms, in microseconds. Longer times are recorded as this one.
const MAX_TIME_US: u64 = 600_000_000;

/// Parameters of a benchmark.
#[derive(Clone, Debug)]
pub struct BenchPlan {
    /// Address of the engine.
    pub engine: String,
    /// Address of the instance.
    pub target: String,
    /// Process of the instance, whose processor time and memory are read.
    pub pid: Option<u32>,
    /// API key of an organisation.
    pub key: String,
    /// Name of the model.
    pub model: String,
    /// Number of concurrent streams.
    pub streams: usize,
    /// Number of requests per measurement.
    pub requests: usize,
    /// Maximum number of generated tokens per request.
    pub tokens: u64,
}

/// Results of one measurement, with histograms of the times to the first token and between tokens.
#[derive(Debug)]
struct Stats {
    first_us: Histogram<u64>,
    gaps_us: Histogram<u64>,
    tokens: u64,
    failed: u64,
    time: Duration,
}

impl Stats {
    fn new() -> Stats {
        let histogram = || Histogram::<u64>::new_with_max(MAX_TIME_US, 3);
        let histogram = || histogram().unwrap_or_else(|_| unreachable!("the bounds are valid"));
        Stats {
            first_us: histogram(),
            gaps_us: histogram(),
            tokens: 0,
            failed: 0,
            time: Duration::ZERO,
        }
    }
}

/// Runs the benchmark and prints its results. The direct measurement runs before and after the
/// relayed one, and the better of the two is the base of the overhead.
pub async fn run(plan: &BenchPlan) {
    let _warm = measure(plan, &plan.target, plan.streams * 2).await;
    let _warm = measure(plan, &plan.engine, plan.streams * 2).await;
    let idle = usage(plan.pid);
    let direct = measure(plan, &plan.engine, plan.requests).await;
    let before = usage(plan.pid);
    let relayed = measure(plan, &plan.target, plan.requests).await;
    let after = usage(plan.pid);
    let repeat = measure(plan, &plan.engine, plan.requests).await;
    print(plan, &direct, &relayed, &repeat);
    if plan.pid.is_some() {
        let used = after.cpu_seconds - before.cpu_seconds;
        let added = after.memory_bytes.saturating_sub(idle.memory_bytes) as f64 / 1024.0;
        println!("processor seconds of the instance: {used:.2}");
        println!("tokens a second a core: {:.0}", relayed.tokens as f64 / used.max(0.01));
        println!("requests a second a core: {:.0}", plan.requests as f64 / used.max(0.01));
        println!("memory added, KB a stream: {:.1}", added / plan.streams as f64);
    }
}

fn usage(pid: Option<u32>) -> Usage {
    pid.map(process::usage).unwrap_or_default()
}

async fn measure(plan: &BenchPlan, address: &str, requests: usize) -> Stats {
    let stats = Arc::new(Mutex::new(Stats::new()));
    let started = Instant::now();
    let mut tasks = JoinSet::new();
    for stream in 0..plan.streams {
        let count = requests / plan.streams + usize::from(stream < requests % plan.streams);
        let (plan, stats) = (plan.clone(), stats.clone());
        let address = address.to_owned();
        let client = client(false);
        tasks.spawn(async move {
            for n in 0..count {
                send_request(&plan, &client, &address, stream * 1_000_000 + n, &stats).await;
            }
        });
    }
    tasks.join_all().await;
    let mut stats = Arc::into_inner(stats).map_or_else(Stats::new, Mutex::into_inner);
    stats.time = started.elapsed();
    stats
}

async fn send_request(
    plan: &BenchPlan,
    client: &LoadClient,
    address: &str,
    number: usize,
    stats: &Mutex<Stats>,
) {
    let body = json!({
        "model": plan.model,
        "stream": true,
        "max_tokens": plan.tokens,
        "messages": [{"role": "user", "content": format!("measure {number}")}],
    });
    let request = Request::post(format!("http://{address}/v1/chat/completions"))
        .header(header::AUTHORIZATION, format!("Bearer {}", plan.key))
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::<Bytes>::from(body.to_string()));
    let Ok(request) = request else { return };
    let started = Instant::now();
    let answer = client.request(request).await;
    let mut last = None;
    let (mut first, mut gaps, mut done) = (None, Vec::new(), false);
    if let Ok(response) = answer {
        let mut events = SseStream::new(response.into_body());
        while let Some(Ok(event)) = events.next().await {
            let now = Instant::now();
            match (event.data.as_deref(), last) {
                (Some("[DONE]"), _) => done = true,
                (_, None) => first = Some(now - started),
                (_, Some(last)) => gaps.push(now - last),
            }
            last = Some(now);
        }
    }
    let mut stats = stats.lock().await;
    stats.failed += u64::from(!done);
    stats.tokens += gaps.len() as u64;
    if let Some(first) = first {
        stats.first_us.saturating_record(first.as_micros() as u64);
    }
    for gap in gaps {
        stats.gaps_us.saturating_record(gap.as_micros() as u64);
    }
}

fn print(plan: &BenchPlan, direct: &Stats, relayed: &Stats, repeat: &Stats) {
    println!(
        "{} requests of up to {} tokens on each way, {} at once",
        plan.requests, plan.tokens, plan.streams
    );
    println!("| way | first p50 ms | first p99 ms | gap p50 ms | gap p99 ms | tokens/s | failed |");
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for (name, stats) in [("straight", direct), ("through", relayed), ("straight again", repeat)] {
        let ms = |h: &Histogram<u64>, q| h.value_at_quantile(q) as f64 / 1000.0;
        println!(
            "| {name} | {:.2} | {:.2} | {:.2} | {:.2} | {:.0} | {} |",
            ms(&stats.first_us, 0.5),
            ms(&stats.first_us, 0.99),
            ms(&stats.gaps_us, 0.5),
            ms(&stats.gaps_us, 0.99),
            stats.tokens as f64 / stats.time.as_secs_f64(),
            stats.failed,
        );
    }
    let added = |q| {
        let base = direct.first_us.value_at_quantile(q).min(repeat.first_us.value_at_quantile(q));
        (relayed.first_us.value_at_quantile(q) as f64 - base as f64) / 1000.0
    };
    let gap = relayed.gaps_us.value_at_quantile(0.99) as f64
        - direct.gaps_us.value_at_quantile(0.99).min(repeat.gaps_us.value_at_quantile(0.99)) as f64;
    println!("added to the first token: p50 {:.2} ms, p99 {:.2} ms", added(0.5), added(0.99));
    println!("added between tokens: p99 {:.2} ms", gap / 1000.0);
}
