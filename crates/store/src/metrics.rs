//! Counters of a store.

/// Counters since the store was opened.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Metrics {
    /// Batches acknowledged.
    pub batches: u64,
    /// Operations in the acknowledged batches.
    pub operations: u64,
    /// Groups of batches written together.
    pub groups: u64,
    /// Calls of `fdatasync` on segments.
    pub syncs: u64,
    /// Groups that failed.
    pub failures: u64,
    /// Compactions that took effect.
    pub compactions: u64,
    /// Bytes written, compactions included.
    pub bytes_written: u64,
}
