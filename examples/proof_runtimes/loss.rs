//! The accuracy of estimates: losses compared with the true run times and distributions, and the class mean as the baseline.

use crate::QUANTILES;
use crate::fleet::Job;
use serde_json::{Value, json};

/// Rounds to three decimals.
pub fn round_to_thousandths(value: f64) -> f64 {
    (value * 1e3).round() / 1e3
}

/// The pinball loss of an estimate of a quantile.
fn pinball(quantile: f64, truth: f64, estimate: f64) -> f64 {
    let difference = truth - estimate;
    if difference > 0.0 { quantile * difference } else { (quantile - 1.0) * difference }
}

/// Sums over the jobs of a period, for each of the [`QUANTILES`]. All differences are of logarithms.
#[derive(Clone, Copy, Default)]
pub struct Loss {
    pub jobs: f64,
    /// The sums of the pinball losses.
    pub pinball: [f64; 2],
    /// The sums of the absolute differences from the true quantile.
    pub error: [f64; 2],
    /// The sums of the differences from the true quantile.
    pub bias: [f64; 2],
    /// The numbers of jobs that ran for no longer than was estimated.
    pub below: [f64; 2],
}

impl Loss {
    /// Adds a job with the estimated logarithms of its quantiles.
    pub fn add(&mut self, job: &Job, estimate: [f64; 2]) {
        self.jobs += 1.0;
        for (index, quantile) in QUANTILES.into_iter().enumerate() {
            self.pinball[index] += pinball(quantile, job.log_runtime, estimate[index]);
            self.error[index] += (estimate[index] - job.log_quantiles[index]).abs();
            self.bias[index] += estimate[index] - job.log_quantiles[index];
            self.below[index] += f64::from(u8::from(job.log_runtime <= estimate[index]));
        }
    }

    /// The mean over all jobs of one of the sums.
    pub fn mean(&self, sums: [f64; 2]) -> [f64; 2] {
        sums.map(|sum| sum / self.jobs.max(1.0))
    }

    pub fn mean_pinball(&self) -> [f64; 2] {
        self.mean(self.pinball)
    }

    pub fn mean_error(&self) -> [f64; 2] {
        self.mean(self.error)
    }

    pub fn json(&self) -> Value {
        let mean = |sums: [f64; 2]| self.mean(sums).map(round_to_thousandths);
        json!({
            "jobs": self.jobs,
            "pinball": mean(self.pinball),
            "log_error": mean(self.error),
            "below": mean(self.below),
        })
    }
}

/// The baseline, which needs no estimator: the mean of a class and the empirical quantile 0.9 of all its run times, from the
/// jobs of all dispatchers.
#[derive(Default)]
pub struct ClassMean {
    sum: f64,
    jobs: f64,
    log_runtimes: Vec<f64>,
    /// The run times in order, without those of the most recent jobs.
    sorted: Vec<f64>,
}

/// The estimate for a class without any job, in microseconds.
const UNKNOWN_RUNTIME: f64 = 250_000.0;
/// The number of new run times after which they are sorted again.
const MAX_UNSORTED: usize = 500;

impl ClassMean {
    /// The logarithms of the estimated mean and quantile.
    pub fn estimate(&mut self) -> [f64; 2] {
        let (known, sorted) = (self.log_runtimes.len(), self.sorted.len());
        if known == 0 {
            return [UNKNOWN_RUNTIME.ln(); 2];
        }
        if known >= 2 * sorted || known - sorted > MAX_UNSORTED {
            self.sorted.clone_from(&self.log_runtimes);
            self.sorted.sort_by(f64::total_cmp);
        }
        [(self.sum / self.jobs).ln(), self.sorted[self.sorted.len() * 9 / 10]]
    }

    /// Adds a job that ran to its end.
    pub fn add(&mut self, log_runtime: f64) {
        self.sum += log_runtime.exp();
        self.jobs += 1.0;
        self.log_runtimes.push(log_runtime);
    }
}
