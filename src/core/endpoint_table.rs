//! The endpoint table: the workers on discovery's list, under the ids that the decision module uses.

use super::clock::UnixClock;
use super::idempotency::AttemptRecord;
use crate::config::{EndpointList, EndpointRow, Lifecycle, NameTable};
use crate::policy::interface::{CellId, EndpointEntry, Status, WorkerId};
use crate::policy::settings_map::hash_name;
use std::collections::HashMap;
use std::net::SocketAddr;

/// A worker in the table. The id of a worker is never reused.
#[derive(Clone, Debug)]
pub struct Endpoint {
    row: EndpointRow,
    address: SocketAddr,
    /// The number of the last list with a row of the worker.
    listed_in: u64,
}

impl Endpoint {
    /// The worker's row as discovery last sent it, with the lifecycle `removed` if the worker is no longer on the list.
    pub fn row(&self) -> &EndpointRow {
        &self.row
    }

    /// The name that identifies the worker at all dispatchers and workers.
    pub fn instance_id(&self) -> &str {
        &self.row.instance_id
    }

    /// The address that the worker listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Whether the worker takes work according to discovery's list.
    pub fn takes_work(&self) -> bool {
        self.row.lifecycle == Lifecycle::Up
    }

    /// Whether the worker is no longer on discovery's list.
    pub fn is_removed(&self) -> bool {
        self.row.lifecycle == Lifecycle::Removed
    }
}

/// The call that a list came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListSource {
    /// The first list of a watch: a delta since the generation of this table, or a snapshot.
    WatchStart,
    /// A later list of a watch.
    WatchUpdate,
    /// The response to a poll of the whole list, which may overlap with lists of a watch.
    FullList,
}

/// Why a list is rejected. No part of a rejected list is applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListRejection {
    /// The list is an empty snapshot although workers are known: discovery has lost its table, but the workers still exist.
    Empty,
    /// The list is older than this table: it is delayed or a duplicate.
    Stale,
    /// A new watch was answered with a delta of an older generation than the requested one: the service has restarted its
    /// numbering, so its generations cannot be compared with that of this table.
    GenerationReset,
    /// The list is a delta although a snapshot was requested.
    Partial,
}

/// All workers ever listed, the generation of the last applied list, and counts of unusable rows and lists.
#[derive(Debug, Default)]
pub struct EndpointTable {
    endpoints: Vec<Endpoint>,
    ids: HashMap<String, WorkerId>,
    generation: u64,
    /// The number of the list that is being applied, or was applied last.
    list_number: u64,
    bad_rows: u64,
    stale_lists: u64,
    is_stale: bool,
}

impl EndpointTable {
    /// The generation of the last applied list; 0 if the next call must request a snapshot.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// The number of rows since the start that could not be used.
    pub fn bad_rows(&self) -> u64 {
        self.bad_rows
    }

    /// The number of lists since the start that were rejected as older than the table.
    pub fn stale_lists(&self) -> u64 {
        self.stale_lists
    }

    /// Whether the rows date from before the start and must be revalidated. Until then, no worker is listed as
    /// ready to the decision module.
    pub fn is_stale(&self) -> bool {
        self.is_stale
    }

    /// Marks the rows as stale, see [`EndpointTable::is_stale`].
    pub(super) fn mark_stale(&mut self) {
        self.is_stale = true;
    }

    /// Marks the rows as valid. Returns whether they were stale.
    pub(super) fn clear_stale(&mut self) -> bool {
        std::mem::take(&mut self.is_stale)
    }

    /// Forgets the generation, so that the next call to discovery requests a snapshot.
    pub(super) fn forget_generation(&mut self) {
        self.generation = 0;
    }

    /// The worker with this instance id.
    pub fn find(&self, instance_id: &str) -> Option<WorkerId> {
        self.ids.get(instance_id).copied()
    }

    /// The worker of a recorded attempt. A worker that is not in the table gets an id and a placeholder row, because its attempts
    /// still count.
    pub(super) fn id_or_placeholder(&mut self, attempt: &AttemptRecord) -> WorkerId {
        if let Some(id) = self.find(&attempt.worker) {
            return id;
        }
        let row = EndpointRow {
            instance_id: attempt.worker.clone(),
            host_port: String::new(),
            zone: attempt.zone.clone(),
            machine_type: String::new(),
            cell: attempt.cell,
            lifecycle: Lifecycle::Removed,
            weight: None,
            started_at_ms: 0.0,
        };
        let address = SocketAddr::from(([0, 0, 0, 0], 0));
        self.add(row, address)
    }

    fn add(&mut self, row: EndpointRow, address: SocketAddr) -> WorkerId {
        let id = WorkerId(self.endpoints.len() as u32);
        self.ids.insert(row.instance_id.clone(), id);
        self.endpoints.push(Endpoint { row, address, listed_in: self.list_number });
        id
    }

    /// The worker with this id.
    pub fn get(&self, worker: WorkerId) -> Option<&Endpoint> {
        self.endpoints.get(worker.0 as usize)
    }

    /// The number of workers that take work.
    pub fn ready_count(&self) -> usize {
        self.endpoints.iter().filter(|endpoint| endpoint.takes_work()).count()
    }

    /// The table as rows of a list. Workers that are no longer on discovery's list have the lifecycle `removed`.
    pub fn rows(&self) -> Vec<EndpointRow> {
        self.endpoints.iter().map(|endpoint| endpoint.row.clone()).collect()
    }

