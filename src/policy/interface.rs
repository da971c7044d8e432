//! The whole interface of the decision module: settings, events, actions, ids.
//!
//! Time is a whole number of microseconds on any clock that only goes forward. Ids are small numbers
//! that the embedding node hands out; the module compares them and never looks behind them.
//! Whatever a deployment may leave out is an `Option`.

/// A point in time or a span, in microseconds.
pub type Micros = u64;

/// A job (one try of a client's request). Never used twice within an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId(pub u64);
/// A worker, numbered densely from 0 in the order in which the instance first heard of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkerId(pub u32);
/// A class of jobs: its place in [`Settings::classes`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassId(pub u16);
/// A tenant: its place in [`Settings::tenants`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TenantId(pub u16);
/// A kind of machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KindId(pub u16);
/// A zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneId(pub u16);
/// A cell: workers that share what they remember of keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CellId(pub u32);
/// The subject of a job (a program or data set); jobs with the same key share it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyId(pub u32);
/// Chosen by the module, returned by [`Event::Timer`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimerId(pub u64);

/// Which workers drop the repeats of a keyed job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All of them.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

impl DeduplicationScope {
    /// Whether a worker drops the repeat of what this first one, if it is listed, may have run.
    pub fn covers(self, first: Option<&EndpointEntry>, to: &EndpointEntry) -> bool {
        match self {
            DeduplicationScope::All => true,
            DeduplicationScope::Zone => first.is_some_and(|first| first.zone == to.zone),
            DeduplicationScope::Cell => first.is_some_and(|first| first.cell == to.cell),
        }
    }
}

/// What may be done with a job that may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Repeat and refuse it freely.
    Idempotent,
    /// Repeat it only within `scope`, and within `window` of the first send that may have run.
    IdempotentWithKey {
        /// Who drops repeats.
        scope: DeduplicationScope,
        /// For how long.
        window: Micros,
    },
    /// Repeat or refuse it only if no attempt may have run.
    NonIdempotent,
}

impl Idempotency {
    /// Whether a repeat does no harm at whatever worker it comes to.
    pub fn is_repeatable_anywhere(self) -> bool {
        match self {
            Idempotency::Idempotent => true,
            Idempotency::IdempotentWithKey { scope, .. } => scope == DeduplicationScope::All,
            Idempotency::NonIdempotent => false,
        }
    }
}

/// One class of jobs.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// An answer is in time within this span of the arrival ...
    pub latency_objective: Micros,
    /// ... plus this multiple of the job's own work.
    pub latency_factor: f64,
    /// The client gives up after this, over all its tries.
    pub deadline: Micros,
    /// What a repeat may do.
    pub idempotency: Idempotency,
    /// Worth of a job.
    pub weight: f64,
    /// Share of the worth of an answer after the aim.
    pub late_weight: f64,
    /// The answer is a stream ([`Event::StreamStarted`] comes).
    pub stream: bool,
    /// The only kind of worker that runs it, if there is one.
    pub kind: Option<KindId>,
    /// Its priority in the workers' queues.
    pub priority: i32,
}

/// One tenant.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Jobs a second, over all nodes, inside its share.
    pub quota_per_s: f64,
    /// Its portion of the service.
    pub share_weight: f64,
}

/// How load reports come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reports {
    /// With outcomes and probe results.
    Answers,
    /// With probe results only.
    Probes,
    /// Not at all.
    Silent,
}

