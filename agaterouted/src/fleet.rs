//! Loads the declared models and adapters on engines, under a lease with a fencing number.
//!
//! One instance at a time holds the lease and sends orders. Each order carries the fencing number; for
//! servers that ignore it, a new holder first waits until the longest order of its predecessor has ended.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use agateroute_config::Document;
use agateroute_config::server::{Fencing, Server};
use agateroute_core::lease::{Lease, LeaseEffect, LeaseRow, LeaseTimes};
use agateroute_storage::error::Cause;
use agateroute_storage::table::{Condition, Outcome, Row, Write};
use http::StatusCode;
use http_body_util::{BodyExt, Limited};
use tokio_util::sync::CancellationToken;

use crate::client::client;
use crate::daemon::{Daemon, millis};
use crate::engine::{FleetOrder, LoadedModel, OPENAI, ServerRequest};
use crate::platform::Platform;

/// The partition and the sort key of the row of the lease.
const LEASE_PARTITION: &str = "lease";
const LEASE_SORT: &str = "fleet";
const LEASE_TIMES: LeaseTimes =
    LeaseTimes { lease_ms: 3_000, margin_ms: 1_000, renew_ms: 500, order_timeout_ms: 1_000 };
/// The pause between two checks of the lease and the fleet.
const POLL_PAUSE: Duration = Duration::from_millis(250);
/// The pause after the weight store throttled a request.
const THROTTLED_PAUSE: Duration = Duration::from_secs(1);
/// The size limit of an engine's answer to an order or a read of its loaded models.
const MAX_LIST_BYTES: usize = 256 * 1024;

/// The wanted and loaded models of one engine, as `/status` shows them.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct EngineFleet {
    /// The name of the engine.
    pub server: String,
    /// The models and adapters that should be loaded, as `name@version`.
    pub wanted: Vec<String>,
    /// The models and adapters that are loaded, or `None` if the engine did not answer.
    pub found: Option<Vec<String>>,
}

/// The fleet as the holder of the lease last saw it.
#[derive(Debug, Default)]
pub struct FleetView {
    state: Mutex<(Option<u64>, Vec<EngineFleet>)>,
}

impl FleetView {
    fn lock(&self) -> MutexGuard<'_, (Option<u64>, Vec<EngineFleet>)> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the fencing number if this instance holds the lease, and the state of each engine.
    pub fn get(&self) -> (Option<u64>, Vec<EngineFleet>) {
        self.lock().clone()
    }

    fn set(&self, fencing: Option<u64>, engines: Vec<EngineFleet>) {
        *self.lock() = (fencing, engines);
    }
}

/// Returns the models that an engine should have loaded, and their adapters as `model:adapter`.
fn wanted_models(document: &Document, server: &Server) -> Vec<LoadedModel> {
    let engine = server.engine.iter();
    let models = engine.flat_map(|e| &e.models).filter_map(|m| document.model(m));
    let mut all = Vec::new();
    for model in models {
        all.push(LoadedModel { id: model.name.clone(), version: model.version.clone() });
        let adapters = model.adapters.iter();
        all.extend(adapters.map(|a| LoadedModel {
            id: format!("{}:{}", model.name, a.name),
            version: a.version.clone(),
        }));
    }
    all
}

/// Renews the lease and sends orders while it is held, until cancelled.
pub async fn run(daemon: Arc<Daemon>, cancel: CancellationToken) {
    let Some(platform) = &daemon.platform else { return };
    let mut lease =
        Lease::new(format!("{}/{}", daemon.identity.name, daemon.identity.start), LEASE_TIMES);
    while !cancel.is_cancelled() {
        if let Some(effect) = lease.tick(daemon.now()) {
            run_effect(&daemon, platform, &mut lease, effect).await;
        }
        if daemon.configured() && lease.fencing_token(daemon.now()).is_some() {
            reconcile(&daemon, platform, &mut lease).await;
        } else {
            daemon.fleet.set(None, Vec::new());
        }
        tokio::select! {
            () = cancel.cancelled() => {}
            () = tokio::time::sleep(POLL_PAUSE) => {}
        }
    }
    if let Some(effect) = lease.release(daemon.now()) {
        run_effect(&daemon, platform, &mut lease, effect).await;
    }
}

