//! A slowdown that all jobs share (a busy store, a hot day), tracked within seconds.
//!
//! Observed completions are compared with expected ones. Each running job adds to the expected ones the growth of its
//! cumulative hazard, which over a whole life is 1 in the mean whether or not the end is observed (the martingale of a
//! counting process, Aalen 1978): a job that has not ended yet is accounted for without bias. Where fewer jobs end than
//! expected, the factor rises. Work is measured by a clock that runs slower by that factor, so the work of a job that spans
//! the start of a slowdown is measured correctly.
//!
//! The factor is applied with hysteresis: from three standard errors on, and until it falls below one and a half. Otherwise
//! its noise would enter what is learned, and both could drift apart without bound while their sum stays right.

use crate::{Config, Micros};

/// Largest logarithm of the factor, either way: beyond that something else is wrong.
const MAX_LOG_FACTOR: f64 = 3.0;
/// Variance of the factor's logarithm, times the completions that it rests on.
const NOISE_VARIANCE: f64 = 0.7;
/// The factor is applied once it exceeds so many standard errors.
const APPLY_ABOVE: f64 = 3.0;
/// It is no longer applied once it is below so many standard errors.
const RELEASE_BELOW: f64 = 1.5;

/// The factor by which all jobs are slower at present.
#[derive(Debug)]
pub(crate) struct SharedSlowdown {
    /// Logarithm of the factor by the evidence alone.
    raw: f64,
    /// Whether it exceeds its noise and is applied.
    is_applied: bool,
    /// How much of it has lasted so long that it is learned as the usual speed.
    usual: f64,
    /// Work done since the start by a job at speed 1.
    clocks: WorkClocks,
    advanced_to: Micros,
    /// Recent completions, decayed.
    recent: f64,
    span: f64,
    weight: f64,
    memory: f64,
}

/// The two clocks of work, in microseconds.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct WorkClocks {
    /// Slowed by the whole factor.
    pub work: f64,
    /// Slowed by what has not become the usual speed: the clock for learning.
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

    /// Logarithm of the factor by which all jobs are slower now.
    pub fn log(&self) -> f64 {
        if self.is_applied { self.raw } else { 0.0 }
    }

    /// Moves the clocks on.
    pub fn advance(&mut self, now: Micros) {
        let passed = now.saturating_sub(self.advanced_to) as f64;
        if passed > 0.0 {
            self.advanced_to = now;
            self.clocks.work += passed * (-self.log()).exp();
            self.clocks.learning += passed * (self.usual - self.log()).exp();
            self.recent *= (-passed / self.span).exp();
            if self.is_applied {
                self.usual += (self.raw - self.usual) * (1.0 - (-passed / self.memory).exp());
            } else {
                self.raw *= (-passed / self.span).exp();
            }
        }
    }

    /// Both clocks.
    pub fn clocks(&self) -> WorkClocks {
        self.clocks
    }

    /// The clock of work as it will stand at `now`, if nothing happens until then.
    pub fn work_at(&self, now: Micros) -> f64 {
        self.clocks.work + now.saturating_sub(self.advanced_to) as f64 * (-self.log()).exp()
    }

    /// Updates the factor with the completions that were expected since the last call, and those that happened.
    pub fn update(&mut self, expected: f64, ended: f64) {
        self.recent += ended;
        let rests_on = self.recent + self.weight;
        self.raw = (self.raw + (expected - ended) / rests_on).clamp(-MAX_LOG_FACTOR, MAX_LOG_FACTOR);
        let noise = (NOISE_VARIANCE / rests_on).sqrt();
        if self.raw.abs() > APPLY_ABOVE * noise {
            self.is_applied = true;
        } else if self.is_applied && self.raw.abs() < RELEASE_BELOW * noise {
            self.is_applied = false;
            self.usual = 0.0;
        }
    }
}
