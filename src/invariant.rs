//! Checks of what must hold: they panic in debug builds and are counted in release builds.

use std::sync::atomic::{AtomicU64, Ordering};

static VIOLATIONS: AtomicU64 = AtomicU64::new(0);

/// Counts a violated invariant. Called by [`invariant!`](crate::invariant!).
pub fn record_violation() {
    VIOLATIONS.fetch_add(1, Ordering::Relaxed);
}

/// How many invariants were found violated since the process started.
pub fn violations() -> u64 {
    VIOLATIONS.load(Ordering::Relaxed)
}

/// States a condition that must hold at this point, with a message as for `assert!`.
///
/// # Panics
/// In debug builds, if the condition does not hold. A release build counts it, see
/// [`violations`](crate::invariant::violations).
#[macro_export]
macro_rules! invariant {
    ($holds:expr, $($message:tt)+) => {
        if !$holds {
            debug_assert!(false, $($message)+);
            $crate::invariant::record_violation();
        }
    };
}
