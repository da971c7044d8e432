//! The events that the host reports to the decision module: endpoint lists, jobs, attempts, probe responses, peer messages.

use super::{CellId, ClassId, JobId, KeyId, KindId, Micros, TenantId, TimerId, WorkerId, ZoneId};

/// A worker's lifecycle as the endpoint list gives it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// It takes work.
    Ready,
    /// It finishes the work that it has and takes no new work.
    Draining,
    /// It is no longer listed.
    Gone,
}

/// One entry of the endpoint list.
#[derive(Clone, Copy, Debug)]
pub struct EndpointEntry {
    /// The worker.
    pub worker: WorkerId,
    /// A number that every dispatcher has for this worker, such as a hash of its name.
    pub tag: u64,
    /// Its zone.
    pub zone: ZoneId,
    /// Its kind of machine.
    pub kind: KindId,
    /// Its cell.
    pub cell: CellId,
    /// Whether it takes work.
    pub status: Status,
    /// Its size, relative to the other workers.
    pub weight: f64,
    /// When it last started; `None` if that is long ago.
    pub started_at: Option<Micros>,
}

/// How much an endpoint list covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Only the entries that have changed.
    Delta,
    /// The complete list: workers not in it are gone.
    Snapshot,
    /// The complete list as this dispatcher last held it, for example before its start. It may be out of date.
    Cached,
}

/// A worker's load report. Values that are not finite count as absent; values out of range are clamped.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// CPU utilisation, 0 to 1.
    pub cpu: Option<f64>,
    /// Free slots.
    pub free_slots: Option<f64>,
    /// Free memory, in the unit of [`NewJob::memory`].
    pub free_memory: Option<f64>,
    /// The number of running jobs.
    pub active: Option<f64>,
    /// The number of waiting jobs.
    pub waiting: Option<f64>,
    /// Recent service time, in milliseconds.
    pub avg_ms: Option<f64>,
    /// Jobs served per second.
    pub rps: Option<f64>,
    /// Errors per second.
    pub err_rps: Option<f64>,
}

impl LoadReport {
    /// The same report without the values that are not finite, and with the others clamped to their range: `cpu` to 0 to 1,
    /// the others to at least 0.
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

/// The expected time for which a job occupies a slot at a worker of speed 1, the same measure as [`NewJob::hint`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Estimate {
    /// The median.
    pub typical: Micros,
    /// A high quantile, which is rarely exceeded.
    pub long: Micros,
}

/// A job as it arrives.
#[derive(Clone, Copy, Debug)]
pub struct NewJob {
    /// Its id.
    pub job: JobId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant.
    pub tenant: Option<TenantId>,
    /// Its subject; jobs with the same program or data set have the same one.
    pub key: Option<KeyId>,
    /// When the client gives up on this request.
    pub deadline: Micros,
    /// Its expected work, as time on a standard core.
    pub hint: Option<Micros>,
    /// The slots that it needs.
    pub slots: f64,
    /// The memory that it needs, if memory counts.
    pub memory: Option<f64>,
    /// Whether the client marked it as a retry.
    pub repeat: bool,
    /// The estimate of its work from similar jobs, if that is learned.
    pub estimate: Option<Estimate>,
    /// The weight of one more job of its tenant now, as a fraction of its class's weight, 0 to 1; `None` if no quotas are kept.
    pub tenant_weight: Option<f64>,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It was served.
    Ok,
    /// The worker answered with an error; it may have run.
    Error,
    /// The worker rejected it before it ran.
    Full,
    /// The worker returned it unstarted by a callback that the worker may repeat. The job must not be sent to this worker
    /// again, because the repeated callback could be taken for the end of the new attempt.
    HandedBack,
    /// No response in time; it may have run.
    Timeout,
    /// No connection; it never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// This dispatcher cancelled it; it may have run.
    Cancelled,
    /// It was never sent and does not count as an attempt.
    NeverSent,
}

impl Outcome {
    /// Whether this outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        self.is_rejection() || matches!(self, Outcome::ConnectFailed | Outcome::NeverSent)
    }

    /// Whether a retry may succeed a little later and the outcome does not count as a failure of the worker.
    pub fn is_transient(self) -> bool {
        self.is_rejection() || self == Outcome::NeverSent
    }

    /// Whether the worker was reached and rejected the job.
    pub fn is_rejection(self) -> bool {
        matches!(self, Outcome::Full | Outcome::HandedBack)
    }
}

