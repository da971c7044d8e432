//! Confirmation of the workers of an old endpoint list after a start.
//!
//! No dispatcher has seen these workers alive since the start, so only a few of them are tried at a time. A worker is
//! confirmed once a dispatcher has seen it alive.

use crate::shared_observations::WorkerStatus;
use crate::{Micros, WorkerTag};
use std::collections::HashMap;

/// The initial limit of concurrent trials of unconfirmed workers.
const INITIAL_MAX_TRIALS: usize = 4;
/// The maximum of the limit, which each failed trial raises by one, so that a list of dead workers is tried quickly.
const MAX_TRIALS: usize = 32;
/// How long a faulty worker gets no jobs, in microseconds: this long at the first place, increasing to twice as long at the
/// last. The first places to try the worker again publish the result, so the other places need no trial of their own.
const FAULT_BACKOFF: Micros = 5_000_000;

/// The state of one unconfirmed worker since the start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TrialState {
    Untried,
    UnderWay,
    /// A trial or another use by this dispatcher failed at this time.
    FailedAt(Micros),
}

/// Tracks the unconfirmed workers of the list that was held at the start, and how each may be used.
#[derive(Debug)]
pub struct HealthConfirmation {
    unconfirmed: HashMap<WorkerTag, TrialState>,
    trials: usize,
    max_trials: usize,
    fault_backoff: Micros,
}

/// How a worker may be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The worker may be used like any confirmed worker.
    Unrestricted,
    /// The worker may get one job, which counts as a trial. Call [`HealthConfirmation::begin_trial`] when the job is sent.
    Trial,
    /// The worker must not be used at present.
    Refused,
}

impl HealthConfirmation {
    /// Starts with the workers of the list that was held at the start, all unconfirmed.
    pub fn new(tags: impl IntoIterator<Item = WorkerTag>, place: u16, places: u16) -> HealthConfirmation {
        let fault_backoff = FAULT_BACKOFF + FAULT_BACKOFF * u64::from(place) / u64::from(places.max(1));
        let unconfirmed = tags.into_iter().map(|tag| (tag, TrialState::Untried)).collect();
        HealthConfirmation { unconfirmed, trials: 0, max_trials: INITIAL_MAX_TRIALS, fault_backoff }
    }

    /// How this worker may be used now, given what the members observed of it. An observation never admits a worker that is
    /// on no list, and never replaces a list from the service.
    pub fn admission(&self, tag: WorkerTag, status: Option<&WorkerStatus>, now: Micros) -> Admission {
        let fault = status.and_then(|status| status.fault);
        let is_faulty = fault.is_some_and(|(_, age)| age < self.fault_backoff);
        match self.unconfirmed.get(&tag) {
            _ if is_faulty => Admission::Refused,
            None => Admission::Unrestricted,
            Some(_) if status.is_some_and(|status| status.alive.is_some()) => Admission::Unrestricted,
            Some(TrialState::UnderWay) => Admission::Refused,
            Some(TrialState::FailedAt(at)) if now < at + self.fault_backoff => Admission::Refused,
            Some(_) if self.trials < self.max_trials => Admission::Trial,
            Some(_) => Admission::Refused,
        }
    }

    /// Records that a trial of this worker begins.
    pub fn begin_trial(&mut self, tag: WorkerTag) {
        if let Some(state) = self.unconfirmed.get_mut(&tag).filter(|state| **state != TrialState::UnderWay) {
            *state = TrialState::UnderWay;
            self.trials += 1;
        }
        mothproxy_invariant::invariant!(
            self.trials <= MAX_TRIALS,
            "{} concurrent trials exceed the limit of {MAX_TRIALS}",
            self.trials
        );
    }

    /// Records the result of a trial or of any other use: whether the worker is alive.
    pub fn on_result(&mut self, tag: WorkerTag, is_alive: bool, now: Micros) {
        let Some(state) = self.unconfirmed.get_mut(&tag) else { return };
        let was_trial = *state == TrialState::UnderWay;
        self.trials -= usize::from(was_trial);
        if is_alive {
            self.unconfirmed.remove(&tag);
        } else {
            *state = TrialState::FailedAt(now);
            self.max_trials = (self.max_trials + usize::from(was_trial)).min(MAX_TRIALS);
        }
    }

    /// Records that the service's current list contains this worker, which then needs no trial.
    pub fn on_listed(&mut self, tag: WorkerTag) {
        if self.unconfirmed.remove(&tag) == Some(TrialState::UnderWay) {
            self.trials -= 1;
        }
    }

    /// The number of trials under way.
    pub fn trials(&self) -> usize {
        self.trials
    }

    /// The number of workers that this dispatcher has not confirmed yet.
    pub fn unconfirmed(&self) -> usize {
        self.unconfirmed.len()
    }
}
