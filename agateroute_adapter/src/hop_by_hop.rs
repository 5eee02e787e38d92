//! Header fields that concern only one connection.

use http::{HeaderMap, HeaderName, header};

/// The fields that concern only one connection whatever a message says.
const HOP_BY_HOP_FIELDS: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Whether a field concerns only one connection whatever a message says.
pub fn is_hop_by_hop(name: &str) -> bool {
    HOP_BY_HOP_FIELDS.binary_search(&name).is_ok()
}

/// Whether a field is not passed on, since it concerns one connection or is named as such by the
/// message itself.
pub fn is_connection_specific(headers: &HeaderMap, name: &HeaderName) -> bool {
    let named = |value: &http::HeaderValue| {
        let fields = value.to_str().unwrap_or_default();
        fields.split(',').any(|f| f.trim().eq_ignore_ascii_case(name.as_str()))
    };
    is_hop_by_hop(name.as_str()) || headers.get_all(header::CONNECTION).iter().any(named)
}
