//! What to do with an open job now: answer it, wait, probe, queue it, send it, or send a hedged attempt.

use super::*;

/// A job that has been unstarted for this part of its slack is hedged: it may cost as much again.
const HEDGE_FRACTION: f64 = 0.5;
/// Attempts that never ran after which a job's further attempts are spread over its slack.
const QUICK_RETRIES: usize = 2;
/// How many times a job is reviewed in its slack while it is queued here (in a group).
const QUEUED_REVIEWS: [u64; 2] = [16, 10];
/// Workers probed for a job at a time (in a group).
const SAMPLE_SIZE: [usize; 2] = [4, 2];

impl Policy {
    pub fn review(&mut self, id: JobId, actions: &mut Vec<Action>) {
        let Some(job) = self.state.jobs.get(&id).filter(|job| !job.is_closed) else { return };
        if self.is_past_deadline(job) {
            return self.give_up(id, actions);
        }
        if job.has(AttemptState::Running) || self.state.now < job.wait_until {
            return;
        }
        if job.outstanding_count() == 0 && self.is_hopeless(job) {
            return self.give_up(id, actions);
        }
        if !self.awaits_start(id, actions) {
            self.place(id, actions);
        }
    }

    /// Whether the job goes on waiting for its newest attempt to start, rather than to be hedged.
    fn awaits_start(&mut self, id: JobId, actions: &mut Vec<Action>) -> bool {
        let Some(job) = self.state.jobs.get(&id) else { return false };
        let (start_timeout, latest) = (self.start_timeout(job.work), self.latest_start(job));
        let is_repeatable = self.class(job).idempotency != Idempotency::NonIdempotent;
        let may_hedge = job.outstanding_count() == 1 && is_repeatable && !self.is_out_of_attempts(job);
        let Some(attempt) = job.newest_unstarted() else { return false };
        let (worker, sent_at) = (attempt.worker, attempt.at);
        if self.state.now < sent_at + start_timeout {
            self.state.schedule_review(id, sent_at + start_timeout, actions);
            return true;
        }
        // A worker that does not start what its report had room for is ejected for a while.
        let was_start_expected = self.state.take_start_expectation(id);
        let is_alive = self.state.worker(worker).last_seen > sent_at;
        if was_start_expected && self.settings.reports_start && (self.is_grouped() || !is_alive) {
            self.record_failure(worker);
        }
        let hedge_at = sent_at + (latest.saturating_sub(sent_at) as f64 * HEDGE_FRACTION) as Micros;
        if self.state.now < hedge_at {
            self.state.schedule_review(id, hedge_at, actions);
            return true;
        }
        // A worker that was seen since is alive: the job is in its queue and will run there in any case.
        is_alive || !may_hedge
    }

    /// Sends the job to a worker, probes for one, or queues it here.
    fn place(&mut self, id: JobId, actions: &mut Vec<Action>) {
        let Some(job) = self.state.jobs.get(&id) else { return };
        let is_unassigned = job.outstanding_count() == 0;
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
        let Some(job) = self.state.jobs.get(&id) else { return false };
        let (is_grouped, has_waited) = (self.is_grouped(), self.has_waited_here(job));
        let is_start_reported = self.slack(job) > 0 && self.settings.reports_start && !is_grouped;
        match rank {
            Rank::Fresh => true,
            _ if job.outstanding_count() > 0 => false,
            Rank::Unknown => true,
            Rank::Full => is_start_reported || has_waited,
            Rank::Overloaded => false,
            Rank::Unprobed | Rank::Ejected => has_waited && !is_grouped,
        }
    }

    fn send(&mut self, id: JobId, pick: &Candidate, actions: &mut Vec<Action>) {
        let is_start_expected = pick.rank == Rank::Fresh;
        let window = self.settings.collapse_window;
        let Some(work) = self.state.start_attempt(id, pick.worker, is_start_expected, window) else { return };
        actions.push(Action::Send { job: id, worker: pick.worker, limit: None });
        self.state.schedule_review(id, self.state.now + self.start_timeout(work), actions);
    }

    /// Nothing has capacity: the job waits here, and then for a report that shows some. The wait also
    /// prevents endless probes where they fail at once.
    fn queue_or_wait(&mut self, id: JobId, actions: &mut Vec<Action>) {
        let Some(job) = self.state.jobs.get(&id) else { return };
        let (slack, is_unassigned) = (self.slack(job), job.outstanding_count() == 0);
        let span = if slack > 0 { slack } else { job.request.deadline - self.state.now };
        let reviews = QUEUED_REVIEWS[usize::from(self.is_grouped())];
        let until = self.state.now + span.max(self.window()) / reviews;
        if is_unassigned {
            self.state.clear_sample(id);
            self.state.queue_job(id, until);
            self.state.gossip.request_slot(self.settings.zone, self.random.u32(..), actions);
        }
        self.state.schedule_review(id, until, actions);
    }

