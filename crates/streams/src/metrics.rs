//! Counters and sizes of a broker.

/// Present sizes, and counters since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Metrics {
    /// Jobs that are known.
    pub jobs: usize,
    /// Watchers of all jobs.
    pub watchers: usize,
    /// Bytes that all events take.
    pub bytes: usize,
    /// Jobs forgotten before their time to make room.
    pub evicted: u64,
    /// Events that watchers were notified to have missed.
    pub missed: u64,
    /// Progress events that were skipped for slow watchers.
    pub coalesced: u64,
}
