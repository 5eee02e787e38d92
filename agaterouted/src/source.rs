//! Reads of the table service, and what an instance holds of them: the declared document and the backend
//! servers.
//!
//! [`crate::declared`] keeps the document, [`crate::listings`] the servers, and [`crate::readers`] asks
//! peers for both. See `docs/PLATFORM.md` for how often each is read.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};
use std::time::Duration;

use agateroute_adapter::deployment::{OperatorDocument, ServiceCapacity};
use agateroute_adapter::{Changes, Deployment};
use agateroute_config::route::Route;
use agateroute_core::newest::Newest;
use agateroute_core::roster::Roster;
use agateroute_storage::{Client, PlatformError};
use tokio_util::sync::CancellationToken;

use crate::peers::PeerChannels;

/// How long a read may take before it is tried again on another connection.
const READ_TIMEOUT: Duration = Duration::from_millis(700);
/// The pause after a first failed read, with as much again of jitter.
const MIN_RETRY_PAUSE: Duration = Duration::from_millis(100);
/// The longest pause after failed reads, with as much again of jitter. Requests with a key are refused until
/// a read succeeds, so it stays well under a second.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(400);
/// The pages of a table that are read at once, against a service that says there are always more.
const MAX_PAGES: usize = 64;

/// What is read from the table service.
#[derive(Debug)]
pub struct Source {
    /// The connections over which peers are asked.
    pub channels: PeerChannels,
    client: Client,
    address: RwLock<String>,
    state: Mutex<SourceState>,
}

/// What an instance holds of its reads.
#[derive(Debug, Default)]
pub struct SourceState {
    /// The newest document.
    pub declared: Newest<Arc<OperatorDocument>>,
    /// The revision of the table service up to which the document was read.
    pub declared_revision: Option<u64>,
    /// The backend servers.
    pub roster: Roster,
    /// Whether the backend servers were ever read.
    pub servers_read: bool,
    /// Rows of the discovery table that name no server and were logged already.
    pub rejected_rows: VecDeque<(String, u64)>,
}

impl Source {
    /// A source that has read nothing yet.
    pub fn new(client: Client, deployment: &Deployment) -> Source {
        Source {
            channels: PeerChannels::default(),
            client,
            address: RwLock::new(deployment.table.clone()),
            state: Mutex::default(),
        }
    }

    /// What this instance holds.
    pub fn lock(&self) -> MutexGuard<'_, SourceState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The address of the table service.
    pub fn address(&self) -> String {
        self.address.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Uses another address of the table service.
    pub fn set_address(&self, address: &str) {
        *self.address.write().unwrap_or_else(PoisonError::into_inner) = address.to_owned();
    }

    /// What the backend servers of a route can take, by its first target.
    pub fn capacity(&self, route: &Route) -> Option<ServiceCapacity> {
        let state = self.lock();
        let service = route.targets.first()?.service.as_str();
        let declared = state.declared.get()?;
        declared.capacities.iter().find(|(name, _)| name == service).map(|(_, c)| *c)
    }

    /// Whether the backend servers were ever read.
    pub fn has_servers(&self) -> bool {
        self.lock().servers_read
    }

    /// Reads a whole table.
    pub async fn read_table(
        &self,
        deployment: &Deployment,
        table: &str,
    ) -> Result<Changes, PlatformError> {
        let mut all = Changes::default();
        let client = self.client.with_timeout(READ_TIMEOUT);
        for _ in 0..MAX_PAGES {
            let address = self.address();
            let after = all.rows.last().map_or("", |r| r.key.as_str());
            let request = (deployment.feed.page)(&address, table, after);
            let (status, body) = client.call("table read", &address, request).await?;
            let page = (deployment.feed.decode)(status, &body)
                .map_err(|cause| PlatformError::new("table read", &address, cause))?;
            // Later pages may be newer; only what all of them hold counts as read.
            all.revision =
                if all.rows.is_empty() { page.revision } else { all.revision.min(page.revision) };
            let more = page.has_more && !page.rows.is_empty();
            all.rows.extend(page.rows);
            if !more {
                break;
            }
        }
        Ok(all)
    }

    /// Waits for changes of a table after a revision, for as long as `wait`.
    pub async fn read_changes(
        &self,
        deployment: &Deployment,
        table: &str,
        after: u64,
        wait: Duration,
    ) -> Result<Changes, PlatformError> {
        let address = self.address();
        let client = self.client.with_timeout(wait + READ_TIMEOUT);
        let request = (deployment.feed.changes)(&address, table, after, wait);
        let (status, body) = client.call("table changes", &address, request).await?;
        (deployment.feed.decode)(status, &body)
            .map_err(|cause| PlatformError::new("table changes", &address, cause))
    }
}

/// Logs when a dependency is lost and when it is back, once each.
#[derive(Debug)]
pub struct DependencyMonitor {
    name: &'static str,
    failures: u32,
}

impl DependencyMonitor {
    /// A watch over something that is well.
    pub fn new(name: &'static str) -> DependencyMonitor {
        DependencyMonitor { name, failures: 0 }
    }

    /// Notes a failed read. Returns how long to wait before the next one: longer each time, so that many
    /// instances do not keep a service busy that tries to come back.
    pub fn record_failure(&mut self, error: &PlatformError) -> Duration {
        if self.failures == 0 {
            spdlog::warn!("dependency_lost", kv: { what: = self.name, error: });
        }
        let pause = MIN_RETRY_PAUSE.saturating_mul(1 << self.failures.min(16)).min(MAX_RETRY_PAUSE);
        self.failures += 1;
        pause + pause.mul_f64(rand::random())
    }

    /// Notes a read that succeeded.
    pub fn record_success(&mut self) {
        if std::mem::take(&mut self.failures) > 0 {
            spdlog::info!("dependency_regained", kv: { what: = self.name });
        }
    }
}

/// Waits, unless cancelled. Returns whether it was.
pub async fn cancelled_within(cancel: &CancellationToken, time: Duration) -> bool {
    tokio::select! {
        () = cancel.cancelled() => true,
        () = tokio::time::sleep(time) => false,
    }
}
