//! The change feed of a table, read by long polling.

use std::time::Duration;

use agateroute_storage::error::Cause;
use agateroute_storage::http::FullRequest;
use http::StatusCode;

/// The functions that encode reads of a table and decode the responses.
#[derive(Clone, Copy, Debug)]
pub struct FeedAdapter {
    /// Encodes a long poll for the changes of a table, from the service's address, the table, the
    /// revision after which changes are returned, and the maximum wait.
    pub encode_changes: fn(&str, &str, u64, Duration) -> FullRequest,
    /// Encodes a read of one page of a table, from the service's address, the table, and the last
    /// key of the previous page; empty for the first page.
    pub encode_page: fn(&str, &str, &str) -> FullRequest,
    /// Decodes either response. [`Cause::Gone`] means that the changes were compacted away.
    pub decode: fn(StatusCode, &[u8]) -> Result<Changes, Cause>,
}

/// The rows of one response to a read of a table or of its changes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// The rows, in the order of their changes, or by key in a page.
    pub rows: Vec<RowChange>,
    /// The revision up to which the response is complete.
    pub revision: u64,
    /// Whether more rows follow, which another request must read.
    pub has_more: bool,
}

/// A row that was written or removed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RowChange {
    /// The key of the row, without the table's name.
    pub key: String,
    /// The revision of the write or removal.
    pub revision: u64,
    /// The content; `None` if the row was removed.
    pub value: Option<Vec<u8>>,
}
