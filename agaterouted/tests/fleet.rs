//! The holder of the lease loads declared models onto engines. Guards against two instances that give orders at
//! once: a paused holder that goes on after its lease has expired, or one that can't renew it.

mod harness;

use agatestand::engine::EngineOptions;
use agatestand::platform::Control;
use harness::{Harness, eventually, get_json, steady};

async fn two_daemons() -> Harness {
    let engines = [EngineOptions { fenced: true, ..steady(5.0, 1) }, steady(5.0, 1)];
    let mut harness = Harness::new(&engines, &[]).await;
    harness.start_daemon(true).await;
    harness.start_daemon(true).await;
    harness
}

/// The index of the daemon that holds the lease.
async fn holder(harness: &Harness, other_than: Option<usize>) -> Option<usize> {
    for (index, daemon) in harness.daemons.iter().enumerate() {
        let status = match other_than {
            Some(other) if other == index => continue,
            _ => get_json(&daemon.ops, "/status").await,
        };
        if status["fencing"].is_u64() {
            return Some(index);
        }
    }
    None
}

fn fencing_numbers(harness: &Harness, engine: usize) -> Vec<u64> {
    harness.engines[engine].orders().iter().map(|o| o.fencing).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn declared_models_loaded() {
    let harness = two_daemons().await;
    eventually("all declared models are loaded", async || {
        let Some(index) = holder(&harness, None).await else { return false };
        let status = get_json(&harness.daemons[index].ops, "/status").await;
        let fleet = status["fleet"].as_array().cloned().unwrap_or_default();
        fleet.len() == 2
            && fleet.iter().all(|e| {
                e["wanted"] == serde_json::json!(["prose@1", "prose:verse@1"])
                    && e["found"].as_array().is_some_and(|f| f.len() == 2)
            })
    })
    .await;
    for engine in &harness.engines {
        let orders = engine.orders();
        assert!(orders.iter().any(|o| o.subject == "prose" && o.version == "1"), "{orders:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn paused_holder() {
    let harness = two_daemons().await;
    eventually("a daemon holds the lease", async || holder(&harness, None).await.is_some()).await;
    let first = holder(&harness, None).await.expect("a holder");
    harness.daemons[first].signal("-STOP");
    eventually("another holds the lease", async || holder(&harness, Some(first)).await.is_some())
        .await;
    harness.daemons[first].signal("-CONT");
    eventually("the paused daemon knows that it lost the lease", async || {
        get_json(&harness.daemons[first].ops, "/status").await["fencing"].is_null()
    })
    .await;
    let second = holder(&harness, Some(first)).await.expect("a holder");
    let status = get_json(&harness.daemons[second].ops, "/status").await;
    assert!(status["fencing"].as_u64() >= Some(2), "the fencing number has not grown");
    for engine in 0..2 {
        let numbers = fencing_numbers(&harness, engine);
        assert!(numbers.is_sorted(), "engine {engine}: an old fencing number: {numbers:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn table_outage() {
    let harness = two_daemons().await;
    eventually("a daemon holds the lease", async || holder(&harness, None).await.is_some()).await;
    harness.platform.control(Control::Outage { on: true });
    eventually("the lease that can't be renewed is given up", async || {
        holder(&harness, None).await.is_none()
    })
    .await;
    harness.platform.control(Control::Outage { on: false });
    eventually("the lease is held again", async || holder(&harness, None).await.is_some()).await;
}
