//! What a member believes of all places.

use crate::Micros;

/// What is believed of a place. The order is the one in which a record replaces another of the same epoch and incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum State {
    /// No datagram or record of it was ever received.
    Unknown,
    /// Known, and not suspected.
    Alive,
    /// It did not answer a probe; it keeps its part of the work until the suspicion times out.
    Suspect,
    /// It did not refute the suspicion in time.
    Dead,
    /// It has announced that it leaves.
    Left,
}

impl State {
    /// Whether a member in this state may hold work.
    pub(crate) fn is_present(self) -> bool {
        matches!(self, State::Alive | State::Suspect)
    }

    /// Whether a member in this state was there and is no more.
    pub(crate) fn is_gone(self) -> bool {
        matches!(self, State::Dead | State::Left)
    }
}

/// Which of two records about a place is newer: the one of the later start, and of one start the later incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub(crate) struct MemberVersion {
    /// The start of the process, in milliseconds of Unix time.
    pub epoch: u64,
    /// Raised by the member itself, to refute.
    pub incarnation: u32,
}

/// A place as it is believed to be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Member {
    /// What is believed.
    pub state: State,
    /// The start of the process there in milliseconds of Unix time, 0 while unknown.
    pub epoch: u64,
    /// Raised by the member itself, to refute.
    pub incarnation: u32,
    /// When it came to this state, by the caller's clock.
    pub since: Micros,
}

impl Member {
    pub(crate) fn version(&self) -> MemberVersion {
        MemberVersion { epoch: self.epoch, incarnation: self.incarnation }
    }
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

    /// A place that is known to be one: panics where it is not.
    pub(crate) fn at(&self, place: u16) -> Member {
        self.members[usize::from(place)]
    }

    /// What is believed of a place; one that is not among the peers is unknown.
    pub fn state(&self, place: u16) -> State {
        self.member(place).map_or(State::Unknown, |member| member.state)
    }

    /// All places in order.
    pub fn iter(&self) -> impl Iterator<Item = (u16, &Member)> {
        (0..).zip(&self.members)
    }

    /// Which places may hold work: alive or suspect.
    pub fn holders(&self) -> Vec<bool> {
        self.members.iter().map(|member| member.state.is_present()).collect()
    }

    /// How many places are in this state.
    pub fn count(&self, state: State) -> usize {
        self.members.iter().filter(|member| member.state == state).count()
    }
}
