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
