//! Running jobs, and their contributions: to the expected completions, to a fit (as right-censored observations), and to the
//! estimates of their own ends.

use crate::cell_sum::CellSum;
use crate::distribution::bin_of;
use crate::features::{CellChain, CellId};
use crate::log_time::log_of_micros;
use crate::model::Model;
use crate::shared_slowdown::WorkClocks;
use crate::{AttemptId, Placement};
use std::collections::BTreeMap;

/// The maximum number of jobs whose hazards are counted at a time; if there are more, they take turns. Also the maximum
/// number of running jobs in a fit; if there are more, the fit uses a sample.
const MAX_COUNTED: usize = 1_024;
/// The minimum weighted number of jobs of a class for its hazards to be counted.
const MIN_TRACKED_CLASS_JOBS: f64 = 100.0;
/// The minimum weighted number of jobs of a class for its residuals to be counted.
pub(crate) const MIN_EXPECTATION_JOBS: f64 = 2.0;
/// The fraction up to which reported progress is ignored.
const MIN_PROGRESS: f64 = 0.01;
/// The error of a progress report before any progress, as a logarithm; it shrinks as the job progresses.
const INITIAL_REPORT_ERROR: f64 = 0.5;
/// The error of a progress report at the end of a job, as a logarithm.
const FINAL_REPORT_ERROR: f64 = 0.02;
/// The minimum error of an estimate from similar jobs, as a logarithm.
const MIN_ESTIMATE_ERROR: f64 = 0.05;

/// A job's progress report.
#[derive(Clone, Copy, Debug)]
struct Progress {
    /// The fraction done, from 0 to 1.
    fraction: f64,
    /// The work clock at the time of the report.
    reported_at: f64,
}

/// A running job.
#[derive(Clone, Copy)]
pub(crate) struct RunningJob {
    pub chain: CellChain,
    pub placement: Placement,
    /// The clocks at the start of the job.
    pub started: WorkClocks,
    /// The logarithm of the run time that was expected at the start.
    expected: f64,
    /// The residual up to which the hazard was counted; `None` if the class had too few jobs when this one started
    /// ([`MIN_TRACKED_CLASS_JOBS`]).
    counted_until: Option<f64>,
    /// The last progress report.
    progress: Option<Progress>,
}

/// An estimate of the logarithm of a run time: the median and the conservative quantile.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LogEstimate {
    pub typical: f64,
    pub long: f64,
}

impl RunningJob {
    /// Creates a job that starts when the clocks read `started`.
    pub fn new(chain: CellChain, placement: Placement, started: WorkClocks, model: &Model) -> RunningJob {
        let expected = model.expectation(&chain);
        let Placement { kind, worker } = placement;
        let log_runtime = expected.work + model.slowness(kind) + model.worker_effect(worker);
        let is_tracked = expected.class_jobs >= MIN_TRACKED_CLASS_JOBS;
        RunningJob {
            chain,
            placement,
            started,
            expected: log_runtime,
            counted_until: is_tracked.then_some(f64::NEG_INFINITY),
            progress: None,
        }
    }

    /// Whether the hazard of the job adds to the expected completions.
    pub fn is_tracked(&self) -> bool {
        self.counted_until.is_some()
    }

    fn residual(&self, work_clock: f64) -> f64 {
        log_of_micros(work_clock - self.started.work) - self.expected
    }

    /// The growth of the job's cumulative hazard since it was last counted.
    pub fn hazard_growth(&self, model: &Model, work_clock: f64) -> f64 {
        let distribution = model.class_distribution(&self.chain.class());
        let counted = self.counted_until.filter(|residual| residual.is_finite());
        let before = counted.map_or(0.0, |residual| distribution.cumulative_hazard(residual));
        (distribution.cumulative_hazard(self.residual(work_clock)) - before).max(0.0)
    }

    /// The total run time, given that the job has run for `elapsed` microseconds of work, and given its reported progress.
    pub fn log_runtime(&self, model: &Model, elapsed: f64, long_quantile: f64) -> LogEstimate {
        let expected = model.expectation(&self.chain);
        let distribution = model.distribution(&expected);
        let Placement { kind, worker } = self.placement;
        let middle = expected.work + model.slowness(kind) + model.worker_effect(worker);
        let residual = log_of_micros(elapsed) - middle;
        let at = |fraction: f64| distribution.conditional_residual(residual, fraction) + middle;
        let estimate = LogEstimate { typical: at(0.5), long: at(1.0 - long_quantile) };
        match self.progress.filter(|progress| progress.fraction > MIN_PROGRESS) {
            Some(progress) => self.weigh_progress(estimate, progress),
            None => estimate,
        }
    }

