//! The store's proof, reduced (`make proof-store`): histories, cuts and flips, killed processes, figures beside the raw disk.
//! Ends in one JSON line; the exit code is not 0 where a part fails. What it runs must have been built (`make build-proof`).

mod common;

use common::run_part;
use serde_json::{Map, Value, json};
use std::process::ExitCode;
use std::time::Instant;

/// The number between two texts, where they are found.
fn number(text: &str, before: &str, after: &str) -> Option<u64> {
    let start = text.find(before)? + before.len();
    let rest = &text[start..];
    rest[..rest.find(after)?].trim().parse().ok()
}

fn main() -> ExitCode {
    let started = Instant::now();
    let cargo = ["cargo", "test", "--locked", "--release", "-q"];
    let test = |rest: &[&'static str]| [&cargo[..], rest, &["--", "--nocapture"]].concat();
    let histories = run_part(
        "histories, cuts and flips",
        &[("STORE_HISTORIES", "12000")],
        &test(&["-p", "mothproxy-store", "--test", "histories"]),
    );
    let put =
        run_part("store put, killed", &[("STORE_KILLS", "40")], &test(&["--test", "store_cli", "killed"]));
    let dispatcher = run_part(
        "dispatcher, killed",
        &[("DURABLE_RUNS", "25")],
        &test(&["--test", "durable", "kill_at_any_point"]),
    );
    let folder = std::env::temp_dir().join(format!("mothproxy-proof-{}", std::process::id()));
    let at = folder.display().to_string();
    let bench = ["target/release/mothproxy", "store", "bench", &at, "--records", "1000000", "--json"];
    let bench = run_part("figures", &[], &bench);
    let _ = std::fs::remove_dir_all(&folder); // the bench removes it itself, unless it failed
    let bench: Option<Value> = bench.as_deref().and_then(|text| serde_json::from_str(text).ok());
    let mut aims = Map::new();
    if let Some(bench) = &bench {
        let figure = |path: &str| bench.pointer(path).and_then(Value::as_f64).unwrap_or(f64::NAN);
        let rows = bench["recovery"].as_array().cloned().unwrap_or_default();
        let large: Vec<_> = rows.iter().filter(|r| r["records"].as_u64() >= Some(100_000)).collect();
        let soon = |r: &&Value| {
            let of = |name: &str| r[name].as_f64().unwrap_or(f64::NAN);
            of("ratio") <= 3.0 && of("recovery_ms") <= of("records") / 100.0 // 100,000 records within 1 s
        };
        aims.insert(
            "one writer's median at most 1.3 of raw".into(),
            (figure("/one_writer/ratio") <= 1.3).into(),
        );
        aims.insert("64 writers at least 0.7 of raw".into(), (figure("/many_writers/ratio") >= 0.7).into());
        aims.insert("space at most 1.5 of live".into(), (figure("/compaction/space_per_live") <= 1.5).into());
        let recovers = !large.is_empty() && large.iter().all(soon);
        aims.insert("recovery at most 3 plain reads, 100,000 within 1 s".into(), recovers.into());
    }
    let held = histories.is_some()
        && put.is_some()
        && dispatcher.is_some()
        && !aims.is_empty()
        && aims.values().all(|held| *held == json!(true));
    let flips = |text: &str| {
        let sealed = number(text, "sealed true: ", " flips")?;
        Some(sealed + number(text, "sealed false: ", " flips")?)
    };
    let of = |text: &Option<String>, before, after| text.as_deref().and_then(|t| number(t, before, after));
    let line = json!({
        "proof": "store", "held": held, "aims": aims, "seconds": started.elapsed().as_secs_f64(),
        "histories": of(&histories, "histories: ", "\n"), "flips": histories.as_deref().and_then(flips),
        "put_killed": of(&put, "killed ", " times"), "put_writes": of(&put, " times; ", " writes"),
        "dispatcher_killed": of(&dispatcher, "killed ", " times"),
        "repeats_after": of(&dispatcher, "answered before, ", " repeats"), "figures": bench,
    });
    println!("{line}");
    if held { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
