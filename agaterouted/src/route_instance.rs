//! An instance that serves routes on a platform: its state, startup and graceful stop.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicI64, Ordering};
use std::sync::{Arc, OnceLock, PoisonError, RwLock};
use std::time::{Duration, Instant};

use agateroute_adapter::{Bounds, Deployment};
use agateroute_core::id::Millis;
use agateroute_core::{Id, State};
use agateroute_storage::Client;
use agateroute_storage::table::Table;
use http::{Response, StatusCode};
use http_body_util::Full;
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::answer_body::AnswerMemory;
use crate::body_memory::BodyMemory;
use crate::connections::Connections;
use crate::daemon::{Daemon, millis};
use crate::run::{StartError, at_step};
use crate::source::Source;
use crate::telemetry::Telemetry;
use crate::upstream::Upstream;
use crate::{
    declared, discovery, instances, jobs, log, overdue, pages, peers, poll, restore,
    route_listener as listener, supervisor, versions,
};

/// The time limit of a write to the table service or a short read from it.
const TABLE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How long a stopping instance continues to serve at least: the load balancer removes it after two
/// readiness checks at intervals of one second, and requests that it sent before arrive a little later.
const MIN_LEAVE_TIME: Duration = Duration::from_millis(3_500);
/// How long after the order to stop the load balancer has removed this instance, so that callers whose connections are
/// closed reach another one.
const REMOVAL_TIME: Duration = Duration::from_millis(2_500);
/// How long before the end of the grace period the remaining requests are stopped.
const GRACE_MARGIN: Duration = Duration::from_millis(600);
/// How long before the process ends the last answers are sent.
const LAST_ANSWERS_TIME: Duration = Duration::from_millis(200);
/// How long the streams that are cut off at the end may take to be closed and logged.
const CLOSE_TIME: Duration = Duration::from_millis(100);
const LEAVE_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// How often the settings file is read even without a reload signal.
const RELOAD_INTERVAL: Duration = Duration::from_secs(2);
/// How often expired idle connections to backend servers are closed.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// The state that all tasks of an instance that serves routes share.
#[derive(Debug)]
pub struct RouteInstance {
    /// Drives the reducer and carries out its effects.
    pub daemon: Arc<Daemon>,
    /// The adapters, addresses and bounds that the platform supplies.
    pub deployment: Deployment,
    /// The document and the backend servers, as read from the table service.
    pub source: Source,
    /// Connections to backend servers, with a pool of idle ones.
    pub upstream: Upstream,
    /// The memory for requests that are being read or held.
    pub body_memory: Arc<BodyMemory>,
    /// The memory for answers that are being read or sent.
    pub answer_memory: Arc<AnswerMemory>,
    /// The open connections of callers.
    pub connections: Arc<Connections>,
    /// Wakes the task that writes the row of this instance, so that it is written at once.
    pub announce_notify: Notify,
    /// The requests of callers whose head has arrived and whose answer is not complete in this process.
    pub busy_requests: AtomicI64,
    /// The connections of callers on which a request has arrived and its answer is not written whole.
    pub unsent_answers: AtomicI64,
    /// Cancelled when a stopping instance closes the connections of callers that have had an answer.
    pub retiring: CancellationToken,
    /// Cancelled when no more connections of callers are accepted.
    pub draining: CancellationToken,
    /// Cancelled by the order to stop, once it is known until when this instance serves.
    pub stopping: CancellationToken,
    /// Cancelled shortly before the process ends, so that requests without an answer get a final one.
    pub giving_up: CancellationToken,
    /// Cancelled when the time for the last answers is over, so that each stream that is cut off is logged.
    pub ending: CancellationToken,
    bounds: RwLock<Bounds>,
    /// When the order to stop came, and until when this instance serves.
    stop_times: OnceLock<(Instant, Instant)>,
}

impl RouteInstance {
    /// The time until this instance stops serving; `None` unless it is stopping.
    pub fn time_to_stop(&self) -> Option<Duration> {
        self.stop_times.get().map(|(_, until)| until.saturating_duration_since(Instant::now()))
    }

    /// The time since the order to stop, in milliseconds; 0 before it.
    pub fn stopping_ms(&self) -> Millis {
        self.stop_times.get().map_or(0, |(since, _)| since.elapsed().as_millis() as Millis)
    }

    /// Returns until when this instance serves and when an answer is due, in milliseconds after the order to stop; `None`
    /// before it.
    pub fn stop_bounds(&self, answer_by: Instant) -> Option<(Millis, Millis)> {
        let (since, until) = self.stop_times.get()?;
        let after = |at: Instant| at.saturating_duration_since(*since).as_millis() as Millis;
        Some((after(*until), after(answer_by)))
    }

