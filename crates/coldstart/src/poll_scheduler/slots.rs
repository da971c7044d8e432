//! The slots of one place within rounds.

use crate::Micros;

/// The first calls after a start are stretched over this fraction of a round, within the bounds below. If the service is
/// down, most members then learn it from the members that call first, before they call themselves.
const FIRST_CALLS_FRACTION: f64 = 1.0;
/// The shortest time over which first calls are stretched, in microseconds.
const MIN_FIRST_CALLS_SPAN: Micros = 100_000;
/// The longest time over which first calls are stretched, in microseconds.
pub(super) const MAX_FIRST_CALLS_SPAN: Micros = 600_000;

/// The position of one place's slot in rounds of any length. Times are the caller's microseconds.
#[derive(Debug)]
pub(super) struct Slots {
    /// The position of this place's call as a fraction of a round: the start of its slot plus a random offset within it.
    phase: f64,
    /// See [`super::Config::unix_at_zero`].
    unix_at_zero: Micros,
    /// Whether first calls are stretched, which helps only if statuses of others can be received. All slots are then shifted
    /// by the same amount, so that they do not overlap.
    stretches_first_calls: bool,
}

impl Slots {
    pub fn new(phase: f64, unix_at_zero: Micros, stretches_first_calls: bool) -> Slots {
        Slots { phase, unix_at_zero, stretches_first_calls }
    }

    /// The first time at or after `from` at which this place calls, for rounds of this length.
    pub fn next(&self, from: Micros, round: Micros) -> Micros {
        let shift = if self.stretches_first_calls { shift(round) } else { 0 };
        let elapsed = (self.unix_at_zero + from) % round;
        let own_offset = (self.offset_in(round) + shift) % round;
        from + (own_offset + round - elapsed) % round
    }

    /// The time of a first call. If first calls are stretched, slots within the first quarter of the span move to four times
    /// their distance; all later slots are shifted.
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

/// The time over which first calls are stretched, in microseconds.
fn first_calls_span(round: Micros) -> Micros {
    ((round as f64 * FIRST_CALLS_FRACTION) as u64).clamp(MIN_FIRST_CALLS_SPAN, MAX_FIRST_CALLS_SPAN)
}

/// The shift of slots if first calls are stretched, in microseconds.
fn shift(round: Micros) -> Micros {
    first_calls_span(round) / 4 * 3
}
