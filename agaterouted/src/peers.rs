//! The long-lived gRPC streams between instances.
//!
//! Two instances share one stream. The instance whose address sorts first dials at once; the other one
//! dials only if no stream arrives. If both have dialed, the stream that was dialed by the instance whose
//! name sorts first is kept.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use agateroute_core::liveness::SLOW_HEARTBEAT_MS;
use agateroute_core::membership::{Peer, PeerStatus};
use agateroute_core::{Event, Id, State, Table};
use agateroute_proto::peers::message::Body;
use agateroute_proto::peers::peers_client::PeersClient;
use agateroute_proto::peers::peers_server::{Peers, PeersServer};
use agateroute_proto::peers::{
    Batch, FetchReply, FetchRequest, ForwardPart, ForwardRequest, Hello, Message, Sign,
};
use prost::Message as _;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio_stream::StreamExt;
use tokio_stream::wrappers::ReceiverStream;
use tokio_util::sync::CancellationToken;
use tonic::transport::{Channel, Endpoint, Server};
use tonic::{Request, Response, Status, Streaming};

use crate::announcements;
use crate::connection_limit;
use crate::daemon::{Daemon, Outgoing, millis};
use crate::dialers::DialTask;
use crate::forward;
use crate::peer_listener::{Counted, accept};
use crate::route_instance::RouteInstance;

/// The heartbeats sent within `peer_ms`, after which a silent peer counts as gone.
const HEARTBEATS_PER_TIMEOUT: u64 = 4;
/// A stream without a batch for this many times `peer_ms` is closed and dialed again.
const MAX_SILENCE_FACTOR: u64 = 2;
/// A stream on which only slow heartbeats are due is closed after this silence: two of them and the time for probes.
const MAX_QUIET_SILENCE: Duration = Duration::from_secs(25);
/// The time limit for connecting, for the first batch of a stream and for a fetch.
const DIAL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// The pause between two attempts to dial a peer.
const DIAL_PAUSE: Duration = Duration::from_millis(300);
/// The time for which dials failed after which the peer is taken for gone, and the pause between two attempts from then on.
/// The rows of instances that are gone count for as long, and one that starts again dials the others itself.
const GONE_AFTER: Duration = Duration::from_secs(60);
const GONE_DIAL_PAUSE: Duration = Duration::from_secs(2);
/// The delay before the instance whose address sorts last dials.
const YIELD_DELAY: Duration = Duration::from_millis(1_000);
const MAX_BATCH_MESSAGES: usize = 1_024;
/// The bytes that gRPC and HTTP/2 add to a batch.
const FRAME_OVERHEAD_BYTES: usize = 14;
/// Enough connections for fetches from all readers of a large fleet. To open another, all are dropped.
const MAX_CHANNELS: usize = 64;
const MAX_BUFFERED_BATCHES: usize = 16;
/// How often a connection with calls in progress is checked, and how long the peer may take to answer. A connection may go
/// silent for good.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(500);
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// How often a connection that another instance made is checked while nothing arrives on it, and how long that instance may
/// take to answer. Frozen instances wake up within seconds.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(10);
const IDLE_CHECK_TIMEOUT: Duration = Duration::from_secs(10);
/// The largest message of a forwarded request or its answer, above the largest bodies of both.
const MAX_FORWARD_BYTES: usize = 64 * 1024 * 1024;

/// Connections of peers may use the descriptors of the process divided by this. Each peer needs one or two.
const DESCRIPTOR_DIVISOR: usize = 4;
/// The smallest bound on them, whatever the descriptors.
const MIN_CONNECTIONS: usize = 64;

type BatchStream =
    futures_util::stream::Map<ReceiverStream<Batch>, fn(Batch) -> Result<Batch, Status>>;

/// Serves the streams and fetches of peers.
#[derive(Clone, Debug)]
struct PeerService {
    daemon: Arc<Daemon>,
    /// Serves the requests that peers hand over; `None` without routes.
    routes: Option<Arc<RouteInstance>>,
    cancel: CancellationToken,
}

