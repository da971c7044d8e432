//! Measures the latencies of writes, with and without a concurrent compaction of many dead records.

use super::{latency_histogram, operation, quantile_us, record_latency, single_put, without_compaction};
use crate::cli::error::{BenchError, CommandError};
use hdrhistogram::Histogram;
use mothproxy_store::{Batch, DamagedRecords, Stat, Store, StoreError};
use serde_json::{Value, json};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Instant;

/// The directory of the store that is compacted.
pub(super) const STORE_DIR: &str = "compact";

/// The number of keys that fill the store; each is written several times.
const FILL_KEYS: u64 = 20_000;
const FILL_BATCHES: u64 = 60;
const RECORDS_PER_BATCH: u64 = 1000;
/// The number of writes that are measured without a compaction.
const UNDISTURBED_WRITES: u64 = 1500;
/// The number of compactions during which writes are measured.
const COMPACTIONS: usize = 5;
/// The first numbers of the measured records, so that their keys differ from each other and from those of the fill.
const FIRST_UNDISTURBED_NUMBER: u64 = 1 << 40;
const FIRST_CONCURRENT_NUMBER: u64 = 2 << 40;

/// Measures the p50 and p99 latencies of writes with and without a concurrent compaction, and the size of the store before
/// and after a compaction.
pub(super) fn measure(dir: &Path) -> Result<Value, CommandError> {
    let (store, _) = Store::open(&dir.join(STORE_DIR), without_compaction())?;
    fill(&store)?;
    let undisturbed = measure_undisturbed(&store)?;
    let bytes_before = store.stat()?.bytes;
    let concurrent = ConcurrentWrites::measure(&store)?;
    let after = store.compact(DamagedRecords::Refuse)?;
    store.close()?;
    Ok(json!({
        "compactions": concurrent.compactions,
        "puts_beside": concurrent.latencies.len(),
        "p50_us": quantile_us(&undisturbed, 0.5),
        "p99_us": quantile_us(&undisturbed, 0.99),
        "p50_beside_us": quantile_us(&concurrent.latencies, 0.5),
        "p99_beside_us": quantile_us(&concurrent.latencies, 0.99),
        "bytes_before": bytes_before,
        "bytes_after": after.bytes,
        "live_bytes": after.live_bytes,
        "space_per_live": after.bytes as f64 / after.live_bytes as f64,
    }))
}

/// Writes each key several times, so that most records are dead.
fn fill(store: &Store) -> Result<(), StoreError> {
    for chunk in 0..FILL_BATCHES {
        let mut batch = Batch::new();
        for n in 0..RECORDS_PER_BATCH {
            let operation = operation((chunk * RECORDS_PER_BATCH + n) % FILL_KEYS);
            batch.push(operation.key, operation.value, None);
        }
        store.write(batch)?;
    }
    Ok(())
}

fn measure_undisturbed(store: &Store) -> Result<Histogram<u64>, CommandError> {
    let mut latencies = latency_histogram()?;
    for n in 0..UNDISTURBED_WRITES {
        let start = Instant::now();
        store.write(single_put(FIRST_UNDISTURBED_NUMBER | n))?;
        record_latency(&mut latencies, start.elapsed());
    }
    Ok(latencies)
}

/// The latencies of writes that were made while compactions ran.
struct ConcurrentWrites {
    latencies: Histogram<u64>,
    /// The number of compactions since the store was opened.
    compactions: u64,
}

impl ConcurrentWrites {
    fn measure(store: &Store) -> Result<ConcurrentWrites, CommandError> {
        let is_over = AtomicBool::new(false);
        std::thread::scope(|scope| {
            let compaction = scope.spawn(|| {
                let last = compact_repeatedly(store);
                is_over.store(true, Ordering::Relaxed);
                last
            });
            let latencies = measure_writes_until(store, &is_over)?;
            let stat = compaction.join().map_err(|_| BenchError::CompactionPanicked)??;
            Ok(ConcurrentWrites { latencies, compactions: stat.metrics.compactions })
        })
    }
}

/// Writes until `is_over` is set, and measures the latency of each write.
fn measure_writes_until(store: &Store, is_over: &AtomicBool) -> Result<Histogram<u64>, CommandError> {
    let mut latencies = latency_histogram()?;
    let mut n = 0;
    while !is_over.load(Ordering::Relaxed) {
        let start = Instant::now();
        store.write(single_put(FIRST_CONCURRENT_NUMBER | n))?;
        record_latency(&mut latencies, start.elapsed());
        n += 1;
    }
    Ok(latencies)
}

/// Compacts [`COMPACTIONS`] times, or until the first error. Returns the last result.
fn compact_repeatedly(store: &Store) -> Result<Stat, StoreError> {
    let mut last = store.compact(DamagedRecords::Refuse);
    for _ in 1..COMPACTIONS {
        if last.is_ok() {
            last = store.compact(DamagedRecords::Refuse);
        }
    }
    last
}
