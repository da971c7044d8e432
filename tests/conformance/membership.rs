//! Runs conformance tables on the members of a group over the membership crate's simulated network. Places are numbered from 0.
//!
//! Observations cover the running members other than the place P that is asked about, one for each different value:
//!
//! - `P state`: the state in which a member holds P;
//! - `P from to to`: a change of state of P that a member has detected since the last `seen`;
//! - `P present start`, `P earlier start`: whether a member knows the current epoch of P;
//! - `P may hold`, `P holds none`: whether P may hold work in the view of a member;
//! - `P says text`: the fact of P that a member holds.
//!
//! `own` and `refuted` ask the member P itself. A forged datagram yields the name of each metric that counts it.

use crate::runner::{Machine, MachineError};
use crate::table::out_of_range;
use mothproxy_membership::simulation::{Direction, Network, Start};
use mothproxy_membership::{Config, Membership, Metrics, Output, State, VERSION};
use serde::Deserialize;
use std::collections::BTreeSet;

/// Microseconds in a millisecond.
const MS: u64 = 1_000;

/// The initial state of a row.
#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Given {
    members: u16,
    /// Whether all members know each other already.
    warm: bool,
    /// The fraction of datagrams that is lost.
    loss: f64,
}

impl Default for Given {
    fn default() -> Given {
        Given { members: 5, warm: true, loss: 0.0 }
    }
}

/// An input to the group, or a query of its state.
#[derive(Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum MembershipStep {
    /// Time passes, in milliseconds.
    #[serde(rename = "run")]
    Advance(u64),
    Kill(u16),
    Start(u16),
    Leave(u16),
    #[serde(rename = "stop")]
    Pause(u16),
    Resume(u16),
    /// Blocks all datagrams to this place; those that it sends still arrive.
    #[serde(rename = "deaf")]
    BlockInbound(u16),
    /// Delivers datagrams to this place again.
    #[serde(rename = "hears")]
    UnblockInbound(u16),
    /// Blocks all datagrams from the first place to the second.
    OneWay(u16, u16),
    /// Partitions the network; the argument is the side of each place.
    #[serde(rename = "sides")]
    Partition(Vec<u8>),
    /// The state in which other members hold a place.
    #[serde(rename = "held")]
    StateOf(u16),
    /// Whether other members know the current epoch of a place.
    StartOf(u16),
    /// The changes of state of a place that other members have detected since the last such query.
    #[serde(rename = "seen")]
    ChangesOf(u16),
    /// Whether a place may hold work in the view of other members.
    #[serde(rename = "holds")]
    MayHoldWork(u16),
    /// The state in which a place holds itself.
    #[serde(rename = "own")]
    OwnState(u16),
    /// How often a place has refuted a suspicion.
    Refuted(u16),
    /// Delivers a forged datagram, and returns the metrics that count it.
    Forge {
        to: u16,
        from: u16,
        bytes: ForgedDatagram,
    },
    #[serde(rename = "tell")]
    Publish {
        by: u16,
        slot: u32,
        text: String,
    },
    /// The fact that other members hold for a place and slot.
    Fact {
        of: u16,
        slot: u32,
    },
}

/// The kind of a forged datagram.
#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ForgedDatagram {
    TooLong,
    #[serde(rename = "cut_short")]
    Truncated,
    OtherVersion,
    #[serde(rename = "sound")]
    Valid,
}

/// The members of a group over a simulated network.
pub struct MembershipMachine {
    network: Network,
    /// The number of changes of state that queries have covered.
    reported_changes: usize,
}

fn state_name(state: State) -> &'static str {
    match state {
        State::Unknown => "unknown",
        State::Alive => "alive",
        State::Suspect => "suspect",
        State::Dead => "dead",
        State::Left => "left",
    }
}

impl Machine for MembershipMachine {
    const SEEDS: u64 = 4;

    type Given = Given;
    type Step = MembershipStep;

