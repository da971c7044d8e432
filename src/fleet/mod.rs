//! What the dispatchers of a site know of each other: the parts that share what they learn, behind one state machine.
//!
//! Datagrams and time go in, [`Effect`]s come out ([`Fleet::poll`]); it knows no socket and reads no clock. A part that
//! is off is not there: with all of them off nothing ever comes out. `docs/design/parts.md` has what crosses between them.

mod learners;
mod settings;

pub use learners::{LearnerFigures, Learners, LearnersFigures, Traits};
pub use settings::{
    ColdStartSettings, FairShareSettings, FleetSettings, MembershipSettings, RuntimesSettings,
};

use crate::policy::interface::{Micros, PeerPresence};
use mothproxy_membership::{
    Change, Config, ConfigError, Member, Membership, Metrics, Output, OwnedFact, State, VERSION, View,
};
use std::collections::VecDeque;

/// Changes of the view reach the module at most this often: after a heal they come by the dozen, and each deals the
/// workers anew.
const SETTLE: Micros = 200_000;
/// Parts that are kept for a time are looked at this often.
const LOOK_AGAIN: Micros = 1_000_000;
/// So many lines of changes in one go, and then one each `LINE_EVERY`.
const LINES: u64 = 16;
const LINE_EVERY: Micros = 500_000;

/// What there is to do, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send these bytes to the dispatcher of this place; they may be lost.
    Send {
        /// Its place.
        to: u32,
        /// The bytes, 256 at most.
        bytes: Vec<u8>,
    },
    /// What is believed of each place, for [`crate::Event::Peers`].
    Peers(Vec<PeerPresence>),
    /// A member's state or epoch has changed: for the parts that are not in here.
    Changed(Change),
    /// What another member told, or this place at an earlier start, for the part that owns its kind.
    Fact(OwnedFact),
    /// A change of the view that is worth a line of the log.
    Line {
        /// The change.
        change: Change,
        /// Changes since the last line that got none.
        hidden: u64,
    },
}

/// The start of a process at a place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Birth {
    /// Its place among the peers.
    pub me: u32,
    /// How many places there are.
    pub peers: usize,
    /// Milliseconds of Unix time.
    pub epoch: u64,
    /// Where all that looks random comes from.
    pub seed: u64,
}

/// The dispatcher's part in the fleet.
#[derive(Debug, Default)]
pub struct Fleet {
    settings: FleetSettings,
    members: Option<Members>,
    effects: VecDeque<Effect>,
    /// Another process speaks for this place.
    quiet: bool,
}

#[derive(Debug)]
struct Members {
    me: usize,
    machine: Membership,
    /// Until when a place that was never heard of counts as here.
    unknown_until: Micros,
    /// For how long a dead place's part is kept, if not for as long as it is dead.
    keep_part: Option<Micros>,
    /// What the module was told last.
    told: Option<Vec<PeerPresence>>,
    /// When it is to be told again, if anything has changed.
    tell_at: Option<Micros>,
    lines: Lines,
}

/// Which changes get a line.
#[derive(Debug)]
struct Lines {
    spare: u64,
    refilled: Micros,
    hidden: u64,
}

impl Lines {
    /// Whether a change gets a line now: how many before it got none.
    fn take(&mut self, now: Micros) -> Option<u64> {
        let fresh = now.saturating_sub(self.refilled) / LINE_EVERY;
        (self.spare, self.refilled) = ((self.spare + fresh).min(LINES), self.refilled + fresh * LINE_EVERY);
        match self.spare.checked_sub(1) {
            Some(left) => {
                self.spare = left;
                Some(std::mem::take(&mut self.hidden))
            }
            None => {
                self.hidden += 1;
                None
            }
        }
    }
}

impl Members {
    fn new(set: &MembershipSettings, birth: Birth, now: Micros) -> Result<Members, FleetError> {
        let place = |n: usize| u16::try_from(n).map_err(|_| FleetError::Peers(birth.peers));
        if birth.peers < 2 {
            return Err(FleetError::Peers(birth.peers));
        }
        let config: Config =
            set.config(place(birth.me as usize)?, place(birth.peers)?, birth.epoch, birth.seed);
        let unknown_until = now + set.unknown_for(&config);
        Ok(Members {
            me: birth.me as usize,
            machine: Membership::new(config, now)?,
            unknown_until,
            keep_part: set.keep_part,
            told: None,
            tell_at: Some(now),
            lines: Lines { spare: LINES, refilled: now, hidden: 0 },
        })
    }

    /// Which places may hold work: those alive or suspected, those never heard of for a while, and one's own. A dead one
    /// may be alive on the other side of a cut; one that has said that it leaves is not.
    fn peers(&self, now: Micros) -> Vec<PeerPresence> {
        let kept = |since: Micros| self.keep_part.is_none_or(|keep| now < since.saturating_add(keep));
        let presence = |(place, member): (u16, &Member)| match member.state {
            _ if usize::from(place) == self.me => PeerPresence::Present,
            State::Alive | State::Suspect => PeerPresence::Present,
            State::Unknown if now < self.unknown_until => PeerPresence::Present,
            State::Unknown | State::Dead if kept(member.since) => PeerPresence::Unreachable,
            State::Unknown | State::Dead | State::Left => PeerPresence::Gone,
        };
        self.machine.view().iter().map(presence).collect()
    }

