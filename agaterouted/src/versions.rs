//! The rows in the table service with the software versions that have served each model lately. Instances that start
//! after all others have stopped learn from them which version can have begun a stream.

use std::sync::Arc;
use std::time::Duration;

use agateroute_core::{Event, Id};
use agateroute_storage::table::{Condition, Row, Write};
use tokio_util::sync::CancellationToken;

use crate::daemon::Daemon;

const VERSIONS_PARTITION: &str = "versions";
/// The most models whose rows are read at the start of an instance.
const MAX_MODELS: usize = 500;
/// The pause before a read or a write is retried.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Logs the versions of a model, and stores them if this instance decides.
pub async fn store(daemon: &Daemon, target: Id, versions: &[Id], decided: bool) {
    let stored = decided && write(daemon, target, versions).await;
    let name = format!("{target:x}");
    let list: Vec<String> = versions.iter().map(|v| format!("{v:x}")).collect();
    spdlog::info!("software_versions", kv: {
        model: = name.as_str(),
        versions = versions.len(),
        ids: = list.join(","),
        decided,
        stored,
    });
    if decided && !stored {
        tokio::time::sleep(RETRY_PAUSE).await;
        daemon.apply(Event::VersionsNotStored { target });
    }
}

async fn write(daemon: &Daemon, target: Id, versions: &[Id]) -> bool {
    let Some(table) = &daemon.table else { return true };
    let row = encode(target, versions);
    let written = table.transact(&[Write { row: &row, condition: Condition::Always }]).await;
    if let Err(error) = &written {
        spdlog::warn!("versions_not_written", kv: { error: });
    }
    written.is_ok()
}

fn encode(target: Id, versions: &[Id]) -> Row {
    let ids: Vec<String> = versions.iter().map(|v| format!("{v:016x}")).collect();
    Row {
        partition: VERSIONS_PARTITION.to_owned(),
        sort: format!("{target:016x}"),
        tag: String::new(),
        value: serde_json::to_string(&ids).unwrap_or_default(),
        expires: 0,
    }
}

/// Decodes a row. An invalid version counts as an unknown one, so that no stream goes on by mistake.
fn decode(row: &Row) -> Option<(Id, Vec<Id>)> {
    let target = Id::from_str_radix(&row.sort, 16).ok()?;
    let ids: Vec<String> = serde_json::from_str(&row.value).ok()?;
    let ids = ids.iter().map(|text| Id::from_str_radix(text, 16).unwrap_or(0));
    Some((target, ids.collect()))
}

/// Reads the stored versions, and retries until the table service answers.
pub async fn read(daemon: Arc<Daemon>, cancel: CancellationToken) {
    let Some(table) = &daemon.table else { return };
    loop {
        if let Ok(rows) = table.query(VERSIONS_PARTITION, " ", MAX_MODELS).await {
            let stored = rows.iter().filter_map(decode).collect();
            daemon.apply(Event::VersionsLoaded { stored });
            return;
        }
        tokio::select! {
            () = cancel.cancelled() => return,
            () = tokio::time::sleep(RETRY_PAUSE) => {}
        }
    }
}
