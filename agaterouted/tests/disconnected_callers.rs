//! Callers that leave before their request was read whole, or while it waits for a place.

mod platform_fixture;

use agateroute_standin as standin;
use agateroute_standin::Behaviour;
use agatestand::instance::eventually;
use agatestand::load::client;
use http::StatusCode;
use http_body_util::Full;
use platform_fixture::start_platform;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// The head of a request with a body of some bytes.
fn request_head(id: &str, length: usize) -> String {
    format!(
        "POST /order/ HTTP/1.1\r\nhost: {}\r\n{}: {id}\r\nauthorization: {}\r\ncontent-length: {length}\r\n\r\n",
        standin::HOST,
        standin::REQUEST_ID,
        standin::authorization("yew-key"),
    )
}

#[tokio::test]
async fn before_body_is_read() {
    let platform = start_platform(1, 0, 0).await;
    let instance = platform.start_instance(5_000).await;
    let mut stream = TcpStream::connect(&instance.listen).await.expect("a connection");
    stream.write_all(request_head("unread", 100).as_bytes()).await.expect("the head is sent");
    stream.write_all(b"a part").await.expect("a part is sent");
    drop(stream);
    // The instance has come to the end of that connection once it refuses the request.
    eventually("it notices", async || instance.logged("request=unread")).await;
    assert_eq!(instance.call("POST", "/order/", "yew-key", "").await.status, StatusCode::OK);
    let runs = platform.plain[0].runs();
    assert!(runs.iter().all(|r| r.id != "unread"), "a part of a request runs nowhere");
}

#[tokio::test]
async fn while_queued() {
    let platform = start_platform(1, 0, 0).await;
    let instance = platform.start_instance(5_000).await;
    platform.plain[0].set_behaviour(Behaviour::Hangs);
    let send_order = || {
        let request = instance.request("POST", "/order/", "yew-key").body(Full::default());
        tokio::spawn(client(false).request(request.expect("a request")))
    };
    // These take all places of the server for as long as their callers wait.
    let first: Vec<_> = (0..4).map(|_| send_order()).collect();
    eventually("all places are taken", async || platform.plain[0].runs().len() == 4).await;
    let ids = ["waits-0", "waits-1", "waits-2"];
    let mut waiting = Vec::new();
    for id in ids {
        let mut stream = TcpStream::connect(&instance.listen).await.expect("a connection");
        stream.write_all(request_head(id, 0).as_bytes()).await.expect("the request is sent");
        waiting.push(stream);
    }
    // What comes later is answered, so these were read meanwhile, or their ends are read with them.
    assert_eq!(instance.call("POST", "/nowhere/", "yew-key", "").await.status, 404);
    drop(waiting);
    eventually("the instance notices", async || {
        ids.iter().all(|id| instance.logged(&format!("request={id}")))
    })
    .await;
    platform.plain[0].set_behaviour(Behaviour::Serves);
    first.iter().for_each(tokio::task::JoinHandle::abort);
    eventually("a place is free", async || {
        instance.call("POST", "/order/", "yew-key", "").await.status == StatusCode::OK
    })
    .await;
    let runs = platform.plain[0].runs();
    assert!(runs.iter().all(|r| !ids.contains(&r.id.as_str())), "those that waited ran nowhere");
}
