//! A discrete-event simulation of many members and the network between them.
//!
//! The simulation runs the state machines that the program runs on sockets, in one process and with a virtual clock. A seed
//! determines the run. [`Network`] is the simulation, and [`scenarios`] has the experiments. [`proof`] runs all scenarios and
//! checks their results; `examples/membership_model.rs` prints them.

mod faults;
pub mod scenarios;

use crate::{Change, Config, Membership, Micros, Output, OwnedFact, State, VERSION};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

pub use faults::{Direction, Faults};
pub use scenarios::{Extent, Report, proof, run};

/// A second, in microseconds.
pub const SECOND: Micros = 1_000_000;
/// The number of datagrams that a socket buffers for a paused process.
const RECEIVE_BUFFER_CAPACITY: usize = 256;
/// The minimum interval between two evaluations of the condition of [`Network::run_while`].
const CONDITION_INTERVAL: Micros = 5_000;
/// The epochs of members that start cold get a random offset below this, in milliseconds.
const COLD_START_MS: u64 = 5_000;
/// The difference between the epoch of a restarted process and that of its predecessor, in milliseconds.
const RESTART_MS: u64 = 10_000;
/// The epoch of the member at place 0, in milliseconds of Unix time.
const FIRST_EPOCH: u64 = 1_700_000_000_000;

/// A change of a member's view.
#[derive(Debug, Clone, Copy)]
pub struct ObservedChange {
    /// The time of the change.
    pub at: Micros,
    /// The place of the member whose view changed.
    pub by: u16,
    /// The change.
    pub change: Change,
}

/// What the members of a network know about each other at the start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Start {
    /// All members know each other.
    Warm,
    /// The members start at the same time and know no other member.
    Cold,
}

/// A place, with its process if one runs.
struct Node {
    member: Option<Membership>,
    epoch: u64,
    starts: u64,
    is_paused: bool,
    /// The sender and the bytes of each datagram that arrived while the process was paused.
    receive_buffer: VecDeque<(u16, Vec<u8>)>,
    /// The time of the earliest wake in the queue.
    wake: Micros,
    facts: Vec<OwnedFact>,
}

/// An event of the simulation.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    DatagramArrives { to: u16, from: u16, bytes: Vec<u8> },
    Wake { place: u16 },
}

/// An event in the queue, ordered by time and then by the order in which events were scheduled.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Scheduled {
    at: Micros,
    sequence: u64,
    event: Event,
}

/// The members and the network between them.
pub struct Network {
    /// The current time of the virtual clock.
    pub now: Micros,
    /// The faults that apply to datagrams sent from now on.
    pub faults: Faults,
    /// All changes of all members' views, in order.
    pub changes: Vec<ObservedChange>,
    rng: fastrand::Rng,
    nodes: Vec<Node>,
    queue: BinaryHeap<Reverse<Scheduled>>,
    scheduled: u64,
    adjust_config: Box<dyn Fn(&mut Config) + Send>,
    seed: u64,
}

impl Network {
    /// Creates a network and starts its members. `adjust_config` changes the configuration of each member before it starts.
    pub fn new(
        members: u16,
        seed: u64,
        start: Start,
        adjust_config: impl Fn(&mut Config) + Send + 'static,
    ) -> Network {
        let mut network = Network {
            now: SECOND,
            faults: Faults::none(members),
            changes: Vec::new(),
            rng: fastrand::Rng::with_seed(seed),
            nodes: Vec::new(),
            queue: BinaryHeap::new(),
            scheduled: 0,
            adjust_config: Box::new(adjust_config),
            seed,
        };
        network.add_nodes(members, start);
        network
    }

    fn add_nodes(&mut self, members: u16, start: Start) {
        for place in 0..members {
            let delay = self.rng.u64(0..COLD_START_MS);
            let delay = if start == Start::Cold { delay } else { 0 };
            self.nodes.push(Node {
                member: None,
                epoch: FIRST_EPOCH + delay + u64::from(place),
                starts: 0,
                is_paused: false,
                receive_buffer: VecDeque::new(),
                wake: u64::MAX,
                facts: Vec::new(),
            });
        }
        let epochs: Vec<u64> = self.nodes.iter().map(|node| node.epoch).collect();
        for place in 0..members {
            self.start(place);
            if start == Start::Warm {
                if let Some(member) = &mut self.node_mut(place).member {
                    member.assume_all_alive(&epochs);
                }
                self.carry_out_outputs(place);
            }
        }
    }

