//! Answers whose status is no status of a final answer. Guards against such an answer that a caller gets as that of its request.

mod platform_fixture;

use std::sync::{Arc, Mutex};

use agateroute_standin as standin;
use agatestand::instance::{eventually, field};
use http::StatusCode;
use platform_fixture::{TestPlatform, start_platform};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// The status lines without the version: outside of 200 to 599, none, and no number.
const STATUSES: [&str; 9] = [
    "000 Trouble",
    "000",
    "099 Low",
    "101 Switching Protocols",
    "600 High",
    "999 High",
    "",
    "20",
    "abc",
];

/// Answers one request with a status line, as a server that otherwise keeps the protocol.
async fn respond(mut stream: TcpStream, status: String) {
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
        "HTTP/1.1 {status}\r\n{}: {id}\r\n{}: raw\r\ncontent-length: 7\r\n\r\ntrouble",
        standin::REQUEST_ID_HEADER,
        standin::SIGNATURE_HEADER,
    );
    let _ = stream.write_all(text.as_bytes()).await;
}

/// Lists a server of a service that answers with the status line that is set.
async fn list_invalid(platform: &TestPlatform, service: &str) -> Arc<Mutex<String>> {
    let status: Arc<Mutex<String>> = Arc::default();
    let current = status.clone();
    let address = standin::accept_connections(&platform.cancel, move |stream| {
        let status = current.lock().expect("the status").clone();
        respond(stream, status)
    })
    .await;
    standin::list_service(&platform.store, "invalid", service, address);
    status
}

async fn check(service: &str, method: &str, path: &str) {
    let platform = start_platform(0, 0, 0).await;
    let status = list_invalid(&platform, service).await;
    let instance = platform.start_instance(5_000).await;
    for line in STATUSES {
        *status.lock().expect("the status") = line.to_owned();
        let answer = instance.call(method, path, "yew-key", "").await;
        assert_eq!(answer.status, StatusCode::BAD_GATEWAY, "{method} {path}, {line:?}");
        assert!(!answer.headers.contains_key(standin::SIGNATURE_HEADER), "{line:?}");
        assert_ne!(answer.body, &b"trouble"[..], "{line:?}");
    }
    let outcomes = || -> Vec<String> {
        let attempts = instance.lines().into_iter().filter(|l| l.contains("event=attempt "));
        attempts.map(|l| field(&l, "outcome")).collect()
    };
    eventually("each attempt is logged", async || outcomes().len() >= STATUSES.len()).await;
    assert!(outcomes().iter().all(|o| o == "lost"), "{:?}", outcomes());
}

#[tokio::test]
async fn calls_that_run_once() {
    check("ledger", "POST", "/order/").await;
}

#[tokio::test]
async fn calls_that_may_be_repeated() {
    check("ledger", "GET", "/stock/").await;
}

#[tokio::test]
async fn generations() {
    check("writers", "POST", "/draft/").await;
}
