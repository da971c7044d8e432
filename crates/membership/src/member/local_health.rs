//! Local health: a member that is probably slow itself gives the others more time (Lifeguard's local health multiplier).

use crate::Micros;

/// A score that rises with signs of a local problem and falls with acknowledged probes. Timeouts and periods are multiplied
/// by the score plus one.
#[derive(Debug)]
pub(super) struct LocalHealth {
    score: u32,
    max: u32,
}

impl LocalHealth {
    /// The state of a healthy member. Its score never exceeds `max`.
    pub fn new(max: u32) -> LocalHealth {
        LocalHealth { score: 0, max }
    }

    /// The score; 0 is healthy.
    pub fn score(&self) -> u32 {
        self.score
    }

    /// Raises the score after a failure whose cause is more likely at this member itself.
    pub fn degrade(&mut self) {
        self.score = (self.score + 1).min(self.max);
    }

    /// Lowers the score after an answered probe.
    pub fn improve(&mut self) {
        self.score = self.score.saturating_sub(1);
    }

    /// Multiplies a span by the score plus one.
    pub fn scale(&self, span: Micros) -> Micros {
        span * (u64::from(self.score) + 1)
    }
}
