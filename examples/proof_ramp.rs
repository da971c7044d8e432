//! `make proof-ramp`: twenty processes of the built program share six workers. One worker restarts during a partition of the
//! peers, in which a quarter of the processes are killed and restarted. Another one restarts while all datagrams between peers are
//! lost, and half of the processes are notified late. In any overload window, the calls that a worker gets from notified processes
//! while it is warming up may exceed its budget N by at most 2 x sqrt(N) + 2. The last line is JSON; the exit code is 1 if a check
//! fails. `proof_ramp SEED` runs with another seed.

use mothproxy_testkit::fleet::{AuditRules, DatagramFaults, Event, Fleet, FleetPlan, seed_from_env_or};
use serde_json::json;
use std::process::ExitCode;
use std::time::Duration;

const SIZE: usize = 20;
const WORKERS: usize = 6;
/// The mean time of a job at a worker.
const WORK: Duration = Duration::from_millis(400);
/// The rate of jobs at each process, in jobs per second: in total nine tenths of what the workers can run.
const RATE: f64 = 0.9 * WORKERS as f64 * 4.0 / 0.4 / SIZE as f64;

/// The restart of a worker.
struct Restart {
    worker: usize,
    /// The time of the restart, in microseconds of the harness's clock.
    at: u64,
}

/// The maximum number of calls that arrived within one overload window while the worker was warming up.
fn max_calls_in_window(fleet: &Fleet, rules: &AuditRules, restart: &Restart) -> usize {
    let warm_up = restart.at..restart.at + rules.warm_up_time;
    let mut arrivals = Vec::new();
    fleet.event_log.for_each(|entry| match entry.event {
        Event::Reached { worker, .. } if worker == restart.worker && warm_up.contains(&entry.at) => {
            arrivals.push(entry.at);
        }
        _ => {}
    });
    let calls_from = |from: &u64| {
        let window = *from..*from + rules.overload_window;
        arrivals.iter().filter(|at| window.contains(at)).count()
    };
    arrivals.iter().map(calls_from).max().unwrap_or(0)
}

fn sleep_seconds(seconds: u64) {
    std::thread::sleep(Duration::from_secs(seconds));
}

fn restart_worker(fleet: &Fleet, worker: usize) -> Restart {
    fleet.kill_worker(worker);
    let at = fleet.now();
    fleet.revive_worker(worker);
    Restart { worker, at }
}

/// Restarts a worker during a partition of the peers, and then a quarter of the processes.
fn restart_during_partition(fleet: &Fleet) -> Restart {
    let (first_half, second_half) = halves();
    fleet.datagrams.partition(&[&first_half, &second_half]);
    let restart = restart_worker(fleet, 0);
    sleep_seconds(1);
    (0..SIZE / 4).for_each(|dispatcher| fleet.kill(dispatcher));
    (0..SIZE / 4).for_each(|dispatcher| fleet.restart(dispatcher).expect("cannot restart the process"));
    fleet.wait_until_up(&fleet.all());
    fleet.datagrams.heal();
    restart
}

/// Restarts another worker while all datagrams between peers are lost. Half of the processes are cut off from discovery for three
/// seconds, so that they are notified late.
fn restart_during_datagram_loss(fleet: &Fleet) -> Restart {
    let (_, second_half) = halves();
    fleet.datagrams.set_all(DatagramFaults::loss(1.0));
    fleet.set_discovery_cut(&second_half, true);
    let restart = restart_worker(fleet, 1);
    sleep_seconds(3);
    fleet.set_discovery_cut(&second_half, false);
    fleet.datagrams.set_all(DatagramFaults::loss(0.0));
    restart
}

fn halves() -> (Vec<usize>, Vec<usize>) {
    ((0..SIZE / 2).collect(), (SIZE / 2..SIZE).collect())
}

/// The number of calls that a worker may get in the first window after its start: N in the description above.
fn initial_window_calls(rules: &AuditRules) -> f64 {
    rules.overload_multiple * rules.initial_capacity * rules.capacity * rules.overload_window as f64
        / rules.mean_work as f64
}

fn main() -> ExitCode {
    let seed =
        std::env::args().nth(1).and_then(|s| s.parse().ok()).unwrap_or_else(|| seed_from_env_or(0x7261_6d70));
    let mut plan = FleetPlan::new(mothproxy_testkit::program_path(), SIZE, WORKERS, seed);
    for worker in &mut plan.workers {
        worker.work = WORK;
        worker.random_work = true;
    }
    let rules = AuditRules { mean_work: WORK.as_micros() as u64, ..AuditRules::default() };
    let fleet = Fleet::start(plan).expect("cannot build the fleet");
    fleet.wait_until_notified(&fleet.all(), 1, 0);
    let load = fleet.start_plain_load(&fleet.all(), RATE, Duration::from_secs(120));
    sleep_seconds(6); // the processes learn how long jobs take and how many a worker can run at once
    let restarts = [restart_during_partition(&fleet), restart_during_datagram_loss(&fleet)];
    sleep_seconds(7);
    let summary = load.stop();
    let findings = fleet.audit(&rules);
    let max_calls = restarts.map(|restart| max_calls_in_window(&fleet, &rules, &restart));
    let passed = findings.is_empty() && max_calls.iter().all(|calls| *calls > 0);
    findings.iter().for_each(|finding| println!("BROKEN: {finding:?}"));
    let line = json!({
        "proof": "ramp", "held": passed, "seed": seed, "processes": SIZE,
        "calls_at_the_start": initial_window_calls(&rules), "most_in_a_window": max_calls, "jobs": summary.jobs,
        "served": summary.served(),
    });
    println!("{line}");
    ExitCode::from(u8::from(!passed))
}
