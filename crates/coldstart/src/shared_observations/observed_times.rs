//! The latest time of each kind of observation of one worker.

use super::{Fault, Observation, Report};
use crate::Millis;

/// The latest time of each kind of observation, in Unix milliseconds; 0 for never. Two of these are joined by taking the
/// maximum of each time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct ObservedTimes {
    pub alive: Millis,
    /// The time of each [`Fault`], indexed by its discriminant.
    pub faults: [Millis; 3],
    pub warming_up: Millis,
    pub reported: Millis,
    /// The load report of the time `reported`.
    pub report: Report,
}

impl ObservedTimes {
    /// The times after a single observation at `at`.
    pub fn from_observation(observation: Observation, at: Millis) -> ObservedTimes {
        let mut times = ObservedTimes::default();
        match observation {
            Observation::Fault(fault) => {
                times.faults[fault as usize] = at;
                return times;
            }
            Observation::Alive => {}
            Observation::WarmingUp => times.warming_up = at,
            Observation::Report(report) => {
                times.reported = at;
                times.report = report;
            }
        }
        times.alive = at;
        times
    }

    /// Takes the maximum of each time. Of two reports with the same time it keeps the greater.
    pub fn join(&mut self, other: &ObservedTimes) {
        self.alive = self.alive.max(other.alive);
        for (own, other) in self.faults.iter_mut().zip(other.faults) {
            *own = (*own).max(other);
        }
        self.warming_up = self.warming_up.max(other.warming_up);
        // Compared as a pair, so that the result does not depend on the order of joins.
        (self.reported, self.report) = (self.reported, self.report).max((other.reported, other.report));
    }

    /// The time of the newest observation.
    pub fn newest(&self) -> Millis {
        self.faults.into_iter().chain([self.alive, self.warming_up, self.reported]).max().unwrap_or(0)
    }

    /// The worst fault that is newer than the last proof of life, with its time.
    pub fn worst_fault(&self) -> Option<(Fault, Millis)> {
        let worst_first = [Fault::Refuses, Fault::Hangs, Fault::Resets];
        let mut faults = worst_first.into_iter().map(|fault| (fault, self.faults[fault as usize]));
        faults.find(|(_, at)| *at > self.alive)
    }
}
