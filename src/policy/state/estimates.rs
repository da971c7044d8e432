//! What is learned from reports and run times, and what it says of the capacity of workers.

use super::class_stats::{self, ClassStats};
use super::{Mean, Worker};
use crate::policy::interface::{Class, EndpointEntry, KindId, Micros, Reports, Settings};
use std::collections::BTreeMap;

/// Observations of its like that a worker's or kind's own record is blended with.
const PRIOR_COUNT: f64 = 3.0;
/// The first guess at the time until an attempt is known to run, in ticks.
const INITIAL_START_DELAY_TICKS: f64 = 4.0;
/// The slots of a kind of worker of which no report has shown more.
const DEFAULT_SLOTS: f64 = 1.0;

/// The work that only one kind of worker can run.
pub(crate) struct BoundFraction {
    pub kind: KindId,
    /// As a fraction of the kind's fair part of all work.
    pub fraction: f64,
}

/// The running estimates of an instance.
#[derive(Debug, Default)]
pub(crate) struct Estimates {
    /// Load reports show how many jobs wait.
    pub(super) reports_queue_length: bool,
    /// Response time for each unit of expected work: of all workers, and by kind.
    pub(super) slowness: Mean,
    pub(super) slowness_by_kind: BTreeMap<KindId, Mean>,
    /// The most free slots that a worker of the kind has reported.
    pub(super) slots_by_kind: BTreeMap<KindId, f64>,
    /// Reports come with probes alone, so that they are as new as their probe response.
    is_probed_only: bool,
    pub(super) classes: Vec<ClassStats>,
    /// Time between reports of one worker, in microseconds.
    pub(super) report_interval: f64,
    /// Time until an attempt is known to run, in microseconds.
    pub(super) start_delay: f64,
    /// Time until a probe response, in microseconds.
    pub(super) probe_delay: Mean,
}

impl Estimates {
    /// No observation yet, but for a guess at the time between reports.
    pub fn new(settings: &Settings, report_interval: f64) -> Estimates {
        let start_delay = INITIAL_START_DELAY_TICKS * settings.tick as f64;
        let mut estimates = Estimates { report_interval, start_delay, ..Estimates::default() };
        estimates.reconfigure(settings);
        estimates
    }

    /// Makes room for these settings' classes.
    pub fn reconfigure(&mut self, settings: &Settings) {
        self.is_probed_only = settings.reports == Reports::ProbesOnly;
        self.classes.resize(settings.classes.len(), ClassStats::default());
    }

    /// A job of a class has arrived, perhaps with a hint at its work. Its expected work, 1 at least: without a hint the class's
    /// mean run time, or its latency objective where none has ended yet. `None` if the class is unknown.
    pub fn record_arrival(&mut self, class: usize, terms: &Class, hint: Option<Micros>) -> Option<f64> {
        let stats = self.classes.get_mut(class)?;
        let guess = stats.run_time.value_or(terms.latency_objective as f64);
        let work = hint.map_or(guess, |hint| hint as f64).max(1.0);
        let longest = if hint.is_some() { 0.0 } else { terms.deadline as f64 };
        stats.record_arrival(work, longest);
        Some(work)
    }

    /// Learns from the run time of a job of this class, in microseconds.
    pub fn learn_run_time(&mut self, class: usize, run_time: f64) {
        self.classes[class].run_time.add(run_time);
    }

    /// Learns the response time for each unit of work at a worker, of this kind if it is listed.
    pub fn learn_slowness(&mut self, kind: Option<KindId>, slowness: f64) {
        self.slowness.add(slowness);
        if let Some(kind) = kind {
            self.slowness_by_kind.entry(kind).or_default().add(slowness);
        }
    }

    /// Learns from the time between two reports of a worker: fast from a shorter one, slowly from a longer one.
    pub fn learn_report_interval(&mut self, interval: Micros) {
        let step = interval as f64 - self.report_interval;
        self.report_interval += step * if step < 0.0 { 0.1 } else { 0.01 };
    }

