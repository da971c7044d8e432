//! The short tags that identify the ready workers in messages.

use super::hash::mix;
use crate::policy::interface::{EndpointEntry, WorkerId};
use std::collections::BTreeMap;

/// The short tag of each ready worker.
#[derive(Debug, Default)]
pub(super) struct ShortTags {
    workers: BTreeMap<u16, WorkerId>,
    /// The short tags that differ from the shortened tag of their worker, because another worker has that one.
    aliases: BTreeMap<WorkerId, u16>,
}

/// Shortens a worker's tag to 16 bits.
fn shorten(tag: u64) -> u16 {
    mix(tag) as u16
}

/// A worker and its shortened tag. The order of this type is the order in which workers get their short tags.
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
    /// Assigns a unique short tag to each ready worker. If several tags shorten to the same number, the worker with the lowest
    /// full tag gets that number, and the others get, in order, the next free numbers. Dispatchers with the same endpoint list
    /// thus use the same short tags. While their lists differ, only workers whose tags shorten to the same number can be confused
    /// with each other. If there are more than 65,536 workers, some get no short tag.
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

    /// The short tag of a worker. For a worker that got none, this is its shortened tag, which may belong to another worker.
    pub fn short_tag(&self, worker: WorkerId, tag: u64) -> u16 {
        self.aliases.get(&worker).copied().unwrap_or_else(|| shorten(tag))
    }

    /// The ready worker with this short tag, if there is one.
    pub fn worker(&self, short: u16) -> Option<WorkerId> {
        self.workers.get(&short).copied()
    }
}
