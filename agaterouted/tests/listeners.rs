//! Crowds of clients that do not behave, at each listener but the one for routes. Guards against a process that runs out of
//! memory or descriptors, or serves nobody else, because bodies, heads, connections or answers of such clients pile up in it.
//! The settings of the tests name a small machine, so that a small crowd shows the fault.

mod harness;
mod platform_fixture;

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use agateroute_standin as standin;
use agatestand::instance::{Instance, field};
use agatestand::service::ServiceOptions;
use bytes::Bytes;
use futures_util::{StreamExt, stream};
use harness::{Caller, Harness, api_key, eventually, steady};
use http::{Request, Response, StatusCode, header};
use http_body_util::StreamBody;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::Frame;
use hyper::client::conn::http2::{self, SendRequest};
use hyper_util::rt::{TokioExecutor, TokioIo};
use platform_fixture::{TestPlatform, start_platform};
use rustix::process::Signal;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::{Mutex, MutexGuard};
use tokio::task::JoinSet;

/// The memory of the machine in MB, and the connections and descriptors that the settings name.
const MEMORY_MB: u64 = 96;
const CONNECTIONS: u64 = 100;
const DESCRIPTORS: u64 = 400;
const RESERVED_DESCRIPTORS: u64 = 200;
/// The longest body that the document allows.
const BODY_BYTES: usize = 1 << 20;
/// The connections of most crowds, fewer than the settings allow.
const CALLERS: usize = 90;
/// The bodies of each connection of a crowd that uses HTTP/2, its connections, and the bytes that are sent at once.
const STREAMS: usize = 50;
const MULTIPLEXING_CALLERS: usize = 4;
const BLOCK_BYTES: usize = 16 * 1024;
/// The connections of crowds that send a chunk for each byte, and the chunks on each of them.
const CHUNKING_CALLERS: usize = 8;
const TINY_CHUNKS: usize = 250_000;
/// The connections of crowds whose connections are many.
const MANY_CALLERS: usize = 300;
/// The requests that are sent on one connection without reading an answer.
const PIPELINED: usize = 2_000;
/// The receive buffer of the clients of a crowd, in bytes.
const RECEIVE_BYTES: u32 = 4 * 1024;
/// The bytes of a head that stops short, for callers and at the other listeners.
const CALLER_HEAD_BYTES: usize = 250_000;
const HEAD_BYTES: usize = 380_000;
/// The time limits of a head and of an idle connection, in milliseconds.
const IDLE_MS: u64 = 1_000;

/// Holds off the other tests of this file, since each fills the memory of a process.
static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

/// A stand-alone instance on a small machine.
struct Small {
    _alone: MutexGuard<'static, ()>,
    harness: Harness,
}

async fn start_small() -> Small {
    let alone = ONE_AT_A_TIME.lock().await;
    let mut harness = Harness::new(&[steady(5.0, 5)], &[ServiceOptions::default()]).await;
    harness.document["limits"] = json!({"body_bytes": BODY_BYTES, "body_ms": 20_000});
    harness.settings = json!({"memory_mb": MEMORY_MB, "connections": CONNECTIONS,
        "head_ms": IDLE_MS, "idle_ms": IDLE_MS});
    harness.start_daemon(false).await;
    Small { _alone: alone, harness }
}

impl Small {
    fn listen(&self) -> &str {
        &self.harness.daemons[0].listen
    }

    /// Checks that the process lives within its machine and serves an ordinary caller.
    async fn holds(&mut self) {
        let path = "/v1/services/orders/stock";
        eventually("an ordinary request is served", async || {
            // A caller that is turned away comes again on a new connection.
            let caller = Caller::new(self.listen(), "yew");
            let request = Request::post(format!("http://{}{path}", caller.address))
                .header(header::AUTHORIZATION, format!("Bearer {}", caller.key))
                .body(Bytes::from_static(b"ordinary").into());
            let answer = caller.client.request(request.expect("a request")).await;
            answer.is_ok_and(|a| a.status() == StatusCode::OK)
        })
        .await;
        let daemon = &mut self.harness.daemons[0];
        assert!(daemon.child.try_wait().expect("its state").is_none(), "the process has ended");
        check_process(daemon.child.id(), &daemon.listen, CONNECTIONS + RESERVED_DESCRIPTORS);
    }

