//! The cost of estimates, observations and fits.

use crate::SECOND;
use crate::day::{LAST_PERIOD, PERIODS};
use crate::fleet::{Fleet, Job};
use mothproxy_runtimes::{AttemptId, Outcome, RuntimeEstimator};
use serde_json::{Value, json};
use std::time::Instant;

const ESTIMATES: usize = 500_000;
const OBSERVATIONS: usize = 100_000;
const FITS: u32 = 20;
/// The number of different jobs that are estimated and observed in turn.
const JOBS: usize = 10_000;
/// The id of the first attempt, beyond those of the simulation.
const FIRST_ATTEMPT: u64 = 1 << 40;

/// Measures the costs with an estimator that has observed a whole simulation.
pub fn measure(seed: u64, estimator: &mut RuntimeEstimator) -> Value {
    let fleet = Fleet::new(seed);
    let mut rng = fastrand::Rng::with_seed(seed);
    let jobs: Vec<Job> = (0..JOBS).map(|_| fleet.draw_job(&mut rng)).collect();
    // A checksum of the results is printed, so that the compiler does not remove the measured calls.
    let (mut checksum, started) = (0, Instant::now());
    for job in jobs.iter().cycle().take(ESTIMATES) {
        checksum += estimator.estimate(&job.features, job.placement.kind, Some(job.placement.worker)).long;
    }
    let estimate_ns = started.elapsed().as_nanos() as f64 / ESTIMATES as f64;
    let (mut now, started) = (PERIODS[LAST_PERIOD].to * SECOND, Instant::now());
    for (id, job) in (FIRST_ATTEMPT..).zip(jobs.iter().cycle()).take(OBSERVATIONS) {
        now += 1_000;
        estimator.on_started(now, AttemptId(id), &job.features, job.placement);
        estimator.on_ended(now + job.log_runtime.exp() as u64 % 1_000, AttemptId(id), Outcome::Done);
    }
    let observation_ns = started.elapsed().as_nanos() as f64 / OBSERVATIONS as f64;
    let started = Instant::now();
    (0..FITS).for_each(|_| checksum ^= estimator.digest(now));
    let fit_us = started.elapsed().as_micros() as f64 / f64::from(FITS);
    println!("checksum of the measured results: {checksum:x}");
    let metrics = estimator.metrics();
    json!({
        "ns_an_estimate": estimate_ns.round(),
        "ns_a_job_observed": observation_ns.round(),
        "us_a_fit": fit_us.round(),
        "registers": metrics.summaries,
        "bytes": metrics.bytes,
    })
}
