//! `make proof-ramp`: twenty processes of the built program share six workers. Two of these start anew, cold, while a cut
//! divides the peers, then nobody hears anybody, a quarter of the processes are killed and started again, and half of them
//! are told late. What each cold worker got in any stretch of the fall window, from those that had been told, stays within N
//! calls and 2 x root of N + 2. The last line is JSON; exit code 1 where something did not hold. `proof_ramp SEED` plays
//! with another seed.

use mothproxy_testkit::fleet::{AuditRules, DatagramFaults, Event, Fleet, Plan, seed_or};
use serde_json::json;
use std::process::ExitCode;
use std::time::Duration;

const SIZE: usize = 20;
const WORKERS: usize = 6;
const WORK: Duration = Duration::from_millis(400);
/// Jobs a second at each: nine tenths of what the workers can run.
const RATE: f64 = 0.9 * WORKERS as f64 * 4.0 / 0.4 / SIZE as f64;

/// The most calls that came within a stretch of the fall window while the worker was cold.
fn max_calls_in_window(fleet: &Fleet, rules: &AuditRules, worker: usize, begun: u64) -> usize {
    let mut arrivals = Vec::new();
    fleet.event_log.for_each(|entry| match entry.event {
        Event::Reached { worker: w, .. }
            if w == worker && (begun..begun + rules.warm_up_time).contains(&entry.at) =>
        {
            arrivals.push(entry.at);
        }
        _ => {}
    });
    let within =
        |from: &u64| arrivals.iter().filter(|at| (*from..*from + rules.overload_window).contains(at)).count();
    arrivals.iter().map(within).max().unwrap_or(0)
}

fn main() -> ExitCode {
    let seed = std::env::args().nth(1).and_then(|s| s.parse().ok()).unwrap_or_else(|| seed_or(0x7261_6d70));
    let mut plan = Plan::new(mothproxy_testkit::program_path(), SIZE, WORKERS, seed);
    for worker in &mut plan.workers {
        (worker.work, worker.random_work) = (WORK, true);
    }
    let rules = AuditRules { mean_work: WORK.as_micros() as u64, ..AuditRules::default() };
    let fleet = Fleet::start(plan).expect("a fleet");
    fleet.wait_until_notified(&fleet.all(), 1, 0);
    let load = fleet.start_plain_load(&fleet.all(), RATE, Duration::from_secs(120));
    let sleep = |s: u64| std::thread::sleep(Duration::from_secs(s));
    let restart_worker = |worker: usize| {
        fleet.kill_worker(worker);
        let begun = fleet.now();
        fleet.revive_worker(worker);
        begun
    };
    sleep(6); // they learn what jobs take and what a worker runs
    let halves: [Vec<usize>; 2] = [(0..SIZE / 2).collect(), (SIZE / 2..SIZE).collect()];
    fleet.datagrams.partition(&[&halves[0], &halves[1]]);
    let first = restart_worker(0);
    sleep(1);
    (0..SIZE / 4).for_each(|i| fleet.kill(i));
    (0..SIZE / 4).for_each(|i| fleet.restart(i).expect("it starts again"));
    fleet.wait_until_up(&fleet.all());
    fleet.datagrams.heal();
    fleet.datagrams.set_all(DatagramFaults::loss(1.0));
    fleet.set_discovery_cut(&halves[1], true);
    let second = restart_worker(1);
    sleep(3);
    fleet.set_discovery_cut(&halves[1], false);
    fleet.datagrams.set_all(DatagramFaults::loss(0.0));
    sleep(7);
    let report = load.stop();
    let found = fleet.audit(&rules);
    let max_calls =
        [(0, first), (1, second)].map(|(worker, begun)| max_calls_in_window(&fleet, &rules, worker, begun));
    let calls =
        rules.overload_multiple * rules.initial_capacity * rules.capacity * rules.overload_window as f64
            / rules.mean_work as f64;
    let held = found.is_empty() && max_calls.iter().all(|calls| *calls > 0);
    found.iter().for_each(|what| println!("BROKEN: {what:?}"));
    let line = json!({
        "proof": "ramp", "held": held, "seed": seed, "processes": SIZE, "calls_at_the_start": calls,
        "most_in_a_window": max_calls, "jobs": report.jobs, "served": report.served(),
    });
    println!("{line}");
    ExitCode::from(u8::from(!held))
}
