//! Jobs that run: what they add to the expected completions, to a fit (as right-censored observations), and to an estimate of
//! their own end.

use crate::cell_sum::CellSum;
use crate::distribution::bin_of;
use crate::features::{CellChain, CellId};
use crate::log_time::log_of_micros;
use crate::model::Model;
use crate::shared_slowdown::WorkClocks;
use crate::{AttemptId, Placement};
use std::collections::BTreeMap;

/// Most jobs whose hazard is counted at a time, and most that enter a fit; the others come next.
const MAX_COUNTED: usize = 1_024;
/// A class is tracked once so many jobs of it ended.
const MIN_TRACKED_CLASS_JOBS: f64 = 100.0;
/// A residual is counted once its class's expectation rests on so many jobs.
pub(crate) const MIN_EXPECTATION_JOBS: f64 = 2.0;
/// Progress below this fraction says nothing.
const MIN_PROGRESS: f64 = 0.01;

/// A job's progress report.
#[derive(Clone, Copy, Debug)]
struct Progress {
    /// Fraction done, 0 to 1.
    fraction: f64,
    /// The clock of work when it was reported.
    reported_at: f64,
}

/// A running job.
#[derive(Clone, Copy)]
pub(crate) struct RunningJob {
    pub chain: CellChain,
    pub placement: Placement,
    /// The clocks when it started.
    pub started: WorkClocks,
    /// Expected logarithmic run time at its start.
    expected: f64,
    /// Residual up to which its hazard was counted; `None` where its class was not known well enough.
    counted_until: Option<f64>,
    progress: Option<Progress>,
}

/// The logarithm of a run time, as median and conservative quantile.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LogEstimate {
    pub typical: f64,
    pub long: f64,
}

impl RunningJob {
    /// A job that starts now.
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

    /// Whether it counts among the expected completions.
    pub fn is_tracked(&self) -> bool {
        self.counted_until.is_some()
    }

    fn residual(&self, work_clock: f64) -> f64 {
        log_of_micros(work_clock - self.started.work) - self.expected
    }

    /// Growth of its cumulative hazard since it was counted last.
    pub fn hazard_growth(&self, model: &Model, work_clock: f64) -> f64 {
        let distribution = model.class_distribution(&self.chain.class());
        let counted = self.counted_until.filter(|residual| residual.is_finite());
        let before = counted.map_or(0.0, |residual| distribution.cumulative_hazard(residual));
        (distribution.cumulative_hazard(self.residual(work_clock)) - before).max(0.0)
    }

    /// The whole run time, given that it has run for `elapsed` of work and what it reported.
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

    /// Combines what it reported with what is known of similar jobs by inverse-variance weighting. The report counts for more
    /// the further the job is.
    fn weigh_progress(&self, estimate: LogEstimate, progress: Progress) -> LogEstimate {
        let LogEstimate { typical, long } = estimate;
        let elapsed = (progress.reported_at - self.started.work).max(1.0);
        let reported = log_of_micros(elapsed / progress.fraction);
        let report_error = 0.5 * (1.0 - progress.fraction) + 0.02;
        let estimate_error = (long - typical).max(0.05);
        let estimate_variance = estimate_error * estimate_error;
        let report_weight = estimate_variance / (estimate_variance + report_error * report_error);
        let spread = (long - typical) * (1.0 - report_weight).sqrt();
        let typical = typical + report_weight * (reported - typical);
        LogEstimate { typical, long: typical + spread }
    }

    /// Adds the job to the sums of its cells as a right-censored observation, which stands for `count` jobs: in the bins as
    /// such, in the sums with the probability that it would have ended by now.
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
        let whole = at_kind - residual + distribution.mean_beyond(residual);
        let ended = 1.0 - distribution.survival_at(residual);
        for (index, cell) in self.chain.cells().iter().enumerate() {
            let Some(sum) = sums.get_mut(cell) else { continue };
            let weight = ended * count as f64;
            sum.add_kind(kind, weight, weight * whole);
            sum.expected += weight * expected.above[index];
            sum.counts_mut().censored[usize::from(bin_of(residual))] += count as f32;
        }
    }
}

/// All jobs that run.
pub(crate) struct RunningJobs {
    jobs: BTreeMap<AttemptId, RunningJob>,
    /// The first attempt that is counted next time.
    next_counted: AttemptId,
}

impl Default for RunningJobs {
    fn default() -> Self {
        RunningJobs { jobs: BTreeMap::new(), next_counted: AttemptId(0) }
    }
}

impl RunningJobs {
    /// Number of jobs.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Adds a job, or replaces that of the same id.
    pub fn insert(&mut self, id: AttemptId, job: RunningJob) {
        self.jobs.insert(id, job);
    }

    /// Takes a job out.
    pub fn remove(&mut self, id: AttemptId) -> Option<RunningJob> {
        self.jobs.remove(&id)
    }

    /// The job of this id.
    pub fn get(&self, id: AttemptId) -> Option<&RunningJob> {
        self.jobs.get(&id)
    }

    /// A job reported the fraction that it has done. What is no number is ignored.
    pub fn on_progress(&mut self, id: AttemptId, fraction: f64, work_clock: f64) {
        if let Some(job) = self.jobs.get_mut(&id).filter(|_| fraction.is_finite()) {
            job.progress = Some(Progress { fraction: fraction.clamp(0.0, 1.0), reported_at: work_clock });
        }
    }

    /// Counts the growth of the jobs' cumulative hazards: the completions that were expected meanwhile. At most
    /// [`MAX_COUNTED`] jobs are visited at a time, in turn.
    pub fn count_hazards(&mut self, model: &Model, work_clock: f64) -> f64 {
        let in_turn = self.jobs.range(self.next_counted..).chain(self.jobs.range(..self.next_counted));
        let ids: Vec<AttemptId> = in_turn.take(MAX_COUNTED.min(self.jobs.len())).map(|(id, _)| *id).collect();
        let mut grown = 0.0;
        for id in &ids {
            let Some(job) = self.jobs.get_mut(id).filter(|job| job.is_tracked()) else { continue };
            grown += job.hazard_growth(model, work_clock);
            job.counted_until = Some(job.residual(work_clock));
        }
        self.next_counted = ids.last().map_or(AttemptId(0), |id| AttemptId(id.0 + 1));
        grown
    }

    /// Adds jobs to the sums of their cells as lower bounds: all of them, or an even sample of many.
    pub fn add_lower_bounds(&self, sums: &mut BTreeMap<CellId, CellSum>, model: &Model, learning_clock: f64) {
        let step = self.jobs.len() / MAX_COUNTED + 1;
        for job in self.jobs.values().step_by(step) {
            job.add_lower_bound(sums, model, learning_clock, step);
        }
    }

    /// Memory beside the struct itself, approximately.
    pub fn heap_bytes(&self) -> usize {
        self.jobs.len() * size_of::<(AttemptId, RunningJob)>()
    }
}