    /// A job's place among those queued here: the one that must start soonest first. But where late ones earn
    /// too, one past its latency objective goes last, the newest first, or under overload all would be served
    /// just too late. One that was rejected again and again has none: its last attempts are spread.
    fn turn(&self, id: JobId) -> Option<Turn> {
        let job = self.state.jobs.get(&id).filter(|job| job.unrun_count() < QUICK_RETRIES)?;
        let (latest, class) = (self.latest_start(job), self.class(job));
        let is_late = class.late_weight > 0.0 && self.state.now >= job.arrived + class.latency_objective;
        Some(Turn { is_late, order: if is_late { Micros::MAX - latest } else { latest }, job: id })
    }

    fn is_behind_queue(&self, id: JobId) -> bool {
        let first = self.state.queued.iter().filter_map(|queued| self.turn(*queued)).min();
        first.is_some_and(|first| Some(first) < self.turn(id))
    }

    /// A start or an end may mean capacity: the queued jobs are reviewed in turn as long as one is sent.
    pub fn review_queued(&mut self, actions: &mut Vec<Action>) {
        let mut turns: Vec<Turn> = self.state.queued.iter().filter_map(|id| self.turn(*id)).collect();
        turns.sort_unstable();
        for Turn { job: id, .. } in turns {
            self.state.end_wait(id);
            self.review(id, actions);
            if self.state.queued.contains(&id) {
                break;
            }
        }
    }

    /// A job that was rejected, or not sent, again and again: the attempts left are spread over the time
    /// left.
    pub fn delay_retry(&mut self, end: &AttemptEnded, ended: &EndedAttempt, actions: &mut Vec<Action>) {
        let Some(job) = self.state.jobs.get(&end.job).filter(|job| !job.is_closed) else { return };
        let attempts_left = u64::from(self.settings.max_attempts.saturating_sub(job.sent_count()));
        let is_repeated = ended.unrun_count >= QUICK_RETRIES && end.outcome.is_transient();
        if is_repeated && job.outstanding_count() == 0 && attempts_left > 0 {
            let interval = self.slack(job) / (attempts_left + 1);
            let min_wait = if end.outcome == Outcome::NeverSent { self.window() } else { 0 };
            let until = self.state.now + interval.max(min_wait);
            self.state.queue_job(end.job, until);
            self.state.schedule_review(end.job, until, actions);
        }
    }

    /// Probes a few random workers for their load before the job is placed; true if the job is to wait.
    fn probe_sample(&mut self, id: JobId, actions: &mut Vec<Action>) -> bool {
        if !self.settings.may_probe || self.state.is_sampled(id) {
            return false;
        }
        let (sample, window) = (self.draw_sample(id), self.window());
        let is_stale = |id: &WorkerId| self.state.fresh_load(*id, window).is_none();
        let stale: Vec<WorkerId> = sample.iter().copied().filter(is_stale).collect();
        self.state.probe(id, &stale, actions);
        let delay = self.estimates().probe_delay.value as Micros + self.settings.tick;
        let until = self.state.now + OVERDUE as Micros * delay;
        self.state.set_sample(id, sample, stale.len(), until);
        self.state.schedule_review(id, until, actions);
        !stale.is_empty()
    }

    /// Another zone is probed first once the job may go there: the own one had no capacity.
    fn draw_sample(&mut self, id: JobId) -> Vec<WorkerId> {
        let mut pool = self.candidates(id, Purpose::Probing);
        let (is_grouped, gossip) = (self.is_grouped(), &self.state.gossip);
        if is_grouped {
            let can_borrow = gossip.can_borrow() && !gossip.has_silent_peer(self.state.now);
            pool.retain(|id| self.is_worth_probing(self.state.worker(*id), can_borrow));
        }
        self.random.shuffle(&mut pool);
        let job = self.state.jobs.get(&id);
        let prefers_remote = job.is_some_and(|job| !is_grouped && self.may_cross_zones(job));
        let is_remote = |id: &WorkerId| self.state.is_outside(*id, self.settings.zone);
        pool.sort_by_key(|id| is_remote(id).is_some_and(|is_remote| is_remote != prefers_remote));
        pool.truncate(SAMPLE_SIZE[usize::from(is_grouped)]);
        pool
    }

    /// In a group only workers that are not ejected are probed; and where other groups can be asked for a
    /// slot, only those of unknown size, or that failed and have rested.
    fn is_worth_probing(&self, worker: &Worker, can_borrow: bool) -> bool {
        let is_unclear = || self.state.is_suspect(worker) || self.state.is_unsized(worker);
        !self.state.is_ejected(worker) && (!can_borrow || is_unclear())
    }
}
