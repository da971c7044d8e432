//! Waiting for conditions that other threads and processes bring about, with one timeout for all tests.

use std::net::TcpListener;
use std::time::{Duration, Instant};

/// The timeout of all waits, which exceeds anything that tests wait for. It turns a hang into a failure.
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

/// Waits until there is a connection attempt to a listener whose queue is full, so that its first packet was dropped.
///
/// # Panics
///
/// If there is none within [`WAIT_TIMEOUT`].
pub fn wait_for_connection_attempt(listener: &TcpListener) {
    /// The state of such a connection in `/proc/net/tcp`.
    const SYN_SENT: &str = "02";
    /// The columns of the remote address and of the state.
    const REMOTE: usize = 2;
    const STATE: usize = 3;
    let port = format!(":{:04X}", listener.local_addr().expect("an address").port());
    wait_until("a connection on its way", || {
        let sockets = std::fs::read_to_string("/proc/net/tcp").expect("the kernel lists connections");
        let fields = sockets.lines().map(|line| line.split_whitespace().collect::<Vec<_>>());
        fields.into_iter().any(|fields| {
            fields.len() > STATE && fields[REMOTE].ends_with(&port) && fields[STATE] == SYN_SENT
        })
    });
}
