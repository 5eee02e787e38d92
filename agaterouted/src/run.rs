//! Starts an instance, runs it until a signal, and stops it gracefully.

use std::fmt::Display;
use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

use agateroute_config::{Settings, parse_document, parse_settings};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio_util::sync::CancellationToken;
use xitca_web::HttpServer;
use xitca_web::service::fn_build;

use crate::args::Args;
use crate::body_memory::BodyMemory;
use crate::connection_limit::{self, limited};
use crate::daemon::{Daemon, millis};
use crate::jobs::Job;
use crate::telemetry::Telemetry;
use crate::{fleet, follow, front, jobs, log, ops, peers, poll, route_instance, stream, tallies};

const BYTES_PER_MB: usize = 1_000_000;
const MAX_HEADERS: usize = 128;
/// The size limit of a request's head, in the HTTP library: above the largest header limit of a document.
const MAX_HEAD_BYTES: usize = 160 * 1024;
/// Heads of requests may use the memory of the process divided by this.
const HEAD_MEMORY_DIVISOR: usize = 2;
/// The size limit of the head of an operator's request. The HTTP library accepts no less than a frame of HTTP/2.
const MAX_OPERATOR_HEAD_BYTES: usize = 32 * 1024;
/// The connections of operators, of which a few ask at a time. Others wait.
const MAX_OPERATOR_CONNECTIONS: usize = 64;
/// How long an operator may leave an answer unread.
const OPERATOR_UNREAD_TIME: Duration = Duration::from_secs(10);
/// The size limit of the unsent bytes of a connection, which a slow caller fills.
const MAX_WRITE_BUFFER_BYTES: usize = 64 * 1024;
/// The pause between two checks whether a leaving instance still has requests.
const DRAIN_POLL_PAUSE: Duration = Duration::from_millis(20);

/// An instance could not start: the step that failed and its error.
#[derive(Debug, derive_more::Display, derive_more::Error)]
#[display("{step}: {cause}")]
pub struct StartError {
    step: &'static str,
    #[error(not(source))]
    cause: String,
}

/// Converts an error of a step at the start, for `map_err`.
pub fn at_step<E: Display>(step: &'static str) -> impl FnOnce(E) -> StartError {
    move |e| StartError { step, cause: e.to_string() }
}

/// Runs an instance until SIGTERM or SIGINT. Fails if a step of the start does.
pub fn run(args: &Args) -> Result<(), StartError> {
    if args.platform {
        let mut deployment = agateroute_platform::deployment().map_err(at_step("settings"))?;
        args.override_settings(&mut deployment.settings);
        return route_instance::run(deployment);
    }
    let Some(path) = &args.settings else {
        return Err(at_step("arguments")("one of --settings and --platform is needed"));
    };
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(at_step("settings"))?;
    let mut settings = parse_settings(&file, &text).map_err(at_step("settings"))?;
    args.override_settings(&mut settings);
    log::start(&settings.telemetry.level).map_err(at_step("logs"))?;
    let callers = bind(&settings.listen)?;
    let operators = bind(&settings.ops)?;
    let peer = bind(&settings.peer)?;
    settings.peer = address(&peer)?;
    let listening = (address(&callers)?, address(&operators)?);
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .thread_name("control")
        .enable_all()
        .build()
        .map_err(at_step("runtime"))?;
    let _guard = runtime.enter();
    runtime.spawn(ignore_hangups(signal(SignalKind::hangup()).map_err(at_step("signals"))?));
    let telemetry = Telemetry::start(&settings).map_err(at_step("telemetry"))?;
    let (jobs, job_queue) = tokio::sync::mpsc::unbounded_channel();
    let daemon = Arc::new(Daemon::new(settings, telemetry, jobs));
    load_file(&daemon)?;
    let cancel = CancellationToken::new();
    spawn_control(&daemon, &runtime, peer, job_queue, &cancel)?;
    let stop_callers = serve_callers(&daemon, callers)?;
    let stop_operators = serve_operators(&daemon, operators)?;
    spdlog::info!("listening", kv: {
        instance: = daemon.identity.name.as_str(),
        start = daemon.identity.start,
        listen: = listening.0.as_str(),
        ops: = listening.1.as_str(),
        peer: = daemon.settings.peer.as_str(),
    });
    runtime.block_on(wait_for_stop(&daemon))?;
    cancel.cancel();
    stop_callers();
    stop_operators();
    daemon.telemetry.shutdown();
    spdlog::info!("stopped", kv: { instance: = daemon.identity.name.as_str() });
    runtime.shutdown_timeout(Duration::from_millis(100));
    Ok(())
}

