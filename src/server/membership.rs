//! The dispatcher's part in the fleet: its datagrams on the peer socket, its timer, its lines of the log, its page.

use crate::config::Config;
use crate::fleet::{Birth, Effect, Fleet, FleetError, FleetSettings, Learners};
use crate::policy::interface::Micros;
use crate::protocol::admin::{MemberRow, MembersPage};
use crate::server::{FLEET_TIMER, Server};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// The state machine, and when its timer is set to.
#[derive(Default)]
pub(in crate::server) struct Link {
    pub(in crate::server) fleet: Fleet,
    timer: Option<Micros>,
    /// When what was learned is looked through next for what there is to tell.
    look: Option<Micros>,
}

/// The start of this process, or of what goes on in its place, at its place of a configuration.
fn birth(config: &Config) -> Birth {
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
    // A dispatcher without an address for datagrams has no peers that it could hear.
    let peers = if config.peer_listen.is_some() { config.peers.len() } else { 0 };
    Birth { me: config.settings.me, peers, epoch: unix.as_millis() as u64, seed: config.seed }
}

/// What learns of jobs, where any of it is on.
pub(in crate::server) fn learners(settings: &FleetSettings, config: &Config, now: Micros) -> Learners {
    Learners::new(settings, birth(config), now)
}

impl Link {
    /// The parts that are on. Those that lack what they need stay off, with a line of the log that says why.
    pub fn open(settings: FleetSettings, config: &Config, now: Micros) -> Link {
        let fleet = Fleet::new(settings, birth(config), now).unwrap_or_else(|error| {
            tracing::warn!("members: off: {error} in this configuration with peer_listen");
            Fleet::default()
        });
        Link { fleet, timer: None, look: Some(now) }
    }
}

impl Server {
    /// Whether a datagram belongs to the fleet's parts; if so, it has been taken.
    pub(in crate::server) fn fleet_hears(&mut self, from: u32, bytes: &[u8]) -> bool {
        let understood = self.link.fleet.understands(bytes);
        if understood {
            self.link.fleet.hear(self.now, from, bytes);
            self.fleet_go_on();
        }
        understood
    }

    pub(in crate::server) fn fleet_due(&mut self) {
        self.link.timer = None;
        self.link.fleet.due(self.now);
        if self.link.fleet.tells() && self.link.look.is_some_and(|at| at <= self.now) {
            for (kind, slot, bytes) in self.core.learners.publish(self.now) {
                self.link.fleet.tell(self.now, kind, slot, &bytes);
            }
            self.link.look = self.core.learners.next_look(self.now);
        }
        self.fleet_go_on();
    }

    /// This dispatcher stops. One that another process has taken over from says nothing.
    pub(in crate::server) fn fleet_leaves(&mut self) {
        if !self.has_handed_over() {
            self.link.fleet.leave(self.now);
            self.fleet_go_on();
        }
    }

    /// Another process speaks for this place from now on.
    pub(in crate::server) fn fleet_falls_silent(&mut self) {
        self.link.fleet.fall_silent();
        self.fleet_go_on();
    }

    /// Whether the parts that are on could begin anew under this configuration.
    pub(in crate::server) fn fleet_could_begin(&self, config: &Config) -> Result<(), FleetError> {
        self.link.fleet.check(birth(config), self.now)
    }

    /// Begins anew, with a new epoch: among other peers, or since the process that spoke for this place has ended.
    pub(in crate::server) fn fleet_speaks_again(&mut self) {
        if !self.has_handed_over() {
            let birth = birth(&self.config);
            let again = self.link.fleet.renew(birth, self.now);
            self.core.learners.begin_anew(birth, self.now);
            crate::invariant!(again.is_ok(), "a configuration that was checked");
            self.fleet_go_on();
        }
    }

    /// Does what the parts want done, and sets the timer.
    pub(in crate::server) fn fleet_go_on(&mut self) {
        while let Some(effect) = self.link.fleet.poll() {
            match effect {
                Effect::Send { to, bytes } => self.tell_peer(to, &bytes),
                Effect::Peers(peers) => self.core.on_peer_presence(peers),
                Effect::Changed(change) => {
                    self.core.learners.changed(self.now, change);
                    self.ask_changed(change);
                }
                Effect::Fact(fact) => {
                    self.core.learners.absorb(self.now, &fact);
                    self.ask_hears(&fact);
                }
                Effect::Line { change, hidden } => {
                    let at = self.config.peers.get(usize::from(change.place));
                    let at = at.map_or("?".to_owned(), |at| at.to_string());
                    let more =
                        if hidden > 0 { format!(", {hidden} not shown before") } else { String::new() };
                    tracing::info!(
                        "member {} at {at}: {:?} to {:?}, epoch {}, view {}{more}",
                        change.place,
                        change.from,
                        change.to,
                        change.epoch,
                        change.version
                    );
                }
            }
        }
        let look = self.link.look.filter(|_| self.link.fleet.tells());
        let wake = self.link.fleet.next_wake(self.now).into_iter().chain(look).min();
        if wake != self.link.timer {
            if let Some(old) = self.link.timer.take() {
                self.core.cancel_timer(old, FLEET_TIMER);
            }
            if let Some(at) = wake {
                self.core.set_timer(at, FLEET_TIMER);
            }
            self.link.timer = wake;
        }
    }

    /// The members as this process sees them, where membership is on.
    pub(in crate::server) fn members_page(&self) -> Option<MembersPage> {
        let (view, figures) = self.link.fleet.view().zip(self.link.fleet.figures())?;
        let row = |(place, m): (u16, &mothproxy_membership::Member)| MemberRow {
            place,
            address: self.config.peers.get(usize::from(place)).map(|at| at.to_string()).unwrap_or_default(),
            state: format!("{:?}", m.state).to_lowercase(),
            epoch: m.epoch,
            incarnation: m.incarnation,
            for_ms: self.now.saturating_sub(m.since) / 1000,
        };
        Some(MembersPage {
            me: self.config.settings.me,
            version: view.version(),
            members: view.iter().map(row).collect(),
            figures,
        })
    }
}
