//! Settings of an estimator, and the check they pass before it is built.

use crate::{Micros, WorkerKind};

/// Latest epoch: a Unix time in milliseconds far ahead.
const MAX_EPOCH: u64 = 1 << 44;

/// The speed of a kind of worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct KindSpeed {
    /// The kind.
    pub kind: WorkerKind,
    /// Work per time; the fleet's usual speed is 1.
    pub speed: f64,
}

/// Settings of an estimator.
#[derive(Clone, Debug)]
pub struct Config {
    /// This dispatcher's place among the peers.
    pub place: u16,
    /// Unix time at its start, in milliseconds; it names this run in the facts, and dates its spans.
    pub epoch: u64,
    /// The quantile of [`crate::Estimate::long`]; 0.9 by default, from 0.5 to 0.99.
    pub long_quantile: f64,
    /// An estimate before anything was seen; 250 ms.
    pub prior_runtime: Micros,
    /// Standard deviation of the logarithm of run times before anything was seen; 1.
    pub prior_deviation: f64,
    /// Known speeds of kinds of workers: they fix what a speed of 1 is. Those of other kinds are learned.
    pub speeds: Vec<KindSpeed>,
    /// Observations are summed up and published by spans of this length; 10 minutes.
    pub span: Micros,
    /// Observations weigh half after this long; 20 minutes. They are dropped after six times that.
    pub half_life: Micros,
    /// Most summaries of its own that are kept; 2,048.
    pub max_own_summaries: usize,
    /// Most slots of the carrier in which it publishes them; 1,024.
    pub slots: u32,
    /// Most summaries of others that are kept; 8,192.
    pub max_received_summaries: usize,
    /// Most jobs that are tracked at a time; 16,384. Nothing is learned from others.
    pub max_running_jobs: usize,
    /// Most facts published per second; 4.
    pub facts_per_s: f64,
    /// A shared slowdown is tracked over this span; 2 s.
    pub slowdown_span: Micros,
    /// Completions against which the evidence of a slowdown is weighed; 20.
    pub slowdown_weight: f64,
    /// A slowdown that lasts becomes the usual speed over this span; 5 minutes.
    pub slowdown_memory: Micros,
    /// A seeded fault, which the tests must catch: censored observations are taken for complete ones.
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

    /// Checks every setting.
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
    /// The conservative quantile is out of range.
    #[error("the conservative quantile must be from 0.5 to 0.99, not {0}")]
    Quantile(f64),
    /// A factor, weight or rate is not above 0.
    #[error("speeds, spreads, weights and rates must be above 0")]
    Positive,
    /// A span or bound is 0.
    #[error("spans and bounds must be above 0")]
    Zero,
    /// The epoch is no Unix time in milliseconds.
    #[error("the epoch is in milliseconds of Unix time")]
    Epoch,
}
