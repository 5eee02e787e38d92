//! The loops that keep the reducer informed: time, load reports, the platform's list.

use std::sync::Arc;
use std::time::Duration;

use agateroute_core::event::Report;
use agateroute_core::{Event, Id};
use http_body_util::{BodyExt, Limited};
use tokio_util::sync::CancellationToken;

use crate::client::{HttpClient, client, is_connection_refused};
use crate::engine::OPENAI;
use crate::plain::HTTP;
use crate::shell::{ServerRef, Shell, millis};

/// How often the reducer hears of the time.
const TICK: Duration = Duration::from_millis(25);
/// The longest load report that is read, in bytes.
const REPORT_MOST: usize = 64 * 1024;

/// Tells the reducer the time, until cancelled.
pub async fn tick(shell: Arc<Shell>, cancel: CancellationToken) {
    let mut interval = tokio::time::interval(TICK);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            () = cancel.cancelled() => return,
            _ = interval.tick() => shell.apply(Event::Tick),
        }
    }
}

/// Reads the load reports of the servers that this instance owns, until cancelled.
pub async fn reports(shell: Arc<Shell>, cancel: CancellationToken) {
    loop {
        let in_force = shell.in_force();
        let routing = &in_force.document.routing;
        let owned: Vec<Id> = shell.read(|state| state.owned().collect());
        let http = client(millis(routing.connect_ms));
        let limit = millis(routing.report_ms.max(100));
        for server in owned.iter().filter_map(|s| in_force.servers.get(s)) {
            tokio::spawn(read_report(shell.clone(), http.clone(), server.clone(), limit));
        }
        tokio::select! {
            () = cancel.cancelled() => return,
            () = tokio::time::sleep(millis(routing.report_ms)) => {}
        }
    }
}

async fn read_report(shell: Arc<Shell>, http: HttpClient, server: ServerRef, limit: Duration) {
    let event = match tokio::time::timeout(limit, fetch_report(&http, &server)).await {
        Ok(Ok(report)) => Event::Reported { server: server.id, report },
        Ok(Err(refused)) => Event::ReportFailed { server: server.id, refused },
        Err(_) => Event::ReportFailed { server: server.id, refused: false },
    };
    shell.apply(event);
    if server.engine {
        let read = read_cache(&shell, &http, &server);
        let _ = tokio::time::timeout(limit, read).await;
    }
}

/// Reads the cache events of an engine since the last time.
async fn read_cache(shell: &Shell, http: &HttpClient, server: &ServerRef) -> Option<()> {
    let after = shell.cache_cursor(server.id);
    let response = http.request((OPENAI.cache)(&server.address, after)).await.ok()?;
    let body = Limited::new(response.into_body(), REPORT_MOST).collect().await.ok()?.to_bytes();
    let (last, update) = (OPENAI.decode_cache)(after, &body).ok()?;
    if last != after {
        shell.set_cache_cursor(server.id, last);
        shell.apply(Event::CacheChanged { server: server.id, update });
    }
    Some(())
}

/// Reads one load report. The error tells whether the connection was refused.
async fn fetch_report(http: &HttpClient, server: &ServerRef) -> Result<Report, bool> {
    let request = match server.engine {
        true => (OPENAI.report)(&server.address),
        false => (HTTP.report)(&server.address),
    };
    let response = http.request(request).await.map_err(|e| is_connection_refused(&e))?;
    let body = Limited::new(response.into_body(), REPORT_MOST).collect().await;
    let body = body.map_err(|_| false)?.to_bytes();
    let decode = if server.engine { OPENAI.decode_report } else { HTTP.decode_report };
    decode(&body).map_err(|_| false)
}
