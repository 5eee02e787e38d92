//! Instances of two builds run side by side while machines are replaced one after the other. Guards against rows, documents and
//! hashes that the other build does not share, and against a link that ends over a message of a later build.
//!
//! The files in `recorded` hold what the build of a commit wrote: each line a name and JSON. See `docs/DESIGN.md`, "Two builds
//! side by side".

mod platform_fixture;

use agateroute_core::lease::LeaseRow;
use agateroute_core::ledger::shard_of;
use agateroute_core::roster::Listing;
use agateroute_core::server_list::ServerList;
use agateroute_core::tally::Tally;
use agateroute_core::{id, id::mix, rendezvous};
use agateroute_proto::peers::forward_part::Part;
use agateroute_proto::peers::message::Body;
use agateroute_proto::peers::peers_client::PeersClient;
use agateroute_proto::peers::peers_server::{Peers, PeersServer};
use agateroute_proto::peers::{
    Ask, Batch, Deny, FetchReply, FetchRequest, ForwardFinish, ForwardHead, ForwardPart,
    ForwardRequest, Grant, Hello, Message, StreamAsk, StreamReply,
};
use agaterouted::compose::{PeerDocument, PeerListing};
use agaterouted::tallies::{TallyEntry, TallyRecord};
use agatestand::instance::{Instance, eventually, field};
use bytes::{Buf, BufMut, Bytes};
use futures_util::StreamExt;
use futures_util::stream::{self, BoxStream};
use http::StatusCode;
use http::uri::PathAndQuery;
use platform_fixture::{TestPlatform, start_platform};
use prost::Message as _;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio_stream::wrappers::{ReceiverStream, TcpListenerStream};
use tonic::client::Grpc;
use tonic::codec::{Codec, DecodeBuf, Decoder, EncodeBuf, Encoder};
use tonic::transport::{Endpoint, Server};
use tonic::{Request, Response, Status, Streaming};

const LAST_LANDING: &str = include_str!("recorded/3cefccd.txt");

/// Returns the JSON that a build wrote under a name.
fn recorded(build: &str, name: &str) -> String {
    let line = build.lines().find_map(|l| l.strip_prefix(name)?.strip_prefix(' '));
    line.unwrap_or_else(|| panic!("{name} is not recorded")).to_owned()
}

fn listing(name: &str) -> Listing {
    Listing {
        name: name.to_owned(),
        service: "orders".to_owned(),
        address: "10.0.0.1:80".to_owned(),
        zone: "a".to_owned(),
        version: "v1".to_owned(),
        slots: 6,
        ready: true,
        start_ms: 1_796_000_000_000,
        writes: 0,
    }
}

fn tally_record() -> TallyRecord {
    let mut tally = Tally { ended: [1, 2, 3, 4, 5, 6], tokens: 70, ..Tally::default() };
    tally.stalls = 8;
    tally.stalled_ms = 90;
    tally.first.add(100);
    tally.gaps.add(40);
    let (organisation, kind, rank) = ("yew".to_owned(), "draft".to_owned(), "urgent".to_owned());
    TallyRecord {
        instance: "entry-1".to_owned(),
        start: 1_796_000_000_000,
        sequence: 3,
        from: 1_796_000_000,
        until: 1_796_000_030,
        closed: true,
        entries: vec![TallyEntry { organisation, kind, rank, tally }],
    }
}

fn lease_row() -> LeaseRow {
    LeaseRow { fencing: 4, renewal: 5, holder: "entry-1 1796000000000".to_owned(), free: true }
}

fn list_digest() -> u64 {
    let mut list = ServerList::new(7);
    list.replace(["ledger-1", "ledger-2"].into_iter().map(listing));
    list.digest()
}

fn encode(value: &impl Serialize) -> String {
    serde_json::to_string(value).expect("JSON")
}

/// What the instances of a build write and compute for each other.
fn written() -> Vec<(&'static str, String)> {
    let candidates = || ["entry-1", "entry-2", "entry-3"].map(id).into_iter();
    vec![
        ("id", id("ledger-1").to_string()),
        ("mix", mix(id("ledger-1"), 2).to_string()),
        ("owner", rendezvous::owner(id("ledger-1"), candidates()).unwrap_or(0).to_string()),
        ("order", encode(&rendezvous::order(id("discovery"), candidates()))),
        ("shard", shard_of("calls-a/row").to_string()),
        ("list-digest", list_digest().to_string()),
        (
            "peer-document",
            encode(&decode::<PeerDocument>(&recorded(LAST_LANDING, "peer-document"))),
        ),
        ("peer-listing", encode(&PeerListing::new(&listing("ledger-1")))),
        ("tally", encode(&tally_record())),
        ("lease", encode(&lease_row())),
    ]
}

