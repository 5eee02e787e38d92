//! Callers disconnect before their request is complete, or while it waits for a slot of a server. Guards against
//! executing an incomplete request, or one whose caller is gone.

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

/// The head of a request whose body has `length` bytes.
fn request_head(id: &str, length: usize) -> String {
    format!(
        "POST /order/ HTTP/1.1\r\nhost: {}\r\n{}: {id}\r\nauthorization: {}\r\ncontent-length: {length}\r\n\r\n",
        standin::HOST,
        standin::REQUEST_ID_HEADER,
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
    // Once the request is logged as refused, the instance has read the connection to its end.
    eventually("the request is refused", async || instance.logged("request=unread")).await;
    assert_eq!(instance.call("POST", "/order/", "yew-key", "").await.status, StatusCode::OK);
    let runs = platform.plain[0].runs();
    assert!(runs.iter().all(|r| r.id != "unread"), "an incomplete request was executed");
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
    // These take all slots of the server for as long as their callers wait.
    let first: Vec<_> = (0..4).map(|_| send_order()).collect();
    eventually("all slots are taken", async || platform.plain[0].runs().len() == 4).await;
    let ids = ["waits-0", "waits-1", "waits-2"];
    let mut waiting = Vec::new();
    for id in ids {
        let mut stream = TcpStream::connect(&instance.listen).await.expect("a connection");
        stream.write_all(request_head(id, 0).as_bytes()).await.expect("the request is sent");
        waiting.push(stream);
    }
    // A later request is answered, so by now these have been read, or will be read together with their ends.
    assert_eq!(instance.call("POST", "/nowhere/", "yew-key", "").await.status, 404);
    drop(waiting);
    eventually("the instance logs the end of the requests", async || {
        ids.iter().all(|id| instance.logged(&format!("request={id}")))
    })
    .await;
    platform.plain[0].set_behaviour(Behaviour::Serves);
    first.iter().for_each(tokio::task::JoinHandle::abort);
    eventually("a slot is free", async || {
        instance.call("POST", "/order/", "yew-key", "").await.status == StatusCode::OK
    })
    .await;
    let runs = platform.plain[0].runs();
    assert!(runs.iter().all(|r| !ids.contains(&r.id.as_str())), "a queued request was executed");
}
