//! The rows of instances in the table service, by which they find each other.

use std::sync::Arc;
use std::time::Duration;

use agateroute_core::membership::Listed;
use agateroute_core::{Event, Table};
use agateroute_storage::table::{Condition, Row, Write};
use serde::{Deserialize, Serialize};
use tokio_util::sync::CancellationToken;

use crate::clock::unix_seconds;
use crate::peers::keep_dialing;
use crate::routed::Routed;
use crate::source::{Watch, pause};

/// The partition of the rows of instances.
const INSTANCES_PARTITION: &str = "instances";
/// The most instances that are read.
const INSTANCES_MOST: usize = 500;
/// How often the rows of instances are read.
const INSTANCES_PAUSE: Duration = Duration::from_secs(5);
/// How often an instance writes its row.
const ANNOUNCE_SECONDS: u64 = 20;
/// How long the row of an instance counts after it was written.
const ANNOUNCED_SECONDS: u64 = 60;

/// The row of an instance.
#[derive(Debug, Deserialize, Serialize)]
struct InstanceRow {
    address: String,
    leaving: bool,
}

/// Writes the row of this instance and reads those of the others, until cancelled.
pub async fn follow(routed: Arc<Routed>, cancel: CancellationToken) {
    let shell = &routed.shell;
    let Some(table) = &shell.table else { return };
    let mut watch = Watch::new("instances");
    let mut dialed: Table<String, ()> = Table::default();
    let mut announced = 0;
    loop {
        if unix_seconds().abs_diff(announced) >= ANNOUNCE_SECONDS && announce(&routed, false).await
        {
            announced = unix_seconds();
        }
        match table.query(INSTANCES_PARTITION, "", INSTANCES_MOST).await {
            Ok(rows) => {
                watch.answered();
                let fresh = rows.into_iter().filter(|r| r.expires > unix_seconds());
                take_instances(&routed, fresh, &mut dialed, &cancel);
            }
            Err(error) => watch.failed(&error),
        }
        if pause(&cancel, INSTANCES_PAUSE).await {
            return;
        }
    }
}

fn take_instances(
    routed: &Routed,
    rows: impl Iterator<Item = Row>,
    dialed: &mut Table<String, ()>,
    cancel: &CancellationToken,
) {
    let shell = &routed.shell;
    let mut instances = Vec::new();
    for row in rows.filter(|r| r.sort != shell.me.name) {
        let read: InstanceRow = match serde_json::from_str(&row.value) {
            Ok(read) => read,
            Err(error) => {
                spdlog::warn!("instance_row_not_read", kv: { name: = row.sort.as_str(), error: });
                continue;
            }
        };
        instances.push(Listed { name: row.sort, leaving: read.leaving });
        if read.address != shell.settings.peer && dialed.insert(read.address.clone(), ()).is_none()
        {
            tokio::spawn(keep_dialing(shell.clone(), read.address, cancel.child_token()));
        }
    }
    shell.apply(Event::Listed { instances });
}

/// Writes the row of this instance. Returns whether it was written.
async fn announce(routed: &Routed, leaving: bool) -> bool {
    let shell = &routed.shell;
    let Some(table) = &shell.table else { return false };
    let value = InstanceRow { address: shell.settings.peer.clone(), leaving };
    let row = Row {
        partition: INSTANCES_PARTITION.to_owned(),
        sort: shell.me.name.clone(),
        tag: shell.me.start.to_string(),
        value: serde_json::to_string(&value).unwrap_or_default(),
        expires: unix_seconds() + ANNOUNCED_SECONDS,
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
pub async fn leave(routed: &Routed) {
    announce(routed, true).await;
}
