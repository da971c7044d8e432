//! Cold starts of a fleet: cases with faults in a simulation of 40 dispatchers, and one scenario with the built program.
//! Measurements at full size are made by `make proof-coldstart`.

use mothproxy_coldstart::simulation::{
    MassRestart, Outage, Pause, PollingStrategy, SimulationScenario, SimulationSummary, simulate,
};
use mothproxy_testkit::fleet::*;
use std::time::Duration;

const SECOND: u64 = 1_000_000;
const SIZE: u16 = 40;
/// The number of calls that the discovery service can handle in 100 ms, at 20 ms per call.
const CALLS_IN_100MS: u64 = 5;
/// The time that the discovery service needs for one call of every dispatcher, in microseconds.
const SERVICE_TIME_FOR_ALL: u64 = 20_000 * SIZE as u64;

/// Whether the summary of a simulation meets a requirement.
type Check = fn(&SimulationSummary) -> bool;

/// A cold start, most often with a fault, and its requirements.
struct ColdStartCase {
    name: &'static str,
    /// Changes a start without faults into this case.
    change: fn(&mut SimulationScenario),
    /// The requirement if dispatchers do not gossip.
    without_gossip: Check,
    /// The requirement if they do.
    with_gossip: Check,
}

impl ColdStartCase {
    fn check(&self, seed: u64) {
        let mut scenario =
            SimulationScenario { duration: 20 * SECOND, load: 0.1, ..SimulationScenario::start(SIZE, seed) };
        (self.change)(&mut scenario);
        for (behaviour, holds) in [
            (PollingStrategy::SchedulerAlone, self.without_gossip),
            (PollingStrategy::SchedulerWithGossip, self.with_gossip),
        ] {
            let outcome = simulate(&scenario, behaviour);
            let description = format!("{}, seed {seed}, {behaviour:?}: {outcome:?}", self.name);
            assert!(limits_service_load(&outcome) && holds(&outcome), "{description}");
            assert!(outcome.jobs > 100, "{description}");
        }
    }
}

fn limits_service_load(outcome: &SimulationSummary) -> bool {
    let peak_is_low = outcome.peak_calls_after_outage <= 2 * CALLS_IN_100MS;
    peak_is_low
        && outcome.max_open_calls == 1
        && outcome.processes_without_watch == 0
        && outcome.collapses == 0
}

fn loses_no_job(outcome: &SimulationSummary) -> bool {
    outcome.lost_jobs == 0
}

fn all_get_a_list_soon(outcome: &SimulationSummary) -> bool {
    outcome.calls_per_process <= 1.5
        && outcome.list_time_p99 <= 2 * SERVICE_TIME_FOR_ALL
        && loses_no_job(outcome)
}

fn detects_silence_in_time(outcome: &SimulationSummary) -> bool {
    outcome.late_watches == 0
}

fn keeps_warm_up_budget(outcome: &SimulationSummary) -> bool {
    outcome.max_budget_fraction <= 1.0
}

fn calls_less_than_twice(outcome: &SimulationSummary) -> bool {
    outcome.calls_per_process <= 1.8
}

const COLD_START_CASES: [ColdStartCase; 11] = [
    ColdStartCase {
        name: "all start within 1 s",
        change: |_| {},
        without_gossip: all_get_a_list_soon,
        with_gossip: all_get_a_list_soon,
    },
    ColdStartCase {
        name: "70 % killed and restarted at once",
        change: |scenario| scenario.restart = Some(MassRestart { at: 6 * SECOND, fraction: 0.7 }),
        without_gossip: all_get_a_list_soon,
        with_gossip: all_get_a_list_soon,
    },
    ColdStartCase {
        name: "discovery down for the first 8 s",
        change: |scenario| scenario.outage = Some(Outage { from: 0, until: 8 * SECOND }),
        without_gossip: |outcome| outcome.calls_per_process <= 9.0,
        with_gossip: |outcome| {
            let is_soon = outcome.list_time_p99 <= 3 * SERVICE_TIME_FOR_ALL;
            outcome.calls_per_process <= 2.0 && is_soon && loses_no_job(outcome)
        },
    },
    ColdStartCase {
        name: "discovery slow, refusing calls when its queue is full",
        change: |scenario| scenario.service_time = 100_000,
        without_gossip: |outcome| outcome.calls_per_process <= 2.0,
        with_gossip: |outcome| outcome.calls_per_process <= 2.0 && loses_no_job(outcome),
    },
    ColdStartCase {
        name: "30 % of the first watches stay silent",
        change: |scenario| scenario.silent_first_watches = 0.3,
        without_gossip: calls_less_than_twice,
        with_gossip: calls_less_than_twice,
    },
    ColdStartCase {
        name: "all watches fall silent",
        change: |scenario| scenario.watches_silent_at = Some(6 * SECOND),
        without_gossip: detects_silence_in_time,
        with_gossip: detects_silence_in_time,
    },
    ColdStartCase {
        name: "dispatchers paused when their call is due",
        change: |scenario| {
            scenario.pause = Some(Pause { dispatchers: 6, duration: 2 * SECOND });
            scenario.outage = Some(Outage { from: 0, until: 4 * SECOND });
        },
        without_gossip: loses_no_job,
        with_gossip: loses_no_job,
    },
    ColdStartCase {
        name: "partitioned into halves for the first 5 s",
        change: |scenario| scenario.partitioned_until = Some(5 * SECOND),
        without_gossip: all_get_a_list_soon,
        with_gossip: all_get_a_list_soon,
    },
    ColdStartCase {
        name: "workers warm up as well",
        change: |scenario| scenario.workers_warm_up = true,
        without_gossip: keeps_warm_up_budget,
        with_gossip: keeps_warm_up_budget,
    },
    ColdStartCase {
        name: "all known workers are dead",
        change: |scenario| {
            scenario.dead_workers = 1.0;
            scenario.outage = Some(Outage { from: 0, until: 2 * SECOND });
        },
        without_gossip: loses_no_job,
        with_gossip: |outcome| outcome.calls_per_process <= 1.6 && loses_no_job(outcome),
    },
    ColdStartCase {
        name: "discovery down and slow, and a mass restart",
        change: |scenario| {
            scenario.outage = Some(Outage { from: 0, until: 4 * SECOND });
            scenario.restart = Some(MassRestart { at: 3 * SECOND, fraction: 0.7 });
            scenario.service_time = 30_000;
        },
        without_gossip: loses_no_job,
        with_gossip: loses_no_job,
    },
];

