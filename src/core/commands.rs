//! The messages between the core and the program round it: requests and reports on attempts go in, commands come out.

use super::idempotency::IdempotencyKey;
use super::request::RequestId;
use super::timers::TimerToken;
use crate::policy::interface::{ClassId, KeyId, Micros, Outcome, TenantId, WorkerId};
use serde::{Deserialize, Serialize};

/// A client's request as it arrives.
#[derive(Clone, Debug)]
pub struct NewRequest {
    /// The client's id of the request, by which workers name it in callbacks.
    pub name: String,
    /// Where its final response goes: the server's own number of the downstream connection or stream.
    pub downstream: u64,
    /// Its class.
    pub class: ClassId,
    /// Its tenant.
    pub tenant: Option<TenantId>,
    /// The subject that it concerns.
    pub key: Option<KeyId>,
    /// How long its client will wait.
    pub time_budget: Micros,
    /// Expected work, where clients state it.
    pub hint: Option<Micros>,
    /// Slots that it needs.
    pub slots: f64,
    /// Memory that it needs.
    pub memory: Option<f64>,
    /// Whether its client marked it as a repeat.
    pub repeat: bool,
    /// The idempotency key that its client gave it, where such keys are recorded.
    pub idempotency_key: Option<IdempotencyKey>,
}

/// A worker's report on a job.
#[derive(Clone, Debug, PartialEq)]
pub enum JobStatus {
    /// It has started.
    Started,
    /// The fraction done, 0 to 1.
    Progress(f64),
    /// It is done; the result.
    Done(Vec<u8>),
    /// It failed; it may have run.
    Failed,
    /// The worker handed it back unstarted.
    Returned,
    /// It was lost; it may have run.
    Lost,
}

/// How an attempt ended, as the upstream connection saw it.
#[derive(Clone, Debug, PartialEq)]
pub enum AttemptOutcome {
    /// The worker gave a result.
    Done(Vec<u8>),
    /// It ended without one, in this way.
    Unserved(Outcome),
}

/// The one final response to a request.
#[derive(Clone, Debug, PartialEq)]
pub enum FinalResponse {
    /// A worker's result.
    Served(Vec<u8>),
    /// Rejected; how long the client ought to wait before it retries.
    Rejected(Option<Micros>),
    /// Failed.
    Failed,
    /// Failed at its deadline.
    TimedOut,
}

/// What an attempt waits with until its idempotency record is persisted. Between the processes of a hot restart it is a number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Deserialize, Serialize)]
#[serde(transparent)]
pub struct RecordTicket(pub(crate) u64);

/// What became of an idempotency record that was to be persisted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PersistOutcome {
    /// It is durable, as far as the store promises.
    Written,
    /// It could not be written.
    Failed,
}

/// What the program round the core must do.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Send an attempt to a worker; [`Core::time_left`](super::Core::time_left) says how long to wait for its answer.
    StartAttempt {
        /// The request.
        request_id: RequestId,
        /// The attempt's number, from 0.
        attempt: u32,
        /// The worker.
        worker: WorkerId,
    },
    /// Write an idempotency record. Where a ticket comes with it, an attempt waits for the write: report its result by
    /// [`Core::on_record_persisted`](super::Core::on_record_persisted), which sends or drops the attempt.
    PersistRecord {
        /// What to report the result under, if an attempt waits for it.
        ticket: Option<RecordTicket>,
        /// The key of the record.
        key: String,
        /// The encoded record; `None` deletes the key's record.
        record: Option<Vec<u8>>,
    },
    /// Cancel an attempt at its worker, and stop waiting for it.
    CancelAttempt {
        /// The request.
        request_id: RequestId,
        /// The attempt's number.
        attempt: u32,
        /// The worker that has it.
        worker: WorkerId,
        /// The request's name, by which the worker knows it.
        name: String,
    },
    /// Send the final response.
    Respond {
        /// The request.
        request_id: RequestId,
        /// The receiver, from [`NewRequest::downstream`].
        downstream: u64,
        /// The response.
        response: FinalResponse,
    },
    /// Notify a client that streams its job's progress.
    NotifyProgress {
        /// The receiver, from [`NewRequest::downstream`].
        downstream: u64,
        /// The fraction done; `None` when the job starts.
        fraction: Option<f64>,
    },
    /// Send a load probe to a worker.
    Probe(WorkerId),
    /// Send bytes to another dispatcher, by its number.
    SendToPeer(u32, Vec<u8>),
    /// Open a watch of the endpoint list.
    OpenWatch,
    /// Fetch the whole endpoint list once.
    FetchList,
    /// A timer that was set by [`Core::set_timer`](super::Core::set_timer) has fired; its token.
    TimerFired(TimerToken),
}
