//! An embedded, ordered key-value store in one directory: a segmented log, sorted runs of keys in memory, atomic batches,
//! tombstones, time to live, snapshots, compaction and recovery. It knows nothing of jobs.
//!
//! The guarantee depends on the mode: see [`SyncMode`]. What [`Store::write`] returned `Ok` for is there after a crash, in
//! full; what it returned an error for never shows again once a later write has succeeded. docs/design/store.md has the format
//! and the alternatives weighed.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod active_segment;
mod batch;
mod batch_group;
mod clock;
mod compaction;
pub mod disk;
mod error;
mod format;
mod index;
mod metrics;
mod plan;
mod random;
mod recovery;
mod scan;
mod segment_loader;
mod shared_view;
pub mod sim;
mod snapshot;
mod store;
mod verify;
mod waiting_thread;
mod write_queue;
mod writer;

pub use batch::Batch;
pub use compaction::{Compaction, MergedSegment};
pub use error::{BatchError, StoreError};
pub use format::{Operation, VERSION, fingerprint};
pub use index::View;
pub use metrics::Metrics;
pub use recovery::{Damage, Recovery};
pub use shared_view::{SharedView, view_of};
pub use snapshot::{Iter, Snapshot, Stat, open_reader};
pub use store::Store;
pub use verify::verify;
pub use write_queue::Callback;
pub use writer::{OpenedWriter, Writer, open as open_writer};

/// Longest key, in bytes.
pub const MAX_KEY: usize = 4096;
/// Longest value, in bytes.
pub const MAX_VALUE: usize = 8 << 20;
/// Largest batch, in bytes of keys and values, with 25 for each operation.
pub const MAX_BATCH: usize = 16 << 20;

/// When writes become durable.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SyncMode {
    /// Before they are acknowledged. A power cut costs nothing that was acknowledged.
    #[default]
    Always,
    /// At most this many milliseconds after they are acknowledged. A power cut may cost the newest writes of that span; the
    /// end of a process costs nothing.
    Interval(u32),
    /// When a segment is closed. A power cut may cost a whole segment of the newest writes; the end of a process nothing.
    Never,
}

/// Settings of a store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// A segment is closed at about this size, in bytes.
    pub segment_bytes: u32,
    /// When writes become durable.
    pub sync: SyncMode,
    /// Whether segments are compacted in the background.
    pub compacts: bool,
    /// Most bytes of batches that wait to be written; more are refused.
    pub max_queued_bytes: usize,
    /// Seed of the salts; random unless a test needs the same files every time.
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
            max_queued_bytes: 32 << 20,
            seed,
        }
    }
}
