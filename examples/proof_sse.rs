//! The streams' proof, reduced (`make proof-sse`): histories of the relay, the fronts over sockets, seeds of drops, figures.
//! Ends in one JSON line; the exit code is not 0 where a part fails. What it runs must have been built (`make build-proof`).

mod common;

use common::run_part;
use serde_json::{Map, Value, json};
use std::process::ExitCode;
use std::time::Instant;

fn load(name: &str, words: &[&str]) -> Option<Value> {
    let all = [&["target/release/streams-load", "--json"], words].concat();
    let text = run_part(name, &[], &all)?;
    serde_json::from_str(text.lines().find(|line| line.starts_with('{'))?).ok()
}

fn main() -> ExitCode {
    let started = Instant::now();
    let cargo = ["cargo", "test", "--locked", "--release", "-q"];
    let test = |rest: &[&'static str]| [&cargo[..], rest].concat();
    let relay = run_part(
        "histories of the relay",
        &[("STREAM_HISTORIES", "10000")],
        &test(&["-p", "mothproxy-streams", "--test", "relay"]),
    );
    let watch = run_part(
        "fronts over sockets",
        &[],
        &test(&["--test", "watch", "--test", "streams", "--test", "parsers"]),
    );
    let (mut finals, mut wanted, mut doubled, mut seeds) = (0, 0, 0, 0);
    for seed in ["1", "2", "3"] {
        let words = [
            "--streams",
            "300",
            "--jobs",
            "24",
            "--events",
            "12",
            "--every",
            "15",
            "--drops",
            "3",
            "--seed",
            seed,
        ];
        if let Some(figures) = load(&format!("300 streams with drops, seed {seed}"), &words) {
            finals += figures["finals"].as_u64().unwrap_or(0);
            doubled += figures["doubled"].as_u64().unwrap_or(1);
            seeds += 1;
        }
        wanted += 300;
    }
    let words = ["--streams", "1000", "--jobs", "24", "--events", "40", "--every", "100"];
    let thousand = load("1,000 streams", &words);
    let mut aims = Map::new();
    aims.insert("each stream has one final event".into(), (finals == wanted && doubled == 0).into());
    if let Some(thousand) = &thousand {
        let of = |name: &str| thousand[name].as_f64().unwrap_or(f64::NAN);
        aims.insert("p99 under 5 ms at 1,000 streams".into(), (of("delay_p99_ms") < 5.0).into());
        aims.insert("at most 8 KiB a quiet stream".into(), (of("bytes_per_quiet_stream") <= 8192.0).into());
    }
    let held = relay.is_some()
        && watch.is_some()
        && thousand.is_some()
        && aims.values().all(|held| *held == json!(true));
    let line = json!({
        "proof": "sse", "held": held, "aims": aims, "seconds": started.elapsed().as_secs_f64(),
        "seeds": seeds, "finals": finals, "wanted": wanted, "doubled": doubled, "thousand": thousand,
    });
    println!("{line}");
    if held { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
