//! Runs the effects that need the table service.

use std::sync::Arc;
use std::time::Duration;

use agateroute_core::copies::Fate;
use agateroute_core::id::Millis;
use agateroute_core::ledger::{RowResult, TransactionOutcome};
use agateroute_core::{Effect, Event, Id, State};
use agateroute_proto::peers::Claim;
use agateroute_storage::calls::settled_tag;
use agateroute_storage::table::{Condition, Outcome, Row, Table, Write, WriteResult};
use futures_util::future::join_all;
use opentelemetry::KeyValue;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use crate::clock::unix_seconds;
use crate::daemon::Daemon;
use crate::{shedding, upstream, versions};

const SUSPECTS_PARTITION: &str = "suspects";
/// Begins the sort key of the row of a blocked part. It sorts before the fingerprints of requests, which are hexadecimal
/// numbers: these rows stay, and only the first ones are read.
const PART_PREFIX: &str = "!part-";
const SUSPECT_LIFETIME_S: u64 = 24 * 3600;
/// The most requests under which servers crashed that are read at the start of an instance.
const MAX_SUSPECTS: usize = 1_000;
/// The pause before the read at the start is retried.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// A write to the table service.
#[derive(Clone, Debug)]
pub enum Job {
    /// Write claims of idempotency keys in one transaction, and report the outcome to the reducer.
    Transact {
        /// The shard of the idempotency keys, of which one transaction at a time is in progress.
        shard: u64,
        /// The claims, of which each writes one row.
        claims: Vec<Claim>,
    },
    /// Store how many servers crashed under a request, for instances that start later.
    StoreSuspect {
        /// The fingerprint of the request.
        fingerprint: u64,
        /// The backend servers that crashed under the request so far.
        crashes: u32,
    },
    /// Log the software versions that have served a model lately, and store them for instances that start later.
    VersionsChanged {
        /// The model.
        target: Id,
        /// The versions.
        versions: Vec<Id>,
        /// Whether this instance stores them.
        decided: bool,
    },
    /// Connect to backend servers to see whether this instance reaches them.
    Probe {
        /// The backend servers.
        servers: Vec<Id>,
    },
    /// Log that this instance reaches no backend server, or does again.
    LogReach {
        /// Whether it reaches none.
        cut: bool,
    },
    /// Log that a backend server gets no permits for a while.
    LogClosed {
        /// The backend server.
        server: Id,
        /// Whether the server is leaving; otherwise it refused a connection.
        leaving: bool,
    },
    /// Log that a backend server is closed because it lost requests, or open again, and count it.
    LogFailing {
        /// The backend server.
        server: Id,
        /// For how long it is closed, in milliseconds; 0 if it is open again.
        closed_ms: Millis,
    },
    /// Log the limit that a backend server has named, or its end.
    LogLimit {
        /// The backend server.
        server: Id,
        /// The limit in thousandths of a request a second; `None` if it has ended.
        limit: Option<u32>,
    },
    /// Log what became of a generation on a leaving server, or of a copy of it, and count it.
    LogCopy {
        /// The leaving server.
        server: Id,
        /// What became of it.
        fate: Fate,
    },
    /// Log that a backend server is cold, or no longer, and count it.
    LogCold {
        /// The backend server.
        server: Id,
        /// How long it stays cold, in milliseconds; 0 if it no longer is.
        left_ms: Millis,
    },
    /// Log and count a refusal for lack of room, or the return of a caller that was refused.
    LogShedding(Effect),
    /// Log the evacuated availability zones, and count them.
    LogEvacuation {
        /// The names of the zones, sorted.
        zones: Vec<String>,
        /// The requests that waited for permits there and were moved to other servers.
        moved: u32,
        /// Whether a peer's message brought it.
        from_peer: bool,
    },
    /// Log that a part of prompts is blocked, and store it for instances that start later.
    PartBlocked {
        /// The identifier of the part.
        part: Id,
        /// How long it stays blocked, in milliseconds; 0 if it is no longer.
        left_ms: Millis,
        /// Whether this instance decided it, and so stores it.
        decided: bool,
    },
}

/// Runs each job in its own task, until cancelled.
pub async fn run(
    daemon: Arc<Daemon>,
    mut jobs: mpsc::UnboundedReceiver<Job>,
    cancel: CancellationToken,
) {
    loop {
        let job = tokio::select! {
            () = cancel.cancelled() => return,
            job = jobs.recv() => match job {
                Some(job) => job,
                None => return,
            },
        };
        tokio::spawn(run_job(daemon.clone(), job));
    }
}

