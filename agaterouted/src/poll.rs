//! Loops that send ticks to the reducer and poll load reports and cache events of backend servers.

use std::sync::Arc;
use std::time::{Duration, Instant};

use agateroute_core::event::LoadReport;
use agateroute_core::{Event, Id};
use http_body_util::{BodyExt, Limited};
use tokio_util::sync::CancellationToken;

use crate::client::{HttpClient, client, is_connection_refused};
use crate::daemon::{Daemon, ServerRef, millis};
use crate::engine::OPENAI;
use crate::plain::HTTP;

const TICK_INTERVAL: Duration = Duration::from_millis(25);
/// The size limit of a load report or a page of cache events.
const MAX_REPORT_BYTES: usize = 64 * 1024;

/// Sends ticks to the reducer, until cancelled.
pub async fn send_ticks(daemon: Arc<Daemon>, cancel: CancellationToken) {
    let mut interval = tokio::time::interval(TICK_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            () = cancel.cancelled() => return,
            _ = interval.tick() => {
                daemon.stalls.record(Instant::now() + TICK_INTERVAL);
                daemon.apply(Event::Tick);
            }
        }
    }
}

/// Polls the load reports of the servers that this instance owns, until cancelled.
pub async fn poll_reports(daemon: Arc<Daemon>, cancel: CancellationToken) {
    loop {
        let config = daemon.config();
        let routing = &config.document.routing;
        let owned: Vec<Id> = daemon.read(|state| state.owned().collect());
        let http = client(millis(routing.connect_ms));
        let limit = millis(routing.report_ms.max(100));
        for server in owned.iter().filter_map(|s| config.servers.get(s)) {
            tokio::spawn(poll_server(daemon.clone(), http.clone(), server.clone(), limit));
        }
        tokio::select! {
            () = cancel.cancelled() => return,
            () = tokio::time::sleep(millis(routing.report_ms)) => {}
        }
    }
}

async fn poll_server(daemon: Arc<Daemon>, http: HttpClient, server: ServerRef, limit: Duration) {
    let event = match tokio::time::timeout(limit, fetch_report(&http, &server)).await {
        Ok(Ok(report)) => Event::Reported { server: server.id, report },
        Ok(Err(refused)) => Event::ReportFailed { server: server.id, refused },
        Err(_) => Event::ReportFailed { server: server.id, refused: false },
    };
    daemon.apply(event);
    if server.engine {
        let read = poll_cache(&daemon, &http, &server);
        let _ = tokio::time::timeout(limit, read).await;
    }
}

/// Reads the cache events of an engine since the last poll.
async fn poll_cache(daemon: &Daemon, http: &HttpClient, server: &ServerRef) -> Option<()> {
    let after = daemon.cache_cursor(server.id);
    let response = http.request((OPENAI.cache)(&server.address, after)).await.ok()?;
    let body =
        Limited::new(response.into_body(), MAX_REPORT_BYTES).collect().await.ok()?.to_bytes();
    let (last, update) = (OPENAI.decode_cache)(after, &body).ok()?;
    if last != after {
        daemon.set_cache_cursor(server.id, last);
        daemon.apply(Event::CacheChanged { server: server.id, update });
    }
    Some(())
}

/// Reads one load report. The error says whether the connection was refused.
async fn fetch_report(http: &HttpClient, server: &ServerRef) -> Result<LoadReport, bool> {
    let request = match server.engine {
        true => (OPENAI.report)(&server.address),
        false => (HTTP.report)(&server.address),
    };
    let response = http.request(request).await.map_err(|e| is_connection_refused(&e))?;
    let body = Limited::new(response.into_body(), MAX_REPORT_BYTES).collect().await;
    let body = body.map_err(|_| false)?.to_bytes();
    let decode = if server.engine { OPENAI.decode_report } else { HTTP.decode_report };
    decode(&body).map_err(|_| false)
}
