//! Clocks in addition to the monotonic one: the wall clock, for records and pages only, and the boot clock,
//! which counts time in suspension.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use agateroute_core::id::Millis;
use rustix::time::{ClockId, clock_gettime};

/// Milliseconds since boot, including time in suspension. Time limits that must hold after an instance
/// resumes are measured on this clock.
pub fn boot_millis() -> Millis {
    let now = clock_gettime(ClockId::Boottime);
    now.tv_sec as Millis * 1000 + now.tv_nsec as Millis / 1_000_000
}

/// Milliseconds of the wall clock since 1970.
pub fn unix_millis() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// Seconds of the wall clock since 1970.
pub fn unix_seconds() -> u64 {
    unix_millis() / 1000
}

/// Formats the UTC day of a time in seconds since 1970 as YYYY-MM-DD.
pub fn day_of(seconds: u64) -> String {
    let time = UNIX_EPOCH + Duration::from_secs(seconds);
    humantime::format_rfc3339_seconds(time).to_string().chars().take(10).collect()
}
