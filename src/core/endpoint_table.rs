//! The server table: discovery's list under the numbers that the module knows.

use crate::config::{EndpointList, EndpointRow, Lifecycle};
use crate::policy::interface::*;
use crate::policy::settings_map::{Names, tag};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

/// A worker as the table holds it. Its number is never given to another.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Its row, as discovery last worded it.
    pub row: EndpointRow,
    /// Where it listens.
    pub address: SocketAddr,
    /// Since when it has been known not to take work.
    pub stopped: Option<Micros>,
    /// Whether it is gone.
    pub removed: bool,
}

/// How a list came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListSource {
    /// The first list of a watch: the changes since the version that is held, or the whole list.
    WatchStart,
    /// A later one.
    WatchUpdate,
    /// The answer to a call for the whole list, which travels beside a watch.
    FullList,
}

/// Why a list is not taken in. Nothing of it counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListRejection {
    /// A whole list names nobody though some are known: discovery has lost its table, not the fleet its workers.
    Empty,
    /// It is older than what is held: late, or said twice.
    Stale,
    /// A new call was answered with changes up to an older version than the one asked after: the service counts anew. From now
    /// on its versions mean nothing beside the one that was held.
    GenerationReset,
    /// Changes came where the whole list was asked for.
    Partial,
}

/// The table, and what discovery said that could not be read.
#[derive(Debug, Default)]
pub struct EndpointTable {
    endpoints: Vec<Endpoint>,
    ids: HashMap<String, WorkerId>,
    /// The version of the list that is held.
    pub generation: u64,
    /// Rows dropped since the start.
    pub bad_rows: u64,
    /// Lists that were older than what was held, and not taken in.
    pub stale_lists: u64,
    /// Its rows were known before the start and are still to be revalidated: for the module none of them takes work.
    pub stale: bool,
}

impl EndpointTable {
    /// The worker of this name.
    pub fn find(&self, instance_id: &str) -> Option<WorkerId> {
        self.ids.get(instance_id).copied()
    }

    /// The number of a worker that may be on no list any more: what was sent to it is still to be reckoned with.
    pub(crate) fn id_or_placeholder(&mut self, sent: &super::idempotency::AttemptRecord) -> WorkerId {
        if let Some(id) = self.find(&sent.worker) {
            return id;
        }
        let row = EndpointRow {
            instance_id: sent.worker.clone(),
            host_port: String::new(),
            zone: sent.zone.clone(),
            machine_type: String::new(),
            cell: sent.cell,
            lifecycle: Lifecycle::Removed,
            weight: None,
            started_at_ms: 0.0,
        };
        let id = WorkerId(self.endpoints.len() as u32);
        let address = SocketAddr::from(([0, 0, 0, 0], 0));
        self.endpoints.push(Endpoint { row, address, stopped: Some(0), removed: true });
        self.ids.insert(sent.worker.clone(), id);
        id
    }

    /// The worker of this number.
    pub fn get(&self, worker: WorkerId) -> Option<&Endpoint> {
        self.endpoints.get(worker.0 as usize)
    }

    /// How many workers take work.
    pub fn ready(&self) -> usize {
        self.endpoints.iter().filter(|s| s.stopped.is_none()).count()
    }

    /// The table in discovery's form, with those that are gone.
    pub fn rows(&self) -> Vec<EndpointRow> {
        let worded = |s: &Endpoint| match s.removed {
            true => EndpointRow { lifecycle: Lifecycle::Removed, ..s.row.clone() },
            false => s.row.clone(),
        };
        self.endpoints.iter().map(worded).collect()
    }

    /// How many workers are in discovery's list.
    pub fn listed(&self) -> usize {
        self.endpoints.iter().filter(|s| !s.removed).count()
    }

    /// Every worker ever named, by number.
    pub fn iter(&self) -> impl Iterator<Item = (WorkerId, &Endpoint)> {
        self.endpoints.iter().enumerate().map(|(n, s)| (WorkerId(n as u32), s))
    }

