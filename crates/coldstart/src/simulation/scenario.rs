//! What happens in a run.

use super::{MS, SECOND};
use crate::poll_scheduler;

/// How dispatchers decide when to call, and which workers to try.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    /// As the program before this crate: a random wait up to an eighth of `poll_within`, doubled with each failure three
    /// times at most; backoff from workers, and turns on cold ones, found by each alone.
    Landed,
    /// At once, and after failures plain full jitter: up to 100 ms doubled with each, 10 s at most. Else as `Landed`.
    FullJitter,
    /// This crate, without facts from the others.
    Alone,
    /// This crate, with facts from the others.
    Heard,
}

/// One run. Times and spans are microseconds since its start.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// How many dispatchers there are.
    pub count: u16,
    /// They start within this.
    pub start_within: u64,
    /// What a call costs the service.
    pub service_time: u64,
    /// What dispatchers take a call to cost the service.
    pub assumed_service_time: u64,
    /// The service is down from then to then.
    pub down: Option<(u64, u64)>,
    /// This fraction of the dispatchers is killed then and started again.
    pub killed: Option<(u64, f64)>,
    /// All watches fall silent then.
    pub silent: Option<u64>,
    /// This fraction of the first watches stays silent from the start.
    pub mute: f64,
    /// So many of the dispatchers stop for so long, each when it is about to call for the first time.
    pub paused: Option<(u16, u64)>,
    /// Facts do not cross between two halves until then; the second starts a second later.
    pub halves: Option<u64>,
    /// Workers are as cold as dispatchers.
    pub cold: bool,
    /// This fraction of the workers on the old list is dead, 1 for all.
    pub dead: f64,
    /// The time that the settings give for calling.
    pub poll_within: u64,
    /// Jobs a second, as a fraction of what the workers do when warm; 0 for none.
    pub load: f64,
    /// How long the run is.
    pub length: u64,
    /// Its seed.
    pub seed: u64,
    /// The deliberate fault: calls are not spread over slots.
    pub skip_scheduling: bool,
}

impl Scenario {
    /// All start within a second, nothing else happens; a fifth of the known workers is dead.
    pub fn start(count: u16, seed: u64) -> Scenario {
        Scenario {
            count,
            start_within: SECOND,
            service_time: 20 * MS,
            assumed_service_time: poll_scheduler::SERVICE_TIME,
            down: None,
            killed: None,
            silent: None,
            mute: 0.0,
            paused: None,
            halves: None,
            cold: false,
            dead: 0.2,
            poll_within: 10 * SECOND,
            load: 0.2,
            length: 12 * SECOND + 45 * MS * u64::from(count),
            seed,
            skip_scheduling: false,
        }
    }
}
