//! A withdrawn key is refused within the bound, also if an older version of the document is published again or the
//! table service fails. Guards against an instance that goes on accepting keys from a document that it can no
//! longer verify.

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
    // Publishing the older version again has no effect.
    standin::publish(&platform.store, 1, true);
    assert_eq!(instance.call("POST", "/order/", "box-key", "").await.status, StatusCode::OK);
    let reads = platform.store.reads();
    eventually("the version is read", async || platform.store.reads() > reads + 4).await;
    assert_eq!(
        instance.call("POST", "/order/", "yew-key", "").await.status,
        StatusCode::UNAUTHORIZED
    );
    // Without the table service the instance can't know which keys have been withdrawn since, so it refuses all.
    platform.store.set_fault(standin::store::StoreFault::Overloaded);
    eventually("every key is refused", async || {
        let response = instance.call("POST", "/order/", "box-key", "").await;
        response.status == StatusCode::SERVICE_UNAVAILABLE
    })
    .await;
    assert_eq!(instance.ready().await, StatusCode::SERVICE_UNAVAILABLE);
    platform.store.set_fault(standin::store::StoreFault::None);
    eventually("the instance serves again", async || {
        instance.call("POST", "/order/", "box-key", "").await.status == StatusCode::OK
    })
    .await;
    assert!(
        instance.logged("event=dependency_lost") && instance.logged("event=dependency_regained")
    );
}
