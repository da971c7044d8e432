//! What to do with an open job now: answer it, wait, probe, queue it, send it, or send a hedged attempt.

use super::*;

/// A job that has been unstarted for this part of its slack is hedged: it may cost as much again.
const HEDGE_FRACTION: f64 = 0.5;
/// Attempts that never ran after which a job's further attempts are spread over its slack.
const QUICK_RETRIES: usize = 2;
/// How many times a job is reviewed in its slack while it is queued here.
const QUEUED_REVIEWS: ByGrouping<u64> = ByGrouping { alone: 16, grouped: 10 };
/// Workers probed for a job at a time.
const SAMPLE_SIZE: ByGrouping<usize> = ByGrouping { alone: 4, grouped: 2 };

impl Policy {
    /// Decides what is to be done about a job now, if it is open and not waiting for something.
    pub fn review(&mut self, id: JobId, actions: &mut Vec<Action>) {
        let Some(job) = self.state.open_job(id) else { return };
        if self.is_past_deadline(job) {
            return self.give_up(id, actions);
        }
        if job.has(AttemptState::Running) || job.is_waiting(self.now()) {
            return;
        }
        if job.is_unassigned() && self.is_hopeless(job) {
            return self.give_up(id, actions);
        }
        if !self.awaits_start(id, actions) {
            self.place(id, actions);
        }
    }

    /// Whether the job goes on waiting for its newest attempt to start, rather than to be hedged.
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
        // A worker that does not start what its report had room for is ejected for a while.
        let was_start_expected = self.state.take_start_expectation(id);
        let is_alive = self.state.worker(worker).was_seen_after(sent_at);
        if was_start_expected && self.settings.reports_start && (self.is_grouped() || !is_alive) {
            self.record_failure(worker);
        }
        if self.now() < hedge_at {
            self.state.schedule_review(id, hedge_at, actions);
            return true;
        }
        // A worker that was seen since is alive: the job is in its queue and will run there in any case.
        is_alive || !may_hedge
    }

    /// Sends the job to a worker, probes for one, or queues it here.
    fn place(&mut self, id: JobId, actions: &mut Vec<Action>) {
        let Some(job) = self.state.job(id) else { return };
        let is_unassigned = job.is_unassigned();
        let must_wait = is_unassigned && !self.is_grouped() && self.is_behind_queue(id);
        // Others are asked for a slot only where the group's own workers have no capacity.
        let has_fresh = self.is_grouped() && self.pick(id).is_some_and(|pick| pick.rank == Rank::Fresh);
        if is_unassigned && !has_fresh && !must_wait && self.probe_sample(id, actions) {
            return;
        }
        match self.pick(id) {
            Some(pick) if !must_wait && self.may_use(id, pick.rank) => self.send(id, &pick, actions),
            _ => self.queue_or_wait(id, actions),
        }
    }

    /// Whether the best worker is good enough for the job now. A full one at once where starts are reported,
    /// else once the job has waited here; alone then even one that is ejected.
    fn may_use(&self, id: JobId, rank: Rank) -> bool {
        let Some(job) = self.state.job(id) else { return false };
        let is_grouped = self.is_grouped();
        let is_start_reported = self.slack(job) > 0 && self.settings.reports_start && !is_grouped;
        match rank {
            Rank::Fresh => true,
            _ if !job.is_unassigned() => false,
            Rank::Unknown => true,
            Rank::Full => is_start_reported || self.has_waited_here(job),
            Rank::Overloaded => false,
            Rank::Unprobed | Rank::Ejected => !is_grouped && self.has_waited_here(job),
        }
    }

    /// Sends the job to the worker that was picked, to be reviewed once its start is overdue.
    fn send(&mut self, id: JobId, pick: &Candidate, actions: &mut Vec<Action>) {
        let is_start_expected = pick.rank == Rank::Fresh;
        let window = self.settings.collapse_window;
        let Some(work) = self.state.send(id, pick.worker, is_start_expected, window, actions) else { return };
        self.state.schedule_review(id, self.now() + self.start_timeout(work), actions);
    }

    /// Nothing has capacity: the job waits here, and then for a report that shows some. The wait also
    /// prevents endless probes where they fail at once.
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

    /// A job's place among those queued here: the one that must start soonest first. But where late ones earn
    /// too, one past its latency objective goes last, the newest first, or under overload all would be served
    /// just too late. One that was rejected again and again has none: its last attempts are spread.
    fn queue_position(&self, id: JobId) -> Option<QueuePosition> {
        let job = self.state.job(id).filter(|job| job.unrun_count() < QUICK_RETRIES)?;
        let latest = self.latest_start(job);
        let class = self.class(job);
        let is_late = class.late_weight > 0.0 && self.now() >= job.arrived + class.latency_objective;
        Some(QueuePosition { is_late, order: if is_late { Micros::MAX - latest } else { latest }, job: id })
    }

    /// The places of the jobs queued here, but for those that have none.
    fn queue_positions(&self) -> impl Iterator<Item = QueuePosition> {
        self.state.queue().iter().filter_map(|id| self.queue_position(id))
    }

    /// Whether a job that is queued here goes before this one.
    fn is_behind_queue(&self, id: JobId) -> bool {
        self.queue_positions().min().is_some_and(|first| Some(first) < self.queue_position(id))
    }

    /// A start or an end may mean capacity: the queued jobs are reviewed in turn as long as one is sent.
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

    /// Spreads a job's last attempts over the time left, once it was repeatedly rejected or not sent.
    pub fn delay_retry(&mut self, end: &AttemptEnded, ended: &EndedAttempt, actions: &mut Vec<Action>) {
        let Some(job) = self.state.open_job(end.job) else { return };
        let attempts_left = u64::from(self.settings.max_attempts.saturating_sub(job.sent_count()));
        let is_repeated = ended.unrun_count >= QUICK_RETRIES && end.outcome.is_transient();
        if is_repeated && job.is_unassigned() && attempts_left > 0 {
            let interval = self.slack(job) / (attempts_left + 1);
            let min_wait = if end.outcome == Outcome::NeverSent { self.window() } else { 0 };
            let until = self.now() + interval.max(min_wait);
            self.state.queue_job(end.job, until);
            self.state.schedule_review(end.job, until, actions);
        }
    }

    /// Probes a few random workers for their load before the job is placed; true if the job is to wait.
    fn probe_sample(&mut self, id: JobId, actions: &mut Vec<Action>) -> bool {
        if !self.settings.may_probe || self.state.is_sampled(id) {
            return false;
        }
        let usual_delay = self.estimates().probe_delay() + self.settings.tick;
        let until = self.now() + OVERDUE as Micros * usual_delay;
        let sample = self.draw_sample(id);
        self.state.probe_sample(id, sample, self.window(), until, actions)
    }

    /// Draws workers to probe for a job: those of other zones first, once it may go there.
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

    /// Whether a worker may be probed in a group: none that is ejected, and where other groups can be asked
    /// for a slot, only one of unknown size, or one that failed and has rested.
    fn may_probe_in_group(&self, worker: &Worker, can_borrow: bool) -> bool {
        let is_unclear = || self.state.is_suspect(worker) || self.state.is_unsized(worker);
        !self.state.is_ejected(worker) && (!can_borrow || is_unclear())
    }
}
