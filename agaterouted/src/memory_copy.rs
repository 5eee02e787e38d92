//! Copies the memory of a running generation to another backend server, in two steps: most of it while
//! the generation runs, and the rest after it has stopped.

use std::sync::Arc;
use std::time::{Duration, Instant};

use agateroute_adapter::server::{CopyRequest, CopyResult};
use http_body_util::{BodyExt, Limited};

use crate::daemon::ServerRef;
use crate::route_instance::RouteInstance;
use crate::serve::RouteCall;

/// The time limit of one copy. The largest generation takes half a second between availability zones,
/// and may wait for other copies on its link.
const COPY_TIMEOUT: Duration = Duration::from_millis(1_500);
const MAX_ANSWER_BYTES: usize = 64 * 1024;

/// Requests one copy from the source server and waits for it. If `last`, the generation stops first.
pub async fn copy(
    instance: Arc<RouteInstance>,
    call: Arc<RouteCall>,
    from: ServerRef,
    to: Arc<str>,
    last: bool,
) -> CopyResult {
    let copy_request = CopyRequest { request: &call.id, to: &to, last };
    let request = (instance.deployment.servers.encode_copy)(&copy_request);
    let started = Instant::now();
    let exchange = async {
        // On a connection of its own: a late second answer to an earlier request would be taken for the answer to this one,
        // and name the memory of another generation.
        let sent = instance.upstream.send(&from, request, false).await;
        let (response, _connection) = sent.map_err(|e| e.to_string())?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES).collect().await;
        let body = body.map_err(|e| e.to_string())?.to_bytes();
        Ok((instance.deployment.servers.decode_copy)(status, &body))
    };
    let (answer, cause) = match tokio::time::timeout(COPY_TIMEOUT, exchange).await {
        Ok(Ok(answer)) => (answer, String::new()),
        Ok(Err(cause)) => (CopyResult::Failed, cause),
        Err(_) => (CopyResult::Failed, "no answer in time".to_owned()),
    };
    spdlog::info!("memory_copied", kv: {
        request: = &*call.id,
        server: = &*from.name,
        to: = &*to,
        last,
        answer: = answer_label(&answer),
        took_ms = started.elapsed().as_millis() as u64,
        cause: = cause.as_str(),
    });
    answer
}

fn answer_label(answer: &CopyResult) -> &'static str {
    match answer {
        CopyResult::Copied { .. } => "copied",
        CopyResult::Missing => "missing",
        CopyResult::Busy => "busy",
        CopyResult::NoRoom { .. } => "no_room",
        CopyResult::Failed => "failed",
    }
}
