//! Which of the other dispatchers have announced that they stop, and to which of them this one announces it.
//!
//! A graceful shutdown needs it for one decision: whether every other dispatcher stops too, so that clients have nowhere else to
//! go. In a small fleet each concludes that from all others. In a larger one each concludes it from a few that lie far apart
//! among the numbers: a release that goes through them in order, in steps or group by group never stops all of these at once,
//! and a stop of all dispatchers does. So the cost to a dispatcher does not grow with the fleet.

use std::collections::BTreeSet;

/// In a fleet of up to this many, every dispatcher is a neighbor of every other.
const MAX_SMALL_FLEET: u32 = 16;
/// The unit of distances in a fleet of any size.
const PERMILLE: u64 = 1_000;
/// In a larger one, the neighbors are this far away in both directions, in thousandths of the numbers (the golden section and its
/// powers, so that no two are near each other), ...
const NEIGHBOR_DISTANCES_PERMILLE: [u64; 3] = [382, 236, 146];
/// ... and this far, which no release in steps takes along.
const NEAREST_NEIGHBOR_DISTANCE: u64 = 1;

/// What the neighbors have announced, by their numbers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PeerLifecycle {
    me: u32,
    fleet_size: u32,
    stopping: BTreeSet<u32>,
}

impl PeerLifecycle {
    /// That of the dispatcher with number `me` among `fleet_size`, itself included; nobody has announced anything.
    pub fn new(me: u32, fleet_size: usize) -> PeerLifecycle {
        let fleet_size = u32::try_from(fleet_size).unwrap_or(u32::MAX);
        PeerLifecycle { me, fleet_size, stopping: BTreeSet::new() }
    }

    /// Whether every dispatcher is a neighbor of every other.
    pub fn is_small(&self) -> bool {
        self.fleet_size <= MAX_SMALL_FLEET
    }

    /// The dispatchers that this one announces its state to, which are also those that announce theirs to it.
    pub fn neighbors(&self) -> Vec<u32> {
        if self.is_small() {
            return (0..self.fleet_size).filter(|peer| *peer != self.me).collect();
        }
        let (me, fleet_size) = (u64::from(self.me), u64::from(self.fleet_size));
        let far = NEIGHBOR_DISTANCES_PERMILLE.map(|permille| fleet_size * permille / PERMILLE);
        far.into_iter()
            .chain([NEAREST_NEIGHBOR_DISTANCE])
            .flat_map(|distance| [me + distance, me + fleet_size - distance])
            .map(|peer| u32::try_from(peer % fleet_size).unwrap_or(0))
            .collect()
    }

    /// A peer announced that it stops.
    pub fn on_stopping(&mut self, from: u32) {
        self.stopping.insert(from);
    }

    /// A peer announced that it serves.
    pub fn on_serving(&mut self, from: u32) {
        self.stopping.remove(&from);
    }

    /// Whether there are neighbors, and the last that each has announced is that it stops.
    pub fn are_all_stopping(&self) -> bool {
        let neighbors = self.neighbors();
        !neighbors.is_empty() && neighbors.iter().all(|peer| self.stopping.contains(peer))
    }

    /// Changes the numbers of all dispatchers: `new_number` has the new one of each that is still there.
    pub fn renumber(&mut self, me: u32, fleet_size: usize, new_number: impl Fn(u32) -> Option<u32>) {
        let stopping = self.stopping.iter().filter_map(|peer| new_number(*peer)).collect();
        *self = PeerLifecycle { stopping, ..PeerLifecycle::new(me, fleet_size) };
    }
}
