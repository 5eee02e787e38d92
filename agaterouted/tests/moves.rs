//! Generations go on elsewhere when their server leaves.

mod routed;

use agateroute_standin as standin;
use agateroute_standin::Server;
use agatestand::instance::{eventually, eventually_some};
use http_body_util::Full;
use routed::platform;

#[tokio::test]
async fn moved_streams() {
    let platform = platform(0, 3, 60).await;
    let instance = platform.instance(5_000).await;
    let request = instance
        .request("POST", "/draft/", "yew-key")
        .header(standin::SIZE, "100,4000")
        .body(Full::default())
        .expect("a request");
    let asked = async { instance.send(request).await };
    let leaves = async {
        let ran = async || platform.writers.iter().find(|s| !s.runs().is_empty()).cloned();
        let first = eventually_some("a server runs it", ran).await;
        first.list_draining(&platform.store);
        let others = async || platform.writers.iter().map(|s| s.runs().len()).sum::<usize>() == 2;
        eventually("another goes on", others).await;
        first.crash();
    };
    let (answer, ()) = tokio::join!(asked, leaves);
    assert!(answer.whole, "{answer:?}");
    assert_eq!(answer.numbers(), (1..=60).collect::<Vec<u64>>(), "no event is lost or repeated");
    let runs: Vec<_> = platform.writers.iter().flat_map(Server::runs).collect();
    assert_eq!(runs[0].id, runs[1].id, "it is the same request");
}
