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

fn shorten(tag: u64) -> u16 {
    mix(tag) as u16
}

impl ShortTags {
    /// Gives each ready worker a short tag of its own. Where several would have the same, the first by its whole tag has it,
    /// and the others, in order, the next ones that are free. So whoever holds the same list names all alike, and while lists
    /// differ only workers that share one can be taken for each other. (Beyond 65,536 workers some have none.)
    pub fn assign(&mut self, ready: &[EndpointEntry]) {
        let mut order: Vec<_> =
            ready.iter().map(|entry| (shorten(entry.tag), entry.tag, entry.worker)).collect();
        order.sort_unstable();
        let mut conflicting = Vec::new();
        order.dedup_by(|next, first| {
            let is_same = next.0 == first.0;
            conflicting.extend(is_same.then_some(*next));
            is_same
        });
        self.workers = order.into_iter().map(|(short, _, worker)| (short, worker)).collect();
        self.aliases.clear();
        for (short, _, worker) in conflicting {
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
    pub fn of(&self, worker: WorkerId, tag: u64) -> u16 {
        self.aliases.get(&worker).copied().unwrap_or_else(|| shorten(tag))
    }

    /// The ready worker of a short tag.
    pub fn worker(&self, short: u16) -> Option<WorkerId> {
        self.workers.get(&short).copied()
    }
}
