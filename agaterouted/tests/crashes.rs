//! Requests that crash backend servers, told from connections that are only cut.

mod routed;

use agateroute_standin::Behaviour;
use http::StatusCode;
use routed::{Platform, platform};

/// The crashes after which a request is not sent again.
const CRASHES_MOST: usize = 3;

async fn crash_all(platform: &Platform, instances: usize) -> usize {
    platform.ledgers.iter().for_each(|s| s.set_behaviour(Behaviour::Crashes));
    let mut all = Vec::new();
    for _ in 0..instances {
        all.push(platform.instance(5_000).await);
    }
    for i in 0..8 {
        let answer = all[i % instances].call("GET", "/stock/poison", "yew-key", "").await;
        assert!(answer.status.is_server_error(), "{answer:?}");
    }
    platform.ledgers.iter().filter(|s| s.crashed()).count()
}

#[tokio::test]
async fn quarantined() {
    let platform = platform(6, 0, 0).await;
    let crashed = crash_all(&platform, 1).await;
    assert!((2..=CRASHES_MOST).contains(&crashed), "{crashed} servers crashed");
}

#[tokio::test]
async fn others_know() {
    let platform = platform(8, 0, 0).await;
    let first = crash_all(&platform, 1).await;
    // An instance that starts later reads of it in the table service.
    let later = platform.instance(5_000).await;
    for _ in 0..4 {
        let answer = later.call("GET", "/stock/poison", "yew-key", "").await;
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE, "it is known");
    }
    let crashed = platform.ledgers.iter().filter(|s| s.crashed()).count();
    assert_eq!(crashed, first);
}

#[tokio::test]
async fn cuts_are_none() {
    let platform = platform(2, 0, 0).await;
    let instance = platform.instance(5_000).await;
    platform.ledgers.iter().for_each(|s| s.set_behaviour(Behaviour::DropsResponses));
    for _ in 0..2 * CRASHES_MOST {
        let answer = instance.call("GET", "/stock/innocent", "yew-key", "").await;
        assert_eq!(answer.status, StatusCode::BAD_GATEWAY, "{answer:?}");
    }
    platform.ledgers.iter().for_each(|s| s.set_behaviour(Behaviour::Serves));
    let answer = instance.call("GET", "/stock/innocent", "yew-key", "").await;
    assert_eq!(answer.status, StatusCode::OK, "cut connections are no crashes");
}
