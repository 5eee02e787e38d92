//! Connects the reducer to the outside: I/O becomes events, and effects become I/O.

use std::sync::atomic::{AtomicBool, AtomicI64, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use agateroute_config::{Document, Settings};
use agateroute_core::announced::Announced;
use agateroute_core::effect::Refusal;
use agateroute_core::event::{RequestId, RequestSpec};
use agateroute_core::id::Millis;
use agateroute_core::membership::Peer;
use agateroute_core::{Effect, Event, Id, State, Table};
use agateroute_proto::peers::message::Body;
use agateroute_proto::peers::{Claim, ClaimOutcome, Hello, Message, Sign};
use agateroute_storage::table::Table as TableService;
use tokio::sync::{Notify, mpsc, oneshot};
use tokio_util::sync::CancellationToken;

pub use crate::active::{Config, ServerRef};
use crate::announcements::Announcements;
use crate::dialers::Dialers;
use crate::fleet::FleetView;
use crate::jobs::Job;
use crate::permit::Permit;
use crate::platform::Platform;
use crate::snapshot::Snapshot;
use crate::stalls::Stalls;
use crate::tallies::TallyStore;
use crate::telemetry::Telemetry;

/// A decision of the reducer about a queued or running request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request may start on this backend server.
    Start(Id),
    /// The generation may move to this backend server, under the permit with this request identifier.
    Move(RequestId, Id),
    /// A peer serves the request.
    Forward(Id),
    /// The request is refused and was not run, with the time before a retry makes sense, in milliseconds.
    Refuse(Refusal, u32),
}

/// What goes out on the stream to a peer with the next batch. Each batch has the status and the version of this instance.
#[derive(Debug)]
pub enum Outgoing {
    /// A message.
    Message(Message),
    /// A batch that the peer has to answer at once.
    Probe,
    /// A batch, with or without messages.
    Batch,
}

/// Queues what goes out on the stream to a peer.
pub type PeerSender = mpsc::UnboundedSender<Outgoing>;

/// The stream to a peer, numbered so that the end of an old stream never removes its successor.
#[derive(Debug)]
struct Link {
    number: u64,
    address: String,
    /// Whether the peer has named the availability zone of this instance.
    same_zone: bool,
    sender: PeerSender,
    /// Ends the stream.
    close: CancellationToken,
}

/// The state of the reducer and the channels on which its effects go out, under one lock.
#[derive(Debug)]
pub(crate) struct Inner {
    state: State,
    /// The channels on which requests hear of decisions about them.
    pub(crate) waiters: Table<RequestId, mpsc::UnboundedSender<Admission>>,
    claims: Table<RequestId, oneshot::Sender<(ClaimOutcome, String)>>,
    links: Table<Id, Link>,
    /// The requests in progress of each organisation.
    pub(crate) active_counts: Table<Id, u32>,
    cache_cursors: Table<Id, u64>,
    jobs: mpsc::UnboundedSender<Job>,
    tally_store: Arc<TallyStore>,
}

/// The state that all tasks of an instance share.
#[derive(Debug)]
pub struct Daemon {
    /// The settings of this instance, with the command line's overrides.
    pub settings: Settings,
    /// Metrics and traces.
    pub telemetry: Telemetry,
    /// The name and start number of this instance.
    pub identity: Peer,
    /// The platform's services, if the settings name a platform.
    pub platform: Option<Platform>,
    /// The table service, if there is one.
    pub table: Option<TableService>,
    /// The wanted and loaded models of each engine. Empty unless this instance holds the fleet lease.
    pub fleet: FleetView,
    /// Counts outcomes of requests until they are written to the table service.
    pub tally_store: Arc<TallyStore>,
    /// The times in which this process did not run, seen by the timer of ticks.
    pub stalls: Stalls,
    /// The number of requests in progress.
    pub active: AtomicI64,
    /// The requests on the product's own interface whose head has arrived and whose answer has not begun.
    pub arriving: AtomicI64,
    /// Wakes the task that reads the configuration when a peer has a newer version.
    pub version_notify: Notify,
    /// Wakes the task that reads the document if peers do not hand a newer version on in time.
    pub announced_notify: Notify,
    /// The document and backend servers that peers can fetch from this instance.
    pub snapshot: Snapshot,
    /// The tasks that dial peers.
    pub dialers: Dialers,
    /// The leaving servers that others have announced.
    pub announcements: Announcements,
    inner: Mutex<Inner>,
    config: RwLock<Arc<Config>>,
    initial_document: Mutex<Option<Document>>,
    /// The evacuated zones without a server at the last change of the evacuated zones.
    unknown_zones: Mutex<Vec<String>>,
    started: Instant,
    next_id: AtomicU64,
    newest_version: AtomicU64,
    announced: Mutex<Announced>,
    configured: AtomicBool,
    leaving: AtomicBool,
    refusing: AtomicBool,
}

