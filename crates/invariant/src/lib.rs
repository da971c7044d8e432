//! Checks of invariants: a violation panics in debug builds and is counted in release builds.
//!
//! Violations are counted for each package, so that a program can report those of its own code.
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

/// The number of violations that a package has counted.
struct PackageViolations {
    package: &'static str,
    count: u64,
}

/// The packages with violations. A mutex is fast enough, since a correct program counts none.
static VIOLATIONS: Mutex<Vec<PackageViolations>> = Mutex::new(Vec::new());

/// Counts a violated invariant of a package. Called by [`invariant!`].
pub fn record_violation(package: &'static str) {
    let mut packages = VIOLATIONS.lock().unwrap_or_else(PoisonError::into_inner);
    match packages.iter_mut().find(|known| known.package == package) {
        Some(known) => known.count += 1,
        None => packages.push(PackageViolations { package, count: 1 }),
    }
}

/// The number of violations that a package has counted since the process started. A package is identified by its Cargo name,
/// which is `env!("CARGO_PKG_NAME")` for the calling package.
pub fn violations(package: &str) -> u64 {
    let packages = VIOLATIONS.lock().unwrap_or_else(PoisonError::into_inner);
    packages.iter().find(|known| known.package == package).map_or(0, |known| known.count)
}

/// Checks a condition that must hold at this point. The message is formatted as for `assert!`.
///
/// # Panics
///
/// In debug builds, if the condition does not hold. A release build counts the violation for the calling package; see
/// [`violations`].
#[macro_export]
macro_rules! invariant {
    ($condition:expr, $($message:tt)+) => {
        if !$condition {
            debug_assert!(false, $($message)+);
            $crate::record_violation(env!("CARGO_PKG_NAME"));
        }
    };
}
