//! Many members and the net between them, in one process and on a clock of its own: an event queue over the same state
//! machines that run on sockets. Everything follows from a seed.
//!
//! [`Network`] is the model, [`scenarios`] what was asked of it, [`proof`] all stories with their verdict, which
//! `examples/membership_model.rs` prints.

pub mod scenarios;

use crate::{Change, Config, Membership, Micros, Output, OwnedFact, State, VERSION};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

pub use scenarios::{Extent, Report, proof, run};

/// One second.
pub const SECOND: Micros = 1_000_000;
/// What a socket keeps for a process that does not read.
const INBOX: usize = 256;

/// What the net does to datagrams.
#[derive(Debug, Clone)]
pub struct Faults {
    /// This part is lost.
    pub loss: f64,
    /// This part comes twice.
    pub repeat: f64,
    /// Under way for at least and at most this long.
    pub latency: (Micros, Micros),
    /// The side of each place; what would cross is lost.
    pub sides: Vec<u8>,
    /// Places that nothing reaches, though what they send arrives.
    pub deaf: Vec<bool>,
    /// From here to there nothing comes through; the other way it does.
    pub one_way: Vec<(u16, u16)>,
}

/// A change that a member saw.
#[derive(Debug, Clone, Copy)]
pub struct Seen {
    /// When.
    pub at: Micros,
    /// By whom.
    pub by: u16,
    /// What.
    pub change: Change,
}

struct Node {
    member: Option<Membership>,
    epoch: u64,
    starts: u64,
    paused: bool,
    inbox: VecDeque<(u16, Vec<u8>)>,
    /// The earliest wake in the queue.
    wake: Micros,
    facts: Vec<OwnedFact>,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrives { to: u16, from: u16, bytes: Vec<u8> },
    Wakes { place: u16 },
}

/// The members and the net.
pub struct Network {
    /// The time.
    pub now: Micros,
    /// What the net does from now on.
    pub faults: Faults,
    /// Every change that any member saw.
    pub seen: Vec<Seen>,
    rng: fastrand::Rng,
    nodes: Vec<Node>,
    queue: BinaryHeap<Reverse<(Micros, u64, Event)>>,
    events: u64,
    set: Box<dyn Fn(&mut Config) + Send>,
    seed: u64,
}

impl Network {
    /// So many members that all know each other already, or (not `warm`) that start within a second and know nobody.
    pub fn new(members: u16, seed: u64, warm: bool, set: impl Fn(&mut Config) + Send + 'static) -> Network {
        let faults = Faults {
            loss: 0.0,
            repeat: 0.0,
            latency: (200, 2_000),
            sides: vec![0; members.into()],
            deaf: vec![false; members.into()],
            one_way: Vec::new(),
        };
        let rng = fastrand::Rng::with_seed(seed);
        let set = Box::new(set);
        let queue = BinaryHeap::new();
        let mut net = Network {
            now: SECOND,
            faults,
            seen: Vec::new(),
            rng,
            nodes: Vec::new(),
            queue,
            events: 0,
            set,
            seed,
        };
        for place in 0..members {
            let epoch = 1_700_000_000_000 + net.rng.u64(0..5_000) * u64::from(!warm) + u64::from(place);
            let inbox = VecDeque::new();
            let facts = Vec::new();
            net.nodes.push(Node {
                member: None,
                epoch,
                starts: 0,
                paused: false,
                inbox,
                wake: u64::MAX,
                facts,
            });
        }
        let epochs: Vec<u64> = net.nodes.iter().map(|n| n.epoch).collect();
        for place in 0..members {
            net.start(place);
            if warm {
                let member = net.nodes[usize::from(place)].member.as_mut();
                member.into_iter().for_each(|m| m.assume(&epochs));
                net.act(place);
            }
        }
        net
    }

    /// Starts a process at this place, with an epoch after that of the one before.
    pub fn start(&mut self, place: u16) {
        let peers = self.nodes.len() as u16;
        let now = self.now;
        let node = &mut self.nodes[usize::from(place)];
        node.epoch += 10_000 * u64::from(node.starts > 0);
        node.starts += 1;
        node.facts.clear();
        let seed = self.seed ^ node.starts << 40;
        let mut config = Config::new(place, peers, node.epoch, seed);
        (self.set)(&mut config);
        node.member = Membership::new(config, now).ok();
        node.wake = u64::MAX;
        self.act(place);
    }

    /// Ends the process at this place, without a word.
    pub fn kill(&mut self, place: u16) {
        let node = &mut self.nodes[usize::from(place)];
        node.member = None;
        node.inbox.clear();
        node.paused = false;
    }

    /// Stops it (SIGSTOP) or lets it go on; what came meanwhile then waits for it, the first few.
    pub fn pause(&mut self, place: u16, paused: bool) {
        self.nodes[usize::from(place)].paused = paused;
        if !paused {
            let inbox = std::mem::take(&mut self.nodes[usize::from(place)].inbox);
            inbox.into_iter().for_each(|(from, bytes)| self.arrive(place, from, &bytes));
            self.wake(place);
        }
    }

    /// Does something to a member, and what follows from it.
    pub fn with<T>(&mut self, place: u16, what: impl FnOnce(&mut Membership, Micros) -> T) -> Option<T> {
        let now = self.now;
        let done = self.nodes[usize::from(place)].member.as_mut().map(|m| what(m, now));
        self.act(place);
        done
    }

    /// The member at this place, if its process runs (or is paused).
    pub fn member(&self, place: u16) -> Option<&Membership> {
        self.nodes[usize::from(place)].member.as_ref()
    }

