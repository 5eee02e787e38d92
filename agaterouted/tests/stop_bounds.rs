//! Requests that reach an instance around its order to stop, at servers that take most of the time that callers wait. Guards
//! against requests that are sent on and have no whole answer when the process ends.

mod platform_fixture;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use agateroute_standin as standin;
use agatestand::instance::{Instance, eventually, eventually_some};
use futures_util::future::join_all;
use platform_fixture::{TestPlatform, start_platform};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Callers that each send one request after the order to stop, on a connection that has served one before.
const CALLERS: usize = 10;
/// The time between the requests of two callers, so that they come until shortly before the end.
const CALLER_INTERVAL: Duration = Duration::from_millis(700);
/// How long callers of streams and of plain calls wait, in milliseconds, and how long their servers take.
const STREAM_DEADLINE_MS: u64 = 6_000;
const STREAM_TIME: Duration = Duration::from_millis(4_000);
const CALL_DEADLINE_MS: u64 = 2_000;
const CALL_TIME: Duration = Duration::from_millis(1_500);
/// The length of an answer in bytes that sockets do not buffer, so that its caller keeps the process from ending.
const LONG_BYTES: usize = 14 * 1024 * 1024;

/// A server that answers after a while: streams with their head at once and an event later, calls with all of it.
#[derive(Clone, Default)]
struct SlowServer {
    delay: Duration,
    streams: bool,
    /// The ids of the requests that reached it.
    runs: Arc<Mutex<Vec<String>>>,
}

impl SlowServer {
    async fn start(delay: Duration, streams: bool, platform: &TestPlatform) -> SlowServer {
        let server = SlowServer { delay, streams, ..SlowServer::default() };
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address: SocketAddr = listener.local_addr().expect("its address");
        let serving = server.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serving.clone().serve(stream));
            }
        });
        match streams {
            true => standin::list_writer(&platform.store, "slow", address),
            false => standin::list(&platform.store, "slow", address),
        }
        server
    }

    async fn serve(self, mut stream: TcpStream) {
        while let Some(head) = read_request(&mut stream).await {
            if self.answer(&mut stream, &head).await.is_err() {
                return;
            }
        }
    }

    async fn answer(&self, stream: &mut TcpStream, head: &str) -> std::io::Result<()> {
        let id = field(head, standin::REQUEST_ID_HEADER).to_owned();
        let delay = if id.starts_with("late-") { self.delay } else { Duration::ZERO };
        self.runs.lock().expect("the runs").push(id.clone());
        let fields = format!(
            "HTTP/1.1 200 OK\r\n{}: {id}\r\n{}: slow\r\n",
            standin::REQUEST_ID_HEADER,
            standin::SIGNATURE_HEADER,
        );
        if !self.streams {
            tokio::time::sleep(delay).await;
            let length = if id == "long" { LONG_BYTES } else { 5 };
            let head = format!("{fields}content-length: {length}\r\n\r\n");
            stream.write_all(head.as_bytes()).await?;
            return stream.write_all(&vec![b'x'; length]).await;
        }
        let head = format!("{fields}transfer-encoding: chunked\r\n\r\n");
        stream.write_all(head.as_bytes()).await?;
        tokio::time::sleep(delay).await;
        let event = "id: 1\ndata: event\n\n";
        let event = format!("{:x}\r\n{event}\r\n0\r\n\r\n", event.len());
        stream.write_all(event.as_bytes()).await
    }

    fn ran(&self, id: &str) -> bool {
        self.runs.lock().expect("the runs").iter().any(|r| r == id)
    }
}

fn field<'a>(head: &'a str, name: &str) -> &'a str {
    let found =
        head.lines().filter_map(|l| l.split_once(':')).find(|(n, _)| n.eq_ignore_ascii_case(name));
    found.map_or("", |(_, value)| value.trim())
}

/// Reads a request whose body has a length. `None` if the connection ends before.
async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut read = Vec::new();
    loop {
        if let Some(at) = read.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&read[..at + 4]).into_owned();
            let length: usize = field(&head, "content-length").parse().unwrap_or(0);
            if read.len() >= at + 4 + length {
                return Some(head);
            }
        }
        let mut block = [0; 4_096];
        match stream.read(&mut block).await {
            Ok(0) | Err(_) => return None,
            Ok(count) => read.extend_from_slice(&block[..count]),
        }
    }
}

