//! Peer groups on two sides of a partition, without sockets.

use crate::common::{MS, PeerDatagram, TestDispatcher, peer_datagrams, sends, workers};
use mothproxy::policy::interface::PeerPresence::{self, Present, Unreachable};
use mothproxy::policy::interface::{Action, Event, JobId};

/// Twenty dispatchers in two groups before twelve workers with four slots each, partitioned into two sides that hold members of
/// both groups and do not hear each other.
struct PartitionedFleet {
    dispatchers: Vec<TestDispatcher>,
    /// The jobs at each worker.
    running: Vec<usize>,
}

/// Jobs that run in a [`PartitionedFleet`].
struct RunningJobs {
    /// At the fullest worker.
    max_per_worker: usize,
    in_all: usize,
}

impl PartitionedFleet {
    const DISPATCHERS: u32 = 20;
    const WORKERS: u32 = 12;
    const SLOTS: usize = 4;

    fn side(dispatcher: u32) -> u32 {
        dispatcher / 2 % 2
    }

    fn settings(me: u32) -> mothproxy::Settings {
        let default = mothproxy::Settings::default();
        let class = mothproxy::Class {
            latency_objective: 20_000 * MS,
            deadline: 60_000 * MS,
            ..default.classes[0].clone()
        };
        mothproxy::Settings {
            own_place: me,
            dispatcher_count: PartitionedFleet::DISPATCHERS,
            classes: vec![class],
            may_probe: true,
            reports_start: true,
            may_message_peers: true,
            ..default
        }
    }

    /// A fleet whose dispatchers take each other for present.
    fn unaware() -> PartitionedFleet {
        PartitionedFleet::with_presence(|_, _| None)
    }

    /// A fleet whose dispatchers have each seen those of the other side die.
    fn aware() -> PartitionedFleet {
        let is_near = |me, other| PartitionedFleet::side(me) == PartitionedFleet::side(other);
        PartitionedFleet::with_presence(|me, other| {
            Some(if is_near(me, other) { Present } else { Unreachable })
        })
    }

    /// A fleet in which each dispatcher is notified of what it believes of each, if of anything.
    fn with_presence(presence: impl Fn(u32, u32) -> Option<PeerPresence>) -> PartitionedFleet {
        let count = PartitionedFleet::DISPATCHERS;
        let dispatcher = |me| {
            let settings = PartitionedFleet::settings(me);
            let mut dispatcher = TestDispatcher::with_seed(settings, u64::from(me));
            dispatcher.load_cached_list(workers(PartitionedFleet::WORKERS));
            // One report says how many slots workers of this kind have.
            dispatcher.report_load(0, 0.0, PartitionedFleet::SLOTS as f64);
            let believed: Option<Vec<PeerPresence>> = (0..count).map(|other| presence(me, other)).collect();
            if let Some(believed) = believed {
                dispatcher.feed(Event::Peers(believed));
            }
            dispatcher
        };
        let mut fleet = PartitionedFleet {
            dispatchers: (0..count).map(dispatcher).collect(),
            running: vec![0; PartitionedFleet::WORKERS as usize],
        };
        fleet.advance(5_000 * MS); // workers that came from the other group are let rest
        fleet
    }

    /// Does what a dispatcher wants done, and what follows from that.
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

    /// Far more jobs than there are slots arrive within 2 s.
    fn fill(mut self) -> RunningJobs {
        for job in 0..400 {
            let number = job % PartitionedFleet::DISPATCHERS;
            let actions = self.dispatchers[number as usize].arrive(u64::from(job), 0, 60_000 * MS);
            self.perform(number, &actions);
            self.advance(5 * MS);
        }
        RunningJobs {
            max_per_worker: self.running.iter().copied().max().unwrap_or(0),
            in_all: self.running.iter().sum(),
        }
    }
}

/// What both sides of a partition take is within each worker's slots once each has seen it, and nearly all of them are used;
/// without the view both fill every worker by themselves.
#[test]
fn partitioned_sides_stay_within_worker_slots() {
    let RunningJobs { max_per_worker, in_all } = PartitionedFleet::aware().fill();
    assert!(max_per_worker <= 4, "{max_per_worker} jobs at once on one worker with four slots");
    assert!(in_all >= 36, "{in_all} of 48 slots are used");
    let RunningJobs { max_per_worker, .. } = PartitionedFleet::unaware().fill();
    assert!(max_per_worker > 4, "the measure: without the view {max_per_worker} at once");
}
