//! The ready workers of the endpoint list, indexed for placement.

use crate::policy::interface::{EndpointEntry, KindId, Micros, WorkerId, ZoneId};
use std::collections::BTreeMap;

/// The ready workers, in several lists that are sorted by ascending id.
#[derive(Debug, Default)]
pub(crate) struct ReadyWorkers {
    all: Vec<WorkerId>,
    /// The workers in the dispatcher's own zone.
    own_zone: Vec<WorkerId>,
    /// The workers that are not warm yet.
    warming_up: Vec<WorkerId>,
    /// The total weight of the workers of each kind.
    weight_by_kind: BTreeMap<KindId, f64>,
}

/// The least weight of a worker; lower weights are replaced by this one.
pub(crate) const MIN_WEIGHT: f64 = 0.01;

impl ReadyWorkers {
    /// Indexes the workers of these list entries for a dispatcher in `zone`. The entries must be sorted by ascending id.
    pub fn new(entries: &[EndpointEntry], zone: ZoneId, now: Micros, warm_up_time: Micros) -> ReadyWorkers {
        let ids = |is_included: &dyn Fn(&&EndpointEntry) -> bool| {
            entries.iter().filter(is_included).map(|entry| entry.worker).collect()
        };
        let mut ready = ReadyWorkers {
            all: ids(&|_| true),
            own_zone: ids(&|entry| entry.zone == zone),
            warming_up: ids(&|entry| !is_warm(entry, now, warm_up_time)),
            weight_by_kind: BTreeMap::new(),
        };
        for entry in entries {
            *ready.weight_by_kind.entry(entry.kind).or_default() += entry.weight.max(MIN_WEIGHT);
        }
        ready
    }

    /// All ready workers.
    pub fn all(&self) -> &[WorkerId] {
        &self.all
    }

    /// The workers that are not warm yet.
    pub fn warming_up(&self) -> &[WorkerId] {
        &self.warming_up
    }

    /// Whether there is a ready worker in the dispatcher's own zone.
    pub fn has_own_zone(&self) -> bool {
        !self.own_zone.is_empty()
    }

    /// The total weight of the workers of each kind.
    pub fn weight_by_kind(&self) -> &BTreeMap<KindId, f64> {
        &self.weight_by_kind
    }

    /// Adds workers to a pool: those that are warming up, those of the dispatcher's own zone, and all workers. From each of these
    /// lists that is longer than `max`, `max` workers are drawn at random; a worker may be drawn several times.
    pub fn draw(&self, pool: &mut Vec<WorkerId>, max: usize, random: &mut fastrand::Rng) {
        for list in [&self.warming_up, &self.own_zone, &self.all] {
            if list.len() <= max {
                pool.extend(list);
            } else {
                pool.extend((0..max).map(|_| list[random.usize(..list.len())]));
            }
        }
    }
}

/// Whether a worker has been running for its whole warm-up time.
pub(crate) fn is_warm(entry: &EndpointEntry, now: Micros, warm_up_time: Micros) -> bool {
    entry.started_at.is_none_or(|start| now >= start.saturating_add(warm_up_time))
}
