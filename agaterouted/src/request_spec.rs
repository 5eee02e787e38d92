//! The description of a request on a route for the reducer.

use agateroute_adapter::caller::PromptPart;
use agateroute_config::route::{Route, RouteKind};
use agateroute_core::catalog::{model_id, service_id};
use agateroute_core::event::RequestSpec;
use agateroute_core::id;
use agateroute_core::id::{Id, id_of_bytes, mix};
use agateroute_core::routes::pick_target;
use agateroute_core::streams::Resumption;
use http::HeaderMap;
use tokio::time::Instant;

use crate::daemon::Config;
use crate::discovery;
use crate::route_instance::RouteInstance;
use crate::serve::RouteCall;

/// A stream has to start within the remaining time of its caller divided by this.
const STREAM_WAIT_DIVISOR: u32 = 2;

/// The identifier of a service in the reducer, where models and plain services have separate ones.
fn target_id(config: &Config, service: &str) -> Id {
    match config.document.model(service) {
        Some(_) => model_id(service),
        None => service_id(service),
    }
}

/// Returns the parts of a prompt that other requests may share: all but the last.
pub fn shared_parts(instance: &RouteInstance, headers: &HeaderMap) -> Vec<PromptPart> {
    let mut parts = (instance.deployment.callers.decode)(headers).parts;
    parts.pop();
    parts
}

/// Describes a request on a route for the reducer.
pub fn build_spec(instance: &RouteInstance, config: &Config, call: &RouteCall) -> RequestSpec {
    let route = &call.route;
    let request_info = (instance.deployment.callers.decode)(&call.headers);
    let service = pick_target(route, rand::random()).unwrap_or_default();
    let shared = shared_parts(instance, &call.headers);
    let left = call.answer_by.saturating_duration_since(Instant::now());
    let max_wait = if route.kind.streams() { left / STREAM_WAIT_DIVISOR } else { left };
    let organisation = id(call.organisation_name());
    let now = instance.daemon.now();
    RequestSpec {
        request: instance.daemon.next_request_id(),
        organisation,
        target: target_id(config, service),
        kind: id(&route.name),
        rank: call.rank,
        prompt: request_info.size.map_or(0, |s| s.prompt_tokens),
        max_tokens: request_info.size.map_or(0, |s| s.max_tokens),
        prefix: shared.iter().fold(0, |hash, part| mix(hash, part.id)),
        prefix_tokens: shared.iter().map(|p| p.tokens).sum(),
        fingerprint: mix(mix(organisation, id(&call.path)), id_of_bytes(&call.body)),
        deadline: now + max_wait.as_millis() as u64,
        answer_by: now + left.as_millis() as u64,
        target_ms: route.target_ms.min(u64::from(u32::MAX)) as u32,
        target_deadline: now + route.target_ms,
        hint: request_info.length_hint.unwrap_or(0),
        movable: route.kind.streams() && instance.source.capacity(route).is_some_and(|c| c.moves),
        parts: call.parts.clone(),
        part_tokens: shared.iter().map(|p| p.tokens).collect(),
        gap_ms: route.gap_ms.min(u64::from(u32::MAX)) as u32,
        version: None,
        stream: stream_id(route.kind, request_info.resumes.or(request_info.id)),
        resumes: resumption(instance, config, route, request_info.last_event),
        max_attempts: match route.kind.repeatable() {
            true => route.attempts.saturating_sub(call.begun).max(1),
            false => 1,
        },
        via: call.via,
    }
}

/// The identifier of a stream that its caller may resume, 0 for other answers.
fn stream_id(kind: RouteKind, first_attempt: Option<&str>) -> Id {
    first_attempt.filter(|_| kind == RouteKind::ResumableStream).map_or(0, id)
}

/// How the caller resumes a stream, if it does.
fn resumption(
    instance: &RouteInstance,
    config: &Config,
    route: &Route,
    last_event: Option<u64>,
) -> Option<Resumption> {
    last_event.filter(|_| route.kind == RouteKind::ResumableStream)?;
    let targets = route.targets.iter().filter(|t| t.weight > 0);
    Some(Resumption {
        targets: targets.map(|t| target_id(config, &t.service)).collect(),
        list_fresh: discovery::servers_fresh(instance),
    })
}
