//! Accuracy of estimates: against an exact sketch, over kinds of workers, with censored jobs, while a job runs; the bounds;
//! and the arithmetic of backfilling against exhaustive search.

use mothproxy_runtimes::backfill::{IdleAllowance, OccupiedSlots, Reservation, may_start_before, reserve};
use mothproxy_runtimes::{AttemptId, Config, ConfigError, JobFeatures, KindSpeed, Outcome, Placement};
use mothproxy_runtimes::{RuntimeEstimator, WorkerKey, WorkerKind};
use proptest::prelude::*;
use sketches_ddsketch::DDSketch;

/// A second in microseconds.
const SECOND: u64 = 1_000_000;

fn start() -> RuntimeEstimator {
    RuntimeEstimator::new(Config::new(0, 1_790_000_000_000), 0).expect("the defaults hold")
}

fn at(kind: u32, worker: u64) -> Placement {
    Placement { kind: WorkerKind(kind), worker: WorkerKey(worker) }
}

fn normal(rng: &mut fastrand::Rng) -> f64 {
    (-2.0 * (1.0 - rng.f64()).ln()).sqrt() * (std::f64::consts::TAU * rng.f64()).cos()
}

/// Runs jobs of one class one after another: `of` gives features, kind and run time; they are cut off at `limit`.
fn run(
    one: &mut RuntimeEstimator,
    jobs: u64,
    limit: u64,
    rng: &mut fastrand::Rng,
    of: impl Fn(&mut fastrand::Rng) -> (JobFeatures, u32, f64),
) {
    for id in 0..jobs {
        let (features, kind, ran) = of(rng);
        let now = started_at(id);
        one.on_started(now, AttemptId(id), &features, at(kind, u64::from(kind)));
        let outcome = if ran as u64 <= limit { Outcome::Done } else { Outcome::Censored };
        one.on_ended(now + (ran as u64).min(limit), AttemptId(id), outcome);
    }
    one.advance(started_at(jobs));
}

fn started_at(id: u64) -> u64 {
    id * 200_000
}

fn near(is: u64, wanted: f64, within: f64) -> bool {
    (is as f64 / wanted).ln().abs() < within
}

#[test]
fn quantiles_agree_with_a_sketch_of_the_same_jobs() {
    let mut rng = fastrand::Rng::with_seed(11);
    let mut exact = DDSketch::default();
    let mut one = start();
    let runs: Vec<f64> = (0..2_000).map(|_| 80_000.0 * normal(&mut rng).exp()).collect();
    runs.iter().for_each(|ran| exact.add(*ran));
    for (id, ran) in (0..).zip(&runs) {
        one.on_started(id * 2 * SECOND, AttemptId(id), &JobFeatures::from_class(1), at(1, 1));
        one.on_ended(id * 2 * SECOND + *ran as u64, AttemptId(id), Outcome::Done);
    }
    one.advance(1_000 * SECOND);
    let estimate = one.estimate(&JobFeatures::from_class(1), WorkerKind(1), None);
    for (is, quantile) in [(estimate.typical, 0.5), (estimate.long, 0.9)] {
        let wanted = exact.quantile(quantile).ok().flatten().expect("there are jobs");
        assert!(near(is, wanted, 0.15), "{quantile}: {is} and {wanted}");
    }
}

