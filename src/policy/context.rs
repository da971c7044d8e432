//! The data that all decisions use.

use crate::policy::gossip::GroupGossip;
use crate::policy::interface::{Class, EndpointEntry, Micros, Settings, WorkerId};
use crate::policy::state::{Estimates, Job, PolicyState};

/// A constant that has one value for a dispatcher without a group and another for a dispatcher in a group.
pub(crate) struct ByGrouping<T> {
    pub alone: T,
    pub grouped: T,
}

/// The settings, the state and the random numbers that the decisions of one dispatcher use. The decisions themselves are
/// methods of this type in `src/policy/rules`.
pub(crate) struct Policy {
    pub settings: Settings,
    pub state: PolicyState,
    pub random: fastrand::Rng,
}

impl Policy {
    /// Creates the data of a new dispatcher. `report_interval` is the first estimate of the time between load reports, in
    /// microseconds.
    pub fn new(settings: Settings, report_interval: f64, seed: u64) -> Self {
        let state = PolicyState::new(&settings, report_interval);
        Policy { settings, state, random: fastrand::Rng::with_seed(seed) }
    }

    /// The class of a job.
    pub fn class(&self, job: &Job) -> &Class {
        &self.settings.classes[usize::from(job.request.class.0)]
    }

    /// The time of the event that is being handled.
    pub fn now(&self) -> Micros {
        self.state.now()
    }

    /// The knowledge about this dispatcher's group.
    pub fn gossip(&self) -> &GroupGossip {
        self.state.gossip()
    }

    /// The estimates learned from reports and run times.
    pub fn estimates(&self) -> &Estimates {
        self.state.estimates()
    }

    /// Ejects a worker for `span` microseconds from now on. This replaces any earlier ejection; the worker's failures stay
    /// recorded.
    pub fn eject_for(&mut self, worker: WorkerId, span: Micros) {
        self.state.eject_until(worker, self.now() + span);
    }

    /// Whether a worker has been running for its whole warm-up time.
    pub fn is_warm(&self, listed: &EndpointEntry) -> bool {
        self.state.is_warm(listed, self.settings.warm_up_time)
    }

    /// The value of a constant for this dispatcher, depending on whether it is in a group.
    pub fn by_grouping<T: Copy>(&self, values: &ByGrouping<T>) -> T {
        if self.is_grouped() { values.grouped } else { values.alone }
    }

    /// Whether the dispatcher shares its workers with a group of dispatchers.
    pub fn is_grouped(&self) -> bool {
        self.gossip().is_grouped()
    }
}
