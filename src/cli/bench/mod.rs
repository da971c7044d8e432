//! `mothproxy store bench`: compares the store with plain appends, syncs and reads of the same bytes.

mod compaction;
mod recovery;
mod writes;

use super::error::{BenchError, CommandError};
use hdrhistogram::Histogram;
use mothproxy_store::{Batch, Operation, Options};
use serde_json::{Value, json};
use std::path::Path;
use std::time::Duration;

/// The length of each value, in bytes.
const VALUE_LENGTH: usize = 200;
/// How often each measurement is repeated. The median is reported, because results vary between rounds.
const ROUNDS: usize = 5;
/// The numbers of records for which recovery is measured, if they are below the requested number.
const RECOVERY_SIZES: [u64; 3] = [10_000, 100_000, 1_000_000];
/// The maximum latency that a histogram can hold, in nanoseconds.
const MAX_LATENCY_NS: u64 = 60_000_000_000;
/// The number of significant decimal digits that a histogram keeps.
const HISTOGRAM_DIGITS: u8 = 3;
/// Nanoseconds in one microsecond.
const NS_PER_US: f64 = 1_000.0;
/// An odd multiplier (the 64-bit golden ratio) that scatters consecutive numbers.
const SCATTER_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// Runs all measurements, prints the results, and removes the files of the measurements. Also removes the directory if it did
/// not exist before. If the measurement of recovery fails, its store is left in the directory.
///
/// # Errors
/// [`CommandError`] if the directory is not empty or a measurement fails.
pub(super) fn run(dir: &Path, records: u64, as_json: bool) -> Result<(), CommandError> {
    let existed_before = dir.exists();
    if existed_before && std::fs::read_dir(dir).map_err(BenchError::ReadDirectory)?.next().is_some() {
        return Err(CommandError::NotEmpty(dir.to_owned()));
    }
    std::fs::create_dir_all(dir).map_err(|error| CommandError::Directory { dir: dir.to_owned(), error })?;
    let measured = measure_all(dir, records);
    for name in [writes::BASELINE_FILE, writes::SINGLE_DIR, writes::MANY_DIR, compaction::STORE_DIR] {
        let path = dir.join(name);
        let _ = std::fs::remove_dir_all(&path).or_else(|_| std::fs::remove_file(&path)); // fails if no measurement created it
    }
    if !existed_before {
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

/// The write of one record. The same number always gives the same record.
fn operation(number: u64) -> Operation {
    // Like idempotency keys, the keys are not written in ascending order.
    let key = format!("key-{:016x}", number.wrapping_mul(SCATTER_MULTIPLIER)).into_bytes();
    Operation { key, value: Some(vec![number as u8; VALUE_LENGTH]), expires_at: None }
}

fn single_put(number: u64) -> Batch {
    let operation = operation(number);
    Batch::new().put(operation.key, operation.value.unwrap_or_default())
}

/// Options without automatic compactions.
fn without_compaction() -> Options {
    Options { compacts: false, ..Options::default() }
}

/// A histogram of latencies in nanoseconds.
fn latency_histogram() -> Result<Histogram<u64>, BenchError> {
    Ok(Histogram::new_with_bounds(1, MAX_LATENCY_NS, HISTOGRAM_DIGITS)?)
}

fn record_latency(histogram: &mut Histogram<u64>, latency: Duration) {
    histogram.saturating_record(latency.as_nanos() as u64);
}

fn quantile_us(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / NS_PER_US
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(f64::NAN)
}
