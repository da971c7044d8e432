//! Outlier detection: the failures of a worker or zone in a row.

use crate::policy::interface::Micros;
use serde::{Deserialize, Serialize};

/// The failures of a worker or zone in a row, and until when it is ejected because of them.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub(crate) struct OutlierRecord {
    #[serde(rename = "strikes")]
    consecutive_failures: u32,
    #[serde(rename = "since", default)]
    last_failure: Micros,
    #[serde(rename = "until")]
    ejected_until: Micros,
}

impl OutlierRecord {
    /// One more failure: it is ejected for a window, twice as long for each failure before it, up to `max_failures`.
    pub fn record_failure(&mut self, now: Micros, window: Micros, max_failures: u32) {
        self.last_failure = now;
        self.ejected_until = now + (window << self.consecutive_failures);
        self.consecutive_failures = (self.consecutive_failures + 1).min(max_failures);
    }

    /// A success halves the count of failures and ends the ejection.
    pub fn record_success(&mut self) {
        self.consecutive_failures /= 2;
        self.ejected_until = 0;
    }

    /// It is ejected until this time, which may be earlier than before; its failures stay.
    pub fn eject_until(&mut self, until: Micros) {
        self.ejected_until = until;
    }

    /// Forgets how many failures there were; an ejection stays.
    pub fn forgive(&mut self) {
        self.consecutive_failures = 0;
    }

    /// Whether it is ejected now.
    pub fn is_ejected(&self, now: Micros) -> bool {
        now < self.ejected_until
    }

    /// Whether it has failed and not made up for it since.
    pub fn has_failed(&self) -> bool {
        self.consecutive_failures > 0
    }

    /// Whether it has failed, and its last failure is not before `last_seen`.
    pub fn has_failed_since(&self, last_seen: Micros) -> bool {
        self.has_failed() && last_seen <= self.last_failure
    }

    /// The same record with its times converted, but for a time of 0, which stands for never.
    pub fn with_times(self, convert: impl Fn(Micros) -> Micros) -> OutlierRecord {
        OutlierRecord {
            ejected_until: convert_unless_never(self.ejected_until, &convert),
            last_failure: convert_unless_never(self.last_failure, &convert),
            ..self
        }
    }
}

/// Converts a time, unless it is 0, which stands for never.
pub(super) fn convert_unless_never(at: Micros, convert: impl Fn(Micros) -> Micros) -> Micros {
    if at > 0 { convert(at) } else { 0 }
}
