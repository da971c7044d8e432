//! What the dispatchers of a site know of each other, and what they learn together.
//!
//! [`Fleet`] is a state machine without socket or clock: datagrams and time go in, [`FleetOutput`]s come out
//! ([`Fleet::poll`]). It owns the membership protocol; [`Learners`] owns what is learned of jobs and tenants, which travels
//! as facts of the membership. A part that the settings leave off does not exist: with all of them off nothing ever comes
//! out. `docs/design/parts.md` has what crosses between the parts.

mod learners;
mod log_limiter;
mod members;
mod settings;

pub use learners::{JobLabels, LearnerMetrics, Learners, LearnersMetrics, RunEnd};
pub use settings::{
    ColdStartSettings, FairShareSettings, FleetSettings, MembershipSettings, RuntimesSettings,
};

use crate::policy::interface::{Micros, PeerPresence};
use members::Members;
use mothproxy_membership::{Change, ConfigError, Metrics, OwnedFact, VERSION, View};
use std::collections::VecDeque;

/// What the driver has to do or to pass on, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum FleetOutput {
    /// Send these bytes to the dispatcher of this place; they may be lost.
    Send {
        /// Its place.
        to: u32,
        /// The bytes, 256 at most.
        bytes: Vec<u8>,
    },
    /// The presence of each place has changed, for [`crate::Event::Peers`].
    PeerPresence(Vec<PeerPresence>),
    /// A member's state or epoch has changed, for the parts that are not owned by [`Fleet`].
    MemberChanged(Change),
    /// A fact published by another member, or by this place at an earlier start, for the part that owns its kind.
    Fact(OwnedFact),
    /// A change of the view that gets a line of the log.
    LogChange {
        /// The change.
        change: Change,
        /// Changes without a line since the last one that got one.
        suppressed: u64,
    },
}

/// One start of a dispatcher process at its place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessIdentity {
    /// Its place among the peers.
    pub place: u32,
    /// How many places there are.
    pub peers: usize,
    /// When it started, in milliseconds of Unix time: it tells the processes at one place apart.
    pub epoch: u64,
    /// The seed of all that is random.
    pub seed: u64,
}

/// A fact to publish to the other members.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingFact {
    /// Which part owns it, and with it the encoding of its content.
    pub kind: u8,
    /// What it is about: it replaces the earlier fact of the same kind, place and slot.
    pub slot: u32,
    /// Its content, at most as long as the membership carries.
    pub bytes: Vec<u8>,
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

/// This dispatcher as a member of the fleet.
#[derive(Debug, Default)]
pub struct Fleet {
    settings: FleetSettings,
    members: Option<Members>,
    outputs: VecDeque<FleetOutput>,
    /// Another process speaks for this place: nothing is sent.
    is_suspended: bool,
}

impl Fleet {
    /// The parts that the settings name, for a process that starts now.
    ///
    /// # Errors
    /// If a part cannot start with these settings among so many peers.
    pub fn new(settings: FleetSettings, identity: ProcessIdentity, now: Micros) -> Result<Fleet, FleetError> {
        let mut fleet = Fleet { settings, ..Fleet::default() };
        fleet.restart(identity, now)?;
        Ok(fleet)
    }

    /// Whether [`Fleet::restart`] would succeed.
    ///
    /// # Errors
    /// Those of [`Fleet::restart`].
    pub fn check_restart(&self, identity: ProcessIdentity, now: Micros) -> Result<(), FleetError> {
        self.new_members(identity, now).map(drop)
    }

    /// Starts anew, with another epoch and perhaps among other peers, and ends a suspension.
    ///
    /// # Errors
    /// If a part cannot start; then nothing changes.
    pub fn restart(&mut self, identity: ProcessIdentity, now: Micros) -> Result<(), FleetError> {
        self.members = self.new_members(identity, now)?;
        self.is_suspended = false;
        self.collect_outputs(now);
        Ok(())
    }

    fn new_members(&self, identity: ProcessIdentity, now: Micros) -> Result<Option<Members>, FleetError> {
        let settings = self.settings.membership.as_ref();
        settings.map(|settings| Members::new(settings, identity, now)).transpose()
    }

    /// Whether a datagram is for this struct: by its first byte, where membership is on.
    pub fn accepts(&self, bytes: &[u8]) -> bool {
        self.members.is_some() && bytes.first() == Some(&VERSION)
    }

    /// A datagram came from the address of this place.
    pub fn on_datagram(&mut self, now: Micros, from: u32, bytes: &[u8]) {
        let Ok(from) = u16::try_from(from) else { return };
        if let Some(members) = self.active_members() {
            members.on_datagram(now, from, bytes);
            self.collect_outputs(now);
        }
    }

    /// The time of [`Fleet::next_wake`] has come.
    pub fn on_timer(&mut self, now: Micros) {
        if let Some(members) = self.active_members() {
            members.on_timer(now);
            self.collect_outputs(now);
        }
    }

    /// When to call [`Fleet::on_timer`] at the latest; changes with every call.
    pub fn next_wake(&self, now: Micros) -> Option<Micros> {
        self.members.as_ref().filter(|_| !self.is_suspended).map(|members| members.next_wake(now))
    }

    /// Whether a fact that is published may reach anybody.
    pub fn can_publish(&self) -> bool {
        self.members.is_some() && !self.is_suspended
    }

    /// Publishes a fact to the other members.
    pub fn publish(&mut self, now: Micros, fact: &OutgoingFact) {
        if let Some(members) = self.active_members() {
            members.publish(now, fact);
            self.collect_outputs(now);
        }
    }

    /// Notifies the other members that this dispatcher leaves for good: they no longer expect it back (SWIM's `leave`).
    pub fn announce_leave(&mut self, now: Micros) {
        if let Some(members) = self.active_members() {
            members.announce_leave(now);
            self.collect_outputs(now);
        }
    }

    /// Another process speaks for this place from now on: this one sends nothing more, until [`Fleet::restart`].
    pub fn suspend(&mut self) {
        self.is_suspended = true;
        self.outputs.retain(|output| !matches!(output, FleetOutput::Send { .. }));
    }

    /// The next thing to do; to be called until `None` after each call of the other methods.
    pub fn poll(&mut self) -> Option<FleetOutput> {
        self.outputs.pop_front()
    }

    /// What is believed of all places, where membership is on.
    pub fn view(&self) -> Option<&View> {
        self.members.as_ref().map(Members::view)
    }

    /// What was counted, where membership is on.
    pub fn metrics(&self) -> Option<Metrics> {
        self.members.as_ref().map(Members::metrics)
    }

    /// The membership, unless it is off or suspended.
    fn active_members(&mut self) -> Option<&mut Members> {
        self.members.as_mut().filter(|_| !self.is_suspended)
    }

    fn collect_outputs(&mut self, now: Micros) {
        if let Some(members) = &mut self.members {
            members.collect_outputs(now, &mut self.outputs);
        }
    }
}
