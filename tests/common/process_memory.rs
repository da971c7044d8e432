//! The memory of a process, as Linux reports it.

/// A field of `/proc/PID/status` in KiB, such as `VmRSS` (resident memory) or `VmHWM` (its peak).
///
/// # Panics
///
/// If the process does not run, or if there is no such field.
pub fn memory_kib(pid: u32, field: &str) -> u64 {
    let status =
        std::fs::read_to_string(format!("/proc/{pid}/status")).expect("cannot read /proc/PID/status");
    let prefix = format!("{field}:");
    let value = status.lines().find_map(|line| line.strip_prefix(&prefix)).expect("no such field");
    value.trim().trim_end_matches(" kB").parse().expect("not a number")
}
