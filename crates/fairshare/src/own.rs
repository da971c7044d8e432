//! What this member has served, laid out on pages to be told.
//!
//! A page is a register: the later telling replaces the earlier. An account that outgrows its page goes on with a line on
//! another one, and the lines of a bucket add up, so an old page never has to lose a line.

use crate::MOST_PAGES;
use crate::wire::{Head, Line, MOST_AMOUNT, PAGE_BYTES, Page, encode};
use rustc_hash::FxHashMap;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// An account: a tenant's place in the ledger's books, and a class.
pub(crate) type Account = (u32, u8);
/// Worth and work.
pub(crate) type Amount = [u64; 2];

/// The part of the pages that amounts of the bucket before may take, in quarters.
const CARRIED_QUARTERS: u8 = 3;

#[derive(Clone, Copy, Debug, Default)]
struct Spot {
    /// Where its newest line is: page and line.
    line: Option<(u8, u8)>,
    /// What has no line.
    spill: Amount,
    total: Amount,
}

#[derive(Clone, Debug, Default)]
struct OwnPage {
    lines: Vec<(u32, u8, Amount)>,
    size: usize,
    edit: u32,
    queued: bool,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct OwnBucket {
    spots: FxHashMap<Account, Spot>,
    pages: Vec<OwnPage>,
}

impl OwnBucket {
    pub fn totals(&self) -> impl Iterator<Item = (Account, Amount)> {
        self.spots.iter().map(|(account, spot)| (*account, spot.total))
    }

    fn edits(&self) -> u32 {
        self.pages.iter().map(|p| p.edit + u32::from(p.queued)).sum()
    }
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Own {
    pub buckets: BTreeMap<u64, OwnBucket>,
    spilled: BTreeSet<u64>,
    queue: VecDeque<(u64, u8)>,
    next_round: u64,
    left: u32,
    head_due: bool,
    last_head: Vec<u32>,
}

fn grown(has: Amount, by: Amount) -> Option<Amount> {
    let sum = [has[0].checked_add(by[0])?, has[1].checked_add(by[1])?];
    sum.iter().all(|n| *n <= MOST_AMOUNT).then_some(sum)
}

impl Own {
    fn queue(&mut self, bucket: u64, page: u8) {
        let Some(at) = self.buckets.get_mut(&bucket).and_then(|b| b.pages.get_mut(usize::from(page))) else {
            return;
        };
        if !std::mem::replace(&mut at.queued, true) {
            self.queue.push_back((bucket, page));
        }
    }

    /// Adds to an account; whether the account is new in this bucket. `key` is the tenant's.
    pub fn put(&mut self, bucket: u64, account: Account, key: u32, by: Amount, pages: u8) -> bool {
        let at = self.buckets.entry(bucket).or_default();
        let new = !at.spots.contains_key(&account);
        let spot = at.spots.entry(account).or_default();
        spot.total = [spot.total[0] + by[0], spot.total[1] + by[1]];
        if let Some((page, line)) = spot.line {
            let on = &mut at.pages[usize::from(page)];
            let has = &mut on.lines[usize::from(line)].2;
            let before = Line::size(has[0], has[1]);
            if let Some(sum) = grown(*has, by) {
                let size = on.size - before + Line::size(sum[0], sum[1]);
                if size <= PAGE_BYTES {
                    (*has, on.size) = (sum, size);
                    self.queue(bucket, page);
                    return new;
                }
            }
        }
        let size = Line::size(by[0], by[1]);
        let last = at.pages.len().wrapping_sub(1);
        let fits = |page: &OwnPage| page.size + size <= PAGE_BYTES;
        let own = spot.line.is_some_and(|(page, _)| usize::from(page) == last);
        let page = match at.pages.last() {
            Some(page) if fits(page) && !own => last,
            _ if at.pages.len() < usize::from(pages.min(MOST_PAGES))
                && by.iter().all(|n| *n <= MOST_AMOUNT) =>
            {
                at.pages.push(OwnPage::default());
                at.pages.len() - 1
            }
            _ => {
                spot.spill = [spot.spill[0] + by[0], spot.spill[1] + by[1]];
                self.spilled.insert(bucket);
                return new;
            }
        };
        let on = &mut at.pages[page];
        spot.line = Some((page as u8, on.lines.len() as u8));
        on.lines.push((key, account.1, by));
        on.size += size;
        self.queue(bucket, page as u8);
        new
    }

