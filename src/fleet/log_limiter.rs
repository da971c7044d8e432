//! A rate limiter for log lines that counts the suppressed lines.

use crate::policy::interface::Micros;

/// The maximum number of lines in a burst.
const MAX_BURST: u64 = 16;
/// The interval at which one more line is admitted after a burst, in microseconds.
const REFILL_INTERVAL: Micros = 500_000;

/// A token bucket: a burst of [`MAX_BURST`] lines, refilled by one line each [`REFILL_INTERVAL`].
#[derive(Debug)]
pub(super) struct LogLimiter {
    tokens: u64,
    last_refill: Micros,
    /// The number of lines suppressed since the last admitted line.
    suppressed: u64,
}

impl LogLimiter {
    /// Creates a limiter that admits a full burst.
    pub(super) fn new(now: Micros) -> LogLimiter {
        LogLimiter { tokens: MAX_BURST, last_refill: now, suppressed: 0 }
    }

    /// Admits or suppresses one line. Returns the number of lines suppressed since the last admitted one; `None` if this line is
    /// suppressed.
    pub(super) fn admit(&mut self, now: Micros) -> Option<u64> {
        self.refill(now);
        if self.tokens == 0 {
            self.suppressed += 1;
            return None;
        }
        self.tokens -= 1;
        Some(std::mem::take(&mut self.suppressed))
    }

    fn refill(&mut self, now: Micros) {
        let intervals = now.saturating_sub(self.last_refill) / REFILL_INTERVAL;
        self.tokens = (self.tokens + intervals).min(MAX_BURST);
        self.last_refill += intervals * REFILL_INTERVAL;
    }
}

#[cfg(test)]
mod tests;
