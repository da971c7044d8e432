//! Dissemination: updates are piggybacked on every datagram (SWIM), and sent in separate gossip while any are queued.

use super::Membership;
use crate::update_queue::UpdateQueue;
use crate::wire::{Body, FactKey, Record, Route, StateRecord, Writer};
use crate::{MAX_DATAGRAM_BYTES, Micros, Output, State};
use mothproxy_invariant::invariant;

/// The maximum number of queued updates of states, and of facts.
const MAX_QUEUED_UPDATES: usize = 8_192;
/// The number of updates from the front of a queue that are tried for the rest of a datagram.
const MAX_UPDATES_TRIED: usize = 40;

/// Whether a datagram may use the part of the budget that is reserved for probes and refutations.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Priority {
    /// A probe, its answer or a refutation: may use the reserved part.
    Urgent,
    /// Gossip or anti-entropy: may not use the reserved part, since it can be sent later.
    Background,
}

/// Identifies a fact: its place and its key there.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct FactId {
    pub place: u16,
    pub key: FactKey,
}

/// The queued updates, and the time of the next gossip.
#[derive(Debug)]
pub(super) struct Dissemination {
    states: UpdateQueue<u16>,
    facts: UpdateQueue<FactId>,
    next_gossip: Micros,
}

impl Dissemination {
    /// The state without any update.
    pub fn new(now: Micros) -> Dissemination {
        Dissemination {
            states: UpdateQueue::new(MAX_QUEUED_UPDATES),
            facts: UpdateQueue::new(MAX_QUEUED_UPDATES),
            next_gossip: now,
        }
    }

    /// Queues the state of a place.
    pub fn push_state(&mut self, place: u16) {
        self.states.push(place);
    }

    /// Removes the state of a place from the queue.
    pub fn remove_state(&mut self, place: u16) {
        self.states.remove(place);
    }

    /// Queues a fact.
    pub fn push_fact(&mut self, fact: FactId) {
        self.facts.push(fact);
    }

    /// Whether the state of any place is queued.
    pub fn has_states(&self) -> bool {
        !self.states.is_empty()
    }

    fn is_empty(&self) -> bool {
        self.states.is_empty() && self.facts.is_empty()
    }
}

impl Membership {
    /// The time of the next gossip; `None` if no update is queued or no other member is present.
    pub(super) fn next_gossip(&self) -> Option<Micros> {
        let has_gossip = !self.dissemination.is_empty() && self.present > 1;
        has_gossip.then_some(self.dissemination.next_gossip)
    }

    pub(super) fn schedule_next_gossip(&mut self) {
        self.dissemination.next_gossip = self.now + self.config.gossip_period;
    }

    /// The number of times that an update is sent, which grows with the number of members present.
    pub(super) fn retransmissions(&self, factor: f64) -> u32 {
        (factor * (self.present as f64 + 1.0).ln()).ceil().max(1.0) as u32
    }

    /// Sends queued updates to a few random members, once each gossip period.
    pub(super) fn gossip(&mut self) {
        if self.now < self.dissemination.next_gossip || self.present < 2 {
            return;
        }
        // If many members fail at once, the updates do not fit into a few datagrams.
        let has_many_updates = self.dissemination.states.len() > MAX_UPDATES_TRIED;
        let fanout = self.config.gossip_fanout * if has_many_updates { 2 } else { 1 };
        for _ in 0..fanout {
            if !self.dissemination.is_empty() && self.budget.has_room_for_background() {
                // A suspect is most likely gone, and its accusers notify it directly: prefer a member that is alive.
                let alive = self.random_present(&[]).filter(|to| self.view.state(*to) == State::Alive);
                if let Some(to) = alive.or_else(|| self.random_present(&[])) {
                    self.send(to, &Body::Gossip, Priority::Background);
                }
            }
        }
        self.schedule_next_gossip();
    }

    /// The state of a place as a record to send.
    pub(super) fn state_record(&self, place: u16) -> Record {
        let member = self.view.at(place);
        let accusers = self.suspicions.accusers(place).to_vec();
        Record::State(StateRecord { place, state: member.state, version: member.version(), accusers })
    }

    /// Sends a datagram with as many updates as fit.
    pub(super) fn send(&mut self, to: u16, body: &Body, priority: Priority) {
        self.send_with_records(to, body, priority, &[]);
    }

    /// Sends a datagram with these records and as many updates as fit. Returns how many of the records were sent.
    pub(super) fn send_with_records(
        &mut self,
        to: u16,
        body: &Body,
        priority: Priority,
        records: &[Record],
    ) -> usize {
        let has_room = self.budget.has_room_for_background();
        if priority == Priority::Background && !has_room {
            self.metrics.over_budget += 1;
            return 0;
        }
        let mut writer = Writer::new(self.own_version(), body);
        // A receiver that is suspect, dead or has left in this view gets its own state with every datagram, so that it can
        // refute it.
        if matches!(self.view.state(to), State::Suspect | State::Dead | State::Left) {
            writer.add(&self.state_record(to));
        }
        let added = records.iter().take_while(|record| writer.add(record)).count();
        if has_room {
            self.add_updates(&mut writer, to);
        }
        if !self.budget.try_spend(writer.len()) {
            self.metrics.over_budget += 1;
            return 0;
        }
        invariant!(
            writer.len() <= MAX_DATAGRAM_BYTES,
            "a datagram of {} bytes exceeds {MAX_DATAGRAM_BYTES} bytes",
            writer.len()
        );
        self.metrics.sent += 1;
        self.metrics.sent_bytes += writer.len() as u64;
        let route = Route { from: self.config.place, to, peers: self.config.peers };
        self.outputs.push_back(Output::Send { to, bytes: writer.finish(route) });
        added
    }

    /// Fills the rest of a datagram with the first queued updates that are not about its receiver.
    fn add_updates(&mut self, writer: &mut Writer, to: u16) {
        let limit = self.retransmissions(self.config.gossip_factor);
        for place in self.dissemination.states.first(MAX_UPDATES_TRIED) {
            if place != to && writer.add(&self.state_record(place)) {
                self.dissemination.states.record_sent(place, limit);
            }
        }
        let limit = self.retransmissions(self.config.fact_factor);
        for fact in self.dissemination.facts.first(MAX_UPDATES_TRIED) {
            let Some(record) = self.facts.record(fact.place, fact.key) else {
                self.dissemination.facts.remove(fact);
                continue;
            };
            if fact.place != to && writer.add(&Record::Fact(record)) {
                self.dissemination.facts.record_sent(fact, limit);
            }
        }
    }
}
