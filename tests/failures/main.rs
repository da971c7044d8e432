//! Regression tests of the decision module, each for one failure that was found. They use one instance, without sockets.

#[path = "../common/mod.rs"]
mod common;

mod outliers;
mod placement;
mod retries;
mod upkeep;
mod warm_up;

use common::{MS, TestDispatcher, class, settings_with};
use mothproxy::*;

/// The time for which the client of a job waits.
const TIME_BUDGET: Micros = 5_000 * MS;

/// A class whose late responses earn no weight.
fn class_without_late_weight() -> Class {
    Class { late_weight: 0.0, ..class(Idempotency::Idempotent) }
}

/// Creates a dispatcher whose jobs are all of one class with this idempotency.
fn dispatcher_for(idempotency: Idempotency) -> TestDispatcher {
    TestDispatcher::new(settings_with(class(idempotency)))
}
