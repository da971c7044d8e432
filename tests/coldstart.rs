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

type Holds = fn(&SimulationSummary) -> bool;
/// A hard case of the model.
struct HardCase {
    name: &'static str,
    /// How it differs from a plain start.
    change: fn(&mut SimulationScenario),
    /// What has to hold where dispatchers do not hear each other, and where they do.
    alone: Holds,
    heard: Holds,
}

const fn case(
    name: &'static str,
    change: fn(&mut SimulationScenario),
    alone: Holds,
    heard: Holds,
) -> HardCase {
    HardCase { name, change, alone, heard }
}

fn spares_the_service(o: &SimulationSummary) -> bool {
    o.peak_calls_after_outage <= 2 * CALLS_IN_100MS
        && o.max_open_calls == 1
        && o.processes_without_watch == 0
        && o.collapses == 0
}

#[test]
#[allow(clippy::too_many_lines, reason = "one history or table of cases, read from top to bottom")]
fn model_holds_in_hard_cases() {
    let soon: Holds =
        |o| o.calls_per_process <= 1.5 && o.list_time_p99 <= 2 * SERVICE_TIME_FOR_ALL && o.lost_jobs == 0;
    let holds: Holds = |o| o.lost_jobs == 0;
    let cases = [
        case("all start within 1 s", |_| {}, soon, soon),
        case(
            "7 in 10 killed and restarted at once",
            |s| s.restart = Some(MassRestart { at: 6 * SECOND, fraction: 0.7 }),
            soon,
            soon,
        ),
        case(
            "down 8 s into the start",
            |s| s.outage = Some(Outage { from: 0, until: 8 * SECOND }),
            |o| o.calls_per_process <= 9.0,
            |o| o.calls_per_process <= 2.0 && o.list_time_p99 <= 3 * SERVICE_TIME_FOR_ALL && o.lost_jobs == 0,
        ),
        case(
            "slow, refusing beyond its queue",
            |s| s.service_time = 100_000,
            |o| o.calls_per_process <= 2.0,
            |o| o.calls_per_process <= 2.0 && o.lost_jobs == 0,
        ),
        case(
            "a watch opened that stays silent",
            |s| s.silent_first_watches = 0.3,
            |o| o.calls_per_process <= 1.8,
            |o| o.calls_per_process <= 1.8,
        ),
        case(
            "all watches fall silent",
            |s| s.watches_silent_at = Some(6 * SECOND),
            |o| o.late_watches == 0,
            |o| o.late_watches == 0,
        ),
        case(
            "peers paused in their turn to ask",
            |s| {
                s.pause = Some(Pause { dispatchers: 6, duration: 2 * SECOND });
                s.outage = Some(Outage { from: 0, until: 4 * SECOND });
            },
            holds,
            holds,
        ),
        case("two halves that start apart and heal", |s| s.partitioned_until = Some(5 * SECOND), soon, soon),
        case(
            "workers as cold as dispatchers",
            |s| s.workers_warm_up = true,
            |o| o.max_budget_fraction <= 1.0,
            |o| o.max_budget_fraction <= 1.0,
        ),
        case(
            "known names only dead workers",
            |s| {
                s.dead_workers = 1.0;
                s.outage = Some(Outage { from: 0, until: 2 * SECOND });
            },
            holds,
            |o| o.calls_per_process <= 1.6 && o.lost_jobs == 0,
        ),
        case(
            "down, killed and slow",
            |s| {
                s.outage = Some(Outage { from: 0, until: 4 * SECOND });
                s.restart = Some(MassRestart { at: 3 * SECOND, fraction: 0.7 });
                s.service_time = 30_000;
            },
            holds,
            holds,
        ),
    ];
    for HardCase { name, change, alone, heard } in cases {
        for seed in [1, 2, 3] {
            let mut day = SimulationScenario {
                duration: 20 * SECOND,
                load: 0.1,
                ..SimulationScenario::start(SIZE, seed)
            };
            change(&mut day);
            for (how, holds) in
                [(PollingStrategy::SchedulerAlone, alone), (PollingStrategy::SchedulerWithGossip, heard)]
            {
                let outcome = simulate(&day, how);
                let wrong = format!("{name}, seed {seed}, {how:?}: {outcome:?}");
                assert!(spares_the_service(&outcome) && holds(&outcome), "{wrong}");
                assert!(outcome.jobs > 100, "{wrong}");
            }
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
    let mut plan = Plan::new(env!("CARGO_BIN_EXE_mothproxy"), 5, 3, 0x636f_6c64);
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
