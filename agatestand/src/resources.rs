//! Measures the resources that running instances use: processor time, memory, control traffic, and
//! requests to the platform. One table row per configuration shows how they grow.

use std::time::Duration;

use agateroute_storage::Client;
use agateroute_storage::http::request;
use agatestand::platform::Counts;
use agatestand::process::usage;

/// Parameters of a measurement.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Label of the table row.
    pub label: String,
    /// Processes of the instances.
    pub pids: Vec<u32>,
    /// Ops addresses of the instances.
    pub ops: Vec<String>,
    /// Address of the platform.
    pub platform: Option<String>,
    /// Duration of the measurement.
    pub duration: Duration,
}

/// Counters of all instances and the platform at one point in time.
#[derive(Clone, Copy, Debug, Default)]
struct Sums {
    cpu_seconds: f64,
    memory_bytes: u64,
    max_memory: u64,
    sent_bytes: f64,
    messages: f64,
    counts: Counts,
}

/// Measures the resources for [`Plan::duration`] and prints one table row.
pub async fn run(plan: &Plan) {
    let before = sample(plan).await;
    tokio::time::sleep(plan.duration).await;
    let after = sample(plan).await;
    let each = 1.0 / plan.pids.len().max(1) as f64;
    let time = plan.duration.as_secs_f64();
    let rate = |a: f64, b: f64| (a - b) / time;
    let (reads, writes) = (after.counts.reads, after.counts.writes);
    println!(
        "| {} | {} | {:.2} | {:.1} | {:.1} | {:.2} | {:.1} | {:.1} | {:.1} |",
        plan.label,
        plan.pids.len(),
        100.0 * each * rate(after.cpu_seconds, before.cpu_seconds),
        each * after.memory_bytes as f64 / 1e6,
        after.max_memory as f64 / 1e6,
        each * rate(after.sent_bytes, before.sent_bytes) / 1e3,
        each * rate(after.messages, before.messages),
        rate(reads as f64, before.counts.reads as f64),
        rate(writes as f64, before.counts.writes as f64),
    );
}

/// Prints the header of the table whose rows [`run`] prints.
pub fn print_header() {
    println!(
        "| point | instances | core % each | MB each | MB largest | control KB/s sent each | \
         messages/s sent each | platform reads/s all | platform writes/s all |"
    );
    println!("|{}", " --- |".repeat(9));
}

async fn sample(plan: &Plan) -> Sums {
    let mut sums = Sums::default();
    let client = Client::new(Duration::from_secs(5));
    for pid in &plan.pids {
        let used = usage(*pid);
        sums.cpu_seconds += used.cpu_seconds;
        sums.memory_bytes += used.memory_bytes;
        sums.max_memory = sums.max_memory.max(used.memory_bytes);
    }
    for ops in &plan.ops {
        let answer = client.call("metrics", ops, request("GET", ops, "/metrics", "")).await;
        let Ok((_, body)) = answer else { continue };
        let text = String::from_utf8_lossy(&body);
        sums.sent_bytes += metric(&text, "agateroute_control_bytes_total");
        sums.messages += metric(&text, "agateroute_control_messages_total");
    }
    if let Some(platform) = &plan.platform {
        let answer = client.call("counts", platform, request("GET", platform, "/counts", "")).await;
        if let Ok((_, body)) = answer {
            sums.counts = serde_json::from_slice(&body).unwrap_or_default();
        }
    }
    sums
}

/// Returns the sum of a metric over its labels.
fn metric(page: &str, name: &str) -> f64 {
    let lines = page.lines().filter(|l| l.starts_with(name));
    lines.filter_map(|l| l.rsplit(' ').next()?.parse::<f64>().ok()).sum()
}