    fn node(&self, place: u16) -> &Node {
        &self.nodes[usize::from(place)]
    }

    fn node_mut(&mut self, place: u16) -> &mut Node {
        &mut self.nodes[usize::from(place)]
    }

    /// Starts a process at this place, with a greater epoch than its predecessor.
    pub fn start(&mut self, place: u16) {
        let peers = self.nodes.len() as u16;
        let (now, seed) = (self.now, self.seed);
        let node = self.node_mut(place);
        if node.starts > 0 {
            node.epoch += RESTART_MS;
        }
        node.starts += 1;
        node.facts.clear();
        let mut config = Config::new(place, peers, node.epoch, seed ^ node.starts << 40);
        (self.adjust_config)(&mut config);
        let node = self.node_mut(place);
        node.member = Membership::new(config, now).ok();
        node.wake = u64::MAX;
        self.carry_out_outputs(place);
    }

    /// Ends the process at this place without an announcement.
    pub fn kill(&mut self, place: u16) {
        let node = self.node_mut(place);
        node.member = None;
        node.receive_buffer.clear();
        node.is_paused = false;
    }

    /// Pauses a process, as SIGSTOP does. The first datagrams that arrive in the meantime are buffered.
    pub fn pause(&mut self, place: u16) {
        self.node_mut(place).is_paused = true;
    }

    /// Resumes a paused process.
    pub fn resume(&mut self, place: u16) {
        let node = self.node_mut(place);
        node.is_paused = false;
        let receive_buffer = std::mem::take(&mut node.receive_buffer);
        receive_buffer.into_iter().for_each(|(from, bytes)| self.on_datagram(place, from, &bytes));
        self.on_wake(place);
    }

    /// Calls `action` with a member and the time, and carries out the member's outputs. Returns `None` if no process runs.
    pub fn with<T>(&mut self, place: u16, action: impl FnOnce(&mut Membership, Micros) -> T) -> Option<T> {
        let now = self.now;
        let result = self.node_mut(place).member.as_mut().map(|member| action(member, now));
        self.carry_out_outputs(place);
        result
    }

    /// The member at this place, if its process runs or is paused.
    pub fn member(&self, place: u16) -> Option<&Membership> {
        self.node(place).member.as_ref()
    }

    /// All members whose processes run or are paused.
    pub fn members(&self) -> impl Iterator<Item = (u16, &Membership)> {
        (0..).zip(&self.nodes).filter_map(|(place, node)| node.member.as_ref().map(|member| (place, member)))
    }

    /// The facts that the member at this place received, in order.
    pub fn facts(&self, place: u16) -> &[OwnedFact] {
        &self.node(place).facts
    }

    /// Delivers a datagram that no member sent.
    pub fn forge(&mut self, to: u16, from: u16, bytes: &[u8]) {
        self.on_datagram(to, from, bytes);
    }

    /// Runs to this time.
    pub fn run_to(&mut self, until: Micros) {
        self.run_while(until, |_| true);
    }

    /// Runs for this long.
    pub fn run_for(&mut self, span: Micros) {
        self.run_to(self.now + span);
    }

    /// Runs to this time, or until `holds` returns false. `holds` is evaluated after changes of views, at most every 5 ms.
    /// Returns whether the run ended early.
    pub fn run_while(&mut self, until: Micros, mut holds: impl FnMut(&Network) -> bool) -> bool {
        let mut changes_checked = usize::MAX;
        let mut checked_at = 0;
        loop {
            let has_changed = changes_checked != self.changes.len();
            if has_changed && self.now >= checked_at + CONDITION_INTERVAL {
                changes_checked = self.changes.len();
                checked_at = self.now;
                if !holds(self) {
                    return true;
                }
            }
            if self.queue.peek().is_none_or(|Reverse(next)| next.at > until) {
                self.now = until;
                return false;
            }
            let Some(Reverse(Scheduled { at, event, .. })) = self.queue.pop() else { return false };
            self.now = at;
            match event {
                Event::DatagramArrives { to, from, bytes } => self.on_datagram(to, from, &bytes),
                // Wakes that were replaced by an earlier one are ignored.
                Event::Wake { place } if self.node(place).wake == at => {
                    self.node_mut(place).wake = u64::MAX;
                    self.on_wake(place);
                }
                Event::Wake { .. } => {}
            }
        }
    }

