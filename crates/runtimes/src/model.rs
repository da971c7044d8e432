//! The model: the slowness of each kind, the effect of each cell, and distributions, fitted to the sums of all cells.
//!
//! Each cell is partially pooled with the wider cells of its chain: its own mean and the wider expectation are weighted by
//! their numbers of jobs (empirical Bayes shrinkage, as in a random-effects model). Cells are visited in a fixed order, so
//! that the same summaries give bit-identical results wherever the fit runs.

use crate::cell_sum::CellSum;
use crate::distribution::{BinCounts, RuntimeDistribution};
use crate::features::{CellChain, CellId, IdentityHasher, Level, MAX_CHAIN, worker_cell};
use crate::kind_slowness::KindSlowness;
use crate::{Config, WorkerKey, WorkerKind};
use std::collections::{BTreeMap, HashMap};
use std::hash::BuildHasherDefault;

/// The weight of the mean over classes against a class's own mean, in jobs.
const CLASS_PRIOR_JOBS: f64 = 0.5;
/// The weight of the wider distribution against a cell's own, in jobs. The wider one is that of all classes for a class, and
/// that of its class for a finer cell.
const DISTRIBUTION_PRIOR_JOBS: f64 = 20.0;
/// The minimum number of jobs for a finer cell to have its own distribution.
const MIN_DISTRIBUTION_JOBS: f64 = 30.0;
/// The variance between cells before any observation.
const BETWEEN_VARIANCE: f64 = 0.05;
/// The weight of [`BETWEEN_VARIANCE`], in jobs.
const BETWEEN_WEIGHT: f64 = 60.0;
/// The maximum weight of a cell in the variance between cells and in the mean over classes, in jobs.
const MAX_CELL_WEIGHT: f64 = 30.0;
/// A cell with fewer jobs is ignored in the variance between cells.
const MIN_VARIANCE_JOBS: f64 = 1.5;
/// The minimum variance between cells that is assumed.
const MIN_BETWEEN_VARIANCE: f64 = 1e-3;
/// The minimum result of [`shrinkage_jobs`].
const MIN_SHRINKAGE_JOBS: f64 = 0.2;
/// The maximum result of [`shrinkage_jobs`].
const MAX_SHRINKAGE_JOBS: f64 = 1e4;
/// The minimum weight by which a mean is divided.
const MIN_WEIGHT: f64 = 1e-9;
/// The levels below a class, in the order in which they are fitted.
const FINE_LEVELS: [Level; 5] =
    [Level::Tenant, Level::Subject, Level::Attribute(0), Level::Attribute(1), Level::All];

/// The fitted parameters of a cell.
#[derive(Clone, Copy, Debug)]
struct Cell {
    /// The shrunk effect of the cell, which is added to the expectation of its class; for a class, that expectation itself.
    effect: f64,
    /// The weighted number of jobs.
    jobs: f64,
    /// The index of the cell's own distribution, if it has one.
    distribution: Option<u32>,
}

/// The result of a fit.
#[derive(Debug)]
pub(crate) struct Model {
    slowness: KindSlowness,
    /// The mean over all classes.
    root: f64,
    cells: HashMap<CellId, Cell, BuildHasherDefault<IdentityHasher>>,
    /// All distributions; the first is that of all classes together.
    distributions: Vec<RuntimeDistribution>,
}

/// The expectation for jobs of a chain.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Expectation {
    /// The logarithm of the work at speed 1.
    pub work: f64,
    /// The index of the distribution of the finest cell that has one.
    distribution: u32,
    /// For each cell of the chain, the sum of the effects of the cells between it and the class.
    pub above: [f64; MAX_CHAIN],
    /// The weighted number of jobs of the class.
    pub class_jobs: f64,
}

/// The offset of a cell's mean from the expectation of the wider cells.
#[derive(Clone, Copy, Debug)]
struct CellOffset {
    jobs: f64,
    offset: f64,
    /// The variance of the jobs within the cell.
    variance: f64,
}