    fn next_wake(&self, now: Micros) -> Micros {
        let unknown = (now < self.unknown_until).then_some(self.unknown_until);
        let wakes = unknown.into_iter().chain(self.tell_at);
        wakes.fold(self.machine.next_wake(), Micros::min)
    }
}

/// Why the parts cannot start.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum FleetError {
    /// There are too few or too many places.
    #[error("membership needs 2 to 65535 peers, and there are {0}")]
    Peers(usize),
    /// The member's settings do not agree.
    #[error("membership: {0}")]
    Membership(#[from] ConfigError),
}

impl Fleet {
    /// The parts that the settings name, for a process that starts now.
    pub fn new(settings: FleetSettings, birth: Birth, now: Micros) -> Result<Fleet, FleetError> {
        let mut fleet = Fleet { settings, ..Fleet::default() };
        fleet.renew(birth, now)?;
        Ok(fleet)
    }

    /// Whether [`Fleet::renew`] would begin.
    pub fn check(&self, birth: Birth, now: Micros) -> Result<(), FleetError> {
        let members = self.settings.membership.as_ref().map(|set| Members::new(set, birth, now));
        members.transpose().map(|_| ())
    }

    /// Begins anew, with another epoch, among other peers perhaps. Nothing changes where that fails.
    pub fn renew(&mut self, birth: Birth, now: Micros) -> Result<(), FleetError> {
        let members = self.settings.membership.as_ref().map(|set| Members::new(set, birth, now));
        self.members = members.transpose()?;
        self.quiet = false;
        self.drain(now);
        Ok(())
    }

    /// Whether a datagram is for this struct: by its first byte, where membership is on.
    pub fn understands(&self, bytes: &[u8]) -> bool {
        self.members.is_some() && bytes.first() == Some(&VERSION)
    }

    /// A datagram came from the address of this place.
    pub fn hear(&mut self, now: Micros, from: u32, bytes: &[u8]) {
        if let (Some(members), Ok(from), false) = (&mut self.members, u16::try_from(from), self.quiet) {
            members.machine.receive(now, from, bytes);
            self.drain(now);
        }
    }

    /// The time of [`Fleet::next_wake`] has come.
    pub fn due(&mut self, now: Micros) {
        if let (Some(members), false) = (&mut self.members, self.quiet) {
            if now >= members.machine.next_wake() {
                members.machine.tick(now);
            }
            if now >= members.unknown_until && members.unknown_until > 0 {
                (members.unknown_until, members.tell_at) = (0, members.tell_at.or(Some(now)));
            }
            self.drain(now);
        }
    }

    /// When to call [`Fleet::due`] at the latest; changes with every call.
    pub fn next_wake(&self, now: Micros) -> Option<Micros> {
        self.members.as_ref().filter(|_| !self.quiet).map(|members| members.next_wake(now))
    }

    /// Whether there is anybody to tell anything.
    pub fn tells(&self) -> bool {
        self.members.is_some() && !self.quiet
    }

    /// This dispatcher takes its leave of the others.
    pub fn leave(&mut self, now: Micros) {
        if let (Some(members), false) = (&mut self.members, self.quiet) {
            members.machine.leave(now);
            self.drain(now);
        }
    }

    /// Another process speaks for this place from now on: this one says nothing more, no farewell either.
    pub fn fall_silent(&mut self) {
        self.quiet = true;
        self.effects.retain(|effect| !matches!(effect, Effect::Send { .. }));
    }

    /// What there is to do, until `None`; to be asked after each call of the others.
    pub fn poll(&mut self) -> Option<Effect> {
        self.effects.pop_front()
    }

    /// Tells the others a fact.
    pub fn tell(&mut self, now: Micros, kind: u8, slot: u32, bytes: &[u8]) {
        if let (Some(members), false) = (&mut self.members, self.quiet) {
            let _ = members.machine.publish(now, kind, slot, bytes); // full, or it has left: then nobody hears of it
            self.drain(now);
        }
    }

    /// What is believed of all places, where membership is on.
    pub fn view(&self) -> Option<&View> {
        self.members.as_ref().map(|members| members.machine.view())
    }

    /// What was counted, where membership is on.
    pub fn figures(&self) -> Option<Metrics> {
        self.members.as_ref().map(|members| members.machine.metrics())
    }

    /// Turns what the parts put out into effects.
    fn drain(&mut self, now: Micros) {
        let Some(members) = &mut self.members else { return };
        while let Some(output) = members.machine.poll() {
            match output {
                Output::Send { to, bytes } => {
                    self.effects.push_back(Effect::Send { to: u32::from(to), bytes })
                }
                Output::Changed(change) => {
                    self.effects.push_back(Effect::Changed(change));
                    members.tell_at.get_or_insert(now + SETTLE);
                    if let Some(hidden) = members.lines.take(now) {
                        self.effects.push_back(Effect::Line { change, hidden });
                    }
                }
                Output::Fact(fact) => self.effects.push_back(Effect::Fact(fact)),
            }
        }
        if members.tell_at.is_some_and(|at| at <= now) {
            members.tell_at = None;
            let peers = members.peers(now);
            // Until when a part is kept is looked at every now and then.
            if members.keep_part.is_some() && peers.contains(&PeerPresence::Unreachable) {
                members.tell_at = Some(now + LOOK_AGAIN);
            }
            if members.told.as_ref() != Some(&peers) {
                members.told = Some(peers.clone());
                self.effects.push_back(Effect::Peers(peers));
            }
        }
    }
}
