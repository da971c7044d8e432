//! The review of an open job. It decides whether to give the final response, wait, probe workers, queue the
//! job, send it, or send a hedged attempt.

use super::*;

/// The fraction of its slack after which a job that has not started is hedged. A hedged attempt may cost as
/// much work again.
const HEDGE_FRACTION: f64 = 0.5;
/// The number of attempts that never ran after which a job's further attempts are spread over its slack.
const QUICK_RETRIES: usize = 2;
/// The number of times that a queued job is reviewed within its slack.
const QUEUED_REVIEWS: ByGrouping<u64> = ByGrouping { alone: 16, grouped: 10 };
/// The number of workers that are probed for a job at a time.
const SAMPLE_SIZE: ByGrouping<usize> = ByGrouping { alone: 4, grouped: 2 };

impl Policy {
    /// Decides what to do about a job now. Does nothing if the job is closed, is running, or must not be
    /// reviewed yet.
    pub fn review(&mut self, id: JobId, actions: &mut Vec<Action>) {
        let Some(job) = self.state.open_job(id) else { return };
        if self.is_past_deadline(job) {
            return self.give_up(id, actions);
        }
        if job.has(AttemptState::Running) || job.is_waiting(self.now()) {
            return;
        }
        if job.is_unassigned() && self.should_give_up(job) {
            return self.give_up(id, actions);
        }
        if !self.awaits_start(id, actions) {
            self.place(id, actions);
        }
    }

    /// Whether the job goes on waiting for its newest unstarted attempt instead of being hedged. Schedules
    /// a review for the time at which the start is overdue or the job may be hedged.
    fn awaits_start(&mut self, id: JobId, actions: &mut Vec<Action>) -> bool {
        let Some(job) = self.state.job(id) else { return false };
        let Some(&Attempt { worker, sent_at, .. }) = job.newest_unstarted() else { return false };
        let overdue_at = sent_at + self.start_timeout(job.work);
        if self.now() < overdue_at {
            self.state.schedule_review(id, overdue_at, actions);
            return true;
        }
        let is_repeatable = self.class(job).idempotency.is_repeatable();
        let may_hedge = job.outstanding_count() == 1 && is_repeatable && !self.is_out_of_attempts(job);
        let slack_when_sent = self.latest_start(job).saturating_sub(sent_at);
        let hedge_at = sent_at + (slack_when_sent as f64 * HEDGE_FRACTION) as Micros;
        // A worker that showed a free slot and does not start the attempt in time counts as failed. Without
        // a group, it does not if it has shown a sign of life since the attempt was sent.
        let was_start_expected = self.state.take_start_expectation(id);
        let is_alive = self.state.worker(worker).was_seen_after(sent_at);
        if was_start_expected && self.settings.reports_start && (self.is_grouped() || !is_alive) {
            self.record_failure(worker);
        }
        if self.now() < hedge_at {
            self.state.schedule_review(id, hedge_at, actions);
            return true;
        }
        // A worker that was seen since the attempt was sent is alive: the attempt is in its queue and will
        // run there anyway.
        is_alive || !may_hedge
    }

    /// Sends the job to a worker, probes workers for it, or queues it at this dispatcher.
    fn place(&mut self, id: JobId, actions: &mut Vec<Action>) {
        let Some(job) = self.state.job(id) else { return };
        let is_unassigned = job.is_unassigned();
        let must_wait = is_unassigned && !self.is_grouped() && self.is_behind_queue(id);
        // In a group, workers are probed only if no candidate is known to have capacity.
        let has_known_capacity =
            self.is_grouped() && self.pick(id).is_some_and(|pick| pick.rank == Rank::Fresh);
        if is_unassigned && !has_known_capacity && !must_wait && self.probe_sample(id, actions) {
            return;
        }
        match self.pick(id) {
            Some(pick) if !must_wait && self.accepts_rank(id, pick.rank) => self.send(id, &pick, actions),
            _ => self.queue_or_wait(id, actions),
        }
    }

    /// Whether a worker of this rank, the best one, is good enough for the job now. A full worker is good
    /// enough at once if starts are reported, there is no group and the job can still start in time;
    /// otherwise after the job has waited in the queue. After that wait, a dispatcher without a group also
    /// uses an unprobed or ejected worker.
    fn accepts_rank(&self, id: JobId, rank: Rank) -> bool {
        let Some(job) = self.state.job(id) else { return false };
        let is_grouped = self.is_grouped();
        let accepts_full_at_once = self.slack(job) > 0 && self.settings.reports_start && !is_grouped;
        match rank {
            Rank::Fresh => true,
            _ if !job.is_unassigned() => false,
            Rank::Unknown => true,
            Rank::Full => accepts_full_at_once || self.may_queue_at_worker(job),
            Rank::Overloaded => false,
            Rank::Unprobed | Rank::Ejected => !is_grouped && self.may_queue_at_worker(job),
        }
    }

    /// Sends the job to the picked worker, and schedules a review for the time at which the start is
    /// overdue.
    fn send(&mut self, id: JobId, pick: &Candidate, actions: &mut Vec<Action>) {
        let is_start_expected = pick.rank == Rank::Fresh;
        let window = self.settings.collapse_window;
        let Some(work) = self.state.send(id, pick.worker, is_start_expected, window, actions) else { return };
        self.state.schedule_review(id, self.now() + self.start_timeout(work), actions);
    }

