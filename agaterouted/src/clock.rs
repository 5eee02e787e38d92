//! Wall-clock times, for records and pages only: decisions use the monotonic clock.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Milliseconds since 1970.
pub fn unix_millis() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// Seconds since 1970.
pub fn unix_seconds() -> u64 {
    unix_millis() / 1000
}

/// The day of a time in seconds since 1970, as YYYY-MM-DD in UTC.
pub fn day_of(seconds: u64) -> String {
    let time = UNIX_EPOCH + Duration::from_secs(seconds);
    humantime::format_rfc3339_seconds(time).to_string().chars().take(10).collect()
}
