//! Streams that end with their connection, inside an event, or because their generation was stopped to move. Guards
//! against a stream that was broken off and looks complete, and against events that are lost or repeated after it.

mod platform_fixture;

use agateroute_standin::{self as standin, Ending, Framing, RawServers, RawStream};
use agatestand::instance::{Answer, Instance, eventually, eventually_some};
use http::StatusCode;
use http_body_util::Full;
use platform_fixture::{TestPlatform, start_platform};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const FRAMINGS: [Framing; 3] = [Framing::Unsized, Framing::Sized, Framing::Chunked];
/// The number of events of a whole stream.
const EVENTS: u64 = 6;
/// The number of whole events before a stream breaks off.
const BEFORE: u64 = 3;
/// A route that may not run a request twice.
const PLAIN: &str = "/draft/";
/// A route that continues a stream elsewhere.
const RESUMABLE: &str = "/quote/";

/// Bytes that end inside an event, where the line before them is empty.
const RESTS: [&str; 6] = [
    "i",
    "id: 4",
    "id: 4\n",
    "id: 4\ndata: event 4\n",
    "id: 4\r\ndata: event 4\r\n\r",
    "\n: comment\nid: 4\nda",
];

async fn start(answers: &[RawStream]) -> (TestPlatform, RawServers, Instance) {
    start_service("writers", answers).await
}

async fn start_service(
    service: &str,
    answers: &[RawStream],
) -> (TestPlatform, RawServers, Instance) {
    let platform = start_platform(0, 0, 0).await;
    let servers: (&str, &[&str]) = (service, &["raw-0", "raw-1"]);
    let servers = RawServers::start(&platform.store, servers, answers, &platform.cancel).await;
    let instance = platform.start_instance(5_000).await;
    (platform, servers, instance)
}

fn whole(framing: Framing) -> RawStream {
    RawStream::whole(framing, EVENTS)
}

fn broken(framing: Framing, rest: &'static str) -> RawStream {
    RawStream { rest, ..RawStream::whole(framing, BEFORE) }
}

async fn call(instance: &Instance, path: &str) -> Answer {
    let answer = instance.call("POST", path, "yew-key", "").await;
    assert_eq!(answer.status, StatusCode::OK);
    answer
}

/// Checks that each event was delivered once, in order, and nothing else.
fn check_whole(answer: &Answer, what: &str) {
    assert!(answer.complete, "{what}");
    let event = |n| format!("id: {n}\ndata: event {n}\n\n");
    let expected: String = (1..=EVENTS).map(event).collect();
    assert_eq!(String::from_utf8_lossy(&answer.body), expected, "{what}");
}

/// Checks how many requests reached the servers.
fn check_count(servers: &RawServers, instance: &Instance, expected: usize) {
    let requests = servers.requests();
    assert_eq!(requests.len(), expected, "{requests:#?}\n{:#?}", instance.lines());
}

/// Checks that a stream went on once, on the other server, after the last whole event.
fn check_resumed(servers: &RawServers, what: &str) {
    let requests = servers.requests();
    assert_eq!(requests.len(), 2, "{what}");
    assert_ne!(requests[0].server, requests[1].server, "{what}");
    assert_eq!((requests[0].after, requests[1].after), (0, BEFORE), "{what}");
}

#[tokio::test]
async fn whole_streams() {
    for framing in FRAMINGS {
        let (_platform, servers, instance) = start(&[whole(framing)]).await;
        for path in [PLAIN, RESUMABLE, RESUMABLE] {
            check_whole(&call(&instance, path).await, &format!("{framing:?} {path}"));
        }
        check_count(&servers, &instance, 3);
        assert_eq!(servers.misplaced(), 0, "a connection was used again");
    }
}

#[tokio::test]
async fn white_space_at_end() {
    for rest in ["\n", "\r\n", " ", ": bye\n", "\n\r"] {
        let answers = [RawStream { rest, ..whole(Framing::Unsized) }];
        let (_platform, servers, instance) = start(&answers).await;
        for path in [PLAIN, RESUMABLE] {
            let answer = call(&instance, path).await;
            assert!(answer.complete, "{rest:?} {path}");
            assert!(answer.body.ends_with(format!("\n\n{rest}").as_bytes()), "{rest:?} {path}");
            assert_eq!(answer.event_ids(), (1..=EVENTS).collect::<Vec<u64>>());
        }
        check_count(&servers, &instance, 2);
    }
}