#[tonic::async_trait]
impl Peers for PeerService {
    type LinkStream = BatchStream;
    type ForwardStream = forward::Parts;

    async fn link(
        &self,
        request: Request<Streaming<Batch>>,
    ) -> Result<Response<BatchStream>, Status> {
        let mut incoming = request.into_inner();
        let first = incoming.next().await;
        let hello = first.and_then(Result::ok).and_then(|b| b.hello);
        let hello =
            hello.ok_or_else(|| Status::invalid_argument("the first batch must have a hello"))?;
        if hello.instance == self.daemon.identity.name {
            return Err(Status::already_exists("both instances have the same name"));
        }
        let id = agateroute_core::id(&hello.instance);
        if self.daemon.linked(id) && self.daemon.identity.name < hello.instance {
            return Err(Status::already_exists("these instances already have a stream"));
        }
        let outgoing = accept_link(&self.daemon, &hello, incoming, &self.cancel);
        let batches = ReceiverStream::new(outgoing);
        Ok(Response::new(futures_util::StreamExt::map(batches, Ok)))
    }

    async fn fetch(&self, request: Request<FetchRequest>) -> Result<Response<FetchReply>, Status> {
        let config = self.daemon.config();
        let version = if self.daemon.configured() { config.version } else { 0 };
        if let Some(refusal) = self.daemon.snapshot.refusal(request.get_ref().caller, version) {
            self.daemon.telemetry.list_refusals.add(1, &[]);
            return Ok(Response::new(refusal));
        }
        let encode = || serde_json::to_string(&*config.document);
        let reply = self.daemon.snapshot.reply(request.get_ref(), version, encode);
        let evacuation = self.daemon.read(State::evacuation_news);
        let reply = reply.map(|reply| FetchReply { evacuation, ..reply });
        if let Ok(reply) = &reply {
            self.daemon.telemetry.list_bytes.add(reply.encoded_len() as u64, &[]);
        }
        reply.map(Response::new).map_err(|e| Status::internal(format!("document not encoded: {e}")))
    }

    async fn forward(
        &self,
        request: Request<ForwardRequest>,
    ) -> Result<Response<forward::Parts>, Status> {
        let routes = self.routes.clone();
        let routes = routes.ok_or_else(|| Status::unimplemented("no routes are served here"))?;
        forward::receive(routes, request.into_inner()).await.map(Response::new)
    }
}

/// Serves the streams, fetches and forwarded requests of peers until cancelled. Fails if the gRPC server does.
pub async fn serve(
    daemon: Arc<Daemon>,
    routes: Option<Arc<RouteInstance>>,
    listener: TcpListener,
    cancel: CancellationToken,
) -> Result<(), tonic::transport::Error> {
    let memory = routes.as_ref().map(|r| r.body_memory.clone());
    let instance = routes.clone();
    let connections = move || {
        let descriptors = instance.as_ref().map(|r| r.bounds().descriptors);
        let descriptors = descriptors.unwrap_or_else(connection_limit::descriptors);
        (descriptors / DESCRIPTOR_DIVISOR).max(MIN_CONNECTIONS)
    };
    let service = PeerService { daemon, routes, cancel: cancel.clone() };
    let service = PeersServer::new(service).max_decoding_message_size(MAX_FORWARD_BYTES);
    let service = Counted { service, memory };
    Server::builder()
        .tcp_nodelay(true)
        .http2_keepalive_interval(Some(IDLE_CHECK_INTERVAL))
        .http2_keepalive_timeout(Some(IDLE_CHECK_TIMEOUT))
        .add_service(service)
        .serve_with_incoming_shutdown(accept(listener, connections), cancel.cancelled())
        .await
}

/// Dials a configured address until cancelled.
pub fn dial_configured(daemon: &Arc<Daemon>, address: &str, cancel: &CancellationToken) {
    if let Some(task) = daemon.dialers.register(address, cancel) {
        tokio::spawn(maintain_link(daemon.clone(), address.to_owned(), task, cancel.clone()));
    }
}

