//! What is known of one open job and of its attempts.

use crate::policy::interface::{Micros, NewJob, Outcome, PriorAttempt, WorkerId};

#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum AttemptState {
    /// Sent, and not known to run.
    Sent,
    Running,
    /// It was never sent, and does not count as an attempt.
    NotSent,
    /// It never ran; its worker may be tried again.
    NotRun,
    /// It never ran, but the callback that said so may be repeated, and names no attempt: its worker gets no other.
    HandedBack,
    MayHaveRun,
}

impl AttemptState {
    pub fn after(outcome: Outcome) -> AttemptState {
        match outcome {
            Outcome::NeverSent => AttemptState::NotSent,
            Outcome::HandedBack => AttemptState::HandedBack,
            _ if outcome.never_ran() => AttemptState::NotRun,
            _ => AttemptState::MayHaveRun,
        }
    }

    /// The state of an attempt that another process of this node made.
    pub fn of_prior(prior: &PriorAttempt) -> AttemptState {
        match (prior.out, prior.running_since, prior.never_ran) {
            (true, None, _) => AttemptState::Sent,
            (true, Some(_), _) => AttemptState::Running,
            (false, _, true) if prior.handed_back => AttemptState::HandedBack,
            (false, _, true) => AttemptState::NotRun,
            (false, _, false) => AttemptState::MayHaveRun,
        }
    }
}

#[derive(Debug)]
pub(crate) struct Attempt {
    pub worker: WorkerId,
    pub at: Micros,
    pub state: AttemptState,
    pub running_since: Option<Micros>,
    /// Its worker's load showed room for it, and it is not yet overdue to start.
    pub is_start_expected: bool,
}

impl Attempt {
    pub fn is_outstanding(&self) -> bool {
        matches!(self.state, AttemptState::Sent | AttemptState::Running)
    }

    pub fn never_ran(&self) -> bool {
        matches!(self.state, AttemptState::NotSent | AttemptState::NotRun | AttemptState::HandedBack)
    }

    /// Whether its worker may not have another attempt of its job.
    pub fn excludes_worker(&self) -> bool {
        !matches!(self.state, AttemptState::NotSent | AttemptState::NotRun)
    }
}

#[derive(Debug)]
pub(crate) struct Job {
    pub request: NewJob,
    pub arrived: Micros,
    /// Expected work.
    pub work: f64,
    pub attempts: Vec<Attempt>,
    /// Workers sampled for it by probes, and how many of them have not responded yet.
    pub sample: Vec<WorkerId>,
    pub pending_probes: usize,
    /// It is not reviewed before this, unless a probe response or free capacity arrives.
    pub wait_until: Micros,
    pub is_closed: bool,
}

impl Job {
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

    /// How many attempts were sent, or may have been.
    pub fn sent_count(&self) -> u32 {
        self.attempts.iter().filter(|a| a.state != AttemptState::NotSent).count() as u32
    }

    pub fn outstanding_count(&self) -> usize {
        self.attempts.iter().filter(|a| a.is_outstanding()).count()
    }

    /// How many attempts never ran.
    pub fn unrun_count(&self) -> usize {
        self.attempts.iter().filter(|a| a.never_ran()).count()
    }

    pub fn newest_unstarted(&self) -> Option<&Attempt> {
        self.attempts.iter().rfind(|a| a.state == AttemptState::Sent)
    }

    /// Whether this worker may not have another attempt of it.
    pub fn excludes(&self, worker: WorkerId) -> bool {
        self.attempts.iter().any(|a| a.worker == worker && a.excludes_worker())
    }

    /// Whether an attempt is in this state.
    pub fn has(&self, state: AttemptState) -> bool {
        self.attempts.iter().any(|a| a.state == state)
    }

    /// The indices of its attempts that meet a condition.
    pub fn attempts_where(&self, condition: impl Fn(&Attempt) -> bool) -> impl Iterator<Item = u32> {
        (0..).zip(&self.attempts).filter(move |(_, attempt)| condition(attempt)).map(|(index, _)| index)
    }
}