impl Daemon {
    /// Creates an instance without a document. It is not ready until [`Daemon::configure`] sets one.
    pub fn new(
        settings: Settings,
        telemetry: Telemetry,
        jobs: mpsc::UnboundedSender<Job>,
    ) -> Daemon {
        let start = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
        let identity = Peer { name: settings.instance.clone(), start: start as u64 };
        let document = Arc::new(empty_document());
        let state = State::new(&identity, document.clone(), rand::random());
        let tally_store = Arc::new(TallyStore::default());
        let platform = settings.platform.as_ref().map(Platform::new);
        Daemon {
            settings,
            telemetry,
            table: platform.as_ref().map(|p| p.table.clone()),
            platform,
            fleet: FleetView::default(),
            tally_store: tally_store.clone(),
            stalls: Stalls::default(),
            active: AtomicI64::new(0),
            arriving: AtomicI64::new(0),
            version_notify: Notify::new(),
            announced_notify: Notify::new(),
            snapshot: Snapshot::default(),
            dialers: Dialers::default(),
            announcements: Announcements::default(),
            newest_version: AtomicU64::new(0),
            announced: Mutex::default(),
            inner: Mutex::new(Inner {
                state,
                waiters: Table::default(),
                claims: Table::default(),
                links: Table::default(),
                active_counts: Table::default(),
                cache_cursors: Table::default(),
                jobs,
                tally_store,
            }),
            config: RwLock::new(Arc::new(Config::new(0, document))),
            initial_document: Mutex::new(None),
            unknown_zones: Mutex::new(Vec::new()),
            started: Instant::now(),
            next_id: AtomicU64::new(1),
            configured: AtomicBool::new(false),
            leaving: AtomicBool::new(false),
            refusing: AtomicBool::new(false),
            identity,
        }
    }

    /// Sets a table service that the settings do not name.
    pub fn with_table(self, table: TableService) -> Daemon {
        Daemon { table: Some(table), ..self }
    }

    /// Milliseconds since this instance started, on the monotonic clock.
    pub fn now(&self) -> Millis {
        self.started.elapsed().as_millis() as Millis
    }

    /// Locks the reducer and its channels.
    pub(crate) fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies an event to the reducer and runs the effects.
    pub fn apply(&self, event: Event) {
        let now = self.now();
        let mut inner = self.lock();
        let former = inner.state.membership.status();
        let effects = inner.state.apply(now, event);
        for effect in effects {
            inner.run_effect(effect);
        }
        if inner.state.membership.status() != former {
            inner.flush_links();
        }
    }

    /// Reads the state of the reducer under its lock.
    pub fn read<T>(&self, reader: impl FnOnce(&State) -> T) -> T {
        reader(&self.lock().state)
    }

