//! What a simulated day is made of, and what it shows.

use mothproxy::Micros;

/// A second.
pub const S: Micros = 1_000_000;
/// A millisecond.
pub const MS: Micros = 1_000;
/// How long the service is down in [`Scenario::Down`].
pub const OUTAGE_TIME: Micros = 8 * S;

/// What calls that nobody reads cost the service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AbandonedCallCost {
    /// Nothing: it sees that a caller has gone, and refuses without work.
    Nothing,
    /// Its time, if the caller has gone.
    Gone,
    /// Its time as well if it waited too long: it is only refused in its turn.
    Late,
}

/// How a service is down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outage {
    /// Connections are refused.
    Refused,
    /// Connections never come up, and those that are open stay silent for good.
    Lost,
    /// Calls come in and wait in the queue, which stands still.
    Standing,
}

/// Why all callers need a list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    /// All processes start.
    Start,
    /// All watches are reset.
    Reset,
    /// All watches fall silent.
    Silent,
    /// The service is down for a while and then back.
    Down(Outage),
    /// SIGHUP names another service.
    Moved,
    /// For ten seconds a tenth of the processes is restarted each.
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

    /// A list must come within this time after the service could be reached.
    pub fn deadline(self) -> Micros {
        if self == Scenario::Moved { 4 * S } else { 6 * S }
    }

    /// How much of the deadline is left when the first caller knows that it needs a list.
    pub fn time_to_serve(self) -> Micros {
        // 2.5 s pass before a silence is noticed, and the last heartbeats are up to 2 s apart.
        let unnoticed = if self == Scenario::Silent { 1_500 * MS } else { 0 };
        self.deadline() - unnoticed
    }

    /// Whether the callers need whole lists, not only what has changed.
    pub fn needs_full_lists(self) -> bool {
        matches!(self, Scenario::Start | Scenario::Moved)
    }
}

/// A simulated day.
#[derive(Clone, Copy, Debug)]
pub struct RunConfig {
    pub scenario: Scenario,
    pub callers: u32,
    /// The service's time for a call, a list of changes included.
    pub call_time: Micros,
    /// It refuses a call that has waited for longer than this.
    pub max_wait: Micros,
    pub abandoned_call_cost: AbandonedCallCost,
    pub seed: u64,
}

impl RunConfig {
    /// The service's time for a call: a whole list is as much again as a call, what changed meanwhile a twentieth of that.
    pub fn service_time(&self, is_full_list: bool) -> Micros {
        self.call_time + self.call_time / if is_full_list { 1 } else { 20 }
    }

    /// By the service's own time, were no caller in another's way, so many cannot be notified within the deadline.
    pub fn callers_beyond_capacity(&self) -> u32 {
        if self.scenario == Scenario::Restarts {
            return 0;
        }
        let service_time = self.service_time(self.scenario.needs_full_lists());
        self.callers.saturating_sub((self.scenario.time_to_serve() / service_time) as u32)
    }
}

/// What a day shows. Times are from when a caller needed a list until it came.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    pub p50: Micros,
    pub p99: Micros,
    pub max: Micros,
    /// Callers that get a list later than the deadline.
    pub late: u32,
    /// Callers that never get one.
    pub never: u32,
    /// See [`RunConfig::callers_beyond_capacity`].
    pub beyond_capacity: u32,
    pub calls: u32,
    pub refused: u32,
    /// Given up by their callers.
    pub timed_out: u32,
    /// The service's time for calls that nobody reads.
    pub wasted: Micros,
}
