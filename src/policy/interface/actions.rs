//! What the decision module asks its host to do.

use super::{JobId, Micros, TimerId, WorkerId};

/// Something that the host must do now; the actions of one event are done in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start the job's next attempt (numbered 0, 1, 2 ... in the order sent).
    Send {
        /// The job.
        job: JobId,
        /// The worker.
        worker: WorkerId,
        /// The attempt's timeout; `None`: until the client gives up.
        limit: Option<Micros>,
    },
    /// Cancel one attempt; [`super::Event::AttemptEnded`] still reports its end.
    Cancel {
        /// The job.
        job: JobId,
        /// The attempt's index.
        attempt: u32,
    },
    /// Final response: rejected; a retry does no harm.
    Reject {
        /// The job.
        job: JobId,
        /// How long the client should wait before it retries.
        retry_after: Option<Micros>,
    },
    /// Final response: failed; the job may have run.
    Fail(JobId),
    /// Send [`super::Event::Timer`] at the first batch at or after this time from now, never within this call.
    SetTimer(TimerId, Micros),
    /// Send a load probe to a worker.
    Probe(WorkerId),
    /// Send bytes (256 at most) to another dispatcher; they may be lost.
    SendToPeer {
        /// Its index.
        to: u32,
        /// The bytes.
        bytes: Vec<u8>,
    },
    /// Open a watch of the endpoint list; one list event or failure follows.
    OpenWatch,
    /// Fetch the complete endpoint list once; one list event or failure follows.
    FetchList,
}