    /// The active configuration.
    pub fn config(&self) -> Arc<Config> {
        self.config.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Activates a document, unless the active one is as new. Returns whether it was activated.
    pub fn configure(&self, version: u64, document: Document) -> bool {
        let document = Arc::new(document);
        {
            let mut active = self.config.write().unwrap_or_else(PoisonError::into_inner);
            if self.configured.load(Ordering::Acquire) && version <= active.version {
                return false;
            }
            *active = Arc::new(Config::new(version, document.clone()));
            self.apply(Event::Configured { document });
        }
        self.configured.store(true, Ordering::Release);
        self.lock().flush_links();
        spdlog::info!("configured", kv: { version });
        true
    }

    /// Replaces the active document by one of the same version with other backend servers.
    pub fn set_servers(&self, document: Document) {
        let document = Arc::new(document);
        let mut active = self.config.write().unwrap_or_else(PoisonError::into_inner);
        *active = Arc::new(active.with_servers(document.clone()));
        self.apply(Event::Configured { document });
    }

    /// Marks a backend server as leaving, so that it gets no new work.
    pub fn mark_leaving(&self, server: Id) {
        self.apply(Event::ServerLeaving { server });
    }

    /// Tells all linked peers that a backend server is leaving.
    pub fn broadcast_leaving(&self, server: Id) {
        self.broadcast(&Body::Sign(Sign { server, refused: false, leaving: true, said: false }));
    }

    /// Records the evacuated zones without a server. Returns those that were not known as such, so that each is logged once.
    pub fn record_unknown_zones(&self, zones: Vec<String>) -> Vec<String> {
        let mut known = self.unknown_zones.lock().unwrap_or_else(PoisonError::into_inner);
        let new = zones.iter().filter(|zone| !known.contains(zone)).cloned().collect();
        *known = zones;
        new
    }

    /// Stores the document to activate if the platform has no version yet.
    pub fn set_initial(&self, document: Document) {
        *self.initial_document.lock().unwrap_or_else(PoisonError::into_inner) = Some(document);
    }

    /// Activates the stored initial document, if there is one.
    pub fn apply_initial(&self) {
        let document = self.initial_document.lock().unwrap_or_else(PoisonError::into_inner).take();
        if let Some(document) = document {
            self.configure(0, document);
        }
    }

    /// Whether the load balancer should send requests to this instance.
    pub fn ready(&self) -> bool {
        self.configured.load(Ordering::Acquire) && !self.leaving()
    }

    /// Whether a document is active.
    pub fn configured(&self) -> bool {
        self.configured.load(Ordering::Acquire)
    }

    /// Whether this instance is shutting down.
    pub fn leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }

    /// Whether this instance, which is shutting down, accepts no more requests on its own interface.
    pub fn refusing(&self) -> bool {
        self.refusing.load(Ordering::Acquire)
    }

    /// Refuses requests on the instance's own interface from now on.
    pub fn refuse(&self) {
        self.refusing.store(true, Ordering::Release);
    }

