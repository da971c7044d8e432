//! Load probes: the workers sampled for a job, and the outstanding probes of these workers.

use super::{Job, PolicyState};
use crate::policy::interface::{Action, JobId, Micros, Outcome, ProbeResponse, WorkerId};

/// A probe that has just ended.
pub(crate) struct EndedProbe {
    /// The jobs that waited for the probe.
    pub waiting_jobs: Vec<JobId>,
    /// When the worker last showed a sign of life before this probe response.
    pub last_seen: Micros,
}

impl PolicyState {
    /// Whether workers have been sampled for the job; also `true` if the job is unknown.
    pub fn is_sampled(&self, id: JobId) -> bool {
        self.job(id).is_none_or(|job| !job.sample().is_empty())
    }

    /// Records the workers sampled for a job, and probes those whose load sample is older than `window` or missing, unless a
    /// probe of the worker is already outstanding. The job waits for the responses until `until` at most; a review is scheduled
    /// for that time. Returns whether there is a response to wait for.
    pub fn probe_sample(
        &mut self,
        id: JobId,
        sample: Vec<WorkerId>,
        window: Micros,
        until: Micros,
        actions: &mut Vec<Action>,
    ) -> bool {
        let mut stale = sample.clone();
        stale.retain(|worker| self.fresh_load(*worker, window).is_none());
        for &worker in &stale {
            if self.workers.touch(worker).await_probe(id) {
                actions.push(Action::Probe(worker));
            }
        }
        if let Some(job) = self.jobs.get_mut(&id) {
            job.set_sample(sample, stale.len(), until);
        }
        self.schedule_review(id, until, actions);
        !stale.is_empty()
    }

    /// Forgets a job's sample, so that a new one is probed.
    pub fn clear_sample(&mut self, id: JobId) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.clear_sample();
        }
    }

    /// Records that a probe of a worker has ended. Returns `None` if the worker is not known.
    pub fn probe_ended(&mut self, response: &ProbeResponse) -> Option<EndedProbe> {
        let worker = self.workers.get_mut(response.worker)?;
        let ended = EndedProbe { waiting_jobs: worker.end_probe(), last_seen: worker.last_seen };
        if response.outcome == Outcome::Ok {
            worker.last_seen = self.now;
        }
        Some(ended)
    }

    /// Records that a probe for a job has ended. If it was the last one and the job has no outstanding attempt, ends the job's
    /// wait and returns `true`.
    pub fn end_probe_of(&mut self, id: JobId) -> bool {
        self.jobs.get_mut(&id).is_some_and(Job::end_probe)
    }

    /// Learns the time from sending a probe until its response.
    pub fn learn_probe_delay(&mut self, elapsed: Micros) {
        self.estimates.probe_delay.add(elapsed as f64);
    }
}
