//! The actions that the decision module asks its host to perform.

use super::{JobId, Micros, TimerId, WorkerId};

/// Something that the host must do now. The host performs the actions of one event in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the job's next attempt. The attempts of a job are numbered 0, 1, 2 ... in the order sent.
    Send {
        /// The job.
        job: JobId,
        /// The worker.
        worker: WorkerId,
        /// The attempt's timeout; `None` if it may run until the client gives up.
        limit: Option<Micros>,
    },
    /// Cancel one attempt. [`super::Event::AttemptEnded`] still reports its end.
    Cancel {
        /// The job.
        job: JobId,
        /// The attempt's index.
        attempt: u32,
    },
    /// Give the final response "rejected": the client may retry without harm.
    Reject {
        /// The job.
        job: JobId,
        /// How long the client should wait before it retries.
        retry_after: Option<Micros>,
    },
    /// Give the final response "failed": the job may have run.
    Fail(JobId),
    /// Send [`super::Event::Timer`] with this id in the first batch at or after this time from now, never within this call.
    SetTimer(TimerId, Micros),
    /// Send a load probe to a worker.
    Probe(WorkerId),
    /// Send at most 256 bytes to another dispatcher. They may be lost.
    SendToPeer {
        /// The index of that dispatcher.
        to: u32,
        /// The bytes.
        bytes: Vec<u8>,
    },
    /// Open a watch of the endpoint list. One list event or failure follows.
    OpenWatch,
    /// Fetch the complete endpoint list once. One list event or failure follows.
    FetchList,
}
