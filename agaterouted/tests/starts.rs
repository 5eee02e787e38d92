//! A start while the table service is away.

mod routed;

use agateroute_standin as standin;
use agatestand::instance::eventually;
use http::StatusCode;
use routed::platform;

#[tokio::test]
async fn started_without_store() {
    let platform = platform(1, 0, 0).await;
    platform.store.set_fault(standin::store::StoreFault::Overloaded);
    let instance = platform.spawn(5_000).await;
    assert_eq!(instance.ready().await, StatusCode::SERVICE_UNAVAILABLE);
    let answer = instance.call("POST", "/nowhere/", "yew-key", "").await;
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE, "it does not know what exists");
    platform.store.set_fault(standin::store::StoreFault::None);
    eventually("it is ready", async || instance.ready().await == StatusCode::OK).await;
    assert_eq!(instance.call("POST", "/order/", "yew-key", "").await.status, StatusCode::OK);
}
