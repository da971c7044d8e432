//! The announcements by which dispatchers say that they stop: which peers have announced it, and to which peers this dispatcher
//! sends its own announcement.
//!
//! A graceful shutdown uses the announcements for one decision: whether every other dispatcher stops too, so that clients have no
//! dispatcher to move to. In a small fleet, a full mesh, all dispatchers exchange announcements. In a larger one, each exchanges
//! them with a few neighbors whose places are far apart, so that the cost to a dispatcher does not grow with the fleet. That is
//! sufficient because a rolling restart, in order of places, in steps or by groups, never stops all neighbors at once, while a
//! stop of the whole fleet does.

use std::collections::BTreeSet;

/// The maximum size of a fleet in which every dispatcher is a neighbor of every other.
const MAX_FULL_MESH_SIZE: u32 = 16;
/// The divisor that converts thousandths to a fraction.
const PERMILLE: u64 = 1_000;
/// The distances to the neighbors in a larger fleet, in both directions, in thousandths of the fleet's size. They are powers of
/// the inverse golden ratio (0.618), so that no two neighbors are near each other.
const NEIGHBOR_DISTANCES_PERMILLE: [u64; 3] = [382, 236, 146];
/// The distance to the nearest neighbors, in both directions. A rolling restart in steps does not stop them together with this
/// dispatcher.
const NEAREST_NEIGHBOR_DISTANCE: u64 = 1;

/// The state that the neighbors have announced.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PeerLifecycle {
    own_place: u32,
    fleet_size: u32,
    stopping: BTreeSet<u32>,
}

impl PeerLifecycle {
    /// Creates the state of the dispatcher at `own_place` in a fleet of `fleet_size`, this one included. No peer has
    /// announced anything yet.
    pub fn new(own_place: u32, fleet_size: usize) -> PeerLifecycle {
        let fleet_size = u32::try_from(fleet_size).unwrap_or(u32::MAX);
        PeerLifecycle { own_place, fleet_size, stopping: BTreeSet::new() }
    }

    /// Whether every dispatcher is a neighbor of every other.
    pub fn is_full_mesh(&self) -> bool {
        self.fleet_size <= MAX_FULL_MESH_SIZE
    }

    /// The places of the dispatchers that this one exchanges announcements with.
    pub fn neighbors(&self) -> Vec<u32> {
        if self.is_full_mesh() {
            return (0..self.fleet_size).filter(|peer| *peer != self.own_place).collect();
        }
        let own_place = u64::from(self.own_place);
        let fleet_size = u64::from(self.fleet_size);
        let far_distances = NEIGHBOR_DISTANCES_PERMILLE.map(|permille| fleet_size * permille / PERMILLE);
        far_distances
            .into_iter()
            .chain([NEAREST_NEIGHBOR_DISTANCE])
            .flat_map(|distance| [own_place + distance, own_place + fleet_size - distance])
            .map(|peer| u32::try_from(peer % fleet_size).unwrap_or(0))
            .collect()
    }

    /// Handles the announcement of a peer that it stops.
    pub fn on_stopping(&mut self, from: u32) {
        self.stopping.insert(from);
    }

    /// Handles the announcement of a peer that it serves.
    pub fn on_serving(&mut self, from: u32) {
        self.stopping.remove(&from);
    }

    /// Whether there are neighbors and the latest announcement of each is that it stops.
    pub fn are_all_stopping(&self) -> bool {
        let neighbors = self.neighbors();
        !neighbors.is_empty() && neighbors.iter().all(|peer| self.stopping.contains(peer))
    }

    /// Applies a new order of all dispatchers. `new_place` maps an old place to the new one; `None` if the dispatcher was
    /// removed.
    pub fn renumber(&mut self, own_place: u32, fleet_size: usize, new_place: impl Fn(u32) -> Option<u32>) {
        let stopping = self.stopping.iter().filter_map(|peer| new_place(*peer)).collect();
        *self = PeerLifecycle { stopping, ..PeerLifecycle::new(own_place, fleet_size) };
    }
}
