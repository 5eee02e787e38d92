//! A start while the table service is away.

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
    assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE, "it does not know what exists");
    platform.store.set_fault(standin::store::StoreFault::None);
    eventually("it is ready", async || instance.ready().await == StatusCode::OK).await;
    assert_eq!(instance.call("POST", "/order/", "yew-key", "").await.status, StatusCode::OK);
}
