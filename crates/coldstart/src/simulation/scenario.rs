//! What happens in a simulated run.

use super::{MS, SECOND};
use crate::poll_scheduler;

/// How dispatchers decide when to call the list service, and which workers to try.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollingStrategy {
    /// As the program without this crate: a random wait up to an eighth of `poll_within`, doubled with each failure three
    /// times at most; backoff from workers, and turns on those that warm up, found by each alone.
    RandomWait,
    /// At once, and after failures plain full jitter: up to 100 ms doubled with each, 10 s at most. Else as `RandomWait`.
    FullJitter,
    /// This crate, without facts from the others.
    SchedulerAlone,
    /// This crate, with facts from the others.
    SchedulerWithGossip,
}

impl PollingStrategy {
    /// Its name in the figures of the proof.
    pub fn name(self) -> &'static str {
        match self {
            PollingStrategy::RandomWait => "landed",
            PollingStrategy::FullJitter => "fulljitter",
            PollingStrategy::SchedulerAlone => "alone",
            PollingStrategy::SchedulerWithGossip => "heard",
        }
    }
}

/// The service is down for a while: it resets calls, and all watches end as it goes down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outage {
    /// When it goes down.
    pub from: u64,
    /// When it is up again.
    pub until: u64,
}

/// Many dispatchers are killed at once, and each started again within half a second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MassRestart {
    /// When they are killed.
    pub at: u64,
    /// The fraction of the dispatchers that is killed.
    pub fraction: f64,
}

/// Some dispatchers stop for a while, each when it is about to call for the first time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pause {
    /// How many dispatchers stop.
    pub dispatchers: u16,
    /// For how long.
    pub duration: u64,
}

/// One run. Times and spans are microseconds since its start.
#[derive(Clone, Debug)]
pub struct SimulationScenario {
    /// How many dispatchers there are.
    pub dispatchers: u16,
    /// They start within this.
    pub start_within: u64,
    /// What a call costs the service.
    pub service_time: u64,
    /// What dispatchers take a call to cost the service.
    pub assumed_service_time: u64,
    /// When the service is down.
    pub outage: Option<Outage>,
    /// Dispatchers that are killed and started again.
    pub restart: Option<MassRestart>,
    /// All watches fall silent then.
    pub watches_silent_at: Option<u64>,
    /// This fraction of the first watches stays silent from the start.
    pub silent_first_watches: f64,
    /// Dispatchers that stop for a while.
    pub pause: Option<Pause>,
    /// Facts do not cross between two sides until then; the second side starts a second later.
    pub partitioned_until: Option<u64>,
    /// Workers have just started, as the dispatchers have, and warm up.
    pub workers_warm_up: bool,
    /// This fraction of the workers on the old list is dead, 1 for all.
    pub dead_workers: f64,
    /// The time that the settings give for calling.
    pub poll_within: u64,
    /// Jobs a second, as a fraction of what the workers do when warm; 0 for none.
    pub load: f64,
    /// How long the run is.
    pub duration: u64,
    /// Its seed.
    pub seed: u64,
    /// The deliberate fault: calls are not spread over slots.
    pub skip_scheduling: bool,
}

impl SimulationScenario {
    /// All start within a second, nothing else happens; a fifth of the known workers is dead.
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

    /// When the service is up again after its outage, 0 where there is none.
    pub(super) fn outage_end(&self) -> u64 {
        self.outage.map_or(0, |outage| outage.until)
    }
}
