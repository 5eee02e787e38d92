//! Reads the operator's document, follows its changes and activates new versions.

use std::sync::Arc;
use std::time::Duration;

use agateroute_adapter::deployment::OperatorDocument;
use agateroute_core::Event;
use agateroute_core::evacuation::{RowState, Update, ZoneRow};
use agateroute_core::id::Millis;
use agateroute_core::readers::Role;
use agateroute_core::recency;
use agateroute_core::restore::DocumentVersion;
use agateroute_storage::PlatformError;
use agateroute_storage::error::Cause;
use tokio_util::sync::CancellationToken;

use crate::clock::boot_millis;
use crate::compose::{PeerDocument, cold_terms, compose};
use crate::daemon::millis;
use crate::readers;
use crate::restore;
use crate::route_instance::RouteInstance;
use crate::source::{TableRead, cancelled_within};

/// How long one read of changes waits. Full reads catch changes that it misses.
const CHANGES_WAIT: Duration = Duration::from_secs(10);
/// The pause before changes are read again after a failure, or while another instance follows them.
const CHANGES_RETRY_PAUSE: Duration = Duration::from_secs(1);
/// The time since the document was last read, in milliseconds, after which a failed read falls back to the
/// snapshots of peers.
const MAX_READ_AGE_MS: u64 = 1_200;
/// The shortest pause between two reads, in milliseconds, while reads do not prove that the document is the newest.
const MIN_UNSETTLED_PAUSE_MS: u64 = 100;

/// Keeps the newest document active, until cancelled.
pub async fn follow_document(instance: Arc<RouteInstance>, cancel: CancellationToken) {
    let mut last_role = None;
    loop {
        let role = readers::role(&instance.daemon);
        if last_role.as_ref() != Some(&role) {
            spdlog::info!("table_service_role", kv: { role: = role.as_str() });
            last_role = Some(role);
        }
        let pause = match readers::refresh(&instance).await {
            true => readers::fetch_pause(&instance),
            false => read_document(&instance).await,
        };
        tokio::select! {
            () = cancel.cancelled() => return,
            () = instance.daemon.version_notify.notified() => {}
            () = tokio::time::sleep(pause) => {}
        }
    }
}

/// Reads the document's table in full. Returns the pause before the next read.
pub async fn read_document(instance: &RouteInstance) -> Duration {
    let (table, key) = instance.deployment.document_row;
    let requested_at = boot_millis();
    match instance.source.read_table(&instance.deployment, table).await {
        Ok(read) => {
            instance.source.lock_monitor().record_success();
            restore::observe(instance);
            instance.daemon.apply(Event::TableReachable { reachable: true });
            {
                let mut state = instance.source.lock();
                // Revisions of different eras do not compare.
                if state.restores.era() == read.era.unwrap_or(0) {
                    state.declared_revision = Some(read.changes.revision);
                    state.restores.record_revision(read.changes.revision);
                }
            }
            // No document is activated before the evacuations are known that were read with it.
            apply_zone_rows(instance, requested_at, &read, true);
            if apply_document_row(instance, requested_at, &read, key) {
                instance.daemon.snapshot.record_document(requested_at, 0);
            }
            // A restored service may lack a version that peers still have.
            if readers::is_behind(&instance.daemon) {
                readers::fetch_some(instance).await;
            }
            reread_pause(instance)
        }
        Err(PlatformError { cause: Cause::Superseded, .. }) => Duration::ZERO,
        Err(error) => {
            instance.daemon.apply(Event::TableReachable { reachable: false });
            let pause = instance.source.lock_monitor().record_failure(&error);
            if instance.document_age() > MAX_READ_AGE_MS {
                readers::fetch_some(instance).await;
            }
            pause
        }
    }
}

/// The pause before the next read of the document. It is shorter while reads of a restored service prove nothing.
fn reread_pause(instance: &RouteInstance) -> Duration {
    let pause_ms = recency::reread_ms(instance.document_bound());
    match instance.source.lock().restores.settles_in(boot_millis()) {
        0 => millis(pause_ms),
        left_ms => millis(left_ms.max(MIN_UNSETTLED_PAUSE_MS).min(pause_ms)),
    }
}

/// Follows changes of the document while this instance is a follower, until cancelled. Its peers learn of a
/// new version from the batches that it sends.
pub async fn follow_changes(instance: Arc<RouteInstance>, cancel: CancellationToken) {
    let (table, key) = instance.deployment.document_row;
    loop {
        let after = instance.source.lock().declared_revision;
        let after = after.filter(|_| readers::role(&instance.daemon) == Role::Follower);
        let Some(after) = after else {
            if cancelled_within(&cancel, CHANGES_RETRY_PAUSE).await {
                return;
            }
            continue;
        };
        let requested_at = boot_millis();
        let read = instance.source.read_changes(&instance.deployment, table, after, CHANGES_WAIT);
        let read = tokio::select! {
            () = cancel.cancelled() => return,
            read = read => read,
        };
        match read {
            Ok(read) => {
                restore::observe(&instance);
                apply_zone_rows(&instance, requested_at, &read, false);
                apply_document_row(&instance, requested_at, &read, key);
                let mut state = instance.source.lock();
                if state.restores.era() == read.era.unwrap_or(0) {
                    let revision = Some(read.changes.revision);
                    state.declared_revision = state.declared_revision.max(revision);
                }
            }
            // The next full read gives the revision to continue from.
            Err(PlatformError { cause: Cause::Gone | Cause::Superseded, .. }) => {
                instance.source.lock().declared_revision = None;
            }
            Err(error) => {
                spdlog::debug!("document_changes_not_read", kv: { error: });
                if cancelled_within(&cancel, CHANGES_RETRY_PAUSE).await {
                    return;
                }
            }
        }
    }
}

