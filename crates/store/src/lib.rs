//! An embedded, ordered key-value store in one directory: a segmented log, sorted runs of keys in memory, atomic batches,
//! tombstones, time to live, snapshots, compaction and recovery. It knows nothing of jobs.
//!
//! The promise, by mode: see [`SyncMode`]. What [`Store::write`] returned `Ok` for is there after a crash, in full; what it
//! returned an error for never shows again once a later write has succeeded. docs/design/store.md has the format and the ways
//! weighed.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod disk;
mod engine;
mod error;
#[allow(missing_docs)]
mod format;
#[allow(missing_docs)]
mod index;
#[allow(missing_docs)]
mod plan;
#[allow(missing_docs)]
mod recover;
pub mod sim;
mod store;

pub use engine::{Figures, Merge, Merged, Shared, Writer, open as open_engine, view_of};
pub use error::{Invalid, StoreError};
pub use format::{Op, VERSION, fingerprint};
pub use index::View;
pub use recover::{Damage, Recovery, verify};
pub use store::{Batch, Done, Iter, Snapshot, Stat, Store, open_reader};

/// The longest key, in bytes.
pub const MAX_KEY: usize = 4096;
/// The longest value, in bytes.
pub const MAX_VALUE: usize = 8 << 20;
/// The largest batch, in bytes of keys and values, with 25 for each operation.
pub const MAX_BATCH: usize = 16 << 20;

/// When writes become durable.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SyncMode {
    /// Before they are acknowledged. A power cut costs nothing that was acknowledged.
    #[default]
    Always,
    /// At most this many milliseconds after they are acknowledged. A power cut may cost so much of the newest writes; the
    /// end of a process costs nothing.
    Interval(u32),
    /// When a segment is closed. A power cut may cost a whole segment of the newest writes; the end of a process nothing.
    Never,
}

/// How a store is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// A segment is closed at about this size, in bytes.
    pub segment_bytes: u32,
    /// When writes become durable.
    pub sync: SyncMode,
    /// Whether segments are compacted in the background.
    pub compacts: bool,
    /// Bytes of batches that may wait to be written; more are turned away.
    pub most_waiting: usize,
    /// Where salts begin; random unless a test wants the same files every time.
    pub seed: u64,
}

impl Default for Options {
    fn default() -> Options {
        use std::hash::{BuildHasher, Hasher};
        // The standard library's hash keys are random in each process.
        let seed = std::collections::hash_map::RandomState::new().build_hasher().finish();
        Options {
            segment_bytes: 4 << 20,
            sync: SyncMode::Always,
            compacts: true,
            most_waiting: 32 << 20,
            seed,
        }
    }
}
