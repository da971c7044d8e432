//! Time as the ledger counts it: buckets and sub-steps of Unix time. It moves only when the caller says so.

use crate::Config;
use crate::decay::SUB_STEPS;

/// The ledger's present and the horizon behind it.
#[derive(Clone, Debug)]
pub(crate) struct Clock {
    bucket_width: u64,
    wall_at_zero: u64,
    horizon: u64,
    now: u64,
    step: u64,
}

impl Clock {
    pub fn new(config: &Config, now: u64) -> Clock {
        let mut clock = Clock {
            bucket_width: config.bucket,
            wall_at_zero: config.wall_at_zero,
            horizon: config.horizon.into(),
            now,
            step: 0,
        };
        clock.step = clock.step_at(now);
        clock
    }

    /// Moves on to `now`, never back. Returns whether another bucket has begun.
    pub fn advance(&mut self, now: u64) -> bool {
        let before = self.bucket();
        self.now = self.now.max(now);
        self.step = self.step.max(self.step_at(self.now));
        self.bucket() != before
    }

    /// The caller's time, in microseconds.
    pub fn now(&self) -> u64 {
        self.now
    }

    /// The present sub-step since the Unix epoch.
    pub fn step(&self) -> u64 {
        self.step
    }

    /// The present bucket.
    pub fn bucket(&self) -> u64 {
        self.step / SUB_STEPS
    }

    /// The oldest bucket that counts.
    pub fn oldest_bucket(&self) -> u64 {
        (self.bucket() + 1).saturating_sub(self.horizon)
    }

    /// The sub-step of a moment of the caller's time.
    pub fn step_at(&self, at: u64) -> u64 {
        self.sub_steps(u128::from(self.wall_at_zero) + u128::from(at))
    }

    /// A span, or a Unix time, of so many microseconds in sub-steps.
    pub fn sub_steps(&self, micros: u128) -> u64 {
        (micros * u128::from(SUB_STEPS) / u128::from(self.bucket_width)) as u64
    }

    /// A span of sub-steps in microseconds.
    pub fn micros(&self, sub_steps: u64) -> u64 {
        sub_steps * self.bucket_width / SUB_STEPS
    }
}
