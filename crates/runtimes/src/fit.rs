//! From sums to estimates: slowness of the kinds, location of each cell, shapes, all shrunk toward what is wider.
//!
//! Run over sums in the order of their cells, so that the same registers give the same bits wherever it runs.

use crate::Config;
use crate::likeness::{CHAIN, CellId, Chain, Level, Ready};
use crate::register::{OTHER, Sum};
use crate::shape::{Counts, Shape};
use std::collections::{BTreeMap, HashMap};
use std::hash::BuildHasherDefault;

/// Weight of what was known before, in jobs, for a kind's slowness.
const SLOWNESS_PRIOR: f64 = 2.0;
/// Rounds of fitting work and slowness in turn, at most.
const ROUNDS: usize = 50;
/// A class's own mean counts this many jobs of the mean over classes.
const CLASS_PRIOR: f64 = 0.5;
/// A class's shape counts this many jobs laid out as all classes' are, a finer cell's as many as the class's.
const SHAPE_PRIOR: f64 = 20.0;
/// Below this many jobs a finer cell has no shape of its own.
const SHAPE_LEAST: f64 = 30.0;
/// The between-cells variance before anything was seen, and its weight.
const BETWEEN: (f64, f64) = (0.05, 60.0);
/// No cell counts for more than this in the between-cells variance.
const BETWEEN_MOST: f64 = 30.0;

#[derive(Clone, Copy, Debug)]
pub(crate) struct Cell {
    /// What it adds to the expectation (a class: the whole of it), shrunk.
    pub effect: f64,
    pub jobs: f64,
    /// Its shape, if it has one of its own.
    shape: Option<u32>,
}

/// What is known after a fit.
#[derive(Debug)]
pub(crate) struct Fit {
    slowness: Vec<(u32, f64)>,
    root: f64,
    cells: HashMap<CellId, Cell, BuildHasherDefault<Ready>>,
    shapes: Vec<Shape>,
}

/// The expectation for jobs of a chain.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Expected {
    /// Logarithm of work at speed 1.
    pub work: f64,
    shape: u32,
    /// What the cells above each of the chain added to the class's expectation.
    pub above: [f64; CHAIN],
    /// Jobs that the class's expectation rests on.
    pub class_jobs: f64,
}

/// Takes the part of the subjects out of their class: what stays are jobs without a subject or of forgotten ones.
fn units(sums: &BTreeMap<CellId, Sum>) -> Vec<Vec<(u32, f64, f64)>> {
    let mut rest: BTreeMap<u32, Sum> = BTreeMap::new();
    for (cell, sum) in sums.iter().filter(|(cell, _)| cell.level == Level::Class) {
        rest.insert(cell.hash as u32, Sum { kinds: sum.kinds.clone(), ..Sum::default() });
    }
    let mut units = Vec::new();
    for (_, sum) in sums.iter().filter(|(cell, _)| cell.level == Level::Subject) {
        if let Some(class) = rest.get_mut(&sum.class) {
            sum.kinds.iter().for_each(|&(kind, n, y)| class.add_kind(kind, -n, -y));
        }
        units.push(sum.kinds.clone());
    }
    units.extend(rest.into_values().map(|sum| sum.kinds));
    for unit in &mut units {
        unit.retain(|&(kind, n, _)| n > 0.05 && kind != OTHER);
    }
    units.retain(|unit| unit.len() > 1);
    units
}

/// Logarithmic slowness of the kinds: the additive model `run time = work + slowness` fitted by turns over all cells seen
/// at more than one kind, ridged toward what was configured, its middle held there.
fn slowness(sums: &BTreeMap<CellId, Sum>, config: &Config) -> Vec<(u32, f64)> {
    let known = |kind: u32| config.speeds.iter().find(|s| s.0 == kind).map_or(0.0, |s| -s.1.ln());
    let units = units(sums);
    let mut kinds: Vec<u32> = units.iter().flatten().map(|k| k.0).collect();
    kinds.extend(config.speeds.iter().map(|s| s.0));
    kinds.sort_unstable();
    kinds.dedup();
    let mut slow: Vec<(u32, f64)> = kinds.iter().map(|&kind| (kind, known(kind))).collect();
    let place = |kind: u32| kinds.binary_search(&kind).unwrap_or(0);
    for _ in 0..ROUNDS {
        let mut sums = vec![(SLOWNESS_PRIOR, 0.0); kinds.len()];
        sums.iter_mut().zip(&kinds).for_each(|(sum, &kind)| sum.1 = SLOWNESS_PRIOR * known(kind));
        for unit in &units {
            let n: f64 = unit.iter().map(|k| k.1).sum();
            let work = unit.iter().map(|k| k.2 - k.1 * slow[place(k.0)].1).sum::<f64>() / n;
            for &(kind, n, y) in unit {
                let sum = &mut sums[place(kind)];
                sum.0 += n;
                sum.1 += y - n * work;
            }
        }
        let off = sums.iter().zip(&kinds).map(|(sum, &kind)| sum.1 / sum.0 - known(kind)).sum::<f64>()
            / kinds.len().max(1) as f64;
        let mut moved = 0f64;
        for (slow, sum) in slow.iter_mut().zip(&sums) {
            let next = sum.1 / sum.0 - off;
            moved = moved.max((next - slow.1).abs());
            slow.1 = next;
        }
        if moved < 1e-4 {
            break;
        }
    }
    slow
}

