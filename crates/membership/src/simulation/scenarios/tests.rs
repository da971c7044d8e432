//! A few seeds of each scenario, and that the checks see a deliberate fault.

use super::*;

const FEW: Extent = Extent { seeds: 2, large: 0, first: 7, skip_suspicion: false };

#[test]
fn stories_hold_and_a_missing_suspicion_is_caught() {
    for part in [kill(FEW, 10, 2), loss(FEW, 10, 2), heal(FEW, 10, 3, 2), mass(FEW, 10, 2), pause(FEW, 3, 2)]
    {
        assert_eq!(part.broken, Vec::<String>::new(), "{}", part.json());
    }
    for part in [one_way(FEW, 10, 2), cold(FEW, 30, 1), rest(FEW, 5, 1), facts(FEW, 10, 1)] {
        assert_eq!(part.broken, Vec::<String>::new(), "{}", part.json());
    }
    let wrong = Extent { skip_suspicion: true, ..FEW };
    assert!(!loss(wrong, 10, 2).broken.is_empty());
}

#[test]
fn the_same_seed_gives_the_same_story() {
    assert_eq!(kill(FEW, 10, 2).json(), kill(FEW, 10, 2).json());
}
