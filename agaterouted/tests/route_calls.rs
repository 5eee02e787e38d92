//! Calls on routes. Guards against a second execution of a call that may not be repeated, repeatable calls that
//! aren't retried, changed requests or responses, and work that goes on for a caller who has disconnected.

mod platform_fixture;

use agateroute_standin as standin;
use agateroute_standin::Behaviour;
use agatestand::instance::eventually;
use agatestand::load::client;
use http::{StatusCode, header};
use http_body_util::Full;
use platform_fixture::start_platform;

#[tokio::test]
async fn forwarded_unchanged() {
    let platform = start_platform(1, 1, 5).await;
    let instance = platform.start_instance(5_000).await;
    let response = instance.call("POST", "/order/1?x=2", "yew-key", "a wire").await;
    let expected = standin::response_body(response.field(standin::REQUEST_ID_HEADER));
    assert_eq!((response.status, &response.body[..]), (StatusCode::OK, expected.as_bytes()));
    assert_eq!(
        response.field(standin::SIGNATURE_HEADER),
        "ledger-0",
        "the server's header is lost"
    );
    let run = platform.plain[0].runs().remove(0);
    assert_eq!((run.path.as_str(), &run.body[..]), ("/order/1", &b"a wire"[..]));
    assert_eq!(run.headers[standin::ORGANISATION_HEADER], "yew");
    assert!(!run.headers.contains_key(header::AUTHORIZATION), "the key was forwarded");
    let remaining_ms: u64 =
        run.headers[standin::DEADLINE_HEADER].to_str().expect("a text").parse().expect("a number");
    assert!(remaining_ms <= 20_000, "{remaining_ms}");
    let response = instance.call("POST", "/draft/", "box-key", "").await;
    assert!(response.complete);
    assert_eq!(response.event_ids(), [1, 2, 3, 4, 5]);
    assert!(instance.logged("event=request_ended"), "the request was not logged");
}

#[tokio::test]
async fn refusal_retried_elsewhere() {
    let platform = start_platform(2, 0, 0).await;
    let instance = platform.start_instance(5_000).await;
    platform.plain[0].set_behaviour(Behaviour::Refuses);
    for _ in 0..6 {
        let response = instance.call("POST", "/order/", "yew-key", "").await;
        assert_eq!(
            (response.status, response.field(standin::SIGNATURE_HEADER)),
            (StatusCode::OK, "ledger-1")
        );
    }
    platform.plain[1].set_behaviour(Behaviour::Refuses);
    let response = instance.call("POST", "/order/", "yew-key", "").await;
    assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(!response.field("retry-after").is_empty(), "retry-after is missing");
    assert!(platform.plain[0].runs().is_empty(), "a request reported as refused was executed");
}

#[tokio::test]
async fn unsafe_calls_run_once() {
    let platform = start_platform(2, 0, 0).await;
    let instance = platform.start_instance(5_000).await;
    for behaviour in [Behaviour::DropsResponses, Behaviour::EchoesWrongId] {
        platform.plain.iter().for_each(|s| s.set_behaviour(behaviour));
        let before: usize = platform.plain.iter().map(|s| s.runs().len()).sum();
        let response = instance.call("POST", "/order/", "yew-key", "").await;
        assert_eq!(response.status, StatusCode::BAD_GATEWAY, "{behaviour:?}");
        let after: usize = platform.plain.iter().map(|s| s.runs().len()).sum();
        assert_eq!(after, before + 1, "{behaviour:?}");
    }
    // Requests that may be repeated are retried on the other server.
    for behaviour in [Behaviour::DropsResponses, Behaviour::EchoesWrongId, Behaviour::Fails] {
        platform.plain[0].set_behaviour(behaviour);
        platform.plain[1].set_behaviour(Behaviour::Serves);
        for _ in 0..4 {
            let response = instance.call("GET", "/stock/1", "yew-key", "").await;
            assert_eq!(response.status, StatusCode::OK, "{behaviour:?}");
        }
    }
    // A silent server is given up for the other one, and its connection is closed so that it can stop the work.
    platform.plain[0].set_behaviour(Behaviour::Hangs);
    let dropped = async || platform.plain[0].dropped() > 0;
    eventually("the silent server's connection is closed", async || {
        let response = instance.call("GET", "/stock/1", "yew-key", "").await;
        assert_eq!(response.status, StatusCode::OK);
        dropped().await
    })
    .await;
    platform.plain[0].set_behaviour(Behaviour::Fails);
    platform.plain[1].set_behaviour(Behaviour::Fails);
    let response = instance.call("GET", "/stock/1", "yew-key", "").await;
    assert_eq!(
        response.status,
        StatusCode::INTERNAL_SERVER_ERROR,
        "the server's own error is returned"
    );
}

#[tokio::test]
async fn caller_disconnects() {
    let platform = start_platform(1, 0, 0).await;
    let instance = platform.start_instance(5_000).await;
    platform.plain[0].set_behaviour(Behaviour::Hangs);
    let request = instance.request("POST", "/order/", "yew-key").body(Full::default());
    let pending = tokio::spawn(client(false).request(request.expect("a request")));
    eventually("the server runs it", async || platform.plain[0].runs().len() == 1).await;
    pending.abort();
    eventually("its connection is closed", async || platform.plain[0].dropped() == 1).await;
}