/// The weight against which a cell's jobs stand, `within / between`, the latter by moments from the cells themselves:
/// thin cells follow their parents where cells differ little, and stand for themselves where they differ much.
fn against(cells: &[(f64, f64, f64)]) -> f64 {
    let (mut weight, mut between) = (BETWEEN.1, BETWEEN.0 * BETWEEN.1);
    let (mut within, mut seen) = (0.0, 0.0);
    for &(jobs, off, variance) in cells {
        within += variance * jobs;
        seen += jobs;
        if jobs > 1.5 {
            let counts = jobs.min(BETWEEN_MOST);
            weight += counts;
            between += counts * (off * off - variance / jobs);
        }
    }
    let within = if seen > 0.0 { within / seen } else { 1.0 };
    (within / (between / weight).max(1e-3)).clamp(0.2, 1e4)
}

impl Fit {
    /// Before anything was seen.
    pub fn prior(config: &Config) -> Fit {
        Fit {
            slowness: config.speeds.iter().map(|s| (s.0, -s.1.ln())).collect(),
            root: (config.first_guess as f64).ln(),
            cells: HashMap::default(),
            shapes: vec![Shape::prior(config.first_spread)],
        }
    }

    pub fn new(sums: &BTreeMap<CellId, Sum>, config: &Config) -> Fit {
        let mut fit = Fit::prior(config);
        fit.slowness = slowness(sums, config);
        fit.slowness.sort_unstable_by_key(|s| s.0);
        let classes: Vec<(&CellId, &Sum, f64)> = sums
            .iter()
            .filter(|(cell, _)| cell.level == Level::Class)
            .map(|(cell, sum)| (cell, sum, sum.mean(|kind| fit.slowness(kind))))
            .collect();
        let (mut weight, mut root) = (1.0, fit.root);
        let mut all = Counts::default();
        for (_, sum, mean) in &classes {
            let counts = sum.jobs.min(BETWEEN_MOST);
            weight += counts;
            root += counts * mean;
            if let Some(counts) = sum.counts.as_deref() {
                all.ended.iter_mut().zip(counts.ended).for_each(|(all, n)| *all += n);
                all.censored.iter_mut().zip(counts.censored).for_each(|(all, n)| *all += n);
            }
        }
        fit.root = root / weight;
        let pooled = Shape::fitted(&all, &fit.shapes[0], SHAPE_PRIOR);
        fit.shapes[0] = pooled;
        for (cell, sum, mean) in classes {
            let own = sum.jobs / (sum.jobs + CLASS_PRIOR);
            let effect = fit.root + own * (mean - fit.root);
            let shape =
                sum.counts.as_deref().map(|counts| Shape::fitted(counts, &fit.shapes[0], SHAPE_PRIOR));
            fit.enter(*cell, effect, sum.jobs, shape);
        }
        let class_of: HashMap<u32, CellId> = sums
            .keys()
            .filter(|cell| cell.level == Level::Class)
            .map(|cell| (cell.hash as u32, *cell))
            .collect();
        let fine = [Level::Tenant, Level::Subject, Level::Fact(0), Level::Fact(1), Level::All];
        for level in fine {
            let of_level = sums.iter().filter(|(cell, _)| cell.level == level);
            // A cell whose class is unknown here teaches nothing yet.
            let known = of_level.filter_map(|(cell, sum)| {
                let class = fit.cells.get(class_of.get(&sum.class)?)?;
                let off =
                    sum.mean(|kind| fit.slowness(kind)) - class.effect - sum.expected / sum.jobs.max(1e-9);
                Some((cell, sum, off, class.shape.unwrap_or(0)))
            });
            let cells: Vec<(&CellId, &Sum, f64, u32)> = known.collect();
            let figures = cells.iter().map(|c| (c.1.jobs, c.2, fit.shapes[c.3 as usize].variance));
            let against = against(&figures.collect::<Vec<_>>());
            for (cell, sum, off, shape) in cells {
                let effect = off * sum.jobs / (sum.jobs + against);
                let enough = sum.jobs >= SHAPE_LEAST;
                let own = sum.counts.as_deref().filter(|_| enough);
                let own = own.map(|counts| Shape::fitted(counts, &fit.shapes[shape as usize], SHAPE_PRIOR));
                fit.enter(*cell, effect, sum.jobs, own);
            }
        }
        fit.workers(sums);
        fit
    }

