//! The zones that seem unreachable from this dispatcher.

use super::OutlierRecord;
use crate::policy::interface::{Micros, ZoneId};
use std::collections::BTreeMap;

/// The connection failures of each zone since the last attempt that was served there.
#[derive(Debug, Default)]
pub(super) struct ZoneOutliers(BTreeMap<ZoneId, OutlierRecord>);

impl ZoneOutliers {
    /// Records that a connection to a worker of the zone has failed, and ejects the zone as in
    /// [`OutlierRecord::record_failure`].
    pub fn record_failure(&mut self, zone: ZoneId, now: Micros, window: Micros, max_failures: u32) {
        self.0.entry(zone).or_default().record_failure(now, window, max_failures);
    }

    /// Records that a worker of the zone has served an attempt: clears the record of the zone's failures.
    pub fn record_success(&mut self, zone: ZoneId) {
        self.0.remove(&zone);
    }

    /// Whether the zone is ejected now.
    pub fn is_ejected(&self, zone: ZoneId, now: Micros) -> bool {
        self.0.get(&zone).is_some_and(|record| record.is_ejected(now))
    }
}