fn bind(address: &str) -> Result<TcpListener, StartError> {
    let listener = TcpListener::bind(address)
        .map_err(|e| StartError { step: "bind", cause: format!("{address}: {e}") })?;
    listener.set_nonblocking(true).map_err(at_step("bind"))?;
    // Accepted connections inherit this. Without it, a token waits up to 40 ms until the previous one is
    // acknowledged.
    socket2::SockRef::from(&listener).set_tcp_nodelay(true).map_err(at_step("bind"))?;
    Ok(listener)
}

fn address(listener: &TcpListener) -> Result<String, StartError> {
    listener.local_addr().map(|a| a.to_string()).map_err(at_step("bind"))
}

/// Activates the document file of the settings. With a platform, only checks it: it is activated once the
/// platform answers that it has no version yet, so that a restarted instance never goes back from a
/// version to the file.
fn load_file(daemon: &Daemon) -> Result<(), StartError> {
    let Some(file) = &daemon.settings.document else { return Ok(()) };
    let text = std::fs::read_to_string(file).map_err(at_step("document"))?;
    let document = parse_document(file, &text).map_err(at_step("document"))?;
    if daemon.platform.is_none() {
        daemon.configure(0, document);
    } else {
        daemon.set_initial(document);
    }
    Ok(())
}

fn spawn_control(
    daemon: &Arc<Daemon>,
    runtime: &tokio::runtime::Runtime,
    listener: TcpListener,
    job_queue: tokio::sync::mpsc::UnboundedReceiver<Job>,
    cancel: &CancellationToken,
) -> Result<(), StartError> {
    let listener = tokio::net::TcpListener::from_std(listener).map_err(at_step("bind"))?;
    runtime.spawn(peers::serve(daemon.clone(), None, listener, cancel.child_token()));
    for address in peer_addresses(&daemon.settings) {
        runtime.spawn(peers::maintain_link(daemon.clone(), address, cancel.child_token()));
    }
    runtime.spawn(poll::send_ticks(daemon.clone(), cancel.child_token()));
    runtime.spawn(poll::poll_reports(daemon.clone(), cancel.child_token()));
    runtime.spawn(jobs::run(daemon.clone(), job_queue, cancel.child_token()));
    runtime.spawn(jobs::read_suspects(daemon.clone(), cancel.child_token()));
    runtime.spawn(fleet::run(daemon.clone(), cancel.child_token()));
    runtime.spawn(tallies::run(daemon.clone(), cancel.child_token()));
    runtime.spawn(follow::follow_configuration(daemon.clone(), cancel.child_token()));
    runtime.spawn(follow::follow_instances(daemon.clone(), cancel.child_token()));
    Ok(())
}

fn peer_addresses(settings: &Settings) -> Vec<String> {
    let mut all = settings.peers.clone();
    all.sort();
    all.dedup();
    all.retain(|a| *a != settings.peer);
    all
}

