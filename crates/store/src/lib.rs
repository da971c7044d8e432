//! An embedded, ordered key-value store in one directory.
//!
//! The store is log-structured: a segmented log on disk, and sorted runs of keys in memory. It has atomic batches,
//! tombstones, time to live, snapshots, compaction and recovery. It does not interpret keys and values.
//!
//! Durability depends on the [`SyncMode`]. A batch for which [`Store::write`] returned `Ok` is complete after a crash. A
//! batch for which it returned an error never takes effect once a later write has succeeded. docs/design/store.md describes
//! the format and the alternatives considered.
//!
//! ```
//! use mothproxy_store::sim::SimDisk;
//! use mothproxy_store::{Batch, Options, Store};
//! use std::sync::Arc;
//!
//! let disk = SimDisk::new(1);
//! let (store, _) = Store::open_on(Arc::new(disk.clone()), Options::default())?;
//! store.write(Batch::new().put("key", "value"))?;
//! // An acknowledged write survives a power cut.
//! let (recovered, _) = Store::open_on(Arc::new(disk.reboot(2)), Options::default())?;
//! assert_eq!(recovered.get(b"key")?, Some(b"value".to_vec()));
//! # Ok::<(), mothproxy_store::StoreError>(())
//! ```
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
pub use snapshot::{Entries, Entry, Iter, OpenedReader, Snapshot, Stat, open_reader};
pub use store::Store;
pub use verify::{Verification, verify};
pub use write_queue::{Callback, WriteResult};
pub use writer::{OpenedWriter, Writer, open as open_writer};

/// The maximum length of a key, in bytes.
pub const MAX_KEY: usize = 4096;
/// The maximum length of a value, in bytes.
pub const MAX_VALUE: usize = 8 << 20;
/// The maximum size of a batch: the bytes of its keys and values, plus 25 for each operation.
pub const MAX_BATCH: usize = 16 << 20;
