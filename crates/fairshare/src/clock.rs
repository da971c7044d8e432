//! Time as the ledger counts it: buckets and sub-steps of Unix time. It moves only when the caller says so.

use crate::{Config, Micros};
use serde::{Deserialize, Serialize};

/// Sub-steps of a bucket: the resolution of the present.
pub(crate) const SUB_STEPS: u64 = 16;

/// A bucket of time, counted from the Unix epoch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct Bucket(pub u64);

impl Bucket {
    /// The sub-step at which it begins.
    pub fn start(self) -> Step {
        Step(self.0 * SUB_STEPS)
    }

    /// So many buckets later.
    pub fn plus(self, buckets: u64) -> Bucket {
        Bucket(self.0 + buckets)
    }

    /// So many buckets earlier, the epoch's first one at the earliest.
    pub fn minus(self, buckets: u64) -> Bucket {
        Bucket(self.0.saturating_sub(buckets))
    }

    /// Buckets since an earlier one, 0 where that is later.
    pub fn since(self, earlier: Bucket) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

/// A moment: a sub-step of a bucket, counted from the Unix epoch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct Step(pub u64);

impl Step {
    /// The bucket that it is in.
    pub fn bucket(self) -> Bucket {
        Bucket(self.0 / SUB_STEPS)
    }

    /// So many sub-steps later.
    pub fn plus(self, sub_steps: u64) -> Step {
        Step(self.0 + sub_steps)
    }

    /// Sub-steps since an earlier moment, 0 where that is later.
    pub fn since(self, earlier: Step) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

/// The ledger's present and the horizon behind it.
#[derive(Clone, Debug)]
pub(crate) struct Clock {
    bucket_width: Micros,
    unix_at_zero: Micros,
    horizon: u64,
    now: Micros,
    step: Step,
}

impl Clock {
    pub fn new(config: &Config, now: Micros) -> Clock {
        let mut clock = Clock {
            bucket_width: config.bucket_width,
            unix_at_zero: config.unix_at_zero,
            horizon: config.horizon.into(),
            now,
            step: Step(0),
        };
        clock.step = clock.step_at(now);
        clock
    }

    /// Moves on to `now`, never back. Returns whether another bucket has begun.
    pub fn advance(&mut self, now: Micros) -> bool {
        let before = self.bucket();
        self.now = self.now.max(now);
        self.step = self.step.max(self.step_at(self.now));
        self.bucket() != before
    }

    /// The caller's time, in microseconds.
    pub fn now(&self) -> Micros {
        self.now
    }

    /// The present sub-step since the Unix epoch.
    pub fn step(&self) -> Step {
        self.step
    }

    /// The present bucket.
    pub fn bucket(&self) -> Bucket {
        self.step.bucket()
    }

    /// The oldest bucket that counts.
    pub fn oldest_bucket(&self) -> Bucket {
        self.bucket().plus(1).minus(self.horizon)
    }

    /// The sub-step of a moment of the caller's time.
    pub fn step_at(&self, at: Micros) -> Step {
        self.step_of_unix(u128::from(self.unix_at_zero) + u128::from(at))
    }

    /// The sub-step of a Unix time in microseconds.
    pub fn step_of_unix(&self, micros: u128) -> Step {
        Step(self.sub_steps(micros))
    }

    /// A span of so many microseconds in sub-steps.
    pub fn sub_steps(&self, micros: u128) -> u64 {
        (micros * u128::from(SUB_STEPS) / u128::from(self.bucket_width)) as u64
    }

    /// A span of sub-steps in microseconds.
    pub fn micros(&self, sub_steps: u64) -> Micros {
        sub_steps * self.bucket_width / SUB_STEPS
    }
}
