//! The ledger's time, which the caller advances, in buckets and sub-steps of Unix time.

use crate::{Config, Micros};
use serde::{Deserialize, Serialize};

/// The number of sub-steps of a bucket; a sub-step is the resolution of the current time.
pub(crate) const SUB_STEPS: u64 = 16;

/// A bucket of time, counted from the Unix epoch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct Bucket(pub u64);

impl Bucket {
    /// The first sub-step of the bucket.
    pub fn start(self) -> Step {
        Step(self.0 * SUB_STEPS)
    }

    /// The bucket that is this many buckets later.
    pub fn plus(self, buckets: u64) -> Bucket {
        Bucket(self.0 + buckets)
    }

    /// The bucket that is this many buckets earlier, but not before the Unix epoch.
    pub fn minus(self, buckets: u64) -> Bucket {
        Bucket(self.0.saturating_sub(buckets))
    }

    /// The number of buckets since `earlier`; 0 if that is later.
    pub fn since(self, earlier: Bucket) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

/// A point in time: a sub-step of a bucket, counted from the Unix epoch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct Step(pub u64);

impl Step {
    /// The bucket that contains the sub-step.
    pub fn bucket(self) -> Bucket {
        Bucket(self.0 / SUB_STEPS)
    }

    /// The point in time that is this many sub-steps later.
    pub fn plus(self, sub_steps: u64) -> Step {
        Step(self.0 + sub_steps)
    }

    /// The number of sub-steps since `earlier`; 0 if that is later.
    pub fn since(self, earlier: Step) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

/// The ledger's current time, and its horizon.
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

    /// Advances to `now`; an earlier time is ignored. Returns whether a new bucket has begun.
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

    /// The current sub-step.
    pub fn step(&self) -> Step {
        self.step
    }

    /// The current bucket.
    pub fn bucket(&self) -> Bucket {
        self.step.bucket()
    }

    /// The oldest bucket within the horizon.
    pub fn oldest_bucket(&self) -> Bucket {
        self.bucket().plus(1).minus(self.horizon)
    }

    /// The sub-step of a point in the caller's time.
    pub fn step_at(&self, at: Micros) -> Step {
        self.step_of_unix(u128::from(self.unix_at_zero) + u128::from(at))
    }

    /// The sub-step of a Unix time in microseconds.
    pub fn step_of_unix(&self, micros: u128) -> Step {
        Step(self.sub_steps(micros))
    }

    /// Converts a span from microseconds to sub-steps.
    pub fn sub_steps(&self, micros: u128) -> u64 {
        (micros * u128::from(SUB_STEPS) / u128::from(self.bucket_width)) as u64
    }

    /// Converts a span from sub-steps to microseconds.
    pub fn micros(&self, sub_steps: u64) -> Micros {
        sub_steps * self.bucket_width / SUB_STEPS
    }
}
