//! A walk: a merge of several layers that visits all their keys in order.

use super::run::{Run, Segment};
use super::view::{DamagedRegion, Hit};
use crate::format::RecordLocation;
use std::cmp::Ordering;
use std::sync::Arc;

/// The rank of the active segment, above all layers.
const ACTIVE_RANK: usize = usize::MAX;

enum Keys {
    Run(Arc<Run>),
    Active(Arc<Segment>, Vec<(Box<[u8]>, RecordLocation)>),
}

/// A layer, and the position of the walk in it.
pub(super) struct Source {
    rank: usize,
    position: usize,
    keys: Keys,
}

impl Source {
    pub fn of_run(rank: usize, position: usize, run: Arc<Run>) -> Source {
        Source { rank, position, keys: Keys::Run(run) }
    }

    pub fn of_active(segment: Arc<Segment>, keys: Vec<(Box<[u8]>, RecordLocation)>) -> Source {
        Source { rank: ACTIVE_RANK, position: 0, keys: Keys::Active(segment, keys) }
    }

    fn key(&self) -> Option<&[u8]> {
        match &self.keys {
            Keys::Run(run) => run.key_at(self.position),
            Keys::Active(_, keys) => keys.get(self.position).map(|(key, _)| &**key),
        }
    }

    fn hit(&self) -> Option<Hit> {
        match &self.keys {
            Keys::Run(run) => {
                let location = run.entry_at(self.position)?.location;
                Some(Hit { segment: run.segment.clone(), location })
            }
            Keys::Active(segment, keys) => {
                Some(Hit { segment: segment.clone(), location: keys.get(self.position)?.1 })
            }
        }
    }
}

/// One key on a walk.
#[derive(Debug)]
pub struct Step {
    pub key: Vec<u8>,
    /// The newest record of the key.
    pub hit: Hit,
    /// The index of the layer of that record; `usize::MAX` for the active segment.
    pub rank: usize,
    /// Whether there are older records of the key.
    pub has_older: bool,
    /// The damage that may hide a newer record, if any.
    pub hidden_by: Option<Arc<DamagedRegion>>,
}

/// Merges the layers of a view: each key once, with its newest record.
pub struct Walk {
    sources: Vec<Source>,
    /// Damaged regions with their ranks.
    damaged: Vec<(usize, Arc<DamagedRegion>)>,
    /// A binary heap of indices of sources, by their current key; of equal keys, the newest source comes first.
    heap: Vec<usize>,
}

impl Walk {
    pub(super) fn new(sources: Vec<Source>, damaged: Vec<(usize, Arc<DamagedRegion>)>) -> Walk {
        let heap = (0..sources.len()).filter(|source| sources[*source].key().is_some()).collect();
        let mut walk = Walk { sources, damaged, heap };
        for at in (0..walk.heap.len() / 2).rev() {
            walk.sift_down(at);
        }
        walk
    }

    /// Merges these runs, which are in order, the oldest first; ranks are their indices.
    pub fn of_runs(runs: &[Arc<Run>]) -> Walk {
        let sources = runs.iter().enumerate().map(|(rank, run)| Source::of_run(rank, 0, run.clone()));
        Walk::new(sources.collect(), Vec::new())
    }

    fn is_before(&self, a: usize, b: usize) -> bool {
        let (a, b) = (&self.sources[a], &self.sources[b]);
        a.key().cmp(&b.key()).then(b.rank.cmp(&a.rank)) == Ordering::Less
    }

    fn sift_down(&mut self, mut at: usize) {
        loop {
            let children = [2 * at + 1, 2 * at + 2].into_iter().filter(|child| *child < self.heap.len());
            let least =
                children.reduce(|a, b| if self.is_before(self.heap[b], self.heap[a]) { b } else { a });
            let Some(least) = least else { return };
            if !self.is_before(self.heap[least], self.heap[at]) {
                return;
            }
            self.heap.swap(least, at);
            at = least;
        }
    }

    fn advance(&mut self) {
        let Some(top) = self.heap.first().copied() else { return };
        self.sources[top].position += 1;
        if self.sources[top].key().is_none() {
            self.heap.swap_remove(0);
        }
        self.sift_down(0);
    }

    /// Skips the next key if it equals `key`. Returns whether it did.
    fn skip(&mut self, key: &[u8]) -> bool {
        let is_next = self.heap.first().is_some_and(|top| self.sources[*top].key() == Some(key));
        if is_next {
            self.advance();
        }
        is_next
    }
}

impl Iterator for Walk {
    type Item = Step;

    fn next(&mut self) -> Option<Step> {
        let top = &self.sources[*self.heap.first()?];
        let (key, hit, rank) = (top.key()?.to_vec(), top.hit()?, top.rank);
        self.advance();
        let mut has_older = false;
        while self.skip(&key) {
            has_older = true;
        }
        let hides = |(at, region): &&(usize, Arc<DamagedRegion>)| *at > rank && region.may_hide(&key);
        let hidden_by = self.damaged.iter().rev().find(hides).map(|(_, region)| region.clone());
        Some(Step { key, hit, rank, has_older, hidden_by })
    }
}
