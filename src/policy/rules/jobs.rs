//! Deadlines and limits of a job: when it must start, where it may go, and its final response.

use super::*;

/// A job of unknown size is assumed to have this fraction of its class's mean: most are smaller.
const TYPICAL_FRACTION: f64 = 0.3;
/// A job is queued here for this fraction of its slack before it queues at a worker.
const QUEUE_FRACTION: f64 = 0.7;
/// The least fraction of a job's weight that counts as lost, so that its wait for its own zone ends.
const MIN_LOSS: f64 = 0.01;

impl Policy {
    /// The node's final response: a rejection only where nothing may have run or a repeat does no harm.
    pub fn give_up(&mut self, id: JobId, actions: &mut Vec<Action>) {
        let Some(job) = self.state.jobs.get(&id) else { return };
        let is_repeatable = self.class(job).idempotency.is_repeatable_anywhere();
        let is_harmless = is_repeatable || job.unrun_count() == job.attempts.len();
        let rejection = Action::Reject { job: id, retry_after: self.retry_after() };
        actions.push(if is_harmless { rejection } else { Action::Fail(id) });
        self.state.close_job(id, &self.settings, actions);
    }

    /// When a rejected client should retry, where clients are told: once the ready workers, shared with the
    /// other nodes, can have run what is queued here.
    pub(super) fn retry_after(&self) -> Option<Micros> {
        let max = self.settings.max_retry_after?;
        let own_slots = self.state.ready_slots() / f64::from(self.settings.nodes);
        let jobs = (self.state.queued.len() + 1) as f64;
        let work = jobs * self.estimates().mean_work() * self.estimates().slowness.value.max(1.0);
        Some(((work / own_slots).min(max as f64) as Micros).max(self.settings.tick))
    }

    /// Whether a job may be sent (again) to this worker, by its class and by what may have run.
    pub(super) fn may_send(&self, job: &Job, to: &EndpointEntry) -> bool {
        let is_hedge_barred = !self.settings.may_hedge && job.outstanding_count() > 0;
        if self.is_out_of_attempts(job) || is_hedge_barred {
            return false;
        }
        let mut may_have_run = job.attempts.iter().filter(|attempt| !attempt.never_ran());
        match self.class(job).idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => may_have_run.next().is_none(),
            Idempotency::IdempotentWithKey { scope, window } => may_have_run.all(|attempt| {
                let is_key_remembered = self.state.now + self.settings.tick < attempt.at + window;
                is_key_remembered && scope.covers(self.state.worker(attempt.worker).listed.as_ref(), to)
            }),
        }
    }

    pub(super) fn is_out_of_attempts(&self, job: &Job) -> bool {
        job.sent_count() >= self.settings.max_attempts
    }

    /// When the job must start at the latest to meet its latency objective.
    pub(super) fn latest_start(&self, job: &Job) -> Micros {
        let class = self.class(job);
        let work = job.work * if job.request.hint.is_some() { 1.0 } else { TYPICAL_FRACTION };
        let spare_factor = (class.latency_factor - self.estimates().slowness.value.max(1.0)).max(0.0);
        job.arrived + class.latency_objective + (work * spare_factor) as Micros
    }

    /// The time left until the latest start.
    pub(super) fn slack(&self, job: &Job) -> Micros {
        self.latest_start(job).saturating_sub(self.state.now)
    }

    /// Whether the job has been waiting so long that it may queue at a worker, and can still be in time.
    pub(super) fn has_waited_here(&self, job: &Job) -> bool {
        let (slack, whole) = (self.slack(job), self.latest_start(job) - job.arrived);
        slack > 0 && slack as f64 <= whole as f64 * (1.0 - QUEUE_FRACTION)
    }

    /// Whether the job may go to another zone: once it has waited here for that fraction of its slack which
    /// the price of crossing is of what it loses by being late; and, late, of what it loses by not being
    /// served.
    pub(super) fn may_cross_zones(&self, job: &Job) -> bool {
        let (latest, late_weight) = (self.latest_start(job), self.class(job).late_weight);
        let is_late = self.state.now >= latest;
        let (from, to) = if is_late { (latest, job.request.deadline) } else { (job.arrived, latest) };
        let loss = if is_late { late_weight } else { 1.0 - late_weight };
        let fraction = self.settings.price_cross_zone / loss.max(MIN_LOSS);
        let wait = to.saturating_sub(from) as f64 * fraction.min(QUEUE_FRACTION);
        self.state.ready.home.is_empty() || self.state.now >= from + wait as Micros
    }

    /// Whether only the final response is left: at the deadline, unless a stream runs, which has none.
    pub(super) fn is_past_deadline(&self, job: &Job) -> bool {
        let is_streaming = self.class(job).stream && job.has(AttemptState::Running);
        self.state.now + self.settings.tick >= job.request.deadline && !is_streaming
    }

    /// Whether a job without an outstanding attempt is not to be started: it may not be, or it can no longer
    /// earn anything and would only delay the rest.
    pub(super) fn is_hopeless(&self, job: &Job) -> bool {
        let (class, soon) = (self.class(job), self.state.now + self.settings.tick);
        let is_worthless = class.late_weight == 0.0 && soon >= self.latest_start(job);
        let is_repeatable = class.idempotency != Idempotency::NonIdempotent;
        let is_barred = job.has(AttemptState::MayHaveRun) && !is_repeatable;
        is_worthless || is_barred || self.is_out_of_attempts(job)
    }
}
