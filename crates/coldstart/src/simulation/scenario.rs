//! The parameters of a simulated run.

use super::{MS, SECOND};
use crate::poll_scheduler;

/// How dispatchers decide when to call the list service, and which workers to try.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollingStrategy {
    /// The behaviour of the program without this crate: a random wait of up to an eighth of `poll_within`, doubled with
    /// each failure, at most three times. Each dispatcher computes its backoff from workers, and its turns at workers that
    /// warm up, without information from the others.
    RandomWait,
    /// The first call is made immediately. After a failure, the wait is drawn with full jitter up to a limit, which is 100 ms,
    /// doubled with each failure, at most 10 s. Otherwise like `RandomWait`.
    FullJitter,
    /// The state machines of this crate, without facts from other dispatchers.
    SchedulerAlone,
    /// The state machines of this crate, with facts from other dispatchers.
    SchedulerWithGossip,
}

impl PollingStrategy {
    /// The name of the strategy in the output of `examples/proof_coldstart.rs`.
    pub fn name(self) -> &'static str {
        match self {
            PollingStrategy::RandomWait => "landed",
            PollingStrategy::FullJitter => "fulljitter",
            PollingStrategy::SchedulerAlone => "alone",
            PollingStrategy::SchedulerWithGossip => "heard",
        }
    }
}

/// An outage of the service: it resets calls, and all watches end when it begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outage {
    /// The start of the outage.
    pub from: u64,
    /// The end of the outage.
    pub until: u64,
}

/// A restart of many dispatchers: they are killed at the same time, and each starts again within half a second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MassRestart {
    /// When the dispatchers are killed.
    pub at: u64,
    /// The fraction of the dispatchers that is killed.
    pub fraction: f64,
}

/// A pause of some dispatchers, each when it is about to call for the first time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pause {
    /// The number of dispatchers that are paused.
    pub dispatchers: u16,
    /// The length of the pause.
    pub duration: u64,
}

/// The parameters of one run. Times are microseconds since its start; spans are microseconds.
#[derive(Clone, Debug)]
pub struct SimulationScenario {
    /// The number of dispatchers.
    pub dispatchers: u16,
    /// The span within which all dispatchers start.
    pub start_within: u64,
    /// The time that the service needs for a call.
    pub service_time: u64,
    /// The time that dispatchers assume the service needs for a call.
    pub assumed_service_time: u64,
    /// An outage of the service.
    pub outage: Option<Outage>,
    /// A restart of many dispatchers.
    pub restart: Option<MassRestart>,
    /// When all watches fall silent.
    pub watches_silent_at: Option<u64>,
    /// The fraction of first watches that are silent from the start.
    pub silent_first_watches: f64,
    /// A pause of some dispatchers.
    pub pause: Option<Pause>,
    /// The end of a network partition of the dispatchers into two sides; the second side starts a second later.
    pub partitioned_until: Option<u64>,
    /// Whether the workers have just started, like the dispatchers, and warm up.
    pub workers_warm_up: bool,
    /// The fraction of dead workers on the old list; 1 for all.
    pub dead_workers: f64,
    /// The setting `poll_within` of the dispatchers.
    pub poll_within: u64,
    /// The rate of jobs, as a fraction of the capacity of the warm workers; 0 for none.
    pub load: f64,
    /// The length of the run.
    pub duration: u64,
    /// The seed of the run.
    pub seed: u64,
    /// A fault to inject, which the tests must detect: calls are not spread over slots.
    pub skip_scheduling: bool,
}

impl SimulationScenario {
    /// A plain start: all dispatchers start within a second, and a fifth of the known workers is dead.
    pub fn start(dispatchers: u16, seed: u64) -> SimulationScenario {
        SimulationScenario {
            dispatchers,
            start_within: SECOND,
            service_time: 20 * MS,
            assumed_service_time: poll_scheduler::SERVICE_TIME,
            outage: None,
            restart: None,
            watches_silent_at: None,
            silent_first_watches: 0.0,
            pause: None,
            partitioned_until: None,
            workers_warm_up: false,
            dead_workers: 0.2,
            poll_within: 10 * SECOND,
            load: 0.2,
            duration: 12 * SECOND + 45 * MS * u64::from(dispatchers),
            seed,
            skip_scheduling: false,
        }
    }

    /// The end of the outage; 0 if there is none.
    pub(super) fn outage_end(&self) -> u64 {
        self.outage.map_or(0, |outage| outage.until)
    }
}
