//! The driver of [`Fleet`], the state machine of the membership. The fleet's datagrams use the peer socket, and its timer is a
//! timer of the core. Membership changes and facts are passed to the decision module, the learners and the pacing of discovery
//! calls. Changes of the view are logged, and the admin page shows the view.

use crate::config::Config;
use crate::fleet::{Fleet, FleetError, FleetOutput, FleetSettings, Learners, OutgoingFact, ProcessIdentity};
use crate::policy::interface::{MICROS_PER_MS, Micros};
use crate::protocol::admin::{MemberRow, MembersPage};
use crate::server::context::Context;
use crate::server::discovery::DiscoveryClient;
use crate::server::timer_slot::TimerSlot;
use crate::server::tokens::FLEET_TIMER;
use mothproxy_membership::{Change, Member, View};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// The fleet, its timer, and the time when the learners publish next.
pub(in crate::server) struct MembershipLink {
    fleet: Fleet,
    timer: TimerSlot,
    next_publish: Option<Micros>,
}

/// Creates the identity of a process that now starts, or restarts its membership, at its place in a configuration. The epoch is
/// the Unix time in milliseconds.
fn new_identity(config: &Config) -> ProcessIdentity {
    let unix_now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
    // A dispatcher without an address for datagrams cannot receive from any peer.
    let peers = if config.peer_listen.is_some() { config.peers.len() } else { 0 };
    ProcessIdentity {
        place: config.settings.own_place,
        peers,
        epoch: unix_now.as_millis() as u64,
        seed: config.seed,
    }
}

/// Creates the learners that the settings enable, for a process that starts now.
pub(in crate::server) fn new_learners(settings: &FleetSettings, config: &Config, now: Micros) -> Learners {
    Learners::new(settings, new_identity(config), now)
}

impl MembershipLink {
    /// Starts the parts of the fleet that the settings enable. If the configuration does not permit them, they stay off and the
    /// reason is logged.
    pub(in crate::server) fn open(settings: FleetSettings, config: &Config, now: Micros) -> MembershipLink {
        let fleet = Fleet::new(settings, new_identity(config), now).unwrap_or_else(|error| {
            tracing::warn!(%error, "membership disabled: invalid configuration");
            Fleet::default()
        });
        MembershipLink { fleet, timer: TimerSlot::new(FLEET_TIMER), next_publish: Some(now) }
    }

    /// This process's view of the states of all places; `None` if membership is off.
    pub(in crate::server) fn view(&self) -> Option<&View> {
        self.fleet.view()
    }

    /// Publishes a fact to the other members.
    pub(in crate::server) fn publish(&mut self, now: Micros, fact: &OutgoingFact) {
        self.fleet.publish(now, fact);
    }

    /// Handles a datagram if it is a message of the fleet. Returns whether it is.
    pub(in crate::server) fn on_datagram(
        &mut self,
        context: &mut Context<'_>,
        discovery: &mut DiscoveryClient,
        from: u32,
        bytes: &[u8],
    ) -> bool {
        let is_accepted = self.fleet.accepts(bytes);
        if is_accepted {
            self.fleet.on_datagram(context.now(), from, bytes);
            self.apply_outputs(context, discovery);
        }
        is_accepted
    }

    /// The fleet's timer has fired: advances the fleet, and publishes the learners' facts if that is due.
    pub(in crate::server) fn on_timer(&mut self, context: &mut Context<'_>, discovery: &mut DiscoveryClient) {
        let now = context.now();
        self.timer.on_fired();
        self.fleet.on_timer(now);
        if self.fleet.can_publish() && self.next_publish.is_some_and(|at| at <= now) {
            self.publish_learned(now, context.core.learners_mut());
        }
        self.apply_outputs(context, discovery);
    }

    /// Publishes the learners' facts about jobs, and records when they publish next.
    fn publish_learned(&mut self, now: Micros, learners: &mut Learners) {
        for fact in learners.publish(now) {
            self.fleet.publish(now, &fact);
        }
        self.next_publish = learners.next_publish(now);
    }

    /// Announces to the other members that this dispatcher leaves, unless a successor has taken over its place.
    pub(in crate::server) fn leave(&mut self, context: &mut Context<'_>, discovery: &mut DiscoveryClient) {
        if !context.lifecycle.has_handed_over() {
            self.fleet.announce_leave(context.now());
            self.apply_outputs(context, discovery);
        }
    }

