//! Backend servers that send bytes without end in any part of an answer. Guards against memory that grows until the
//! process is killed, attempts that never end, and connections that are used again.

mod platform_fixture;

use agateroute_standin::{self as standin, EndlessServer, Part};
use agatestand::instance::{Answer, Instance, eventually};
use futures_util::future::join_all;
use http::StatusCode;
use platform_fixture::{TestPlatform, start_platform};

/// The memory of the smallest instance of any deployment.
const MAX_MEMORY_MIB: u64 = 165;
/// Answers without end at the same time. Buffered alone, each may take some megabytes.
const CALLS_AT_ONCE: usize = 24;
/// The timeout of the route for slow servers, in milliseconds.
const TIMEOUT_MS: u64 = 1_500;

const PLAIN_PARTS: [Part; 8] = [
    Part::StatusLine,
    Part::Fields,
    Part::Interim,
    Part::ChunkHead,
    Part::Chunks,
    Part::SizedBody,
    Part::UnsizedBody,
    Part::Trailer,
];

async fn start(service: &str, part: Part, slow: bool) -> (TestPlatform, EndlessServer, Instance) {
    let platform = start_platform(0, 0, 0).await;
    let (store, cancel) = (&platform.store, &platform.cancel);
    let server = EndlessServer::start(store, "noisy", service, (part, slow), cancel).await;
    let instance = platform.start_instance(5_000).await;
    (platform, server, instance)
}

/// Whether the instance uses a single backend server.
fn uses_one(instance: &Instance) -> bool {
    let line = instance.find("event=servers_in_force").unwrap_or_default();
    line.split_whitespace().any(|word| word == "servers=1")
}

/// Checks that the server's connections were closed, and that the instance goes on with another server.
async fn goes_on(platform: &TestPlatform, server: &EndlessServer, instance: &Instance) {
    eventually("all connections are closed", async || server.closed() == server.opened()).await;
    assert!(server.opened() > 0);
    let cancel = &platform.cancel;
    let _sound = standin::Server::start(&platform.store, "sound", "ledger", 0, cancel).await;
    eventually("the other server is known", async || !uses_one(instance)).await;
    standin::unlist(&platform.store, "noisy");
    // A call that reached the noisy server could take until its deadline.
    eventually("only the other server is known", async || uses_one(instance)).await;
    eventually("another server answers", async || {
        instance.call("POST", "/order/", "yew-key", "").await.status == StatusCode::OK
    })
    .await;
    assert!(instance.peak_memory_mib() < MAX_MEMORY_MIB, "{} MiB", instance.peak_memory_mib());
}

/// Calls a route with a timeout that is shorter than the caller's.
async fn call_hasty(platform: &TestPlatform, instance: &Instance) -> Answer {
    standin::publish_limits(&platform.store, 2, 10_000, TIMEOUT_MS);
    eventually("the route exists", async || {
        let status = instance.call("POST", "/hasty/", "yew-key", "").await.status;
        status != StatusCode::NOT_FOUND
    })
    .await;
    instance.call("POST", "/hasty/", "yew-key", "").await
}

#[tokio::test]
async fn plain_answers_at_full_speed() {
    let check = async |part: Part| {
        let (platform, server, instance) = start("ledger", part, false).await;
        let answer = call_hasty(&platform, &instance).await;
        // Few bytes are accepted outside a body, so that ends long before the timeout. A body may take until then.
        let in_body = [Part::Chunks, Part::SizedBody, Part::UnsizedBody].contains(&part);
        let timed_out = answer.status == StatusCode::GATEWAY_TIMEOUT;
        assert!(
            answer.status == StatusCode::BAD_GATEWAY || in_body && timed_out,
            "{part:?}: {}",
            answer.status
        );
        goes_on(&platform, &server, &instance).await;
    };
    join_all(PLAIN_PARTS.map(check)).await;
}

#[tokio::test]
async fn plain_answers_a_byte_now_and_then() {
    let check = async |part: Part| {
        let (platform, server, instance) = start("ledger", part, true).await;
        let answer = call_hasty(&platform, &instance).await;
        assert_eq!(answer.status, StatusCode::GATEWAY_TIMEOUT, "{part:?}");
        goes_on(&platform, &server, &instance).await;
    };
    join_all(PLAIN_PARTS.map(check)).await;
}

#[tokio::test]
async fn many_at_once() {
    let (platform, server, instance) = start("ledger", Part::Chunks, false).await;
    let (store, cancel) = (&platform.store, &platform.cancel);
    let others = ["noisy-1", "noisy-2", "noisy-3", "noisy-4", "noisy-5"];
    for name in others {
        EndlessServer::start(store, name, "ledger", (Part::Chunks, false), cancel).await;
    }
    eventually("all servers are known", async || {
        instance.find("event=servers_in_force").is_some_and(|l| l.contains("servers=6"))
    })
    .await;
    let calls = (0..CALLS_AT_ONCE).map(|_| instance.call("POST", "/order/", "yew-key", ""));
    for answer in join_all(calls).await {
        assert_ne!(answer.status, StatusCode::OK);
    }
    others.iter().for_each(|name| standin::unlist(store, name));
    goes_on(&platform, &server, &instance).await;
}

async fn stream(instance: &Instance) -> Answer {
    eventually("the route exists", async || {
        let answer = instance.call("POST", "/brisk/", "no-key", "").await;
        answer.status != StatusCode::NOT_FOUND && answer.status != StatusCode::SERVICE_UNAVAILABLE
    })
    .await;
    instance.call("POST", "/brisk/", "yew-key", "").await
}

#[tokio::test]
async fn event_at_full_speed() {
    let (platform, server, instance) = start("writers", Part::Event, false).await;
    standin::publish_brisk(&platform.store, 2);
    let answer = stream(&instance).await;
    assert!(!answer.complete, "the stream is not ended as if it were whole");
    goes_on(&platform, &server, &instance).await;
}

#[tokio::test]
async fn stalled_stream_ends() {
    // A byte now and then, or comments, are no progress. The deadline of the caller is far away.
    for part in [Part::Event, Part::Comments] {
        let (platform, server, instance) = start("writers", part, true).await;
        standin::publish_brisk(&platform.store, 2);
        let answer = stream(&instance).await;
        assert!(!answer.complete, "{part:?}");
        eventually("the cause is logged", async || instance.logged("cause=stalled")).await;
        goes_on(&platform, &server, &instance).await;
    }
}

#[tokio::test]
async fn slow_stream_not_cut() {
    let (platform, _server, instance) = start("writers", Part::Nothing, true).await;
    standin::publish_brisk(&platform.store, 2);
    let answer = stream(&instance).await;
    assert!(answer.complete);
    assert_eq!(answer.event_ids(), [1, 2, 3]);
}
