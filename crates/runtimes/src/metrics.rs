//! Counters and sizes of an estimator.

/// Counters since the start, and current sizes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Metrics {
    /// Attempts that ended at this dispatcher.
    pub seen: u64,
    /// Attempts that ended and were censored, which `seen` includes.
    pub censored: u64,
    /// Facts published.
    pub published: u64,
    /// Bytes of the published facts.
    pub published_bytes: u64,
    /// Facts of other dispatchers that changed the state.
    pub absorbed: u64,
    /// Facts that changed nothing: repeated, older or own ones, and those of expired spans.
    pub stale: u64,
    /// Facts refused with an [`AbsorbError`](crate::AbsorbError).
    pub refused: u64,
    /// Own and received summaries, and running jobs, that were dropped because a bound was reached.
    pub dropped: u64,
    /// Cells known after the last fit.
    pub cells: usize,
    /// Summaries held, both own and received.
    pub summaries: usize,
    /// Running jobs tracked at present.
    pub running: usize,
    /// The factor by which all jobs are slower at present.
    pub slowdown: f64,
    /// The approximate memory of the estimator, in bytes.
    pub bytes: usize,
}
