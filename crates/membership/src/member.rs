//! The state machine of one member: its life cycle, its inputs and its outputs.
//!
//! The submodules are the parts of the protocol: `probing` detects failures, `suspicion` decides when a failed probe becomes
//! a death, `records` processes the records of other members, `dissemination` spreads updates, and `anti_entropy` finds
//! what dissemination missed. `local_health` and `send_budget` limit this member itself.

mod anti_entropy;
mod dissemination;
mod local_health;
mod probing;
mod records;
mod send_budget;
mod suspicion;
#[cfg(test)]
mod tests;

use crate::facts::Facts;
use crate::view::MemberVersion;
use crate::wire::{self, Body, Datagram, DatagramError, FactKey, Record, Route, Stamp, StateRecord};
use crate::{
    Change, Config, ConfigError, Fact, FactError, MAX_FACT_BYTES, MAX_FACTS_PER_MEMBER, Member, Metrics,
    Micros, Output, State, View,
};
use anti_entropy::AntiEntropy;
use dissemination::{Dissemination, FactId, Priority};
use local_health::LocalHealth;
use probing::Probing;
use send_budget::SendBudget;
use std::collections::{BTreeSet, VecDeque};
use suspicion::Suspicions;

/// A member that has left announces that for this long, in microseconds; then it sends nothing more.
const LEAVE_GOSSIP_TIME: Micros = 2_000_000;

/// A member of the group.
#[derive(Debug)]
pub struct Membership {
    config: Config,
    now: Micros,
    rng: fastrand::Rng,
    view: View,
    /// The number of members that are alive or suspect, including this one.
    present: usize,
    facts: Facts,
    /// When the facts of each member that is gone are dropped.
    fact_expiries: BTreeSet<(Micros, u16)>,
    /// The number of the last fact published.
    fact_number: u64,
    /// When the last datagram from each place was received.
    last_received: Vec<Micros>,
    /// When the last datagram from any place was received.
    last_received_any: Micros,
    probing: Probing,
    suspicions: Suspicions,
    dissemination: Dissemination,
    anti_entropy: AntiEntropy,
    budget: SendBudget,
    health: LocalHealth,
    metrics: Metrics,
    outputs: VecDeque<Output>,
    left_at: Option<Micros>,
    /// The result of [`Membership::next_wake`] after the last input.
    wake: Micros,
}

impl Membership {
    /// Creates a member that knows no other member yet.
    ///
    /// # Errors
    ///
    /// Returns a [`ConfigError`] if a setting is out of its range.
    pub fn new(config: Config, now: Micros) -> Result<Membership, ConfigError> {
        config.validate()?;
        let mut rng = fastrand::Rng::with_seed(config.seed ^ u64::from(config.place) << 48);
        let mut view = View::new(config.peers, now);
        view.members[usize::from(config.place)] =
            Member { state: State::Alive, epoch: config.epoch, incarnation: 0, since: now };
        // Random offsets, so that members that start together do not send their probes and exchanges at the same time.
        let [next_probe, next_sync, next_lookup] =
            [config.probe_period, config.sync_period, config.probe_period].map(|span| now + rng.u64(0..span));
        let mut member = Membership {
            now,
            view,
            present: 1,
            facts: Facts::default(),
            fact_expiries: BTreeSet::new(),
            fact_number: 0,
            last_received: vec![0; config.peers.into()],
            last_received_any: now,
            probing: Probing::new(rng.u32(..), now, next_probe, next_lookup),
            suspicions: Suspicions::default(),
            dissemination: Dissemination::new(now),
            anti_entropy: AntiEntropy::new(next_sync),
            budget: SendBudget::new(config.budget),
            health: LocalHealth::new(config.max_health),
            metrics: Metrics::default(),
            outputs: VecDeque::new(),
            left_at: None,
            wake: 0,
            rng,
            config,
        };
        member.dissemination.push_state(member.config.place);
        member.wake = member.next_wake();
        Ok(member)
    }

