//! All instances apply an accepted document and never return to an older one. Guards against two concurrent applies
//! that both succeed, and an instance that serves its own older file during an outage of the platform.

mod harness;

use agateroute_storage::Client;
use agateroute_storage::config::{Applied, ConfigStore};
use agateroute_storage::objects::{Objects, S3};
use agateroute_storage::table::{DYNAMO, Table};
use agatestand::platform::Control;
use harness::{Caller, Harness, eventually, get_json, steady};
use serde_json::json;
use std::time::Duration;

fn config_store(harness: &Harness) -> ConfigStore {
    let client = Client::new(Duration::from_millis(500));
    let address = harness.platform_address.to_string();
    let table = Table { adapter: DYNAMO, address: address.clone(), client: client.clone() };
    ConfigStore { table, objects: Objects { adapter: S3, address, client } }
}

async fn version(harness: &Harness, index: usize) -> u64 {
    get_json(&harness.daemons[index].ops, "/status").await["version"].as_u64().unwrap_or(0)
}

async fn wait_for_version(harness: &Harness, expected: u64) {
    for index in 0..harness.daemons.len() {
        eventually(&format!("daemon {index} serves version {expected}"), async || {
            version(harness, index).await == expected
        })
        .await;
    }
}

async fn two_daemons() -> Harness {
    let mut harness = Harness::new(&[steady(5.0, 1)], &[]).await;
    harness.start_daemon(true).await;
    harness.start_daemon(true).await;
    harness
}

#[tokio::test(flavor = "multi_thread")]
async fn applied_on_all_instances() {
    let mut harness = two_daemons().await;
    let store = config_store(&harness);
    let applied = store.apply(&harness.parsed(), 0, "one", "anna", 1).await.expect("the platform");
    assert!(matches!(applied, Applied::Accepted(v) if v.version == 1));
    wait_for_version(&harness, 1).await;
    harness.document["organisations"].as_array_mut().expect("organisations").remove(1);
    store.apply(&harness.parsed(), 1, "two", "anna", 2).await.expect("the platform");
    wait_for_version(&harness, 2).await;
    for daemon in &harness.daemons {
        let removed = Caller::new(&daemon.listen, "box");
        assert_eq!(removed.call("GET", "/v1/models", &[], "").await.status, 401);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_applies() {
    let harness = two_daemons().await;
    let store = config_store(&harness);
    let mut operators = tokio::task::JoinSet::new();
    for i in 0..6 {
        let (store, document) = (store.clone(), harness.parsed());
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
async fn apply_response_lost() {
    let harness = two_daemons().await;
    let store = config_store(&harness);
    harness.platform.control(Control::LoseAnswers { count: 1 });
    let applied =
        store.apply(&harness.parsed(), 0, "one", "anna", 1).await.expect("a known outcome");
    assert!(matches!(applied, Applied::Accepted(v) if v.version == 1));
    let again = store.apply(&harness.parsed(), 0, "one", "anna", 1).await.expect("the platform");
    assert!(matches!(again, Applied::Accepted(v) if v.version == 1), "counted as a new apply");
    let other = store.apply(&harness.parsed(), 0, "two", "bert", 1).await.expect("the platform");
    assert!(matches!(other, Applied::Conflict(v) if v.version == 1 && v.by == "anna"));
}

#[tokio::test(flavor = "multi_thread")]
async fn replaced_in_outage() {
    let mut harness = two_daemons().await;
    let store = config_store(&harness);
    store.apply(&harness.parsed(), 0, "one", "anna", 1).await.expect("the platform");
    wait_for_version(&harness, 1).await;
    // The new instance reads this document from its file, but version 1 is active.
    harness.document["organisations"].as_array_mut().expect("organisations").remove(1);
    harness.platform.control(Control::Outage { on: true });
    harness.daemons.remove(1);
    harness.start_daemon(true).await;
    assert_eq!(version(&harness, 1).await, 1, "the peer's version is used");
    let caller = Caller::new(&harness.daemons[1].listen, "box");
    assert_eq!(caller.call("GET", "/v1/models", &[], "").await.status, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn single_instance_in_outage() {
    let mut harness = Harness::new(&[steady(5.0, 1)], &[]).await;
    harness.platform.control(Control::Outage { on: true });
    let daemon = harness.spawn_daemon("entry-0", true).await;
    harness.daemons.push(daemon);
    let caller = Caller::new(&harness.daemons[0].listen, "yew");
    let response = caller.call("GET", "/v1/models", &[], "").await;
    assert_eq!((response.status.as_u16(), response.outcome()), (503, "not_run"));
    assert_eq!(caller.call("GET", "/readyz", &[], "").await.status, 503);
    harness.platform.control(Control::Outage { on: false });
    harness.wait_until_ready(0).await;
    assert_eq!(caller.call("GET", "/v1/models", &[], "").await.status, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn only_changed_sections_sent() {
    let mut harness = two_daemons().await;
    let organisations: Vec<_> = (0..200)
        .map(|i| {
            json!({"name": format!("organisation-{i:03}"), "models": ["prose"],
                "keys": [{"sha256": agateroute_config::digest::hex_digest(&[i as u8])}]})
        })
        .collect();
    harness.document["organisations"] = json!(organisations);
    let store = config_store(&harness);
    store.apply(&harness.parsed(), 0, "one", "anna", 1).await.expect("the platform");
    wait_for_version(&harness, 1).await;
    let before = harness.platform.counts().object_bytes;
    harness.document["organisations"][7]["share"] = json!(9);
    store.apply(&harness.parsed(), 1, "two", "anna", 2).await.expect("the platform");
    wait_for_version(&harness, 2).await;
    let sent = harness.platform.counts().object_bytes - before;
    let full = harness.document.to_string().len() as u64 * 2;
    assert!(sent * 2 < full, "{sent} bytes for a change, {full} for two full documents");
    let document = harness.parsed();
    assert_eq!(document.organisation("organisation-007").map(|m| m.share), Some(9));
}
