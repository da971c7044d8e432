//! `make proof-coldstart`: 30 processes of the built program before a list service that is down for 8 s at the start, as the
//! program was before, with the pacer, and with the pacer that hears the others; and the same machines in the model at 300 and
//! 1,000, beside the landed program's waits and plain full jitter. The last line is JSON; exit code 1 where something did not
//! hold. `proof_coldstart SEED` plays with another seed.

use mothproxy_coldstart::simulation::{
    MassRestart, Outage, Pause, PollingStrategy, SimulationScenario, SimulationSummary, simulate,
};
use mothproxy_testkit::fleet::{AuditRules, DiscoveryMode, DiscoveryScript, Fleet, FleetPlan};
use serde_json::{Map, Value, json};
use std::process::ExitCode;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Microseconds in a second.
const S: u64 = 1_000_000;
/// A call takes the service 20 ms, in microseconds: it can do 5 in 100 ms.
const CALL: u64 = 20_000;
const CALLS_IN_100_MS: u64 = 5;
/// Processes of a fleet.
const SIZE: usize = 30;
/// How long the service is down at the start.
const OUTAGE: Duration = Duration::from_secs(8);

fn round_to_hundredths(x: f64) -> f64 {
    (x * 100.0).round() / 100.0
}

/// What a fleet of processes showed.
struct FleetOutcome {
    /// The figures.
    row: Value,
    /// What did not hold.
    faults: Vec<String>,
}

impl FleetCase {
    fn plan(&self, seed: u64) -> FleetPlan {
        let ask_within_ms = self.ask_within_ms;
        let mut plan = FleetPlan::new(mothproxy_testkit::program_path(), SIZE, 6, seed);
        plan.settings = self.settings.map(str::to_owned);
        plan.discovery = DiscoveryScript {
            mode: DiscoveryMode::Down,
            service_time: Duration::from_micros(CALL),
            ..DiscoveryScript::default()
        };
        plan.change = Some(std::sync::Arc::new(move |_, config| {
            config["settings"]["Obligations"]["AskWithinMs"] = ask_within_ms.into();
        }));
        plan
    }

    /// Thirty processes that start while the service is down.
    fn run(&self, seed: u64) -> FleetOutcome {
        let fleet = Fleet::prepare(self.plan(seed)).expect("a fleet");
        let started = Instant::now();
        fleet.start_all().expect("the processes start");
        let load = fleet.start_plain_load(&fleet.all(), 1.0, Duration::from_secs(30));
        std::thread::sleep(OUTAGE.saturating_sub(started.elapsed()));
        let calls_while_down = fleet.discovery.metrics().calls.iter().sum::<u64>();
        let reachable_since = fleet.now();
        fleet.discovery.set_mode(DiscoveryMode::Up);
        let all_answered = || fleet.discovery.metrics().answered.iter().all(|count| *count > 0);
        let have_lists = fleet.time_until(Duration::from_secs(4), all_answered).is_some();
        std::thread::sleep(Duration::from_millis(500));
        let discovery = fleet.discovery.metrics();
        let load = load.stop();
        let latencies = ListLatencies::new(&fleet, reachable_since);
        let faults = self.faults(&fleet, &latencies, have_lists, load.unanswered);
        let connections: Vec<u64> =
            fleet.workers.iter().map(|worker| worker.metrics().connects.iter().sum()).collect();
        let connections_a_worker = connections.iter().sum::<u64>() as f64 / connections.len() as f64;
        let calls: u64 = discovery.calls.iter().sum();
        let row = json!({
            "calls_each": round_to_hundredths(calls as f64 / SIZE as f64), "while_down": calls_while_down,
            "refused": discovery.refused + discovery.reset, "longest_queue": discovery.longest_queue,
            "peak_100ms_after": discovery.peak_since(reachable_since), "held_p50_ms": latencies.quantile_ms(0.5),
            "held_p99_ms": latencies.quantile_ms(0.99),
            "connections_a_worker": round_to_hundredths(connections_a_worker), "jobs": load.jobs,
            "served": load.served(), "lost": load.unanswered,
        });
        println!("30 processes, {}: {row}", self.name);
        FleetOutcome { row, faults }
    }

