//! What a process has in memory, as Linux says.

/// A figure of `/proc/PID/status` in KiB, such as `VmRSS` (resident now) or `VmHWM` (the most that ever was).
///
/// # Panics
///
/// The process is not there, or has no such figure.
pub fn memory_kib(pid: u32, figure: &str) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).expect("the process runs");
    let prefix = format!("{figure}:");
    let value = status.lines().find_map(|line| line.strip_prefix(&prefix)).expect("a figure of its memory");
    value.trim().trim_end_matches(" kB").parse().expect("a number")
}
