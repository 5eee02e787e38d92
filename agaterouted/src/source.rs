//! Reads the declared document and the backend servers from the table service, and stores what was read.
//!
//! [`crate::declared`] follows the document, [`crate::discovery`] follows the servers, and
//! [`crate::readers`] fetches both from peers. `docs/PLATFORM.md` says how often each is read.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};
use std::time::Duration;

use agateroute_adapter::deployment::{OperatorDocument, ServiceCapacity};
use agateroute_adapter::{Changes, Deployment};
use agateroute_config::route::Route;
use agateroute_core::Id;
use agateroute_core::distribution::{Silences, Turn};
use agateroute_core::newest::Newest;
use agateroute_core::restore::{DocumentVersion, Restores};
use agateroute_core::roster::Roster;
use agateroute_core::server_list::ListPoint;
use agateroute_storage::error::Cause;
use agateroute_storage::{Client, PlatformError};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::peers::PeerChannels;

/// The time limit of a read, after which it is retried on another connection.
const READ_TIMEOUT: Duration = Duration::from_millis(700);
/// The pause after the first failed read. Up to 100 percent of jitter is added.
const MIN_RETRY_PAUSE: Duration = Duration::from_millis(100);
/// The longest pause between failed reads, before jitter. Requests with a key may be refused until a read
/// succeeds, so the pause stays well under a second.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(400);
/// The most pages of one read, so that a service that always reports another page can not make it endless.
const MAX_PAGES: usize = 512;

/// The table service as a source of the document and the backend servers.
#[derive(Debug)]
pub struct Source {
    /// The connections over which peers' snapshots are fetched.
    pub channels: PeerChannels,
    client: Client,
    address: RwLock<String>,
    state: Mutex<SourceState>,
    /// Whether the document can be read, for all tasks that read it.
    document_monitor: Mutex<DependencyMonitor>,
}

/// The results of reads of the table service and of fetches from peers.
#[derive(Debug, Default)]
pub struct SourceState {
    /// The newest document, whether read here or fetched from a peer.
    pub declared: Newest<DocumentVersion, Arc<OperatorDocument>>,
    /// The revision of the table after which changes of the document are read, `None` before a full read.
    pub declared_revision: Option<u64>,
    /// The listed backend servers.
    pub roster: Roster,
    /// Whether the backend servers were read at least once.
    pub servers_read: bool,
    /// The era of the table service and what reads in it prove.
    pub restores: Restores,
    /// Whether another instance has written that the current era has settled.
    pub confirmed: bool,
    /// Whether the peer that was fetched from last has handed on the evacuated availability zones.
    pub zones_fetched: bool,
    /// The changes of a peer's list of servers that were taken.
    pub list_point: ListPoint,
    /// The peer that gave the last recent list.
    pub list_peer: Option<Id>,
    /// When this instance may read the list itself, if no peer gives it a recent one.
    pub turn: Turn,
    /// The peers that have not answered lately.
    pub silences: Silences,
    /// The failed reads of the rows of instances.
    pub rows_failures: u32,
    /// The last revision of the servers in the former era.
    pub former_revision: u64,
    /// The keys and revisions of invalid rows that were logged.
    pub rejected_rows: VecDeque<(String, u64)>,
}

/// Rows that were read, and the era of the table service in which it answered.
#[derive(Debug)]
pub struct TableRead {
    /// The rows.
    pub changes: Changes,
    /// The era, `None` for a service without eras.
    pub era: Option<u64>,
}

/// The most invalid rows that are remembered so that each is logged once.
const MAX_REJECTED_ROWS: usize = 64;

impl SourceState {
    /// Records an invalid row, by its key and revision. Returns whether it was not known yet, so that it is logged once.
    pub fn is_new_rejection(&mut self, key: &str, revision: u64) -> bool {
        let rows = &mut self.rejected_rows;
        if rows.iter().any(|(k, r)| (k.as_str(), *r) == (key, revision)) {
            return false;
        }
        rows.push_back((key.to_owned(), revision));
        if rows.len() > MAX_REJECTED_ROWS {
            rows.pop_front();
        }
        true
    }
}

impl Source {
    /// Creates a source without any reads, for the table address of the deployment.
    pub fn new(client: Client, deployment: &Deployment) -> Source {
        Source {
            channels: PeerChannels::default(),
            client,
            address: RwLock::new(deployment.table_address.clone()),
            state: Mutex::new(SourceState {
                restores: Restores::new(deployment.first_start),
                ..SourceState::default()
            }),
            document_monitor: Mutex::new(DependencyMonitor::new("document")),
        }
    }

