//! Decisions of the store as pure functions: which files count when it is opened, and what to compact.

use crate::format::SegmentNumbers;
use std::cmp::Reverse;
use std::ops::Range;

/// The file name of the segment that stands for these numbers.
pub fn segment_name(numbers: SegmentNumbers) -> String {
    let SegmentNumbers { first, last } = numbers;
    format!("{first:012x}-{last:012x}.seg")
}

/// The numbers in the file name of a segment.
pub fn segment_numbers(name: &str) -> Option<SegmentNumbers> {
    let (first, last) = name.strip_suffix(".seg")?.split_once('-')?;
    let number = |text: &str| (text.len() == 12).then(|| u64::from_str_radix(text, 16).ok()).flatten();
    let numbers = SegmentNumbers { first: number(first)?, last: number(last)? };
    let is_valid = numbers.first >= 1 && numbers.first <= numbers.last && name == segment_name(numbers);
    is_valid.then_some(numbers)
}

/// The file name under which a merged segment is written before it counts.
pub fn unfinished_name(numbers: SegmentNumbers) -> String {
    format!("{}.tmp", segment_name(numbers))
}

/// Whether a file name is one of those.
pub fn is_unfinished_name(name: &str) -> bool {
    name.strip_suffix(".tmp").is_some_and(|name| segment_numbers(name).is_some())
}

/// Which segments count.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Tiling {
    /// Those that count, oldest first.
    pub kept: Vec<SegmentNumbers>,
    /// Those that a merged one replaces.
    pub replaced: Vec<SegmentNumbers>,
    /// Numbers that no segment stands for: something is lost there.
    pub gaps: Vec<SegmentNumbers>,
}

/// Lays the segments side by side. A merged segment got its name only once it was whole and durable, so it counts
/// in place of those whose numbers it covers.
pub fn tile(mut segments: Vec<SegmentNumbers>) -> Tiling {
    // The widest of those that begin at one number comes first.
    segments.sort_by_key(|numbers| (numbers.first, Reverse(numbers.last)));
    let mut tiling = Tiling::default();
    let mut next = 1;
    for numbers in segments {
        if numbers.last < next {
            tiling.replaced.push(numbers);
            continue;
        }
        // Two that overlap in part cannot come from this program; the later one fills in what is missing.
        if numbers.first > next {
            tiling.gaps.push(SegmentNumbers { first: next, last: numbers.first - 1 });
        }
        tiling.kept.push(numbers);
        next = numbers.last + 1;
    }
    tiling
}

/// What is known of a segment that takes no more writes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SegmentUsage {
    /// The bytes of its file.
    pub bytes: u64,
    /// The bytes of records that no longer count.
    pub dead_bytes: u64,
    /// It is damaged, and left as it is.
    pub is_damaged: bool,
}

impl SegmentUsage {
    /// What is gained by copying the segment, in bytes.
    fn gain(&self) -> f64 {
        self.dead_bytes as f64 - (self.bytes.saturating_sub(self.dead_bytes)) as f64 * MIN_DEAD_PER_COPIED
    }
}

/// Dead bytes must be at least this fraction of the live ones that are copied to be rid of them.
const MIN_DEAD_PER_COPIED: f64 = 1.0 / 3.0;
/// So many neighbours of about one size are merged, so that there are never many.
const MERGED_NEIGHBOURS: usize = 8;
/// About one size: the largest has at most so many times the bytes of the smallest.
const MAX_SIZE_RATIO: u64 = 4;
/// No merge reads more than this at once, in bytes: offsets have 32 bits.
const MAX_MERGED_BYTES: u64 = 1 << 30;

/// What to compact next, as a range of these segments, oldest first; `min_dead` is from how many dead bytes on it pays off.
/// First where the most is freed for the bytes copied, then many small neighbours.
pub fn range_to_compact(segments: &[SegmentUsage], min_dead: u64) -> Option<Range<usize>> {
    best_gain(segments, min_dead).or_else(|| small_neighbours(segments))
}

/// The range with the greatest gain.
fn best_gain(segments: &[SegmentUsage], min_dead: u64) -> Option<Range<usize>> {
    let mut best = None::<(f64, Range<usize>)>;
    let (mut start, mut gain, mut bytes) = (0, 0.0, 0);
    for (index, segment) in segments.iter().enumerate() {
        if segment.is_damaged || bytes + segment.bytes > MAX_MERGED_BYTES {
            (start, gain, bytes) = (index + 1, 0.0, 0);
            continue;
        }
        if gain <= 0.0 {
            (start, gain, bytes) = (index, 0.0, 0);
        }
        gain += segment.gain();
        bytes += segment.bytes;
        let dead: u64 = segments[start..=index].iter().map(|segment| segment.dead_bytes).sum();
        if dead >= min_dead && gain > best.as_ref().map_or(0.0, |(gain, _)| *gain) {
            best = Some((gain, start..index + 1));
        }
    }
    best.map(|(_, range)| range)
}

/// The first range of neighbours of about one size.
fn small_neighbours(segments: &[SegmentUsage]) -> Option<Range<usize>> {
    let is_alike = |window: &[SegmentUsage]| {
        let sizes = || window.iter().map(|segment| segment.bytes);
        let (smallest, largest) = (sizes().min().unwrap_or(0), sizes().max().unwrap_or(0));
        window.iter().all(|segment| !segment.is_damaged)
            && sizes().sum::<u64>() <= MAX_MERGED_BYTES
            && largest <= smallest.max(1) * MAX_SIZE_RATIO
    };
    let found = segments.windows(MERGED_NEIGHBOURS).position(is_alike)?;
    Some(found..found + MERGED_NEIGHBOURS)
}

#[cfg(test)]
mod tests;
