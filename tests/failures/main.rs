//! One test for each failure found, on one decision module without sockets.

#[path = "../common/mod.rs"]
mod common;

mod outliers;
mod placement;
mod retries;
mod upkeep;
mod warm_up;

use common::{MS, TestDispatcher, class, settings_with};
use mothproxy::*;

/// How long the client of a job waits.
const TIME_BUDGET: Micros = 5_000 * MS;

/// A class whose late responses are worth nothing.
fn class_without_late_weight() -> Class {
    Class { late_weight: 0.0, ..class(Idempotency::Idempotent) }
}

/// A dispatcher whose jobs are all of one class with this idempotency.
fn dispatcher_for(idempotency: Idempotency) -> TestDispatcher {
    TestDispatcher::new(settings_with(class(idempotency)))
}
