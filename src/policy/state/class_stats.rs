//! How much work the jobs of a class bring.

use super::Mean;

/// The statistics of one class.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ClassStats {
    /// How long its jobs run, in microseconds.
    pub run_time: Mean,
    /// How much expected work has arrived, in microseconds.
    pub work_sum: f64,
    /// In how many jobs.
    pub job_count: f64,
    /// The longest that a job may take, where jobs come without a hint; else 0.
    pub longest: f64,
}

impl ClassStats {
    /// A job has arrived with this expected work, which may take `longest` at most.
    pub fn record_arrival(&mut self, work: f64, longest: f64) {
        self.work_sum += work;
        self.job_count += 1.0;
        self.longest = longest;
    }
}

/// The expected work of a job of any class, 1 at least.
pub(crate) fn mean_work(classes: &[ClassStats]) -> f64 {
    let work: f64 = classes.iter().map(|class| class.work_sum).sum();
    let count: f64 = classes.iter().map(|class| class.job_count).sum();
    (work / count.max(1.0)).max(1.0)
}

/// The mean work of an attempt, for what a worker that warms up can bear. For each class it is no less than its jobs have
/// taken; where none has ended yet and they come without a hint, it is as long as they may take. The guess at their work, the
/// class's latency objective, may be a small fraction of that, and a process that has just started would send many times its
/// part.
pub(crate) fn mean_attempt_work(classes: &[ClassStats]) -> f64 {
    let mut work: f64 = 0.0;
    let mut count: f64 = 0.0;
    for class in classes.iter().filter(|class| class.job_count > 0.0) {
        work += class.work_sum.max(class.job_count * class.run_time.value_or(class.longest));
        count += class.job_count;
    }
    (work / count.max(1.0)).max(1.0)
}
