//! The jobs that are queued at this dispatcher and wait for a worker.

use crate::policy::interface::JobId;

/// The queued jobs, each of them once, in the order in which they were queued.
#[derive(Debug, Default)]
pub(crate) struct JobQueue(Vec<JobId>);

impl JobQueue {
    /// Adds a job at the end, unless it is queued already.
    pub(super) fn push(&mut self, job: JobId) {
        if !self.contains(job) {
            self.0.push(job);
        }
    }

    /// Removes a job, if it is queued.
    pub(super) fn remove(&mut self, job: JobId) {
        self.0.retain(|queued| *queued != job);
    }

    /// Whether a job is queued.
    pub fn contains(&self, job: JobId) -> bool {
        self.0.contains(&job)
    }

    /// The number of queued jobs.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// The queued jobs, in the order in which they were queued.
    pub fn iter(&self) -> impl Iterator<Item = JobId> {
        self.0.iter().copied()
    }
}
