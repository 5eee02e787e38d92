//! A peer of an older build has no `forward` and answers that it is not implemented. Guards against requests of an instance
//! without servers that end there, although nothing has run and another peer serves them.

mod platform_fixture;

use std::time::Duration;

use agateroute_proto::peers::peers_client::PeersClient;
use agateroute_proto::peers::{Batch, Hello};
use agatestand::fault::{FaultProxy, Faults};
use agatestand::instance::{Instance, Launch, eventually, field};
use futures_util::stream;
use http::StatusCode;
use platform_fixture::{TestPlatform, start_platform};
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio_stream::StreamExt;
use tokio_stream::wrappers::TcpListenerStream;
use tonic::service::Routes;
use tonic::transport::Server;

const OLD_PEER: &str = "old-peer";
/// A linked peer that is silent for longer gets no requests.
const HEARTBEAT: Duration = Duration::from_millis(50);

/// Links a peer whose gRPC server knows no method at all.
async fn link_old_peer(platform: &TestPlatform, instance: &Instance) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("its address").to_string();
    let server = Server::builder().add_routes(Routes::default());
    let cancel = platform.cancel.clone().cancelled_owned();
    let incoming = TcpListenerStream::new(listener);
    tokio::spawn(server.serve_with_incoming_shutdown(incoming, cancel));
    let peer = field(&instance.find("event=started").expect("the start"), "peer");
    let mut client =
        PeersClient::connect(format!("http://{peer}")).await.expect("the instance is reached");
    let hello = Hello { instance: OLD_PEER.to_owned(), start: 1, zone: String::new(), address };
    let first = Batch { hello: Some(hello), ..Batch::default() };
    let beats = stream::unfold((), async |()| {
        tokio::time::sleep(HEARTBEAT).await;
        Some((Batch::default(), ()))
    });
    let batches = stream::iter([first]).chain(Box::pin(beats));
    let mut answers = client.link(batches).await.expect("a stream").into_inner();
    tokio::spawn(async move { while let Some(Ok(_)) = answers.next().await {} });
}

/// Starts an instance whose links to the servers refuse all connections.
async fn start_cut_instance(platform: &TestPlatform) -> (Instance, Vec<FaultProxy>) {
    let mut links = Vec::new();
    let mut seen = Vec::new();
    for server in &platform.plain {
        let link = FaultProxy::start(server.address, platform.cancel.clone()).await;
        let link = link.expect("a proxy");
        seen.push((server.name.clone(), link.address));
        links.push(link);
    }
    let view = move |key: &str, mut row: Value| {
        if let Some((_, address)) = seen.iter().find(|(name, _)| name == key) {
            row["Address"] = json!(address.to_string());
        }
        row
    };
    let store = platform.store.start_view(platform.cancel.clone(), view).await;
    let launch = Launch::new(env!("CARGO_BIN_EXE_agaterouted"), store, 5_000);
    let instance = Instance::start(launch).await.expect("the instance starts");
    eventually("the instance is ready", async || instance.ready().await == StatusCode::OK).await;
    (instance, links)
}

#[tokio::test]
async fn request_goes_to_another_peer() {
    let platform = start_platform(2, 0, 0).await;
    let (cut, links) = start_cut_instance(&platform).await;
    let other = platform.start_instance(5_000).await;
    let linked = async || cut.logged("event=peer_linked") && other.logged("event=peer_linked");
    eventually("the instances are linked", linked).await;
    links.iter().for_each(|l| l.set(Faults { refuse: true, cut: true, ..Faults::default() }));
    let mut ran = 0;
    eventually("requests go to the other instance", async || {
        let answer = cut.call("POST", "/order/", "yew-key", "a body").await;
        ran += usize::from(answer.status == StatusCode::OK);
        cut.logged("event=request_forwarded")
    })
    .await;
    link_old_peer(&platform, &cut).await;
    eventually("the old peer is linked", async || {
        cut.logged(&format!("event=peer_linked peer={OLD_PEER}"))
    })
    .await;
    let tried = format!("peer={OLD_PEER} outcome=");
    eventually("the old peer was tried", async || {
        let answer = cut.call("POST", "/order/", "yew-key", "a body").await;
        assert_ne!(answer.status, StatusCode::BAD_GATEWAY, "nothing has run: {answer:?}");
        ran += usize::from(answer.status == StatusCode::OK);
        cut.logged(&tried)
    })
    .await;
    let runs: usize = platform.plain.iter().map(|s| s.runs().len()).sum();
    assert_eq!(runs, ran, "each answered order ran once");
    assert!(cut.logged(&format!("{tried}not_run")), "{:?}", cut.find(&tried));
}
