//! The back-off after failed requests for the endpoint list.

/// The maximum number of doublings of the wait for an endpoint list.
const MAX_DOUBLINGS: u32 = 3;

/// The number of consecutive failed requests for the endpoint list, up to [`MAX_DOUBLINGS`].
#[derive(Debug, Default)]
pub(super) struct ListBackoff {
    failures: u32,
}

impl ListBackoff {
    /// Records that a request for the list has failed.
    pub fn record_failure(&mut self) {
        self.failures = (self.failures + 1).min(MAX_DOUBLINGS);
    }

    /// Records that a list has arrived.
    pub fn record_success(&mut self) {
        self.failures = 0;
    }

    /// The number of times that the wait for the next list is doubled.
    pub fn doublings(&self) -> u32 {
        self.failures
    }
}
