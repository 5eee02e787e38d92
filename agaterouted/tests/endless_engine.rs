//! A model engine that sends bytes without end to the product's own interface. Guards against memory that grows until
//! the process is killed, and generations that never end because bytes still come.

mod harness;

use std::time::Duration;

use agateroute_standin::{EndlessServer, Part};
use harness::{Caller, Harness, eventually, steady};
use serde_json::json;

/// The memory of the smallest instance of any deployment.
const MAX_MEMORY_KIB: u64 = 165 * 1024;
/// Long enough for a busy machine.
const END_TIMEOUT: Duration = Duration::from_secs(60);

async fn start(part: Part, slow: bool) -> (Harness, EndlessServer) {
    let mut harness = Harness::new(&[steady(10.0, 1)], &[]).await;
    let server = EndlessServer::listen("noisy", (part, slow), &harness.cancel).await;
    harness.document["servers"][0]["address"] = json!(server.address.to_string());
    harness.document["routing"]["retries"] = json!(0);
    harness.start_daemon(false).await;
    (harness, server)
}

fn peak_memory_kib(harness: &Harness) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", harness.daemons[0].child.id()));
    let status = status.expect("the status of the process");
    let peak = status.lines().find_map(|l| l.strip_prefix("VmHWM:")).expect("its peak memory");
    peak.split_whitespace().next().and_then(|p| p.parse().ok()).expect("a number")
}

async fn ends(part: Part, slow: bool) {
    let (harness, server) = start(part, slow).await;
    let caller = Caller::new(&harness.daemons[0].listen, "yew");
    let body = json!({"model": "prose", "stream": true, "prompt": "x"}).to_string();
    let call = caller.call("POST", "/v1/completions", &[], body);
    let response = tokio::time::timeout(END_TIMEOUT, call).await.expect("the generation ends");
    let text = String::from_utf8_lossy(&response.body).into_owned();
    assert!(!text.contains("[DONE]"), "{part:?}: {text}");
    // Load reports are polled all the while, so there are always new connections.
    let opened = server.opened();
    eventually("the connections so far are closed", async || server.closed() >= opened).await;
    let peak = peak_memory_kib(&harness);
    assert!(peak < MAX_MEMORY_KIB, "{part:?}: {peak} KiB");
}

#[tokio::test(flavor = "multi_thread")]
async fn event_at_full_speed() {
    ends(Part::Event, false).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn comments_now_and_then() {
    ends(Part::Comments, true).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn event_byte_by_byte() {
    ends(Part::Event, true).await;
}
