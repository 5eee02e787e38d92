//! Follows the backend servers in the discovery table.

use std::sync::Arc;
use std::time::Duration;

use agateroute_adapter::{Changes, RowChange};
use agateroute_core::id::Millis;
use agateroute_core::notice::Named;
use agateroute_core::readers::Role;
use agateroute_core::roster::{Change, Listing, Roster};
use agateroute_core::{Event, id};
use agateroute_storage::PlatformError;
use agateroute_storage::error::Cause;
use tokio_util::sync::CancellationToken;

use crate::announcements;
use crate::clock::boot_millis;
use crate::daemon::millis;
use crate::declared::rebuild_config;
use crate::readers;
use crate::restore;
use crate::route_instance::RouteInstance;
use crate::source::{DependencyMonitor, SourceState, TableRead, cancelled_within};

/// The part of `drain_ms` after which instances that do not follow changes read the table again, in percent.
/// Peers announce servers that leave; if none does, the read has to find them within `drain_ms`.
const REREAD_PERCENT: u64 = 55;
/// The part of `drain_ms` for which a peer's snapshot replaces a read, in percent. The rest leaves time for
/// the read.
const MAX_SNAPSHOT_AGE_PERCENT: u64 = 65;
/// How long one read of changes waits.
const CHANGES_WAIT: Duration = Duration::from_millis(600);
/// The pause between two reads of changes of one follower, so that one read gets several changes. Each follower pauses
/// in proportion to their number: they read at different times, and the first one that sees a server leave informs
/// all instances.
const CHANGES_PAUSE: Duration = Duration::from_millis(100);
/// The longest part of `drain_ms` for which a follower pauses, in percent.
const MAX_PAUSE_PERCENT: u64 = 25;
/// Stands for the revision of an entry that says no valid time for which its server is cold.
const COLD_REJECTION: u64 = u64::MAX;
/// The reads of changes after which the table is read in full, in case the service lost changes.
const MAX_CHANGE_READS: u32 = 40;

/// Keeps the list of backend servers, until cancelled. A follower reads the changes and announces servers
/// that leave to its peers; other instances read the table periodically or fetch a snapshot.
pub async fn follow_servers(instance: Arc<RouteInstance>, cancel: CancellationToken) {
    let table = instance.deployment.discovery_table;
    let mut monitor = DependencyMonitor::new("discovery");
    let mut after: Option<u64> = None;
    let mut change_reads = 0;
    loop {
        let role = readers::role(&instance.daemon);
        if matches!(role, Role::Client(_)) && servers_fresh(&instance) {
            after = None;
            if cancelled_within(&cancel, readers::fetch_pause(&instance)).await {
                return;
            }
            continue;
        }
        if readers::waits_for_turn(&instance) || readers::waits_for_reader(&instance) {
            if cancelled_within(&cancel, readers::START_RETRY_PAUSE).await {
                return;
            }
            continue;
        }
        let follows = role == Role::Follower;
        let revision = after.filter(|_| follows && change_reads < MAX_CHANGE_READS);
        let requested_at = boot_millis();
        let (source, deployment) = (&instance.source, &instance.deployment);
        let read = match revision {
            Some(revision) => source.read_changes(deployment, table, revision, CHANGES_WAIT).await,
            None => source.read_table(deployment, table).await,
        };
        change_reads = if revision.is_some() { change_reads + 1 } else { 0 };
        let now = boot_millis();
        let pause = match read {
            Ok(TableRead { changes, .. }) => {
                monitor.record_success();
                if revision.is_none() {
                    record_read(&instance, &role, changes.rows.len(), now - requested_at);
                }
                restore::observe(&instance);
                after = Some(changes.revision);
                instance.source.lock().roster.service_answered(now);
                apply_changes(&instance, now, &changes, revision.is_none());
                if restore::knows_servers(&instance, requested_at) {
                    instance.daemon.snapshot.record_servers(requested_at, 0, changes.revision);
                }
                match follows {
                    true => changes_pause(&instance),
                    false => millis(instance.bounds().drain_ms * REREAD_PERCENT / 100),
                }
            }
            Err(PlatformError { cause: Cause::Gone | Cause::Superseded, .. }) => {
                after = None;
                Duration::ZERO
            }
            Err(error) => {
                after = None;
                instance.source.lock().roster.service_failed(now);
                monitor.record_failure(&error)
            }
        };
        if cancelled_within(&cancel, pause).await {
            return;
        }
    }
}

fn changes_pause(instance: &RouteInstance) -> Duration {
    let followers = instance.daemon.read(readers::follower_count);
    let longest = millis(instance.bounds().drain_ms * MAX_PAUSE_PERCENT / 100);
    (CHANGES_PAUSE * followers).min(longest).max(CHANGES_PAUSE)
}

