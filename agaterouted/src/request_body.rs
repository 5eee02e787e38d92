//! Reads the bodies of callers' requests on routes, with metrics of what is being read.

use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use opentelemetry::KeyValue;

use crate::daemon::Config;
use crate::error::ApiError;
use crate::route_instance::RouteInstance;
use crate::telemetry::Telemetry;

/// Reads the body of a request. Metrics say how much is being read, and why bodies are not read to their end.
pub async fn read_body(
    instance: &RouteInstance,
    body: Incoming,
    config: &Config,
    time: Duration,
) -> Result<Bytes, ApiError> {
    let telemetry = &instance.daemon.telemetry;
    let max_bytes = config.document.limits.body_bytes;
    let mut arriving = Arriving { telemetry, bytes: 0 };
    telemetry.bodies.add(1, &[]);
    let body = body.map_frame(|frame| {
        arriving.add(frame.data_ref().map_or(0, Bytes::len));
        frame
    });
    let read = instance.body_memory.read(body, max_bytes as usize);
    let error = match tokio::time::timeout(time, read).await {
        Ok(Ok(body)) => return Ok(body),
        Ok(Err(error)) => ApiError::from(error),
        Err(_) => ApiError::not_run(
            StatusCode::REQUEST_TIMEOUT,
            "body_timeout",
            format!("the body did not arrive within {} ms", time.as_millis()),
        ),
    };
    telemetry.refused_bodies.add(1, &[KeyValue::new("cause", error.code)]);
    Err(error)
}

/// A body that is being read, for the metrics.
struct Arriving<'a> {
    telemetry: &'a Telemetry,
    bytes: i64,
}

impl Arriving<'_> {
    fn add(&mut self, bytes: usize) {
        self.bytes += bytes as i64;
        self.telemetry.body_bytes.add(bytes as i64, &[]);
    }
}

impl Drop for Arriving<'_> {
    fn drop(&mut self) {
        self.telemetry.bodies.add(-1, &[]);
        self.telemetry.body_bytes.add(-self.bytes, &[]);
    }
}