    async fn holds_once_read(&mut self) {
        wait_until_read(self.listen()).await;
        self.holds().await;
    }
}

/// Checks the peak of the memory of a process, with what waits in the sockets of a listener, and its open descriptors.
fn check_process(pid: u32, address: &str, descriptors: u64) {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).expect("its status");
    let peak = status.lines().find_map(|l| l.strip_prefix("VmHWM:")).expect("its peak");
    let kib: u64 = peak.split_whitespace().next().expect("a value").parse().expect("a number");
    let open = std::fs::read_dir(format!("/proc/{pid}/fd")).expect("its descriptors").count();
    let unread = unread(address);
    println!("peak {} MiB, {open} descriptors, {unread} bytes unread", kib / 1_024);
    assert!(kib * 1_024 + unread < MEMORY_MB * 1_000_000, "{} MiB at the peak", kib / 1_024);
    assert!((open as u64) < descriptors, "{open} open descriptors");
}

/// Returns the bytes that wait in the receive buffers of the connections to a listener.
fn unread(address: &str) -> u64 {
    let port = address.rsplit(':').next().and_then(|p| p.parse::<u16>().ok()).expect("a port");
    let local = format!(":{port:04X}");
    let sockets = std::fs::read_to_string("/proc/net/tcp").expect("the sockets");
    let queue = |line: &str| {
        let mut fields = line.split_whitespace().skip(1);
        let is_own = fields.next()?.ends_with(&local) && fields.nth(1)? != "0A";
        let queue = u64::from_str_radix(fields.next()?.split(':').nth(1)?, 16).ok()?;
        is_own.then_some(queue)
    };
    sockets.lines().filter_map(queue).sum()
}

/// Waits until a process has read what arrived, or has stopped reading.
async fn wait_until_read(address: &str) {
    loop {
        let before = unread(address);
        if before == 0 {
            break;
        }
        eventually("more is read or refused", async || unread(address) != before).await;
    }
}

/// Connects clients that send blocks of bytes and then neither send nor read nor close.
async fn crowd(address: &str, clients: usize, blocks: &[(&[u8], usize)]) -> Vec<TcpStream> {
    let mut senders = JoinSet::new();
    for _ in 0..clients {
        let address = address.to_owned();
        let blocks: Vec<_> = blocks.iter().map(|(b, times)| (b.to_vec(), *times)).collect();
        senders.spawn(async move {
            // A client that is turned away fails at any point; that is its own affair.
            // The little that it takes in before it reads fills up soon.
            let socket = TcpSocket::new_v4().expect("a socket");
            socket.set_recv_buffer_size(RECEIVE_BYTES).expect("the size of its buffer");
            let mut stream = socket.connect(address.parse().expect("an address")).await.ok()?;
            for (block, times) in blocks {
                for _ in 0..times {
                    stream.write_all(&block).await.ok()?;
                }
            }
            Some(stream)
        });
    }
    senders.join_all().await.into_iter().flatten().collect()
}

fn head(path: &str, fields: &str) -> Vec<u8> {
    let key = api_key("yew");
    format!("POST {path} HTTP/1.1\r\nhost: all\r\nauthorization: Bearer {key}\r\n{fields}\r\n")
        .into_bytes()
}

fn sized(path: &str, length: usize) -> Vec<u8> {
    head(path, &format!("content-length: {length}\r\n"))
}

fn chunked(path: &str) -> Vec<u8> {
    head(path, "transfer-encoding: chunked\r\n")
}

