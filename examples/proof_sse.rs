//! The proof of the event streams (`make proof-sse`), reduced in size: random histories of the stream relay, the tests of the
//! listeners over sockets, load runs with disconnecting clients for several seeds, and measurements with 1,000 streams. The last
//! line is JSON; the exit code is not 0 if a part fails. The programs that it runs must have been built (`make build-proof`).

mod common;

use common::run_part;
use serde_json::{Map, Value, json};
use std::process::ExitCode;
use std::time::Instant;

const CARGO: [&str; 5] = ["cargo", "test", "--locked", "--release", "-q"];
/// The seeds of the load runs with disconnecting clients.
const SEEDS: [&str; 3] = ["1", "2", "3"];
/// The number of streams in each load run with disconnecting clients.
const STREAMS: u64 = 300;

fn run_tests(name: &str, environment: &[(&str, &str)], arguments: &[&str]) -> bool {
    run_part(name, environment, &[&CARGO[..], arguments].concat()).is_some()
}

/// Runs the load program. Returns its measurements, or `None` if it fails.
fn run_load(name: &str, arguments: &[&str]) -> Option<Value> {
    let command = [&["target/release/streams-load", "--json"], arguments].concat();
    let text = run_part(name, &[], &command)?;
    serde_json::from_str(text.lines().find(|line| line.starts_with('{'))?).ok()
}

/// The sums over the load runs with disconnecting clients.
#[derive(Default)]
struct DropRuns {
    /// Final events received.
    final_events: u64,
    /// Final events expected: one per stream.
    expected: u64,
    /// Streams with more than one final event.
    repeated: u64,
    /// Runs that succeeded.
    succeeded: u64,
}

impl DropRuns {
    fn run() -> DropRuns {
        let mut runs = DropRuns::default();
        for seed in SEEDS {
            runs.expected += STREAMS;
            let Some(results) = run_drops(seed) else { continue };
            runs.final_events += results["finals"].as_u64().unwrap_or(0);
            runs.repeated += results["doubled"].as_u64().unwrap_or(1);
            runs.succeeded += 1;
        }
        runs
    }

    fn has_one_final_event_each(&self) -> bool {
        self.final_events == self.expected && self.repeated == 0
    }
}

fn run_drops(seed: &str) -> Option<Value> {
    let streams = STREAMS.to_string();
    let options = ["--streams", &streams, "--jobs", "24", "--events", "12", "--every", "15", "--drops", "3"];
    run_load(
        &format!("300 streams with disconnects, seed {seed}"),
        &[&options[..], &["--seed", seed]].concat(),
    )
}

/// Checks the targets. Returns for each of them, by its description, whether it is met.
fn check_targets(drop_runs: &DropRuns, thousand_streams: Option<&Value>) -> Map<String, Value> {
    let mut targets = Map::new();
    targets.insert("each stream has one final event".into(), drop_runs.has_one_final_event_each().into());
    if let Some(results) = thousand_streams {
        let measured = |name: &str| results[name].as_f64().unwrap_or(f64::NAN);
        targets.insert("p99 under 5 ms at 1,000 streams".into(), (measured("delay_p99_ms") < 5.0).into());
        targets.insert(
            "at most 8 KiB a quiet stream".into(),
            (measured("bytes_per_quiet_stream") <= 8192.0).into(),
        );
    }
    targets
}

fn main() -> ExitCode {
    let started = Instant::now();
    let relay_passed = run_tests(
        "random histories of the stream relay",
        &[("STREAM_HISTORIES", "10000")],
        &["-p", "mothproxy-streams", "--test", "relay"],
    );
    let sockets_passed = run_tests(
        "listeners over sockets",
        &[],
        &["--test", "watch", "--test", "streams", "--test", "parsers"],
    );
    let drop_runs = DropRuns::run();
    let thousand_streams =
        run_load("1,000 streams", &["--streams", "1000", "--jobs", "24", "--events", "40", "--every", "100"]);
    let targets = check_targets(&drop_runs, thousand_streams.as_ref());
    let passed = relay_passed
        && sockets_passed
        && thousand_streams.is_some()
        && targets.values().all(|is_met| *is_met == json!(true));
    let line = json!({
        "proof": "sse", "held": passed, "aims": targets, "seconds": started.elapsed().as_secs_f64(),
        "seeds": drop_runs.succeeded, "finals": drop_runs.final_events, "wanted": drop_runs.expected,
        "doubled": drop_runs.repeated, "thousand": thousand_streams,
    });
    println!("{line}");
    if passed { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
