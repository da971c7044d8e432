//! What must hold of budgets, over drawn histories.

use mothproxy_coldstart::{Decision, Request, WarmUpBudget, Worker, warm_up_budget};
use proptest::prelude::*;

const MS: u64 = 1_000;
const S: u64 = 1_000_000;
const UNIX: u64 = 1_764_633_600 * S;

proptest! {
    #![proptest_config(ProptestConfig::with_cases(160))]

    /// The bound: whichever processes live, whenever they start, however their clocks differ.
    #[test]
    fn a_cold_worker_never_gets_more_than_its_budget(
        count in 1..300_u16,
        lives in prop::collection::vec((any::<u16>(), 0..9 * S, 0..6 * S, -50_000..=50_000_i64), 1..50),
        (per_second, tag, handshake) in (0.5..60.0, any::<u64>(), 0.01..0.9),
    ) {
        let settings = |place, unix| warm_up_budget::Config {
            unix_at_zero: unix, handshake_work: handshake, probe_work: handshake, ..config(place, count)
        };
        let worker = Worker { tag, started_at: Some(UNIX), requests_per_second: per_second };
        let mut spent: Vec<(u64, f64)> = Vec::new();
        // One process at a place at a time: the next one starts when the one before has ended.
        let mut free = vec![0_u64; usize::from(count)];
        for (n, (place, start, span, skew)) in lives.into_iter().enumerate() {
            let place = place % count;
            let start = start.max(free[usize::from(place)]);
            free[usize::from(place)] = start + span;
            let mut budget = WarmUpBudget::new(settings(place, UNIX.saturating_add_signed(skew)), start).expect("sound");
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
                    Decision::Granted => spent.push((at, units)),
                    Decision::WaitUntil(until) => prop_assert!(until > at),
                    Decision::TooLarge => {}
                }
                prop_assert!(!would_grant || spent.last().is_some_and(|(last, _)| *last == at));
                at += 3 * MS + (at / MS * 31) % (40 * MS);
            }
        }
        spent.sort_by_key(|(at, _)| *at);
        let bounds = WarmUpBudget::new(settings(0, UNIX), 0).expect("sound");
        for (n, (from, _)) in spent.iter().enumerate() {
            let window = spent[n..].iter().take_while(|(at, _)| at - from <= 1_500 * MS);
            let sum: f64 = window.map(|(_, units)| units).sum();
            let bound = bounds.warming_budget(&worker, *from) as f64;
            prop_assert!(sum <= bound + 1e-6, "{sum} of {bound} from {from}");
        }
    }

    /// All together hold no more connections than there are, also where some are in the next lease already.
    #[test]
    fn connections_stay_within_what_a_worker_holds(
        (count, connections) in (1..300_u16, 0..400_u32),
        (tag, at, skew) in (any::<u64>(), 0..60 * S, prop::collection::vec(0..2_u64, 300)),
    ) {
        let mut sum = 0;
        for place in 0..count {
            // Some clocks are just past the end of a lease.
            let unix = UNIX + skew[usize::from(place)] * 10 * S;
            let settings = warm_up_budget::Config { unix_at_zero: unix, connections, ..config(place, count) };
            let held = WarmUpBudget::new(settings, 0).expect("sound").connection_quota(at, tag);
            prop_assert_eq!(held.is_none(), connections == 0);
            sum += held.map_or(0, |quota| quota.connections);
        }
        prop_assert!(sum <= connections);
        // Where all clocks are on one side of a lease's end somebody may hold one.
        let one = |place| WarmUpBudget::new(warm_up_budget::Config { connections, ..config(place, count) }, 0).expect("sound");
        let held = (0..count).filter_map(|place| one(place).connection_quota(at, tag));
        prop_assert!(connections < 2 || held.map(|quota| quota.connections).sum::<u32>() > 0, "nobody may hold any");
    }
}

fn config(place: u16, places: u16) -> warm_up_budget::Config {
    warm_up_budget::Config {
        place,
        places,
        unix_at_zero: UNIX,
        max_clock_skew: 50 * MS,
        overload_window: 1_500 * MS,
        overload_multiple: 4.0,
        initial_capacity: 0.38,
        warm_up_time: 8_400 * MS,
        handshake_work: 0.1,
        probe_work: 0.05,
        connections: 0,
        connection_lease: 10 * S,
        skip_turns: false,
    }
}

/// Each place has its turn at each worker, a large job too; without turns the bound breaks, and that is seen.
#[test]
fn every_place_has_turns_and_the_bound_breaks_without_them() {
    for started_at in [None, Some(UNIX + 3 * S)] {
        let worker = Worker { tag: 5, started_at, requests_per_second: 40.0 };
        for place in 0..100 {
            let mut budget = WarmUpBudget::new(config(place, 100), 0).expect("sound");
            for request in [Request::Handshake, Request::Probe, Request::FirstJob] {
                let turn = (0..600)
                    .any(|n| budget.try_spend(S + n * 50 * MS, &worker, request) == Decision::Granted);
                assert!(turn, "place {place} never has a turn for {request:?}");
            }
        }
    }
    let worker = Worker { tag: 5, started_at: Some(UNIX), requests_per_second: 40.0 };
    let granted = |skip_turns| -> usize {
        let settings = |place| warm_up_budget::Config { skip_turns, ..config(place, 300) };
        let all = (0..300).map(|place| WarmUpBudget::new(settings(place), 0).expect("sound"));
        all.map(|mut budget| {
            (0..15)
                .filter(|n| budget.try_spend(n * 100 * MS, &worker, Request::Job(1.0)) == Decision::Granted)
                .count()
        })
        .sum()
    };
    let bound = warm_up_budget::budget(4.0 * 0.38 * 40.0 * 1.5) as usize;
    assert!(granted(false) <= bound && granted(false) > bound / 3, "{} of {bound}", granted(false));
    assert!(granted(true) > bound, "the mutation is not seen");
}