/// Returns a chunk of this many bytes.
fn chunk(length: usize) -> Vec<u8> {
    let mut chunk = format!("{length:x}\r\n").into_bytes();
    chunk.resize(chunk.len() + length, b'x');
    chunk.extend_from_slice(b"\r\n");
    chunk
}

const CHAT: &str = "/v1/chat/completions";
const STOCK: &str = "/v1/services/orders/stock";

// Guards against memory for large bodies that stop one byte before their end.
#[tokio::test(flavor = "multi_thread")]
async fn front_sized_bodies() {
    let mut small = start_small().await;
    let body = vec![b'x'; BODY_BYTES - 1];
    let blocks = [(&sized(CHAT, BODY_BYTES)[..], 1), (&body[..], 1)];
    let _open = crowd(small.listen(), CALLERS, &blocks).await;
    small.holds_once_read().await;
}

// Guards against memory for bodies in large chunks that stop before their last chunk.
#[tokio::test(flavor = "multi_thread")]
async fn front_large_chunks() {
    let mut small = start_small().await;
    let blocks = [(&chunked(STOCK)[..], 1), (&chunk(BODY_BYTES / 8)[..], 8)];
    let _open = crowd(small.listen(), CALLERS, &blocks).await;
    small.holds_once_read().await;
}

// Guards against what a chunk costs beside its bytes.
#[tokio::test(flavor = "multi_thread")]
async fn front_tiny_chunks() {
    let mut small = start_small().await;
    let tiny = chunk(1).repeat(1_000);
    let blocks = [(&chunked(STOCK)[..], 1), (&tiny[..], TINY_CHUNKS / 1_000)];
    let _open = crowd(small.listen(), CHUNKING_CALLERS, &blocks).await;
    small.holds_once_read().await;
}

// Guards against memory for whole bodies whose servers do not answer.
#[tokio::test(flavor = "multi_thread")]
async fn front_whole_bodies() {
    let mut small = start_small().await;
    let faults = agatestand::fault::Faults { hold_answers: true, ..Default::default() };
    small.harness.service_proxies[0].set(faults);
    let body = vec![b'x'; BODY_BYTES];
    let blocks = [(&sized(STOCK, BODY_BYTES)[..], 1), (&body[..], 1)];
    let _open = crowd(small.listen(), CALLERS, &blocks).await;
    wait_until_read(small.listen()).await;
    small.harness.service_proxies[0].set(Default::default());
    small.holds().await;
}

// Guards against reading a body that is announced as longer than allowed, before it is refused.
#[tokio::test(flavor = "multi_thread")]
async fn front_announced_over_the_limit() {
    let mut small = start_small().await;
    let blocks = [(&sized(STOCK, BODY_BYTES * 1_000)[..], 1)];
    let mut open = crowd(small.listen(), CALLERS, &blocks).await;
    for stream in &mut open {
        let mut status = [0; 12];
        stream.read_exact(&mut status).await.expect("a status");
        assert_eq!(&status, b"HTTP/1.1 413", "{}", String::from_utf8_lossy(&status));
    }
    small.holds_once_read().await;
}

// Guards against reading on in a body that is sent beyond the limit.
#[tokio::test(flavor = "multi_thread")]
async fn front_sent_over_the_limit() {
    let mut small = start_small().await;
    let blocks = [(&chunked(STOCK)[..], 1), (&chunk(BODY_BYTES / 8)[..], 64)];
    let _open = crowd(small.listen(), CALLERS, &blocks).await;
    small.holds_once_read().await;
}

// Guards against memory for bodies of many streams on few connections.
#[tokio::test(flavor = "multi_thread")]
async fn front_multiplexed_bodies() {
    let mut small = start_small().await;
    let start = vec![b'x'; BODY_BYTES - 1];
    let _open = multiplexing_crowd(small.listen(), STOCK, start).await;
    small.holds_once_read().await;
}

type Unfinished = UnsyncBoxBody<Bytes, Infallible>;

