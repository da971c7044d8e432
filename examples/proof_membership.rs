//! Measures and checks membership in the built program: fleets of 3 to 30 processes on loopback with injected faults, and the
//! simulation of the same state machine with 300 and 3,000 members.
//!
//! `make proof-membership` runs this program. Usage: `proof_membership [FIRST_SEED]`. The last line of the output is JSON. The
//! exit code is 1 if a check failed.

#[path = "../tests/common/members.rs"]
mod members;

use hdrhistogram::Histogram;
use members::*;
use mothproxy_membership::simulation::{Extent, run};
use mothproxy_testkit::fleet::{AuditRules, DatagramFaults, Fleet, FleetPlan};
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::process::ExitCode;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// The settings of all fleets. The probe interval, to which all other intervals are scaled, is so short that a death is
/// detected within about a second.
const SETTINGS: &str = "fleet { membership { probe_interval_ms: 200 } }";
/// The time limit of each wait for a condition.
const LIMIT: Duration = Duration::from_secs(12);

/// The measurements, and the checks that failed.
#[derive(Default)]
struct Report {
    /// The times from a kill until another member declared the death, in microseconds.
    detections: Mutex<Vec<u64>>,
    /// The times from the end of a partition until all members agreed, in milliseconds.
    heals: Mutex<Vec<u64>>,
    seeds: Mutex<BTreeSet<u64>>,
    metrics: Mutex<BTreeMap<String, Value>>,
    /// A description of each check that failed.
    failures: Mutex<Vec<String>>,
}

impl Report {
    fn record(&self, name: &str, value: impl Into<Value>) {
        self.metrics.lock().expect("no check panicked").insert(name.to_owned(), value.into());
    }

    fn check(&self, holds: bool, failure: &str) {
        if !holds {
            println!("BROKEN: {failure}");
            self.failures.lock().expect("no check panicked").push(failure.to_owned());
        }
    }
}

/// A fault that makes others declare a member dead.
struct ExpectedDeath {
    member: usize,
    /// The start of the fault, in microseconds of the harness's clock.
    from: u64,
    /// The end of the fault; `u64::MAX` while it lasts.
    until: u64,
}

/// A fleet, with the deaths that the faults of the run explain.
struct Run<'a> {
    name: &'static str,
    fleet: Fleet,
    report: &'a Report,
    expected_deaths: Vec<ExpectedDeath>,
}

