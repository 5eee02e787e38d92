//! The daemon follows the cache events of an engine although some are late or lost. Guards against prefixes that
//! count as cached after the engine has crashed and restarted with an empty cache.

mod harness;

use agatestand::engine::{Control, EngineOptions};
use harness::{Caller, Harness, StreamEnd, eventually, get_json, steady};

#[tokio::test(flavor = "multi_thread")]
async fn cache_follows_events() {
    let engine = EngineOptions { lost_every: Some(3), ..steady(5.0, 1) };
    let mut harness = Harness::new(&[engine], &[]).await;
    harness.start_daemon(false).await;
    let caller = Caller::new(&harness.daemons[0].listen, "yew");
    let cached = async || {
        let status = get_json(&harness.daemons[0].ops, "/status").await;
        status["servers"][0]["cached"].as_u64().unwrap_or(0)
    };
    for i in 0..8 {
        let prompt = format!("brief {i} ").repeat(200);
        let mut stream = caller.generate(&prompt, 5).await;
        assert_eq!(stream.finish().await, StreamEnd::Complete);
    }
    eventually("cached prefixes are known", async || cached().await > 0).await;
    harness.engines[0].control(&Control::Crash);
    eventually("the engine is back", async || {
        let mut stream = caller.generate(&"another brief ".repeat(100), 5).await;
        stream.status == 200 && stream.finish().await == StreamEnd::Complete
    })
    .await;
    eventually("only prefixes cached since the restart are known", async || cached().await == 1)
        .await;
}
