//! Reads the document from the table service when no peer has handed it on in time.
//!
//! [`agateroute_core::recency`] decides when. It does not wait for questions to peers that are under way: these take as long as the
//! peers that stand still let them.

use std::sync::Arc;

use agateroute_core::id::Millis;
use agateroute_core::recency;
use tokio_util::sync::CancellationToken;

use crate::daemon::millis;
use crate::declared;
use crate::readers;
use crate::route_instance::RouteInstance;
use crate::source::cancelled_within;

/// Reads the document whenever it is due, until cancelled.
pub async fn follow(instance: Arc<RouteInstance>, cancel: CancellationToken) {
    let daemon = &instance.daemon;
    loop {
        // After a failure it reads again although peers may hand the document on: until a read succeeds the others do not count on it
        // as a reader.
        let retries = instance.source.lock_monitor().is_lost();
        let due_ms = due_in(&instance);
        let pause_ms = if retries { due_ms.min(instance.document_bound()) } else { due_ms };
        if pause_ms > 0 {
            tokio::select! {
                () = cancel.cancelled() => return,
                () = daemon.announced_notify.notified() => continue,
                () = tokio::time::sleep(millis(pause_ms)) => {}
            }
        }
        if !retries && due_in(&instance) > 0 {
            continue;
        }
        spdlog::info!("document_due", kv: {
            role: = readers::role(daemon).as_str(),
            version = daemon.config().version,
            announced = daemon.newest_version(),
            announced_ms = daemon.announced_for().map_or(-1, |time| time as i64),
            reading_age_ms = instance.document_age(),
        });
        let pause = declared::read_document(&instance).await;
        if due_in(&instance) == 0 && cancelled_within(&cancel, pause).await {
            return;
        }
    }
}

/// The time until the document has to be read here, in milliseconds. An instance that has just started has none yet, and leaves
/// peers as much time as if it had one.
fn due_in(instance: &RouteInstance) -> Millis {
    let daemon = &instance.daemon;
    let (bound_ms, me) = (instance.document_bound(), daemon.identity.id());
    match daemon.snapshot.document_age() {
        Some(age) => recency::document_due(bound_ms, me, age, daemon.announced_for()),
        None => recency::document_due(bound_ms, me, daemon.now(), None),
    }
}
