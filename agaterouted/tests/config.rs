//! The configuration comes into force everywhere and never goes back.

mod bed;

use agateroute_storage::Client;
use agateroute_storage::config::{Applied, ConfigStore};
use agateroute_storage::objects::{Objects, S3};
use agateroute_storage::table::{DYNAMO, Table};
use agatestand::platform::Control;
use bed::{Bed, Caller, eventually, get_json, steady};
use serde_json::json;
use std::time::Duration;

fn store(bed: &Bed) -> ConfigStore {
    let client = Client::new(Duration::from_millis(500));
    let address = bed.platform_address.to_string();
    let table = Table { adapter: DYNAMO, address: address.clone(), client: client.clone() };
    ConfigStore { table, objects: Objects { adapter: S3, address, client } }
}

async fn version(bed: &Bed, at: usize) -> u64 {
    get_json(&bed.daemons[at].ops, "/status").await["version"].as_u64().unwrap_or(0)
}

async fn in_force(bed: &Bed, expected: u64) {
    for at in 0..bed.daemons.len() {
        eventually(&format!("version {expected} is in force at {at}"), async || {
            version(bed, at).await == expected
        })
        .await;
    }
}

async fn two_daemons() -> Bed {
    let mut bed = Bed::new(&[steady(5.0, 1)], &[]).await;
    bed.start(true).await;
    bed.start(true).await;
    bed
}

#[tokio::test(flavor = "multi_thread")]
async fn applied_everywhere() {
    let mut bed = two_daemons().await;
    let store = store(&bed);
    let applied = store.apply(&bed.parsed(), 0, "one", "anna", 1).await.expect("the platform");
    assert!(matches!(applied, Applied::Accepted(v) if v.version == 1));
    in_force(&bed, 1).await;
    bed.document["organisations"].as_array_mut().expect("organisations").remove(1);
    store.apply(&bed.parsed(), 1, "two", "anna", 2).await.expect("the platform");
    in_force(&bed, 2).await;
    for daemon in &bed.daemons {
        let removed = Caller::new(&daemon.listen, "box");
        assert_eq!(removed.call("GET", "/v1/models", &[], "").await.status, 401);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn racing_operators() {
    let bed = two_daemons().await;
    let store = store(&bed);
    let mut operators = tokio::task::JoinSet::new();
    for i in 0..6 {
        let (store, document) = (store.clone(), bed.parsed());
        operators.spawn(async move {
            let apply = format!("apply-{i}");
            store.apply(&document, 0, &apply, "racer", 1).await.expect("the platform")
        });
    }
    let results = operators.join_all().await;
    let accepted = results.iter().filter(|r| matches!(r, Applied::Accepted(_))).count();
    assert_eq!(accepted, 1, "{results:?}");
    assert_eq!(store.history(0, 10).await.expect("the history").len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_apply() {
    let bed = two_daemons().await;
    let store = store(&bed);
    bed.platform.control(Control::LoseAnswers { count: 1 });
    let applied = store.apply(&bed.parsed(), 0, "one", "anna", 1).await.expect("it is settled");
    assert!(matches!(applied, Applied::Accepted(v) if v.version == 1));
    let again = store.apply(&bed.parsed(), 0, "one", "anna", 1).await.expect("the platform");
    assert!(matches!(again, Applied::Accepted(v) if v.version == 1), "the same apply");
    let other = store.apply(&bed.parsed(), 0, "two", "bert", 1).await.expect("the platform");
    assert!(matches!(other, Applied::Conflict(v) if v.version == 1 && v.by == "anna"));
}

#[tokio::test(flavor = "multi_thread")]
async fn replaced_in_outage() {
    let mut bed = two_daemons().await;
    let store = store(&bed);
    store.apply(&bed.parsed(), 0, "one", "anna", 1).await.expect("the platform");
    in_force(&bed, 1).await;
    // The file of a replaced instance is older than what is in force.
    bed.document["organisations"].as_array_mut().expect("organisations").remove(1);
    bed.platform.control(Control::Outage { on: true });
    bed.daemons.remove(1);
    bed.start(true).await;
    assert_eq!(version(&bed, 1).await, 1, "it is fed by its peer");
    let caller = Caller::new(&bed.daemons[1].listen, "box");
    assert_eq!(caller.call("GET", "/v1/models", &[], "").await.status, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn alone_in_outage() {
    let mut bed = Bed::new(&[steady(5.0, 1)], &[]).await;
    bed.platform.control(Control::Outage { on: true });
    let daemon = bed.spawn("entry-0", true).await;
    bed.daemons.push(daemon);
    let caller = Caller::new(&bed.daemons[0].listen, "yew");
    let answer = caller.call("GET", "/v1/models", &[], "").await;
    assert_eq!((answer.status.as_u16(), answer.outcome()), (503, "not_run"));
    assert_eq!(caller.call("GET", "/readyz", &[], "").await.status, 503);
    bed.platform.control(Control::Outage { on: false });
    bed.wait_ready(0).await;
    assert_eq!(caller.call("GET", "/v1/models", &[], "").await.status, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn sections_travel() {
    let mut bed = two_daemons().await;
    let organisations: Vec<_> = (0..200)
        .map(|i| {
            json!({"name": format!("organisation-{i:03}"), "models": ["prose"],
                "keys": [{"sha256": agateroute_config::digest::hex_digest(&[i as u8])}]})
        })
        .collect();
    bed.document["organisations"] = json!(organisations);
    let store = store(&bed);
    store.apply(&bed.parsed(), 0, "one", "anna", 1).await.expect("the platform");
    in_force(&bed, 1).await;
    let before = bed.platform.counts().object_bytes;
    bed.document["organisations"][7]["share"] = json!(9);
    store.apply(&bed.parsed(), 1, "two", "anna", 2).await.expect("the platform");
    in_force(&bed, 2).await;
    let moved = bed.platform.counts().object_bytes - before;
    let whole = bed.document.to_string().len() as u64 * 2;
    assert!(moved * 2 < whole, "{moved} bytes for a change, {whole} for two whole documents");
    let document = bed.parsed();
    assert_eq!(document.organisation("organisation-007").map(|m| m.share), Some(9));
}
