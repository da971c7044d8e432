//! `make proof-membership`: membership in the built program, 3 to 30 processes on loopback with faults between them, and the
//! model of the same state machine at 300 and 3,000 members. The last line is JSON; exit code 1 where something did not hold.
//! `proof_membership SEED` plays with another first seed.

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

/// Short enough that a death takes about a second; all other spans follow from it.
const SETTINGS: &str = "fleet { membership { probe_interval_ms: 200 } }";
/// Whatever is waited for comes within this.
const LIMIT: Duration = Duration::from_secs(12);

/// What was seen, and what did not hold.
#[derive(Default)]
struct Report {
    detect: Mutex<Vec<u64>>,
    heals: Mutex<Vec<u64>>,
    seeds: Mutex<BTreeSet<u64>>,
    figures: Mutex<BTreeMap<String, Value>>,
    broken: Mutex<Vec<String>>,
}

impl Report {
    fn record(&self, name: &str, value: impl Into<Value>) {
        self.figures.lock().expect("a lock").insert(name.to_owned(), value.into());
    }

    fn check(&self, holds: bool, what: &str) {
        if !holds {
            println!("BROKEN: {what}");
            self.broken.lock().expect("a lock").push(what.to_owned());
        }
    }
}

/// A member that is made dead to others, in microseconds of the harness's clock.
struct ExpectedDeath {
    member: usize,
    from: u64,
    until: u64,
}

/// One fleet and what happens to it.
struct Run<'a> {
    name: &'static str,
    fleet: Fleet,
    report: &'a Report,
    /// Deaths that the run caused.
    expected_deaths: Vec<ExpectedDeath>,
}

impl<'a> Run<'a> {
    fn new(name: &'static str, size: usize, seed: u64, report: &'a Report) -> Run<'a> {
        let program = mothproxy_testkit::program_path();
        let plan =
            FleetPlan { settings: Some(SETTINGS.to_owned()), ..FleetPlan::new(program, size, 2, seed) };
        let fleet = Fleet::start(plan).expect("a fleet");
        report.seeds.lock().expect("a lock").insert(seed);
        let mut run = Run { name, fleet, report, expected_deaths: Vec::new() };
        run.wait_until_agreed("at the start");
        run
    }

    /// Waits for something; how long it took in milliseconds.
    fn wait_for(&self, what: &str, holds: impl FnMut() -> bool) -> u64 {
        let took = self.fleet.time_until(LIMIT, holds);
        self.report.check(took.is_some(), &format!("{}: never: {what}", self.name));
        took.unwrap_or(LIMIT).as_millis() as u64
    }

    fn wait_until_agreed(&mut self, what: &str) -> u64 {
        let all = self.fleet.all();
        self.wait_for(&format!("all hold all alive {what}"), || all_observe(&self.fleet, &all, &all, "alive"))
    }

    fn others(&self, of: &[usize]) -> Vec<usize> {
        (0..self.fleet.size()).filter(|i| !of.contains(i)).collect()
    }

    /// What follows makes these places dead to others, until [`Run::end_expected_deaths`].
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

    /// Kills one, notes when each other held it dead by its log, and starts it again.
    fn test_kill(&mut self, victim: usize) {
        let killed = self.expect_deaths(&[victim]);
        self.fleet.kill(victim);
        let others = self.others(&[victim]);
        self.wait_for("a killed one is dead", || all_observe(&self.fleet, &others, &[victim], "dead"));
        let seen = state_changes(&self.fleet, &others, "Dead", killed);
        let times = seen.iter().filter(|change| change.member == victim).map(|change| change.at - killed);
        self.report.detect.lock().expect("a lock").extend(times);
        let started = self.fleet.now();
        self.fleet.restart(victim).expect("it starts again");
        self.wait_until_agreed("after a restart");
        self.report.record(&format!("{}_restart_known_ms", self.name), (self.fleet.now() - started) / 1000);
        self.end_expected_deaths();
    }

    /// Cuts into sides until each side is alone, and heals.
    fn test_partition(&mut self, count: usize) {
        let size = self.fleet.size();
        let sides: Vec<Vec<usize>> =
            (0..count).map(|s| (0..size).filter(|i| i % count == s).collect()).collect();
        let all = self.fleet.all();
        self.expect_deaths(&all);
        let refs: Vec<&[usize]> = sides.iter().map(Vec::as_slice).collect();
        self.fleet.datagrams.partition(&refs);
        self.wait_for("each side is alone", || {
            sides.iter().all(|side| {
                let rest = self.others(side);
                all_observe(&self.fleet, side, &rest, "dead") && all_observe(&self.fleet, side, side, "alive")
            })
        });
        self.end_expected_deaths();
        // The last suspicions may have been under way: what counts as flapping begins with the heal's agreement.
        self.fleet.datagrams.heal();
        let took = self.wait_until_agreed("after a heal");
        self.report.heals.lock().expect("a lock").push(took);
        println!("{}: {count} sides of {size}: agreed {took} ms after the heal", self.name);
    }

    /// No death that the run did not cause, by all logs; no invariant broken; nothing sent that may not be.
    fn close(self) -> usize {
        let is_expected = |change: &&StateChange| {
            let matches = |death: &ExpectedDeath| {
                death.member == change.member && (death.from..=death.until).contains(&change.at)
            };
            self.expected_deaths.iter().any(matches)
        };
        let deaths = state_changes(&self.fleet, &self.fleet.all(), "Dead", 0);
        let wrong: Vec<_> = deaths.iter().filter(|death| !is_expected(death)).collect();
        self.report.check(wrong.is_empty(), &format!("{}: false deaths: {wrong:?}", self.name));
        let found = self.fleet.audit(&AuditRules::default());
        self.report.check(found.is_empty(), &format!("{}: {found:?}", self.name));
        let totals = self.fleet.datagrams.totals();
        self.report.check(totals.iter().all(|t| t.too_long == 0), "a datagram beyond 256 bytes");
        wrong.len()
    }
}

