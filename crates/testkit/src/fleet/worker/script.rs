//! How a scripted worker behaves, and what it counted.

use std::collections::BTreeMap;
use std::time::Duration;

/// What a worker does with a job.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WorkerBehavior {
    /// It accepts it (202), and reports when it starts and ends.
    #[default]
    Serve,
    /// As `Serve`, but the 202 comes this late.
    AcceptLate(Duration),
    /// It rejects it, never run: 503 with `X-Unprocessed`.
    Reject,
    /// It answers 500.
    Error,
    /// It answers nothing at all, before the 202.
    Hang,
    /// It accepts it, and reports nothing more.
    Forget,
    /// It resets the connection once the job has come.
    Reset,
}

/// How a worker is.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerScript {
    /// Its zone, which the settings name.
    pub zone: String,
    /// Its kind, which the settings name.
    pub kind: String,
    /// Its cell: within it keys that have been executed are known.
    pub cell: u32,
    /// Jobs that run at once.
    pub slots: usize,
    /// Jobs that may wait beside; beyond that it rejects jobs.
    pub queue: usize,
    /// How fast it is; 1 takes a job's work as its time.
    pub speed: f64,
    /// The work of a job that does not name its own.
    pub work: Duration,
    /// Each job's work is drawn exponentially with that mean.
    pub random_work: bool,
    /// It answers load probes and health checks.
    pub answers_probes: bool,
    /// What it does with jobs.
    pub behavior: WorkerBehavior,
    /// Just started, it has this fraction of its speed ...
    pub initial_speed: f64,
    /// ... and all of it after this time.
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

/// What a worker counted.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WorkerMetrics {
    /// Connections accepted, by dispatcher.
    pub connects: Vec<u64>,
    /// Connections open now.
    pub open: u64,
    /// The most connections open at once.
    pub max_open: u64,
    /// Probes, by dispatcher.
    pub probes: Vec<u64>,
    /// Jobs that came whole, by dispatcher.
    pub jobs: Vec<u64>,
    /// Jobs by seconds of the harness's clock.
    pub per_second: BTreeMap<u64, u64>,
    /// Jobs whose work was done.
    pub done: u64,
    /// Jobs rejected.
    pub rejected: u64,
    /// Jobs cancelled by their dispatcher.
    pub cancelled: u64,
    /// Repeats of keys that had been executed, answered from memory.
    pub repeats: u64,
    /// The most jobs that ran or waited at once.
    pub max_pending: usize,
    /// Callbacks that nobody answered.
    pub unanswered_callbacks: u64,
}

/// The fraction of its capacity that a worker has while it warms up, at this fraction of its warm-up time.
pub(in crate::fleet) fn warm_up_capacity(initial_capacity: f64, progress: f64) -> f64 {
    (initial_capacity + (1.0 - initial_capacity) * progress).min(1.0)
}
