//! `make proof-coldstart`: measures the cold start of many dispatchers. Runs 30 processes of the built program with a list
//! service that is down for the first 8 s: without the poll scheduler ("landed"), with it ("pacer_alone"), and with it and
//! membership ("pacer_heard"). Simulates the same state machines with 100, 300 and 1,000 dispatchers, and compares them with
//! the program's random waits and with full jitter. The last line is JSON; the exit code is 1 if a check failed.
//! `proof_coldstart SEED` uses another seed.

use mothproxy_coldstart::simulation::{
    MassRestart, Outage, Pause, PollingStrategy, SimulationScenario, SimulationSummary, simulate,
};
use mothproxy_testkit::fleet::{AuditRules, DiscoveryMode, DiscoveryScript, Fleet, FleetPlan};
use serde_json::{Map, Value, json};
use std::process::ExitCode;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// A second in microseconds.
const SECOND: u64 = 1_000_000;
/// The time that the service needs for a call, in microseconds.
const SERVICE_TIME: u64 = 20_000;
/// The number of calls that the service handles in 100 ms.
const SERVICE_CALLS_IN_100_MS: u64 = 5;
/// The number of processes of a fleet.
const FLEET_SIZE: usize = 30;
/// The time for which the service is down at the start.
const OUTAGE: Duration = Duration::from_secs(8);

fn round_to_hundredths(value: f64) -> f64 {
    (value * 100.0).round() / 100.0
}

/// The results of a fleet of processes.
struct FleetOutcome {
    /// The measurements.
    row: Value,
    /// Descriptions of the checks that failed.
    violations: Vec<String>,
}

impl FleetCase {
    fn plan(&self, seed: u64) -> FleetPlan {
        let ask_within_ms = self.ask_within_ms;
        let mut plan = FleetPlan::new(mothproxy_testkit::program_path(), FLEET_SIZE, 6, seed);
        plan.settings = self.settings.map(str::to_owned);
        plan.discovery = DiscoveryScript {
            mode: DiscoveryMode::Down,
            service_time: Duration::from_micros(SERVICE_TIME),
            ..DiscoveryScript::default()
        };
        plan.change = Some(std::sync::Arc::new(move |_, config| {
            config["settings"]["Obligations"]["AskWithinMs"] = ask_within_ms.into();
        }));
        plan
    }

    /// Runs a fleet whose processes start while the service is down.
    fn run(&self, seed: u64) -> FleetOutcome {
        let fleet = Fleet::prepare(self.plan(seed)).expect("the fleet is prepared");
        let started = Instant::now();
        fleet.start_all().expect("the processes start");
        let load = fleet.start_plain_load(&fleet.all(), 1.0, Duration::from_secs(30));
        std::thread::sleep(OUTAGE.saturating_sub(started.elapsed()));
        let calls_while_down = fleet.discovery.metrics().calls.iter().sum::<u64>();
        let reachable_since = fleet.now();
        fleet.discovery.set_mode(DiscoveryMode::Up);
        let all_answered = || fleet.discovery.metrics().answered.iter().all(|count| *count > 0);
        let have_all_lists = fleet.time_until(Duration::from_secs(4), all_answered).is_some();
        std::thread::sleep(Duration::from_millis(500));
        let discovery = fleet.discovery.metrics();
        let load = load.stop();
        let latencies = ListLatencies::new(&fleet, reachable_since);
        let violations = self.violations(&fleet, &latencies, have_all_lists, load.unanswered);
        let connections: Vec<u64> =
            fleet.workers.iter().map(|worker| worker.metrics().connects.iter().sum()).collect();
        let connections_a_worker = connections.iter().sum::<u64>() as f64 / connections.len() as f64;
        let calls: u64 = discovery.calls.iter().sum();
        let row = json!({
            "calls_each": round_to_hundredths(calls as f64 / FLEET_SIZE as f64), "while_down": calls_while_down,
            "refused": discovery.refused + discovery.reset, "longest_queue": discovery.longest_queue,
            "peak_100ms_after": discovery.peak_since(reachable_since), "held_p50_ms": latencies.quantile_ms(0.5),
            "held_p99_ms": latencies.quantile_ms(0.99),
            "connections_a_worker": round_to_hundredths(connections_a_worker), "jobs": load.jobs,
            "served": load.served(), "lost": load.unanswered,
        });
        println!("30 processes, {}: {row}", self.name);
        FleetOutcome { row, violations }
    }

