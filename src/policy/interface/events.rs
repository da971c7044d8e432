//! What the host reports to the decision module: endpoint lists, jobs, attempts, probe responses and peer messages.

use super::{CellId, ClassId, JobId, KeyId, KindId, Micros, TenantId, TimerId, WorkerId, ZoneId};

/// What the endpoint list says of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// Takes work.
    Ready,
    /// Finishes what it has and takes no new work.
    Draining,
    /// Withdrawn.
    Gone,
}

/// One entry of the endpoint list.
#[derive(Clone, Copy, Debug)]
pub struct EndpointEntry {
    /// The worker.
    pub worker: WorkerId,
    /// A number that is the same for this worker at every dispatcher, such as a hash of its name.
    pub tag: u64,
    /// Its zone.
    pub zone: ZoneId,
    /// Its kind of machine.
    pub kind: KindId,
    /// Its cell.
    pub cell: CellId,
    /// Whether it takes work.
    pub status: Status,
    /// Its relative size.
    pub weight: f64,
    /// When it last started; `None` for long ago.
    pub started_at: Option<Micros>,
}

/// How much an endpoint list covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Only entries that have changed.
    Delta,
    /// The complete list: workers not in it are gone.
    Snapshot,
    /// The complete list as this instance last held it, perhaps out of date.
    Cached,
}

/// A load report. Values that are not finite count as absent; those out of range are clamped.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// CPU utilisation, 0 to 1.
    pub cpu: Option<f64>,
    /// Free slots.
    pub free_slots: Option<f64>,
    /// Free memory, in the job's units.
    pub free_memory: Option<f64>,
    /// Running jobs.
    pub active: Option<f64>,
    /// Jobs waiting.
    pub waiting: Option<f64>,
    /// Recent service time, in milliseconds.
    pub avg_ms: Option<f64>,
    /// Jobs served a second.
    pub rps: Option<f64>,
    /// Errors a second.
    pub err_rps: Option<f64>,
}

impl LoadReport {
    /// The same report without values that are not finite, and with the others clamped to their range.
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

/// The expected time that a job occupies a slot, for a worker of speed 1, as [`NewJob::hint`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Estimate {
    /// The median.
    pub typical: Micros,
    /// A high quantile, rarely exceeded.
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
    /// Its subject, which jobs with the same program or data set share.
    pub key: Option<KeyId>,
    /// When the client gives up on this request.
    pub deadline: Micros,
    /// Expected work, as time on a standard core.
    pub hint: Option<Micros>,
    /// Slots it needs.
    pub slots: f64,
    /// Memory it needs, where memory counts.
    pub memory: Option<f64>,
    /// Whether the client marked it as a retry.
    pub repeat: bool,
    /// The estimate of its work from similar jobs, where that is learned.
    pub estimate: Option<Estimate>,
    /// The weight of one more job of its tenant now, as a fraction of its class's weight, 0 to 1, where quotas are kept.
    pub tenant_weight: Option<f64>,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// Answered with an error; it may have run.
    Error,
    /// Rejected by the worker before it ran.
    Full,
    /// Handed back unstarted by a callback that the worker may repeat, so the job must not be sent to this worker again:
    /// the repeated callback could be taken for the end of that attempt.
    HandedBack,
    /// No response in time; it may have run.
    Timeout,
    /// No connection; it never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Cancelled by this dispatcher; it may have run.
    Cancelled,
    /// Never sent; it does not count as an attempt.
    NeverSent,
}

impl Outcome {
    /// Whether this outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        self.is_rejection() || matches!(self, Outcome::ConnectFailed | Outcome::NeverSent)
    }

    /// Whether a retry may succeed a little later, with nothing held against the worker.
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
    /// Time since it was sent.
    pub elapsed: Micros,
    /// Whether the final response has been given, by this attempt or before it; if not, it is still due.
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
    /// [`Outcome::Ok`] if there was one.
    pub outcome: Outcome,
    /// Time since it was sent.
    pub elapsed: Micros,
    /// Its load report.
    pub report: Option<LoadReport>,
}

/// An attempt that another process of this dispatcher made for a job.
#[derive(Clone, Copy, Debug)]
pub struct PriorAttempt {
    /// The worker.
    pub worker: WorkerId,
    /// When it was sent.
    pub sent_at: Micros,
    /// It has not ended yet.
    pub is_outstanding: bool,
    /// When it started to run, if it did.
    pub running_since: Option<Micros>,
    /// It ended, and it is known that it never ran.
    pub never_ran: bool,
    /// Its worker handed it back by a callback.
    pub is_handed_back: bool,
}

/// What membership says of a dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerPresence {
    /// It takes work.
    Present,
    /// It does not answer, and may have work out that this dispatcher cannot see: its part of each worker is reserved.
    Unreachable,
    /// It has no work any more: its part goes to the others.
    Gone,
}

/// Something that has happened. Events about unknown jobs, attempts, workers or timers are ignored.
#[derive(Clone, Debug)]
pub enum Event {
    /// The endpoint list, or a part of it.
    EndpointList(ListKind, Vec<EndpointEntry>),
    /// A request for the endpoint list failed, or the watch broke; the list stays in force.
    ListFailed,
    /// Another discovery service is used from now on and must be called at once. The list stays in force.
    DiscoveryMoved,
    /// A job has arrived: exactly one final response is due before its deadline.
    Arrived(NewJob),
    /// A job that another process of this dispatcher had accepted: this one owes the final response from now on.
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
    /// An attempt ended. Every [`super::Action::Send`] gets exactly one.
    AttemptEnded(AttemptEnded),
    /// The record that must be persisted before an attempt could not be written: the attempt was not sent, and the job is
    /// given up at once.
    NotPersisted {
        /// The job.
        job: JobId,
        /// The attempt's index, from 0.
        attempt: u32,
    },
    /// The client disconnected: the job is over and no response is due.
    ClientDisconnected(JobId),
    /// A timer that the module set has expired.
    Timer(TimerId),
    /// A probe got its response or failed.
    ProbeResponse(ProbeResponse),
    /// The presence of each dispatcher by index; where this is never sent, all of them are present.
    Peers(Vec<PeerPresence>),
    /// Another dispatcher's message.
    PeerMessage {
        /// The sender's index.
        from: u32,
        /// The bytes of its [`super::Action::SendToPeer`].
        bytes: Vec<u8>,
    },
}
