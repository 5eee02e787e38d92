//! What an instance on a platform reads from the table service: the operator's document and the backend
//! servers.
//!
//! See `docs/PLATFORM.md` for how often each is read and what holds while the service is away.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};
use std::time::Duration;

use agateroute_adapter::deployment::{Declared, ServiceCapacity};
use agateroute_adapter::{Changes, Deployment, RowChange};
use agateroute_config::route::Route;
use agateroute_core::id;
use agateroute_core::roster::{Change, Listing, Roster};
use agateroute_storage::error::Cause;
use agateroute_storage::{Client, PlatformError};
use tokio_util::sync::CancellationToken;

use crate::clock::boot_millis;
use crate::compose::{PeerDocument, compose};
use crate::peers::fetch_document;
use crate::routed::Routed;
use crate::shell::{Shell, millis};

/// The part of its bound after which the document is read again, in percent, beside when a peer tells of a
/// newer version. The rest is for the read, and for another one where the first is lost.
const DOCUMENT_PERCENT: u64 = 50;
/// How long a read may take before it is tried again on another connection.
const READ_TIME: Duration = Duration::from_millis(700);
/// The part of the bound for leaving servers after which the list is read again by instances that do not
/// follow its changes, in percent. Peers tell of servers that leave; without them that has to be known
/// within the bound.
const SERVERS_PERCENT: u64 = 55;
/// How long a read of changes waits for one.
const CHANGES_WAIT: Duration = Duration::from_millis(600);
/// The pause between two reads of changes, in which changes gather.
const CHANGES_PAUSE: Duration = Duration::from_millis(100);
/// The reads of changes after which the servers are read whole, in case changes were not told.
const CHANGES_MOST: u32 = 40;
/// The pause after a failed read, with as much again of jitter.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// How old a reading of the document may grow before peers are asked for theirs, in milliseconds.
const ASK_PEERS_MS: u64 = 1_200;
/// The pages of a table that are read at once, against a service that says there are always more.
const PAGES_MOST: usize = 64;
/// The duty of following the changes of the backend servers.
const DISCOVERY_DUTY: &str = "discovery";

/// What is read from the table service.
#[derive(Debug)]
pub struct Source {
    client: Client,
    address: RwLock<String>,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    declared: Option<Arc<Declared>>,
    roster: Roster,
    listed: bool,
    /// Rows of the discovery table that name no server and were logged already.
    foreign: VecDeque<(String, u64)>,
}

/// The most foreign rows that are remembered so that each is logged once.
const FOREIGN_MOST: usize = 64;

impl Source {
    /// A source that has read nothing yet.
    pub fn new(client: Client, deployment: &Deployment) -> Source {
        Source {
            client,
            address: RwLock::new(deployment.table.clone()),
            state: Mutex::new(State::default()),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
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
        let declared = state.declared.as_ref()?;
        declared.capacities.iter().find(|(name, _)| name == service).map(|(_, c)| *c)
    }

    /// Whether the backend servers were ever read.
    pub fn has_servers(&self) -> bool {
        self.lock().listed
    }

    /// Reads a whole table.
    async fn read_whole(
        &self,
        deployment: &Deployment,
        table: &str,
    ) -> Result<Changes, PlatformError> {
        let mut all = Changes::default();
        let client = self.client.within(READ_TIME);
        for _ in 0..PAGES_MOST {
            let address = self.address();
            let after = all.rows.last().map_or("", |r| r.key.as_str());
            let request = (deployment.feed.page)(&address, table, after);
            let (status, body) = client.call("table read", &address, request).await?;
            let page = (deployment.feed.decode)(status, &body)
                .map_err(|cause| PlatformError::new("table read", &address, cause))?;
            // Later pages may be newer; only what all of them hold counts as read.
            all.revision =
                if all.rows.is_empty() { page.revision } else { all.revision.min(page.revision) };
            let more = page.more && !page.rows.is_empty();
            all.rows.extend(page.rows);
            if !more {
                break;
            }
        }
        Ok(all)
    }

    async fn read_changes(
        &self,
        deployment: &Deployment,
        table: &str,
        after: u64,
    ) -> Result<Changes, PlatformError> {
        let address = self.address();
        let client = self.client.within(CHANGES_WAIT + READ_TIME);
        let request = (deployment.feed.changes)(&address, table, after, CHANGES_WAIT);
        let (status, body) = client.call("table changes", &address, request).await?;
        (deployment.feed.decode)(status, &body)
            .map_err(|cause| PlatformError::new("table changes", &address, cause))
    }
}

/// Logs when a dependency is lost and when it is back, once each.
#[derive(Debug)]
pub struct Watch {
    what: &'static str,
    lost: bool,
}

impl Watch {
    /// A watch over something that is well.
    pub fn new(what: &'static str) -> Watch {
        Watch { what, lost: false }
    }