    /// Takes from an account, as far as it goes; what was taken.
    pub fn take(&mut self, bucket: u64, account: Account, key: u32, by: Amount) -> Amount {
        let Some(at) = self.buckets.get_mut(&bucket) else { return [0; 2] };
        let Some(spot) = at.spots.get_mut(&account) else { return [0; 2] };
        let (mut left, mut touched) = (by, Vec::new());
        let lower = |has: &mut Amount, left: &mut Amount| {
            let before = *has;
            for i in 0..2 {
                let taken = has[i].min(left[i]);
                (has[i], left[i]) = (has[i] - taken, left[i] - taken);
            }
            *has != before
        };
        lower(&mut spot.spill, &mut left);
        for (n, page) in at.pages.iter_mut().enumerate().rev() {
            for (_, _, has) in page.lines.iter_mut().filter(|l| (l.0, l.1) == (key, account.1)) {
                let before = Line::size(has[0], has[1]);
                if lower(has, &mut left) {
                    page.size = page.size - before + Line::size(has[0], has[1]);
                    touched.push(n as u8);
                }
            }
        }
        let taken = [by[0] - left[0], by[1] - left[1]];
        spot.total = [spot.total[0] - taken[0], spot.total[1] - taken[1]];
        touched.into_iter().for_each(|page| self.queue(bucket, page));
        taken
    }

    /// What had no room on the pages of buckets before this one, the largest first, taken off them.
    pub fn spilled_before(&mut self, bucket: u64) -> Vec<(u64, Account, Amount)> {
        let mut all = Vec::new();
        let kept = self.spilled.split_off(&bucket);
        for old in std::mem::replace(&mut self.spilled, kept) {
            let Some(at) = self.buckets.get_mut(&old) else { continue };
            for (account, spot) in at.spots.iter_mut().filter(|(_, s)| s.spill != [0; 2]) {
                let spill = std::mem::take(&mut spot.spill);
                spot.total = [spot.total[0] - spill[0], spot.total[1] - spill[1]];
                all.push((old, *account, spill));
            }
        }
        all.sort_unstable_by(|a, b| b.2.cmp(&a.2).then(a.1.cmp(&b.1)));
        all
    }

    /// The pages that amounts of earlier buckets may take.
    pub fn carried_pages(pages: u8) -> u8 {
        (pages / 4 * CARRIED_QUARTERS).max(1)
    }

    pub fn expire(&mut self, before: u64) -> Vec<(u64, OwnBucket)> {
        let kept = self.buckets.split_off(&before);
        std::mem::replace(&mut self.buckets, kept).into_iter().collect()
    }

    pub fn next_round(&self) -> u64 {
        self.next_round
    }

    /// The next fact of this round: slot and bytes.
    pub fn publish(&mut self, now: u64, step: u64, pace: &Pace) -> Option<(u32, Vec<u8>)> {
        if now >= self.next_round {
            (self.next_round, self.left, self.head_due) = (now + pace.every, pace.facts, true);
        }
        let bucket = step / crate::decay::STEPS;
        while self.left > 0 {
            let Some((of, page)) = self.queue.pop_front() else { break };
            let Some(on) = self.buckets.get_mut(&of).and_then(|b| b.pages.get_mut(usize::from(page))) else {
                continue;
            };
            (on.queued, on.edit) = (false, on.edit + 1);
            let line = |&(key, class, [worth, work]): &(u32, u8, Amount)| Line {
                tenant: key.to_le_bytes(),
                class,
                worth,
                work,
            };
            let mut lines: Vec<Line> = on.lines.iter().map(line).collect();
            lines.sort_unstable_by_key(Line::key);
            let through = step.saturating_sub(of * crate::decay::STEPS);
            let bytes = encode(&Page { bucket: of, through, edit: on.edit, lines })?;
            self.left -= 1;
            return Some((slot(of, page), bytes));
        }
        if !std::mem::take(&mut self.head_due) {
            return None;
        }
        let edits = 0..pace.horizon.min(crate::wire::HEAD_BUCKETS as u64);
        let edits = edits.map(|back| {
            bucket.checked_sub(back).and_then(|b| self.buckets.get(&b)).map_or(0, OwnBucket::edits)
        });
        let mut edits: Vec<u32> = edits.collect();
        edits.truncate(edits.iter().rposition(|n| *n > 0).map_or(0, |n| n + 1));
        // A member that served nothing of late has no rate: its silence says enough.
        let quiet = edits.iter().take(crate::ledger::RECENT as usize + 2).all(|n| *n == 0);
        if quiet && (edits.is_empty() || edits.iter().sum::<u32>() == self.last_head.iter().sum::<u32>()) {
            return None;
        }
        self.last_head.clone_from(&edits);
        encode(&Head { at: step, edits }).map(|bytes| (0, bytes))
    }
}

/// How facts are told.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Pace {
    pub every: u64,
    pub facts: u32,
    pub horizon: u64,
}

/// Buckets of pages that slots are dealt to in turn: more than any horizon, so that what a slot held before has run out, and
/// few enough for the slots that a member may have.
const RING: u64 = 72;
/// Pages of a bucket in the slots.
const SLOTS: u32 = MOST_PAGES as u32;

/// The slot of a page; 0 is the head's.
pub(crate) fn slot(bucket: u64, page: u8) -> u32 {
    1 + (bucket % RING) as u32 * SLOTS + u32::from(page)
}

/// The page that a slot of this bucket is, if it is one.
pub(crate) fn page_of(bucket: u64, at: u32) -> Option<u8> {
    u8::try_from(at.checked_sub(slot(bucket, 0))?).ok().filter(|page| *page < MOST_PAGES)
}
