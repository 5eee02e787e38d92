//! An instance starts during an outage of the table service. Guards against an instance that exits, reports itself
//! ready, or answers 404 for routes that it hasn't read yet.

mod platform_fixture;

use agateroute_standin as standin;
use agatestand::instance::eventually;
use http::StatusCode;
use platform_fixture::start_platform;

#[tokio::test]
async fn started_during_outage() {
    let platform = start_platform(1, 0, 0).await;
    platform.store.set_fault(standin::store::StoreFault::Overloaded);
    let instance = platform.spawn_instance(5_000).await;
    assert_eq!(instance.ready().await, StatusCode::SERVICE_UNAVAILABLE);
    let response = instance.call("POST", "/nowhere/", "yew-key", "").await;
    assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE, "routes are not known yet");
    platform.store.set_fault(standin::store::StoreFault::None);
    eventually("the instance is ready", async || instance.ready().await == StatusCode::OK).await;
    assert_eq!(instance.call("POST", "/order/", "yew-key", "").await.status, StatusCode::OK);
}
