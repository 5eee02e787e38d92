//! What an instance on a platform does with new and waiting requests once it has the order to stop.
//!
//! `agateroute_core::leaving` decides; `docs/DESIGN.md`, "A planned stop", gives the reasons.

use agateroute_config::route::Route;
use agateroute_core::leaving;
use http::{HeaderMap, StatusCode};
use tokio::time::Instant;

use crate::error::ApiError;
use crate::route_instance::RouteInstance;
use crate::serve::{RouteCall, deadlines};

/// The retry delay suggested while only this instance stops, since the retry reaches another one.
const STOPPING_RETRY_MS: u32 = 50;
/// How long a restart takes until the instance is ready: its startup, a read of the document and two
/// readiness checks of the load balancer.
const RESTART_MS: u64 = 2_000;

/// Refuses requests that might not finish before this instance stops, so that another one can serve them.
pub fn refuse_unfinishable(
    instance: &RouteInstance,
    (route, headers, id): (&Route, &HeaderMap, &str),
    arrived: Instant,
) -> Result<(), ApiError> {
    let (_, answer_by) = deadlines(instance, route, headers, arrived);
    let Some(bounds) = instance.stop_bounds(answer_by.into_std()) else { return Ok(()) };
    let (max_output, hint) = output_bounds(instance, headers);
    let stopping_ms = instance.stopping_ms();
    let accepted = !instance.giving_up.is_cancelled()
        && leaving::can_finish(bounds, stopping_ms, route.kind, max_output, hint);
    log_stop_check(instance, (route, headers, id), answer_by, (accepted, false));
    if accepted { Ok(()) } else { Err(stopping(instance)) }
}

/// Logs whether a request was accepted by a stopping instance, whether it had been waiting for a permit or its body, and
/// the inputs of that decision.
fn log_stop_check(
    instance: &RouteInstance,
    (route, headers, id): (&Route, &HeaderMap, &str),
    answer_by: Instant,
    (accepted, waiting): (bool, bool),
) {
    let (max_output, hint) = output_bounds(instance, headers);
    let left = answer_by.saturating_duration_since(Instant::now());
    spdlog::info!("stop_check", kv: {
        request: = id,
        route: = route.name.as_str(),
        accepted,
        waiting,
        left_ms = instance.time_to_stop().map_or(0, |left| left.as_millis() as u64),
        answer_ms = left.as_millis() as u64,
        stopping_ms = instance.stopping_ms(),
        max_output,
        hint,
    });
}

/// Returns the limit on the output of a request and the caller's estimate of it, 0 if there is none, in tokens.
fn output_bounds(instance: &RouteInstance, headers: &HeaderMap) -> (u32, u32) {
    let request_info = (instance.deployment.callers.decode)(headers);
    (request_info.size.map_or(u32::MAX, |s| s.max_tokens), request_info.length_hint.unwrap_or(0))
}

/// Waits until a request must stop waiting for a permit because this instance stops: as soon as it could no longer finish,
/// so that another instance can run it, or shortly before the end if it may have run already.
pub async fn wait_over(instance: &RouteInstance, call: &RouteCall, maybe_started: bool) {
    if maybe_started {
        return instance.giving_up.cancelled().await;
    }
    refused_at_stop(instance, (&call.route, &call.headers, &call.id), call.arrived).await;
}

/// Waits until a request that has not run can no longer finish because this instance stops.
pub async fn refused_at_stop(
    instance: &RouteInstance,
    (route, headers, id): (&Route, &HeaderMap, &str),
    arrived: Instant,
) {
    let (_, answer_by) = deadlines(instance, route, headers, arrived);
    let (max_output, hint) = output_bounds(instance, headers);
    let latest = |bounds| leaving::latest_start_ms(bounds, route.kind, max_output, hint);
    instance.latest_start(answer_by.into_std(), latest).await;
    log_stop_check(instance, (route, headers, id), answer_by, (false, true));
}

/// The refusal of a request that this instance may not answer before it stops.
pub fn stopping(instance: &RouteInstance) -> ApiError {
    let message = "this instance stops before it could answer this request".to_owned();
    let mut error = ApiError::not_run(StatusCode::SERVICE_UNAVAILABLE, "stopping", message);
    error.retry_ms = stopping_retry_ms(instance);
    error
}

/// The delay after which a request that this instance would not finish can be served: almost none if
/// another instance keeps running, else until the first instance may be back.
fn stopping_retry_ms(instance: &RouteInstance) -> u32 {
    let (now, grace) = (instance.daemon.now(), instance.bounds().grace_ms);
    let silence = instance.daemon.config().document.routing.peer_ms;
    let first_exit_ms =
        instance.daemon.read(|state| state.membership.first_exit(now, silence, grace));
    first_exit_ms.map_or(STOPPING_RETRY_MS, |at| (at.saturating_sub(now) + RESTART_MS) as u32)
}