    /// What did not hold.
    fn faults(
        &self,
        fleet: &Fleet,
        latencies: &ListLatencies,
        have_lists: bool,
        lost_jobs: u64,
    ) -> Vec<String> {
        let name = self.name;
        let found = fleet.audit(&AuditRules::default());
        let mut faults: Vec<String> = found.iter().map(|fault| format!("{name}: {fault:?}")).collect();
        // As it was before, some wait for up to the poll interval.
        if !have_lists && self.settings.is_some() {
            faults.push(format!("{name}: {} of {SIZE} hold a list", latencies.0.len()));
        }
        if lost_jobs > 0 {
            faults.push(format!("{name}: {lost_jobs} jobs lost"));
        }
        faults
    }
}

/// How long after discovery could be reached each process held a list, in microseconds, the shortest first.
struct ListLatencies(Vec<u64>);

impl ListLatencies {
    fn new(fleet: &Fleet, reachable_since: u64) -> ListLatencies {
        let notified_at = fleet.notified_at(1, reachable_since).into_iter().flatten();
        let mut latencies: Vec<u64> = notified_at.map(|at| at - reachable_since).collect();
        latencies.sort_unstable();
        ListLatencies(latencies)
    }

    /// A quantile in milliseconds; 0 if no process holds a list.
    fn quantile_ms(&self, part: f64) -> u64 {
        let place = ((self.0.len() as f64 * part).ceil() as usize).saturating_sub(1);
        self.0.get(place).copied().unwrap_or(0) / 1_000
    }
}

/// The figures of a simulated day.
fn outcome_to_json(outcome: &SimulationSummary) -> Value {
    json!({
        "calls_each": round_to_hundredths(outcome.calls_per_process), "refused": outcome.refused,
        "longest_queue": outcome.longest_queue, "peak_100ms": outcome.peak_calls, "peak_100ms_after": outcome.peak_calls_after_outage,
        "held_p50_ms": outcome.list_time_p50 / 1_000, "held_p99_ms": outcome.list_time_p99 / 1_000, "without": outcome.processes_without_watch,
        "handshakes_a_worker": round_to_hundredths(outcome.mean_handshakes), "most_handshakes": outcome.max_handshakes,
        "tries_at_a_dead_worker": round_to_hundredths(outcome.mean_tries_at_dead_workers), "cold_falls": outcome.collapses,
        "most_of_cold_budget": round_to_hundredths(outcome.max_budget_fraction), "jobs": outcome.jobs,
        "lost": outcome.lost_jobs, "fact_bytes": outcome.fact_bytes,
    })
}

/// A day of the model.
#[derive(Clone)]
struct Day {
    name: &'static str,
    scenario: SimulationScenario,
}

impl Day {
    /// A plain start of this many dispatchers with this change.
    fn new(name: &'static str, count: u16, seed: u64, change: impl Fn(&mut SimulationScenario)) -> Day {
        // What travels is the same; fewer jobs at the larger size keep the proof short.
        let load = if count > 300 { 0.03 } else { 0.1 };
        let mut scenario = SimulationScenario { load, ..SimulationScenario::start(count, seed) };
        change(&mut scenario);
        Day { name, scenario }
    }
}

/// The days of the model.
fn days(seed: u64) -> Vec<Day> {
    let mut days = Vec::new();
    for count in [1_000, 300] {
        let service_time_for_all = CALL * u64::from(count);
        days.push(Day::new("down_8s", count, seed, |day| {
            day.outage = Some(Outage { from: 0, until: 8 * S });
            day.duration = 12 * S + 3 * service_time_for_all / 2;
        }));
        days.push(Day::new("start", count, seed, |day| day.duration = 9 * S + 5 * service_time_for_all / 4));
    }
    days.extend([
        Day::new("killed", 300, seed, |day| {
            day.restart = Some(MassRestart { at: 9 * S, fraction: 0.7 });
            day.duration = 24 * S;
        }),
        Day::new("cold", 300, seed, |day| day.workers_warm_up = true),
        Day::new("slow", 300, seed, |day| {
            day.service_time = 5 * CALL;
            day.duration = 70 * S;
        }),
        Day::new("mute", 300, seed, |day| day.silent_first_watches = 0.2),
        Day::new("paused", 300, seed, |day| {
            day.pause = Some(Pause { dispatchers: 30, duration: 2 * S });
            day.outage = Some(Outage { from: 0, until: 4 * S });
        }),
        Day::new("halves", 300, seed, |day| day.partitioned_until = Some(6 * S)),
        Day::new("stale", 300, seed, |day| {
            day.dead_workers = 1.0;
            day.outage = Some(Outage { from: 0, until: 2 * S });
        }),
        Day::new("silent", 100, seed, |day| day.watches_silent_at = Some(8 * S)),
    ]);
    days
}

