//! Deadlines and limits of a job: when it must start, where it may go, and its final response.

use super::*;

/// A job of unknown size is assumed to have this fraction of its class's mean: most are smaller.
const TYPICAL_FRACTION: f64 = 0.3;
/// A job is queued here for this fraction of its slack before it queues at a worker.
const QUEUE_FRACTION: f64 = 0.7;
/// The least fraction of a job's weight that counts as lost, so that its wait for its own zone ends.
const MIN_LOSS: f64 = 0.01;

impl Policy {
    /// The dispatcher's final response: a rejection only where nothing may have run or a repeat does no harm.
    pub fn give_up(&mut self, id: JobId, actions: &mut Vec<Action>) {
        let Some(job) = self.state.job(id) else { return };
        let is_harmless = job.never_ran() || self.class(job).idempotency.is_repeatable_anywhere();
        let rejection = Action::Reject { job: id, retry_after: self.retry_after() };
        actions.push(if is_harmless { rejection } else { Action::Fail(id) });
        self.state.close_job(id, &self.settings, actions);
    }

    /// How long a rejected client should wait, if clients are given a time: until the ready workers, shared
    /// with the other dispatchers, can have run what is queued here.
    pub(super) fn retry_after(&self) -> Option<Micros> {
        let max = self.settings.max_retry_after?;
        let own_slots = self.state.ready_slots() / f64::from(self.settings.dispatcher_count);
        let jobs = (self.state.queue().len() + 1) as f64;
        let work = jobs * self.estimates().mean_work() * self.slowness();
        let wait = (work / own_slots).min(max as f64) as Micros;
        Some(wait.max(self.settings.tick))
    }

    /// Whether a job may be sent (again) to this worker, by its class and by what may have run.
    pub(super) fn may_send(&self, job: &Job, to: &EndpointEntry) -> bool {
        let is_hedge_barred = !self.settings.may_hedge && !job.is_unassigned();
        if self.is_out_of_attempts(job) || is_hedge_barred {
            return false;
        }
        match self.class(job).idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => job.never_ran(),
            Idempotency::IdempotentWithKey { scope, window } => job.possible_runs().all(|attempt| {
                let is_key_remembered = self.now() + self.settings.tick < attempt.sent_at + window;
                is_key_remembered && scope.covers(self.state.worker(attempt.worker).listed(), to)
            }),
        }
    }

    /// Whether the job has had as many attempts as it may have.
    pub(super) fn is_out_of_attempts(&self, job: &Job) -> bool {
        job.sent_count() >= self.settings.max_attempts
    }

    /// When the job must start at the latest to meet its latency objective.
    pub(super) fn latest_start(&self, job: &Job) -> Micros {
        let class = self.class(job);
        let work = job.work * if job.request.hint.is_some() { 1.0 } else { TYPICAL_FRACTION };
        let spare_factor = (class.latency_factor - self.slowness()).max(0.0);
        job.arrived + class.latency_objective + (work * spare_factor) as Micros
    }

    /// The time left until the latest start.
    pub(super) fn slack(&self, job: &Job) -> Micros {
        self.latest_start(job).saturating_sub(self.now())
    }

    /// Whether the job has been waiting so long that it may queue at a worker, and can still be in time.
    pub(super) fn has_waited_here(&self, job: &Job) -> bool {
        let slack = self.slack(job);
        let whole_slack = self.latest_start(job) - job.arrived;
        slack > 0 && slack as f64 <= whole_slack as f64 * (1.0 - QUEUE_FRACTION)
    }

    /// Whether the job may go to another zone. It waits here first: for that fraction of its slack which the
    /// price of crossing is of the weight it loses by being late. Once late, the time until its deadline and
    /// the weight it loses by not being served count instead.
    pub(super) fn may_cross_zones(&self, job: &Job) -> bool {
        let latest = self.latest_start(job);
        let late_weight = self.class(job).late_weight;
        let is_late = self.now() >= latest;
        let from = if is_late { latest } else { job.arrived };
        let to = if is_late { job.request.deadline } else { latest };
        let loss = if is_late { late_weight } else { 1.0 - late_weight };
        let fraction = self.settings.price_cross_zone / loss.max(MIN_LOSS);
        let wait = to.saturating_sub(from) as f64 * fraction.min(QUEUE_FRACTION);
        !self.state.ready().has_home() || self.now() >= from + wait as Micros
    }

    /// Whether only the final response is left: at the deadline, unless a stream runs, which has none.
    pub(super) fn is_past_deadline(&self, job: &Job) -> bool {
        let is_streaming = self.class(job).is_stream && job.has(AttemptState::Running);
        self.now() + self.settings.tick >= job.request.deadline && !is_streaming
    }

    /// Whether a job without an outstanding attempt is not to be started: it may not be, or it can no longer
    /// earn anything and would only delay the rest.
    pub(super) fn is_hopeless(&self, job: &Job) -> bool {
        let class = self.class(job);
        let is_too_late = self.now() + self.settings.tick >= self.latest_start(job);
        let is_worthless = class.late_weight == 0.0 && is_too_late;
        let is_barred = job.has(AttemptState::MayHaveRun) && !class.idempotency.is_repeatable();
        is_worthless || is_barred || self.is_out_of_attempts(job)
    }
}
