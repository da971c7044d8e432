//! The requests that clients await responses to, as they were read: each attempt is encoded from these bytes.

use crate::core::RequestId;
use crate::protocol::platform::RawRequest;
use std::collections::{HashMap, HashSet};

/// The requests that are open.
#[derive(Default)]
pub(super) struct PendingRequests {
    requests: HashMap<RequestId, RawRequest>,
    /// Those that have lost an attempt with its connection.
    with_broken_attempt: HashSet<RequestId>,
}

impl PendingRequests {
    /// Adds a request that the core has accepted.
    pub fn insert(&mut self, request_id: RequestId, request: RawRequest) {
        self.requests.insert(request_id, request);
    }

    /// An open request.
    pub fn get(&self, request_id: RequestId) -> Option<&RawRequest> {
        self.requests.get(&request_id)
    }

    /// Whether a request is open still.
    pub fn contains(&self, request_id: RequestId) -> bool {
        self.requests.contains_key(&request_id)
    }

    /// Drops a request that is over.
    pub fn remove(&mut self, request_id: RequestId) {
        self.requests.remove(&request_id);
        self.with_broken_attempt.remove(&request_id);
    }

    /// Records that an open request has lost an attempt with its connection.
    pub fn record_broken_attempt(&mut self, request_id: RequestId) {
        if self.contains(request_id) {
            self.with_broken_attempt.insert(request_id);
        }
    }

    /// Whether a request has lost an attempt with its connection.
    pub fn has_broken_attempt(&self, request_id: RequestId) -> bool {
        self.with_broken_attempt.contains(&request_id)
    }
}
