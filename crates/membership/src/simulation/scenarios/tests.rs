//! A few seeds of each scenario, and that the checks see a deliberate fault.

use super::failures::{kill, mass_kill, pause};
use super::network_faults::{heal, loss, one_way};
use super::publishing::facts;
use super::startup::{cold_start, restart_leave_and_garbage};
use super::*;

const FEW: Extent = Extent { seeds: 2, large_seeds: 0, first_seed: 7, skip_suspicion: false };

#[test]
fn scenarios_hold_and_a_missing_suspicion_is_caught() {
    let reports = [
        kill(FEW, 10, 2),
        loss(FEW, 10, 2),
        heal(FEW, 10, 3, 2),
        mass_kill(FEW, 10, 2),
        pause(FEW, 3, 2),
        one_way(FEW, 10, 2),
        cold_start(FEW, 30, 1),
        restart_leave_and_garbage(FEW, 5, 1),
        facts(FEW, 10, 1),
    ];
    for report in reports {
        assert_eq!(report.violations, Vec::<String>::new(), "{}", report.json());
    }
    let faulty = Extent { skip_suspicion: true, ..FEW };
    assert!(!loss(faulty, 10, 2).violations.is_empty());
}

#[test]
fn the_same_seed_gives_the_same_run() {
    assert_eq!(kill(FEW, 10, 2).json(), kill(FEW, 10, 2).json());
}
