//! The record of consecutive failures on which outlier detection is based.

use crate::policy::interface::Micros;
use serde::{Deserialize, Serialize};

/// The consecutive failures of a worker or zone, and the time until which it is ejected because of them.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub(crate) struct OutlierRecord {
    #[serde(rename = "strikes")]
    consecutive_failures: u32,
    #[serde(rename = "since", default)]
    last_failure: Micros,
    #[serde(rename = "until")]
    ejected_until: Micros,
}

impl OutlierRecord {
    /// Records a failure and ejects the worker or zone for `window`, doubled for each failure counted before. At most
    /// `max_failures` failures are counted.
    pub fn record_failure(&mut self, now: Micros, window: Micros, max_failures: u32) {
        self.last_failure = now;
        self.ejected_until = now + (window << self.consecutive_failures);
        self.consecutive_failures = (self.consecutive_failures + 1).min(max_failures);
    }

    /// Records a success, which halves the count of failures and ends the ejection.
    pub fn record_success(&mut self) {
        self.consecutive_failures /= 2;
        self.ejected_until = 0;
    }

    /// Sets the end of the ejection, which may be earlier than before. The failures stay recorded.
    pub fn eject_until(&mut self, until: Micros) {
        self.ejected_until = until;
    }

    /// Sets the count of failures to 0; an ejection stays in force.
    pub fn clear_failures(&mut self) {
        self.consecutive_failures = 0;
    }

    /// Whether the worker or zone is ejected now.
    pub fn is_ejected(&self, now: Micros) -> bool {
        now < self.ejected_until
    }

    /// Whether the count of failures is above 0. Successes since the last failure may have reduced it to 0.
    pub fn has_failed(&self) -> bool {
        self.consecutive_failures > 0
    }

    /// Whether the count of failures is above 0 and the last failure is not before `last_seen`.
    pub fn has_failed_since(&self, last_seen: Micros) -> bool {
        self.has_failed() && last_seen <= self.last_failure
    }

    /// The same record with its times converted, except for a time of 0, which means never.
    pub fn with_times(self, convert: impl Fn(Micros) -> Micros) -> OutlierRecord {
        OutlierRecord {
            ejected_until: convert_unless_never(self.ejected_until, &convert),
            last_failure: convert_unless_never(self.last_failure, &convert),
            ..self
        }
    }
}

/// Converts a time, unless it is 0, which means never.
pub(super) fn convert_unless_never(at: Micros, convert: impl Fn(Micros) -> Micros) -> Micros {
    if at > 0 { convert(at) } else { 0 }
}
