//! The estimator, which observes jobs, exchanges facts with other dispatchers, and returns estimates.

use crate::distribution::bin_of;
use crate::encoding::{AbsorbError, ReceivedSummary};
use crate::features::{CellChain, JobFeatures, Level, worker_cell};
use crate::log_time::{MAX_RUNTIME, log_of_micros, micros_of_log};
use crate::model::{Expectation, Model};
use crate::own_summaries::OwnSummaries;
use crate::publish_pacer::PublishPacer;
use crate::received_summaries::{ReceivedSummaries, Version};
use crate::running_jobs::{MIN_EXPECTATION_JOBS, RunningJob, RunningJobs};
use crate::shared_slowdown::SharedSlowdown;
use crate::span_clock::SpanClock;
use crate::summary::LoggedJob;
use crate::{AttemptId, Config, ConfigError, Estimate, Metrics, Micros, Origin, Outcome, Placement};
use crate::{WorkerKey, WorkerKind};
use siphasher::sip::SipHasher13;
use std::collections::BTreeMap;
use std::hash::Hasher;

/// The interval at which running jobs add to the expected completions.
const COUNT_INTERVAL: Micros = 250_000;
/// The interval between two fits without any summary, if anything has changed.
const FIT_INTERVAL: Micros = 1_000_000;
/// The addition to [`FIT_INTERVAL`] for each summary, since the cost of a fit grows with the number of summaries.
const FIT_INTERVAL_PER_SUMMARY: Micros = 1_000;
/// A fit is done early if the number of new jobs is at least this fraction of the jobs of the last fit.
const EARLY_FIT_FRACTION: f64 = 1.0 / 8.0;
/// The minimum interval before an early fit is the regular interval divided by this.
const EARLY_FIT_FACTOR: u64 = 5;
/// The number of jobs of the last fit below which an early fit needs no minimum interval.
const FEW_JOBS: f64 = 64.0;
/// The maximum number of spans by which a received summary may be ahead, since clocks differ.
const MAX_SPANS_AHEAD: u32 = 2;
/// The minimum estimate of the remaining run time of a job, as a fraction of the time for which it has run.
const MIN_REMAINING: f64 = 0.02;

/// The result of absorbing a valid fact.
enum Absorbed {
    New,
    /// The fact is already known, or too old.
    Stale,
}

/// The observation of a job from the end of an attempt. All fields except `expected` are logarithms.
struct Observation {
    expected: Expectation,
    /// The run time at the worker's kind. If it was censored, the expected run time, given the time that was observed.
    runtime: f64,
    residual: f64,
    slowness: f64,
    worker_effect: f64,
}

/// Learns the run times of jobs. Time is an argument of each call, by the caller's monotonic clock.
///
/// ```
/// use mothproxy_runtimes::{Config, JobFeatures, RuntimeEstimator, WorkerKind};
///
/// let config = Config::new(0, 1_790_000_000_000);
/// let estimator = RuntimeEstimator::new(config, 0)?;
/// let prior = estimator.estimate(&JobFeatures::from_class(1), WorkerKind(1), None);
/// assert!(prior.typical < prior.long);
/// # Ok::<(), mothproxy_runtimes::ConfigError>(())
/// ```
pub struct RuntimeEstimator {
    config: Config,
    now: Micros,
    spans: SpanClock,
    own: OwnSummaries,
    received: ReceivedSummaries,
    running: RunningJobs,
    counted_at: Micros,
    slowdown: SharedSlowdown,
    model: Model,
    fitted_at: Micros,
    fitted_span: u32,
    /// The weighted number of jobs that the model was fitted to.
    fitted_jobs: f64,
    /// The number of new jobs since the last fit.
    new_jobs: f64,
    pacer: PublishPacer,
    metrics: Metrics,
}