    /// Descriptions of the checks that failed.
    fn violations(
        &self,
        fleet: &Fleet,
        latencies: &ListLatencies,
        have_all_lists: bool,
        lost_jobs: u64,
    ) -> Vec<String> {
        let name = self.name;
        let findings = fleet.audit(&AuditRules::default());
        let mut violations: Vec<String> =
            findings.iter().map(|finding| format!("{name}: {finding:?}")).collect();
        // Without the poll scheduler, some processes wait for up to the poll interval.
        if !have_all_lists && self.settings.is_some() {
            violations.push(format!("{name}: {} of {FLEET_SIZE} hold a list", latencies.0.len()));
        }
        if lost_jobs > 0 {
            violations.push(format!("{name}: {lost_jobs} jobs lost"));
        }
        violations
    }
}

/// The time from the end of the outage until each process held a list, in microseconds, the shortest first.
struct ListLatencies(Vec<u64>);

impl ListLatencies {
    fn new(fleet: &Fleet, reachable_since: u64) -> ListLatencies {
        let notified_at = fleet.notified_at(1, reachable_since).into_iter().flatten();
        let mut latencies: Vec<u64> = notified_at.map(|at| at - reachable_since).collect();
        latencies.sort_unstable();
        ListLatencies(latencies)
    }

    /// A quantile in milliseconds; 0 if no process holds a list.
    fn quantile_ms(&self, fraction: f64) -> u64 {
        let index = ((self.0.len() as f64 * fraction).ceil() as usize).saturating_sub(1);
        self.0.get(index).copied().unwrap_or(0) / 1_000
    }
}

/// The results of a simulated scenario, under the names of the output.
fn summary_to_json(summary: &SimulationSummary) -> Value {
    json!({
        "calls_each": round_to_hundredths(summary.calls_per_process), "refused": summary.refused,
        "longest_queue": summary.longest_queue, "peak_100ms": summary.peak_calls,
        "peak_100ms_after": summary.peak_calls_after_outage, "held_p50_ms": summary.list_time_p50 / 1_000,
        "held_p99_ms": summary.list_time_p99 / 1_000, "without": summary.processes_without_watch,
        "handshakes_a_worker": round_to_hundredths(summary.mean_handshakes), "most_handshakes": summary.max_handshakes,
        "tries_at_a_dead_worker": round_to_hundredths(summary.mean_tries_at_dead_workers), "cold_falls": summary.collapses,
        "most_of_cold_budget": round_to_hundredths(summary.max_budget_fraction), "jobs": summary.jobs,
        "lost": summary.lost_jobs, "fact_bytes": summary.fact_bytes,
    })
}

/// A scenario of the simulation, with its name in the output.
#[derive(Clone)]
struct NamedScenario {
    name: &'static str,
    scenario: SimulationScenario,
}

impl NamedScenario {
    /// Creates the scenario of a plain start of `count` dispatchers, with a change.
    fn new(
        name: &'static str,
        count: u16,
        seed: u64,
        change: impl Fn(&mut SimulationScenario),
    ) -> NamedScenario {
        // Fewer jobs at the larger size keep the run short; the calls and facts stay the same.
        let load = if count > 300 { 0.03 } else { 0.1 };
        let mut scenario = SimulationScenario { load, ..SimulationScenario::start(count, seed) };
        change(&mut scenario);
        NamedScenario { name, scenario }
    }
}

/// The scenarios of the simulation.
fn scenarios(seed: u64) -> Vec<NamedScenario> {
    let mut scenarios = Vec::new();
    for count in [1_000, 300] {
        let service_time_for_all = SERVICE_TIME * u64::from(count);
        scenarios.push(NamedScenario::new("down_8s", count, seed, |scenario| {
            scenario.outage = Some(Outage { from: 0, until: 8 * SECOND });
            scenario.duration = 12 * SECOND + 3 * service_time_for_all / 2;
        }));
        scenarios.push(NamedScenario::new("start", count, seed, |scenario| {
            scenario.duration = 9 * SECOND + 5 * service_time_for_all / 4;
        }));
    }
    scenarios.extend([
        NamedScenario::new("killed", 300, seed, |scenario| {
            scenario.restart = Some(MassRestart { at: 9 * SECOND, fraction: 0.7 });
            scenario.duration = 24 * SECOND;
        }),
        NamedScenario::new("cold", 300, seed, |scenario| scenario.workers_warm_up = true),
        NamedScenario::new("slow", 300, seed, |scenario| {
            scenario.service_time = 5 * SERVICE_TIME;
            scenario.duration = 70 * SECOND;
        }),
        NamedScenario::new("mute", 300, seed, |scenario| scenario.silent_first_watches = 0.2),
        NamedScenario::new("paused", 300, seed, |scenario| {
            scenario.pause = Some(Pause { dispatchers: 30, duration: 2 * SECOND });
            scenario.outage = Some(Outage { from: 0, until: 4 * SECOND });
        }),
        NamedScenario::new("halves", 300, seed, |scenario| scenario.partitioned_until = Some(6 * SECOND)),
        NamedScenario::new("stale", 300, seed, |scenario| {
            scenario.dead_workers = 1.0;
            scenario.outage = Some(Outage { from: 0, until: 2 * SECOND });
        }),
        NamedScenario::new("silent", 100, seed, |scenario| scenario.watches_silent_at = Some(8 * SECOND)),
    ]);
    scenarios
}

