//! A client's request, from the receipt of its last byte until its final response and the end of its attempts.

use super::attempt::Attempt;
use super::commands::DownstreamId;
use super::idempotency::IdempotencyKey;
use crate::policy::interface::{JobId, Micros, NewJob, WorkerId};
use std::fmt::{self, Display, Formatter};

/// Identifies a client's request. Ids count from 0, in the order of arrival at this process.
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

/// A request that is open or has attempts in flight.
#[derive(Debug)]
pub(super) struct PendingRequest {
    name: String,
    job: NewJob,
    arrived_at: Micros,
    downstream: DownstreamId,
    phase: RequestPhase,
    is_start_notified: bool,
    idempotency_key: Option<IdempotencyKey>,
    /// The attempts, by number.
    attempts: Vec<Attempt>,
}

/// The phase of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestPhase {
    /// The final response has not been sent.
    Open,
    /// The final response has not been sent although the deadline has passed. The core itself will respond.
    Overdue {
        /// When the core will respond.
        respond_at: Micros,
    },
    /// The final response was sent, or the client has disconnected.
    Closed,
}

impl PendingRequest {
    /// Creates an open request without attempts. The final response goes to `downstream`.
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

    /// Sets the attempts that another process has made for the request.
    pub fn with_attempts(self, attempts: Vec<Attempt>) -> PendingRequest {
        PendingRequest { attempts, ..self }
    }

    /// The request id that the client chose. Workers state it in their callbacks.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// The job that represents the request in the decision module.
    pub fn job(&self) -> &NewJob {
        &self.job
    }

    /// When the request arrived.
    pub fn arrived_at(&self) -> Micros {
        self.arrived_at
    }

    /// The receiver of the final response.
    pub fn downstream(&self) -> DownstreamId {
        self.downstream
    }

    /// The idempotency key; `None` if the request has none or keys are not recorded.
    pub fn idempotency_key(&self) -> Option<&IdempotencyKey> {
        self.idempotency_key.as_ref()
    }

    /// Whether the client has been notified that the job has started.
    pub fn is_start_notified(&self) -> bool {
        self.is_start_notified
    }

    /// Records that the client is notified of the job's start. Returns whether the client had not been notified before.
    pub fn mark_start_notified(&mut self) -> bool {
        !std::mem::replace(&mut self.is_start_notified, true)
    }

    /// Whether the request is not closed.
    pub fn is_open(&self) -> bool {
        self.phase != RequestPhase::Closed
    }

    /// When the core itself will respond; `None` unless the request is overdue.
    pub fn overdue_response_at(&self) -> Option<Micros> {
        match self.phase {
            RequestPhase::Overdue { respond_at } => Some(respond_at),
            RequestPhase::Open | RequestPhase::Closed => None,
        }
    }

    /// Marks the request as past its deadline. The core itself will respond at `respond_at`.
    pub fn mark_overdue(&mut self, respond_at: Micros) {
        self.phase = RequestPhase::Overdue { respond_at };
    }

    /// Closes the request: the final response was sent, or the client has disconnected.
    pub fn close(&mut self) {
        self.phase = RequestPhase::Closed;
    }

    /// Whether the request is closed and has no attempt in flight.
    pub fn is_over(&self) -> bool {
        !self.is_open() && !self.attempts.iter().any(Attempt::is_in_flight)
    }

    /// The attempts, by number.
    pub fn attempts(&self) -> &[Attempt] {
        &self.attempts
    }

    /// The number of the next attempt.
    pub fn next_attempt_number(&self) -> u32 {
        self.attempts.len() as u32
    }

    /// Adds an attempt, which gets the number [`PendingRequest::next_attempt_number`].
    pub fn add_attempt(&mut self, attempt: Attempt) {
        self.attempts.push(attempt);
    }

    /// An attempt, in flight or ended.
    pub fn attempt(&self, number: u32) -> Option<&Attempt> {
        self.attempts.get(number as usize)
    }

    /// Mutable access to an attempt, in flight or ended.
    pub fn attempt_mut(&mut self, number: u32) -> Option<&mut Attempt> {
        self.attempts.get_mut(number as usize)
    }

    /// An attempt that is in flight.
    pub fn in_flight(&self, number: u32) -> Option<&Attempt> {
        self.attempt(number).filter(|attempt| attempt.is_in_flight())
    }

    /// Mutable access to an attempt that is in flight.
    pub fn in_flight_mut(&mut self, number: u32) -> Option<&mut Attempt> {
        self.attempt_mut(number).filter(|attempt| attempt.is_in_flight())
    }

    /// Whether an attempt at this worker is in flight.
    pub fn is_in_flight_at(&self, worker: WorkerId) -> bool {
        self.attempts.iter().any(|attempt| attempt.worker() == worker && attempt.is_in_flight())
    }
}
