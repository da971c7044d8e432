//! The state of one job and of its attempts.

use crate::policy::interface::{Micros, NewJob, Outcome, PriorAttempt, WorkerId};

/// The known state of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptState {
    /// The attempt was sent and is not known to run.
    Sent,
    /// The attempt is known to run.
    Running,
    /// The attempt was never sent, and does not count as one.
    NotSent,
    /// The attempt never ran, and its worker may be tried again.
    NeverRan,
    /// The attempt never ran, but the callback that reported this may be repeated and does not identify the attempt. The worker
    /// therefore gets no other attempt of the job.
    ReturnedByCallback,
    /// The attempt has ended, and may have run.
    MayHaveRun,
}

impl AttemptState {
    /// The state of an attempt that has ended with this outcome.
    pub fn after(outcome: Outcome) -> AttemptState {
        match outcome {
            Outcome::NeverSent => AttemptState::NotSent,
            Outcome::ReturnedByCallback => AttemptState::ReturnedByCallback,
            _ if outcome.never_ran() => AttemptState::NeverRan,
            _ => AttemptState::MayHaveRun,
        }
    }

    /// The state of an attempt that another process of this dispatcher made.
    pub fn from_prior(prior: &PriorAttempt) -> AttemptState {
        if prior.is_outstanding {
            return if prior.running_since.is_some() { AttemptState::Running } else { AttemptState::Sent };
        }
        match prior.never_ran {
            true if prior.is_returned_by_callback => AttemptState::ReturnedByCallback,
            true => AttemptState::NeverRan,
            false => AttemptState::MayHaveRun,
        }
    }
}

/// One attempt of a job.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    pub worker: WorkerId,
    pub sent_at: Micros,
    pub(super) state: AttemptState,
    pub(super) running_since: Option<Micros>,
    /// Whether the worker's load showed a free slot for the attempt, and its start has not become overdue yet.
    pub(super) is_start_expected: bool,
}

impl Attempt {
    /// Whether the attempt has been sent and has not ended.
    pub fn is_outstanding(&self) -> bool {
        matches!(self.state, AttemptState::Sent | AttemptState::Running)
    }

    /// Whether the attempt is outstanding and not known to run.
    pub fn is_unstarted(&self) -> bool {
        self.state == AttemptState::Sent
    }

    /// Whether the attempt certainly did not run.
    pub fn never_ran(&self) -> bool {
        matches!(
            self.state,
            AttemptState::NotSent | AttemptState::NeverRan | AttemptState::ReturnedByCallback
        )
    }

    /// Whether the worker of the attempt may not get another attempt of the same job.
    pub fn excludes_worker(&self) -> bool {
        !matches!(self.state, AttemptState::NotSent | AttemptState::NeverRan)
    }
}

/// A job that is open, or closed with an attempt still outstanding.
#[derive(Debug)]
pub(crate) struct Job {
    pub request: NewJob,
    pub arrived: Micros,
    /// The expected work, in microseconds.
    pub work: f64,
    attempts: Vec<Attempt>,
    /// The workers sampled for the job by probes.
    sample: Vec<WorkerId>,
    /// The number of probes of the sample that have not ended yet.
    pending_probes: usize,
    /// The time before which the job is not reviewed, unless a probe response arrives or a slot becomes free.
    wait_until: Micros,
    is_closed: bool,
}

/// The queries that decisions use.
impl Job {
    /// Creates an open job without attempts.
    pub fn new(request: NewJob, arrived: Micros, work: f64) -> Self {
        Job {
            request,
            arrived,
            work,
            attempts: Vec::new(),
            sample: Vec::new(),
            pending_probes: 0,
            wait_until: 0,
            is_closed: false,
        }
    }

    /// Whether a final response is still due.
    pub fn is_open(&self) -> bool {
        !self.is_closed
    }

    /// Whether the job waits and must not be reviewed yet.
    pub fn is_waiting(&self, now: Micros) -> bool {
        now < self.wait_until
    }

    /// The workers that were sampled for the job by probes.
    pub fn sample(&self) -> &[WorkerId] {
        &self.sample
    }

    /// The attempts that may have run, including those that are outstanding.
    pub fn possible_runs(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts.iter().filter(|attempt| !attempt.never_ran())
    }

