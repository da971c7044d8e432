//! Records the arrival, waiting and end of jobs, and schedules their reviews.

use super::{Attempt, Job, PolicyState};
use crate::policy::interface::{Action, JobId, Micros, NewJob, Settings};
use crate::policy::timer::Timer;

impl PolicyState {
    /// Records a job and schedules its last review one batch interval before its deadline. A job of an unknown class is ignored.
    pub fn add_job(
        &mut self,
        request: NewJob,
        arrived: Micros,
        settings: &Settings,
        actions: &mut Vec<Action>,
    ) {
        let class = usize::from(request.class.0);
        let Some(class_settings) = settings.classes.get(class) else { return };
        let Some(work) = self.estimates.record_arrival(class, class_settings, request.hint) else { return };
        self.jobs.insert(request.job, Job::new(request, arrived, work));
        self.schedule_review(request.job, request.deadline.saturating_sub(settings.batch_interval), actions);
    }

    /// Closes a job and removes it from the queue. Its outstanding attempts are cancelled if the settings allow it.
    pub fn close_job(&mut self, id: JobId, settings: &Settings, actions: &mut Vec<Action>) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.close();
        if settings.may_cancel {
            let outstanding = job.attempts_where(Attempt::is_outstanding);
            actions.extend(outstanding.map(|attempt| Action::Cancel { job: id, attempt }));
        }
        self.queue.remove(id);
        self.forget_job(id);
    }

    /// Drops a job that is closed and has no outstanding attempt.
    pub fn forget_job(&mut self, id: JobId) {
        if self.job(id).is_some_and(Job::is_over) {
            self.jobs.remove(&id);
        }
    }

    /// Sets the timer of a job's next review. A time in the past counts as one microsecond from now.
    pub fn schedule_review(&self, id: JobId, at: Micros, actions: &mut Vec<Action>) {
        let after = at.saturating_sub(self.now).max(1);
        actions.push(Action::SetTimer(Timer::Review(id).into(), after));
    }

    /// Queues a job and lets it wait until `until`, or until a slot becomes free.
    pub fn queue_job(&mut self, id: JobId, until: Micros) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.wait_until(until);
        }
        self.queue.push(id);
    }

    /// Ends a job's wait, so that it may be reviewed at any time.
    pub fn end_wait(&mut self, id: JobId) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.end_wait();
        }
    }
}
