//! A cold start: the hard cases as rows over the model of a few dozen dispatchers, and one story in the built program. What
//! it takes at size is `make proof-coldstart`.

use mothproxy_coldstart::simulation::{
    MassRestart, Outage, Pause, PollingStrategy, SimulationScenario, SimulationSummary, simulate,
};
use mothproxy_testkit::fleet::*;
use std::time::Duration;

const SECOND: u64 = 1_000_000;
const SIZE: u16 = 40;
/// Calls that the service can handle in 100 ms, at 20 ms a call.
const CALLS_IN_100MS: u64 = 5;
/// The service's time for one call of every dispatcher.
const SERVICE_TIME_FOR_ALL: u64 = 20_000 * SIZE as u64;

/// Whether a day shows what has to hold.
type Check = fn(&SimulationSummary) -> bool;

/// A hard case of the model.
struct HardCase {
    name: &'static str,
    /// How it differs from a plain start.
    change: fn(&mut SimulationScenario),
    /// What has to hold where dispatchers do not hear each other, and where they do.
    alone: Check,
    heard: Check,
}

impl HardCase {
    fn check(&self, seed: u64) {
        let mut day =
            SimulationScenario { duration: 20 * SECOND, load: 0.1, ..SimulationScenario::start(SIZE, seed) };
        (self.change)(&mut day);
        for (behaviour, holds) in [
            (PollingStrategy::SchedulerAlone, self.alone),
            (PollingStrategy::SchedulerWithGossip, self.heard),
        ] {
            let outcome = simulate(&day, behaviour);
            let shown = format!("{}, seed {seed}, {behaviour:?}: {outcome:?}", self.name);
            assert!(spares_the_service(&outcome) && holds(&outcome), "{shown}");
            assert!(outcome.jobs > 100, "{shown}");
        }
    }
}

fn spares_the_service(outcome: &SimulationSummary) -> bool {
    let peak_is_low = outcome.peak_calls_after_outage <= 2 * CALLS_IN_100MS;
    peak_is_low
        && outcome.max_open_calls == 1
        && outcome.processes_without_watch == 0
        && outcome.collapses == 0
}

fn loses_no_job(outcome: &SimulationSummary) -> bool {
    outcome.lost_jobs == 0
}

fn all_hold_a_list_soon(outcome: &SimulationSummary) -> bool {
    outcome.calls_per_process <= 1.5
        && outcome.list_time_p99 <= 2 * SERVICE_TIME_FOR_ALL
        && loses_no_job(outcome)
}

fn notices_silence_in_time(outcome: &SimulationSummary) -> bool {
    outcome.late_watches == 0
}

fn keeps_warm_up_budget(outcome: &SimulationSummary) -> bool {
    outcome.max_budget_fraction <= 1.0
}

fn calls_less_than_twice(outcome: &SimulationSummary) -> bool {
    outcome.calls_per_process <= 1.8
}

const HARD_CASES: [HardCase; 11] = [
    HardCase {
        name: "all start within 1 s",
        change: |_| {},
        alone: all_hold_a_list_soon,
        heard: all_hold_a_list_soon,
    },
    HardCase {
        name: "7 in 10 killed and restarted at once",
        change: |day| day.restart = Some(MassRestart { at: 6 * SECOND, fraction: 0.7 }),
        alone: all_hold_a_list_soon,
        heard: all_hold_a_list_soon,
    },
    HardCase {
        name: "down 8 s into the start",
        change: |day| day.outage = Some(Outage { from: 0, until: 8 * SECOND }),
        alone: |outcome| outcome.calls_per_process <= 9.0,
        heard: |outcome| {
            let is_soon = outcome.list_time_p99 <= 3 * SERVICE_TIME_FOR_ALL;
            outcome.calls_per_process <= 2.0 && is_soon && loses_no_job(outcome)
        },
    },
    HardCase {
        name: "slow, refusing beyond its queue",
        change: |day| day.service_time = 100_000,
        alone: |outcome| outcome.calls_per_process <= 2.0,
        heard: |outcome| outcome.calls_per_process <= 2.0 && loses_no_job(outcome),
    },
    HardCase {
        name: "a watch opened that stays silent",
        change: |day| day.silent_first_watches = 0.3,
        alone: calls_less_than_twice,
        heard: calls_less_than_twice,
    },
    HardCase {
        name: "all watches fall silent",
        change: |day| day.watches_silent_at = Some(6 * SECOND),
        alone: notices_silence_in_time,
        heard: notices_silence_in_time,
    },
    HardCase {
        name: "peers paused in their turn to ask",
        change: |day| {
            day.pause = Some(Pause { dispatchers: 6, duration: 2 * SECOND });
            day.outage = Some(Outage { from: 0, until: 4 * SECOND });
        },
        alone: loses_no_job,
        heard: loses_no_job,
    },
    HardCase {
        name: "two halves that start apart and heal",
        change: |day| day.partitioned_until = Some(5 * SECOND),
        alone: all_hold_a_list_soon,
        heard: all_hold_a_list_soon,
    },
    HardCase {
        name: "workers as cold as dispatchers",
        change: |day| day.workers_warm_up = true,
        alone: keeps_warm_up_budget,
        heard: keeps_warm_up_budget,
    },
    HardCase {
        name: "known names only dead workers",
        change: |day| {
            day.dead_workers = 1.0;
            day.outage = Some(Outage { from: 0, until: 2 * SECOND });
        },
        alone: loses_no_job,
        heard: |outcome| outcome.calls_per_process <= 1.6 && loses_no_job(outcome),
    },
    HardCase {
        name: "down, killed and slow",
        change: |day| {
            day.outage = Some(Outage { from: 0, until: 4 * SECOND });
            day.restart = Some(MassRestart { at: 3 * SECOND, fraction: 0.7 });
            day.service_time = 30_000;
        },
        alone: loses_no_job,
        heard: loses_no_job,
    },
];

