//! Counters and sizes of a ledger.

use crate::AbsorbError;
use crate::receiver::Absorbed;

/// Counters since the start, and current sizes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Metrics {
    /// Facts absorbed, including stale ones.
    pub absorbed: u64,
    /// Absorbed facts that were not later than the known one of their slot.
    pub stale: u64,
    /// Refused: older than the horizon.
    pub late: u64,
    /// Refused: further in the future than clocks may differ.
    pub future: u64,
    /// Refused: too long, of an unknown version, or malformed.
    pub malformed: u64,
    /// Refused: from a place that is not among the peers, or from an epoch older than those kept of its place.
    pub foreign: u64,
    /// Refused: no room for more tenants.
    pub full: u64,
    /// Records of own usage that were refused as too old or from the future.
    pub own_refused: u64,
    /// Valued jobs whose tenant has no share.
    pub unknown: u64,
    /// Amounts that were moved to a later bucket because the pages were full.
    pub carried: u64,
    /// Facts published.
    pub published: u64,
    /// Bytes of the published facts.
    pub published_bytes: u64,
    /// Known members, each identified by place and epoch.
    pub members: u64,
    /// Known members that have been silent for more than two rounds and a bucket.
    pub silent: u64,
    /// Buckets of which a published revision of a page has not arrived.
    pub gaps: u64,
    /// Tenants with open accounts, with or without a share.
    pub tenants: u64,
    /// Violated invariants. Release builds count them; debug builds panic instead.
    pub broken: u64,
}

impl Metrics {
    /// Counts a fact that was received.
    pub(crate) fn count_received(&mut self, result: Result<Absorbed, AbsorbError>) {
        match result {
            Ok(Absorbed::New) => self.absorbed += 1,
            Ok(Absorbed::Stale) => {
                self.absorbed += 1;
                self.stale += 1;
            }
            Err(AbsorbError::Late) => self.late += 1,
            Err(AbsorbError::Future) => self.future += 1,
            Err(AbsorbError::Place | AbsorbError::Epoch) => self.foreign += 1,
            Err(AbsorbError::Full) => self.full += 1,
            Err(AbsorbError::TooLong | AbsorbError::Version | AbsorbError::Malformed) => {
                self.malformed += 1;
            }
        }
    }
}
