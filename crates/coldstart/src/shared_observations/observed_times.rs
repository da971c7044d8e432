//! The latest time of each thing observed of one worker.

use super::{Fault, Observation, Report};
use crate::Millis;

/// Times are Unix milliseconds, 0 for never. Two of these are joined by taking the maximum of each.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct ObservedTimes {
    pub alive: Millis,
    /// By [`Fault`].
    pub faults: [Millis; 3],
    pub warming_up: Millis,
    pub reported: Millis,
    /// The report of that time.
    pub report: Report,
}

impl ObservedTimes {
    /// One observation.
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

    /// Takes the maximum of each time; of two reports of one time the greater one.
    pub fn join(&mut self, other: &ObservedTimes) {
        self.alive = self.alive.max(other.alive);
        for (own, other) in self.faults.iter_mut().zip(other.faults) {
            *own = (*own).max(other);
        }
        self.warming_up = self.warming_up.max(other.warming_up);
        (self.reported, self.report) = (self.reported, self.report).max((other.reported, other.report));
    }

    /// The time of the newest observation.
    pub fn newest(&self) -> Millis {
        self.faults.into_iter().chain([self.alive, self.warming_up, self.reported]).max().unwrap_or(0)
    }

    /// The worst fault that no later proof of life refutes, with its time.
    pub fn worst_fault(&self) -> Option<(Fault, Millis)> {
        let worst_first = [Fault::Refuses, Fault::Hangs, Fault::Resets];
        let mut faults = worst_first.into_iter().map(|fault| (fault, self.faults[fault as usize]));
        faults.find(|(_, at)| *at > self.alive)
    }
}
