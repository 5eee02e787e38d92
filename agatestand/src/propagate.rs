//! Measures the time from the acceptance of a document until it is in force on all instances.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use agateroute_config::Document;
use agateroute_storage::Client;
use agateroute_storage::config::{Applied, ConfigStore};
use agateroute_storage::http::request;
use agateroute_storage::objects::{Objects, S3};
use agateroute_storage::table::{DYNAMO, Table};
use agatestand::platform::Control;
use hdrhistogram::Histogram;
use serde_json::Value;

/// Interval at which the status of the instances is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(4);
/// Time after which a change counts as lost.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(30);
/// Minimum time from the acceptance of a change to the end of its outage.
const MIN_OUTAGE_TIME: Duration = Duration::from_secs(1);
/// Timeout of each request to the platform.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(3);

/// Parameters of the measurement.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Document to change.
    pub document: Document,
    /// Address of the platform.
    pub platform: String,
    /// Ops addresses of the instances.
    pub ops: Vec<String>,
    /// Number of changes.
    pub changes: u64,
    /// Number of changes per outage. An outage of the platform starts once one instance has the change.
    pub outage_each: Option<u64>,
}

/// Applies changes one after the other and prints the quantiles of their times.
pub async fn run(plan: &Plan) -> Result<(), String> {
    let client = Client::new(PLATFORM_TIMEOUT);
    let address = plan.platform.clone();
    let table = Table { adapter: DYNAMO, address: address.clone(), client: client.clone() };
    let store = ConfigStore { table, objects: Objects { adapter: S3, address, client } };
    let head = store.head().await.map_err(|e| e.to_string())?;
    let mut base = head.map_or(0, |h| h.version);
    let mut normal_times = Histogram::<u64>::new_with_max(60_000, 3).map_err(|e| e.to_string())?;
    let mut outage_times = normal_times.clone();
    let mut document = plan.document.clone();
    for n in 1..=plan.changes {
        let count = document.organisations.len().max(1) as u64;
        if let Some(organisation) = document.organisations.get_mut((n % count) as usize) {
            organisation.share = 1 + (organisation.share % 9);
        }
        let at = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs();
        let apply = format!("propagate-{base}-{n}");
        let applied = store.apply(&document, base, &apply, "propagate", at).await;
        let Ok(Applied::Accepted(version)) = applied else { return Err(format!("{applied:?}")) };
        base = version.version;
        let accepted = Instant::now();
        let outage = plan.outage_each.is_some_and(|each| n % each == 0);
        let ms = wait(plan, base, accepted, outage).await?;
        if outage {
            outage_times.saturating_record(ms);
        } else {
            normal_times.saturating_record(ms);
        }
    }
    print("platform up", &normal_times);
    if plan.outage_each.is_some() {
        print("platform down once one instance has it", &outage_times);
    }
    Ok(())
}

fn print(name: &str, times: &Histogram<u64>) {
    println!(
        "{name}: {} changes, accepted to in force on the last instance: p50 {} ms, p99 {} ms, \
         max {} ms",
        times.len(),
        times.value_at_quantile(0.5),
        times.value_at_quantile(0.99),
        times.max(),
    );
}

/// Waits until a version is in force on all instances. Returns the time since it was accepted, in
/// milliseconds.
async fn wait(plan: &Plan, version: u64, accepted: Instant, outage: bool) -> Result<u64, String> {
    let client = Client::new(Duration::from_secs(1));
    let mut down = false;
    while accepted.elapsed() < CHANGE_TIMEOUT {
        let mut in_force = 0;
        for ops in &plan.ops {
            let answer = client.call("status", ops, request("GET", ops, "/status", "")).await;
            let status = answer.ok().and_then(|(_, b)| serde_json::from_slice::<Value>(&b).ok());
            let seen = status.and_then(|s| s["version"].as_u64()).unwrap_or(0);
            if seen > version {
                return Err(format!("{ops} has version {seen}, newer than {version}"));
            }
            in_force += usize::from(seen == version);
        }
        if in_force == plan.ops.len() {
            let ms = accepted.elapsed().as_millis() as u64;
            if down {
                tokio::time::sleep(MIN_OUTAGE_TIME.saturating_sub(accepted.elapsed())).await;
                set_outage(plan, false).await;
            }
            return Ok(ms);
        }
        if outage && !down && in_force > 0 {
            set_outage(plan, true).await;
            down = true;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    set_outage(plan, false).await;
    Err(format!("version {version} is not in force on all instances after {CHANGE_TIMEOUT:?}"))
}

async fn set_outage(plan: &Plan, on: bool) {
    let body = serde_json::to_string(&Control::Outage { on }).unwrap_or_default();
    let request = request("POST", &plan.platform, "/control", body);
    let _ = Client::new(PLATFORM_TIMEOUT).call("control", &plan.platform, request).await;
}
