//! The pending probes, and the order of the next ones.

use crate::Micros;
use crate::view::MemberVersion;
use std::collections::{BTreeMap, VecDeque};

/// Sequence numbers of probes wrap around here.
const SEQ_MASK: u32 = 0xffff;

/// Why a place is probed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ProbeReason {
    /// The place is the next one of the round.
    Round,
    /// Other members declared the place dead.
    Accused,
    /// The place is not present in this view and may have rejoined.
    Absent,
}

/// A pending probe.
#[derive(Debug)]
pub(super) struct Probe {
    pub seq: u32,
    pub target: u16,
    pub reason: ProbeReason,
    pub started_at: Micros,
    /// When relays are asked to probe the target; `None` once they were asked, or if the probe uses no relays.
    pub indirect_at: Option<Micros>,
    pub ends_at: Micros,
    /// The members that were asked to probe the target.
    pub relays: Vec<u16>,
    /// The number of relays that got no answer either.
    pub nacks: u32,
}

/// A pending probe for another member.
#[derive(Debug)]
pub(super) struct RelayedProbe {
    pub origin: u16,
    /// The origin's sequence number.
    pub origin_seq: u32,
    pub target: u16,
    pub nack_at: Micros,
}

/// The pending probes, and the order of the next ones.
#[derive(Debug)]
pub(in crate::member) struct Probing {
    seq: u32,
    pub(super) pending: Vec<Probe>,
    /// Probes for other members, by this member's own sequence number.
    pub(super) relayed: BTreeMap<u32, RelayedProbe>,
    /// The members to probe in this round, in a random order.
    pub(super) round: Vec<u16>,
    /// The index in `round` of the next member.
    pub(super) position: usize,
    /// Places that are alive in this view and that others declared dead, with the version that was declared dead.
    pub(super) accusations: BTreeMap<u16, MemberVersion>,
    /// Accused places that have not been probed yet.
    checks: VecDeque<u16>,
    pub(super) next_probe: Micros,
    pub(super) next_check: Micros,
    pub(super) next_lookup: Micros,
}

impl Probing {
    /// The state without any pending probe; the first sequence number follows `seq`.
    pub fn new(seq: u32, now: Micros, next_probe: Micros, next_lookup: Micros) -> Probing {
        Probing {
            seq,
            pending: Vec::new(),
            relayed: BTreeMap::new(),
            round: Vec::new(),
            position: 0,
            accusations: BTreeMap::new(),
            checks: VecDeque::new(),
            next_probe,
            next_check: now,
            next_lookup,
        }
    }

    /// The earliest time at which a probe begins, continues through relays, or ends.
    pub fn next_wake(&self) -> Micros {
        let probes =
            self.pending.iter().map(|probe| probe.indirect_at.unwrap_or(u64::MAX).min(probe.ends_at));
        let relayed = self.relayed.values().map(|relayed| relayed.nack_at);
        let check = (!self.checks.is_empty()).then_some(self.next_check);
        let timers = probes.chain(relayed).chain(check);
        timers.fold(self.next_probe.min(self.next_lookup), Micros::min)
    }

    /// Begins a round over these places, in a random order.
    pub fn start_round(&mut self, targets: Vec<u16>, rng: &mut fastrand::Rng) {
        self.round = targets;
        rng.shuffle(&mut self.round);
        self.position = 0;
    }

    /// Inserts a member that has just become present at a random position in the rest of the round.
    pub fn insert_target(&mut self, place: u16, rng: &mut fastrand::Rng) {
        let at = rng.usize(self.position.min(self.round.len())..=self.round.len());
        self.round.insert(at, place);
    }

    /// Drops all pending probes.
    pub fn stop(&mut self) {
        self.pending.clear();
        self.relayed.clear();
    }

    /// Postpones all pending probes by the lost time. The next probe does not begin before `earliest`.
    pub fn postpone(&mut self, lost: Micros, earliest: Micros) {
        for probe in &mut self.pending {
            probe.indirect_at = probe.indirect_at.map(|at| at + lost);
            probe.ends_at += lost;
        }
        // The probes of the members that requested these have ended by now.
        self.relayed.clear();
        self.next_probe = self.next_probe.max(earliest);
    }

    /// Schedules a probe of a place that is present in this view and that others declared dead.
    pub fn accuse(&mut self, place: u16, version: MemberVersion) {
        if self.accusations.insert(place, version).is_none() {
            self.checks.push_back(place);
        }
    }

    /// Drops the accusation of a place after a newer record about it.
    pub fn clear_accusation(&mut self, place: u16) {
        self.accusations.remove(&place);
    }

    /// Counts a relay that answered that it got no answer from the target either.
    pub fn on_nack(&mut self, from: u16, seq: u32) {
        let is_asked = |probe: &&mut Probe| probe.seq == seq && probe.relays.contains(&from);
        if let Some(probe) = self.pending.iter_mut().find(is_asked) {
            probe.nacks += 1;
        }
    }

    pub(super) fn next_seq(&mut self) -> u32 {
        self.seq = self.seq.wrapping_add(1);
        self.seq & SEQ_MASK
    }

    /// The next accused place that is still alive here.
    pub(super) fn next_accused(&mut self, is_alive: impl Fn(u16) -> bool) -> Option<u16> {
        while let Some(place) = self.checks.pop_front() {
            if self.accusations.contains_key(&place) && is_alive(place) {
                return Some(place);
            }
        }
        None
    }

    pub(super) fn is_probed(&self, place: u16) -> bool {
        self.pending.iter().any(|probe| probe.target == place)
    }

    /// Removes and returns the relayed probes that got no answer in time.
    pub(super) fn take_unanswered_relayed(&mut self, now: Micros) -> Vec<RelayedProbe> {
        let is_late = |relayed: &RelayedProbe| relayed.nack_at <= now;
        let late_seqs: Vec<u32> =
            self.relayed.iter().filter(|(_, relayed)| is_late(relayed)).map(|(seq, _)| *seq).collect();
        late_seqs.iter().filter_map(|seq| self.relayed.remove(seq)).collect()
    }

    /// Removes and returns the probes that have ended without an answer.
    pub(super) fn take_ended(&mut self, now: Micros) -> Vec<Probe> {
        let pending = std::mem::take(&mut self.pending);
        let (ended, pending) = pending.into_iter().partition(|probe| probe.ends_at <= now);
        self.pending = pending;
        ended
    }
}
