//! Which waiting job may go first without delaying a larger one: the arithmetic of backfilling with a reservation (Lifka's
//! EASY scheduler, 1995), for whoever decides. Nothing here decides or keeps state.

/// What one running job holds at a worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Held {
    /// When it is expected to end, µs. Asked anew while it runs ([`crate::Runtimes::remaining`]), it moves later once the
    /// estimate has proved too low.
    pub ends: u64,
    /// Slots it holds.
    pub slots: f64,
}

/// Room promised to a job that waits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Reservation {
    /// When its room is expected, µs; never before `now`.
    pub at: u64,
    /// Slots that are free then beyond its own: whoever fits in these delays it not, however long.
    pub spare: f64,
}

/// The earliest time that `need` slots are expected to be free at a worker with `free` slots now, and what is left then.
/// `None`: all that it holds would not be enough. `held` is sorted by its end.
pub fn reserve(now: u64, free: f64, need: f64, held: &mut [Held]) -> Option<Reservation> {
    held.sort_by_key(|held| held.ends);
    let mut room = free;
    let mut at = now;
    for (place, one) in held.iter().enumerate() {
        if room >= need {
            break;
        }
        room += one.slots;
        at = one.ends.max(now);
        // What ends at the same time is free as well.
        let more = held[place + 1..].iter().take_while(|other| other.ends <= at);
        if room >= need {
            room += more.map(|other| other.slots).sum::<f64>();
            break;
        }
    }
    (room >= need).then_some(Reservation { at, spare: room - need })
}

/// Whether a job of `slots` slots that is expected to run for at most `long` µs (the conservative quantile) may go before
/// the one that holds the reservation: it ends in time, or fits beside it.
pub fn may_go(now: u64, slots: f64, long: u64, reserved: &Reservation) -> bool {
    now.saturating_add(long) <= reserved.at || slots <= reserved.spare
}

/// Whether room at `at` still serves: the job, expected to run for `typical` µs, ends by `wanted`. Where it does not, what is
/// held for it is held for a late answer, and only a decider knows what that is worth.
pub fn serves(reserved: &Reservation, typical: u64, wanted: u64) -> bool {
    reserved.at.saturating_add(typical) <= wanted
}

/// What all reservations together may cost those that could have run meanwhile: slots held idle are paid from an income in
/// proportion to the slots there are. Over any span at most `part` of all slots' time is held, and `burst` besides.
#[derive(Clone, Copy, Debug)]
pub struct Allowance {
    part: f64,
    burst: f64,
    left: f64,
    at: u64,
    held: f64,
}

impl Allowance {
    /// Of `slots` slots, at most the part `part` of their time over any span, and `burst` µs of each at once.
    pub fn new(now: u64, slots: f64, part: f64, burst: u64) -> Self {
        let burst = slots * part * burst as f64;
        Allowance { part: slots * part, burst, left: burst, at: now, held: 0.0 }
    }

    /// Pays for what was held since the last call, and says what is held idle from now on. Whether any may be: if not, those
    /// that wait for reserved slots must be let in.
    pub fn settle(&mut self, now: u64, held: f64) -> bool {
        let passed = now.saturating_sub(self.at) as f64;
        self.left = (self.left + (self.part - self.held) * passed).min(self.burst);
        (self.at, self.held) = (self.at.max(now), held);
        self.left > 0.0
    }
}
