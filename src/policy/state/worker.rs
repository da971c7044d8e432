//! What is known of one worker: its list entry, its load, its outstanding attempts and its failures.

use super::Mean;
use crate::policy::interface::{EndpointEntry, JobId, LoadReport, Micros, Status};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// A load report, stamped at its arrival.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct LoadSample {
    pub at: Micros,
    pub cpu: f64,
    #[serde(rename = "free")]
    pub free_slots: Option<f64>,
    pub waiting: Option<f64>,
    pub memory: Option<f64>,
}

/// The utilisation of a worker that reports none.
const DEFAULT_CPU: f64 = 0.5;

impl LoadSample {
    /// Noise aside, slots are whole: 0.96 free is one.
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

/// An attempt of this node that has not ended at its worker.
#[derive(Debug)]
pub(crate) struct OutstandingAttempt {
    pub job: JobId,
    pub attempt: u32,
    pub at: Micros,
    pub slots: f64,
    pub is_started: bool,
}

impl OutstandingAttempt {
    pub fn is(&self, job: JobId, attempt: u32) -> bool {
        self.job == job && self.attempt == attempt
    }
}

/// The failures of a worker or zone in a row, and until when it is ejected because of them.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub(crate) struct OutlierRecord {
    #[serde(rename = "strikes")]
    pub consecutive_failures: u32,
    #[serde(rename = "since", default)]
    pub last_failure: Micros,
    #[serde(rename = "until")]
    pub ejected_until: Micros,
}

impl OutlierRecord {
    /// One more failure: it is ejected for a window, twice as long for each failure before it, up to `max_failures`.
    pub fn record_failure(&mut self, now: Micros, window: Micros, max_failures: u32) {
        self.last_failure = now;
        self.ejected_until = now + (window << self.consecutive_failures);
        self.consecutive_failures = (self.consecutive_failures + 1).min(max_failures);
    }

    pub fn is_ejected(&self, now: Micros) -> bool {
        now < self.ejected_until
    }

    /// A success halves the count of failures and ends the ejection.
    pub fn record_success(&mut self) {
        self.consecutive_failures /= 2;
        self.ejected_until = 0;
    }
}

/// A worker's start time as its list entry last gave it; kept also while the worker is not listed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum ListedStart {
    #[default]
    NeverListed,
    LongAgo,
    At(Micros),
}

impl From<Option<Micros>> for ListedStart {
    fn from(started_at: Option<Micros>) -> Self {
        started_at.map_or(ListedStart::LongAgo, ListedStart::At)
    }
}

#[derive(Debug, Default)]
pub(crate) struct Worker {
    /// Its entry of the endpoint list; `None` when it is not on it.
    pub listed: Option<EndpointEntry>,
    pub listed_start: ListedStart,
    pub load: Option<LoadSample>,
    /// The utilisation reported when it was last assigned a job.
    pub cpu_at_last_assignment: Option<f64>,
    pub outstanding: Vec<OutstandingAttempt>,
    /// Response time for each unit of expected work.
    pub slowness: Mean,
    pub outlier: OutlierRecord,
    pub is_probing: bool,
    /// When it last showed that it is alive.
    pub last_seen: Micros,
    /// Jobs that wait for its probe response.
    pub waiting_jobs: Vec<JobId>,
    /// What it was sent or offered within the collapse window: when, and how much each counts for while it warms up. Kept
    /// for warm workers too, because a restart may be reported late.
    pub recent_work: VecDeque<(Micros, f64)>,
}

impl Worker {
    /// Its list entry, if it takes work.
    pub fn ready_entry(&self) -> Option<EndpointEntry> {
        self.listed.filter(|entry| entry.status == Status::Ready)
    }

    /// It has failed and has shown no sign of life since.
    pub fn is_suspect(&self) -> bool {
        self.outlier.consecutive_failures > 0 && self.last_seen <= self.outlier.last_failure
    }

    /// The slots that this node's attempts occupy or wait for there.
    pub fn occupied_slots(&self) -> f64 {
        self.outstanding.iter().map(|attempt| attempt.slots).sum()
    }

    /// It has an attempt of this node that it has not started.
    pub fn has_unstarted(&self) -> bool {
        self.outstanding.iter().any(|attempt| !attempt.is_started)
    }

    /// It has an attempt of this node that it has not started this long after it was sent.
    pub fn has_unstarted_before(&self, now: Micros, timeout: Micros) -> bool {
        self.outstanding.iter().any(|attempt| !attempt.is_started && now > attempt.at + timeout)
    }

    /// The slots of the outstanding attempts that it was sent since then.
    pub fn slots_sent_since(&self, since: Micros) -> f64 {
        let recent = self.outstanding.iter().filter(|attempt| attempt.at >= since);
        recent.map(|attempt| attempt.slots).sum()
    }

    /// The work that it was sent after `since`.
    pub fn work_sent_since(&self, since: Micros) -> f64 {
        self.recent_work.iter().filter(|(at, _)| *at > since).map(|(_, work)| work).sum()
    }

    /// Takes a new list entry over. A worker that has restarted loses its load sample and its failures.
    pub fn update_entry(&mut self, entry: &EndpointEntry, is_listed: bool) {
        if is_listed {
            let start = ListedStart::from(entry.started_at);
            let previous = std::mem::replace(&mut self.listed_start, start);
            if previous != ListedStart::NeverListed && previous != start {
                self.load = None;
                self.outlier = OutlierRecord::default();
            }
        }
        // What was sent before its start did not reach the process that is there now; what was sent after it counts, however
        // late the start is reported.
        self.recent_work.retain(|(at, _)| entry.started_at.is_none_or(|start| *at > start));
        self.listed = is_listed.then_some(*entry);
    }
}
