//! A running mean that follows changes of the observed value.

use serde::{Deserialize, Serialize};

/// A running mean. The newest observation has a weight of at least `1 / MAX_COUNT`, so that the mean follows changes.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub(crate) struct Mean {
    pub value: f64,
    /// The number of observations, counted up to [`Mean::MAX_COUNT`].
    pub count: f64,
}

impl Mean {
    /// The number of observations above which the weight of a new one no longer falls.
    const MAX_COUNT: f64 = 40.0;

    /// Adds an observation.
    pub fn add(&mut self, observation: f64) {
        self.count = (self.count + 1.0).min(Self::MAX_COUNT);
        self.value += (observation - self.value) / self.count;
    }

    /// The mean, or `default` if there is no observation yet.
    pub fn value_or(&self, default: f64) -> f64 {
        if self.count > 0.0 { self.value } else { default }
    }

    /// The mean, blended with `weight` additional observations that all have the value `prior`.
    pub fn blend(&self, prior: f64, weight: f64) -> f64 {
        (self.value * self.count + prior * weight) / (self.count + weight)
    }
}
