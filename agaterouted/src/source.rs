//! What an instance on a platform reads from the table service: the operator's document, the backend
//! servers, and the other instances.
//!
//! See `docs/PLATFORM.md` for how often each is read and what holds while the service is away.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};
use std::time::Duration;

use agateroute_adapter::deployment::{Declared, ServiceCapacity};
use agateroute_adapter::{Bounds, Changes, Deployment, RowChange};
use agateroute_config::Document;
use agateroute_config::route::Route;
use agateroute_config::routing::Routing;
use agateroute_config::server::{Engine, Fencing, Plain, Server};
use agateroute_core::membership::Listed;
use agateroute_core::roster::{Change, Listing, Roster};
use agateroute_core::{Event, Table, id};
use agateroute_storage::error::Cause;
use agateroute_storage::table::{Condition, Row, Write};
use agateroute_storage::{Client, PlatformError};
use serde::{Deserialize, Serialize};
use tokio_util::sync::CancellationToken;

use crate::clock::{boot_millis, unix_seconds};
use crate::peers::{fetch_document, keep_dialing};
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
/// The partition of the rows of instances.
const INSTANCES_PARTITION: &str = "instances";
/// The most instances that are read.
const INSTANCES_MOST: usize = 500;
/// How often the rows of instances are read.
const INSTANCES_PAUSE: Duration = Duration::from_secs(5);
/// How often an instance writes its row.
const ANNOUNCE_SECONDS: u64 = 20;
/// How long the row of an instance counts after it was written.
const ANNOUNCED_SECONDS: u64 = 60;
/// The duty of following the changes of the backend servers.
const DISCOVERY_DUTY: &str = "discovery";
/// How often peers are told to be silent before they are given up, in milliseconds: two heartbeats
/// more than a slow network loses.
const PEER_MS: u64 = 1_000;
/// How often a refused or failed request is tried on another backend server.
const RETRIES: u32 = 3;
/// The prompts that one engine is given to read at a time, in tokens: about a second of reading between
/// the steps of what runs there.
const UNREAD_TOKENS: u32 = 6_500;
/// The crashes under a request after which it is refused. The third may be coincidence no more.
const QUARANTINE_CRASHES: u32 = 3;

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
struct Watch {
    what: &'static str,
    lost: bool,
}

impl Watch {
    fn failed(&mut self, error: &PlatformError) {
        if !std::mem::replace(&mut self.lost, true) {
            spdlog::warn!("dependency_lost", kv: { what: = self.what, error: });
        }
    }

    fn answered(&mut self) {
        if std::mem::take(&mut self.lost) {
            spdlog::info!("dependency_regained", kv: { what: = self.what });
        }
    }
}

