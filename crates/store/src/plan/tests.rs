//! Tables of cases: segment names, the choice of valid segments, and the choice of segments to compact.

use super::{
    ClassifiedSegments, SegmentUsage, classify_segments, is_unfinished_name, range_to_compact, segment_name,
    segment_numbers, unfinished_name,
};
use crate::format::SegmentNumbers;
use std::ops::Range;

fn segment(bytes: u64, dead: u64) -> SegmentUsage {
    SegmentUsage { bytes, dead_bytes: dead, is_damaged: false }
}

fn numbers(first: u64, last: u64) -> SegmentNumbers {
    SegmentNumbers { first, last }
}

fn classified(kept: &[(u64, u64)], replaced: &[(u64, u64)], gaps: &[(u64, u64)]) -> ClassifiedSegments {
    let all = |pairs: &[(u64, u64)]| pairs.iter().map(|(first, last)| numbers(*first, *last)).collect();
    ClassifiedSegments { kept: all(kept), replaced: all(replaced), gaps: all(gaps) }
}

#[test]
fn merged_segment_replaces_covered_segments_and_gaps_are_reported() {
    let cases: [(&[(u64, u64)], ClassifiedSegments); 5] = [
        (&[], ClassifiedSegments::default()),
        (&[(1, 1), (2, 2)], classified(&[(1, 1), (2, 2)], &[], &[])),
        (&[(1, 1), (2, 2), (3, 3), (1, 2)], classified(&[(1, 2), (3, 3)], &[(1, 1), (2, 2)], &[])),
        (&[(2, 2)], classified(&[(2, 2)], &[], &[(1, 1)])),
        (&[(1, 2), (5, 5)], classified(&[(1, 2), (5, 5)], &[], &[(3, 4)])),
    ];
    for (segments, expected) in cases {
        let segments: Vec<SegmentNumbers> =
            segments.iter().map(|(first, last)| numbers(*first, *last)).collect();
        assert_eq!(classify_segments(segments.clone()), expected, "{segments:?}");
    }
}

#[test]
fn parses_only_the_names_that_it_formats() {
    assert_eq!(segment_numbers(&segment_name(numbers(3, 0xfeed))), Some(numbers(3, 0xfeed)));
    for bad in ["", "LOCK", "000000000001-000000000000.seg", "000000000000-000000000001.seg", "1-2.seg"] {
        assert_eq!(segment_numbers(bad), None, "{bad}");
    }
    assert!(is_unfinished_name(&unfinished_name(numbers(1, 2))) && !is_unfinished_name("x.tmp"));
}

#[test]
fn compacts_the_range_with_the_greatest_gain_and_skips_damaged_segments() {
    let damaged = SegmentUsage { is_damaged: true, ..segment(100, 100) };
    let cases: [(&[SegmentUsage], Option<Range<usize>>); 6] = [
        (&[], None),
        (&[segment(100, 10), segment(100, 5)], None), // too few dead bytes
        (&[segment(100, 90), segment(100, 0), segment(100, 90)], Some(0..3)),
        (&[segment(100, 0), segment(100, 80), segment(400, 0)], Some(1..2)),
        (&[segment(100, 60), damaged, segment(100, 70)], Some(2..3)),
        (&[segment(100, 0); 9], Some(0..8)),
    ];
    for (segments, expected) in cases {
        assert_eq!(range_to_compact(segments, 50), expected, "{segments:?}");
    }
}
