//! What the store decides, as pure functions: which files count at a start, when to roll, what to compact.

/// The name of the segment that stands for these numbers.
pub fn name(lo: u64, hi: u64) -> String {
    format!("{lo:012x}-{hi:012x}.seg")
}

/// The numbers of such a name.
pub fn numbers(name: &str) -> Option<(u64, u64)> {
    let (lo, hi) = name.strip_suffix(".seg")?.split_once('-')?;
    let number = |text: &str| (text.len() == 12).then(|| u64::from_str_radix(text, 16).ok()).flatten();
    let (lo, hi) = (number(lo)?, number(hi)?);
    (lo >= 1 && lo <= hi && name == self::name(lo, hi)).then_some((lo, hi))
}

/// The name under which a merged segment is written before it counts.
pub fn unfinished(lo: u64, hi: u64) -> String {
    format!("{}.tmp", name(lo, hi))
}

/// Whether a name is one of those.
pub fn is_unfinished(name: &str) -> bool {
    name.strip_suffix(".tmp").is_some_and(|name| numbers(name).is_some())
}

/// Which segments count.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Tiling {
    /// Those that count, oldest first.
    pub keep: Vec<(u64, u64)>,
    /// Those that a merged one replaces.
    pub replaced: Vec<(u64, u64)>,
    /// Numbers that no segment stands for: something is lost there.
    pub gaps: Vec<(u64, u64)>,
}

/// Lays the segments side by side. A merged segment got its name only once it was whole and durable, so it counts
/// in place of those whose numbers it covers.
pub fn tile(mut all: Vec<(u64, u64)>) -> Tiling {
    // The widest of those that begin at one number comes first.
    all.sort_by_key(|(lo, hi)| (*lo, std::cmp::Reverse(*hi)));
    let mut tiling = Tiling::default();
    let mut next = 1;
    for (lo, hi) in all {
        if hi < next {
            tiling.replaced.push((lo, hi));
            continue;
        }
        // Two that overlap in part cannot come from this program; the later one fills in what is missing.
        if lo > next {
            tiling.gaps.push((next, lo - 1));
        }
        tiling.keep.push((lo, hi));
        next = hi + 1;
    }
    tiling
}

/// Whether the present segment is closed before this frame: it would become larger than it ought to be, and it is
/// not empty.
pub fn rolls(len: u64, frame: u64, most: u64, empty: bool) -> bool {
    !empty && len + frame > most
}

/// What is known of a segment that takes no more writes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Part {
    /// The bytes of its file.
    pub bytes: u64,
    /// The bytes of records that count no more.
    pub dead: u64,
    /// It is damaged, and left as it is.
    pub damaged: bool,
}

/// Dead bytes must be worth this part of the live ones that are copied to be rid of them.
const COPIED_PER_DEAD: f64 = 1.0 / 3.0;
/// So many neighbours of about one size are merged, that there are never many.
const NEIGHBOURS: usize = 8;
/// About one size: the largest has at most so many times the bytes of the least.
const ONE_SIZE: u64 = 4;
/// No merge reads more than this at once, in bytes: offsets have 32 bits.
pub const MOST_MERGED: u64 = 1 << 30;

/// What to compact next, as a range of these segments, oldest first; `least` is how many dead bytes make it worth
/// while. First where most is won by the bytes copied, then many small neighbours.
pub fn compaction(parts: &[Part], least: u64) -> Option<std::ops::Range<usize>> {
    let gain = |p: &Part| p.dead as f64 - (p.bytes.saturating_sub(p.dead)) as f64 * COPIED_PER_DEAD;
    let (mut best, mut start, mut sum, mut bytes) = (None::<(f64, std::ops::Range<usize>)>, 0, 0.0, 0);
    for (n, part) in parts.iter().enumerate() {
        if part.damaged || bytes + part.bytes > MOST_MERGED {
            (start, sum, bytes) = (n + 1, 0.0, 0);
            continue;
        }
        if sum <= 0.0 {
            (start, sum, bytes) = (n, 0.0, 0);
        }
        sum += gain(part);
        bytes += part.bytes;
        let dead: u64 = parts[start..=n].iter().map(|p| p.dead).sum();
        if dead >= least && sum > best.as_ref().map_or(0.0, |b| b.0) {
            best = Some((sum, start..n + 1));
        }
    }
    best.map(|b| b.1).or_else(|| {
        let alike = |w: &[Part]| {
            let (least, most) = (w.iter().map(|p| p.bytes).min()?, w.iter().map(|p| p.bytes).max()?);
            let sum: u64 = w.iter().map(|p| p.bytes).sum();
            let whole = w.iter().all(|p| !p.damaged) && sum <= MOST_MERGED;
            (whole && most <= least.max(1) * ONE_SIZE).then_some(())
        };
        let found = parts.windows(NEIGHBOURS).position(|w| alike(w).is_some())?;
        Some(found..found + NEIGHBOURS)
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    fn part(bytes: u64, dead: u64) -> Part {
        Part { bytes, dead, damaged: false }
    }

    #[test]
    fn a_merged_segment_replaces_what_it_covers_and_gaps_are_seen() {
        let cases: [(&[(u64, u64)], Tiling); 5] = [
            (&[], Tiling::default()),
            (&[(1, 1), (2, 2)], Tiling { keep: vec![(1, 1), (2, 2)], ..Default::default() }),
            (
                &[(1, 1), (2, 2), (3, 3), (1, 2)],
                Tiling { keep: vec![(1, 2), (3, 3)], replaced: vec![(1, 1), (2, 2)], gaps: vec![] },
            ),
            (&[(2, 2)], Tiling { keep: vec![(2, 2)], replaced: vec![], gaps: vec![(1, 1)] }),
            (&[(1, 2), (5, 5)], Tiling { keep: vec![(1, 2), (5, 5)], replaced: vec![], gaps: vec![(3, 4)] }),
        ];
        for (all, expected) in cases {
            assert_eq!(tile(all.to_vec()), expected, "{all:?}");
        }
    }

    #[test]
    fn names_are_read_only_as_they_are_written() {
        assert_eq!(numbers(&name(3, 0xfeed)), Some((3, 0xfeed)));
        for bad in ["", "LOCK", "000000000001-000000000000.seg", "000000000000-000000000001.seg", "1-2.seg"] {
            assert_eq!(numbers(bad), None, "{bad}");
        }
        assert!(is_unfinished(&unfinished(1, 2)) && !is_unfinished("x.tmp"));
    }

    #[test]
    fn compaction_goes_where_it_wins_most_and_leaves_damage_alone() {
        let cases: [(&[Part], Option<std::ops::Range<usize>>); 6] = [
            (&[], None),
            (&[part(100, 10), part(100, 5)], None), // too little to win
            (&[part(100, 90), part(100, 0), part(100, 90)], Some(0..3)),
            (&[part(100, 0), part(100, 80), part(400, 0)], Some(1..2)),
            (&[part(100, 60), Part { damaged: true, ..part(100, 100) }, part(100, 70)], Some(2..3)),
            (&[part(100, 0); 9], Some(0..8)),
        ];
        for (parts, expected) in cases {
            assert_eq!(compaction(parts, 50), expected, "{parts:?}");
        }
    }
}