fn request_head(path: &str, id: &str, deadline_ms: u64, framing: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: {}\r\n{}: {id}\r\n{}: {deadline_ms}\r\n{}: 100,40\r\nauthorization: {}\r\n{framing}\r\n\r\n",
        standin::HOST,
        standin::REQUEST_ID_HEADER,
        standin::DEADLINE_HEADER,
        standin::SIZE_HEADER,
        standin::authorization("yew-key"),
    )
}

/// Opens a connection, and has it serve one request.
async fn open_kept(instance: &Instance, path: &str, id: &str) -> TcpStream {
    let mut stream = TcpStream::connect(&instance.listen).await.expect("a connection");
    let head = request_head(path, id, STREAM_DEADLINE_MS, "content-length: 0");
    stream.write_all(head.as_bytes()).await.expect("the request is sent");
    let mut read = Vec::new();
    while !is_whole(&String::from_utf8_lossy(&read)) {
        let mut block = [0; 4_096];
        let count = stream.read(&mut block).await.expect("an answer");
        assert!(count > 0, "the connection stays open: {}", String::from_utf8_lossy(&read));
        read.extend_from_slice(&block[..count]);
    }
    stream
}

/// Whether an answer has all that its head announces.
fn is_whole(answer: &str) -> bool {
    let Some((head, body)) = answer.split_once("\r\n\r\n") else { return false };
    match field(head, "content-length").parse::<usize>() {
        Ok(length) => body.len() == length,
        Err(_) => body.ends_with("0\r\n\r\n"),
    }
}

/// Sends a request with a body in two chunks and reads until the connection ends.
async fn send_late(mut stream: TcpStream, path: &str, id: &str, deadline_ms: u64) -> String {
    let head = request_head(path, id, deadline_ms, "transfer-encoding: chunked");
    let mut answer = Vec::new();
    for part in [head.as_str(), "3\r\none\r\n", "3\r\ntwo\r\n0\r\n\r\n"] {
        if stream.write_all(part.as_bytes()).await.is_err() {
            break;
        }
    }
    let _ = stream.read_to_end(&mut answer).await;
    String::from_utf8_lossy(&answer).into_owned()
}

/// Stops an instance, and sends requests on kept connections until the end. Returns their ids with the answers.
async fn send_until_end(
    instance: &mut Instance,
    path: &str,
    deadline_ms: u64,
) -> Vec<(String, String)> {
    let ids: Vec<String> = (0..CALLERS).map(|caller| format!("kept-{caller}")).collect();
    let open = join_all(ids.iter().map(|id| open_kept(instance, path, id))).await;
    instance.terminate();
    eventually("the order to stop has arrived", async || instance.logged("event=leaving")).await;
    let sent = open.into_iter().enumerate().map(async |(caller, stream)| {
        tokio::time::sleep(CALLER_INTERVAL * caller as u32).await;
        let id = format!("late-{caller}");
        let answer = send_late(stream, path, &id, deadline_ms).await;
        (id, answer)
    });
    let answers = join_all(sent).await;
    assert!(eventually_some("the instance stops", async || instance.exit_success()).await);
    answers
}

/// Checks that what reached the server was answered whole, and that all other requests were refused or not read.
fn check_answers(instance: &Instance, server: &SlowServer, answers: &[(String, String)]) {
    for (id, answer) in answers {
        if server.ran(id) {
            let served = answer.starts_with("HTTP/1.1 200") && is_whole(answer);
            let request = format!("request={id} ");
            let lines = instance.lines().into_iter().filter(|l| l.contains(&request));
            let lines: Vec<String> = lines.collect();
            assert!(served, "{id} ran, and its caller has {answer:?}: {lines:#?}");
        } else {
            assert!(answer.is_empty() || answer.starts_with("HTTP/1.1 503"), "{id}: {answer:?}");
        }
    }
}