/// The first byte of a membership datagram.
const MEMBERSHIP_KIND: u8 = 0xF1;
/// Processes of the large fleet.
const THIRTY: usize = 30;

/// Bytes that members have sent each other since the start.
fn membership_bytes(fleet: &Fleet) -> u64 {
    let totals = fleet.datagrams.totals();
    totals.iter().filter_map(|link| link.by_first_byte.get(&MEMBERSHIP_KIND)).map(|count| count.bytes).sum()
}

/// What thirty members send while nothing happens.
fn measure_idle_traffic(run: &Run) {
    std::thread::sleep(Duration::from_millis(600)); // the start has been gossiped
    let before = membership_bytes(&run.fleet);
    let started = Instant::now();
    std::thread::sleep(Duration::from_millis(2_000));
    let sent = membership_bytes(&run.fleet) - before;
    let rate = sent as f64 / started.elapsed().as_secs_f64() / THIRTY as f64;
    run.report.record("bytes_a_second_a_member_30", rate.round());
}

/// One member gets random bytes that look like datagrams of all others.
fn send_rubbish(run: &Run, seed: u64) {
    const RECEIVER: usize = THIRTY - 1;
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
    run.report.check(refused > 0, "no rubbish was refused");
}

/// Seven in ten are killed at once, and started again.
fn test_mass_kill(run: &mut Run) {
    let killed: Vec<usize> = (0..THIRTY).filter(|member| member % 10 >= 3).collect();
    let survivors = run.others(&killed);
    run.expect_deaths(&killed);
    let killed_at = run.fleet.now();
    killed.iter().for_each(|member| run.fleet.kill(*member));
    run.wait_for("seven in ten are dead", || all_observe(&run.fleet, &survivors, &killed, "dead"));
    run.report.record("mass_kill_all_known_ms", (run.fleet.now() - killed_at) / 1000);
    let are_alive = all_observe(&run.fleet, &survivors, &survivors, "alive");
    run.report.check(are_alive, "a survivor of the mass kill is held dead");
    let started_at = run.fleet.now();
    killed.iter().for_each(|member| run.fleet.start_process(*member).expect("it starts again"));
    run.wait_until_agreed("after seven in ten started again");
    run.report.record("mass_restart_all_known_ms", (run.fleet.now() - started_at) / 1000);
    run.end_expected_deaths();
}

/// Thirty processes: bytes at rest, kills, a tenth of all datagrams lost, rubbish, and seven in ten killed at once.
fn test_thirty(seed: u64, report: &Report) -> usize {
    let mut run = Run::new("thirty", THIRTY, seed, report);
    measure_idle_traffic(&run);
    for victim in [7, 19] {
        run.test_kill(victim);
    }
    run.fleet.datagrams.set_all(DatagramFaults::loss(0.1));
    let load = run.fleet.start_plain_load(&[0, 1, 2], 30.0, Duration::from_secs(30));
    send_rubbish(&run, seed);
    run.wait_until_agreed("after loss and rubbish");
    test_mass_kill(&mut run);
    report.record("served_meanwhile", load.stop().served());
    run.close()
}

/// Ten processes: a pause, a cut in one direction, two and three sides.
fn test_ten(seed: u64, report: &Report) -> usize {
    let mut run = Run::new("ten", 10, seed, report);
    let probes = membership_metric(&run.fleet, 2, "probes");
    run.fleet.datagrams.cut_one_way(&[2], &[5]);
    run.wait_for("many probes over a one-way cut", || {
        membership_metric(&run.fleet, 2, "probes") > probes + 12
    });
    run.fleet.datagrams.heal();
    run.wait_until_agreed("after a one-way cut");
    let paused = run.expect_deaths(&[4]);
    run.fleet.pause(4);
    let others = run.others(&[4]);
    run.wait_for("a paused one is dead", || all_observe(&run.fleet, &others, &[4], "dead"));
    std::thread::sleep(Duration::from_millis(1_500));
    let resumed = run.fleet.now();
    run.fleet.resume(4);
    run.wait_until_agreed("after a pause");
    report.record("pause_back_ms", (run.fleet.now() - resumed) / 1000);
    run.end_expected_deaths();
    let own = state_changes(&run.fleet, &[4], "Dead", paused).len();
    report.check(own == 0, "who was paused held others dead");
    for sides in [2, 3] {
        run.test_partition(sides);
    }
    run.close()
}

