//! Settings of a store.

use std::collections::hash_map::RandomState;
use std::hash::{BuildHasher, Hasher};
use std::time::Duration;

/// When writes become durable.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SyncMode {
    /// Before they are acknowledged. A power cut costs nothing that was acknowledged.
    #[default]
    Always,
    /// At most so long after they are acknowledged. A power cut may cost the newest writes of that span; the end of a process
    /// costs nothing.
    Interval(Duration),
    /// When a segment is closed. A power cut may cost a whole segment of the newest writes; the end of a process nothing.
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
