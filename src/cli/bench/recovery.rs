//! Measures recovery after a crash, and a plain read of the same files for comparison.

use super::{ROUNDS, median, operation, without_compaction};
use crate::cli::error::{BenchError, CommandError};
use mothproxy_store::disk::RealDisk;
use mothproxy_store::{OpenedReader, OpenedWriter, Operation, Options, SyncMode, open_reader, open_writer};
use serde_json::{Value, json};
use std::fs::File;
use std::io::{self, Read};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The number of records in each write.
const RECORDS_PER_GROUP: u64 = 64;
/// The size of the buffer of a plain read, in bytes.
const READ_BUFFER_LENGTH: usize = 1 << 20;
/// Milliseconds in one second.
const MS_PER_SECOND: f64 = 1e3;
/// Nanoseconds in one millisecond.
const NS_PER_MS: f64 = 1e6;

/// Measures the recovery of a store with this many records, whose last segment has no footer, as after a crash.
pub(super) fn measure(dir: &Path, records: u64) -> Result<Value, CommandError> {
    let path = dir.join(format!("recover-{records}"));
    write_without_seal(&path, records)?;
    let mut read_times = Vec::new();
    let mut open_times = Vec::new();
    let mut bytes = 0;
    let mut index_bytes = 0;
    for _ in 0..ROUNDS {
        let plain_read = PlainRead::measure(&path).map_err(BenchError::Io)?;
        read_times.push(milliseconds(plain_read.time));
        let start = Instant::now();
        let OpenedReader { snapshot, recovery, lock } = open_reader(&path)?;
        open_times.push(milliseconds(start.elapsed()));
        let stat = snapshot.stat();
        if stat.records != records || !recovery.damage.is_empty() {
            return Err(BenchError::RecordsLost { found: stat.records, written: records }.into());
        }
        drop(lock);
        bytes = plain_read.bytes;
        index_bytes = stat.index_bytes;
    }
    std::fs::remove_dir_all(&path).map_err(BenchError::Io)?;
    let plain_read_ms = median(read_times);
    let recovery_ms = median(open_times);
    Ok(json!({
        "records": records,
        "bytes": bytes,
        "plain_read_ms": plain_read_ms,
        "recovery_ms": recovery_ms,
        "ratio": recovery_ms / plain_read_ms,
        "ns_per_record": recovery_ms * NS_PER_MS / records as f64,
        "index_bytes_per_record": index_bytes as f64 / records as f64,
    }))
}

fn write_without_seal(path: &Path, records: u64) -> Result<(), CommandError> {
    let disk = Arc::new(RealDisk::open_or_create(path).map_err(BenchError::Io)?);
    let options = Options { sync: SyncMode::Never, ..without_compaction() };
    let OpenedWriter { mut writer, shared, .. } = open_writer(disk, options)?;
    let mut written = 0;
    while written < records {
        let group: Vec<Operation> =
            (written..records.min(written + RECORDS_PER_GROUP)).map(operation).collect();
        writer.commit(&shared, &[&group], 1)?;
        written += group.len() as u64;
    }
    Ok(()) // the segment is not sealed, as after a crash
}

fn milliseconds(time: Duration) -> f64 {
    time.as_secs_f64() * MS_PER_SECOND
}

/// The result of a sequential read of all files of a directory.
struct PlainRead {
    time: Duration,
    bytes: u64,
}

impl PlainRead {
    fn measure(dir: &Path) -> io::Result<PlainRead> {
        let mut files: Vec<PathBuf> =
            std::fs::read_dir(dir)?.map(|entry| Ok(entry?.path())).collect::<io::Result<_>>()?;
        files.sort();
        let mut buffer = vec![0; READ_BUFFER_LENGTH];
        let mut bytes = 0;
        let start = Instant::now();
        for file in files {
            let mut file = File::open(file)?;
            loop {
                let length = file.read(&mut buffer)?;
                if length == 0 {
                    break;
                }
                bytes += length as u64;
            }
        }
        Ok(PlainRead { time: start.elapsed(), bytes })
    }
}
