//! Which waiting job may start first without delaying a larger one: the arithmetic of backfilling with a reservation (Lifka's
//! EASY scheduler, 1995). The decision is the caller's; only [`IdleAllowance`] has state.

use crate::Micros;

/// Slots that a running job occupies at a worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OccupiedSlots {
    /// When the job is expected to end. Computed again while it runs ([`crate::RuntimeEstimator::remaining`]), it moves
    /// later once the estimate has proved too low.
    pub ends_at: Micros,
    /// Number of slots.
    pub slots: f64,
}

/// Slots promised to a waiting job.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Reservation {
    /// When the slots are expected to be free; never before `now`.
    pub at: Micros,
    /// Slots that are free then beyond its own: a job that fits into these does not delay it, however long it runs.
    pub spare: f64,
}

/// The earliest time at which `need` slots are expected to be free at a worker with `free` slots now, and what is left over
/// then. `None`: even all of its slots would not be enough. Sorts `occupied` by the end.
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
        // What ends at the same time is free as well.
        let simultaneous = occupied[index + 1..].iter().take_while(|other| other.ends_at <= at);
        if available >= need {
            available += simultaneous.map(|other| other.slots).sum::<f64>();
            break;
        }
    }
    (available >= need).then_some(Reservation { at, spare: available - need })
}

/// Whether a job of `slots` slots that is expected to run for at most `long` µs (the conservative quantile) may start before
/// the one that holds the reservation: it ends in time, or fits beside it.
pub fn may_start_before(now: Micros, slots: f64, long: Micros, reserved: &Reservation) -> bool {
    now.saturating_add(long) <= reserved.at || slots <= reserved.spare
}

/// Whether a reservation is still useful: its job, expected to run for `typical` µs, ends by `deadline`. Where it does not,
/// slots are reserved for a late answer, and only the caller knows the value of that.
pub fn meets_deadline(reserved: &Reservation, typical: Micros, deadline: Micros) -> bool {
    reserved.at.saturating_add(typical) <= deadline
}

/// A budget for what all reservations together cost the jobs that could have run meanwhile: slots kept idle are paid from an
/// income in proportion to the slots that there are. Over any span at most a fraction of all slots' time is kept idle, and a
/// burst besides.
#[derive(Clone, Copy, Debug)]
pub struct IdleAllowance {
    /// Slots that may be idle on average: the income per µs.
    income: f64,
    /// Most slot time that is saved up, in µs.
    burst: f64,
    balance: f64,
    updated_at: Micros,
    idle: f64,
}

impl IdleAllowance {
    /// An allowance of at most the fraction `fraction` of the time of `slots` slots over any span, and `burst` µs of each at
    /// once.
    pub fn new(now: Micros, slots: f64, fraction: f64, burst: Micros) -> Self {
        let burst = slots * fraction * burst as f64;
        IdleAllowance { income: slots * fraction, burst, balance: burst, updated_at: now, idle: 0.0 }
    }

    /// Pays for the slots that were idle since the last call, and sets how many are idle from now on. Returns whether any may
    /// be: if not, jobs that wait for reserved slots must be started.
    pub fn update(&mut self, now: Micros, idle: f64) -> bool {
        let elapsed = now.saturating_sub(self.updated_at) as f64;
        self.balance = (self.balance + (self.income - self.idle) * elapsed).min(self.burst);
        self.updated_at = self.updated_at.max(now);
        self.idle = idle;
        self.balance > 0.0
    }
}