/// Starts the HTTP server for callers. Returns a function that stops it.
fn serve_callers(daemon: &Arc<Daemon>, listener: TcpListener) -> Result<impl Fn(), StartError> {
    let state = daemon.clone();
    let bytes = daemon.settings.memory_mb as usize * BYTES_PER_MB;
    let memory = BodyMemory::new(bytes);
    let service = fn_build(move |request| front::handle(state.clone(), memory.clone(), request));
    let settings = &daemon.settings;
    let by_memory = bytes / HEAD_MEMORY_DIVISOR / MAX_HEAD_BYTES;
    let connections = connection_limit::fitting(by_memory.min(settings.connections as usize));
    connection_limit::bound_sockets(&listener, millis(settings.idle_ms))
        .map_err(at_step("callers"))?;
    let mut server = HttpServer::serve(limited(service, connections))
        .h2c_prior_knowledge()
        .worker_threads(settings.workers as usize)
        .request_head_timeout(millis(settings.head_ms))
        .keep_alive_timeout(millis(settings.idle_ms))
        .max_request_headers::<MAX_HEADERS>()
        .max_read_buf_size::<MAX_HEAD_BYTES>()
        .max_write_buf_size::<MAX_WRITE_BUFFER_BYTES>()
        .disable_signal()
        .listen(listener)
        .map_err(at_step("callers"))?
        .run();
    let handle = server.handle().map_err(at_step("callers"))?;
    std::thread::spawn(move || server.wait());
    Ok(move || handle.stop(false))
}

/// Starts the HTTP server for operators. Returns a function that stops it.
fn serve_operators(daemon: &Arc<Daemon>, listener: TcpListener) -> Result<impl Fn(), StartError> {
    let state = daemon.clone();
    let service = fn_build(move |request| ops::handle(state.clone(), request));
    connection_limit::bound_sockets(&listener, OPERATOR_UNREAD_TIME)
        .map_err(at_step("operators"))?;
    let mut server = HttpServer::serve(limited(service, MAX_OPERATOR_CONNECTIONS))
        .worker_threads(1)
        .max_read_buf_size::<MAX_OPERATOR_HEAD_BYTES>()
        .max_write_buf_size::<MAX_WRITE_BUFFER_BYTES>()
        .disable_signal()
        .listen(listener)
        .map_err(at_step("operators"))?
        .run();
    let handle = server.handle().map_err(at_step("operators"))?;
    std::thread::spawn(move || server.wait());
    Ok(move || handle.stop(false))
}

/// Keeps SIGHUP from ending the process. The settings are read at the start only.
async fn ignore_hangups(mut hangups: Signal) {
    while hangups.recv().await.is_some() {
        spdlog::info!("hangup_ignored");
    }
}

/// Waits for a stop signal, then for `notice_ms`, until no request is in progress and the last tallies are written.
async fn wait_for_stop(daemon: &Daemon) -> Result<(), StartError> {
    let mut terminate = signal(SignalKind::terminate()).map_err(at_step("signals"))?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(at_step("signals"))?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    let notice = millis(daemon.config().document.routing.notice_ms);
    spdlog::info!("leaving", kv: { notice_ms = notice.as_millis() as u64 });
    daemon.leave();
    tokio::time::sleep(notice).await;
    tokio::select! {
        () = drain(daemon) => {}
        () = refuse_late(daemon) => {}
    }
    Ok(())
}

/// Refuses requests once the time in which a leaving instance accepts them is over. Never returns.
async fn refuse_late(daemon: &Daemon) {
    tokio::time::sleep(millis(daemon.settings.accept_ms)).await;
    spdlog::info!("requests_refused");
    daemon.refuse();
    std::future::pending::<()>().await;
}

/// Waits until no request is in progress and the last tallies are written.
async fn drain(daemon: &Daemon) {
    loop {
        while stream::has_active_requests(daemon) {
            tokio::time::sleep(DRAIN_POLL_PAUSE).await;
        }
        spdlog::info!("work_ended");
        // It may take seconds, in which requests are still accepted.
        tallies::flush_last(daemon).await;
        if !stream::has_active_requests(daemon) {
            return;
        }
    }
}
