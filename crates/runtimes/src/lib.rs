//! Estimates of the run times of jobs, learned from similar past jobs and mergeable between dispatchers.
//!
//! A [`RuntimeEstimator`] is notified when attempts start, make progress and end. It estimates how long a job with certain
//! [`JobFeatures`] will occupy a slot at a worker, and how much longer a running job will. It publishes its observations to
//! the other dispatchers as facts ([`RuntimeEstimator::publish`]), and absorbs theirs ([`RuntimeEstimator::absorb`]) in any
//! order and any number of times. It reads no clock. The module [`backfill`] computes reservations of slots, and which jobs
//! may start before them. `docs/design/runtimes.md` compares the alternatives.
//!
//! # Model and statistics
//!
//! The natural logarithm of a run time is a sum of effects and a residual: *work* (class, tenant, subject, attributes), the
//! *slowness* of the worker's kind and of the worker itself, and a *slowdown* that all jobs share at the time.
//!
//! | part | statistics | module |
//! | --- | --- | --- |
//! | effects of tenants, subjects and attributes | partial pooling: empirical Bayes shrinkage, its variance components by the method of moments | `model` |
//! | slowness of kinds | two-way additive model, ridge penalty toward the configured speeds, alternating least squares | `kind_slowness` |
//! | distribution of the residual | Kaplan-Meier estimator over a histogram, shrunk toward the wider group's; Pareto tail | `distribution` |
//! | attempts that did not run to their end | right-censored observations; one expectation-maximisation step for the mean | `estimator`, `running_jobs` |
//! | shared slowdown | observed against expected events (Nelson-Aalen cumulative hazards, martingale residuals), with hysteresis | `shared_slowdown` |
//! | a running job's own progress | inverse-variance weighting of the report and the estimate | `running_jobs` |
//! | decay of old observations | exponential decay by spans of time | `span_clock` |
//! | merging between dispatchers | sufficient statistics in a last-writer-wins map (a state-based CRDT) | `summary`, `received_summaries` |
//!
//! ```
//! use mothproxy_runtimes::{AttemptId, Config, JobFeatures, Outcome, Placement, RuntimeEstimator};
//! use mothproxy_runtimes::{WorkerKey, WorkerKind, stable_hash};
//!
//! let mut estimator = RuntimeEstimator::new(Config::new(0, 1_790_000_000_000), 0)?;
//! let features = JobFeatures::from_class(stable_hash(b"redeem"));
//! let placement = Placement { kind: WorkerKind(1), worker: WorkerKey::from_name("worker-1") };
//! for number in 0..200 {
//!     let (attempt, now) = (AttemptId(number), number * 100_000);
//!     estimator.on_started(now, attempt, &features, placement);
//!     estimator.on_ended(now + 40_000, attempt, Outcome::Done);
//! }
//! estimator.advance(25_000_000);
//! let estimate = estimator.estimate(&features, placement.kind, Some(placement.worker));
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
mod ids;
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

pub use config::{Config, ConfigError, KindSpeed};
pub use encoding::AbsorbError;
pub use estimator::RuntimeEstimator;
pub use features::{ATTRIBUTES, JobFeatures, stable_hash};
pub use ids::{AttemptId, Placement, WorkerKey, WorkerKind};
pub use metrics::Metrics;

/// The kind of this crate's facts (`docs/design/parts.md`).
pub const KIND: u8 = 2;

/// A point in time of the caller's monotonic clock, or a span, in microseconds.
pub type Micros = u64;

/// The process that published a fact.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Origin {
    /// The member's place among the peers.
    pub place: u16,
    /// The epoch of the process in the membership.
    pub epoch: u64,
}

/// An estimate of a span of time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Estimate {
    /// The median, in microseconds.
    pub typical: Micros,
    /// The quantile [`Config::long_quantile`], in microseconds.
    pub long: Micros,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The attempt ran to its end.
    Done,
    /// The attempt timed out, was cancelled or was lost: its run time is longer than the observed time (right-censored).
    Censored,
}
