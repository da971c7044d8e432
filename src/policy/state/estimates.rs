//! The estimates learned from reports and run times, and the capacity of workers that follows from them.

use super::class_stats::{self, ClassStats};
use super::{Mean, Worker};
use crate::policy::interface::{Class, EndpointEntry, KindId, LoadReporting, Micros, Settings};
use std::collections::BTreeMap;

/// The weight of the prior, in observations, when a mean is blended with it. The prior for a worker is the mean of its kind, and
/// the prior for a kind is the mean of all workers.
const PRIOR_COUNT: f64 = 3.0;
/// The first estimate of the time until an attempt is known to run, in batch intervals.
const INITIAL_START_DELAY_INTERVALS: f64 = 4.0;
/// The number of slots of a worker of a kind for which no report has shown more.
const DEFAULT_SLOTS: f64 = 1.0;

/// The work that only workers of one kind can run, relative to that kind's fair part of all work.
pub(crate) struct BoundFraction {
    pub kind: KindId,
    /// The work as a fraction of the kind's fair part of all work; above 1 if the kind has more to do than its fair part.
    pub fraction: f64,
}

/// The running estimates of an instance.
#[derive(Debug, Default)]
pub(crate) struct Estimates {
    /// Whether load reports contain the number of waiting jobs.
    pub(super) reports_queue_length: bool,
    /// The response time per unit of expected work, as the mean of all workers.
    pub(super) slowness: Mean,
    /// The response time per unit of expected work, as the mean of each kind.
    pub(super) slowness_by_kind: BTreeMap<KindId, Mean>,
    /// The greatest number of free slots that a worker of the kind has reported.
    pub(super) slots_by_kind: BTreeMap<KindId, f64>,
    /// Whether reports come only with probe responses, so that a report is as recent as its response.
    is_probed_only: bool,
    pub(super) classes: Vec<ClassStats>,
    /// The time between reports of one worker, in microseconds.
    pub(super) report_interval: f64,
    /// The time from sending an attempt until it is known to run, in microseconds.
    pub(super) start_delay: f64,
    /// The time from sending a probe until its response, in microseconds.
    pub(super) probe_delay: Mean,
}

impl Estimates {
    /// Creates estimates without observations. `report_interval` is the first estimate of the time between reports, in
    /// microseconds.
    pub fn new(settings: &Settings, report_interval: f64) -> Estimates {
        let start_delay = INITIAL_START_DELAY_INTERVALS * settings.batch_interval as f64;
        let mut estimates = Estimates { report_interval, start_delay, ..Estimates::default() };
        estimates.reconfigure(settings);
        estimates
    }

    /// Adapts to new settings: how reports arrive, and the number of classes.
    pub fn reconfigure(&mut self, settings: &Settings) {
        self.is_probed_only = settings.load_reporting == LoadReporting::ProbesOnly;
        self.classes.resize(settings.classes.len(), ClassStats::default());
    }

    /// Records that a job of a class has arrived, perhaps with a hint at its work. Returns the job's expected work in
    /// microseconds, at least 1, or `None` if the class is unknown. Without a hint, the expected work is the class's mean run
    /// time, or the class's latency objective if no job has ended yet.
    pub fn record_arrival(
        &mut self,
        class: usize,
        class_settings: &Class,
        hint: Option<Micros>,
    ) -> Option<f64> {
        let stats = self.classes.get_mut(class)?;
        let guess = stats.run_time.value_or(class_settings.latency_objective as f64);
        let work = hint.map_or(guess, |hint| hint as f64).max(1.0);
        let max_run_time = if hint.is_some() { 0.0 } else { class_settings.deadline as f64 };
        stats.record_arrival(work, max_run_time);
        Some(work)
    }

    /// Learns from the run time of a job of this class, in microseconds.
    ///
    /// # Panics
    ///
    /// Panics if the class is unknown.
    pub fn learn_run_time(&mut self, class: usize, run_time: f64) {
        self.classes[class].run_time.add(run_time);
    }

    /// Learns the response time per unit of work at a worker. `kind` is `None` if the worker is not listed.
    pub fn learn_slowness(&mut self, kind: Option<KindId>, slowness: f64) {
        self.slowness.add(slowness);
        if let Some(kind) = kind {
            self.slowness_by_kind.entry(kind).or_default().add(slowness);
        }
    }

    /// Learns from the time between two reports of a worker. A shorter time moves the estimate by a tenth of the difference, a
    /// longer one by a hundredth.
    pub fn learn_report_interval(&mut self, interval: Micros) {
        let step = interval as f64 - self.report_interval;
        self.report_interval += step * if step < 0.0 { 0.1 } else { 0.01 };
    }

