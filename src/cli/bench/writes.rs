//! Measures durable writes of one writer and of many writers, and plain appends with syncs for comparison.

use super::{
    ROUNDS, VALUE_LENGTH, latency_histogram, median, quantile_us, record_latency, single_put,
    without_compaction,
};
use crate::cli::error::{BenchError, CommandError};
use hdrhistogram::Histogram;
use mothproxy_store::{Store, StoreError};
use serde_json::{Value, json};
use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// The file of the plain appends.
pub(super) const BASELINE_FILE: &str = "raw";
/// The directory of the store with one writer.
pub(super) const SINGLE_DIR: &str = "one";
/// The directory of the store with many writers.
pub(super) const MANY_DIR: &str = "many";

/// The number of concurrent writers.
const WRITERS: usize = 64;
/// How long the concurrent writers run, in all rounds together.
const MANY_WRITERS_TIME: Duration = Duration::from_millis(1500);
/// The number of writes of the single writer, in all rounds together.
const SINGLE_WRITES: usize = 2000;
/// The number of plain appends in each round with concurrent writers.
const BASELINE_APPENDS: usize = 400;
/// The length of a record's key, in bytes.
const KEY_LENGTH: usize = 20;
/// Approximate bytes that the log adds to each group of records.
const GROUP_OVERHEAD: usize = 49;
/// Approximate bytes that the log adds to each record.
const RECORD_OVERHEAD: usize = 16;
/// The position of a writer's number in the number of a record; the number of the write is below it.
const WRITER_SHIFT: u32 = 32;
/// The position of a round's number in the number of a record.
const ROUND_SHIFT: u32 = 48;

/// The approximate length of a group of records in the log, in bytes.
fn group_length(records: usize) -> usize {
    GROUP_OVERHEAD + records * (RECORD_OVERHEAD + KEY_LENGTH + VALUE_LENGTH)
}

/// The result of plain appends, each with a sync.
struct Baseline {
    latencies: Histogram<u64>,
    appends_per_s: f64,
}

impl Baseline {
    /// Appends `length` bytes `appends` times, and syncs after each append.
    fn measure(dir: &Path, length: usize, appends: usize) -> Result<Baseline, BenchError> {
        let path = dir.join(BASELINE_FILE);
        let mut file = File::create(&path)?;
        let mut latencies = latency_histogram()?;
        let data = vec![7u8; length];
        file.sync_all()?;
        let start = Instant::now();
        for _ in 0..appends {
            let append_start = Instant::now();
            file.write_all(&data)?;
            file.sync_data()?;
            record_latency(&mut latencies, append_start.elapsed());
        }
        let appends_per_s = appends as f64 / start.elapsed().as_secs_f64();
        std::fs::remove_file(&path)?;
        Ok(Baseline { latencies, appends_per_s })
    }
}

/// Measures the latencies of one writer.
pub(super) fn measure_single_writer(dir: &Path) -> Result<Value, CommandError> {
    let mut ratios = Vec::new();
    let mut baseline_p50s = Vec::new();
    let mut store_p50s = Vec::new();
    let (store, _) = Store::open(&dir.join(SINGLE_DIR), without_compaction())?;
    for round in 0..ROUNDS {
        let mut latencies = latency_histogram()?;
        for n in 0..SINGLE_WRITES / ROUNDS {
            let batch = single_put((round * SINGLE_WRITES + n) as u64);
            let start = Instant::now();
            store.write(batch)?;
            record_latency(&mut latencies, start.elapsed());
        }
        let baseline = Baseline::measure(dir, group_length(1), SINGLE_WRITES / ROUNDS)?;
        let store_p50 = quantile_us(&latencies, 0.5);
        let baseline_p50 = quantile_us(&baseline.latencies, 0.5);
        ratios.push(store_p50 / baseline_p50);
        baseline_p50s.push(baseline_p50);
        store_p50s.push(store_p50);
    }
    store.close()?;
    Ok(json!({
        "raw_p50_us": median(baseline_p50s),
        "store_p50_us": median(store_p50s),
        "ratio": median(ratios),
    }))
}

/// Measures the throughput of many writers, whose writes the store syncs in groups.
pub(super) fn measure_many_writers(dir: &Path) -> Result<Value, CommandError> {
    let mut ratios = Vec::new();
    let mut rates = Vec::new();
    let mut baseline_rates = Vec::new();
    let mut groups = Vec::new();
    let (store, _) = Store::open(&dir.join(MANY_DIR), without_compaction())?;
    for round in 0..ROUNDS as u64 {
        let before = store.metrics();
        let start = Instant::now();
        write_from_many_threads(&store, round)?;
        let after = store.metrics();
        let seconds = start.elapsed().as_secs_f64();
        let records = (after.batches - before.batches) as f64;
        let group = records / (after.groups - before.groups).max(1) as f64;
        let baseline = Baseline::measure(dir, group_length(group.round() as usize), BASELINE_APPENDS)?;
        let rate = records / seconds;
        let baseline_rate = baseline.appends_per_s * group.round();
        rates.push(rate);
        baseline_rates.push(baseline_rate);
        ratios.push(rate / baseline_rate);
        groups.push(group);
    }
    store.close()?;
    Ok(json!({
        "writers": WRITERS,
        "mean_group": median(groups),
        "records_per_s": median(rates),
        "raw_records_per_s": median(baseline_rates),
        "ratio": median(ratios),
    }))
}

/// Runs all writers for one round. Returns the first error of any writer.
fn write_from_many_threads(store: &Store, round: u64) -> Result<(), StoreError> {
    let is_over = AtomicBool::new(false);
    let write = |writer: u64| {
        let mut n = 0;
        while !is_over.load(Ordering::Relaxed) {
            store.write(single_put(round << ROUND_SHIFT | writer << WRITER_SHIFT | n))?;
            n += 1;
        }
        Ok(())
    };
    std::thread::scope(|scope| {
        let write = &write;
        let writers: Vec<_> = (0..WRITERS as u64).map(|writer| scope.spawn(move || write(writer))).collect();
        std::thread::sleep(MANY_WRITERS_TIME / ROUNDS as u32);
        is_over.store(true, Ordering::Relaxed);
        // All writers are joined; the result of one that panicked is skipped.
        let results: Vec<Result<(), StoreError>> =
            writers.into_iter().filter_map(|writer| writer.join().ok()).collect();
        results.into_iter().collect()
    })
}
