//! Fixture for tests of routes: a stand-in of the platform, its backend servers, and real instances on it.
#![allow(dead_code, reason = "each test file uses only a part of the fixture")]

use agateroute_standin::{self as standin, Server, Store};
use agatestand::instance::{Instance, Launch, eventually};
use http::StatusCode;
use tokio_util::sync::CancellationToken;

/// A table service and the backend servers listed in it. Dropping it stops all of them.
pub struct TestPlatform {
    pub store: Store,
    pub plain: Vec<Server>,
    pub engines: Vec<Server>,
    pub cancel: CancellationToken,
}

impl Drop for TestPlatform {
    fn drop(&mut self) {
        self.cancel.cancel();
    }
}

/// Starts plain servers (`ledger-0`, ...) and model servers (`writer-0`, ...). A generation has `events` events.
pub async fn start_platform(plain: usize, engines: usize, events: u64) -> TestPlatform {
    let cancel = CancellationToken::new();
    let store = Store::start(cancel.clone()).await;
    standin::publish(&store, 1, true);
    let mut all = TestPlatform { store, plain: Vec::new(), engines: Vec::new(), cancel };
    for i in 0..plain {
        let name = format!("ledger-{i}");
        all.plain.push(Server::start(&all.store, &name, "ledger", 0, &all.cancel).await);
    }
    for i in 0..engines {
        let name = format!("writer-{i}");
        let server = Server::start(&all.store, &name, "writers", events, &all.cancel);
        all.engines.push(server.await);
    }
    all
}

impl TestPlatform {
    /// Starts an instance and waits until it is ready. It may accept a withdrawn key for `revoke_ms`.
    pub async fn start_instance(&self, revoke_ms: u64) -> Instance {
        let instance = self.spawn_instance(revoke_ms).await;
        eventually("the instance is ready", async || instance.ready().await == StatusCode::OK)
            .await;
        instance
    }

    /// Starts an instance without waiting for its readiness.
    pub async fn spawn_instance(&self, revoke_ms: u64) -> Instance {
        let launch = Launch::new(env!("CARGO_BIN_EXE_agaterouted"), self.store.address, revoke_ms);
        Instance::start(launch).await.expect("the instance starts")
    }
}
