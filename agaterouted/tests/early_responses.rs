//! A server responds before it has read a long body, and reads the rest later. Guards against the connection being
//! reused at once: the next request would be read as the rest of that body.

mod platform_fixture;

use agateroute_standin as standin;
use agateroute_standin::EarlyServer;
use agatestand::instance::eventually;
use http::StatusCode;
use platform_fixture::start_platform;

/// More than all buffers on the way can hold.
const BODY_BYTES: usize = 24 << 20;

#[tokio::test]
async fn unread_body_not_reused() {
    let platform = start_platform(0, 0, 0).await;
    let server = EarlyServer::start(&platform.store, "ledger-0", &platform.cancel).await;
    let instance = platform.start_instance(5_000).await;
    standin::publish_limits(&platform.store, 2, BODY_BYTES as u64, 20_000);
    eventually("long bodies are allowed", async || {
        instance.call("POST", "/hasty/", "yew-key", "short").await.status == StatusCode::OK
    })
    .await;
    let long = "x".repeat(BODY_BYTES);
    let response = instance.call("POST", "/stock/", "yew-key", &long).await;
    assert_eq!(response.status, StatusCode::OK);
    // The rest of the long body isn't sent yet, so these must not use its connection.
    for i in 0..4 {
        let response = instance.call("POST", "/stock/", "yew-key", &format!("short {i}")).await;
        assert_eq!(response.status, StatusCode::OK);
    }
    server.resume_reading();
    eventually("all bodies are read", async || server.bodies().len() >= 6).await;
    for body in server.bodies() {
        let own = body.iter().all(|b| *b == b'x') || body.starts_with(b"short");
        assert!(own, "a body of {} bytes is mixed up with another one", body.len());
    }
}
