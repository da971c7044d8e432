//! The streams' proof, reduced (`make proof-sse`): histories of the relay, the fronts over sockets, seeds of drops, figures.
//! Ends in one JSON line; the exit code is not 0 where a part fails. What it runs must have been built (`make build-proof`).

mod common;

use common::run_part;
use serde_json::{Map, Value, json};
use std::process::ExitCode;
use std::time::Instant;

const CARGO: [&str; 5] = ["cargo", "test", "--locked", "--release", "-q"];
/// The seeds of the runs in which clients drop.
const SEEDS: [&str; 3] = ["1", "2", "3"];
/// Streams of each of these runs.
const STREAMS: u64 = 300;

fn run_tests(name: &str, environment: &[(&str, &str)], arguments: &[&str]) -> bool {
    run_part(name, environment, &[&CARGO[..], arguments].concat()).is_some()
}

/// Runs the load program; its figures.
fn run_load(name: &str, arguments: &[&str]) -> Option<Value> {
    let command = [&["target/release/streams-load", "--json"], arguments].concat();
    let text = run_part(name, &[], &command)?;
    serde_json::from_str(text.lines().find(|line| line.starts_with('{'))?).ok()
}

/// What was counted in the runs in which clients drop.
#[derive(Default)]
struct DropRuns {
    finals: u64,
    wanted: u64,
    doubled: u64,
    /// Runs that came to their end.
    seeds: u64,
}

impl DropRuns {
    fn run() -> DropRuns {
        let mut runs = DropRuns::default();
        for seed in SEEDS {
            runs.wanted += STREAMS;
            let Some(figures) = run_drops(seed) else { continue };
            runs.finals += figures["finals"].as_u64().unwrap_or(0);
            runs.doubled += figures["doubled"].as_u64().unwrap_or(1);
            runs.seeds += 1;
        }
        runs
    }

    fn has_one_final_event_each(&self) -> bool {
        self.finals == self.wanted && self.doubled == 0
    }
}

fn run_drops(seed: &str) -> Option<Value> {
    let streams = STREAMS.to_string();
    let plan = ["--streams", &streams, "--jobs", "24", "--events", "12", "--every", "15", "--drops", "3"];
    run_load(&format!("300 streams with drops, seed {seed}"), &[&plan[..], &["--seed", seed]].concat())
}

/// Which aims are reached.
fn check_aims(drops: &DropRuns, thousand: Option<&Value>) -> Map<String, Value> {
    let mut aims = Map::new();
    aims.insert("each stream has one final event".into(), drops.has_one_final_event_each().into());
    if let Some(thousand) = thousand {
        let figure = |name: &str| thousand[name].as_f64().unwrap_or(f64::NAN);
        aims.insert("p99 under 5 ms at 1,000 streams".into(), (figure("delay_p99_ms") < 5.0).into());
        aims.insert(
            "at most 8 KiB a quiet stream".into(),
            (figure("bytes_per_quiet_stream") <= 8192.0).into(),
        );
    }
    aims
}

fn main() -> ExitCode {
    let started = Instant::now();
    let relay_held = run_tests(
        "histories of the relay",
        &[("STREAM_HISTORIES", "10000")],
        &["-p", "mothproxy-streams", "--test", "relay"],
    );
    let sockets_held =
        run_tests("fronts over sockets", &[], &["--test", "watch", "--test", "streams", "--test", "parsers"]);
    let drops = DropRuns::run();
    let thousand =
        run_load("1,000 streams", &["--streams", "1000", "--jobs", "24", "--events", "40", "--every", "100"]);
    let aims = check_aims(&drops, thousand.as_ref());
    let held =
        relay_held && sockets_held && thousand.is_some() && aims.values().all(|held| *held == json!(true));
    let line = json!({
        "proof": "sse", "held": held, "aims": aims, "seconds": started.elapsed().as_secs_f64(),
        "seeds": drops.seeds, "finals": drops.finals, "wanted": drops.wanted, "doubled": drops.doubled,
        "thousand": thousand,
    });
    println!("{line}");
    if held { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
