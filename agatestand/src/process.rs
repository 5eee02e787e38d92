//! Processor time and memory of a process, read from `/proc`.

/// Unit of processor time in `/proc/PID/stat`, as `sysconf(_SC_CLK_TCK)` returns it on Linux.
const TICKS_PER_SECOND: f64 = 100.0;
/// Size of a page, the unit of memory in `/proc/PID/statm`.
const PAGE_BYTES: u64 = 4096;
/// Indices of user and system time in `/proc/PID/stat`, counted after the program name.
const USER_TIME_FIELD: usize = 11;
const SYSTEM_TIME_FIELD: usize = 12;

/// Resources used by a process.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// User and system processor time since the process started.
    pub cpu_seconds: f64,
    /// Resident memory of the process.
    pub memory_bytes: u64,
}

/// Returns the resources that a process has used so far; zeros if it does not exist.
pub fn usage(pid: u32) -> Usage {
    let read = |file: &str| std::fs::read_to_string(format!("/proc/{pid}/{file}"));
    let number = |text: &str, at: usize| -> u64 {
        text.split_whitespace().nth(at).and_then(|n| n.parse().ok()).unwrap_or(0)
    };
    let stat = read("stat").unwrap_or_default();
    let rest = stat.rsplit(')').next().unwrap_or_default();
    let ticks = number(rest, USER_TIME_FIELD) + number(rest, SYSTEM_TIME_FIELD);
    let pages = number(&read("statm").unwrap_or_default(), 1);
    Usage { cpu_seconds: ticks as f64 / TICKS_PER_SECOND, memory_bytes: pages * PAGE_BYTES }
}
