//! The final answers of routes: those of backend servers, and errors of this instance.

use agateroute_core::retry::RetryDenial;
use http::{HeaderMap, HeaderValue, Response, StatusCode, header, response};
use opentelemetry::KeyValue;
use tokio::time::Instant;

use crate::attempt::Answer;
use crate::daemon::ServerRef;
use crate::error::{ApiError, OUTCOME_HEADER, Outcome};
use crate::route_instance::RouteInstance;
use crate::route_listener::{BoxBody, full_body};
use crate::serve::RouteCall;

/// Logs an error that is the final answer of a request.
pub fn log_refusal(instance: &RouteInstance, error: &ApiError, id: &str, arrived: Instant) {
    spdlog::info!("request_refused", kv: {
        request: = id,
        status = error.status.as_u16(),
        code = error.code,
        outcome = error.outcome.as_str(),
        retry_ms = error.retry_ms,
        after_ms = arrived.elapsed().as_millis() as u64,
        version = instance.daemon.config().version,
        reading_age_ms = instance.document_age(),
    });
}

/// Logs why a request that may be repeated gets no further attempt.
pub fn log_retry_denial(
    instance: &RouteInstance,
    call: &RouteCall,
    server: &ServerRef,
    denial: RetryDenial,
) {
    let cause = match denial {
        RetryDenial::NotRunning => "not_running",
        RetryDenial::Attempts => "attempts",
        RetryDenial::Deadline => "deadline",
        RetryDenial::Quarantined => "quarantined",
        RetryDenial::NoServer => "no_server",
        RetryDenial::Budget => "budget",
    };
    instance.daemon.telemetry.retries_refused.add(1, &[KeyValue::new("cause", cause)]);
    spdlog::info!("retry_refused", kv: {
        request: = &*call.id,
        route: = call.route.name.as_str(),
        server: = &*server.name,
        cause,
        after_ms = call.arrived.elapsed().as_millis() as u64,
        left_ms = call.answer_by.saturating_duration_since(Instant::now()).as_millis() as u64,
    });
}

/// Builds the answer for an error.
pub fn error_response(instance: &RouteInstance, error: &ApiError, id: &str) -> Response<BoxBody> {
    let mut response = Response::new(full_body(error.to_json(id)));
    *response.status_mut() = error.status;
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers.insert(OUTCOME_HEADER, HeaderValue::from_static(error.outcome.as_str()));
    if let Ok(value) = HeaderValue::from_str(id) {
        headers.insert(instance.deployment.callers.id_header, value);
    }
    if error.retry_ms > 0
        && let Ok(value) = HeaderValue::from_str(&retry_after(error.retry_ms))
    {
        headers.insert(header::RETRY_AFTER, value);
    }
    response
}

/// Formats a delay in milliseconds as seconds, rounded up: a caller that comes back early finds no room yet.
pub fn retry_after(delay_ms: u32) -> String {
    format!("{:.2}", f64::from(delay_ms.div_ceil(10)) / 100.0)
}

/// The error for a request whose answer was lost.
pub fn bad_gateway() -> ApiError {
    ApiError {
        status: StatusCode::BAD_GATEWAY,
        code: "answer_lost",
        message: "a backend server got the request and its answer was lost".to_owned(),
        outcome: Outcome::Unknown,
        retry_ms: 0,
    }
}

/// The error for a request that got no answer in time.
pub fn timed_out() -> ApiError {
    ApiError {
        status: StatusCode::GATEWAY_TIMEOUT,
        code: "timeout",
        message: "a backend server got the request and did not answer in time".to_owned(),
        outcome: Outcome::Unknown,
        retry_ms: 0,
    }
}

/// Builds the answer for a whole answer of a backend server.
pub fn plain_response(answer: Answer) -> Response<BoxBody> {
    let mut response = Response::new(full_body(answer.body));
    *response.status_mut() = answer.head.status;
    *response.headers_mut() = forwarded_headers(&answer.head);
    response
}

/// Selects the header fields of an answer that are forwarded to the caller.
pub fn forwarded_headers(head: &response::Parts) -> HeaderMap {
    let mut headers = head.headers.clone();
    for name in head.headers.keys() {
        if agateroute_adapter::hop_by_hop::is_connection_specific(&head.headers, name)
            || name == header::CONTENT_LENGTH
        {
            headers.remove(name);
        }
    }
    headers
}
