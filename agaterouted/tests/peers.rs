//! A link between two daemons stalls, in one direction or both. Guards against daemons that don't notice a link on
//! which only one side still gets messages, that refuse work meanwhile, or that don't link up again.

mod harness;

use std::time::Duration;

use agatestand::fault::{FaultProxy, Faults};
use harness::{Caller, Harness, StreamEnd, eventually, get_json, steady};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Time after which the test stops waiting for the end of a connection. Long enough for a busy machine.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(60);

/// Two daemons whose only link goes through a fault proxy.
async fn linked_through_proxy() -> (Harness, FaultProxy) {
    let mut harness = Harness::new(&[steady(300.0, 5), steady(300.0, 5)], &[]).await;
    harness.start_daemon(false).await;
    let target = harness.daemons[0].peer.parse().expect("an address");
    let proxy = FaultProxy::start(target, harness.cancel.clone()).await.expect("a proxy");
    harness.daemons[0].peer = proxy.address.to_string();
    harness.start_daemon(false).await;
    (harness, proxy)
}

async fn is_linked(harness: &Harness, index: usize) -> bool {
    get_json(&harness.daemons[index].ops, "/status").await["peers"][0]["linked"] == true
}

async fn check_stall(faults: Faults) {
    let (harness, proxy) = linked_through_proxy().await;
    let mut streams = Vec::new();
    for daemon in &harness.daemons {
        let mut stream = Caller::new(&daemon.listen, "yew").generate("a draft", 300).await;
        stream.next_token().await.expect("a token");
        streams.push(stream);
    }
    proxy.set(faults);
    for index in 0..2 {
        eventually("the stall is noticed", async || !is_linked(&harness, index).await).await;
    }
    for daemon in &harness.daemons {
        let mut stream = Caller::new(&daemon.listen, "yew").generate("another draft", 5).await;
        assert_eq!(stream.finish().await, StreamEnd::Complete, "each daemon admits on its own");
    }
    for stream in &mut streams {
        assert_eq!(stream.finish().await, StreamEnd::Complete, "running streams are complete");
        stream.check_tokens();
    }
    proxy.set(Faults::default());
    for index in 0..2 {
        eventually("the daemons are linked again", async || is_linked(&harness, index).await).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_stalled() {
    check_stall(Faults { hold_requests: true, ..Faults::default() }).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn responses_stalled() {
    check_stall(Faults { hold_answers: true, ..Faults::default() }).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn both_directions_stalled() {
    check_stall(Faults { hold_requests: true, hold_answers: true, ..Faults::default() }).await;
}

// Guards against connections of peers that are gone without a word, and that count against the bound for ever.
#[tokio::test(flavor = "multi_thread")]
async fn silent_connection_closed() {
    /// The start of a connection of HTTP/2: its preface and an empty frame of settings.
    const PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\x04\0\0\0\0\0";
    let mut harness = Harness::new(&[steady(300.0, 5)], &[]).await;
    harness.start_daemon(false).await;
    let mut stream = TcpStream::connect(&harness.daemons[0].peer).await.expect("a connection");
    stream.write_all(PREFACE).await.expect("the preface is sent");
    // It answers neither the settings nor the pings of the daemon.
    let closed = tokio::time::timeout(CLOSE_TIMEOUT, stream.read_to_end(&mut Vec::new())).await;
    assert!(closed.is_ok(), "the connection is still open");
}
