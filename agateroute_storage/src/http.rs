//! The pooled HTTP client for all calls to the platform's services.

use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

use crate::error::{Cause, PlatformError};

/// The maximum size of a response body. A longer one is an error of the call.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// A request whose body is in memory.
pub type FullRequest = Request<Full<Bytes>>;

/// A pooled HTTP client with a timeout for each call.
#[derive(Clone, Debug)]
pub struct Client {
    inner: legacy::Client<HttpConnector, Full<Bytes>>,
    timeout: Duration,
}

impl Client {
    /// Creates a client with a timeout for each call, from connecting to the whole response.
    pub fn new(timeout: Duration) -> Client {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(timeout));
        let inner = legacy::Client::builder(TokioExecutor::new()).build(connector);
        Client { inner, timeout }
    }

    /// Returns a client with another timeout that shares the connection pool.
    pub fn with_timeout(&self, timeout: Duration) -> Client {
        Client { inner: self.inner.clone(), timeout }
    }

    /// Sends a request and reads the whole response. `step` and `peer` are used in errors.
    pub async fn call(
        &self,
        step: &'static str,
        peer: &str,
        request: FullRequest,
    ) -> Result<(StatusCode, Bytes), PlatformError> {
        let fail = |cause| PlatformError::new(step, peer, cause);
        match tokio::time::timeout(self.timeout, self.exchange(request)).await {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(cause)) => Err(fail(cause)),
            Err(_) => Err(fail(Cause::Timeout(self.timeout))),
        }
    }

    async fn exchange(&self, request: FullRequest) -> Result<(StatusCode, Bytes), Cause> {
        let response = self.inner.request(request).await.map_err(|e| {
            if e.is_connect() { Cause::Connect(e.to_string()) } else { Cause::Lost(e.to_string()) }
        })?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES);
        let collected = body.collect().await.map_err(|e| Cause::Lost(e.to_string()))?;
        Ok((status, collected.to_bytes()))
    }
}

/// Builds a request to an IP address and port, with the content type for JSON.
pub fn request(method: &str, address: &str, path: &str, body: impl Into<Bytes>) -> FullRequest {
    let built = Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"))
        .header(http::header::CONTENT_TYPE, "application/json")
        .body(Full::new(body.into()));
    built.unwrap_or_default()
}

/// Returns the cause for a response with an unexpected status: 429 and 503 mean that the service
/// limits the rate.
pub fn status_cause(status: StatusCode, body: &[u8]) -> Cause {
    match status {
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => Cause::Throttled,
        _ => Cause::Status(
            status.as_u16(),
            String::from_utf8_lossy(body).chars().take(200).collect(),
        ),
    }
}
