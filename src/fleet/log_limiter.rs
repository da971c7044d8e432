//! A rate limiter of log lines that counts the lines it holds back.

use crate::policy::interface::Micros;

/// Lines that may be written in one go.
const MAX_BURST: u64 = 16;
/// After a burst, one more line may be written each time this span has passed.
const REFILL_INTERVAL: Micros = 500_000;

/// A token bucket: a burst of [`MAX_BURST`] lines, refilled by one line each [`REFILL_INTERVAL`].
#[derive(Debug)]
pub(super) struct LogLimiter {
    tokens: u64,
    last_refill: Micros,
    /// Lines held back since the last line that was admitted.
    suppressed: u64,
}

impl LogLimiter {
    /// A limiter whose burst is still whole.
    pub(super) fn new(now: Micros) -> LogLimiter {
        LogLimiter { tokens: MAX_BURST, last_refill: now, suppressed: 0 }
    }

    /// Admits or suppresses one line. An admitted line gets the number of lines suppressed since the last admitted one.
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
