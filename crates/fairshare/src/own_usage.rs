//! This member's own usage, laid out on the pages that it publishes.
//!
//! A page is a register: a later revision replaces the earlier one. An account that outgrows its page goes on with a line on
//! another one, and the lines of a bucket add up, so an old page never has to lose a line.

use crate::accounts::{AccountId, Entry};
use crate::decay::SUB_STEPS;
use crate::members::{PageId, RATE_WINDOW};
use crate::wire::{self, Head, Line, MAX_AMOUNT, MAX_HEAD_BUCKETS, PAGE_LINE_BYTES, Page, encode};
use crate::{Config, MAX_PAGES, TenantKey, Usage};
use rustc_hash::FxHashMap;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Quarters of the pages that amounts carried over from earlier buckets may take.
const CARRIED_QUARTERS: u8 = 3;

/// Where a line is.
#[derive(Clone, Copy, Debug)]
struct LineRef {
    page: u8,
    line: u8,
}

/// An account's usage in a bucket.
#[derive(Clone, Copy, Debug, Default)]
struct OwnAccount {
    /// The line to which more usage is added, as long as there is room.
    newest_line: Option<LineRef>,
    /// The part of `total` that has no line.
    overflow: Usage,
    total: Usage,
}

/// One line of a page, before it is encoded.
#[derive(Clone, Copy, Debug)]
struct OwnLine {
    key: TenantKey,
    class: u8,
    usage: Usage,
}

/// A page of a bucket.
#[derive(Clone, Debug, Default)]
struct OwnPage {
    lines: Vec<OwnLine>,
    /// Encoded bytes of the lines.
    size: usize,
    /// How often it has been published.
    revision: u32,
    is_queued: bool,
}

impl OwnPage {
    fn has_room(&self, size: usize) -> bool {
        self.size + size <= PAGE_LINE_BYTES
    }

    /// Adds usage to a line; `false`, and nothing is changed, where the page or the line has no room for it.
    fn grow(&mut self, line: u8, usage: Usage) -> bool {
        let line = &mut self.lines[usize::from(line)];
        let Some(grown) = checked_sum(line.usage, usage) else { return false };
        let size = self.size - Line::size(line.usage) + Line::size(grown);
        if size > PAGE_LINE_BYTES {
            return false;
        }
        line.usage = grown;
        self.size = size;
        true
    }

    fn push(&mut self, line: OwnLine) -> u8 {
        self.size += Line::size(line.usage);
        self.lines.push(line);
        self.lines.len() as u8 - 1
    }

    /// The next revision, as it is published.
    fn next_revision(&mut self, bucket: u64, through: u64) -> Page {
        self.is_queued = false;
        self.revision += 1;
        let mut lines: Vec<Line> = (self.lines.iter())
            .map(|line| Line {
                tenant: line.key.0.to_le_bytes(),
                class: line.class,
                value: line.usage.value,
                work: line.usage.work,
            })
            .collect();
        lines.sort_unstable_by_key(Line::key);
        Page { bucket, through, revision: self.revision, lines }
    }
}

/// The sum, where a line can hold it.
fn checked_sum(usage: Usage, more: Usage) -> Option<Usage> {
    let value = usage.value.checked_add(more.value)?;
    let work = usage.work.checked_add(more.work)?;
    let sum = Usage { value, work };
    fits_a_line(sum).then_some(sum)
}

fn fits_a_line(usage: Usage) -> bool {
    usage.value <= MAX_AMOUNT && usage.work <= MAX_AMOUNT
}

/// Where an amount went.
enum Placement {
    OnPage(u8),
    Overflow,
}

/// The own usage of one bucket.
#[derive(Clone, Debug, Default)]
pub(crate) struct OwnBucket {
    accounts: FxHashMap<AccountId, OwnAccount>,
    pages: Vec<OwnPage>,
}

impl OwnBucket {
    /// The total of each account.
    pub fn totals(&self) -> impl Iterator<Item = Entry> {
        self.accounts.iter().map(|(account, own)| Entry { account: *account, usage: own.total })
    }

