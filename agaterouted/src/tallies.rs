//! Counts outcomes, and writes the tallies of this instance and of peers that can not.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use agateroute_core::Table;
use agateroute_core::tally::{Tallies, Tally, TallyKey};
use agateroute_proto::peers::TallyRow;
use agateroute_proto::peers::message::Body;
use agateroute_storage::table::{Condition, MAX_TRANSACTION_ROWS, Outcome, Row, Write};
use serde::{Deserialize, Serialize};
use tokio_util::sync::CancellationToken;

use crate::clock::{day_of, unix_seconds};
use crate::daemon::{Daemon, millis};

/// The entries of one row, which keeps a row below the size that the table service takes.
const MAX_ROW_ENTRIES: usize = 100;
/// The days that tallies are kept for.
const RETENTION_DAYS: u64 = 400;
/// The seconds in a day.
const DAY_SECONDS: u64 = 86_400;
/// The most rows of peers that are held.
const MAX_HELD_ROWS: usize = 4_096;
/// How long the last flush of a leaving instance may take.
const LAST_FLUSH_TIMEOUT: Duration = Duration::from_secs(3);

/// A row of tallies as the table service keeps it.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct TallyRecord {
    /// The instance.
    pub instance: String,
    /// Its start number.
    pub start: u64,
    /// Counts the writes of this row, so that an older one never replaces a newer one.
    pub sequence: u64,
    /// When the instance began to count, in seconds since 1970.
    pub from: u64,
    /// Until when it has counted, in seconds since 1970.
    pub until: u64,
    /// Whether the instance stopped in good order and has nothing more to count.
    pub closed: bool,
    /// The tallies.
    pub entries: Vec<TallyEntry>,
}

impl TallyRecord {
    /// The requests that the row counts.
    pub fn requests(&self) -> u64 {
        self.entries.iter().map(|e| e.tally.total()).sum()
    }
}

/// The tally of one organisation, kind and rank.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct TallyEntry {
    /// The organisation.
    pub organisation: String,
    /// The request kind.
    pub kind: String,
    /// The rank.
    pub rank: String,
    /// The tally.
    pub tally: Tally,
}

/// The tallies of an instance, and rows that it holds for peers.
#[derive(Debug, Default)]
pub struct TallyStore {
    state: Mutex<TallyState>,
}

#[derive(Debug, Default)]
struct TallyState {
    tallies: Tallies,
    sequence: u64,
    held: Table<String, String>,
}

impl TallyStore {
    fn lock(&self) -> MutexGuard<'_, TallyState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a request that ended.
    pub fn count(&self, key: TallyKey, tally: &Tally) {
        self.lock().tallies.entry(key, Tally::default).merge(tally);
    }

    /// Holds a row for a peer that can not write it.
    pub fn hold(&self, row: TallyRow) {
        let mut state = self.lock();
        if state.held.len() < MAX_HELD_ROWS || state.held.contains(&row.row) {
            state.held.insert(row.row, row.record);
        }
    }

    /// The number of rows held for peers.
    pub fn held_rows(&self) -> usize {
        self.lock().held.len()
    }

    fn held(&self) -> Vec<(String, String)> {
        self.lock().held.iter().map(|(k, v)| (k.clone(), v.clone())).collect()
    }

    fn remove_held(&self, row: &str) {
        self.lock().held.remove(&row.to_owned());
    }

