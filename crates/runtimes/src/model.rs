//! From sums to estimates: slowness of the kinds, the effect of each cell, and distributions, all shrunk toward what is wider.
//!
//! Cells are visited in their order, so that the same summaries give the same bits wherever the fit runs.

use crate::Config;
use crate::cell_sum::CellSum;
use crate::distribution::{BinCounts, RuntimeDistribution};
use crate::features::{CellChain, CellId, IdentityHasher, Level, MAX_CHAIN, worker_cell};
use crate::kind_slowness::KindSlowness;
use crate::summary::OTHER_KIND;
use std::collections::{BTreeMap, HashMap};
use std::hash::BuildHasherDefault;

/// Weight of the mean over classes against a class's own mean, in jobs.
const CLASS_PRIOR_JOBS: f64 = 0.5;
/// Weight of the wider distribution against a cell's own, in jobs: of all classes for a class, of its class for a finer cell.
const DISTRIBUTION_PRIOR_JOBS: f64 = 20.0;
/// A finer cell with fewer jobs than this has no distribution of its own.
const MIN_DISTRIBUTION_JOBS: f64 = 30.0;
/// The variance between cells before anything was seen.
const BETWEEN_VARIANCE: f64 = 0.05;
/// The weight of [`BETWEEN_VARIANCE`], in jobs.
const BETWEEN_WEIGHT: f64 = 60.0;
/// No cell counts for more jobs than this in the variance between cells, and in the mean over classes.
const MAX_CELL_WEIGHT: f64 = 30.0;
/// The levels below a class, in the order in which they are fitted.
const FINE_LEVELS: [Level; 5] =
    [Level::Tenant, Level::Subject, Level::Attribute(0), Level::Attribute(1), Level::All];

#[derive(Clone, Copy, Debug)]
struct Cell {
    /// What it adds to the expectation (a class: the whole of it), shrunk.
    effect: f64,
    jobs: f64,
    /// Index of its distribution, if it has one of its own.
    distribution: Option<u32>,
}

/// What is known after a fit.
#[derive(Debug)]
pub(crate) struct Model {
    slowness: KindSlowness,
    /// The mean over all classes.
    root: f64,
    cells: HashMap<CellId, Cell, BuildHasherDefault<IdentityHasher>>,
    /// The first one is that of all classes together.
    distributions: Vec<RuntimeDistribution>,
}

/// The expectation for jobs of a chain.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Expectation {
    /// Logarithm of the work at speed 1.
    pub work: f64,
    distribution: u32,
    /// What the cells above each cell of the chain added to the class's expectation.
    pub above: [f64; MAX_CHAIN],
    /// Jobs that the class's expectation rests on.
    pub class_jobs: f64,
}

/// A cell's offset from what wider cells expect.
#[derive(Clone, Copy, Debug)]
struct CellOffset {
    jobs: f64,
    offset: f64,
    /// Variance of the jobs within the cell.
    variance: f64,
}

/// The weight, in jobs, of the expectation against a cell's own offset: `variance within / variance between cells`, the
/// latter by moments from the cells themselves. Cells with few jobs follow their parents where cells differ little, and stand
/// for themselves where they differ much.
fn shrinkage_jobs(cells: &[CellOffset]) -> f64 {
    let mut weight = BETWEEN_WEIGHT;
    let mut between = BETWEEN_VARIANCE * BETWEEN_WEIGHT;
    let (mut within, mut seen) = (0.0, 0.0);
    for &CellOffset { jobs, offset, variance } in cells {
        within += variance * jobs;
        seen += jobs;
        if jobs > 1.5 {
            let counted = jobs.min(MAX_CELL_WEIGHT);
            weight += counted;
            between += counted * (offset * offset - variance / jobs);
        }
    }
    let within = if seen > 0.0 { within / seen } else { 1.0 };
    (within / (between / weight).max(1e-3)).clamp(0.2, 1e4)
}

/// A class with its mean work.
struct FittedClass<'a> {
    cell: CellId,
    sum: &'a CellSum,
    mean: f64,
}

