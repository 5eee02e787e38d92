//! Keys that are withdrawn, also while the table service is away.

mod platform_fixture;

use agateroute_standin as standin;
use agatestand::instance::eventually;
use http::StatusCode;
use platform_fixture::start_platform;

#[tokio::test]
async fn withdrawn_keys() {
    let platform = start_platform(1, 0, 0).await;
    let instance = platform.start_instance(1_500).await;
    standin::publish(&platform.store, 2, false);
    eventually("the key is refused", async || {
        instance.call("POST", "/order/", "yew-key", "").await.status == StatusCode::UNAUTHORIZED
    })
    .await;
    // An older version never comes back.
    standin::publish(&platform.store, 1, true);
    assert_eq!(instance.call("POST", "/order/", "box-key", "").await.status, StatusCode::OK);
    let reads = platform.store.reads();
    eventually("it was read", async || platform.store.reads() > reads + 4).await;
    assert_eq!(
        instance.call("POST", "/order/", "yew-key", "").await.status,
        StatusCode::UNAUTHORIZED
    );
    // Cut off from the table service it may not know what was withdrawn since.
    platform.store.set_fault(standin::store::StoreFault::Overloaded);
    eventually("every key is refused", async || {
        let response = instance.call("POST", "/order/", "box-key", "").await;
        response.status == StatusCode::SERVICE_UNAVAILABLE
    })
    .await;
    assert_eq!(instance.ready().await, StatusCode::SERVICE_UNAVAILABLE);
    platform.store.set_fault(standin::store::StoreFault::None);
    eventually("it serves again", async || {
        instance.call("POST", "/order/", "box-key", "").await.status == StatusCode::OK
    })
    .await;
    assert!(
        instance.logged("event=dependency_lost") && instance.logged("event=dependency_regained")
    );
}
