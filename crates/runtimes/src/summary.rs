//! A summary: the observations of one cell by one dispatcher in one span of time, which are published together.
//!
//! A summary holds sufficient statistics: counts, sums of logarithms, and a histogram of residuals. Its counts only grow, and
//! a later version replaces an earlier one as a whole, so that nothing is counted twice.

use crate::{Outcome, WorkerKind};
use serde::{Deserialize, Serialize};

/// The number of fixed-point steps per unit of the natural logarithm. Sums are integers, so they do not depend on the order
/// of the additions.
pub(crate) const FIXED_POINT: f64 = 256.0;
/// The maximum number of kinds with their own total in a summary. Jobs of further kinds count under [`WorkerKind::OTHER`],
/// with the slowness of their kind, as known at the time, removed.
pub(crate) const MAX_KINDS: usize = 5;

fn fixed_point(log: f64) -> i64 {
    (log * FIXED_POINT).round() as i64
}

/// The total of the jobs at one kind of worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct KindTotal {
    pub kind: WorkerKind,
    pub jobs: u32,
    /// The sum of the logarithmic run times at this kind, in fixed point.
    pub log_sum: i64,
}

/// The logarithms that a job adds to a summary.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LoggedJob {
    /// The run time; if it was censored, the expected run time.
    pub runtime: f64,
    /// The run time without the slowness of the worker's kind.
    pub work: f64,
    /// The sum of the effects of the cells between this one and the class.
    pub expected: f64,
}

/// The numbers of jobs whose residuals are in one bin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct BinTotal {
    pub bin: u8,
    pub ended: u32,
    pub censored: u32,
}

/// The totals of a cell over a span.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Summary {
    /// The shortened hash of the class cell; 0 if the summary is of a worker.
    pub class: u32,
    /// The totals by kind of worker, sorted by kind.
    pub kinds: Vec<KindTotal>,
    /// The sum of [`LoggedJob::expected`] over all jobs, in fixed point.
    pub expected: i64,
    /// The numbers of jobs by bin, sorted by bin.
    pub bins: Vec<BinTotal>,
}

impl Summary {
    /// The number of jobs.
    pub fn jobs(&self) -> u32 {
        self.kinds.iter().fold(0, |sum, kind| sum.saturating_add(kind.jobs))
    }

    /// Adds a job that ran at a kind.
    pub fn add(&mut self, kind: WorkerKind, job: LoggedJob) {
        let (index, log) = match self.find_or_insert_kind(kind) {
            Some(index) => (index, job.runtime),
            None => (self.find_or_insert_other(), job.work),
        };
        let total = &mut self.kinds[index];
        total.jobs = total.jobs.saturating_add(1);
        total.log_sum = total.log_sum.saturating_add(fixed_point(log));
        self.expected = self.expected.saturating_add(fixed_point(job.expected));
    }

    /// The index of a kind's total, if it has one or there is room for it.
    fn find_or_insert_kind(&mut self, kind: WorkerKind) -> Option<usize> {
        match self.kinds.binary_search_by_key(&kind, |total| total.kind) {
            Ok(index) => Some(index),
            Err(index) if self.kinds.len() < MAX_KINDS => {
                self.kinds.insert(index, KindTotal { kind, jobs: 0, log_sum: 0 });
                Some(index)
            }
            Err(_) => None,
        }
    }

    fn find_or_insert_other(&mut self) -> usize {
        let other = WorkerKind::OTHER;
        self.kinds.binary_search_by_key(&other, |total| total.kind).unwrap_or_else(|index| {
            self.kinds.insert(index, KindTotal { kind: other, jobs: 0, log_sum: 0 });
            index
        })
    }

    /// Counts a job in the bin of its residual.
    pub fn count(&mut self, bin: u8, outcome: Outcome) {
        let index = self.bins.binary_search_by_key(&bin, |total| total.bin).unwrap_or_else(|index| {
            self.bins.insert(index, BinTotal { bin, ended: 0, censored: 0 });
            index
        });
        let total = &mut self.bins[index];
        let counter = match outcome {
            Outcome::Done => &mut total.ended,
            Outcome::Censored => &mut total.censored,
        };
        *counter = counter.saturating_add(1);
    }

    /// The memory in addition to the struct itself, in bytes.
    pub fn heap_bytes(&self) -> usize {
        self.bins.capacity() * size_of::<BinTotal>() + self.kinds.capacity() * size_of::<KindTotal>()
    }
}
