//! Connections of callers that end before their answer is written whole. Guards against an end that the log does not
//! explain: what the request was doing, and why the connection ended.

mod platform_fixture;

use std::net::SocketAddr;

use agateroute_standin::{self as standin, Behaviour};
use agatestand::instance::{Instance, eventually, eventually_some, field};
use platform_fixture::start_platform;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// The length of an answer in bytes that sockets do not buffer.
const LONG_BYTES: usize = 14 * 1024 * 1024;

async fn send(instance: &Instance, path: &str) -> TcpStream {
    let mut stream = TcpStream::connect(&instance.listen).await.expect("a connection");
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: {}\r\n{}: cut\r\nauthorization: {}\r\ncontent-length: 0\r\n\r\n",
        standin::HOST,
        standin::REQUEST_ID_HEADER,
        standin::authorization("yew-key"),
    );
    stream.write_all(head.as_bytes()).await.expect("the request is sent");
    stream
}

async fn read_status(stream: &mut TcpStream) {
    let mut status = [0; 12];
    stream.read_exact(&mut status).await.expect("a status");
    assert_eq!(&status, b"HTTP/1.1 200");
}

async fn cut_state(instance: &Instance) -> String {
    let logged = async || instance.find("event=caller_connection_cut request=cut ");
    field(&eventually_some("the cut is logged", logged).await, "state")
}

#[tokio::test]
async fn request_that_runs() {
    let platform = start_platform(1, 0, 0).await;
    platform.plain[0].set_behaviour(Behaviour::Hangs);
    let instance = platform.start_instance(5_000).await;
    let caller = send(&instance, "/order/").await;
    eventually("a server runs it", async || !platform.plain[0].runs().is_empty()).await;
    drop(caller);
    assert_eq!(cut_state(&instance).await, "busy");
    let attempt = async || instance.find("event=attempt request=cut ");
    let line = eventually_some("the attempt is logged", attempt).await;
    assert_eq!(field(&line, "outcome"), "dropped");
}

#[tokio::test]
async fn stream_under_way() {
    let platform = start_platform(0, 1, 3_000).await;
    let instance = platform.start_instance(5_000).await;
    let mut caller = send(&instance, "/draft/").await;
    read_status(&mut caller).await;
    drop(caller);
    assert_eq!(cut_state(&instance).await, "answering");
}

/// Answers each request with a long body.
async fn start_long_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("its address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let _ = stream.read(&mut [0; 4_096]).await;
            let head = format!(
                "HTTP/1.1 200 OK\r\n{}: cut\r\n{}: long\r\ncontent-length: {LONG_BYTES}\r\n\r\n",
                standin::REQUEST_ID_HEADER,
                standin::SIGNATURE_HEADER,
            );
            let _ = stream.write_all(head.as_bytes()).await;
            let _ = stream.write_all(&vec![b'x'; LONG_BYTES]).await;
        }
    });
    address
}

#[tokio::test]
async fn whole_answer_not_written() {
    let platform = start_platform(0, 0, 0).await;
    standin::list(&platform.store, "long", start_long_server().await);
    let instance = platform.start_instance(5_000).await;
    let mut caller = send(&instance, "/order/").await;
    read_status(&mut caller).await;
    drop(caller);
    assert_eq!(cut_state(&instance).await, "sending");
}