    fn new(given: Given, seed: u64) -> Result<MembershipMachine, MachineError> {
        let start = if given.warm { Start::Warm } else { Start::Cold };
        let mut network = Network::new(given.members, seed, start, |_| {});
        network.faults.loss = given.loss;
        Ok(MembershipMachine { network, reported_changes: 0 })
    }

    fn step(&mut self, step: MembershipStep) -> Result<Vec<String>, MachineError> {
        let network = &mut self.network;
        match step {
            MembershipStep::Advance(span) => network.run_to(network.now + span * MS),
            MembershipStep::Kill(place) => network.kill(place),
            MembershipStep::Start(place) => network.start(place),
            MembershipStep::Leave(place) => drop(network.with(place, Membership::leave)),
            MembershipStep::Pause(place) => network.pause(place),
            MembershipStep::Resume(place) => network.resume(place),
            MembershipStep::BlockInbound(place) => {
                network.faults.inbound_blocked[usize::from(place)] = true;
            }
            MembershipStep::UnblockInbound(place) => {
                network.faults.inbound_blocked[usize::from(place)] = false;
            }
            MembershipStep::OneWay(from, to) => network.faults.one_way.push(Direction { from, to }),
            MembershipStep::Partition(sides) => network.faults.sides = sides,
            MembershipStep::Publish { by, slot, text } => {
                let published = network.with(by, |member, now| member.publish(now, 1, slot, text.as_bytes()));
                published.transpose().map_err(MachineError::rejected)?;
            }
            MembershipStep::StateOf(place) => return Ok(self.states_of(place)),
            MembershipStep::StartOf(place) => return Ok(self.known_starts_of(place)),
            MembershipStep::MayHoldWork(place) => return Ok(self.holders(place)),
            MembershipStep::OwnState(place) => return Ok(self.own_state(place)),
            MembershipStep::Refuted(place) => return Ok(self.refuted(place)),
            MembershipStep::ChangesOf(place) => return Ok(self.new_changes_of(place)),
            MembershipStep::Fact { of, slot } => return Ok(self.facts(of, slot)),
            MembershipStep::Forge { to, from, bytes } => return self.forge(to, from, bytes),
        }
        Ok(Vec::new())
    }

    fn inverse(observation: &str) -> String {
        let inverses = [
            ("alive", "dead"),
            ("dead", "alive"),
            ("suspect", "dead"),
            ("unknown", "alive"),
            ("left", "dead"),
            ("may hold", "holds none"),
            ("holds none", "may hold"),
            ("present start", "earlier start"),
            ("understood", "foreign"),
            ("says", "says something else than"),
        ];
        let inverse = inverses.iter().find(|(from, _)| observation.ends_with(from));
        match inverse {
            _ if observation.is_empty() => "2 alive to dead".to_owned(),
            Some((from, to)) => format!("{}{to}", &observation[..observation.len() - from.len()]),
            None => out_of_range(observation),
        }
    }
}

impl MembershipMachine {
    /// The different observations of a place by the running members other than itself, each preceded by the place.
    fn observations_of_others(&self, place: u16, observe: impl Fn(&Membership) -> String) -> Vec<String> {
        let others = self.network.members().filter(|(other, _)| *other != place);
        let observations: BTreeSet<String> = others.map(|(_, member)| observe(member)).collect();
        observations.into_iter().map(|observation| format!("{place} {observation}")).collect()
    }

    fn states_of(&self, place: u16) -> Vec<String> {
        self.observations_of_others(place, |member| state_name(member.view().state(place)).to_owned())
    }

    fn known_starts_of(&self, place: u16) -> Vec<String> {
        let epoch = |member: &Membership| member.view().member(place).map(|known| known.epoch);
        let present = self.network.member(place).and_then(epoch);
        let observe = |member: &Membership| {
            let is_present = epoch(member) == present;
            if is_present { "present start" } else { "earlier start" }.to_owned()
        };
        self.observations_of_others(place, observe)
    }

