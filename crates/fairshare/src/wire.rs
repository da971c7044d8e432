//! What the facts say.

use crate::AbsorbError;
use serde::{Deserialize, Serialize};

/// The first byte of each fact.
const VERSION: u8 = 1;
/// A fact's bytes at most (docs/design/parts.md).
const MOST_BYTES: usize = 160;
/// What the entries of a page may take: version, bucket, through, edit and count come to 20 bytes at most.
pub(crate) const PAGE_BYTES: usize = MOST_BYTES - 20;
/// An amount in one entry at most: sums of many stay within 127 bits.
pub(crate) const MOST_AMOUNT: u64 = 1 << 40;
/// Buckets that a head tells of at most: two bytes each, mostly.
pub(crate) const HEAD_BUCKETS: usize = 64;

/// One account's use in one bucket, all that its member served of it on this page.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Line {
    pub tenant: [u8; 4],
    pub class: u8,
    pub worth: u64,
    pub work: u64,
}

impl Line {
    pub fn key(&self) -> (u32, u8) {
        (u32::from_le_bytes(self.tenant), self.class)
    }

    pub fn size(worth: u64, work: u64) -> usize {
        let varint = |n: u64| (70 - (n | 1).leading_zeros() as usize) / 7;
        5 + varint(worth) + varint(work)
    }
}

/// A part of a member's use in a bucket.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Page {
    pub bucket: u64,
    /// Up to when it tells of it: sub-steps since the bucket began.
    pub through: u64,
    /// How often this page has been told, this time included.
    pub edit: u32,
    pub lines: Vec<Line>,
}

/// Up to when a member has told all, and how many tellings that took.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Head {
    /// Sub-steps since the Unix epoch, by the member's own clock.
    pub at: u64,
    /// For the bucket of `at` and those before it: the edits of all its pages together.
    pub edits: Vec<u32>,
}

pub(crate) fn encode(fact: &impl Serialize) -> Option<Vec<u8>> {
    let bytes = postcard::to_extend(fact, vec![VERSION]).ok()?;
    debug_assert!(bytes.len() <= MOST_BYTES, "a fact of {} bytes", bytes.len());
    (bytes.len() <= MOST_BYTES).then_some(bytes)
}

fn decode<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Result<T, AbsorbError> {
    match bytes.split_first() {
        _ if bytes.len() > MOST_BYTES => Err(AbsorbError::TooLong),
        Some((&VERSION, rest)) => match postcard::take_from_bytes(rest) {
            Ok((fact, [])) => Ok(fact),
            _ => Err(AbsorbError::Malformed),
        },
        _ => Err(AbsorbError::Version),
    }
}

pub(crate) fn head(bytes: &[u8]) -> Result<Head, AbsorbError> {
    let head: Head = decode(bytes)?;
    if head.edits.len() > HEAD_BUCKETS { Err(AbsorbError::Malformed) } else { Ok(head) }
}

pub(crate) fn page(bytes: &[u8]) -> Result<Page, AbsorbError> {
    let page: Page = decode(bytes)?;
    let sorted = page.lines.windows(2).all(|pair| pair[0].key() < pair[1].key());
    let small = |line: &Line| line.worth <= MOST_AMOUNT && line.work <= MOST_AMOUNT;
    if sorted && page.lines.iter().all(small) { Ok(page) } else { Err(AbsorbError::Malformed) }
}