    /// All processes there are, paused ones too.
    pub fn members(&self) -> impl Iterator<Item = (u16, &Membership)> {
        (0..).zip(&self.nodes).filter_map(|(place, n)| n.member.as_ref().map(|m| (place, m)))
    }

    /// What this member was told of facts, in order.
    pub fn facts(&self, place: u16) -> &[OwnedFact] {
        &self.nodes[usize::from(place)].facts
    }

    /// A datagram that no member has sent.
    pub fn forge(&mut self, to: u16, from: u16, bytes: &[u8]) {
        self.arrive(to, from, bytes);
    }

    /// Runs to this time.
    pub fn run_to(&mut self, until: Micros) {
        self.run_while(until, |_| true);
    }

    /// Runs to this time, or until this does not hold any more, as asked within 5 ms after a change. Returns whether it
    /// ended early.
    pub fn run_while(&mut self, until: Micros, mut holds: impl FnMut(&Network) -> bool) -> bool {
        let (mut changes, mut asked) = (usize::MAX, 0);
        loop {
            if changes != self.seen.len() && self.now >= asked + 5_000 {
                (changes, asked) = (self.seen.len(), self.now);
                if !holds(self) {
                    return true;
                }
            }
            match self.queue.peek() {
                Some(Reverse((at, ..))) if *at <= until => {}
                _ => {
                    self.now = until;
                    return false;
                }
            }
            let Some(Reverse((at, _, event))) = self.queue.pop() else { return false };
            self.now = at;
            match event {
                Event::Arrives { to, from, bytes } => self.arrive(to, from, &bytes),
                Event::Wakes { place } => {
                    if self.nodes[usize::from(place)].wake == at {
                        self.nodes[usize::from(place)].wake = u64::MAX;
                        self.wake(place);
                    }
                }
            }
        }
    }

    fn arrive(&mut self, to: u16, from: u16, bytes: &[u8]) {
        let now = self.now;
        let node = &mut self.nodes[usize::from(to)];
        if node.paused {
            if node.inbox.len() < INBOX {
                node.inbox.push_back((from, bytes.to_vec()));
            }
        } else if let Some(member) = &mut node.member {
            member.receive(now, from, bytes);
            self.act(to);
        }
    }

    fn wake(&mut self, place: u16) {
        let now = self.now;
        let node = &mut self.nodes[usize::from(place)];
        if let Some(member) = node.member.as_mut().filter(|_| !node.paused) {
            if member.next_wake() <= now {
                member.tick(now);
            }
            self.act(place);
        }
    }

    fn push(&mut self, at: Micros, event: Event) {
        self.events += 1;
        self.queue.push(Reverse((at, self.events, event)));
    }

    fn act(&mut self, place: u16) {
        let now = self.now;
        while let Some(output) = self.nodes[usize::from(place)].member.as_mut().and_then(Membership::poll) {
            match output {
                Output::Send { to, bytes } => self.carry(place, to, bytes),
                Output::Changed(change) => self.seen.push(Seen { at: now, by: place, change }),
                Output::Fact(fact) => self.nodes[usize::from(place)].facts.push(fact),
            }
        }
        let node = &mut self.nodes[usize::from(place)];
        let wake = node.member.as_ref().map_or(u64::MAX, Membership::next_wake).max(now + 1);
        if wake < node.wake {
            node.wake = wake;
            self.push(wake, Event::Wakes { place });
        }
    }

    fn carry(&mut self, from: u16, to: u16, bytes: Vec<u8>) {
        let faults = &self.faults;
        let cut = faults.sides[usize::from(from)] != faults.sides[usize::from(to)]
            || faults.deaf[usize::from(to)]
            || faults.one_way.contains(&(from, to));
        let (loss, repeat, (least, most)) = (faults.loss, faults.repeat, faults.latency);
        if cut || self.rng.f64() < loss {
            return;
        }
        let twice = self.rng.f64() < repeat;
        for _ in 0..=u8::from(twice) {
            let at = self.now + self.rng.u64(least..=most);
            self.push(at, Event::Arrives { to, from, bytes: bytes.clone() });
        }
    }

    /// Whether all processes that run hold all others that run alive, at their present epochs, and all the rest gone.
    pub fn agreed(&self) -> bool {
        self.members().all(|(_, m)| {
            m.view().iter().zip(&self.nodes).all(|((_, member), node)| match &node.member {
                Some(there) => {
                    member.state == State::Alive
                        && Some(member.epoch) == there.view().member(there.place()).map(|m| m.epoch)
                }
                None => !matches!(member.state, State::Alive | State::Suspect),
            })
        })
    }

    /// Deaths seen of places whose process ran all the while and was never cut off: by the caller's word, `live`.
    pub fn deaths(&self, since: Micros, live: impl Fn(u16) -> bool) -> usize {
        let dead =
            |s: &&Seen| s.at >= since && s.change.to == State::Dead && live(s.change.place) && live(s.by);
        self.seen.iter().filter(dead).count()
    }

    /// Bytes sent by all members so far.
    pub fn sent_bytes(&self) -> u64 {
        self.members().map(|(_, m)| m.metrics().sent_bytes).sum()
    }

    /// Bytes that no version of the protocol sent: some random, some almost right, some old datagrams turned round.
    pub fn rubbish(&mut self) -> Vec<u8> {
        let mut bytes: Vec<u8> = (0..self.rng.usize(0..400)).map(|_| self.rng.u8(..)).collect();
        if let Some(first) = bytes.first_mut() {
            *first = if self.rng.bool() { VERSION } else { *first };
        }
        bytes
    }

    /// A number below this, from the net's seed.
    pub fn lot(&mut self, below: u64) -> u64 {
        self.rng.u64(0..below)
    }
}
