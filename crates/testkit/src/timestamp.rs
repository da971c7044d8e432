//! Send times carried in the `share` field of progress events, so that a client can measure how long an event took.

use std::time::{SystemTime, UNIX_EPOCH};

/// The length of the period that a fraction covers: 1,000 s.
const PERIOD_MICROS: u128 = 1_000_000_000;

/// The current time within the current period of 1,000 s, as a fraction from 0 to 1.
///
/// # Panics
///
/// If the system's clock is before 1970.
pub fn timestamp_fraction() -> f64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).expect("system clock before 1970");
    (since_epoch.as_micros() % PERIOD_MICROS) as f64 / PERIOD_MICROS as f64
}

/// The time since [`timestamp_fraction`] returned this fraction, in microseconds; at most 1,000 s.
pub fn micros_since(fraction: f64) -> u64 {
    let micros = (timestamp_fraction() - fraction).rem_euclid(1.0) * PERIOD_MICROS as f64;
    micros as u64
}