/// What an instance is told at its start. [`Settings::default`] is a single node with one pure class.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This node's number among `nodes`, from 0.
    pub me: u32,
    /// How many nodes there are.
    pub nodes: u32,
    /// This node's zone.
    pub zone: ZoneId,
    /// The classes of jobs.
    pub classes: Vec<Class>,
    /// The tenants, if any.
    pub tenants: Vec<Tenant>,
    /// The worth of a job beyond its tenant's share, as a part of its class's worth.
    pub over_quota_weight: f64,
    /// Events come in batches at most this often.
    pub tick: Micros,
    /// Whether worth counts for each unit of work, not for each job.
    pub weight_by_work: bool,
    /// How load reports come.
    pub reports: Reports,
    /// Workers say when a job starts.
    pub reports_start: bool,
    /// Running jobs tell their progress this often, if they do.
    pub progress: Option<Micros>,
    /// Whether changes of the roster come only when asked for.
    pub list_on_request: bool,
    /// [`Action::Cancel`] is allowed.
    pub may_cancel: bool,
    /// [`Action::Probe`] is allowed.
    pub may_probe: bool,
    /// [`Action::SendToPeer`] is allowed.
    pub may_message_peers: bool,
    /// A job may have two attempts out at once.
    pub may_hedge: bool,
    /// Attempts for a job, at most.
    pub max_attempts: u32,
    /// The longest retry-after that clients heed; `None` where they are given none.
    pub max_retry_after: Option<Micros>,
    /// Final answers still count this long after the client's deadline.
    pub answer_slack: Micros,
    /// Sends to a draining or gone worker must have ended after this.
    pub drain_grace: Micros,
    /// Without a subscription, ask for the roster within this.
    pub ask_within: Option<Micros>,
    /// A worker starts at this share of its capacity or more ...
    pub initial_capacity: f64,
    /// ... and is warm after this at most.
    pub warm_up_time: Micros,
    /// Sent more than this multiple of its present capacity ...
    pub collapse_multiple: f64,
    /// ... over this long, a cold worker falls over.
    pub collapse_window: Micros,
    /// Points for one crossing of zones a job, out of 1.
    pub price_cross_zone: f64,
    /// Points for one probe a job.
    pub price_probe: f64,
    /// Points for as much wasted work as was asked for.
    pub price_waste: f64,
    /// Points if all worth ended unserved after its aim.
    pub price_late_fail: f64,
}

impl Default for Settings {
    fn default() -> Self {
        let class = Class {
            latency_objective: 200_000,
            latency_factor: 2.0,
            deadline: 5_000_000,
            idempotency: Idempotency::Idempotent,
            weight: 1.0,
            late_weight: 0.0,
            stream: false,
            kind: None,
            priority: 0,
        };
        Settings {
            me: 0,
            nodes: 1,
            zone: ZoneId(0),
            classes: vec![class],
            tenants: Vec::new(),
            over_quota_weight: 1.0,
            tick: 1_000,
            weight_by_work: false,
            reports: Reports::Answers,
            reports_start: false,
            progress: None,
            list_on_request: false,
            may_cancel: true,
            may_probe: false,
            may_message_peers: false,
            may_hedge: true,
            max_attempts: 5,
            max_retry_after: None,
            answer_slack: 20_000,
            drain_grace: 500_000,
            ask_within: None,
            initial_capacity: 0.2,
            warm_up_time: 10_000_000,
            collapse_multiple: 2.5,
            collapse_window: 1_000_000,
            price_cross_zone: 0.0,
            price_probe: 0.0,
            price_waste: 0.05,
            price_late_fail: 0.0,
        }
    }
}

/// The most nodes there may be: each deals all workers out to all groups at every list.
pub const MAX_NODES: u32 = 10_000;

/// Why [`crate::Dispatcher::new`] did not take the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SettingsError {
    /// There is no class.
    NoClasses,
    /// `me` is not below `nodes`.
    NotAmongNodes,
    /// There are more than [`MAX_NODES`].
    TooManyNodes,
    /// No attempt is allowed.
    NoAttempts,
    /// A class leaves no time.
    NoTime,
    /// A running module was given settings that lack a class of its own.
    ClassGone,
    /// A figure is negative, not finite, or a share above 1.
    OutOfRange,
}

impl std::fmt::Display for SettingsError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            SettingsError::NoClasses => "settings name no class of jobs",
            SettingsError::NotAmongNodes => "this node's number is not below the count of nodes",
            SettingsError::TooManyNodes => "there are more than 10,000 nodes",
            SettingsError::NoAttempts => "settings allow no attempt",
            SettingsError::NoTime => "a class has a deadline or an aim that is not above 0",
            SettingsError::ClassGone => "settings lack a class of the running module",
            SettingsError::OutOfRange => "a figure of the settings is out of range",
        })
    }
}

impl std::error::Error for SettingsError {}

impl Settings {
    /// Whether the settings agree with themselves.
    pub fn check(&self) -> Result<(), SettingsError> {
        let shares = [self.initial_capacity, self.over_quota_weight];
        let sizes = [self.collapse_multiple, self.price_probe, self.price_cross_zone, self.price_waste];
        let classes = self.classes.iter().flat_map(|c| [c.weight, c.late_weight, c.latency_factor]);
        if self.classes.is_empty() {
            Err(SettingsError::NoClasses)
        } else if self.me >= self.nodes {
            Err(SettingsError::NotAmongNodes)
        } else if self.nodes > MAX_NODES {
            Err(SettingsError::TooManyNodes)
        } else if self.max_attempts == 0 {
            Err(SettingsError::NoAttempts)
        } else if self.classes.iter().any(|c| c.deadline == 0 || c.latency_objective == 0) {
            Err(SettingsError::NoTime)
        } else if shares.iter().any(|s| !(0.0..=1.0).contains(s))
            || sizes.into_iter().chain(classes).any(|s| !s.is_finite() || s < 0.0)
        {
            Err(SettingsError::OutOfRange)
        } else {
            Ok(())
        }
    }
}

