//! A running generation moves to another server when its own is listed as draining and then ends. Guards against
//! lost or repeated events during the move, and against a second request id.

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
        .header(standin::SIZE_HEADER, "100,4000")
        .body(Full::default())
        .expect("a request");
    let pending = async { instance.send(request).await };
    let drain = async {
        let started = async || platform.engines.iter().find(|s| !s.runs().is_empty()).cloned();
        let first = eventually_some("a server runs the generation", started).await;
        first.list_draining(&platform.store);
        let continued =
            async || platform.engines.iter().map(|s| s.runs().len()).sum::<usize>() == 2;
        eventually("another server continues it", continued).await;
        first.crash();
    };
    let (response, ()) = tokio::join!(pending, drain);
    assert!(response.complete, "{response:?}");
    assert_eq!(response.event_ids(), (1..=60).collect::<Vec<u64>>(), "events are lost or repeated");
    let runs: Vec<_> = platform.engines.iter().flat_map(Server::runs).collect();
    assert_eq!(runs[0].id, runs[1].id, "the move used another request id");
}
