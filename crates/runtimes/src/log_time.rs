//! Run times and their natural logarithms.

use crate::Micros;

/// The maximum representable run time at speed 1, in microseconds.
pub(crate) const MAX_RUNTIME: f64 = 1e12;

/// The logarithm of a run time in microseconds, within the representable range.
pub(crate) fn log_of_micros(micros: f64) -> f64 {
    micros.clamp(1.0, MAX_RUNTIME).ln()
}

/// The run time in microseconds with this logarithm, within the representable range.
pub(crate) fn micros_of_log(log: f64) -> Micros {
    log.exp().clamp(1.0, MAX_RUNTIME) as u64
}
