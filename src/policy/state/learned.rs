//! The data that an instance has learned, in the serialized form in which one process of a dispatcher passes it to its
//! successor.
//!
//! The serialized names are those of the first version and must not change.

use super::class_stats::ClassStats;
use super::outlier_record::convert_unless_never;
use super::worker::SentWork;
use super::{Estimates, LoadSample, Mean, OutlierRecord, PolicyState, Worker};
use crate::policy::interface::{ClassId, KindId, Micros, WorkerId};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// The data that an instance has learned about a worker.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub(crate) struct LearnedWorker {
    #[serde(rename = "entry")]
    load: Option<LoadSample>,
    #[serde(rename = "granted_cpu")]
    cpu_at_last_assignment: Option<f64>,
    #[serde(rename = "slow")]
    slowness: Mean,
    #[serde(rename = "trust")]
    outlier: OutlierRecord,
    #[serde(rename = "heard")]
    last_seen: Micros,
    /// The warm-up data of earlier versions, which is no longer used. Earlier versions require the field.
    cold: (u64, f64),
    #[serde(rename = "sent", default)]
    recent_work: VecDeque<SentWork>,
}

/// The data that an instance has learned about a class.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(from = "LearnedClassForm", into = "LearnedClassForm")]
struct LearnedClass {
    run_time: Mean,
    /// The sum of the expected work of all jobs that have arrived, in microseconds.
    work_sum: f64,
    /// The number of jobs that have arrived.
    job_count: f64,
}

/// The serialized form of a class: the mean run time, then the sum of the work that has arrived and the number of jobs.
type LearnedClassForm = (Mean, (f64, f64));

impl From<LearnedClassForm> for LearnedClass {
    fn from((run_time, (work_sum, job_count)): LearnedClassForm) -> Self {
        LearnedClass { run_time, work_sum, job_count }
    }
}

impl From<LearnedClass> for LearnedClassForm {
    fn from(class: LearnedClass) -> Self {
        (class.run_time, (class.work_sum, class.job_count))
    }
}

/// The data that an instance has learned, for the instance that replaces it. Ids and times are those of the replaced instance.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Learned {
    workers: Vec<LearnedWorker>,
    #[serde(rename = "kind_slow")]
    slowness_by_kind: Vec<(u16, Mean)>,
    #[serde(rename = "kind_slots")]
    slots_by_kind: Vec<(u16, f64)>,
    classes: Vec<LearnedClass>,
    #[serde(rename = "slow")]
    slowness: Mean,
    report_interval: f64,
    #[serde(rename = "sign_after")]
    start_delay: f64,
    #[serde(rename = "echo_after")]
    probe_delay: Mean,
    #[serde(rename = "tells_queue")]
    reports_queue_length: bool,
}

/// What an instance has learned, with the ids of the workers in it.
#[derive(Clone, Debug, Default)]
pub struct LearnedByWorker {
    /// The learned data.
    pub learned: Learned,
    /// The ids of the workers, in the order of the learned data.
    pub workers: Vec<WorkerId>,
}

/// Maps the ids in [`Learned`], as indices, to those of the replacing instance; `None` if that instance has no such id.
#[derive(Clone, Debug, Default)]
pub struct IdMap {
    /// The new id of each worker.
    pub workers: Vec<Option<WorkerId>>,
    /// The new id of each kind.
    pub kinds: Vec<Option<KindId>>,
    /// The new id of each class.
    pub classes: Vec<Option<ClassId>>,
}

impl LearnedWorker {
    /// Copies the learned data of a worker.
    fn new(worker: &Worker) -> LearnedWorker {
        LearnedWorker {
            load: worker.load.clone(),
            cpu_at_last_assignment: worker.cpu_at_last_assignment,
            slowness: worker.slowness,
            outlier: worker.outlier,
            last_seen: worker.last_seen,
            cold: (0, 0.0),
            recent_work: worker.recent_work.clone(),
        }
    }

