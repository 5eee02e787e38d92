//! The pooled HTTP client for all calls to the platform's services.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use tokio::sync::watch;

use crate::error::{Cause, PlatformError};

/// The maximum size of a response body. A longer one is an error of the call.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// A request whose body is in memory.
pub type FullRequest = Request<Full<Bytes>>;

/// Decodes the era of a service from the header fields of a response. It rises each time the service comes back
/// from an older copy. `None` if the response does not say.
pub type DecodeEra = fn(&HeaderMap) -> Option<u64>;

/// A pooled HTTP client with a timeout for each call.
#[derive(Clone, Debug)]
pub struct Client {
    inner: legacy::Client<HttpConnector, Full<Bytes>>,
    timeout: Duration,
    decode_era: DecodeEra,
    /// The latest era of the service, shared by all clones.
    era: watch::Sender<Option<u64>>,
}

/// A whole response of a service with eras.
#[derive(Clone, Debug)]
pub struct EraResponse {
    /// The status.
    pub status: StatusCode,
    /// The body.
    pub body: Bytes,
    /// The era in which the service answered, `None` for a service without eras.
    pub era: Option<u64>,
}

impl Client {
    /// Creates a client with a timeout for each call, from connecting to the whole response.
    pub fn new(timeout: Duration) -> Client {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(timeout));
        let inner = legacy::Client::builder(TokioExecutor::new()).build(connector);
        Client { inner, timeout, decode_era: |_| None, era: watch::Sender::new(None) }
    }

    /// Returns a client that follows the era of the one service that it calls. Responses that are not entirely of
    /// the latest era are errors.
    pub fn with_eras(self, decode_era: DecodeEra) -> Client {
        Client { decode_era, ..self }
    }

    /// The latest era of the service, `None` before the first response and for a service without eras.
    pub fn era(&self) -> Option<u64> {
        *self.era.borrow()
    }

    /// Waits for changes of the era.
    pub fn watch_era(&self) -> watch::Receiver<Option<u64>> {
        self.era.subscribe()
    }

    /// Records an era that a response or another instance has shown. Returns whether it is the latest.
    pub fn observe_era(&self, era: u64) -> bool {
        self.era.send_if_modified(|latest| {
            let newer = latest.is_none_or(|known| known < era);
            if newer {
                *latest = Some(era);
            }
            newer
        });
        self.era() == Some(era)
    }

    /// Returns a client with another timeout that shares the connection pool.
    pub fn with_timeout(&self, timeout: Duration) -> Client {
        Client { timeout, ..self.clone() }
    }

    /// Sends a request and reads the whole response. `step` and `peer` are used in errors.
    pub async fn call(
        &self,
        step: &'static str,
        peer: &str,
        request: FullRequest,
    ) -> Result<(StatusCode, Bytes), PlatformError> {
        let response = self.call_in_era(step, peer, request).await?;
        Ok((response.status, response.body))
    }

    /// Sends a request and reads the whole response, like [`Client::call`], and returns its era with it. By then the latest
    /// era may be another one, since other responses and peers advance it.
    pub async fn call_in_era(
        &self,
        step: &'static str,
        peer: &str,
        request: FullRequest,
    ) -> Result<EraResponse, PlatformError> {
        let fail = |cause| PlatformError::new(step, peer, cause);
        match tokio::time::timeout(self.timeout, self.exchange(request)).await {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(cause)) => Err(fail(cause)),
            Err(_) => Err(fail(Cause::Timeout(self.timeout))),
        }
    }

    async fn exchange(&self, request: FullRequest) -> Result<EraResponse, Cause> {
        let requested_in = self.era();
        let response = self.inner.request(request).await.map_err(|e| {
            if e.is_connect() { Cause::Connect(e.to_string()) } else { Cause::Lost(e.to_string()) }
        })?;
        let status = response.status();
        let shown = (self.decode_era)(response.headers());
        if let Some(era) = shown
            && !(self.observe_era(era) && requested_in.is_none_or(|known| known == era))
        {
            return Err(Cause::Superseded);
        }
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES);
        let collected = body.collect().await.map_err(|e| Cause::Lost(e.to_string()))?;
        Ok(EraResponse { status, body: collected.to_bytes(), era: shown.or(requested_in) })
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
