//! The script of a worker, and its counters.

use std::collections::BTreeMap;
use std::time::Duration;

/// What a worker does with a job.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WorkerBehavior {
    /// Accepts the job (202), and reports its start and its end.
    #[default]
    Serve,
    /// Like `Serve`, but delays the 202 by this time.
    AcceptLate(Duration),
    /// Rejects the job unprocessed: 503 with `X-Unprocessed`.
    Reject,
    /// Answers 500.
    Error,
    /// Never answers, not even with 202.
    Hang,
    /// Accepts the job, and reports nothing more.
    Forget,
    /// Resets the connection once the job has arrived.
    Reset,
}

/// The script of a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerScript {
    /// The zone, one of the settings.
    pub zone: String,
    /// The kind, one of the settings.
    pub kind: String,
    /// The cell, whose workers share the executed idempotency keys.
    pub cell: u32,
    /// The maximum number of running jobs.
    pub slots: usize,
    /// The maximum number of waiting jobs. The worker rejects further ones.
    pub queue: usize,
    /// The speed. At speed 1, a job takes as long as its work.
    pub speed: f64,
    /// The work of a job whose body does not specify it.
    pub work: Duration,
    /// Whether the work of each such job is drawn from the exponential distribution with the mean `work`.
    pub random_work: bool,
    /// Whether the worker answers load probes and health checks.
    pub answers_probes: bool,
    /// What the worker does with jobs.
    pub behavior: WorkerBehavior,
    /// The fraction of its speed with which the worker starts.
    pub initial_speed: f64,
    /// The time from a start until the worker has its full speed.
    pub warm_up_time: Duration,
}

impl Default for WorkerScript {
    fn default() -> Self {
        WorkerScript {
            zone: "alm 1".to_owned(),
            kind: "k-mid".to_owned(),
            cell: 1,
            slots: 4,
            queue: 64,
            speed: 1.0,
            work: Duration::from_millis(20),
            random_work: false,
            answers_probes: true,
            behavior: WorkerBehavior::Serve,
            initial_speed: 0.38,
            warm_up_time: Duration::from_millis(8_400),
        }
    }
}

/// The counters of a worker.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WorkerMetrics {
    /// Connections accepted, by dispatcher.
    pub connects: Vec<u64>,
    /// Connections open at present.
    pub open: u64,
    /// The maximum number of connections open at once.
    pub max_open: u64,
    /// Probes, by dispatcher.
    pub probes: Vec<u64>,
    /// Jobs that arrived completely, by dispatcher.
    pub jobs: Vec<u64>,
    /// Jobs by second of the harness's clock.
    pub jobs_per_second: BTreeMap<u64, u64>,
    /// Jobs whose work was done.
    pub done: u64,
    /// Jobs rejected.
    pub rejected: u64,
    /// Jobs cancelled by their dispatcher.
    pub cancelled: u64,
    /// Repeats of keys that were being executed or had been, which are not executed again.
    pub repeats: u64,
    /// The maximum number of jobs that ran or waited at once.
    pub max_pending: usize,
    /// Status callbacks that were not answered in any attempt.
    pub unanswered_callbacks: u64,
}

/// The fraction of its capacity that a worker has while it warms up, at this fraction of its warm-up time.
pub(in crate::fleet) fn warm_up_capacity(initial_capacity: f64, progress: f64) -> f64 {
    (initial_capacity + (1.0 - initial_capacity) * progress).min(1.0)
}
