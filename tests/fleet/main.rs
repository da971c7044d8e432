//! Many dispatchers over many workers: what each may do that would do harm if all did it. One instance of the decision
//! module, or many side by side, without sockets.

#[path = "../common/mod.rs"]
mod common;

mod borrowed_slots;
mod decision_time;
mod failing_workers;
mod outstanding_work;
mod simulation;
mod warm_up;

use common::*;
use mothproxy::*;

/// Dispatchers of a fleet, unless a test says otherwise: ten groups of [`GROUP_SIZE`].
const DISPATCHERS: u32 = 100;
/// Dispatchers that tell each other of their work.
const GROUP_SIZE: u32 = 10;
/// Workers of a fleet: six for each group.
const WORKERS: u32 = 60;
/// Jobs that a worker can run at once.
const SLOTS: f64 = 4.0;
/// How long the client of a job waits, where no test needs another time.
const TIME_BUDGET: Micros = 5_000 * MS;

/// The dispatcher of [`lone_dispatcher`], and one of its group.
const OWN_NUMBER: u32 = 7;
const PEER_NUMBER: u32 = 3;

/// Settings of one dispatcher of the fleet, which may message its peers.
fn settings(me: u32) -> Settings {
    let class = Class { latency_objective: 250 * MS, deadline: 7_500 * MS, ..class(Idempotency::Idempotent) };
    Settings {
        own_index: me,
        dispatcher_count: DISPATCHERS,
        classes: vec![class],
        may_probe: true,
        may_message_peers: true,
        reports_start: true,
        ..Settings::default()
    }
}

/// Settings of one dispatcher that sends its peers nothing.
fn settings_without_messages(me: u32) -> Settings {
    Settings { may_message_peers: false, ..settings(me) }
}

/// A dispatcher of a fleet that is one group, with these workers.
fn group_member(me: u32, workers: Vec<EndpointEntry>) -> TestDispatcher {
    let mut dispatcher = TestDispatcher::new(Settings { dispatcher_count: GROUP_SIZE, ..settings(me) });
    dispatcher.load_cached_list(workers);
    dispatcher
}

/// A dispatcher whose group has worker 0 and no other.
fn lone_dispatcher() -> TestDispatcher {
    group_member(OWN_NUMBER, vec![worker(0)])
}

/// A peer of [`lone_dispatcher`] in its group, with the same one worker.
fn peer_of_lone_dispatcher() -> TestDispatcher {
    group_member(PEER_NUMBER, vec![worker(0)])
}

/// The load report of a worker that uses this much CPU, has this many free slots and fails this many jobs a second.
fn load_report(cpu: f64, free_slots: f64, errors_per_second: f64) -> Option<LoadReport> {
    Some(LoadReport {
        cpu: Some(cpu),
        free_slots: Some(free_slots),
        err_rps: Some(errors_per_second),
        ..LoadReport::default()
    })
}
