//! The rows in the table service by which instances find each other.

use std::sync::Arc;
use std::time::{Duration, Instant};

use agateroute_core::Event;
use agateroute_core::membership::ListedInstance;
use agateroute_core::presence::RowPresence;
use agateroute_storage::PlatformError;
use agateroute_storage::table::{self, Condition, Row, Write};
use serde::{Deserialize, Serialize};
use tokio_util::sync::CancellationToken;

use crate::clock::{boot_millis, unix_millis};
use crate::daemon::Daemon;
use crate::peers::dial_listed;
use crate::restore;
use crate::route_instance::RouteInstance;
use crate::source::DependencyMonitor;

const INSTANCES_PARTITION: &str = "instances";
/// The key of the [`SettledRow`]. It stands among the rows of instances, so that one read gives both.
const SETTLED_KEY: &str = "~settled";
/// The rows that are read at a time, which is the most that the service returns.
const PAGE_ROWS: usize = 500;
/// The pause between two reads of the rows, for each [`INSTANCES_PER_PAUSE`] instances.
const LIST_PAUSE: Duration = Duration::from_secs(5);
const INSTANCES_PER_PAUSE: u32 = 10;
/// The pause before the second read: instances that start together have written their rows by then. Each one reads after it has
/// written its own row, so of two instances at least one knows the other after the first read.
const SECOND_READ_PAUSE: Duration = Duration::from_secs(1);
/// The time between two writes of an instance's row.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(20);
/// How long a row counts after a write of it was seen, in milliseconds, so that two writes may be lost.
const MAX_ROW_AGE_MS: u64 = 60_000;

/// The value of an instance's row, as JSON.
#[derive(Debug, Deserialize, Serialize)]
struct InstanceRow {
    address: String,
    leaving: bool,
}

/// The value of the row that tells instances which start later that an era of the table service has settled: its
/// writers have had the time to write again what was lost.
#[derive(Debug, Deserialize, Serialize)]
struct SettledRow {
    era: u64,
}

/// Writes the row of this instance and reads those of the others, until cancelled.
pub async fn follow(instance: Arc<RouteInstance>, cancel: CancellationToken) {
    let daemon = &instance.daemon;
    let Some(table) = &daemon.table else { return };
    let mut monitor = DependencyMonitor::new("instances");
    let mut presence = RowPresence::default();
    let mut announced: Option<Instant> = None;
    let mut reads = 0u32;
    let mut failure_pause = LIST_PAUSE;
    loop {
        let due = announced.is_none_or(|at| at.elapsed() >= ANNOUNCE_INTERVAL);
        if due && announce(&instance, false).await {
            announced = Some(Instant::now());
        }
        match read_rows(table).await {
            Ok(rows) => {
                monitor.record_success();
                reads = reads.saturating_add(1);
                apply_instances(&instance, live_rows(&mut presence, rows), &cancel);
            }
            Err(error) => {
                instance.source.lock().rows_failures += 1;
                failure_pause = monitor.record_failure(&error);
            }
        }
        // Without any list an instance knows no peer and waits to read the servers, so the first read is repeated soon.
        let pause = match reads {
            0 => failure_pause,
            1 => SECOND_READ_PAUSE,
            _ => list_pause(daemon),
        };
        // Instances that started together would otherwise read together for ever.
        let pause = pause.mul_f64(rand::random_range(0.8..1.2));
        tokio::select! {
            () = cancel.cancelled() => return,
            () = instance.announce_notify.notified() => announced = None,
            () = tokio::time::sleep(pause) => {}
        }
    }
}

/// Reads the rows of all instances.
async fn read_rows(table: &table::Table) -> Result<Vec<Row>, PlatformError> {
    let mut all: Vec<Row> = Vec::new();
    loop {
        let after = all.last().map_or("", |r| r.sort.as_str());
        let page = table.query(INSTANCES_PARTITION, after, PAGE_ROWS).await?;
        let more = page.len() >= PAGE_ROWS;
        all.extend(page);
        if !more {
            return Ok(all);
        }
    }
}