async fn run_effect(daemon: &Daemon, platform: &Platform, lease: &mut Lease, effect: LeaseEffect) {
    match effect {
        LeaseEffect::Read => match platform.table.get(LEASE_PARTITION, LEASE_SORT).await {
            Ok(row) => {
                let row = row.and_then(|r| serde_json::from_str::<LeaseRow>(&r.value).ok());
                lease.handle_read(daemon.now(), row);
            }
            Err(error) => spdlog::warn!("lease_not_read", kv: { error: }),
        },
        LeaseEffect::Write { row, expected } => {
            let done = write(platform, &row, expected.as_ref()).await;
            lease.handle_write(daemon.now(), done);
            if done == Some(true) && row.renewal == 0 {
                spdlog::info!("lease_acquired", kv: { fencing = row.fencing });
            }
        }
    }
}

/// Writes the row of the lease. Returns `None` if the outcome is unknown.
async fn write(platform: &Platform, row: &LeaseRow, expected: Option<&LeaseRow>) -> Option<bool> {
    let written = Row {
        partition: LEASE_PARTITION.to_owned(),
        sort: LEASE_SORT.to_owned(),
        tag: row.tag(),
        value: serde_json::to_string(row).ok()?,
        expires: 0,
    };
    let tag = expected.map(LeaseRow::tag);
    let condition = tag.as_deref().map_or(Condition::Absent, Condition::Tag);
    match platform.table.transact(&[Write { row: &written, condition }]).await {
        Ok(Outcome::Committed) => Some(true),
        Ok(Outcome::Conflict(_)) => Some(false),
        Err(error) => {
            spdlog::warn!("lease_not_written", kv: { error: });
            None
        }
    }
}

/// Orders the wanted models that are not loaded, one at a time, and renews the lease between two orders.
async fn reconcile(daemon: &Daemon, platform: &Platform, lease: &mut Lease) {
    let config = daemon.config();
    let document = &config.document;
    let mut view = Vec::new();
    for server in document.servers.iter().filter(|s| s.engine.is_some()) {
        let wanted = wanted_models(document, server);
        let found = read_loaded(daemon, server).await;
        for missing in wanted.iter().filter(|w| found.as_ref().is_some_and(|f| !f.contains(w))) {
            if let Some(effect) = lease.tick(daemon.now()) {
                run_effect(daemon, platform, lease, effect).await;
            }
            let now = daemon.now();
            let number = match server.fencing {
                Fencing::Refuses => lease.fencing_token(now),
                Fencing::Ignores => lease.exclusive_token(now),
            };
            let Some(fencing) = number else { break };
            if !weights_ready(platform, missing).await {
                break;
            }
            send_order(daemon, server, fencing, missing).await;
        }
        view.push(EngineFleet {
            server: server.name.clone(),
            wanted: wanted.iter().map(LoadedModel::to_string).collect(),
            found: found.map(|f| f.iter().map(LoadedModel::to_string).collect()),
        });
    }
    daemon.fleet.set(lease.fencing_token(daemon.now()), view);
}

/// Whether the weight store has the manifest of a version and does not throttle reads now.
async fn weights_ready(platform: &Platform, wanted: &LoadedModel) -> bool {
    let Some(weights) = &platform.weights else { return true };
    let model = wanted.id.replace(':', "/");
    match weights.manifest(&model, &wanted.version).await {
        Ok(_) => true,
        Err(error) => {
            if error.cause == Cause::Throttled {
                tokio::time::sleep(THROTTLED_PAUSE).await;
            }
            spdlog::warn!("weights_not_ready", kv: { error: });
            false
        }
    }
}

async fn send(daemon: &Daemon, request: ServerRequest) -> Option<(StatusCode, bytes::Bytes)> {
    let connect = millis(daemon.config().document.routing.connect_ms);
    let answer = client(connect).request(request);
    let answer =
        tokio::time::timeout(millis(LEASE_TIMES.order_timeout_ms), answer).await.ok()?.ok()?;
    let status = answer.status();
    let body = Limited::new(answer.into_body(), MAX_LIST_BYTES).collect().await.ok()?;
    Some((status, body.to_bytes()))
}

async fn read_loaded(daemon: &Daemon, server: &Server) -> Option<Vec<LoadedModel>> {
    let (status, body) = send(daemon, (OPENAI.loaded)(&server.address)).await?;
    if status != StatusCode::OK {
        return None;
    }
    (OPENAI.decode_loaded)(&body).ok()
}

async fn send_order(daemon: &Daemon, server: &Server, fencing: u64, missing: &LoadedModel) {
    let order = FleetOrder { fencing, action: "load", subject: missing };
    let answer = send(daemon, (OPENAI.order)(&server.address, &order)).await;
    let status = answer.map_or(0, |(status, _)| status.as_u16());
    spdlog::info!("order_sent", kv: {
        server: = server.name.as_str(),
        subject: = missing.to_string(),
        fencing,
        status,
    });
}
