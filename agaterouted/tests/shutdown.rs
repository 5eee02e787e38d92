//! A graceful stop under load.

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
        eventually("it is not ready", async || {
            instance.ready().await == StatusCode::SERVICE_UNAVAILABLE
        })
        .await;
        let response = instance.call("POST", "/order/", "yew-key", "").await;
        assert_eq!((response.status, response.text("connection")), (StatusCode::OK, "close"));
        let long = instance
            .request("POST", "/draft/", "yew-key")
            .header(standin::SIZE, "3000,4000")
            .body(Full::default());
        let response = instance.send(long.expect("a request")).await;
        assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE, "it would be cut");
    };
    let (response, ()) = tokio::join!(pending, stop);
    assert!(response.whole);
    assert_eq!(response.numbers().len(), 40);
    let well = eventually_some("it stops", async || instance.ended()).await;
    assert!(well);
}
