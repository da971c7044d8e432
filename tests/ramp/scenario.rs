//! The parameters of a simulated scenario, and the cases that are harder than the basic one.

use crate::common::{MS, class};
use mothproxy::*;

/// The number of jobs that a worker can run at once.
pub const SLOTS: usize = 4;
/// The window within which too many calls make a worker collapse that is warming up.
pub const COLLAPSE_WINDOW: Micros = 1_500 * MS;
/// The time for which a worker warms up.
pub const WARM_UP_TIME: Micros = 8_000 * MS;
/// The fraction of its capacity that a worker has at its start.
pub const INITIAL_CAPACITY: f64 = 0.38;
/// The multiple of its present capacity at which a worker that is warming up collapses.
const COLLAPSE_MULTIPLE: f64 = 4.0;

/// The start of the simulation.
pub const START: Micros = 1_000_000 * MS;
/// The time from which on workers are replaced, one after another over [`REPLACEMENT_SPAN`]. Processes restart and bursts arrive
/// in the middle of that span.
pub const REPLACEMENT_START: Micros = START + 5_000 * MS;
/// The time from the first replacement of a worker to the end of the replacements.
pub const REPLACEMENT_SPAN: Micros = 6_000 * MS;
/// The end of the simulation.
pub const END: Micros = REPLACEMENT_START + REPLACEMENT_SPAN + 5_000 * MS;

/// The connectivity of the network between dispatchers.
#[derive(Clone, Copy)]
pub enum PeerNetwork {
    /// All messages arrive.
    Connected,
    /// Messages arrive only within each side of a partition.
    Partitioned { sides: u32 },
    /// No message arrives.
    Down,
}

impl PeerNetwork {
    /// Whether messages pass between two dispatchers.
    pub fn connects(self, one: u32, other: u32) -> bool {
        match self {
            PeerNetwork::Connected => true,
            PeerNetwork::Partitioned { sides } => one % 7 % sides == other % 7 % sides,
            PeerNetwork::Down => false,
        }
    }
}

/// The parameters of a simulated scenario.
#[derive(Clone, Copy)]
pub struct Scenario {
    pub dispatchers: u32,
    /// N: the number of calls that a worker may get in a window at its start.
    pub window_calls: f64,
    pub workers: u32,
    /// The work that arrives, as a fraction of what all workers can run when they are warm.
    pub load: f64,
    /// Whether the settings allow messages between dispatchers.
    pub may_message_peers: bool,
    pub peer_network: PeerNetwork,
    /// The fraction of the dispatchers' processes that restart, all at the same time.
    pub restarted: f64,
    /// The longest time until a dispatcher is notified of a change of a worker.
    pub max_notification_delay: Micros,
    /// Whether workers restart under their old name, so that dispatchers take them for warm until they are notified.
    pub restarts_in_place: bool,
    /// The number of jobs that arrive at each dispatcher at the same time.
    pub burst: u32,
    /// The longest time that the first connection to a worker takes.
    pub max_connect_time: Micros,
    pub seed: u64,
}

impl Scenario {
    /// The basic scenario.
    pub fn new(dispatchers: u32, window_calls: f64) -> Scenario {
        Scenario {
            dispatchers,
            window_calls,
            workers: 16,
            load: 0.8,
            may_message_peers: true,
            peer_network: PeerNetwork::Connected,
            restarted: 0.0,
            max_notification_delay: 1_700 * MS,
            restarts_in_place: false,
            burst: 0,
            max_connect_time: 0,
            seed: 0,
        }
    }

    /// The mean duration of a job at a warm worker, in microseconds. It is chosen so that `window_calls` is the budget of a worker
    /// at its start.
    pub fn mean_job_duration(&self) -> f64 {
        COLLAPSE_MULTIPLE * INITIAL_CAPACITY * SLOTS as f64 * COLLAPSE_WINDOW as f64 / self.window_calls
    }

    /// The mean time between two jobs at a dispatcher, in microseconds. One dispatcher in ten gets four times the mean load.
    pub fn mean_arrival_interval(&self, dispatcher: u32) -> f64 {
        let relative_load = if dispatcher % 10 == 3 { 4.0 } else { 2.0 / 3.0 };
        let part = relative_load / f64::from(self.dispatchers);
        let all = self.load * f64::from(self.workers) * SLOTS as f64 / self.mean_job_duration();
        1.0 / (all * part)
    }

    /// The settings of one dispatcher.
    pub fn settings(&self, index: u32) -> Settings {
        let class = Class {
            latency_objective: 250 * MS,
            deadline: 7_500 * MS,
            late_weight: 0.5,
            ..class(Idempotency::Idempotent)
        };
        Settings {
            own_place: index,
            dispatcher_count: self.dispatchers,
            classes: vec![class],
            may_probe: true,
            may_message_peers: self.may_message_peers,
            reports_start: true,
            initial_capacity: INITIAL_CAPACITY,
            warm_up_time: WARM_UP_TIME,
            collapse_multiple: COLLAPSE_MULTIPLE,
            collapse_window: COLLAPSE_WINDOW,
            max_attempts: 3,
            ..Settings::default()
        }
    }
}

/// A variant of the basic scenario.
pub struct Case {
    /// The name of the case in the table.
    pub name: &'static str,
    /// Changes the basic scenario into this one.
    pub change: fn(&mut Scenario),
}

/// All cases; the first one is the basic scenario.
pub const CASES: [Case; 8] = [
    Case { name: "all dispatchers connected", change: |_| {} },
    Case { name: "no message arrives", change: |scenario| scenario.peer_network = PeerNetwork::Down },
    Case {
        name: "partition with two sides, 70 % restart",
        change: |scenario| {
            scenario.peer_network = PeerNetwork::Partitioned { sides: 2 };
            scenario.restarted = 0.7;
        },
    },
    Case {
        name: "50 % restart, burst",
        change: |scenario| {
            scenario.restarted = 0.5;
            scenario.burst = 5;
        },
    },
    Case {
        name: "notified up to 5 s late, burst",
        change: |scenario| {
            scenario.max_notification_delay = 5_000 * MS;
            scenario.burst = 5;
        },
    },
    Case {
        name: "workers restart in place, notified up to 3 s late",
        change: |scenario| {
            scenario.restarts_in_place = true;
            scenario.max_notification_delay = 3_000 * MS;
        },
    },
    Case {
        name: "connections take up to 1 s, twice the load",
        change: |scenario| {
            scenario.max_connect_time = 1_000 * MS;
            scenario.load = 1.6;
        },
    },
    Case {
        name: "peer messages not allowed, burst, 50 % restart",
        change: |scenario| {
            scenario.may_message_peers = false;
            scenario.burst = 5;
            scenario.restarted = 0.5;
        },
    },
];
