//! `mothproxy store bench`: the store beside the same bytes appended, synced and read by hand.

use super::Failure;
use hdrhistogram::Histogram;
use mothproxy_store::disk::RealDisk;
use mothproxy_store::{Batch, OpenedWriter, Operation, Options, Store, SyncMode, open_writer};
use serde_json::{Value, json};
use std::fs::File;
use std::io::{Read, Write};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

const VALUE: usize = 200;
const WRITERS: usize = 64;
const SPAN: Duration = Duration::from_millis(1500);
const SINGLE: usize = 2000;
/// Figures that vary from one moment to the next are taken so many times in turn, and the median counts.
const ROUNDS: usize = 5;

fn op(n: u64) -> Operation {
    // Keys in no order, as idempotency keys come.
    let key = format!("key-{:016x}", n.wrapping_mul(0x9e37_79b9_7f4a_7c15)).into_bytes();
    Operation { key, value: Some(vec![n as u8; VALUE]), expires_at: None }
}

fn put(n: u64) -> Batch {
    let op = op(n);
    Batch::new().put(op.key, op.value.unwrap_or_default())
}

/// Bytes that one record with its frame takes in the log, about.
fn frame(records: usize) -> usize {
    49 + records * (8 + 20 + VALUE + 8)
}

fn io<T>(result: std::io::Result<T>) -> Result<T, Failure> {
    result.map_err(|error| Failure::work(format!("bench: {error}")))
}

fn histogram() -> Result<Histogram<u64>, Failure> {
    Histogram::new_with_bounds(1, 60_000_000_000, 3).map_err(Failure::work)
}

/// Appends and syncs by hand: `times` appends of these bytes.
fn raw(dir: &Path, bytes: usize, times: usize) -> Result<(Histogram<u64>, f64), Failure> {
    let path = dir.join("raw");
    let (mut file, mut took) = (io(File::create(&path))?, histogram()?);
    let data = vec![7u8; bytes];
    io(file.sync_all())?;
    let started = Instant::now();
    for _ in 0..times {
        let at = Instant::now();
        io(file.write_all(&data))?;
        io(file.sync_data())?;
        took.saturating_record(at.elapsed().as_nanos() as u64);
    }
    let rate = times as f64 / started.elapsed().as_secs_f64();
    io(std::fs::remove_file(&path))?;
    Ok((took, rate))
}

fn quiet() -> Options {
    Options { compacts: false, ..Options::default() }
}

fn median(mut all: Vec<f64>) -> f64 {
    all.sort_by(f64::total_cmp);
    all.get(all.len() / 2).copied().unwrap_or(f64::NAN)
}

fn one_writer(dir: &Path) -> Result<Value, Failure> {
    let (mut ratios, mut raws, mut stores) = (Vec::new(), Vec::new(), Vec::new());
    let (store, _) = Store::open(&dir.join("one"), quiet())?;
    for round in 0..ROUNDS {
        let mut took = histogram()?;
        for n in 0..SINGLE / ROUNDS {
            let batch = put((round * SINGLE + n) as u64);
            let at = Instant::now();
            store.write(batch)?;
            took.saturating_record(at.elapsed().as_nanos() as u64);
        }
        let (by_hand, _) = raw(dir, frame(1), SINGLE / ROUNDS)?;
        let us = |h: &Histogram<u64>| h.value_at_quantile(0.5) as f64 / 1000.0;
        ratios.push(us(&took) / us(&by_hand));
        raws.push(us(&by_hand));
        stores.push(us(&took));
    }
    store.close()?;
    Ok(json!({"raw_p50_us": median(raws), "store_p50_us": median(stores), "ratio": median(ratios)}))
}

