//! The endpoint table: discovery's list of workers, under the numbers that the decision module knows them by.

use super::clock::UnixClock;
use super::idempotency::AttemptRecord;
use crate::config::{EndpointList, EndpointRow, Lifecycle, SiteNames};
use crate::policy::interface::{CellId, EndpointEntry, Status, WorkerId};
use crate::policy::settings_map::tag;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

/// A worker. Its number is never given to another.
#[derive(Clone, Debug)]
pub struct Endpoint {
    row: EndpointRow,
    address: SocketAddr,
}

impl Endpoint {
    /// Its row, as discovery last sent it; as removed, if it is off discovery's list.
    pub fn row(&self) -> &EndpointRow {
        &self.row
    }

    /// The name by which workers and dispatchers know it.
    pub fn instance_id(&self) -> &str {
        &self.row.instance_id
    }

    /// The address that it listens at.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Whether it takes work, by discovery's list.
    pub fn takes_work(&self) -> bool {
        self.row.lifecycle == Lifecycle::Up
    }

    /// Whether it is off discovery's list.
    pub fn is_removed(&self) -> bool {
        self.row.lifecycle == Lifecycle::Removed
    }
}

/// Where a list came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListSource {
    /// The first list of a watch: the changes since the version held here, or the whole list.
    WatchStart,
    /// A later list of a watch.
    WatchUpdate,
    /// The response to a call for the whole list, which may cross a watch's lists.
    FullList,
}

/// Why a list is rejected. Nothing of it is applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListRejection {
    /// It is a whole list without workers though some are known: discovery has lost its table, not the fleet its workers.
    Empty,
    /// It is older than what is held: delayed, or a duplicate.
    Stale,
    /// A new watch was answered with changes up to an older version than the one asked after: the service has begun to count
    /// again. From now on its versions mean nothing beside the one that was held.
    GenerationReset,
    /// It has changes where the whole list was asked for.
    Partial,
}

/// All workers ever listed, the list's version, and what of it could not be used.
#[derive(Debug, Default)]
pub struct EndpointTable {
    endpoints: Vec<Endpoint>,
    ids: HashMap<String, WorkerId>,
    generation: u64,
    bad_rows: u64,
    stale_lists: u64,
    is_stale: bool,
}

impl EndpointTable {
    /// The version of the list that is held; 0 where the next call to discovery is to ask for everything.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Rows that could not be used, since the start.
    pub fn bad_rows(&self) -> u64 {
        self.bad_rows
    }

    /// Lists rejected for being older than what was held, since the start.
    pub fn stale_lists(&self) -> u64 {
        self.stale_lists
    }

    /// Whether its rows were known before the start and are still to be revalidated: for the decision module none of them takes
    /// work.
    pub fn is_stale(&self) -> bool {
        self.is_stale
    }

    /// The rows are to be revalidated, see [`EndpointTable::is_stale`].
    pub(super) fn mark_stale(&mut self) {
        self.is_stale = true;
    }

    /// The rows count as they are. Returns whether they were to be revalidated.
    pub(super) fn clear_stale(&mut self) -> bool {
        std::mem::take(&mut self.is_stale)
    }

    /// The version that is held means nothing any more: the next call to discovery asks for everything.
    pub(super) fn forget_generation(&mut self) {
        self.generation = 0;
    }

    /// The worker of this instance id.
    pub fn find(&self, instance_id: &str) -> Option<WorkerId> {
        self.ids.get(instance_id).copied()
    }

    /// The worker of a recorded attempt. One that is on no list any more gets a number and a placeholder row: what was sent to it
    /// still counts.
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
        self.add(Endpoint { row, address })
    }

    fn add(&mut self, endpoint: Endpoint) -> WorkerId {
        let id = WorkerId(self.endpoints.len() as u32);
        self.ids.insert(endpoint.row.instance_id.clone(), id);
        self.endpoints.push(endpoint);
        id
    }

    /// The worker of this number.
    pub fn get(&self, worker: WorkerId) -> Option<&Endpoint> {
        self.endpoints.get(worker.0 as usize)
    }

    /// How many workers take work.
    pub fn ready(&self) -> usize {
        self.endpoints.iter().filter(|endpoint| endpoint.takes_work()).count()
    }

    /// The table as rows of discovery's list; workers that are off it are removed ones.
    pub fn rows(&self) -> Vec<EndpointRow> {
        self.endpoints.iter().map(|endpoint| endpoint.row.clone()).collect()
    }

    /// How many workers are on discovery's list.
    pub fn listed(&self) -> usize {
        self.endpoints.iter().filter(|endpoint| !endpoint.is_removed()).count()
    }

    /// Every worker ever listed, by number.
    pub fn iter(&self) -> impl Iterator<Item = (WorkerId, &Endpoint)> {
        (0..).map(WorkerId).zip(&self.endpoints)
    }

    /// Checks whether a list from this source may be applied, and counts one that may not.
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

    /// Why a list from this source is to be rejected, if it is. This is the one place that says which version may follow which:
    /// nothing takes the table back to an older version but a whole list in answer to a new watch, for a service that was
    /// restarted begins to count again.
    fn rejection(&self, list: &EndpointList, source: ListSource) -> Option<ListRejection> {
        let is_older = list.generation < self.generation;
        match source {
            _ if list.reset && list.rows.is_empty() && self.listed() > 0 => Some(ListRejection::Empty),
            ListSource::FullList if !list.reset => Some(ListRejection::Partial),
            ListSource::WatchStart if list.reset => None,
            ListSource::WatchStart if is_older => Some(ListRejection::GenerationReset),
            _ if is_older => Some(ListRejection::Stale),
            _ => None,
        }
    }

    /// Applies a list. Returns the workers that it names, in its order.
    pub(super) fn apply(&mut self, list: &EndpointList) -> Vec<WorkerId> {
        self.generation = list.generation;
        self.bad_rows += list.bad_rows;
        if list.reset {
            self.remove_unlisted(list);
        }
        let mut workers = Vec::with_capacity(list.rows.len());
        for row in &list.rows {
            let worker = self.upsert(row);
            if worker.is_none() {
                self.bad_rows += 1;
            }
            workers.extend(worker.or_else(|| self.find(&row.instance_id)));
        }
        // A row that cannot be used changes nothing: its worker stays as it is.
        workers.extend(list.unread.iter().filter_map(|name| self.find(name)));
        workers
    }

    /// Removes the workers that a whole list does not name.
    fn remove_unlisted(&mut self, list: &EndpointList) {
        let readable = list.rows.iter().map(|row| &row.instance_id);
        let listed: HashSet<&String> = readable.chain(&list.unread).collect();
        for endpoint in &mut self.endpoints {
            if !listed.contains(&endpoint.row.instance_id) {
                endpoint.row.lifecycle = Lifecycle::Removed;
            }
        }
    }

    /// A worker as the decision module's list has it.
    pub(super) fn to_entry(
        &self,
        worker: WorkerId,
        names: &mut SiteNames,
        clock: UnixClock,
    ) -> Option<EndpointEntry> {
        let Endpoint { row, .. } = self.get(worker)?;
        Some(EndpointEntry {
            worker,
            tag: tag(&row.instance_id),
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

    /// Adds a row's worker, or updates its row and address. `None` where a row names no address and its worker has none, or
    /// needs one to take work.
    fn upsert(&mut self, row: &EndpointRow) -> Option<WorkerId> {
        let address = row.host_port.parse::<SocketAddr>().ok();
        let Some(id) = self.find(&row.instance_id) else {
            return Some(self.add(Endpoint { row: row.clone(), address: address? }));
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
