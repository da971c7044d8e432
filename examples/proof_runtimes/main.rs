//! The proof of the run times' estimates (`make proof-runtimes`): heavy-tailed jobs of a simulated fleet, whose true
//! distributions are known, estimated by dispatchers alone and by ones that share over a carrier that loses, repeats and
//! reorders; a shared slowdown; backfilling on against off; costs. All from one seed (`--seed N`), with no clock but for the
//! costs. Ends in one JSON line; the exit code is not 0 where a part fails.

mod carrier;
#[path = "../common/mod.rs"]
mod common;
mod costs;
mod day;
mod fleet;
mod loss;
mod pool;
mod report;
mod results;
mod slowdown;

use results::Results;
use serde_json::json;
use std::process::ExitCode;
use std::time::Instant;

/// A second in microseconds.
const SECOND: u64 = 1_000_000;
/// Unix time at the start, in milliseconds: 120 s before the end of a span of the summaries (10 minutes).
const EPOCH: u64 = 1_790_000_280_000;
/// The quantiles that are estimated.
const QUANTILES: [f64; 2] = [0.5, 0.9];
/// Seeds of the pools and the slowdowns.
const SEEDS: u64 = 5;
const DEFAULT_SEED: u64 = 27;

/// The seed that the command line names.
fn seed() -> u64 {
    let named = std::env::args().skip_while(|argument| argument != "--seed").nth(1);
    named.and_then(|seed| seed.parse().ok()).unwrap_or(DEFAULT_SEED)
}

fn main() -> ExitCode {
    let started = Instant::now();
    let seed = seed();
    println!("seed {seed}");
    let results = Results::measure(seed, started);
    report::print_days(&results.days);
    let aims = report::aims(&results);
    let is_held = aims.as_object().is_some_and(|aims| aims.values().all(|held| *held == json!(true)));
    println!("{}", report::summary(&results, &aims, is_held));
    if is_held { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
