//! The HTTP interface for operators: metrics, status, health and the daily report.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use agateroute_core::{Id, State};
use http::{HeaderValue, StatusCode, header};
use serde_json::{Value, json};
use xitca_web::http::{WebRequest, WebResponse};

use crate::daemon::Daemon;
use crate::front::text_response;
use crate::generation::json_response;
use crate::report;

/// Serves one request of an operator, by its path.
pub async fn handle(daemon: Arc<Daemon>, request: WebRequest) -> Result<WebResponse, Infallible> {
    Ok(match request.uri().path() {
        "/livez" => text_response(StatusCode::OK, "live\n"),
        "/readyz" if daemon.ready() => text_response(StatusCode::OK, "ready\n"),
        "/readyz" => text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
        "/metrics" => metrics(&daemon),
        "/report" => report_page(&daemon, request.uri().query()).await,
        "/status" => json_response(&status(&daemon)),
        path => text_response(StatusCode::NOT_FOUND, format!("path {path:?} does not exist\n")),
    })
}

fn metrics(daemon: &Daemon) -> WebResponse {
    let mut response = text_response(StatusCode::OK, daemon.telemetry.metrics_page());
    let kind = HeaderValue::from_static("text/plain; version=0.0.4; charset=utf-8");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}

/// Renders the report of the day in the query, by default today.
async fn report_page(daemon: &Daemon, query: Option<&str>) -> WebResponse {
    let day = query.and_then(|q| q.strip_prefix("day="));
    if day.is_some_and(|d| !is_day(d)) {
        return text_response(StatusCode::BAD_REQUEST, "day is not YYYY-MM-DD\n");
    }
    match report::page(daemon, day).await {
        Ok(page) => {
            let mut response = text_response(StatusCode::OK, page);
            let kind = HeaderValue::from_static("text/html; charset=utf-8");
            response.headers_mut().insert(header::CONTENT_TYPE, kind);
            response
        }
        Err(e) => text_response(StatusCode::SERVICE_UNAVAILABLE, format!("{e}\n")),
    }
}

fn is_day(text: &str) -> bool {
    let digits =
        |part: &str, count| part.len() == count && part.bytes().all(|b| b.is_ascii_digit());
    let parts: Vec<&str> = text.split('-').collect();
    matches!(parts[..], [y, m, d] if digits(y, 4) && digits(m, 2) && digits(d, 2))
}

/// The status as JSON: the configuration, the peers and the admission controllers of the backend servers.
fn status(daemon: &Daemon) -> Value {
    let config = daemon.config();
    let name = |server: Id| config.servers.get(&server).map(|s| s.name.to_string());
    let (peers, controllers, waiting, running) = daemon.read(|state| {
        let controllers: Vec<Value> =
            state.controllers.iter().map(|(id, c)| controller(name(*id), c)).collect();
        (peer_status(state), controllers, state.entry.pending.len(), state.entry.running.len())
    });
    let (fencing, fleet) = daemon.fleet.get();
    json!({
        "instance": daemon.identity.name,
        "start": daemon.identity.start,
        "zone": daemon.settings.zone,
        "ready": daemon.ready(),
        "leaving": daemon.leaving(),
        "version": config.version,
        "active": daemon.active.load(Ordering::Acquire),
        "waiting": waiting,
        "running": running,
        "held_rows": daemon.tally_store.held_rows(),
        "peers": peers,
        "servers": controllers,
        "fencing": fencing,
        "fleet": fleet,
    })
}

fn peer_status(state: &State) -> Vec<Value> {
    let silent_ms = |heard: u64| state.now.saturating_sub(heard);
    let peers = state.membership.peers.values();
    peers
        .map(|p| {
            json!({
                "instance": p.name,
                "start": p.start,
                "linked": p.linked,
                "silent_ms": silent_ms(p.last_heard),
            })
        })
        .collect()
}

fn controller(name: Option<String>, controller: &agateroute_core::controller::Controller) -> Value {
    let report = controller.report.as_ref().map(|(_, r)| {
        json!({
            "used": r.used,
            "running": r.running,
            "waiting": r.waiting,
            "preemptions": r.preemptions,
            "leaving": r.leaving,
        })
    });
    json!({
        "server": name,
        "closed": controller.closed,
        "acting": controller.acting,
        "waiting": controller.waiting.len(),
        "running": controller.running.len(),
        "account": controller.own_load(),
        "cached": controller.cached.len(),
        "deviations": controller.deviations,
        "report": report,
    })
}
