//! Local health: a member that seems slow itself gives the others more time (Lifeguard's local health multiplier).

use crate::Micros;

/// A score that rises with signs of trouble here and falls with acknowledged probes; timeouts and periods are multiplied by the
/// score plus one.
#[derive(Debug)]
pub(super) struct LocalHealth {
    score: u32,
    max: u32,
}

impl LocalHealth {
    /// Healthy; the score never exceeds `max`.
    pub fn new(max: u32) -> LocalHealth {
        LocalHealth { score: 0, max }
    }

    /// 0 for healthy.
    pub fn score(&self) -> u32 {
        self.score
    }

    /// Something went wrong that is more likely this member's fault.
    pub fn degrade(&mut self) {
        self.score = (self.score + 1).min(self.max);
    }

    /// A probe was answered.
    pub fn improve(&mut self) {
        self.score = self.score.saturating_sub(1);
    }

    /// A span, lengthened by the present score.
    pub fn scale(&self, span: Micros) -> Micros {
        span * (u64::from(self.score) + 1)
    }
}