/// The pause between two reads of the rows, which grows with the instances so that the load of the service
/// does not. A new instance reads all rows at its start and dials the others, so they need not read often.
fn list_pause(daemon: &Daemon) -> Duration {
    let known = daemon.read(|state| state.membership.known_count()) as u32;
    LIST_PAUSE * known.div_ceil(INSTANCES_PER_PAUSE).max(1)
}

/// Returns the rows that their instances have written lately.
fn live_rows(presence: &mut RowPresence, rows: Vec<Row>) -> Vec<Row> {
    let now = boot_millis();
    presence.retain(|name| rows.iter().any(|r| r.sort == name));
    let stamp = |row: &Row| format!("{} {}", row.tag, row.expires);
    rows.into_iter()
        .filter(|r| presence.observe(now, &r.sort, &stamp(r)) < MAX_ROW_AGE_MS)
        .collect()
}

fn apply_instances(instance: &RouteInstance, rows: Vec<Row>, cancel: &CancellationToken) {
    let daemon = &instance.daemon;
    let mut instances = Vec::new();
    let mut addresses = Vec::new();
    for row in rows.into_iter().filter(|r| r.sort != daemon.identity.name) {
        if row.sort == SETTLED_KEY {
            apply_settled(instance, &row);
            continue;
        }
        let read: InstanceRow = match serde_json::from_str(&row.value) {
            Ok(read) => read,
            Err(error) => {
                spdlog::warn!("instance_row_invalid", kv: { name: = row.sort.as_str(), error: });
                continue;
            }
        };
        instances.push(ListedInstance { name: row.sort, leaving: read.leaving });
        if read.address != daemon.settings.peer {
            addresses.push(read.address);
        }
    }
    dial_listed(daemon, &addresses, cancel);
    daemon.apply(Event::Listed { instances });
}

fn apply_settled(instance: &RouteInstance, row: &Row) {
    match serde_json::from_str::<SettledRow>(&row.value) {
        Ok(settled) => restore::confirm(instance, settled.era),
        Err(error) => spdlog::warn!("settled_row_invalid", kv: { error: }),
    }
}

/// Writes that an era has settled, for instances that start later.
pub async fn write_settled(instance: &RouteInstance, era: u64) {
    let Some(table) = &instance.daemon.table else { return };
    let row = Row {
        partition: INSTANCES_PARTITION.to_owned(),
        sort: SETTLED_KEY.to_owned(),
        tag: era.to_string(),
        value: serde_json::to_string(&SettledRow { era }).unwrap_or_default(),
        expires: 0,
    };
    if let Err(error) = table.transact(&[Write { row: &row, condition: Condition::Always }]).await {
        spdlog::warn!("settled_row_not_written", kv: { era, error: });
    }
}

/// Writes the row of this instance. Returns whether it was written.
async fn announce(instance: &RouteInstance, leaving: bool) -> bool {
    let daemon = &instance.daemon;
    let Some(table) = &daemon.table else { return false };
    let value = InstanceRow { address: daemon.settings.peer.clone(), leaving };
    let row = Row {
        partition: INSTANCES_PARTITION.to_owned(),
        sort: daemon.identity.name.clone(),
        tag: daemon.identity.start.to_string(),
        value: serde_json::to_string(&value).unwrap_or_default(),
        // Not an expiry: it makes each write of the row differ, so that readers see it change.
        expires: unix_millis(),
    };
    match table.transact(&[Write { row: &row, condition: Condition::Always }]).await {
        Ok(_) => true,
        Err(error) => {
            spdlog::warn!("instance_row_not_written", kv: { error: });
            false
        }
    }
}

/// Writes to the row of this instance that it is leaving.
pub async fn announce_leaving(instance: &RouteInstance) {
    announce(instance, true).await;
}