    /// Waits for the order to stop, and then for the latest start that `latest` returns for the bounds of
    /// [`RouteInstance::stop_bounds`], but not after connections are being closed. `None` is over at once.
    pub async fn latest_start(
        &self,
        answer_by: Instant,
        latest: impl FnOnce((Millis, Millis)) -> Option<Millis>,
    ) {
        self.stopping.cancelled().await;
        let Some((since, _)) = self.stop_times.get() else { return };
        if let Some(at) = self.stop_bounds(answer_by).and_then(latest) {
            tokio::select! {
                () = self.giving_up.cancelled() => {}
                () = tokio::time::sleep_until((*since + millis(at)).into()) => {}
            }
        }
    }

    /// Whether the availability zone of a server is evacuated.
    pub fn is_evacuated(&self, server: Id) -> bool {
        self.daemon.read(|state| state.is_evacuated(server))
    }

    /// The current bounds, which change when the settings are reloaded.
    pub fn bounds(&self) -> Bounds {
        *self.bounds.read().unwrap_or_else(PoisonError::into_inner)
    }

    fn set_bounds(&self, bounds: Bounds) {
        self.body_memory.resize(bounds.memory);
        self.answer_memory.resize(bounds.memory);
        self.connections.resize(bounds.memory, bounds.descriptors);
        *self.bounds.write().unwrap_or_else(PoisonError::into_inner) = bounds;
    }

    /// Whether the document was read recently enough to trust its keys: an older one may still hold
    /// a withdrawn key.
    pub fn document_is_fresh(&self) -> bool {
        self.daemon.snapshot.document_age().is_some_and(|age| age < self.bounds().revoke_ms)
    }

    /// How old the document may become while the table service is reached, in milliseconds. What it says has to be in force by
    /// then, and so have the evacuations that are read with it.
    pub fn document_bound(&self) -> Millis {
        let bounds = self.bounds();
        bounds.configure_ms.min(bounds.evacuation_ms.unwrap_or(Millis::MAX))
    }

    /// Whether the load balancer should send requests to this instance.
    pub fn ready(&self) -> bool {
        let knows_all = self.source.has_servers() && self.document_is_fresh();
        self.daemon.ready() && knows_all && self.daemon.read(State::can_serve)
    }

    /// The time since the document was last read, in milliseconds; `Millis::MAX` before the first read.
    pub fn document_age(&self) -> Millis {
        self.daemon.snapshot.document_age().unwrap_or(Millis::MAX)
    }
}

/// Runs an instance on a platform until a signal stops it.
pub fn run(deployment: Deployment) -> Result<(), StartError> {
    log::start(&deployment.settings.telemetry.level).map_err(at_step("logs"))?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(at_step("runtime"))?;
    runtime.block_on(serve(deployment))
}

async fn serve(deployment: Deployment) -> Result<(), StartError> {
    // Without a handler SIGHUP ends the process. It stays in place after this stream is dropped.
    drop(signal_stream(SignalKind::hangup())?);
    let mut settings = deployment.settings.clone();
    let callers = bind(deployment.listeners.callers).await?;
    let ready = bind(deployment.listeners.ready).await?;
    let peer = bind(parse_address(&settings.peer)?).await?;
    let ops = bind(parse_address(&settings.ops)?).await?;
    settings.listen = listen_address(&callers)?;
    settings.peer = listen_address(&peer)?;
    settings.ops = listen_address(&ops)?;
    let ready_address = listen_address(&ready)?;
    let telemetry = Telemetry::start(&settings).map_err(at_step("telemetry"))?;
    let (jobs, job_queue) = tokio::sync::mpsc::unbounded_channel();
    let client = Client::new(TABLE_TIMEOUT).with_eras(deployment.decode_era);
    let table = Table {
        adapter: deployment.rows,
        address: deployment.table_address.clone(),
        client: client.clone(),
    };
    let daemon = Arc::new(Daemon::new(settings, telemetry, jobs).with_table(table));
    let cancel = CancellationToken::new();
    let limits = deployment.bounds;
    let connections = Connections::new(limits.memory, limits.descriptors);
    let instance = Arc::new(RouteInstance {
        daemon: daemon.clone(),
        source: Source::new(client, &deployment),
        upstream: Upstream::default(),
        body_memory: BodyMemory::new(limits.memory),
        answer_memory: AnswerMemory::new(limits.memory, connections.clone()),
        connections,
        announce_notify: Notify::new(),
        busy_requests: AtomicI64::new(0),
        unsent_answers: AtomicI64::new(0),
        retiring: cancel.child_token(),
        draining: cancel.child_token(),
        stopping: cancel.child_token(),
        giving_up: cancel.child_token(),
        ending: cancel.child_token(),
        bounds: RwLock::new(limits),
        stop_times: OnceLock::new(),
        deployment,
    });
    tokio::spawn(jobs::run(daemon.clone(), job_queue, cancel.child_token()));
    tokio::spawn(listener::run(instance.clone(), callers));
    tokio::spawn(serve_peers(instance.clone(), peer, cancel.clone()));
    tokio::spawn(pages::serve(instance.clone(), ready, ready_page, cancel.child_token()));
    tokio::spawn(pages::serve(instance.clone(), ops, ops_page, cancel.child_token()));
    spawn_loops(&instance, &cancel);
    spdlog::info!("started", kv: {
        instance: = daemon.identity.name.as_str(),
        start = daemon.identity.start,
        zone: = daemon.settings.zone.as_str(),
        listen: = daemon.settings.listen.as_str(),
        ready: = ready_address.as_str(),
        ops: = daemon.settings.ops.as_str(),
        peer: = daemon.settings.peer.as_str(),
        table: = instance.deployment.table_address.as_str(),
    });
    wait_for_stop(&instance).await?;
    cancel.cancel();
    daemon.telemetry.shutdown();
    spdlog::info!("stopped", kv: { instance: = daemon.identity.name.as_str() });
    Ok(())
}

