//! Waiting for conditions that depend on other threads and processes, with one timeout for all tests.

use std::net::TcpListener;
use std::time::{Duration, Instant};

/// The timeout of all waits. It exceeds every time that tests wait for, and turns a hang into a failure.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Polls a condition until it holds.
///
/// # Panics
///
/// With `what` in its message, if the condition does not hold within [`WAIT_TIMEOUT`].
pub fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !holds() {
        assert!(Instant::now() < deadline, "not within {WAIT_TIMEOUT:?}: {what}");
        std::thread::sleep(Duration::from_millis(1));
    }
}

/// Waits until a connection attempt to a listener whose accept queue is full has been started, so that its SYN was dropped.
///
/// # Panics
///
/// If there is none within [`WAIT_TIMEOUT`].
pub fn wait_for_connection_attempt(listener: &TcpListener) {
    /// The state of a pending connection attempt in `/proc/net/tcp`.
    const SYN_SENT: &str = "02";
    /// The columns of the remote address and of the state in `/proc/net/tcp`.
    const REMOTE: usize = 2;
    const STATE: usize = 3;
    let port = format!(":{:04X}", listener.local_addr().expect("no local address").port());
    wait_until("a connection attempt is pending", || {
        let sockets = std::fs::read_to_string("/proc/net/tcp").expect("cannot read /proc/net/tcp");
        let fields = sockets.lines().map(|line| line.split_whitespace().collect::<Vec<_>>());
        fields.into_iter().any(|fields| {
            fields.len() > STATE && fields[REMOTE].ends_with(&port) && fields[STATE] == SYN_SENT
        })
    });
}
