//! Peer groups in a partitioned fleet, simulated without sockets.

use crate::common::{MS, PeerDatagram, TestDispatcher, peer_datagrams, sends, workers};
use mothproxy::policy::interface::PeerPresence::{self, Present, Unreachable};
use mothproxy::policy::interface::{Action, Event, JobId};

/// Twenty dispatchers in two peer groups, and twelve workers with four slots each. The dispatchers are partitioned into two sides;
/// each side has members of both groups, and receives nothing from the other.
struct PartitionedFleet {
    dispatchers: Vec<TestDispatcher>,
    /// The number of jobs at each worker.
    running: Vec<usize>,
}

/// The number of running jobs in a [`PartitionedFleet`].
struct RunningJobs {
    /// At the worker with the most jobs.
    max_per_worker: usize,
    total: usize,
}

impl PartitionedFleet {
    const DISPATCHERS: u32 = 20;
    const WORKERS: u32 = 12;
    const SLOTS: usize = 4;

    fn side(dispatcher: u32) -> u32 {
        dispatcher / 2 % 2
    }

    fn settings(index: u32) -> mothproxy::Settings {
        let default = mothproxy::Settings::default();
        let class = mothproxy::Class {
            latency_objective: 20_000 * MS,
            deadline: 60_000 * MS,
            ..default.classes[0].clone()
        };
        mothproxy::Settings {
            own_place: index,
            dispatcher_count: PartitionedFleet::DISPATCHERS,
            classes: vec![class],
            may_probe: true,
            reports_start: true,
            may_message_peers: true,
            ..default
        }
    }

    /// A fleet whose dispatchers consider all peers present.
    fn unaware() -> PartitionedFleet {
        PartitionedFleet::with_presence(|_, _| None)
    }

    /// A fleet whose dispatchers consider the peers on the other side unreachable.
    fn aware() -> PartitionedFleet {
        let is_same_side = |index, other| PartitionedFleet::side(index) == PartitionedFleet::side(other);
        PartitionedFleet::with_presence(|index, other| {
            Some(if is_same_side(index, other) { Present } else { Unreachable })
        })
    }

    /// A fleet in which each dispatcher is notified of the presence of its peers; not if `presence` returns `None`.
    fn with_presence(presence: impl Fn(u32, u32) -> Option<PeerPresence>) -> PartitionedFleet {
        let count = PartitionedFleet::DISPATCHERS;
        let dispatcher = |index| {
            let settings = PartitionedFleet::settings(index);
            let mut dispatcher = TestDispatcher::with_seed(settings, u64::from(index));
            dispatcher.load_cached_list(workers(PartitionedFleet::WORKERS));
            // One load report suffices for the number of slots of all workers of a kind.
            dispatcher.report_load(0, 0.0, PartitionedFleet::SLOTS as f64);
            let known_presence: Option<Vec<PeerPresence>> =
                (0..count).map(|other| presence(index, other)).collect();
            if let Some(known_presence) = known_presence {
                dispatcher.feed(Event::Peers(known_presence));
            }
            dispatcher
        };
        let mut fleet = PartitionedFleet {
            dispatchers: (0..count).map(dispatcher).collect(),
            running: vec![0; PartitionedFleet::WORKERS as usize],
        };
        fleet.advance(5_000 * MS); // workers assigned from another group are not used at first
        fleet
    }

    /// Applies the actions of a dispatcher, and the events that follow from them.
    fn perform(&mut self, from: u32, actions: &[Action]) {
        for (job, worker) in sends(actions) {
            self.running[worker.0 as usize] += 1;
            self.feed(from, Event::Started { job: JobId(job), attempt: 0 });
        }
        for PeerDatagram { to, bytes } in peer_datagrams(actions) {
            if PartitionedFleet::side(to) == PartitionedFleet::side(from) {
                self.feed(to, Event::PeerMessage { from, bytes });
            }
        }
    }

    fn feed(&mut self, dispatcher: u32, event: Event) {
        let actions = self.dispatchers[dispatcher as usize].feed(event);
        self.perform(dispatcher, &actions);
    }

    fn advance(&mut self, span: u64) {
        for number in 0..PartitionedFleet::DISPATCHERS {
            let actions = self.dispatchers[number as usize].advance(span);
            self.perform(number, &actions);
        }
    }

    /// Submits 400 jobs for 48 slots within 2 s.
    fn fill(mut self) -> RunningJobs {
        for job in 0..400 {
            let number = job % PartitionedFleet::DISPATCHERS;
            let actions = self.dispatchers[number as usize].arrive(u64::from(job), 0, 60_000 * MS);
            self.perform(number, &actions);
            self.advance(5 * MS);
        }
        RunningJobs {
            max_per_worker: self.running.iter().copied().max().unwrap_or(0),
            total: self.running.iter().sum(),
        }
    }
}

/// Once both sides of a partition have detected it, their jobs together stay within each worker's slots, and most slots are used.
/// Otherwise each side fills the workers by itself.
#[test]
fn partitioned_sides_stay_within_worker_slots() {
    let RunningJobs { max_per_worker, total } = PartitionedFleet::aware().fill();
    assert!(max_per_worker <= 4, "{max_per_worker} concurrent jobs on a worker with 4 slots");
    assert!(total >= 36, "{total} of 48 slots are used, expected at least 36");
    let RunningJobs { max_per_worker, .. } = PartitionedFleet::unaware().fill();
    assert!(
        max_per_worker > 4,
        "control run: only {max_per_worker} concurrent jobs on a worker without partition detection"
    );
}
