//! Lists of servers from peers that have read them at different times, while the table service is not reached.

mod platform_fixture;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use agateroute_core::roster::Listing;
use agateroute_proto::peers::peers_client::PeersClient;
use agateroute_proto::peers::peers_server::{Peers, PeersServer};
use agateroute_proto::peers::{
    Batch, FetchReply, FetchRequest, ForwardPart, ForwardRequest, Hello,
};
use agaterouted::clock::boot_millis;
use agaterouted::snapshot::Snapshot;
use agatestand::fault::{FaultProxy, Faults};
use agatestand::instance::{Instance, Launch, eventually, field};
use futures_util::stream::BoxStream;
use http::StatusCode;
use platform_fixture::{TestPlatform, start_platform};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio_stream::wrappers::{ReceiverStream, TcpListenerStream};
use tonic::transport::Server;
use tonic::{Request, Response, Status, Streaming};

/// Revisions above all of the table service in this test.
const OLDER: u64 = 1_000_000;
const NEWER: u64 = 1_000_100;
/// How often the peer with the older list is asked.
const ROUNDS: usize = 4;

/// A peer that hands out one list.
struct Reader {
    snapshot: Snapshot,
    asked: Arc<AtomicUsize>,
}

#[tonic::async_trait]
impl Peers for Reader {
    type LinkStream = BoxStream<'static, Result<Batch, Status>>;
    type ForwardStream = BoxStream<'static, Result<ForwardPart, Status>>;

    async fn link(
        &self,
        _: Request<Streaming<Batch>>,
    ) -> Result<Response<Self::LinkStream>, Status> {
        Err(Status::unavailable("this peer dials"))
    }

    async fn fetch(&self, request: Request<FetchRequest>) -> Result<Response<FetchReply>, Status> {
        let reply = self.snapshot.reply(request.get_ref(), 0, || Ok(String::new()));
        self.asked.fetch_add(1, Ordering::Relaxed);
        reply.map(Response::new).map_err(|e| Status::internal(e.to_string()))
    }

    async fn forward(
        &self,
        _: Request<ForwardRequest>,
    ) -> Result<Response<Self::ForwardStream>, Status> {
        Err(Status::unimplemented(""))
    }
}

fn listing(name: &str) -> Listing {
    Listing {
        name: name.to_owned(),
        service: "ledger".to_owned(),
        address: "127.0.0.1:1".to_owned(),
        zone: "a".to_owned(),
        version: "v1".to_owned(),
        slots: 4,
        ready: true,
        start_ms: 1_700_000_000_000,
        writes: 0,
    }
}

/// Links a peer with a list to an instance. Returns how often it was asked.
async fn link_reader(
    platform: &TestPlatform,
    instance: &Instance,
    (name, revision, servers): (&str, u64, &[&str]),
) -> Arc<AtomicUsize> {
    let snapshot = Snapshot::default();
    snapshot.begin_era(0);
    snapshot.set_servers(servers.iter().map(|name| listing(name)));
    snapshot.record_servers(boot_millis(), 0, revision);
    let asked: Arc<AtomicUsize> = Arc::default();
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("its address").to_string();
    let service = PeersServer::new(Reader { snapshot, asked: asked.clone() });
    let cancelled = platform.cancel.clone().cancelled_owned();
    let incoming = TcpListenerStream::new(listener);
    let server = Server::builder().add_service(service);
    tokio::spawn(server.serve_with_incoming_shutdown(incoming, cancelled));
    let own = field(&instance.find("event=started").expect("the line at the start"), "peer");
    let mut client = PeersClient::connect(format!("http://{own}")).await.expect("a connection");
    let (sender, outgoing) = mpsc::channel(4);
    let hello = Hello { instance: name.to_owned(), start: 1, address, ..Hello::default() };
    let hello = Batch { hello: Some(hello), ..Batch::default() };
    sender.send(hello).await.expect("the channel is open");
    let incoming = client.link(ReceiverStream::new(outgoing)).await.expect("a stream");
    let mut incoming = incoming.into_inner();
    tokio::spawn(async move {
        // The heartbeats of the instance set the pace of this peer's.
        while let Ok(Some(_)) = incoming.message().await {
            if sender.send(Batch::default()).await.is_err() {
                return;
            }
        }
    });
    asked
}

/// Guards against requests at a server that has left, since the list of a peer which had not read that yet replaced a newer one.
#[tokio::test(flavor = "multi_thread")]
async fn older_list_replaces_nothing() {
    let platform = start_platform(1, 0, 0).await;
    let proxy = FaultProxy::start(platform.store.address, platform.cancel.clone()).await;
    let proxy = proxy.expect("a proxy");
    let launch = Launch::new(env!("CARGO_BIN_EXE_agaterouted"), proxy.address, 5_000);
    let instance = Instance::start(launch).await.expect("the instance starts");
    eventually("the instance is ready", async || instance.ready().await == StatusCode::OK).await;
    let (newer, older): (&[&str], &[&str]) = (&["stays"], &["leaves", "stays"]);
    link_reader(&platform, &instance, ("newer", NEWER, newer)).await;
    let asked = link_reader(&platform, &instance, ("older", OLDER, older)).await;
    proxy.set(Faults { cut: true, ..Faults::default() });
    eventually("the older list was offered again", async || {
        asked.load(Ordering::Relaxed) >= ROUNDS
    })
    .await;
    let lines = instance.lines();
    let lists = lines.iter().filter(|l| l.contains("event=servers_in_force"));
    let lists: Vec<&String> = lists.collect();
    let count = |servers: &str| lists.iter().filter(|l| l.ends_with(servers)).count();
    assert!(count(" servers=2") <= 1, "the older list came back: {lists:?}");
    assert!(count(" servers=1") > 0, "{lists:?}");
}
