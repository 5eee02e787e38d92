//! Crowds of callers that keep to no limit but the sizes of the document, and some not to these. Guards against a process
//! that runs out of memory or descriptors, or serves nobody else, because bodies, heads, connections or answers of such
//! callers pile up in it. The settings of the tests name a small machine, so that a small crowd shows the fault.

mod platform_fixture;

use std::net::SocketAddr;

use agateroute_standin as standin;
use agaterouted::body_memory::{BodyMemory, ReadError};
use agatestand::instance::{Instance, eventually};
use http::StatusCode;
use platform_fixture::{TestPlatform, start_platform};
use rustix::process::Signal;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Mutex, MutexGuard};
use tokio::task::JoinSet;

/// The memory of the machine in MB, and the descriptors of the process, of which 200 are reserved.
const MEMORY_MB: u64 = 80;
const DESCRIPTORS: u64 = 400;
const RESERVED_DESCRIPTORS: u64 = 200;
/// The longest body that the document allows, and the limit on its header fields.
const BODY_BYTES: usize = 1 << 20;
const HEADER_BYTES: usize = 16 << 10;
/// The connections of most crowds.
const CALLERS: usize = 150;
/// The connections of crowds that send a chunk for each byte, and the chunks on each of them.
const CHUNKING_CALLERS: usize = 8;
const TINY_CHUNKS: usize = 250_000;
/// The connections of crowds whose connections are many, more than the descriptors allow.
const MANY_CALLERS: usize = 400;
/// The length of a long answer in bytes, and the callers that do not read theirs.
const ANSWER_BYTES: usize = 12 << 20;
const UNREAD_ANSWERS: usize = 24;
/// Memory, descriptors, a header limit and a path that let the memory of heads count: the read buffer of a head has up to 64 KiB.
const LEAST_MEMORY_MB: u64 = 64;
const MANY_DESCRIPTORS: u64 = 4_100;
const LONG_HEADER_BYTES: usize = 32 << 10;
const LONG_PATH_BYTES: usize = 60_000;
/// The length of an ordinary body in bytes.
const ORDINARY_BYTES: usize = 17_000;

/// Holds off the other tests of this file, since each fills the memory of a process.
static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

/// An instance on a small machine, with the sizes of the document in force.
struct Small {
    _alone: MutexGuard<'static, ()>,
    platform: TestPlatform,
    instance: Instance,
    /// The memory of the machine in MB, and the descriptors of the process.
    memory_mb: u64,
    descriptors: u64,
}

async fn start_small() -> Small {
    start_with(MEMORY_MB, DESCRIPTORS, HEADER_BYTES).await
}

async fn start_with(memory_mb: u64, descriptors: u64, header_bytes: usize) -> Small {
    let alone = ONE_AT_A_TIME.lock().await;
    let platform = start_platform(1, 1, 3).await;
    let instance = platform.start_instance(5_000).await;
    let launch = &instance.launch;
    let limits = (memory_mb, descriptors);
    let settings = standin::limited_settings(&launch.name, launch.store, limits);
    std::fs::write(launch.settings_file(), settings).expect("the settings");
    instance.signal(Signal::HUP);
    eventually("the settings are read", async || instance.logged("event=settings_reloaded")).await;
    let body_bytes = BODY_BYTES as u64;
    standin::publish_sizes(&platform.store, 2, body_bytes, header_bytes as u64);
    let small = Small { _alone: alone, platform, instance, memory_mb, descriptors };
    eventually("long bodies are allowed", async || small.call("/order/", ORDINARY_BYTES).await)
        .await;
    small
}

impl Small {
    /// Whether a body of this length is served.
    async fn call(&self, path: &str, length: usize) -> bool {
        let body = "x".repeat(length);
        self.instance.call("POST", path, "yew-key", &body).await.status == StatusCode::OK
    }

    /// Returns the number of open descriptors of the process.
    fn open_descriptors(&self) -> u64 {
        let file = self.instance.launch.settings_file().display().to_string();
        let is_own = |path: &std::path::Path| {
            let environ = std::fs::read(path.join("environ")).unwrap_or_default();
            String::from_utf8_lossy(&environ).contains(&file)
        };
        let mut processes = std::fs::read_dir("/proc").expect("the processes").flatten();
        let own = processes.find(|p| is_own(&p.path())).expect("the instance runs");
        std::fs::read_dir(own.path().join("fd")).expect("its descriptors").count() as u64
    }