/// Something that is asked for.
struct Check {
    what: &'static str,
    holds: bool,
}

impl Check {
    fn new(what: &'static str, holds: bool) -> Check {
        Check { what, holds }
    }
}

/// What does not hold.
fn failed(checks: impl IntoIterator<Item = Check>) -> Vec<&'static str> {
    checks.into_iter().filter(|check| !check.holds).map(|check| check.what).collect()
}

/// What is asked of the pacer that hears the others on such a day, and does not hold.
fn failed_checks(day: &Day, outcome: &SimulationSummary) -> Vec<&'static str> {
    let Day { name, scenario } = day;
    let service_time_for_all = scenario.service_time * u64::from(scenario.dispatchers);
    let max_calls = match *name {
        "silent" => 2.5, // twice, for each is notified twice
        _ => 1.5,
    };
    let max_peak = 2 * CALLS_IN_100_MS.min(100_000 / scenario.service_time).max(4);
    // A watch that stays silent takes 3 s to be noticed.
    let unnoticed = if *name == "mute" { 7 * S } else { 0 };
    // Large jobs find no room where every worker is warming up; with no worker alive none is found by anybody.
    let may_lose_many = *name == "stale";
    let may_lose_some = matches!(*name, "cold" | "stale");
    failed([
        Check::new("calls", outcome.calls_per_process <= max_calls),
        Check::new("peak", outcome.peak_calls_after_outage <= max_peak),
        Check::new("p99", outcome.list_time_p99 <= 2 * service_time_for_all + unnoticed),
        Check::new("some hold no list", outcome.processes_without_watch == 0),
        Check::new("cold budget", outcome.collapses == 0 && outcome.max_budget_fraction <= 1.0),
        Check::new("two calls at once", outcome.max_open_calls <= 1),
        Check::new("silence", outcome.late_watches == 0),
        Check::new("jobs lost", outcome.lost_jobs * 100 <= outcome.jobs || may_lose_many),
        Check::new("a job lost", outcome.lost_jobs == 0 || may_lose_some),
    ])
}

/// The fleets of built processes: name, settings, and how long discovery may be left unasked in milliseconds.
const FLEETS: [FleetCase; 4] = [
    FleetCase { name: "landed_400ms", settings: None, ask_within_ms: 400.0 },
    FleetCase { name: "landed_10s", settings: None, ask_within_ms: 10_000.0 },
    FleetCase { name: "pacer_alone", settings: Some("fleet { cold_start {} }"), ask_within_ms: 10_000.0 },
    FleetCase {
        name: "pacer_heard",
        settings: Some("fleet { membership { probe_interval_ms: 200 } cold_start {} }"),
        ask_within_ms: 10_000.0,
    },
];

struct FleetCase {
    name: &'static str,
    settings: Option<&'static str>,
    ask_within_ms: f64,
}

/// Runs all fleets at once and checks their figures.
fn run_processes(seed: u64, broken: &mut Vec<String>) -> Map<String, Value> {
    let outcomes: Vec<FleetOutcome> = std::thread::scope(|scope| {
        let runs = FLEETS.each_ref().map(|case| scope.spawn(move || case.run(seed)));
        runs.into_iter().map(|run| run.join().expect("a fleet ran to its end")).collect()
    });
    let mut processes = Map::new();
    for (case, outcome) in FLEETS.iter().zip(outcomes) {
        processes.insert(case.name.to_owned(), outcome.row);
        broken.extend(outcome.faults);
    }
    check_processes(&processes, broken);
    processes
}

/// Checks the figures of the fleets with the pacer beside those without.
fn check_processes(processes: &Map<String, Value>, broken: &mut Vec<String>) {
    let figure = |name: &str, what: &str| processes[name][what].as_f64().unwrap_or(f64::NAN);
    let landed_calls = figure("landed_400ms", "calls_each");
    for (name, max_calls) in [("pacer_alone", 12.0), ("pacer_heard", 2.5)] {
        let calls = figure(name, "calls_each");
        let peak = figure(name, "peak_100ms_after");
        let faults = failed([
            Check::new("calls", calls <= max_calls),
            Check::new("peak", peak <= 2.0 * CALLS_IN_100_MS as f64),
            Check::new("as many as landed", calls * 3.0 <= landed_calls),
        ]);
        broken.extend(faults.into_iter().map(|what| format!("30 processes, {name}: {what}")));
    }
    let service_ms_for_all = SIZE as f64 * CALL as f64 / 1e3;
    if figure("pacer_heard", "held_p99_ms") > 3.0 * service_ms_for_all {
        broken.push("30 processes, pacer_heard: p99".to_owned());
    }
}

