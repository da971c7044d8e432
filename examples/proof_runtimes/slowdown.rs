//! One dispatcher through a slowdown that all jobs share: how soon its estimates follow and return.

use crate::fleet::{Fleet, next_interval};
use crate::loss::round;
use crate::{EPOCH, SECOND, SEEDS};
use mothproxy_runtimes::{AttemptId, Config, Outcome, RuntimeEstimator};
use serde_json::{Value, json};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::ops::Range;

/// All jobs are this many times slower during [`SLOW`].
const FACTOR: f64 = 2.5;
const SLOW: Range<u64> = 120 * SECOND..180 * SECOND;
const END: u64 = 260 * SECOND;
/// The estimator's factor strays in this calm time.
const CALM: Range<u64> = 60 * SECOND..SLOW.start;
/// Errors are measured before the slowdown and after it.
const ERROR_PARTS: [Range<u64>; 2] = [90 * SECOND..SLOW.start, 230 * SECOND..END];
/// The factor is looked at this often, in microseconds.
const CHECK_INTERVAL: u64 = SECOND / 10;
/// The factor has followed or returned once it is within this ratio.
const CLOSE_RATIO: f64 = 1.2;
/// Stands for what never came: it counts as the worst.
const NEVER: f64 = 1e3;

/// What a run comes to. Times in seconds.
struct SlowdownRun {
    /// From the start of the slowdown until the factor has followed it; NaN for never.
    follows: f64,
    /// From its end until the factor has returned; NaN for never.
    returns: f64,
    /// The largest logarithm of the factor in the calm time.
    strays: f64,
    /// Mean error of the estimated median, as a logarithm, before and after.
    errors: [f64; 2],
}

/// When a job of so much work (in microseconds at the usual speed) that starts at `from` ends.
fn end_of_job(from: u64, work: f64) -> u64 {
    let (mut at, mut left) = (from as f64, work);
    for (until, factor) in [(SLOW.start as f64, 1.0), (SLOW.end as f64, FACTOR), (f64::INFINITY, 1.0)] {
        let room = (until - at).max(0.0);
        if left * factor <= room {
            return (at + left * factor) as u64 + 1;
        }
        left -= room / factor;
        at += room;
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
    follows: f64,
    returns: f64,
    strays: f64,
    errors: [Mean; ERROR_PARTS.len()],
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
            follows: f64::NAN,
            returns: f64::NAN,
            strays: 0.0,
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
        SlowdownRun { follows: self.follows, returns: self.returns, strays: self.strays, errors }
    }

    fn check_factor(&mut self) {
        let now = self.now;
        self.estimator.advance(now);
        let factor = self.estimator.metrics().slowdown;
        let seconds_since = |start: u64| (now - start) as f64 / SECOND as f64;
        if CALM.contains(&now) {
            self.strays = self.strays.max(factor.ln().abs());
        }
        if now > SLOW.start && self.follows.is_nan() && factor > FACTOR / CLOSE_RATIO {
            self.follows = seconds_since(SLOW.start);
        }
        if now > SLOW.end && self.returns.is_nan() && factor < CLOSE_RATIO {
            self.returns = seconds_since(SLOW.end);
        }
        self.next_check += CHECK_INTERVAL;
    }

    fn on_job(&mut self) {
        let (now, id) = (self.now, self.next_id);
        let job = self.fleet.draw_job(&mut self.rng);
        let placement = job.placement;
        let estimate = self.estimator.estimate(&job.features, placement.kind, Some(placement.worker));
        let error = ((estimate.typical as f64).ln() - job.log_quantiles[0]).abs();
        for (mean, part) in self.errors.iter_mut().zip(ERROR_PARTS) {
            if part.contains(&now) {
                *mean = Mean { sum: mean.sum + error, count: mean.count + 1.0 };
            }
        }
        self.estimator.on_started(now, AttemptId(id), &job.features, placement);
        self.ends.push(Reverse((end_of_job(now, job.log_runtime.exp()), id)));
        self.next_id += 1;
        self.next_job = now + next_interval(&mut self.rng, self.jobs_per_s);
    }
}

/// The middle and the worst of some values.
fn middle_and_worst(mut values: Vec<f64>) -> [f64; 2] {
    values.iter_mut().filter(|value| value.is_nan()).for_each(|value| *value = NEVER);
    values.sort_by(f64::total_cmp);
    [values[values.len() / 2], values[values.len() - 1]].map(round)
}

/// Simulates slowdowns with some seeds from this one on.
pub fn measure(seed: u64, jobs_per_s: f64) -> Value {
    let runs: Vec<SlowdownRun> =
        (0..2 * SEEDS).map(|n| Simulation::new(seed + n, jobs_per_s).run()).collect();
    let over_runs = |figure: fn(&SlowdownRun) -> f64| middle_and_worst(runs.iter().map(figure).collect());
    json!({
        "follows_s": over_runs(|run| run.follows),
        "returns_s": over_runs(|run| run.returns),
        "strays_by": over_runs(|run| run.strays).map(|log| round(log.exp())),
        "log_error_before": over_runs(|run| run.errors[0])[0],
        "log_error_after": over_runs(|run| run.errors[1])[0],
    })
}
