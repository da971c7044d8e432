//! What a simulated day is made of, and the cases that are worse than a plain one.

use crate::common::{MS, class};
use mothproxy::*;

/// Jobs that a worker runs at once.
pub const SLOTS: usize = 4;
/// The window within which too many calls make a worker collapse that is warming up.
pub const COLLAPSE_WINDOW: Micros = 1_500 * MS;
/// How long a worker warms up.
pub const WARM_UP_TIME: Micros = 8_000 * MS;
/// The part of its capacity that a worker has at its start.
pub const INITIAL_CAPACITY: f64 = 0.38;
const COLLAPSE_MULTIPLE: f64 = 4.0;

/// When the day begins.
pub const START: Micros = 1_000_000 * MS;
/// Workers are replaced from here on, one after another over [`REPLACEMENT_SPAN`]; processes restart and bursts come in the
/// middle of it.
pub const REPLACEMENT_START: Micros = START + 5_000 * MS;
pub const REPLACEMENT_SPAN: Micros = 6_000 * MS;
/// When the day ends.
pub const END: Micros = REPLACEMENT_START + REPLACEMENT_SPAN + 5_000 * MS;

/// Which dispatchers get each other's messages.
#[derive(Clone, Copy)]
pub enum PeerNetwork {
    Connected,
    /// Only those on one side of a cut.
    Partitioned {
        sides: u32,
    },
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

/// A simulated day.
#[derive(Clone, Copy)]
pub struct Scenario {
    pub dispatchers: u32,
    /// N: the calls that a worker may get in a window at its start.
    pub window_calls: f64,
    pub workers: u32,
    /// Work that comes, as a part of what all workers can run when they are warm.
    pub load: f64,
    /// Whether the settings allow messages between dispatchers.
    pub may_message_peers: bool,
    pub peer_network: PeerNetwork,
    /// The part of the processes that restart, all at once.
    pub restarted: f64,
    /// The longest that a change of a worker takes to a dispatcher.
    pub max_notification_delay: Micros,
    /// Workers start anew at their place: who has not been notified takes them for warm.
    pub restarts_in_place: bool,
    /// Jobs that come at once to each dispatcher.
    pub burst: u32,
    /// The longest that the first connection to a worker takes.
    pub max_connect_time: Micros,
    pub seed: u64,
}

impl Scenario {
    /// A plain day.
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

    /// The mean duration of a job at a warm worker, in microseconds: what a worker may get in a window follows from it.
    pub fn mean_job_duration(&self) -> f64 {
        COLLAPSE_MULTIPLE * INITIAL_CAPACITY * SLOTS as f64 * COLLAPSE_WINDOW as f64 / self.window_calls
    }

    /// The mean time between two jobs at a dispatcher, in microseconds: one in ten gets four times the mean.
    pub fn mean_arrival_interval(&self, dispatcher: u32) -> f64 {
        let relative_load = if dispatcher % 10 == 3 { 4.0 } else { 2.0 / 3.0 };
        let part = relative_load / f64::from(self.dispatchers);
        let all = self.load * f64::from(self.workers) * SLOTS as f64 / self.mean_job_duration();
        1.0 / (all * part)
    }

    /// The settings of one dispatcher.
    pub fn settings(&self, me: u32) -> Settings {
        let class = Class {
            latency_objective: 250 * MS,
            deadline: 7_500 * MS,
            late_weight: 0.5,
            ..class(Idempotency::Idempotent)
        };
        Settings {
            own_index: me,
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

/// A way to be worse off than on a plain day.
pub struct Case {
    /// What the table calls it.
    pub name: &'static str,
    /// Makes a plain day this one.
    pub change: fn(&mut Scenario),
}

pub const CASES: [Case; 8] = [
    Case { name: "all hear each other", change: |_| {} },
    Case { name: "nobody hears anybody", change: |day| day.peer_network = PeerNetwork::Down },
    Case {
        name: "two sides of a cut, seven in ten restart",
        change: |day| {
            day.peer_network = PeerNetwork::Partitioned { sides: 2 };
            day.restarted = 0.7;
        },
    },
    Case {
        name: "half restart, a burst",
        change: |day| {
            day.restarted = 0.5;
            day.burst = 5;
        },
    },
    Case {
        name: "told up to 5 s late, a burst",
        change: |day| {
            day.max_notification_delay = 5_000 * MS;
            day.burst = 5;
        },
    },
    Case {
        name: "workers start anew in place, told late",
        change: |day| {
            day.restarts_in_place = true;
            day.max_notification_delay = 3_000 * MS;
        },
    },
    Case {
        name: "connections come up late, twice the load",
        change: |day| {
            day.max_connect_time = 1_000 * MS;
            day.load = 1.6;
        },
    },
    Case {
        name: "no peers allowed, a burst, half restart",
        change: |day| {
            day.may_message_peers = false;
            day.burst = 5;
            day.restarted = 0.5;
        },
    },
];
