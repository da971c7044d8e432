//! Estimates of how long a job will run, learned from similar past jobs and mergeable between dispatchers; without a clock.
//!
//! A [`RuntimeEstimator`] is notified when jobs start, how far they are and how they end. It estimates how long a job with
//! some [`JobFeatures`] occupies a slot at a worker, and how long a running one still will. It publishes what it observed to
//! the other dispatchers as facts ([`RuntimeEstimator::publish`]) and absorbs theirs ([`RuntimeEstimator::absorb`]) in any
//! order, any number of times. [`backfill`] is the arithmetic of fitting jobs into gaps. How it works:
//! `docs/design/runtimes.md`.
//!
//! ```
//! use mothproxy_runtimes::{Config, JobFeatures, Outcome, RuntimeEstimator, stable_hash};
//!
//! let mut estimator = RuntimeEstimator::new(Config::new(0, 1_790_000_000_000), 0)?;
//! let features = JobFeatures::from_class(stable_hash(b"redeem"));
//! let (kind, worker) = (1, stable_hash(b"worker-1"));
//! for job in 0..200 {
//!     let now = job * 100_000;
//!     estimator.on_started(job, &features, kind, worker, now);
//!     estimator.on_ended(job, Outcome::Done, now + 40_000);
//! }
//! estimator.advance(25_000_000);
//! let estimate = estimator.estimate(&features, kind, Some(worker));
//! assert!((30_000..50_000).contains(&estimate.typical));
//! # Ok::<(), mothproxy_runtimes::ConfigError>(())
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod backfill;
mod cell_sum;
mod config;
mod distribution;
mod encoding;
mod estimator;
mod features;
mod kind_slowness;
mod log_time;
mod metrics;
mod model;
mod own_summaries;
mod publish_pacer;
mod received_summaries;
mod running_jobs;
mod shared_slowdown;
mod span_clock;
mod summary;

pub use config::{Config, ConfigError};
pub use encoding::AbsorbError;
pub use estimator::RuntimeEstimator;
pub use features::{ATTRIBUTES, JobFeatures, stable_hash};
pub use metrics::Metrics;

/// The kind of this crate's facts (`docs/design/parts.md`).
pub const KIND: u8 = 2;

/// Where a fact comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Origin {
    /// The member's place among the peers.
    pub place: u16,
    /// The start of the member that published the fact, as membership counts.
    pub epoch: u64,
}

/// How long something takes, µs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Estimate {
    /// The median.
    pub typical: u64,
    /// The quantile [`Config::long_quantile`].
    pub long: u64,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It ran to its end.
    Done,
    /// Timed out, cancelled or lost: it would have run longer than it was seen to.
    Censored,
}