    /// Locks the results of the reads.
    pub fn lock(&self) -> MutexGuard<'_, SourceState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the record of whether the document can be read.
    pub fn lock_monitor(&self) -> MutexGuard<'_, DependencyMonitor> {
        self.document_monitor.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The address of the table service.
    pub fn address(&self) -> String {
        self.address.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Changes the address of the table service for the next reads.
    pub fn set_address(&self, address: &str) {
        *self.address.write().unwrap_or_else(PoisonError::into_inner) = address.to_owned();
    }

    /// The latest era of the table service that a response or a peer has shown.
    pub fn era(&self) -> Option<u64> {
        self.client.era()
    }

    /// Records an era that a peer knows, so that later responses of an earlier one are recognised.
    pub fn observe_era(&self, era: u64) {
        self.client.observe_era(era);
    }

    /// Waits for changes of the era.
    pub fn watch_era(&self) -> watch::Receiver<Option<u64>> {
        self.client.watch_era()
    }

    /// The declared capacity of the backend servers of a route's first target.
    pub fn capacity(&self, route: &Route) -> Option<ServiceCapacity> {
        let state = self.lock();
        let service = route.targets.first()?.service.as_str();
        let declared = state.declared.get()?;
        declared.capacities.iter().find(|(name, _)| name == service).map(|(_, c)| *c)
    }

    /// Whether the backend servers were read at least once.
    pub fn has_servers(&self) -> bool {
        self.lock().servers_read
    }

    /// Reads all pages of a table; more than `MAX_PAGES` are an error. The revision is the lowest one of all pages.
    pub async fn read_table(
        &self,
        deployment: &Deployment,
        table: &str,
    ) -> Result<TableRead, PlatformError> {
        let mut all = Changes::default();
        let client = self.client.with_timeout(READ_TIMEOUT);
        let mut era = None;
        for page in 1.. {
            let address = self.address();
            let after = all.rows.last().map_or("", |r| r.key.as_str());
            let request = (deployment.feed.encode_page)(&address, table, after);
            let response = client.call_in_era("table read", &address, request).await?;
            if !all.rows.is_empty() && response.era != era {
                return Err(PlatformError::new("table read", &address, Cause::Superseded));
            }
            era = response.era;
            let read = (deployment.feed.decode)(response.status, &response.body)
                .map_err(|cause| PlatformError::new("table read", &address, cause))?;
            // Later pages may be newer: changes after the oldest page's revision are read again.
            all.revision =
                if all.rows.is_empty() { read.revision } else { all.revision.min(read.revision) };
            let more = read.has_more && !read.rows.is_empty();
            all.rows.extend(read.rows);
            if !more {
                break;
            }
            // A part of the table must not count as all of it.
            if page == MAX_PAGES {
                let cause = Cause::Decode(format!("the table has more than {MAX_PAGES} pages"));
                return Err(PlatformError::new("table read", &address, cause));
            }
        }
        Ok(TableRead { changes: all, era })
    }

    /// Waits up to `wait` for changes of a table after a revision.
    pub async fn read_changes(
        &self,
        deployment: &Deployment,
        table: &str,
        after: u64,
        wait: Duration,
    ) -> Result<TableRead, PlatformError> {
        let address = self.address();
        let client = self.client.with_timeout(wait + READ_TIMEOUT);
        let request = (deployment.feed.encode_changes)(&address, table, after, wait);
        let response = client.call_in_era("table changes", &address, request).await?;
        let changes = (deployment.feed.decode)(response.status, &response.body)
            .map_err(|cause| PlatformError::new("table changes", &address, cause))?;
        Ok(TableRead { changes, era: response.era })
    }
}

/// Logs once when a dependency is lost and once when it is back, and spaces the retries.
#[derive(Debug)]
pub struct DependencyMonitor {
    name: &'static str,
    failures: u32,
}

impl DependencyMonitor {
    /// Creates a monitor of a dependency that works.
    pub fn new(name: &'static str) -> DependencyMonitor {
        DependencyMonitor { name, failures: 0 }
    }

    /// Whether the last read failed.
    pub fn is_lost(&self) -> bool {
        self.failures > 0
    }

    /// Records a failed read. Returns the pause before the next one, which grows with each failure so that
    /// many instances do not overload a service that is recovering.
    pub fn record_failure(&mut self, error: &PlatformError) -> Duration {
        if self.failures == 0 {
            spdlog::warn!("dependency_lost", kv: { what: = self.name, error: });
        }
        let pause = MIN_RETRY_PAUSE.saturating_mul(1 << self.failures.min(16)).min(MAX_RETRY_PAUSE);
        self.failures += 1;
        pause + pause.mul_f64(rand::random())
    }

    /// Records a successful read.
    pub fn record_success(&mut self) {
        if std::mem::take(&mut self.failures) > 0 {
            spdlog::info!("dependency_regained", kv: { what: = self.name });
        }
    }
}

/// Sleeps for a time and returns false, or returns true as soon as it is cancelled.
pub async fn cancelled_within(cancel: &CancellationToken, time: Duration) -> bool {
    tokio::select! {
        () = cancel.cancelled() => true,
        () = tokio::time::sleep(time) => false,
    }
}
