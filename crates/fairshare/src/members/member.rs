//! The reports of one process of a member, and their gaps.

use super::{RATE_WINDOW, ReportedPage, Unreported};
use crate::Origin;
use crate::clock::{Bucket, Step};
use std::collections::BTreeMap;

/// The reports of a member on one bucket.
#[derive(Clone, Debug, Default)]
pub(super) struct ReportedBucket {
    /// The pages, by number.
    pub pages: BTreeMap<u8, ReportedPage>,
    /// The sum of the revisions of all pages.
    pub revisions: u32,
}

/// A bucket of which a member published more revisions than have arrived.
#[derive(Clone, Copy, Debug)]
pub(super) struct Gap {
    pub bucket: Bucket,
    pub missing: u32,
    pub published: u32,
}

/// The reports of one process of a member.
#[derive(Clone, Debug)]
pub(super) struct Member {
    pub origin: Origin,
    /// The sub-step up to which the member has reported.
    pub reported_until: Step,
    /// The bucket after those from which the recent rate of the member is computed.
    pub rated_before: Bucket,
    /// The number of the fact that held the latest head.
    pub head_number: Option<u64>,
    pub head_bucket: Bucket,
    /// The published revisions of `head_bucket` and the buckets before it, the latest bucket first.
    pub head_revisions: Vec<u32>,
    pub buckets: BTreeMap<Bucket, ReportedBucket>,
    /// The sub-step at which the member left.
    pub left_at: Option<Step>,
    /// The cached unreported time with its sub-step; `None` if something has changed since.
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

    /// The buckets with missing revisions, the latest first.
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

    /// Whether the member's recent rate covers this bucket.
    pub fn is_recent(&self, bucket: Bucket) -> bool {
        is_recent(self.rated_before, bucket)
    }

    /// The end of the latest run of whole buckets without missing revisions that is long enough for a rate.
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
            last // no such run is within the horizon
        } else {
            rated_before
        }
    }
}

/// Whether the rate of the buckets before `rated_before` covers this bucket.
pub(super) fn is_recent(rated_before: Bucket, bucket: Bucket) -> bool {
    bucket < rated_before && bucket.plus(RATE_WINDOW) >= rated_before
}
