//! The proof of fair shares (`make proof-fairshare`): a model of dispatchers with a carrier that loses, delays, repeats and is
//! cut, serving by weight, beside today's module and beside quotas by dispatcher, against a ledger that sees all at once.
//! Ends in one JSON line; the exit code is not 0 where a part fails. `proof_fairshare SEED` simulates one seed alone.

mod aims;
mod carrier;
mod costs;
mod measures;
mod setup;
mod simulation;

use aims::{Aims, figure};
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

/// Every scenario under every policy with the first seed, the crate's with the others too, and the seeded fault.
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

/// Simulates all cases on a few threads; the lines are sorted by scenario, policy and seed.
fn simulate_all(cases: &[Case]) -> Vec<Value> {
    let (next, done) = (AtomicUsize::new(0), Mutex::new(Vec::new()));
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                while let Some(case) = cases.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let line = measures::measure(case.scenario, case.policy, case.seed);
                    println!("{line}");
                    done.lock().expect("no case panics").push(line);
                }
            });
        }
    });
    let mut lines = done.into_inner().expect("no case panics");
    lines.sort_by_key(|line| {
        line["story"].to_string() + &line["policy"].to_string() + &line["seed"].to_string()
    });
    lines
}

fn main() -> ExitCode {
    let started = Instant::now();
    let seeds: Vec<u64> = match std::env::args().nth(1).and_then(|arg| arg.parse().ok()) {
        Some(seed) => vec![seed],
        None => vec![1, 2],
    };
    let lines = simulate_all(&cases(&seeds));
    let mut aims = Aims::default();
    lines.iter().for_each(|line| aims::check(&mut aims, line, &lines));
    let costs: Vec<Value> = [10, 1_000, 10_000].map(costs::measure).into();
    aims.check("a query of 10,000 tenants under 20 us", figure(&costs[2], "us_a_query") < 20.0);
    let held = aims.all_hold();
    let line = json!({
        "proof": "fairshare", "held": held, "aims": aims.into_json(), "seconds": started.elapsed().as_secs_f64(),
        "seeds": seeds, "costs": costs, "stories": lines,
    });
    println!("{line}");
    if held { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
