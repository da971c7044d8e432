//! A member's view: the state of each place, as far as the member knows.

use crate::Micros;

/// The state of a place in a view. A record with a greater state replaces one of the same epoch and incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum State {
    /// No datagram from the place and no record about it was ever received.
    Unknown,
    /// The member is known and not suspected.
    Alive,
    /// The member did not answer a probe. It keeps its part of the work until the suspicion times out.
    Suspect,
    /// The member did not refute the suspicion in time.
    Dead,
    /// The member announced that it leaves.
    Left,
}

impl State {
    /// Whether a member in this state may hold work.
    pub(crate) fn is_present(self) -> bool {
        matches!(self, State::Alive | State::Suspect)
    }

    /// Whether a member in this state was present and is no longer.
    pub(crate) fn is_gone(self) -> bool {
        matches!(self, State::Dead | State::Left)
    }
}

/// The version of a record about a place. The record with the later epoch is newer; within an epoch, the one with the
/// greater incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub(crate) struct MemberVersion {
    /// The start of the process, in milliseconds of Unix time.
    pub epoch: u64,
    /// The incarnation, which only the member itself raises, to refute a suspicion.
    pub incarnation: u32,
}

/// The entry of one place in a view.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Member {
    /// The state of the place.
    pub state: State,
    /// The start of the process at the place, in milliseconds of Unix time; 0 while unknown.
    pub epoch: u64,
    /// The incarnation, which only the member itself raises, to refute a suspicion.
    pub incarnation: u32,
    /// When the place entered this state, by the caller's clock.
    pub since: Micros,
}

impl Member {
    pub(crate) fn version(&self) -> MemberVersion {
        MemberVersion { epoch: self.epoch, incarnation: self.incarnation }
    }
}

/// A change of the view. A restart that was not noticed otherwise is a change from `Alive` to `Alive` with a greater epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Change {
    /// The place that changed.
    pub place: u16,
    /// The epoch of the process at the place after the change, in milliseconds of Unix time.
    pub epoch: u64,
    /// The state before the change.
    pub from: State,
    /// The state after the change.
    pub to: State,
    /// The version of the view after the change.
    pub version: u64,
}

/// The state of all places, including this member's own, as far as this member knows.
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

    /// The number of [`Change`]s so far.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The entry of a place; `None` if it is not among the peers.
    pub fn member(&self, place: u16) -> Option<&Member> {
        self.members.get(usize::from(place))
    }

    /// The entry of a place among the peers. Panics if it is not among them.
    pub(crate) fn at(&self, place: u16) -> Member {
        self.members[usize::from(place)]
    }

    /// The state of a place; [`State::Unknown`] if it is not among the peers.
    pub fn state(&self, place: u16) -> State {
        self.member(place).map_or(State::Unknown, |member| member.state)
    }

    /// All places with their entries, in order of place.
    pub fn iter(&self) -> impl Iterator<Item = (u16, &Member)> {
        (0..).zip(&self.members)
    }

    /// Whether each place may hold work, that is, is alive or suspect; by place.
    pub fn holders(&self) -> Vec<bool> {
        self.members.iter().map(|member| member.state.is_present()).collect()
    }

    /// The number of places in this state.
    pub fn count(&self, state: State) -> usize {
        self.members.iter().filter(|member| member.state == state).count()
    }
}
