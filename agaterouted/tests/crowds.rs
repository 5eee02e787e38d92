//! More generations than the backend servers take at once.

mod routed;

use agateroute_standin as standin;
use agateroute_standin::Server;
use agatestand::instance::eventually;
use http_body_util::Full;
use routed::platform;

#[tokio::test]
async fn crowded_servers() {
    let platform = platform(0, 2, 10).await;
    let instances = [platform.instance(5_000).await, platform.instance(5_000).await];
    let linked = async || instances.iter().all(|i| i.logged("event=peer_linked"));
    eventually("they know of each other", linked).await;
    let asked = (0..24).map(|i| {
        let instance = &instances[i % 2];
        let request = instance
            .request("POST", "/draft/", "yew-key")
            .header(standin::SIZE, "3000,40")
            .body(Full::default());
        instance.send(request.expect("a request"))
    });
    for answer in futures_util::future::join_all(asked).await {
        assert!(answer.whole, "{answer:?}");
        assert_eq!(answer.numbers().len(), 10);
    }
    let refused: u64 = platform.writers.iter().map(Server::rejected_when_full).sum();
    assert_eq!(refused, 0, "work waits for a permit, not at the servers");
}
