//! Errors as callers see them: the OpenAI error shape with an outcome.

use agateroute_core::effect::Refusal;
use http::{HeaderValue, StatusCode, header};
use serde_json::json;
use xitca_web::body::ResponseBody;
use xitca_web::http::WebResponse;

/// The header that carries the outcome.
pub const OUTCOME_HEADER: &str = "agateroute-outcome";

/// What a caller may conclude about its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It was not run.
    NotRun,
    /// It was run in part; what was delivered is not whole.
    Partial,
    /// Whether it was run is not known.
    Unknown,
}

impl Outcome {
    /// The outcome as it is written.
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
    /// The status.
    pub status: StatusCode,
    /// A stable word for programs.
    pub code: &'static str,
    /// A sentence for people.
    pub message: String,
    /// What became of the request.
    #[error(not(source))]
    pub outcome: Outcome,
    /// When asking again makes sense, in milliseconds; 0 where that is not known.
    pub retry_ms: u32,
}

impl ApiError {
    /// An error about a request that was not run.
    pub fn not_run(status: StatusCode, code: &'static str, message: impl Into<String>) -> ApiError {
        ApiError { status, code, message: message.into(), outcome: Outcome::NotRun, retry_ms: 0 }
    }

    /// An error about the form of a request.
    pub fn bad_request(message: impl Into<String>) -> ApiError {
        ApiError::not_run(StatusCode::BAD_REQUEST, "invalid_request", message)
    }

    /// An error about a call of which it is not known whether it was run.
    pub fn unknown(message: impl Into<String>) -> ApiError {
        ApiError {
            status: StatusCode::GATEWAY_TIMEOUT,
            code: "outcome_unknown",
            message: message.into(),
            outcome: Outcome::Unknown,
            retry_ms: 0,
        }
    }

    /// The error for a refusal of the reducer.
    pub fn refused(refusal: Refusal, retry_ms: u32) -> ApiError {
        let unavailable = StatusCode::SERVICE_UNAVAILABLE;
        let (status, code, message) = match refusal {
            Refusal::NoRoom => (unavailable, "no_room", "no room before the target of the request"),
            Refusal::OverShare => (
                StatusCode::TOO_MANY_REQUESTS,
                "over_share",
                "this organisation has more waiting than it is owed",
            ),
            Refusal::NoServer => (unavailable, "no_server", "no backend server takes new work"),
            Refusal::Failed => (unavailable, "failed", "attempts failed and none is left in time"),
            Refusal::Quarantined => (
                StatusCode::UNPROCESSABLE_ENTITY,
                "quarantined",
                "this request crashed the backend servers that ran it",
            ),
        };
        let message = message.to_owned();
        ApiError { status, code, message, outcome: Outcome::NotRun, retry_ms }
    }

    /// The body of the error.
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

    /// The answer that carries the error.
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
