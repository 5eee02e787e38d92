//! The shell around the reducer: turns I/O into events and effects into I/O.

use std::sync::atomic::{AtomicBool, AtomicI64, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use agateroute_config::{Document, Settings};
use agateroute_core::effect::Refusal;
use agateroute_core::event::{End, RequestId, RequestSpec};
use agateroute_core::id::Millis;
use agateroute_core::membership::Peer;
use agateroute_core::routes::RouteTable;
use agateroute_core::{Effect, Event, Id, State, Table, id};
use agateroute_proto::peers::message::Body;
use agateroute_proto::peers::{Claim, ClaimOutcome, Message, Sign};
use agateroute_storage::table::Table as TableService;
use tokio::sync::{Notify, mpsc, oneshot};

use crate::auth::KeyRing;
use crate::fleet::FleetView;
use crate::jobs::Job;
use crate::platform::Platform;
use crate::snapshot::Snapshot;
use crate::tallies::TallyStore;
use crate::telemetry::Telemetry;

/// The document in force, with what is derived from it.
#[derive(Debug)]
pub struct Config {
    /// The version, 0 for a document from a file.
    pub version: u64,
    /// The document.
    pub document: Arc<Document>,
    /// The keys of its organisations.
    pub keys: KeyRing,
    /// The backend servers by identifier.
    pub servers: Table<Id, ServerRef>,
    /// The routes by host and path.
    pub routes: RouteTable,
}

/// Where a backend server is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerRef {
    /// The identifier.
    pub id: Id,
    /// The declared name.
    pub name: Arc<str>,
    /// The IP address and port.
    pub address: Arc<str>,
    /// Whether it is a model engine.
    pub engine: bool,
}

/// What the reducer decided about a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Start on this backend server.
    Start(Id),
    /// Move to this backend server, which is permitted under the request.
    Move(RequestId, Id),
    /// Refused as not run, with the time after which asking again makes sense, in milliseconds.
    Refuse(Refusal, u32),
}

/// The channel to a linked peer.
pub type PeerSender = mpsc::UnboundedSender<Message>;

/// A stream to a peer.
#[derive(Debug)]
struct Link {
    number: u64,
    address: String,
    sender: PeerSender,
}

/// The state that the reducer works on, and where its effects go.
#[derive(Debug)]
struct Inner {
    state: State,
    waiters: Table<RequestId, mpsc::UnboundedSender<Admission>>,
    claims: Table<RequestId, oneshot::Sender<(ClaimOutcome, String)>>,
    links: Table<Id, Link>,
    active_counts: Table<Id, u32>,
    cache_cursors: Table<Id, u64>,
    jobs: mpsc::UnboundedSender<Job>,
    tally_store: Arc<TallyStore>,
}

/// The shell of one instance.
#[derive(Debug)]
pub struct Daemon {
    /// The settings.
    pub settings: Settings,
    /// Metrics and traces.
    pub telemetry: Telemetry,
    /// This instance.
    pub identity: Peer,
    /// The platform's services, where there are some.
    pub platform: Option<Platform>,
    /// The table service, where there is one.
    pub table: Option<TableService>,
    /// What is wanted and found on engines, where this instance holds the lease.
    pub fleet: FleetView,
    /// The tallies.
    pub tally_store: Arc<TallyStore>,
    /// The requests in progress.
    pub active: AtomicI64,
    /// Wakes who follows the configuration.
    pub version_notify: Notify,
    /// What peers get that ask.
    pub snapshot: Snapshot,
    inner: Mutex<Inner>,
    config: RwLock<Arc<Config>>,
    initial: Mutex<Option<Document>>,
    started: Instant,
    next_id: AtomicU64,
    newest: AtomicU64,
    configured: AtomicBool,
    leaving: AtomicBool,
}