    /// Whether certainly no attempt ran.
    pub fn never_ran(&self) -> bool {
        self.attempts.iter().all(Attempt::never_ran)
    }

    /// The number of attempts that were sent, or may have been.
    pub fn sent_count(&self) -> u32 {
        self.attempts.iter().filter(|attempt| attempt.state != AttemptState::NotSent).count() as u32
    }

    /// The number of attempts that have not ended.
    pub fn outstanding_count(&self) -> usize {
        self.attempts.iter().filter(|attempt| attempt.is_outstanding()).count()
    }

    /// Whether no attempt is outstanding.
    pub fn is_unassigned(&self) -> bool {
        !self.attempts.iter().any(Attempt::is_outstanding)
    }

    /// The number of attempts that never ran.
    pub fn never_ran_count(&self) -> usize {
        self.attempts.iter().filter(|attempt| attempt.never_ran()).count()
    }

    /// The newest outstanding attempt that has not started.
    pub fn newest_unstarted(&self) -> Option<&Attempt> {
        self.attempts.iter().rfind(|attempt| attempt.is_unstarted())
    }

    /// Whether this worker may not get another attempt of the job.
    pub fn excludes(&self, worker: WorkerId) -> bool {
        self.attempts.iter().any(|attempt| attempt.worker == worker && attempt.excludes_worker())
    }

    /// Whether an attempt is in this state.
    pub fn has(&self, state: AttemptState) -> bool {
        self.attempts.iter().any(|attempt| attempt.state == state)
    }

    /// The indices of the attempts that meet a condition.
    pub fn attempts_where(&self, condition: impl Fn(&Attempt) -> bool) -> impl Iterator<Item = u32> {
        (0..).zip(&self.attempts).filter(move |(_, attempt)| condition(attempt)).map(|(index, _)| index)
    }
}

/// The changes that only the state makes.
impl Job {
    /// Records that the final response has been given or is no longer due.
    pub(super) fn close(&mut self) {
        self.is_closed = true;
    }

    /// Whether the job is closed and has no outstanding attempt.
    pub(super) fn is_over(&self) -> bool {
        self.is_closed && self.is_unassigned()
    }

    /// Lets the job wait: it is not reviewed before `until`, unless a probe response arrives or a slot becomes free.
    pub(super) fn wait_until(&mut self, until: Micros) {
        self.wait_until = until;
    }

    /// Ends the job's wait, so that it may be reviewed at any time.
    pub(super) fn end_wait(&mut self) {
        self.wait_until = 0;
    }

    /// Adds the job's next attempt and returns the attempt's index.
    pub(super) fn add_attempt(&mut self, attempt: Attempt) -> u32 {
        self.attempts.push(attempt);
        self.attempts.len() as u32 - 1
    }

    /// The attempt with this index, if there is one.
    pub(super) fn attempt_mut(&mut self, index: u32) -> Option<&mut Attempt> {
        self.attempts.get_mut(index as usize)
    }

    /// The newest outstanding attempt that has not started.
    pub(super) fn newest_unstarted_mut(&mut self) -> Option<&mut Attempt> {
        self.attempts.iter_mut().rfind(|attempt| attempt.is_unstarted())
    }

    /// Records the workers sampled for the job, and the number of their probes for which it waits, until `until` at most.
    pub(super) fn set_sample(&mut self, sample: Vec<WorkerId>, pending_probes: usize, until: Micros) {
        self.sample = sample;
        self.pending_probes = pending_probes;
        self.wait_until = if pending_probes == 0 { 0 } else { until };
    }

    /// Forgets the job's sample, so that a new one is probed.
    pub(super) fn clear_sample(&mut self) {
        self.sample = Vec::new();
    }

    /// Records that a probe for the job has ended. If it was the last one and the job has no outstanding attempt, ends the job's
    /// wait and returns `true`.
    pub(super) fn end_probe(&mut self) -> bool {
        self.pending_probes = self.pending_probes.saturating_sub(1);
        let is_last = self.pending_probes == 0 && self.is_unassigned();
        if is_last {
            self.end_wait();
        }
        is_last
    }
}
