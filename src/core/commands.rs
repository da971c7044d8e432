//! The messages between the core and the server: requests and reports on attempts go in, and commands come out.

use super::attempt::AttemptId;
use super::idempotency::IdempotencyKey;
use super::request::RequestId;
use super::timers::TimerToken;
use crate::policy::interface::{ClassId, Micros, Outcome, SubjectId, TenantId, WorkerId};
use serde::{Deserialize, Serialize};

/// Identifies the receiver of a request's final response: a downstream connection, or a submitted job of the SSE listener. The
/// server chooses the number, and the core returns it unchanged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DownstreamId(pub u64);

/// Identifies an idempotency record that an attempt waits for. The messages of a hot restart encode the ticket as a plain number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Deserialize, Serialize)]
#[serde(transparent)]
pub struct RecordTicket(pub(crate) u64);

impl From<AttemptId> for RecordTicket {
    fn from(id: AttemptId) -> RecordTicket {
        RecordTicket(id.to_u64())
    }
}

/// The outcome of the write of an idempotency record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PersistOutcome {
    /// The record is as durable as the store's sync mode promises.
    Written,
    /// The record could not be written.
    Failed,
}

/// A client's request as it arrives.
#[derive(Clone, Debug)]
pub struct NewRequest {
    /// The request id that the client chose. Workers state it in their callbacks.
    pub name: String,
    /// The receiver of the final response.
    pub downstream: DownstreamId,
    /// The class of the request.
    pub class: ClassId,
    /// The tenant that sent the request; `None` if it has none.
    pub tenant: Option<TenantId>,
    /// The subject of the request. Requests that concern the same object have the same subject.
    pub subject: Option<SubjectId>,
    /// How long the client will wait from now on, in microseconds.
    pub time_budget: Micros,
    /// The expected work, in microseconds on a standard core; `None` if the client does not state it.
    pub hint: Option<Micros>,
    /// The number of slots that the job needs at a worker.
    pub slots: f64,
    /// The memory that the job needs, in the unit of the workers' reports; `None` if memory does not count.
    pub memory: Option<f64>,
    /// Whether the client marked the request as a retry.
    pub is_retry: bool,
    /// The idempotency key; `None` if the request has none or keys are not recorded.
    pub idempotency_key: Option<IdempotencyKey>,
}

/// A worker's report on a job that it has accepted.
#[derive(Clone, Debug, PartialEq)]
pub enum JobStatus {
    /// The job has started.
    Started,
    /// The job has made progress: the fraction of its work that is done, 0 to 1.
    Progress(f64),
    /// The job is done, with this result.
    Done(Vec<u8>),
    /// The job failed and may have run.
    Failed,
    /// The worker returned the job unstarted.
    Returned,
    /// The worker lost the job, which may have run.
    Lost,
}

/// How an attempt ended, according to its upstream connection.
#[derive(Clone, Debug, PartialEq)]
pub enum AttemptOutcome {
    /// The worker responded with a result.
    Done(Vec<u8>),
    /// The attempt ended without a result.
    Unserved(Outcome),
}

impl AttemptOutcome {
    /// Splits the outcome into the one for the decision module, and the worker's result if there is one.
    pub(super) fn into_parts(self) -> (Outcome, Option<Vec<u8>>) {
        match self {
            AttemptOutcome::Done(result) => (Outcome::Ok, Some(result)),
            AttemptOutcome::Unserved(outcome) => (outcome, None),
        }
    }
}

/// The final response to a request. Each request gets exactly one.
#[derive(Clone, Debug, PartialEq)]
pub enum FinalResponse {
    /// A worker's result.
    Served(Vec<u8>),
    /// A rejection. If a time is given, in microseconds, the client should wait that long before it retries.
    Rejected(Option<Micros>),
    /// The request failed.
    Failed,
    /// The request failed at its deadline.
    TimedOut,
}

/// A command for the server.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Send an attempt to a worker. [`Core::check_send`](super::Core::check_send) says how long to wait for its response.
    StartAttempt {
        /// The attempt.
        attempt: AttemptId,
        /// The worker that the attempt is sent to.
        worker: WorkerId,
    },
    /// Write an idempotency record. If there is a ticket, an attempt waits for the write: report the outcome by
    /// [`Core::on_record_persisted`](super::Core::on_record_persisted), which sends or drops the attempt.
    PersistRecord {
        /// The ticket for the report of the outcome; `None` if no attempt waits for the write.
        ticket: Option<RecordTicket>,
        /// The key of the record.
        key: String,
        /// The encoded record; `None` deletes the key's record.
        record: Option<Vec<u8>>,
    },
    /// Cancel an attempt at its worker and stop waiting for it.
    CancelAttempt {
        /// The attempt.
        attempt: AttemptId,
        /// The worker that the attempt was sent to.
        worker: WorkerId,
        /// The request's name, which identifies the job at the worker.
        name: String,
    },
    /// Send the final response to a request.
    Respond {
        /// The request.
        request_id: RequestId,
        /// The receiver, from [`NewRequest::downstream`].
        downstream: DownstreamId,
        /// The response.
        response: FinalResponse,
    },
    /// Notify a client that follows the progress of its job as a stream.
    NotifyProgress {
        /// The receiver, from [`NewRequest::downstream`].
        downstream: DownstreamId,
        /// The fraction of the job that is done, 0 to 1; `None` when the job starts.
        fraction: Option<f64>,
    },
    /// Send a load probe to a worker.
    Probe(WorkerId),
    /// Send a datagram, which may be lost, to another dispatcher, by its place.
    SendToPeer(u32, Vec<u8>),
    /// Open a watch of the endpoint list.
    OpenWatch,
    /// Fetch the whole endpoint list once.
    FetchList,
    /// Handle a timer that was set by [`Core::set_timer`](super::Core::set_timer) and has fired.
    TimerFired(TimerToken),
}