/// Dials the addresses in the list of instances, and no longer those that have left it and are not linked.
pub fn dial_listed(daemon: &Arc<Daemon>, listed: &[String], cancel: &CancellationToken) {
    let linked = |address: &str, peer: Option<Id>| is_linked(daemon, address, peer);
    for (address, task) in daemon.dialers.set_listed(listed, cancel, linked) {
        tokio::spawn(maintain_link(daemon.clone(), address, task, cancel.clone()));
    }
}

fn is_linked(daemon: &Daemon, address: &str, peer: Option<Id>) -> bool {
    peer.is_some_and(|p| daemon.linked(p)) || daemon.linked_to(address)
}

/// Dials an address whenever there is no stream to it, until the task is ended. The task sleeps while there is one. Links last
/// until `cancel`.
async fn maintain_link(
    daemon: Arc<Daemon>,
    address: String,
    task: DialTask,
    cancel: CancellationToken,
) {
    let DialTask { wake, end } = task;
    let mut peer: Option<Id> = None;
    let mut failing_since: Option<Instant> = None;
    let dials_last = daemon.settings.peer > address;
    // Returns whether the pause is over; otherwise the task was ended or a stream began or ended.
    let pause_over = async |pause: Duration| {
        tokio::select! {
            () = end.cancelled() => false,
            () = wake.notified() => false,
            () = tokio::time::sleep(pause) => true,
        }
    };
    while !end.is_cancelled() {
        if is_linked(&daemon, &address, peer) {
            failing_since = None;
            tokio::select! {
                () = end.cancelled() => return,
                () = wake.notified() => {}
            }
            continue;
        }
        if dials_last && !pause_over(jittered(YIELD_DELAY)).await {
            continue;
        }
        match dial(&daemon, &address, &cancel).await {
            Some(found) => {
                peer = Some(found);
                daemon.dialers.set_peer(&address, found);
                failing_since = None;
            }
            None => failing_since = failing_since.or_else(|| Some(Instant::now())),
        }
        let gone = failing_since.is_some_and(|at| at.elapsed() >= GONE_AFTER);
        let pause = if gone { GONE_DIAL_PAUSE } else { DIAL_PAUSE };
        tokio::select! {
            () = end.cancelled() => return,
            () = tokio::time::sleep(jittered(pause)) => {}
        }
    }
}

/// A pause that differs by up to a fifth, so that instances that lost the same peer do not dial it at the same moments.
fn jittered(pause: Duration) -> Duration {
    pause.mul_f64(rand::random_range(0.8..1.2))
}

async fn dial(daemon: &Arc<Daemon>, address: &str, cancel: &CancellationToken) -> Option<Id> {
    let channel = connect(address).await?;
    let (sender, outgoing) = mpsc::channel(MAX_BUFFERED_BATCHES);
    let _ = sender.send(hello_batch(daemon)).await;
    let request = ReceiverStream::new(outgoing);
    let mut client = PeersClient::new(channel);
    let answer = tokio::time::timeout(DIAL_TIMEOUT, client.link(request)).await;
    let mut incoming = answer.ok()?.ok()?.into_inner();
    let first = tokio::time::timeout(DIAL_TIMEOUT, incoming.next()).await.ok()??.ok()?;
    let hello = first.hello?;
    let peer = Peer { name: hello.instance.clone(), start: hello.start };
    let id = peer.id();
    if hello.instance == daemon.identity.name {
        return Some(id);
    }
    if daemon.linked(id) && daemon.identity.name > hello.instance {
        return Some(id);
    }
    register_link(daemon, &hello, incoming, sender, cancel);
    Some(id)
}

async fn connect(address: &str) -> Option<Channel> {
    let endpoint = Endpoint::from_shared(format!("http://{address}")).ok()?;
    endpoint.connect_timeout(DIAL_TIMEOUT).tcp_nodelay(true).connect().await.ok()
}

