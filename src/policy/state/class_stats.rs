//! Statistics of the work of the jobs of each class.

use super::Mean;

/// The statistics of one class.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ClassStats {
    /// The run time of the class's jobs, in microseconds.
    pub run_time: Mean,
    /// The sum of the expected work of all jobs that have arrived, in microseconds.
    pub work_sum: f64,
    /// The number of jobs that have arrived.
    pub job_count: f64,
    /// The longest time that a job may take, in microseconds, if the last job came without a hint; otherwise 0.
    pub max_run_time: f64,
}

impl ClassStats {
    /// Records that a job has arrived. `work` is its expected work, and `max_run_time` the new value of
    /// [`ClassStats::max_run_time`], both in microseconds.
    pub fn record_arrival(&mut self, work: f64, max_run_time: f64) {
        self.work_sum += work;
        self.job_count += 1.0;
        self.max_run_time = max_run_time;
    }
}

/// The mean expected work of a job over all classes, in microseconds; at least 1.
pub(crate) fn mean_work(classes: &[ClassStats]) -> f64 {
    let work: f64 = classes.iter().map(|class| class.work_sum).sum();
    let count: f64 = classes.iter().map(|class| class.job_count).sum();
    (work / count.max(1.0)).max(1.0)
}

/// The mean work of an attempt, in microseconds and at least 1, for comparison with the budget of a worker that is warming up.
///
/// For each class, the mean is at least the run time of its jobs. If no job of the class has ended yet and its jobs come
/// without a hint, the mean is the longest time that they may take. The first estimate of their work, the class's latency
/// objective, may be a small fraction of their run time, so that a newly started process would send many times its part.
pub(crate) fn mean_attempt_work(classes: &[ClassStats]) -> f64 {
    let mut work: f64 = 0.0;
    let mut count: f64 = 0.0;
    for class in classes.iter().filter(|class| class.job_count > 0.0) {
        work += class.work_sum.max(class.job_count * class.run_time.value_or(class.max_run_time));
        count += class.job_count;
    }
    (work / count.max(1.0)).max(1.0)
}
