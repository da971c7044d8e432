//! Send times carried in the `share` field of progress events, so that a client can measure how long an event took.

use std::time::{SystemTime, UNIX_EPOCH};

/// The length of the period that a fraction covers: 1,000 s.
const PERIOD_MICROS: u128 = 1_000_000_000;

/// The present time as a fraction (0 to 1) of the present 1,000 s.
///
/// # Panics
///
/// If the system's clock is before 1970.
pub fn timestamp_fraction() -> f64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970");
    (since_epoch.as_micros() % PERIOD_MICROS) as f64 / PERIOD_MICROS as f64
}

/// Microseconds since a fraction was written by [`timestamp_fraction`], at most 1,000 s ago.
pub fn micros_since(fraction: f64) -> u64 {
    let micros = (timestamp_fraction() - fraction).rem_euclid(1.0) * PERIOD_MICROS as f64;
    micros as u64
}