    /// The number of workers on discovery's list.
    pub fn listed_count(&self) -> usize {
        self.endpoints.iter().filter(|endpoint| !endpoint.is_removed()).count()
    }

    /// Every worker ever listed, in order of id.
    pub fn iter(&self) -> impl Iterator<Item = (WorkerId, &Endpoint)> {
        (0..).map(WorkerId).zip(&self.endpoints)
    }

    /// Checks whether a list from this source may be applied. Lists of an older generation are counted.
    ///
    /// # Errors
    /// [`ListRejection`] if the list may not be applied.
    pub(super) fn check(&mut self, list: &EndpointList, source: ListSource) -> Result<(), ListRejection> {
        let Some(rejection) = self.rejection(list, source) else { return Ok(()) };
        if matches!(rejection, ListRejection::Stale | ListRejection::GenerationReset) {
            self.stale_lists += 1;
        }
        if rejection == ListRejection::GenerationReset {
            self.forget_generation();
        }
        Err(rejection)
    }

    /// The reason to reject a list from this source; `None` if the list may be applied. No other function decides which
    /// generation may follow which. Only a snapshot in answer to a new watch may set the table back to an older generation,
    /// because a restarted service begins its numbering again.
    fn rejection(&self, list: &EndpointList, source: ListSource) -> Option<ListRejection> {
        let is_older = list.generation < self.generation;
        match source {
            _ if list.reset && list.rows.is_empty() && self.listed_count() > 0 => Some(ListRejection::Empty),
            ListSource::FullList if !list.reset => Some(ListRejection::Partial),
            ListSource::WatchStart if list.reset => None,
            ListSource::WatchStart if is_older => Some(ListRejection::GenerationReset),
            _ if is_older => Some(ListRejection::Stale),
            _ => None,
        }
    }

    /// Begins to apply a list, whose rows follow by [`EndpointTable::apply_row`].
    pub(super) fn begin_list(&mut self) {
        self.list_number += 1;
    }

    /// Applies a row of the list. Returns its worker if the decision module must be notified: the row is new, has changed, or
    /// cannot be used.
    pub(super) fn apply_row(&mut self, row: &EndpointRow) -> Option<WorkerId> {
        let known = self.find(&row.instance_id);
        if let Some(worker) = known {
            let endpoint = &mut self.endpoints[worker.0 as usize];
            endpoint.listed_in = self.list_number;
            if endpoint.row == *row {
                return None;
            }
        }
        let worker = self.upsert(row);
        if worker.is_none() {
            self.bad_rows += 1;
        }
        worker.or(known)
    }

    /// Ends a list whose rows have been applied. Returns the workers that it concerns besides: those with an invalid row, which
    /// stay unchanged, and, for a snapshot, those that it lacks and that are removed.
    pub(super) fn finish_list(&mut self, list: &EndpointList) -> Vec<WorkerId> {
        self.generation = list.generation;
        self.bad_rows += list.bad_rows;
        let invalid = list.workers_with_invalid_rows.iter();
        let mut concerned: Vec<WorkerId> = invalid.filter_map(|name| self.find(name)).collect();
        for worker in &concerned {
            self.endpoints[worker.0 as usize].listed_in = self.list_number;
        }
        if list.reset {
            concerned.extend(self.remove_unlisted());
        }
        concerned
    }

    /// Marks the workers without a row in this list as removed, and returns those that were listed before.
    fn remove_unlisted(&mut self) -> Vec<WorkerId> {
        let mut removed = Vec::new();
        for (id, endpoint) in (0..).map(WorkerId).zip(&mut self.endpoints) {
            if endpoint.listed_in != self.list_number && !endpoint.is_removed() {
                endpoint.row.lifecycle = Lifecycle::Removed;
                removed.push(id);
            }
        }
        removed
    }

    /// Converts a worker to an entry of the decision module's endpoint list; `None` if the id is unknown.
    pub(super) fn to_entry(
        &self,
        worker: WorkerId,
        names: &mut NameTable,
        clock: UnixClock,
    ) -> Option<EndpointEntry> {
        let Endpoint { row, .. } = self.get(worker)?;
        Some(EndpointEntry {
            worker,
            tag: hash_name(&row.instance_id),
            zone: names.intern_zone(&row.zone),
            kind: names.intern_kind(&row.machine_type),
            cell: CellId(row.cell),
            status: match row.lifecycle {
                Lifecycle::Up if self.is_stale => Status::Draining,
                Lifecycle::Up => Status::Ready,
                Lifecycle::Draining => Status::Draining,
                Lifecycle::Removed => Status::Gone,
            },
            weight: row.weight.filter(|weight| weight.is_finite() && *weight > 0.0).unwrap_or(1.0),
            started_at: clock.module_time_of_millis(row.started_at_ms),
        })
    }

    /// Adds the worker of a row, or updates its row and address. Returns `None` if the row has no valid address but needs one,
    /// because its worker is new or is to take work.
    fn upsert(&mut self, row: &EndpointRow) -> Option<WorkerId> {
        let address = row.host_port.parse::<SocketAddr>().ok();
        let Some(id) = self.find(&row.instance_id) else {
            return Some(self.add(row.clone(), address?));
        };
        if row.lifecycle == Lifecycle::Up && address.is_none() {
            return None;
        }
        let endpoint = &mut self.endpoints[id.0 as usize];
        endpoint.address = address.unwrap_or(endpoint.address);
        endpoint.row = EndpointRow { host_port: endpoint.address.to_string(), ..row.clone() };
        Some(id)
    }
}
