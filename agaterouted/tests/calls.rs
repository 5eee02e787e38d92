//! Calls that must not be repeated are executed at most once, with two daemons and two servers. Guards against a
//! second execution after lost responses, races between daemons, killed or paused daemons and outages of the table
//! service, and against `not_run` for a call that may have been executed.

mod harness;

use agatestand::platform;
use agatestand::service::{Control, ServiceOptions};
use harness::{Caller, Harness, StreamEnd, eventually, eventually_some, steady};

async fn two_daemons() -> Harness {
    let services = [ServiceOptions::default(), ServiceOptions::default()];
    let mut harness = Harness::new(&[steady(10.0, 1)], &services).await;
    harness.start_daemon(true).await;
    harness.start_daemon(true).await;
    harness
}

/// The number of executions of an organisation's key on all servers.
fn executions(harness: &Harness, organisation: &str, key: &str) -> u64 {
    let scoped_key = format!("{organisation}/{key}");
    let all = harness.services.iter().flat_map(agatestand::service::Service::executions);
    all.filter(|e| e.key == scoped_key).map(|e| e.count).sum()
}

#[tokio::test(flavor = "multi_thread")]
async fn key_required() {
    let harness = two_daemons().await;
    let caller = Caller::new(&harness.daemons[0].listen, "yew");
    let response = caller.call("POST", "/v1/services/orders/orders", &[], "{}").await;
    assert_eq!(response.status, 400);
    assert_eq!(response.outcome(), "not_run");
}

