//! A backend server sends a second copy of an answer when the connection is in use again. Guards against a caller who
//! gets the answer to another request.

mod harness;
mod platform_fixture;

use agateroute_standin::{self as standin, repeat};
use agatestand::instance::eventually;
use agatestand::service::ServiceOptions;
use harness::{Caller, Harness, steady};
use http::StatusCode;
use platform_fixture::start_platform;
use serde_json::json;

/// The number of requests, one after the other, so that connections are used again.
const REQUESTS: usize = 12;

#[tokio::test]
async fn on_routes() {
    let platform = start_platform(0, 0, 0).await;
    let instance = platform.start_instance(5_000).await;
    for name in ["ledger-0", "ledger-1"] {
        standin::list(&platform.store, name, repeat::start(name, &platform.cancel).await);
    }
    eventually("the servers are known", async || {
        instance.find("event=servers_in_force").is_some_and(|l| l.contains("servers=2"))
    })
    .await;
    for i in 0..REQUESTS {
        let path = format!("/stock/{i}");
        let answer = instance.call("GET", &path, "yew-key", "").await;
        assert!(
            answer.status != StatusCode::OK || answer.body == path,
            "{path}: {:?}",
            answer.body
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn on_services() {
    let mut harness = Harness::new(&[steady(10.0, 1)], &[ServiceOptions::default()]).await;
    let server = repeat::start("orders", &harness.cancel).await;
    harness.document["servers"][1]["address"] = json!(server.to_string());
    harness.start_daemon(false).await;
    let caller = Caller::new(&harness.daemons[0].listen, "yew");
    for i in 0..REQUESTS {
        let answer = caller.call("GET", &format!("/v1/services/orders/stock/{i}"), &[], "").await;
        assert_eq!(answer.status, StatusCode::OK);
        let body = String::from_utf8_lossy(&answer.body).into_owned();
        assert!(body.ends_with(&format!("/{i}")), "request {i} got the answer {body}");
    }
}
