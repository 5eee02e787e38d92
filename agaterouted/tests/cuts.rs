//! Streams that are cut by a backend server.

mod platform_fixture;

use agatestand::instance::eventually_some;
use platform_fixture::start_platform;

#[tokio::test]
async fn cut_streams() {
    let platform = start_platform(0, 2, 60).await;
    let instance = platform.start_instance(5_000).await;
    for (path, whole) in [("/quote/", true), ("/draft/", false)] {
        let pending = instance.call("POST", path, "yew-key", "");
        let before: Vec<usize> = platform.engines.iter().map(|s| s.runs().len()).collect();
        let cut = async {
            let began = async || {
                let mut all = platform.engines.iter().zip(&before);
                all.find(|(s, b)| s.runs().len() > **b).map(|(s, _)| s.clone())
            };
            let server = eventually_some("a server runs it", began).await;
            server.cut_streams();
        };
        let (response, ()) = tokio::join!(pending, cut);
        assert_eq!(response.whole, whole, "{path}");
        if whole {
            assert_eq!(response.numbers(), (1..=60).collect::<Vec<u64>>());
        }
    }
}
