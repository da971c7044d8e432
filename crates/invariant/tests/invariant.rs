//! Violated invariants panic in debug builds and are counted in release builds.

use mothproxy_invariant::{invariant, record_violation, take_messages, violations};

#[test]
fn counts_the_violations_of_each_package_separately() {
    ["one", "other", "one"].into_iter().for_each(record_violation);
    assert_eq!(["one", "other", "none"].map(violations), [2, 1, 0]);
}

#[test]
fn panics_in_debug_builds_and_counts_in_release_builds() {
    let is_debug = cfg!(debug_assertions);
    invariant!(true, "this invariant holds");
    assert_eq!(violations(env!("CARGO_PKG_NAME")), 0);
    let result = std::panic::catch_unwind(|| invariant!(false, "this invariant is violated"));
    assert_eq!(result.is_err(), is_debug);
    assert_eq!(violations(env!("CARGO_PKG_NAME")), u64::from(!is_debug));
    assert_eq!(take_messages(env!("CARGO_PKG_NAME")).len(), usize::from(!is_debug));
    assert!(take_messages(env!("CARGO_PKG_NAME")).is_empty());
}