/// Adds a field that this build does not know to each object in a JSON value.
fn add_unknown(value: &mut Value) {
    match value {
        Value::Object(fields) => {
            fields.values_mut().for_each(add_unknown);
            fields.insert("of a later build".to_owned(), json!({"any": ["value"]}));
        }
        Value::Array(items) => items.iter_mut().for_each(add_unknown),
        _ => {}
    }
}

fn decode<T: DeserializeOwned>(text: &str) -> T {
    serde_json::from_str(text).unwrap_or_else(|e| panic!("{e}: {text}"))
}

fn decode_with_unknown<T: DeserializeOwned>(text: &str) -> T {
    let mut value: Value = decode(text);
    add_unknown(&mut value);
    decode(&value.to_string())
}

/// Whether JSON holds all that another one does. Fields may have been added since.
fn holds(value: &Value, other: &Value) -> bool {
    match (value, other) {
        (Value::Object(fields), Value::Object(others)) => {
            others.iter().all(|(name, other)| fields.get(name).is_some_and(|f| holds(f, other)))
        }
        (Value::Array(items), Value::Array(others)) => {
            let pairs = items.iter().zip(others);
            items.len() == others.len() && pairs.into_iter().all(|(item, other)| holds(item, other))
        }
        _ => value == other,
    }
}

/// Builds that compute different owners ask the wrong instance, and lists with different digests are fetched for ever.
#[test]
fn same_as_the_last_landing() {
    for (name, text) in written() {
        let recorded = recorded(LAST_LANDING, name);
        assert!(holds(&decode(&text), &decode(&recorded)), "{name}: {text} is not {recorded}");
    }
}

#[test]
fn unknown_fields_ignored() {
    let recorded = |name| recorded(LAST_LANDING, name);
    let document = |read: PeerDocument| {
        let read = read.into_declared(42);
        (read.document, read.capacities)
    };
    let text = recorded("peer-document");
    assert_eq!(document(decode_with_unknown(&text)), document(decode(&text)));
    let read: PeerListing = decode_with_unknown(&recorded("peer-listing"));
    assert_eq!(read.into_listing(), listing("ledger-1"));
    let read: TallyRecord = decode_with_unknown(&recorded("tally"));
    assert_eq!(encode(&read), recorded("tally"));
    assert_eq!(decode_with_unknown::<LeaseRow>(&recorded("lease")), lease_row());
}

/// The build before refuses a document with a field that it does not know, so a field that is added may only be written where it
/// differs from its default.
#[test]
fn documents_without_new_fields() {
    let text = recorded(LAST_LANDING, "peer-document");
    let written = encode(&decode::<PeerDocument>(&text));
    assert!(holds(&decode(&text), &decode(&written)), "{written} has more than {text}");
}

/// The rows of instances have fields of a later build, inside and outside of what the platform keeps of them.
#[tokio::test]
async fn rows_of_a_later_build() {
    let platform = start_platform(1, 0, 0).await;
    platform.store.rewrite(|_, mut content| {
        let text = content["value"].as_str().unwrap_or_default();
        if let Ok(mut value) = serde_json::from_str(text) {
            add_unknown(&mut value);
            content["value"] = json!(value.to_string());
        }
        add_unknown(&mut content);
        content
    });
    platform.store.write_everywhere("~later", &json!({"any": "kind"}).to_string());
    let instances = [platform.start_instance(5_000).await, platform.start_instance(5_000).await];
    for instance in &instances {
        eventually("the instances are linked", async || instance.logged("event=peer_linked")).await;
        assert!(!instance.logged("event=instance_row_invalid name=routed"));
        let answer = instance.call("POST", "/order/", "yew-key", "").await;
        assert_eq!(answer.status, StatusCode::OK);
    }
}

/// Sends and receives messages between instances as bytes, so that they can hold what this build does not know.
#[derive(Clone, Copy)]
struct Raw;

impl Codec for Raw {
    type Encode = Bytes;
    type Decode = Bytes;
    type Encoder = Raw;
    type Decoder = Raw;

    fn encoder(&mut self) -> Raw {
        Raw
    }

    fn decoder(&mut self) -> Raw {
        Raw
    }
}

impl Encoder for Raw {
    type Item = Bytes;
    type Error = Status;

    fn encode(&mut self, item: Bytes, out: &mut EncodeBuf<'_>) -> Result<(), Status> {
        out.put(item);
        Ok(())
    }
}

impl Decoder for Raw {
    type Item = Bytes;
    type Error = Status;