/// A check of results, with its name in the output.
struct Check {
    name: &'static str,
    is_met: bool,
}

impl Check {
    fn new(name: &'static str, is_met: bool) -> Check {
        Check { name, is_met }
    }
}

/// The names of the checks that failed.
fn failed(checks: impl IntoIterator<Item = Check>) -> Vec<&'static str> {
    checks.into_iter().filter(|check| !check.is_met).map(|check| check.name).collect()
}

/// The names of the checks of the poll scheduler with gossip that failed in a scenario.
fn failed_checks(named: &NamedScenario, summary: &SimulationSummary) -> Vec<&'static str> {
    let NamedScenario { name, scenario } = named;
    let service_time_for_all = scenario.service_time * u64::from(scenario.dispatchers);
    let max_calls = match *name {
        // Each dispatcher calls a second time when its watch has fallen silent.
        "silent" => 2.5,
        _ => 1.5,
    };
    let max_peak = 2 * SERVICE_CALLS_IN_100_MS.min(100_000 / scenario.service_time).max(4);
    // A silent first watch is detected only after 3 s. With the wait for the next call, 7 s more are allowed.
    let silence_allowance = if *name == "mute" { 7 * SECOND } else { 0 };
    // Large jobs exceed every budget while all workers warm up, and no job succeeds if all known workers are dead.
    let may_lose_many = *name == "stale";
    let may_lose_some = matches!(*name, "cold" | "stale");
    failed([
        Check::new("calls", summary.calls_per_process <= max_calls),
        Check::new("peak", summary.peak_calls_after_outage <= max_peak),
        Check::new("p99", summary.list_time_p99 <= 2 * service_time_for_all + silence_allowance),
        Check::new("some hold no list", summary.processes_without_watch == 0),
        Check::new("cold budget", summary.collapses == 0 && summary.max_budget_fraction <= 1.0),
        Check::new("two calls at once", summary.max_open_calls <= 1),
        Check::new("silence", summary.late_watches == 0),
        Check::new("jobs lost", summary.lost_jobs * 100 <= summary.jobs || may_lose_many),
        Check::new("a job lost", summary.lost_jobs == 0 || may_lose_some),
    ])
}

/// The fleets of processes of the built program.
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

/// A fleet of processes and its configuration.
struct FleetCase {
    name: &'static str,
    /// The settings of the processes; `None` for the defaults.
    settings: Option<&'static str>,
    /// The setting `Obligations.AskWithinMs`: the maximum time between two calls to discovery, in milliseconds.
    ask_within_ms: f64,
}

/// Runs all fleets at the same time and checks their results.
fn run_fleets(seed: u64, violations: &mut Vec<String>) -> Map<String, Value> {
    let outcomes: Vec<FleetOutcome> = std::thread::scope(|scope| {
        let runs = FLEETS.each_ref().map(|case| scope.spawn(move || case.run(seed)));
        runs.into_iter().map(|run| run.join().expect("a fleet ran to its end")).collect()
    });
    let mut processes = Map::new();
    for (case, outcome) in FLEETS.iter().zip(outcomes) {
        processes.insert(case.name.to_owned(), outcome.row);
        violations.extend(outcome.violations);
    }
    check_process_results(&processes, violations);
    processes
}

/// Checks the results of the fleets with the poll scheduler, also in comparison with those without it.
fn check_process_results(processes: &Map<String, Value>, violations: &mut Vec<String>) {
    let figure = |name: &str, key: &str| processes[name][key].as_f64().unwrap_or(f64::NAN);
    let landed_calls = figure("landed_400ms", "calls_each");
    for (name, max_calls) in [("pacer_alone", 12.0), ("pacer_heard", 2.5)] {
        let calls = figure(name, "calls_each");
        let peak = figure(name, "peak_100ms_after");
        let failed_names = failed([
            Check::new("calls", calls <= max_calls),
            Check::new("peak", peak <= 2.0 * SERVICE_CALLS_IN_100_MS as f64),
            Check::new("as many as landed", calls * 3.0 <= landed_calls),
        ]);
        violations.extend(failed_names.into_iter().map(|check| format!("30 processes, {name}: {check}")));
    }
    let service_ms_for_all = FLEET_SIZE as f64 * SERVICE_TIME as f64 / 1e3;
    if figure("pacer_heard", "held_p99_ms") > 3.0 * service_ms_for_all {
        violations.push("30 processes, pacer_heard: p99".to_owned());
    }
}

