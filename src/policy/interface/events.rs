//! The events that the host reports to the decision module: endpoint lists, jobs, attempts, probe responses, peer messages.

use super::{CellId, ClassId, JobId, KindId, Micros, SubjectId, TenantId, TimerId, WorkerId, ZoneId};

/// A worker's lifecycle as the endpoint list gives it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// The worker takes new work.
    Ready,
    /// The worker finishes the work that it has and takes no new work.
    Draining,
    /// The worker is no longer listed.
    Gone,
}

/// One entry of the endpoint list.
#[derive(Clone, Copy, Debug)]
pub struct EndpointEntry {
    /// The worker that the entry describes.
    pub worker: WorkerId,
    /// A number that is the same for this worker at every dispatcher, such as a hash of its name.
    pub tag: u64,
    /// The zone in which the worker runs.
    pub zone: ZoneId,
    /// The worker's kind of machine.
    pub kind: KindId,
    /// The cell whose record of idempotency keys the worker shares.
    pub cell: CellId,
    /// The worker's lifecycle state.
    pub status: Status,
    /// The worker's capacity, relative to the other workers.
    pub weight: f64,
    /// When the worker last started; `None` if that was long ago.
    pub started_at: Option<Micros>,
}

/// How much an endpoint list covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Only the entries that have changed.
    Delta,
    /// The complete list: workers not in it are gone.
    Snapshot,
    /// The complete list as this dispatcher last had it, for example before its start. It may be out of date.
    Cached,
}

/// A worker's load report. Values that are not finite count as absent; values out of range are clamped.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// CPU utilisation, 0 to 1.
    pub cpu: Option<f64>,
    /// The number of free slots, perhaps fractional.
    pub free_slots: Option<f64>,
    /// Free memory, in the unit of [`NewJob::memory`].
    pub free_memory: Option<f64>,
    /// The number of running jobs.
    pub active: Option<f64>,
    /// The number of jobs in the worker's queue.
    pub waiting: Option<f64>,
    /// The mean service time of recent jobs, in milliseconds.
    pub avg_ms: Option<f64>,
    /// Jobs served per second.
    pub rps: Option<f64>,
    /// Errors per second.
    pub err_rps: Option<f64>,
}

impl LoadReport {
    /// The same report without the values that are not finite, and with the others clamped to their range: `cpu` to between 0
    /// and 1, the others to at least 0.
    pub fn clean(&self) -> LoadReport {
        let clean = |value: Option<f64>| value.filter(|v| v.is_finite()).map(|v| v.max(0.0));
        LoadReport {
            cpu: clean(self.cpu).map(|v| v.min(1.0)),
            free_slots: clean(self.free_slots),
            free_memory: clean(self.free_memory),
            active: clean(self.active),
            waiting: clean(self.waiting),
            avg_ms: clean(self.avg_ms),
            rps: clean(self.rps),
            err_rps: clean(self.err_rps),
        }
    }
}

/// The expected time for which a job occupies a slot at a worker of speed 1, measured like [`NewJob::hint`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Estimate {
    /// The median of the expected time.
    pub typical: Micros,
    /// A high quantile of the expected time, which jobs rarely exceed.
    pub long: Micros,
}

/// A client's request as it arrives.
#[derive(Clone, Copy, Debug)]
pub struct NewJob {
    /// The job's id.
    pub job: JobId,
    /// The class that determines the job's latency objective, deadline and weight.
    pub class: ClassId,
    /// The tenant that the job counts for; `None` if it has none.
    pub tenant: Option<TenantId>,
    /// The job's subject; jobs with the same program or data set have the same one.
    pub subject: Option<SubjectId>,
    /// When the client gives up on this request.
    pub deadline: Micros,
    /// The job's expected work as the client gives it, as time on a standard core.
    pub hint: Option<Micros>,
    /// The number of slots that the job needs.
    pub slots: f64,
    /// The memory that the job needs; `None` if memory is not considered.
    pub memory: Option<f64>,
    /// Whether the client marked the request as a retry.
    pub is_retry: bool,
    /// The estimate of the job's work from similar jobs; `None` if run times are not learned.
    pub estimate: Option<Estimate>,
    /// The weight of one more job of the tenant now, as a fraction of the class's weight, 0 to 1; `None` if no quotas apply.
    pub tenant_weight: Option<f64>,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The worker served the attempt, or answered the probe.
    Ok,
    /// The worker answered with an error; the attempt may have run.
    Error,
    /// The worker rejected the attempt before it ran.
    Rejected,
    /// The worker returned the attempt unstarted by a callback that the worker may repeat. The job must not be sent to this
    /// worker again, because the repeated callback could be taken for the end of the new attempt.
    ReturnedByCallback,
    /// No response arrived in time; the attempt may have run.
    Timeout,
    /// No connection was established; the attempt never ran.
    ConnectFailed,
    /// The connection was lost; the attempt may have run.
    Reset,
    /// This dispatcher cancelled the attempt, which may have run.
    Cancelled,
    /// The attempt was never sent and does not count as one.
    NeverSent,
}

