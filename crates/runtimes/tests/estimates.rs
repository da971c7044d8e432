//! Accuracy of estimates: compared with a quantile sketch, across kinds of workers, with censored jobs, and while a job
//! runs. Also the bounds of memory and slots, and the arithmetic of backfilling compared with exhaustive search.

use mothproxy_runtimes::backfill::{IdleAllowance, OccupiedSlots, Reservation, may_start_before, reserve};
use mothproxy_runtimes::{AttemptId, Config, ConfigError, JobFeatures, KindSpeed, Outcome, Placement};
use mothproxy_runtimes::{RuntimeEstimator, WorkerKey, WorkerKind};
use proptest::prelude::*;
use sketches_ddsketch::DDSketch;

/// A second in microseconds.
const SECOND: u64 = 1_000_000;

fn default_estimator() -> RuntimeEstimator {
    RuntimeEstimator::new(Config::new(0, 1_790_000_000_000), 0).expect("the defaults are valid")
}

fn placement(kind: u32, worker: u64) -> Placement {
    Placement { kind: WorkerKind(kind), worker: WorkerKey(worker) }
}

/// A draw from the standard normal distribution (Box-Muller transform).
fn normal(rng: &mut fastrand::Rng) -> f64 {
    (-2.0 * (1.0 - rng.f64()).ln()).sqrt() * (std::f64::consts::TAU * rng.f64()).cos()
}

/// Runs jobs that start at fixed intervals. `draw` returns the features, the kind and the run time of a job. Jobs that run
/// for longer than `limit` are censored at that time.
fn run_jobs(
    estimator: &mut RuntimeEstimator,
    jobs: u64,
    limit: u64,
    rng: &mut fastrand::Rng,
    draw: impl Fn(&mut fastrand::Rng) -> (JobFeatures, u32, f64),
) {
    for id in 0..jobs {
        let (features, kind, runtime) = draw(rng);
        let now = started_at(id);
        estimator.on_started(now, AttemptId(id), &features, placement(kind, u64::from(kind)));
        let outcome = if runtime as u64 <= limit { Outcome::Done } else { Outcome::Censored };
        estimator.on_ended(now + (runtime as u64).min(limit), AttemptId(id), outcome);
    }
    estimator.advance(started_at(jobs));
}

fn started_at(id: u64) -> u64 {
    id * 200_000
}

/// Whether the logarithms of both values differ by less than `tolerance`.
fn is_near(actual: u64, expected: f64, tolerance: f64) -> bool {
    (actual as f64 / expected).ln().abs() < tolerance
}

#[test]
fn quantiles_agree_with_a_sketch_of_the_same_jobs() {
    let mut rng = fastrand::Rng::with_seed(11);
    let mut sketch = DDSketch::default();
    let mut estimator = default_estimator();
    let runtimes: Vec<f64> = (0..2_000).map(|_| 80_000.0 * normal(&mut rng).exp()).collect();
    runtimes.iter().for_each(|runtime| sketch.add(*runtime));
    for (id, runtime) in (0..).zip(&runtimes) {
        estimator.on_started(id * 2 * SECOND, AttemptId(id), &JobFeatures::from_class(1), placement(1, 1));
        estimator.on_ended(id * 2 * SECOND + *runtime as u64, AttemptId(id), Outcome::Done);
    }
    estimator.advance(1_000 * SECOND);
    let estimate = estimator.estimate(&JobFeatures::from_class(1), WorkerKind(1), None);
    for (actual, quantile) in [(estimate.typical, 0.5), (estimate.long, 0.9)] {
        let expected = sketch.quantile(quantile).ok().flatten().expect("the sketch holds jobs");
        assert!(is_near(actual, expected, 0.15), "quantile {quantile}: {actual}, expected {expected}");
    }
}