    /// Revisions of all pages added up, those in the queue included.
    fn revisions(&self) -> u32 {
        self.pages.iter().map(|page| page.revision + u32::from(page.is_queued)).sum()
    }

    fn add(&mut self, entry: Entry, key: TenantKey, max_pages: u8) -> Placement {
        let Entry { account, usage } = entry;
        let own = self.accounts.entry(account).or_default();
        own.total = own.total + usage;
        if let Some(at) = own.newest_line {
            if self.pages[usize::from(at.page)].grow(at.line, usage) {
                return Placement::OnPage(at.page);
            }
        }
        let Some(page) = page_for(&mut self.pages, own.newest_line, usage, max_pages) else {
            own.overflow = own.overflow + usage;
            return Placement::Overflow;
        };
        let line = self.pages[usize::from(page)].push(OwnLine { key, class: account.class, usage });
        own.newest_line = Some(LineRef { page, line });
        Placement::OnPage(page)
    }

    /// Takes from an account as far as it goes: what was taken, and the pages that have changed.
    fn take(&mut self, account: AccountId, key: TenantKey, usage: Usage) -> (Usage, Vec<u8>) {
        let Some(own) = self.accounts.get_mut(&account) else { return (Usage::default(), Vec::new()) };
        let mut left = usage;
        let mut changed = Vec::new();
        take_up_to(&mut own.overflow, &mut left);
        for (number, page) in self.pages.iter_mut().enumerate().rev() {
            for line in &mut page.lines {
                if (line.key, line.class) != (key, account.class) {
                    continue;
                }
                let before = Line::size(line.usage);
                if take_up_to(&mut line.usage, &mut left) {
                    page.size = page.size - before + Line::size(line.usage);
                    changed.push(number as u8);
                }
            }
        }
        let taken = usage - left;
        own.total = own.total - taken;
        (taken, changed)
    }

    /// Takes off what has no line.
    fn take_overflow(&mut self) -> impl Iterator<Item = Entry> {
        let overflowing = self.accounts.iter_mut().filter(|(_, own)| !own.overflow.is_zero());
        overflowing.map(|(account, own)| {
            let usage = std::mem::take(&mut own.overflow);
            own.total = own.total - usage;
            Entry { account: *account, usage }
        })
    }
}

/// The page for a new line: the last one if it has room and no line of this account, or else another one.
fn page_for(
    pages: &mut Vec<OwnPage>,
    newest_line: Option<LineRef>,
    usage: Usage,
    max_pages: u8,
) -> Option<u8> {
    if let Some(last) = pages.len().checked_sub(1) {
        let is_on_last = newest_line.is_some_and(|line| usize::from(line.page) == last);
        if pages[last].has_room(Line::size(usage)) && !is_on_last {
            return Some(last as u8);
        }
    }
    if pages.len() >= usize::from(max_pages.min(MAX_PAGES)) || !fits_a_line(usage) {
        return None;
    }
    pages.push(OwnPage::default());
    Some(pages.len() as u8 - 1)
}

/// Moves as much as there is from `usage` off `wanted`; whether there was any.
fn take_up_to(usage: &mut Usage, wanted: &mut Usage) -> bool {
    let taken = Usage { value: usage.value.min(wanted.value), work: usage.work.min(wanted.work) };
    *usage = *usage - taken;
    *wanted = *wanted - taken;
    !taken.is_zero()
}

/// An amount that did not fit on the pages of its bucket.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CarriedUsage {
    pub bucket: u64,
    pub entry: Entry,
}

/// How often and how much is published.
#[derive(Clone, Copy, Debug)]
struct PublishPolicy {
    interval: u64,
    facts_per_round: u32,
    horizon: u64,
    max_pages: u8,
}

