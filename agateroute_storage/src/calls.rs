//! The records of calls that may not be repeated, stored in the table service.

use agateroute_config::digest::hex_digest;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use serde::{Deserialize, Serialize};

/// The state of a recorded call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize, derive_more::Display)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum CallState {
    /// An attempt holds the claim, and its outcome is not recorded yet.
    Open,
    /// The backend server responded; the response is in the record.
    Answered,
    /// A backend server received the call and did not respond.
    Unknown,
    /// The attempt ended before a byte was sent, so the call has not run.
    NotRun,
}

/// The record of a call, stored as the JSON content of its row.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct CallRecord {
    /// Whether the call is open, and how it ended.
    pub state: CallState,
    /// The id of the attempt, unique to it.
    pub attempt: String,
    /// The digest of method, path and body, which detects a key that is reused for another call.
    pub digest: String,
    /// The name of the organisation that made the call.
    pub organisation: String,
    /// The name of the called service.
    pub service: String,
    /// The name of the request kind of the call.
    pub kind: String,
    /// The idempotency key that the caller sent.
    pub key: String,
    /// The instance that holds the claim.
    pub instance: String,
    /// When the attempt claimed the call, in milliseconds since 1970.
    pub at: u64,
    /// When an open claim can no longer be in progress, in milliseconds since 1970.
    pub until: u64,
    /// The recorded response, if there is one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub answer: Option<RecordedResponse>,
}

/// A response to a call, recorded so that a repeated call gets it again.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct RecordedResponse {
    /// The HTTP status code of the response.
    pub status: u16,
    /// The header fields with text values.
    pub headers: Vec<(String, String)>,
    /// The body of the response, in base64.
    pub body: String,
}

impl RecordedResponse {
    /// Records a response. Header fields with values that are not text are left out.
    pub fn new(status: StatusCode, headers: &HeaderMap, body: &[u8]) -> RecordedResponse {
        let text = |v: &HeaderValue| v.to_str().ok().map(str::to_owned);
        let headers = headers.iter().filter_map(|(n, v)| Some((n.to_string(), text(v)?)));
        RecordedResponse {
            status: status.as_u16(),
            headers: headers.collect(),
            body: STANDARD.encode(body),
        }
    }

    /// Decodes the status, header fields and body, or returns `None` if the record is invalid.
    pub fn parts(&self) -> Option<(StatusCode, HeaderMap, Bytes)> {
        let mut headers = HeaderMap::new();
        for (name, value) in &self.headers {
            headers.append(name.parse::<HeaderName>().ok()?, value.parse().ok()?);
        }
        let body = STANDARD.decode(&self.body).ok()?;
        Some((StatusCode::from_u16(self.status).ok()?, headers, body.into()))
    }
}

/// Returns the row name of a call: its partition and sort key, joined by a slash.
pub fn row_name(organisation: &str, service: &str, key: &str) -> String {
    let digest = hex_digest(format!("{organisation}\0{service}\0{key}").as_bytes());
    format!("{}/{digest}", partition(&digest[..1]))
}

/// Returns the partitions over which calls are spread.
pub fn partitions() -> impl Iterator<Item = String> {
    (0..16).map(|n| partition(&format!("{n:x}")))
}

fn partition(digit: &str) -> String {
    format!("calls-{digit}")
}

/// Returns the tag of a settled row. It differs from an open claim's, so a late open write fails.
pub fn settled_tag(attempt: &str) -> String {
    format!("{attempt}/settled")
}
