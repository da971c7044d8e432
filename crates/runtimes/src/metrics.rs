//! Counters and sizes of an estimator.

/// Counters since the start, and present sizes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Metrics {
    /// Jobs that ended, as seen here.
    pub seen: u64,
    /// Of these, censored.
    pub censored: u64,
    /// Facts published.
    pub published: u64,
    /// Bytes of these.
    pub published_bytes: u64,
    /// Facts of others that changed the state.
    pub absorbed: u64,
    /// Facts that changed nothing: repeats, older ones, one's own, expired spans.
    pub stale: u64,
    /// Facts refused as unreadable or impossible.
    pub refused: u64,
    /// Own and received summaries, and running jobs, for which there was no room.
    pub dropped: u64,
    /// Cells known after the last fit.
    pub cells: usize,
    /// Summaries kept, own and received.
    pub summaries: usize,
    /// Jobs tracked now.
    pub running: usize,
    /// The factor by which all jobs are slower now.
    pub slowdown: f64,
    /// Memory, approximately, in bytes.
    pub bytes: usize,
}
