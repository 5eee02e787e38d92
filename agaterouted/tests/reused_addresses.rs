//! Addresses of backend servers that are used again by others.

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
    // A plain server ends without a word, and a model server gets its address.
    platform.plain[0].crash();
    let free = async || std::net::TcpListener::bind(address).is_ok();
    agatestand::instance::eventually("the address is free", free).await;
    let other =
        Server::start_at(&platform.store, "other", "writers", 5, address, &platform.cancel).await;
    for _ in 0..8 {
        let response = instance.call("POST", "/order/", "yew-key", "").await;
        assert_eq!(
            (response.status, response.text(standin::SIGNATURE)),
            (StatusCode::OK, "ledger-1")
        );
    }
    assert!(other.runs().is_empty(), "another service runs nothing of this");
}
