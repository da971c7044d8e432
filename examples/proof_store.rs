//! A shortened check of the store (`make proof-store`): random histories, truncated files and flipped bits, killed processes,
//! and a benchmark against the raw disk. The last line of the output is a JSON object; the exit code is not 0 if a part fails.
//! `make build-proof` builds the programs that this one runs.

mod common;

use common::run_part;
use serde_json::{Map, Value, json};
use std::process::ExitCode;
use std::time::Instant;

/// The number between two texts; `None` if the texts are not found.
fn number(text: &str, before: &str, after: &str) -> Option<u64> {
    let start = text.find(before)? + before.len();
    let rest = &text[start..];
    rest[..rest.find(after)?].trim().parse().ok()
}

/// The number between two texts in the output of a part; `None` if the part failed.
fn output_number(output: Option<&str>, before: &str, after: &str) -> Option<u64> {
    output.and_then(|text| number(text, before, after))
}

const CARGO: [&str; 5] = ["cargo", "test", "--locked", "--release", "-q"];

/// Runs tests with these environment variables. Returns their output, or `None` if they failed.
fn run_tests(name: &str, environment: &[(&str, &str)], arguments: &[&str]) -> Option<String> {
    run_part(name, environment, &[&CARGO[..], arguments, &["--", "--nocapture"]].concat())
}

/// The output of the parts that are tests; `None` for a part that failed.
struct TestOutputs {
    histories: Option<String>,
    put: Option<String>,
    dispatcher: Option<String>,
}

impl TestOutputs {
    fn run() -> TestOutputs {
        TestOutputs {
            histories: run_tests(
                "histories, cuts and flips",
                &[("STORE_HISTORIES", "12000")],
                &["-p", "mothproxy-store", "--test", "histories"],
            ),
            put: run_tests("store put, killed", &[("STORE_KILLS", "40")], &["--test", "store_cli", "killed"]),
            dispatcher: run_tests(
                "dispatcher, killed",
                &[("DURABLE_RUNS", "25")],
                &["--test", "durable", "kill_at_any_point"],
            ),
        }
    }

    fn all_passed(&self) -> bool {
        self.histories.is_some() && self.put.is_some() && self.dispatcher.is_some()
    }

    /// The number of bits that were flipped in sealed and in open segments.
    fn flips(&self) -> Option<u64> {
        let text = self.histories.as_deref()?;
        let sealed = number(text, "sealed true: ", " flips")?;
        Some(sealed + number(text, "sealed false: ", " flips")?)
    }
}

/// Runs the benchmark of the store against the raw disk. Returns the results, or `None` if it failed.
fn run_bench() -> Option<Value> {
    let dir = std::env::temp_dir().join(format!("mothproxy-proof-{}", std::process::id()));
    let path = dir.display().to_string();
    let command = ["target/release/mothproxy", "store", "bench", &path, "--records", "1000000", "--json"];
    let output = run_part("figures", &[], &command);
    let _ = std::fs::remove_dir_all(&dir); // the benchmark removes the directory itself, unless it failed
    serde_json::from_str(&output?).ok()
}

/// Whether a recovery took no longer than three plain reads, and no longer than 1 s per 100,000 records.
fn recovers_in_time(recovery: &Value) -> bool {
    let figure = |name: &str| recovery[name].as_f64().unwrap_or(f64::NAN);
    figure("ratio") <= 3.0 && figure("recovery_ms") <= figure("records") / 100.0
}

/// Checks which aims the results of the benchmark reach.
fn check_aims(bench: &Value) -> Map<String, Value> {
    let figure = |path: &str| bench.pointer(path).and_then(Value::as_f64).unwrap_or(f64::NAN);
    let recoveries = bench["recovery"].as_array().cloned().unwrap_or_default();
    let large: Vec<&Value> =
        recoveries.iter().filter(|recovery| recovery["records"].as_u64() >= Some(100_000)).collect();
    let recovers = !large.is_empty() && large.into_iter().all(recovers_in_time);
    let aims = [
        ("one writer's median at most 1.3 of raw", figure("/one_writer/ratio") <= 1.3),
        ("64 writers at least 0.7 of raw", figure("/many_writers/ratio") >= 0.7),
        ("space at most 1.5 of live", figure("/compaction/space_per_live") <= 1.5),
        ("recovery at most 3 plain reads, 100,000 within 1 s", recovers),
    ];
    aims.into_iter().map(|(aim, is_reached)| (aim.to_owned(), is_reached.into())).collect()
}

fn main() -> ExitCode {
    let started = Instant::now();
    let tests = TestOutputs::run();
    let bench = run_bench();
    let aims = bench.as_ref().map(check_aims).unwrap_or_default();
    let held =
        tests.all_passed() && !aims.is_empty() && aims.values().all(|is_reached| *is_reached == json!(true));
    let (put, dispatcher) = (tests.put.as_deref(), tests.dispatcher.as_deref());
    let line = json!({
        "proof": "store", "held": held, "aims": aims, "seconds": started.elapsed().as_secs_f64(),
        "histories": output_number(tests.histories.as_deref(), "histories: ", "\n"), "flips": tests.flips(),
        "put_killed": output_number(put, "killed ", " times"),
        "put_writes": output_number(put, " times; ", " writes"),
        "dispatcher_killed": output_number(dispatcher, "killed ", " times"),
        "repeats_after": output_number(dispatcher, "answered before, ", " repeats"), "figures": bench,
    });
    println!("{line}");
    if held { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