#[test]
fn jobs_at_one_kind_predict_run_times_at_another() {
    let mut estimator = default_estimator();
    let mut rng = fastrand::Rng::with_seed(3);
    let features_of = |subject: u64| JobFeatures { subject: Some(subject), ..JobFeatures::from_class(1) };
    // Subject 7 runs at kind 1 only. From the other subjects the estimator learns that kind 2 takes three times as long.
    run_jobs(&mut estimator, 1_500, u64::MAX, &mut rng, |rng| {
        let subject = rng.u64(..8);
        let kind = if subject == 7 { 1 } else { rng.u32(1..3) };
        let work = if subject == 7 { 100_000.0 } else { 20_000.0 };
        (features_of(subject), kind, work * if kind == 2 { 3.0 } else { 1.0 } * (0.3 * normal(rng)).exp())
    });
    let (observed, predicted) = (
        estimator.estimate(&features_of(7), WorkerKind(1), None).typical,
        estimator.estimate(&features_of(7), WorkerKind(2), None).typical,
    );
    assert!(
        is_near(observed, 100_000.0, 0.2) && is_near(predicted, 300_000.0, 0.3),
        "{observed} and {predicted}"
    );
    // The work is the geometric mean of the run times at the two kinds, no matter at which of them the subject ran.
    let work = estimator.estimate_work(&features_of(0)).typical;
    assert!(is_near(work, 20_000.0 * 3f64.sqrt(), 0.3), "{work}");
}

#[test]
fn censored_jobs_are_lower_bounds() {
    for (has_fault, is_too_low) in [(false, false), (true, true)] {
        let config = Config { censored_as_short: has_fault, ..Config::new(0, 1_790_000_000_000) };
        let mut estimator = RuntimeEstimator::new(config, 0).expect("a valid configuration");
        let mut rng = fastrand::Rng::with_seed(5);
        // About three jobs in ten are censored, at 1.7 times the median.
        run_jobs(&mut estimator, 1_500, 170_000, &mut rng, |rng| {
            (JobFeatures::from_class(1), 1, 100_000.0 * normal(rng).exp())
        });
        let estimate = estimator.estimate(&JobFeatures::from_class(1), WorkerKind(1), None);
        assert!(is_near(estimate.typical, 100_000.0, 0.25), "{estimate:?}");
        assert_eq!(estimate.long < 200_000, is_too_low, "with the fault: {has_fault}, {estimate:?}");
    }
}

#[test]
fn remaining_time_grows_beyond_the_first_estimate_and_follows_progress() {
    let mut estimator = default_estimator();
    let mut rng = fastrand::Rng::with_seed(8);
    run_jobs(&mut estimator, 1_000, u64::MAX, &mut rng, |rng| {
        (JobFeatures::from_class(1), 1, 100_000.0 * (0.7 * normal(rng)).exp())
    });
    let from = started_at(1_000);
    let attempt = AttemptId(9_999);
    estimator.on_started(from, attempt, &JobFeatures::from_class(1), placement(1, 1));
    let mut estimated_end = 0;
    for elapsed in [10_000, 100_000, 300_000, 1_000_000, 5_000_000] {
        let left = estimator.remaining(from + elapsed, attempt).expect("the attempt is running");
        assert!(left.typical > 0 && left.typical <= left.long, "{left:?}");
        assert!(
            elapsed + left.typical >= estimated_end,
            "after {elapsed} the estimated end is {}, before the previous one of {estimated_end}",
            elapsed + left.typical
        );
        estimated_end = elapsed + left.typical;
    }
    estimator.on_progress(from + 5_000_000, attempt, 0.5);
    let left = estimator.remaining(from + 5_000_000, attempt).expect("the attempt is running");
    assert!((2_500_000..7_500_000).contains(&left.typical), "{left:?}");
    assert_eq!(estimator.remaining(from, AttemptId(1)), None);
}

#[test]
fn memory_and_slots_are_bounded() {
    let config =
        Config { max_own_summaries: 50, slots: 8, max_running_jobs: 20, ..Config::new(0, 1_790_000_000_000) };
    let mut estimator = RuntimeEstimator::new(config, 0).expect("a valid configuration");
    let mut slots = std::collections::BTreeSet::new();
    for id in 0..3_000u64 {
        // Many subjects over more than two spans, and one job in three never ends.
        let features = JobFeatures { subject: Some(id % 700), ..JobFeatures::from_class(id % 3) };
        estimator.on_started(id * SECOND / 2, AttemptId(id), &features, placement((id % 9) as u32, id % 500));
        if id % 3 > 0 {
            estimator.on_ended(id * SECOND / 2 + 1_000, AttemptId(id), Outcome::Done);
        }
        slots.extend(std::iter::from_fn(|| estimator.publish(id * SECOND / 2 + 2_000)).map(|fact| fact.0));
    }
    let metrics = estimator.metrics();
    assert!(metrics.summaries <= 50 && metrics.running <= 20 && metrics.dropped > 0, "{metrics:?}");
    assert!(slots.len() <= 8 && slots.iter().all(|slot| *slot < 8), "{slots:?}");
}

