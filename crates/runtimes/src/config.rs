//! Settings of an estimator, and their validation.

use crate::{Micros, WorkerKind};

/// The maximum epoch: a Unix time in milliseconds far in the future.
const MAX_EPOCH: u64 = 1 << 44;

/// The speed of a kind of worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct KindSpeed {
    /// The kind of worker.
    pub kind: WorkerKind,
    /// The speed relative to the usual speed of the fleet, which is 1.
    pub speed: f64,
}

/// Settings of an estimator.
#[derive(Clone, Debug)]
pub struct Config {
    /// This dispatcher's place among the peers.
    pub place: u16,
    /// The start of the process, in milliseconds of Unix time. It identifies this run in the facts, and dates its spans.
    pub epoch: u64,
    /// The quantile of [`crate::Estimate::long`], from 0.5 to 0.99; 0.9 by default.
    pub long_quantile: f64,
    /// The median run time that is assumed before any observation; 250 ms by default.
    pub prior_runtime: Micros,
    /// The standard deviation of the logarithm of run times that is assumed before any observation; 1 by default.
    pub prior_deviation: f64,
    /// The known speeds of kinds of workers, which define a speed of 1. Speeds of other kinds are learned.
    pub speeds: Vec<KindSpeed>,
    /// The length of the spans by which observations are summed up and published; 10 minutes by default.
    pub span: Micros,
    /// The half-life of observations; 20 minutes by default. Observations are dropped after six half-lives.
    pub half_life: Micros,
    /// The maximum number of own summaries; 2,048 by default.
    pub max_own_summaries: usize,
    /// The number of fact slots in which own summaries are published; 1,024 by default.
    pub slots: u32,
    /// The maximum number of summaries of other dispatchers; 8,192 by default.
    pub max_received_summaries: usize,
    /// The maximum number of jobs tracked at a time; 16,384 by default. Further jobs are ignored.
    pub max_running_jobs: usize,
    /// The maximum rate of published facts, per second; 4 by default.
    pub facts_per_s: f64,
    /// The span over which a shared slowdown is tracked; 2 s by default.
    pub slowdown_span: Micros,
    /// The weight of the assumption that there is no slowdown, in completions; 20 by default.
    pub slowdown_weight: f64,
    /// The span over which a lasting slowdown becomes the usual speed; 5 minutes by default.
    pub slowdown_memory: Micros,
    /// A fault to inject, which the tests must detect: censored observations count as complete ones.
    #[doc(hidden)]
    pub censored_as_short: bool,
}

impl Config {
    /// The defaults for a dispatcher at `place` that started at `epoch`, a Unix time in milliseconds.
    pub fn new(place: u16, epoch: u64) -> Self {
        Config {
            place,
            epoch,
            long_quantile: 0.9,
            prior_runtime: 250_000,
            prior_deviation: 1.0,
            speeds: Vec::new(),
            span: 600_000_000,
            half_life: 1_200_000_000,
            max_own_summaries: 2_048,
            slots: 1_024,
            max_received_summaries: 8_192,
            max_running_jobs: 16_384,
            facts_per_s: 4.0,
            slowdown_span: 2_000_000,
            slowdown_weight: 20.0,
            slowdown_memory: 300_000_000,
            censored_as_short: false,
        }
    }

    /// Checks all settings.
    pub(crate) fn validate(&self) -> Result<(), ConfigError> {
        let factors = [self.prior_deviation, self.facts_per_s, self.slowdown_weight];
        let speeds = self.speeds.iter().map(|known| known.speed);
        let is_positive = |factor: f64| factor.is_finite() && factor > 0.0;
        let spans = [self.prior_runtime, self.span, self.half_life, self.slowdown_span, self.slowdown_memory];
        let bounds =
            [self.max_own_summaries, self.max_received_summaries, self.max_running_jobs, self.slots as usize];
        if !(0.5..=0.99).contains(&self.long_quantile) {
            Err(ConfigError::Quantile(self.long_quantile))
        } else if !factors.into_iter().chain(speeds).all(is_positive) {
            Err(ConfigError::Positive)
        } else if spans.contains(&0) || bounds.contains(&0) {
            Err(ConfigError::Zero)
        } else if self.epoch > MAX_EPOCH {
            Err(ConfigError::Epoch)
        } else {
            Ok(())
        }
    }
}

/// Why a configuration was refused.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
pub enum ConfigError {
    /// The conservative quantile is out of range. Holds its value.
    #[error("the conservative quantile must be from 0.5 to 0.99, not {0}")]
    Quantile(f64),
    /// A speed, deviation, weight or rate is not finite or not above 0.
    #[error("speeds, deviations, weights and rates must be finite and above 0")]
    Positive,
    /// A span or bound is 0.
    #[error("spans and bounds must be above 0")]
    Zero,
    /// The epoch is too large for a Unix time in milliseconds.
    #[error("the epoch must be a Unix time in milliseconds of at most {MAX_EPOCH}")]
    Epoch,
}
