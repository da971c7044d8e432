//! The state of one worker: its list entry, its load, its outstanding attempts and its failures.

use super::{Mean, OutlierRecord};
use crate::policy::gossip::OwnLoad;
use crate::policy::interface::{EndpointEntry, JobId, LoadReport, Micros, Status};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// A load report with the time of its arrival.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct LoadSample {
    /// When the report arrived.
    pub at: Micros,
    /// CPU utilisation, 0 to 1.
    pub cpu: f64,
    #[serde(rename = "free")]
    pub free_slots: Option<f64>,
    pub waiting: Option<f64>,
    pub memory: Option<f64>,
}

/// The CPU utilisation assumed for a worker that reports none.
const DEFAULT_CPU: f64 = 0.5;

impl LoadSample {
    /// Creates the sample of a report that arrived at `at`. Free slots are rounded to whole numbers, because fractions are noise:
    /// 0.96 free slots are one.
    pub fn new(at: Micros, report: &LoadReport) -> LoadSample {
        LoadSample {
            at,
            cpu: report.cpu.unwrap_or(DEFAULT_CPU),
            free_slots: report.free_slots.map(f64::round),
            waiting: report.waiting,
            memory: report.free_memory,
        }
    }
}

/// An attempt that this dispatcher has sent to a worker and that has not ended.
#[derive(Debug)]
pub(super) struct OutstandingAttempt {
    pub job: JobId,
    /// The attempt's index within its job.
    pub attempt: u32,
    pub sent_at: Micros,
    pub slots: f64,
    pub is_started: bool,
}

impl OutstandingAttempt {
    /// Whether this is the attempt `attempt` of the job `job`.
    pub fn is(&self, job: JobId, attempt: u32) -> bool {
        self.job == job && self.attempt == attempt
    }
}

/// An amount of work that was sent or offered to a worker.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(from = "(Micros, f64)", into = "(Micros, f64)")]
pub(super) struct SentWork {
    /// When the work was sent or offered.
    pub at: Micros,
    /// The expected work, in microseconds.
    pub work: f64,
}

impl From<(Micros, f64)> for SentWork {
    fn from((at, work): (Micros, f64)) -> Self {
        SentWork { at, work }
    }
}

impl From<SentWork> for (Micros, f64) {
    fn from(sent: SentWork) -> Self {
        (sent.at, sent.work)
    }
}

/// The start time in a worker's most recent list entry, which is kept while the worker is not listed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum ListedStart {
    /// The worker has never been listed.
    #[default]
    NeverListed,
    /// The entry has no start time, because the worker started long ago.
    LongAgo,
    /// The worker started at this time.
    At(Micros),
}

impl From<Option<Micros>> for ListedStart {
    fn from(started_at: Option<Micros>) -> Self {
        started_at.map_or(ListedStart::LongAgo, ListedStart::At)
    }
}

/// What this instance knows about a worker.
#[derive(Debug, Default)]
pub(crate) struct Worker {
    /// The worker's entry in the endpoint list; `None` if it is not listed.
    pub(super) listed: Option<EndpointEntry>,
    listed_start: ListedStart,
    /// The last load sample; `None` if there is none since the last failure or restart.
    pub(super) load: Option<LoadSample>,
    /// The CPU utilisation in the load sample when the worker was last assigned a job.
    pub(super) cpu_at_last_assignment: Option<f64>,
    outstanding: Vec<OutstandingAttempt>,
    /// The response time per unit of expected work.
    pub(super) slowness: Mean,
    pub(super) outlier: OutlierRecord,
    /// Whether a probe of the worker is outstanding.
    is_probing: bool,
    /// When the worker last showed a sign of life; 0 for never.
    pub(super) last_seen: Micros,
    /// The jobs that wait for the worker's probe response.
    waiting_jobs: Vec<JobId>,
    /// The work that was sent or offered to the worker within the collapse window, the oldest first, as it counts for the warm-up
    /// budget. It is also kept for warm workers, because a restart may be reported late.
    pub(super) recent_work: VecDeque<SentWork>,
}

/// The queries that decisions use.
impl Worker {
    /// The worker's list entry, if it is listed.
    pub fn listed(&self) -> Option<&EndpointEntry> {
        self.listed.as_ref()
    }

    /// The worker's list entry, if its status is [`Status::Ready`].
    pub fn ready_entry(&self) -> Option<EndpointEntry> {
        self.listed.filter(|entry| entry.status == Status::Ready)
    }

    /// Whether the worker is suspect: it has failed and has shown no sign of life since.
    pub fn is_suspect(&self) -> bool {
        self.outlier.has_failed_since(self.last_seen)
    }

    /// Whether the worker's count of failures is above 0 ([`OutlierRecord::has_failed`]).
    pub fn has_failed(&self) -> bool {
        self.outlier.has_failed()
    }

    /// Whether the worker has shown a sign of life after this time.
    pub fn was_seen_after(&self, at: Micros) -> bool {
        self.last_seen > at
    }

    /// Whether the worker has no outstanding attempt of this dispatcher.
    pub fn is_idle(&self) -> bool {
        self.outstanding.is_empty()
    }

