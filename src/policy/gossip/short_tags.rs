//! The short tags by which messages name the ready workers.

use super::hash::mix;
use crate::policy::interface::{EndpointEntry, WorkerId};
use std::collections::BTreeMap;

/// The short tag of each ready worker.
#[derive(Debug, Default)]
pub(super) struct ShortTags {
    workers: BTreeMap<u16, WorkerId>,
    /// The workers that do not go by what their tag shortens to.
    aliases: BTreeMap<WorkerId, u16>,
}

/// What a worker's tag shortens to.
fn shorten(tag: u64) -> u16 {
    mix(tag) as u16
}

/// A worker and what its tag shortens to; in the order in which workers choose their short tags.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Shortened {
    short: u16,
    tag: u64,
    worker: WorkerId,
}

impl Shortened {
    /// The worker of this list entry.
    fn new(entry: &EndpointEntry) -> Shortened {
        Shortened { short: shorten(entry.tag), tag: entry.tag, worker: entry.worker }
    }
}

impl ShortTags {
    /// Gives each ready worker a short tag of its own. Where several would have the same, the first by its whole tag has it,
    /// and the others, in order, the next ones that are free. Dispatchers that hold the same list thus use the same short tags;
    /// while lists differ, only workers whose tags shorten to the same can be mistaken for each other. Beyond 65,536 workers
    /// some have none.
    pub fn assign(&mut self, ready: &[EndpointEntry]) {
        let mut order: Vec<Shortened> = ready.iter().map(Shortened::new).collect();
        order.sort_unstable();
        let mut conflicting = Vec::new();
        order.dedup_by(|next, first| {
            let is_same = next.short == first.short;
            conflicting.extend(is_same.then_some(*next));
            is_same
        });
        self.workers = order.into_iter().map(|shortened| (shortened.short, shortened.worker)).collect();
        self.aliases.clear();
        for Shortened { short, worker, .. } in conflicting {
            if self.workers.len() > usize::from(u16::MAX) {
                return;
            }
            let mut next = (1..=u16::MAX).map(|n| short.wrapping_add(n));
            if let Some(free) = next.find(|short| !self.workers.contains_key(short)) {
                self.workers.insert(free, worker);
                self.aliases.insert(worker, free);
            }
        }
    }

    /// The short tag of a worker.
    pub fn short_tag(&self, worker: WorkerId, tag: u64) -> u16 {
        self.aliases.get(&worker).copied().unwrap_or_else(|| shorten(tag))
    }

    /// The ready worker of a short tag.
    pub fn worker(&self, short: u16) -> Option<WorkerId> {
        self.workers.get(&short).copied()
    }
}
