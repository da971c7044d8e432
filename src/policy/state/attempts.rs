//! Records the sending, start and end of attempts, in the state of their job and of their worker.

use super::worker::OutstandingAttempt;
use super::{Attempt, AttemptState, PolicyState};
use crate::policy::interface::{
    Action, AttemptEnded, JobId, Micros, Outcome, PriorAttempt, Settings, WorkerId,
};

/// An attempt that the event being handled has shown to be running.
pub(crate) struct StartedAttempt {
    pub worker: WorkerId,
    /// The time from sending the attempt to its start, in microseconds.
    pub waited: Micros,
}

/// An attempt that has just ended.
pub(crate) struct EndedAttempt {
    /// The class of the job, as an index in the settings.
    pub class: usize,
    /// The expected work of the job, in microseconds.
    pub work: f64,
    /// The number of attempts of the job that never ran, this one included.
    pub never_ran_count: usize,
    /// When the attempt was reported to run; `None` if it was not.
    pub running_since: Option<Micros>,
}

impl PolicyState {
    /// Takes over the attempts that another process of this dispatcher made for a job.
    pub fn adopt_attempts(&mut self, id: JobId, prior_attempts: &[PriorAttempt]) {
        for prior in prior_attempts {
            let Some(job) = self.jobs.get_mut(&id) else { return };
            let attempt = job.add_attempt(Attempt {
                worker: prior.worker,
                sent_at: prior.sent_at,
                state: AttemptState::from_prior(prior),
                running_since: prior.running_since,
                is_start_expected: false,
            });
            let slots = job.request.slots;
            let worker = self.workers.touch(prior.worker);
            if prior.is_outstanding {
                worker.adopt(OutstandingAttempt {
                    job: id,
                    attempt,
                    sent_at: prior.sent_at,
                    slots,
                    is_started: prior.running_since.is_some(),
                });
                self.gossip.mark_changed();
            }
        }
    }

    /// Sends a job's next attempt to a worker, and records its work at the worker for `window`. Returns the job's expected work
    /// in microseconds, or `None` if the job is unknown.
    pub fn send(
        &mut self,
        id: JobId,
        worker: WorkerId,
        is_start_expected: bool,
        window: Micros,
        actions: &mut Vec<Action>,
    ) -> Option<f64> {
        let now = self.now;
        let job = self.jobs.get_mut(&id)?;
        let work = job.work;
        let slots = job.request.slots;
        let state = AttemptState::Sent;
        let attempt =
            job.add_attempt(Attempt { worker, sent_at: now, state, running_since: None, is_start_expected });
        self.record_work(worker, work, window);
        let outstanding = OutstandingAttempt { job: id, attempt, sent_at: now, slots, is_started: false };
        self.workers.touch(worker).assign(outstanding);
        self.gossip.use_offer(worker);
        self.gossip.mark_changed();
        self.last_assigned = Some(worker);
        self.queue.remove(id);
        actions.push(Action::Send { job: id, worker, timeout: None });
        Some(work)
    }

    /// Cancels an open job's attempts that have not started, if the settings allow it.
    pub fn cancel_unstarted(&self, id: JobId, settings: &Settings, actions: &mut Vec<Action>) {
        if let Some(job) = self.open_job(id).filter(|_| settings.may_cancel) {
            let unstarted = job.attempts_where(Attempt::is_unstarted);
            actions.extend(unstarted.map(|attempt| Action::Cancel { job: id, attempt }));
        }
    }

    /// Whether the newest unstarted attempt of a job was expected to start. Clears the expectation, so that the next call for
    /// this attempt returns `false`.
    pub fn take_start_expectation(&mut self, id: JobId) -> bool {
        let unstarted = self.jobs.get_mut(&id).and_then(|job| job.newest_unstarted_mut());
        unstarted.is_some_and(|attempt| std::mem::take(&mut attempt.is_start_expected))
    }

    /// Records that an attempt runs. Returns `None` if that was already known, or if the job, attempt or worker is unknown.
    pub fn attempt_started(&mut self, id: JobId, index: u32) -> Option<StartedAttempt> {
        let attempt = self.jobs.get_mut(&id)?.attempt_mut(index)?;
        if !attempt.is_unstarted() {
            return None;
        }
        attempt.state = AttemptState::Running;
        attempt.running_since = Some(self.now);
        let started = StartedAttempt { worker: attempt.worker, waited: self.now - attempt.sent_at };
        self.workers.get_mut(started.worker)?.start(id, index, self.now);
        Some(started)
    }

    /// Records the end of an attempt. Returns `None` if the job has no such attempt at this worker.
    pub fn attempt_ended(&mut self, end: &AttemptEnded) -> Option<EndedAttempt> {
        let job = self.jobs.get_mut(&end.job)?;
        let attempt = job.attempt_mut(end.attempt).filter(|attempt| attempt.worker == end.worker)?;
        attempt.state = AttemptState::after(end.outcome);
        let ended = EndedAttempt {
            running_since: attempt.running_since,
            class: usize::from(job.request.class.0),
            work: job.work,
            never_ran_count: job.never_ran_count(),
        };
        self.release(end.worker, end.job, end.attempt);
        if end.outcome.is_rejection() || matches!(end.outcome, Outcome::Ok | Outcome::Error) {
            self.workers.touch(end.worker).last_seen = self.now;
        }
        Some(ended)
    }

    /// Records that an attempt was never sent, and frees its slots at its worker.
    pub fn attempt_not_sent(&mut self, id: JobId, index: u32) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let Some(attempt) = job.attempt_mut(index) else { return };
        attempt.state = AttemptState::NotSent;
        let worker = attempt.worker;
        self.release(worker, id, index);
    }

    /// Frees the slots of an attempt at its worker.
    fn release(&mut self, worker: WorkerId, job: JobId, attempt: u32) {
        self.workers.touch(worker).release(job, attempt);
        self.gossip.mark_changed();
    }
}