/// Keeps a connection to each peer from which snapshots are fetched.
#[derive(Debug, Default)]
pub struct PeerChannels {
    channels: Mutex<Table<String, Channel>>,
}

impl PeerChannels {
    /// Fetches the snapshot of a peer. Returns `None` if the peer fails to answer in time.
    pub async fn fetch(&self, address: &str, request: FetchRequest) -> Option<FetchReply> {
        self.fetch_within(address, request, DIAL_TIMEOUT).await
    }

    /// Fetches the snapshot of a peer within a time, `None` if the peer fails to answer in it.
    pub async fn fetch_within(
        &self,
        address: &str,
        request: FetchRequest,
        limit: Duration,
    ) -> Option<FetchReply> {
        let channel = self.channel(address)?;
        let mut client = PeersClient::new(channel);
        let answer = tokio::time::timeout(limit, client.fetch(request)).await;
        match answer.map_err(|e| e.to_string()).and_then(|a| a.map_err(|e| e.to_string())) {
            Ok(reply) => Some(reply.into_inner()),
            Err(error) => {
                spdlog::debug!("peer_fetch_failed", kv: { peer: = address, error: = error.as_str() });
                None
            }
        }
    }

    /// Hands a request to a peer. Returns the parts of its answer.
    pub async fn forward(
        &self,
        address: &str,
        request: ForwardRequest,
    ) -> Result<Streaming<ForwardPart>, Status> {
        let channel = self.channel(address);
        let channel = channel.ok_or_else(|| Status::internal("the address is not valid"))?;
        let mut client = PeersClient::new(channel).max_decoding_message_size(MAX_FORWARD_BYTES);
        client.forward(request).await.map(Response::into_inner)
    }

    fn channel(&self, address: &str) -> Option<Channel> {
        let mut channels = self.channels.lock().unwrap_or_else(PoisonError::into_inner);
        let address = address.to_owned();
        if channels.len() >= MAX_CHANNELS && !channels.contains(&address) {
            // Another one is connected again when it is needed.
            let evicted = channels.keys().nth(rand::random_range(0..channels.len())).cloned();
            evicted.and_then(|address| channels.remove(&address));
        }
        let endpoint = Endpoint::from_shared(format!("http://{address}")).ok()?;
        let endpoint = endpoint
            .connect_timeout(DIAL_TIMEOUT)
            .tcp_nodelay(true)
            .http2_keep_alive_interval(KEEP_ALIVE_INTERVAL)
            .keep_alive_timeout(KEEP_ALIVE_TIMEOUT);
        Some(channels.entry(address, || endpoint.connect_lazy()).clone())
    }
}

fn hello_batch(daemon: &Daemon) -> Batch {
    let hello = Hello {
        instance: daemon.identity.name.clone(),
        start: daemon.identity.start,
        zone: daemon.settings.zone.clone(),
        address: daemon.settings.peer.clone(),
        probes: true,
    };
    batch(daemon, Some(hello), Vec::new())
}

/// Builds a batch with the status and the active version of this instance.
fn batch(daemon: &Daemon, hello: Option<Hello>, messages: Vec<Message>) -> Batch {
    let status = daemon.read(|state| state.membership.status());
    let version = daemon.config().version;
    let PeerStatus { leaving, cut_off, cut } = status;
    Batch { hello, version, messages, leaving, cut_off, cut, probe: false }
}

fn accept_link(
    daemon: &Arc<Daemon>,
    hello: &Hello,
    incoming: Streaming<Batch>,
    cancel: &CancellationToken,
) -> mpsc::Receiver<Batch> {
    let (sender, outgoing) = mpsc::channel(MAX_BUFFERED_BATCHES);
    let _ = sender.try_send(hello_batch(daemon));
    register_link(daemon, hello, incoming, sender, cancel);
    outgoing
}