    fn decode(&mut self, buffer: &mut DecodeBuf<'_>) -> Result<Option<Bytes>, Status> {
        Ok(Some(buffer.copy_to_bytes(buffer.remaining())))
    }
}

/// A peer of a later build that has dialed an instance.
struct LaterPeer {
    sender: mpsc::Sender<Bytes>,
    incoming: Streaming<Bytes>,
}

impl LaterPeer {
    async fn dial(instance: &Instance) -> LaterPeer {
        let started = instance.find("event=started").expect("the line at the start");
        let address = format!("http://{}", field(&started, "peer"));
        let channel = Endpoint::from_shared(address).expect("an address").connect().await;
        let mut client = Grpc::new(channel.expect("a connection"));
        let (sender, outgoing) = mpsc::channel(4);
        let name = "entry-of-a-later-build".to_owned();
        let hello = Hello { instance: name, start: 1, ..Hello::default() };
        let hello = Batch { hello: Some(hello), ..Batch::default() };
        sender.send(of_later_build(&hello)).await.expect("the channel is open");
        client.ready().await.expect("the client is ready");
        let path = PathAndQuery::from_static("/agateroute.peers.v1.Peers/Link");
        let request = Request::new(ReceiverStream::new(outgoing));
        let answer = client.streaming(request, path, Raw).await.expect("a stream");
        LaterPeer { sender, incoming: answer.into_inner() }
    }

    /// Sends messages among others that the instance does not know, and waits for the reply to the first one.
    async fn ask(&mut self, request: u64) -> Body {
        let ask = Body::StreamAsk(StreamAsk { request, stream: 5 });
        let deny = Body::Deny(Deny { reason: 1_000, ..Deny::default() });
        let messages = [deny, ask].map(|body| Message { body: Some(body) }).to_vec();
        let batch = of_later_build(&Batch { messages, ..Batch::default() });
        self.sender.send(batch).await.expect("the stream is up");
        loop {
            let batch = self.incoming.message().await.expect("the stream is up").expect("a batch");
            let batch = Batch::decode(batch).expect("a batch");
            let bodies = batch.messages.into_iter().filter_map(|m| m.body);
            let is_reply = |b: &Body| matches!(b, Body::StreamReply(r) if r.request == request);
            if let Some(reply) = bodies.into_iter().find(is_reply) {
                return reply;
            }
        }
    }
}

/// Encodes a batch with a field, and a message with a kind, that this build does not know.
fn of_later_build(batch: &Batch) -> Bytes {
    const UNKNOWN: u32 = 1_000;
    const MESSAGES: u32 = 3;
    let mut kind = Vec::new();
    prost::encoding::bytes::encode(UNKNOWN, &b"of a later build".to_vec(), &mut kind);
    let mut bytes = Vec::new();
    prost::encoding::bytes::encode(MESSAGES, &kind, &mut bytes);
    prost::encoding::uint64::encode(UNKNOWN, &7, &mut bytes);
    bytes.extend(batch.encode_to_vec());
    bytes.into()
}

#[tokio::test]
async fn link_with_a_later_build() {
    let platform = start_platform(1, 0, 0).await;
    let instance = platform.start_instance(5_000).await;
    let mut peer = LaterPeer::dial(&instance).await;
    for request in 1..=3 {
        let expected = Body::StreamReply(StreamReply { request, origin: None });
        assert_eq!(peer.ask(request).await, expected);
    }
    assert!(!instance.logged("event=peer_unlinked"), "the link ended");
}

/// How the peer of another build answers a forwarded request.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Forwards {
    /// The build before forwarding does not know the call.
    Unknown,
    /// A later build sends parts of a kind that this one does not know, among the others.
    UnknownParts,
    /// The build before hands on any status of a server.
    Status(u32),
}

/// A peer of another build, which reaches servers.
struct OtherPeer(Forwards);

#[tonic::async_trait]
impl Peers for OtherPeer {
    type LinkStream = BoxStream<'static, Result<Batch, Status>>;
    type ForwardStream = BoxStream<'static, Result<ForwardPart, Status>>;

    async fn link(
        &self,
        _: Request<Streaming<Batch>>,
    ) -> Result<Response<Self::LinkStream>, Status> {
        Err(Status::unavailable("this peer dials"))
    }

    async fn fetch(&self, _: Request<FetchRequest>) -> Result<Response<FetchReply>, Status> {
        Err(Status::unavailable("this peer reads nothing"))
    }

