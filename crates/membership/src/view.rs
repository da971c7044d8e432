//! What a member believes of all places.

use crate::Micros;

/// What is believed of a place. The order is the one in which news of the same epoch and incarnation replaces other news.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum State {
    /// Never heard of.
    Unknown,
    /// Heard of, and not doubted.
    Alive,
    /// Doubted: it did not answer; it keeps its share until its time is out.
    Suspect,
    /// It did not refute in time.
    Dead,
    /// It has said that it leaves.
    Left,
}

/// A place as it is believed to be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Member {
    /// What is believed.
    pub state: State,
    /// The start of the process there, 0 while unknown.
    pub epoch: u64,
    /// Raised by the member itself, to refute.
    pub incarnation: u32,
    /// When it came to this state, by the caller's clock.
    pub since: Micros,
}

/// A change of the view. A restart that was not noticed before goes from `Alive` to `Alive`, with a greater epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Change {
    /// Which place.
    pub place: u16,
    /// The start of the process there, as of now.
    pub epoch: u64,
    /// What was believed.
    pub from: State,
    /// What is believed now.
    pub to: State,
    /// The version of the view with this change.
    pub version: u64,
}

/// What a member believes of all places, itself included.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct View {
    pub(crate) version: u64,
    pub(crate) members: Vec<Member>,
}

impl View {
    pub(crate) fn new(peers: u16, now: Micros) -> View {
        let unknown = Member { state: State::Unknown, epoch: 0, incarnation: 0, since: now };
        View { version: 0, members: vec![unknown; peers.into()] }
    }

    /// Grows by one with every [`Change`].
    pub fn version(&self) -> u64 {
        self.version
    }

    /// A place, if it is one.
    pub fn member(&self, place: u16) -> Option<&Member> {
        self.members.get(usize::from(place))
    }

    /// What is believed of a place; one that is not among the peers is unknown.
    pub fn state(&self, place: u16) -> State {
        self.member(place).map_or(State::Unknown, |m| m.state)
    }

    /// All places in order.
    pub fn iter(&self) -> impl Iterator<Item = (u16, &Member)> {
        (0..).zip(&self.members)
    }

    /// Which places may hold work: alive or suspect.
    pub fn holders(&self) -> Vec<bool> {
        self.members.iter().map(|m| matches!(m.state, State::Alive | State::Suspect)).collect()
    }

    /// How many places are in this state.
    pub fn count(&self, state: State) -> usize {
        self.members.iter().filter(|m| m.state == state).count()
    }
}
