//! The inputs and the outcome of one run of the simulation.

use mothproxy::Micros;

/// One second, in microseconds.
pub const S: Micros = 1_000_000;
/// One millisecond, in microseconds.
pub const MS: Micros = 1_000;
/// How long the service is down in [`Scenario::Down`], in microseconds.
pub const OUTAGE_TIME: Micros = 8 * S;

/// The time that the service spends on calls whose responses nobody reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AbandonedCallCost {
    /// None: the service detects that the caller has closed the call, and refuses a call that has waited too long at no cost.
    Nothing,
    /// The service time of a call that the caller has closed, unless the call has also waited too long.
    Gone,
    /// The service time of a closed call, and of one that has waited too long, which is refused only when its turn comes.
    Late,
}

/// What callers observe while the service is down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outage {
    /// Connections are refused.
    Refused,
    /// Connections are never established, and open ones stay silent forever.
    Lost,
    /// Calls arrive and wait in the queue, which does not advance.
    Standing,
}

/// The event after which all callers need a list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    /// All processes start.
    Start,
    /// All watches are reset.
    Reset,
    /// All watches fall silent.
    Silent,
    /// The service is down for [`OUTAGE_TIME`].
    Down(Outage),
    /// The callers move to another service after SIGHUP.
    Moved,
    /// A tenth of the processes is restarted in each of ten successive seconds.
    Restarts,
}

impl Scenario {
    pub const ALL: [Scenario; 8] = [
        Scenario::Start,
        Scenario::Reset,
        Scenario::Silent,
        Scenario::Down(Outage::Refused),
        Scenario::Down(Outage::Lost),
        Scenario::Down(Outage::Standing),
        Scenario::Moved,
        Scenario::Restarts,
    ];

    /// The time within which each caller must get a list once the service is reachable, in microseconds.
    pub fn deadline(self) -> Micros {
        if self == Scenario::Moved { 4 * S } else { 6 * S }
    }

    /// The part of the deadline that is left when the first caller detects that it needs a list, in microseconds.
    pub fn time_to_serve(self) -> Micros {
        // A silence is detected after 2.5 s, and the last heartbeats of the callers are up to 2 s apart.
        let min_detection_delay = if self == Scenario::Silent { 1_500 * MS } else { 0 };
        self.deadline() - min_detection_delay
    }

    /// Whether the callers need whole lists and not only deltas.
    pub fn needs_full_lists(self) -> bool {
        matches!(self, Scenario::Start | Scenario::Moved)
    }
}

/// The inputs of one run.
#[derive(Clone, Copy, Debug)]
pub struct RunConfig {
    pub scenario: Scenario,
    pub callers: u32,
    /// The service's time for a call without the list, in microseconds.
    pub call_time: Micros,
    /// The longest wait of a call in the service's queue, in microseconds; a call that has waited longer is refused.
    pub max_wait: Micros,
    pub abandoned_call_cost: AbandonedCallCost,
    pub seed: u64,
}

impl RunConfig {
    /// The service's time for a call and its list, in microseconds. A whole list takes as long as the call itself, and a delta a
    /// twentieth of that.
    pub fn service_time(&self, is_full_list: bool) -> Micros {
        self.call_time + self.call_time / if is_full_list { 1 } else { 20 }
    }

    /// The number of callers that cannot get a list within the deadline even if the service spends no time on wasted calls.
    pub fn callers_beyond_capacity(&self) -> u32 {
        if self.scenario == Scenario::Restarts {
            return 0;
        }
        let service_time = self.service_time(self.scenario.needs_full_lists());
        self.callers.saturating_sub((self.scenario.time_to_serve() / service_time) as u32)
    }
}

/// The outcome of a run. Latencies are from when a caller needed a list until it got one, in microseconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    pub p50: Micros,
    pub p99: Micros,
    pub max: Micros,
    /// The number of callers that get a list after the deadline or never.
    pub late: u32,
    /// The number of callers that never get a list.
    pub never: u32,
    /// See [`RunConfig::callers_beyond_capacity`].
    pub beyond_capacity: u32,
    pub calls: u32,
    pub refused: u32,
    /// The number of calls that timed out at the caller.
    pub timed_out: u32,
    /// The service's time for calls whose responses nobody reads, in microseconds.
    pub wasted: Micros,
}