/// Registers a stream and starts the tasks of its two directions. When one of them ends, so does the other.
fn register_link(
    daemon: &Arc<Daemon>,
    hello: &Hello,
    incoming: Streaming<Batch>,
    outgoing: mpsc::Sender<Batch>,
    cancel: &CancellationToken,
) {
    let peer = Peer { name: hello.instance.clone(), start: hello.start };
    let id = peer.id();
    let (sender, messages) = mpsc::unbounded_channel();
    let close = cancel.child_token();
    let number = daemon.link(&peer, hello, sender, close.clone());
    spdlog::info!("peer_linked", kv: { peer: = hello.instance.as_str(), start = hello.start });
    let daemon = daemon.clone();
    let name = hello.instance.clone();
    tokio::spawn(async move {
        tokio::select! {
            () = write_batches(&daemon, id, messages, &outgoing) => {}
            () = read_batches(&daemon, id, incoming) => {}
            () = close.cancelled() => {}
        }
        daemon.unlink(id, number);
        spdlog::info!("peer_unlinked", kv: { peer: = name.as_str() });
    });
}

/// Sends queued messages in batches, and an empty batch as a heartbeat when there are none.
async fn write_batches(
    daemon: &Daemon,
    peer: Id,
    mut queue: mpsc::UnboundedReceiver<Outgoing>,
    outgoing: &mpsc::Sender<Batch>,
) {
    loop {
        let heartbeat = match daemon.read(|s| s.membership.is_quiet(peer)) {
            true => millis(SLOW_HEARTBEAT_MS).mul_f64(rand::random_range(0.9..1.0)),
            false => millis(daemon.config().document.routing.peer_ms / HEARTBEATS_PER_TIMEOUT),
        };
        let mut queued = Vec::new();
        let received = queue.recv_many(&mut queued, MAX_BATCH_MESSAGES);
        if let Ok(0) = tokio::time::timeout(heartbeat, received).await {
            return;
        }
        let probe = queued.iter().any(|o| matches!(o, Outgoing::Probe));
        let messages = queued.into_iter().filter_map(|o| match o {
            Outgoing::Message(message) => Some(message),
            Outgoing::Probe | Outgoing::Batch => None,
        });
        let batch = Batch { probe, ..batch(daemon, None, messages.collect()) };
        let bytes = batch.encoded_len() + FRAME_OVERHEAD_BYTES;
        daemon.telemetry.control_bytes.add(bytes as u64, &[]);
        daemon.telemetry.control_messages.add(batch.messages.len() as u64, &[]);
        if outgoing.send(batch).await.is_err() {
            return;
        }
    }
}

/// Applies what arrives on a stream, until it ends. The stream of a peer that answers probes in a large fleet may be silent for
/// longer; the reducer closes it if the peer does not answer.
async fn read_batches(daemon: &Daemon, peer: Id, mut incoming: Streaming<Batch>) {
    loop {
        let quiet = || daemon.read(|s| s.membership.is_quiet(peer));
        let was_quiet = quiet();
        let max_silence = match was_quiet {
            true => MAX_QUIET_SILENCE,
            false => millis(daemon.config().document.routing.peer_ms * MAX_SILENCE_FACTOR),
        };
        let batch = match tokio::time::timeout(max_silence, incoming.next()).await {
            Ok(Some(Ok(batch))) => batch,
            // The fleet has become a large one meanwhile.
            Err(_) if !was_quiet && quiet() => continue,
            _ => return,
        };
        let status = PeerStatus { leaving: batch.leaving, cut_off: batch.cut_off, cut: batch.cut };
        daemon.apply(Event::Heartbeat { peer, status });
        daemon.observe_version(batch.version, peer);
        if batch.probe {
            daemon.answer_probe(peer);
        }
        for body in batch.messages.into_iter().filter_map(|m| m.body) {
            if let Body::Sign(Sign { server, leaving: true, said: false, .. }) = body {
                announcements::heard(daemon, peer, server);
            }
            daemon.apply(Event::Received { peer, body });
        }
    }
}
