//! Tests of the behaviour of many dispatchers that share many workers. They use one or many instances of the decision module,
//! without sockets.

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

/// The number of dispatchers of a fleet, unless a test chooses another: ten groups of [`GROUP_SIZE`].
const DISPATCHERS: u32 = 100;
/// The number of dispatchers in a group, which advertise their work to each other.
const GROUP_SIZE: u32 = 10;
/// The number of workers of a fleet: six for each group.
const WORKERS: u32 = 60;
/// The number of jobs that a worker can run at once.
const SLOTS: f64 = 4.0;
/// The time for which the client of a job waits, unless a test chooses another.
const TIME_BUDGET: Micros = 5_000 * MS;

/// The place of the dispatcher of [`single_worker_dispatcher`].
const OWN_PLACE: u32 = 7;
/// The place of the dispatcher of [`single_worker_peer`].
const PEER_PLACE: u32 = 3;

/// Settings of one dispatcher of the fleet, which may message its peers.
fn settings(index: u32) -> Settings {
    let class = Class { latency_objective: 250 * MS, deadline: 7_500 * MS, ..class(Idempotency::Idempotent) };
    Settings {
        own_place: index,
        dispatcher_count: DISPATCHERS,
        classes: vec![class],
        may_probe: true,
        may_message_peers: true,
        reports_start: true,
        ..Settings::default()
    }
}

/// Settings of one dispatcher of the fleet, which may not message its peers.
fn settings_without_messages(index: u32) -> Settings {
    Settings { may_message_peers: false, ..settings(index) }
}

/// Creates a dispatcher of a fleet that consists of one group, with these workers.
fn group_member(index: u32, workers: Vec<EndpointEntry>) -> TestDispatcher {
    let mut dispatcher = TestDispatcher::new(Settings { dispatcher_count: GROUP_SIZE, ..settings(index) });
    dispatcher.load_cached_list(workers);
    dispatcher
}

/// Creates a dispatcher whose group has worker 0 only.
fn single_worker_dispatcher() -> TestDispatcher {
    group_member(OWN_PLACE, vec![worker(0)])
}

/// Creates a peer of [`single_worker_dispatcher`] in the same group.
fn single_worker_peer() -> TestDispatcher {
    group_member(PEER_PLACE, vec![worker(0)])
}

/// A load report with this CPU utilisation, this many free slots and this many errors per second.
fn load_report(cpu: f64, free_slots: f64, errors_per_second: f64) -> Option<LoadReport> {
    Some(LoadReport {
        cpu: Some(cpu),
        free_slots: Some(free_slots),
        err_rps: Some(errors_per_second),
        ..LoadReport::default()
    })
}
