//! The actions that the decision module asks its host to perform.

use super::{JobId, Micros, TimerId, WorkerId};

/// An operation that the host must perform now. The host performs the actions of one event in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a job's next attempt to a worker. The attempts of a job are numbered from 0 in the order in which they are sent.
    Send {
        /// The job that the worker is to run.
        job: JobId,
        /// The worker that receives the attempt.
        worker: WorkerId,
        /// The attempt's timeout; `None` if it may run until the client gives up.
        timeout: Option<Micros>,
    },
    /// Cancel one attempt. [`super::Event::AttemptEnded`] still reports its end.
    Cancel {
        /// The job that the attempt belongs to.
        job: JobId,
        /// The attempt's index within its job, from 0.
        attempt: u32,
    },
    /// Give the final response "rejected": the client may retry without harm.
    Reject {
        /// The job that is rejected.
        job: JobId,
        /// How long the client should wait before it retries; `None` if it is given no time.
        retry_after: Option<Micros>,
    },
    /// Give the final response "failed": the job may have run.
    Fail(JobId),
    /// Report [`super::Event::Timer`] with this id in the first batch of events after this span has passed, never within the
    /// current call.
    SetTimer(TimerId, Micros),
    /// Send a load probe to a worker.
    Probe(WorkerId),
    /// Send a datagram of at most 256 bytes to another dispatcher. Delivery is not guaranteed.
    SendToPeer {
        /// The place of the receiving dispatcher.
        to: u32,
        /// The content of the datagram.
        bytes: Vec<u8>,
    },
    /// Open a watch of the endpoint list. One list event or failure follows.
    OpenWatch,
    /// Fetch the complete endpoint list once. One list event or failure follows.
    FetchList,
}
