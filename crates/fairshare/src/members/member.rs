//! What one start of a member reported, and what of it is missing.

use super::{RATE_WINDOW, ReportedPage, Unreported};
use crate::Origin;
use crate::clock::{Bucket, Step};
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
    pub bucket: Bucket,
    pub missing: u32,
    pub published: u32,
}

/// What one start of a member reported.
#[derive(Clone, Debug)]
pub(super) struct Member {
    pub origin: Origin,
    /// The sub-step up to which it reported.
    pub reported_until: Step,
    /// Its recent rate is taken from the buckets before this one.
    pub rated_before: Bucket,
    /// The number of the fact that the latest head came in.
    pub head_number: Option<u64>,
    pub head_bucket: Bucket,
    /// Published revisions of `head_bucket` and the buckets before it.
    pub head_revisions: Vec<u32>,
    pub buckets: BTreeMap<Bucket, ReportedBucket>,
    /// The sub-step at which it left.
    pub left_at: Option<Step>,
    /// Its unreported time as of a sub-step; `None` where something has changed since.
    pub unreported: Option<(Step, Unreported)>,
}

impl Member {
    pub fn new(origin: Origin) -> Member {
        Member {
            origin,
            reported_until: Step(0),
            rated_before: Bucket(0),
            head_number: None,
            head_bucket: Bucket(0),
            head_revisions: Vec::new(),
            buckets: BTreeMap::new(),
            left_at: None,
            unreported: None,
        }
    }

    /// Buckets of which something is missing, the latest first.
    pub fn gaps(&self, oldest: Bucket) -> impl Iterator<Item = Gap> + '_ {
        self.head_revisions.iter().enumerate().filter_map(move |(back, published)| {
            let bucket = self.head_bucket.0.checked_sub(back as u64).map(Bucket)?;
            if bucket < oldest {
                return None;
            }
            let arrived = self.buckets.get(&bucket).map_or(0, |reported| reported.revisions);
            (arrived < *published).then(|| Gap {
                bucket,
                missing: published - arrived,
                published: *published,
            })
        })
    }

    /// Whether its recent rate covers this bucket.
    pub fn is_recent(&self, bucket: Bucket) -> bool {
        is_recent(self.rated_before, bucket)
    }

    /// The end of the latest whole buckets of which nothing published is missing.
    pub fn complete_until(&self, oldest: Bucket) -> Bucket {
        let last = self.reported_until.bucket();
        let mut rated_before = last;
        for gap in self.gaps(oldest) {
            if gap.bucket.plus(RATE_WINDOW) < rated_before {
                break;
            }
            rated_before = rated_before.min(gap.bucket);
        }
        if rated_before < oldest.plus(RATE_WINDOW) {
            last // there is nothing better
        } else {
            rated_before
        }
    }
}

/// Whether a rate taken from the buckets before `rated_before` covers this one.
pub(super) fn is_recent(rated_before: Bucket, bucket: Bucket) -> bool {
    bucket < rated_before && bucket.plus(RATE_WINDOW) >= rated_before
}
