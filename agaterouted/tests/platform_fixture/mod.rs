//! A stand-in of the platform with backend servers, and instances on it.
#![allow(dead_code, reason = "each test file uses its part")]

use agateroute_standin::{self as standin, Server, Store};
use agatestand::instance::{Instance, Launch, eventually};
use http::StatusCode;
use tokio_util::sync::CancellationToken;

/// A platform and its backend servers.
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

/// A platform with some plain servers and some model servers.
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
    /// Starts an instance and waits until it is ready.
    pub async fn start_instance(&self, revoke_ms: u64) -> Instance {
        let instance = self.spawn_instance(revoke_ms).await;
        eventually("it is ready", async || instance.ready().await == StatusCode::OK).await;
        instance
    }

    /// Starts an instance.
    pub async fn spawn_instance(&self, revoke_ms: u64) -> Instance {
        let launch = Launch::new(env!("CARGO_BIN_EXE_agaterouted"), self.store.address, revoke_ms);
        Instance::start(launch).await.expect("the instance starts")
    }
}