/// The weight of the expectation against a cell's own offset, in jobs: the variance within cells divided by the variance
/// between cells, which is estimated by the method of moments. If cells differ little, those with few jobs follow the
/// expectation. If they differ much, each follows its own mean.
fn shrinkage_jobs(cells: impl Iterator<Item = CellOffset>) -> f64 {
    let mut between_weight = BETWEEN_WEIGHT;
    let mut between_sum = BETWEEN_VARIANCE * BETWEEN_WEIGHT;
    let mut within_sum = 0.0;
    let mut total_jobs = 0.0;
    for CellOffset { jobs, offset, variance } in cells {
        within_sum += variance * jobs;
        total_jobs += jobs;
        if jobs > MIN_VARIANCE_JOBS {
            let weight = jobs.min(MAX_CELL_WEIGHT);
            between_weight += weight;
            between_sum += weight * (offset * offset - variance / jobs);
        }
    }
    let within = if total_jobs > 0.0 { within_sum / total_jobs } else { 1.0 };
    let between = (between_sum / between_weight).max(MIN_BETWEEN_VARIANCE);
    (within / between).clamp(MIN_SHRINKAGE_JOBS, MAX_SHRINKAGE_JOBS)
}

/// A cell below the classes, with its offset.
struct FittedCell<'a> {
    id: CellId,
    sum: &'a CellSum,
    offset: CellOffset,
    /// The index of its class's distribution.
    class_distribution: u32,
}

/// A worker, with its offset from the expectation of its jobs.
struct FittedWorker {
    id: CellId,
    kind: WorkerKind,
    offset: CellOffset,
}

/// A mean of weighted values.
#[derive(Clone, Copy, Debug, Default)]
struct WeightedMean {
    weight: f64,
    sum: f64,
}

impl WeightedMean {
    fn add(&mut self, weight: f64, value: f64) {
        self.weight += weight;
        self.sum += weight * value;
    }

    fn get(&self) -> f64 {
        self.sum / self.weight.max(MIN_WEIGHT)
    }
}

/// A class, with its mean work.
struct FittedClass<'a> {
    cell: CellId,
    sum: &'a CellSum,
    mean: f64,
}

impl Model {
    /// The model before any observation.
    pub fn prior(config: &Config) -> Model {
        Model {
            slowness: KindSlowness::prior(config),
            root: (config.prior_runtime as f64).ln(),
            cells: HashMap::default(),
            distributions: vec![RuntimeDistribution::prior(config.prior_deviation)],
        }
    }

    /// Fits a model to the sums of all cells.
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

