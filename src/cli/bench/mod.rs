//! `mothproxy store bench`: the store beside the same bytes appended, synced and read by hand.

mod compaction;
mod recovery;
mod writes;

use super::error::{BenchError, CommandError};
use hdrhistogram::Histogram;
use mothproxy_store::{Batch, Operation, Options};
use serde_json::{Value, json};
use std::path::Path;
use std::time::Duration;

/// Bytes of each value.
const VALUE_LENGTH: usize = 200;
/// Figures that vary from one moment to the next are measured so many times in turn, and the median counts.
const ROUNDS: usize = 5;
/// Numbers of records for which recovery is measured, as far as they are below the number asked for.
const RECOVERY_SIZES: [u64; 3] = [10_000, 100_000, 1_000_000];
/// The longest time that a histogram holds, in nanoseconds.
const MAX_LATENCY_NS: u64 = 60_000_000_000;

/// Measures, prints, and leaves the folder as it was.
pub(super) fn run(dir: &Path, records: u64, as_json: bool) -> Result<(), CommandError> {
    let was_there = dir.exists();
    if was_there && std::fs::read_dir(dir).map_err(BenchError::Folder)?.next().is_some() {
        return Err(CommandError::NotEmpty(dir.to_owned()));
    }
    std::fs::create_dir_all(dir).map_err(|error| CommandError::Directory { dir: dir.to_owned(), error })?;
    let measured = measure_all(dir, records);
    for name in [writes::BASELINE_FILE, writes::SINGLE_DIR, writes::MANY_DIR, compaction::STORE_DIR] {
        let path = dir.join(name);
        let _ = std::fs::remove_dir_all(&path).or_else(|_| std::fs::remove_file(&path)); // what it made itself
    }
    if !was_there {
        let _ = std::fs::remove_dir(dir);
    }
    let measured = measured?;
    if as_json {
        println!("{measured}");
    } else {
        println!("{}", serde_json::to_string_pretty(&measured).map_err(BenchError::Json)?);
    }
    Ok(())
}

fn measure_all(dir: &Path, records: u64) -> Result<Value, CommandError> {
    let mut sizes = RECOVERY_SIZES.to_vec();
    sizes.retain(|size| *size < records);
    sizes.push(records);
    let recoveries: Vec<Value> =
        sizes.iter().map(|size| recovery::measure(dir, *size)).collect::<Result<_, _>>()?;
    Ok(json!({
        "one_writer": writes::measure_single_writer(dir)?,
        "many_writers": writes::measure_many_writers(dir)?,
        "compaction": compaction::measure(dir)?,
        "recovery": recoveries,
    }))
}

/// The write of one record; the same number makes the same record.
fn operation(number: u64) -> Operation {
    // Keys in no order, as idempotency keys come.
    let key = format!("key-{:016x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15)).into_bytes();
    Operation { key, value: Some(vec![number as u8; VALUE_LENGTH]), expires_at: None }
}

fn single_put(number: u64) -> Batch {
    let operation = operation(number);
    Batch::new().put(operation.key, operation.value.unwrap_or_default())
}

/// Options without compactions of the store's own accord.
fn without_compaction() -> Options {
    Options { compacts: false, ..Options::default() }
}

/// A histogram of nanoseconds.
fn latency_histogram() -> Result<Histogram<u64>, BenchError> {
    Ok(Histogram::new_with_bounds(1, MAX_LATENCY_NS, 3)?)
}

fn record_latency(histogram: &mut Histogram<u64>, latency: Duration) {
    histogram.saturating_record(latency.as_nanos() as u64);
}

fn quantile_us(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1000.0
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(f64::NAN)
}
