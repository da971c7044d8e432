//! How often the endpoint list could not be had in a row.

/// How often the wait for an endpoint list may double.
const MAX_DOUBLINGS: u32 = 3;

/// Failed requests for the endpoint list in a row, as far as the back-off counts them.
#[derive(Debug, Default)]
pub(super) struct ListBackoff {
    failures: u32,
}

impl ListBackoff {
    /// A request for the list has failed.
    pub fn record_failure(&mut self) {
        self.failures = (self.failures + 1).min(MAX_DOUBLINGS);
    }

    /// A list has arrived.
    pub fn record_success(&mut self) {
        self.failures = 0;
    }

    /// How often the wait for the next list is doubled.
    pub fn doublings(&self) -> u32 {
        self.failures
    }
}
