//! Spans of Unix time over which observations are summed up, and their weights by age: exponential decay with a half-life,
//! with the same weight for all observations of a span.

use crate::{Config, Micros};

/// Observations are dropped after this many half-lives.
const KEPT_HALF_LIVES: u64 = 6;
/// The number of steps of a rank per factor of two in contribution.
const RANK_RESOLUTION: f64 = 64.0;

/// Converts times to spans, and gives the weights of spans.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SpanClock {
    /// The Unix time of `start`, in milliseconds.
    epoch_millis: u64,
    /// The caller's time at the epoch.
    start: Micros,
    span: Micros,
    half_life: Micros,
}

impl SpanClock {
    /// Creates a clock for which `start` is the caller's time at the epoch of `config`.
    pub fn new(config: &Config, start: Micros) -> SpanClock {
        SpanClock { epoch_millis: config.epoch, start, span: config.span, half_life: config.half_life }
    }

    /// The number of the span at `now`, counted from the Unix epoch.
    pub fn span_at(&self, now: Micros) -> u32 {
        let unix_micros = self.epoch_millis * 1_000 + now.saturating_sub(self.start);
        u32::try_from(unix_micros / self.span).unwrap_or(u32::MAX)
    }

    /// The oldest span that is still kept at `now`.
    pub fn oldest_at(&self, now: Micros) -> u32 {
        let kept = (KEPT_HALF_LIVES * self.half_life).div_ceil(self.span);
        self.span_at(now).saturating_sub(u32::try_from(kept).unwrap_or(u32::MAX))
    }

    /// The weight in the span `present` of observations in `span`.
    pub fn weight(&self, span: u32, present: u32) -> f64 {
        let half_lives = self.span as f64 / self.half_life as f64;
        (-f64::from(present.saturating_sub(span)) * half_lives).exp2()
    }

    /// The rank of a summary by its contribution: the logarithm of its decayed number of jobs. The rank refers to a fixed
    /// time (forward decay) and never changes. So if there are too many summaries, the choice of those to keep does not
    /// depend on the order of their arrival.
    pub fn rank(&self, span: u32, jobs: u32) -> i64 {
        let per_span = RANK_RESOLUTION * self.span as f64 / self.half_life as f64;
        (f64::from(jobs.max(1)).log2() * RANK_RESOLUTION + f64::from(span) * per_span) as i64
    }
}