/// The own usage within the horizon and the queue of pages to publish.
#[derive(Clone, Debug)]
pub(crate) struct OwnUsage {
    policy: PublishPolicy,
    buckets: BTreeMap<u64, OwnBucket>,
    /// Buckets with amounts that have no line.
    overflowing: BTreeSet<u64>,
    /// Pages that have changed since they were last published.
    queue: VecDeque<PageId>,
    next_round: u64,
    /// Pages that may still be published in this round.
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
            max_pages: config.pages,
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
        self.buckets.get_mut(&id.bucket)?.pages.get_mut(usize::from(id.number))
    }

    fn enqueue(&mut self, id: PageId) {
        let Some(page) = self.page_mut(id) else { return };
        if !std::mem::replace(&mut page.is_queued, true) {
            self.queue.push_back(id);
        }
    }

    /// Adds usage that happened in a bucket; `key` is the tenant's. Returns whether the account is new in this bucket.
    pub fn record(&mut self, bucket: u64, entry: Entry, key: TenantKey) -> bool {
        self.add(bucket, entry, key, self.policy.max_pages)
    }

    /// Adds usage that was carried over from an earlier bucket, which may not take all of the pages.
    pub fn carry_over(&mut self, bucket: u64, entry: Entry, key: TenantKey) -> bool {
        let max_pages = (self.policy.max_pages / 4 * CARRIED_QUARTERS).max(1);
        self.add(bucket, entry, key, max_pages)
    }

    fn add(&mut self, bucket: u64, entry: Entry, key: TenantKey, max_pages: u8) -> bool {
        let own = self.buckets.entry(bucket).or_default();
        let is_new = !own.accounts.contains_key(&entry.account);
        match own.add(entry, key, max_pages) {
            Placement::OnPage(number) => self.enqueue(PageId { bucket, number }),
            Placement::Overflow => {
                self.overflowing.insert(bucket);
            }
        }
        is_new
    }

    /// Takes from an account as far as it goes; returns what was taken.
    pub fn take(&mut self, bucket: u64, account: AccountId, key: TenantKey, usage: Usage) -> Usage {
        let Some(own) = self.buckets.get_mut(&bucket) else { return Usage::default() };
        let (taken, changed) = own.take(account, key, usage);
        for number in changed {
            self.enqueue(PageId { bucket, number });
        }
        taken
    }

    /// Takes off what had no room on the pages of buckets before this one, the largest amounts first.
    pub fn take_overflow_before(&mut self, bucket: u64) -> Vec<CarriedUsage> {
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

    /// Takes out the buckets before this one.
    pub fn expire(&mut self, before: u64) -> BTreeMap<u64, OwnBucket> {
        let kept = self.buckets.split_off(&before);
        std::mem::replace(&mut self.buckets, kept)
    }

    /// When there is something to publish next, in the caller's microseconds.
    pub fn next_round(&self) -> u64 {
        self.next_round
    }

    /// The next fact of this round: slot and bytes.
    pub fn publish(&mut self, now: u64, step: u64) -> Option<(u32, Vec<u8>)> {
        if now >= self.next_round {
            self.next_round = now + self.policy.interval;
            self.facts_left = self.policy.facts_per_round;
            self.is_head_due = true;
        }
        while self.facts_left > 0 {
            let Some(id) = self.queue.pop_front() else { break };
            let Some(page) = self.page_mut(id) else { continue };
            let through = step.saturating_sub(id.bucket * SUB_STEPS);
            let bytes = encode(&page.next_revision(id.bucket, through))?;
            self.facts_left -= 1;
            return Some((wire::slot_of_page(id.bucket, id.number), bytes));
        }
        if !std::mem::take(&mut self.is_head_due) {
            return None;
        }
        self.publish_head(step)
    }

    /// The head, unless there is nothing new in it.
    fn publish_head(&mut self, step: u64) -> Option<(u32, Vec<u8>)> {
        let bucket = step / SUB_STEPS;
        let mut revisions: Vec<u32> = (0..self.policy.horizon.min(MAX_HEAD_BUCKETS as u64))
            .map(|back| {
                let own = bucket.checked_sub(back).and_then(|bucket| self.buckets.get(&bucket));
                own.map_or(0, OwnBucket::revisions)
            })
            .collect();
        revisions.truncate(revisions.iter().rposition(|n| *n > 0).map_or(0, |last| last + 1));
        // A member without recent usage has no rate: its silence says enough.
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
