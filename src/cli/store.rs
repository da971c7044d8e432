//! `mothproxy store`: a store's directory from the command line.

use super::{Failure, bench};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use clap::Subcommand;
use mothproxy_store::disk::RealDisk;
use mothproxy_store::{Batch, Options, Stat, Store, StoreError, open_reader, verify};
use serde_json::{Map, Value, json};
use std::io::{BufRead, Write};
use std::path::{Path, PathBuf};
use std::sync::mpsc::{Receiver, sync_channel};
use std::sync::{Arc, Condvar, Mutex, PoisonError};

#[derive(Subcommand)]
pub enum Job {
    /// Write JSON lines {"key":"..","value":".."} from standard input; a value null deletes. Each key is printed once it
    /// is durable. A line that is out of order ends it: what was printed before it stays.
    Put {
        /// The store; made if it is not there.
        dir: PathBuf,
    },
    /// Print all records as such lines, by key. Bytes that are no UTF-8 come as key_base64 and value_base64.
    Dump {
        /// The store.
        dir: PathBuf,
    },
    /// Read every byte and name each damage. Exit code 0: whole; 1: damaged.
    Verify {
        /// The store.
        dir: PathBuf,
    },
    /// Rewrite what counts into one segment.
    Compact {
        /// The store.
        dir: PathBuf,
        /// Leave out what cannot be read. Without it a damaged store stays as it is.
        #[arg(long)]
        drop_damaged: bool,
    },
    /// Show figures.
    Stat {
        /// The store.
        dir: PathBuf,
        /// As one JSON object.
        #[arg(long)]
        json: bool,
    },
    /// Measure a store against plain appends and reads by hand, in the same run.
    Bench {
        /// A folder that is empty or not there.
        dir: PathBuf,
        /// Records for the measurement of recovery.
        #[arg(long, default_value_t = 100_000, value_parser = clap::value_parser!(u64).range(100..=10_000_000))]
        records: u64,
        /// As one JSON object.
        #[arg(long)]
        json: bool,
    },
}

impl From<StoreError> for Failure {
    fn from(error: StoreError) -> Failure {
        match error {
            StoreError::Damaged { .. } | StoreError::InDoubt { .. } | StoreError::NeedsRepair(_) => {
                Failure::work(error)
            }
            StoreError::Failing(_) | StoreError::Closed => Failure::work(error),
            // The directory cannot be used as it was named.
            _ => Failure::input(error),
        }
    }
}

/// Does it.
pub fn run(job: Job) -> Result<(), Failure> {
    match job {
        Job::Put { dir } => put(&dir),
        Job::Dump { dir } => dump(&dir),
        Job::Verify { dir } => check(&dir),
        Job::Compact { dir, drop_damaged } => {
            known(&dir)?;
            let (store, recovery) = Store::open(&dir, Options { compacts: false, ..Options::default() })?;
            if !recovery.damage.is_empty() && !drop_damaged {
                return Err(Failure::work(StoreError::NeedsRepair(recovery.damage.len())));
            }
            show(&store.compact(drop_damaged)?, false);
            Ok(store.close()?)
        }
        Job::Stat { dir, json } => {
            known(&dir)?;
            let (snapshot, recovery, _held) = open_reader(&dir)?;
            recovery.damage.iter().for_each(|damage| tracing::warn!("{damage}"));
            show(&snapshot.stat(), json);
            Ok(())
        }
        Job::Bench { dir, records, json } => bench::run(&dir, records, json),
    }
}

/// Whether a folder's files are a store's, or it has none.
fn ours(dir: &Path) -> Result<(bool, bool), Failure> {
    let failed = |error: std::io::Error| Failure::input(format!("{}: {error}", dir.display()));
    let (mut any, mut foreign) = (false, false);
    for entry in std::fs::read_dir(dir).map_err(failed)? {
        let name = entry.map_err(failed)?.file_name().to_string_lossy().into_owned();
        let own = name == "LOCK" || name.ends_with(".seg") || name.ends_with(".seg.tmp");
        (any, foreign) = (any || own, foreign || !own);
    }
    Ok((any, foreign))
}

/// A directory that is to be a store already.
fn known(dir: &Path) -> Result<(), Failure> {
    match ours(dir)? {
        (true, _) => Ok(()),
        (false, _) => Err(Failure::input(format!("{}: no store is there", dir.display()))),
    }
}

