//! What must hold: asserted in debug builds, counted in release builds.

use std::sync::atomic::{AtomicU64, Ordering};

static BROKEN: AtomicU64 = AtomicU64::new(0);

pub(crate) fn count() {
    BROKEN.fetch_add(1, Ordering::Relaxed);
}

/// How many invariants of this crate were found broken since the start of the process.
pub fn broken() -> u64 {
    BROKEN.load(Ordering::Relaxed)
}

/// States what must hold at this point.
macro_rules! invariant {
    ($holds:expr, $($what:tt)+) => {
        if !$holds {
            debug_assert!(false, $($what)+);
            $crate::invariant::count();
        }
    };
}
pub(crate) use invariant;
