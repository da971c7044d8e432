//! The endpoint list of the scripted discovery service: its generations, and what changed in each.

use crate::fleet::event_log::{Event, Lifecycle, NotifiedEndpoint};
use serde_json::{Value, json};
use std::net::SocketAddr;

/// An endpoint of the list, without its address, which each dispatcher has its own of.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// The worker's name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Its kind.
    pub kind: String,
    /// Its cell.
    pub cell: u32,
    /// Its lifecycle.
    pub lifecycle: Lifecycle,
    /// Its weight.
    pub weight: f64,
    /// Its last start in Unix milliseconds, 0 for long ago.
    pub started_ms: u64,
}

/// A list as one dispatcher gets it, and the event that this dispatcher was notified.
pub(super) struct ListFor {
    pub(super) generation: u64,
    pub(super) list: Value,
    pub(super) notified: Event,
}

/// The endpoints by worker, and when each changed.
pub(super) struct EndpointTable {
    generation: u64,
    /// The first generation after which changes are known; before it a watch gets the full list.
    first_known: u64,
    endpoints: Vec<Endpoint>,
    /// At which generation each endpoint changed last.
    changed: Vec<u64>,
    /// By dispatcher, then by worker.
    addresses: Vec<Vec<SocketAddr>>,
}

impl EndpointTable {
    /// `addresses[dispatcher][worker]` is where a dispatcher finds a worker.
    pub(super) fn new(endpoints: Vec<Endpoint>, addresses: Vec<Vec<SocketAddr>>) -> EndpointTable {
        let changed = vec![1; endpoints.len()];
        EndpointTable { generation: 1, first_known: 1, endpoints, changed, addresses }
    }

    pub(super) fn generation(&self) -> u64 {
        self.generation
    }

    /// Changes an endpoint, which makes a new generation, and returns the event that says so.
    pub(super) fn change(&mut self, worker: usize, change: impl FnOnce(&mut Endpoint)) -> Event {
        change(&mut self.endpoints[worker]);
        self.generation += 1;
        self.changed[worker] = self.generation;
        Event::EndpointChanged { generation: self.generation, endpoint: self.notified_endpoint(worker) }
    }

    /// From now on the changes so far are not known.
    pub(super) fn forget_changes(&mut self) {
        self.first_known = self.generation + 1;
    }

    /// The list for a dispatcher: the changes after a generation, or the full list if there is none or it is not known.
    pub(super) fn list_for(&self, dispatcher: usize, after: Option<u64>) -> ListFor {
        let after = after.filter(|after| (self.first_known..=self.generation).contains(after));
        let is_full = after.is_none();
        let (mut instances, mut endpoints) = (Vec::new(), Vec::new());
        for (worker, endpoint) in self.endpoints.iter().enumerate() {
            let is_wanted = match after {
                Some(after) => self.changed[worker] > after,
                None => endpoint.lifecycle != Lifecycle::Removed,
            };
            if !is_wanted {
                continue;
            }
            let address = self.addresses[dispatcher][worker].to_string();
            instances.push(json!({
                "instanceId": endpoint.name, "hostPort": address, "zone": endpoint.zone,
                "machineType": endpoint.kind, "cell": endpoint.cell,
                "lifecycle": endpoint.lifecycle.as_str(), "weight": endpoint.weight,
                "startedAtMs": endpoint.started_ms}));
            endpoints.push(self.notified_endpoint(worker));
        }
        let generation = self.generation;
        let list = json!({"generation": generation, "reset": is_full, "instances": instances});
        ListFor { generation, list, notified: Event::Notified { dispatcher, generation, is_full, endpoints } }
    }

    fn notified_endpoint(&self, worker: usize) -> NotifiedEndpoint {
        let endpoint = &self.endpoints[worker];
        NotifiedEndpoint { worker, lifecycle: endpoint.lifecycle, started_ms: endpoint.started_ms }
    }
}