/// Starts the loops that keep what this instance knows up to date. Each is started again if it fails.
fn spawn_loops(instance: &Arc<RouteInstance>, cancel: &CancellationToken) {
    let (daemon, token) = (instance.daemon.clone(), cancel.child_token());
    spawn_kept("ticks", cancel, move || poll::send_ticks(daemon.clone(), token.clone()));
    let (daemon, token) = (instance.daemon.clone(), cancel.child_token());
    tokio::spawn(jobs::read_suspects(daemon, token));
    let (daemon, token) = (instance.daemon.clone(), cancel.child_token());
    tokio::spawn(versions::read(daemon, token));
    spawn_loop("document", instance, cancel, declared::follow_document);
    spawn_loop("document_changes", instance, cancel, declared::follow_changes);
    spawn_loop("overdue_document", instance, cancel, overdue::follow);
    spawn_loop("servers", instance, cancel, discovery::follow_servers);
    spawn_loop("restores", instance, cancel, restore::follow);
    spawn_loop("instances", instance, cancel, instances::follow);
    spawn_loop("connections", instance, cancel, sweep_connections);
    spawn_loop("settings", instance, cancel, reload);
}

fn spawn_loop<F: Future<Output = ()> + Send + 'static>(
    name: &'static str,
    instance: &Arc<RouteInstance>,
    cancel: &CancellationToken,
    run: impl Fn(Arc<RouteInstance>, CancellationToken) -> F + Send + Sync + 'static,
) {
    let (instance, token) = (instance.clone(), cancel.child_token());
    spawn_kept(name, cancel, move || run(instance.clone(), token.clone()));
}

fn spawn_kept<F: Future<Output = ()> + Send + 'static>(
    name: &'static str,
    cancel: &CancellationToken,
    start: impl Fn() -> F + Send + Sync + 'static,
) {
    tokio::spawn(supervisor::keep(name, cancel.child_token(), start));
}

/// Serves peers until cancelled. Without them the instance would go on alone, so an error is at least logged.
async fn serve_peers(
    instance: Arc<RouteInstance>,
    listener: TcpListener,
    cancel: CancellationToken,
) {
    let daemon = instance.daemon.clone();
    if let Err(error) = peers::serve(daemon, Some(instance), listener, cancel).await {
        spdlog::error!("peers_not_served", kv: { error: });
    }
}

fn parse_address(address: &str) -> Result<SocketAddr, StartError> {
    address.parse().map_err(at_step("settings"))
}

async fn bind(address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address).await.map_err(at_step("bind"))
}

/// The address that a listener is bound to, with the actual port if the settings say port 0.
fn listen_address(listener: &TcpListener) -> Result<String, StartError> {
    listener.local_addr().map(|a| a.to_string()).map_err(at_step("bind"))
}

