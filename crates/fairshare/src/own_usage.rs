//! This member's own usage, on the pages that it publishes.
//!
//! A page is a register: a later revision replaces an earlier one. An account that outgrows its page continues with a line on
//! another page. The lines of a bucket add up, so no page ever has to drop a line.

mod bucket;

use crate::accounts::{AccountId, Entry};
use crate::clock::{Bucket, Step};
use crate::members::{PageId, RATE_WINDOW};
use crate::wire::{self, Head, MAX_HEAD_BUCKETS, encode};
use crate::{Config, Micros, TenantKey, Usage};
use bucket::{OwnBucket, OwnPage, Placement};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The number of quarters of a bucket's pages that amounts carried over from earlier buckets may use.
const CARRIED_QUARTERS: u8 = 3;

/// An amount that did not fit on the pages of its bucket.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CarriedUsage {
    pub bucket: Bucket,
    pub entry: Entry,
}

/// The limits of publishing.
#[derive(Clone, Copy, Debug)]
struct PublishPolicy {
    interval: Micros,
    facts_per_round: u32,
    horizon: u64,
    max_pages: u8,
}

/// This member's usage within the horizon, and the queue of pages to publish.
#[derive(Clone, Debug)]
pub(crate) struct OwnUsage {
    policy: PublishPolicy,
    buckets: BTreeMap<Bucket, OwnBucket>,
    /// The buckets with amounts that have no line, for lack of room.
    overflowing: BTreeSet<Bucket>,
    /// The pages that have changed since they were last published.
    queue: VecDeque<PageId>,
    next_round: Micros,
    /// The number of pages that may still be published in this round.
    facts_left: u32,
    is_head_due: bool,
    /// The revisions in the last head.
    last_head: Vec<u32>,
}

impl OwnUsage {
    pub fn new(config: &Config) -> OwnUsage {
        let policy = PublishPolicy {
            interval: config.publish_interval,
            facts_per_round: config.facts_per_round,
            horizon: config.horizon.into(),
            max_pages: config.max_pages,
        };
        OwnUsage {
            policy,
            buckets: BTreeMap::new(),
            overflowing: BTreeSet::new(),
            queue: VecDeque::new(),
            next_round: 0,
            facts_left: 0,
            is_head_due: false,
            last_head: Vec::new(),
        }
    }

    fn page_mut(&mut self, id: PageId) -> Option<&mut OwnPage> {
        self.buckets.get_mut(&id.bucket)?.page_mut(id.number)
    }

    fn enqueue(&mut self, id: PageId) {
        let Some(page) = self.page_mut(id) else { return };
        if page.mark_queued() {
            self.queue.push_back(id);
        }
    }

    /// Adds usage that happened in a bucket; `key` is the tenant's. Returns whether the account is new in this bucket.
    pub fn record(&mut self, bucket: Bucket, entry: Entry, key: TenantKey) -> bool {
        self.add(bucket, entry, key, self.policy.max_pages)
    }

    /// Adds usage that was carried over from an earlier bucket. Such usage may use only some of the pages.
    pub fn carry_over(&mut self, bucket: Bucket, entry: Entry, key: TenantKey) -> bool {
        let max_pages = (self.policy.max_pages / 4 * CARRIED_QUARTERS).max(1);
        self.add(bucket, entry, key, max_pages)
    }

    fn add(&mut self, bucket: Bucket, entry: Entry, key: TenantKey, max_pages: u8) -> bool {
        let own = self.buckets.entry(bucket).or_default();
        let is_new = !own.has_account(entry.account);
        match own.add(entry, key, max_pages) {
            Placement::OnPage(number) => self.enqueue(PageId { bucket, number }),
            Placement::Overflow => {
                self.overflowing.insert(bucket);
            }
        }
        is_new
    }

    /// Subtracts usage from an account, at most down to 0. Returns the amount subtracted.
    pub fn take(&mut self, bucket: Bucket, account: AccountId, key: TenantKey, usage: Usage) -> Usage {
        let Some(own) = self.buckets.get_mut(&bucket) else { return Usage::default() };
        let taken = own.take(account, key, usage);
        for number in taken.changed_pages {
            self.enqueue(PageId { bucket, number });
        }
        taken.usage
    }

    /// Removes and returns the amounts without a line in buckets before this one, the largest first.
    pub fn take_overflow_before(&mut self, bucket: Bucket) -> Vec<CarriedUsage> {
        let mut carried = Vec::new();
        let kept = self.overflowing.split_off(&bucket);
        for bucket in std::mem::replace(&mut self.overflowing, kept) {
            let Some(own) = self.buckets.get_mut(&bucket) else { continue };
            carried.extend(own.take_overflow().map(|entry| CarriedUsage { bucket, entry }));
        }
        carried.sort_unstable_by(|a, b| {
            b.entry.usage.cmp(&a.entry.usage).then(a.entry.account.cmp(&b.entry.account))
        });
        carried
    }

    /// Removes and returns the buckets before this one.
    pub fn expire(&mut self, before: Bucket) -> BTreeMap<Bucket, OwnBucket> {
        let kept = self.buckets.split_off(&before);
        std::mem::replace(&mut self.buckets, kept)
    }

    /// The time of the next round of publishing, in the caller's microseconds.
    pub fn next_round(&self) -> Micros {
        self.next_round
    }

    /// The slot and bytes of the next fact of this round: first the queued pages, then the head.
    pub fn publish(&mut self, now: Micros, step: Step) -> Option<(u32, Vec<u8>)> {
        if now >= self.next_round {
            self.next_round = now + self.policy.interval;
            self.facts_left = self.policy.facts_per_round;
            self.is_head_due = true;
        }
        while self.facts_left > 0 {
            let Some(id) = self.queue.pop_front() else { break };
            let Some(page) = self.page_mut(id) else { continue };
            let through = step.since(id.bucket.start());
            let bytes = encode(&page.next_revision(id.bucket, through))?;
            self.facts_left -= 1;
            return Some((wire::slot_of_page(id.bucket, id.number), bytes));
        }
        if !std::mem::take(&mut self.is_head_due) {
            return None;
        }
        self.publish_head(step)
    }

    /// The slot and bytes of the head, unless it contains nothing new.
    fn publish_head(&mut self, step: Step) -> Option<(u32, Vec<u8>)> {
        let Bucket(bucket) = step.bucket();
        let mut revisions: Vec<u32> = (0..self.policy.horizon.min(MAX_HEAD_BUCKETS as u64))
            .map(|back| {
                let own = bucket.checked_sub(back).and_then(|bucket| self.buckets.get(&Bucket(bucket)));
                own.map_or(0, OwnBucket::revisions)
            })
            .collect();
        revisions.truncate(revisions.iter().rposition(|n| *n > 0).map_or(0, |last| last + 1));
        // A member without recent usage has a rate of 0, so others need no head from it.
        let is_idle = revisions.iter().take(RATE_WINDOW as usize + 2).all(|n| *n == 0);
        let is_known =
            revisions.is_empty() || revisions.iter().sum::<u32>() == self.last_head.iter().sum::<u32>();
        if is_idle && is_known {
            return None;
        }
        self.last_head.clone_from(&revisions);
        encode(&Head { at: step, revisions }).map(|bytes| (wire::HEAD_SLOT, bytes))
    }
}