/// One day of the model with one strategy.
struct Played {
    day: usize,
    strategy: PollingStrategy,
    outcome: SimulationSummary,
}

/// In this order the days are simulated and shown.
const STRATEGIES: [PollingStrategy; 4] = [
    PollingStrategy::SchedulerWithGossip,
    PollingStrategy::SchedulerAlone,
    PollingStrategy::RandomWait,
    PollingStrategy::FullJitter,
];

/// Simulates each day with each strategy on a few threads, the longest first.
fn play_days(days: &[Day]) -> Vec<Played> {
    const THREADS: usize = 6;
    let plays: Vec<(usize, PollingStrategy)> =
        STRATEGIES.iter().flat_map(|strategy| (0..days.len()).map(|day| (day, *strategy))).collect();
    let next = Mutex::new(plays.iter());
    let done = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                loop {
                    let Some(&(day, strategy)) = next.lock().expect("a lock").next() else { break };
                    let outcome = simulate(&days[day].scenario, strategy);
                    done.lock().expect("a lock").push(Played { day, strategy, outcome });
                }
            });
        }
    });
    let mut done = done.into_inner().expect("a lock");
    done.sort_by_key(|played| (played.day, STRATEGIES.iter().position(|b| *b == played.strategy)));
    done
}

/// Simulates the days, shows them and checks those where dispatchers hear each other.
fn run_model(days: &[Day], broken: &mut Vec<String>) -> Map<String, Value> {
    let mut model = Map::new();
    for Played { day, strategy, outcome } in &play_days(days) {
        let day = &days[*day];
        let (name, count) = (day.name, day.scenario.dispatchers);
        println!("{count} dispatchers, {name}, {}: {}", strategy.name(), outcome_to_json(outcome));
        let row = model.entry(format!("{name}_{count}")).or_insert_with(|| json!({}));
        row[strategy.name()] = outcome_to_json(outcome);
        if *strategy == PollingStrategy::SchedulerWithGossip {
            let faults = failed_checks(day, outcome);
            broken.extend(faults.into_iter().map(|fault| format!("{count} {name}: {fault}")));
        }
    }
    model
}

/// The seeded mistake: calls that pass by the pacer must be seen by the same checks.
fn check_mutation(days: &[Day], broken: &mut Vec<String>) -> Vec<&'static str> {
    let is_used = |day: &&Day| day.name == "down_8s" && day.scenario.dispatchers == 300;
    let mut day = days.iter().find(is_used).cloned().expect("a day");
    day.scenario.skip_scheduling = true;
    let caught = failed_checks(&day, &simulate(&day.scenario, PollingStrategy::SchedulerWithGossip));
    if !(caught.contains(&"calls") && caught.contains(&"peak")) {
        broken.push(format!("the mutation ask_without_pacer was not caught: {caught:?}"));
    }
    caught
}

fn main() -> ExitCode {
    let seed: u64 = std::env::args().nth(1).and_then(|arg| arg.parse().ok()).unwrap_or(7);
    println!("seed {seed}");
    let started = Instant::now();
    let mut broken: Vec<String> = Vec::new();
    let processes = run_processes(seed, &mut broken);
    let days = days(seed);
    let model = run_model(&days, &mut broken);
    let caught = check_mutation(&days, &mut broken);
    let invariants = mothproxy_coldstart::violated_invariants();
    if invariants > 0 {
        broken.push(format!("{invariants} invariants broken"));
    }
    broken.iter().for_each(|what| println!("BROKEN: {what}"));
    let line = json!({
        "proof": "coldstart", "held": broken.is_empty(), "seed": seed, "seconds": round_to_hundredths(started.elapsed().as_secs_f64()),
        "service": {"call_ms": CALL / 1_000, "can_in_100ms": CALLS_IN_100_MS}, "processes_30": processes, "model": model,
        "mutation_ask_without_pacer": caught, "broken": broken,
    });
    println!("{line}");
    ExitCode::from(u8::from(!broken.is_empty()))
}
