//! What every decision has at hand.

use crate::policy::interface::{Class, EndpointEntry, Settings};
use crate::policy::state::{Estimates, Job, PolicyState};

/// The decisions of one node, with their settings, their random numbers and what they rest on. The decisions themselves are
/// methods in `src/policy/rules`.
pub(crate) struct Policy {
    pub settings: Settings,
    pub state: PolicyState,
    pub random: fastrand::Rng,
}

impl Policy {
    /// `report_interval` is the first guess at the time between load reports, in microseconds.
    pub fn new(settings: Settings, report_interval: f64, seed: u64) -> Self {
        let state = PolicyState::new(&settings, report_interval);
        Policy { settings, state, random: fastrand::Rng::with_seed(seed) }
    }

    pub fn class(&self, job: &Job) -> &Class {
        &self.settings.classes[usize::from(job.request.class.0)]
    }

    /// What is learned from reports and run times.
    pub fn estimates(&self) -> &Estimates {
        &self.state.estimates
    }

    /// Whether a worker has been running for its whole warm-up time.
    pub fn is_warm(&self, listed: &EndpointEntry) -> bool {
        self.state.is_warm(listed, self.settings.warm_up_time)
    }

    /// Whether the node shares its workers with a group of nodes.
    pub fn is_grouped(&self) -> bool {
        self.state.gossip.is_grouped()
    }
}