impl Model {
    /// Before anything was seen.
    pub fn prior(config: &Config) -> Model {
        Model {
            slowness: KindSlowness::prior(config),
            root: (config.prior_runtime as f64).ln(),
            cells: HashMap::default(),
            distributions: vec![RuntimeDistribution::prior(config.prior_deviation)],
        }
    }

    /// Fitted to the sums of all cells.
    pub fn fit(sums: &BTreeMap<CellId, CellSum>, config: &Config) -> Model {
        let mut model = Model { slowness: KindSlowness::fit(sums, config), ..Model::prior(config) };
        model.fit_classes(sums);
        for level in FINE_LEVELS {
            model.fit_level(level, sums);
        }
        model.fit_workers(sums);
        model
    }

    fn fit_classes(&mut self, sums: &BTreeMap<CellId, CellSum>) {
        let classes: Vec<FittedClass> = (sums.iter())
            .filter(|(cell, _)| cell.level == Level::Class)
            .map(|(cell, sum)| FittedClass { cell: *cell, sum, mean: sum.mean(|kind| self.slowness(kind)) })
            .collect();
        self.fit_root(&classes);
        for FittedClass { cell, sum, mean } in classes {
            let own_weight = sum.jobs / (sum.jobs + CLASS_PRIOR_JOBS);
            let effect = self.root + own_weight * (mean - self.root);
            let distribution = sum.counts.as_deref().map(|counts| self.fit_distribution(counts, 0));
            self.insert(cell, effect, sum.jobs, distribution);
        }
    }

