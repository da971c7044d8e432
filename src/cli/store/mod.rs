//! `mothproxy store`: works on the directory of a store.

mod dump;
mod put;
mod record;

pub(super) use record::RecordError;

use super::bench;
use super::error::CommandError;
use clap::Subcommand;
use mothproxy_store::disk::RealDisk;
use mothproxy_store::{
    DamagedRecords, OpenedReader, Options, Recovery, Stat, Store, StoreError, Verification, open_reader,
    verify,
};
use serde_json::{Value, json};
use std::path::{Path, PathBuf};

/// What to do with a store.
#[derive(Subcommand)]
pub enum StoreCommand {
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

/// Runs a command on a store.
///
/// # Errors
/// [`CommandError`] if the command fails or finds damage.
pub(super) fn run(command: StoreCommand) -> Result<(), CommandError> {
    match command {
        StoreCommand::Put { dir } => put::run(&dir),
        StoreCommand::Dump { dir } => dump::run(&dir),
        StoreCommand::Verify { dir } => verify_all(&dir),
        StoreCommand::Compact { dir, drop_damaged } => {
            let damaged = if drop_damaged { DamagedRecords::Drop } else { DamagedRecords::Refuse };
            compact(&dir, damaged)
        }
        StoreCommand::Stat { dir, json } => print_stat(&dir, json),
        StoreCommand::Bench { dir, records, json } => bench::run(&dir, records, json),
    }
}

/// Which kinds of files a directory contains.
#[derive(Default)]
struct DirectoryContent {
    has_store_files: bool,
    has_foreign_files: bool,
}

impl DirectoryContent {
    fn read(dir: &Path) -> Result<DirectoryContent, CommandError> {
        let unreadable = |error| CommandError::Directory { dir: dir.to_owned(), error };
        let mut content = DirectoryContent::default();
        for entry in std::fs::read_dir(dir).map_err(unreadable)? {
            let name = entry.map_err(unreadable)?.file_name().to_string_lossy().into_owned();
            if name == "LOCK" || name.ends_with(".seg") || name.ends_with(".seg.tmp") {
                content.has_store_files = true;
            } else {
                content.has_foreign_files = true;
            }
        }
        Ok(content)
    }
}

/// Checks that a directory contains a store.
///
/// # Errors
/// [`CommandError::Directory`] if it cannot be read, [`CommandError::NoStore`] if it contains no store.
fn require_store(dir: &Path) -> Result<(), CommandError> {
    if DirectoryContent::read(dir)?.has_store_files {
        Ok(())
    } else {
        Err(CommandError::NoStore(dir.to_owned()))
    }
}

fn log_damage(recovery: &Recovery) {
    for damage in &recovery.damage {
        tracing::warn!("{damage}");
    }
}

fn verify_all(dir: &Path) -> Result<(), CommandError> {
    require_store(dir)?;
    let OpenedReader { lock: _lock, .. } = open_reader(dir)?; // its lock keeps writers out
    let disk = RealDisk::open(dir).map_err(|error| CommandError::Directory { dir: dir.to_owned(), error })?;
    let Verification { recovery, records } = verify(&disk)?;
    for damage in &recovery.damage {
        println!("{damage}");
    }
    if recovery.torn_bytes > 0 {
        println!("{}: {} bytes at the end were never acknowledged", dir.display(), recovery.torn_bytes);
    }
    println!(
        "{}: {} segments, {records} records read, {} damaged",
        dir.display(),
        recovery.segments,
        recovery.damage.len()
    );
    if recovery.damage.is_empty() { Ok(()) } else { Err(CommandError::DamagePrinted) }
}

fn compact(dir: &Path, damaged: DamagedRecords) -> Result<(), CommandError> {
    require_store(dir)?;
    let (store, recovery) = Store::open(dir, Options { compacts: false, ..Options::default() })?;
    if !recovery.damage.is_empty() && damaged == DamagedRecords::Refuse {
        return Err(StoreError::NeedsRepair(recovery.damage.len()).into());
    }
    println!("{}", stat_lines(&store.compact(damaged)?));
    Ok(store.close()?)
}

fn print_stat(dir: &Path, as_json: bool) -> Result<(), CommandError> {
    require_store(dir)?;
    let OpenedReader { snapshot, recovery, lock: _lock } = open_reader(dir)?;
    log_damage(&recovery);
    let stat = snapshot.stat();
    if as_json {
        println!("{}", stat_json(&stat));
    } else {
        println!("{}", stat_lines(&stat));
    }
    Ok(())
}

fn stat_json(stat: &Stat) -> Value {
    json!({
        "records": stat.records,
        "segments": stat.segments,
        "bytes": stat.bytes,
        "live_bytes": stat.live_bytes,
        "dead_bytes": stat.dead_bytes,
        "index_bytes": stat.index_bytes,
        "compactions": stat.metrics.compactions,
    })
}

/// The figures, one line each.
fn stat_lines(stat: &Stat) -> String {
    let json = stat_json(stat);
    let fields = json.as_object().into_iter().flatten();
    let lines: Vec<String> = fields.map(|(name, value)| format!("{name:<12} {value}")).collect();
    lines.join("\n")
}
