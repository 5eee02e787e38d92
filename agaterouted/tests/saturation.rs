//! Two instances get more generations than the servers have slots. Guards against instances that together send more
//! than a server can take, so that it rejects work that should have waited for a permit.

mod platform_fixture;

use agateroute_standin as standin;
use agateroute_standin::Server;
use agatestand::instance::eventually;
use http_body_util::Full;
use platform_fixture::start_platform;

#[tokio::test]
async fn no_rejections_when_full() {
    let platform = start_platform(0, 2, 10).await;
    let instances = [platform.start_instance(5_000).await, platform.start_instance(5_000).await];
    let linked = async || instances.iter().all(|i| i.logged("event=peer_linked"));
    eventually("the instances are linked", linked).await;
    let pending = (0..24).map(|i| {
        let instance = &instances[i % 2];
        let request = instance
            .request("POST", "/draft/", "yew-key")
            .header(standin::SIZE_HEADER, "3000,40")
            .body(Full::default());
        instance.send(request.expect("a request"))
    });
    for response in futures_util::future::join_all(pending).await {
        assert!(response.complete, "{response:?}");
        assert_eq!(response.event_ids().len(), 10);
    }
    let refused: u64 = platform.engines.iter().map(Server::rejected_when_full).sum();
    assert_eq!(refused, 0, "servers rejected work that should have waited for a permit");
}