impl<'a> Run<'a> {
    fn new(name: &'static str, size: usize, seed: u64, report: &'a Report) -> Run<'a> {
        let program = mothproxy_testkit::program_path();
        let plan =
            FleetPlan { settings: Some(SETTINGS.to_owned()), ..FleetPlan::new(program, size, 2, seed) };
        let fleet = Fleet::start(plan).expect("the fleet starts");
        report.seeds.lock().expect("no check panicked").insert(seed);
        let mut run = Run { name, fleet, report, expected_deaths: Vec::new() };
        run.wait_until_agreed("at the start");
        run
    }

    /// Waits until a condition holds, and records a failure if it does not within [`LIMIT`]. Returns the time that it took, in
    /// milliseconds.
    fn wait_for(&self, condition: &str, holds: impl FnMut() -> bool) -> u64 {
        let took = self.fleet.time_until(LIMIT, holds);
        self.report.check(took.is_some(), &format!("{}: not within {LIMIT:?}: {condition}", self.name));
        took.unwrap_or(LIMIT).as_millis() as u64
    }

    /// Waits until each member observes all members as alive; `occasion` names the preceding step in failures.
    fn wait_until_agreed(&mut self, occasion: &str) -> u64 {
        let all = self.fleet.all();
        self.wait_for(&format!("all members alive in all views {occasion}"), || {
            all_observe(&self.fleet, &all, &all, "alive")
        })
    }

    fn others(&self, of: &[usize]) -> Vec<usize> {
        (0..self.fleet.size()).filter(|i| !of.contains(i)).collect()
    }

    /// Expects deaths of these members from now until [`Run::end_expected_deaths`]. Returns the current time.
    fn expect_deaths(&mut self, of: &[usize]) -> u64 {
        let now = self.fleet.now();
        let deaths = of.iter().map(|&member| ExpectedDeath { member, from: now, until: u64::MAX });
        self.expected_deaths.extend(deaths);
        now
    }

    fn end_expected_deaths(&mut self) {
        let now = self.fleet.now();
        let open = self.expected_deaths.iter_mut().filter(|death| death.until == u64::MAX);
        open.for_each(|death| death.until = now);
    }

    /// Kills a member, records by the logs of the others when each of them declared it dead, and starts the member again.
    fn test_kill(&mut self, victim: usize) {
        let killed = self.expect_deaths(&[victim]);
        self.fleet.kill(victim);
        let others = self.others(&[victim]);
        self.wait_for("the killed member is dead in all other views", || {
            all_observe(&self.fleet, &others, &[victim], "dead")
        });
        let deaths = state_changes(&self.fleet, &others, "Dead", killed);
        let times = deaths.iter().filter(|change| change.member == victim).map(|change| change.at - killed);
        self.report.detections.lock().expect("no check panicked").extend(times);
        let started = self.fleet.now();
        self.fleet.restart(victim).expect("the killed process starts");
        self.wait_until_agreed("after a restart");
        self.report.record(&format!("{}_restart_known_ms", self.name), (self.fleet.now() - started) / 1000);
        self.end_expected_deaths();
    }

    /// Partitions the fleet into `count` sides until each side has declared all others dead, and then heals the partition.
    fn test_partition(&mut self, count: usize) {
        let size = self.fleet.size();
        let sides: Vec<Vec<usize>> =
            (0..count).map(|s| (0..size).filter(|i| i % count == s).collect()).collect();
        let all = self.fleet.all();
        self.expect_deaths(&all);
        let refs: Vec<&[usize]> = sides.iter().map(Vec::as_slice).collect();
        self.fleet.datagrams.partition(&refs);
        self.wait_for("each side observes only its own members as alive", || {
            sides.iter().all(|side| {
                let rest = self.others(side);
                all_observe(&self.fleet, side, &rest, "dead") && all_observe(&self.fleet, side, side, "alive")
            })
        });
        self.end_expected_deaths();
        // No suspicion is pending here: each member is alive or dead in each view. A death from now on is a false one.
        self.fleet.datagrams.heal();
        let took = self.wait_until_agreed("after the partition healed");
        self.report.heals.lock().expect("no check panicked").push(took);
        println!(
            "{}: {size} members in {count} sides: agreed {took} ms after the partition healed",
            self.name
        );
    }

    /// Checks that the logs contain no unexpected death, that the audit of the fleet finds no violation, and that no datagram
    /// exceeded the maximum length. Returns the number of unexpected deaths.
    fn finish(self) -> usize {
        let is_expected = |change: &&StateChange| {
            let matches = |death: &ExpectedDeath| {
                death.member == change.member && (death.from..=death.until).contains(&change.at)
            };
            self.expected_deaths.iter().any(matches)
        };
        let deaths = state_changes(&self.fleet, &self.fleet.all(), "Dead", 0);
        let unexpected: Vec<_> = deaths.iter().filter(|death| !is_expected(death)).collect();
        self.report.check(unexpected.is_empty(), &format!("{}: false deaths: {unexpected:?}", self.name));
        let findings = self.fleet.audit(&AuditRules::default());
        self.report.check(findings.is_empty(), &format!("{}: audit: {findings:?}", self.name));
        let totals = self.fleet.datagrams.totals();
        self.report.check(totals.iter().all(|t| t.too_long == 0), "a datagram exceeded 256 bytes");
        unexpected.len()
    }
}

/// The first byte of a membership datagram.
const MEMBERSHIP_KIND: u8 = 0xF1;
/// The number of processes of the large fleet.
const LARGE_FLEET_SIZE: usize = 30;

/// The number of bytes of membership datagrams that all members have sent since the start.
fn membership_bytes(fleet: &Fleet) -> u64 {
    let totals = fleet.datagrams.totals();
    totals.iter().filter_map(|link| link.by_first_byte.get(&MEMBERSHIP_KIND)).map(|count| count.bytes).sum()
}

/// Measures the sending rate of a member of the large fleet without faults.
fn measure_idle_traffic(run: &Run) {
    std::thread::sleep(Duration::from_millis(600)); // until the gossip about the start has ended
    let before = membership_bytes(&run.fleet);
    let started = Instant::now();
    std::thread::sleep(Duration::from_millis(2_000));
    let sent = membership_bytes(&run.fleet) - before;
    let rate = sent as f64 / started.elapsed().as_secs_f64() / LARGE_FLEET_SIZE as f64;
    run.report.record("bytes_a_second_a_member_30", rate.round());
}

