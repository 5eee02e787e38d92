//! Generations go on elsewhere when their server leaves.

mod platform_fixture;

use agateroute_standin as standin;
use agateroute_standin::Server;
use agatestand::instance::{eventually, eventually_some};
use http_body_util::Full;
use platform_fixture::start_platform;

#[tokio::test]
async fn moved_streams() {
    let platform = start_platform(0, 3, 60).await;
    let instance = platform.start_instance(5_000).await;
    let request = instance
        .request("POST", "/draft/", "yew-key")
        .header(standin::SIZE, "100,4000")
        .body(Full::default())
        .expect("a request");
    let pending = async { instance.send(request).await };
    let leaves = async {
        let ran = async || platform.engines.iter().find(|s| !s.runs().is_empty()).cloned();
        let first = eventually_some("a server runs it", ran).await;
        first.list_draining(&platform.store);
        let others = async || platform.engines.iter().map(|s| s.runs().len()).sum::<usize>() == 2;
        eventually("another goes on", others).await;
        first.crash();
    };
    let (response, ()) = tokio::join!(pending, leaves);
    assert!(response.whole, "{response:?}");
    assert_eq!(response.numbers(), (1..=60).collect::<Vec<u64>>(), "no event is lost or repeated");
    let runs: Vec<_> = platform.engines.iter().flat_map(Server::runs).collect();
    assert_eq!(runs[0].id, runs[1].id, "it is the same request");
}