    /// The mean over all classes and their common distribution.
    fn fit_root(&mut self, classes: &[FittedClass<'_>]) {
        let (mut weight, mut root) = (1.0, self.root);
        let mut pooled = BinCounts::default();
        for FittedClass { sum, mean, .. } in classes {
            let counted = sum.jobs.min(MAX_CELL_WEIGHT);
            weight += counted;
            root += counted * mean;
            if let Some(counts) = sum.counts.as_deref() {
                pooled.add(counts);
            }
        }
        self.root = root / weight;
        self.distributions[0] = self.fit_distribution(&pooled, 0);
    }

    fn fit_distribution(&self, counts: &BinCounts, parent: u32) -> RuntimeDistribution {
        RuntimeDistribution::fitted(counts, &self.distributions[parent as usize], DISTRIBUTION_PRIOR_JOBS)
    }

    /// The cells of one level below the classes.
    fn fit_level(&mut self, level: Level, sums: &BTreeMap<CellId, CellSum>) {
        let class_of: HashMap<u32, CellId> = (sums.keys())
            .filter(|cell| cell.level == Level::Class)
            .map(|cell| (cell.hash as u32, *cell))
            .collect();
        let (mut cells, mut offsets) = (Vec::new(), Vec::new());
        for (cell, sum) in sums.iter().filter(|(cell, _)| cell.level == level) {
            // Nothing is learned yet from a cell whose class is unknown here.
            let Some(class) = class_of.get(&sum.class).and_then(|class| self.cells.get(class)) else {
                continue;
            };
            let mean = sum.mean(|kind| self.slowness(kind));
            let offset = mean - class.effect - sum.expected / sum.jobs.max(1e-9);
            let parent = class.distribution.unwrap_or(0);
            let variance = self.distributions[parent as usize].variance;
            cells.push((*cell, sum, parent));
            offsets.push(CellOffset { jobs: sum.jobs, offset, variance });
        }
        let shrinkage = shrinkage_jobs(&offsets);
        for ((cell, sum, parent), CellOffset { jobs, offset, .. }) in cells.into_iter().zip(offsets) {
            let effect = offset * jobs / (jobs + shrinkage);
            let counts = sum.counts.as_deref().filter(|_| jobs >= MIN_DISTRIBUTION_JOBS);
            let distribution = counts.map(|counts| self.fit_distribution(counts, parent));
            self.insert(cell, effect, jobs, distribution);
        }
    }

    /// How much slower each worker is than its kind; 0 in the mean over a kind's workers, since that is the kind's.
    fn fit_workers(&mut self, sums: &BTreeMap<CellId, CellSum>) {
        let variance = self.distributions[0].variance;
        let mut workers = Vec::new();
        for (cell, sum) in sums.iter().filter(|(cell, _)| cell.level == Level::Worker) {
            let kind = sum.kinds.first().map_or(OTHER_KIND, |sum| sum.kind);
            let offset = sum.mean(|kind| self.slowness(kind));
            workers.push((*cell, kind, CellOffset { jobs: sum.jobs, offset, variance }));
        }
        let mut kinds: BTreeMap<u32, (f64, f64)> = BTreeMap::new();
        for (_, kind, worker) in &workers {
            let (jobs, sum) = kinds.entry(*kind).or_default();
            *jobs += worker.jobs;
            *sum += worker.jobs * worker.offset;
        }
        let mean = |kind: u32| kinds.get(&kind).map_or(0.0, |(jobs, sum)| sum / jobs.max(1e-9));
        for (_, kind, worker) in &mut workers {
            worker.offset -= mean(*kind);
        }
        let offsets: Vec<CellOffset> = workers.iter().map(|(_, _, worker)| *worker).collect();
        let shrinkage = shrinkage_jobs(&offsets);
        for (cell, _, CellOffset { jobs, offset, .. }) in workers {
            self.insert(cell, offset * jobs / (jobs + shrinkage), jobs, None);
        }
    }

    fn insert(&mut self, id: CellId, effect: f64, jobs: f64, distribution: Option<RuntimeDistribution>) {
        let distribution = distribution.map(|distribution| {
            self.distributions.push(distribution);
            (self.distributions.len() - 1) as u32
        });
        self.cells.insert(id, Cell { effect, jobs, distribution });
    }

    /// Logarithmic slowness of a kind; 0 for one never seen.
    pub fn slowness(&self, kind: u32) -> f64 {
        self.slowness.get(kind)
    }

    /// Logarithmic slowness of a worker beside its kind; 0 for one never seen.
    pub fn worker_effect(&self, tag: u64) -> f64 {
        self.cells.get(&worker_cell(tag)).map_or(0.0, |cell| cell.effect)
    }

    /// The expectation for jobs of a chain.
    pub fn expectation(&self, chain: &CellChain) -> Expectation {
        let mut expected =
            Expectation { work: self.root, distribution: 0, above: [0.0; MAX_CHAIN], class_jobs: 0.0 };
        let mut above = 0.0;
        for (index, id) in chain.cells().iter().enumerate() {
            expected.above[index] = above;
            let Some(cell) = self.cells.get(id) else { continue };
            if index == 0 {
                expected.work = cell.effect;
                expected.class_jobs = cell.jobs;
            } else {
                above += cell.effect;
            }
            expected.distribution = cell.distribution.unwrap_or(expected.distribution);
        }
        expected.work += above;
        expected
    }

    /// The distribution of the finest cell that an expectation rests on.
    pub fn distribution(&self, expected: &Expectation) -> &RuntimeDistribution {
        &self.distributions[expected.distribution as usize]
    }

    /// The distribution of a class.
    pub fn class_distribution(&self, class: &CellId) -> &RuntimeDistribution {
        let own = self.cells.get(class).and_then(|cell| cell.distribution);
        &self.distributions[own.unwrap_or(0) as usize]
    }

    /// Number of cells.
    pub fn cell_count(&self) -> usize {
        self.cells.len()
    }

    /// Memory beside the struct itself.
    pub fn heap_bytes(&self) -> usize {
        self.cells.capacity() * (size_of::<(CellId, Cell)>() + 1)
            + self.distributions.capacity() * size_of::<RuntimeDistribution>()
    }

    /// Hashes all that estimates rest on, in the order of the cells, to compare two models bit by bit.
    pub fn hash_into(&self, hasher: &mut impl std::hash::Hasher) {
        hasher.write_u64(self.root.to_bits());
        for (kind, slowness) in self.slowness.iter() {
            hasher.write_u32(kind);
            hasher.write_u64(slowness.to_bits());
        }
        let cells: BTreeMap<_, _> = self.cells.iter().collect();
        for (id, cell) in cells {
            hasher.write_u64(id.hash);
            hasher.write_u64(cell.effect.to_bits());
            if let Some(index) = cell.distribution {
                hasher.write_u64(self.distributions[index as usize].residual_at(0.1).to_bits());
            }
        }
    }
}
