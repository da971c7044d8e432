//! What one dispatcher observed of one cell in one span of time: the unit that is published. It holds sufficient statistics
//! (counts, sums of logarithms, a histogram of residuals), only grows, and a later version replaces an earlier one as a
//! whole, so that nothing is counted twice.

use crate::{Outcome, WorkerKind};
use serde::{Deserialize, Serialize};

/// Steps per unit of the natural logarithm in which sums are kept: integers, so that sums do not depend on their order.
pub(crate) const FIXED_POINT: f64 = 256.0;
/// Most kinds with a total of their own in a summary; jobs of further kinds count under [`WorkerKind::OTHER`], without the
/// slowness that their kind was known to have then.
pub(crate) const MAX_KINDS: usize = 5;

fn fixed_point(log: f64) -> i64 {
    (log * FIXED_POINT).round() as i64
}

/// Jobs of one kind of worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct KindTotal {
    pub kind: WorkerKind,
    pub jobs: u32,
    /// Sum of the logarithmic run times at this kind, in fixed point.
    pub log_sum: i64,
}

/// The logarithms that a job adds to a summary.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LoggedJob {
    /// Its run time, in the mean that is expected if it was censored.
    pub runtime: f64,
    /// The same without the slowness of its kind.
    pub work: f64,
    /// What wider cells of the chain added to the class's expectation.
    pub expected: f64,
}

/// Jobs whose residual is in one bin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct BinTotal {
    pub bin: u8,
    pub ended: u32,
    pub censored: u32,
}

/// Totals of a cell over a span.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Summary {
    /// The hash of the class cell, shortened; 0 for a worker's.
    pub class: u32,
    /// Sorted by kind.
    pub kinds: Vec<KindTotal>,
    /// Sum of what wider cells of the chain added to the class's expectation, in fixed point.
    pub expected: i64,
    /// Sorted by bin.
    pub bins: Vec<BinTotal>,
}

impl Summary {
    /// Number of jobs.
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

    /// Memory beside the struct itself.
    pub fn heap_bytes(&self) -> usize {
        self.bins.capacity() * size_of::<BinTotal>() + self.kinds.capacity() * size_of::<KindTotal>()
    }
}
