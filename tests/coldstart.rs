//! A cold start: the hard cases as rows over the model of a few dozen dispatchers, and one story in the built program. What
//! it takes at size is `make proof-coldstart`.

use mothproxy_coldstart::model::{Behaviour, Outcome, Scenario, play};
use mothproxy_testkit::fleet::*;
use std::time::Duration;

const S: u64 = 1_000_000;
const SIZE: u16 = 40;
/// What the service can do in 100 ms, at 20 ms a call.
const CAN: u64 = 5;
/// The service's own time for all.
const OWN: u64 = 20_000 * SIZE as u64;

type Holds = fn(&Outcome) -> bool;
/// A case: how its day differs, what has to hold of the pacer alone, and where it hears the others.
type Endpoint = (&'static str, fn(&mut Scenario), Holds, Holds);

fn spares_the_service(o: &Outcome) -> bool {
    o.peak_after <= 2 * CAN && o.most_out == 1 && o.without == 0 && o.falls == 0
}

/// Each hard case: how the day differs, what has to hold of the pacer alone, and where it hears the others.
#[test]
fn hard_cases() {
    let soon: Holds = |o| o.calls_each <= 1.5 && o.held_p99 <= 2 * OWN && o.lost == 0;
    let holds: Holds = |o| o.lost == 0;
    let rows: [Endpoint; 11] = [
        ("all start within 1 s", |_| {}, soon, soon),
        ("7 in 10 killed and restarted at once", |s| s.killed = Some((6 * S, 0.7)), soon, soon),
        (
            "down 8 s into the start",
            |s| s.down = Some((0, 8 * S)),
            |o| o.calls_each <= 9.0,
            |o| o.calls_each <= 2.0 && o.held_p99 <= 3 * OWN && o.lost == 0,
        ),
        (
            "slow, refusing beyond its queue",
            |s| s.service_time = 100_000,
            |o| o.calls_each <= 2.0,
            |o| o.calls_each <= 2.0 && o.lost == 0,
        ),
        (
            "a watch opened that stays silent",
            |s| s.mute = 0.3,
            |o| o.calls_each <= 1.8,
            |o| o.calls_each <= 1.8,
        ),
        ("all watches fall silent", |s| s.silent = Some(6 * S), |o| o.late == 0, |o| o.late == 0),
        (
            "peers paused in their turn to ask",
            |s| (s.paused, s.down) = (Some((6, 2 * S)), Some((0, 4 * S))),
            holds,
            holds,
        ),
        ("two halves that start apart and heal", |s| s.halves = Some(5 * S), soon, soon),
        (
            "workers as cold as dispatchers",
            |s| s.cold = true,
            |o| o.most_of_budget <= 1.0,
            |o| o.most_of_budget <= 1.0,
        ),
        (
            "known names only dead workers",
            |s| (s.dead, s.down) = (1.0, Some((0, 2 * S))),
            holds,
            |o| o.calls_each <= 1.6 && o.lost == 0,
        ),
        (
            "down, killed and slow",
            |s| {
                (s.down, s.killed, s.service_time) = (Some((0, 4 * S)), Some((3 * S, 0.7)), 30_000);
            },
            holds,
            holds,
        ),
    ];
    for (name, change, alone, heard) in rows {
        for seed in [1, 2, 3] {
            let mut day = Scenario { length: 20 * S, load: 0.1, ..Scenario::start(SIZE, seed) };
            change(&mut day);
            for (how, holds) in [(Behaviour::Alone, alone), (Behaviour::Heard, heard)] {
                let outcome = play(&day, how);
                let wrong = format!("{name}, seed {seed}, {how:?}: {outcome:?}");
                assert!(spares_the_service(&outcome) && holds(&outcome), "{wrong}");
                assert!(outcome.jobs > 100, "{wrong}");
            }
        }
    }
}

/// The same day without the pacer, or as before it, is not what the rows above allow: they see the difference.
#[test]
fn the_rows_see_calls_that_pass_by_the_pacer() {
    let down = Scenario { down: Some((0, 8 * S)), length: 20 * S, load: 0.1, ..Scenario::start(SIZE, 1) };
    let without = play(&Scenario { ask_without_pacer: true, ..down.clone() }, Behaviour::Heard);
    assert!(!spares_the_service(&without) && without.calls_each > 9.0, "{without:?}");
    let (before, heard) = (play(&down, Behaviour::FullJitter), play(&down, Behaviour::Heard));
    assert!(heard.calls * 3 < before.calls && heard.tries_at_dead * 2.0 < before.tries_at_dead);
    assert_eq!(play(&down, Behaviour::Heard), heard, "a seed gives one day");
}

/// Discovery is down at the start, refuses, comes back, falls silent, and ends all watches; jobs are served all along.
#[test]
fn processes_with_a_pacer_come_through() {
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
