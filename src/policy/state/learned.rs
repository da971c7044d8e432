//! What an instance has learned, in the form in which one process of a dispatcher passes it to the next.
//!
//! The serialized names are those of the first version and must stay.

use super::class_stats::ClassStats;
use super::outlier_record::convert_unless_never;
use super::worker::SentWork;
use super::{LoadSample, Mean, OutlierRecord, PolicyState, Worker};
use crate::policy::interface::{ClassId, KindId, Micros, WorkerId};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// What an instance has learned of a worker.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
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
    /// Warm-up data of earlier versions, which must find it here.
    cold: (u64, f64),
    #[serde(rename = "sent", default)]
    recent_work: VecDeque<SentWork>,
}

/// What an instance has learned, for another one that continues in its place. Ids and times are those of the first.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Learned {
    workers: Vec<LearnedWorker>,
    #[serde(rename = "kind_slow")]
    slowness_by_kind: Vec<(u16, Mean)>,
    #[serde(rename = "kind_slots")]
    slots_by_kind: Vec<(u16, f64)>,
    /// Of each class the mean run time, and the work that has arrived in how many jobs.
    classes: Vec<(Mean, (f64, f64))>,
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

/// The ids of the continuing instance by those that [`Learned`] uses; `None` where it has none.
#[derive(Clone, Debug, Default)]
pub struct IdMap {
    /// Workers.
    pub workers: Vec<Option<WorkerId>>,
    /// Kinds.
    pub kinds: Vec<Option<KindId>>,
    /// Classes.
    pub classes: Vec<Option<ClassId>>,
}

impl LearnedWorker {
    /// What is known of a worker.
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

    /// Gives a worker what was learned of it, with times shifted to this instance's clock.
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

impl PolicyState {
    /// What it has learned so far.
    pub fn learned(&self) -> Learned {
        let class = |stats: &ClassStats| (stats.run_time, (stats.work_sum, stats.job_count));
        Learned {
            workers: self.workers.iter().map(LearnedWorker::new).collect(),
            slowness_by_kind: self
                .estimates
                .slowness_by_kind
                .iter()
                .map(|(kind, mean)| (kind.0, *mean))
                .collect(),
            slots_by_kind: self.estimates.slots_by_kind.iter().map(|(kind, most)| (kind.0, *most)).collect(),
            classes: self.estimates.classes.iter().map(class).collect(),
            slowness: self.estimates.slowness,
            report_interval: self.estimates.report_interval,
            start_delay: self.estimates.start_delay,
            probe_delay: self.estimates.probe_delay,
            reports_queue_length: self.estimates.reports_queue_length,
        }
    }

    /// Starts from what another instance had learned, whose clock is behind by `shift`.
    pub fn restore(&mut self, learned: Learned, ids: &IdMap, shift: i64) {
        for (worker, id) in learned.workers.into_iter().zip(&ids.workers) {
            if let Some(id) = id {
                worker.restore(self.workers.touch(*id), shift);
            }
        }
        let kind = |n: u16| ids.kinds.get(usize::from(n)).copied().flatten();
        let slowness_by_kind = learned.slowness_by_kind.into_iter();
        self.estimates
            .slowness_by_kind
            .extend(slowness_by_kind.filter_map(|(n, mean)| Some((kind(n)?, mean))));
        let slots_by_kind = learned.slots_by_kind.into_iter();
        self.estimates.slots_by_kind.extend(slots_by_kind.filter_map(|(n, most)| Some((kind(n)?, most))));
        for ((run_time, (work_sum, job_count)), id) in learned.classes.into_iter().zip(&ids.classes) {
            if let Some(stats) = id.and_then(|id| self.estimates.classes.get_mut(usize::from(id.0))) {
                *stats = ClassStats { run_time, work_sum, job_count, ..*stats };
            }
        }
        self.estimates.slowness = learned.slowness;
        self.estimates.probe_delay = learned.probe_delay;
        self.estimates.reports_queue_length = learned.reports_queue_length;
        let valid_or = |value: f64, own: f64| if value.is_finite() && value > 0.0 { value } else { own };
        self.estimates.report_interval = valid_or(learned.report_interval, self.estimates.report_interval);
        self.estimates.start_delay = valid_or(learned.start_delay, self.estimates.start_delay);
    }
}
