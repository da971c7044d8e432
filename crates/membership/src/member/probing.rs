//! Probing: SWIM's failure detector.
//!
//! Each probe period (SWIM's protocol period) this member pings one present member, in rounds over all of them in random
//! order. If the target does not acknowledge in time, a few relays ping it too (SWIM's `ping-req`). A relay that gets no
//! acknowledgement either answers with a nack (Lifeguard). A target that acknowledges to no one is suspected. There are two
//! more reasons for a probe: a member that is alive in this view was declared dead by others, or a place that is not present
//! may have rejoined.

mod state;

pub(super) use state::Probing;

use super::{Membership, Priority};
use crate::wire::{Body, Record, StateRecord};
use crate::{Micros, State};
use state::{Probe, ProbeReason, RelayedProbe};

/// The maximum number of concurrent probes for other members.
const MAX_RELAYED_PROBES: usize = 256;
/// The interval between two probes of members that others declared dead, in microseconds.
const CHECK_INTERVAL: Micros = 50_000;

impl Membership {
    /// Begins the probes that are due.
    pub(super) fn begin_due_probes(&mut self) {
        if self.now >= self.probing.next_probe {
            self.probe_next();
        }
        if self.now >= self.probing.next_check {
            self.check_next_accused();
        }
        if self.now >= self.probing.next_lookup {
            self.look_up_absent();
        }
    }

    /// Probes the next member of the round, or of the next round.
    fn probe_next(&mut self) {
        self.probing.next_probe = self.now + self.health.scale(self.config.probe_period);
        let target = self.next_target().or_else(|| {
            let own_place = self.config.place;
            let present =
                self.view.iter().filter(|(place, member)| *place != own_place && member.state.is_present());
            let targets = present.map(|(place, _)| place).collect();
            self.probing.start_round(targets, &mut self.rng);
            self.next_target()
        });
        if let Some(target) = target {
            self.probe(target, ProbeReason::Round);
        }
    }

    /// The next member of the round to probe. A suspect with all required accusers is skipped: it has time to refute, and
    /// the refutation arrives without a probe.
    fn next_target(&mut self) -> Option<u16> {
        while let Some(target) = self.probing.round.get(self.probing.position).copied() {
            self.probing.position += 1;
            let is_present = self.view.state(target).is_present();
            if is_present && !self.is_fully_accused(target) && !self.probing.is_probed(target) {
                return Some(target);
            }
        }
        None
    }

    fn check_next_accused(&mut self) {
        let view = &self.view;
        if let Some(place) = self.probing.next_accused(|place| view.state(place) == State::Alive) {
            self.probing.next_check = self.now + self.health.scale(CHECK_INTERVAL);
            self.probe(place, ProbeReason::Accused);
        }
    }

    /// Probes a place that is not present. These probes reconnect the sides of a network partition after it heals.
    fn look_up_absent(&mut self) {
        let is_alone = self.present == 1;
        let period = if is_alone { self.config.probe_period } else { self.config.meet_period };
        self.probing.next_lookup = self.now + self.rng.u64(period - period / 4..=period + period / 4);
        let peers = self.config.peers;
        let start = self.rng.u16(0..peers);
        let is_absent = |place: &u16| !self.view.state(*place).is_present();
        if let Some(place) = (start..peers).chain(0..start).find(is_absent) {
            self.probe(place, ProbeReason::Absent);
        }
    }

    fn probe(&mut self, target: u16, reason: ProbeReason) {
        let seq = self.probing.next_seq();
        let indirect_at = self.now + self.health.scale(self.config.probe_timeout);
        self.metrics.probes += 1;
        self.probing.pending.push(Probe {
            seq,
            target,
            reason,
            started_at: self.now,
            indirect_at: (reason != ProbeReason::Absent).then_some(indirect_at),
            ends_at: self.now + self.health.scale(self.config.probe_period),
            relays: Vec::new(),
            nacks: 0,
        });
        // An accused member can refute an accusation only if it receives it.
        let accusation = self.probing.accusations.get(&target).map(|version| {
            Record::State(StateRecord {
                place: target,
                state: State::Dead,
                version: *version,
                accusers: Vec::new(),
            })
        });
        self.send_with_records(target, &Body::Ping { seq }, Priority::Urgent, accusation.as_slice());
    }

