//! One simulated dispatcher: its process, its call or watch, and its knowledge of workers.

use super::gossip::{Fact, QueuedFact};
use super::workers::{self, Connections};
use super::{MS, Presence, SECOND, SimulationScenario, UNIX_AT_ZERO};
use crate::{HealthConfirmation, PollScheduler, ServiceStatus, SharedObservations, WarmUpBudget};
use crate::{poll_scheduler, warm_up_budget};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::rc::Rc;

/// The dispatcher at one place, whether or not its process is running.
#[derive(Default)]
pub(super) struct Dispatcher {
    /// The number of earlier processes at this place.
    pub incarnation: u32,
    pub is_running: bool,
    pub started_at: u64,
    pub paused_until: u64,
    /// Whether the process will be paused when its first call is due.
    pub will_pause: bool,
    pub open_calls: u64,
    /// The number of calls made so far, which is also the number of the last call.
    pub calls: u64,
    /// The time of the last call.
    pub called_at: u64,
    pub has_watch: bool,
    pub is_watch_silent: bool,
    /// When the process first got a list from the service.
    pub first_list_at: Option<u64>,
    /// Consecutive calls and watches that failed.
    pub failures: u32,
    /// The connections to each worker, by the worker's index.
    pub connections: HashMap<usize, Connections>,
    /// This crate's state machines, if the strategy uses them.
    pub state_machines: Option<StateMachines>,
    /// The facts held, by place and slot.
    pub facts: BTreeMap<(u16, u32), Rc<Fact>>,
    /// The facts to forward.
    pub gossip_queue: VecDeque<QueuedFact>,
    /// Whether the process has requested the facts of another process after its start.
    pub has_joined: bool,
    /// The last status of the service that was given to `SharedObservations`.
    pub last_status: Option<ServiceStatus>,
    /// The number of the last fact that the process published.
    pub fact_number: u64,
}

impl Dispatcher {
    pub fn presence(&self) -> Presence {
        Presence { is_running: self.is_running, incarnation: self.incarnation }
    }
}

/// This crate's state machines of one dispatcher.
pub(super) struct StateMachines {
    pub scheduler: PollScheduler,
    pub observations: SharedObservations,
    pub budget: WarmUpBudget,
    pub confirmation: HealthConfirmation,
}

impl StateMachines {
    /// Creates the state machines of a process that starts at `now` and holds a list with the workers of these tags.
    pub fn new(
        scenario: &SimulationScenario,
        place: u16,
        seed: u64,
        has_membership: bool,
        tags: impl Iterator<Item = u64>,
        now: u64,
    ) -> Option<StateMachines> {
        let places = scenario.dispatchers;
        let schedule = poll_scheduler::Config {
            place,
            places,
            service_time: scenario.assumed_service_time,
            poll_within: Some(scenario.poll_within),
            unix_at_zero: UNIX_AT_ZERO,
            seed,
            has_membership,
            skip_scheduling: scenario.skip_scheduling,
        };
        let budget = warm_up_budget::Config {
            place,
            places,
            unix_at_zero: UNIX_AT_ZERO,
            max_clock_skew: 50 * MS,
            overload_window: workers::OVERLOAD_WINDOW,
            overload_multiple: workers::OVERLOAD_MULTIPLE,
            initial_capacity: workers::INITIAL_CAPACITY,
            warm_up_time: workers::WARM_UP_TIME,
            handshake_work: workers::HANDSHAKE_WORK,
            probe_work: workers::HANDSHAKE_WORK,
            connections: 0,
            connection_lease: 10 * SECOND,
            skip_turns: false,
        };
        Some(StateMachines {
            scheduler: PollScheduler::new(schedule, now, 1).ok()?,
            budget: WarmUpBudget::new(budget, now).ok()?,
            observations: SharedObservations::new(place, UNIX_AT_ZERO, now),
            confirmation: HealthConfirmation::new(tags, place, places),
        })
    }
}
