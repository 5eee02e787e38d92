//! Errors as callers see them: the JSON of OpenAI errors, extended by an outcome.

use agateroute_core::effect::Refusal;
use http::{HeaderValue, StatusCode, header};
use serde_json::json;
use xitca_web::body::ResponseBody;
use xitca_web::http::WebResponse;

/// The response header with the [`Outcome`] of a request that failed.
pub const OUTCOME_HEADER: &str = "agateroute-outcome";

/// What a caller may conclude about its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Nothing of it was run, so it can be sent again.
    NotRun,
    /// It was run in part, and the delivered part is incomplete.
    Partial,
    /// It may have been run.
    Unknown,
}

impl Outcome {
    /// The value in headers, bodies and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Outcome::NotRun => "not_run",
            Outcome::Partial => "partial",
            Outcome::Unknown => "unknown",
        }
    }
}

/// An error for a caller.
#[derive(Clone, Debug, derive_more::Display, derive_more::Error)]
#[display("{code}: {message}")]
pub struct ApiError {
    /// The HTTP status.
    pub status: StatusCode,
    /// A stable identifier for programs.
    pub code: &'static str,
    /// A description for people, which may change.
    pub message: String,
    /// Whether the request was run.
    #[error(not(source))]
    pub outcome: Outcome,
    /// The delay before a retry makes sense, in milliseconds; 0 if unknown.
    pub retry_ms: u32,
}

impl ApiError {
    /// Creates an error for a request that was not run.
    pub fn not_run(status: StatusCode, code: &'static str, message: impl Into<String>) -> ApiError {
        ApiError { status, code, message: message.into(), outcome: Outcome::NotRun, retry_ms: 0 }
    }

    /// Creates the error for a malformed request.
    pub fn bad_request(message: impl Into<String>) -> ApiError {
        ApiError::not_run(StatusCode::BAD_REQUEST, "invalid_request", message)
    }

    /// Creates the error for a request that may have been run and has no answer.
    pub fn unknown(message: impl Into<String>) -> ApiError {
        ApiError {
            status: StatusCode::GATEWAY_TIMEOUT,
            code: "outcome_unknown",
            message: message.into(),
            outcome: Outcome::Unknown,
            retry_ms: 0,
        }
    }

    /// Creates the error for a request that the reducer refused and no backend server ran.
    pub fn refused(refusal: Refusal, retry_ms: u32) -> ApiError {
        let unavailable = StatusCode::SERVICE_UNAVAILABLE;
        let (status, code, message) = match refusal {
            Refusal::NoRoom => (unavailable, "no_room", "no capacity before the request's target"),
            Refusal::OverShare => (
                StatusCode::TOO_MANY_REQUESTS,
                "over_share",
                "this organisation has more requests waiting than its share allows",
            ),
            Refusal::NoServer => (unavailable, "no_server", "no backend server accepts new work"),
            Refusal::Failed => {
                (unavailable, "failed", "attempts failed and no retry is left in time")
            }
            Refusal::StreamUnknown => (
                unavailable,
                "stream_unknown",
                "it is not known which software version began this stream",
            ),
            Refusal::Quarantined => (
                StatusCode::UNPROCESSABLE_ENTITY,
                "quarantined",
                "this request crashed the backend servers that ran it",
            ),
        };
        let message = message.to_owned();
        ApiError { status, code, message, outcome: Outcome::NotRun, retry_ms }
    }

    /// Encodes the error as a response body. `request` is the request id.
    pub fn to_json(&self, request: &str) -> String {
        let kind =
            if self.status.is_client_error() { "invalid_request_error" } else { "api_error" };
        json!({"error": {
            "message": self.message,
            "type": kind,
            "param": null,
            "code": self.code,
            "outcome": self.outcome.as_str(),
            "request_id": request,
        }})
        .to_string()
    }

    /// Builds the response, with the outcome and the retry delay as headers.
    pub fn to_response(&self, request: &str) -> WebResponse {
        let mut response = WebResponse::new(ResponseBody::from(self.to_json(request)));
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
        headers.insert(OUTCOME_HEADER, HeaderValue::from_static(self.outcome.as_str()));
        if self.retry_ms > 0 {
            let seconds = self.retry_ms.div_ceil(1000).max(1);
            headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
        }
        response
    }
}
