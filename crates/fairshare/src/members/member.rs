//! What one start of a member reported, and what of it is missing.

use super::{RATE_WINDOW, ReportedPage, Unreported};
use crate::Origin;
use crate::decay::SUB_STEPS;
use std::collections::BTreeMap;

/// What a member reported of a bucket.
#[derive(Clone, Debug, Default)]
pub(super) struct ReportedBucket {
    /// By number.
    pub pages: BTreeMap<u8, ReportedPage>,
    /// Revisions of all pages added up.
    pub revisions: u32,
}

/// A bucket of which a member published more revisions than have arrived.
#[derive(Clone, Copy, Debug)]
pub(super) struct Gap {
    pub bucket: u64,
    pub missing: u32,
    pub published: u32,
}

/// What one start of a member reported.
#[derive(Clone, Debug)]
pub(super) struct Member {
    pub origin: Origin,
    /// The sub-step up to which it reported.
    pub reported_until: u64,
    /// Its recent rate is taken from the buckets before this one.
    pub rated_before: u64,
    /// The number of the fact that the latest head came in.
    pub head_number: Option<u64>,
    pub head_bucket: u64,
    /// Published revisions of `head_bucket` and the buckets before it.
    pub head_revisions: Vec<u32>,
    pub buckets: BTreeMap<u64, ReportedBucket>,
    /// The sub-step at which it left.
    pub left_at: Option<u64>,
    /// Its unreported time as of a sub-step; `None` where something has changed since.
    pub unreported: Option<(u64, Unreported)>,
}

impl Member {
    pub fn new(origin: Origin) -> Member {
        Member {
            origin,
            reported_until: 0,
            rated_before: 0,
            head_number: None,
            head_bucket: 0,
            head_revisions: Vec::new(),
            buckets: BTreeMap::new(),
            left_at: None,
            unreported: None,
        }
    }

    /// Buckets of which something is missing, the latest first.
    pub fn gaps(&self, oldest: u64) -> impl Iterator<Item = Gap> + '_ {
        self.head_revisions.iter().enumerate().filter_map(move |(back, published)| {
            let bucket = self.head_bucket.checked_sub(back as u64).filter(|bucket| *bucket >= oldest)?;
            let arrived = self.buckets.get(&bucket).map_or(0, |reported| reported.revisions);
            (arrived < *published).then(|| Gap {
                bucket,
                missing: published - arrived,
                published: *published,
            })
        })
    }

    /// Whether its recent rate covers this bucket.
    pub fn is_recent(&self, bucket: u64) -> bool {
        is_recent(self.rated_before, bucket)
    }

    /// The end of the latest whole buckets of which nothing published is missing.
    pub fn complete_until(&self, oldest: u64) -> u64 {
        let last = self.reported_until / SUB_STEPS;
        let mut rated_before = last;
        for gap in self.gaps(oldest) {
            if gap.bucket + RATE_WINDOW < rated_before {
                break;
            }
            rated_before = rated_before.min(gap.bucket);
        }
        if rated_before < oldest + RATE_WINDOW {
            last // there is nothing better
        } else {
            rated_before
        }
    }
}

/// Whether a rate taken from the buckets before `rated_before` covers this one.
pub(super) fn is_recent(rated_before: u64, bucket: u64) -> bool {
    bucket < rated_before && bucket + RATE_WINDOW >= rated_before
}