/// The end of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptEnded {
    /// The job.
    pub job: JobId,
    /// The attempt's index, from 0.
    pub attempt: u32,
    /// The worker.
    pub worker: WorkerId,
    /// The time since it was sent.
    pub elapsed: Micros,
    /// Whether the final response has been given, by this attempt or before it. If not, it is still due.
    pub is_job_closed: bool,
    /// Its outcome.
    pub outcome: Outcome,
    /// The load report that came with the response, if there was one.
    pub report: Option<LoadReport>,
}

/// The response to a load probe, or its failure.
#[derive(Clone, Copy, Debug)]
pub struct ProbeResponse {
    /// The worker.
    pub worker: WorkerId,
    /// [`Outcome::Ok`] if there was a response.
    pub outcome: Outcome,
    /// The time since the probe was sent.
    pub elapsed: Micros,
    /// The load report in the response, if there was one.
    pub report: Option<LoadReport>,
}

/// An attempt that another process of this dispatcher made for a job.
#[derive(Clone, Copy, Debug)]
pub struct PriorAttempt {
    /// The worker.
    pub worker: WorkerId,
    /// When it was sent.
    pub sent_at: Micros,
    /// Whether it has not ended yet.
    pub is_outstanding: bool,
    /// When it started to run, if it did.
    pub running_since: Option<Micros>,
    /// Whether it has ended and is known never to have run.
    pub never_ran: bool,
    /// Whether its worker returned it by a callback.
    pub is_handed_back: bool,
}

/// The presence of a dispatcher, as membership sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerPresence {
    /// It takes work.
    Present,
    /// It does not answer, and may have outstanding work that this dispatcher cannot see. Its part of each worker is reserved.
    Unreachable,
    /// It has no outstanding work any more. Its part of each worker goes to the others.
    Gone,
}

/// Something that has happened. The module ignores events about unknown jobs, attempts, workers or timers.
#[derive(Clone, Debug)]
pub enum Event {
    /// The complete endpoint list has arrived, or its changes.
    EndpointList(ListKind, Vec<EndpointEntry>),
    /// A request for the endpoint list failed, or the watch broke. The present list stays in force.
    ListFailed,
    /// Another discovery service is used from now on and must be called at once. The present list stays in force.
    DiscoveryMoved,
    /// A job has arrived. Exactly one final response is due before its deadline.
    Arrived(NewJob),
    /// This process takes over a job that another process of this dispatcher had accepted. It owes the final response from now
    /// on.
    Adopted {
        /// The job.
        request: NewJob,
        /// When it arrived.
        arrived_at: Micros,
        /// Its attempts, in the order sent.
        prior_attempts: Vec<PriorAttempt>,
    },
    /// The response stream of this attempt has started.
    StreamStarted {
        /// The job.
        job: JobId,
        /// The attempt's index, from 0.
        attempt: u32,
    },
    /// An attempt has started to run.
    Started {
        /// The job.
        job: JobId,
        /// The attempt's index, from 0.
        attempt: u32,
    },
    /// An attempt reports its progress.
    Progress {
        /// The job.
        job: JobId,
        /// The attempt's index, from 0.
        attempt: u32,
        /// The fraction done, 0 to 1.
        done: f64,
    },
    /// An attempt has ended. Exactly one such event follows every [`super::Action::Send`].
    AttemptEnded(AttemptEnded),
    /// The record that must be persisted before an attempt is sent could not be written. The attempt was not sent, and the
    /// module gives the job up at once.
    NotPersisted {
        /// The job.
        job: JobId,
        /// The attempt's index, from 0.
        attempt: u32,
    },
    /// The client disconnected. The job is over and no final response is due.
    ClientDisconnected(JobId),
    /// A timer that the module set has expired.
    Timer(TimerId),
    /// A probe got its response or failed.
    ProbeResponse(ProbeResponse),
    /// The presence of each dispatcher, by index. Until the first such event, all dispatchers count as present.
    Peers(Vec<PeerPresence>),
    /// A message of another dispatcher has arrived.
    PeerMessage {
        /// The sender's index.
        from: u32,
        /// The bytes of its [`super::Action::SendToPeer`].
        bytes: Vec<u8>,
    },
}
