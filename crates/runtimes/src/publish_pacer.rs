//! The rate limit of published facts: a token bucket, and a pause after an attempt without a fact to publish.

use crate::{Config, Micros};

/// The capacity of the bucket, as the time in which it fills: the maximum burst after a time without any fact.
const BURST_SECONDS: f64 = 10.0;
/// The pause after an attempt without a fact to publish, in microseconds.
const IDLE_INTERVAL: Micros = 500_000;

/// Determines when a fact may be published.
#[derive(Debug)]
pub(crate) struct PublishPacer {
    facts_per_s: f64,
    tokens: f64,
    refilled_at: Micros,
    idle_until: Micros,
}

impl PublishPacer {
    pub fn new(config: &Config, now: Micros) -> PublishPacer {
        let tokens = BURST_SECONDS * config.facts_per_s;
        PublishPacer { facts_per_s: config.facts_per_s, tokens, refilled_at: now, idle_until: now }
    }

    /// Whether a fact may be published now.
    pub fn is_ready(&mut self, now: Micros) -> bool {
        let earned = (now - self.refilled_at) as f64 * self.facts_per_s / 1e6;
        self.refilled_at = now;
        self.tokens = (self.tokens + earned).min((BURST_SECONDS * self.facts_per_s).max(1.0));
        self.tokens >= 1.0 && now >= self.idle_until
    }

    /// Records that a fact was published.
    pub fn on_published(&mut self) {
        self.tokens -= 1.0;
    }

    /// Records that there was no fact to publish.
    pub fn on_idle(&mut self, now: Micros) {
        self.idle_until = now + IDLE_INTERVAL;
    }
}
