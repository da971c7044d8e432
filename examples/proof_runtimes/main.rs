//! Measures the estimates of run times (`make proof-runtimes`):
//!
//! - the accuracy for heavy-tailed jobs of a simulated fleet, whose true distributions are known, by dispatchers that learn
//!   alone and by dispatchers that share observations over a transport that loses, repeats and reorders them;
//! - a slowdown that all jobs share;
//! - backfilling compared with first fit;
//! - the cost of estimates, observations and fits.
//!
//! One seed (`--seed N`) determines everything except the costs, which are measured by the clock. The last line is JSON; the
//! exit code is not 0 if a check failed.

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
/// The Unix time at the start, in milliseconds: 120 s before the end of a span of the summaries, which is 10 minutes long.
const EPOCH: u64 = 1_790_000_280_000;
/// The quantiles that are estimated.
const QUANTILES: [f64; 2] = [0.5, 0.9];
/// The number of seeds over which pools are averaged; slowdowns use twice as many.
const SEEDS: u64 = 5;
const DEFAULT_SEED: u64 = 27;

/// The seed of the command line, or [`DEFAULT_SEED`].
fn seed() -> u64 {
    let value = std::env::args().skip_while(|argument| argument != "--seed").nth(1);
    value.and_then(|seed| seed.parse().ok()).unwrap_or(DEFAULT_SEED)
}

fn main() -> ExitCode {
    let started = Instant::now();
    let seed = seed();
    println!("seed {seed}");
    let results = Results::measure(seed, started);
    report::print_groups(&results.groups);
    let checks = report::checks(&results);
    let all_passed =
        checks.as_object().is_some_and(|checks| checks.values().all(|is_met| *is_met == json!(true)));
    println!("{}", report::summary(&results, &checks, all_passed));
    if all_passed { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