    /// Marks all places as alive at these epochs, as if their members had been known for a long time. For simulations that
    /// start in a steady state.
    #[doc(hidden)]
    pub fn assume_all_alive(&mut self, epochs: &[u64]) {
        for (member, epoch) in self.view.members.iter_mut().zip(epochs) {
            *member = Member { state: State::Alive, epoch: *epoch, incarnation: 0, since: self.now };
        }
        let own_place = self.config.place;
        let others = (0..self.config.peers).filter(|place| *place != own_place).collect();
        self.probing.start_round(others, &mut self.rng);
        self.present = self.view.members.len();
        self.dissemination.remove_state(own_place);
        self.wake = self.next_wake();
    }

    /// Processes a datagram from the address of the place `from`. The caller may truncate a datagram that is too long to
    /// [`MAX_DATAGRAM_BYTES`](crate::MAX_DATAGRAM_BYTES) plus one byte.
    pub fn receive(&mut self, now: Micros, from: u16, datagram: &[u8]) {
        self.advance(now);
        self.metrics.received_bytes += datagram.len() as u64;
        let route = Route { from, to: self.config.place, peers: self.config.peers };
        match wire::read(datagram, route) {
            Ok(datagram) => {
                self.metrics.received += 1;
                if self.left_at.is_none() {
                    self.on_datagram(from, datagram);
                }
            }
            Err(DatagramError::TooLong) => self.metrics.refused_long += 1,
            Err(DatagramError::UnknownVersion) => self.metrics.refused_version += 1,
            Err(DatagramError::ForeignPlace) => self.metrics.refused_foreign += 1,
            Err(DatagramError::Malformed) => self.metrics.refused_malformed += 1,
        }
        self.wake = self.next_wake();
    }

    /// Runs all timers that are due. Call this at the time of [`Membership::next_wake`].
    pub fn tick(&mut self, now: Micros) {
        self.advance(now);
        self.forget_expired_facts();
        match self.left_at {
            Some(left_at) => self.on_timer_after_leave(left_at),
            None => self.on_timer(),
        }
        self.wake = self.next_wake();
    }

    /// The latest time for the next call of [`Membership::tick`]; `u64::MAX` if there is nothing more to do. Every call of
    /// another method may change it.
    pub fn next_wake(&self) -> Micros {
        let gossip = self.next_gossip();
        let fact_expiry = self.fact_expiries.first().map(|(at, _)| *at);
        if let Some(left_at) = self.left_at {
            let gossip = gossip.filter(|at| *at < left_at + LEAVE_GOSSIP_TIME);
            return gossip.into_iter().chain(fact_expiry).min().unwrap_or(u64::MAX);
        }
        let probe_or_sync = self.probing.next_wake().min(self.anti_entropy.next_sync());
        let others = [gossip, fact_expiry, self.suspicions.next_expiry()];
        others.into_iter().flatten().fold(probe_or_sync, Micros::min)
    }

    /// Leaves the group. This member announces that it leaves, so the others do not declare it dead, and ignores all
    /// further datagrams.
    pub fn leave(&mut self, now: Micros) {
        self.advance(now);
        if self.left_at.is_some() {
            return;
        }
        self.left_at = Some(self.now);
        let MemberVersion { epoch, incarnation } = self.own_version();
        let version = MemberVersion { epoch, incarnation: incarnation + 1 };
        self.set_state(self.config.place, State::Left, version);
        self.probing.stop();
        for _ in 0..self.retransmissions(self.config.gossip_factor) {
            let to = self.random_present(&[]);
            to.into_iter().for_each(|to| self.send(to, &Body::Gossip, Priority::Urgent));
        }
        self.schedule_next_gossip();
        self.wake = self.next_wake();
    }