/// A run of one scenario with one strategy.
struct ScenarioRun {
    /// The index of the scenario.
    scenario: usize,
    strategy: PollingStrategy,
    summary: SimulationSummary,
}

/// The strategies, in the order in which they are simulated and printed.
const STRATEGIES: [PollingStrategy; 4] = [
    PollingStrategy::SchedulerWithGossip,
    PollingStrategy::SchedulerAlone,
    PollingStrategy::RandomWait,
    PollingStrategy::FullJitter,
];

/// Simulates each scenario with each strategy on a few threads, the longest scenarios first.
fn run_scenarios(scenarios: &[NamedScenario]) -> Vec<ScenarioRun> {
    const THREADS: usize = 6;
    let pending: Vec<(usize, PollingStrategy)> = STRATEGIES
        .iter()
        .flat_map(|strategy| (0..scenarios.len()).map(|scenario| (scenario, *strategy)))
        .collect();
    let next = Mutex::new(pending.iter());
    let done = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                loop {
                    let Some(&(scenario, strategy)) = next.lock().expect("the lock is not poisoned").next()
                    else {
                        break;
                    };
                    let summary = simulate(&scenarios[scenario].scenario, strategy);
                    done.lock().expect("the lock is not poisoned").push(ScenarioRun {
                        scenario,
                        strategy,
                        summary,
                    });
                }
            });
        }
    });
    let mut done = done.into_inner().expect("the lock is not poisoned");
    done.sort_by_key(|run| (run.scenario, STRATEGIES.iter().position(|strategy| *strategy == run.strategy)));
    done
}

/// Simulates and prints the scenarios, and checks those with gossip between dispatchers.
fn run_simulations(scenarios: &[NamedScenario], violations: &mut Vec<String>) -> Map<String, Value> {
    let mut model = Map::new();
    for ScenarioRun { scenario, strategy, summary } in &run_scenarios(scenarios) {
        let scenario = &scenarios[*scenario];
        let (name, count) = (scenario.name, scenario.scenario.dispatchers);
        println!("{count} dispatchers, {name}, {}: {}", strategy.name(), summary_to_json(summary));
        let row = model.entry(format!("{name}_{count}")).or_insert_with(|| json!({}));
        row[strategy.name()] = summary_to_json(summary);
        if *strategy == PollingStrategy::SchedulerWithGossip {
            let failed_names = failed_checks(scenario, summary);
            violations.extend(failed_names.into_iter().map(|check| format!("{count} {name}: {check}")));
        }
    }
    model
}

/// Verifies that the checks detect an injected fault: calls that are not spread over slots.
fn check_injected_fault(scenarios: &[NamedScenario], violations: &mut Vec<String>) -> Vec<&'static str> {
    let is_used = |named: &&NamedScenario| named.name == "down_8s" && named.scenario.dispatchers == 300;
    let mut faulty =
        scenarios.iter().find(is_used).cloned().expect("the scenario down_8s with 300 dispatchers");
    faulty.scenario.skip_scheduling = true;
    let detected = failed_checks(&faulty, &simulate(&faulty.scenario, PollingStrategy::SchedulerWithGossip));
    if !(detected.contains(&"calls") && detected.contains(&"peak")) {
        violations.push(format!("the mutation ask_without_pacer was not caught: {detected:?}"));
    }
    detected
}

fn main() -> ExitCode {
    let seed: u64 = std::env::args().nth(1).and_then(|arg| arg.parse().ok()).unwrap_or(7);
    println!("seed {seed}");
    let started = Instant::now();
    let mut violations: Vec<String> = Vec::new();
    let processes = run_fleets(seed, &mut violations);
    let scenarios = scenarios(seed);
    let model = run_simulations(&scenarios, &mut violations);
    let detected = check_injected_fault(&scenarios, &mut violations);
    let invariants = mothproxy_coldstart::violated_invariants();
    if invariants > 0 {
        violations.push(format!("{invariants} invariants broken"));
    }
    violations.iter().for_each(|violation| println!("BROKEN: {violation}"));
    let line = json!({
        "proof": "coldstart", "held": violations.is_empty(), "seed": seed,
        "seconds": round_to_hundredths(started.elapsed().as_secs_f64()),
        "service": {"call_ms": SERVICE_TIME / 1_000, "can_in_100ms": SERVICE_CALLS_IN_100_MS},
        "processes_30": processes, "model": model,
        "mutation_ask_without_pacer": detected, "broken": violations,
    });
    println!("{line}");
    ExitCode::from(u8::from(!violations.is_empty()))
}
