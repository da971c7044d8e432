//! Counters and sizes of a broker.

/// Current sizes, and counters since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Metrics {
    /// Jobs, including those of which only the token is kept.
    pub jobs: usize,
    /// Watchers of all jobs.
    pub watchers: usize,
    /// The size of all kept events, in bytes.
    pub bytes: usize,
    /// Finished jobs that were dropped early to make room.
    pub evicted: u64,
    /// Events reported to watchers as missed.
    pub missed: u64,
    /// Progress events that were skipped for slow watchers.
    pub coalesced: u64,
}
