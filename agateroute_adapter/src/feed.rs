//! Changes of a table, read as they come.

use std::time::Duration;

use agateroute_storage::error::Cause;
use agateroute_storage::http::FullRequest;
use http::StatusCode;

/// The functions that read the changes of a table.
#[derive(Clone, Copy, Debug)]
pub struct FeedAdapter {
    /// Encodes a read of the changes of a table after a revision. The answer comes as soon as there
    /// is a change, or after the wait.
    pub changes: fn(&str, &str, u64, Duration) -> FullRequest,
    /// Encodes a read of a page of a whole table after a key, empty for the first page.
    pub page: fn(&str, &str, &str) -> FullRequest,
    /// Decodes either answer. [`Cause::Gone`] says that the changes are no longer kept.
    pub decode: fn(StatusCode, &[u8]) -> Result<Changes, Cause>,
}

/// Rows of a table as an answer tells them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// The rows, in the order of their changes, or of their keys in a page.
    pub rows: Vec<RowChange>,
    /// The revision up to which the answer speaks.
    pub revision: u64,
    /// Whether there are further pages.
    pub has_more: bool,
}

/// A row that was written or removed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RowChange {
    /// The key.
    pub key: String,
    /// The revision at which it was written.
    pub revision: u64,
    /// The content; none where the row was removed.
    pub value: Option<Vec<u8>>,
}