impl RuntimeEstimator {
    /// Creates an estimator without observations. `now` must be the caller's time at `config.epoch`.
    ///
    /// # Errors
    ///
    /// A [`ConfigError`] if a setting is out of range.
    pub fn new(config: Config, now: Micros) -> Result<Self, ConfigError> {
        config.validate()?;
        let spans = SpanClock::new(&config, now);
        Ok(RuntimeEstimator {
            now,
            spans,
            own: OwnSummaries::new(&config, spans),
            received: ReceivedSummaries::new(&config, spans),
            running: RunningJobs::default(),
            counted_at: now,
            slowdown: SharedSlowdown::new(&config, now),
            model: Model::prior(&config),
            fitted_at: now,
            fitted_span: 0,
            fitted_jobs: 0.0,
            new_jobs: 0.0,
            pacer: PublishPacer::new(&config, now),
            metrics: Metrics::default(),
            config,
        })
    }

    fn span(&self) -> u32 {
        self.spans.span_at(self.now)
    }

    /// Advances to `now`: updates the shared slowdown, and if a fit is due, drops expired observations and fits the model
    /// anew. All methods that take `&mut self` and the time do this first. Without such a call, the result of
    /// [`RuntimeEstimator::estimate`] does not change.
    pub fn advance(&mut self, now: Micros) {
        self.now = self.now.max(now);
        self.slowdown.advance(self.now);
        if self.now - self.counted_at >= COUNT_INTERVAL {
            self.counted_at = self.now;
            let expected = self.running.count_hazards(&self.model, self.slowdown.clocks().work);
            self.slowdown.update(expected, 0.0);
        }
        if self.is_fit_due() {
            self.fit();
        }
    }

    fn is_fit_due(&self) -> bool {
        let summaries = (self.own.len() + self.received.len()) as u64;
        let interval = FIT_INTERVAL + FIT_INTERVAL_PER_SUMMARY * summaries;
        let elapsed = self.now - self.fitted_at;
        let may_be_early = self.fitted_jobs < FEW_JOBS || elapsed >= interval / EARLY_FIT_FACTOR;
        let is_early = self.new_jobs >= 1.0 + self.fitted_jobs * EARLY_FIT_FRACTION && may_be_early;
        let is_regular = self.new_jobs > 0.0 && elapsed >= interval;
        is_early || is_regular || self.fitted_span != self.span()
    }

    /// Records that an attempt began to run.
    pub fn on_started(
        &mut self,
        now: Micros,
        attempt: AttemptId,
        features: &JobFeatures,
        placement: Placement,
    ) {
        self.advance(now);
        if self.running.len() >= self.config.max_running_jobs {
            self.metrics.dropped += 1;
            return;
        }
        let started = self.slowdown.clocks();
        let running = RunningJob::new(CellChain::new(features), placement, started, &self.model);
        self.running.insert(attempt, running);
    }

    /// Records the progress of an attempt, as a fraction from 0 to 1. A value that is not finite is ignored.
    pub fn on_progress(&mut self, now: Micros, attempt: AttemptId, fraction: f64) {
        self.advance(now);
        self.running.on_progress(attempt, fraction, self.slowdown.clocks().work);
    }

    /// Records that an attempt ended. An attempt that is not known to have started is ignored.
    pub fn on_ended(&mut self, now: Micros, attempt: AttemptId, outcome: Outcome) {
        self.advance(now);
        let Some(job) = self.running.remove(attempt) else { return };
        self.metrics.seen += 1;
        self.metrics.censored += u64::from(outcome == Outcome::Censored);
        let learned = if self.config.censored_as_short { Outcome::Done } else { outcome };
        if job.is_tracked() {
            let expected = job.hazard_growth(&self.model, self.slowdown.clocks().work);
            let completions = match learned {
                Outcome::Done => 1.0,
                Outcome::Censored => 0.0,
            };
            self.slowdown.update(expected, completions);
        }
        self.learn(&job, learned);
        self.new_jobs += 1.0;
    }

    fn observe(&self, job: &RunningJob, outcome: Outcome) -> Observation {
        let Placement { kind, worker } = job.placement;
        let elapsed = log_of_micros(self.slowdown.clocks().learning - job.started.learning);
        let expected = self.model.expectation(&job.chain);
        let slowness = self.model.slowness(kind);
        let worker_effect = self.model.worker_effect(worker);
        let residual = elapsed - worker_effect - slowness - expected.work;
        // The sums get the conditional mean of a censored run time (the expectation step of Dempster and others 1977), the
        // bins the lower bound itself.
        let beyond = match outcome {
            Outcome::Done => 0.0,
            Outcome::Censored => self.model.distribution(&expected).mean_beyond(residual) - residual,
        };
        let runtime = log_of_micros((elapsed + beyond).exp()) - worker_effect;
        Observation { expected, runtime, residual, slowness, worker_effect }
    }

