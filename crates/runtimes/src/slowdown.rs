//! A slowdown that all jobs share (a busy store, a hot day), followed within seconds.
//!
//! Completions seen are held against completions expected. Each running job adds to the expected what its cumulative
//! hazard grew by; over a whole life that is 1 in the mean, whether or not its end is seen, so what has not ended yet counts
//! as it should (the martingale of a counting process, Aalen 1978). Where fewer end than expected, the factor rises. Work is
//! measured by a clock that runs slower by that factor, so a job that began before a slowdown and ended in it teaches its
//! true work.

use crate::Config;

/// Below this the factor counts as none: noise of a calm day does not reach the estimates.
const DEAD: f64 = 0.1;
/// The most that the factor may be, either way (logarithm): beyond that something else is wrong.
const MOST: f64 = 3.0;

#[derive(Debug)]
pub(crate) struct Slowdown {
    /// Logarithm of the factor before the dead band.
    raw: f64,
    /// Work done since the start by a job at speed 1 of the fleet's usual, in microseconds.
    clock: f64,
    at: u64,
    /// Completions of late, decayed.
    recent: f64,
    span: f64,
    weight: f64,
    memory: f64,
}

impl Slowdown {
    pub fn new(config: &Config, now: u64) -> Self {
        let (span, memory) = (config.slowdown_span as f64, config.slowdown_memory as f64);
        Slowdown { raw: 0.0, clock: 0.0, at: now, recent: 0.0, span, weight: config.slowdown_weight, memory }
    }

    /// Logarithm of the factor by which all is slower now.
    pub fn log(&self) -> f64 {
        self.raw.signum() * (self.raw.abs() - DEAD).max(0.0)
    }

    /// Moves the clock on.
    pub fn advance(&mut self, now: u64) {
        let passed = now.saturating_sub(self.at) as f64;
        if passed > 0.0 {
            self.at = now;
            self.clock += passed * (-self.log()).exp();
            self.recent *= (-passed / self.span).exp();
            self.raw *= (-passed / self.memory).exp();
        }
    }

    /// Work done at speed 1 since the start.
    pub fn clock(&self) -> f64 {
        self.clock
    }

    /// The clock as it will stand at `now`, if nothing happens until then.
    pub fn clock_at(&self, now: u64) -> f64 {
        self.clock + now.saturating_sub(self.at) as f64 * (-self.log()).exp()
    }

    /// Takes in what was expected to end since the last call, and what did.
    pub fn learn(&mut self, expected: f64, ended: f64) {
        self.recent += ended;
        self.raw = (self.raw + (expected - ended) / (self.recent + self.weight)).clamp(-MOST, MOST);
    }
}
