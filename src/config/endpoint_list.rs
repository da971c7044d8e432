//! Discovery's endpoint list, in its JSON form.

use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::HashMap;

/// One row of an endpoint list.
#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(rename_all = "camelCase")]
pub struct EndpointRow {
    /// The worker's name, which is the same at every dispatcher.
    pub instance_id: String,
    /// The worker's address, with port, as reachable from this dispatcher.
    #[serde(default)]
    pub host_port: String,
    /// The worker's zone.
    #[serde(default)]
    pub zone: String,
    /// The worker's kind of machine.
    #[serde(default)]
    pub machine_type: String,
    /// The worker's cell.
    #[serde(default)]
    pub cell: u32,
    /// The worker's lifecycle state: `up`, `draining` or `removed`.
    pub lifecycle: Lifecycle,
    /// The worker's size relative to others.
    #[serde(default)]
    pub weight: Option<f64>,
    /// When the worker last started, in milliseconds of Unix time; 0 if the time is unset, which counts as long ago.
    #[serde(default)]
    pub started_at_ms: f64,
}

/// The lifecycle state of a worker, according to discovery.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Lifecycle {
    /// The worker takes work.
    Up,
    /// The worker takes no new work and finishes the work that it has.
    Draining,
    /// The worker is removed from the list.
    Removed,
}

/// An endpoint list: a snapshot or a delta.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct EndpointList {
    /// The generation of the list: its version number.
    pub generation: u64,
    /// Whether the list is a snapshot; otherwise it is a delta.
    pub reset: bool,
    /// The valid rows.
    pub rows: Vec<EndpointRow>,
    /// The names of the workers with invalid rows.
    #[serde(default, rename = "unread")]
    pub workers_with_invalid_rows: Vec<String>,
    /// The number of dropped rows: invalid ones, and those that a later row of the same worker replaced.
    pub bad_rows: u64,
}

impl EndpointList {
    /// Parses a list from discovery's JSON. Invalid rows are dropped and counted. If a worker has several rows, the last one
    /// replaces the others, at the position of the first. Returns `None` if the object itself is invalid.
    pub fn from_json(value: &Value) -> Option<EndpointList> {
        let generation = value.get("generation")?.as_u64()?;
        let reset = value.get("reset")?.as_bool()?;
        let mut rows = RowCollector::default();
        value.get("instances")?.as_array()?.iter().for_each(|row| rows.push(row));
        Some(rows.into_list(generation, reset, 0))
    }
}

/// Collects the rows of a list in the order of their workers' first rows.
#[derive(Debug, Default)]
pub(super) struct RowCollector {
    rows: Vec<EndpointRow>,
    index_by_worker: HashMap<String, usize>,
    workers_with_invalid_rows: Vec<String>,
    bad_rows: u64,
}

impl RowCollector {
    /// Adds the row with this text. Returns false if the text is not JSON.
    pub(super) fn push_text(&mut self, text: &[u8]) -> bool {
        match serde_json::from_slice::<EndpointRow>(text) {
            Ok(row) if !row.instance_id.is_empty() => self.push_row(row),
            _ => match serde_json::from_slice::<Value>(text) {
                Ok(value) => self.push(&value),
                Err(_) => return false,
            },
        }
        true
    }

    /// Adds a row. An invalid one is counted, and its worker is noted.
    fn push(&mut self, value: &Value) {
        if let Some(row) = read_row(value) {
            return self.push_row(row);
        }
        self.bad_rows += 1;
        let name = value.get("instanceId").and_then(Value::as_str);
        self.workers_with_invalid_rows.extend(name.map(str::to_owned));
    }

    /// Adds a valid row, which replaces an earlier one of the same worker.
    fn push_row(&mut self, row: EndpointRow) {
        if let Some(index) = self.index_by_worker.get(&row.instance_id) {
            self.rows[*index] = row;
            self.bad_rows += 1;
            return;
        }
        self.index_by_worker.insert(row.instance_id.clone(), self.rows.len());
        self.rows.push(row);
    }

    /// The list of these rows. `nameless` rows more were invalid and had no name.
    pub(super) fn into_list(self, generation: u64, reset: bool, nameless: u64) -> EndpointList {
        let RowCollector { rows, workers_with_invalid_rows, bad_rows, .. } = self;
        EndpointList { generation, reset, rows, workers_with_invalid_rows, bad_rows: bad_rows + nameless }
    }
}

fn read_row(value: &Value) -> Option<EndpointRow> {
    EndpointRow::deserialize(value).ok().filter(|row| !row.instance_id.is_empty())
}