/// What the roster says of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// Takes work.
    Ready,
    /// Finishes what it has.
    Draining,
    /// Withdrawn.
    Gone,
}

/// One line of the roster.
#[derive(Clone, Copy, Debug)]
pub struct EndpointEntry {
    /// The worker.
    pub worker: WorkerId,
    /// A number that every node gives to this worker, such as a hash of its address.
    pub tag: u64,
    /// Where it sits.
    pub zone: ZoneId,
    /// Its kind of machine.
    pub kind: KindId,
    /// Its cell.
    pub cell: CellId,
    /// Whether it takes work.
    pub status: Status,
    /// Its size beside that of others.
    pub weight: f64,
    /// When it last started; `None` for long ago.
    pub started_at: Option<Micros>,
}

/// How far a roster reaches.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Changed entries only.
    Delta,
    /// The complete list: whoever is missing is gone.
    Snapshot,
    /// The complete list as this instance last held it, perhaps out of date.
    Cached,
}

/// A load report. Values that are not finite count as absent; those out of range are clamped.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Share of CPU busy.
    pub cpu: Option<f64>,
    /// Free slots.
    pub free_slots: Option<f64>,
    /// Free memory, in the job's units.
    pub free_memory: Option<f64>,
    /// Jobs in hand.
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
    /// Without values that are not finite, and with the others in range.
    pub fn clean(&self) -> LoadReport {
        let clean = |x: Option<f64>| x.filter(|v| v.is_finite()).map(|v| v.max(0.0));
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

/// How long a job holds a slot, as far as is known: work at a worker of speed 1, as [`NewJob::hint`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Estimate {
    /// As often less as more.
    pub typical: Micros,
    /// Rarely more.
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
    /// Its subject.
    pub key: Option<KeyId>,
    /// When the client gives up on this try.
    pub deadline: Micros,
    /// Expected work, as time on a standard core.
    pub hint: Option<Micros>,
    /// Slots it needs.
    pub slots: f64,
    /// Memory it needs, where memory counts.
    pub memory: Option<f64>,
    /// Whether the client marked it as a repeat.
    pub repeat: bool,
    /// What is known of its work from similar jobs, where that is learned.
    pub estimate: Option<Estimate>,
    /// What one more job of its tenant is worth now, as a part of its class's worth, 0 to 1, where shares are kept.
    pub tenant_weight: Option<f64>,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// Answered with an error; it may have run.
    Error,
    /// Turned away unseen.
    Full,
    /// Handed back unstarted, by a call that the worker may repeat: it may not be taken for the end of another attempt there.
    HandedBack,
    /// No answer in time; it may have run.
    Timeout,
    /// No connection; it never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Called off; it may have run.
    Cancelled,
    /// Never dispatched; it counts as no attempt.
    NeverSent,
}

impl Outcome {
    /// Whether this outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        self.is_rejection() || matches!(self, Outcome::ConnectFailed | Outcome::NeverSent)
    }

    /// Whether the same attempt may be welcome a little later, with nothing against its worker.
    pub fn is_transient(self) -> bool {
        self.is_rejection() || self == Outcome::NeverSent
    }

    /// Whether the worker was reached and did not want it.
    pub fn is_rejection(self) -> bool {
        matches!(self, Outcome::Full | Outcome::HandedBack)
    }
}

/// The end of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptEnded {
    /// The job.
    pub job: JobId,
    /// The attempt, from 0.
    pub attempt: u32,
    /// The worker.
    pub worker: WorkerId,
    /// Time since it was sent.
    pub elapsed: Micros,
    /// Whether the job is over: answered by this or before it. If not, the final answer is still owed.
    pub closed: bool,
    /// How it ended.
    pub outcome: Outcome,
    /// A load report, if one came with it.
    pub report: Option<LoadReport>,
}