    /// Restores the learned data of a worker. `shift`, in microseconds, is added to the times to convert them to this instance's
    /// clock.
    fn restore(self, worker: &mut Worker, shift: i64) {
        let shifted = |at: Micros| at.saturating_add_signed(shift);
        worker.load = self.load.map(|load| LoadSample { at: shifted(load.at), ..load });
        worker.outlier = self.outlier.with_times(shifted);
        worker.last_seen = convert_unless_never(self.last_seen, shifted);
        worker.cpu_at_last_assignment = self.cpu_at_last_assignment;
        worker.slowness = self.slowness;
        worker.recent_work =
            self.recent_work.into_iter().map(|sent| SentWork { at: shifted(sent.at), ..sent }).collect();
    }
}

impl LearnedClass {
    /// Copies the learned data of a class.
    fn new(stats: &ClassStats) -> LearnedClass {
        LearnedClass { run_time: stats.run_time, work_sum: stats.work_sum, job_count: stats.job_count }
    }

    /// The statistics `stats` with the learned values in place of the current ones.
    fn restored(self, stats: &ClassStats) -> ClassStats {
        let LearnedClass { run_time, work_sum, job_count } = self;
        ClassStats { run_time, work_sum, job_count, ..*stats }
    }
}

impl PolicyState {
    /// The data that this instance has learned so far. Workers of which it has learned nothing are left out.
    pub fn learned(&self) -> LearnedByWorker {
        let estimates = &self.estimates;
        let all = (0..).map(WorkerId).zip(self.workers.iter().map(LearnedWorker::new));
        let (ids, workers) = all.filter(|(_, worker)| *worker != LearnedWorker::default()).unzip();
        let learned = Learned {
            workers,
            slowness_by_kind: estimates.slowness_by_kind.iter().map(|(kind, mean)| (kind.0, *mean)).collect(),
            slots_by_kind: estimates.slots_by_kind.iter().map(|(kind, slots)| (kind.0, *slots)).collect(),
            classes: estimates.classes.iter().map(LearnedClass::new).collect(),
            slowness: estimates.slowness,
            report_interval: estimates.report_interval,
            start_delay: estimates.start_delay,
            probe_delay: estimates.probe_delay,
            reports_queue_length: estimates.reports_queue_length,
        };
        LearnedByWorker { learned, workers: ids }
    }

    /// Takes over what another instance had learned. The clock of that instance is `shift` microseconds behind this one's.
    pub fn restore(&mut self, mut learned: Learned, ids: &IdMap, shift: i64) {
        let workers = std::mem::take(&mut learned.workers);
        for (worker, id) in workers.into_iter().zip(&ids.workers) {
            if let Some(id) = id {
                worker.restore(self.workers.touch(*id), shift);
            }
        }
        self.estimates.restore(learned, ids);
    }
}

impl Estimates {
    /// Takes over the estimates of another instance. Kinds and classes without an id here are left out. A report interval or
    /// start delay that is not finite and above 0 is ignored.
    fn restore(&mut self, learned: Learned, ids: &IdMap) {
        let kind = |number: u16| ids.kinds.get(usize::from(number)).copied().flatten();
        for (number, slowness) in learned.slowness_by_kind {
            if let Some(kind) = kind(number) {
                self.slowness_by_kind.insert(kind, slowness);
            }
        }
        for (number, slots) in learned.slots_by_kind {
            if let Some(kind) = kind(number) {
                self.slots_by_kind.insert(kind, slots);
            }
        }
        for (class, id) in learned.classes.into_iter().zip(&ids.classes) {
            if let Some(stats) = id.and_then(|id| self.classes.get_mut(usize::from(id.0))) {
                *stats = class.restored(stats);
            }
        }
        self.slowness = learned.slowness;
        self.probe_delay = learned.probe_delay;
        self.reports_queue_length = learned.reports_queue_length;
        let valid_or = |value: f64, own: f64| if value.is_finite() && value > 0.0 { value } else { own };
        self.report_interval = valid_or(learned.report_interval, self.report_interval);
        self.start_delay = valid_or(learned.start_delay, self.start_delay);
    }
}
