//! Faults of connections and workers in a fleet: cuts, partitions and deaths.

use super::Fleet;
use super::event_log::Lifecycle;
use super::link::{ConnectBehavior, Link, LinkFaults};
use super::partition::{CutSides, PartitionSide, cut_sides};
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

/// The links of all dispatchers, by number.
pub(super) struct FleetLinks {
    /// The links to workers, by dispatcher and then by worker.
    pub(super) to_workers: Vec<Vec<Arc<Link>>>,
    pub(super) to_discovery: Vec<Arc<Link>>,
}

impl Fleet {
    /// The link from a dispatcher to a worker.
    pub fn link(&self, dispatcher: usize, worker: usize) -> &Link {
        &self.links.to_workers[dispatcher][worker]
    }

    /// The link from a dispatcher to the discovery service.
    pub fn discovery_link(&self, dispatcher: usize) -> &Link {
        &self.links.to_discovery[dispatcher]
    }

    /// Cuts the links between these dispatchers and workers, or ends the cuts.
    pub fn set_cut(&self, dispatchers: &[usize], workers: &[usize], is_cut: bool) {
        for dispatcher in dispatchers {
            for worker in workers {
                self.link(*dispatcher, *worker).set_cut(is_cut);
            }
        }
    }

    /// Cuts the links of all dispatchers to a worker, or ends the cuts.
    pub fn set_worker_cut(&self, worker: usize, is_cut: bool) {
        self.set_cut(&self.all(), &[worker], is_cut);
    }

    /// Cuts the links of these dispatchers to the discovery service, or ends the cuts.
    pub fn set_discovery_cut(&self, dispatchers: &[usize], is_cut: bool) {
        dispatchers.iter().for_each(|dispatcher| self.discovery_link(*dispatcher).set_cut(is_cut));
    }

    /// Partitions the network into these sides: datagrams, and connections to workers and to the discovery service. Members
    /// on no side can be reached by all. Any earlier partition is healed first.
    pub fn partition(&self, sides: &[PartitionSide]) {
        self.heal();
        let dispatchers: Vec<&[usize]> = sides.iter().map(|side| side.dispatchers.as_slice()).collect();
        self.datagrams.partition(&dispatchers);
        for CutSides { from, to } in cut_sides(sides) {
            self.set_cut(&from.dispatchers, &to.workers, true);
            if to.has_discovery {
                self.set_discovery_cut(&from.dispatchers, true);
            }
        }
    }

    /// Ends all cuts; other faults stay.
    pub fn heal(&self) {
        self.datagrams.heal();
        let links = self.links.to_workers.iter().flatten().chain(&self.links.to_discovery);
        links.for_each(|link| link.set_cut(false));
    }

    /// Kills a worker: its connections are reset and new ones are refused. The endpoint list does not change.
    pub fn kill_worker(&self, worker: usize) {
        for dispatcher in 0..self.size() {
            let link = self.link(dispatcher, worker);
            link.set(LinkFaults { connect: ConnectBehavior::Refused, ..LinkFaults::default() });
            if !link.is_silent() {
                link.reset();
            }
        }
        self.workers[worker].die();
    }

    /// Restarts a worker, which warms up. The endpoint list gets its new start time. Returns the list's new generation.
    pub fn revive_worker(&self, worker: usize) -> u64 {
        self.workers[worker].die();
        (0..self.size()).for_each(|dispatcher| self.link(dispatcher, worker).set(LinkFaults::default()));
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        self.discovery.change(worker, |endpoint| {
            endpoint.lifecycle = Lifecycle::Up;
            endpoint.started_ms = (unix.as_millis() as u64).max(endpoint.started_ms + 1);
        })
    }
}