/// One line of input, read.
fn read_line(line: &str) -> Result<(Vec<u8>, Option<Vec<u8>>), String> {
    let value: Value = serde_json::from_str(line).map_err(|e| format!("not JSON: {e}"))?;
    let fields = value.as_object().ok_or("not an object")?;
    let known = ["key", "value", "key_base64", "value_base64"];
    if let Some(other) = fields.keys().find(|name| !known.contains(&name.as_str())) {
        return Err(format!("\"{other}\" is no field; it has \"key\" and \"value\""));
    }
    let bytes = |name: &str| -> Result<Option<Option<Vec<u8>>>, String> {
        let coded = format!("{name}_base64");
        match (fields.get(name), fields.get(&coded)) {
            (Some(_), Some(_)) => Err(format!("both \"{name}\" and \"{coded}\"")),
            (Some(Value::String(text)), _) => Ok(Some(Some(text.clone().into_bytes()))),
            (Some(Value::Null), _) if name == "value" => Ok(Some(None)),
            (Some(_), _) => Err(format!("\"{name}\" is no string")),
            (None, Some(Value::String(text))) => {
                STANDARD.decode(text).map(|b| Some(Some(b))).map_err(|e| format!("\"{coded}\": {e}"))
            }
            (None, Some(_)) => Err(format!("\"{coded}\" is no string")),
            (None, None) => Ok(None),
        }
    };
    let key = bytes("key")?.flatten().ok_or("no \"key\"")?;
    let value = bytes("value")?.ok_or("no \"value\" (null deletes)")?;
    if key.is_empty() {
        return Err("the key is empty".to_owned());
    }
    Ok((key, value))
}

/// Writes under way at most.
const UNDER_WAY: usize = 1024;
/// The longest line, in bytes: the longest value may take six for each of its own.
const LINE: usize = 64 << 20;

/// How many writes are under way, and whether one failed.
type Gauge = Arc<(Mutex<(usize, Option<String>)>, Condvar)>;

fn put(dir: &Path) -> Result<(), Failure> {
    if dir.exists() && matches!(ours(dir)?, (false, true)) {
        return Err(Failure::input(format!("{}: it holds files that are no store's", dir.display())));
    }
    let (tell, told) = sync_channel::<(Vec<u8>, bool)>(UNDER_WAY);
    let printer = std::thread::spawn(move || print_keys(&told));
    let gauge: Gauge = Arc::default();
    let mut store = None;
    let done = put_lines(dir, &mut store, &gauge, &tell);
    // What was taken is written and printed, whatever ended the input.
    let closed = store.map_or(Ok(()), Store::close);
    drop(tell);
    let printed = printer.join().unwrap_or(false);
    done?;
    closed?;
    if !printed {
        return Err(Failure::work("standard output was closed"));
    }
    match gauge.0.lock().unwrap_or_else(PoisonError::into_inner).1.take() {
        Some(why) => Err(Failure::work(why)),
        None => Ok(()),
    }
}

fn put_lines(
    dir: &Path,
    store: &mut Option<Store>,
    gauge: &Gauge,
    tell: &std::sync::mpsc::SyncSender<(Vec<u8>, bool)>,
) -> Result<(), Failure> {
    let (mut input, mut line, mut number) = (std::io::stdin().lock(), Vec::new(), 0u64);
    loop {
        line.clear();
        let limited = &mut std::io::Read::take(&mut input, LINE as u64);
        let read = limited
            .read_until(b'\n', &mut line)
            .map_err(|e| Failure::work(format!("standard input: {e}")))?;
        if read == 0 {
            break;
        }
        number += 1;
        let wrong = |what: String| Failure::input(format!("standard input: line {number}: {what}"));
        let text = std::str::from_utf8(&line).map_err(|e| wrong(format!("not UTF-8: {e}")))?;
        if text.trim().is_empty() {
            continue;
        }
        let (key, value) = read_line(text).map_err(wrong)?;
        let mut batch = Batch::new();
        batch.push(key.clone(), value, None);
        // Nothing is made of the directory before a first line is in order.
        let open = match store.as_ref() {
            Some(open) => open,
            None => {
                let (opened, recovery) = Store::open(dir, Options::default())?;
                recovery.damage.iter().for_each(|damage| tracing::warn!("{damage}"));
                store.insert(opened)
            }
        };
        {
            let (lock, freed) = &**gauge;
            let mut state = lock.lock().unwrap_or_else(PoisonError::into_inner);
            while state.0 >= UNDER_WAY {
                state = freed.wait(state).unwrap_or_else(PoisonError::into_inner);
            }
            if state.1.is_some() {
                return Ok(()); // the caller tells why
            }
            state.0 += 1;
        }
        let (gauge, tell) = (gauge.clone(), tell.clone());
        let done = Box::new(move |result: Result<(), String>| {
            let _ = tell.send((key, result.is_ok())); // the printer ends only when standard output does
            let mut state = gauge.0.lock().unwrap_or_else(PoisonError::into_inner);
            state.0 -= 1;
            if let Err(why) = result {
                state.1.get_or_insert(why);
            }
            gauge.1.notify_one();
        });
        open.submit(batch, done).map_err(|error| match error {
            StoreError::Invalid(what) => wrong(what.to_string()),
            other => other.into(),
        })?;
    }
    if store.is_none() && !dir.exists() {
        *store = Some(Store::open(dir, Options::default())?.0); // no line at all: an empty store
    }
    Ok(())
}

