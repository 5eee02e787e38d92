//! Follows the era of the table service and writes again what a return from a copy has lost.
//!
//! [`agateroute_core::restore`] decides what reads prove meanwhile. See `docs/DESIGN.md`, "A table service that
//! comes back from a copy".

use std::sync::Arc;
use std::time::Duration;

use agateroute_core::Event;
use agateroute_core::evacuation::Point;
use agateroute_core::id::Millis;
use agateroute_core::restore::EraChange;
use tokio_util::sync::CancellationToken;

use crate::clock::boot_millis;
use crate::daemon::millis;
use crate::instances;
use crate::route_instance::RouteInstance;

/// The longest pause before lost rows are written again, so that a large fleet does not write them all at once.
const MAX_REWRITE_PAUSE: Duration = Duration::from_secs(1);

/// Applies the latest era that the table service or a peer has shown. It must be called before anything that was
/// read in that era is applied.
pub fn observe(instance: &RouteInstance) {
    let Some(era) = instance.source.era() else { return };
    let now = boot_millis();
    let mut guard = instance.source.lock();
    let state = &mut *guard;
    let change = state.restores.observe(now, era);
    if change == EraChange::None {
        return;
    }
    let settles_ms = state.restores.settles_in(now);
    state.confirmed = false;
    let revision = instance.daemon.snapshot.begin_era(era);
    state.former_revision = revision;
    if let EraChange::Restored(_) = change {
        state.roster.service_restored(now);
        state.declared_revision = None;
        state.rejected_rows.clear();
    }
    drop(guard);
    match change {
        EraChange::Restored(former) => {
            spdlog::warn!("table_era_changed", kv: { former, era, revision, settles_ms });
        }
        _ => spdlog::info!("table_era", kv: { era, settles_ms }),
    }
}

/// Records that an instance has seen an era settle.
pub fn confirm(instance: &RouteInstance, era: u64) {
    observe(instance);
    let mut state = instance.source.lock();
    state.confirmed |= state.restores.era() == era;
    if state.restores.confirm(boot_millis(), era) {
        spdlog::info!("table_era_confirmed", kv: { era });
        instance.daemon.version_notify.notify_one();
    }
}

/// A revision that was read in an era, as a point that peers compare. It takes the era of the read rather than the latest one:
/// the service may have come back from a copy, whose revisions start lower, since it answered.
pub fn point(era: Option<u64>, revision: u64) -> Point {
    Point { era: era.map_or(0, |era| era.saturating_add(1)), revision }
}

/// Whether the servers known here may be handed to peers. An instance that knows none from before the current era
/// may have taken servers from the copy that have left.
pub fn knows_servers(instance: &RouteInstance, requested_at: Millis) -> bool {
    let state = instance.source.lock();
    state.roster.was_restored() || state.restores.is_settled(requested_at)
}

/// Writes the rows of this instance again after each return of the table service, and logs what was read and
/// written once its writers had the time to write again, until cancelled.
pub async fn follow(instance: Arc<RouteInstance>, cancel: CancellationToken) {
    let mut eras = instance.source.watch_era();
    let mut former = None;
    loop {
        let changed = tokio::select! {
            () = cancel.cancelled() => return,
            changed = eras.changed() => changed,
        };
        if changed.is_err() {
            return;
        }
        let era = *eras.borrow_and_update();
        observe(&instance);
        let former = std::mem::replace(&mut former, era);
        let returned = former.is_some();
        instance.daemon.version_notify.notify_one();
        let suspects = tokio::select! {
            () = cancel.cancelled() => return,
            // The next return starts over.
            _ = eras.changed() => { eras.mark_changed(); continue }
            suspects = rewrite(&instance, returned) => suspects,
        };
        let Some(former) = former else { continue };
        spdlog::info!("table_restored", kv: {
            former,
            era = era.unwrap_or(0),
            revision_before = instance.source.lock().former_revision,
            revision_after = instance.daemon.snapshot.servers_revision(),
            version = instance.daemon.config().version,
            servers = instance.daemon.config().servers.len(),
            suspects,
            reading_age_ms = instance.document_age(),
        });
    }
}

/// Waits until reads are settled, after a return of the service or the start of this instance. Writes the rows of this
/// instance again after a return, and tells instances which start later that reads are settled. Returns the number of
/// suspect requests that are known.
async fn rewrite(instance: &RouteInstance, returned: bool) -> usize {
    tokio::time::sleep(MAX_REWRITE_PAUSE.mul_f64(rand::random())).await;
    if returned {
        instance.announce_notify.notify_one();
        instance.daemon.apply(Event::TableRestored);
    }
    loop {
        let left_ms = instance.source.lock().restores.settles_in(boot_millis());
        if left_ms == 0 {
            break;
        }
        tokio::time::sleep(millis(left_ms)).await;
    }
    if let Some(era) = instance.source.era()
        && !instance.source.lock().confirmed
    {
        instances::write_settled(instance, era).await;
    }
    instance.daemon.read(|state| state.suspects.iter().count())
}