    /// Lets a job wait because no worker has capacity. A job without an outstanding attempt is queued, a
    /// slot is requested for it from another group, and its next review draws a new sample of workers to
    /// probe. The wait also prevents an endless loop of probes that fail at once.
    fn queue_or_wait(&mut self, id: JobId, actions: &mut Vec<Action>) {
        let Some(job) = self.state.job(id) else { return };
        let slack = self.slack(job);
        let span = if slack > 0 { slack } else { job.request.deadline - self.now() };
        let until = self.now() + span.max(self.window()) / self.by_grouping(&QUEUED_REVIEWS);
        if job.is_unassigned() {
            self.state.clear_sample(id);
            self.state.queue_job(id, until);
            self.state.request_slot(self.settings.zone, self.random.u32(..), actions);
        }
        self.state.schedule_review(id, until, actions);
    }

    /// A job's position in this dispatcher's queue: the job with the earliest latest start is first. If
    /// late responses earn weight too, jobs past their latency objective come last, the newest first;
    /// otherwise all jobs would be served just too late under overload. A job that was rejected repeatedly
    /// has no position, because its last attempts are spread over its slack.
    fn queue_position(&self, id: JobId) -> Option<QueuePosition> {
        let job = self.state.job(id).filter(|job| job.never_ran_count() < QUICK_RETRIES)?;
        let latest = self.latest_start(job);
        let class = self.class(job);
        let is_late = class.late_weight > 0.0 && self.now() >= job.arrived + class.latency_objective;
        Some(QueuePosition { is_late, order: if is_late { Micros::MAX - latest } else { latest }, job: id })
    }

    /// The positions of the queued jobs that have one.
    fn queue_positions(&self) -> impl Iterator<Item = QueuePosition> {
        self.state.queue().iter().filter_map(|id| self.queue_position(id))
    }

    /// Whether a queued job comes before this one.
    fn is_behind_queue(&self, id: JobId) -> bool {
        self.queue_positions().min().is_some_and(|first| Some(first) < self.queue_position(id))
    }

    /// Reviews the queued jobs in order until one of them stays queued. To be called when a slot may have
    /// become free, for example after an attempt has started or ended.
    pub fn review_queued(&mut self, actions: &mut Vec<Action>) {
        let mut positions: Vec<QueuePosition> = self.queue_positions().collect();
        positions.sort_unstable();
        for QueuePosition { job: id, .. } in positions {
            self.state.end_wait(id);
            self.review(id, actions);
            if self.state.queue().contains(id) {
                break;
            }
        }
    }

    /// Spreads a job's last attempts over the time left if the job was repeatedly rejected or not sent. An
    /// attempt that was not sent is followed by a wait of at least one window.
    pub fn delay_retry(&mut self, end: &AttemptEnded, ended: &EndedAttempt, actions: &mut Vec<Action>) {
        let Some(job) = self.state.open_job(end.job) else { return };
        let attempts_left = u64::from(self.settings.max_attempts.saturating_sub(job.sent_count()));
        let is_repeated = ended.never_ran_count >= QUICK_RETRIES && end.outcome.is_transient();
        if is_repeated && job.is_unassigned() && attempts_left > 0 {
            let interval = self.slack(job) / (attempts_left + 1);
            let min_wait = if end.outcome == Outcome::NeverSent { self.window() } else { 0 };
            let until = self.now() + interval.max(min_wait);
            self.state.queue_job(end.job, until);
            self.state.schedule_review(end.job, until, actions);
        }
    }

    /// Probes a few random workers for their load before the job is placed. Returns whether the job must
    /// wait for a response.
    fn probe_sample(&mut self, id: JobId, actions: &mut Vec<Action>) -> bool {
        if !self.settings.may_probe || self.state.is_sampled(id) {
            return false;
        }
        let usual_delay = self.estimates().probe_delay() + self.settings.batch_interval;
        let until = self.now() + OVERDUE_FACTOR as Micros * usual_delay;
        let sample = self.draw_sample(id);
        self.state.probe_sample(id, sample, self.window(), until, actions)
    }

    /// Draws the workers to probe for a job. Workers of other zones are preferred if the job may cross
    /// zones and there is no group, otherwise workers of the dispatcher's own zone.
    fn draw_sample(&mut self, id: JobId) -> Vec<WorkerId> {
        let is_grouped = self.is_grouped();
        let mut pool = self.candidates(id, Purpose::Probing);
        if is_grouped {
            let can_borrow = self.gossip().can_borrow() && !self.gossip().has_silent_peer(self.now());
            pool.retain(|id| self.may_probe_in_group(self.state.worker(*id), can_borrow));
        }
        self.random.shuffle(&mut pool);
        let prefers_remote = !is_grouped && self.state.job(id).is_some_and(|job| self.may_cross_zones(job));
        pool.sort_by_key(|id| self.state.is_outside(*id, self.settings.zone) != prefers_remote);
        pool.truncate(self.by_grouping(&SAMPLE_SIZE));
        pool
    }

    /// Whether a worker may be probed in a group: not while it is ejected, and if slots can be borrowed
    /// from other groups, only if it is suspect or its number of slots is unknown.
    fn may_probe_in_group(&self, worker: &Worker, can_borrow: bool) -> bool {
        let needs_probe = || self.state.is_suspect(worker) || self.state.has_unknown_slots(worker);
        !self.state.is_ejected(worker) && (!can_borrow || needs_probe())
    }
}