fn many_writers(dir: &Path) -> Result<Value, Failure> {
    let (mut ratios, mut rates, mut raws, mut groups) = (Vec::new(), Vec::new(), Vec::new(), Vec::new());
    let (store, _) = Store::open(&dir.join("many"), quiet())?;
    for round in 0..ROUNDS as u64 {
        let (before, over) = (store.metrics().0, AtomicBool::new(false));
        let started = Instant::now();
        let failed = std::thread::scope(|scope| {
            let write = |writer: u64| {
                let mut n = 0;
                while !over.load(Ordering::Relaxed) {
                    if let Err(error) = store.write(put(round << 48 | writer << 32 | n)) {
                        return Some(error);
                    }
                    n += 1;
                }
                None
            };
            let writers: Vec<_> = (0..WRITERS as u64).map(|w| scope.spawn(move || write(w))).collect();
            std::thread::sleep(SPAN / ROUNDS as u32);
            over.store(true, Ordering::Relaxed);
            writers.into_iter().filter_map(|w| w.join().ok().flatten()).next()
        });
        if let Some(error) = failed {
            return Err(error.into());
        }
        let (after, span) = (store.metrics().0, started.elapsed().as_secs_f64());
        let records = (after.batches - before.batches) as f64;
        let group = records / (after.groups - before.groups).max(1) as f64;
        let (_, by_hand) = raw(dir, frame(group.round() as usize), 400)?;
        rates.push(records / span);
        raws.push(by_hand * group.round());
        ratios.push(records / span / (by_hand * group.round()));
        groups.push(group);
    }
    store.close()?;
    Ok(json!({
        "writers": WRITERS, "mean_group": median(groups), "records_per_s": median(rates),
        "raw_records_per_s": median(raws), "ratio": median(ratios),
    }))
}

/// p99 of puts while a compaction of many dead records runs, and without one.
fn beside_compaction(dir: &Path) -> Result<Value, Failure> {
    let path = dir.join("compact");
    let (store, _) = Store::open(&path, quiet())?;
    let fill = |from: u64| -> Result<(), Failure> {
        for chunk in 0..60u64 {
            let mut batch = Batch::new();
            for n in 0..1000 {
                let op = op((chunk * 1000 + n) % 20_000 + from);
                batch.push(op.key, op.value, None);
            }
            store.write(batch)?;
        }
        Ok(())
    };
    fill(0)?;
    let mut calm = histogram()?;
    for n in 0..1500u64 {
        let at = Instant::now();
        store.write(put(1 << 40 | n))?;
        calm.saturating_record(at.elapsed().as_nanos() as u64);
    }
    let (mut busy, mut compactions, mut stat) = (histogram()?, 0, store.stat()?);
    let before = stat.bytes;
    let over = AtomicBool::new(false);
    let failed = std::thread::scope(|scope| {
        let compact = scope.spawn(|| {
            let mut last = store.compact(false);
            for _ in 0..4 {
                if last.is_ok() {
                    last = store.compact(false);
                }
            }
            over.store(true, Ordering::Relaxed);
            last
        });
        let mut n = 0;
        while !over.load(Ordering::Relaxed) {
            let at = Instant::now();
            if let Err(error) = store.write(put(2 << 40 | n)) {
                return Some(Failure::from(error));
            }
            busy.saturating_record(at.elapsed().as_nanos() as u64);
            n += 1;
        }
        match compact.join() {
            Ok(Ok(done)) => {
                compactions = done.metrics.compactions;
                None
            }
            Ok(Err(error)) => Some(error.into()),
            Err(_) => Some(Failure::work("the compaction ended in a panic")),
        }
    });
    if let Some(failure) = failed {
        return Err(failure);
    }
    stat = store.compact(false)?;
    store.close()?;
    let us = |h: &Histogram<u64>, q: f64| h.value_at_quantile(q) as f64 / 1000.0;
    Ok(json!({
        "compactions": compactions, "puts_beside": busy.len(),
        "p50_us": us(&calm, 0.5), "p99_us": us(&calm, 0.99),
        "p50_beside_us": us(&busy, 0.5), "p99_beside_us": us(&busy, 0.99),
        "bytes_before": before, "bytes_after": stat.bytes, "live_bytes": stat.live,
        "space_per_live": stat.bytes as f64 / stat.live as f64,
    }))
}