async fn run_job(daemon: Arc<Daemon>, job: Job) {
    match job {
        Job::Transact { shard, claims } => {
            let outcome = match &daemon.table {
                Some(table) => transact(&daemon, table, &claims).await,
                None => TransactionOutcome::Failed,
            };
            daemon.apply(Event::Transacted { shard, outcome });
        }
        Job::StoreSuspect { fingerprint, crashes } => {
            store_suspect(&daemon, suspect_row(fingerprint, crashes)).await;
        }
        Job::VersionsChanged { target, versions, decided } => {
            versions::store(&daemon, target, &versions, decided).await;
        }
        Job::Probe { servers } => {
            let config = daemon.config();
            let probes = servers.iter().filter_map(|s| config.servers.get(s)).map(async |server| {
                let reached = upstream::accepts(&server.address).await;
                let server = server.id;
                daemon.apply(match reached {
                    true => Event::Connected { server },
                    false => Event::ConnectFailed { server },
                });
            });
            join_all(probes).await;
        }
        Job::LogReach { cut } => {
            let peers = daemon.read(State::can_serve);
            spdlog::warn!("servers_reached", kv: { reached = !cut, peers_serve = peers });
        }
        Job::LogClosed { server, leaving } => {
            let config = daemon.config();
            let name = config.servers.get(&server).map_or("-", |s| &s.name);
            spdlog::info!("server_closed", kv: { server: = name, leaving });
        }
        Job::LogFailing { server, closed_ms } => {
            let config = daemon.config();
            let name = config.servers.get(&server).map_or("-", |s| &s.name);
            spdlog::warn!("server_failing", kv: { server: = name, closed_ms });
            if closed_ms > 0 {
                daemon.telemetry.failing_servers.add(1, &[]);
            }
        }
        Job::LogLimit { server, limit } => {
            let config = daemon.config();
            let name = config.servers.get(&server).map_or("-", |s| &s.name);
            let milli = limit.map_or(-1, i64::from);
            spdlog::info!("server_limit", kv: { server: = name, milli });
        }
        Job::LogCopy { server, fate } => log_copy(&daemon, server, fate),
        Job::LogCold { server, left_ms } => {
            let config = daemon.config();
            let name = config.servers.get(&server).map_or("-", |s| &s.name);
            spdlog::info!("server_cold", kv: { server: = name, left_ms });
            if left_ms > 0 {
                daemon.telemetry.cold_servers.add(1, &[]);
            }
        }
        Job::LogShedding(effect) => shedding::log(&daemon.telemetry, &effect),
        Job::LogEvacuation { zones, moved, from_peer } => {
            log_evacuation(&daemon, &zones, moved, from_peer);
        }
        Job::PartBlocked { part, left_ms, decided } => {
            let name = format!("{part:x}");
            spdlog::warn!("prompt_part_blocked", kv: { part: = name.as_str(), left_ms, decided });
            if decided {
                store_suspect(&daemon, part_row(part, left_ms)).await;
            }
        }
    }
}

/// Logs and counts what became of a generation on a leaving server, which may have left the list already. Each copy that is made
/// has a further line; a generation that is not moved has one with its end.
fn log_copy(daemon: &Daemon, server: Id, fate: Fate) {
    let name = daemon.read(|state| state.departing_name(server).map(str::to_owned));
    let name = name.unwrap_or_default();
    let (is_copy, outcome) = match fate {
        Fate::CopyStarted => (true, "made"),
        Fate::CopyUsed => (true, "used"),
        Fate::CopyUnused => (true, "unused"),
        Fate::EndedInTime => (false, "ended_in_time"),
        Fate::CutWaiting => (false, "cut_not_copied"),
        Fate::CutCopying => (false, "cut_copying"),
    };
    let label = [KeyValue::new("outcome", outcome)];
    if is_copy {
        daemon.telemetry.copies.add(1, &label);
        spdlog::info!("memory_copy", kv: { server: = name.as_str(), outcome: = outcome });
    } else {
        daemon.telemetry.left_behind.add(1, &label);
        spdlog::info!("generation_left", kv: { server: = name.as_str(), outcome: = outcome });
    }
}

/// Logs the evacuated zones. A zone without a server may be a mistake of the operator, or its servers come later.
fn log_evacuation(daemon: &Daemon, zones: &[String], moved: u32, from_peer: bool) {
    let config = daemon.config();
    let listed = |zone: &String| config.document.servers.iter().filter(|s| s.zone == *zone).count();
    let servers: usize = zones.iter().map(listed).sum();
    daemon.telemetry.evacuated_servers.record(servers as u64, &[]);
    spdlog::warn!("zones_evacuated", kv: { zones: = zones.join(","), servers, moved, from_peer });
    let unknown = zones.iter().filter(|z| listed(z) == 0 && **z != daemon.settings.zone);
    for zone in daemon.record_unknown_zones(unknown.cloned().collect()) {
        spdlog::warn!("evacuated_zone_unknown", kv: { zone: = zone.as_str() });
    }
}

