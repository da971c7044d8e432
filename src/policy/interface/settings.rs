//! The settings of the decision module in a deployment: job classes, tenants, allowed actions, limits and prices.

use super::{EndpointEntry, KindId, Micros, ZoneId};

/// Which workers recognise and drop the repeats of a job with an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All workers recognise the repeats of each other's jobs.
    All,
    /// The workers of one zone recognise the repeats of each other's jobs.
    Zone,
    /// The workers of one cell recognise the repeats of each other's jobs.
    Cell,
}

impl DeduplicationScope {
    /// Whether the worker `to` drops the repeat of a job that the worker `first` may have run. `first` is `None` if that worker
    /// is not listed; only [`DeduplicationScope::All`] then covers `to`.
    pub fn covers(self, first: Option<&EndpointEntry>, to: &EndpointEntry) -> bool {
        match self {
            DeduplicationScope::All => true,
            DeduplicationScope::Zone => first.is_some_and(|first| first.zone == to.zone),
            DeduplicationScope::Cell => first.is_some_and(|first| first.cell == to.cell),
        }
    }
}

/// Whether a job that may have run may be repeated or rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// The job may always be repeated or rejected.
    Idempotent,
    /// The job may be repeated only within `scope`, and within `window` of the first attempt that may have run.
    IdempotentWithKey {
        /// Which workers recognise and drop repeats.
        scope: DeduplicationScope,
        /// How long the workers remember an idempotency key.
        window: Micros,
    },
    /// The job may be repeated or rejected only if no attempt may have run.
    NonIdempotent,
}

impl Idempotency {
    /// Whether an attempt that may have run may be repeated at all.
    pub fn is_repeatable(self) -> bool {
        self != Idempotency::NonIdempotent
    }

    /// Whether a repeat does no harm, whichever worker receives it.
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
    /// A response is in time if it comes within this span after the job's arrival, extended by `latency_factor` times the job's
    /// own work.
    pub latency_objective: Micros,
    /// The multiple of the job's own work that is added to `latency_objective`.
    pub latency_factor: f64,
    /// The client gives up after this time, counted over all its retries.
    pub deadline: Micros,
    /// Whether the class's jobs may be repeated.
    pub idempotency: Idempotency,
    /// The priority weight of a job.
    pub weight: f64,
    /// The fraction of `weight` that a response after the latency objective still earns, 0 to 1.
    pub late_weight: f64,
    /// Whether the response is a stream, whose start [`super::Event::StreamStarted`] reports.
    pub is_stream: bool,
    /// The only kind of worker that can run jobs of this class; `None` if every kind can.
    pub kind: Option<KindId>,
    /// The priority of jobs of this class in the workers' queues.
    pub priority: i32,
}

/// One tenant.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// The tenant's quota, in jobs per second over all dispatchers.
    pub quota_per_s: f64,
    /// The tenant's weight in fair sharing.
    pub share_weight: f64,
}

/// How load reports reach the dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadReporting {
    /// Reports come with attempt outcomes and with probe responses.
    WithResponses,
    /// Reports come with probe responses only.
    ProbesOnly,
    /// Workers send no load reports.
    Never,
}