#[tokio::test]
async fn carriage_returns() {
    let answers = FRAMINGS.map(|f| RawStream { newline: "\r\n", ..whole(f) });
    let (_platform, servers, instance) = start(&answers).await;
    for framing in FRAMINGS {
        let answer = call(&instance, RESUMABLE).await;
        assert!(answer.complete, "{framing:?}");
        assert_eq!(answer.event_ids(), (1..=EVENTS).collect::<Vec<u64>>(), "{framing:?}");
    }
    check_count(&servers, &instance, 3);
}

#[tokio::test]
async fn head_alone() {
    for framing in FRAMINGS {
        let (_platform, servers, instance) = start(&[RawStream::whole(framing, 0)]).await;
        for path in [PLAIN, RESUMABLE] {
            let answer = call(&instance, path).await;
            assert!(answer.complete && answer.body.is_empty(), "{framing:?} {path}");
        }
        check_count(&servers, &instance, 2);
    }
}

#[tokio::test]
async fn inside_event_not_complete() {
    for framing in FRAMINGS {
        let answers = RESTS.map(|r| broken(framing, r));
        let (_platform, servers, instance) = start(&answers).await;
        for rest in RESTS {
            let answer = call(&instance, PLAIN).await;
            assert!(!answer.complete, "{framing:?} {rest:?}");
            assert_eq!(answer.event_ids(), [1, 2, 3], "{framing:?} {rest:?}");
        }
        let cause = async || instance.logged("ended inside an event");
        eventually("the cause is logged", cause).await;
        check_count(&servers, &instance, RESTS.len());
        assert_eq!(servers.misplaced(), 0, "a connection was used again");
    }
}

#[tokio::test]
async fn inside_event_resumed() {
    for framing in FRAMINGS {
        for rest in RESTS {
            let what = format!("{framing:?} {rest:?}");
            let answers = [broken(framing, rest), whole(framing)];
            let (_platform, servers, instance) = start(&answers).await;
            check_whole(&call(&instance, RESUMABLE).await, &what);
            check_resumed(&servers, &what);
        }
    }
}

#[tokio::test]
async fn inside_first_event() {
    let first = RawStream { events: 0, ..broken(Framing::Unsized, "id: 1\nda") };
    let (_platform, servers, instance) = start(&[first, first, whole(Framing::Unsized)]).await;
    let answer = call(&instance, PLAIN).await;
    assert!(!answer.complete && answer.body.is_empty());
    check_whole(&call(&instance, RESUMABLE).await, "resumed before any event");
    check_count(&servers, &instance, 3);
}

#[tokio::test]
async fn reset_streams() {
    for framing in FRAMINGS {
        for rest in ["", "id: 4\nda"] {
            let what = format!("{framing:?} {rest:?}");
            let reset = RawStream { ending: Ending::Reset, ..broken(framing, rest) };
            let (_platform, servers, instance) = start(&[reset, reset, whole(framing)]).await;
            let answer = call(&instance, PLAIN).await;
            assert!(!answer.complete, "{what}");
            assert_eq!(answer.event_ids(), [1, 2, 3], "{what}");
            check_whole(&call(&instance, RESUMABLE).await, &what);
            check_count(&servers, &instance, 3);
        }
    }
}

#[tokio::test]
async fn bounded_retries() {
    // The route allows two attempts, and no event comes from either server that the caller lacks.
    let (_platform, servers, instance) = start(&[broken(Framing::Unsized, "id: 4\nda")]).await;
    let answer = call(&instance, RESUMABLE).await;
    assert!(!answer.complete);
    assert_eq!(answer.event_ids(), [1, 2, 3]);
    check_count(&servers, &instance, 2);
}

#[tokio::test]
async fn crash_inside_event() {
    for framing in FRAMINGS {
        let crash = RawStream { ending: Ending::Crash, ..broken(framing, "id: 4\nda") };
        let (_platform, servers, instance) = start(&[crash, whole(framing)]).await;
        check_whole(&call(&instance, RESUMABLE).await, "resumed after a crash");
        check_resumed(&servers, "resumed after a crash");
        let line = eventually_some("the cut is logged", async || instance.find("event=stream_cut"));
        let line = line.await;
        assert!(line.contains("crashed=true"), "{line}");
    }
}

