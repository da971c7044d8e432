//! Property tests of warm-up budgets, over random histories of processes.

use mothproxy_coldstart::{Decision, Request, WarmUpBudget, Worker, warm_up_budget};
use proptest::prelude::*;

const MS: u64 = 1_000;
const SECOND: u64 = 1_000_000;
const UNIX_AT_ZERO: u64 = 1_764_633_600 * SECOND;

proptest! {
    #![proptest_config(ProptestConfig::with_cases(160))]

    /// The bound of a warming worker's budget holds whichever processes run, whenever they start, and for all differences of
    /// clocks up to the maximum.
    #[test]
    fn warming_worker_never_gets_more_than_its_budget(
        count in 1..300_u16,
        processes in prop::collection::vec((any::<u16>(), 0..9 * SECOND, 0..6 * SECOND, -50_000..=50_000_i64), 1..50),
        (per_second, tag, handshake) in (0.5..60.0, any::<u64>(), 0.01..0.9),
    ) {
        let settings = |place, unix| warm_up_budget::Config {
            unix_at_zero: unix, handshake_work: handshake, probe_work: handshake, ..config(place, count)
        };
        let worker = Worker { tag, started_at: Some(UNIX_AT_ZERO), requests_per_second: per_second };
        let mut granted_units: Vec<(u64, f64)> = Vec::new();
        // A place has one process at a time: the next one starts when the previous one has ended.
        let mut next_start_at = vec![0_u64; usize::from(count)];
        for (n, (place, start, span, skew)) in processes.into_iter().enumerate() {
            let place = place % count;
            let start = start.max(next_start_at[usize::from(place)]);
            next_start_at[usize::from(place)] = start + span;
            let mut budget = WarmUpBudget::new(settings(place, UNIX_AT_ZERO.saturating_add_signed(skew)), start)
                .expect("a valid configuration");
            let mut at = start;
            while at < (start + span).min(8_400 * MS) {
                let (request, units) = match (at / 7 + n as u64) % 4 {
                    0 => (Request::Handshake, handshake),
                    1 => (Request::Probe, handshake),
                    2 => (Request::FirstJob, 1.0 + handshake),
                    _ => (Request::Job(1.7), 1.7),
                };
                let would_grant = budget.would_grant(at, &worker, request);
                match budget.try_spend(at, &worker, request) {
                    Decision::Granted => granted_units.push((at, units)),
                    Decision::WaitUntil(until) => prop_assert!(until > at),
                    Decision::TooLarge => {}
                }
                prop_assert!(!would_grant || granted_units.last().is_some_and(|(last, _)| *last == at));
                at += 3 * MS + (at / MS * 31) % (40 * MS);
            }
        }
        granted_units.sort_by_key(|(at, _)| *at);
        let bounds = WarmUpBudget::new(settings(0, UNIX_AT_ZERO), 0).expect("a valid configuration");
        for (n, (from, _)) in granted_units.iter().enumerate() {
            let window = granted_units[n..].iter().take_while(|(at, _)| at - from <= 1_500 * MS);
            let sum: f64 = window.map(|(_, units)| units).sum();
            let bound = bounds.warming_budget(&worker, *from) as f64;
            prop_assert!(sum <= bound + 1e-6, "{sum} of {bound} from {from}");
        }
    }

    /// The quotas of all places together never exceed the limit of a worker, even if some places are in the next lease
    /// already.
    #[test]
    fn connection_quotas_never_exceed_the_limit_of_a_worker(
        (count, connections) in (1..300_u16, 0..400_u32),
        (tag, at, skew) in (any::<u64>(), 0..60 * SECOND, prop::collection::vec(0..2_u64, 300)),
    ) {
        let mut sum = 0;
        for place in 0..count {
            // The clocks of some places are in the next lease.
            let unix = UNIX_AT_ZERO + skew[usize::from(place)] * 10 * SECOND;
            let settings = warm_up_budget::Config { unix_at_zero: unix, connections, ..config(place, count) };
            let quota = WarmUpBudget::new(settings, 0).expect("a valid configuration").connection_quota(at, tag);
            prop_assert_eq!(quota.is_none(), connections == 0);
            sum += quota.map_or(0, |quota| quota.connections);
        }
        prop_assert!(sum <= connections);
        // If all clocks are in the same lease, at least one place may hold a connection.
        let budget_of = |place| WarmUpBudget::new(warm_up_budget::Config { connections, ..config(place, count) }, 0)
            .expect("a valid configuration");
        let quotas = (0..count).filter_map(|place| budget_of(place).connection_quota(at, tag));
        prop_assert!(
            connections < 2 || quotas.map(|quota| quota.connections).sum::<u32>() > 0,
            "no place may hold a connection"
        );
    }
}

fn config(place: u16, places: u16) -> warm_up_budget::Config {
    warm_up_budget::Config {
        place,
        places,
        unix_at_zero: UNIX_AT_ZERO,
        max_clock_skew: 50 * MS,
        overload_window: 1_500 * MS,
        overload_multiple: 4.0,
        initial_capacity: 0.38,
        warm_up_time: 8_400 * MS,
        handshake_work: 0.1,
        probe_work: 0.05,
        connections: 0,
        connection_lease: 10 * SECOND,
        skip_turns: false,
    }
}

/// Each place gets turns at a warm worker and at one that warms up, for each kind of request. The second part is a check of
/// the check: without turns the bound is exceeded.
#[test]
fn every_place_has_turns_and_the_bound_is_exceeded_without_them() {
    for started_at in [None, Some(UNIX_AT_ZERO + 3 * SECOND)] {
        let worker = Worker { tag: 5, started_at, requests_per_second: 40.0 };
        for place in 0..100 {
            let mut budget = WarmUpBudget::new(config(place, 100), 0).expect("a valid configuration");
            for request in [Request::Handshake, Request::Probe, Request::FirstJob] {
                let turn = (0..600)
                    .any(|n| budget.try_spend(SECOND + n * 50 * MS, &worker, request) == Decision::Granted);
                assert!(turn, "place {place} never has a turn for {request:?}");
            }
        }
    }
    let worker = Worker { tag: 5, started_at: Some(UNIX_AT_ZERO), requests_per_second: 40.0 };
    let granted = |skip_turns| -> usize {
        let settings = |place| warm_up_budget::Config { skip_turns, ..config(place, 300) };
        let budgets =
            (0..300).map(|place| WarmUpBudget::new(settings(place), 0).expect("a valid configuration"));
        budgets
            .map(|mut budget| {
                (0..15)
                    .filter(|n| {
                        budget.try_spend(n * 100 * MS, &worker, Request::Job(1.0)) == Decision::Granted
                    })
                    .count()
            })
            .sum()
    };
    let bound = warm_up_budget::budget(4.0 * 0.38 * 40.0 * 1.5) as usize;
    assert!(granted(false) <= bound && granted(false) > bound / 3, "{} of {bound}", granted(false));
    assert!(granted(true) > bound, "{} of {bound}: the check misses the fault", granted(true));
}
