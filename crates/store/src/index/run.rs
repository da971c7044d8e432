//! A run: the keys of one segment, sorted, each with the location of its newest record there. A run holds no values.

use crate::UnixMillis;
use crate::disk::DiskFile;
use crate::error::StoreError;
use crate::format::{IndexEntry, RecordLocation, SegmentNumbers};
use std::cmp::Ordering;
use std::sync::Arc;

/// A segment's open file.
pub struct Segment {
    /// The name of the file.
    pub name: String,
    /// The numbers that the segment covers.
    pub numbers: SegmentNumbers,
    /// The salt of the segment's checksums.
    pub salt: u64,
    pub file: Arc<dyn DiskFile>,
}

impl Segment {
    /// The error for a damaged record in this segment.
    pub fn damaged(&self, offset: u64) -> StoreError {
        StoreError::Damaged { file: self.name.clone(), offset }
    }
}

impl std::fmt::Debug for Segment {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "segment {}", self.name)
    }
}

/// An entry with its key in the run's buffer of keys.
#[derive(Clone, Copy, Debug)]
struct PackedEntry {
    /// The first eight bytes of the key, compared before the rest.
    prefix: u64,
    key_offset: u32,
    key_len: u16,
    is_tombstone: bool,
    offset: u32,
    len: u32,
    /// When the record expires; 0 for never.
    expires_at: UnixMillis,
}

impl PackedEntry {
    fn key<'a>(&self, keys: &'a [u8]) -> &'a [u8] {
        &keys[self.key_offset as usize..self.key_offset as usize + usize::from(self.key_len)]
    }

    fn entry<'a>(&self, keys: &'a [u8]) -> IndexEntry<'a> {
        let location = RecordLocation {
            offset: self.offset,
            len: self.len,
            is_tombstone: self.is_tombstone,
            expires_at: (self.expires_at != 0).then_some(self.expires_at),
        };
        IndexEntry { key: self.key(keys), location }
    }
}

fn prefix(key: &[u8]) -> u64 {
    let mut first = [0; 8];
    let len = key.len().min(8);
    first[..len].copy_from_slice(&key[..len]);
    u64::from_be_bytes(first)
}

/// The keys of one segment, sorted.
pub struct Run {
    pub segment: Arc<Segment>,
    keys: Vec<u8>,
    packed_entries: Vec<PackedEntry>,
    /// The length of the segment's file, in bytes.
    pub file_len: u64,
}

impl std::fmt::Debug for Run {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "run of {} keys in {}", self.packed_entries.len(), self.segment.name)
    }
}

/// Collects the entries of a run, in any order. Of two entries with the same key, the one added later wins.
#[derive(Default)]
pub struct RunBuilder {
    keys: Vec<u8>,
    packed_entries: Vec<PackedEntry>,
}

impl RunBuilder {
    /// A builder with capacity for this many entries, and this many bytes of keys.
    pub fn with_capacity(entries: usize, key_bytes: usize) -> RunBuilder {
        RunBuilder { keys: Vec::with_capacity(key_bytes), packed_entries: Vec::with_capacity(entries) }
    }

    /// Adds an entry.
    pub fn add(&mut self, entry: IndexEntry<'_>) {
        let IndexEntry { key, location } = entry;
        let key_offset = self.keys.len() as u32;
        self.keys.extend(key);
        self.packed_entries.push(PackedEntry {
            prefix: prefix(key),
            key_offset,
            key_len: key.len() as u16,
            is_tombstone: location.is_tombstone,
            offset: location.offset,
            len: location.len,
            expires_at: location.expires_at.unwrap_or(0),
        });
    }

    /// Whether nothing was added.
    pub fn is_empty(&self) -> bool {
        self.packed_entries.is_empty()
    }

    /// The number of entries added.
    pub fn len(&self) -> usize {
        self.packed_entries.len()
    }

    /// The entries, in the order in which they were added.
    pub fn entries(&self) -> impl Iterator<Item = IndexEntry<'_>> {
        self.packed_entries.iter().map(|packed| packed.entry(&self.keys))
    }

    /// Builds the run from entries that were added in order of keys, each key once.
    pub fn finish_sorted(self, segment: Arc<Segment>, file_len: u64) -> Run {
        let RunBuilder { mut keys, mut packed_entries } = self;
        keys.shrink_to_fit();
        packed_entries.shrink_to_fit();
        Run { segment, keys, packed_entries, file_len }
    }

    /// Builds the run from entries that were added in any order.
    pub fn finish(mut self, segment: Arc<Segment>, file_len: u64) -> Run {
        let keys = &self.keys;
        // `key_offset` grows with each added entry, so of equal keys the one added last comes first.
        self.packed_entries.sort_unstable_by(|a, b| {
            let by_key = a.prefix.cmp(&b.prefix).then_with(|| a.key(keys).cmp(b.key(keys)));
            by_key.then(b.key_offset.cmp(&a.key_offset))
        });
        self.packed_entries
            .dedup_by(|later, first| later.prefix == first.prefix && later.key(keys) == first.key(keys));
        self.finish_sorted(segment, file_len)
    }
}

impl Run {
    /// The number of keys.
    pub fn len(&self) -> usize {
        self.packed_entries.len()
    }

    /// The memory of the run, in bytes.
    pub fn memory(&self) -> usize {
        self.keys.capacity() + self.packed_entries.capacity() * size_of::<PackedEntry>()
    }

    /// The key at a position in the order of keys.
    pub fn key_at(&self, position: usize) -> Option<&[u8]> {
        self.packed_entries.get(position).map(|packed| packed.key(&self.keys))
    }

    /// The entry at a position in the order of keys.
    pub fn entry_at(&self, position: usize) -> Option<IndexEntry<'_>> {
        self.packed_entries.get(position).map(|packed| packed.entry(&self.keys))
    }

    /// The first position whose key is equal to or greater than this one.
    pub fn lower_bound(&self, key: &[u8]) -> usize {
        let first = prefix(key);
        self.packed_entries.partition_point(|packed| {
            packed.prefix.cmp(&first).then_with(|| packed.key(&self.keys).cmp(key)) == Ordering::Less
        })
    }

    /// The entry of a key, if there is one.
    pub fn find(&self, key: &[u8]) -> Option<IndexEntry<'_>> {
        self.entry_at(self.lower_bound(key)).filter(|entry| entry.key == key)
    }
}
