//! Backfilling with a reservation (Lifka's EASY scheduler, 1995): which waiting job may start without delaying a larger one.
//!
//! This module only computes; the caller schedules the jobs. Only [`IdleAllowance`] has state.

use crate::Micros;

/// Slots that a running job occupies at a worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OccupiedSlots {
    /// When the job is expected to end. If this is recomputed while the job runs ([`crate::RuntimeEstimator::remaining`]), it
    /// moves to a later time once the job has exceeded the first estimate.
    pub ends_at: Micros,
    /// The number of slots.
    pub slots: f64,
}

/// Slots reserved for a waiting job.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Reservation {
    /// When the slots are expected to be free; never before `now`.
    pub at: Micros,
    /// The number of additional slots that are free at that time. A job that fits into them does not delay the waiting job,
    /// no matter how long it runs.
    pub spare: f64,
}

/// The earliest time at which `need` slots are expected to be free at a worker with `free` slots now, and the number of
/// additional slots that are free then. `None` if all slots of the worker together are not enough. Sorts `occupied` by the
/// end.
///
/// ```
/// use mothproxy_runtimes::backfill::{OccupiedSlots, Reservation, reserve};
///
/// let mut occupied = [OccupiedSlots { ends_at: 500, slots: 2.0 }, OccupiedSlots { ends_at: 900, slots: 4.0 }];
/// assert_eq!(reserve(100, 1.0, 3.0, &mut occupied), Some(Reservation { at: 500, spare: 0.0 }));
/// assert_eq!(reserve(100, 1.0, 8.0, &mut occupied), None);
/// ```
pub fn reserve(now: Micros, free: f64, need: f64, occupied: &mut [OccupiedSlots]) -> Option<Reservation> {
    occupied.sort_by_key(|slots| slots.ends_at);
    let mut available = free;
    let mut at = now;
    for (index, next) in occupied.iter().enumerate() {
        if available >= need {
            break;
        }
        available += next.slots;
        at = next.ends_at.max(now);
        // Slots of jobs that end at the same time are free as well.
        let simultaneous = occupied[index + 1..].iter().take_while(|other| other.ends_at <= at);
        if available >= need {
            available += simultaneous.map(|other| other.slots).sum::<f64>();
            break;
        }
    }
    (available >= need).then_some(Reservation { at, spare: available - need })
}

/// Whether a job of `slots` slots may start before the job that holds the reservation: it ends before the reserved time, or
/// fits into the additional slots. `long` is the conservative quantile of its run time, in microseconds.
pub fn may_start_before(now: Micros, slots: f64, long: Micros, reserved: &Reservation) -> bool {
    now.saturating_add(long) <= reserved.at || slots <= reserved.spare
}

/// Whether the job of a reservation, which is expected to run for `typical` microseconds, ends by `deadline`. Otherwise the
/// slots would be reserved for a late answer, whose value only the caller knows.
pub fn meets_deadline(reserved: &Reservation, typical: Micros, deadline: Micros) -> bool {
    reserved.at.saturating_add(typical) <= deadline
}

/// A limit on the slot time that reservations keep idle, in which other jobs could have run: a token bucket whose refill
/// rate is proportional to the number of slots. Over any span, at most a fraction of the time of all slots is kept idle,
/// plus a burst.
#[derive(Clone, Copy, Debug)]
pub struct IdleAllowance {
    /// The number of slots that may be idle on average, which is the slot time added per microsecond.
    refill_rate: f64,
    /// The maximum balance, in microseconds of slot time.
    burst: f64,
    /// The slot time that may still be kept idle, in microseconds; negative if the last span used too much.
    balance: f64,
    updated_at: Micros,
    /// The number of slots that are idle since `updated_at`.
    idle: f64,
}

impl IdleAllowance {
    /// Creates an allowance of at most `fraction` of the time of `slots` slots, plus a burst of the same fraction of `burst`
    /// microseconds of each slot.
    pub fn new(now: Micros, slots: f64, fraction: f64, burst: Micros) -> Self {
        let burst = slots * fraction * burst as f64;
        IdleAllowance { refill_rate: slots * fraction, burst, balance: burst, updated_at: now, idle: 0.0 }
    }

    /// Deducts the time of the slots that were idle since the last call, and sets how many are idle from now on. Returns
    /// whether slots may be kept idle. If not, the caller must start other jobs in the reserved slots.
    pub fn update(&mut self, now: Micros, idle: f64) -> bool {
        let elapsed = now.saturating_sub(self.updated_at) as f64;
        self.balance = (self.balance + (self.refill_rate - self.idle) * elapsed).min(self.burst);
        self.updated_at = self.updated_at.max(now);
        self.idle = idle;
        self.balance > 0.0
    }
}
