//! The simulated transport of facts: rounds of gossip between random dispatchers, with delay and loss.

use super::event_queue::{Event, ProcessId};
use super::{HOP_LATENCY, MS, PollingStrategy, Simulation, UNIX_AT_ZERO};
use crate::{Origin, poll_scheduler};
use std::rc::Rc;

/// The interval between two rounds of gossip of a dispatcher.
pub(super) const GOSSIP_INTERVAL: u64 = 200 * MS;
/// The number of receivers in a round of gossip.
const FANOUT: usize = 3;
/// The maximum number of facts in a datagram.
const FACTS_PER_DATAGRAM: usize = 8;
/// The fraction of datagrams that is lost.
const LOSS: f64 = 0.01;
/// The maximum number of facts that are sent to a process that has just started.
const MAX_JOIN_FACTS: usize = 64;
/// The slot of a member's status of the service.
const SERVICE_SLOT: u32 = 0;

/// A fact in transit or held by a dispatcher.
pub(super) struct Fact {
    place: u16,
    epoch: u64,
    slot: u32,
    number: u64,
    bytes: Vec<u8>,
}

/// A fact that is still to be sent a number of times.
pub(super) struct QueuedFact {
    sends_left: usize,
    fact: Rc<Fact>,
}

impl super::dispatcher::Dispatcher {
    /// Queues a fact. Facts of the service are sent before all others.
    fn queue_fact(&mut self, queued: QueuedFact) {
        match queued.fact.slot {
            SERVICE_SLOT => self.gossip_queue.push_front(queued),
            _ => self.gossip_queue.push_back(queued),
        }
    }

    /// Takes the facts of the next datagram from the queue, and queues again those that are to be sent again.
    fn take_facts_to_send(&mut self) -> Vec<Rc<Fact>> {
        let mut facts = Vec::new();
        let mut again = Vec::new();
        while facts.len() < FACTS_PER_DATAGRAM {
            let Some(QueuedFact { sends_left, fact }) = self.gossip_queue.pop_front() else { break };
            // A fact that a later one has replaced is dropped.
            let held = self.facts.get(&(fact.place, fact.slot));
            if held.is_some_and(|held| Rc::ptr_eq(held, &fact)) {
                facts.push(fact.clone());
                if sends_left > 1 {
                    again.push(QueuedFact { sends_left: sends_left - 1, fact });
                }
            }
        }
        again.into_iter().for_each(|queued| self.queue_fact(queued));
        facts
    }
}

impl Simulation<'_> {
    /// The number of times that each dispatcher sends a fact.
    fn sends(&self) -> usize {
        usize::from(self.scenario.dispatchers).ilog2() as usize + 3
    }

    /// Passes the scheduler's status to the observations, and queues the facts that they publish.
    pub(super) fn publish(&mut self, place: u16) {
        if self.strategy != PollingStrategy::SchedulerWithGossip {
            return;
        }
        let (now, sends_left) = (self.now, self.sends());
        let dispatcher = &mut self.dispatchers[usize::from(place)];
        let Some(state_machines) = &mut dispatcher.state_machines else { return };
        let status = state_machines.scheduler.status();
        if dispatcher.last_status != Some(status) {
            dispatcher.last_status = Some(status);
            state_machines
                .observations
                .set_service_status(status, state_machines.scheduler.is_status_urgent());
        }
        while let Some((slot, bytes)) = state_machines.observations.publish(now) {
            dispatcher.fact_number += 1;
            self.measurements.record_fact(bytes.len());
            let epoch = (UNIX_AT_ZERO + dispatcher.started_at) / MS;
            let fact = Rc::new(Fact { place, epoch, slot, number: dispatcher.fact_number, bytes });
            dispatcher.facts.insert((place, slot), fact.clone());
            dispatcher.gossip_queue.push_front(QueuedFact { sends_left, fact });
        }
    }

    pub(super) fn on_gossip_round(&mut self, process: ProcessId) {
        let place = process.place;
        self.schedule(self.now + GOSSIP_INTERVAL, Event::GossipRound(process));
        self.publish(place);
        if !std::mem::replace(&mut self.dispatcher_mut(place).has_joined, true) {
            self.join(place);
        }
        for _ in 0..FANOUT {
            let to = self.rng.u16(0..self.scenario.dispatchers);
            let dispatcher = &mut self.dispatchers[usize::from(place)];
            let mut facts = dispatcher.take_facts_to_send();
            if facts.len() < FACTS_PER_DATAGRAM / 2 {
                // Fill the datagram with old facts, so that dispatchers that were partitioned receive them.
                let skip = self.rng.usize(0..dispatcher.facts.len().max(1));
                facts.extend(dispatcher.facts.values().skip(skip).take(2).cloned());
            }
            let is_sent = to != place && !facts.is_empty() && self.are_connected(place, to);
            if is_sent && self.rng.f64() >= LOSS {
                let at = self.now + self.rng.u64(HOP_LATENCY..5 * MS);
                self.schedule(at, Event::FactsArrive(to, facts));
            }
        }
    }

    /// Sends facts of another dispatcher to a process that has just started: statuses of the service first, as many as a
    /// few datagrams hold.
    fn join(&mut self, place: u16) {
        let drawn: Vec<u16> = (0..8).map(|_| self.rng.u16(0..self.scenario.dispatchers)).collect();
        let can_send_facts = |other: &u16| {
            *other != place && self.dispatcher(*other).has_joined && self.are_connected(place, *other)
        };
        let Some(other) = drawn.into_iter().find(can_send_facts) else { return };
        let facts = self.dispatcher(other).facts.values();
        let (mut first, others): (Vec<_>, Vec<_>) =
            facts.cloned().partition(|fact| fact.slot == SERVICE_SLOT);
        first.sort_by_key(|fact| std::cmp::Reverse((fact.epoch, fact.number)));
        first.extend(others);
        first.truncate(MAX_JOIN_FACTS);
        self.schedule(self.now + 2 * MS, Event::FactsArrive(place, first));
    }

    pub(super) fn on_facts_arrive(&mut self, place: u16, facts: Vec<Rc<Fact>>) {
        let (now, sends_left) = (self.now, self.sends());
        let dispatcher = self.dispatcher_mut(place);
        if !dispatcher.is_running || dispatcher.paused_until > now {
            return;
        }
        for fact in facts {
            let Some(state_machines) = &mut dispatcher.state_machines else { return };
            let key = (fact.place, fact.slot);
            let is_known = |held: &Rc<Fact>| (held.epoch, held.number) >= (fact.epoch, fact.number);
            if fact.place == place || dispatcher.facts.get(&key).is_some_and(is_known) {
                continue;
            }
            let origin = Origin { place: fact.place, epoch: fact.epoch };
            if state_machines.observations.absorb(now, origin, fact.slot, fact.number, &fact.bytes).is_ok() {
                dispatcher.queue_fact(QueuedFact { sends_left, fact: fact.clone() });
                dispatcher.facts.insert(key, fact);
            }
        }
        let Some(state_machines) = &mut dispatcher.state_machines else { return };
        let updates = state_machines.observations.take_service_updates();
        let has_updates = !updates.is_empty();
        for update in updates {
            let event = poll_scheduler::Event::PeerStatus { place: update.place, status: update.status };
            state_machines.scheduler.handle(now, event);
        }
        if has_updates {
            self.schedule_wake(place);
        }
    }
}
