//! The long-lived streams between instances.
//!
//! A pair of instances shares one stream. The instance whose address sorts first dials at once, the
//! other one only when no stream comes. Where both have dialed, the stream stays that was dialed by
//! the instance whose name sorts first.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use agateroute_core::membership::{Peer, PeerStatus};
use agateroute_core::{Event, Id, Table};
use agateroute_proto::peers::peers_client::PeersClient;
use agateroute_proto::peers::peers_server::{Peers, PeersServer};
use agateroute_proto::peers::{Batch, FetchReply, FetchRequest, Hello, Message};
use prost::Message as _;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio_stream::StreamExt;
use tokio_stream::wrappers::{ReceiverStream, TcpListenerStream};
use tokio_util::sync::CancellationToken;
use tonic::transport::{Channel, Endpoint, Server};
use tonic::{Request, Response, Status, Streaming};

use crate::shell::{Shell, millis};

/// Heartbeats in the time after which a silent peer counts as gone.
const HEARTBEATS: u64 = 4;
/// The silences of a peer after which its stream is given up and dialed anew.
const SILENCES_CUT: u64 = 2;
/// How long a dial may take.
const DIAL_TIME: Duration = Duration::from_millis(1_000);
/// The pause between two dials of one peer.
const DIAL_PAUSE: Duration = Duration::from_millis(300);
/// How much longer the instance whose name sorts last waits before it dials.
const YIELD_PAUSE: Duration = Duration::from_millis(1_000);
/// The most messages in one batch.
const BATCH_MOST: usize = 1_024;
/// The bytes that gRPC and HTTP/2 put around a batch.
const FRAME_BYTES: usize = 14;
/// The connections to peers that are kept for asking, enough for all readers of a large fleet.
const CHANNELS_MOST: usize = 64;
/// The batches that a stream buffers.
const BUFFERED: usize = 16;

type BatchStream =
    futures_util::stream::Map<ReceiverStream<Batch>, fn(Batch) -> Result<Batch, Status>>;

/// The server side of the streams.
#[derive(Clone, Debug)]
struct PeerService {
    shell: Arc<Shell>,
    cancel: CancellationToken,
}

#[tonic::async_trait]
impl Peers for PeerService {
    type LinkStream = BatchStream;

    async fn link(
        &self,
        request: Request<Streaming<Batch>>,
    ) -> Result<Response<BatchStream>, Status> {
        let mut incoming = request.into_inner();
        let first = incoming.next().await;
        let hello = first.and_then(Result::ok).and_then(|b| b.hello);
        let hello =
            hello.ok_or_else(|| Status::invalid_argument("the first batch has no hello"))?;
        if hello.instance == self.shell.me.name {
            return Err(Status::already_exists("this instance has the same name"));
        }
        let id = agateroute_core::id(&hello.instance);
        if self.shell.linked(id) && self.shell.me.name < hello.instance {
            return Err(Status::already_exists("there is a stream to this instance"));
        }
        let outgoing = open_link(&self.shell, &hello, incoming, &self.cancel);
        let batches = ReceiverStream::new(outgoing);
        Ok(Response::new(futures_util::StreamExt::map(batches, Ok)))
    }

    async fn fetch(&self, request: Request<FetchRequest>) -> Result<Response<FetchReply>, Status> {
        let in_force = self.shell.in_force();
        let version = if self.shell.configured() { in_force.version } else { 0 };
        let written = || serde_json::to_string(&*in_force.document);
        let reply = self.shell.handout.reply(request.get_ref(), version, written);
        reply.map(Response::new).map_err(|e| Status::internal(format!("document not written: {e}")))
    }
}

/// Serves the streams that peers dial, until cancelled.
pub async fn serve(
    shell: Arc<Shell>,
    listener: TcpListener,
    cancel: CancellationToken,
) -> Result<(), tonic::transport::Error> {
    let service = PeerService { shell, cancel: cancel.clone() };
    Server::builder()
        .tcp_nodelay(true)
        .add_service(PeersServer::new(service))
        .serve_with_incoming_shutdown(TcpListenerStream::new(listener), cancel.cancelled())
        .await
}

/// Keeps a stream to one address, until cancelled.
pub async fn keep_dialing(shell: Arc<Shell>, address: String, cancel: CancellationToken) {
    let mut peer: Option<Id> = None;
    let yields = shell.settings.peer > address;
    while !cancel.is_cancelled() {
        let linked = shell.linked_to(&address) || peer.is_some_and(|p| shell.linked(p));
        if linked || yields {
            let pause = if linked { DIAL_PAUSE } else { YIELD_PAUSE };
            tokio::select! {
                () = cancel.cancelled() => return,
                () = tokio::time::sleep(pause) => {}
            }
        }
        if !shell.linked_to(&address)
            && peer.is_none_or(|p| !shell.linked(p))
            && let Some(found) = dial(&shell, &address, &cancel).await
        {
            peer = Some(found);
        }
        tokio::time::sleep(DIAL_PAUSE).await;
    }
}

async fn dial(shell: &Arc<Shell>, address: &str, cancel: &CancellationToken) -> Option<Id> {
    let channel = connect(address).await?;
    let (sender, outgoing) = mpsc::channel(BUFFERED);
    let _ = sender.send(hello_batch(shell)).await;
    let request = ReceiverStream::new(outgoing);
    let mut client = PeersClient::new(channel);
    let answer = tokio::time::timeout(DIAL_TIME, client.link(request)).await;
    let mut incoming = answer.ok()?.ok()?.into_inner();
    let first = tokio::time::timeout(DIAL_TIME, incoming.next()).await.ok()??.ok()?;
    let hello = first.hello?;
    let peer = Peer { name: hello.instance.clone(), start: hello.start };
    let id = peer.id();
    if hello.instance == shell.me.name {
        return Some(id);
    }
    if shell.linked(id) && shell.me.name > hello.instance {
        return Some(id);
    }
    start_link(shell, &hello, incoming, sender, cancel);
    Some(id)
}

