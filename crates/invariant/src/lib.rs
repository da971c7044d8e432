//! Checks of what must hold: they panic in debug builds and are counted in release builds.
//!
//! Each package has a count of its own, so that a program can show what its own code violated.
//!
//! ```
//! use mothproxy_invariant::{invariant, violations};
//!
//! let free = 3;
//! invariant!(free <= 8, "{free} of 8 slots are free");
//! assert_eq!(violations(env!("CARGO_PKG_NAME")), 0);
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use std::sync::{Mutex, PoisonError};

/// How many violations a package has counted.
struct PackageViolations {
    package: &'static str,
    count: u64,
}

/// The packages that have counted any. A lock will do: nothing is counted in a sound program.
static VIOLATIONS: Mutex<Vec<PackageViolations>> = Mutex::new(Vec::new());

/// Counts a violated invariant of a package. Called by [`invariant!`].
pub fn record_violation(package: &'static str) {
    let mut packages = VIOLATIONS.lock().unwrap_or_else(PoisonError::into_inner);
    match packages.iter_mut().find(|known| known.package == package) {
        Some(known) => known.count += 1,
        None => packages.push(PackageViolations { package, count: 1 }),
    }
}

/// How many invariants of a package were found violated since the process started. Packages go by their names in Cargo; one's
/// own is `env!("CARGO_PKG_NAME")`.
pub fn violations(package: &str) -> u64 {
    let packages = VIOLATIONS.lock().unwrap_or_else(PoisonError::into_inner);
    packages.iter().find(|known| known.package == package).map_or(0, |known| known.count)
}

/// States a condition that must hold at this point, with a message as for `assert!`.
///
/// # Panics
///
/// In debug builds, if the condition does not hold. A release build counts it for the calling package, see [`violations`].
#[macro_export]
macro_rules! invariant {
    ($holds:expr, $($message:tt)+) => {
        if !$holds {
            debug_assert!(false, $($message)+);
            $crate::record_violation(env!("CARGO_PKG_NAME"));
        }
    };
}