async fn pause(cancel: &CancellationToken, time: Duration) -> bool {
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
    let mut watch = Watch { what: "document", lost: false };
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

/// A document as peers pass it on, with the servers that they list.
#[derive(Debug, Deserialize, Serialize)]
struct PeerDocument {
    document: Document,
    capacities: Vec<(String, Option<u64>, u32, bool)>,
    servers: Vec<PeerListing>,
}

/// A listed server as peers pass it on.
#[derive(Debug, Deserialize, Serialize)]
struct PeerListing {
    revision: u64,
    name: String,
    service: String,
    address: String,
    zone: String,
    slots: u32,
    born: u64,
}

/// Takes over what a peer holds. Servers that it does not list may have been listed since.
fn take_held(routed: &Routed, mut held: PeerDocument, version: u64) {
    let servers = std::mem::take(&mut held.servers);
    let now = boot_millis();
    let mut change = Change::None;
    let mut state = routed.source.lock();
    for s in servers {
        let (revision, name) = (s.revision, s.name.clone());
        let listing = Listing {
            name: s.name,
            service: s.service,
            address: s.address,
            zone: s.zone,
            slots: s.slots,
            ready: true,
            born: s.born,
        };
        change = change.max(state.roster.set(now, &name, revision, Some(listing)));
        state.listed = true;
    }
    drop(state);
    take_declared(routed, held.into_declared(version));
    if change == Change::Servers {
        bring_into_force(routed);
    }
}

impl PeerDocument {
    /// What this instance passes on.
    fn new(declared: &Declared, roster: &Roster) -> PeerDocument {
        let capacity = |(name, c): &(String, ServiceCapacity)| {
            (name.clone(), c.memory_tokens, c.event_tokens, c.moves)
        };
        let listing = |(revision, l): (u64, &Listing)| PeerListing {
            revision,
            name: l.name.clone(),
            service: l.service.clone(),
            address: l.address.clone(),
            zone: l.zone.clone(),
            slots: l.slots,
            born: l.born,
        };
        PeerDocument {
            document: Document { servers: Vec::new(), ..declared.document.clone() },
            capacities: declared.capacities.iter().map(capacity).collect(),
            servers: roster.ready_with_revision().map(listing).collect(),
        }
    }

    fn into_declared(self, version: u64) -> Declared {
        let capacity = |(name, memory_tokens, event_tokens, moves)| {
            (name, ServiceCapacity { memory_tokens, event_tokens, moves })
        };
        let capacities = self.capacities.into_iter().map(capacity).collect();
        Declared { version, document: self.document, capacities }
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

/// The declared document with the listed servers.
fn compose(declared: &Declared, roster: &Roster, bounds: &Bounds) -> Document {
    let capacity = |service: &str| declared.capacities.iter().find(|(name, _)| name == service);
    let server = |listing: &Listing| {
        let (_, capacity) = capacity(&listing.service)?;
        Some(listed_server(listing, capacity))
    };
    let routing = Routing {
        retry_percent: bounds.retry_percent,
        retry_slack: bounds.retry_slack,
        retry_window_ms: bounds.retry_window_ms,
        retries: RETRIES,
        peer_ms: PEER_MS,
        fallback_percent: 100,
        quarantine_crashes: QUARANTINE_CRASHES,
        suspects_alone: false,
        unread_tokens: UNREAD_TOKENS,
        ..Routing::default()
    };
    let servers = roster.ready().filter_map(server).collect();
    Document { servers, routing, ..declared.document.clone() }
}

fn listed_server(listing: &Listing, capacity: &ServiceCapacity) -> Server {
    let service = listing.service.clone();
    let engine = capacity.memory_tokens.map(|memory_tokens| Engine {
        models: vec![service.clone()],
        memory_tokens,
        batch: listing.slots.max(1),
    });
    let plain = match engine {
        Some(_) => None,
        None => Some(Plain { service, slots: listing.slots.max(1), adaptive: false }),
    };
    Server {
        name: listing.name.clone(),
        address: listing.address.clone(),
        zone: listing.zone.clone(),
        fencing: Fencing::Ignores,
        engine,
        plain,
    }
}

/// Keeps the list of backend servers, until cancelled. The instance that has this duty follows the
/// changes and tells its peers of servers that leave; the others read the list now and then.
pub async fn follow_servers(routed: Arc<Routed>, cancel: CancellationToken) {
    let table = routed.deployment.discovery_table;
    let mut watch = Watch { what: "discovery", lost: false };
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
    let mut left: Vec<String> = Vec::new();
    let mut listings = Vec::new();
    for row in &changes.rows {
        let listing = read_listing(routed, row, &mut state.foreign);
        let leaves = listing.as_ref().is_none_or(|l| !l.ready);
        if leaves && state.roster.listing(&row.key).is_some_and(|l| l.ready) {
            left.push(row.key.clone());
        }
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
    drop(guard);
    for name in left {
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

/// The row of an instance.
#[derive(Debug, Deserialize, Serialize)]
struct InstanceRow {
    address: String,
    leaving: bool,
}

/// Writes the row of this instance and reads those of the others, until cancelled.
pub async fn follow_instances(routed: Arc<Routed>, cancel: CancellationToken) {
    let shell = &routed.shell;
    let Some(table) = &shell.table else { return };
    let mut watch = Watch { what: "instances", lost: false };
    let mut dialed: Table<String, ()> = Table::default();
    let mut announced = 0;
    loop {
        if unix_seconds().abs_diff(announced) >= ANNOUNCE_SECONDS && announce(&routed, false).await
        {
            announced = unix_seconds();
        }
        match table.query(INSTANCES_PARTITION, "", INSTANCES_MOST).await {
            Ok(rows) => {
                watch.answered();
                let fresh = rows.into_iter().filter(|r| r.expires > unix_seconds());
                take_instances(&routed, fresh, &mut dialed, &cancel);
            }
            Err(error) => watch.failed(&error),
        }
        if pause(&cancel, INSTANCES_PAUSE).await {
            return;
        }
    }
}

fn take_instances(
    routed: &Routed,
    rows: impl Iterator<Item = Row>,
    dialed: &mut Table<String, ()>,
    cancel: &CancellationToken,
) {
    let shell = &routed.shell;
    let mut instances = Vec::new();
    for row in rows.filter(|r| r.sort != shell.me.name) {
        let read: InstanceRow = match serde_json::from_str(&row.value) {
            Ok(read) => read,
            Err(error) => {
                spdlog::warn!("instance_row_not_read", kv: { name: = row.sort.as_str(), error: });
                continue;
            }
        };
        instances.push(Listed { name: row.sort, leaving: read.leaving });
        if read.address != shell.settings.peer && dialed.insert(read.address.clone(), ()).is_none()
        {
            tokio::spawn(keep_dialing(shell.clone(), read.address, cancel.child_token()));
        }
    }
    shell.apply(Event::Listed { instances });
}

/// Writes the row of this instance. Returns whether it was written.
async fn announce(routed: &Routed, leaving: bool) -> bool {
    let shell = &routed.shell;
    let Some(table) = &shell.table else { return false };
    let value = InstanceRow { address: shell.settings.peer.clone(), leaving };
    let row = Row {
        partition: INSTANCES_PARTITION.to_owned(),
        sort: shell.me.name.clone(),
        tag: shell.me.start.to_string(),
        value: serde_json::to_string(&value).unwrap_or_default(),
        expires: unix_seconds() + ANNOUNCED_SECONDS,
    };
    match table.transact(&[Write { row: &row, condition: Condition::Always }]).await {
        Ok(_) => true,
        Err(error) => {
            spdlog::warn!("instance_row_not_written", kv: { error: });
            false
        }
    }
}

/// Tells the others that this instance leaves.
pub async fn leave(routed: &Routed) {
    announce(routed, true).await;
}