impl Outcome {
    /// Whether this outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        self.is_rejection() || matches!(self, Outcome::ConnectFailed | Outcome::NeverSent)
    }

    /// Whether a retry may succeed a little later, so that the outcome does not count as a failure of the worker.
    pub fn is_transient(self) -> bool {
        self.is_rejection() || self == Outcome::NeverSent
    }

    /// Whether the worker was reached and rejected the job.
    pub fn is_rejection(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::ReturnedByCallback)
    }
}

/// The end of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptEnded {
    /// The job that the attempt belongs to.
    pub job: JobId,
    /// The attempt's index within its job, from 0.
    pub attempt: u32,
    /// The worker to which the attempt was sent.
    pub worker: WorkerId,
    /// The time since the attempt was sent.
    pub elapsed: Micros,
    /// Whether the job's final response has been given, by this attempt or before it. If not, it is still due.
    pub is_job_closed: bool,
    /// How the attempt ended.
    pub outcome: Outcome,
    /// The load report that came with the response, if there was one.
    pub report: Option<LoadReport>,
}

/// The response to a load probe, or its failure.
#[derive(Clone, Copy, Debug)]
pub struct ProbeResponse {
    /// The worker that was probed.
    pub worker: WorkerId,
    /// [`Outcome::Ok`] if there was a response, otherwise how the probe failed.
    pub outcome: Outcome,
    /// The time since the probe was sent.
    pub elapsed: Micros,
    /// The load report in the response, if there was one.
    pub report: Option<LoadReport>,
}

/// An attempt that another process of this dispatcher made for a job.
#[derive(Clone, Copy, Debug)]
pub struct PriorAttempt {
    /// The worker to which the attempt was sent.
    pub worker: WorkerId,
    /// When the attempt was sent.
    pub sent_at: Micros,
    /// Whether the attempt has not ended yet.
    pub is_outstanding: bool,
    /// When the attempt started to run; `None` if it is not known to run.
    pub running_since: Option<Micros>,
    /// Whether the attempt has ended and is known never to have run.
    pub never_ran: bool,
    /// Whether the worker returned the attempt by a callback.
    pub is_returned_by_callback: bool,
}

/// The presence of a dispatcher, as the membership protocol reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerPresence {
    /// The dispatcher takes work.
    Present,
    /// The dispatcher does not answer, and may have outstanding work that is not visible here. Its part of each worker is
    /// reserved.
    Unreachable,
    /// The dispatcher has no outstanding work any more. Its part of each worker goes to the others.
    Gone,
}

/// An input of the decision module. The module ignores events about unknown jobs, attempts, workers or timers.
#[derive(Clone, Debug)]
pub enum Event {
    /// An endpoint list has arrived, either complete or with the changes only.
    EndpointList(ListKind, Vec<EndpointEntry>),
    /// A request for the endpoint list failed, or the watch was interrupted. The current list stays in use.
    ListFailed,
    /// Another discovery service is used from now on; its list must be requested at once. The current list stays in use.
    DiscoveryMoved,
    /// A job has arrived. Exactly one final response is due before its deadline.
    Arrived(NewJob),
    /// This process takes over a job that another process of this dispatcher had accepted, and is responsible for the final
    /// response from now on.
    Adopted {
        /// The job as it arrived at the other process.
        request: NewJob,
        /// When the job arrived.
        arrived_at: Micros,
        /// The job's attempts, in the order in which they were sent.
        prior_attempts: Vec<PriorAttempt>,
    },
    /// The response stream of this attempt has started.
    StreamStarted {
        /// The job that the attempt belongs to.
        job: JobId,
        /// The attempt's index within its job, from 0.
        attempt: u32,
    },
    /// A worker has started to run an attempt.
    Started {
        /// The job that the attempt belongs to.
        job: JobId,
        /// The attempt's index within its job, from 0.
        attempt: u32,
    },
    /// An attempt reports its progress.
    Progress {
        /// The job that the attempt belongs to.
        job: JobId,
        /// The attempt's index within its job, from 0.
        attempt: u32,
        /// The fraction of the work that is done, 0 to 1.
        done: f64,
    },
    /// An attempt has ended. Exactly one such event follows every [`super::Action::Send`].
    AttemptEnded(AttemptEnded),
    /// The record that must be persisted before an attempt is sent could not be written. The attempt was not sent, and the
    /// module gives the job up at once.
    NotPersisted {
        /// The job that the attempt belongs to.
        job: JobId,
        /// The attempt's index within its job, from 0.
        attempt: u32,
    },
    /// The client disconnected. The job is over and no final response is due.
    ClientDisconnected(JobId),
    /// A timer that the module set has expired.
    Timer(TimerId),
    /// A load probe was answered or failed.
    ProbeResponse(ProbeResponse),
    /// The presence of each dispatcher, by place. Until the first such event, all dispatchers count as present.
    Peers(Vec<PeerPresence>),
    /// A message of another dispatcher has arrived.
    PeerMessage {
        /// The place of the sending dispatcher.
        from: u32,
        /// The content of the datagram that the sender's [`super::Action::SendToPeer`] carried.
        bytes: Vec<u8>,
    },
}