    /// Combines the job's progress report with the estimate from similar jobs, by inverse-variance weighting. The weight of the
    /// report grows with the progress.
    fn weigh_progress(&self, estimate: LogEstimate, progress: Progress) -> LogEstimate {
        let LogEstimate { typical, long } = estimate;
        let elapsed = (progress.reported_at - self.started.work).max(1.0);
        let reported = log_of_micros(elapsed / progress.fraction);
        let report_error = INITIAL_REPORT_ERROR * (1.0 - progress.fraction) + FINAL_REPORT_ERROR;
        let estimate_error = (long - typical).max(MIN_ESTIMATE_ERROR);
        let estimate_variance = estimate_error * estimate_error;
        let report_weight = estimate_variance / (estimate_variance + report_error * report_error);
        let spread = (long - typical) * (1.0 - report_weight).sqrt();
        let typical = typical + report_weight * (reported - typical);
        LogEstimate { typical, long: typical + spread }
    }

    /// Adds the job to the sums of its cells as a right-censored observation, which represents `count` jobs. The bins count
    /// it as censored. The sums count it with the probability that a job like it would have ended by now.
    fn add_lower_bound(
        &self,
        sums: &mut BTreeMap<CellId, CellSum>,
        model: &Model,
        learning_clock: f64,
        count: usize,
    ) {
        let expected = model.expectation(&self.chain);
        if expected.class_jobs < MIN_EXPECTATION_JOBS {
            return;
        }
        let elapsed = log_of_micros(learning_clock - self.started.learning);
        let Placement { kind, worker } = self.placement;
        let at_kind = elapsed - model.worker_effect(worker);
        let residual = at_kind - model.slowness(kind) - expected.work;
        let distribution = model.distribution(&expected);
        let expected_runtime = at_kind - residual + distribution.mean_beyond(residual);
        let ended = 1.0 - distribution.survival_at(residual);
        for (index, cell) in self.chain.cells().iter().enumerate() {
            let Some(sum) = sums.get_mut(cell) else { continue };
            let weight = ended * count as f64;
            sum.add_kind(kind, weight, weight * expected_runtime);
            sum.expected += weight * expected.above[index];
            sum.counts_mut().censored[usize::from(bin_of(residual))] += count as f32;
        }
    }
}

/// All running jobs.
pub(crate) struct RunningJobs {
    jobs: BTreeMap<AttemptId, RunningJob>,
    /// The first attempt to count next time.
    next_counted: AttemptId,
}

impl Default for RunningJobs {
    fn default() -> Self {
        RunningJobs { jobs: BTreeMap::new(), next_counted: AttemptId(0) }
    }
}

impl RunningJobs {
    /// The number of jobs.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Adds a job, or replaces the one with the same id.
    pub fn insert(&mut self, id: AttemptId, job: RunningJob) {
        self.jobs.insert(id, job);
    }

    /// Removes a job.
    pub fn remove(&mut self, id: AttemptId) -> Option<RunningJob> {
        self.jobs.remove(&id)
    }

    /// The job with this id.
    pub fn get(&self, id: AttemptId) -> Option<&RunningJob> {
        self.jobs.get(&id)
    }

    /// Records the progress of a job. A fraction that is not finite is ignored.
    pub fn on_progress(&mut self, id: AttemptId, fraction: f64, work_clock: f64) {
        if let Some(job) = self.jobs.get_mut(&id).filter(|_| fraction.is_finite()) {
            job.progress = Some(Progress { fraction: fraction.clamp(0.0, 1.0), reported_at: work_clock });
        }
    }

    /// The growth of the jobs' cumulative hazards since they were last counted, which is the number of completions that were
    /// expected in the meantime. At most [`MAX_COUNTED`] jobs are counted in one call; the next call continues with the
    /// others.
    pub fn count_hazards(&mut self, model: &Model, work_clock: f64) -> f64 {
        let in_turn = self.jobs.range(self.next_counted..).chain(self.jobs.range(..self.next_counted));
        let ids: Vec<AttemptId> = in_turn.take(MAX_COUNTED.min(self.jobs.len())).map(|(id, _)| *id).collect();
        let mut growth = 0.0;
        for id in &ids {
            let Some(job) = self.jobs.get_mut(id).filter(|job| job.is_tracked()) else { continue };
            growth += job.hazard_growth(model, work_clock);
            job.counted_until = Some(job.residual(work_clock));
        }
        self.next_counted = ids.last().map_or(AttemptId(0), |id| AttemptId(id.0 + 1));
        growth
    }

    /// Adds the jobs to the sums of their cells as right-censored observations: all of them, or an even sample if there are
    /// many.
    pub fn add_lower_bounds(&self, sums: &mut BTreeMap<CellId, CellSum>, model: &Model, learning_clock: f64) {
        let step = self.jobs.len() / MAX_COUNTED + 1;
        for job in self.jobs.values().step_by(step) {
            job.add_lower_bound(sums, model, learning_clock, step);
        }
    }

    /// The approximate memory in addition to the struct itself, in bytes.
    pub fn heap_bytes(&self) -> usize {
        self.jobs.len() * size_of::<(AttemptId, RunningJob)>()
    }
}
