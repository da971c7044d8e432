//! `make soak`: plays one run, or several one after the other, and prints a line of counters for each.
//!
//! The exit code is 1 if a rule was broken.

use clap::Parser;
use mothproxy_testkit::soak::{ListChanges, Overrides, SoakPlan, run};
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// Plays seeded faults over real processes on loopback, and checks every request.
#[derive(Parser)]
struct Arguments {
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How many seeds are played, one after the other.
    #[arg(long, default_value_t = 1)]
    runs: u64,
    /// The length of each run, in seconds.
    #[arg(long, default_value_t = 15)]
    seconds: u64,
    /// The number of workers, in place of the seed's.
    #[arg(long)]
    workers: Option<usize>,
    /// The number of processes, in place of the seed's.
    #[arg(long)]
    processes: Option<usize>,
    /// The part of a core, in place of the seed's.
    #[arg(long)]
    share: Option<f64>,
    /// How the list changes, in place of the seed's: rows, mixed or whole.
    #[arg(long, value_parser = list_changes)]
    lists: Option<ListChanges>,
    /// Whether processes get signals, in place of the seed's choice.
    #[arg(long)]
    signals: Option<bool>,
    /// The number of dispatchers that the settings name, in place of the seed's.
    #[arg(long)]
    siblings: Option<usize>,
    /// Whether signals include hot restarts.
    #[arg(long)]
    hot_restarts: Option<bool>,
    /// Where the logs of the processes are kept.
    #[arg(long)]
    logs: Option<PathBuf>,
}

fn list_changes(text: &str) -> Result<ListChanges, String> {
    match text {
        "rows" => Ok(ListChanges::Rows),
        "mixed" => Ok(ListChanges::Mixed),
        "whole" => Ok(ListChanges::Whole),
        _ => Err(format!("not rows, mixed or whole: {text}")),
    }
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let overrides = Overrides {
        workers: arguments.workers,
        processes: arguments.processes,
        share: arguments.share,
        list_changes: arguments.lists,
        signals: arguments.signals,
        siblings: arguments.siblings,
        hot_restarts: arguments.hot_restarts,
    };
    let mut broken = 0;
    for seed in arguments.seed..arguments.seed + arguments.runs {
        let plan = SoakPlan::draw(seed, Duration::from_secs(arguments.seconds), overrides);
        match run(&plan, arguments.logs.clone()) {
            Ok(report) => {
                broken += report.total();
                for finding in report.findings() {
                    println!("  {:>9.3} s {:?}: {}", finding.at as f64 / 1e6, finding.rule, finding.text);
                }
                println!(
                    "seed={seed} workers={} processes={} siblings={} share={} lists={:?} deadline_ms={} signals={} crowd={} \
                     outages={} {report}",
                    plan.workers,
                    plan.processes,
                    plan.siblings,
                    plan.share,
                    plan.list_changes,
                    plan.deadline_ms,
                    plan.has_signals,
                    plan.has_crowd,
                    plan.has_discovery_faults,
                );
            }
            Err(error) => {
                eprintln!("seed={seed}: {error}");
                return ExitCode::from(2);
            }
        }
    }
    if broken > 0 { ExitCode::FAILURE } else { ExitCode::SUCCESS }
}
