//! Tests that allotments add up to all slots, that a death moves few workers, and that no worker exceeds its limit.

use super::*;
use proptest::prelude::*;

proptest! {
    /// The allotments of all places add up to all slots, and no allotment shrinks as the number of slots grows.
    #[test]
    fn allotments_add_up_to_all_slots(slots in 0..100_000_u32, more in 0..500_u32, peers in 1..400_u16, tag in any::<u64>()) {
        let mut ranks: Vec<u16> = (0..peers).map(|place| rank(tag, place, peers)).collect();
        prop_assert_eq!(ranks.iter().map(|r| allotment(slots, peers, *r)).sum::<u32>(), slots);
        prop_assert!(ranks.iter().all(|r| allotment(slots, peers, *r) <= allotment(slots + more, peers, *r)));
        // Places that see different numbers of free slots, none above the actual one, still stay within it together.
        let seen = |n: u16| slots.saturating_sub(u32::from(n) * 7 % (slots + 1));
        prop_assert!((0..peers).map(|n| allotment(seen(n), peers, ranks[usize::from(n)])).sum::<u32>() <= slots);
        ranks.sort_unstable();
        prop_assert!(ranks.iter().enumerate().all(|(n, r)| n == usize::from(*r)));
    }

    #[test]
    fn a_death_moves_only_its_own_workers(tags in prop::collection::vec(any::<u64>(), 1..200), peers in 2..40_usize, dead in any::<prop::sample::Index>()) {
        let all = vec![true; peers];
        let mut fewer = all.clone();
        let dead = dead.index(peers);
        fewer[dead] = false;
        for tag in tags {
            let (before, after) = (owner(tag, &all), owner(tag, &fewer));
            prop_assert!(before == after || before == Some(dead as u16));
            prop_assert_eq!(before.map(|p| rank(tag, p, peers as u16)), Some(0));
        }
    }
}

/// Groups get workers in proportion to their members, and one death moves about as many workers as one place has.
#[test]
fn a_death_moves_few_workers_of_the_groups() {
    let (mut moved, mut expected) = (0, 0.0);
    for seed in 0..20_u64 {
        let tags: Vec<u64> = (0..600).map(|n| hash(&[seed, n])).collect();
        let mut holders = vec![true; 100];
        let before = assign_groups(&tags, &holders, 10);
        for group in 0..10 {
            let workers = before.iter().filter(|g| **g == Some(group)).count();
            assert!(workers <= 60, "seed {seed}: group {group} has {workers} workers, more than 60");
        }
        holders[(seed * 7 % 100) as usize] = false;
        let after = assign_groups(&tags, &holders, 10);
        moved += before.iter().zip(&after).filter(|(a, b)| a != b).count();
        expected += 600.0 / 100.0;
    }
    println!("{moved} workers moved; the dead places had {expected}");
    assert!(moved as f64 <= 3.0 * expected, "{moved} workers moved, more than 3 times {expected}");
    assert_eq!(assign_groups(&[1, 2], &[false, false], 2), [None, None]);
}

/// The random search finds no worker beyond its limit. It does find one if places drop their claims too early, which shows
/// that the search can detect a violation.
#[test]
fn claimed_slots_stay_within_the_limit() {
    for seed in 0..3_000 {
        assert_eq!(worst_overcommit(seed, 1.0), 0, "seed {seed}");
    }
    let violations = (0..3_000).filter(|seed| worst_overcommit(*seed, 0.0) > 0).count();
    assert!(violations > 0, "the search does not detect claims that are dropped too early");
}