/// Guards against a stream without a length that looks complete because its server crashed between two events.
#[tokio::test]
async fn crash_between_events() {
    let crash = RawStream { ending: Ending::Crash, ..broken(Framing::Unsized, "") };
    let (_platform, servers, instance) = start(&[crash, whole(Framing::Unsized)]).await;
    check_whole(&call(&instance, RESUMABLE).await, "resumed after a crash");
    check_resumed(&servers, "resumed after a crash");
    let (_platform, servers, instance) = start(&[crash]).await;
    let answer = call(&instance, PLAIN).await;
    assert!(!answer.complete, "{answer:?}");
    assert_eq!(answer.event_ids(), [1, 2, 3]);
    check_count(&servers, &instance, 1);
}

#[tokio::test]
async fn plain_answers_unchanged() {
    // Only streams have events. A plain answer without a length is whole where its connection ends.
    for framing in FRAMINGS {
        let answer = broken(framing, "id: 4\nda");
        let (_platform, servers, instance) = start_service("ledger", &[answer]).await;
        for (method, path) in [("GET", "/stock/"), ("GET", "/stock/"), ("POST", "/order/")] {
            let answer = instance.call(method, path, "yew-key", "").await;
            assert!(answer.status == StatusCode::OK && answer.complete, "{framing:?} {path}");
            assert!(answer.body.ends_with(b"data: event 3\n\nid: 4\nda"), "{framing:?} {path}");
        }
        check_count(&servers, &instance, 3);
        assert_eq!(servers.misplaced(), 0, "a connection was used again");
    }
}

/// Has a generation stopped to be moved, and returns the answer.
async fn moved(first: RawStream) -> (RawServers, Answer) {
    let (platform, servers, instance) = start(&[first, whole(first.framing)]).await;
    let request = instance
        .request("POST", PLAIN, "yew-key")
        .header(standin::SIZE_HEADER, "100,4000")
        .body(Full::default())
        .expect("a request");
    let pending = async { instance.send(request).await };
    let drain = async {
        eventually("a server runs the generation", async || !servers.requests().is_empty()).await;
        servers.list_draining(&platform.store, &servers.requests()[0].server);
    };
    let (answer, ()) = tokio::join!(pending, drain);
    (servers, answer)
}

#[tokio::test]
async fn stopped_to_move() {
    for framing in [Framing::Unsized, Framing::Chunked] {
        for rest in ["", "id: 4\nda", "\n"] {
            let what = format!("{framing:?} {rest:?}");
            let stopped = RawStream { ending: Ending::Stopped, ..broken(framing, rest) };
            let (servers, answer) = moved(stopped).await;
            check_whole(&answer, &what);
            check_resumed(&servers, &what);
        }
    }
}

#[tokio::test]
async fn ended_before_move() {
    // The generation ends by itself just before it would be stopped, so there is nothing to move.
    for framing in [Framing::Unsized, Framing::Chunked] {
        let ended = RawStream { ending: Ending::Unknown, ..whole(framing) };
        let (servers, answer) = moved(ended).await;
        check_whole(&answer, &format!("{framing:?}"));
        assert_eq!(servers.requests().len(), 1, "{framing:?}");
    }
}

/// Sends a request as HTTP/1.0, where the end of a body without a length is the end of its connection. Returns the
/// bytes of the answer, and whether the connection ended in order.
async fn call_http10(instance: &Instance, path: &str) -> (String, bool) {
    let mut stream = TcpStream::connect(&*instance.listen).await.expect("a connection");
    let request = format!(
        "POST {path} HTTP/1.0\r\nhost: {}\r\n{}: http10\r\nauthorization: {}\r\ncontent-length: 0\r\n\r\n",
        standin::HOST,
        standin::REQUEST_ID_HEADER,
        standin::authorization("yew-key"),
    );
    stream.write_all(request.as_bytes()).await.expect("the request is sent");
    let mut bytes = Vec::new();
    let ended = stream.read_to_end(&mut bytes).await;
    (String::from_utf8_lossy(&bytes).into_owned(), ended.is_ok())
}

/// Guards against a stream that is broken off and looks complete to a caller of HTTP/1.0.
#[tokio::test]
async fn http10_break_not_complete() {
    let (_platform, servers, instance) =
        start(&[broken(Framing::Chunked, "id: 4\nda"), whole(Framing::Chunked)]).await;
    let (_, complete) = call_http10(&instance, PLAIN).await;
    assert!(!complete, "the connection ended in order");
    let (answer, complete) = call_http10(&instance, PLAIN).await;
    assert!(complete, "{answer}");
    let (_, body) = answer.split_once("\r\n\r\n").expect("a head");
    let events: String = (1..=EVENTS).map(|n| format!("id: {n}\ndata: event {n}\n\n")).collect();
    assert_eq!(body, events);
    check_count(&servers, &instance, 2);
}
