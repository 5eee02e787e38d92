//! Changed settings files are read on SIGHUP and without a signal. Guards against an instance that stops serving
//! because of a broken file, or that stays with the old table service.

mod platform_fixture;

use agateroute_standin::{self as standin, Store};
use agatestand::instance::{Launch, eventually};
use http::StatusCode;
use platform_fixture::start_platform;
use rustix::process::Signal;

#[tokio::test]
async fn on_signal() {
    let platform = start_platform(1, 0, 0).await;
    let instance = platform.start_instance(5_000).await;
    // A file that can't be parsed changes nothing.
    std::fs::write(instance.launch.settings_file(), "Node = ").expect("the file is written");
    instance.signal(Signal::HUP);
    eventually("the error is logged", async || instance.logged("event=settings_not_reloaded"))
        .await;
    assert_eq!(instance.call("POST", "/order/", "yew-key", "").await.status, StatusCode::OK);
    // The table service moves to another address.
    let store = Store::start(platform.cancel.clone()).await;
    standin::publish(&store, 2, false);
    platform.plain[0].list_ready(&store);
    let launch = Launch { store: store.address, ..instance.launch.clone() };
    launch.write_settings().expect("the file is written");
    instance.signal(Signal::HUP);
    eventually("the new table service is read", async || {
        instance.call("POST", "/order/", "yew-key", "").await.status == StatusCode::UNAUTHORIZED
    })
    .await;
    assert_eq!(instance.call("POST", "/order/", "box-key", "").await.status, StatusCode::OK);
}

#[tokio::test]
async fn without_signal() {
    let platform = start_platform(1, 0, 0).await;
    let instance = platform.start_instance(5_000).await;
    let launch = Launch { revoke_ms: 4_000, ..instance.launch.clone() };
    launch.write_settings().expect("the file is written");
    eventually("the change is noticed", async || instance.logged("event=settings_reloaded")).await;
    assert_eq!(instance.call("POST", "/order/", "yew-key", "").await.status, StatusCode::OK);
}
