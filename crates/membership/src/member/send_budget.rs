//! The limit of the sending rate: a token bucket over the bytes of datagrams.

use crate::{MAX_DATAGRAM_BYTES, Micros};

/// Tokens are millionths of a byte, so that a rate in bytes per second times microseconds needs no rounding.
const TOKENS_PER_BYTE: u64 = 1_000_000;
/// The capacity of the bucket, as the time in which the rate fills it.
const BURST_TIME: Micros = 500_000;

/// The token bucket of one member.
#[derive(Debug)]
pub(super) struct SendBudget {
    bytes_per_second: u32,
    tokens: u64,
}

impl SendBudget {
    /// A full bucket.
    pub fn new(bytes_per_second: u32) -> SendBudget {
        let mut budget = SendBudget { bytes_per_second, tokens: 0 };
        budget.tokens = budget.capacity();
        budget
    }

    fn capacity(&self) -> u64 {
        u64::from(self.bytes_per_second) * BURST_TIME
    }

    /// Adds the tokens for the elapsed time.
    pub fn refill(&mut self, elapsed: Micros) {
        let gained = elapsed.saturating_mul(self.bytes_per_second.into());
        self.tokens = self.tokens.saturating_add(gained).min(self.capacity());
    }

    /// Whether background datagrams may be sent. A quarter of the bucket is reserved for probes and refutations.
    pub fn has_room_for_background(&self) -> bool {
        self.tokens >= self.capacity() / 4 + MAX_DATAGRAM_BYTES as u64 * TOKENS_PER_BYTE
    }

    /// Takes the tokens of a datagram of this length. Returns false, and takes none, if there are too few.
    pub fn try_spend(&mut self, bytes: usize) -> bool {
        let cost = bytes as u64 * TOKENS_PER_BYTE;
        let is_affordable = cost <= self.tokens;
        if is_affordable {
            self.tokens -= cost;
        }
        is_affordable
    }
}
