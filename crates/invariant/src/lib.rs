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

use std::fmt::Arguments;
use std::sync::{Mutex, PoisonError};

/// The number of violations that a package has counted.
struct PackageViolations {
    package: &'static str,
    count: u64,
    /// The messages that have not been taken; of many violations only the first ones are kept.
    messages: Vec<String>,
}

/// The maximum number of messages kept for each package.
const MAX_MESSAGES: usize = 8;

/// The packages with violations. A mutex is fast enough, since a correct program counts none.
static VIOLATIONS: Mutex<Vec<PackageViolations>> = Mutex::new(Vec::new());

/// Counts a violated invariant of a package.
pub fn record_violation(package: &'static str) {
    update(package, |known| known.count += 1);
}

/// Counts a violated invariant of a package, and keeps its message for [`take_messages`] unless many are kept already. Called by
/// [`invariant!`].
pub fn record_violation_message(package: &'static str, message: Arguments<'_>) {
    update(package, |known| {
        known.count += 1;
        if known.messages.len() < MAX_MESSAGES {
            known.messages.push(message.to_string());
        }
    });
}

fn update(package: &'static str, change: impl FnOnce(&mut PackageViolations)) {
    let mut packages = VIOLATIONS.lock().unwrap_or_else(PoisonError::into_inner);
    let place = packages.iter().position(|known| known.package == package).unwrap_or_else(|| {
        packages.push(PackageViolations { package, count: 0, messages: Vec::new() });
        packages.len() - 1
    });
    change(&mut packages[place]);
}

/// Removes and returns the messages of a package's violations, the oldest first.
pub fn take_messages(package: &str) -> Vec<String> {
    let mut packages = VIOLATIONS.lock().unwrap_or_else(PoisonError::into_inner);
    let known = packages.iter_mut().find(|known| known.package == package);
    known.map_or_else(Vec::new, |known| std::mem::take(&mut known.messages))
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
            $crate::record_violation_message(env!("CARGO_PKG_NAME"), format_args!($($message)+));
        }
    };
}
