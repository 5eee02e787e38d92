//! Fleet orders: what is declared gets loaded, by one holder of the lease at a time.

mod bed;

use agatestand::engine::EngineOptions;
use agatestand::platform::Control;
use bed::{Bed, eventually, get_json, steady};

async fn bed() -> Bed {
    let engines = [EngineOptions { fenced: true, ..steady(5.0, 1) }, steady(5.0, 1)];
    let mut bed = Bed::new(&engines, &[]).await;
    bed.start(true).await;
    bed.start(true).await;
    bed
}

/// The position of the instance that holds the lease.
async fn holder(bed: &Bed, other_than: Option<usize>) -> Option<usize> {
    for (at, daemon) in bed.daemons.iter().enumerate() {
        let status = match other_than {
            Some(other) if other == at => continue,
            _ => get_json(&daemon.ops, "/status").await,
        };
        if status["fencing"].is_u64() {
            return Some(at);
        }
    }
    None
}

fn numbers(bed: &Bed, engine: usize) -> Vec<u64> {
    bed.engines[engine].orders().iter().map(|o| o.fencing).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn declared_loaded() {
    let bed = bed().await;
    eventually("everything wanted is found", async || {
        let Some(at) = holder(&bed, None).await else { return false };
        let status = get_json(&bed.daemons[at].ops, "/status").await;
        let fleet = status["fleet"].as_array().cloned().unwrap_or_default();
        fleet.len() == 2
            && fleet.iter().all(|e| {
                e["wanted"] == serde_json::json!(["prose@1", "prose:verse@1"])
                    && e["found"].as_array().is_some_and(|f| f.len() == 2)
            })
    })
    .await;
    for engine in &bed.engines {
        let orders = engine.orders();
        assert!(orders.iter().any(|o| o.subject == "prose" && o.version == "1"), "{orders:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn paused_holder() {
    let bed = bed().await;
    eventually("there is a holder", async || holder(&bed, None).await.is_some()).await;
    let first = holder(&bed, None).await.expect("a holder");
    bed.daemons[first].signal("-STOP");
    eventually("another instance takes over", async || holder(&bed, Some(first)).await.is_some())
        .await;
    bed.daemons[first].signal("-CONT");
    eventually("the first one knows that it is no longer the holder", async || {
        get_json(&bed.daemons[first].ops, "/status").await["fencing"].is_null()
    })
    .await;
    let second = holder(&bed, Some(first)).await.expect("a holder");
    let status = get_json(&bed.daemons[second].ops, "/status").await;
    assert!(status["fencing"].as_u64() >= Some(2), "the number has grown");
    for engine in 0..2 {
        let numbers = numbers(&bed, engine);
        assert!(numbers.is_sorted(), "engine {engine}: no order with an old number: {numbers:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn table_down() {
    let bed = bed().await;
    eventually("there is a holder", async || holder(&bed, None).await.is_some()).await;
    bed.platform.control(Control::Outage { on: true });
    eventually("nobody acts on a lease that can not be renewed", async || {
        holder(&bed, None).await.is_none()
    })
    .await;
    bed.platform.control(Control::Outage { on: false });
    eventually("there is a holder again", async || holder(&bed, None).await.is_some()).await;
}
