//! Instances take documents and server lists from peers that read the table service. Guards against withdrawn keys
//! served by an instance that can't read itself, and changes missed in a fleet where only some read.

mod platform_fixture;

use agateroute_proto::peers::FetchRequest;
use agateroute_standin as standin;
use agateroute_standin::store::StoreFault;
use agaterouted::snapshot::Snapshot;
use agatestand::fault::{FaultProxy, Faults};
use agatestand::instance::{Instance, Launch, eventually};
use http::StatusCode;
use platform_fixture::start_platform;

/// More instances than the number that read the table service themselves.
const LARGE_FLEET_SIZE: usize = 7;

async fn post(instance: &Instance, key: &str) -> StatusCode {
    instance.call("POST", "/order/", key, "").await.status
}

#[tokio::test]
async fn instance_cut_off_from_store() {
    let platform = start_platform(1, 0, 0).await;
    let _reader = platform.start_instance(5_000).await;
    let proxy = FaultProxy::start(platform.store.address, platform.cancel.clone()).await;
    let proxy = proxy.expect("a proxy");
    let launch = Launch::new(env!("CARGO_BIN_EXE_agaterouted"), proxy.address, 5_000);
    let instance = Instance::start(launch).await.expect("the instance starts");
    eventually("the instances are linked", async || instance.logged("event=peer_linked")).await;
    eventually("the instance is ready", async || instance.ready().await == StatusCode::OK).await;
    proxy.set(Faults { cut: true, ..Faults::default() });
    eventually("the instance notices the cut", async || instance.logged("event=dependency_lost"))
        .await;
    standin::publish(&platform.store, 2, false);
    eventually("the withdrawn key is refused", async || {
        post(&instance, "yew-key").await == StatusCode::UNAUTHORIZED
    })
    .await;
    eventually("box-key is served", async || post(&instance, "box-key").await == StatusCode::OK)
        .await;
    // It can't have read the new version itself.
    assert!(!instance.logged("event=dependency_regained"));
}

#[tokio::test]
async fn larger_fleet() {
    let platform = start_platform(2, 0, 0).await;
    let mut instances = Vec::new();
    for _ in 0..LARGE_FLEET_SIZE {
        instances.push(platform.start_instance(5_000).await);
    }
    let linked = |i: &Instance| {
        i.lines().iter().filter(|l| l.contains("event=peer_linked")).count() >= LARGE_FLEET_SIZE - 1
    };
    eventually("all instances are linked", async || instances.iter().all(linked)).await;
    standin::publish(&platform.store, 2, false);
    for instance in &instances {
        eventually("the withdrawn key is refused", async || {
            post(instance, "yew-key").await == StatusCode::UNAUTHORIZED
        })
        .await;
    }
    platform.plain[0].list_draining(&platform.store);
    for instance in &instances {
        eventually("the list without the server is known", async || {
            let newest = instance.find("event=servers_in_force");
            newest.is_some_and(|l| l.contains("servers=1"))
        })
        .await;
    }
    platform.store.set_fault(StoreFault::Overloaded);
    for instance in &instances {
        eventually("box-key can't be verified", async || {
            post(instance, "box-key").await == StatusCode::SERVICE_UNAVAILABLE
        })
        .await;
    }
    platform.store.set_fault(StoreFault::None);
    for instance in &instances {
        eventually("box-key is served", async || post(instance, "box-key").await == StatusCode::OK)
            .await;
    }
}

#[test]
fn largest_era() {
    // A malformed response of the table service may name any number.
    let snapshot = Snapshot::default();
    snapshot.begin_era(u64::MAX);
    let reply = snapshot.reply(&FetchRequest::default(), 0, || Ok(String::new()));
    assert_eq!(reply.expect("a reply").era, u64::MAX);
}