/// The result of a probe.
#[derive(Clone, Copy, Debug)]
pub struct ProbeResponse {
    /// The worker.
    pub worker: WorkerId,
    /// Whether it answered.
    pub outcome: Outcome,
    /// Time since it was sent.
    pub elapsed: Micros,
    /// Its load report.
    pub report: Option<LoadReport>,
}

/// An attempt that another process of this node made for a job.
#[derive(Clone, Copy, Debug)]
pub struct PriorAttempt {
    /// To whom.
    pub worker: WorkerId,
    /// When.
    pub at: Micros,
    /// Its end is still to be told.
    pub out: bool,
    /// When it started to run, if it did.
    pub running_since: Option<Micros>,
    /// It ended, and it is known that it never ran.
    pub never_ran: bool,
    /// Its worker handed it back by a call.
    pub handed_back: bool,
}

/// What is believed of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerPresence {
    /// It may hold work.
    Present,
    /// It is not heard of, and may hold work where this node does not see it: its part of each worker is kept for it.
    Unreachable,
    /// It holds no work any more: its part is the others'.
    Gone,
}

/// What has happened. Events about unknown jobs, attempts, workers or alarms are ignored.
#[derive(Clone, Debug)]
pub enum Event {
    /// The endpoint list, or a part of it.
    EndpointList(ListKind, Vec<EndpointEntry>),
    /// A request for the roster failed, or the subscription broke; the list stays in force.
    ListFailed,
    /// Another service tells the roster from now on: it is to be asked at once. The list stays in force.
    DiscoveryMoved,
    /// A job has arrived: exactly one final answer is owed before its deadline.
    Arrived(NewJob),
    /// A job that another process of this node had taken: this one owes the answer from now on.
    Adopted {
        /// The job.
        new: NewJob,
        /// When it arrived.
        since: Micros,
        /// Its attempts, in the order sent.
        past: Vec<PriorAttempt>,
    },
    /// A stream has begun on this attempt.
    StreamStarted {
        /// The job.
        job: JobId,
        /// The attempt, from 0.
        attempt: u32,
    },
    /// An attempt has started to run.
    Started {
        /// The job.
        job: JobId,
        /// The attempt, from 0.
        attempt: u32,
    },
    /// An attempt tells the share done.
    Progress {
        /// The job.
        job: JobId,
        /// The attempt, from 0.
        attempt: u32,
        /// The share done, 0 to 1.
        done: f64,
    },
    /// An attempt ended. Every [`Action::Send`] gets exactly one.
    AttemptEnded(AttemptEnded),
    /// An attempt could not be noted, as it must be before it may leave: it never left. The job is given up at once.
    NotPersisted {
        /// The job.
        job: JobId,
        /// The attempt, from 0.
        attempt: u32,
    },
    /// The client left: the job is over and nothing more is owed.
    ClientDisconnected(JobId),
    /// An alarm that the module set is due.
    Timer(TimerId),
    /// A probe came back.
    ProbeResponse(ProbeResponse),
    /// What is believed of each node, by their numbers; where it never comes, all of them are here.
    Peers(Vec<PeerPresence>),
    /// Another node's message.
    PeerMessage {
        /// The sender's number.
        from: u32,
        /// The bytes of its [`Action::SendToPeer`].
        bytes: Vec<u8>,
    },
}

/// What the node must do now, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start the job's next attempt (numbered 0, 1, 2 ... in the order sent).
    Send {
        /// The job.
        job: JobId,
        /// To whom.
        worker: WorkerId,
        /// Time-out for this attempt; `None`: until the client gives up.
        limit: Option<Micros>,
    },
    /// Stop waiting for one attempt; its end is still told.
    Cancel {
        /// The job.
        job: JobId,
        /// The attempt.
        attempt: u32,
    },
    /// Final answer: turned away; a retry does no harm.
    Reject {
        /// The job.
        job: JobId,
        /// How long the client ought to stay away.
        retry_after: Option<Micros>,
    },
    /// Final answer: failed, with no assurance.
    Fail(JobId),
    /// Send [`Event::Timer`] at the first batch at or after this time from now, never within this call.
    SetTimer(TimerId, Micros),
    /// Ask a worker for its load.
    Probe(WorkerId),
    /// Send bytes (256 at most) to another node; they may be lost.
    SendToPeer {
        /// Its number.
        to: u32,
        /// The bytes.
        bytes: Vec<u8>,
    },
    /// Subscribe to changes of the roster; one roster event or failure answers.
    OpenWatch,
    /// Ask once for the whole roster; one roster event or failure answers.
    FetchList,
}