    async fn forward(
        &self,
        _: Request<ForwardRequest>,
    ) -> Result<Response<Self::ForwardStream>, Status> {
        if self.0 == Forwards::Unknown {
            // What gRPC servers answer to a call that they do not know.
            return Err(Status::unimplemented(""));
        }
        let status = if let Forwards::Status(status) = self.0 { status } else { 200 };
        let head = ForwardHead { status, ..ForwardHead::default() };
        let parts = [
            None,
            Some(Part::Head(head)),
            None,
            Some(Part::Data(b"an answer".to_vec())),
            None,
            Some(Part::Finish(ForwardFinish {})),
        ];
        let parts = parts.map(|part| Ok(ForwardPart { part }));
        Ok(Response::new(stream::iter(parts).boxed()))
    }
}

/// Links an instance to a peer that grants every permit and sends heartbeats, until cancelled.
async fn link_other(platform: &TestPlatform, instance: &Instance, forwards: Forwards) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("its address").to_string();
    let service = PeersServer::new(OtherPeer(forwards));
    let incoming = TcpListenerStream::new(listener);
    let cancelled = platform.cancel.clone().cancelled_owned();
    let server = Server::builder().add_service(service);
    tokio::spawn(server.serve_with_incoming_shutdown(incoming, cancelled));
    let started = instance.find("event=started").expect("the line at the start");
    let own = format!("http://{}", field(&started, "peer"));
    let mut client = PeersClient::connect(own).await.expect("a connection");
    let (sender, outgoing) = mpsc::channel(4);
    let instance_name = "entry-of-another-build".to_owned();
    let hello = Hello { instance: instance_name, start: 1, address, ..Hello::default() };
    let hello = Batch { hello: Some(hello), ..Batch::default() };
    sender.send(hello).await.expect("the channel is open");
    let incoming = client.link(ReceiverStream::new(outgoing)).await.expect("a stream");
    let mut incoming = incoming.into_inner();
    tokio::spawn(async move {
        // The heartbeats of the instance set the pace of this peer's.
        while let Ok(Some(batch)) = incoming.message().await {
            let grants = batch.messages.into_iter().filter_map(|m| match m.body {
                Some(Body::Ask(Ask { request, server, .. })) => {
                    Some(Body::Grant(Grant { request, server, ..Grant::default() }))
                }
                _ => None,
            });
            let messages = grants.map(|body| Message { body: Some(body) }).collect();
            if sender.send(Batch { messages, ..Batch::default() }).await.is_err() {
                return;
            }
        }
    });
    eventually("the peer is linked", async || instance.logged("event=peer_linked")).await;
}

/// Starts an instance that reaches no server, with a peer of another build.
async fn start_cut(platform: &TestPlatform, forwards: Forwards) -> Instance {
    let instance = platform.start_instance(5_000).await;
    link_other(platform, &instance, forwards).await;
    platform.plain.iter().for_each(agateroute_standin::Server::crash);
    eventually("the instance notices that it reaches no server", async || {
        instance.call("POST", "/stock/", "yew-key", "").await;
        instance.logged("event=servers_reached reached=false")
    })
    .await;
    instance
}

/// Guards against a caller who is told that a request may have run, since a peer of a build before does not know the call.
#[tokio::test]
async fn forwarding_unknown_to_the_peer() {
    let platform = start_platform(3, 0, 0).await;
    let instance = start_cut(&platform, Forwards::Unknown).await;
    let answer = instance.call("POST", "/order/", "yew-key", "").await;
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE, "it has not run");
    let logged = async || instance.logged("outcome=not_run");
    eventually("it was offered to the peer", logged).await;
    assert!(!instance.logged("outcome=lost"), "taken for a request that may have run");
}

/// Guards against an answer of a peer that is thrown away over a part that a later build added.
#[tokio::test]
async fn parts_of_a_later_build() {
    let platform = start_platform(3, 0, 0).await;
    let instance = start_cut(&platform, Forwards::UnknownParts).await;
    for path in ["/order/", "/draft/"] {
        let answer = instance.call("POST", path, "yew-key", "").await;
        assert_eq!(
            (answer.status, &answer.body[..]),
            (StatusCode::OK, &b"an answer"[..]),
            "{path}"
        );
        assert!(answer.complete, "{path}");
    }
}

/// Guards against a status of a server in trouble that a peer of the build before hands on as an answer.
#[tokio::test]
async fn invalid_status_of_a_peer() {
    for status in [0, 101, 600, 999, 1_000] {
        let platform = start_platform(3, 0, 0).await;
        let instance = start_cut(&platform, Forwards::Status(status)).await;
        let answer = instance.call("POST", "/order/", "yew-key", "").await;
        assert_eq!(answer.status, StatusCode::BAD_GATEWAY, "{status}");
    }
}