// Guards against streams that are accepted after the order to stop, wait for their first event and are cut off when the
// process ends.
#[tokio::test]
async fn slow_stream_whole_or_refused() {
    let platform = start_platform(0, 0, 0).await;
    let server = SlowServer::start(STREAM_TIME, true, &platform).await;
    let mut instance = platform.start_instance(5_000).await;
    let answers = send_until_end(&mut instance, "/quote/", STREAM_DEADLINE_MS).await;
    check_answers(&instance, &server, &answers);
}

// Guards against calls that are accepted after the order to stop and run without an answer when the process ends.
#[tokio::test]
async fn slow_call_whole_or_refused() {
    let platform = start_platform(0, 0, 0).await;
    let server = SlowServer::start(CALL_TIME, false, &platform).await;
    let mut instance = platform.start_instance(5_000).await;
    let answers = send_until_end(&mut instance, "/order/", CALL_DEADLINE_MS).await;
    check_answers(&instance, &server, &answers);
}

// Guards against a request whose head came before the order to stop and whose body came after it, and that nothing checks
// before it is sent on.
#[tokio::test]
async fn late_body_whole_or_refused() {
    let platform = start_platform(0, 0, 0).await;
    let server = SlowServer::start(STREAM_TIME, true, &platform).await;
    let mut instance = platform.start_instance(5_000).await;
    let open = async |caller: usize| {
        let mut stream = open_kept(&instance, "/quote/", &format!("kept-{caller}")).await;
        let id = format!("late-{caller}");
        let head = request_head("/quote/", &id, 20_000, "transfer-encoding: chunked");
        stream.write_all(head.as_bytes()).await.expect("the head is sent");
        stream.write_all(b"3\r\none\r\n").await.expect("a chunk is sent");
        (id, stream)
    };
    let begun = join_all((0..CALLERS).map(open)).await;
    instance.terminate();
    eventually("the order to stop has arrived", async || instance.logged("event=leaving")).await;
    let sent = begun.into_iter().enumerate().map(async |(caller, (id, mut stream))| {
        tokio::time::sleep(CALLER_INTERVAL * caller as u32).await;
        let _ = stream.write_all(b"0\r\n\r\n").await;
        let mut answer = Vec::new();
        let _ = stream.read_to_end(&mut answer).await;
        (id, String::from_utf8_lossy(&answer).into_owned())
    });
    let answers = join_all(sent).await;
    assert!(eventually_some("the instance stops", async || instance.exit_success()).await);
    check_answers(&instance, &server, &answers);
}

// Guards against a body that is still arriving when the process ends, and whose caller sees only a closed connection.
#[tokio::test]
async fn unfinished_body_refused() {
    let platform = start_platform(1, 0, 0).await;
    let mut instance = platform.start_instance(5_000).await;
    let mut stream = open_kept(&instance, "/order/", "first").await;
    let head = request_head("/order/", "unfinished", 20_000, "transfer-encoding: chunked");
    stream.write_all(head.as_bytes()).await.expect("the head is sent");
    instance.terminate();
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer).await;
    let answer = String::from_utf8_lossy(&answer).into_owned();
    assert!(answer.starts_with("HTTP/1.1 503") && is_whole(&answer), "{answer:?}");
    assert!(eventually_some("the instance stops", async || instance.exit_success()).await);
}

// Guards against a request that is sent on while connections are closed, and gets an answer that it may have run. The long
// answer keeps the process from ending.
#[tokio::test]
async fn request_refused_while_closing() {
    let platform = start_platform(0, 0, 0).await;
    let server = SlowServer::start(Duration::ZERO, false, &platform).await;
    let mut instance = platform.start_instance(5_000).await;
    let mut unread = TcpStream::connect(&instance.listen).await.expect("a connection");
    let head = request_head("/order/", "long", STREAM_DEADLINE_MS, "content-length: 0");
    unread.write_all(head.as_bytes()).await.expect("the request is sent");
    let mut status = [0; 12];
    unread.read_exact(&mut status).await.expect("a status");
    let unused = TcpStream::connect(&instance.listen).await.expect("a connection");
    instance.terminate();
    eventually("no more connections are accepted", async || {
        TcpStream::connect(&instance.listen).await.is_err()
    })
    .await;
    let answer = send_late(unused, "/order/", "late-0", CALL_DEADLINE_MS).await;
    check_answers(&instance, &server, &[("late-0".to_owned(), answer)]);
    drop(unread);
    assert!(eventually_some("the instance stops", async || instance.exit_success()).await);
}

