//! A client's request, from its last byte to its final response.

use super::attempt::Attempt;
use super::commands::DownstreamId;
use super::idempotency::IdempotencyKey;
use crate::policy::interface::{JobId, Micros, NewJob, WorkerId};
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
    pub fn is_over(&self) -> bool {
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

    /// An attempt, in flight or ended.
    pub fn attempt(&self, number: u32) -> Option<&Attempt> {
        self.attempts.get(number as usize)
    }

    /// The same, to be changed.
    pub fn attempt_mut(&mut self, number: u32) -> Option<&mut Attempt> {
        self.attempts.get_mut(number as usize)
    }

    /// An attempt that is in flight.
    pub fn in_flight(&self, number: u32) -> Option<&Attempt> {
        self.attempt(number).filter(|attempt| attempt.is_in_flight())
    }

    /// The same, to be changed.
    pub fn in_flight_mut(&mut self, number: u32) -> Option<&mut Attempt> {
        self.attempt_mut(number).filter(|attempt| attempt.is_in_flight())
    }

    /// Whether this worker has an attempt of it.
    pub fn is_in_flight_at(&self, worker: WorkerId) -> bool {
        self.attempts.iter().any(|attempt| attempt.worker() == worker && attempt.is_in_flight())
    }
}
