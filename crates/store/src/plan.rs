//! Decisions of the store as pure functions: which files are valid when it is opened, and what to compact.

use crate::format::SegmentNumbers;
use std::cmp::Reverse;
use std::ops::Range;

/// The file name of the segment that covers these numbers.
pub fn segment_name(numbers: SegmentNumbers) -> String {
    let SegmentNumbers { first, last } = numbers;
    format!("{first:012x}-{last:012x}.seg")
}

/// The numbers in the file name of a segment; `None` if it is not such a name.
pub fn segment_numbers(name: &str) -> Option<SegmentNumbers> {
    let (first, last) = name.strip_suffix(".seg")?.split_once('-')?;
    let number = |text: &str| (text.len() == 12).then(|| u64::from_str_radix(text, 16).ok()).flatten();
    let numbers = SegmentNumbers { first: number(first)?, last: number(last)? };
    let is_valid = numbers.first >= 1 && numbers.first <= numbers.last && name == segment_name(numbers);
    is_valid.then_some(numbers)
}

/// The file name of a merged segment until it is complete.
pub fn unfinished_name(numbers: SegmentNumbers) -> String {
    format!("{}.tmp", segment_name(numbers))
}

/// Whether a file name is one of [`unfinished_name`].
pub fn is_unfinished_name(name: &str) -> bool {
    name.strip_suffix(".tmp").is_some_and(|name| segment_numbers(name).is_some())
}

/// The segments of a directory, classified by whether they are valid.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct ClassifiedSegments {
    /// The valid segments, oldest first.
    pub kept: Vec<SegmentNumbers>,
    /// The segments that a merged one replaces.
    pub replaced: Vec<SegmentNumbers>,
    /// Numbers that no segment covers: these segments are lost.
    pub gaps: Vec<SegmentNumbers>,
}

/// Classifies segments by whether they are valid. A merged segment gets its name only once it is complete and durable, so it
/// replaces the segments whose numbers it covers.
pub fn classify_segments(mut segments: Vec<SegmentNumbers>) -> ClassifiedSegments {
    // Of the segments that begin at the same number, the one that covers most comes first.
    segments.sort_by_key(|numbers| (numbers.first, Reverse(numbers.last)));
    let mut classified = ClassifiedSegments::default();
    let mut next = 1;
    for numbers in segments {
        if numbers.last < next {
            classified.replaced.push(numbers);
            continue;
        }
        // This program never writes two segments that overlap in part. If there are any, both are kept.
        if numbers.first > next {
            classified.gaps.push(SegmentNumbers { first: next, last: numbers.first - 1 });
        }
        classified.kept.push(numbers);
        next = numbers.last + 1;
    }
    classified
}

/// The space that a sealed segment uses.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SegmentUsage {
    /// The length of the segment's file, in bytes.
    pub bytes: u64,
    /// The size of the obsolete records, in bytes.
    pub dead_bytes: u64,
    /// Whether the segment is damaged, and therefore not compacted.
    pub is_damaged: bool,
}

impl SegmentUsage {
    /// The gain of copying the segment: the freed bytes minus the cost of the copied ones.
    fn gain(&self) -> f64 {
        self.dead_bytes as f64 - (self.bytes.saturating_sub(self.dead_bytes)) as f64 * MIN_DEAD_PER_COPIED
    }
}

/// The minimum ratio of freed dead bytes to copied live bytes for which a compaction pays off.
const MIN_DEAD_PER_COPIED: f64 = 1.0 / 3.0;
/// The number of neighbours of similar size that are merged, to limit the number of segments.
const MERGED_NEIGHBOURS: usize = 8;
/// Sizes are similar if the largest is at most this many times the smallest.
const MAX_SIZE_RATIO: u64 = 4;
/// The maximum input of a merge, in bytes, since offsets have 32 bits.
const MAX_MERGED_BYTES: u64 = 1 << 30;

/// The range of segments to compact next, if any; `segments` are in order, oldest first. The choice is the range with the
/// greatest gain of those with at least `min_dead` dead bytes, or else a range of neighbours of similar size.
pub fn range_to_compact(segments: &[SegmentUsage], min_dead: u64) -> Option<Range<usize>> {
    best_gain(segments, min_dead).or_else(|| similar_neighbours(segments))
}

/// The range with the greatest gain of those with at least `min_dead` dead bytes.
fn best_gain(segments: &[SegmentUsage], min_dead: u64) -> Option<Range<usize>> {
    let mut best = None::<(f64, Range<usize>)>;
    // The current candidate range begins at `start`; `gain` and `bytes` are its sums.
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

/// The first range of [`MERGED_NEIGHBOURS`] segments of similar size.
fn similar_neighbours(segments: &[SegmentUsage]) -> Option<Range<usize>> {
    let is_mergeable = |window: &[SegmentUsage]| {
        let sizes = || window.iter().map(|segment| segment.bytes);
        let (smallest, largest) = (sizes().min().unwrap_or(0), sizes().max().unwrap_or(0));
        window.iter().all(|segment| !segment.is_damaged)
            && sizes().sum::<u64>() <= MAX_MERGED_BYTES
            && largest <= smallest.max(1) * MAX_SIZE_RATIO
    };
    let found = segments.windows(MERGED_NEIGHBOURS).position(is_mergeable)?;
    Some(found..found + MERGED_NEIGHBOURS)
}

#[cfg(test)]
mod tests;