    /// The slots that this dispatcher's attempts occupy or wait for at the worker.
    pub fn occupied_slots(&self) -> f64 {
        self.outstanding.iter().map(|attempt| attempt.slots).sum()
    }

    /// Whether the worker has an outstanding attempt of this dispatcher that has not started.
    pub fn has_unstarted(&self) -> bool {
        self.outstanding.iter().any(|attempt| !attempt.is_started)
    }

    /// Whether the worker has an outstanding attempt of this dispatcher that was sent more than `timeout` ago and has not started.
    pub fn has_unstarted_before(&self, now: Micros, timeout: Micros) -> bool {
        self.outstanding.iter().any(|attempt| !attempt.is_started && now > attempt.sent_at + timeout)
    }

    /// The slots of the outstanding attempts that were sent to the worker at or after `since`.
    pub fn slots_sent_since(&self, since: Micros) -> f64 {
        let recent = self.outstanding.iter().filter(|attempt| attempt.sent_at >= since);
        recent.map(|attempt| attempt.slots).sum()
    }

    /// The work that was sent or offered to the worker after `since`, in microseconds.
    pub fn work_sent_since(&self, since: Micros) -> f64 {
        self.recent_work.iter().filter(|sent| sent.at > since).map(|sent| sent.work).sum()
    }

    /// The last load sample, regardless of its age.
    pub fn last_load(&self) -> Option<&LoadSample> {
        self.load.as_ref()
    }

    /// Whether the worker has reported another CPU utilisation since it was last assigned a job; also `true` if it has no load
    /// sample.
    pub fn has_cpu_changed_since_assignment(&self) -> bool {
        self.load.as_ref().is_none_or(|load| self.cpu_at_last_assignment != Some(load.cpu))
    }
}

/// The data that this dispatcher advertises about a worker.
impl Worker {
    /// Whether the worker has an outstanding attempt or is suspect, even if it is not listed.
    pub(super) fn has_something_to_advertise(&self) -> bool {
        !self.is_idle() || self.is_suspect()
    }

    /// The worker's outstanding attempts and whether it is suspect; `None` if it is not listed.
    pub(super) fn own_load(&self) -> Option<OwnLoad> {
        let listed = self.listed?;
        let outstanding = self.outstanding.iter().map(|attempt| attempt.slots).collect();
        Some(OwnLoad { worker: listed.worker, tag: listed.tag, outstanding, is_suspect: self.is_suspect() })
    }
}

/// The changes that only the state makes.
impl Worker {
    /// Applies a new list entry. A worker that has restarted loses its load sample and its failures.
    pub(super) fn update_entry(&mut self, entry: &EndpointEntry) {
        let is_listed = entry.status != Status::Gone;
        if is_listed {
            let start = ListedStart::from(entry.started_at);
            let previous = std::mem::replace(&mut self.listed_start, start);
            if previous != ListedStart::NeverListed && previous != start {
                self.load = None;
                self.outlier = OutlierRecord::default();
            }
        }
        // Work sent before the start did not reach the worker's current process. Work sent after the start counts, even if the
        // start is reported late.
        self.recent_work.retain(|sent| entry.started_at.is_none_or(|start| sent.at > start));
        self.listed = is_listed.then_some(*entry);
    }

    /// Records work that is sent or offered to the worker, and drops records older than `window`.
    pub(super) fn record_work(&mut self, work: SentWork, window: Micros) {
        while self.recent_work.front().is_some_and(|oldest| oldest.at + window <= work.at) {
            self.recent_work.pop_front();
        }
        self.recent_work.push_back(work);
    }

    /// Records an attempt that is sent to the worker now, and the CPU utilisation that the worker last reported.
    pub(super) fn assign(&mut self, attempt: OutstandingAttempt) {
        self.cpu_at_last_assignment = self.load.as_ref().map(|load| load.cpu);
        self.outstanding.push(attempt);
    }

    /// Records an attempt that another process of this dispatcher sent to the worker.
    pub(super) fn adopt(&mut self, attempt: OutstandingAttempt) {
        self.outstanding.push(attempt);
    }

    /// Records that the worker has started an attempt, which is also a sign of life.
    pub(super) fn start(&mut self, job: JobId, attempt: u32, now: Micros) {
        self.last_seen = now;
        for outstanding in self.outstanding.iter_mut().filter(|outstanding| outstanding.is(job, attempt)) {
            outstanding.is_started = true;
        }
    }

    /// Removes an attempt that has ended.
    pub(super) fn release(&mut self, job: JobId, attempt: u32) {
        self.outstanding.retain(|outstanding| !outstanding.is(job, attempt));
    }

    /// Lets a job wait for the worker's probe response. Returns whether a probe must be sent because none is outstanding.
    pub(super) fn await_probe(&mut self, job: JobId) -> bool {
        self.waiting_jobs.push(job);
        !std::mem::replace(&mut self.is_probing, true)
    }

    /// Records that the worker's probe has ended, and returns the jobs that waited for it.
    pub(super) fn end_probe(&mut self) -> Vec<JobId> {
        self.is_probing = false;
        std::mem::take(&mut self.waiting_jobs)
    }
}
