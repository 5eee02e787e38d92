//! Commands on calls that may not be repeated.

use agateroute_platform::table::{Condition, Outcome, Row, Table, Write};
use serde_json::{Value, json};

use crate::args::CallsCommand;
use crate::config::table;
use crate::error::CtlError;

/// The partitions that calls are spread over.
const PARTITIONS: u32 = 16;
/// The rows that are read at once.
const PAGE: usize = 200;

/// Runs a command.
pub async fn run(command: CallsCommand) -> Result<(), CtlError> {
    match command {
        CallsCommand::List { platform, all } => list(&table(&platform), all).await,
        CallsCommand::Show { platform, row } => {
            let found = find(&table(&platform), &row).await?;
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
    for number in 0..PARTITIONS {
        let partition = format!("calls-{number:x}");
        let mut after = " ".to_owned();
        loop {
            let rows = table.query(&partition, &after, PAGE).await?;
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
    let record: Value = serde_json::from_str(&row.value).unwrap_or_default();
    let state = record["state"].as_str().unwrap_or("unreadable");
    if !all && matches!(state, "answered" | "not_run") {
        return;
    }
    println!(
        "row={}/{} state={state} member={} service={} kind={} key={} instance={} at={}",
        row.partition,
        row.sort,
        record["member"],
        record["service"],
        record["kind"],
        record["key"],
        record["instance"],
        record["at"],
    );
}

async fn find(table: &Table, row: &str) -> Result<Row, CtlError> {
    let (partition, sort) = row
        .split_once('/')
        .ok_or_else(|| CtlError::other(format!("row {row:?} is not partition/key")))?;
    let found = table.get(partition, sort).await?;
    found.ok_or_else(|| CtlError::other(format!("row {row:?} does not exist in the table service")))
}

/// Settles a call whose outcome is unknown, or open beyond its time. The write is refused if the
/// record changed meanwhile.
async fn resolve(
    table: &Table,
    not_run: bool,
    answer: Option<String>,
    row: &str,
) -> Result<(), CtlError> {
    if not_run == answer.is_some() {
        return Err(CtlError::other("say either --not-run or --answer TEXT"));
    }
    let found = find(table, row).await?;
    let mut record: Value = serde_json::from_str(&found.value)
        .map_err(|e| CtlError::other(format!("record of row {row:?} not readable: {e}")))?;
    let state = record["state"].as_str().unwrap_or_default().to_owned();
    let now = crate::unix_millis();
    let over = record["until"].as_u64().is_some_and(|until| until < now);
    match state.as_str() {
        "unknown" => {}
        "open" if over => {}
        "open" => return Err(CtlError::other(format!("row {row:?} may still be in progress"))),
        _ => return Err(CtlError::other(format!("row {row:?} is settled as {state}"))),
    }
    record["state"] = json!(if not_run { "not_run" } else { "answered" });
    if let Some(text) = answer {
        let headers = json!([["content-type", "text/plain; charset=utf-8"]]);
        record["answer"] = json!({"status": 200, "headers": headers, "body": base64(&text)});
    }
    let attempt = record["attempt"].as_str().unwrap_or_default();
    let settled =
        Row { tag: format!("{attempt}/settled"), value: record.to_string(), ..found.clone() };
    let write = Write { row: &settled, condition: Condition::Tag(&found.tag) };
    match table.transact(&[write]).await? {
        Outcome::Done => {
            println!("row={row} state={}", record["state"]);
            Ok(())
        }
        Outcome::Conflict(_) => Err(CtlError::other(format!("row {row:?} changed meanwhile"))),
    }
}

fn base64(text: &str) -> String {
    use base64::Engine;
    base64::engine::general_purpose::STANDARD.encode(text)
}