    fn on_datagram(&mut self, to: u16, from: u16, bytes: &[u8]) {
        let now = self.now;
        let node = self.node_mut(to);
        if node.is_paused {
            if node.receive_buffer.len() < RECEIVE_BUFFER_CAPACITY {
                node.receive_buffer.push_back((from, bytes.to_vec()));
            }
        } else if let Some(member) = &mut node.member {
            member.receive(now, from, bytes);
            self.carry_out_outputs(to);
        }
    }

    fn on_wake(&mut self, place: u16) {
        let now = self.now;
        let node = self.node_mut(place);
        if let Some(member) = node.member.as_mut().filter(|_| !node.is_paused) {
            if member.next_wake() <= now {
                member.tick(now);
            }
            self.carry_out_outputs(place);
        }
    }

    fn schedule(&mut self, at: Micros, event: Event) {
        self.scheduled += 1;
        self.queue.push(Reverse(Scheduled { at, sequence: self.scheduled, event }));
    }

    /// Carries out the outputs of a member: sends its datagrams, records its changes and facts, and schedules its next wake.
    fn carry_out_outputs(&mut self, place: u16) {
        let now = self.now;
        while let Some(output) = self.node_mut(place).member.as_mut().and_then(Membership::poll) {
            match output {
                Output::Send { to, bytes } => self.transmit(place, to, &bytes),
                Output::Changed(change) => self.changes.push(ObservedChange { at: now, by: place, change }),
                Output::Fact(fact) => self.node_mut(place).facts.push(fact),
            }
        }
        let node = self.node_mut(place);
        let wake = node.member.as_ref().map_or(u64::MAX, Membership::next_wake).max(now + 1);
        if wake < node.wake {
            node.wake = wake;
            self.schedule(wake, Event::Wake { place });
        }
    }

    fn transmit(&mut self, from: u16, to: u16, bytes: &[u8]) {
        if self.faults.blocks(Direction { from, to }) || self.rng.f64() < self.faults.loss {
            return;
        }
        let copies = if self.rng.f64() < self.faults.duplication { 2 } else { 1 };
        for _ in 0..copies {
            let at = self.now + self.rng.u64(self.faults.latency.clone());
            self.schedule(at, Event::DatagramArrives { to, from, bytes: bytes.to_vec() });
        }
    }

    /// Whether all views agree with the actual state: each running process is alive at its current epoch, and no other place
    /// is present.
    pub fn has_agreement(&self) -> bool {
        self.members().all(|(_, observer)| {
            observer.view().iter().zip(&self.nodes).all(|((_, observed), node)| match &node.member {
                Some(member) => {
                    let own = member.view().member(member.place());
                    observed.state == State::Alive && Some(observed.epoch) == own.map(|own| own.epoch)
                }
                None => !observed.state.is_present(),
            })
        })
    }

    /// Whether all other members have this place in this state in their views.
    pub fn others_observe(&self, place: u16, state: State) -> bool {
        let mut others = self.members().filter(|(other, _)| *other != place);
        others.all(|(_, member)| member.view().state(place) == state)
    }

    /// The number of false deaths since a time: a live member declared another live member dead. `is_live` selects the members
    /// that ran all the time and were never partitioned.
    pub fn false_deaths(&self, since: Micros, is_live: impl Fn(u16) -> bool) -> usize {
        let deaths = self.changes.iter().filter(|seen| seen.at >= since && seen.change.to == State::Dead);
        deaths.filter(|seen| is_live(seen.change.place) && is_live(seen.by)).count()
    }

    /// Bytes sent by all members so far.
    pub fn sent_bytes(&self) -> u64 {
        self.members().map(|(_, member)| member.metrics().sent_bytes).sum()
    }

    /// A datagram of random bytes. Half of these datagrams begin with the valid version.
    pub fn random_datagram(&mut self) -> Vec<u8> {
        let length = self.rng.usize(0..400);
        let mut bytes: Vec<u8> = (0..length).map(|_| self.rng.u8(..)).collect();
        if let Some(first) = bytes.first_mut() {
            *first = if self.rng.bool() { VERSION } else { *first };
        }
        bytes
    }

    /// A random number below `bound`.
    pub fn random_below(&mut self, bound: u64) -> u64 {
        self.rng.u64(0..bound)
    }

    /// The place of a random member.
    pub fn random_place(&mut self) -> u16 {
        self.random_below(self.nodes.len() as u64) as u16
    }
}
