//! Faults of datagrams between two dispatchers, and their effect on each datagram.

use std::time::Duration;

/// The maximum time in the queue of a throttled pair; datagrams that would wait longer are dropped.
const MAX_QUEUE_TIME: Duration = Duration::from_secs(1);
/// The maximum delay of the second copy of a duplicated datagram after the first.
const MAX_DUPLICATE_DELAY: Duration = Duration::from_millis(5);
const MICROS_PER_SECOND: u64 = 1_000_000;

/// The faults of datagrams from one dispatcher to another.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DatagramFaults {
    /// The fraction that is dropped, from 0 to 1; at 1 all datagrams are lost.
    pub drop: f64,
    /// The fraction that arrives twice, with the second copy up to 5 ms after the first.
    pub duplicate: f64,
    /// The fraction that is delayed by up to `reorder_delay` in addition, so that later datagrams may overtake it.
    pub reorder: f64,
    /// The maximum additional delay of reordered datagrams.
    pub reorder_delay: Duration,
    /// The minimum delay of every datagram.
    pub delay: Duration,
    /// The maximum random addition to `delay`.
    pub jitter: Duration,
    /// The maximum rate in bytes per second, if there is a limit.
    pub rate: Option<u64>,
}

impl DatagramFaults {
    /// No faults.
    pub const NONE: DatagramFaults = DatagramFaults {
        drop: 0.0,
        duplicate: 0.0,
        reorder: 0.0,
        reorder_delay: Duration::from_millis(20),
        delay: Duration::ZERO,
        jitter: Duration::ZERO,
        rate: None,
    };
    /// All datagrams are lost.
    pub const CUT: DatagramFaults = DatagramFaults { drop: 1.0, ..DatagramFaults::NONE };

    /// This fraction of the datagrams is lost at random.
    pub fn loss(fraction: f64) -> DatagramFaults {
        DatagramFaults { drop: fraction, ..DatagramFaults::NONE }
    }
}

/// The faults and the state of one ordered pair of dispatchers.
pub(super) struct Pair {
    pub(super) faults: DatagramFaults,
    pub(super) is_cut: bool,
    rng: fastrand::Rng,
    /// The time at which the queue of a throttled pair will be empty, in microseconds of the harness's clock.
    busy_until: u64,
}

/// The random draws for one datagram: a number from 0 to 1 for each kind of fault.
struct Draws {
    drop: f64,
    duplicate: f64,
    reorder: f64,
    jitter: f64,
    reorder_delay: f64,
    duplicate_delay: f64,
}

impl Draws {
    /// Each datagram takes the same number of draws under all faults, so that a change of faults does not shift the
    /// draws of later datagrams.
    fn next(rng: &mut fastrand::Rng) -> Draws {
        Draws {
            drop: rng.f64(),
            duplicate: rng.f64(),
            reorder: rng.f64(),
            jitter: rng.f64(),
            reorder_delay: rng.f64(),
            duplicate_delay: rng.f64(),
        }
    }
}

impl Pair {
    /// A pair without faults; `seed` determines its random draws.
    pub(super) fn new(seed: u64) -> Pair {
        let rng = fastrand::Rng::with_seed(seed);
        Pair { faults: DatagramFaults::NONE, is_cut: false, rng, busy_until: 0 }
    }

    /// The delay of each copy of a datagram of this length, in microseconds; empty if it is dropped.
    pub(super) fn delays(&mut self, now: u64, length: usize) -> Vec<u64> {
        let draws = Draws::next(&mut self.rng);
        let faults = self.faults;
        if self.is_cut || draws.drop < faults.drop {
            return Vec::new();
        }
        let mut delay = scaled_micros(faults.delay, 1.0) + scaled_micros(faults.jitter, draws.jitter);
        if draws.reorder < faults.reorder {
            delay += scaled_micros(faults.reorder_delay, draws.reorder_delay);
        }
        if let Some(rate) = faults.rate {
            let Some(queue_time) = self.enqueue(now, length, rate) else { return Vec::new() };
            delay += queue_time;
        }
        let mut delays = vec![delay];
        if draws.duplicate < faults.duplicate {
            delays.push(delay + scaled_micros(MAX_DUPLICATE_DELAY, draws.duplicate_delay));
        }
        delays
    }

    /// The time until a throttled datagram has been sent, in microseconds; `None` if the queue has no room for it.
    fn enqueue(&mut self, now: u64, length: usize, rate: u64) -> Option<u64> {
        let begin = self.busy_until.max(now);
        let end = begin + length as u64 * MICROS_PER_SECOND / rate.max(1);
        if end - now > scaled_micros(MAX_QUEUE_TIME, 1.0) {
            return None;
        }
        self.busy_until = end;
        Some(end - now)
    }
}

/// A fraction of a duration, in microseconds.
fn scaled_micros(duration: Duration, part: f64) -> u64 {
    (duration.as_micros() as f64 * part) as u64
}
