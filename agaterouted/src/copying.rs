//! Copies the memory of a running generation to another backend server, in two steps: most of it while
//! the generation goes on, and the rest after it has stopped.

use std::sync::Arc;
use std::time::Duration;

use agateroute_adapter::server::{CopyAnswer, CopyOrder};
use http_body_util::{BodyExt, Limited};

use crate::routed::Routed;
use crate::serve::Call;
use crate::shell::ServerRef;

/// How long a copy may take. The largest generation takes half a second between zones, and waits for
/// others on its link.
const COPY_TIME: Duration = Duration::from_millis(1_500);
/// The longest answer to a copy, in bytes.
const ANSWER_MOST: usize = 64 * 1024;

/// Makes one copy and waits for it.
pub async fn copy(
    routed: Arc<Routed>,
    call: Arc<Call>,
    from: ServerRef,
    to: Arc<str>,
    last: bool,
) -> CopyAnswer {
    let order = CopyOrder { request: &call.id, to: &to, last };
    let request = (routed.deployment.servers.copy)(&order);
    let exchange = async {
        let (response, connection) = routed.upstream.send(&from, request, true).await.ok()?;
        let status = response.status();
        let body = Limited::new(response.into_body(), ANSWER_MOST).collect().await.ok()?;
        // The last copy follows on the same connection, without the time of another one.
        routed.upstream.keep(connection, None);
        Some((routed.deployment.servers.read_copy)(status, &body.to_bytes()))
    };
    let answer = match tokio::time::timeout(COPY_TIME, exchange).await {
        Ok(Some(answer)) => answer,
        Ok(None) | Err(_) => CopyAnswer::Failed,
    };
    spdlog::info!("memory_copied", kv: {
        request: = &*call.id,
        server: = &*from.name,
        to: = &*to,
        last,
        answer: = word(&answer),
    });
    answer
}

fn word(answer: &CopyAnswer) -> &'static str {
    match answer {
        CopyAnswer::Copied { .. } => "copied",
        CopyAnswer::Missing => "missing",
        CopyAnswer::Busy => "busy",
        CopyAnswer::NoRoom { .. } => "no_room",
        CopyAnswer::Failed => "failed",
    }
}