    /// Takes the next output. Call this after every call of another method, until it returns `None`.
    pub fn poll(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    /// This member's own place.
    pub fn place(&self) -> u16 {
        self.config.place
    }

    /// This member's view of all places.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// Publishes a fact to all members. It replaces this member's earlier fact of the same kind and slot.
    ///
    /// # Errors
    ///
    /// Returns a [`FactError`] if the fact is too long, if this member already has facts in [`MAX_FACTS_PER_MEMBER`] other
    /// slots, or if it has left.
    pub fn publish(&mut self, now: Micros, kind: u8, slot: u32, bytes: &[u8]) -> Result<(), FactError> {
        self.advance(now);
        if bytes.len() > MAX_FACT_BYTES {
            return Err(FactError::TooLong(bytes.len()));
        }
        if self.left_at.is_some() {
            return Err(FactError::Left);
        }
        let key = FactKey { kind, slot };
        let (place, epoch) = (self.config.place, self.own_version().epoch);
        let is_full =
            self.facts.count_of(place) >= MAX_FACTS_PER_MEMBER && self.facts.get(place, key).is_none();
        // A fact of an earlier epoch of this place is dropped by the merge, to make room for the new one.
        if is_full && self.facts.oldest_stamp(place).is_none_or(|oldest| oldest.epoch == epoch) {
            return Err(FactError::Full);
        }
        self.fact_number += 1;
        self.facts.merge(place, key, Stamp { epoch, number: self.fact_number }, bytes);
        self.metrics.facts_published += 1;
        self.dissemination.push_fact(FactId { place, key });
        self.wake = self.next_wake();
        Ok(())
    }

    /// All facts that this member holds, including its own, ordered by place, kind and slot.
    pub fn facts(&self) -> impl Iterator<Item = Fact<'_>> {
        self.facts.iter()
    }

    /// The counters since the start, and the current gauges.
    pub fn metrics(&self) -> Metrics {
        Metrics { health: self.health.score(), facts_held: self.facts.count() as u64, ..self.metrics }
    }

    fn own_version(&self) -> MemberVersion {
        self.view.at(self.config.place).version()
    }

    /// Advances the time to `now`; an earlier time is ignored.
    fn advance(&mut self, now: Micros) {
        let now = now.max(self.now);
        self.budget.refill(now - self.now);
        self.now = now;
        let lost = now.saturating_sub(self.wake);
        if lost > self.config.starvation_threshold && self.left_at.is_none() {
            self.on_starved(lost);
        }
    }

    /// Handles a wake that came much too late, because the process did not run. Missing datagrams prove nothing then, so all
    /// deadlines of other members are extended by the lost time.
    fn on_starved(&mut self, lost: Micros) {
        self.metrics.starved += 1;
        self.health.degrade();
        self.wake = self.now;
        self.suspicions.postpone(lost);
        self.probing.postpone(lost, self.now + self.config.probe_timeout);
    }

    fn forget_expired_facts(&mut self) {
        while let Some((_, place)) = self.fact_expiries.first().copied().filter(|(at, _)| *at <= self.now) {
            self.fact_expiries.pop_first();
            self.facts.forget(place);
        }
    }

    fn on_timer(&mut self) {
        self.expire_suspicions();
        self.follow_up_probes();
        self.begin_due_probes();
        self.gossip();
        self.sync_if_due();
    }

    fn on_timer_after_leave(&mut self, left_at: Micros) {
        if self.now < left_at + LEAVE_GOSSIP_TIME && self.dissemination.has_states() {
            self.gossip();
        }
    }

