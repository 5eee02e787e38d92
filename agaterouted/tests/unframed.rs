//! Responses without a length end when the server closes the connection. Guards against a response cut by a reset
//! that is returned as complete.

mod platform_fixture;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use agateroute_standin as standin;
use http::StatusCode;
use platform_fixture::start_platform;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Responds to one request with a body without a length, and then closes or resets the connection.
async fn respond(mut stream: TcpStream, resets: bool) {
    let mut read = Vec::new();
    while !read.windows(4).any(|w| w == b"\r\n\r\n") {
        let mut chunk = [0; 4096];
        match stream.read(&mut chunk).await {
            Ok(0) | Err(_) => return,
            Ok(count) => read.extend_from_slice(&chunk[..count]),
        }
    }
    let head = String::from_utf8_lossy(&read).into_owned();
    let field =
        |l: &str| l.strip_prefix(&format!("{}: ", standin::REQUEST_ID_HEADER)).map(str::to_owned);
    let id = head.lines().find_map(field).unwrap_or_default();
    let text = format!(
        "HTTP/1.1 200 OK\r\n{}: {id}\r\n{}: raw\r\n\r\n{}",
        standin::REQUEST_ID_HEADER,
        standin::SIGNATURE_HEADER,
        standin::response_body(&id),
    );
    let _ = stream.write_all(text.as_bytes()).await;
    if resets {
        // With zero linger, closing the socket sends a reset.
        let _ = stream.set_zero_linger();
    }
}

async fn start_raw_server(resets: Arc<AtomicBool>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("its address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(respond(stream, resets.load(Ordering::Relaxed)));
        }
    });
    address
}

#[tokio::test]
async fn ended_by_close() {
    let platform = start_platform(0, 0, 0).await;
    let resets = Arc::new(AtomicBool::new(false));
    standin::list(&platform.store, "raw", start_raw_server(resets.clone()).await);
    let instance = platform.start_instance(5_000).await;
    let complete = instance.call("POST", "/order/", "yew-key", "").await;
    assert_eq!(complete.status, StatusCode::OK);
    assert_eq!(
        complete.body,
        standin::response_body(complete.field(standin::REQUEST_ID_HEADER)).as_bytes()
    );
    resets.store(true, Ordering::Relaxed);
    let cut = instance.call("POST", "/order/", "yew-key", "").await;
    assert_eq!(cut.status, StatusCode::BAD_GATEWAY, "the response was cut");
}
