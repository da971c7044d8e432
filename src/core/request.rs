//! A client's request, from its last byte to its final response, and the table of all of them.

use super::attempt::{Attempt, AttemptId};
use super::commands::DownstreamId;
use super::idempotency::IdempotencyKey;
use crate::policy::interface::{JobId, Micros, NewJob, WorkerId};
use std::collections::HashMap;
use std::fmt::{self, Display, Formatter};

/// A request of a client; numbered from 0 in the order of arrival at this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

impl RequestId {
    /// The request's id in the decision module.
    pub(super) fn job(self) -> JobId {
        JobId(self.0)
    }
}

impl From<JobId> for RequestId {
    fn from(job: JobId) -> RequestId {
        RequestId(job.0)
    }
}

impl Display for RequestId {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// A request that is open, or that still has attempts in flight.
#[derive(Debug)]
pub(super) struct PendingRequest {
    name: String,
    job: NewJob,
    arrived_at: Micros,
    downstream: DownstreamId,
    phase: RequestPhase,
    is_start_notified: bool,
    idempotency_key: Option<IdempotencyKey>,
    /// By their numbers.
    attempts: Vec<Attempt>,
}

/// How far a request has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestPhase {
    /// Its final response is owed.
    Open,
    /// The same, and its deadline has passed: the core itself responds at this time.
    Overdue {
        /// When.
        respond_at: Micros,
    },
    /// It has its final response, or its client has disconnected.
    Closed,
}

impl PendingRequest {
    /// An open request without attempts, whose final response goes to `downstream`.
    pub fn new(
        name: String,
        job: NewJob,
        arrived_at: Micros,
        downstream: DownstreamId,
        idempotency_key: Option<IdempotencyKey>,
    ) -> PendingRequest {
        PendingRequest {
            name,
            job,
            arrived_at,
            downstream,
            phase: RequestPhase::Open,
            is_start_notified: false,
            idempotency_key,
            attempts: Vec::new(),
        }
    }

    /// The same, with what another process has done for it.
    pub fn with_history(self, attempts: Vec<Attempt>, is_start_notified: bool) -> PendingRequest {
        PendingRequest { attempts, is_start_notified, ..self }
    }

    /// The client's id of it, by which workers name it.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// What the decision module knows of it.
    pub fn job(&self) -> &NewJob {
        &self.job
    }

    /// When it arrived.
    pub fn arrived_at(&self) -> Micros {
        self.arrived_at
    }

    /// Where the final response goes.
    pub fn downstream(&self) -> DownstreamId {
        self.downstream
    }

    /// The key that its client gave it, where such keys are recorded.
    pub fn idempotency_key(&self) -> Option<&IdempotencyKey> {
        self.idempotency_key.as_ref()
    }

    /// Whether its client was notified that it has started.
    pub fn is_start_notified(&self) -> bool {
        self.is_start_notified
    }

    /// Its client is notified that it has started. Returns whether that is due, and has not been done before.
    pub fn mark_start_notified(&mut self) -> bool {
        !std::mem::replace(&mut self.is_start_notified, true)
    }

    /// Whether its final response is still owed.
    pub fn is_open(&self) -> bool {
        self.phase != RequestPhase::Closed
    }

    /// When the core itself responds, if the deadline has passed without a response.
    pub fn overdue_response_at(&self) -> Option<Micros> {
        match self.phase {
            RequestPhase::Overdue { respond_at } => Some(respond_at),
            RequestPhase::Open | RequestPhase::Closed => None,
        }
    }

    /// Its deadline has passed: the core itself responds at this time.
    pub fn mark_overdue(&mut self, respond_at: Micros) {
        self.phase = RequestPhase::Overdue { respond_at };
    }

    /// It has its final response, or its client has disconnected.
    pub fn close(&mut self) {
        self.phase = RequestPhase::Closed;
    }