impl Daemon {
    /// The shell of an instance. It is not ready until a document is in force.
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
            active: AtomicI64::new(0),
            version_notify: Notify::new(),
            snapshot: Snapshot::default(),
            newest: AtomicU64::new(0),
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
            initial: Mutex::new(None),
            started: Instant::now(),
            next_id: AtomicU64::new(1),
            configured: AtomicBool::new(false),
            leaving: AtomicBool::new(false),
            identity,
        }
    }

    /// The same shell with a table service that the settings do not name.
    pub fn with_table(self, table: TableService) -> Daemon {
        Daemon { table: Some(table), ..self }
    }

    /// Milliseconds since this instance started.
    pub fn now(&self) -> Millis {
        self.started.elapsed().as_millis() as Millis
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies an event and carries out its effects.
    pub fn apply(&self, event: Event) {
        let now = self.now();
        let mut inner = self.lock();
        let effects = inner.state.apply(now, event);
        for effect in effects {
            inner.run_effect(effect);
        }
    }

    /// Reads something from the state of the reducer.
    pub fn read<T>(&self, reader: impl FnOnce(&State) -> T) -> T {
        reader(&self.lock().state)
    }

    /// The document in force.
    pub fn config(&self) -> Arc<Config> {
        self.config.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Brings a document into force, unless a newer one is. Returns whether it did.
    pub fn configure(&self, version: u64, document: Document) -> bool {
        let document = Arc::new(document);
        {
            let mut slot = self.config.write().unwrap_or_else(PoisonError::into_inner);
            if self.configured.load(Ordering::Acquire) && version <= slot.version {
                return false;
            }
            *slot = Arc::new(Config::new(version, document.clone()));
            self.apply(Event::Configured { document });
        }
        self.configured.store(true, Ordering::Release);
        self.flush_links();
        spdlog::info!("configured", kv: { version });
        true
    }

    /// Brings a document of the version in force into force again, with other backend servers.
    pub fn set_servers(&self, document: Document) {
        let document = Arc::new(document);
        let mut slot = self.config.write().unwrap_or_else(PoisonError::into_inner);
        *slot = Arc::new(Config::new(slot.version, document.clone()));
        self.apply(Event::Configured { document });
    }

    /// Notes that a backend server is leaving.
    pub fn mark_leaving(&self, server: Id) {
        self.apply(Event::ServerLeaving { server });
    }

    /// Notes that a backend server is leaving and tells the peers.
    pub fn broadcast_leaving(&self, server: Id) {
        self.mark_leaving(server);
        self.broadcast(&Body::Sign(Sign { server, refused: false, leaving: true }));
    }

    /// Keeps a document for the case that the platform has no version yet.
    pub fn set_initial(&self, document: Document) {
        *self.initial.lock().unwrap_or_else(PoisonError::into_inner) = Some(document);
    }

    /// Brings the first document into force, since the platform has no version yet.
    pub fn apply_initial(&self) {
        let document = self.initial.lock().unwrap_or_else(PoisonError::into_inner).take();
        if let Some(document) = document {
            self.configure(0, document);
        }
    }

    /// Whether the balancer should send requests here.
    pub fn ready(&self) -> bool {
        self.configured.load(Ordering::Acquire) && !self.leaving()
    }

    /// Whether a document is in force.
    pub fn configured(&self) -> bool {
        self.configured.load(Ordering::Acquire)
    }

    /// Whether this instance was told to stop.
    pub fn leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }

    /// Starts to leave.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::Release);
        self.apply(Event::Leave);
    }

    /// A fresh request identifier.
    pub fn next_request_id(&self) -> RequestId {
        self.next_id.fetch_add(1, Ordering::Relaxed)
    }

    /// Queues a request. The permit that comes back has to be ended.
    pub fn enqueue(self: &Arc<Daemon>, spec: RequestSpec) -> Permit {
        let (sender, admissions) = mpsc::unbounded_channel();
        let request = spec.request;
        self.lock().waiters.insert(request, sender);
        self.apply(Event::Arrived(spec));
        Permit { daemon: self.clone(), request, admissions, running: false, tokens: 0 }
    }

    /// Writes or settles a claim. Returns what came of it and the record that stands there.
    pub async fn claim(&self, claim: Claim) -> (ClaimOutcome, String) {
        let (sender, decided) = oneshot::channel();
        self.lock().claims.insert(claim.request, sender);
        self.apply(Event::ClaimSubmitted(claim));
        decided.await.unwrap_or((ClaimOutcome::Unavailable, String::new()))
    }

    /// Notes the version that a peer has in force.
    pub fn observe_version(&self, version: u64) {
        if self.newest.fetch_max(version, Ordering::AcqRel) < version {
            self.version_notify.notify_one();
        }
    }

    /// The newest version that was seen anywhere.
    pub fn newest_version(&self) -> u64 {
        self.newest.load(Ordering::Acquire)
    }

    /// Whether a version that the platform knows is in force, rather than a file.
    pub fn has_platform_version(&self) -> bool {
        self.config().version > 0
    }

    /// The sequence number of the last cache event that was read of an engine.
    pub fn cache_cursor(&self, server: Id) -> u64 {
        self.lock().cache_cursors.get(&server).copied().unwrap_or(0)
    }

    /// Notes the sequence number of the last cache event that was read of an engine.
    pub fn set_cache_cursor(&self, server: Id, sequence: u64) {
        self.lock().cache_cursors.insert(server, sequence);
    }

    /// Sends a batch on every stream at once, since it tells the version in force.
    fn flush_links(&self) {
        for link in self.lock().links.values() {
            let _ = link.sender.send(Message { body: None });
        }
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

    /// Registers the channel to a peer, in place of an older one. Returns the number of the link.
    pub fn link(&self, peer: &Peer, address: &str, sender: PeerSender) -> u64 {
        let number = self.next_request_id();
        let link = Link { number, address: address.to_owned(), sender };
        self.lock().links.insert(peer.id(), link);
        self.apply(Event::Linked { peer: peer.clone() });
        number
    }

    /// Forgets the channel to a peer, if it is still this link.
    pub fn unlink(&self, peer: Id, number: u64) {
        let mut inner = self.lock();
        if inner.links.get(&peer).is_some_and(|l| l.number == number) {
            inner.links.remove(&peer);
            drop(inner);
            self.apply(Event::Unlinked { peer });
        }
    }

    /// Whether there is a link to a peer.
    pub fn linked(&self, peer: Id) -> bool {
        self.lock().links.contains(&peer)
    }

    /// Whether there is a link to the peer with this peer address.
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
        }
    }

    fn notify(&self, request: RequestId, admission: Admission) {
        if let Some(waiter) = self.waiters.get(&request) {
            let _ = waiter.send(admission);
        }
    }

    fn send(&self, peer: Id, body: Body) {
        if let Some(link) = self.links.get(&peer) {
            let _ = link.sender.send(Message { body: Some(body) });
        }
    }
}