    /// Starts the shutdown: the instance is no longer ready, and peers take over its backend servers.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::Release);
        self.apply(Event::Leave);
    }

    /// Returns an identifier that no other request or link of this instance has.
    pub fn next_request_id(&self) -> RequestId {
        self.next_id.fetch_add(1, Ordering::Relaxed)
    }

    /// Queues a request. Dropping the returned permit cancels it.
    pub fn enqueue(self: &Arc<Daemon>, spec: RequestSpec) -> Permit {
        let (sender, admissions) = mpsc::unbounded_channel();
        let request = spec.request;
        self.lock().waiters.insert(request, sender);
        self.apply(Event::Arrived(spec));
        Permit::new(self, request, admissions)
    }

    /// Writes or settles a claim. Returns the outcome and the record that is stored.
    pub async fn claim(&self, claim: Claim) -> (ClaimOutcome, String) {
        let (sender, decided) = oneshot::channel();
        self.lock().claims.insert(claim.request, sender);
        self.apply(Event::ClaimSubmitted(claim));
        decided.await.unwrap_or((ClaimOutcome::Unavailable, String::new()))
    }

    /// Records the version that a peer has active. A newer one wakes the task that reads it.
    pub fn observe_version(&self, version: u64, peer: Id) {
        if self.newest_version.fetch_max(version, Ordering::AcqRel) < version {
            self.version_notify.notify_one();
        }
        let active = self.config().version;
        if version > active && self.lock_announced().hear(self.now(), version) {
            self.announced_notify.notify_one();
            let peer = self.peer_address(peer).unwrap_or_default();
            spdlog::info!("version_announced", kv: { version, active, peer: = peer.as_str() });
        }
    }

    /// Returns how long ago the first version up to the active one was announced, in milliseconds, and forgets these versions.
    pub fn announcement_delay(&self) -> Option<Millis> {
        let first = self.lock_announced().activate(self.config().version)?;
        Some(self.now().saturating_sub(first))
    }

    /// The time since the first version was announced that is newer than the active one, in milliseconds; `None` if none was.
    pub fn announced_for(&self) -> Option<Millis> {
        Some(self.now().saturating_sub(self.lock_announced().since()?))
    }

    fn lock_announced(&self) -> MutexGuard<'_, Announced> {
        self.announced.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The newest version that any peer has announced.
    pub fn newest_version(&self) -> u64 {
        self.newest_version.load(Ordering::Acquire)
    }

    /// Whether the active document came from the platform rather than from a file.
    pub fn has_platform_version(&self) -> bool {
        self.config().version > 0
    }

    /// The sequence number of the last cache event that was read from an engine, 0 for none.
    pub fn cache_cursor(&self, server: Id) -> u64 {
        self.lock().cache_cursors.get(&server).copied().unwrap_or(0)
    }

    /// Sets the sequence number after which the next cache events of an engine are read.
    pub fn set_cache_cursor(&self, server: Id, sequence: u64) {
        self.lock().cache_cursors.insert(server, sequence);
    }

    /// Sends a message to all linked peers.
    pub fn broadcast(&self, body: &Body) {
        let inner = self.lock();
        for peer in inner.links.keys() {
            inner.send(*peer, body.clone());
        }
    }

    /// The peer addresses of all linked instances.
    pub fn peer_addresses(&self) -> Vec<String> {
        self.lock().links.values().map(|l| l.address.clone()).collect()
    }

    /// The peer address of a linked instance.
    pub fn peer_address(&self, peer: Id) -> Option<String> {
        self.lock().links.get(&peer).map(|l| l.address.clone())
    }

    /// Whether a linked instance is in the availability zone of this one. Instances that name none are in no common zone.
    pub fn in_same_zone(&self, peer: Id) -> bool {
        self.lock().links.get(&peer).is_some_and(|l| l.same_zone)
    }

    /// Registers the channel to a peer, replacing an older one. Returns the number of the link.
    pub fn link(
        &self,
        peer: &Peer,
        hello: &Hello,
        sender: PeerSender,
        close: CancellationToken,
    ) -> u64 {
        let number = self.next_request_id();
        let address = &hello.address;
        let same_zone = !hello.zone.is_empty() && hello.zone == self.settings.zone;
        let link = Link { number, address: address.clone(), same_zone, sender, close };
        self.lock().links.insert(peer.id(), link);
        self.apply(Event::Linked { peer: peer.clone() });
        if hello.probes {
            self.apply(Event::AnswersProbes { peer: peer.id() });
        }
        self.dialers.wake(peer.id(), address);
        number
    }

    /// Removes the channel to a peer, unless a newer link has replaced it.
    pub fn unlink(&self, peer: Id, number: u64) {
        let mut inner = self.lock();
        if inner.links.get(&peer).is_some_and(|l| l.number == number) {
            let address = inner.links.remove(&peer).map(|l| l.address).unwrap_or_default();
            drop(inner);
            self.apply(Event::Unlinked { peer });
            self.dialers.wake(peer, &address);
        }
    }

    /// Sends a batch to a peer that has probed this instance.
    pub fn answer_probe(&self, peer: Id) {
        self.lock().queue(peer, Outgoing::Batch);
    }

    /// Whether a peer is linked.
    pub fn linked(&self, peer: Id) -> bool {
        self.lock().links.contains(&peer)
    }

    /// Whether the peer with this peer address is linked.
    pub fn linked_to(&self, address: &str) -> bool {
        self.lock().links.values().any(|l| l.address == address)
    }
}

