//! Instances that keep up by what their peers have read.

mod platform_fixture;

use agateroute_standin as standin;
use agateroute_standin::store::StoreFault;
use agatestand::fault::{FaultProxy, Faults};
use agatestand::instance::{Instance, Launch, eventually};
use http::StatusCode;
use platform_fixture::start_platform;

/// More instances than those that each read for themselves.
const LARGE_FLEET_SIZE: usize = 7;

async fn post(instance: &Instance, key: &str) -> StatusCode {
    instance.call("POST", "/order/", key, "").await.status
}

#[tokio::test]
async fn instance_cut_off_from_store() {
    let platform = start_platform(1, 0, 0).await;
    let _reader = platform.start_instance(5_000).await;
    let link = FaultProxy::start(platform.store.address, platform.cancel.clone()).await;
    let link = link.expect("a proxy");
    let launch = Launch::new(env!("CARGO_BIN_EXE_agaterouted"), link.address, 5_000);
    let cut = Instance::start(launch).await.expect("the instance starts");
    eventually("they are linked", async || cut.logged("event=peer_linked")).await;
    eventually("it is ready", async || cut.ready().await == StatusCode::OK).await;
    link.set(Faults { cut: true, ..Faults::default() });
    eventually("it notices", async || cut.logged("event=dependency_lost")).await;
    standin::publish(&platform.store, 2, false);
    eventually("the withdrawn key is refused", async || {
        post(&cut, "yew-key").await == StatusCode::UNAUTHORIZED
    })
    .await;
    eventually("the other one is served", async || post(&cut, "box-key").await == StatusCode::OK)
        .await;
    // It can not have read that itself.
    assert!(!cut.logged("event=dependency_regained"));
}

#[tokio::test]
async fn larger_fleet() {
    let platform = start_platform(2, 0, 0).await;
    let mut all = Vec::new();
    for _ in 0..LARGE_FLEET_SIZE {
        all.push(platform.start_instance(5_000).await);
    }
    let linked = |i: &Instance| {
        i.lines().iter().filter(|l| l.contains("event=peer_linked")).count() >= LARGE_FLEET_SIZE - 1
    };
    eventually("all are linked", async || all.iter().all(linked)).await;
    standin::publish(&platform.store, 2, false);
    for instance in &all {
        eventually("the withdrawn key is refused", async || {
            post(instance, "yew-key").await == StatusCode::UNAUTHORIZED
        })
        .await;
    }
    platform.plain[0].list_draining(&platform.store);
    for instance in &all {
        eventually("it knows the list without the server", async || {
            let newest = instance.find("event=servers_in_force");
            newest.is_some_and(|l| l.contains("servers=1"))
        })
        .await;
    }
    platform.store.set_fault(StoreFault::Overloaded);
    for instance in &all {
        eventually("nobody knows what was withdrawn since", async || {
            post(instance, "box-key").await == StatusCode::SERVICE_UNAVAILABLE
        })
        .await;
    }
    platform.store.set_fault(StoreFault::None);
    for instance in &all {
        eventually("it serves again", async || post(instance, "box-key").await == StatusCode::OK)
            .await;
    }
}
