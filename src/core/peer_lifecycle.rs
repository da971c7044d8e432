//! The announcements of dispatchers that they stop: which peers have made one, and to which peers this dispatcher sends its own.
//!
//! A graceful shutdown needs them for one decision: whether every other dispatcher stops too, so that clients have nowhere else to
//! go. In a small fleet, each dispatcher listens to all others. In a larger fleet, each listens to a few neighbors whose numbers
//! are far apart. A release that restarts dispatchers in order, in steps or group by group never stops all neighbors at once; a
//! stop of the whole fleet does. So the cost to a dispatcher does not grow with the fleet.

use std::collections::BTreeSet;

/// The maximum size of a fleet in which every dispatcher is a neighbor of every other.
const MAX_SMALL_FLEET: u32 = 16;
/// The divisor of distances in thousandths.
const PERMILLE: u64 = 1_000;
/// The distances to the neighbors in a larger fleet, in both directions, in thousandths of the fleet's size. They are powers of
/// the golden section, so that no two neighbors are near each other.
const NEIGHBOR_DISTANCES_PERMILLE: [u64; 3] = [382, 236, 146];
/// The distance to the nearest neighbors, in both directions: a release in steps does not stop them together with this one.
const NEAREST_NEIGHBOR_DISTANCE: u64 = 1;

/// The announcements of the neighbors, by their numbers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PeerLifecycle {
    me: u32,
    fleet_size: u32,
    stopping: BTreeSet<u32>,
}

impl PeerLifecycle {
    /// Creates the state of dispatcher `me` in a fleet of `fleet_size`, this one included. No peer has announced anything yet.
    pub fn new(me: u32, fleet_size: usize) -> PeerLifecycle {
        let fleet_size = u32::try_from(fleet_size).unwrap_or(u32::MAX);
        PeerLifecycle { me, fleet_size, stopping: BTreeSet::new() }
    }

    /// Whether every dispatcher is a neighbor of every other.
    pub fn is_small(&self) -> bool {
        self.fleet_size <= MAX_SMALL_FLEET
    }

    /// The dispatchers that this one announces its state to. The same dispatchers announce theirs to this one.
    pub fn neighbors(&self) -> Vec<u32> {
        if self.is_small() {
            return (0..self.fleet_size).filter(|peer| *peer != self.me).collect();
        }
        let me = u64::from(self.me);
        let fleet_size = u64::from(self.fleet_size);
        let far_distances = NEIGHBOR_DISTANCES_PERMILLE.map(|permille| fleet_size * permille / PERMILLE);
        far_distances
            .into_iter()
            .chain([NEAREST_NEIGHBOR_DISTANCE])
            .flat_map(|distance| [me + distance, me + fleet_size - distance])
            .map(|peer| u32::try_from(peer % fleet_size).unwrap_or(0))
            .collect()
    }

    /// Records that a peer has announced that it stops.
    pub fn on_stopping(&mut self, from: u32) {
        self.stopping.insert(from);
    }

    /// Records that a peer has announced that it serves.
    pub fn on_serving(&mut self, from: u32) {
        self.stopping.remove(&from);
    }

    /// Whether there are neighbors and the latest announcement of each is that it stops.
    pub fn are_all_stopping(&self) -> bool {
        let neighbors = self.neighbors();
        !neighbors.is_empty() && neighbors.iter().all(|peer| self.stopping.contains(peer))
    }

    /// Renumbers all dispatchers. `new_number` maps an old number to the new one; `None` if the dispatcher was removed.
    pub fn renumber(&mut self, me: u32, fleet_size: usize, new_number: impl Fn(u32) -> Option<u32>) {
        let stopping = self.stopping.iter().filter_map(|peer| new_number(*peer)).collect();
        *self = PeerLifecycle { stopping, ..PeerLifecycle::new(me, fleet_size) };
    }
}