    /// Stops acting as a member, because the successor acts for this place from now on.
    pub(in crate::server) fn suspend(&mut self, context: &mut Context<'_>, discovery: &mut DiscoveryClient) {
        self.fleet.suspend();
        self.apply_outputs(context, discovery);
    }

    /// Checks whether the enabled parts of the fleet could restart with this configuration.
    ///
    /// # Errors
    /// If the configuration does not permit them.
    pub(in crate::server) fn check_restart(&self, config: &Config, now: Micros) -> Result<(), FleetError> {
        self.fleet.check_restart(new_identity(config), now)
    }

    /// Restarts the membership with a new epoch, because the peers have changed or the successor that acted for this place has
    /// ended. Has no effect while a successor acts for this place.
    pub(in crate::server) fn restart(&mut self, context: &mut Context<'_>, discovery: &mut DiscoveryClient) {
        if context.lifecycle.has_handed_over() {
            return;
        }
        let (identity, now) = (new_identity(context.config), context.now());
        let restarted = self.fleet.restart(identity, now);
        context.core.learners_mut().restart(identity, now);
        mothproxy_invariant::invariant!(
            restarted.is_ok(),
            "membership rejects a configuration that it has checked"
        );
        self.apply_outputs(context, discovery);
    }

    /// Applies the outputs of the fleet, and sets its timer. Facts of other members are also passed to the pacing of `discovery`,
    /// which may publish facts of its own in response.
    pub(in crate::server) fn apply_outputs(
        &mut self,
        context: &mut Context<'_>,
        discovery: &mut DiscoveryClient,
    ) {
        while let Some(output) = self.fleet.poll() {
            match output {
                FleetOutput::Send { to, bytes } => context.send_to_peer(to, &bytes),
                FleetOutput::PeerPresence(peers) => context.core.on_peer_presence(peers),
                FleetOutput::MemberChanged(change) => {
                    context.core.learners_mut().on_member_changed(context.clock.now(), change);
                    discovery.on_member_changed(context, self, change);
                }
                FleetOutput::Fact(fact) => {
                    context.core.learners_mut().absorb(context.clock.now(), &fact);
                    discovery.on_fact(context, self, &fact);
                }
                FleetOutput::LogChange { change, suppressed } => {
                    log_member_change(context.config, change, suppressed);
                }
            }
        }
        self.update_timer(context);
    }

    /// Sets the timer to the earlier of the fleet's next timeout and the learners' next publication.
    fn update_timer(&mut self, context: &mut Context<'_>) {
        let next_publish = self.next_publish.filter(|_| self.fleet.can_publish());
        let wake = self.fleet.next_wake(context.now()).into_iter().chain(next_publish).min();
        self.timer.set(context.core, wake);
    }

    /// The admin page of the members as this process sees them; `None` if membership is off.
    pub(in crate::server) fn members_page(&self, config: &Config, now: Micros) -> Option<MembersPage> {
        let (view, membership_metrics) = self.fleet.view().zip(self.fleet.metrics())?;
        let row = |(place, member): (u16, &Member)| MemberRow {
            place,
            address: config.peers.get(usize::from(place)).map(ToString::to_string).unwrap_or_default(),
            state: format!("{:?}", member.state).to_lowercase(),
            epoch: member.epoch,
            incarnation: member.incarnation,
            state_age_ms: now.saturating_sub(member.since) / MICROS_PER_MS,
        };
        Some(MembersPage {
            own_place: config.settings.own_place,
            version: view.version(),
            members: view.iter().map(row).collect(),
            membership_metrics,
        })
    }
}

/// Logs a change of a member's state. `suppressed` is the number of changes before it that were not logged.
fn log_member_change(config: &Config, change: Change, suppressed: u64) {
    let address = config.peers.get(usize::from(change.place));
    let address = address.map_or("?".to_owned(), ToString::to_string);
    let suppressed_note =
        if suppressed > 0 { format!(", {suppressed} not shown before") } else { String::new() };
    tracing::info!(
        "member {} at {address}: {:?} to {:?}, epoch {}, view {}{suppressed_note}",
        change.place,
        change.from,
        change.to,
        change.epoch,
        change.version
    );
}
