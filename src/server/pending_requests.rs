//! The requests whose clients await a response, as they were read. Each attempt is encoded from these bytes.

use crate::core::RequestId;
use crate::protocol::platform::RawRequest;
use std::collections::{HashMap, HashSet};

/// The open requests.
#[derive(Default)]
pub(super) struct PendingRequests {
    requests: HashMap<RequestId, RawRequest>,
    /// The memory of all requests, in bytes.
    bytes: usize,
    /// The open requests that lost an attempt because its connection broke.
    with_broken_attempt: HashSet<RequestId>,
}

impl PendingRequests {
    /// Adds a request that the core has accepted.
    pub fn insert(&mut self, request_id: RequestId, request: RawRequest) {
        self.bytes += request.memory();
        if let Some(replaced) = self.requests.insert(request_id, request) {
            self.bytes -= replaced.memory();
        }
    }

    /// The memory of all requests, in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns an open request; `None` if it is not open.
    pub fn get(&self, request_id: RequestId) -> Option<&RawRequest> {
        self.requests.get(&request_id)
    }

    /// Whether a request is still open.
    pub fn contains(&self, request_id: RequestId) -> bool {
        self.requests.contains_key(&request_id)
    }

    /// Drops a request that has ended.
    pub fn remove(&mut self, request_id: RequestId) {
        if let Some(removed) = self.requests.remove(&request_id) {
            self.bytes -= removed.memory();
        }
        self.with_broken_attempt.remove(&request_id);
    }

    /// Records that an open request lost an attempt because its connection broke. Does nothing if the request is not open.
    pub fn record_broken_attempt(&mut self, request_id: RequestId) {
        if self.contains(request_id) {
            self.with_broken_attempt.insert(request_id);
        }
    }

    /// Whether an open request has lost an attempt because its connection broke.
    pub fn has_broken_attempt(&self, request_id: RequestId) -> bool {
        self.with_broken_attempt.contains(&request_id)
    }
}
