//! This member's usage in one bucket: the accounts, and their lines on the bucket's pages.

use crate::accounts::{AccountId, Entry};
use crate::clock::Bucket;
use crate::wire::{Line, MAX_AMOUNT, PAGE_LINE_BYTES, Page};
use crate::{MAX_PAGES, TenantKey, Usage};
use rustc_hash::FxHashMap;

/// The position of a line.
#[derive(Clone, Copy, Debug)]
struct LineRef {
    page: u8,
    line: u8,
}

/// An account's usage in a bucket.
#[derive(Clone, Copy, Debug, Default)]
struct OwnAccount {
    /// The line to which further usage is added, as long as the result fits into the line and its page.
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
pub(crate) struct OwnPage {
    lines: Vec<OwnLine>,
    /// The encoded size of the lines, in bytes.
    size: usize,
    /// How often the page has been published.
    revision: u32,
    is_queued: bool,
}

impl OwnPage {
    fn has_room(&self, size: usize) -> bool {
        self.size + size <= PAGE_LINE_BYTES
    }

    /// Adds usage to a line. Returns false, and changes nothing, if the page or the line has no room for it.
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

    /// Marks the page as queued. Returns false if it already was.
    pub fn mark_queued(&mut self) -> bool {
        !std::mem::replace(&mut self.is_queued, true)
    }

    /// The next revision of the page, to be published.
    pub fn next_revision(&mut self, bucket: Bucket, through: u64) -> Page {
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

/// The sum of two amounts, if a line can hold it.
fn checked_sum(usage: Usage, more: Usage) -> Option<Usage> {
    let value = usage.value.checked_add(more.value)?;
    let work = usage.work.checked_add(more.work)?;
    let sum = Usage { value, work };
    fits_a_line(sum).then_some(sum)
}

fn fits_a_line(usage: Usage) -> bool {
    usage.value <= MAX_AMOUNT && usage.work <= MAX_AMOUNT
}

/// Where an amount was added.
pub(crate) enum Placement {
    /// To a line on the page with this number.
    OnPage(u8),
    /// To the overflow of the account, since no page has room.
    Overflow,
}

/// The amount subtracted from an account.
#[derive(Clone, Debug, Default)]
pub(crate) struct Taken {
    pub usage: Usage,
    /// The numbers of the pages whose lines have changed.
    pub changed_pages: Vec<u8>,
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

    /// Whether the account has usage in this bucket.
    pub fn has_account(&self, account: AccountId) -> bool {
        self.accounts.contains_key(&account)
    }

    /// A page by its number.
    pub fn page_mut(&mut self, number: u8) -> Option<&mut OwnPage> {
        self.pages.get_mut(usize::from(number))
    }

    /// The sum of the revisions of all pages, including the pending revisions of queued pages.
    pub fn revisions(&self) -> u32 {
        self.pages.iter().map(|page| page.revision + u32::from(page.is_queued)).sum()
    }

    /// Adds usage to an account of the tenant `key`: to its newest line or to a new one. The bucket may have at most
    /// `max_pages` pages then.
    pub fn add(&mut self, entry: Entry, key: TenantKey, max_pages: u8) -> Placement {
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

    /// Subtracts usage from an account, at most down to 0.
    pub fn take(&mut self, account: AccountId, key: TenantKey, usage: Usage) -> Taken {
        let Some(own) = self.accounts.get_mut(&account) else { return Taken::default() };
        let mut left = usage;
        let mut changed_pages = Vec::new();
        take_up_to(&mut own.overflow, &mut left);
        for (number, page) in self.pages.iter_mut().enumerate().rev() {
            for line in &mut page.lines {
                if (line.key, line.class) != (key, account.class) {
                    continue;
                }
                let before = Line::size(line.usage);
                if take_up_to(&mut line.usage, &mut left) {
                    page.size = page.size - before + Line::size(line.usage);
                    changed_pages.push(number as u8);
                }
            }
        }
        let taken = usage - left;
        own.total = own.total - taken;
        Taken { usage: taken, changed_pages }
    }

    /// Removes and returns the amounts without a line.
    pub fn take_overflow(&mut self) -> impl Iterator<Item = Entry> {
        let overflowing = self.accounts.iter_mut().filter(|(_, own)| !own.overflow.is_zero());
        overflowing.map(|(account, own)| {
            let usage = std::mem::take(&mut own.overflow);
            own.total = own.total - usage;
            Entry { account: *account, usage }
        })
    }
}

/// The page for a new line: the last page if it has room and the account's newest line is not on it, or else a new page.
/// `None` if there are too many pages, or if a line cannot hold the amount.
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

/// Subtracts as much of `wanted` from `usage` as possible, and the same amount from `wanted`. Returns whether the amount was
/// more than 0.
fn take_up_to(usage: &mut Usage, wanted: &mut Usage) -> bool {
    let taken = Usage { value: usage.value.min(wanted.value), work: usage.work.min(wanted.work) };
    *usage = *usage - taken;
    *wanted = *wanted - taken;
    !taken.is_zero()
}