#[test]
fn jobs_at_one_kind_predict_run_times_at_another() {
    let mut one = start();
    let mut rng = fastrand::Rng::with_seed(3);
    let of = |subject: u64| JobFeatures { subject: Some(subject), ..JobFeatures::from_class(1) };
    // Subject 7 runs at kind 1 alone; the others teach that kind 2 takes three times as long.
    run(&mut one, 1_500, u64::MAX, &mut rng, |rng| {
        let subject = rng.u64(..8);
        let kind = if subject == 7 { 1 } else { rng.u32(1..3) };
        let work = if subject == 7 { 100_000.0 } else { 20_000.0 };
        (of(subject), kind, work * if kind == 2 { 3.0 } else { 1.0 } * (0.3 * normal(rng)).exp())
    });
    let (seen, predicted) = (
        one.estimate(&of(7), WorkerKind(1), None).typical,
        one.estimate(&of(7), WorkerKind(2), None).typical,
    );
    assert!(near(seen, 100_000.0, 0.2) && near(predicted, 300_000.0, 0.3), "{seen} and {predicted}");
    // The work is between the two, whichever kinds it was seen at.
    let work = one.estimate_work(&of(0)).typical;
    assert!(near(work, 20_000.0 * 3f64.sqrt(), 0.3), "{work}");
}

#[test]
fn censored_jobs_are_lower_bounds() {
    for (fault, caught) in [(false, false), (true, true)] {
        let config = Config { censored_as_short: fault, ..Config::new(0, 1_790_000_000_000) };
        let mut one = RuntimeEstimator::new(config, 0).expect("holds");
        let mut rng = fastrand::Rng::with_seed(5);
        // Three jobs in ten are cut off at 1.7 times the middle, half of the others anywhere before their end.
        run(&mut one, 1_500, 170_000, &mut rng, |rng| {
            (JobFeatures::from_class(1), 1, 100_000.0 * normal(rng).exp())
        });
        let estimate = one.estimate(&JobFeatures::from_class(1), WorkerKind(1), None);
        assert!(near(estimate.typical, 100_000.0, 0.25), "{estimate:?}");
        assert_eq!(estimate.long < 200_000, caught, "fault {fault}: {estimate:?}");
    }
}

#[test]
fn the_remaining_time_grows_with_low_estimates_and_follows_progress() {
    let mut one = start();
    let mut rng = fastrand::Rng::with_seed(8);
    run(&mut one, 1_000, u64::MAX, &mut rng, |rng| {
        (JobFeatures::from_class(1), 1, 100_000.0 * (0.7 * normal(rng)).exp())
    });
    let from = started_at(1_000);
    let attempt = AttemptId(9_999);
    one.on_started(from, attempt, &JobFeatures::from_class(1), at(1, 1));
    let mut ends = 0;
    for ran in [10_000, 100_000, 300_000, 1_000_000, 5_000_000] {
        let left = one.remaining(from + ran, attempt).expect("it runs");
        assert!(left.typical > 0 && left.typical <= left.long, "{left:?}");
        assert!(ran + left.typical >= ends, "after {ran} it ends at {} and not {ends}", ran + left.typical);
        ends = ran + left.typical;
    }
    one.on_progress(from + 5_000_000, attempt, 0.5);
    let left = one.remaining(from + 5_000_000, attempt).expect("it runs");
    assert!((2_500_000..7_500_000).contains(&left.typical), "{left:?}");
    assert_eq!(one.remaining(from, AttemptId(1)), None);
}

#[test]
fn memory_and_slots_are_bounded() {
    let config =
        Config { max_own_summaries: 50, slots: 8, max_running_jobs: 20, ..Config::new(0, 1_790_000_000_000) };
    let mut one = RuntimeEstimator::new(config, 0).expect("holds");
    let mut slots = std::collections::BTreeSet::new();
    for id in 0..3_000u64 {
        // Two spans' worth of new subjects, and jobs that never end.
        let features = JobFeatures { subject: Some(id % 700), ..JobFeatures::from_class(id % 3) };
        one.on_started(id * SECOND / 2, AttemptId(id), &features, at((id % 9) as u32, id % 500));
        if id % 3 > 0 {
            one.on_ended(id * SECOND / 2 + 1_000, AttemptId(id), Outcome::Done);
        }
        slots.extend(std::iter::from_fn(|| one.publish(id * SECOND / 2 + 2_000)).map(|fact| fact.0));
    }
    let figures = one.metrics();
    assert!(figures.summaries <= 50 && figures.running <= 20 && figures.dropped > 0, "{figures:?}");
    assert!(slots.len() <= 8 && slots.iter().all(|slot| *slot < 8), "{slots:?}");
}

