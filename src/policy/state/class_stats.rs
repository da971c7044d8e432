//! How much work the jobs of a class bring.

use super::Mean;

/// The statistics of one class.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ClassStats {
    pub run_time: Mean,
    /// How much expected work has arrived, and in how many jobs.
    pub work_sum: f64,
    pub job_count: f64,
    /// The longest that a job may take, where jobs come without a hint; else 0.
    pub longest: f64,
}

impl ClassStats {
    pub fn record_arrival(&mut self, work: f64, longest: f64) {
        self.work_sum += work;
        self.job_count += 1.0;
        self.longest = longest;
    }
}

/// The expected work of a job of any class, 1 at least.
pub(crate) fn mean_work(classes: &[ClassStats]) -> f64 {
    let sums =
        |(work, count): (f64, f64), class: &ClassStats| (work + class.work_sum, count + class.job_count);
    let (work, count) = classes.iter().fold((0.0, 0.0), sums);
    (work / f64::max(count, 1.0)).max(1.0)
}

/// The mean work of an attempt, for what a worker that warms up can bear: for each class no less than its jobs have taken;
/// where none has ended yet and they come without a hint, as long as they may take. (The guess at their work is the class's
/// latency objective: perhaps a small fraction of it, and a process that has just started would send many times its part.)
pub(crate) fn mean_attempt_work(classes: &[ClassStats]) -> f64 {
    let (mut work, mut count) = (0.0, 0.0);
    for class in classes.iter().filter(|class| class.job_count > 0.0) {
        work += class.work_sum.max(class.job_count * class.run_time.value_or(class.longest));
        count += class.job_count;
    }
    (work / f64::max(count, 1.0)).max(1.0)
}