fn ready_page(instance: &RouteInstance, path: &str) -> Response<Full<bytes::Bytes>> {
    if path != instance.deployment.listeners.ready_path {
        return pages::page(StatusCode::NOT_FOUND, "this path does not exist\n");
    }
    match instance.ready() {
        true => pages::page(StatusCode::OK, "ready\n"),
        false => pages::page(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
    }
}

fn ops_page(instance: &RouteInstance, path: &str) -> Response<Full<bytes::Bytes>> {
    match path {
        "/metrics" => pages::page(StatusCode::OK, instance.daemon.telemetry.metrics_page()),
        _ => pages::page(StatusCode::NOT_FOUND, "this path does not exist\n"),
    }
}

async fn sweep_connections(instance: Arc<RouteInstance>, cancel: CancellationToken) {
    loop {
        tokio::select! {
            () = cancel.cancelled() => return,
            () = tokio::time::sleep(SWEEP_INTERVAL) => instance.upstream.sweep(),
        }
    }
}

fn signal_stream(kind: SignalKind) -> Result<Signal, StartError> {
    signal(kind).map_err(at_step("signals"))
}

/// Reloads the settings on SIGHUP and periodically.
async fn reload(instance: Arc<RouteInstance>, cancel: CancellationToken) {
    let Ok(mut hangup) = signal_stream(SignalKind::hangup()) else { return };
    let mut last_read: Option<(String, Bounds)> = None;
    loop {
        tokio::select! {
            () = cancel.cancelled() => return,
            _ = hangup.recv() => {}
            () = tokio::time::sleep(RELOAD_INTERVAL) => {}
        }
        let read = match (instance.deployment.reload)() {
            Ok(read) => read,
            Err(error) => {
                spdlog::warn!("settings_not_reloaded", kv: { error: = error.as_str() });
                continue;
            }
        };
        if last_read.as_ref() == Some(&read) {
            continue;
        }
        let current = (instance.source.address(), instance.bounds());
        if current != read {
            spdlog::info!("settings_reloaded", kv: { table: = read.0.as_str() });
            instance.source.set_address(&read.0);
            instance.set_bounds(read.1);
            declared::rebuild_config(&instance);
        }
        last_read = Some(read);
    }
}

/// Accepts no more connections, closes idle ones, and waits for the last answers. Requests that are still without an
/// answer get their final one.
async fn close_connections(instance: &RouteInstance, until: Instant) {
    instance.draining.cancel();
    instance.giving_up.cancel();
    let is_idle = wait_until_idle(instance, until).await;
    instance.ending.cancel();
    if is_idle {
        return;
    }
    wait_until_idle(instance, Instant::now() + CLOSE_TIME).await;
}

/// Waits until every caller and peer has its whole answer. Returns false if some are left at `until`.
async fn wait_until_idle(instance: &RouteInstance, until: Instant) -> bool {
    loop {
        tokio::time::sleep(LEAVE_POLL_INTERVAL).await;
        if instance.unsent_answers.load(Ordering::Acquire) <= 0
            && instance.busy_requests.load(Ordering::Acquire) <= 0
        {
            return true;
        }
        if Instant::now() >= until {
            return false;
        }
    }
}

/// Waits for a stop signal, then serves until no request is left or the grace period ends.
async fn wait_for_stop(instance: &RouteInstance) -> Result<(), StartError> {
    let mut terminate = signal_stream(SignalKind::terminate())?;
    let mut interrupt = signal_stream(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    let stop_time = Instant::now();
    let daemon = &instance.daemon;
    let max_time = millis(instance.bounds().grace_ms).saturating_sub(GRACE_MARGIN);
    let _ = instance.stop_times.set((stop_time, stop_time + max_time));
    instance.stopping.cancel();
    let active = daemon.active.load(Ordering::Acquire);
    spdlog::info!("leaving", kv: { active, most_ms = max_time.as_millis() as u64 });
    daemon.leave();
    let announcement = instances::announce_leaving(instance);
    let work = async {
        loop {
            let done = instance.busy_requests.load(Ordering::Acquire) <= 0;
            if stop_time.elapsed() >= max_time || (done && stop_time.elapsed() >= MIN_LEAVE_TIME) {
                return;
            }
            tokio::time::sleep(LEAVE_POLL_INTERVAL).await;
        }
    };
    let retire = async {
        tokio::time::sleep(REMOVAL_TIME).await;
        instance.retiring.cancel();
    };
    tokio::join!(work, announcement, retire);
    close_connections(instance, stop_time + max_time + LAST_ANSWERS_TIME).await;
    let active = daemon.active.load(Ordering::Acquire);
    spdlog::info!("work_ended", kv: { active, after_ms = stop_time.elapsed().as_millis() as u64 });
    Ok(())
}