impl Config {
    fn new(version: u64, document: Arc<Document>) -> Config {
        let servers = document.servers.iter().map(|s| {
            let server = ServerRef {
                id: id(&s.name),
                name: s.name.as_str().into(),
                address: s.address.as_str().into(),
                engine: s.engine.is_some(),
            };
            (server.id, server)
        });
        Config {
            version,
            keys: KeyRing::new(&document),
            servers: servers.collect(),
            routes: RouteTable::new(&document),
            document,
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

/// A request's place in the reducer. Dropping it returns whatever it holds.
#[derive(Debug)]
pub struct Permit {
    daemon: Arc<Daemon>,
    request: RequestId,
    admissions: mpsc::UnboundedReceiver<Admission>,
    running: bool,
    tokens: u32,
}

impl Permit {
    /// Waits for the next decision.
    pub async fn admission(&mut self) -> Admission {
        let admission = self.admissions.recv().await;
        let admission = admission.unwrap_or(Admission::Refuse(Refusal::Failed, 0));
        self.record(admission);
        admission
    }

    fn record(&mut self, admission: Admission) {
        match admission {
            Admission::Start(_) => self.running = true,
            Admission::Refuse(..) => self.running = false,
            Admission::Move(..) => {}
        }
    }

    /// Notes that all of the memory is copied.
    pub fn move_copied(&mut self) {
        self.daemon.apply(Event::MoveCopied { request: self.request });
    }

    /// Notes how a move ended. Where the work goes on at the destination, it is known under the request
    /// of that permit from now on.
    pub fn move_ended(&mut self, permit: RequestId, moved: bool) {
        let request = self.request;
        if moved {
            let mut inner = self.daemon.lock();
            if let Some(waiter) = inner.waiters.remove(&request) {
                inner.waiters.insert(permit, waiter);
            }
            self.request = permit;
        }
        self.daemon.apply(Event::MoveEnded { request, permit, moved });
    }

    /// Reports the tokens generated so far.
    pub fn progress(&mut self, tokens: u32) {
        self.tokens = tokens;
        self.daemon.apply(Event::Progressed { request: self.request, tokens });
    }

    /// Notes tokens that are not worth a report.
    pub fn set_tokens(&mut self, tokens: u32) {
        self.tokens = tokens;
    }

    /// Ends the attempt. A further decision follows where it may start anew.
    pub fn end(&mut self, end: End) {
        if std::mem::take(&mut self.running) {
            self.daemon.apply(Event::Ended { request: self.request, end });
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let request = self.request;
        self.daemon.lock().waiters.remove(&request);
        while let Ok(admission) = self.admissions.try_recv() {
            self.record(admission);
        }
        if self.running {
            self.end(End::Cancelled { tokens: self.tokens });
        } else {
            self.daemon.apply(Event::Abandoned { request });
        }
    }
}

/// Counts a request as in progress, for the instance and for its organisation, until it is dropped.
#[derive(Debug)]
pub struct ActiveGuard {
    daemon: Arc<Daemon>,
    organisation: Id,
}

impl ActiveGuard {
    /// Counts a request of an organisation, unless the organisation already has `limit` here.
    pub fn new(daemon: &Arc<Daemon>, organisation: Id, limit: u32) -> Option<ActiveGuard> {
        let mut inner = daemon.lock();
        let count = inner.active_counts.entry(organisation, || 0);
        if *count >= limit {
            return None;
        }
        *count += 1;
        drop(inner);
        daemon.active.fetch_add(1, Ordering::AcqRel);
        daemon.telemetry.active.add(1, &[]);
        Some(ActiveGuard { daemon: daemon.clone(), organisation })
    }
}

impl Drop for ActiveGuard {
    fn drop(&mut self) {
        let mut inner = self.daemon.lock();
        if let Some(count) = inner.active_counts.get_mut(&self.organisation) {
            *count -= 1;
            if *count == 0 {
                inner.active_counts.remove(&self.organisation);
            }
        }
        drop(inner);
        self.daemon.active.fetch_sub(1, Ordering::AcqRel);
        self.daemon.telemetry.active.add(-1, &[]);
    }
}

/// A duration from a number of milliseconds in the document.
pub fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}
