//! The workers by id, and the set of those whose state may have to be advertised.

use super::Worker;
use crate::policy::gossip::OwnLoad;
use crate::policy::interface::{EndpointEntry, ListKind, WorkerId};
use std::collections::BTreeSet;

/// All workers that this instance has seen.
#[derive(Debug, Default)]
pub(super) struct WorkerTable {
    workers: Vec<Worker>,
    /// The workers that may have an outstanding attempt or be suspect: every worker returned by [`WorkerTable::touch`], until
    /// [`WorkerTable::own_loads`] finds that it has no outstanding attempt and is not suspect. Attempts and failures are
    /// recorded only through `touch`, so this set contains every worker that is advertised. It avoids a walk over all workers,
    /// which took 58 % of the time per job at 10,000 workers (`make bench-decision`).
    touched: BTreeSet<WorkerId>,
}

impl WorkerTable {
    /// The worker with this id, for any change. A worker that is not in the table yet is added.
    pub fn touch(&mut self, id: WorkerId) -> &mut Worker {
        let index = id.0 as usize;
        if self.workers.len() <= index {
            self.workers.resize_with(index + 1, Worker::default);
        }
        self.touched.insert(id);
        &mut self.workers[index]
    }

    /// The worker with this id if it is in the table, for a change that is not advertised: neither a new attempt nor a failure.
    pub fn get_mut(&mut self, id: WorkerId) -> Option<&mut Worker> {
        self.workers.get_mut(id.0 as usize)
    }

    /// The worker with this id.
    ///
    /// # Panics
    ///
    /// Panics if the worker is not in the table.
    pub fn get(&self, id: WorkerId) -> &Worker {
        &self.workers[id.0 as usize]
    }

    /// All workers, in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = &Worker> {
        self.workers.iter()
    }

    /// Applies an endpoint list. Workers that are missing from a complete list are no longer listed.
    pub fn update_list(&mut self, kind: ListKind, entries: &[EndpointEntry]) {
        if kind != ListKind::Delta {
            self.workers.iter_mut().for_each(|worker| worker.listed = None);
        }
        for entry in entries {
            self.touch(entry.worker).update_entry(entry);
        }
    }

    /// The list entries of the ready workers, in the order of their ids.
    pub fn ready_entries(&self) -> Vec<EndpointEntry> {
        self.workers.iter().filter_map(Worker::ready_entry).collect()
    }

    /// The load that this dispatcher advertises: its outstanding attempts at listed workers, and which of these are suspect.
    pub fn own_loads(&mut self) -> Vec<OwnLoad> {
        let workers = &self.workers;
        self.touched.retain(|id| workers[id.0 as usize].has_something_to_advertise());
        self.touched.iter().filter_map(|id| workers[id.0 as usize].own_load()).collect()
    }
}
