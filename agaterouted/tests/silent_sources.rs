//! An instance of a large fleet whose sources of the document and the list of servers answer heartbeats and nothing else, while it
//! reaches the table service.

mod platform_fixture;

use agateroute_core::id::mix;
use agateroute_core::{Id, id, rendezvous};
use agateroute_proto::peers::peers_client::PeersClient;
use agateroute_proto::peers::{Batch, Hello};
use agateroute_standin as standin;
use agatestand::instance::{Instance, eventually, field};
use http::StatusCode;
use platform_fixture::{TestPlatform, start_platform};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;

/// The peers: more than in a fleet without relays. All of them come before the instance as readers, as relays and in the order in which
/// instances read the table service themselves.
const PEERS: usize = 60;
/// What the daemon hashes to choose readers.
const DUTY: &str = "discovery";

/// Names that precede an instance wherever instances are ordered.
fn preceding_names(me: Id) -> impl Iterator<Item = String> {
    let precedes =
        move |duty, name: &String| rendezvous::order(duty, [me, id(name)].into_iter())[0] != me;
    let names = (0..).map(|number| format!("played-{number}"));
    names.filter(move |n| precedes(id(DUTY), n) && precedes(mix(id(DUTY), id("relay")), n))
}

/// Accepts connections and answers nothing, until cancelled. Returns the address.
async fn start_mute(platform: &TestPlatform) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("its address").to_string();
    let cancel = platform.cancel.clone();
    tokio::spawn(async move {
        let mut open = Vec::new();
        loop {
            tokio::select! {
                () = cancel.cancelled() => return,
                accepted = listener.accept() => open.extend(accepted),
            }
        }
    });
    address
}

/// Links a peer that answers probes.
async fn link_peer(own: &str, name: String, address: String) {
    let mut client = PeersClient::connect(format!("http://{own}")).await.expect("a connection");
    let (sender, outgoing) = mpsc::channel(4);
    let zone = "a".to_owned();
    let hello = Hello { instance: name, start: 1, address, zone, probes: true };
    let hello = Batch { hello: Some(hello), ..Batch::default() };
    sender.send(hello).await.expect("the channel is open");
    let incoming = client.link(ReceiverStream::new(outgoing)).await.expect("a stream");
    let mut incoming = incoming.into_inner();
    tokio::spawn(async move {
        while let Ok(Some(batch)) = incoming.message().await {
            if batch.probe && sender.send(Batch::default()).await.is_err() {
                return;
            }
        }
    });
}

/// Starts an instance, and links it to peers from which it is to get the document and the list.
async fn start_among_silent(platform: &TestPlatform) -> Instance {
    let instance = platform.start_instance(5_000).await;
    let own = field(&instance.find("event=started").expect("the line at the start"), "peer");
    let address = start_mute(platform).await;
    for name in preceding_names(id(&instance.launch.name)).take(PEERS) {
        link_peer(&own, name, address.clone()).await;
    }
    eventually("it takes the role of a client", async || {
        instance.find("event=table_service_role").is_some_and(|l| l.contains("role=asks"))
    })
    .await;
    instance
}

/// Guards against a withdrawn key that is served until it is the instance's turn to read the list of servers.
#[tokio::test(flavor = "multi_thread")]
async fn document_past_silent_sources() {
    let platform = start_platform(1, 0, 0).await;
    let instance = start_among_silent(&platform).await;
    standin::publish(&platform.store, 2, false);
    eventually("the new version is active", async || instance.logged("event=configured version=2"))
        .await;
    let answer = instance.call("POST", "/order/", "yew-key", "").await;
    assert_eq!(answer.status, StatusCode::UNAUTHORIZED);
}

/// Guards against a server that left and gets requests until it is the instance's turn to read the list.
#[tokio::test(flavor = "multi_thread")]
async fn list_past_silent_sources() {
    let platform = start_platform(2, 0, 0).await;
    let instance = start_among_silent(&platform).await;
    platform.plain[0].list_draining(&platform.store);
    eventually("the list without the server is known", async || {
        let newest = instance.find("event=servers_in_force");
        newest.is_some_and(|l| l.contains("servers=1"))
    })
    .await;
}