    /// Returns the bytes that wait in the receive buffers of the connections of callers, and those that callers could not
    /// send yet.
    fn unread(&self) -> (u64, u64) {
        let port = self.instance.listen.rsplit(':').next().and_then(|p| p.parse::<u16>().ok());
        let port = format!(":{:04X}", port.expect("a port"));
        let sockets = std::fs::read_to_string("/proc/net/tcp").expect("the sockets");
        let (mut unread, mut unsent) = (0, 0);
        for line in sockets.lines() {
            let fields: Vec<&str> = line.split_whitespace().collect();
            let [_, local, remote, state, queues, ..] = fields[..] else { continue };
            let Some((sending, received)) = queues.split_once(':') else { continue };
            let bytes = |text: &str| u64::from_str_radix(text, 16).unwrap_or(0);
            // The queue of a listening socket counts connections.
            if local.ends_with(&port) && state != "0A" {
                unread += bytes(received);
            } else if remote.ends_with(&port) {
                unsent += bytes(sending);
            }
        }
        (unread, unsent)
    }

    /// Checks that the process reads what callers have sent.
    async fn holds_once_read(&mut self, path: &str) {
        loop {
            let before = self.unread();
            if before == (0, 0) {
                break;
            }
            eventually("more is read or refused", async || self.unread() != before).await;
        }
        self.holds(path).await;
    }

    /// Checks that the process lives within its machine and serves an ordinary caller.
    async fn holds(&mut self, path: &str) {
        let served = async || self.call(path, ORDINARY_BYTES).await;
        eventually("an ordinary request is served", served).await;
        assert_eq!(self.instance.exit_success(), None, "the process has ended");
        let (peak, open) = (self.instance.peak_memory_mib(), self.open_descriptors());
        let (unread, _) = self.unread();
        println!("peak {peak} MiB, {open} descriptors, {unread} bytes unread");
        let memory = peak * 1_048_576 + unread;
        assert!(
            memory < self.memory_mb * 1_000_000,
            "{peak} MiB at the peak, {unread} bytes unread"
        );
        assert!(open < self.descriptors - RESERVED_DESCRIPTORS, "{open} open descriptors");
    }