/// Reads all files of a folder from first to last.
fn read_plainly(dir: &Path) -> Result<(Duration, u64), Failure> {
    let mut names: Vec<_> =
        io(io(std::fs::read_dir(dir))?.map(|e| Ok(e?.path())).collect::<std::io::Result<_>>())?;
    names.sort();
    let (mut buf, mut bytes, started) = (vec![0; 1 << 20], 0, Instant::now());
    for name in names {
        let mut file = io(File::open(name))?;
        loop {
            match io(file.read(&mut buf))? {
                0 => break,
                n => bytes += n as u64,
            }
        }
    }
    Ok((started.elapsed(), bytes))
}

/// Recovery of so many records after a crash (the last segment has no footer) beside a plain read of the same files.
fn recovery(dir: &Path, records: u64) -> Result<Value, Failure> {
    let path = dir.join(format!("recover-{records}"));
    let disk = Arc::new(io(RealDisk::open_or_create(&path))?);
    let options = Options { sync: SyncMode::Never, ..quiet() };
    {
        let OpenedWriter { mut writer, shared, .. } = open_writer(disk, options)?;
        let mut n = 0;
        while n < records {
            let group: Vec<Operation> = (n..records.min(n + 64)).map(op).collect();
            writer.commit(&shared, &[&group], 1)?;
            n += group.len() as u64;
        }
        // Dropped without a seal, as a crash would leave it.
    }
    let (mut reads, mut opens, mut bytes, mut memory) = (Vec::new(), Vec::new(), 0, 0);
    for _ in 0..ROUNDS {
        let (took, len) = read_plainly(&path)?;
        reads.push(took.as_secs_f64() * 1e3);
        let at = Instant::now();
        let (snapshot, recovery, held) = mothproxy_store::open_reader(&path)?;
        opens.push(at.elapsed().as_secs_f64() * 1e3);
        let stat = snapshot.stat();
        if stat.records != records || !recovery.damage.is_empty() {
            return Err(Failure::work(format!("bench: {} of {records} records came back", stat.records)));
        }
        drop(held);
        (bytes, memory) = (len, stat.memory);
    }
    io(std::fs::remove_dir_all(&path))?;
    let (read, open) = (median(reads), median(opens));
    Ok(json!({
        "records": records, "bytes": bytes, "plain_read_ms": read, "recovery_ms": open, "ratio": open / read,
        "ns_per_record": open * 1e6 / records as f64, "index_bytes_per_record": memory as f64 / records as f64,
    }))
}

/// Measures, prints, and leaves the folder as it was.
pub fn run(dir: &Path, records: u64, as_json: bool) -> Result<(), Failure> {
    let was_there = dir.exists();
    if was_there && io(std::fs::read_dir(dir)).map_err(|f| Failure::input(f.message))?.next().is_some() {
        return Err(Failure::input(format!("{}: the folder is not empty", dir.display())));
    }
    std::fs::create_dir_all(dir).map_err(|e| Failure::input(format!("{}: {e}", dir.display())))?;
    let mut sizes = vec![10_000, 100_000, 1_000_000];
    sizes.retain(|n| *n < records);
    sizes.push(records);
    let measure = || -> Result<Value, Failure> {
        let sizes: Vec<Value> = sizes.iter().map(|n| recovery(dir, *n)).collect::<Result<_, _>>()?;
        Ok(json!({
            "one_writer": one_writer(dir)?, "many_writers": many_writers(dir)?,
            "compaction": beside_compaction(dir)?, "recovery": sizes,
        }))
    };
    let measured = measure();
    for name in ["raw", "one", "many", "compact"] {
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
        let text = serde_json::to_string_pretty(&measured).map_err(Failure::work)?;
        println!("{text}");
    }
    Ok(())
}
