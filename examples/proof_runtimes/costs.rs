//! What estimates, observations and fits cost.

use crate::SECOND;
use crate::day::{LAST, PARTS};
use crate::fleet::{Fleet, Job};
use mothproxy_runtimes::{AttemptId, Outcome, RuntimeEstimator};
use serde_json::{Value, json};
use std::time::Instant;

const ESTIMATES: usize = 500_000;
const OBSERVATIONS: usize = 100_000;
const FITS: u32 = 20;
/// Different jobs of which these consist.
const JOBS: usize = 10_000;
/// The numbers of the attempts, apart from those of the day.
const FIRST_ATTEMPT: u64 = 1 << 40;

/// Measures with an estimator that has seen a whole day.
pub fn measure(seed: u64, estimator: &mut RuntimeEstimator) -> Value {
    let fleet = Fleet::new(seed);
    let mut rng = fastrand::Rng::with_seed(seed);
    let jobs: Vec<Job> = (0..JOBS).map(|_| fleet.draw_job(&mut rng)).collect();
    // The results are printed, so that the compiler leaves nothing out.
    let (mut checksum, started) = (0, Instant::now());
    for job in jobs.iter().cycle().take(ESTIMATES) {
        checksum += estimator.estimate(&job.features, job.placement.kind, Some(job.placement.worker)).long;
    }
    let estimate_ns = started.elapsed().as_nanos() as f64 / ESTIMATES as f64;
    let (mut now, started) = (PARTS[LAST].to * SECOND, Instant::now());
    for (id, job) in (FIRST_ATTEMPT..).zip(jobs.iter().cycle()).take(OBSERVATIONS) {
        now += 1_000;
        estimator.on_started(now, AttemptId(id), &job.features, job.placement);
        estimator.on_ended(now + job.log_runtime.exp() as u64 % 1_000, AttemptId(id), Outcome::Done);
    }
    let observation_ns = started.elapsed().as_nanos() as f64 / OBSERVATIONS as f64;
    let started = Instant::now();
    (0..FITS).for_each(|_| checksum ^= estimator.digest(now));
    let fit_us = started.elapsed().as_micros() as f64 / f64::from(FITS);
    println!("costs, so that nothing is left out: {checksum:x}");
    let metrics = estimator.metrics();
    json!({
        "ns_an_estimate": estimate_ns.round(),
        "ns_a_job_observed": observation_ns.round(),
        "us_a_fit": fit_us.round(),
        "registers": metrics.summaries,
        "bytes": metrics.bytes,
    })
}
