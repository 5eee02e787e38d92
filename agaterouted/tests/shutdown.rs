//! An instance gets SIGTERM while a generation runs. Guards against a cut stream, requests refused before the load
//! balancer has noticed, acceptance of a generation too long to finish before the exit, and a cut that no log line
//! explains.

mod platform_fixture;

use agateroute_standin as standin;
use agatestand::instance::{eventually, eventually_some};
use http::StatusCode;
use http_body_util::Full;
use platform_fixture::start_platform;

#[tokio::test]
async fn graceful_stop() {
    let platform = start_platform(1, 1, 40).await;
    let mut instance = platform.start_instance(5_000).await;
    let pending = instance.call("POST", "/quote/", "yew-key", "");
    let stop = async {
        eventually("a server runs it", async || !platform.engines[0].runs().is_empty()).await;
        instance.terminate();
        eventually("the instance is not ready", async || {
            instance.ready().await == StatusCode::SERVICE_UNAVAILABLE
        })
        .await;
        // Its answer is due before the instance ends.
        let order = instance
            .without_deadline("POST", "/order/", "yew-key")
            .header(standin::DEADLINE_HEADER, "5000")
            .body(Full::default());
        let response = instance.send(order.expect("a request")).await;
        assert_eq!((response.status, response.field("connection")), (StatusCode::OK, "close"));
        let long = instance
            .request("POST", "/draft/", "yew-key")
            .header(standin::SIZE_HEADER, "3000,4000")
            .body(Full::default());
        let response = instance.send(long.expect("a request")).await;
        assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE, "too long to finish");
    };
    let (response, ()) = tokio::join!(pending, stop);
    assert!(response.complete);
    assert_eq!(response.event_ids().len(), 40);
    let clean_exit = eventually_some("the instance stops", async || instance.exit_success()).await;
    assert!(clean_exit);
}

#[tokio::test]
async fn cut_at_exit_logged() {
    // The generation began before the signal and takes twice as long as the instance may stay.
    let platform = start_platform(0, 1, 800).await;
    let mut instance = platform.start_instance(5_000).await;
    let pending = instance.call("POST", "/draft/", "yew-key", "");
    let stop = async {
        eventually("a server runs it", async || !platform.engines[0].runs().is_empty()).await;
        instance.terminate();
    };
    let (response, ()) = tokio::join!(pending, stop);
    assert!(!response.complete);
    let clean_exit = eventually_some("the instance stops", async || instance.exit_success()).await;
    assert!(clean_exit);
    let logged = async || instance.find("event=stream_given_up");
    let line = eventually_some("the cut is logged", logged).await;
    assert!(line.contains("cause=instance_ends"), "{line}");
}
