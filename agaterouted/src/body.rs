//! Reads request bodies of callers, limited in size and time.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::StatusCode;
use xitca_web::body::{Body, BodyExt, RequestBody, SizeHint};

use crate::error::ApiError;

/// Reads a whole body of at most `max_bytes` that must arrive within `timeout`.
pub async fn read_body(
    mut body: RequestBody,
    max_bytes: u64,
    timeout: Duration,
) -> Result<Bytes, ApiError> {
    match tokio::time::timeout(timeout, collect_body(&mut body, max_bytes as usize)).await {
        Ok(result) => result,
        Err(_) => Err(ApiError::not_run(
            StatusCode::REQUEST_TIMEOUT,
            "body_timeout",
            format!("the body did not arrive within {} ms", timeout.as_millis()),
        )),
    }
}

async fn collect_body(body: &mut RequestBody, max_bytes: usize) -> Result<Bytes, ApiError> {
    if let SizeHint::Exact(announced) = body.size_hint()
        && announced > max_bytes as u64
    {
        return Err(too_large(max_bytes));
    }
    let mut collected = BytesMut::new();
    while let Some(data) = body.data().await {
        let data = data.map_err(|e| ApiError::bad_request(format!("body not readable: {e}")))?;
        if collected.len() + data.len() > max_bytes {
            return Err(too_large(max_bytes));
        }
        if collected.is_empty() && is_complete(body) {
            return Ok(data);
        }
        collected.extend_from_slice(&data);
    }
    Ok(collected.freeze())
}

fn too_large(max_bytes: usize) -> ApiError {
    ApiError::not_run(
        StatusCode::PAYLOAD_TOO_LARGE,
        "body_too_large",
        format!("the body is longer than {max_bytes} bytes"),
    )
}

fn is_complete(body: &RequestBody) -> bool {
    Body::is_end_stream(body)
}
