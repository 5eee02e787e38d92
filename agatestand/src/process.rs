//! Processor time and memory of a process, as the kernel tells them.

/// The clock ticks in a second that the kernel counts processor time in.
const TICKS_PER_SECOND: f64 = 100.0;
/// The bytes in a page of memory.
const PAGE_BYTES: u64 = 4096;
/// The fields of user and system time in `/proc/PID/stat` behind the name of the program.
const USER_TIME_FIELD: usize = 11;
const SYSTEM_TIME_FIELD: usize = 12;

/// What a process has used.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// Processor time, in seconds.
    pub cpu_seconds: f64,
    /// Resident memory, in bytes.
    pub memory_bytes: u64,
}

/// Reads what a process has used so far; zeros where there is no such process.
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