    /// What is slow about each worker beside its kind; in the mean over a kind's workers nothing, since that is the kind's.
    fn workers(&mut self, sums: &BTreeMap<CellId, Sum>) {
        let spread = self.shapes[0].variance;
        let workers: Vec<(&CellId, u32, f64, f64)> = sums
            .iter()
            .filter(|(cell, _)| cell.level == Level::Worker)
            .map(|(cell, sum)| {
                let kind = sum.kinds.first().map_or(OTHER, |kind| kind.0);
                (cell, kind, sum.jobs, sum.mean(|kind| self.slowness(kind)))
            })
            .collect();
        let mut kinds: BTreeMap<u32, (f64, f64)> = BTreeMap::new();
        for &(_, kind, jobs, off) in &workers {
            let of = kinds.entry(kind).or_default();
            *of = (of.0 + jobs, of.1 + jobs * off);
        }
        let middle = |kind: u32| kinds.get(&kind).map_or(0.0, |(jobs, sum)| sum / jobs.max(1e-9));
        let figures = workers.iter().map(|&(_, kind, jobs, off)| (jobs, off - middle(kind), spread));
        let against = against(&figures.collect::<Vec<_>>());
        for (cell, kind, jobs, off) in workers {
            self.enter(*cell, (off - middle(kind)) * jobs / (jobs + against), jobs, None);
        }
    }

    fn enter(&mut self, id: CellId, effect: f64, jobs: f64, shape: Option<Shape>) {
        let shape = shape.map(|shape| {
            self.shapes.push(shape);
            (self.shapes.len() - 1) as u32
        });
        self.cells.insert(id, Cell { effect, jobs, shape });
    }

    /// Logarithmic slowness of a kind; 0 for one never seen.
    pub fn slowness(&self, kind: u32) -> f64 {
        let at = self.slowness.binary_search_by_key(&kind, |s| s.0);
        at.map_or(0.0, |at| self.slowness[at].1)
    }

    pub fn worker(&self, tag: u64) -> f64 {
        self.cells.get(&crate::likeness::worker(tag)).map_or(0.0, |cell| cell.effect)
    }

    pub fn expected(&self, chain: &Chain) -> Expected {
        let mut expected = Expected { work: self.root, shape: 0, above: [0.0; CHAIN], class_jobs: 0.0 };
        let mut above = 0.0;
        for (place, id) in chain.cells().iter().enumerate() {
            expected.above[place] = above;
            let Some(cell) = self.cells.get(id) else { continue };
            if place == 0 {
                expected.work = cell.effect;
                expected.class_jobs = cell.jobs;
            } else {
                above += cell.effect;
            }
            expected.shape = cell.shape.unwrap_or(expected.shape);
        }
        expected.work += above;
        expected
    }

    pub fn shape(&self, expected: &Expected) -> &Shape {
        &self.shapes[expected.shape as usize]
    }

    pub fn class_shape(&self, class: &CellId) -> &Shape {
        let own = self.cells.get(class).and_then(|cell| cell.shape);
        &self.shapes[own.unwrap_or(0) as usize]
    }

    pub fn cells(&self) -> usize {
        self.cells.len()
    }

    pub fn bytes(&self) -> usize {
        self.cells.capacity() * (size_of::<(CellId, Cell)>() + 1)
            + self.shapes.capacity() * size_of::<Shape>()
    }

    /// All that estimates rest on, in the order of the cells, to compare two fits bit by bit.
    pub fn hash_into(&self, hasher: &mut impl std::hash::Hasher) {
        hasher.write_u64(self.root.to_bits());
        for (kind, slow) in &self.slowness {
            hasher.write_u32(*kind);
            hasher.write_u64(slow.to_bits());
        }
        let cells: BTreeMap<_, _> = self.cells.iter().collect();
        for (id, cell) in cells {
            hasher.write_u64(id.hash);
            hasher.write_u64(cell.effect.to_bits());
            if let Some(shape) = cell.shape {
                hasher.write_u64(self.shapes[shape as usize].where_left(0.1).to_bits());
            }
        }
    }
}