/// The settings of one instance. [`Settings::default`] is a single dispatcher with one idempotent class.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This dispatcher's place: its index among all configured dispatchers, from 0.
    pub own_place: u32,
    /// The number of dispatchers, this one included.
    pub dispatcher_count: u32,
    /// This dispatcher's zone.
    pub zone: ZoneId,
    /// The classes of jobs.
    pub classes: Vec<Class>,
    /// The tenants; empty if the deployment has none.
    pub tenants: Vec<Tenant>,
    /// The weight of a job beyond its tenant's quota, as a fraction of its class's weight.
    pub over_quota_weight: f64,
    /// The shortest time between two batches of events, which is the resolution of all timers.
    pub batch_interval: Micros,
    /// Whether a class's weight applies to each unit of work instead of to each job.
    pub weight_by_work: bool,
    /// How load reports reach the dispatcher.
    pub load_reporting: LoadReporting,
    /// Whether workers report when a job starts ([`super::Event::Started`]).
    pub reports_start: bool,
    /// The interval at which running jobs report their progress; `None` if they do not.
    pub progress_interval: Option<Micros>,
    /// Whether changes of the endpoint list are sent only on request.
    pub list_on_request: bool,
    /// Whether [`super::Action::Cancel`] is allowed.
    pub may_cancel: bool,
    /// Whether [`super::Action::Probe`] is allowed.
    pub may_probe: bool,
    /// Whether [`super::Action::SendToPeer`] is allowed.
    pub may_message_peers: bool,
    /// Whether a job may have a hedged attempt beside its first one.
    pub may_hedge: bool,
    /// The maximum number of attempts for a job.
    pub max_attempts: u32,
    /// The longest `retry_after` that clients respect; `None` if rejections carry no such time.
    pub max_retry_after: Option<Micros>,
    /// The time after the client's deadline within which a final response still counts.
    pub response_grace: Micros,
    /// The time after which no attempt may be sent to a worker, counted from when it is listed as draining or gone.
    pub drain_grace: Micros,
    /// The longest time from one poll of the endpoint list to the next; `None` if changes of the list are pushed.
    pub max_poll_interval: Option<Micros>,
    /// The fraction of its capacity that a worker has at least when it starts, 0 to 1.
    pub initial_capacity: f64,
    /// The longest time that a worker takes to warm up.
    pub warm_up_time: Micros,
    /// The multiple of its current capacity at which a worker that is warming up collapses.
    pub collapse_multiple: f64,
    /// The time for which that load must last to cause the collapse.
    pub collapse_window: Micros,
    /// The price of sending every job to another zone once, as a fraction of the total weight of all jobs.
    pub price_cross_zone: f64,
    /// The price of one probe for every job, as a fraction of the total weight.
    pub price_probe: f64,
    /// The price of wasting as much work as was requested, as a fraction of the total weight.
    pub price_waste: f64,
    /// The price if every job ended unserved after its latency objective, as a fraction of the total weight.
    pub price_late_failure: f64,
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
            is_stream: false,
            kind: None,
            priority: 0,
        };
        Settings {
            own_place: 0,
            dispatcher_count: 1,
            zone: ZoneId(0),
            classes: vec![class],
            tenants: Vec::new(),
            over_quota_weight: 1.0,
            batch_interval: 1_000,
            weight_by_work: false,
            load_reporting: LoadReporting::WithResponses,
            reports_start: false,
            progress_interval: None,
            list_on_request: false,
            may_cancel: true,
            may_probe: false,
            may_message_peers: false,
            may_hedge: true,
            max_attempts: 5,
            max_retry_after: None,
            response_grace: 20_000,
            drain_grace: 500_000,
            max_poll_interval: None,
            initial_capacity: 0.2,
            warm_up_time: 10_000_000,
            collapse_multiple: 2.5,
            collapse_window: 1_000_000,
            price_cross_zone: 0.0,
            price_probe: 0.0,
            price_waste: 0.05,
            price_late_failure: 0.0,
        }
    }
}

/// The maximum number of dispatchers in a fleet. The limit exists because each dispatcher assigns all workers to all groups at
/// every endpoint list.
pub const MAX_DISPATCHERS: u32 = 10_000;

/// The reason why [`crate::Dispatcher::new`] or [`crate::Dispatcher::reconfigure`] refused the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// `classes` is empty.
    #[error("settings name no class of jobs")]
    NoClasses,
    /// `own_place` is not below `dispatcher_count`.
    #[error("the dispatcher's own place is not below the number of dispatchers")]
    OwnPlaceOutOfRange,
    /// There are more than [`MAX_DISPATCHERS`] dispatchers.
    #[error("there are more than 10,000 dispatchers")]
    TooManyDispatchers,
    /// `max_attempts` is 0.
    #[error("settings allow no attempt")]
    NoAttempts,
    /// A class has a deadline or a latency objective of 0.
    #[error("a class has a deadline or a latency objective that is not above 0")]
    ZeroDuration,
    /// The new settings of a running module have fewer classes than its current ones.
    #[error("settings lack a class that the running module has")]
    MissingClass,
    /// A number is negative or not finite, or a fraction is above 1.
    #[error("a number of the settings is out of range")]
    OutOfRange,
}

impl Settings {
    /// Checks that the settings are consistent.
    ///
    /// # Errors
    ///
    /// Returns the first inconsistency found, in the order of the variants of [`SettingsError`].
    pub fn check(&self) -> Result<(), SettingsError> {
        if self.classes.is_empty() {
            return Err(SettingsError::NoClasses);
        }
        if self.own_place >= self.dispatcher_count {
            return Err(SettingsError::OwnPlaceOutOfRange);
        }
        if self.dispatcher_count > MAX_DISPATCHERS {
            return Err(SettingsError::TooManyDispatchers);
        }
        if self.max_attempts == 0 {
            return Err(SettingsError::NoAttempts);
        }
        if self.classes.iter().any(|class| class.deadline == 0 || class.latency_objective == 0) {
            return Err(SettingsError::ZeroDuration);
        }
        if !self.has_numbers_in_range() {
            return Err(SettingsError::OutOfRange);
        }
        Ok(())
    }

    /// Whether the numbers are finite and within their ranges. `price_late_failure` and the numbers of tenants are not checked.
    fn has_numbers_in_range(&self) -> bool {
        let fractions = [self.initial_capacity, self.over_quota_weight];
        let non_negatives =
            [self.collapse_multiple, self.price_probe, self.price_cross_zone, self.price_waste];
        let class_non_negatives =
            self.classes.iter().flat_map(|class| [class.weight, class.late_weight, class.latency_factor]);
        let is_non_negative = |number: f64| number.is_finite() && number >= 0.0;
        fractions.iter().all(|fraction| (0.0..=1.0).contains(fraction))
            && non_negatives.into_iter().chain(class_non_negatives).all(is_non_negative)
    }
}