    fn on_datagram(&mut self, from: u16, datagram: Datagram) {
        let Datagram { sender, body, records } = datagram;
        let known = self.view.at(from);
        if sender.epoch < known.epoch {
            return self.on_stale_sender(from, &body);
        }
        self.last_received[usize::from(from)] = self.now;
        self.last_received_any = self.now;
        let proof_of_life =
            StateRecord { place: from, state: State::Alive, version: sender, accusers: Vec::new() };
        self.on_state_record(from, &proof_of_life);
        let has_appeared = !known.state.is_present() && self.view.state(from) == State::Alive;
        if has_appeared {
            self.sync_soon_with(from);
        }
        let before = self.view.at(self.config.place);
        for record in records {
            match record {
                Record::State(record) => self.on_state_record(from, &record),
                Record::Fact(record) => self.on_fact_record(&record),
            }
        }
        // The sender had a wrong state of this member. If the datagram is a ping, the answer carries the refutation.
        let has_refuted = self.view.at(self.config.place) != before;
        if has_refuted && !matches!(body, Body::Ping { .. }) {
            self.send(from, &Body::Gossip, Priority::Urgent);
        }
        self.on_body(from, body);
    }

    /// Handles a datagram from an earlier epoch of its sender: the sender's clock went back, or the datagram was delayed. A
    /// sender that probes is alive, and is sent the later epoch so that it can raise its own.
    fn on_stale_sender(&mut self, from: u16, body: &Body) {
        self.metrics.refused_stale += 1;
        if matches!(body, Body::Ping { .. } | Body::PingRequest { .. }) {
            let record = self.state_record(from);
            self.send_with_records(from, &Body::Gossip, Priority::Urgent, &[record]);
        }
    }

    fn on_body(&mut self, from: u16, body: Body) {
        match body {
            Body::Ping { seq } => self.send(from, &Body::Ack { seq }, Priority::Urgent),
            Body::Ack { seq } => self.on_ack(from, seq),
            Body::Nack { seq } => self.probing.on_nack(from, seq),
            Body::PingRequest { seq, target } => self.on_ping_request(from, seq, target),
            Body::Gossip => {}
            Body::Digest { salt, hashes } => self.on_digest(from, salt, &hashes),
            Body::MemberPage(page) => self.on_member_page(from, &page),
            Body::FactList(list) => self.on_fact_list(from, &list),
            Body::FactRequest { place, keys } => self.on_fact_request(from, place, &keys),
        }
    }

    /// Sets the state and the version of a place, reports a change, and queues the update for dissemination.
    fn set_state(&mut self, place: u16, to: State, version: MemberVersion) {
        let was = self.view.at(place);
        let MemberVersion { epoch, incarnation } = version;
        mothproxy_invariant::invariant!(version >= was.version(), "the version of place {place} decreased");
        let since = if was.state == to { was.since } else { self.now };
        self.view.members[usize::from(place)] = Member { state: to, epoch, incarnation, since };
        if was.state != to || was.epoch != epoch {
            self.view.version += 1;
            let version = self.view.version;
            self.outputs.push_back(Output::Changed(Change { place, epoch, from: was.state, to, version }));
        }
        if to != State::Suspect {
            self.suspicions.end(place);
        }
        if was.state.is_gone() {
            self.fact_expiries.remove(&(was.since + self.config.forget_after, place));
        }
        if to.is_gone() && place != self.config.place {
            self.fact_expiries.insert((since + self.config.forget_after, place));
        }
        match (was.state.is_present(), to.is_present()) {
            (false, true) => {
                self.present += 1;
                self.probing.insert_target(place, &mut self.rng);
            }
            (true, false) => self.present -= 1,
            _ => {}
        }
        self.probing.clear_accusation(place);
        self.dissemination.push_state(place);
    }

    /// A random other member that is present and not in `except`.
    fn random_present(&mut self, except: &[u16]) -> Option<u16> {
        /// The number of random draws from all places before a linear search from a random place.
        const DRAWS: usize = 8;
        let (own_place, peers) = (self.config.place, self.config.peers);
        let fits = |view: &View, place: u16| {
            place != own_place && view.state(place).is_present() && !except.contains(&place)
        };
        for _ in 0..DRAWS {
            let place = self.rng.u16(0..peers);
            if fits(&self.view, place) {
                return Some(place);
            }
        }
        let start = self.rng.u16(0..peers);
        (start..peers).chain(0..start).find(|place| fits(&self.view, *place))
    }
}
