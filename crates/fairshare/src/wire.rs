//! Encoding of the facts: a version byte, then a page or a head in postcard. The order of fields is the format.

use crate::clock::{Bucket, Step};
use crate::{AbsorbError, MAX_PAGES, TenantKey, Usage};
use serde::{Deserialize, Serialize};

/// Format version: the first byte of each fact.
const VERSION: u8 = 1;
/// The longest fact that a carrier takes, in bytes: the contract of docs/design/parts.md. Each crate that encodes facts states
/// it, since none of them depends on the carrier.
const MAX_FACT_BYTES: usize = 160;
/// Room for the lines of a page: version, bucket, through, edit and count come to 20 bytes at most.
pub(crate) const PAGE_LINE_BYTES: usize = MAX_FACT_BYTES - 20;
/// Largest amount in one line: sums of many stay within 127 bits.
pub(crate) const MAX_AMOUNT: u64 = 1 << 40;
/// Most buckets of a head: two bytes each, mostly.
pub(crate) const MAX_HEAD_BUCKETS: usize = 64;

/// The account of a line, by names that are the same at every member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct LineKey {
    pub tenant: TenantKey,
    pub class: u8,
}

/// One account's usage in one bucket, as far as it is on this page.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Line {
    pub tenant: [u8; 4],
    pub class: u8,
    pub value: u64,
    pub work: u64,
}

impl Line {
    /// The account that it belongs to; the lines of a page are sorted by it.
    pub fn key(&self) -> LineKey {
        LineKey { tenant: TenantKey(u32::from_le_bytes(self.tenant)), class: self.class }
    }

    /// The usage of this line.
    pub fn usage(&self) -> Usage {
        Usage { value: self.value, work: self.work }
    }

    /// Encoded bytes of a line with this usage.
    pub fn size(usage: Usage) -> usize {
        let varint_len = |n: u64| (70 - (n | 1).leading_zeros() as usize) / 7;
        5 + varint_len(usage.value) + varint_len(usage.work)
    }
}

/// One page of a member's usage in a bucket.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Page {
    pub bucket: Bucket,
    /// Up to when it covers the bucket: sub-steps since the bucket began.
    pub through: u64,
    /// How often this page has been published, this time included.
    pub revision: u32,
    pub lines: Vec<Line>,
}

/// Up to when a member has published everything, and how many publications that took.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Head {
    /// Sub-steps since the Unix epoch, by the member's own clock.
    pub at: Step,
    /// For the bucket of `at` and those before it: the revisions of all its pages added up.
    pub revisions: Vec<u32>,
}

/// Encodes a head or a page; `None` where it does not fit into a fact.
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

/// Decodes a page whose lines are sorted and within bounds.
pub(crate) fn decode_page(bytes: &[u8]) -> Result<Page, AbsorbError> {
    let page: Page = decode(bytes)?;
    let sorted = page.lines.windows(2).all(|pair| pair[0].key() < pair[1].key());
    let small = |line: &Line| line.value <= MAX_AMOUNT && line.work <= MAX_AMOUNT;
    if sorted && page.lines.iter().all(small) { Ok(page) } else { Err(AbsorbError::Malformed) }
}

/// The slot of the head.
pub(crate) const HEAD_SLOT: u32 = 0;
/// Buckets whose pages have slots of their own, taken in turn: more than any horizon, so that what a slot held before has
/// expired, and few enough for the slots that a member may have.
const SLOT_BUCKETS: u64 = 72;

/// The slot of a page.
pub(crate) fn slot_of_page(bucket: Bucket, page: u8) -> u32 {
    1 + (bucket.0 % SLOT_BUCKETS) as u32 * u32::from(MAX_PAGES) + u32::from(page)
}

/// The page of this bucket that a slot holds, if it is one of them.
pub(crate) fn page_of_slot(bucket: Bucket, slot: u32) -> Option<u8> {
    u8::try_from(slot.checked_sub(slot_of_page(bucket, 0))?).ok().filter(|page| *page < MAX_PAGES)
}