    /// Notes a failed read.
    pub fn failed(&mut self, error: &PlatformError) {
        if !std::mem::replace(&mut self.lost, true) {
            spdlog::warn!("dependency_lost", kv: { what: = self.what, error: });
        }
    }

    /// Notes a read that succeeded.
    pub fn answered(&mut self) {
        if std::mem::take(&mut self.lost) {
            spdlog::info!("dependency_regained", kv: { what: = self.what });
        }
    }
}

/// Waits, unless cancelled. Returns whether it was.
pub async fn pause(cancel: &CancellationToken, time: Duration) -> bool {
    tokio::select! {
        () = cancel.cancelled() => true,
        () = tokio::time::sleep(time) => false,
    }
}

fn retry_pause() -> Duration {
    RETRY_PAUSE + RETRY_PAUSE.mul_f64(rand::random())
}

/// Keeps the newest document in force, until cancelled.
pub async fn follow_document(routed: Arc<Routed>, cancel: CancellationToken) {
    let (table, key) = routed.deployment.document_row;
    let mut watch = Watch::new("document");
    loop {
        let asked = boot_millis();
        let time = match routed.source.read_whole(&routed.deployment, table).await {
            Ok(read) => {
                watch.answered();
                let row = read.rows.iter().find(|r| r.key == key);
                if take_document(&routed, row) {
                    routed.shell.note_reading(asked, 0);
                }
                millis(routed.bounds().configure_ms * DOCUMENT_PERCENT / 100)
            }
            Err(error) => {
                watch.failed(&error);
                if routed.reading_age() > ASK_PEERS_MS {
                    ask_peers(&routed).await;
                }
                retry_pause()
            }
        };
        tokio::select! {
            () = cancel.cancelled() => return,
            () = routed.shell.version_seen.notified() => {}
            () = tokio::time::sleep(time) => {}
        }
    }
}

/// Brings the document of a row into force, if it is newer. Returns whether what is in force is now
/// at least what the row holds.
fn take_document(routed: &Routed, row: Option<&RowChange>) -> bool {
    let Some(value) = row.and_then(|r| r.value.as_ref()) else { return false };
    match (routed.deployment.document)(value) {
        Ok(declared) => {
            take_declared(routed, declared);
            true
        }
        Err(error) => {
            spdlog::error!("document_not_read", kv: { error: = error.as_str() });
            false
        }
    }
}

fn take_declared(routed: &Routed, declared: Declared) {
    let mut state = routed.source.lock();
    if state.declared.as_ref().is_some_and(|d| d.version >= declared.version) {
        return;
    }
    state.declared = Some(Arc::new(declared));
    drop(state);
    bring_into_force(routed);
}

/// Takes over what peers hold: a newer document, and how fresh they know it to be.
async fn ask_peers(routed: &Routed) {
    for address in routed.shell.peer_addresses() {
        let asked = boot_millis();
        // Also a document of the version in force is of use, for the servers that come with it.
        let version = routed.shell.in_force().version.saturating_sub(1);
        let Some(reply) = fetch_document(&address, version).await else { continue };
        if !reply.document.is_empty() {
            match serde_json::from_str::<PeerDocument>(&reply.document) {
                Ok(held) => take_held(routed, held, reply.version),
                Err(error) => {
                    spdlog::error!("peer_document_not_read", kv: { peer: = address.as_str(), error: });
                    continue;
                }
            }
        }
        let in_force = routed.shell.in_force().version;
        if let Some(age) = reply.reading_age.checked_sub(1)
            && reply.version == in_force
        {
            routed.shell.note_reading(asked, age);
            spdlog::info!("reading_from_peer", kv: {
                peer: = address.as_str(), version = in_force, age_ms = age,
            });
        }
    }
}

/// Takes over what a peer holds. Servers that it does not list may have been listed since.
fn take_held(routed: &Routed, mut held: PeerDocument, version: u64) {
    let servers = std::mem::take(&mut held.servers);
    let now = boot_millis();
    let mut change = Change::None;
    let mut state = routed.source.lock();
    for s in servers {
        let (revision, listing) = (s.revision, s.into_listing());
        let name = listing.name.clone();
        change = change.max(state.roster.set(now, &name, revision, Some(listing)));
        state.listed = true;
    }
    drop(state);
    take_declared(routed, held.into_declared(version));
    if change == Change::Servers {
        bring_into_force(routed);
    }
}

/// Brings the declared document into force, with the servers and bounds as they stand.
pub fn bring_into_force(routed: &Routed) {
    let bounds = routed.bounds();
    let state = routed.source.lock();
    let Some(declared) = state.declared.clone() else { return };
    let document = compose(&declared, &state.roster, &bounds);
    let held = PeerDocument::new(&declared, &state.roster);
    let servers = document.servers.len();
    drop(state);
    if declared.version > routed.shell.in_force().version || !routed.shell.configured() {
        routed.shell.configure(declared.version, document);
    } else {
        routed.shell.set_servers(document);
    }
    match serde_json::to_string(&held) {
        Ok(text) => routed.shell.set_handout(text),
        Err(error) => spdlog::error!("document_not_written", kv: { error: }),
    }
    spdlog::info!("servers_in_force", kv: { version = declared.version, servers });
}

/// Keeps the list of backend servers, until cancelled. The instance that has this duty follows the
/// changes and tells its peers of servers that leave; the others read the list now and then.
pub async fn follow_servers(routed: Arc<Routed>, cancel: CancellationToken) {
    let table = routed.deployment.discovery_table;
    let mut watch = Watch::new("discovery");
    let mut after: Option<u64> = None;
    let mut reads = 0;
    loop {
        let mine = follows_changes(&routed.shell);
        let revision = after.filter(|_| mine && reads < CHANGES_MOST);
        let read = match revision {
            Some(revision) => routed.source.read_changes(&routed.deployment, table, revision).await,
            None => routed.source.read_whole(&routed.deployment, table).await,
        };
        reads = if revision.is_some() { reads + 1 } else { 0 };
        let now = boot_millis();
        let time = match read {
            Ok(changes) => {
                watch.answered();
                after = Some(changes.revision);
                routed.source.lock().roster.service_answered(now);
                take_servers(&routed, now, &changes, revision.is_none());
                match mine {
                    true => CHANGES_PAUSE,
                    false => millis(routed.bounds().drain_ms * SERVERS_PERCENT / 100),
                }
            }
            Err(PlatformError { cause: Cause::Gone, .. }) => {
                after = None;
                Duration::ZERO
            }
            Err(error) => {
                watch.failed(&error);
                after = None;
                routed.source.lock().roster.service_failed(now);
                retry_pause()
            }
        };
        if pause(&cancel, time).await {
            return;
        }
    }
}

fn follows_changes(shell: &Shell) -> bool {
    shell.read(|state| state.owner_of(id(DISCOVERY_DUTY)) == state.membership.me)
}

fn take_servers(routed: &Routed, now: u64, changes: &Changes, whole: bool) {
    let mut guard = routed.source.lock();
    let state = &mut *guard;
    let mut listings = Vec::new();
    for row in &changes.rows {
        let listing = read_listing(routed, row, &mut state.foreign);
        listings.push((row.key.clone(), row.revision, listing));
    }
    let mut change = Change::None;
    if whole {
        change = state.roster.set_all(now, changes.revision, listings);
    } else {
        for (name, revision, listing) in listings {
            change = change.max(state.roster.set(now, &name, revision, listing));
        }
    }
    change = change.max(state.roster.expire(now));
    if !std::mem::replace(&mut state.listed, true) {
        change = Change::Servers;
    }
    let gone = state.roster.take_gone();
    drop(guard);
    for name in gone {
        spdlog::info!("server_leaving", kv: { server: = name.as_str(), revision = changes.revision });
        routed.shell.tell_leaving(id(&name));
    }
    if change == Change::Servers {
        bring_into_force(routed);
    }
}

fn read_listing(
    routed: &Routed,
    row: &RowChange,
    foreign: &mut VecDeque<(String, u64)>,
) -> Option<Listing> {
    let value = row.value.as_ref()?;
    match (routed.deployment.listing)(&row.key, value) {
        Ok(listing) => Some(listing),
        Err(error) => {
            let known = foreign.iter().any(|(k, r)| *k == row.key && *r == row.revision);
            if !known {
                spdlog::warn!("listing_not_read", kv: { name: = row.key.as_str(), error: = error.as_str() });
                foreign.push_back((row.key.clone(), row.revision));
                if foreign.len() > FOREIGN_MOST {
                    foreign.pop_front();
                }
            }
            None
        }
    }
}