    /// Continues the pending probes: repeats own probes through relays or ends them, and sends nacks for relayed probes.
    pub(super) fn follow_up_probes(&mut self) {
        let now = self.now;
        for relayed in self.probing.take_unanswered_relayed(now) {
            self.send(relayed.origin, &Body::Nack { seq: relayed.origin_seq }, Priority::Urgent);
        }
        for index in 0..self.probing.pending.len() {
            if self.probing.pending[index].indirect_at.is_some_and(|at| at <= now) {
                self.probe_indirectly(index);
            }
        }
        for probe in self.probing.take_ended(now) {
            self.on_probe_failed(&probe);
        }
    }

    /// Asks others to probe the target of the pending probe with this index.
    fn probe_indirectly(&mut self, index: usize) {
        let Probe { seq, target, .. } = self.probing.pending[index];
        let relays = self.choose_relays(target);
        let probe = &mut self.probing.pending[index];
        probe.indirect_at = None;
        probe.relays.clone_from(&relays);
        for relay in relays {
            self.send(relay, &Body::PingRequest { seq, target }, Priority::Urgent);
        }
    }

    /// The relays for an indirect probe: of twice as many random members, those that sent a datagram most recently.
    fn choose_relays(&mut self, target: u16) -> Vec<u16> {
        let wanted = self.config.indirect_probes as usize;
        let mut chosen = vec![target];
        for _ in 0..2 * wanted {
            let next = self.random_present(&chosen);
            chosen.extend(next);
        }
        let mut relays = chosen.split_off(1);
        relays.sort_by_key(|place| std::cmp::Reverse(self.last_received[usize::from(*place)]));
        relays.truncate(wanted);
        relays
    }

    fn on_probe_failed(&mut self, probe: &Probe) {
        if probe.reason == ProbeReason::Absent {
            return;
        }
        self.metrics.probes_failed += 1;
        // No datagram arrived from any member since the probe started: the fault is more likely at this member itself.
        if probe.nacks == 0 && self.last_received_any <= probe.started_at && self.present > 2 {
            self.health.degrade();
        }
        let target = probe.target;
        let member = self.view.at(target);
        let was_accused = self.probing.accusations.remove(&target).is_some();
        if !member.state.is_present() {
            return;
        }
        if self.config.skip_suspicion {
            self.metrics.declared_dead += 1;
            return self.set_state(target, State::Dead, member.version());
        }
        self.suspect(target, member.version(), &[self.config.place]);
        if was_accused && probe.reason == ProbeReason::Accused {
            self.confirm_suspicion(target);
        }
        self.send(target, &Body::Gossip, Priority::Urgent);
    }

    /// Handles the answer to an own probe or to a relayed one.
    pub(super) fn on_ack(&mut self, from: u16, seq: u32) {
        let is_answered =
            |probe: &Probe| probe.seq == seq && (probe.target == from || probe.relays.contains(&from));
        if let Some(index) = self.probing.pending.iter().position(is_answered) {
            let probe = self.probing.pending.swap_remove(index);
            if probe.reason != ProbeReason::Absent {
                self.health.improve();
            }
        } else if self.probing.relayed.get(&seq).is_some_and(|relayed| relayed.target == from) {
            if let Some(relayed) = self.probing.relayed.remove(&seq) {
                self.send(relayed.origin, &Body::Ack { seq: relayed.origin_seq }, Priority::Urgent);
            }
        }
    }

    /// Handles a request of another member to probe a place, possibly this member itself.
    pub(super) fn on_ping_request(&mut self, from: u16, seq: u32, target: u16) {
        if target == self.config.place {
            return self.send(from, &Body::Ack { seq }, Priority::Urgent);
        }
        if self.probing.relayed.len() < MAX_RELAYED_PROBES && target != from {
            let own_seq = self.probing.next_seq();
            let nack_at = self.now + self.config.probe_timeout;
            let relayed = RelayedProbe { origin: from, origin_seq: seq, target, nack_at };
            self.probing.relayed.insert(own_seq, relayed);
            self.send(target, &Body::Ping { seq: own_seq }, Priority::Urgent);
        }
    }
}