/// Counts bodies that are sent as far as they go, or given up.
struct Sent(Arc<AtomicUsize>);

impl Drop for Sent {
    fn drop(&mut self) {
        self.0.fetch_add(1, Ordering::AcqRel);
    }
}

/// A body that stops short.
fn unfinished(start: Bytes, count: &Arc<AtomicUsize>) -> Unfinished {
    let sent = Sent(count.clone());
    let rest = stream::once(async move {
        drop(sent);
        std::future::pending().await
    });
    // One by one, since the client takes the next block once it may send.
    let blocks: Vec<_> = start.chunks(BLOCK_BYTES).map(|b| start.slice_ref(b)).collect();
    let start = stream::iter(blocks).map(|b| Ok(Frame::data(b)));
    Unfinished::new(StreamBody::new(start.chain(rest)))
}

/// Sends requests on a few connections whose bodies stop short, and waits until they have.
async fn multiplexing_crowd(address: &str, uri: &str, start: Vec<u8>) -> JoinSet<()> {
    let (count, start) = (Arc::new(AtomicUsize::new(0)), Bytes::from(start));
    let mut open = JoinSet::new();
    for _ in 0..MULTIPLEXING_CALLERS {
        let mut sender = multiplex(address).await;
        for _ in 0..STREAMS {
            let request = Request::post(format!("http://{address}{uri}"))
                .header(header::CONTENT_TYPE, "application/grpc")
                .header(header::AUTHORIZATION, format!("Bearer {}", api_key("yew")));
            let request = request.body(unfinished(start.clone(), &count)).expect("a request");
            let answer = sender.send_request(request);
            open.spawn(async move { drop(answer.await) });
        }
    }
    let all = MULTIPLEXING_CALLERS * STREAMS;
    eventually("all bodies are sent", async || count.load(Ordering::Acquire) == all).await;
    open
}

async fn multiplex(address: &str) -> SendRequest<Unfinished> {
    let stream = TcpStream::connect(address).await.expect("a connection");
    let connected = http2::handshake(TokioExecutor::new(), TokioIo::new(stream)).await;
    let (sender, connection) = connected.expect("HTTP/2");
    tokio::spawn(connection);
    sender
}

// Guards against memory for heads that stop short.
#[tokio::test(flavor = "multi_thread")]
async fn front_unfinished_heads() {
    let mut small = start_small().await;
    let line = b"POST / HTTP/1.1\r\nx-long: ";
    let start = [&line[..], &vec![b'x'; CALLER_HEAD_BYTES]].concat();
    let _open = crowd(small.listen(), MANY_CALLERS, &[(&start[..], 1)]).await;
    small.holds_once_read().await;
}

// Guards against memory for heads that stop short, each below the limit on one.
#[tokio::test(flavor = "multi_thread")]
async fn front_unfinished_short_heads() {
    let mut small = start_small().await;
    let line = b"POST / HTTP/1.1\r\nx-long: ";
    let start = [&line[..], &vec![b'x'; CALLER_HEAD_BYTES / 2]].concat();
    let _open = crowd(small.listen(), MANY_CALLERS, &[(&start[..], 1)]).await;
    small.holds_once_read().await;
}

// Guards against descriptors for connections without a request.
#[tokio::test(flavor = "multi_thread")]
async fn front_without_requests() {
    let mut small = start_small().await;
    let _open = crowd(small.listen(), MANY_CALLERS, &[(b"P", 1)]).await;
    small.holds().await;
}

// Guards against connections that stay for good since their callers do not read the answers to their requests.
#[tokio::test(flavor = "multi_thread")]
async fn front_unread_answers() {
    let mut small = start_small().await;
    let request = [&sized(STOCK, 4)[..], b"body"].concat().repeat(PIPELINED);
    let (address, clients) = (small.listen().to_owned(), CONNECTIONS as usize);
    let crowd = tokio::spawn(async move { crowd(&address, clients, &[(&request[..], 20)]).await });
    // Their requests wait for answers that are not read.
    let waiting = async || unread(small.listen()) > CONNECTIONS * BLOCK_BYTES as u64;
    eventually("the crowd waits", waiting).await;
    small.holds().await;
    crowd.abort();
}

