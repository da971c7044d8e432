//! The membership protocol of this dispatcher, and the presence of each peer, which is derived from the membership view.

use super::log_limiter::LogLimiter;
use super::{FleetError, FleetOutput, MembershipSettings, OutgoingFact, ProcessIdentity};
use crate::policy::interface::{Micros, PeerPresence};
use mothproxy_membership::{Change, Member, Membership, Metrics, Output, State, View};
use std::collections::VecDeque;

/// The minimum interval between reports of presence to the decision module, in microseconds. After a partition ends there are
/// dozens of changes, and each report makes the module recompute the assignment of workers.
const PRESENCE_INTERVAL: Micros = 200_000;
/// How often the expiry of a dead member's assignment is checked, in microseconds, if it is kept for a limited time.
const EXPIRY_CHECK_INTERVAL: Micros = 1_000_000;
/// The minimum number of places for membership.
const MIN_PEERS: usize = 2;

/// The membership state machine of one process, and the presence of each place that is derived from its view.
#[derive(Debug)]
pub(super) struct Members {
    own_place: usize,
    membership: Membership,
    /// Until when a place that has not sent anything yet counts as present; `None` once that time has passed.
    unknown_until: Option<Micros>,
    /// How long a dead place's assignment is kept, in microseconds; `None` keeps it for as long as the place is dead.
    dead_assignment_ttl: Option<Micros>,
    /// The last reported presence.
    reported: Option<Vec<PeerPresence>>,
    /// When the presence is to be derived again; `None` if nothing can have changed it.
    report_at: Option<Micros>,
    log_limiter: LogLimiter,
}

impl Members {
    /// Creates the membership state of a process that starts now.
    ///
    /// # Errors
    /// [`FleetError`] if there are too few or too many places, or the settings contradict each other.
    pub(super) fn new(
        settings: &MembershipSettings,
        identity: ProcessIdentity,
        now: Micros,
    ) -> Result<Members, FleetError> {
        if identity.peers < MIN_PEERS {
            return Err(FleetError::Peers(identity.peers));
        }
        let to_place = |place: usize| u16::try_from(place).map_err(|_| FleetError::Peers(identity.peers));
        let own_place = identity.place as usize;
        let config =
            settings.config(to_place(own_place)?, to_place(identity.peers)?, identity.epoch, identity.seed);
        let unknown_until = now + settings.unknown_member_ttl(&config);
        Ok(Members {
            own_place,
            membership: Membership::new(config, now)?,
            unknown_until: Some(unknown_until),
            dead_assignment_ttl: settings.dead_assignment_ttl,
            reported: None,
            report_at: Some(now),
            log_limiter: LogLimiter::new(now),
        })
    }

    /// Handles a datagram from the address of the place `from`.
    pub(super) fn on_datagram(&mut self, now: Micros, from: u16, bytes: &[u8]) {
        self.membership.receive(now, from, bytes);
    }

    /// Handles the timer of [`Members::next_wake`].
    pub(super) fn on_timer(&mut self, now: Micros) {
        if now >= self.membership.next_wake() {
            self.membership.tick(now);
        }
        if self.unknown_until.take_if(|until| now >= *until).is_some() {
            self.report_at.get_or_insert(now);
        }
    }

    /// When [`Members::on_timer`] must be called next.
    pub(super) fn next_wake(&self, now: Micros) -> Micros {
        let unknown_expiry = self.unknown_until.filter(|until| now < *until);
        unknown_expiry.into_iter().chain(self.report_at).fold(self.membership.next_wake(), Micros::min)
    }

    /// Notifies the other members that this one leaves for good.
    pub(super) fn announce_leave(&mut self, now: Micros) {
        self.membership.leave(now);
    }

    /// Publishes a fact to the other members.
    pub(super) fn publish(&mut self, now: Micros, fact: &OutgoingFact) {
        // The fact is dropped if there is no room for more facts or this member has left.
        let _ = self.membership.publish(now, fact.kind, fact.slot, &fact.bytes);
    }

    /// The membership view: the state of all places as known to this member.
    pub(super) fn view(&self) -> &View {
        self.membership.view()
    }

    /// The metrics of the membership protocol.
    pub(super) fn metrics(&self) -> Metrics {
        self.membership.metrics()
    }

    /// Appends the outputs of the protocol to `outputs`, and the presence if it is due and has changed.
    pub(super) fn collect_outputs(&mut self, now: Micros, outputs: &mut VecDeque<FleetOutput>) {
        while let Some(output) = self.membership.poll() {
            match output {
                Output::Send { to, bytes } => {
                    outputs.push_back(FleetOutput::Send { to: u32::from(to), bytes });
                }
                Output::Changed(change) => self.on_change(now, change, outputs),
                Output::Fact(fact) => outputs.push_back(FleetOutput::Fact(fact)),
            }
        }
        if self.report_at.is_some_and(|at| at <= now) {
            self.report_presence(now, outputs);
        }
    }

    fn on_change(&mut self, now: Micros, change: Change, outputs: &mut VecDeque<FleetOutput>) {
        outputs.push_back(FleetOutput::MemberChanged(change));
        self.report_at.get_or_insert(now + PRESENCE_INTERVAL);
        if let Some(suppressed) = self.log_limiter.admit(now) {
            outputs.push_back(FleetOutput::LogChange { change, suppressed });
        }
    }

    fn report_presence(&mut self, now: Micros, outputs: &mut VecDeque<FleetOutput>) {
        let presence = self.presence(now);
        let may_expire = self.dead_assignment_ttl.is_some() && presence.contains(&PeerPresence::Unreachable);
        self.report_at = may_expire.then_some(now + EXPIRY_CHECK_INTERVAL);
        if self.reported.as_ref() != Some(&presence) {
            self.reported = Some(presence.clone());
            outputs.push_back(FleetOutput::PeerPresence(presence));
        }
    }

    /// The presence of each place. A place counts as present while it is alive or suspected. The place of this process always
    /// counts as present, and a place that has not sent anything yet does so for a limited time. A dead place, or one that stays
    /// unknown, counts as unreachable until its assignment expires, because it may be alive on the other side of a partition. A
    /// place that has left is gone.
    fn presence(&self, now: Micros) -> Vec<PeerPresence> {
        let keeps_assignment =
            |since: Micros| self.dead_assignment_ttl.is_none_or(|ttl| now < since.saturating_add(ttl));
        let may_be_starting = self.unknown_until.is_some_and(|until| now < until);
        let presence_of = |(place, member): (u16, &Member)| match member.state {
            _ if usize::from(place) == self.own_place => PeerPresence::Present,
            State::Alive | State::Suspect => PeerPresence::Present,
            State::Unknown if may_be_starting => PeerPresence::Present,
            State::Unknown | State::Dead if keeps_assignment(member.since) => PeerPresence::Unreachable,
            State::Unknown | State::Dead | State::Left => PeerPresence::Gone,
        };
        self.view().iter().map(presence_of).collect()
    }
}