/// Sends random bytes to one member, with the first byte of a membership datagram, from the addresses of all others.
fn send_garbage(run: &Run, seed: u64) {
    const RECEIVER: usize = LARGE_FLEET_SIZE - 1;
    let mut rng = fastrand::Rng::with_seed(seed);
    let started = Instant::now();
    let mut sent = 0;
    while started.elapsed() < Duration::from_millis(5_000) {
        let mut bytes: Vec<u8> = (0..rng.usize(1..400)).map(|_| rng.u8(..)).collect();
        bytes[0] = MEMBERSHIP_KIND;
        run.fleet.datagrams.forge(sent % RECEIVER, RECEIVER, &bytes);
        sent += 1;
        std::thread::sleep(Duration::from_micros(500));
    }
    run.fleet.datagrams.set_all(DatagramFaults::NONE);
    let refused = membership_metric(&run.fleet, RECEIVER, "refused");
    run.report.record("rubbish_sent", sent);
    run.report.record("rubbish_refused", refused);
    run.report.check(refused > 0, "no garbage datagram was refused");
}

/// Kills 70% of the members at once, and starts them again.
fn test_mass_kill(run: &mut Run) {
    let killed: Vec<usize> = (0..LARGE_FLEET_SIZE).filter(|member| member % 10 >= 3).collect();
    let survivors = run.others(&killed);
    run.expect_deaths(&killed);
    let killed_at = run.fleet.now();
    killed.iter().for_each(|member| run.fleet.kill(*member));
    run.wait_for("the killed 70% are dead in the views of the survivors", || {
        all_observe(&run.fleet, &survivors, &killed, "dead")
    });
    run.report.record("mass_kill_all_known_ms", (run.fleet.now() - killed_at) / 1000);
    let are_alive = all_observe(&run.fleet, &survivors, &survivors, "alive");
    run.report.check(are_alive, "a survivor of the mass kill is not alive in the views of the survivors");
    let started_at = run.fleet.now();
    killed.iter().for_each(|member| run.fleet.start_process(*member).expect("a killed process starts"));
    run.wait_until_agreed("after the restart of 70% of the members");
    run.report.record("mass_restart_all_known_ms", (run.fleet.now() - started_at) / 1000);
    run.end_expected_deaths();
}

/// Tests 30 processes: traffic without faults, single kills, loss of 10% of the datagrams, garbage datagrams, and the kill of
/// 70% of the members at once.
fn test_large_fleet(seed: u64, report: &Report) -> usize {
    let mut run = Run::new("thirty", LARGE_FLEET_SIZE, seed, report);
    measure_idle_traffic(&run);
    for victim in [7, 19] {
        run.test_kill(victim);
    }
    run.fleet.datagrams.set_all(DatagramFaults::loss(0.1));
    let load = run.fleet.start_plain_load(&[0, 1, 2], 30.0, Duration::from_secs(30));
    send_garbage(&run, seed);
    run.wait_until_agreed("after loss and garbage datagrams");
    test_mass_kill(&mut run);
    report.record("served_meanwhile", load.stop().served());
    run.finish()
}

/// Tests 10 processes: loss of all datagrams in one direction, a pause, and partitions into two and three sides.
fn test_medium_fleet(seed: u64, report: &Report) -> usize {
    let mut run = Run::new("ten", 10, seed, report);
    let probes = membership_metric(&run.fleet, 2, "probes");
    run.fleet.datagrams.cut_one_way(&[2], &[5]);
    run.wait_for("12 more probes while one direction is blocked", || {
        membership_metric(&run.fleet, 2, "probes") > probes + 12
    });
    run.fleet.datagrams.heal();
    run.wait_until_agreed("after the direction was unblocked");
    let paused = run.expect_deaths(&[4]);
    run.fleet.pause(4);
    let others = run.others(&[4]);
    run.wait_for("the paused member is dead in all other views", || {
        all_observe(&run.fleet, &others, &[4], "dead")
    });
    std::thread::sleep(Duration::from_millis(1_500));
    let resumed = run.fleet.now();
    run.fleet.resume(4);
    run.wait_until_agreed("after a pause");
    report.record("pause_back_ms", (run.fleet.now() - resumed) / 1000);
    run.end_expected_deaths();
    let declared = state_changes(&run.fleet, &[4], "Dead", paused).len();
    report.check(declared == 0, "the paused member declared others dead");
    for sides in [2, 3] {
        run.test_partition(sides);
    }
    run.finish()
}

/// Tests small fleets, one after the other and each with its own seed, until the seeds or the time run out. In each fleet a
/// member is killed; those with an even seed are also partitioned. Returns the number of false deaths.
fn test_small_fleets(
    seeds: std::ops::Range<u64>,
    size: usize,
    name: &'static str,
    until: Instant,
    report: &Report,
) -> usize {
    let mut false_deaths = 0;
    for seed in seeds {
        if Instant::now() > until {
            break;
        }
        let mut run = Run::new(name, size, seed, report);
        run.test_kill(seed as usize % size);
        if seed % 2 == 0 {
            run.test_partition(2);
        }
        false_deaths += run.finish();
    }
    false_deaths
}

