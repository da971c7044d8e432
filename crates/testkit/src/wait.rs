//! Waiting for what other threads and processes bring about, with one timeout for all tests.

use std::net::TcpListener;
use std::time::{Duration, Instant};

/// Nothing in these tests takes this long; a hang fails instead of hanging.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Polls a condition until it holds.
///
/// # Panics
///
/// With `what` in its message, if the condition does not hold within [`WAIT_TIMEOUT`].
pub fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !holds() {
        assert!(Instant::now() < deadline, "never: {what}");
        std::thread::sleep(Duration::from_millis(1));
    }
}

/// Waits until a connection is on its way to a listener whose queue is full: its first packet was dropped.
///
/// # Panics
///
/// If none is within [`WAIT_TIMEOUT`].
pub fn wait_for_connection_attempt(listener: &TcpListener) {
    const SYN_SENT: &str = "02";
    let port = format!(":{:04X}", listener.local_addr().expect("an address").port());
    wait_until("a connection on its way", || {
        let sockets = std::fs::read_to_string("/proc/net/tcp").expect("the kernel lists connections");
        let fields = sockets.lines().map(|line| line.split_whitespace().collect::<Vec<_>>());
        fields.into_iter().any(|f| f.len() > 3 && f[2].ends_with(&port) && f[3] == SYN_SENT)
    });
}
