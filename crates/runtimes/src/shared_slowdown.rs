//! A slowdown that all jobs share, for example because of an overloaded store or a hot machine room. Estimates follow it
//! within seconds.
//!
//! The number of observed completions is compared with the expected number. Each running job adds the growth of its
//! cumulative hazard to the expected number. Over a whole run time that is 1 on average, whether or not the end is observed
//! (the martingale of a counting process, Aalen 1978), so jobs that have not ended yet cause no bias. If fewer jobs end than
//! expected, the factor rises. Work is measured by a clock that runs slower by that factor, so the work of a job that spans
//! the start of a slowdown is measured correctly.
//!
//! The factor is applied with hysteresis: once it exceeds three standard errors, and until it falls below one and a half.
//! Otherwise its noise would enter the learned model, and the factor and the model could drift apart without bound while
//! their sum stays correct.

use crate::{Config, Micros};

/// The maximum absolute logarithm of the factor. A greater slowdown is assumed to have another cause.
const MAX_LOG_FACTOR: f64 = 3.0;
/// The variance of the factor's logarithm, times the number of completions that it is based on.
const NOISE_VARIANCE: f64 = 0.7;
/// The number of standard errors above which the factor is applied.
const APPLY_ABOVE: f64 = 3.0;
/// The number of standard errors below which the factor is no longer applied.
const RELEASE_BELOW: f64 = 1.5;

/// The factor by which all jobs are slower at present.
#[derive(Debug)]
pub(crate) struct SharedSlowdown {
    /// The logarithm of the factor according to the observed completions, whether or not it is applied.
    raw: f64,
    /// Whether the factor exceeds its noise and is applied.
    is_applied: bool,
    /// The part of the factor's logarithm that has lasted long enough to be learned as the usual speed.
    usual: f64,
    /// The work that a job at speed 1 would have done since the start.
    clocks: WorkClocks,
    advanced_to: Micros,
    /// The number of recent completions, decayed.
    recent: f64,
    /// See [`Config::slowdown_span`].
    span: f64,
    /// See [`Config::slowdown_weight`].
    weight: f64,
    /// See [`Config::slowdown_memory`].
    memory: f64,
}

/// The two clocks of work, in microseconds.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct WorkClocks {
    /// The clock that is slowed down by the whole factor.
    pub work: f64,
    /// The clock that is slowed down only by the part of the factor that has not become the usual speed; used for learning.
    pub learning: f64,
}

impl SharedSlowdown {
    pub fn new(config: &Config, now: Micros) -> Self {
        SharedSlowdown {
            raw: 0.0,
            is_applied: false,
            usual: 0.0,
            clocks: WorkClocks::default(),
            advanced_to: now,
            recent: 0.0,
            span: config.slowdown_span as f64,
            weight: config.slowdown_weight,
            memory: config.slowdown_memory as f64,
        }
    }

    /// The logarithm of the factor by which all jobs are slower at present.
    pub fn log(&self) -> f64 {
        if self.is_applied { self.raw } else { 0.0 }
    }

    /// Advances the clocks to `now`.
    pub fn advance(&mut self, now: Micros) {
        let elapsed = now.saturating_sub(self.advanced_to) as f64;
        if elapsed > 0.0 {
            self.advanced_to = now;
            self.clocks.work += elapsed * (-self.log()).exp();
            self.clocks.learning += elapsed * (self.usual - self.log()).exp();
            self.recent *= (-elapsed / self.span).exp();
            if self.is_applied {
                self.usual += (self.raw - self.usual) * (1.0 - (-elapsed / self.memory).exp());
            } else {
                self.raw *= (-elapsed / self.span).exp();
            }
        }
    }

    /// The readings of both clocks at the time of the last [`SharedSlowdown::advance`].
    pub fn clocks(&self) -> WorkClocks {
        self.clocks
    }

    /// The reading of the work clock at `now`, if the factor does not change until then.
    pub fn work_at(&self, now: Micros) -> f64 {
        self.clocks.work + now.saturating_sub(self.advanced_to) as f64 * (-self.log()).exp()
    }

    /// Updates the factor by the numbers of expected and of observed completions since the last call.
    pub fn update(&mut self, expected: f64, observed: f64) {
        self.recent += observed;
        let completions = self.recent + self.weight;
        self.raw = (self.raw + (expected - observed) / completions).clamp(-MAX_LOG_FACTOR, MAX_LOG_FACTOR);
        let standard_error = (NOISE_VARIANCE / completions).sqrt();
        if self.raw.abs() > APPLY_ABOVE * standard_error {
            self.is_applied = true;
        } else if self.is_applied && self.raw.abs() < RELEASE_BELOW * standard_error {
            self.is_applied = false;
            self.usual = 0.0;
        }
    }
}