#[tokio::test(flavor = "multi_thread")]
async fn repeat_replayed() {
    let harness = two_daemons().await;
    let first = Caller::new(&harness.daemons[0].listen, "yew").order("a", "wire").await;
    assert_eq!(first.status, 200, "{first:?}");
    for daemon in &harness.daemons {
        let again = Caller::new(&daemon.listen, "yew").order("a", "wire").await;
        assert_eq!(again.status, 200);
        assert_eq!(again.body, first.body);
        assert_eq!(again.headers["idempotent-replayed"], "true");
    }
    assert_eq!(executions(&harness, "yew", "a"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn key_reused_for_other_body() {
    let harness = two_daemons().await;
    let caller = Caller::new(&harness.daemons[0].listen, "yew");
    assert_eq!(caller.order("a", "wire").await.status, 200);
    let other = caller.order("a", "another wire").await;
    assert_eq!(other.status, 422);
    assert_eq!(other.outcome(), "not_run");
    let competitor = Caller::new(&harness.daemons[1].listen, "box").order("a", "wire").await;
    assert_eq!(competitor.status, 200, "organisations share keys");
    assert_eq!(executions(&harness, "yew", "a"), 1);
    assert_eq!(executions(&harness, "box", "a"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_repeats() {
    let harness = two_daemons().await;
    let mut callers = tokio::task::JoinSet::new();
    for i in 0..12 {
        let caller = Caller::new(&harness.daemons[i % 2].listen, "yew");
        callers.spawn(async move { caller.order("a", "wire").await });
    }
    for response in callers.join_all().await {
        assert_eq!(response.status, 200, "{response:?}");
    }
    assert_eq!(executions(&harness, "yew", "a"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn claim_response_lost() {
    let harness = two_daemons().await;
    let caller = Caller::new(&harness.daemons[0].listen, "yew");
    harness.platform.control(platform::Control::LoseAnswers { count: 1 });
    let response = caller.order("a", "wire").await;
    let again = caller.order("a", "wire").await;
    assert_eq!(again.status, 200, "{again:?}");
    if response.outcome() == "not_run" {
        assert!(!again.headers.contains_key("idempotent-replayed"), "replayed, but not run");
    }
    assert_eq!(executions(&harness, "yew", "a"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn server_response_lost() {
    let harness = two_daemons().await;
    for service in &harness.services {
        service.control(&Control::LoseAnswers { count: 1 });
    }
    let caller = Caller::new(&harness.daemons[0].listen, "yew");
    let response = caller.order("a", "wire").await;
    assert_eq!(response.status, 504, "{response:?}");
    assert_eq!(response.outcome(), "unknown");
    for daemon in &harness.daemons {
        let again = Caller::new(&daemon.listen, "yew").order("a", "wire").await;
        assert_eq!(again.outcome(), "unknown", "{again:?}");
    }
    assert_eq!(executions(&harness, "yew", "a"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn holder_killed() {
    let mut harness = two_daemons().await;
    for service in &harness.services {
        service.control(&Control::Slow { ms: 1_000 });
    }
    let caller = Caller::new(&harness.daemons[0].listen, "yew");
    let pending = tokio::spawn(async move { caller.order("a", "wire").await });
    eventually("a server executes the call", async || {
        let mut running = 0;
        for link in &harness.service_proxies {
            running += harness::get_json(&link.address.to_string(), "/load").await["running"]
                .as_u64()
                .unwrap_or(0);
        }
        running > 0
    })
    .await;
    harness.daemons[0].kill();
    assert!(pending.await.is_err(), "the caller got a response from a killed daemon");
    let caller = Caller::new(&harness.daemons[1].listen, "yew");
    let again = caller.order("a", "wire").await;
    assert_eq!(again.outcome(), "unknown", "{again:?}");
    eventually("the call was executed", async || executions(&harness, "yew", "a") > 0).await;
    assert_eq!(executions(&harness, "yew", "a"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn table_outage() {
    let harness = two_daemons().await;
    harness.platform.control(platform::Control::Outage { on: true });
    let caller = Caller::new(&harness.daemons[0].listen, "yew");
    let refused = caller.order("a", "wire").await;
    assert_eq!(refused.status, 503, "{refused:?}");
    assert_eq!(refused.outcome(), "not_run");
    let lookup = caller.call("GET", "/v1/services/orders/stock/1", &[], "").await;
    assert_eq!(lookup.status, 200, "repeatable calls are served");
    let mut stream = caller.generate("a draft", 20).await;
    assert_eq!(stream.finish().await, StreamEnd::Complete, "generations are served");
    assert_eq!(executions(&harness, "yew", "a"), 0, "not run, but executed");
    harness.platform.control(platform::Control::Outage { on: false });
    eventually("the call is executed after the outage", async || {
        caller.order("a", "wire").await.status == 200
    })
    .await;
    assert_eq!(executions(&harness, "yew", "a"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn holder_paused() {
    let harness = two_daemons().await;
    for service in &harness.services {
        service.control(&Control::Slow { ms: 300 });
    }
    let caller = Caller::new(&harness.daemons[0].listen, "yew");
    let pending = tokio::spawn(async move { caller.order("a", "wire").await });
    eventually("the key is claimed", async || harness.platform.rows("calls-") > 0).await;
    harness.daemons[0].signal("-STOP");
    let other = Caller::new(&harness.daemons[1].listen, "yew");
    let again = other.order("a", "wire").await;
    assert!(again.status == 409 || again.status == 504, "{again:?}");
    assert_eq!(again.outcome(), "unknown");
    harness.daemons[0].signal("-CONT");
    let first = pending.await.expect("the caller");
    // Which of these the caller gets depends on the length of the pause; each must match what was executed.
    match (first.status.as_u16(), first.outcome()) {
        (200, _) => {
            assert_eq!(executions(&harness, "yew", "a"), 1);
            let last = eventually_some("the response is recorded", async || {
                let response = other.order("a", "wire").await;
                (response.status == 200).then_some(response)
            })
            .await;
            assert_eq!(last.body, first.body, "another response is replayed");
        }
        (_, "not_run") => {
            assert_eq!(executions(&harness, "yew", "a"), 0, "not run, but executed");
            eventually("the key is free", async || other.order("a", "wire").await.status == 200)
                .await;
        }
        (504, "unknown") => {
            eventually("the unknown outcome is recorded", async || {
                other.order("a", "wire").await.status == 504
            })
            .await;
        }
        _ => panic!("{first:?}"),
    }
    assert!(executions(&harness, "yew", "a") <= 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn claim_lost_then_killed() {
    // The response to the claim is lost, and the daemon is killed before it can find out whether it got the claim.
    let mut harness = two_daemons().await;
    harness.platform.control(platform::Control::LoseAnswers { count: 100 });
    let caller = Caller::new(&harness.daemons[0].listen, "yew");
    let pending = tokio::spawn(async move { caller.order("a", "wire").await });
    eventually("the key is claimed", async || harness.platform.rows("calls-") > 0).await;
    harness.daemons[0].kill();
    let _ = pending.await;
    harness.platform.control(platform::Control::LoseAnswers { count: 0 });
    let other = Caller::new(&harness.daemons[1].listen, "yew");
    let again = other.order("a", "wire").await;
    assert_ne!(again.outcome(), "not_run", "the call may have run: {again:?}");
    assert!(executions(&harness, "yew", "a") <= 1);
}