async fn store_suspect(daemon: &Daemon, row: Row) {
    let Some(table) = &daemon.table else { return };
    let write = Write { row: &row, condition: Condition::Always };
    if let Err(error) = table.transact(&[write]).await {
        spdlog::warn!("suspect_not_written", kv: { error: });
    }
}

async fn transact(daemon: &Daemon, table: &Table, claims: &[Claim]) -> TransactionOutcome {
    let hours = u64::from(daemon.config().document.routing.record_hours);
    let expires = unix_seconds() + hours * 3600;
    let rows: Vec<Row> = claims.iter().map(|c| claim_row(c, expires)).collect();
    let writes = claims.iter().zip(&rows).map(|(claim, row)| {
        let condition = match claim.replaces.as_str() {
            "" => Condition::AbsentOrTag(&claim.attempt),
            replaced => Condition::Tag(replaced),
        };
        Write { row, condition }
    });
    let writes: Vec<Write<'_>> = writes.collect();
    match table.transact(&writes).await {
        Ok(Outcome::Committed) => TransactionOutcome::Done,
        Ok(Outcome::Conflict(failures)) => {
            TransactionOutcome::Conflict(failures.into_iter().map(row_result).collect())
        }
        Err(error) => {
            spdlog::warn!("claims_not_written", kv: { claims = claims.len(), error: });
            TransactionOutcome::Failed
        }
    }
}

/// Builds the row that a claim writes.
fn claim_row(claim: &Claim, expires: u64) -> Row {
    let (partition, sort) = claim.row.split_once('/').unwrap_or((&claim.row, ""));
    let tag = if claim.settle { settled_tag(&claim.attempt) } else { claim.attempt.clone() };
    Row {
        partition: partition.to_owned(),
        sort: sort.to_owned(),
        tag,
        value: claim.record.clone(),
        expires,
    }
}

fn row_result(failure: WriteResult) -> RowResult {
    RowResult { failed: failure.failed, current: failure.row.map(|r| (r.tag, r.value)) }
}

fn suspect_row(fingerprint: u64, crashes: u32) -> Row {
    Row {
        partition: SUSPECTS_PARTITION.to_owned(),
        sort: format!("{fingerprint:016x}"),
        tag: crashes.to_string(),
        value: "{}".to_owned(),
        expires: unix_seconds() + SUSPECT_LIFETIME_S,
    }
}

/// The row of a blocked part says when the block ends. A platform may keep rows beyond their time.
fn part_row(part: Id, left_ms: Millis) -> Row {
    Row {
        partition: SUSPECTS_PARTITION.to_owned(),
        sort: format!("{PART_PREFIX}{part:016x}"),
        tag: left_ms.to_string(),
        value: "{}".to_owned(),
        expires: unix_seconds() + left_ms / 1_000,
    }
}

/// Decodes a row of a blocked part: the part, and for how many milliseconds it stays blocked.
fn blocked_part(row: &Row) -> Option<(Id, Millis)> {
    let part = u64::from_str_radix(row.sort.strip_prefix(PART_PREFIX)?, 16).ok()?;
    let left_s = row.expires.checked_sub(unix_seconds()).filter(|left| *left > 0)?;
    Some((part, left_s * 1_000))
}

/// Reads the stored requests and parts of prompts under which servers crashed, and retries until the table service answers.
pub async fn read_suspects(daemon: Arc<Daemon>, cancel: CancellationToken) {
    let Some(table) = &daemon.table else { return };
    loop {
        if let Ok(rows) = table.query(SUSPECTS_PARTITION, " ", MAX_SUSPECTS).await {
            for row in rows {
                if let Some((part, left_ms)) = blocked_part(&row) {
                    daemon.apply(Event::PartBlockLoaded { part, left_ms });
                }
                let fingerprint = u64::from_str_radix(&row.sort, 16);
                if let (Ok(fingerprint), Ok(crashes)) = (fingerprint, row.tag.parse()) {
                    daemon.apply(Event::SuspectLoaded { fingerprint, crashes });
                }
            }
            return;
        }
        tokio::select! {
            () = cancel.cancelled() => return,
            () = tokio::time::sleep(RETRY_PAUSE) => {}
        }
    }
}