    fn holders(&self, place: u16) -> Vec<String> {
        let observe = |member: &Membership| {
            let may_hold = member.view().holders()[usize::from(place)];
            if may_hold { "may hold" } else { "holds none" }.to_owned()
        };
        self.observations_of_others(place, observe)
    }

    fn own_state(&self, place: u16) -> Vec<String> {
        let member = self.network.member(place);
        let state = member.map_or("no process", |member| state_name(member.view().state(place)));
        vec![format!("{place} {state}")]
    }

    fn refuted(&self, place: u16) -> Vec<String> {
        let times = self.network.member(place).map_or(0, |member| member.metrics().refuted);
        vec![format!("{place} refuted {times}")]
    }

    /// The changes of state of a place that other members have detected since the last query.
    fn new_changes_of(&mut self, place: u16) -> Vec<String> {
        let new = &self.network.changes[self.reported_changes..];
        let detected_by_others = new.iter().filter(|seen| seen.change.place == place && seen.by != place);
        let observations: BTreeSet<String> = detected_by_others
            .map(|seen| format!("{place} {} to {}", state_name(seen.change.from), state_name(seen.change.to)))
            .collect();
        self.reported_changes = self.network.changes.len();
        observations.into_iter().collect()
    }

    fn facts(&self, place: u16, slot: u32) -> Vec<String> {
        let observe = |member: &Membership| {
            let mut facts = member.facts().filter(|fact| fact.place == place && fact.slot == slot);
            let text = facts.next().map(|fact| String::from_utf8_lossy(fact.bytes).into_owned());
            format!("says {}", text.unwrap_or_else(|| "nothing".to_owned()))
        };
        self.observations_of_others(place, observe)
    }

    /// Delivers a forged datagram, and returns the metrics of the receiver that count it.
    fn forge(&mut self, to: u16, from: u16, bytes: ForgedDatagram) -> Result<Vec<String>, MachineError> {
        let valid = valid_datagram(&self.network, to)?;
        let bytes = match bytes {
            ForgedDatagram::TooLong => [valid.as_slice(), &[0; 256]].concat(),
            ForgedDatagram::Truncated => valid[..valid.len() / 2].to_vec(),
            ForgedDatagram::OtherVersion => [&[VERSION + 1], &valid[1..]].concat(),
            ForgedDatagram::Valid => valid,
        };
        let before = self.metrics(to);
        self.network.forge(to, from, &bytes);
        let after = self.metrics(to);
        let counts = [
            ("understood", after.received - before.received),
            ("too long", after.refused_long - before.refused_long),
            ("of another version", after.refused_version - before.refused_version),
            ("foreign", after.refused_foreign - before.refused_foreign),
            ("not to be read", after.refused_malformed - before.refused_malformed),
        ];
        Ok(counts.iter().filter(|(_, count)| *count > 0).map(|(name, _)| (*name).to_owned()).collect())
    }

    fn metrics(&self, place: u16) -> Metrics {
        self.network.member(place).map(Membership::metrics).unwrap_or_default()
    }
}

/// A valid datagram from another member to this place.
fn valid_datagram(network: &Network, to: u16) -> Result<Vec<u8>, MachineError> {
    let from = u16::from(to == 0);
    let known = network.member(from).and_then(|member| member.view().member(from));
    let epoch = known.map_or(0, |known| known.epoch);
    let config = Config::new(from, network.members().count() as u16, epoch, 1);
    let mut member = Membership::new(config, 0).map_err(MachineError::rejected)?;
    for now in 0..1_000 {
        member.tick(now * 100 * MS);
        while let Some(output) = member.poll() {
            match output {
                Output::Send { to: receiver, bytes } if receiver == to => return Ok(bytes),
                _ => {}
            }
        }
    }
    Err(MachineError::Missing("datagram: the member sent none"))
}