    /// Learns how many slots workers of a kind have. If reports come only with probe responses, the first report that shows a
    /// free slot implies that the work known to be at the worker occupies the other slots. This is not applied to later reports:
    /// attempts that have not reached the worker would sometimes be counted, and the maximum is kept.
    pub fn learn_slots(&mut self, kind: KindId, free_slots: Option<f64>, known_load: impl FnOnce() -> f64) {
        let is_first = !self.has_known_slots(kind);
        let occupied = if is_first && self.is_probed_only { known_load() } else { 0.0 };
        if free_slots.is_none_or(|free| free >= 1.0 || !is_first) {
            let max_slots = self.slots_by_kind.entry(kind).or_insert(DEFAULT_SLOTS);
            *max_slots = max_slots.max(free_slots.map_or(DEFAULT_SLOTS, |free| free + occupied));
        }
    }

    /// Learns the time until an attempt is known to run, as a running quartile: one step down is as large as three steps up. The
    /// estimate stays at or above `min_delay`. Both parameters are in microseconds.
    pub fn learn_start_delay(&mut self, waited: f64, min_delay: f64) {
        self.start_delay *= if waited < self.start_delay { 0.85 } else { 1.05 };
        self.start_delay = self.start_delay.max(min_delay);
    }

    /// Whether load reports contain the number of waiting jobs.
    pub fn is_queue_reported(&self) -> bool {
        self.reports_queue_length
    }

    /// The estimated time between reports of one worker, in microseconds.
    pub fn report_interval(&self) -> f64 {
        self.report_interval
    }

    /// The estimated time from sending an attempt until it is known to run, in microseconds.
    pub fn start_delay(&self) -> f64 {
        self.start_delay
    }

    /// The mean time until a probe response; 0 before the first one.
    pub fn probe_delay(&self) -> Micros {
        self.probe_delay.value as Micros
    }

    /// The response time per unit of expected work, as the mean of all workers; 0 if no attempt has been served yet.
    pub fn slowness(&self) -> f64 {
        self.slowness.value
    }

    /// Whether a report has shown how many slots workers of the kind have, or that their reports do not contain this.
    pub fn has_known_slots(&self, kind: KindId) -> bool {
        self.slots_by_kind.contains_key(&kind)
    }

    /// The estimated number of slots of a worker of the kind: the greatest number of free slots that one has reported.
    pub fn slots(&self, kind: KindId) -> f64 {
        self.slots_by_kind.get(&kind).copied().unwrap_or(DEFAULT_SLOTS)
    }

    /// The mean expected work of a job, in microseconds; at least 1.
    pub fn mean_work(&self) -> f64 {
        class_stats::mean_work(&self.classes)
    }

    /// The mean work of an attempt, in microseconds, for comparison with the budget of a worker that is warming up.
    pub fn mean_attempt_work(&self) -> f64 {
        class_stats::mean_attempt_work(&self.classes)
    }

    /// The response time per unit of expected work at a worker, blended with that of its kind. A worker without observations gets
    /// the value of its kind.
    pub fn worker_slowness(&self, worker: &Worker, listed: &EndpointEntry) -> f64 {
        worker.slowness.blend(self.kind_slowness(listed.kind), PRIOR_COUNT)
    }

    /// The response time per unit of expected work at workers of a kind, blended with the mean of all workers.
    fn kind_slowness(&self, kind: KindId) -> f64 {
        let all = self.slowness.value_or(1.0);
        self.slowness_by_kind.get(&kind).map_or(all, |mean| mean.blend(all, PRIOR_COUNT))
    }

    /// The capacity of the workers of a kind, or of all workers if `kind` is `None`: the sum of weight divided by slowness.
    fn capacity(&self, weight_by_kind: &BTreeMap<KindId, f64>, kind: Option<KindId>) -> f64 {
        let of_kind = weight_by_kind.iter().filter(|(other, _)| kind.is_none_or(|kind| kind == **other));
        of_kind.map(|(kind, weight)| weight / self.kind_slowness(*kind)).sum()
    }

    /// The work that only this kind can run, as a fraction of the kind's fair part of all work; 0 if no work has arrived. The
    /// fair part is proportional to the kind's part of the total capacity.
    pub fn bound_fraction(
        &self,
        classes: &[Class],
        weight_by_kind: &BTreeMap<KindId, f64>,
        kind: KindId,
    ) -> BoundFraction {
        let stats = classes.iter().zip(&self.classes);
        let bound_work: f64 =
            stats.filter(|(class, _)| class.kind == Some(kind)).map(|(_, stats)| stats.work_sum).sum();
        let all_work: f64 = self.classes.iter().map(|stats| stats.work_sum).sum();
        let fair_work =
            all_work * self.capacity(weight_by_kind, Some(kind)) / self.capacity(weight_by_kind, None);
        BoundFraction { kind, fraction: if fair_work > 0.0 { bound_work / fair_work } else { 0.0 } }
    }

    /// Copies the statistics of the class `source` to the class `class`, except for [`ClassStats::max_run_time`].
    ///
    /// # Panics
    ///
    /// Panics if one of them is unknown.
    pub fn copy_class(&mut self, class: usize, source: usize) {
        let ClassStats { run_time, work_sum, job_count, .. } = self.classes[source];
        self.classes[class] = ClassStats { run_time, work_sum, job_count, ..self.classes[class] };
    }
}
