//! The slowness of each kind of worker: the logarithm of the inverse of its speed.
//!
//! The model is two-way additive: `log run time = work(unit) + slowness(kind)`, with a unit for each group of similar jobs.
//! The model is fitted by alternating least squares, with a ridge penalty toward the configured speeds. Work and slowness are
//! determined only up to a constant, so the mean slowness is kept at that of the configured speeds.

use crate::cell_sum::{CellSum, KindSum};
use crate::features::{CellId, Level};
use crate::{Config, WorkerKind};
use std::collections::BTreeMap;

/// The weight of the configured speed, in jobs.
const PRIOR_JOBS: f64 = 2.0;
/// The maximum number of rounds of the fit.
const MAX_ROUNDS: usize = 50;
/// The fit has converged once the slowness of every kind changes by less than this in one round.
const TOLERANCE: f64 = 1e-4;
/// The weighted number of jobs up to which a kind is ignored in a unit.
const MIN_UNIT_JOBS: f64 = 0.05;

/// The slowness of a kind.
#[derive(Clone, Copy, Debug)]
struct Slowness {
    kind: WorkerKind,
    log: f64,
}

/// The slowness of all known kinds.
#[derive(Debug)]
pub(crate) struct KindSlowness(Vec<Slowness>);

impl KindSlowness {
    /// The configured slowness, before any observation.
    pub fn prior(config: &Config) -> KindSlowness {
        KindSlowness(
            config.speeds.iter().map(|known| Slowness { kind: known.kind, log: -known.speed.ln() }).collect(),
        )
    }

    /// Fits the slowness to the sums of all cells.
    pub fn fit(sums: &BTreeMap<CellId, CellSum>, config: &Config) -> KindSlowness {
        let units = fitted_units(sums);
        let mut kinds: Vec<WorkerKind> = units.iter().flatten().map(|sum| sum.kind).collect();
        kinds.extend(config.speeds.iter().map(|known| known.kind));
        kinds.sort_unstable();
        kinds.dedup();
        let prior: Vec<f64> = kinds.iter().map(|kind| configured_slowness(config, *kind)).collect();
        let mut slowness = prior.clone();
        for _ in 0..MAX_ROUNDS {
            let next = least_squares_round(&units, &kinds, &prior, &slowness);
            let changes = next.iter().zip(&slowness).map(|(new, old)| (new - old).abs());
            let max_change = changes.fold(0f64, f64::max);
            slowness = next;
            if max_change < TOLERANCE {
                break;
            }
        }
        KindSlowness(kinds.into_iter().zip(slowness).map(|(kind, log)| Slowness { kind, log }).collect())
    }

    /// The logarithmic slowness of a kind; 0 for an unknown kind.
    pub fn get(&self, kind: WorkerKind) -> f64 {
        let index = self.0.binary_search_by_key(&kind, |slowness| slowness.kind);
        index.map_or(0.0, |index| self.0[index].log)
    }

    /// All kinds with their slowness, in order of kind.
    pub fn iter(&self) -> impl Iterator<Item = (WorkerKind, f64)> {
        self.0.iter().map(|slowness| (slowness.kind, slowness.log))
    }
}

fn configured_slowness(config: &Config, kind: WorkerKind) -> f64 {
    let known = config.speeds.iter().find(|known| known.kind == kind);
    known.map_or(0.0, |known| -known.speed.ln())
}

/// One round of alternating least squares: the work of each unit from the given slowness, then the slowness of each kind from
/// that work.
fn least_squares_round(
    units: &[Vec<KindSum>],
    kinds: &[WorkerKind],
    prior: &[f64],
    slowness: &[f64],
) -> Vec<f64> {
    let index_of = |kind: WorkerKind| kinds.binary_search(&kind).unwrap_or(0);
    let mut jobs = vec![PRIOR_JOBS; kinds.len()];
    let mut log_sums: Vec<f64> = prior.iter().map(|prior| PRIOR_JOBS * prior).collect();
    for unit in units {
        let unit_jobs: f64 = unit.iter().map(|sum| sum.jobs).sum();
        let work = unit.iter().map(|sum| sum.log_sum - sum.jobs * slowness[index_of(sum.kind)]).sum::<f64>()
            / unit_jobs;
        for sum in unit {
            let index = index_of(sum.kind);
            jobs[index] += sum.jobs;
            log_sums[index] += sum.log_sum - sum.jobs * work;
        }
    }
    let means: Vec<f64> = log_sums.iter().zip(&jobs).map(|(log_sum, jobs)| log_sum / jobs).collect();
    let offset =
        means.iter().zip(prior).map(|(mean, prior)| mean - prior).sum::<f64>() / kinds.len().max(1) as f64;
    means.iter().map(|mean| mean - offset).collect()
}

/// The units of the fit: the subjects, and each class without its subjects, that is, its jobs without a subject or with one
/// whose summary was dropped. A unit that was observed at only one kind has no information about the kinds, and is left out.
fn fitted_units(sums: &BTreeMap<CellId, CellSum>) -> Vec<Vec<KindSum>> {
    let mut classes: BTreeMap<u32, CellSum> = BTreeMap::new();
    for (cell, sum) in sums.iter().filter(|(cell, _)| cell.level == Level::Class) {
        classes.insert(cell.hash as u32, CellSum { kinds: sum.kinds.clone(), ..CellSum::default() });
    }
    let mut units = Vec::new();
    for (_, subject) in sums.iter().filter(|(cell, _)| cell.level == Level::Subject) {
        if let Some(class) = classes.get_mut(&subject.class) {
            for sum in &subject.kinds {
                class.add_kind(sum.kind, -sum.jobs, -sum.log_sum);
            }
        }
        units.push(subject.kinds.clone());
    }
    units.extend(classes.into_values().map(|class| class.kinds));
    for unit in &mut units {
        unit.retain(|sum| sum.jobs > MIN_UNIT_JOBS && sum.kind != WorkerKind::OTHER);
    }
    units.retain(|unit| unit.len() > 1);
    units
}
