//! The object store, in the path-style form of the S3 API.

use bytes::Bytes;
use http::StatusCode;

use crate::error::{Cause, PlatformError};
use crate::http::{Client, FullRequest, request, status_cause};

/// The S3 bucket that holds all objects.
const BUCKET: &str = "agateroute";

/// The functions that encode and decode an object store's wire format.
#[derive(Clone, Copy, Debug)]
pub struct ObjectAdapter {
    /// Encodes a write of an object, from the service's address, the key and the body.
    pub encode_put: fn(&str, &str, Bytes) -> FullRequest,
    /// Encodes a read of an object, from the service's address and the key.
    pub encode_get: fn(&str, &str) -> FullRequest,
    /// Decodes the response to a read; `None` if the object does not exist.
    pub decode_get: fn(StatusCode, Bytes) -> Result<Option<Bytes>, Cause>,
}

/// The adapter for the S3 API.
pub const S3: ObjectAdapter = ObjectAdapter {
    encode_put: s3_encode_put,
    encode_get: s3_encode_get,
    decode_get: s3_decode_get,
};

/// A client of an object store.
#[derive(Clone, Debug)]
pub struct Objects {
    /// The adapter for the wire format.
    pub adapter: ObjectAdapter,
    /// The address of the service, as IP address and port.
    pub address: String,
    /// The HTTP client that calls go through.
    pub client: Client,
}

impl Objects {
    /// Writes an object, and replaces one with the same key.
    pub async fn put(&self, key: &str, body: impl Into<Bytes>) -> Result<(), PlatformError> {
        let step = "object write";
        let request = (self.adapter.encode_put)(&self.address, key, body.into());
        let (status, answer) = self.client.call(step, &self.address, request).await?;
        if status.is_success() {
            return Ok(());
        }
        Err(PlatformError::new(step, &self.address, status_cause(status, &answer)))
    }

    /// Reads an object, if it exists.
    pub async fn get(&self, key: &str) -> Result<Option<Bytes>, PlatformError> {
        let step = "object read";
        let request = (self.adapter.encode_get)(&self.address, key);
        let (status, body) = self.client.call(step, &self.address, request).await?;
        let read = (self.adapter.decode_get)(status, body);
        read.map_err(|cause| PlatformError::new(step, &self.address, cause))
    }
}

fn s3_encode_put(address: &str, key: &str, body: Bytes) -> FullRequest {
    request("PUT", address, &format!("/{BUCKET}/{key}"), body)
}

fn s3_encode_get(address: &str, key: &str) -> FullRequest {
    request("GET", address, &format!("/{BUCKET}/{key}"), Bytes::new())
}

fn s3_decode_get(status: StatusCode, body: Bytes) -> Result<Option<Bytes>, Cause> {
    match status {
        StatusCode::OK => Ok(Some(body)),
        StatusCode::NOT_FOUND => Ok(None),
        _ => Err(status_cause(status, &body)),
    }
}
