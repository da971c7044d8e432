//! What must hold: asserted in debug builds, counted in release builds.

use std::sync::atomic::{AtomicU64, Ordering};

static BROKEN: AtomicU64 = AtomicU64::new(0);

/// Counts a broken invariant. Called by [`invariant!`](crate::invariant!).
pub fn count() {
    BROKEN.fetch_add(1, Ordering::Relaxed);
}

/// How many invariants of this crate were found broken since the start.
pub fn broken() -> u64 {
    BROKEN.load(Ordering::Relaxed)
}

/// States what must hold at this point: a debug build stops where it does not, a release build counts it.
#[macro_export]
macro_rules! invariant {
    ($holds:expr, $($what:tt)+) => {
        if !$holds {
            debug_assert!(false, $($what)+);
            $crate::invariant::count();
        }
    };
}
