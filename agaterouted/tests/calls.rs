//! Calls that may not be repeated run at most once, whatever fails.

mod bed;

use agatestand::platform;
use agatestand::service::{Control, ServiceOptions};
use bed::{Bed, Caller, StreamEnd, eventually, eventually_some, steady};

async fn two_daemons() -> Bed {
    let services = [ServiceOptions::default(), ServiceOptions::default()];
    let mut bed = Bed::new(&[steady(10.0, 1)], &services).await;
    bed.start(true).await;
    bed.start(true).await;
    bed
}

/// How often a key of an organisation was executed on all services together.
fn executions(bed: &Bed, organisation: &str, key: &str) -> u64 {
    let wanted = format!("{organisation}/{key}");
    let all = bed.services.iter().flat_map(agatestand::service::Service::executions);
    all.filter(|e| e.key == wanted).map(|e| e.count).sum()
}

#[tokio::test(flavor = "multi_thread")]
async fn needs_key() {
    let bed = two_daemons().await;
    let caller = Caller::new(&bed.daemons[0].listen, "yew");
    let answer = caller.call("POST", "/v1/services/orders/orders", &[], "{}").await;
    assert_eq!(answer.status, 400);
    assert_eq!(answer.outcome(), "not_run");
}

#[tokio::test(flavor = "multi_thread")]
async fn repeat_replayed() {
    let bed = two_daemons().await;
    let first = Caller::new(&bed.daemons[0].listen, "yew").order("a", "wire").await;
    assert_eq!(first.status, 200, "{first:?}");
    for daemon in &bed.daemons {
        let again = Caller::new(&daemon.listen, "yew").order("a", "wire").await;
        assert_eq!(again.status, 200);
        assert_eq!(again.body, first.body);
        assert_eq!(again.headers["idempotent-replayed"], "true");
    }
    assert_eq!(executions(&bed, "yew", "a"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn other_body() {
    let bed = two_daemons().await;
    let caller = Caller::new(&bed.daemons[0].listen, "yew");
    assert_eq!(caller.order("a", "wire").await.status, 200);
    let other = caller.order("a", "another wire").await;
    assert_eq!(other.status, 422);
    assert_eq!(other.outcome(), "not_run");
    let competitor = Caller::new(&bed.daemons[1].listen, "box").order("a", "wire").await;
    assert_eq!(competitor.status, 200, "keys of organisations are apart");
    assert_eq!(executions(&bed, "yew", "a"), 1);
    assert_eq!(executions(&bed, "box", "a"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn racing_repeats() {
    let bed = two_daemons().await;
    let mut callers = tokio::task::JoinSet::new();
    for i in 0..12 {
        let caller = Caller::new(&bed.daemons[i % 2].listen, "yew");
        callers.spawn(async move { caller.order("a", "wire").await });
    }
    for answer in callers.join_all().await {
        assert_eq!(answer.status, 200, "{answer:?}");
    }
    assert_eq!(executions(&bed, "yew", "a"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_claim() {
    let bed = two_daemons().await;
    let caller = Caller::new(&bed.daemons[0].listen, "yew");
    bed.platform.control(platform::Control::LoseAnswers { count: 1 });
    let answer = caller.order("a", "wire").await;
    let again = caller.order("a", "wire").await;
    assert_eq!(again.status, 200, "{again:?}");
    if answer.outcome() == "not_run" {
        assert!(!again.headers.contains_key("idempotent-replayed"), "it was not run");
    }
    assert_eq!(executions(&bed, "yew", "a"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_answer() {
    let bed = two_daemons().await;
    for service in &bed.services {
        service.control(&Control::LoseAnswers { count: 1 });
    }
    let caller = Caller::new(&bed.daemons[0].listen, "yew");
    let answer = caller.order("a", "wire").await;
    assert_eq!(answer.status, 504, "{answer:?}");
    assert_eq!(answer.outcome(), "unknown");
    for daemon in &bed.daemons {
        let again = Caller::new(&daemon.listen, "yew").order("a", "wire").await;
        assert_eq!(again.outcome(), "unknown", "{again:?}");
    }
    assert_eq!(executions(&bed, "yew", "a"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn holder_killed() {
    let mut bed = two_daemons().await;
    for service in &bed.services {
        service.control(&Control::Slow { ms: 1_000 });
    }
    let caller = Caller::new(&bed.daemons[0].listen, "yew");
    let pending = tokio::spawn(async move { caller.order("a", "wire").await });
    eventually("the call is sent", async || {
        let mut running = 0;
        for link in &bed.service_links {
            running += bed::get_json(&link.address.to_string(), "/load").await["running"]
                .as_u64()
                .unwrap_or(0);
        }
        running > 0
    })
    .await;
    bed.daemons[0].kill();
    assert!(pending.await.is_err(), "the connection of the caller is gone");
    let caller = Caller::new(&bed.daemons[1].listen, "yew");
    let again = caller.order("a", "wire").await;
    assert_eq!(again.outcome(), "unknown", "{again:?}");
    eventually("the call was executed", async || executions(&bed, "yew", "a") > 0).await;
    assert_eq!(executions(&bed, "yew", "a"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn table_down() {
    let bed = two_daemons().await;
    bed.platform.control(platform::Control::Outage { on: true });
    let caller = Caller::new(&bed.daemons[0].listen, "yew");
    let refused = caller.order("a", "wire").await;
    assert_eq!(refused.status, 503, "{refused:?}");
    assert_eq!(refused.outcome(), "not_run");
    let lookup = caller.call("GET", "/v1/services/orders/stock/1", &[], "").await;
    assert_eq!(lookup.status, 200, "repeatable calls go on");
    let mut stream = caller.generate("a draft", 20).await;
    assert_eq!(stream.finish().await, StreamEnd::Whole, "generations go on");
    assert_eq!(executions(&bed, "yew", "a"), 0, "not run means not run");
    bed.platform.control(platform::Control::Outage { on: false });
    eventually("the call runs after the outage", async || {
        caller.order("a", "wire").await.status == 200
    })
    .await;
    assert_eq!(executions(&bed, "yew", "a"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn holder_paused() {
    let bed = two_daemons().await;
    for service in &bed.services {
        service.control(&Control::Slow { ms: 300 });
    }
    let caller = Caller::new(&bed.daemons[0].listen, "yew");
    let pending = tokio::spawn(async move { caller.order("a", "wire").await });
    eventually("the key is claimed", async || bed.platform.rows("calls-") > 0).await;
    bed.daemons[0].signal("-STOP");
    let other = Caller::new(&bed.daemons[1].listen, "yew");
    let again = other.order("a", "wire").await;
    assert!(again.status == 409 || again.status == 504, "{again:?}");
    assert_eq!(again.outcome(), "unknown");
    bed.daemons[0].signal("-CONT");
    let first = pending.await.expect("the caller");
    // How long the pause was decides which of these the caller is told; each has to be true.
    match (first.status.as_u16(), first.outcome()) {
        (200, _) => {
            assert_eq!(executions(&bed, "yew", "a"), 1);
            let last = eventually_some("the answer is recorded", async || {
                let answer = other.order("a", "wire").await;
                (answer.status == 200).then_some(answer)
            })
            .await;
            assert_eq!(last.body, first.body, "the answer is replayed");
        }
        (_, "not_run") => {
            assert_eq!(executions(&bed, "yew", "a"), 0, "nothing was sent");
            eventually("the key is free", async || other.order("a", "wire").await.status == 200)
                .await;
        }
        (504, "unknown") => {
            eventually("unknown is recorded", async || {
                other.order("a", "wire").await.status == 504
            })
            .await;
        }
        _ => panic!("{first:?}"),
    }
    assert!(executions(&bed, "yew", "a") <= 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_then_killed() {
    // The claim's answer is lost and its holder dies before it can tell: two failures together.
    let mut bed = two_daemons().await;
    bed.platform.control(platform::Control::LoseAnswers { count: 100 });
    let caller = Caller::new(&bed.daemons[0].listen, "yew");
    let pending = tokio::spawn(async move { caller.order("a", "wire").await });
    eventually("the key is claimed", async || bed.platform.rows("calls-") > 0).await;
    bed.daemons[0].kill();
    let _ = pending.await;
    bed.platform.control(platform::Control::LoseAnswers { count: 0 });
    let other = Caller::new(&bed.daemons[1].listen, "yew");
    let again = other.order("a", "wire").await;
    assert_ne!(again.outcome(), "not_run", "nobody can say that: {again:?}");
    assert!(executions(&bed, "yew", "a") <= 1);
}
