//! The endpoint list of the scripted discovery service: its generations, and their changes.

use crate::fleet::event_log::{Event, Lifecycle, NotifiedEndpoint};
use serde_json::{Value, json};
use std::net::SocketAddr;

/// An endpoint of the list, without its address, which is different for each dispatcher.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// The worker's name.
    pub name: String,
    /// The worker's zone.
    pub zone: String,
    /// The worker's kind.
    pub kind: String,
    /// The worker's cell.
    pub cell: u32,
    /// The worker's lifecycle.
    pub lifecycle: Lifecycle,
    /// The worker's weight.
    pub weight: f64,
    /// The worker's last start, in Unix milliseconds; 0 for long ago.
    pub started_ms: u64,
}

/// A list for one dispatcher, and the event of the dispatcher's notification.
pub(super) struct ListFor {
    pub(super) generation: u64,
    pub(super) list: Value,
    pub(super) notified: Event,
}

/// The endpoints by worker, with the generation of each one's last change.
pub(super) struct EndpointTable {
    generation: u64,
    /// The first generation after which all changes are known. A watch from an earlier generation gets the full list.
    first_known: u64,
    endpoints: Vec<Endpoint>,
    /// The generation at which each endpoint last changed.
    changed: Vec<u64>,
    /// The addresses, by dispatcher and then by worker.
    addresses: Vec<Vec<SocketAddr>>,
}

impl EndpointTable {
    /// `addresses[dispatcher][worker]` is the address of a worker for a dispatcher.
    pub(super) fn new(endpoints: Vec<Endpoint>, addresses: Vec<Vec<SocketAddr>>) -> EndpointTable {
        let changed = vec![1; endpoints.len()];
        EndpointTable { generation: 1, first_known: 1, endpoints, changed, addresses }
    }

    pub(super) fn generation(&self) -> u64 {
        self.generation
    }

    /// Changes an endpoint, which begins a new generation. Returns the event of the change.
    pub(super) fn change(&mut self, worker: usize, change: impl FnOnce(&mut Endpoint)) -> Event {
        change(&mut self.endpoints[worker]);
        self.generation += 1;
        self.changed[worker] = self.generation;
        Event::EndpointChanged { generation: self.generation, endpoint: self.notified_endpoint(worker) }
    }

    /// Forgets all changes so far.
    pub(super) fn forget_changes(&mut self) {
        self.first_known = self.generation + 1;
    }

    /// The list for a dispatcher: the changes after a generation; the full list if no generation is given, or if the changes
    /// after it are not known.
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