/// In each hard case the service is spared and what the case asks holds, whether or not dispatchers hear each other.
#[test]
fn model_holds_in_hard_cases() {
    for case in &HARD_CASES {
        for seed in [1, 2, 3] {
            case.check(seed);
        }
    }
}

/// The same day without the pacer, or as before it, is not what the cases above allow: they see the difference.
#[test]
fn checks_detect_calls_that_bypass_pacer() {
    let down = SimulationScenario {
        outage: Some(Outage { from: 0, until: 8 * SECOND }),
        duration: 20 * SECOND,
        load: 0.1,
        ..SimulationScenario::start(SIZE, 1)
    };
    let without = simulate(
        &SimulationScenario { skip_scheduling: true, ..down.clone() },
        PollingStrategy::SchedulerWithGossip,
    );
    assert!(!spares_the_service(&without) && without.calls_per_process > 9.0, "{without:?}");
    let (before, heard) =
        (simulate(&down, PollingStrategy::FullJitter), simulate(&down, PollingStrategy::SchedulerWithGossip));
    assert!(
        heard.calls * 3 < before.calls
            && heard.mean_tries_at_dead_workers * 2.0 < before.mean_tries_at_dead_workers
    );
    assert_eq!(simulate(&down, PollingStrategy::SchedulerWithGossip), heard, "a seed gives one day");
}

/// Discovery is down at the start, refuses, comes back, falls silent, and ends all watches; jobs are served all along.
#[test]
fn paced_processes_survive_outage_at_start() {
    let mut plan = FleetPlan::new(env!("CARGO_BIN_EXE_mothproxy"), 5, 3, 0x636f_6c64);
    plan.settings =
        Some("fleet { membership { probe_interval_ms: 100 } cold_start { call_ms: 40 } }".to_owned());
    plan.discovery = DiscoveryScript {
        mode: DiscoveryMode::Down,
        service_time: Duration::from_millis(40),
        ..DiscoveryScript::default()
    };
    let fleet = Fleet::start(plan).expect("a fleet");
    let load = fleet.start_plain_load(&fleet.all(), 20.0, Duration::from_secs(60));
    fleet.wait_until("calls are reset", || fleet.discovery.metrics().reset >= 3);
    fleet.wait_until("jobs are served on what is known", || load.summary().served() > 20);
    fleet.discovery.set_mode(DiscoveryMode::Up);
    let answered = |least: u64| fleet.discovery.metrics().answered.iter().all(|n| *n >= least);
    fleet.wait_until("all hold a list", || answered(1));
    let drained = fleet.discovery.set_lifecycle(0, Lifecycle::Draining);
    fleet.wait_until("all are told of a drain", || fleet.notified_at(drained, 0).iter().all(Option::is_some));
    fleet.discovery.set_mode(DiscoveryMode::Mute);
    fleet.wait_until("silence is noticed", || {
        (0..5).all(|i| fleet.log(i).iter().any(|line| line.text.contains("watch failed: fell silent")))
    });
    fleet.discovery.set_mode(DiscoveryMode::Up);
    fleet.wait_until("all hold a list again", || answered(2));
    // Calls may have ended so before, while it was down at the start.
    let ended = |i| fleet.log(i).iter().filter(|line| line.text.contains("watch failed: ended")).count();
    let before: Vec<usize> = (0..5).map(ended).collect();
    fleet.discovery.set_mode(DiscoveryMode::Down);
    fleet.wait_until("watches end", || (0..5).all(|i| ended(i) > before[i]));
    fleet.discovery.set_mode(DiscoveryMode::Up);
    fleet.wait_until("all hold a list once more", || answered(3));
    let report = load.stop();
    assert!(report.served() > 50, "{report:?}");
    let found = fleet.audit(&AuditRules::default());
    assert!(found.is_empty(), "{found:#?}");
}
