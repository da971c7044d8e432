//! A start on an old list: its workers are tried few at a time until a dispatcher has seen them alive.

use crate::shared_observations::WorkerStatus;
use crate::{Micros, WorkerTag};
use std::collections::HashMap;

/// The most trials of unconfirmed workers under way at once, to begin with.
const FIRST_MAX_TRIALS: usize = 4;
/// Each failure allows one trial more at once, up to this: a list that names only dead workers is gone through quickly.
const MAX_TRIALS: usize = 32;
/// A worker that showed a fault is left alone for this long, in microseconds, and by the last of the places for twice as
/// long: one that looks again publishes what it sees.
const FAULT_BACKOFF: Micros = 5_000_000;

/// What is known of one unconfirmed worker since the start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TrialState {
    Untried,
    UnderWay,
    /// It failed here then.
    FailedAt(Micros),
}

/// Which workers of the list at the start may be used how.
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
    /// As any other.
    Unrestricted,
    /// With one job, which counts as a trial: call [`HealthConfirmation::begin_trial`] when it goes out.
    Trial,
    /// Not now.
    Refused,
}

impl HealthConfirmation {
    /// These workers are on the list at the start; nobody has seen them yet.
    pub fn new(tags: impl IntoIterator<Item = WorkerTag>, place: u16, places: u16) -> HealthConfirmation {
        let fault_backoff = FAULT_BACKOFF + FAULT_BACKOFF * u64::from(place) / u64::from(places.max(1));
        let unconfirmed = tags.into_iter().map(|tag| (tag, TrialState::Untried)).collect();
        HealthConfirmation { unconfirmed, trials: 0, max_trials: FIRST_MAX_TRIALS, fault_backoff }
    }

    /// How this worker may be used now, with what the members observed of it. An observation never admits a worker that is
    /// on no list, and never counts as a list of the service.
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

    /// A trial of this worker begins.
    pub fn begin_trial(&mut self, tag: WorkerTag) {
        if let Some(state) = self.unconfirmed.get_mut(&tag).filter(|state| **state != TrialState::UnderWay) {
            *state = TrialState::UnderWay;
            self.trials += 1;
        }
        mothproxy_invariant::invariant!(self.trials <= MAX_TRIALS, "more tries at once than may be");
    }

    /// A trial, or any other use, ended: the worker is alive or it is not.
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

    /// The service's own list names it: it needs no trial.
    pub fn on_listed(&mut self, tag: WorkerTag) {
        if self.unconfirmed.remove(&tag) == Some(TrialState::UnderWay) {
            self.trials -= 1;
        }
    }

    /// How many trials are under way.
    pub fn trials(&self) -> usize {
        self.trials
    }

    /// How many workers nobody here has confirmed yet.
    pub fn unconfirmed(&self) -> usize {
        self.unconfirmed.len()
    }
}