/// The median and the 99th percentile of some samples.
struct Quantiles {
    p50: f64,
    p99: f64,
}

impl Quantiles {
    fn new(samples: &[u64]) -> Quantiles {
        let mut histogram = Histogram::<u64>::new(3).expect("3 significant digits are valid");
        samples.iter().for_each(|sample| histogram.record(*sample).expect("the histogram resizes itself"));
        let quantile = |fraction| histogram.value_at_quantile(fraction) as f64;
        Quantiles { p50: quantile(0.5), p99: quantile(0.99) }
    }
}

/// The time since `moment` in seconds, rounded to tenths.
fn tenths_of_seconds_since(moment: Instant) -> f64 {
    (moment.elapsed().as_secs_f64() * 10.0).round() / 10.0
}

/// Runs the tests of all fleets concurrently. Returns the number of false deaths.
fn run_fleets(first_seed: u64, started: Instant, report: &Report) -> usize {
    let until = started + Duration::from_secs(17);
    let seeds = |after: u64| first_seed + after..first_seed + after + 100;
    std::thread::scope(|scope| {
        let runs = [
            scope.spawn(|| test_large_fleet(first_seed, report)),
            scope.spawn(|| test_medium_fleet(first_seed + 1, report)),
            scope.spawn(|| test_small_fleets(seeds(100), 3, "three", until, report)),
            scope.spawn(|| test_small_fleets(seeds(200), 5, "five", until, report)),
            scope.spawn(|| test_small_fleets(seeds(300), 6, "six", until, report)),
        ];
        runs.into_iter().map(|run| run.join().expect("no run panicked")).sum()
    })
}

/// Records the times to detect deaths and to agree after partitions, and checks the number of seeds.
fn record_latencies(report: &Report) {
    let detections = report.detections.lock().expect("no check panicked").clone();
    let Quantiles { p50, p99 } = Quantiles::new(&detections);
    report.record("detect_p50_ms", (p50 / 1000.0).round());
    report.record("detect_p99_ms", (p99 / 1000.0).round());
    report.record("detect_samples", detections.len());
    let Quantiles { p50, p99 } = Quantiles::new(&report.heals.lock().expect("no check panicked"));
    report.record("heal_agree_p50_ms", p50);
    report.record("heal_agree_p99_ms", p99);
    let seeds = report.seeds.lock().expect("no check panicked").len();
    report.record("seeds", seeds);
    report.check(seeds >= 20, &format!("{seeds} seeds ran, and 20 are required"));
}

/// Runs the simulation of the same state machine. With the deliberate fault `skip_suspicion` its checks must fail.
fn check_simulation(first_seed: u64, report: &Report) {
    let simulated = run(Extent { seeds: 2, large_seeds: 1, first_seed, skip_suspicion: false });
    for (name, value) in simulated.metrics.iter().filter(|(name, _)| name.contains("300")) {
        report.record(&format!("model_{name}"), *value);
    }
    for violation in &simulated.violations {
        report.check(false, &format!("simulation: {violation}"));
    }
    let faulty = run(Extent { seeds: 1, large_seeds: 0, first_seed, skip_suspicion: true });
    report.record("mutation_skip_suspicion_broke", faulty.violations.len());
    report.check(!faulty.violations.is_empty(), "the deliberate fault skip_suspicion was not detected");
}

fn main() -> ExitCode {
    let first_seed: u64 = std::env::args().nth(1).and_then(|arg| arg.parse().ok()).unwrap_or(1);
    let report = Report::default();
    let started = Instant::now();
    let false_deaths = run_fleets(first_seed, started, &report);
    report.record("real_s", tenths_of_seconds_since(started));
    report.record("false_deaths", false_deaths);
    record_latencies(&report);
    check_simulation(first_seed, &report);
    report.record("all_s", tenths_of_seconds_since(started));
    let metrics = report.metrics.into_inner().expect("no check panicked");
    let failures = report.failures.into_inner().expect("no check panicked");
    for (name, value) in &metrics {
        println!("{name:36} {value:>10}");
    }
    println!(
        "{}",
        json!({"proof": "membership", "first_seed": first_seed, "figures": metrics, "broken": failures})
    );
    ExitCode::from(u8::from(!failures.is_empty()))
}