#[test]
fn rejects_a_configuration_out_of_range() {
    let error_after = |change: &dyn Fn(&mut Config)| {
        let mut config = Config::new(0, 1);
        change(&mut config);
        RuntimeEstimator::new(config, 0).err()
    };
    assert_eq!(
        error_after(&|c| c.long_quantile = f64::NAN).map(|e| matches!(e, ConfigError::Quantile(_))),
        Some(true)
    );
    assert_eq!(
        error_after(&|c| c.speeds = vec![KindSpeed { kind: WorkerKind(1), speed: 0.0 }]),
        Some(ConfigError::Positive)
    );
    assert_eq!(error_after(&|c| c.slots = 0), Some(ConfigError::Zero));
    assert_eq!(error_after(&|c| c.epoch = u64::MAX), Some(ConfigError::Epoch));
}

fn any_occupied() -> impl Strategy<Value = Vec<OccupiedSlots>> {
    prop::collection::vec((0u64..60, 1u8..4), 0..8).prop_map(|draws| {
        draws.into_iter().map(|(ends_at, slots)| OccupiedSlots { ends_at, slots: f64::from(slots) }).collect()
    })
}

/// The number of slots that are free at a time, if `free` slots are free now and all jobs end as expected.
fn free_at(at: u64, free: f64, occupied: &[OccupiedSlots]) -> f64 {
    free + occupied.iter().filter(|job| job.ends_at <= at).map(|job| job.slots).sum::<f64>()
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    /// A reservation is at the earliest time with enough free slots, as an exhaustive search finds it.
    #[test]
    fn reservations_are_the_earliest(now in 0u64..60, free in 0u8..5, need in 1u8..9, occupied in any_occupied()) {
        let (free, need) = (f64::from(free), f64::from(need));
        let earliest = (now..=60).find(|at| free_at(*at, free, &occupied) >= need);
        let found = earliest.map(|at| Reservation { at, spare: free_at(at, free, &occupied) - need });
        // If enough slots are free now, those of jobs that should have ended before now do not count as free.
        let expected = if free >= need { Some(Reservation { at: now, spare: free - need }) } else { found };
        prop_assert_eq!(reserve(now, free, need, &mut occupied.clone()), expected);
    }

    /// A job that may start before a reservation, and ends when expected, does not delay the reservation.
    #[test]
    fn a_job_started_before_a_reservation_does_not_delay_it(
        free in 1u8..5, need in 1u8..9, slots in 1u8..4, long in 1u64..60, occupied in any_occupied(),
    ) {
        let (free, need, slots) = (f64::from(free), f64::from(need), f64::from(slots));
        let Some(reserved) = reserve(0, free, need, &mut occupied.clone()) else { return Ok(()) };
        if reserved.at > 0 && slots <= free && may_start_before(0, slots, long, &reserved) {
            let mut with_job = occupied.clone();
            with_job.push(OccupiedSlots { ends_at: long, slots });
            let after = reserve(0, free - slots, need, &mut with_job);
            prop_assert!(after.is_some_and(|after| after.at <= reserved.at), "{reserved:?} became {after:?}");
        }
    }

    /// Over any history, the idle slot time does not exceed the refill and one burst, no matter how many slots are requested.
    #[test]
    fn an_allowance_bounds_idle_slots(requests in prop::collection::vec((1u64..1_000, 0u8..9), 1..200)) {
        let mut allowance = IdleAllowance::new(0, 10.0, 0.1, 5_000);
        let (mut now, mut idle, mut idle_time) = (0, 0.0, 0.0);
        for (elapsed, requested) in requests {
            now += elapsed;
            idle_time += idle * elapsed as f64;
            let is_allowed = allowance.update(now, idle);
            idle = if is_allowed { f64::from(requested) } else { 0.0 };
            allowance.update(now, idle);
            // The allowance is checked once per step, so it may be overdrawn by the use of one step.
            prop_assert!(idle_time <= 1.0 * now as f64 + 5_000.0 + 9.0 * 1_000.0);
        }
    }
}