impl Inner {
    fn run_effect(&mut self, effect: Effect) {
        match effect {
            Effect::Start { request, server } => self.notify(request, Admission::Start(server)),
            Effect::Move { request, permit, server } => {
                self.notify(request, Admission::Move(permit, server));
            }
            Effect::Refuse { request, refusal, retry_ms } => {
                self.notify(request, Admission::Refuse(refusal, retry_ms));
            }
            Effect::Send { peer, body } => self.send(peer, body),
            Effect::Transact { shard, claims } => {
                let _ = self.jobs.send(Job::Transact { shard, claims });
            }
            Effect::Claimed { request, outcome, record } => {
                if let Some(waiter) = self.claims.remove(&request) {
                    let _ = waiter.send((outcome, record));
                }
            }
            Effect::HoldTally(row) => self.tally_store.hold(row),
            Effect::StoreSuspect { fingerprint, crashes } => {
                let _ = self.jobs.send(Job::StoreSuspect { fingerprint, crashes });
            }
            Effect::VersionsChanged { target, versions, decided } => {
                let _ = self.jobs.send(Job::VersionsChanged { target, versions, decided });
            }
            Effect::Forward { request, peer } => self.notify(request, Admission::Forward(peer)),
            Effect::ProbePeer { peer } => self.queue(peer, Outgoing::Probe),
            Effect::CloseLink { peer } => {
                if let Some(link) = self.links.get(&peer) {
                    spdlog::warn!("peer_silent", kv: { peer: = link.address.as_str() });
                    link.close.cancel();
                }
            }
            Effect::Probe { servers } => {
                let _ = self.jobs.send(Job::Probe { servers });
            }
            Effect::ReachChanged { cut } => {
                let _ = self.jobs.send(Job::LogReach { cut });
            }
            Effect::ServerClosed { server, leaving } => {
                let _ = self.jobs.send(Job::LogClosed { server, leaving });
            }
            Effect::ServerFailing { server, closed_ms } => {
                let _ = self.jobs.send(Job::LogFailing { server, closed_ms });
            }
            Effect::LimitChanged { server, limit } => {
                let _ = self.jobs.send(Job::LogLimit { server, limit });
            }
            Effect::CopyReported { server, fate, .. } => {
                let _ = self.jobs.send(Job::LogCopy { server, fate });
            }
            Effect::ColdChanged { server, left_ms } => {
                let _ = self.jobs.send(Job::LogCold { server, left_ms });
            }
            Effect::EvacuationChanged { zones, moved, from_peer } => {
                let _ = self.jobs.send(Job::LogEvacuation { zones, moved, from_peer });
            }
            effect @ (Effect::Shed { .. } | Effect::ReturnPermitted { .. }) => {
                let _ = self.jobs.send(Job::LogShedding(effect));
            }
            Effect::PartBlocked { part, left_ms, decided } => {
                let _ = self.jobs.send(Job::PartBlocked { part, left_ms, decided });
            }
        }
    }

    fn notify(&self, request: RequestId, admission: Admission) {
        if let Some(waiter) = self.waiters.get(&request) {
            let _ = waiter.send(admission);
        }
    }

    fn send(&self, peer: Id, body: Body) {
        self.queue(peer, Outgoing::Message(Message { body: Some(body) }));
    }

    fn queue(&self, peer: Id, outgoing: Outgoing) {
        if let Some(link) = self.links.get(&peer) {
            let _ = link.sender.send(outgoing);
        }
    }

    /// Sends a batch to every peer, since it announces the status and the active version.
    fn flush_links(&self) {
        for link in self.links.values() {
            let _ = link.sender.send(Outgoing::Batch);
        }
    }
}

fn empty_document() -> Document {
    Document {
        deployment: String::new(),
        ranks: Vec::new(),
        models: Vec::new(),
        services: Vec::new(),
        routes: Vec::new(),
        servers: Vec::new(),
        organisations: Vec::new(),
        limits: agateroute_config::limits::Limits::default(),
        routing: agateroute_config::routing::Routing::default(),
    }
}

/// Converts milliseconds from the document or the settings.
pub fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}
