//! The sum of a cell's summaries over all spans and members, weighted by age: the input of a fit.

use crate::WorkerKind;
use crate::distribution::BinCounts;
use crate::summary::{FIXED_POINT, KindTotal, Summary};

/// The weighted total of the jobs at one kind of worker.
#[derive(Clone, Copy, Debug)]
pub(crate) struct KindSum {
    pub kind: WorkerKind,
    pub jobs: f64,
    /// The weighted sum of the logarithmic run times at this kind.
    pub log_sum: f64,
}

/// The weighted totals of a cell.
#[derive(Clone, Debug, Default)]
pub(crate) struct CellSum {
    /// The shortened hash of the class cell; 0 if the cell is of a worker.
    pub class: u32,
    /// The weighted number of jobs.
    pub jobs: f64,
    /// The weighted sum of the effects of the cells between this one and the class.
    pub expected: f64,
    /// The totals by kind of worker, sorted by kind.
    pub kinds: Vec<KindSum>,
    /// The counts by bin of the residual; `None` if no residual was counted.
    pub counts: Option<Box<BinCounts>>,
}

impl CellSum {
    pub fn counts_mut(&mut self) -> &mut BinCounts {
        self.counts.get_or_insert_default()
    }

    /// Adds the totals of a summary with a weight.
    pub fn add_totals(&mut self, class: u32, kinds: &[KindTotal], expected: i64, weight: f64) {
        self.class = class;
        self.expected += expected as f64 / FIXED_POINT * weight;
        for total in kinds {
            let log_sum = total.log_sum as f64 / FIXED_POINT * weight;
            self.add_kind(total.kind, f64::from(total.jobs) * weight, log_sum);
        }
    }

    /// Adds jobs of a kind, by their weighted number and the weighted sum of their logarithmic run times.
    pub fn add_kind(&mut self, kind: WorkerKind, jobs: f64, log_sum: f64) {
        self.jobs += jobs;
        match self.kinds.binary_search_by_key(&kind, |sum| sum.kind) {
            Ok(index) => {
                self.kinds[index].jobs += jobs;
                self.kinds[index].log_sum += log_sum;
            }
            Err(index) => self.kinds.insert(index, KindSum { kind, jobs, log_sum }),
        }
    }

    /// Adds a summary with a weight.
    pub fn add(&mut self, summary: &Summary, weight: f64) {
        self.add_totals(summary.class, &summary.kinds, summary.expected, weight);
        for total in &summary.bins {
            let bin = usize::from(total.bin);
            let counts = self.counts_mut();
            counts.ended[bin] += total.ended as f32 * weight as f32;
            counts.censored[bin] += total.censored as f32 * weight as f32;
        }
    }

    /// The mean logarithmic work, given the slowness of the kinds.
    pub fn mean(&self, slowness: impl Fn(WorkerKind) -> f64) -> f64 {
        let log_work: f64 = self.kinds.iter().map(|sum| sum.log_sum - sum.jobs * slowness(sum.kind)).sum();
        log_work / self.jobs.max(1e-9)
    }
}
