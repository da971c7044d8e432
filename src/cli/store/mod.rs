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

/// A sub-command of `mothproxy store`.
#[derive(Subcommand)]
pub enum StoreCommand {
    /// Write JSON lines {"key":"..","value":".."} from standard input; a value of null deletes the key. Each key is printed
    /// once its record is durable. An invalid line ends the command; the records of the lines before it stay written.
    Put {
        /// The directory of the store, which is created if it does not exist.
        dir: PathBuf,
    },
    /// Print all records as JSON lines, in order of keys. Bytes that are not UTF-8 are printed as key_base64 and value_base64.
    Dump {
        /// The directory of the store.
        dir: PathBuf,
    },
    /// Read every byte and print each damaged place. Exit code 0: no damage; 1: damaged.
    Verify {
        /// The directory of the store.
        dir: PathBuf,
    },
    /// Rewrite all live records into one segment.
    Compact {
        /// The directory of the store.
        dir: PathBuf,
        /// Drop damaged records. Without this option, a damaged store is not changed.
        #[arg(long)]
        drop_damaged: bool,
    },
    /// Print statistics.
    Stat {
        /// The directory of the store.
        dir: PathBuf,
        /// Print one JSON object.
        #[arg(long)]
        json: bool,
    },
    /// Compare a store with plain appends and reads of the same bytes.
    Bench {
        /// A directory that is empty or does not exist.
        dir: PathBuf,
        /// The number of records for the measurement of recovery.
        #[arg(long, default_value_t = 100_000, value_parser = clap::value_parser!(u64).range(100..=10_000_000))]
        records: u64,
        /// Print one JSON object.
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
    let OpenedReader { lock: _lock, .. } = open_reader(dir)?; // the lock excludes writers during the verification
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

/// The statistics, one line for each.
fn stat_lines(stat: &Stat) -> String {
    let json = stat_json(stat);
    let fields = json.as_object().into_iter().flatten();
    let lines: Vec<String> = fields.map(|(name, value)| format!("{name:<12} {value}")).collect();
    lines.join("\n")
}