async fn connect(address: &str) -> Option<Channel> {
    let endpoint = Endpoint::from_shared(format!("http://{address}")).ok()?;
    endpoint.connect_timeout(DIAL_TIME).tcp_nodelay(true).connect().await.ok()
}

/// The connections over which peers are asked for what they hand out.
#[derive(Debug, Default)]
pub struct PeerChannels {
    channels: Mutex<Table<String, Channel>>,
}

impl PeerChannels {
    /// Asks a peer for what it hands out. The connection is kept for the next time.
    pub async fn fetch(&self, address: &str, request: FetchRequest) -> Option<FetchReply> {
        let channel = self.channel(address)?;
        let mut client = PeersClient::new(channel);
        let answer = tokio::time::timeout(DIAL_TIME, client.fetch(request)).await;
        match answer.map_err(|e| e.to_string()).and_then(|a| a.map_err(|e| e.to_string())) {
            Ok(reply) => Some(reply.into_inner()),
            Err(error) => {
                spdlog::debug!("peer_not_asked", kv: { peer: = address, error: = error.as_str() });
                None
            }
        }
    }

    fn channel(&self, address: &str) -> Option<Channel> {
        let mut channels = self.channels.lock().unwrap_or_else(PoisonError::into_inner);
        let address = address.to_owned();
        if channels.len() >= CHANNELS_MOST && !channels.contains(&address) {
            channels.retain(|_, _| false);
        }
        let endpoint = Endpoint::from_shared(format!("http://{address}")).ok()?;
        let endpoint = endpoint.connect_timeout(DIAL_TIME).tcp_nodelay(true);
        Some(channels.entry(address, || endpoint.connect_lazy()).clone())
    }
}

fn hello_batch(shell: &Shell) -> Batch {
    let hello = Hello {
        instance: shell.me.name.clone(),
        start: shell.me.start,
        zone: shell.settings.zone.clone(),
        address: shell.settings.peer.clone(),
    };
    batch(shell, Some(hello), Vec::new())
}

/// A batch with what this instance says of itself.
fn batch(shell: &Shell, hello: Option<Hello>, messages: Vec<Message>) -> Batch {
    let status = shell.read(|state| state.membership.status());
    let version = shell.in_force().version;
    Batch { hello, version, messages, leaving: status.leaving, cut_off: status.cut_off }
}

fn open_link(
    shell: &Arc<Shell>,
    hello: &Hello,
    incoming: Streaming<Batch>,
    cancel: &CancellationToken,
) -> mpsc::Receiver<Batch> {
    let (sender, outgoing) = mpsc::channel(BUFFERED);
    let _ = sender.try_send(hello_batch(shell));
    start_link(shell, hello, incoming, sender, cancel);
    outgoing
}

/// Registers a stream and starts its two directions. Either end of the stream ends both.
fn start_link(
    shell: &Arc<Shell>,
    hello: &Hello,
    incoming: Streaming<Batch>,
    outgoing: mpsc::Sender<Batch>,
    cancel: &CancellationToken,
) {
    let peer = Peer { name: hello.instance.clone(), start: hello.start };
    let id = peer.id();
    let (sender, messages) = mpsc::unbounded_channel();
    let number = shell.link(&peer, &hello.address, sender);
    spdlog::info!("peer_linked", kv: { peer: = hello.instance.as_str(), start = hello.start });
    let shell = shell.clone();
    let cancel = cancel.child_token();
    let name = hello.instance.clone();
    tokio::spawn(async move {
        tokio::select! {
            () = write_batches(&shell, messages, &outgoing) => {}
            () = read_batches(&shell, id, incoming) => {}
            () = cancel.cancelled() => {}
        }
        shell.unlink(id, number);
        spdlog::info!("peer_unlinked", kv: { peer: = name.as_str() });
    });
}

/// Sends messages as they come, all that are there in one batch, and heartbeats when none are.
async fn write_batches(
    shell: &Shell,
    mut messages: mpsc::UnboundedReceiver<Message>,
    outgoing: &mpsc::Sender<Batch>,
) {
    loop {
        let routing_ms = shell.in_force().document.routing.peer_ms;
        let mut batch = Vec::new();
        let heartbeat = millis(routing_ms / HEARTBEATS);
        let received = messages.recv_many(&mut batch, BATCH_MOST);
        if let Ok(0) = tokio::time::timeout(heartbeat, received).await {
            return;
        }
        let batch = self::batch(shell, None, batch);
        let bytes = batch.encoded_len() + FRAME_BYTES;
        shell.telemetry.control_bytes.add(bytes as u64, &[]);
        shell.telemetry.control_messages.add(batch.messages.len() as u64, &[]);
        if outgoing.send(batch).await.is_err() {
            return;
        }
    }
}

async fn read_batches(shell: &Shell, peer: Id, mut incoming: Streaming<Batch>) {
    loop {
        let silence = millis(shell.in_force().document.routing.peer_ms * SILENCES_CUT);
        let Ok(Some(Ok(batch))) = tokio::time::timeout(silence, incoming.next()).await else {
            return;
        };
        let status = PeerStatus { leaving: batch.leaving, cut_off: batch.cut_off };
        shell.apply(Event::Heartbeat { peer, status });
        shell.see_version(batch.version);
        for body in batch.messages.into_iter().filter_map(|m| m.body) {
            shell.apply(Event::Received { peer, body });
        }
    }
}
