//! A plain server crashes without being removed from the list, and a model server gets its address. Guards against
//! requests sent to whoever listens on a listed address.

mod platform_fixture;

use agateroute_standin as standin;
use agateroute_standin::Server;
use http::StatusCode;
use platform_fixture::start_platform;

#[tokio::test]
async fn reused_by_other_service() {
    let platform = start_platform(2, 0, 0).await;
    let instance = platform.start_instance(5_000).await;
    let address = platform.plain[0].address;
    // The crashed server stays listed.
    platform.plain[0].crash();
    let free = async || std::net::TcpListener::bind(address).is_ok();
    agatestand::instance::eventually("the address is free", free).await;
    let other =
        Server::start_at(&platform.store, "other", "writers", 5, address, &platform.cancel).await;
    for _ in 0..8 {
        let response = instance.call("POST", "/order/", "yew-key", "").await;
        assert_eq!(
            (response.status, response.field(standin::SIGNATURE_HEADER)),
            (StatusCode::OK, "ledger-1")
        );
    }
    assert!(other.runs().is_empty(), "a request reached another service");
}