/// Records a read of the whole list, and logs it if it is the first one or this instance is not meant to read the list.
fn record_read(instance: &RouteInstance, role: &Role, rows: usize, took_ms: Millis) {
    instance.daemon.telemetry.list_reads.add(1, &[]);
    // The next read waits for its turn again: an instance that peers serve late must not read on and on.
    instance.source.lock().turn.served();
    if matches!(role, Role::Client(_)) || !instance.source.has_servers() {
        spdlog::info!("list_read", kv: { role: = role.as_str(), rows, took_ms });
    }
}

/// Whether the last snapshot or read of the servers is recent enough to skip a read.
pub fn servers_fresh(instance: &RouteInstance) -> bool {
    servers_within(instance, 0)
}

/// The same if a further part of `drain_ms` may have passed, in percent.
pub fn servers_within(instance: &RouteInstance, further: u64) -> bool {
    let max_age_ms = instance.bounds().drain_ms * (MAX_SNAPSHOT_AGE_PERCENT + further) / 100;
    instance.daemon.snapshot.servers_age().is_some_and(|age| age < max_age_ms)
}

fn apply_changes(instance: &RouteInstance, now: u64, changes: &Changes, full: bool) {
    let mut guard = instance.source.lock();
    let state = &mut *guard;
    let mut listings = Vec::new();
    for row in &changes.rows {
        let listing = parse_listing(instance, row, state);
        listings.push((row.key.clone(), row.revision, listing));
    }
    let mut change = Change::None;
    if full {
        change = state.roster.replace_all(now, changes.revision, listings);
    } else {
        for (name, revision, listing) in listings {
            change = change.max(state.roster.update(now, &name, revision, listing));
        }
    }
    change = change.max(state.roster.expire(now));
    if !std::mem::replace(&mut state.servers_read, true) {
        change = Change::Servers;
    }
    let removed = state.roster.take_removed();
    drop(guard);
    for name in removed {
        spdlog::info!("server_leaving", kv: { server: = name.as_str(), revision = changes.revision });
        announcements::announce_leaving(&instance.daemon, id(&name));
    }
    if change == Change::Servers {
        rebuild_config(instance);
    }
    apply_cold(instance, changes);
}

/// Applies the whole list of a peer.
pub fn apply_peer_list(instance: &RouteInstance, revision: u64, listings: Vec<Listing>) {
    apply_from_peer(instance, revision, |roster, now| {
        roster.set_from_peer(now, revision, listings)
    });
}

/// Applies what has changed in the list of a peer.
pub fn apply_peer_changes(
    instance: &RouteInstance,
    revision: u64,
    changed: Vec<Listing>,
    removed: &[String],
) {
    apply_from_peer(instance, revision, |roster, now| {
        roster.update_from_peer(now, revision, changed, removed)
    });
}

fn apply_from_peer(
    instance: &RouteInstance,
    revision: u64,
    apply: impl FnOnce(&mut Roster, Millis) -> Change,
) {
    let mut state = instance.source.lock();
    let mut change = apply(&mut state.roster, boot_millis());
    if !std::mem::replace(&mut state.servers_read, true) {
        change = Change::Servers;
    }
    let removed = state.roster.take_removed();
    drop(state);
    for name in removed {
        spdlog::info!("server_leaving", kv: { server: = name.as_str(), revision });
        instance.daemon.mark_leaving(id(&name));
    }
    if change == Change::Servers {
        rebuild_config(instance);
    }
}

/// Passes on what entries say of cold servers, if any service has terms for them.
fn apply_cold(instance: &RouteInstance, changes: &Changes) {
    if !instance.daemon.read(|state| state.cold.has_terms()) {
        return;
    }
    let mut servers = Vec::new();
    for row in &changes.rows {
        let Some(value) = &row.value else { continue };
        match (instance.deployment.decode_cold)(value) {
            Named::Value(left_ms) => servers.push((id(&row.key), left_ms)),
            Named::Invalid => {
                // A server writes its entry each second, so a revision would not keep it to one line.
                if instance.source.lock().is_new_rejection(&row.key, COLD_REJECTION) {
                    spdlog::warn!("cold_time_invalid", kv: { server: = row.key.as_str() });
                }
            }
            Named::Absent => {}
        }
    }
    instance.daemon.apply(Event::ColdRead { servers });
}

fn parse_listing(
    instance: &RouteInstance,
    row: &RowChange,
    state: &mut SourceState,
) -> Option<Listing> {
    let value = row.value.as_ref()?;
    match (instance.deployment.decode_listing)(&row.key, value) {
        Ok(listing) => Some(listing),
        Err(error) => {
            if state.is_new_rejection(&row.key, row.revision) {
                spdlog::warn!("listing_invalid", kv: { name: = row.key.as_str(), error: = error.as_str() });
            }
            None
        }
    }
}
