//! Runs the scenarios of the simulation, and prints their measurements and failed checks.
//!
//! Usage: `membership_model [SEEDS] [LARGE_SEEDS] [FIRST_SEED] [skip]`, with the number of seeds of each scenario, the number
//! of seeds with 3,000 members, and the first seed. `skip` runs the scenarios with the deliberate fault `skip_suspicion`. The
//! last line of the output is JSON. The exit code is 1 if a check failed.

use mothproxy_membership::simulation::{Extent, proof, run};
use std::process::ExitCode;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let number =
        |index: usize, default: u64| args.get(index).and_then(|arg| arg.parse().ok()).unwrap_or(default);
    let skip_suspicion = args.iter().any(|arg| arg == "skip");
    let extent =
        Extent { seeds: number(0, 20), large_seeds: number(1, 1), first_seed: number(2, 1), skip_suspicion };
    let report = if skip_suspicion { run(extent) } else { proof(extent) };
    for (name, value) in &report.metrics {
        println!("{name:34} {value:>12}");
    }
    report.violations.iter().for_each(|violation| println!("BROKEN: {violation}"));
    println!("{}", report.json());
    ExitCode::from(u8::from(!report.violations.is_empty()))
}