    /// Adds a finished job to the summaries of its cells and of its worker.
    fn learn(&mut self, job: &RunningJob, outcome: Outcome) {
        let observation = self.observe(job, outcome);
        let Observation { expected, runtime, residual, slowness, .. } = observation;
        let class = job.chain.class().hash as u32;
        let span = self.span();
        let has_expectation = expected.class_jobs >= MIN_EXPECTATION_JOBS;
        for (index, &cell) in job.chain.cells().iter().enumerate() {
            let Some(summary) = self.own.summary_mut(span, cell, class) else { continue };
            let work = runtime - slowness;
            summary.add(job.placement.kind, LoggedJob { runtime, work, expected: expected.above[index] });
            if has_expectation {
                summary.count(bin_of(residual), outcome);
            }
        }
        if has_expectation {
            self.learn_worker(job.placement, &observation);
        }
    }

    /// Adds the difference of a job's run time from its expectation to the summary of its worker.
    fn learn_worker(&mut self, placement: Placement, observation: &Observation) {
        let span = self.span();
        let Some(summary) = self.own.summary_mut(span, worker_cell(placement.worker), 0) else { return };
        let offset = observation.runtime + observation.worker_effect - observation.expected.work;
        let work = offset - observation.slowness;
        summary.add(placement.kind, LoggedJob { runtime: offset, work, expected: 0.0 });
    }

    /// Sums up all observations that have not expired, and fits the model to them.
    fn fit(&mut self) {
        let span = self.span();
        let oldest = self.spans.oldest_at(self.now);
        self.own.expire(oldest);
        self.received.expire(oldest);
        let mut sums = BTreeMap::new();
        self.own.add_to(&mut sums, span);
        self.received.add_to(&mut sums, span);
        if !self.config.censored_as_short {
            self.running.add_lower_bounds(&mut sums, &self.model, self.slowdown.clocks().learning);
        }
        let classes = sums.iter().filter(|(cell, _)| cell.level == Level::Class);
        self.fitted_jobs = classes.map(|(_, sum)| sum.jobs).sum();
        self.model = Model::fit(&sums, &self.config);
        if span != self.fitted_span {
            self.own.on_new_span();
        }
        self.fitted_at = self.now;
        self.fitted_span = span;
        self.new_jobs = 0.0;
    }

    /// The median and the conservative quantile of run times around a logarithmic run time.
    fn quantiles(&self, expected: &Expectation, log_runtime: f64) -> Estimate {
        let distribution = self.model.distribution(expected);
        let at = |survival: f64| micros_of_log(log_runtime + distribution.residual_at(survival));
        Estimate { typical: at(0.5), long: at(1.0 - self.config.long_quantile) }
    }

    /// The work of a job with these features: its run time at a worker of speed 1 without a shared slowdown. For the decision
    /// module, which knows the speeds of the workers.
    pub fn estimate_work(&self, features: &JobFeatures) -> Estimate {
        let expected = self.model.expectation(&CellChain::new(features));
        self.quantiles(&expected, expected.work)
    }

    /// How long a job with these features would occupy a slot from now on, at a worker of this kind, or at `worker` if given.
    pub fn estimate(&self, features: &JobFeatures, kind: WorkerKind, worker: Option<WorkerKey>) -> Estimate {
        let expected = self.model.expectation(&CellChain::new(features));
        let worker_effect = worker.map_or(0.0, |worker| self.model.worker_effect(worker));
        let log_runtime = expected.work + self.model.slowness(kind) + worker_effect + self.slowdown.log();
        self.quantiles(&expected, log_runtime)
    }