    /// Connects callers that send a head and then blocks of bytes, and then neither send nor read nor close.
    async fn crowd(&self, callers: usize, head: &str, blocks: &[(&[u8], usize)]) -> Vec<TcpStream> {
        let mut senders = JoinSet::new();
        for _ in 0..callers {
            let (address, head) = (self.instance.listen.clone(), head.to_owned());
            let blocks: Vec<_> = blocks.iter().map(|(b, times)| (b.to_vec(), *times)).collect();
            senders.spawn(async move {
                // A caller that is turned away fails at any point; that is its own affair.
                let mut stream = TcpStream::connect(&address).await.ok()?;
                stream.write_all(head.as_bytes()).await.ok()?;
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
}

/// Returns the head of a request with more header fields.
fn head(path: &str, fields: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: {}\r\n{}: crowd\r\nauthorization: {}\r\n{fields}\r\n",
        standin::HOST,
        standin::REQUEST_ID_HEADER,
        standin::authorization("yew-key"),
    )
}

fn sized(path: &str, length: usize) -> String {
    head(path, &format!("content-length: {length}\r\n"))
}

fn chunked(path: &str) -> String {
    head(path, "transfer-encoding: chunked\r\n")
}

/// Returns a chunk of this many bytes.
fn chunk(length: usize) -> Vec<u8> {
    let mut chunk = format!("{length:x}\r\n").into_bytes();
    chunk.resize(chunk.len() + length, b'x');
    chunk.extend_from_slice(b"\r\n");
    chunk
}

// Guards against memory for large bodies that stop one byte before their end.
#[tokio::test]
async fn crowd_of_sized_bodies() {
    let mut small = start_small().await;
    let body = vec![b'x'; BODY_BYTES - 1];
    let _open = small.crowd(CALLERS, &sized("/order/", BODY_BYTES), &[(&body, 1)]).await;
    small.holds_once_read("/order/").await;
}

// Guards against refusals that a caller can not take for a promise that nothing has run.
#[tokio::test]
async fn refused_bodies_can_be_sent_again() {
    let mut small = start_small().await;
    let body = vec![b'x'; BODY_BYTES - 1];
    let mut open = small.crowd(CALLERS, &sized("/order/", BODY_BYTES), &[(&body, 1)]).await;
    small.holds_once_read("/order/").await;
    let mut refused = 0;
    for stream in &open {
        let mut answer = [0; 512];
        let Ok(length) = stream.try_read(&mut answer) else { continue };
        let answer = String::from_utf8_lossy(&answer[..length]).to_ascii_lowercase();
        if length == 0 {
            continue;
        }
        let status = answer.split(' ').nth(1).unwrap_or_default();
        assert!(["408", "503"].contains(&status), "{answer}");
        assert!(answer.contains("\r\nretry-after: "), "{answer}");
        assert!(answer.contains("\r\nconnection: close\r\n"), "{answer}");
        refused += 1;
    }
    assert!(refused > 0, "no caller was told to come again");
    // Those that stopped give way to callers who go on, once the bound is reached.
    eventually("a body that stopped gives way", async || {
        let head = sized("/order/", BODY_BYTES);
        open.extend(small.crowd(1, &head, &[(&body, 1)]).await);
        small.instance.logged("code=body_stalled")
    })
    .await;
    eventually("a long body is served", async || small.call("/order/", BODY_BYTES).await).await;
    assert!(small.platform.plain[0].runs().iter().all(|run| run.id != "crowd"));
}

// Guards against bodies that are not counted, or counted for too long.
#[test]
fn bodies_count_until_dropped() {
    const MAX_BYTES: usize = 1 << 20;
    let memory = BodyMemory::new(4 << 20);
    let push = |length: usize| {
        let reader = memory.open();
        reader.push(&vec![b'x'; length], length, MAX_BYTES).map(|()| reader)
    };
    let first = push(512 << 10).expect("room");
    let full = |length| push(length).expect_err("no room") == ReadError::NoMemory;
    assert!(full(300 << 10), "long bodies leave a part to others");
    let short = push(64 << 10).expect("room for a short body");
    let body = first.finish().expect("the body");
    let copy = body.clone();
    drop(body);
    assert!(full(300 << 10), "a copy of the body is still held");
    drop(copy);
    let second = push(300 << 10).expect("room");
    drop((second, short));
    let alone = push(MAX_BYTES).expect("a body that is alone");
    let over = alone.push(b"x", usize::MAX, MAX_BYTES);
    assert_eq!(over, Err(ReadError::TooLong { max_bytes: MAX_BYTES }));
}

// Guards against memory for whole bodies whose servers do not answer.
#[tokio::test]
async fn crowd_of_whole_bodies() {
    let mut small = start_small().await;
    small.platform.plain[0].hold_answers();
    let body = vec![b'x'; BODY_BYTES];
    let _open = small.crowd(CALLERS, &sized("/order/", BODY_BYTES), &[(&body, 1)]).await;
    small.holds_once_read("/draft/").await;
}

// Guards against memory for bodies in large chunks that stop before their last chunk.
#[tokio::test]
async fn crowd_of_large_chunks() {
    let mut small = start_small().await;
    let large = chunk(BODY_BYTES / 8);
    let _open = small.crowd(CALLERS, &chunked("/order/"), &[(&large, 8)]).await;
    small.holds_once_read("/order/").await;
}

// Guards against what a chunk costs beside its bytes.
#[tokio::test]
async fn crowd_of_tiny_chunks() {
    let mut small = start_small().await;
    let tiny = chunk(1).repeat(1_000);
    let blocks = [(tiny.as_slice(), TINY_CHUNKS / 1_000)];
    let _open = small.crowd(CHUNKING_CALLERS, &chunked("/order/"), &blocks).await;
    small.holds_once_read("/order/").await;
}

// Guards against reading what is announced or sent beyond the limit.
#[tokio::test]
async fn crowd_of_bodies_over_the_limit() {
    let mut small = start_small().await;
    let large = chunk(BODY_BYTES / 8);
    let _sent = small.crowd(CALLERS / 2, &chunked("/order/"), &[(&large, 32)]).await;
    let body = vec![b'x'; BODY_BYTES - 1];
    let announced = sized("/order/", BODY_BYTES * 1_000);
    let _announced = small.crowd(CALLERS, &announced, &[(&body, 1)]).await;
    small.holds_once_read("/order/").await;
}

// Guards against descriptors and memory for heads that stop short.
#[tokio::test]
async fn crowd_of_unfinished_heads() {
    let mut small = start_small().await;
    let start = format!("POST /order/ HTTP/1.1\r\nx-long: {}", "x".repeat(HEADER_BYTES));
    let _open = small.crowd(MANY_CALLERS, &start, &[]).await;
    small.holds_once_read("/order/").await;
}

// Guards against descriptors for connections without a request.
#[tokio::test]
async fn crowd_without_requests() {
    let mut small = start_small().await;
    let _open = small.crowd(MANY_CALLERS, "", &[]).await;
    small.holds("/order/").await;
}

/// Answers each request with a long body.
async fn start_long_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("its address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(answer_long(stream));
        }
    });
    address
}