/// Prints keys that are durable; false once standard output is closed.
fn print_keys(told: &Receiver<(Vec<u8>, bool)>) -> bool {
    let mut out = std::io::BufWriter::new(std::io::stdout().lock());
    let mut open = true;
    while let Ok(first) = told.recv() {
        for (key, written) in std::iter::once(first).chain(told.try_iter()) {
            if written && open {
                // A key that holds a line break or is no UTF-8 is printed as JSON would have it.
                let text = match String::from_utf8(key) {
                    Ok(text) if !text.contains(['\n', '\r']) => text,
                    Ok(text) => Value::String(text).to_string(),
                    Err(error) => STANDARD.encode(error.into_bytes()),
                };
                open = writeln!(out, "{text}").is_ok();
            }
        }
        open = open && out.flush().is_ok();
    }
    open
}

fn dump(dir: &Path) -> Result<(), Failure> {
    known(dir)?;
    let (snapshot, recovery, _held) = open_reader(dir)?;
    recovery.damage.iter().for_each(|damage| tracing::warn!("{damage}"));
    let mut damaged = recovery.damage.len();
    let mut out = std::io::BufWriter::new(std::io::stdout().lock());
    for record in snapshot.iter_from(&[]) {
        let (key, value) = match record {
            Ok(record) => record,
            Err(error) => {
                damaged += 1;
                tracing::warn!("{error}");
                continue;
            }
        };
        let mut fields = Map::new();
        for (name, bytes) in [("key", key), ("value", value)] {
            match String::from_utf8(bytes) {
                Ok(text) => fields.insert(name.to_owned(), text.into()),
                Err(error) => {
                    fields.insert(format!("{name}_base64"), STANDARD.encode(error.into_bytes()).into())
                }
            };
        }
        if writeln!(out, "{}", Value::Object(fields)).is_err() {
            return Ok(()); // whoever read it has seen enough
        }
    }
    let _ = out.flush(); // likewise
    match damaged {
        0 => Ok(()),
        n => Err(Failure::work(format!("{}: damaged: {n} places; what is whole was printed", dir.display()))),
    }
}

fn check(dir: &Path) -> Result<(), Failure> {
    known(dir)?;
    let (_, _, _held) = open_reader(dir)?;
    let failed = |error: std::io::Error| Failure::input(format!("{}: {error}", dir.display()));
    let (report, records) = verify(&RealDisk::open(dir).map_err(failed)?)?;
    report.damage.iter().for_each(|damage| println!("{damage}"));
    if report.torn > 0 {
        println!("{}: {} bytes at the end were never acknowledged", dir.display(), report.torn);
    }
    println!(
        "{}: {} segments, {records} records read, {} damaged",
        dir.display(),
        report.segments,
        report.damage.len()
    );
    if report.damage.is_empty() { Ok(()) } else { Err(Failure { message: String::new(), code: 1 }) }
}

fn show(stat: &Stat, as_json: bool) {
    let f = stat.metrics;
    let figures = json!({
        "records": stat.records, "segments": stat.segments, "bytes": stat.bytes, "live_bytes": stat.live,
        "dead_bytes": stat.dead, "index_bytes": stat.memory, "compactions": f.compactions,
    });
    match figures {
        figures if as_json => println!("{figures}"),
        Value::Object(fields) => fields.iter().for_each(|(name, value)| println!("{name:<12} {value}")),
        _ => {}
    }
}