    /// How long a running attempt will still occupy its slot, given its run time so far and its reported progress. The
    /// estimate grows once the attempt has exceeded the first estimate. `None` if there is no such attempt.
    pub fn remaining(&self, now: Micros, attempt: AttemptId) -> Option<Estimate> {
        let job = self.running.get(attempt)?;
        let elapsed = (self.slowdown.work_at(now) - job.started.work).max(1.0);
        let total = job.log_runtime(&self.model, elapsed, self.config.long_quantile);
        let factor = self.slowdown.log().exp();
        let left = |log_runtime: f64| {
            let work = (log_runtime.exp() - elapsed).max(MIN_REMAINING * elapsed);
            (work * factor).clamp(1.0, MAX_RUNTIME) as u64
        };
        Some(Estimate { typical: left(total.typical), long: left(total.long.max(total.typical)) })
    }

    /// The slot and bytes of the next fact of kind [`crate::KIND`] to publish: the own summary that has grown most since it
    /// was last published. Call this until it returns `None`; [`Config::facts_per_s`] limits the rate.
    pub fn publish(&mut self, now: Micros) -> Option<(u32, Vec<u8>)> {
        self.advance(now);
        if !self.pacer.is_ready(self.now) {
            return None;
        }
        let Some((slot, bytes)) = self.own.publish(self.now) else {
            self.pacer.on_idle(self.now);
            return None;
        };
        self.pacer.on_published();
        self.metrics.published += 1;
        self.metrics.published_bytes += bytes.len() as u64;
        Some((slot, bytes))
    }

    /// Absorbs a fact of kind [`crate::KIND`]. Facts may arrive in any order, any number of times; `number` orders the facts
    /// of an origin. A fact is kept by its subject (member, run, cell and span), not by its slot, which the publisher reuses.
    ///
    /// # Errors
    ///
    /// An [`AbsorbError`] if the fact was refused, in which case the state does not change.
    pub fn absorb(
        &mut self,
        now: Micros,
        origin: Origin,
        number: u64,
        bytes: &[u8],
    ) -> Result<(), AbsorbError> {
        self.advance(now);
        let result = self.absorb_fact(origin, number, bytes);
        match result {
            Ok(Absorbed::New) => self.metrics.absorbed += 1,
            Ok(Absorbed::Stale) => self.metrics.stale += 1,
            Err(_) => self.metrics.refused += 1,
        }
        result.map(|_| ())
    }

    fn absorb_fact(&mut self, origin: Origin, number: u64, bytes: &[u8]) -> Result<Absorbed, AbsorbError> {
        let summary = ReceivedSummary::decode(origin.place, bytes)?;
        let key = summary.key;
        if key.span > self.span().saturating_add(MAX_SPANS_AHEAD) {
            return Err(AbsorbError::Future(key.span));
        }
        let is_own = key.place == self.config.place && key.run == self.config.epoch;
        if is_own || key.span < self.spans.oldest_at(self.now) {
            return Ok(Absorbed::Stale);
        }
        let Some(more_jobs) = self.received.insert(Version::new(origin, number), summary) else {
            return Ok(Absorbed::Stale);
        };
        if key.cell.level == Level::Class {
            self.new_jobs += more_jobs.max(0.0);
        }
        self.new_jobs = self.new_jobs.max(f64::MIN_POSITIVE);
        Ok(Absorbed::New)
    }

    /// Counters since the start, and current sizes.
    pub fn metrics(&self) -> Metrics {
        let heap = self.own.heap_bytes()
            + self.received.heap_bytes()
            + self.running.heap_bytes()
            + self.model.heap_bytes();
        Metrics {
            dropped: self.metrics.dropped + self.own.dropped() + self.received.dropped(),
            cells: self.model.cell_count(),
            summaries: self.own.len() + self.received.len(),
            running: self.running.len(),
            slowdown: self.slowdown.log().exp(),
            bytes: size_of::<Self>() + heap,
            ..self.metrics
        }
    }

    /// A hash of the received summaries and of the model fitted at `now`, to compare two states bit by bit in tests.
    #[doc(hidden)]
    pub fn digest(&mut self, now: Micros) -> u64 {
        self.now = self.now.max(now);
        self.fit();
        let mut hasher = SipHasher13::new();
        self.received.hash_into(&mut hasher);
        self.model.hash_into(&mut hasher);
        hasher.finish()
    }
}