/// Small fleets, one after the other: a kill each, with a seed each.
fn test_small_fleets(
    seeds: std::ops::Range<u64>,
    size: usize,
    name: &'static str,
    until: Instant,
    report: &Report,
) -> usize {
    let mut wrong = 0;
    for seed in seeds {
        if Instant::now() > until {
            break;
        }
        let mut run = Run::new(name, size, seed, report);
        run.test_kill(seed as usize % size);
        if seed % 2 == 0 {
            run.test_partition(2);
        }
        wrong += run.close();
    }
    wrong
}

/// The median and the 99th percentile.
struct Quantiles {
    p50: f64,
    p99: f64,
}

impl Quantiles {
    fn new(samples: &[u64]) -> Quantiles {
        let mut histogram = Histogram::<u64>::new(3).expect("three digits");
        samples.iter().for_each(|sample| histogram.record(*sample).expect("it grows as needed"));
        let quantile = |part| histogram.value_at_quantile(part) as f64;
        Quantiles { p50: quantile(0.5), p99: quantile(0.99) }
    }
}

/// Seconds since a moment, in tenths.
fn tenths_of_seconds_since(moment: Instant) -> f64 {
    (moment.elapsed().as_secs_f64() * 10.0).round() / 10.0
}

/// Runs all fleets at once; how many false deaths they saw.
fn run_fleets(first_seed: u64, started: Instant, report: &Report) -> usize {
    let until = started + Duration::from_secs(17);
    let seeds = |after: u64| first_seed + after..first_seed + after + 100;
    std::thread::scope(|scope| {
        let runs = [
            scope.spawn(|| test_thirty(first_seed, report)),
            scope.spawn(|| test_ten(first_seed + 1, report)),
            scope.spawn(|| test_small_fleets(seeds(100), 3, "three", until, report)),
            scope.spawn(|| test_small_fleets(seeds(200), 5, "five", until, report)),
            scope.spawn(|| test_small_fleets(seeds(300), 6, "six", until, report)),
        ];
        runs.into_iter().map(|run| run.join().expect("a run came to its end")).sum()
    })
}

/// Records how soon deaths and heals were known, and checks how many seeds were played.
fn record_latencies(report: &Report) {
    let detections = report.detect.lock().expect("a lock").clone();
    let Quantiles { p50, p99 } = Quantiles::new(&detections);
    report.record("detect_p50_ms", (p50 / 1000.0).round());
    report.record("detect_p99_ms", (p99 / 1000.0).round());
    report.record("detect_samples", detections.len());
    let Quantiles { p50, p99 } = Quantiles::new(&report.heals.lock().expect("a lock"));
    report.record("heal_agree_p50_ms", p50);
    report.record("heal_agree_p99_ms", p99);
    let seeds = report.seeds.lock().expect("a lock").len();
    report.record("seeds", seeds);
    report.check(seeds >= 20, &format!("{seeds} seeds, and 20 are asked for"));
}

/// The model of the same machine, and the seeded mistake: without suspicion its checks must fail.
fn check_model(first_seed: u64, report: &Report) {
    let model = run(Extent { seeds: 2, large_seeds: 1, first_seed, skip_suspicion: false });
    for (name, value) in model.metrics.iter().filter(|(name, _)| name.contains("300")) {
        report.record(&format!("model_{name}"), *value);
    }
    for violation in &model.violations {
        report.check(false, &format!("model: {violation}"));
    }
    let mistaken = run(Extent { seeds: 1, large_seeds: 0, first_seed, skip_suspicion: true });
    report.record("mutation_skip_suspicion_broke", mistaken.violations.len());
    report.check(!mistaken.violations.is_empty(), "the mutation skip_suspicion was not caught");
}

fn main() -> ExitCode {
    let first_seed: u64 = std::env::args().nth(1).and_then(|arg| arg.parse().ok()).unwrap_or(1);
    let report = Report::default();
    let started = Instant::now();
    let false_deaths = run_fleets(first_seed, started, &report);
    report.record("real_s", tenths_of_seconds_since(started));
    report.record("false_deaths", false_deaths);
    record_latencies(&report);
    check_model(first_seed, &report);
    report.record("all_s", tenths_of_seconds_since(started));
    let figures = report.figures.into_inner().expect("a lock");
    let broken = report.broken.into_inner().expect("a lock");
    for (name, value) in &figures {
        println!("{name:36} {value:>10}");
    }
    println!(
        "{}",
        json!({"proof": "membership", "first_seed": first_seed, "figures": figures, "broken": broken})
    );
    ExitCode::from(u8::from(!broken.is_empty()))
}
