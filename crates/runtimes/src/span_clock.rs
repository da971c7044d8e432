//! Spans of Unix time in which observations are summed up, and how much they weigh by age: exponential decay with a
//! half-life, the same for all observations of a span.

use crate::{Config, Micros};

/// Observations are dropped after this many half-lives.
const KEPT_HALF_LIVES: u64 = 6;
/// Resolution of a rank: steps of a factor of two.
const RANK_RESOLUTION: f64 = 64.0;

/// The span of a moment, and the weight of a span.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SpanClock {
    epoch_millis: u64,
    start: Micros,
    span: Micros,
    half_life: Micros,
}

impl SpanClock {
    /// A clock whose `start` is the moment that the epoch of `config` names.
    pub fn new(config: &Config, start: Micros) -> SpanClock {
        SpanClock { epoch_millis: config.epoch, start, span: config.span, half_life: config.half_life }
    }

    /// The span of the moment `now`.
    pub fn span_at(&self, now: Micros) -> u32 {
        let wall = self.epoch_millis * 1_000 + now.saturating_sub(self.start);
        u32::try_from(wall / self.span).unwrap_or(u32::MAX)
    }

    /// The oldest span that is not dropped at the moment `now`.
    pub fn oldest_at(&self, now: Micros) -> u32 {
        let kept = (KEPT_HALF_LIVES * self.half_life).div_ceil(self.span);
        self.span_at(now).saturating_sub(u32::try_from(kept).unwrap_or(u32::MAX))
    }

    /// The weight in span `present` of what was observed in `span`.
    pub fn weight(&self, span: u32, present: u32) -> f64 {
        let half_lives = self.span as f64 / self.half_life as f64;
        (-f64::from(present.saturating_sub(span)) * half_lives).exp2()
    }

    /// How much a summary contributes: the logarithm of its decayed count, as of a fixed time (forward decay) so that it never
    /// changes. Which summaries are kept where there are too many then depends on the summaries alone and not on the order in
    /// which they came.
    pub fn rank(&self, span: u32, jobs: u32) -> i64 {
        let per_span = RANK_RESOLUTION * self.span as f64 / self.half_life as f64;
        (f64::from(jobs.max(1)).log2() * RANK_RESOLUTION + f64::from(span) * per_span) as i64
    }
}
