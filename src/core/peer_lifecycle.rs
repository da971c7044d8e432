//! Which of the other dispatchers have said that they stop, and to which of them this one says so.
//!
//! What hangs on it is one question of a planned stop: whether every other dispatcher stops too, so that clients have nowhere
//! else to go. In a small fleet each asks it of all others. In a larger one each asks it of a few that lie far apart among the
//! numbers: a release that goes through them in order, in steps or group by group never takes all of these at once, and a stop
//! of all dispatchers does. What it costs a dispatcher does not grow with the fleet.

use std::collections::BTreeSet;

/// In a fleet of so many each dispatcher tells all others.
const SMALL: u32 = 16;
/// Beyond that, those so far from it in both directions, in thousandths of the numbers (the golden section and its powers: no
/// two are near each other), and the next ones, which no release in steps takes along.
const APART: [u64; 3] = [382, 236, 146];

/// What the others have said, by their numbers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PeerLifecycle {
    me: u32,
    count: u32,
    stopping: BTreeSet<u32>,
}

impl PeerLifecycle {
    /// Of so many dispatchers, this one included; nobody has said anything.
    pub fn new(me: u32, count: usize) -> PeerLifecycle {
        PeerLifecycle { me, count: u32::try_from(count).unwrap_or(u32::MAX), stopping: BTreeSet::new() }
    }

    /// Whether each tells all others.
    pub fn is_small(&self) -> bool {
        self.count <= SMALL
    }

    /// The others that this one tells, which are also those that tell it.
    pub fn told(&self) -> Vec<u32> {
        let (me, count) = (u64::from(self.me), u64::from(self.count));
        if self.is_small() {
            return (0..self.count).filter(|n| *n != self.me).collect();
        }
        let steps = APART.map(|part| count * part / 1_000).into_iter().chain([1]);
        steps
            .flat_map(|step| [me + step, me + count - step])
            .map(|n| u32::try_from(n % count).unwrap_or(0))
            .collect()
    }

    /// Another one has said that it stops, or that it serves.
    pub fn heard(&mut self, from: u32, stops: bool) {
        if stops {
            self.stopping.insert(from);
        } else {
            self.stopping.remove(&from);
        }
    }

    /// Whether all that tell it have said that they stop, and none that it serves again.
    pub fn all_stop(&self) -> bool {
        let told = self.told();
        !told.is_empty() && told.iter().all(|n| self.stopping.contains(n))
    }

    /// The same under other numbers: `place` has the new one of each that is still there.
    pub fn renumber(&mut self, me: u32, count: usize, place: impl Fn(u32) -> Option<u32>) {
        let stopping = self.stopping.iter().filter_map(|n| place(*n)).collect();
        *self = PeerLifecycle { stopping, ..PeerLifecycle::new(me, count) };
    }
}
