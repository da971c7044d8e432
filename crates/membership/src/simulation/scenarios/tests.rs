//! Runs a few seeds of the scenarios, and verifies that their checks detect a deliberate fault.

use super::failures::{kill, mass_kill, pause};
use super::network_faults::{heal, loss, one_way};
use super::publishing::facts;
use super::startup::{cold_start, restart_leave_and_garbage};
use super::*;

const FEW_SEEDS: Extent = Extent { seeds: 2, large_seeds: 0, first_seed: 7, skip_suspicion: false };

#[test]
fn scenarios_pass_and_a_missing_suspicion_is_detected() {
    let reports = [
        kill(FEW_SEEDS, 10, 2),
        loss(FEW_SEEDS, 10, 2),
        heal(FEW_SEEDS, 10, 3, 2),
        mass_kill(FEW_SEEDS, 10, 2),
        pause(FEW_SEEDS, 3, 2),
        one_way(FEW_SEEDS, 10, 2),
        cold_start(FEW_SEEDS, 30, 1),
        restart_leave_and_garbage(FEW_SEEDS, 5, 1),
        facts(FEW_SEEDS, 10, 1),
    ];
    for report in reports {
        assert_eq!(report.violations, Vec::<String>::new(), "{}", report.json());
    }
    let faulty = Extent { skip_suspicion: true, ..FEW_SEEDS };
    assert!(!loss(faulty, 10, 2).violations.is_empty());
}

#[test]
fn the_same_seed_gives_the_same_run() {
    assert_eq!(kill(FEW_SEEDS, 10, 2).json(), kill(FEW_SEEDS, 10, 2).json());
}
