//! Processing of received records about a place. A wrong record about this member is refuted by a higher incarnation (SWIM).

use super::{FactId, Membership};
use crate::config::EPOCH_BOUND;
use crate::facts::Merged;
use crate::view::MemberVersion;
use crate::wire::{FactRecord, Stamp, StateRecord};
use crate::{MAX_FACTS_PER_MEMBER, Output, OwnedFact, State};
use mothproxy_invariant::invariant;

impl Membership {
    /// Handles a record about a place. The record was received from the member `from`, or stands for a datagram of `from`, which
    /// proves that `from` is alive.
    pub(super) fn on_state_record(&mut self, from: u16, record: &StateRecord) {
        let StateRecord { place, state, version, ref accusers } = *record;
        if place == self.config.place {
            return self.on_record_about_self(state, version);
        }
        let known = self.view.at(place);
        if version.epoch < known.epoch {
            self.metrics.refused_stale += 1;
            return;
        }
        if version.epoch == known.epoch
            && (known.state == State::Left || version.incarnation < known.incarnation)
        {
            return;
        }
        let is_newer = known.state == State::Unknown || version > known.version();
        match (state, known.state) {
            (State::Unknown, _) => {}
            (State::Alive, _) if is_newer => self.set_state(place, State::Alive, version),
            (State::Alive, _) => {}
            // Only the member itself announces that it leaves.
            (State::Left, _) => self.set_state(place, State::Left, version),
            (State::Suspect, State::Dead) if !is_newer => {}
            (State::Suspect, _) => {
                if is_newer {
                    self.suspicions.end(place);
                }
                let accusers = if accusers.is_empty() { &[from][..] } else { accusers };
                self.suspect(place, version, accusers);
            }
            (State::Dead, _) => self.on_death_record(place, version, known.state, is_newer),
        }
    }

    /// Handles a record by which others declared a place dead. A place that is present in this view does not become dead by
    /// that alone: the record shortens a suspicion, or this member probes the place itself.
    fn on_death_record(&mut self, place: u16, version: MemberVersion, known: State, is_newer: bool) {
        match known {
            State::Suspect if !is_newer => self.confirm_suspicion(place),
            State::Alive | State::Suspect => {
                if is_newer {
                    self.set_state(place, State::Alive, version);
                }
                self.probing.accuse(place, version);
            }
            _ if is_newer => self.set_state(place, State::Dead, version),
            _ => {}
        }
    }

    /// Handles a record about this member, and refutes it if it is wrong.
    fn on_record_about_self(&mut self, state: State, version: MemberVersion) {
        let own = self.own_version();
        let MemberVersion { epoch, incarnation } = version;
        let can_exceed = epoch + 1 < EPOCH_BOUND;
        if (epoch > own.epoch || epoch == own.epoch && state == State::Left) && can_exceed {
            // The clock of this member's host went back, or an earlier process with this epoch has left.
            self.metrics.refuted += 1;
            self.raise_epoch(epoch + 1);
        } else if epoch == own.epoch && incarnation >= own.incarnation && state > State::Alive {
            self.metrics.refuted += 1;
            self.health.degrade();
            let refuting = MemberVersion { epoch, incarnation: incarnation + 1 };
            self.set_state(self.config.place, State::Alive, refuting);
        } else if epoch == own.epoch && incarnation > own.incarnation {
            self.set_state(self.config.place, State::Alive, version);
        }
    }

    /// Continues under a greater epoch, to which the facts published so far move.
    fn raise_epoch(&mut self, epoch: u64) {
        let (place, before) = (self.config.place, self.own_version().epoch);
        self.set_state(place, State::Alive, MemberVersion { epoch, incarnation: 0 });
        for key in self.facts.move_epoch(place, before, epoch) {
            self.dissemination.push_fact(FactId { place, key });
        }
    }

    /// Handles a received fact.
    pub(super) fn on_fact_record(&mut self, record: &FactRecord) {
        let FactRecord { place, key, stamp, bytes } = record;
        let (place, key, stamp) = (*place, *key, *stamp);
        if place == self.config.place {
            let epoch = self.own_version().epoch;
            if stamp.epoch == epoch {
                return;
            }
            if stamp.epoch > epoch && stamp.epoch + 1 < EPOCH_BOUND {
                self.raise_epoch(stamp.epoch + 1);
            }
        } else if self.is_forgotten(place) {
            return;
        }
        match self.facts.merge(place, key, stamp, bytes) {
            Merged::New => {
                self.metrics.facts_received += 1;
                self.dissemination.push_fact(FactId { place, key });
                let Stamp { epoch, number } = stamp;
                let bytes = bytes.clone();
                let fact = OwnedFact { kind: key.kind, place, epoch, slot: key.slot, number, bytes };
                self.outputs.push_back(Output::Fact(fact));
            }
            Merged::Known => {}
            Merged::Refused => self.metrics.facts_refused += 1,
        }
        let count = self.facts.count_of(place);
        invariant!(
            count <= MAX_FACTS_PER_MEMBER,
            "place {place} has {count} facts, more than {MAX_FACTS_PER_MEMBER}"
        );
    }

    /// Whether a place has been dead or left for longer than its facts are kept.
    pub(super) fn is_forgotten(&self, place: u16) -> bool {
        let member = self.view.at(place);
        member.state.is_gone() && self.now >= member.since + self.config.forget_after
    }
}
