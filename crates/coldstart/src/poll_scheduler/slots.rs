//! The own slots of a place within rounds.

use crate::Micros;

/// The first calls of a start are stretched over this fraction of a round, within the bounds below, so that a member that
/// finds the service down is known of before most have called.
const FIRST_CALLS_FRACTION: f64 = 1.0;
/// The least time over which first calls are stretched, in microseconds.
const MIN_FIRST_CALLS_SPAN: Micros = 100_000;
/// The most time over which first calls are stretched, in microseconds.
pub(super) const MAX_FIRST_CALLS_SPAN: Micros = 600_000;

/// Where the slot of one place lies in rounds of any length. Times are the caller's microseconds.
#[derive(Debug)]
pub(super) struct Slots {
    /// The fraction of a round at which the own slot begins, with a random place within the slot.
    phase: f64,
    unix_at_zero: Micros,
    /// First calls are stretched, which only helps where statuses of others can be received. All slots are later by as much
    /// then, for slots not to overlap.
    stretches_first_calls: bool,
}

impl Slots {
    pub fn new(phase: f64, unix_at_zero: Micros, stretches_first_calls: bool) -> Slots {
        Slots { phase, unix_at_zero, stretches_first_calls }
    }

    /// The first time from `from` on that is the own slot of rounds of this length.
    pub fn next(&self, from: Micros, round: Micros) -> Micros {
        let shift = if self.stretches_first_calls { shift(round) } else { 0 };
        let elapsed = (self.unix_at_zero + from) % round;
        let own = (self.offset_in(round) + shift) % round;
        from + (own + round - elapsed) % round
    }

    /// The time of a first call. Where first calls are stretched, one in four of the slots in this round is moved to four
    /// times its distance; the others come in the next round.
    pub fn first(&self, now: Micros, round: Micros) -> Micros {
        let at = self.next(now, round);
        if !self.stretches_first_calls {
            return at;
        }
        let unshifted = (at - now + round - shift(round) % round) % round;
        let is_stretched = unshifted < first_calls_span(round) / 4;
        now + if is_stretched { unshifted * 4 } else { unshifted + shift(round) }
    }

    /// This place's offset when all places are spread over a span.
    pub fn offset_in(&self, span: Micros) -> Micros {
        (self.phase * span as f64) as u64
    }
}

/// Over how long first calls are stretched.
fn first_calls_span(round: Micros) -> Micros {
    ((round as f64 * FIRST_CALLS_FRACTION) as u64).clamp(MIN_FIRST_CALLS_SPAN, MAX_FIRST_CALLS_SPAN)
}

/// How much later slots are where first calls are stretched.
fn shift(round: Micros) -> Micros {
    first_calls_span(round) / 4 * 3
}
