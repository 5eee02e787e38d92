//! A server cuts the stream of a running generation. A route that resumes streams goes on without lost or repeated
//! events; any other must pass the cut on. Guards against a cut stream that looks complete to the caller.

mod platform_fixture;

use agatestand::instance::eventually_some;
use platform_fixture::start_platform;

#[tokio::test]
async fn cut_streams() {
    let platform = start_platform(0, 2, 60).await;
    let instance = platform.start_instance(5_000).await;
    for (path, complete) in [("/quote/", true), ("/draft/", false)] {
        let pending = instance.call("POST", path, "yew-key", "");
        let before: Vec<usize> = platform.engines.iter().map(|s| s.runs().len()).collect();
        let cut = async {
            let started = async || {
                let mut all = platform.engines.iter().zip(&before);
                all.find(|(s, b)| s.runs().len() > **b).map(|(s, _)| s.clone())
            };
            let server = eventually_some("a server runs the generation", started).await;
            server.cut_streams();
        };
        let (response, ()) = tokio::join!(pending, cut);
        assert_eq!(response.complete, complete, "{path}");
        if complete {
            assert_eq!(response.event_ids(), (1..=60).collect::<Vec<u64>>());
        }
    }
}
