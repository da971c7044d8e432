//! A slowdown that all jobs share: how soon the estimates of one dispatcher follow its start and its end.

use crate::fleet::{Fleet, next_interval};
use crate::loss::round_to_thousandths;
use crate::{EPOCH, SECOND, SEEDS};
use mothproxy_runtimes::{AttemptId, Config, Outcome, RuntimeEstimator};
use serde_json::{Value, json};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::ops::Range;

/// The factor by which all jobs are slower during [`SLOWDOWN`].
const FACTOR: f64 = 2.5;
const SLOWDOWN: Range<u64> = 120 * SECOND..180 * SECOND;
const END: u64 = 260 * SECOND;
/// The time without a slowdown in which the drift of the estimator's factor is measured.
const CALM: Range<u64> = 60 * SECOND..SLOWDOWN.start;
/// The periods before and after the slowdown in which errors are measured.
const ERROR_PERIODS: [Range<u64>; 2] = [90 * SECOND..SLOWDOWN.start, 230 * SECOND..END];
/// The interval at which the factor is checked, in microseconds.
const CHECK_INTERVAL: u64 = SECOND / 10;
/// The ratio to the true factor within which the estimator's factor counts as close.
const CLOSE_RATIO: f64 = 1.2;
/// Replaces the time of an event that did not occur, in seconds, so that it counts as the worst.
const NEVER: f64 = 1e3;

/// The results of a run. Times are in seconds.
struct SlowdownRun {
    /// The time from the start of the slowdown until the estimator's factor is close to [`FACTOR`]; NaN for never.
    rise_time: f64,
    /// The time from the end of the slowdown until the estimator's factor is close to 1; NaN for never.
    recovery_time: f64,
    /// The maximum absolute logarithm of the estimator's factor during [`CALM`].
    max_drift: f64,
    /// The mean error of the estimated median, as a logarithm, in each of [`ERROR_PERIODS`].
    errors: [f64; 2],
}

/// When a job that starts at `from` ends. `work` is its run time without a slowdown, in microseconds.
fn end_of_job(from: u64, work: f64) -> u64 {
    let (mut at, mut left) = (from as f64, work);
    for (until, factor) in [(SLOWDOWN.start as f64, 1.0), (SLOWDOWN.end as f64, FACTOR), (f64::INFINITY, 1.0)]
    {
        let span = (until - at).max(0.0);
        if left * factor <= span {
            return (at + left * factor) as u64 + 1;
        }
        left -= span / factor;
        at += span;
    }
    at as u64
}

#[derive(Clone, Copy, Default)]
struct Mean {
    sum: f64,
    count: f64,
}

struct Simulation {
    jobs_per_s: f64,
    fleet: Fleet,
    rng: fastrand::Rng,
    estimator: RuntimeEstimator,
    /// The ends of running jobs, with their numbers.
    ends: BinaryHeap<Reverse<(u64, u64)>>,
    rise_time: f64,
    recovery_time: f64,
    max_drift: f64,
    errors: [Mean; ERROR_PERIODS.len()],
    now: u64,
    next_job: u64,
    next_check: u64,
    next_id: u64,
}

impl Simulation {
    fn new(seed: u64, jobs_per_s: f64) -> Simulation {
        Simulation {
            jobs_per_s,
            fleet: Fleet::new(seed),
            rng: fastrand::Rng::with_seed(seed),
            estimator: RuntimeEstimator::new(Config::new(0, EPOCH), 0).expect("the defaults are valid"),
            ends: BinaryHeap::new(),
            rise_time: f64::NAN,
            recovery_time: f64::NAN,
            max_drift: 0.0,
            errors: Default::default(),
            now: 0,
            next_job: 0,
            next_check: 0,
            next_id: 0,
        }
    }

    fn run(mut self) -> SlowdownRun {
        while self.now < END {
            let next_end = self.ends.peek().map_or(u64::MAX, |end| end.0.0);
            self.now = self.next_job.min(self.next_check).min(next_end);
            if self.next_check == self.now {
                self.check_factor();
            } else if self.next_job == self.now {
                self.on_job();
            } else if let Some(Reverse((_, id))) = self.ends.pop() {
                self.estimator.on_ended(self.now, AttemptId(id), Outcome::Done);
            }
        }
        let errors = self.errors.map(|error| error.sum / error.count);
        SlowdownRun {
            rise_time: self.rise_time,
            recovery_time: self.recovery_time,
            max_drift: self.max_drift,
            errors,
        }
    }

    fn check_factor(&mut self) {
        let now = self.now;
        self.estimator.advance(now);
        let factor = self.estimator.metrics().slowdown;
        let seconds_since = |start: u64| (now - start) as f64 / SECOND as f64;
        if CALM.contains(&now) {
            self.max_drift = self.max_drift.max(factor.ln().abs());
        }
        if now > SLOWDOWN.start && self.rise_time.is_nan() && factor > FACTOR / CLOSE_RATIO {
            self.rise_time = seconds_since(SLOWDOWN.start);
        }
        if now > SLOWDOWN.end && self.recovery_time.is_nan() && factor < CLOSE_RATIO {
            self.recovery_time = seconds_since(SLOWDOWN.end);
        }
        self.next_check += CHECK_INTERVAL;
    }

    fn on_job(&mut self) {
        let (now, id) = (self.now, self.next_id);
        let job = self.fleet.draw_job(&mut self.rng);
        let placement = job.placement;
        let estimate = self.estimator.estimate(&job.features, placement.kind, Some(placement.worker));
        let error = ((estimate.typical as f64).ln() - job.log_quantiles[0]).abs();
        for (mean, period) in self.errors.iter_mut().zip(ERROR_PERIODS) {
            if period.contains(&now) {
                *mean = Mean { sum: mean.sum + error, count: mean.count + 1.0 };
            }
        }
        self.estimator.on_started(now, AttemptId(id), &job.features, placement);
        self.ends.push(Reverse((end_of_job(now, job.log_runtime.exp()), id)));
        self.next_id += 1;
        self.next_job = now + next_interval(&mut self.rng, self.jobs_per_s);
    }
}

/// The median and the maximum of some values, where NaN counts as [`NEVER`].
fn median_and_worst(mut values: Vec<f64>) -> [f64; 2] {
    values.iter_mut().filter(|value| value.is_nan()).for_each(|value| *value = NEVER);
    values.sort_by(f64::total_cmp);
    [values[values.len() / 2], values[values.len() - 1]].map(round_to_thousandths)
}

/// Simulates slowdowns with consecutive seeds from this one on, and returns the results under the names of the output.
pub fn measure(seed: u64, jobs_per_s: f64) -> Value {
    let runs: Vec<SlowdownRun> =
        (0..2 * SEEDS).map(|n| Simulation::new(seed + n, jobs_per_s).run()).collect();
    let over_runs = |figure: fn(&SlowdownRun) -> f64| median_and_worst(runs.iter().map(figure).collect());
    json!({
        "follows_s": over_runs(|run| run.rise_time),
        "returns_s": over_runs(|run| run.recovery_time),
        "strays_by": over_runs(|run| run.max_drift).map(|log| round_to_thousandths(log.exp())),
        "log_error_before": over_runs(|run| run.errors[0])[0],
        "log_error_after": over_runs(|run| run.errors[1])[0],
    })
}