// Guards against callers whose next request is refused, on a connection that stayed open though their load balancer has
// taken the instance out.
#[tokio::test]
async fn idle_connection_closed_before_the_end() {
    let platform = start_platform(1, 1, 3_000).await;
    let mut instance = platform.start_instance(5_000).await;
    let mut kept = open_kept(&instance, "/order/", "first").await;
    let mut running = TcpStream::connect(&instance.listen).await.expect("a connection");
    let head = request_head("/draft/", "running", 20_000, "content-length: 0");
    running.write_all(head.as_bytes()).await.expect("the request is sent");
    let mut status = [0; 12];
    running.read_exact(&mut status).await.expect("a status");
    instance.terminate();
    assert_eq!(kept.read(&mut [0; 1]).await.expect("an orderly end"), 0);
    assert!(!instance.logged("event=work_ended"), "the stream keeps the instance running");
    // A request that crosses the end is not read, so that its caller may send it again.
    let head = request_head("/order/", "crossing", CALL_DEADLINE_MS, "content-length: 0");
    kept.write_all(head.as_bytes()).await.expect("the request is sent");
    let is_reset = || kept.take_error().expect("its state").is_some();
    eventually("the connection is reset", async || is_reset()).await;
    drop(running);
    assert!(eventually_some("the instance stops", async || instance.exit_success()).await);
}

/// The length of a body that its caller sends byte by byte.
const BODY_BYTES: usize = 8_000;

/// Sends the rest of a body byte by byte, and checks that the connection takes it and brings a whole refusal.
async fn check_refused_in_order(mut stream: TcpStream, rest: usize) {
    for _ in 0..rest {
        stream.write_all(b"x").await.expect("a byte is sent");
        tokio::task::yield_now().await;
    }
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await.expect("an orderly end");
    let answer = String::from_utf8_lossy(&answer).into_owned();
    assert!(answer.starts_with("HTTP/1.1 503") && is_whole(&answer), "{answer:?}");
}

// Guards against callers that are refused while they still send their body, and meet a reset before they read the refusal.
#[tokio::test]
async fn refusal_during_body() {
    let platform = start_platform(1, 0, 0).await;
    let mut instance = platform.start_instance(5_000).await;
    let mut stream = open_kept(&instance, "/order/", "first").await;
    let framing = format!("content-length: {BODY_BYTES}");
    let head = request_head("/order/", "refused", 20_000, &framing);
    stream.write_all(head.as_bytes()).await.expect("the head is sent");
    stream.write_all(&[b'x'; BODY_BYTES / 2]).await.expect("half of the body is sent");
    instance.terminate();
    eventually("the refusal is decided", async || {
        instance.logged("event=stop_check request=refused route=order accepted=false")
    })
    .await;
    check_refused_in_order(stream, BODY_BYTES / 2).await;
    assert!(eventually_some("the instance stops", async || instance.exit_success()).await);
}

// The same for a request that is refused at its head.
#[tokio::test]
async fn refusal_before_body() {
    let platform = start_platform(1, 0, 0).await;
    let mut instance = platform.start_instance(5_000).await;
    let mut stream = open_kept(&instance, "/order/", "first").await;
    instance.terminate();
    eventually("the order to stop has arrived", async || instance.logged("event=leaving")).await;
    let framing = format!("content-length: {BODY_BYTES}");
    let head = request_head("/order/", "refused", 20_000, &framing);
    stream.write_all(head.as_bytes()).await.expect("the head is sent");
    eventually("the refusal is decided", async || instance.logged("event=request_refused")).await;
    check_refused_in_order(stream, BODY_BYTES).await;
    assert!(eventually_some("the instance stops", async || instance.exit_success()).await);
}
