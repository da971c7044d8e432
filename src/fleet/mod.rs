//! The membership of the dispatchers of a site, and the learning that they share.
//!
//! [`Fleet`] is a state machine without socket or clock: datagrams and time go in, and [`FleetOutput`]s come out
//! ([`Fleet::poll`]). The fleet owns the membership protocol. [`Learners`] owns the state that is learned about jobs and tenants,
//! which is published as facts of the membership. A part that the settings turn off is not created; if all parts are off, there
//! is never any output. `docs/design/parts.md` describes the interfaces of the parts.

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

/// An output of [`Fleet`]. The driver handles outputs in their order.
#[derive(Clone, Debug, PartialEq)]
pub enum FleetOutput {
    /// Send a datagram, which may be lost, to a dispatcher.
    Send {
        /// The dispatcher's place.
        to: u32,
        /// The datagram, at most 256 bytes.
        bytes: Vec<u8>,
    },
    /// The presence of each place, after a change, for [`crate::Event::Peers`].
    PeerPresence(Vec<PeerPresence>),
    /// A change of a member's state or epoch, for the parts that [`Fleet`] does not own.
    MemberChanged(Change),
    /// A fact of another member or of an earlier process at this place, for the part that owns the fact's kind.
    Fact(OwnedFact),
    /// A change of the view that is to be logged.
    LogChange {
        /// The change.
        change: Change,
        /// The number of changes that were not logged since the last logged one.
        suppressed: u64,
    },
}

/// The identity of one process of a dispatcher, and the inputs of the membership that go with it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessIdentity {
    /// The place of the dispatcher among the peers.
    pub place: u32,
    /// The number of places.
    pub peers: usize,
    /// The start of the process, in milliseconds of Unix time, which distinguishes the processes at one place.
    pub epoch: u64,
    /// The seed of all random choices.
    pub seed: u64,
}

/// A fact to publish to the other members.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingFact {
    /// The kind, which identifies the part that owns the fact and its encoding.
    pub kind: u8,
    /// The slot. A fact replaces an earlier one of the same kind, place and slot.
    pub slot: u32,
    /// The content, at most as long as the membership protocol allows.
    pub bytes: Vec<u8>,
}

/// Why the membership cannot start.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum FleetError {
    /// There are too few or too many places; their number.
    #[error("membership needs 2 to 65535 peers, but there are {0}")]
    Peers(usize),
    /// The settings of the membership contradict each other.
    #[error("membership: {0}")]
    Membership(#[from] ConfigError),
}

/// This dispatcher as a member of the fleet.
#[derive(Debug, Default)]
pub struct Fleet {
    settings: FleetSettings,
    members: Option<Members>,
    outputs: VecDeque<FleetOutput>,
    /// Whether another process is active at this place, so that this one sends nothing.
    is_suspended: bool,
}

impl Fleet {
    /// Creates the parts that the settings enable, for a process that starts now.
    ///
    /// # Errors
    /// [`FleetError`] if the membership cannot start with these settings and this number of peers.
    pub fn new(settings: FleetSettings, identity: ProcessIdentity, now: Micros) -> Result<Fleet, FleetError> {
        let mut fleet = Fleet { settings, ..Fleet::default() };
        fleet.restart(identity, now)?;
        Ok(fleet)
    }

    /// Whether [`Fleet::restart`] would succeed.
    ///
    /// # Errors
    /// The errors of [`Fleet::restart`].
    pub fn check_restart(&self, identity: ProcessIdentity, now: Micros) -> Result<(), FleetError> {
        self.new_members(identity, now).map(drop)
    }

    /// Restarts the membership, with another epoch and perhaps other peers, and ends a suspension.
    ///
    /// # Errors
    /// [`FleetError`] if the membership cannot start; nothing changes then.
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

    /// Whether a datagram belongs to the membership protocol, by its first byte. Always false if membership is off.
    pub fn accepts(&self, bytes: &[u8]) -> bool {
        self.members.is_some() && bytes.first() == Some(&VERSION)
    }

    /// Handles a datagram from the address of the place `from`.
    pub fn on_datagram(&mut self, now: Micros, from: u32, bytes: &[u8]) {
        let Ok(from) = u16::try_from(from) else { return };
        if let Some(members) = self.active_members() {
            members.on_datagram(now, from, bytes);
            self.collect_outputs(now);
        }
    }

    /// Handles the timer of [`Fleet::next_wake`].
    pub fn on_timer(&mut self, now: Micros) {
        if let Some(members) = self.active_members() {
            members.on_timer(now);
            self.collect_outputs(now);
        }
    }

    /// When [`Fleet::on_timer`] must be called next; `None` if membership is off or suspended. Any call of another method may
    /// change the time.
    pub fn next_wake(&self, now: Micros) -> Option<Micros> {
        self.members.as_ref().filter(|_| !self.is_suspended).map(|members| members.next_wake(now))
    }

    /// Whether a published fact can reach any member.
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

    /// Notifies the other members that this dispatcher leaves for good (SWIM's `leave`), so that they do not expect it back.
    pub fn announce_leave(&mut self, now: Micros) {
        if let Some(members) = self.active_members() {
            members.announce_leave(now);
            self.collect_outputs(now);
        }
    }

    /// Suspends this process, because another process is active at this place from now on. Nothing is sent until
    /// [`Fleet::restart`].
    pub fn suspend(&mut self) {
        self.is_suspended = true;
        self.outputs.retain(|output| !matches!(output, FleetOutput::Send { .. }));
    }

    /// Removes and returns the next output. To be called after each call of another method, until the result is `None`.
    pub fn poll(&mut self) -> Option<FleetOutput> {
        self.outputs.pop_front()
    }

    /// The membership view of all places; `None` if membership is off.
    pub fn view(&self) -> Option<&View> {
        self.members.as_ref().map(Members::view)
    }

    /// The metrics of the membership protocol; `None` if membership is off.
    pub fn metrics(&self) -> Option<Metrics> {
        self.members.as_ref().map(Members::metrics)
    }

    /// The membership; `None` if it is off or suspended.
    fn active_members(&mut self) -> Option<&mut Members> {
        self.members.as_mut().filter(|_| !self.is_suspended)
    }

    fn collect_outputs(&mut self, now: Micros) {
        if let Some(members) = &mut self.members {
            members.collect_outputs(now, &mut self.outputs);
        }
    }
}