/// In each case the load on the discovery service stays low and the requirements of the case are met, with and without
/// gossip between dispatchers.
#[test]
fn simulation_meets_requirements_of_all_cases() {
    for case in &COLD_START_CASES {
        for seed in [1, 2, 3] {
            case.check(seed);
        }
    }
}

/// Control runs without scheduled calls, and with full jitter instead, do not meet the requirements of the cases.
#[test]
fn checks_detect_unscheduled_calls() {
    let down = SimulationScenario {
        outage: Some(Outage { from: 0, until: 8 * SECOND }),
        duration: 20 * SECOND,
        load: 0.1,
        ..SimulationScenario::start(SIZE, 1)
    };
    let without_scheduling = simulate(
        &SimulationScenario { skip_scheduling: true, ..down.clone() },
        PollingStrategy::SchedulerWithGossip,
    );
    assert!(
        !limits_service_load(&without_scheduling) && without_scheduling.calls_per_process > 9.0,
        "{without_scheduling:?}"
    );
    let (full_jitter, with_gossip) =
        (simulate(&down, PollingStrategy::FullJitter), simulate(&down, PollingStrategy::SchedulerWithGossip));
    assert!(
        with_gossip.calls * 3 < full_jitter.calls
            && with_gossip.mean_tries_at_dead_workers * 2.0 < full_jitter.mean_tries_at_dead_workers
    );
    assert_eq!(
        simulate(&down, PollingStrategy::SchedulerWithGossip),
        with_gossip,
        "the same seed must give the same result"
    );
}

/// Jobs are served while discovery is down at the start, becomes available, falls silent, and ends all watches.
#[test]
fn processes_survive_discovery_outage_at_start() {
    let mut plan = FleetPlan::new(env!("CARGO_BIN_EXE_mothproxy"), 5, 3, 0x636f_6c64);
    plan.settings =
        Some("fleet { membership { probe_interval_ms: 100 } cold_start { call_ms: 40 } }".to_owned());
    plan.discovery = DiscoveryScript {
        mode: DiscoveryMode::Down,
        service_time: Duration::from_millis(40),
        ..DiscoveryScript::default()
    };
    let fleet = Fleet::start(plan).expect("cannot start the fleet");
    let load = fleet.start_plain_load(&fleet.all(), 20.0, Duration::from_secs(60));
    fleet.wait_until("calls are reset", || fleet.discovery.metrics().reset >= 3);
    fleet.wait_until("jobs are served with the known workers", || load.summary().served() > 20);
    fleet.discovery.set_mode(DiscoveryMode::Up);
    let answered = |least: u64| fleet.discovery.metrics().answered.iter().all(|n| *n >= least);
    fleet.wait_until("all dispatchers have a list", || answered(1));
    let drained = fleet.discovery.set_lifecycle(0, Lifecycle::Draining);
    fleet.wait_until("all dispatchers are notified of a drain", || {
        fleet.notified_at(drained, 0).iter().all(Option::is_some)
    });
    fleet.discovery.set_mode(DiscoveryMode::Mute);
    fleet.wait_until("all dispatchers detect the silent watch", || {
        (0..5).all(|i| fleet.log(i).iter().any(|line| line.text.contains("watch failed: fell silent")))
    });
    fleet.discovery.set_mode(DiscoveryMode::Up);
    fleet.wait_until("all dispatchers have a second list", || answered(2));
    // Calls may also have ended while discovery was down at the start.
    let ended = |i| fleet.log(i).iter().filter(|line| line.text.contains("watch failed: ended")).count();
    let before: Vec<usize> = (0..5).map(ended).collect();
    fleet.discovery.set_mode(DiscoveryMode::Down);
    fleet.wait_until("all watches have ended", || (0..5).all(|i| ended(i) > before[i]));
    fleet.discovery.set_mode(DiscoveryMode::Up);
    fleet.wait_until("all dispatchers have a third list", || answered(3));
    let report = load.stop();
    assert!(report.served() > 50, "{report:?}");
    let found = fleet.audit(&AuditRules::default());
    assert!(found.is_empty(), "{found:#?}");
}
