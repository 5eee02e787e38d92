//! The rows of instances in the table service, by which they find each other.

use std::sync::Arc;
use std::time::{Duration, Instant};

use agateroute_core::membership::ListedInstance;
use agateroute_core::presence::Presence;
use agateroute_core::{Event, Table};
use agateroute_storage::table::{Condition, Row, Write};
use serde::{Deserialize, Serialize};
use tokio_util::sync::CancellationToken;

use crate::clock::{boot_millis, unix_millis};
use crate::daemon::Daemon;
use crate::peers::maintain_link;
use crate::route_instance::RouteInstance;
use crate::source::{DependencyMonitor, cancelled_within};

/// The partition of the rows of instances.
const INSTANCES_PARTITION: &str = "instances";
/// The most instances that are read.
const MAX_INSTANCES: usize = 500;
/// How often the rows of instances are read.
const LIST_PAUSE: Duration = Duration::from_secs(5);
/// The instances for which there is one such pause.
const INSTANCES_PER_PAUSE: u32 = 10;
/// How often an instance writes its row.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(20);
/// How long the row of an instance counts after it was seen to be written, in milliseconds: two writes
/// may be lost.
const MAX_ROW_AGE_MS: u64 = 60_000;

/// The row of an instance.
#[derive(Debug, Deserialize, Serialize)]
struct InstanceRow {
    address: String,
    leaving: bool,
}

/// Writes the row of this instance and reads those of the others, until cancelled.
pub async fn follow(instance: Arc<RouteInstance>, cancel: CancellationToken) {
    let daemon = &instance.daemon;
    let Some(table) = &daemon.table else { return };
    let mut monitor = DependencyMonitor::new("instances");
    let mut dialed: Table<String, ()> = Table::default();
    let mut presence = Presence::default();
    let mut announced: Option<Instant> = None;
    loop {
        let due = announced.is_none_or(|at| at.elapsed() >= ANNOUNCE_INTERVAL);
        if due && announce(&instance, false).await {
            announced = Some(Instant::now());
        }
        match table.query(INSTANCES_PARTITION, "", MAX_INSTANCES).await {
            Ok(rows) => {
                monitor.record_success();
                apply_instances(&instance, live_rows(&mut presence, rows), &mut dialed, &cancel);
            }
            Err(error) => {
                monitor.record_failure(&error);
            }
        }
        if cancelled_within(&cancel, list_pause(daemon)).await {
            return;
        }
    }
}

/// The pause between two reads of the rows: a new instance reads them at its start and links with all,
/// so that the others need not look the more often the more they are.
fn list_pause(daemon: &Daemon) -> Duration {
    let known = daemon.read(|state| state.membership.known_count()) as u32;
    LIST_PAUSE * known.div_ceil(INSTANCES_PER_PAUSE).max(1)
}

/// The rows that their instances keep up.
fn live_rows(presence: &mut Presence, rows: Vec<Row>) -> Vec<Row> {
    let now = boot_millis();
    presence.retain(|name| rows.iter().any(|r| r.sort == name));
    let stamp = |row: &Row| format!("{} {}", row.tag, row.expires);
    rows.into_iter()
        .filter(|r| presence.observe(now, &r.sort, &stamp(r)) < MAX_ROW_AGE_MS)
        .collect()
}

fn apply_instances(
    instance: &RouteInstance,
    rows: Vec<Row>,
    dialed: &mut Table<String, ()>,
    cancel: &CancellationToken,
) {
    let daemon = &instance.daemon;
    let mut instances = Vec::new();
    for row in rows.into_iter().filter(|r| r.sort != daemon.identity.name) {
        let read: InstanceRow = match serde_json::from_str(&row.value) {
            Ok(read) => read,
            Err(error) => {
                spdlog::warn!("instance_row_not_read", kv: { name: = row.sort.as_str(), error: });
                continue;
            }
        };
        instances.push(ListedInstance { name: row.sort, leaving: read.leaving });
        if read.address != daemon.settings.peer && dialed.insert(read.address.clone(), ()).is_none()
        {
            tokio::spawn(maintain_link(daemon.clone(), read.address, cancel.child_token()));
        }
    }
    daemon.apply(Event::Listed { instances });
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
        // Only tells one writing of the row from another.
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

/// Tells the others that this instance leaves.
pub async fn announce_leaving(instance: &RouteInstance) {
    announce(instance, true).await;
}