// Guards against memory and descriptors for heads that stop short, at the listener for operators.
#[tokio::test(flavor = "multi_thread")]
async fn operators_unfinished_heads() {
    let mut small = start_small().await;
    let start = [b"GET / HTTP/1.1\r\nx-long: ".to_vec(), vec![b'x'; HEAD_BYTES]].concat();
    let ops = small.harness.daemons[0].ops.clone();
    let _open = crowd(&ops, MANY_CALLERS, &[(&start[..], 1)]).await;
    wait_until_read(&ops).await;
    small.holds().await;
    eventually("the metrics are served", async || page_status(&ops, "/metrics").await == 200).await;
}

async fn page_status(address: &str, path: &str) -> u16 {
    let request = Request::get(format!("http://{address}{path}")).body(Default::default());
    let answer = agatestand::load::client(false).request(request.expect("a request")).await;
    answer.map_or(0, |a: Response<_>| a.status().as_u16())
}

/// An instance that serves routes, on a small machine.
struct SmallRoutes {
    _alone: MutexGuard<'static, ()>,
    _platform: TestPlatform,
    instance: Instance,
}

async fn start_small_routes() -> SmallRoutes {
    let alone = ONE_AT_A_TIME.lock().await;
    let platform = start_platform(1, 1, 3).await;
    let instance = platform.start_instance(5_000).await;
    let launch = &instance.launch;
    let settings = standin::limited_settings(&launch.name, launch.store, (MEMORY_MB, DESCRIPTORS));
    std::fs::write(launch.settings_file(), settings).expect("the settings");
    instance.signal(Signal::HUP);
    eventually("the settings are read", async || instance.logged("event=settings_reloaded")).await;
    SmallRoutes { _alone: alone, _platform: platform, instance }
}

impl SmallRoutes {
    /// The address of a listener, as the instance has logged it.
    fn address(&self, name: &str) -> String {
        field(&self.instance.find("event=started").expect("the start"), name)
    }

    fn process(&self) -> u32 {
        let file = self.instance.launch.settings_file().display().to_string();
        let is_own = |path: &std::path::Path| {
            let environ = std::fs::read(path.join("environ")).unwrap_or_default();
            String::from_utf8_lossy(&environ).contains(&file)
        };
        let mut processes = std::fs::read_dir("/proc").expect("the processes").flatten();
        let own = processes.find(|p| is_own(&p.path())).expect("the instance runs");
        own.file_name().to_string_lossy().parse().expect("a process id")
    }

    /// Checks that the process lives within its machine, is ready, and serves an ordinary caller.
    async fn holds(&mut self, crowded: &str) {
        eventually("an ordinary request is served", async || {
            let answer = self.instance.call("POST", "/order/", "yew-key", "a body").await;
            answer.status == StatusCode::OK
        })
        .await;
        let ready = async || self.instance.ready().await == StatusCode::OK;
        eventually("the instance is ready", ready).await;
        assert_eq!(self.instance.exit_success(), None, "the process has ended");
        check_process(self.process(), crowded, DESCRIPTORS - RESERVED_DESCRIPTORS);
    }
}

// Guards against memory and descriptors for heads that stop short, at the listeners of short pages.
#[tokio::test(flavor = "multi_thread")]
async fn pages_unfinished_heads() {
    let mut small = start_small_routes().await;
    let start = [b"GET / HTTP/1.1\r\nx-long: ".to_vec(), vec![b'x'; HEAD_BYTES]].concat();
    for name in ["ready", "ops"] {
        let address = small.address(name);
        let _open = crowd(&address, MANY_CALLERS, &[(&start[..], 1)]).await;
        wait_until_read(&address).await;
        small.holds(&address).await;
    }
    let ops = small.address("ops");
    eventually("the metrics are served", async || page_status(&ops, "/metrics").await == 200).await;
}

