//! Reads request bodies of callers, limited in size, time and memory over all of them.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use xitca_web::body::{Body, BodyExt, RequestBody, SizeHint};

use crate::body_memory::{BodyMemory, ReadError};
use crate::error::ApiError;

/// Reads a whole body of at most `max_bytes` that must arrive within `timeout`. Its memory counts until the last copy of
/// the returned bytes is dropped.
pub async fn read_body(
    mut body: RequestBody,
    max_bytes: u64,
    timeout: Duration,
    memory: &Arc<BodyMemory>,
) -> Result<Bytes, ApiError> {
    match tokio::time::timeout(timeout, collect_body(&mut body, max_bytes as usize, memory)).await {
        Ok(result) => result.map_err(ApiError::from),
        Err(_) => Err(ApiError::not_run(
            StatusCode::REQUEST_TIMEOUT,
            "body_timeout",
            format!("the body did not arrive within {} ms", timeout.as_millis()),
        )),
    }
}

async fn collect_body(
    body: &mut RequestBody,
    max_bytes: usize,
    memory: &Arc<BodyMemory>,
) -> Result<Bytes, ReadError> {
    let announced = match body.size_hint() {
        SizeHint::Exact(announced) if announced > max_bytes as u64 => {
            return Err(ReadError::TooLong { max_bytes });
        }
        SizeHint::Exact(announced) => Some(announced as usize),
        SizeHint::None => return Ok(Bytes::new()),
        SizeHint::Unknown => None,
    };
    let most = announced.unwrap_or(max_bytes);
    let reader = memory.open();
    loop {
        let data = tokio::select! {
            biased;
            () = reader.gave_way() => return Err(ReadError::GaveWay),
            data = body.data() => data,
        };
        let Some(data) = data else {
            let body = reader.finish()?;
            // The HTTP library ends a body that is broken off like a whole one.
            if announced.is_some_and(|length| length != body.len()) {
                return Err(ReadError::Broken { cause: "the connection was closed".to_owned() });
            }
            return Ok(body);
        };
        let data = data.map_err(|e| ReadError::Broken { cause: e.to_string() })?;
        reader.push(&data, most, max_bytes)?;
    }
}