    /// The rows of this instance as they stand now, by day.
    fn rows(&self, daemon: &Daemon, closed: bool) -> Vec<(String, TallyRecord)> {
        let mut state = self.lock();
        state.sequence += 1;
        let sequence = state.sequence;
        let now = unix_seconds();
        let mut days: Vec<String> = state.tallies.keys().map(|k| k.day.clone()).collect();
        days.push(day_of(now));
        days.sort();
        days.dedup();
        let mut rows = Vec::new();
        for day in days {
            let entries: Vec<TallyEntry> =
                state.tallies.iter().filter(|(k, _)| k.day == day).map(entry).collect();
            let chunks = entries.chunks(MAX_ROW_ENTRIES).map(<[TallyEntry]>::to_vec);
            let mut chunks: Vec<Vec<TallyEntry>> = chunks.collect();
            if chunks.is_empty() {
                chunks.push(Vec::new());
            }
            for (n, entries) in chunks.into_iter().enumerate() {
                let record = TallyRecord {
                    instance: daemon.identity.name.clone(),
                    start: daemon.identity.start,
                    sequence,
                    from: daemon.identity.start / 1000,
                    until: now,
                    closed,
                    entries,
                };
                let name = format!("tally-{day}/{}/{:015}/{n:03}", record.instance, record.start);
                rows.push((name, record));
            }
        }
        let today = day_of(now);
        let yesterday = day_of(now - DAY_SECONDS);
        state.tallies.retain(|k, _| k.day == today || k.day == yesterday);
        rows
    }
}

fn entry((key, tally): (&TallyKey, &Tally)) -> TallyEntry {
    TallyEntry {
        organisation: key.organisation.clone(),
        kind: key.kind.clone(),
        rank: key.rank.clone(),
        tally: tally.clone(),
    }
}

fn table_row(name: &str, record: &str, sequence: u64) -> Row {
    let (partition, sort) = name.split_once('/').unwrap_or((name, ""));
    Row {
        partition: partition.to_owned(),
        sort: sort.to_owned(),
        tag: format!("{sequence:012}"),
        value: record.to_owned(),
        expires: unix_seconds() + RETENTION_DAYS * DAY_SECONDS,
    }
}

/// Writes the tallies of this instance. Where that fails, peers are asked to hold them.
pub async fn flush(daemon: &Daemon, closed: bool) {
    let Some(platform) = &daemon.platform else { return };
    let rows = daemon.tally_store.rows(daemon, closed);
    let encoded: Vec<(Row, String, String)> = rows
        .iter()
        .map(|(name, record)| {
            let text = serde_json::to_string(record).unwrap_or_default();
            (table_row(name, &text, record.sequence), name.clone(), text)
        })
        .collect();
    for chunk in encoded.chunks(MAX_TRANSACTION_ROWS) {
        let writes: Vec<Write<'_>> = chunk
            .iter()
            .map(|(row, _, _)| Write { row, condition: Condition::Newer(&row.tag) })
            .collect();
        if let Err(error) = platform.table.transact(&writes).await {
            let requests: u64 = rows.iter().map(|(_, r)| r.requests()).sum();
            spdlog::warn!("tallies_not_written", kv: { requests, error: });
            for (_, name, text) in chunk {
                let row = TallyRow { row: name.clone(), record: text.clone() };
                daemon.broadcast(&Body::TallyRow(row));
            }
        }
    }
}

/// Writes the rows that this instance holds for peers.
async fn flush_held(daemon: &Daemon) {
    let Some(platform) = &daemon.platform else { return };
    for (name, text) in daemon.tally_store.held() {
        let Ok(record) = serde_json::from_str::<TallyRecord>(&text) else {
            daemon.tally_store.remove_held(&name);
            continue;
        };
        let row = table_row(&name, &text, record.sequence);
        let write = Write { row: &row, condition: Condition::Newer(&row.tag) };
        match platform.table.transact(&[write]).await {
            Ok(Outcome::Committed | Outcome::Conflict(_)) => daemon.tally_store.remove_held(&name),
            Err(_) => return,
        }
    }
}

/// Writes tallies from time to time, until cancelled.
pub async fn run(daemon: Arc<Daemon>, cancel: CancellationToken) {
    loop {
        let pause = millis(daemon.config().document.routing.tally_ms);
        tokio::select! {
            () = cancel.cancelled() => return,
            () = tokio::time::sleep(pause) => {}
        }
        flush(&daemon, false).await;
        flush_held(&daemon).await;
    }
}

/// Writes the last tallies of an instance that leaves.
pub async fn flush_last(daemon: &Daemon) {
    let _ = tokio::time::timeout(LAST_FLUSH_TIMEOUT, flush(daemon, true)).await;
}
