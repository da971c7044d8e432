//! All requests that are open or have attempts in flight, by id and by name.

use super::attempt::{Attempt, AttemptId};
use super::request::{PendingRequest, RequestId};
use crate::policy::interface::WorkerId;
use std::collections::HashMap;

/// All requests that are open or have attempts in flight.
#[derive(Debug, Default)]
pub(super) struct RequestTable {
    requests: HashMap<RequestId, PendingRequest>,
    by_name: HashMap<String, RequestId>,
    /// Requests to be checked by [`RequestTable::remove_finished`], because they may be over.
    finished: Vec<RequestId>,
    next_id: u64,
}

impl RequestTable {
    /// Allocates the id of a new request.
    pub fn allocate_id(&mut self) -> RequestId {
        let id = RequestId(self.next_id);
        self.next_id += 1;
        id
    }

    /// Adds a request under an id from [`RequestTable::allocate_id`].
    pub fn insert(&mut self, id: RequestId, request: PendingRequest) {
        self.by_name.insert(request.name().to_owned(), id);
        self.requests.insert(id, request);
    }

    pub fn get(&self, id: RequestId) -> Option<&PendingRequest> {
        self.requests.get(&id)
    }

    pub fn get_mut(&mut self, id: RequestId) -> Option<&mut PendingRequest> {
        self.requests.get_mut(&id)
    }

    /// An attempt, in flight or ended.
    pub fn attempt(&self, id: AttemptId) -> Option<&Attempt> {
        self.get(id.request_id)?.attempt(id.number)
    }

    /// Mutable access to an attempt that is in flight.
    pub fn in_flight_mut(&mut self, id: AttemptId) -> Option<&mut Attempt> {
        self.get_mut(id.request_id)?.in_flight_mut(id.number)
    }

    /// Mutable access to an attempt, in flight or ended.
    pub fn attempt_mut(&mut self, id: AttemptId) -> Option<&mut Attempt> {
        self.get_mut(id.request_id)?.attempt_mut(id.number)
    }

    /// The request with this name.
    pub fn find(&self, name: &str) -> Option<RequestId> {
        self.by_name.get(name).copied()
    }

    /// The latest attempt at this worker of the request with this name.
    pub fn find_attempt(&self, name: &str, worker: WorkerId) -> Option<AttemptId> {
        let request_id = self.find(name)?;
        let attempts = self.get(request_id)?.attempts();
        let number = attempts.iter().rposition(|attempt| attempt.worker() == worker)? as u32;
        Some(AttemptId { request_id, number })
    }

    pub fn remove(&mut self, id: RequestId) -> Option<PendingRequest> {
        let request = self.requests.remove(&id)?;
        self.by_name.remove(request.name());
        Some(request)
    }

    /// Marks a request that may be over for the next [`RequestTable::remove_finished`].
    ///
    /// The request cannot be removed at once. Until the decision module has handled the end of the request, the module may still
    /// send an attempt, and that attempt must get the same number here as in the module.
    pub fn mark_finished(&mut self, id: RequestId) {
        self.finished.push(id);
    }

    /// Removes the requests that are over. To be called once the decision module has handled all events.
    pub fn remove_finished(&mut self) {
        for id in std::mem::take(&mut self.finished) {
            if self.get(id).is_some_and(PendingRequest::is_over) {
                self.remove(id);
            }
        }
    }

    /// The open requests, in order of arrival.
    pub fn open_ids(&self) -> Vec<RequestId> {
        let open = self.requests.iter().filter(|(_, request)| request.is_open());
        let mut ids: Vec<RequestId> = open.map(|(id, _)| *id).collect();
        ids.sort_unstable();
        ids
    }

    /// The names of all requests in the table.
    pub fn names(&self) -> impl Iterator<Item = &String> {
        self.by_name.keys()
    }
}
