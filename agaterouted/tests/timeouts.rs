//! Servers accept requests and never respond. Guards against requests that outlive the time-out of their route or
//! the deadline of their caller, and servers that keep working on them.

mod platform_fixture;

use agateroute_standin as standin;
use agateroute_standin::{Behaviour, Server};
use agatestand::instance::eventually;
use http::StatusCode;
use http_body_util::Full;
use platform_fixture::start_platform;

#[tokio::test]
async fn route_timeout() {
    let platform = start_platform(2, 0, 0).await;
    let instance = platform.start_instance(5_000).await;
    standin::publish_limits(&platform.store, 2, 10_000, 300);
    eventually("the route with the time-out is known", async || {
        instance.call("POST", "/hasty/", "yew-key", "").await.status == StatusCode::OK
    })
    .await;
    platform.plain.iter().for_each(|s| s.set_behaviour(Behaviour::Hangs));
    // The caller sends no deadline, so only the time-out of the route can end this.
    let request = instance.without_deadline("POST", "/hasty/", "yew-key").body(Full::default());
    let response = instance.send(request.expect("a request")).await;
    assert_eq!(response.status, StatusCode::GATEWAY_TIMEOUT);
    assert!(response.field("retry-after").is_empty(), "the request may have run");
    let dropped = async || platform.plain.iter().map(Server::dropped).sum::<u64>() > 0;
    eventually("the server's connection is closed", dropped).await;
}

#[tokio::test]
async fn caller_deadline() {
    let platform = start_platform(1, 0, 0).await;
    let instance = platform.start_instance(5_000).await;
    platform.plain[0].set_behaviour(Behaviour::Hangs);
    let request = instance
        .without_deadline("POST", "/order/", "yew-key")
        .header(standin::DEADLINE_HEADER, "400")
        .body(Full::default());
    let response = instance.send(request.expect("a request")).await;
    assert_eq!(response.status, StatusCode::GATEWAY_TIMEOUT, "the route itself allows 20 s");
}
