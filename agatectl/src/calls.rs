//! Commands on the records of non-repeatable calls.

use std::time::{SystemTime, UNIX_EPOCH};

use agateroute_storage::calls::{CallRecord, CallState, RecordedResponse, partitions, settled_tag};
use agateroute_storage::table::{Condition, Outcome, Row, Table, Write};
use http::{HeaderMap, StatusCode};
use serde_json::Value;

use crate::args::CallsCommand;
use crate::config::table;
use crate::error::CtlError;

/// Maximum number of rows read by one query.
const PAGE_ROWS: usize = 200;

/// Runs a subcommand of `agatectl calls`.
pub async fn run(command: CallsCommand) -> Result<(), CtlError> {
    match command {
        CallsCommand::List { platform, all } => list(&table(&platform), all).await,
        CallsCommand::Show { platform, row } => {
            let found = find_row(&table(&platform), &row).await?;
            let record: Value = serde_json::from_str(&found.value).unwrap_or_default();
            println!("{record:#}");
            Ok(())
        }
        CallsCommand::Resolve { platform, not_run, answer, row } => {
            resolve(&table(&platform), not_run, answer, &row).await
        }
    }
}

async fn list(table: &Table, all: bool) -> Result<(), CtlError> {
    for partition in partitions() {
        let mut after = " ".to_owned();
        loop {
            let rows = table.query(&partition, &after, PAGE_ROWS).await?;
            let Some(last) = rows.last() else { break };
            after.clone_from(&last.sort);
            for row in &rows {
                print_row(row, all);
            }
        }
    }
    Ok(())
}

fn print_row(row: &Row, all: bool) {
    let name = format!("{}/{}", row.partition, row.sort);
    let Ok(record) = serde_json::from_str::<CallRecord>(&row.value) else {
        println!("row={name} state=unreadable");
        return;
    };
    let settled = matches!(record.state, CallState::Answered | CallState::NotRun);
    if settled && !all {
        return;
    }
    println!(
        "row={name} state={} organisation={:?} service={:?} kind={:?} key={:?} instance={:?} at={}",
        record.state,
        record.organisation,
        record.service,
        record.kind,
        record.key,
        record.instance,
        record.at,
    );
}

async fn find_row(table: &Table, row: &str) -> Result<Row, CtlError> {
    let (partition, sort) = row
        .split_once('/')
        .ok_or_else(|| CtlError::other(format!("row {row:?} is not of the form partition/key")))?;
    let found = table.get(partition, sort).await?;
    found.ok_or_else(|| CtlError::other(format!("row {row:?} does not exist in the table service")))
}

/// Settles a call whose outcome is unknown, or that is still open after its deadline. The write is
/// conditional, so it fails if the record has changed since it was read.
async fn resolve(
    table: &Table,
    not_run: bool,
    answer: Option<String>,
    row: &str,
) -> Result<(), CtlError> {
    if not_run == answer.is_some() {
        return Err(CtlError::other("give either --not-run or --answer TEXT"));
    }
    let found = find_row(table, row).await?;
    let mut record: CallRecord = serde_json::from_str(&found.value)
        .map_err(|e| CtlError::other(format!("decode record of row {row:?}: {e}")))?;
    match record.state {
        CallState::Unknown => {}
        CallState::Open if record.until < unix_time_ms() => {}
        CallState::Open => {
            return Err(CtlError::other(format!("row {row:?} may still be in progress")));
        }
        state => return Err(CtlError::other(format!("row {row:?} is already settled: {state}"))),
    }
    record.state = if not_run { CallState::NotRun } else { CallState::Answered };
    record.answer = answer.map(|text| {
        let headers = [("content-type".to_owned(), "text/plain; charset=utf-8".to_owned())];
        RecordedResponse {
            headers: headers.into(),
            ..RecordedResponse::new(StatusCode::OK, &HeaderMap::new(), text.as_bytes())
        }
    });
    let value = serde_json::to_string(&record)
        .map_err(|e| CtlError::other(format!("encode record of row {row:?}: {e}")))?;
    let settled = Row { tag: settled_tag(&record.attempt), value, ..found.clone() };
    let write = Write { row: &settled, condition: Condition::Tag(&found.tag) };
    match table.transact(&[write]).await? {
        Outcome::Committed => {
            println!("row={row} state={}", record.state);
            Ok(())
        }
        Outcome::Conflict(_) => {
            Err(CtlError::other(format!("row {row:?} changed since it was read")))
        }
    }
}

/// Milliseconds since the Unix epoch, the unit of [`CallRecord::until`].
fn unix_time_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}