    /// Whether it is over: closed, with nothing in flight.
    fn is_over(&self) -> bool {
        !self.is_open() && !self.attempts.iter().any(Attempt::is_in_flight)
    }

    /// Its attempts, by their numbers.
    pub fn attempts(&self) -> &[Attempt] {
        &self.attempts
    }

    /// The number that its next attempt gets.
    pub fn next_attempt_number(&self) -> u32 {
        self.attempts.len() as u32
    }

    /// Adds an attempt, under [`PendingRequest::next_attempt_number`].
    pub fn add_attempt(&mut self, attempt: Attempt) {
        self.attempts.push(attempt);
    }

    /// An attempt that is in flight.
    pub fn in_flight(&self, number: u32) -> Option<&Attempt> {
        self.attempts.get(number as usize).filter(|attempt| attempt.is_in_flight())
    }

    /// The same, to be changed.
    pub fn in_flight_mut(&mut self, number: u32) -> Option<&mut Attempt> {
        self.attempts.get_mut(number as usize).filter(|attempt| attempt.is_in_flight())
    }

    /// Whether this worker has an attempt of it.
    pub fn is_in_flight_at(&self, worker: WorkerId) -> bool {
        self.attempts.iter().any(|attempt| attempt.worker() == worker && attempt.is_in_flight())
    }
}

/// All requests that are not over.
#[derive(Debug, Default)]
pub(super) struct RequestTable {
    requests: HashMap<RequestId, PendingRequest>,
    by_name: HashMap<String, RequestId>,
    /// Those that may be over, until the next sweep.
    finished: Vec<RequestId>,
    next_id: u64,
}

impl RequestTable {
    /// The id of the next request.
    pub fn allocate_id(&mut self) -> RequestId {
        let id = RequestId(self.next_id);
        self.next_id += 1;
        id
    }

    /// Adds a request, under an id of [`RequestTable::allocate_id`].
    pub fn insert(&mut self, id: RequestId, request: PendingRequest) {
        self.by_name.insert(request.name.clone(), id);
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
        self.get(id.request_id)?.attempts.get(id.number as usize)
    }

    /// An attempt that is in flight, to be changed.
    pub fn in_flight_mut(&mut self, id: AttemptId) -> Option<&mut Attempt> {
        self.get_mut(id.request_id)?.in_flight_mut(id.number)
    }

    /// An attempt, in flight or ended, to be changed.
    pub fn attempt_mut(&mut self, id: AttemptId) -> Option<&mut Attempt> {
        self.get_mut(id.request_id)?.attempts.get_mut(id.number as usize)
    }

    /// The request of this name.
    pub fn find(&self, name: &str) -> Option<RequestId> {
        self.by_name.get(name).copied()
    }

    /// The latest attempt of the request of this name at this worker.
    pub fn find_attempt(&self, name: &str, worker: WorkerId) -> Option<AttemptId> {
        let request_id = self.find(name)?;
        let attempts = &self.get(request_id)?.attempts;
        let number = attempts.iter().rposition(|attempt| attempt.worker() == worker)? as u32;
        Some(AttemptId { request_id, number })
    }

    pub fn remove(&mut self, id: RequestId) -> Option<PendingRequest> {
        let request = self.requests.remove(&id)?;
        self.by_name.remove(&request.name);
        Some(request)
    }

    /// Remembers a request that may be over for the next [`RequestTable::remove_finished`].
    ///
    /// It may not be removed at once: until the decision module has handled the request's end it may still send an attempt of
    /// it, and that attempt must get the number that the module gives it.
    pub fn mark_finished(&mut self, id: RequestId) {
        self.finished.push(id);
    }

    /// Removes the requests that are over. To be called once the module has handled all events.
    pub fn remove_finished(&mut self) {
        for id in std::mem::take(&mut self.finished) {
            if self.get(id).is_some_and(PendingRequest::is_over) {
                self.remove(id);
            }
        }
    }

    /// The open requests, in the order of their arrival.
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
