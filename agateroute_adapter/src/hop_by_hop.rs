//! Hop-by-hop header fields, which are not forwarded.

use http::{HeaderMap, HeaderName, header};

/// The fields that are hop-by-hop in every message, sorted for the binary search.
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

/// Whether a field is hop-by-hop in every message. `name` is in lower case.
pub fn is_hop_by_hop(name: &str) -> bool {
    HOP_BY_HOP_FIELDS.binary_search(&name).is_ok()
}

/// Whether a field must not be forwarded, because it is hop-by-hop in every message or because
/// the `Connection` field of this message lists it.
pub fn is_connection_specific(headers: &HeaderMap, name: &HeaderName) -> bool {
    let named = |value: &http::HeaderValue| {
        let fields = value.to_str().unwrap_or_default();
        fields.split(',').any(|f| f.trim().eq_ignore_ascii_case(name.as_str()))
    };
    is_hop_by_hop(name.as_str()) || headers.get_all(header::CONNECTION).iter().any(named)
}
