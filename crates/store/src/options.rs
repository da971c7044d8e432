//! Settings of a store.

use std::collections::hash_map::RandomState;
use std::hash::{BuildHasher, Hasher};
use std::time::Duration;

/// When writes become durable.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SyncMode {
    /// Writes are durable before they are acknowledged. A power cut loses no acknowledged write.
    #[default]
    Always,
    /// Writes become durable at most this long after they are acknowledged. A power cut may lose the newest writes of that
    /// time. If only the process ends, no write is lost.
    Interval(Duration),
    /// Writes become durable when their segment is sealed. A power cut may lose the newest writes, up to a whole segment. If
    /// only the process ends, no write is lost.
    Never,
}

/// Settings of a store.
///
/// ```
/// use mothproxy_store::{Options, SyncMode};
/// use std::time::Duration;
///
/// let options = Options { sync: SyncMode::Interval(Duration::from_millis(20)), ..Options::default() };
/// assert!(options.compacts);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// The approximate size at which a segment is sealed, in bytes.
    pub segment_bytes: u32,
    /// When writes become durable.
    pub sync: SyncMode,
    /// Whether segments are compacted in the background.
    pub compacts: bool,
    /// The maximum size of the queue of batches, in bytes. Batches beyond it are refused.
    pub max_queued_bytes: usize,
    /// The seed of the salts: random by default, fixed in tests so that every run writes the same files.
    pub seed: u64,
}

impl Default for Options {
    fn default() -> Options {
        // The standard library's hash keys are random in each process.
        let seed = RandomState::new().build_hasher().finish();
        Options {
            segment_bytes: 4 << 20,
            sync: SyncMode::Always,
            compacts: true,
            max_queued_bytes: 32 << 20,
            seed,
        }
    }
}
