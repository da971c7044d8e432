//! Encoding of facts: a version byte, then a page or a head in postcard, which encodes fields in the order of the code.

use crate::clock::{Bucket, Step};
use crate::{AbsorbError, MAX_PAGES, TenantKey, Usage};
use serde::{Deserialize, Serialize};

/// The version of the format: the first byte of each fact.
const VERSION: u8 = 1;
/// The maximum length of a fact, in bytes, as specified in docs/design/parts.md. Each crate that encodes facts defines this
/// constant, since none of them depends on the crate that transports facts.
const MAX_FACT_BYTES: usize = 160;
/// The space for the lines of a page, in bytes. The version, bucket, `through`, revision and count take at most 20 bytes.
pub(crate) const PAGE_LINE_BYTES: usize = MAX_FACT_BYTES - 20;
/// The maximum amount in one line, so that sums of many stay within 127 bits.
pub(crate) const MAX_AMOUNT: u64 = 1 << 40;
/// The maximum number of buckets of a head, each of which mostly takes two bytes.
pub(crate) const MAX_HEAD_BUCKETS: usize = 64;

/// The account of a line, by identifiers that are the same at every member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct LineKey {
    pub tenant: TenantKey,
    pub class: u8,
}

/// The part of one account's usage in a bucket that is on one page.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Line {
    pub tenant: [u8; 4],
    pub class: u8,
    pub value: u64,
    pub work: u64,
}

impl Line {
    /// The account of the line. The lines of a page are sorted by it.
    pub fn key(&self) -> LineKey {
        LineKey { tenant: TenantKey(u32::from_le_bytes(self.tenant)), class: self.class }
    }

    /// The usage of this line.
    pub fn usage(&self) -> Usage {
        Usage { value: self.value, work: self.work }
    }

    /// The encoded size of a line with this usage, in bytes.
    pub fn size(usage: Usage) -> usize {
        let varint_len = |number: u64| (70 - (number | 1).leading_zeros() as usize) / 7;
        5 + varint_len(usage.value) + varint_len(usage.work)
    }
}

/// One page of a member's usage in a bucket.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Page {
    pub bucket: Bucket,
    /// The end of the reported time, in sub-steps since the beginning of the bucket.
    pub through: u64,
    /// How often this page has been published, including this time.
    pub revision: u32,
    pub lines: Vec<Line>,
}

/// The time up to which a member has published its usage, and the number of revisions by bucket, from which others see
/// whether any is missing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Head {
    /// The time, by the member's own clock.
    pub at: Step,
    /// The sum of the revisions of all pages, for the bucket of `at` and for each bucket before it.
    pub revisions: Vec<u32>,
}

/// Encodes a head or a page; `None` if it does not fit into a fact.
pub(crate) fn encode(fact: &impl Serialize) -> Option<Vec<u8>> {
    let bytes = postcard::to_extend(fact, vec![VERSION]).ok()?;
    debug_assert!(bytes.len() <= MAX_FACT_BYTES, "a fact of {} bytes", bytes.len());
    (bytes.len() <= MAX_FACT_BYTES).then_some(bytes)
}

fn decode<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Result<T, AbsorbError> {
    match bytes.split_first() {
        _ if bytes.len() > MAX_FACT_BYTES => Err(AbsorbError::TooLong),
        Some((&VERSION, rest)) => match postcard::take_from_bytes(rest) {
            Ok((fact, [])) => Ok(fact),
            _ => Err(AbsorbError::Malformed),
        },
        _ => Err(AbsorbError::Version),
    }
}

/// Decodes a head.
pub(crate) fn decode_head(bytes: &[u8]) -> Result<Head, AbsorbError> {
    let head: Head = decode(bytes)?;
    if head.revisions.len() > MAX_HEAD_BUCKETS { Err(AbsorbError::Malformed) } else { Ok(head) }
}

/// Decodes a page, and checks that its lines are sorted and within bounds.
pub(crate) fn decode_page(bytes: &[u8]) -> Result<Page, AbsorbError> {
    let page: Page = decode(bytes)?;
    let is_sorted = page.lines.windows(2).all(|pair| pair[0].key() < pair[1].key());
    let is_within_bounds = |line: &Line| line.value <= MAX_AMOUNT && line.work <= MAX_AMOUNT;
    let is_valid = is_sorted && page.lines.iter().all(is_within_bounds);
    if is_valid { Ok(page) } else { Err(AbsorbError::Malformed) }
}

/// The slot of the head.
pub(crate) const HEAD_SLOT: u32 = 0;
/// The number of consecutive buckets whose pages have different slots. It exceeds any horizon, so that the previous page of a
/// slot has expired, and is small enough for the number of slots that a member may have.
const SLOT_BUCKETS: u64 = 72;

/// The slot of a page.
pub(crate) fn slot_of_page(bucket: Bucket, page: u8) -> u32 {
    1 + (bucket.0 % SLOT_BUCKETS) as u32 * u32::from(MAX_PAGES) + u32::from(page)
}

/// The number of the page of this bucket that a slot holds; `None` if the slot is not one of this bucket's.
pub(crate) fn page_of_slot(bucket: Bucket, slot: u32) -> Option<u8> {
    u8::try_from(slot.checked_sub(slot_of_page(bucket, 0))?).ok().filter(|page| *page < MAX_PAGES)
}
