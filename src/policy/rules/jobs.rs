//! Deadlines and limits of a job: when it must start, where it may be sent, and which final response it
//! gets.

use super::*;

/// The work assumed for a job without a hint, as a fraction of its class's mean, because most jobs are
/// smaller than the mean.
const TYPICAL_FRACTION: f64 = 0.3;
/// The fraction of its slack that a job waits in this dispatcher's queue before it may queue at a worker.
const QUEUE_FRACTION: f64 = 0.7;
/// The least fraction of a job's weight that counts as lost by lateness. It bounds the time for which a job
/// waits for a worker in its own zone.
const MIN_LOSS: f64 = 0.01;

impl Policy {
    /// Gives the dispatcher's own final response: a rejection if no attempt may have run or a repeat does
    /// no harm, otherwise a failure.
    pub fn give_up(&mut self, id: JobId, actions: &mut Vec<Action>) {
        let Some(job) = self.state.job(id) else { return };
        let is_harmless = job.never_ran() || self.class(job).idempotency.is_repeatable_anywhere();
        let rejection = Action::Reject { job: id, retry_after: self.retry_after() };
        actions.push(if is_harmless { rejection } else { Action::Fail(id) });
        self.state.close_job(id, &self.settings, actions);
    }

    /// How long a rejected client should wait before it retries; `None` if the settings give clients no
    /// such time. It is the time in which this dispatcher's share of the ready workers can run the queued
    /// jobs and one more.
    pub(super) fn retry_after(&self) -> Option<Micros> {
        let max = self.settings.max_retry_after?;
        let own_slots = self.state.ready_slots() / f64::from(self.settings.dispatcher_count);
        let jobs = (self.state.queue().len() + 1) as f64;
        let work = jobs * self.estimates().mean_work() * self.slowness();
        let wait = (work / own_slots).min(max as f64) as Micros;
        Some(wait.max(self.settings.batch_interval))
    }

    /// Whether the class and the earlier attempts of a job allow another attempt at this worker.
    pub(super) fn may_send(&self, job: &Job, to: &EndpointEntry) -> bool {
        let is_hedge_forbidden = !self.settings.may_hedge && !job.is_unassigned();
        if self.is_out_of_attempts(job) || is_hedge_forbidden {
            return false;
        }
        match self.class(job).idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => job.never_ran(),
            Idempotency::IdempotentWithKey { scope, window } => job.possible_runs().all(|attempt| {
                let is_key_remembered = self.now() + self.settings.batch_interval < attempt.sent_at + window;
                is_key_remembered && scope.covers(self.state.worker(attempt.worker).listed(), to)
            }),
        }
    }

    /// Whether the job has had the maximum number of attempts.
    pub(super) fn is_out_of_attempts(&self, job: &Job) -> bool {
        job.sent_count() >= self.settings.max_attempts
    }

    /// The latest time at which the job must start to meet its latency objective.
    pub(super) fn latest_start(&self, job: &Job) -> Micros {
        let class = self.class(job);
        let work = job.work * if job.request.hint.is_some() { 1.0 } else { TYPICAL_FRACTION };
        let spare_factor = (class.latency_factor - self.slowness()).max(0.0);
        job.arrived + class.latency_objective + (work * spare_factor) as Micros
    }

    /// The time left until the job's latest start; 0 once that has passed.
    pub(super) fn slack(&self, job: &Job) -> Micros {
        self.latest_start(job).saturating_sub(self.now())
    }

    /// Whether the job has waited in this dispatcher's queue for so long that it may queue at a worker, and
    /// can still start in time.
    pub(super) fn may_queue_at_worker(&self, job: &Job) -> bool {
        let slack = self.slack(job);
        let whole_slack = self.latest_start(job) - job.arrived;
        slack > 0 && slack as f64 <= whole_slack as f64 * (1.0 - QUEUE_FRACTION)
    }

    /// Whether the job may be sent to another zone. It first waits for a worker of its own zone, if that
    /// has any: for a fraction of its slack that is the ratio of the price of crossing zones to the weight
    /// lost by being late, at most [`QUEUE_FRACTION`]. Once the job is late, the wait is that fraction of
    /// the time until its deadline, with the weight lost by not being served.
    pub(super) fn may_cross_zones(&self, job: &Job) -> bool {
        let latest = self.latest_start(job);
        let late_weight = self.class(job).late_weight;
        let is_late = self.now() >= latest;
        let period_start = if is_late { latest } else { job.arrived };
        let period_end = if is_late { job.request.deadline } else { latest };
        let loss = if is_late { late_weight } else { 1.0 - late_weight };
        let fraction = self.settings.price_cross_zone / loss.max(MIN_LOSS);
        let wait = period_end.saturating_sub(period_start) as f64 * fraction.min(QUEUE_FRACTION);
        !self.state.ready().has_own_zone() || self.now() >= period_start + wait as Micros
    }

    /// Whether the deadline leaves time for the final response only. A stream that is running has no
    /// deadline.
    pub(super) fn is_past_deadline(&self, job: &Job) -> bool {
        let is_streaming = self.class(job).is_stream && job.has(AttemptState::Running);
        self.now() + self.settings.batch_interval >= job.request.deadline && !is_streaming
    }

    /// Whether to give up a job that has no outstanding attempt: it may not be sent again, or its response
    /// would be too late to earn any weight and its work would only delay other jobs.
    pub(super) fn should_give_up(&self, job: &Job) -> bool {
        let class = self.class(job);
        let is_too_late = self.now() + self.settings.batch_interval >= self.latest_start(job);
        let is_worthless = class.late_weight == 0.0 && is_too_late;
        let is_repeat_forbidden = job.has(AttemptState::MayHaveRun) && !class.idempotency.is_repeatable();
        is_worthless || is_repeat_forbidden || self.is_out_of_attempts(job)
    }
}