#[test]
fn a_configuration_out_of_range_is_refused() {
    let refused = |change: &dyn Fn(&mut Config)| {
        let mut config = Config::new(0, 1);
        change(&mut config);
        RuntimeEstimator::new(config, 0).err()
    };
    assert_eq!(
        refused(&|c| c.long_quantile = f64::NAN).map(|e| matches!(e, ConfigError::Quantile(_))),
        Some(true)
    );
    assert_eq!(
        refused(&|c| c.speeds = vec![KindSpeed { kind: WorkerKind(1), speed: 0.0 }]),
        Some(ConfigError::Positive)
    );
    assert_eq!(refused(&|c| c.slots = 0), Some(ConfigError::Zero));
    assert_eq!(refused(&|c| c.epoch = u64::MAX), Some(ConfigError::Epoch));
}

fn held() -> impl Strategy<Value = Vec<OccupiedSlots>> {
    prop::collection::vec((0u64..60, 1u8..4), 0..8).prop_map(|all| {
        all.into_iter()
            .map(|(ends, slots)| OccupiedSlots { ends_at: ends, slots: f64::from(slots) })
            .collect()
    })
}

fn free_at(at: u64, free: f64, held: &[OccupiedSlots]) -> f64 {
    free + held.iter().filter(|held| held.ends_at <= at).map(|held| held.slots).sum::<f64>()
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    /// The reservation is at the first moment with room, as trying all moments finds it.
    #[test]
    fn reservations_are_the_earliest(now in 0u64..60, free in 0u8..5, need in 1u8..9, held in held()) {
        let (free, need) = (f64::from(free), f64::from(need));
        let first = (now..=60).find(|at| free_at(*at, free, &held) >= need);
        let wanted = first.map(|at| Reservation { at, spare: free_at(at, free, &held) - need });
        // What ought to have ended by now holds its slots still, until it is found at once.
        let starts = if free >= need { Some(Reservation { at: now, spare: free - need }) } else { wanted };
        prop_assert_eq!(reserve(now, free, need, &mut held.clone()), starts);
    }

    /// Whoever is let in before a reservation, and ends when it should, leaves the reservation's time as it was.
    #[test]
    fn a_job_started_before_a_reservation_does_not_delay_it(free in 1u8..5, need in 1u8..9, slots in 1u8..4, long in 1u64..60, held in held()) {
        let (free, need, slots) = (f64::from(free), f64::from(need), f64::from(slots));
        let Some(reserved) = reserve(0, free, need, &mut held.clone()) else { return Ok(()) };
        if reserved.at > 0 && slots <= free && may_start_before(0, slots, long, &reserved) {
            let mut with = held.clone();
            with.push(OccupiedSlots { ends_at: long, slots });
            let after = reserve(0, free - slots, need, &mut with);
            prop_assert!(after.is_some_and(|after| after.at <= reserved.at), "{reserved:?} became {after:?}");
        }
    }

    /// Over any history no more is held than the income and one burst, whatever is asked.
    #[test]
    fn an_allowance_bounds_idle_slots(asks in prop::collection::vec((1u64..1_000, 0u8..9), 1..200)) {
        let mut allowance = IdleAllowance::new(0, 10.0, 0.1, 5_000);
        let (mut now, mut held, mut paid) = (0, 0.0, 0.0);
        for (passed, asked) in asks {
            now += passed;
            paid += held * passed as f64;
            let open = allowance.update(now, held);
            held = if open { f64::from(asked) } else { 0.0 };
            allowance.update(now, held);
            // It is asked once a step; within a step it may be overdrawn by that step's use.
            prop_assert!(paid <= 1.0 * now as f64 + 5_000.0 + 9.0 * 1_000.0);
        }
    }
}
