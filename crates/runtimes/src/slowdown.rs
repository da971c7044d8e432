//! A slowdown that all jobs share (a busy store, a hot day), followed within seconds.
//!
//! Completions seen are held against completions expected. Each running job adds to the expected what its cumulative
//! hazard grew by; over a whole life that is 1 in the mean, whether or not its end is seen, so what has not ended yet counts
//! as it should (the martingale of a counting process, Aalen 1978). Where fewer end than expected, the factor rises. Work is
//! measured by a clock that runs slower by that factor, so a job that began before a slowdown and ended in it teaches its
//! true work.

//!
//! Small or brief differences are not followed: below three standard errors, the factor counts as none. Otherwise the noise
//! of the factor would go into what is learned, and both could drift apart for ever without their sum being wrong.

use crate::Config;

/// The most that the factor may be, either way (logarithm): beyond that something else is wrong.
const MOST: f64 = 3.0;
/// Variance of the factor's logarithm is this part of the completions that it rests on.
const NOISE: f64 = 0.7;

#[derive(Debug)]
pub(crate) struct Slowdown {
    /// Logarithm of the factor as the evidence has it.
    raw: f64,
    /// Whether it is beyond its noise, and followed.
    followed: bool,
    /// What part of it has lasted so long that it is learned as the usual.
    usual: f64,
    /// Work done since the start by a job at speed 1: as it is, and as it counts for learning, µs.
    clocks: Clocks,
    at: u64,
    /// Completions of late, decayed.
    recent: f64,
    span: f64,
    weight: f64,
    memory: f64,
}

/// The two clocks of work.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Clocks {
    /// Follows the whole of the factor.
    pub work: f64,
    /// Follows what has not become usual.
    pub learning: f64,
}

impl Slowdown {
    pub fn new(config: &Config, now: u64) -> Self {
        Slowdown {
            raw: 0.0,
            followed: false,
            usual: 0.0,
            clocks: Clocks::default(),
            at: now,
            recent: 0.0,
            span: config.slowdown_span as f64,
            weight: config.slowdown_weight,
            memory: config.slowdown_memory as f64,
        }
    }

    /// Logarithm of the factor by which all is slower now.
    pub fn log(&self) -> f64 {
        if self.followed { self.raw } else { 0.0 }
    }

    /// Moves the clocks on.
    pub fn advance(&mut self, now: u64) {
        let passed = now.saturating_sub(self.at) as f64;
        if passed > 0.0 {
            self.at = now;
            self.clocks.work += passed * (-self.log()).exp();
            self.clocks.learning += passed * (self.usual - self.log()).exp();
            self.recent *= (-passed / self.span).exp();
            if self.followed {
                self.usual += (self.raw - self.usual) * (1.0 - (-passed / self.memory).exp());
            } else {
                self.raw *= (-passed / self.span).exp();
            }
        }
    }

    pub fn clocks(&self) -> Clocks {
        self.clocks
    }

    /// The clock of work as it will stand at `now`, if nothing happens until then.
    pub fn work_at(&self, now: u64) -> f64 {
        self.clocks.work + now.saturating_sub(self.at) as f64 * (-self.log()).exp()
    }

    /// Takes in what was expected to end since the last call, and what did.
    pub fn learn(&mut self, expected: f64, ended: f64) {
        self.recent += ended;
        let rests_on = self.recent + self.weight;
        self.raw = (self.raw + (expected - ended) / rests_on).clamp(-MOST, MOST);
        let noise = (NOISE / rests_on).sqrt();
        if self.raw.abs() > 3.0 * noise {
            self.followed = true;
        } else if self.followed && self.raw.abs() < 1.5 * noise {
            (self.followed, self.usual) = (false, 0.0);
        }
    }
}
