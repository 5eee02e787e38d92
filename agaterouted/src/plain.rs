//! The adapter for plain servers, to which calls are forwarded over HTTP.

use agateroute_adapter::hop_by_hop::is_hop_by_hop;
use agateroute_core::event::LoadReport;
use bytes::Bytes;
use http::{HeaderMap, Method, Request, header};
use http_body_util::Full;

use crate::engine::{ServerRequest, decode_load_report};

/// The header that carries the fencing number of a claim.
const FENCING_HEADER: &str = "fencing-token";
/// The header that carries the idempotency key of a call that may not be repeated.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// A call to encode for a plain server.
#[derive(Clone, Debug)]
pub struct OutgoingCall<'a> {
    /// The HTTP method.
    pub method: &'a Method,
    /// The path below that of the service, with the query string.
    pub path: &'a str,
    /// The header fields of the caller; those of one connection are left out when encoding.
    pub headers: &'a HeaderMap,
    /// The whole body.
    pub body: &'a Bytes,
    /// The name of the calling organisation, sent as a header.
    pub organisation: &'a str,
    /// The fencing number of the claim, for servers that reject outdated ones.
    pub fencing: Option<u64>,
}

/// The functions that encode and decode a plain server's wire format. Encoders take the address first.
#[derive(Clone, Copy, Debug)]
pub struct PlainAdapter {
    /// Encodes a call.
    pub call: fn(&str, &OutgoingCall<'_>) -> ServerRequest,
    /// Encodes a read of the load report.
    pub report: fn(&str) -> ServerRequest,
    /// Decodes a load report.
    pub decode_report: fn(&[u8]) -> serde_json::Result<LoadReport>,
}

/// The adapter for plain HTTP servers.
pub const HTTP: PlainAdapter =
    PlainAdapter { call: http_call, report: http_report, decode_report: decode_load_report };

/// Header fields that are created again for each server, or hold the key of the caller. Sorted.
const REPLACED_FIELDS: [&str; 4] = ["authorization", "content-length", "expect", "host"];

/// Whether a header field is forwarded, in either direction.
pub fn is_forwarded(name: &str) -> bool {
    REPLACED_FIELDS.binary_search(&name).is_err() && !is_hop_by_hop(name)
}

fn http_call(address: &str, call: &OutgoingCall<'_>) -> ServerRequest {
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    if let Ok(uri) = format!("http://{address}/{}", call.path).parse() {
        *request.uri_mut() = uri;
    }
    let headers = request.headers_mut();
    for (name, value) in call.headers {
        if is_forwarded(name.as_str()) {
            headers.append(name.clone(), value.clone());
        }
    }
    if let Ok(organisation) = call.organisation.parse() {
        headers.insert("agateroute-organisation", organisation);
    }
    if let Some(number) = call.fencing {
        headers.insert(FENCING_HEADER, number.into());
    }
    request
}

fn http_report(address: &str) -> ServerRequest {
    let uri = format!("http://{address}/load");
    Request::builder()
        .uri(uri)
        .header(header::ACCEPT, "application/json")
        .body(Full::default())
        .unwrap_or_default()
}
