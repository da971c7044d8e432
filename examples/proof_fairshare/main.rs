//! Measures and checks the fair shares: a simulation of dispatchers that serve jobs by weight and exchange facts over a network
//! with loss, delay, duplication and a partition.
//!
//! The shares by facts are compared with no shares, with a fixed quota at each dispatcher, and with one ledger that all
//! dispatchers share. `make proof-fairshare` runs this program. Usage: `proof_fairshare [SEED]`; with a seed, only that seed is
//! simulated. The last line of the output is JSON. The exit code is not 0 if a check failed.

mod aims;
mod carrier;
mod costs;
mod measures;
mod setup;
mod simulation;

use aims::{Aims, metric};
use serde_json::{Value, json};
use setup::{LOSSY, Policy, SCENARIOS, Scenario};
use std::process::ExitCode;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Instant;

const THREADS: usize = 4;
const POLICIES: [Policy; 4] = [Policy::Today, Policy::QuotaByNode, Policy::FairShare, Policy::OneLedger];

/// A scenario to simulate.
struct Case {
    scenario: &'static Scenario,
    policy: Policy,
    seed: u64,
}

/// All scenarios under all policies with the first seed, those under [`Policy::FairShare`] also with the other seeds, and one
/// with the deliberate fault.
fn cases(seeds: &[u64]) -> Vec<Case> {
    let mut cases = Vec::new();
    for scenario in &SCENARIOS {
        for policy in POLICIES {
            let used = if policy == Policy::FairShare { seeds } else { &seeds[..1] };
            cases.extend(used.iter().map(|&seed| Case { scenario, policy, seed }));
        }
    }
    cases.push(Case { scenario: LOSSY, policy: Policy::Mutated, seed: seeds[0] });
    cases
}

/// Simulates all cases on [`THREADS`] threads. Returns the measurements of each, sorted by scenario, policy and seed.
fn simulate_all(cases: &[Case]) -> Vec<Value> {
    let (next, measured) = (AtomicUsize::new(0), Mutex::new(Vec::new()));
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                while let Some(case) = cases.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let result = measures::measure(case.scenario, case.policy, case.seed);
                    println!("{result}");
                    measured.lock().expect("no case panics").push(result);
                }
            });
        }
    });
    let mut results = measured.into_inner().expect("no case panics");
    results.sort_by_key(|result| {
        result["story"].to_string() + &result["policy"].to_string() + &result["seed"].to_string()
    });
    results
}

fn main() -> ExitCode {
    let started = Instant::now();
    let seeds: Vec<u64> = match std::env::args().nth(1).and_then(|arg| arg.parse().ok()) {
        Some(seed) => vec![seed],
        None => vec![1, 2],
    };
    let results = simulate_all(&cases(&seeds));
    let mut aims = Aims::default();
    results.iter().for_each(|result| aims::check(&mut aims, result, &results));
    let costs: Vec<Value> = [10, 1_000, 10_000].map(costs::measure).into();
    aims.check("a query with 10,000 tenants takes less than 20 us", metric(&costs[2], "us_a_query") < 20.0);
    let held = aims.all_hold();
    let summary = json!({
        "proof": "fairshare", "held": held, "aims": aims.into_json(), "seconds": started.elapsed().as_secs_f64(),
        "seeds": seeds, "costs": costs, "stories": results,
    });
    println!("{summary}");
    if held { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