/// Applies the rows that evacuate availability zones: all of the table, or those that changed.
fn apply_zone_rows(instance: &RouteInstance, requested_at: Millis, read: &TableRead, whole: bool) {
    let decode = instance.deployment.decode_evacuation;
    let rows: Vec<ZoneRow> = read.changes.rows.iter().filter_map(decode).collect();
    for row in &rows {
        if let RowState::Invalid(error) = &row.state
            && instance.source.lock().is_new_rejection(&row.zone, row.revision)
        {
            spdlog::warn!("evacuation_invalid", kv: { zone: = row.zone.as_str(), error: = error.as_str() });
        }
    }
    let update = if whole { Update::Whole(rows) } else { Update::Changes(rows) };
    let point = restore::point(read.era, read.changes.revision);
    let settled = instance.source.lock().restores.is_settled(requested_at);
    instance.daemon.apply(Event::EvacuationRead { point, settled, update });
}

/// Activates the document among the rows, if it is newer than the active one. Returns whether the read proves
/// that there is no newer one than is active then.
fn apply_document_row(
    instance: &RouteInstance,
    requested_at: Millis,
    read: &TableRead,
    key: &str,
) -> bool {
    let Some(row) = read.changes.rows.iter().rfind(|r| r.key == key) else { return false };
    let Some(value) = &row.value else { return false };
    match (instance.deployment.decode_document)(value) {
        Ok(declared) => {
            let era = read.era.unwrap_or(0);
            let version = DocumentVersion { version: declared.version, era };
            let origin = Origin { peer: "", requested_at, age_ms: Some(0) };
            apply_declared(instance, declared, era, &origin);
            let state = instance.source.lock();
            let held = state.declared.version().unwrap_or(version);
            let announced = instance.daemon.newest_version();
            state.restores.era() == era
                && state.restores.proves_newest(
                    requested_at,
                    version,
                    row.revision,
                    held,
                    announced,
                )
        }
        Err(error) => {
            spdlog::error!("document_invalid", kv: { error: = error.as_str() });
            false
        }
    }
}

/// Where a document came from, for the log.
#[derive(Debug)]
pub struct Origin<'a> {
    /// The peer address, empty for the table service.
    pub peer: &'a str,
    /// When it was asked for, on the boot clock.
    pub requested_at: Millis,
    /// How long ago the source had read it then, in milliseconds; `None` if it does not say.
    pub age_ms: Option<Millis>,
}

/// Activates a declared document that was read in an era, if it is newer than the active one.
pub fn apply_declared(
    instance: &RouteInstance,
    declared: OperatorDocument,
    era: u64,
    origin: &Origin,
) {
    let version = DocumentVersion { version: declared.version, era };
    let warnings = declared.warnings.clone();
    let decoded_at = boot_millis();
    let age_ms = instance.document_age();
    if instance.source.lock().declared.offer(version, Arc::new(declared)) {
        for warning in warnings {
            spdlog::warn!("document_value_ignored", kv: { error: = warning.as_str() });
        }
        rebuild_config(instance);
        let delay_ms = instance.daemon.announcement_delay();
        if let Some(delay_ms) = delay_ms {
            instance.daemon.telemetry.version_delay.record(delay_ms as f64 / 1_000.0, &[]);
        }
        spdlog::info!("document_taken", kv: {
            version = version.version,
            era,
            source: = if origin.peer.is_empty() { "table" } else { "peer" },
            peer: = origin.peer,
            source_age_ms = origin.age_ms.map_or(-1, |age| age as i64),
            fetch_ms = decoded_at.saturating_sub(origin.requested_at),
            build_ms = boot_millis().saturating_sub(decoded_at),
            announced_ms = delay_ms.map_or(-1, |delay| delay as i64),
            former_age_ms = age_ms,
        });
    }
}

/// Rebuilds the active document from the declared one, the listed servers and the platform's bounds.
pub fn rebuild_config(instance: &RouteInstance) {
    let bounds = instance.bounds();
    let state = instance.source.lock();
    let Some(declared) = state.declared.get().cloned() else { return };
    let document = compose(&declared, &state.roster, &bounds);
    let terms = cold_terms(&declared, &bounds);
    let version = state.declared.version();
    let servers = document.servers.len();
    instance.daemon.snapshot.set_servers(state.roster.ready().cloned());
    drop(state);
    instance.daemon.apply(Event::ColdTermsRead { terms });
    if declared.version > instance.daemon.config().version || !instance.daemon.configured() {
        instance.daemon.configure(declared.version, document);
    } else {
        instance.daemon.set_servers(document);
    }
    if let Some(version) =
        version.filter(|v| instance.daemon.snapshot.document_version() != Some(*v))
    {
        match serde_json::to_string(&PeerDocument::new(&declared)) {
            Ok(json) => instance.daemon.snapshot.set_document(version, json),
            Err(error) => spdlog::error!("document_not_written", kv: { error: }),
        }
    }
    spdlog::info!("servers_in_force", kv: { version = declared.version, servers });
}
