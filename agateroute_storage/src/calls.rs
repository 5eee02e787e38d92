//! The records of calls that may not be repeated, as they stand in the table service.

use agateroute_config::digest::hex_digest;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use serde::{Deserialize, Serialize};

/// What is known of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize, derive_more::Display)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum CallState {
    /// An attempt holds the claim.
    Open,
    /// The backend server answered.
    Answered,
    /// A backend server got the call and did not answer.
    Unknown,
    /// The attempt ended before a byte was sent.
    NotRun,
}

/// The record of a call.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct CallRecord {
    /// What is known.
    pub state: CallState,
    /// Tells one attempt from another.
    pub attempt: String,
    /// The digest of method, path and body.
    pub digest: String,
    /// The organisation.
    pub organisation: String,
    /// The service.
    pub service: String,
    /// The request kind.
    pub kind: String,
    /// The caller's key.
    pub key: String,
    /// The instance that holds the claim.
    pub instance: String,
    /// When the claim was made, in milliseconds since 1970.
    pub at: u64,
    /// When an open claim can no longer be in progress, in milliseconds since 1970.
    pub until: u64,
    /// The recorded answer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub answer: Option<RecordedResponse>,
}

/// A recorded answer.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct RecordedResponse {
    /// The status.
    pub status: u16,
    /// The header fields.
    pub headers: Vec<(String, String)>,
    /// The body, in base64.
    pub body: String,
}

impl RecordedResponse {
    /// Records an answer.
    pub fn new(status: StatusCode, headers: &HeaderMap, body: &[u8]) -> RecordedResponse {
        let text = |v: &HeaderValue| v.to_str().ok().map(str::to_owned);
        let headers = headers.iter().filter_map(|(n, v)| Some((n.to_string(), text(v)?)));
        RecordedResponse {
            status: status.as_u16(),
            headers: headers.collect(),
            body: STANDARD.encode(body),
        }
    }

    /// The status, header fields and body.
    pub fn parts(&self) -> Option<(StatusCode, HeaderMap, Bytes)> {
        let mut headers = HeaderMap::new();
        for (name, value) in &self.headers {
            headers.append(name.parse::<HeaderName>().ok()?, value.parse().ok()?);
        }
        let body = STANDARD.decode(&self.body).ok()?;
        Some((StatusCode::from_u16(self.status).ok()?, headers, body.into()))
    }
}

/// The row of a call: its partition and its sort key, joined by a slash.
pub fn row_name(organisation: &str, service: &str, key: &str) -> String {
    let digest = hex_digest(format!("{organisation}\0{service}\0{key}").as_bytes());
    format!("{}/{digest}", partition(&digest[..1]))
}

/// The partitions that calls are spread over.
pub fn partitions() -> impl Iterator<Item = String> {
    (0..16).map(|n| partition(&format!("{n:x}")))
}

fn partition(digit: &str) -> String {
    format!("calls-{digit}")
}

/// The tag of a row whose attempt has settled it. It differs from the tag of an open claim, so
/// that a late open write can not undo the settling.
pub fn settled_tag(attempt: &str) -> String {
    format!("{attempt}/settled")
}
