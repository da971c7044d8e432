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
mod merged_file;
mod metrics;
mod options;
mod plan;
mod random;
mod recovery;
mod scan;
mod segment_loader;
mod segment_usage;
mod shared_view;
pub mod sim;
mod snapshot;
mod store;
mod verify;
mod waiting_thread;
mod write_queue;
mod writer;

pub use batch::Batch;
pub use clock::UnixMillis;
pub use compaction::{Compaction, DamagedRecords, MergedSegment};
pub use error::{BatchError, StoreError};
pub use format::{Operation, VERSION, fingerprint};
pub use index::View;
pub use metrics::Metrics;
pub use options::{Options, SyncMode};
pub use recovery::{Damage, Recovery};
pub use shared_view::{SharedView, view_of};
pub use snapshot::{Iter, OpenedReader, Snapshot, Stat, open_reader};
pub use store::Store;
pub use verify::{Verification, verify};
pub use write_queue::{Callback, WriteResult};
pub use writer::{OpenedWriter, Writer, open as open_writer};

/// Longest key, in bytes.
pub const MAX_KEY: usize = 4096;
/// Longest value, in bytes.
pub const MAX_VALUE: usize = 8 << 20;
/// Largest batch, in bytes of keys and values, with 25 for each operation.
pub const MAX_BATCH: usize = 16 << 20;