// Guards against memory and descriptors for requests to short pages whose bodies and answers stop.
#[tokio::test(flavor = "multi_thread")]
async fn pages_unread_answers() {
    let mut small = start_small_routes().await;
    let request = b"GET /metrics HTTP/1.1\r\nhost: all\r\n\r\n".repeat(PIPELINED);
    for name in ["ready", "ops"] {
        let address = small.address(name);
        let (senders, request) = (address.clone(), request.clone());
        let crowd =
            tokio::spawn(async move { crowd(&senders, MANY_CALLERS, &[(&request[..], 1)]).await });
        small.holds(&address).await;
        crowd.abort();
    }
}

// Guards against memory for requests that peers hand over and that stop short.
#[tokio::test(flavor = "multi_thread")]
async fn peers_unfinished_requests() {
    let mut small = start_small_routes().await;
    let peer = small.address("peer");
    // The start of a message: not compressed, and its length.
    let length = u32::try_from(BODY_BYTES).expect("a length").to_be_bytes();
    let start = [&[0][..], &length, &vec![b'x'; BODY_BYTES - 1]].concat();
    let uri = "/agateroute.peers.v1.Peers/Forward";
    let _open = multiplexing_crowd(&peer, uri, start).await;
    wait_until_read(&peer).await;
    small.holds(&peer).await;
}

// Guards against descriptors for connections without a request, at the listener for peers.
#[tokio::test(flavor = "multi_thread")]
async fn peers_without_requests() {
    let mut small = start_small_routes().await;
    let peer = small.address("peer");
    let _open = crowd(&peer, MANY_CALLERS, &[(b"PRI ", 1)]).await;
    small.holds(&peer).await;
}

// Guards against bounds that refuse a single caller inside the limits.
#[tokio::test(flavor = "multi_thread")]
async fn front_largest_body_in_calm() {
    let small = start_small().await;
    for http2 in [false, true] {
        let client = agatestand::load::client(http2);
        let caller = Caller { client, ..Caller::new(small.listen(), "yew") };
        let answer = caller.call("POST", STOCK, &[], vec![b'x'; BODY_BYTES]).await;
        assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
    }
}

// Guards against bodies that are sent at once on one connection and wait for each other until their time is over.
#[tokio::test(flavor = "multi_thread")]
async fn front_bodies_on_one_connection() {
    let small = start_small().await;
    let client = agatestand::load::client(true);
    let caller = Caller { client, ..Caller::new(small.listen(), "yew") };
    caller.call("POST", STOCK, &[], "connects").await;
    let calls = (0..4).map(|_| caller.call("POST", STOCK, &[], vec![b'x'; BODY_BYTES]));
    for answer in futures_util::future::join_all(calls).await {
        assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
    }
}

/// Sends the start of a request, ends the sending direction, and reads what is answered.
async fn broken_off(address: &str, sent: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    stream.write_all(sent).await.expect("the request is sent");
    stream.shutdown().await.expect("the connection is closed for sending");
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer).await;
    String::from_utf8_lossy(&answer).into_owned()
}

// Guards against a body that is broken off and served as if it were whole.
#[tokio::test(flavor = "multi_thread")]
async fn front_sized_body_broken_off() {
    let small = start_small().await;
    let answer = broken_off(small.listen(), &[sized(STOCK, 10), b"half".to_vec()].concat()).await;
    assert!(!answer.starts_with("HTTP/1.1 200"), "{answer}");
}

// Guards against a body in chunks that is broken off and served as if it were whole.
#[tokio::test(flavor = "multi_thread")]
async fn front_chunks_broken_off() {
    let small = start_small().await;
    let answer = broken_off(small.listen(), &[chunked(STOCK), chunk(10)].concat()).await;
    assert!(!answer.starts_with("HTTP/1.1 200"), "{answer}");
}
