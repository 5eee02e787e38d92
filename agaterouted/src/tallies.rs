//! Counts outcomes of requests, and writes the tallies of this instance and of peers that are cut off.

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

/// The most entries in one row, so that it stays below the size limit of the table service.
const MAX_ROW_ENTRIES: usize = 100;
const RETENTION_DAYS: u64 = 400;
const DAY_SECONDS: u64 = 86_400;
/// The most rows that are held for peers.
const MAX_HELD_ROWS: usize = 4_096;
/// The time limit of the last flush of a leaving instance.
const LAST_FLUSH_TIMEOUT: Duration = Duration::from_secs(3);

/// The value of a row of tallies, as JSON.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct TallyRecord {
    /// The name of the instance.
    pub instance: String,
    /// The start of the instance, in milliseconds since 1970, which differs after a restart.
    pub start: u64,
    /// Grows with each flush, so that an older write never replaces a newer one.
    pub sequence: u64,
    /// When the instance began to count, in seconds since 1970.
    pub from: u64,
    /// The time of the flush, in seconds since 1970.
    pub until: u64,
    /// Whether this is the last flush of an instance that stopped gracefully.
    pub closed: bool,
    /// The tallies. A day with many of them takes several rows.
    pub entries: Vec<TallyEntry>,
}

impl TallyRecord {
    /// The number of requests that the row counts.
    pub fn requests(&self) -> u64 {
        self.entries.iter().map(|e| e.tally.total()).sum()
    }
}

/// The tally of one organisation, kind and rank.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct TallyEntry {
    /// The name of the organisation.
    pub organisation: String,
    /// The kind of the requests.
    pub kind: String,
    /// The name of the rank.
    pub rank: String,
    /// The outcomes, tokens and times.
    pub tally: Tally,
}

/// Stores the tallies of this instance, and rows for peers that can not write them.
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

    /// Adds the tally of a request that ended.
    pub fn count(&self, key: TallyKey, tally: &Tally) {
        self.lock().tallies.entry(key, Tally::default).merge(tally);
    }

    /// Stores a row for a peer that can not write it, unless `MAX_HELD_ROWS` are held already.
    pub fn hold(&self, row: TallyRow) {
        let mut state = self.lock();
        if state.held.len() < MAX_HELD_ROWS || state.held.contains(&row.row) {
            state.held.insert(row.row, row.record);
        }
    }

    /// The number of rows that are held for peers.
    pub fn held_rows(&self) -> usize {
        self.lock().held.len()
    }

    fn held(&self) -> Vec<(String, String)> {
        self.lock().held.iter().map(|(k, v)| (k.clone(), v.clone())).collect()
    }

    fn remove_held(&self, row: &str) {
        self.lock().held.remove(&row.to_owned());
    }

    /// Builds the current rows of this instance by day, and drops days before yesterday.
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

/// Writes the tallies of this instance. If that fails, sends them to all linked peers to hold.
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

/// Writes the tallies every `tally_ms`, until cancelled.
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

/// Writes the last tallies of a leaving instance. Gives up after three seconds.
pub async fn flush_last(daemon: &Daemon) {
    let _ = tokio::time::timeout(LAST_FLUSH_TIMEOUT, flush(daemon, true)).await;
}