    /// Fits the mean over all classes, and their common distribution.
    fn fit_root(&mut self, classes: &[FittedClass<'_>]) {
        let mut total_weight = 1.0;
        let mut weighted_sum = self.root;
        let mut pooled = BinCounts::default();
        for FittedClass { sum, mean, .. } in classes {
            let weight = sum.jobs.min(MAX_CELL_WEIGHT);
            total_weight += weight;
            weighted_sum += weight * mean;
            if let Some(counts) = sum.counts.as_deref() {
                pooled.add(counts);
            }
        }
        self.root = weighted_sum / total_weight;
        self.distributions[0] = self.fit_distribution(&pooled, 0);
    }

    fn fit_distribution(&self, counts: &BinCounts, parent: u32) -> RuntimeDistribution {
        RuntimeDistribution::fitted(counts, &self.distributions[parent as usize], DISTRIBUTION_PRIOR_JOBS)
    }

    /// Fits the cells of one level below the classes.
    fn fit_level(&mut self, level: Level, sums: &BTreeMap<CellId, CellSum>) {
        let cells = self.cells_of_level(level, sums);
        let shrinkage = shrinkage_jobs(cells.iter().map(|cell| cell.offset));
        for FittedCell { id, sum, offset: CellOffset { jobs, offset, .. }, class_distribution } in cells {
            let effect = offset * jobs / (jobs + shrinkage);
            let counts = sum.counts.as_deref().filter(|_| jobs >= MIN_DISTRIBUTION_JOBS);
            let distribution = counts.map(|counts| self.fit_distribution(counts, class_distribution));
            self.insert(id, effect, jobs, distribution);
        }
    }

    /// The cells of one level whose class is known. Other cells are ignored until their class arrives.
    fn cells_of_level<'a>(&self, level: Level, sums: &'a BTreeMap<CellId, CellSum>) -> Vec<FittedCell<'a>> {
        let class_of: HashMap<u32, CellId> = (sums.keys())
            .filter(|cell| cell.level == Level::Class)
            .map(|cell| (cell.hash as u32, *cell))
            .collect();
        let mut cells = Vec::new();
        for (id, sum) in sums.iter().filter(|(cell, _)| cell.level == level) {
            let Some(class) = class_of.get(&sum.class).and_then(|class| self.cells.get(class)) else {
                continue;
            };
            let mean = sum.mean(|kind| self.slowness(kind));
            let offset = mean - class.effect - sum.expected / sum.jobs.max(MIN_WEIGHT);
            let class_distribution = class.distribution.unwrap_or(0);
            let variance = self.distributions[class_distribution as usize].variance;
            let offset = CellOffset { jobs: sum.jobs, offset, variance };
            cells.push(FittedCell { id: *id, sum, offset, class_distribution });
        }
        cells
    }

    /// Fits how much slower each worker is than its kind. The mean over the workers of a kind is 0, since a common part
    /// belongs to the slowness of the kind.
    fn fit_workers(&mut self, sums: &BTreeMap<CellId, CellSum>) {
        let mut workers = self.workers(sums);
        let mut kinds: BTreeMap<WorkerKind, WeightedMean> = BTreeMap::new();
        for FittedWorker { kind, offset, .. } in &workers {
            kinds.entry(*kind).or_default().add(offset.jobs, offset.offset);
        }
        for FittedWorker { kind, offset, .. } in &mut workers {
            offset.offset -= kinds.get(kind).map_or(0.0, WeightedMean::get);
        }
        let shrinkage = shrinkage_jobs(workers.iter().map(|worker| worker.offset));
        for FittedWorker { id, offset: CellOffset { jobs, offset, .. }, .. } in workers {
            self.insert(id, offset * jobs / (jobs + shrinkage), jobs, None);
        }
    }

    fn workers(&self, sums: &BTreeMap<CellId, CellSum>) -> Vec<FittedWorker> {
        let variance = self.distributions[0].variance;
        let sums = sums.iter().filter(|(cell, _)| cell.level == Level::Worker);
        let to_worker = |(id, sum): (&CellId, &CellSum)| {
            let kind = sum.kinds.first().map_or(WorkerKind::OTHER, |sum| sum.kind);
            let offset = sum.mean(|kind| self.slowness(kind));
            FittedWorker { id: *id, kind, offset: CellOffset { jobs: sum.jobs, offset, variance } }
        };
        sums.map(to_worker).collect()
    }

    fn insert(&mut self, id: CellId, effect: f64, jobs: f64, distribution: Option<RuntimeDistribution>) {
        let distribution = distribution.map(|distribution| {
            self.distributions.push(distribution);
            (self.distributions.len() - 1) as u32
        });
        self.cells.insert(id, Cell { effect, jobs, distribution });
    }

    /// The logarithmic slowness of a kind; 0 for an unknown kind.
    pub fn slowness(&self, kind: WorkerKind) -> f64 {
        self.slowness.get(kind)
    }

    /// The logarithmic slowness of a worker relative to its kind; 0 for an unknown worker.
    pub fn worker_effect(&self, worker: WorkerKey) -> f64 {
        self.cells.get(&worker_cell(worker)).map_or(0.0, |cell| cell.effect)
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

    /// The distribution of the finest cell of an expectation that has one.
    pub fn distribution(&self, expected: &Expectation) -> &RuntimeDistribution {
        &self.distributions[expected.distribution as usize]
    }

    /// The distribution of a class, or that of all classes if it has none.
    pub fn class_distribution(&self, class: &CellId) -> &RuntimeDistribution {
        let own = self.cells.get(class).and_then(|cell| cell.distribution);
        &self.distributions[own.unwrap_or(0) as usize]
    }

    /// The number of cells.
    pub fn cell_count(&self) -> usize {
        self.cells.len()
    }

    /// The memory in addition to the struct itself, in bytes.
    pub fn heap_bytes(&self) -> usize {
        self.cells.capacity() * (size_of::<(CellId, Cell)>() + 1)
            + self.distributions.capacity() * size_of::<RuntimeDistribution>()
    }

    /// Hashes everything that determines estimates, in the order of the cells, to compare two models bit by bit.
    pub fn hash_into(&self, hasher: &mut impl std::hash::Hasher) {
        hasher.write_u64(self.root.to_bits());
        for (kind, slowness) in self.slowness.iter() {
            hasher.write_u32(kind.0);
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