    /// Learns how many slots workers of a kind have. Where reports come with probes alone, the first that shows a free slot
    /// implies that the work known to be there takes the rest. Not later ones: work on its way would count now and then, and
    /// the maximum is kept.
    pub fn learn_slots(&mut self, kind: KindId, free_slots: Option<f64>, known_load: impl FnOnce() -> f64) {
        let is_first = !self.is_sized(kind);
        let occupied = if is_first && self.is_probed_only { known_load() } else { 0.0 };
        if free_slots.is_none_or(|free| free >= 1.0 || !is_first) {
            let most = self.slots_by_kind.entry(kind).or_insert(DEFAULT_SLOTS);
            *most = most.max(free_slots.map_or(DEFAULT_SLOTS, |free| free + occupied));
        }
    }

    /// Learns a running quartile of the wait for a start: three steps down for one up.
    pub fn learn_start_delay(&mut self, waited: f64, min_delay: f64) {
        self.start_delay *= if waited < self.start_delay { 0.85 } else { 1.05 };
        self.start_delay = self.start_delay.max(min_delay);
    }

    /// Whether load reports show how many jobs wait.
    pub fn is_queue_reported(&self) -> bool {
        self.reports_queue_length
    }

    /// Time between reports of one worker, in microseconds.
    pub fn report_interval(&self) -> f64 {
        self.report_interval
    }

    /// Time until an attempt is known to run, in microseconds.
    pub fn start_delay(&self) -> f64 {
        self.start_delay
    }

    /// Time until a probe response.
    pub fn probe_delay(&self) -> Micros {
        self.probe_delay.value as Micros
    }

    /// Response time for each unit of expected work, the mean of all workers; 0 where nothing has ended yet.
    pub fn slowness(&self) -> f64 {
        self.slowness.value
    }

    /// Whether a report has shown how much workers of the kind can run, or that none shows it.
    pub fn is_sized(&self, kind: KindId) -> bool {
        self.slots_by_kind.contains_key(&kind)
    }

    /// The most free slots that a worker of the kind has reported.
    pub fn slots(&self, kind: KindId) -> f64 {
        self.slots_by_kind.get(&kind).copied().unwrap_or(DEFAULT_SLOTS)
    }

    /// The expected work of a job, 1 at least.
    pub fn mean_work(&self) -> f64 {
        class_stats::mean_work(&self.classes)
    }

    /// The mean work of an attempt, for what a worker that warms up can bear.
    pub fn mean_attempt_work(&self) -> f64 {
        class_stats::mean_attempt_work(&self.classes)
    }

    /// Response time for each unit of expected work; an untried worker counts at the mean of its kind.
    pub fn worker_slowness(&self, worker: &Worker, listed: &EndpointEntry) -> f64 {
        worker.slowness.blend(self.kind_slowness(listed.kind), PRIOR_COUNT)
    }

    /// Response time for each unit of expected work of a kind, blended with that of all workers.
    fn kind_slowness(&self, kind: KindId) -> f64 {
        let all = self.slowness.value_or(1.0);
        self.slowness_by_kind.get(&kind).map_or(all, |mean| mean.blend(all, PRIOR_COUNT))
    }

    /// Size over slowness of the workers of a kind, or of all, whose sizes by kind are given.
    fn capacity(&self, weight_by_kind: &BTreeMap<KindId, f64>, kind: Option<KindId>) -> f64 {
        let of_kind = weight_by_kind.iter().filter(|(other, _)| kind.is_none_or(|kind| kind == **other));
        of_kind.map(|(kind, weight)| weight / self.kind_slowness(*kind)).sum()
    }

    /// How much of a kind the work takes that only it can run.
    pub fn bound_fraction(
        &self,
        classes: &[Class],
        weight_by_kind: &BTreeMap<KindId, f64>,
        kind: KindId,
    ) -> BoundFraction {
        let stats = classes.iter().zip(&self.classes);
        let bound: f64 = stats.filter(|(c, _)| c.kind == Some(kind)).map(|(_, stats)| stats.work_sum).sum();
        let all: f64 = self.classes.iter().map(|stats| stats.work_sum).sum();
        let fair = all * self.capacity(weight_by_kind, Some(kind)) / self.capacity(weight_by_kind, None);
        BoundFraction { kind, fraction: if fair > 0.0 { bound / fair } else { 0.0 } }
    }

    /// What was learned of one class holds for another one too.
    pub fn copy_class(&mut self, class: usize, source: usize) {
        let ClassStats { run_time, work_sum, job_count, .. } = self.classes[source];
        self.classes[class] = ClassStats { run_time, work_sum, job_count, ..self.classes[class] };
    }
}
