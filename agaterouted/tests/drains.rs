//! A server is listed as draining, and the history of the table is compacted so that the instance must read it
//! anew. Guards against new work for a draining or removed server.

mod platform_fixture;

use agateroute_standin as standin;
use agatestand::instance::eventually;
use http::StatusCode;
use platform_fixture::start_platform;

#[tokio::test]
async fn draining_servers() {
    let platform = start_platform(2, 0, 0).await;
    let instance = platform.start_instance(5_000).await;
    platform.plain[0].list_draining(&platform.store);
    platform.store.compact_history();
    let served_by_other = async || {
        let response = instance.call("POST", "/order/", "yew-key", "").await;
        response.field(standin::SIGNATURE_HEADER) == "ledger-1"
    };
    let mut in_a_row = 0;
    eventually("the draining server gets no new work", async || {
        in_a_row = if served_by_other().await { in_a_row + 1 } else { 0 };
        in_a_row >= 20
    })
    .await;
    standin::unlist(&platform.store, "ledger-1");
    eventually("no server is left", async || {
        let response = instance.call("POST", "/order/", "yew-key", "").await;
        response.status == StatusCode::SERVICE_UNAVAILABLE
    })
    .await;
}
