//! Reading: snapshots, iteration and statistics.

use crate::UnixMillis;
use crate::clock::Clock;
use crate::disk::{DirectoryLock, Disk, LockMode, RealDisk};
use crate::error::{StoreError, io_error};
use crate::index::{View, Walk, runs};
use crate::metrics::Metrics;
use crate::recovery::{self, Recovery};
use crate::segment_usage::segment_usage;
use std::path::Path;
use std::sync::Arc;

/// The approximate memory of a key of the active segment, in bytes.
const ACTIVE_KEY_BYTES: usize = 160;
/// The approximate size of a record without its key and value, in bytes: lengths, flags and checksum.
const RECORD_OVERHEAD: u64 = 8;

/// Statistics of a store.
#[derive(Clone, Debug, Default)]
pub struct Stat {
    /// The number of segments, including the active one.
    pub segments: usize,
    /// The size of all segment files, in bytes.
    pub bytes: u64,
    /// The approximate number of bytes that a compaction would free.
    pub dead_bytes: u64,
    /// The number of keys with a value.
    pub records: u64,
    /// The size of these keys and values, in bytes.
    pub live_bytes: u64,
    /// The approximate memory of the index, in bytes.
    pub index_bytes: usize,
    /// Counters since the store was opened.
    pub metrics: Metrics,
    /// The error of the last write; `None` if it succeeded.
    pub last_failure: Option<Arc<StoreError>>,
}

/// The contents of a store at one point in time, which later writes do not change.
#[derive(Clone, Debug)]
pub struct Snapshot {
    view: View,
    now: UnixMillis,
}

impl Snapshot {
    pub(crate) fn new(view: View, now: UnixMillis) -> Snapshot {
        Snapshot { view, now }
    }

    /// The value of a key; `None` if it has none or had expired when the snapshot was taken.
    ///
    /// # Errors
    ///
    /// [`StoreError::InDoubt`] and [`StoreError::Damaged`] if damage concerns the key, [`StoreError::Io`].
    pub fn get(&self, key: &[u8]) -> Result<Option<Vec<u8>>, StoreError> {
        self.view.get(key, self.now)
    }

    /// All records from a key on, in order of keys. A record that cannot be read is an error; the iteration then continues.
    pub fn iter_from(&self, from: &[u8]) -> Iter {
        Iter { entries: self.entries_from(from) }
    }

    /// The same records as [`Snapshot::iter_from`], with the times at which they expire.
    pub fn entries_from(&self, from: &[u8]) -> Entries {
        Entries { walk: self.view.walk(from), now: self.now }
    }

    /// The time at which the snapshot was created.
    pub fn created_at(&self) -> UnixMillis {
        self.now
    }

    /// Statistics of the contents. This visits all keys.
    pub fn stat(&self) -> Stat {
        let segments = segment_usage(&self.view, self.now);
        let active = self.view.active.as_ref();
        let active_bytes = active.and_then(|segment| segment.file.len().ok()).unwrap_or(0);
        let run_memory: usize = runs(&self.view.layers).map(|run| run.memory()).sum();
        let mut stat = Stat {
            segments: segments.len() + usize::from(active.is_some()),
            bytes: segments.iter().map(|segment| segment.bytes).sum::<u64>() + active_bytes,
            dead_bytes: segments.iter().map(|segment| segment.dead_bytes).sum(),
            index_bytes: run_memory + self.view.active_keys.len() * ACTIVE_KEY_BYTES,
            ..Stat::default()
        };
        for step in self.view.walk(&[]) {
            let location = step.hit.location;
            if !location.is_tombstone && !location.is_expired(self.now) {
                stat.records += 1;
                stat.live_bytes += u64::from(location.len).saturating_sub(RECORD_OVERHEAD);
            }
        }
        stat
    }
}

/// A record with the time at which it expires.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The key.
    pub key: Vec<u8>,
    /// The value.
    pub value: Vec<u8>,
    /// When the record expires; `None` if it never does.
    pub expires_at: Option<UnixMillis>,
}

/// An iterator over records, in order of keys.
pub struct Iter {
    entries: Entries,
}

impl Iterator for Iter {
    type Item = Result<(Vec<u8>, Vec<u8>), StoreError>;

    fn next(&mut self) -> Option<Self::Item> {
        let entry = self.entries.next()?;
        Some(entry.map(|entry| (entry.key, entry.value)))
    }
}

/// An iterator over records with the times at which they expire, in order of keys.
pub struct Entries {
    walk: Walk,
    now: UnixMillis,
}

impl Iterator for Entries {
    type Item = Result<Entry, StoreError>;

    fn next(&mut self) -> Option<Self::Item> {
        loop {
            let step = self.walk.next()?;
            if let Some(region) = step.hidden_by {
                return Some(Err(region.error()));
            }
            let location = step.hit.location;
            if location.is_expired(self.now) {
                continue;
            }
            match step.hit.read(&step.key) {
                Ok(Some(value)) => {
                    let expires_at = location.expires_at;
                    return Some(Ok(Entry { key: step.key, value, expires_at }));
                }
                Ok(None) => {}
                Err(error) => return Some(Err(error)),
            }
        }
    }
}

/// A directory that was opened for reading.
pub struct OpenedReader {
    /// The contents of the store.
    pub snapshot: Snapshot,
    /// What recovery found.
    pub recovery: Recovery,
    /// Excludes writers until it is dropped.
    pub lock: DirectoryLock,
}

/// Opens a directory for reading only. Nothing in it is changed.
///
/// ```no_run
/// use mothproxy_store::open_reader;
/// use std::path::Path;
///
/// let opened = open_reader(Path::new("/var/lib/mothproxy"))?;
/// for record in opened.snapshot.iter_from(b"key/") {
///     let (key, value) = record?;
///     println!("{} bytes, {} bytes", key.len(), value.len());
/// }
/// # Ok::<(), mothproxy_store::StoreError>(())
/// ```
///
/// # Errors
///
/// [`StoreError::Locked`] if another process has it open for writing, [`StoreError::Version`] and [`StoreError::Io`].
pub fn open_reader(dir: &Path) -> Result<OpenedReader, StoreError> {
    let name = dir.display().to_string();
    let disk = RealDisk::open(dir).map_err(io_error("cannot open", &name))?;
    let lock = disk.lock(LockMode::Shared).map_err(io_error("cannot lock", &name))?;
    let lock = lock.ok_or(StoreError::Locked(name))?;
    let opened = recovery::open(&disk)?;
    let view = View { layers: opened.layers, ..View::default() };
    let now = Clock::new(opened.written_at).now();
    Ok(OpenedReader { snapshot: Snapshot::new(view, now), recovery: opened.recovery, lock })
}