async fn answer_long(mut stream: TcpStream) {
    let mut read = Vec::new();
    while !read.windows(4).any(|w| w == b"\r\n\r\n") {
        let mut block = [0; 4096];
        match stream.read(&mut block).await {
            Ok(0) | Err(_) => return,
            Ok(count) => read.extend_from_slice(&block[..count]),
        }
    }
    let head = String::from_utf8_lossy(&read).into_owned();
    let start = format!("{}: ", standin::REQUEST_ID_HEADER);
    let id = head.lines().find_map(|l| l.strip_prefix(&start)).unwrap_or_default();
    let head = format!(
        "HTTP/1.1 200 OK\r\n{start}{id}\r\n{}: long\r\ncontent-length: {ANSWER_BYTES}\r\n\r\n",
        standin::SIGNATURE_HEADER,
    );
    let _ = stream.write_all(head.as_bytes()).await;
    let _ = stream.write_all(&vec![b'x'; ANSWER_BYTES]).await;
}

// Guards against memory for answers whose callers do not read them.
#[tokio::test]
async fn crowd_that_does_not_read() {
    let mut small = start_small().await;
    standin::unlist(&small.platform.store, "ledger-0");
    standin::list(&small.platform.store, "long", start_long_server().await);
    eventually("the long answers begin", async || {
        let answer = small.instance.call("POST", "/order/", "yew-key", "").await;
        answer.body.len() == ANSWER_BYTES
    })
    .await;
    let mut open = Vec::new();
    for _ in 0..UNREAD_ANSWERS {
        open.extend(small.crowd(1, &sized("/order/", 0), &[]).await);
    }
    for stream in &mut open {
        // Either the answer begins or the connection is closed.
        let _ = stream.read(&mut [0; 12]).await;
    }
    small.holds("/draft/").await;
}

// Guards against callers who are turned away unheard while requests of others, which wait for a server, hold all connections.
#[tokio::test]
async fn crowd_that_waits() {
    let mut small = start_small().await;
    small.platform.plain[0].set_behaviour(standin::Behaviour::Hangs);
    let _open = small.crowd(MANY_CALLERS, &sized("/order/", 0), &[]).await;
    small.holds("/draft/").await;
    let refused = async || small.instance.logged("code=too_many_connections outcome=not_run");
    eventually("one that waited is told to come again", refused).await;
}

// Guards against heads and paths of requests that run, and what comes behind them, which nothing counts.
#[tokio::test]
async fn crowd_of_long_paths() {
    let mut small = start_with(LEAST_MEMORY_MB, MANY_DESCRIPTORS, LONG_HEADER_BYTES).await;
    small.platform.plain[0].set_behaviour(standin::Behaviour::Hangs);
    let path = format!("/order/{}", "x".repeat(LONG_PATH_BYTES));
    let (body, next) = (vec![b'x'; ORDINARY_BYTES], vec![b'x'; LONG_PATH_BYTES]);
    let head = sized(&path, ORDINARY_BYTES);
    let blocks = [(body.as_slice(), 1), (b"POST /", 1), (next.as_slice(), 1)];
    let _open = small.crowd(MANY_CALLERS, &head, &blocks).await;
    small.holds("/draft/").await;
}

// Guards against a bound that refuses a single caller inside the limits.
#[tokio::test]
async fn largest_body_in_calm() {
    let mut small = start_small().await;
    assert!(small.call("/order/", BODY_BYTES).await);
    let tiny = chunk(1).repeat(1_024);
    let blocks = [(tiny.as_slice(), BODY_BYTES / 1_024), (b"0\r\n\r\n".as_slice(), 1)];
    let mut streams = small.crowd(1, &chunked("/order/"), &blocks).await;
    let mut status = [0; 12];
    streams[0].read_exact(&mut status).await.expect("a status");
    assert_eq!(&status, b"HTTP/1.1 200");
    small.holds("/order/").await;
}

// Guards against memory for bodies that go on after an early answer, and for requests behind one that is not answered.
#[tokio::test]
async fn crowd_behind_other_requests() {
    let mut small = start_small().await;
    small.platform.plain[0].hold_answers();
    let body = vec![b'x'; BODY_BYTES];
    let _early = small.crowd(CALLERS / 2, &sized("/nowhere/", BODY_BYTES), &[(&body, 1)]).await;
    let next = sized("/order/", BODY_BYTES);
    let first = sized("/order/", 5);
    let blocks = [(b"first".as_slice(), 1), (next.as_bytes(), 1), (&body[1..], 1)];
    let _behind = small.crowd(CALLERS / 2, &first, &blocks).await;
    small.holds("/draft/").await;
}