    /// Whether a list that came in this way is not to be taken in, and why. This is the one place that says which version may
    /// follow which: nothing takes the table back but a whole list with which a service answers a new call, for one that has
    /// started anew counts anew.
    pub(crate) fn rejection(&mut self, list: &EndpointList, source: ListSource) -> Option<ListRejection> {
        let older = list.generation < self.generation;
        let why = match source {
            _ if list.reset && list.rows.is_empty() && self.listed() > 0 => ListRejection::Empty,
            ListSource::FullList if !list.reset => ListRejection::Partial,
            ListSource::WatchStart if list.reset => return None,
            ListSource::WatchStart if older => ListRejection::GenerationReset,
            _ if older => ListRejection::Stale,
            _ => return None,
        };
        self.stale_lists += u64::from(matches!(why, ListRejection::Stale | ListRejection::GenerationReset));
        if why == ListRejection::GenerationReset {
            self.generation = 0; // the next call asks for everything
        }
        Some(why)
    }

    /// Takes a list in that counts as told since `now`. Returns the workers that it names, in its order.
    pub(crate) fn apply(&mut self, now: Micros, list: &EndpointList) -> Vec<WorkerId> {
        self.generation = list.generation;
        self.bad_rows += list.bad_rows;
        if list.reset {
            // Whoever a whole list does not name is gone.
            let rows = list.rows.iter().map(|row| &row.instance_id);
            let named: HashSet<&String> = rows.chain(&list.unread).collect();
            for server in self.endpoints.iter_mut().filter(|s| !named.contains(&s.row.instance_id)) {
                server.stopped.get_or_insert(now);
                server.removed = true;
            }
        }
        let mut workers = Vec::with_capacity(list.rows.len());
        for row in &list.rows {
            let Some(worker) = self.enter(row) else {
                self.bad_rows += 1;
                workers.extend(self.find(&row.instance_id));
                continue;
            };
            let server = &mut self.endpoints[worker.0 as usize];
            server.removed = row.lifecycle == Lifecycle::Removed;
            server.stopped = match row.lifecycle {
                Lifecycle::Up => None,
                _ => server.stopped.or(Some(now)),
            };
            workers.push(worker);
        }
        // A row that cannot be used changes nothing: its worker stays as it is held.
        workers.extend(list.unread.iter().filter_map(|name| self.find(name)));
        workers
    }

    /// Words a worker for the module. `since_unix` turns Unix time in milliseconds into the module's time.
    pub(crate) fn to_entry(
        &self,
        worker: WorkerId,
        names: &mut Names,
        since_unix: impl Fn(f64) -> Option<Micros>,
    ) -> Option<EndpointEntry> {
        let Endpoint { row, removed, .. } = self.get(worker)?;
        Some(EndpointEntry {
            worker,
            tag: tag(&row.instance_id),
            zone: ZoneId(names.zones.id(&row.zone) as u16),
            kind: KindId(names.kinds.id(&row.machine_type) as u16),
            cell: CellId(row.cell),
            status: match row.lifecycle {
                _ if *removed => Status::Gone,
                Lifecycle::Up if self.stale => Status::Draining,
                Lifecycle::Up => Status::Ready,
                Lifecycle::Draining => Status::Draining,
                Lifecycle::Removed => Status::Gone,
            },
            weight: row.weight.filter(|w| w.is_finite() && *w > 0.0).unwrap_or(1.0),
            started_at: Some(row.started_at_ms).filter(|ms| *ms > 0.0).and_then(since_unix),
        })
    }

    /// The number of a row's worker; a known one may have a new address. None where the row names no address
    /// and the worker has none.
    fn enter(&mut self, row: &EndpointRow) -> Option<WorkerId> {
        let address = row.host_port.parse::<SocketAddr>().ok();
        if let Some(id) = self.ids.get(&row.instance_id) {
            let server = &mut self.endpoints[id.0 as usize];
            if row.lifecycle == Lifecycle::Up && address.is_none() {
                return None;
            }
            server.address = address.unwrap_or(server.address);
            server.row = EndpointRow { host_port: server.address.to_string(), ..row.clone() };
            return Some(*id);
        }
        let id = WorkerId(self.endpoints.len() as u32);
        self.endpoints.push(Endpoint { row: row.clone(), address: address?, stopped: None, removed: false });
        self.ids.insert(row.instance_id.clone(), id);
        Some(id)
    }
}
