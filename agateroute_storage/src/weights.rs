//! The weight store, in the path-style form of the S3 API, with the size of each model version.

use bytes::Bytes;
use http::StatusCode;

use crate::error::{Cause, PlatformError};
use crate::http::{Client, FullRequest, request, status_cause};

/// The functions that encode and decode a weight store's wire format.
#[derive(Clone, Copy, Debug)]
pub struct WeightAdapter {
    /// Encodes a read of a manifest, from the service's address, the model and the version.
    pub encode_get: fn(&str, &str, &str) -> FullRequest,
    /// Decodes the response to a read; `None` if the store does not have the version.
    pub decode_get: fn(StatusCode, &[u8]) -> Result<Option<Weights>, Cause>,
}

/// The manifest of a model version, as the weight store holds it in JSON.
#[derive(Clone, Debug, PartialEq, Eq, serde::Deserialize, serde::Serialize)]
pub struct Weights {
    /// The size of the weights, in bytes.
    pub bytes: u64,
}

/// The adapter for manifests stored as objects of the S3 API.
pub const S3_MANIFEST: WeightAdapter =
    WeightAdapter { encode_get: s3_encode_manifest, decode_get: s3_decode_manifest };

/// A client of a weight store.
#[derive(Clone, Debug)]
pub struct WeightStore {
    /// The adapter for the wire format.
    pub adapter: WeightAdapter,
    /// The address of the service, as IP address and port.
    pub address: String,
    /// The HTTP client that calls go through.
    pub client: Client,
}

impl WeightStore {
    /// Reads the manifest of a version, if the store has it.
    pub async fn manifest(
        &self,
        model: &str,
        version: &str,
    ) -> Result<Option<Weights>, PlatformError> {
        let step = "weight manifest";
        let request = (self.adapter.encode_get)(&self.address, model, version);
        let (status, body) = self.client.call(step, &self.address, request).await?;
        let read = (self.adapter.decode_get)(status, &body);
        read.map_err(|cause| PlatformError::new(step, &self.address, cause))
    }
}

fn s3_encode_manifest(address: &str, model: &str, version: &str) -> FullRequest {
    request("GET", address, &format!("/weights/{model}/{version}/manifest.json"), Bytes::new())
}

fn s3_decode_manifest(status: StatusCode, body: &[u8]) -> Result<Option<Weights>, Cause> {
    match status {
        StatusCode::OK => {
            serde_json::from_slice(body).map(Some).map_err(|e| Cause::Decode(e.to_string()))
        }
        StatusCode::NOT_FOUND => Ok(None),
        _ => Err(status_cause(status, body)),
    }
}
