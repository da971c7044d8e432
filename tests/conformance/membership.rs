//! Members of a group, driven by a table over the crate's own model of the net. Places are numbers from 0. Words: `P state` is
//! what all running members but P hold of it (one word for each state that some hold), `P from to to` a change that some
//! of them saw since the last `seen`.

use crate::runner::{Machine, MachineError};
use crate::table::beyond;
use mothproxy_membership::simulation::{Direction, Network, Start};
use mothproxy_membership::{Config, Membership, Metrics, Output, State, VERSION};
use serde::Deserialize;
use std::collections::BTreeSet;

/// Microseconds in a millisecond.
const MS: u64 = 1_000;

/// The situation in which a row begins.
#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Given {
    members: u16,
    /// They all know each other already.
    warm: bool,
    /// The part of datagrams that is lost.
    loss: f64,
}

impl Default for Given {
    fn default() -> Given {
        Given { members: 5, warm: true, loss: 0.0 }
    }
}

/// What happens to the group, or what is asked of it.
#[derive(Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum MembershipStep {
    /// Milliseconds go by.
    Run(u64),
    Kill(u16),
    Start(u16),
    Leave(u16),
    #[serde(rename = "stop")]
    Pause(u16),
    Resume(u16),
    /// Nothing reaches this place from now on, though what it sends arrives.
    #[serde(rename = "deaf")]
    BlockInbound(u16),
    /// All of it arrives again.
    #[serde(rename = "hears")]
    UnblockInbound(u16),
    /// From here to there nothing comes through.
    OneWay(u16, u16),
    /// The side of each place; nothing crosses.
    #[serde(rename = "sides")]
    Partition(Vec<u8>),
    /// The state that the others hold of a place.
    #[serde(rename = "held")]
    StateOf(u16),
    /// Whether the members that hold it alive know its present start.
    StartOf(u16),
    /// What was seen of a place.
    #[serde(rename = "seen")]
    ChangesOf(u16),
    /// Whether a place may hold work, as the others see it.
    #[serde(rename = "holds")]
    MayHoldWork(u16),
    /// What a place holds of itself.
    #[serde(rename = "own")]
    OwnState(u16),
    /// How often a place has refuted.
    Refuted(u16),
    /// Bytes from a place that no member sent, and which figure counts them.
    Forge {
        to: u16,
        from: u16,
        bytes: Bytes,
    },
    #[serde(rename = "tell")]
    Publish {
        by: u16,
        slot: u32,
        text: String,
    },
    /// The fact that all others hold of a place and slot.
    Fact {
        of: u16,
        slot: u32,
    },
}

/// What is wrong with forged bytes.
#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Bytes {
    TooLong,
    CutShort,
    OtherVersion,
    Sound,
}

/// The members of a group over a simulated network.
pub struct MembershipMachine {
    network: Network,
    /// How many changes have been asked for.
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
            MembershipStep::Run(span) => network.run_to(network.now + span * MS),
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
                published.transpose().map_err(MachineError::refused)?;
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

    fn contrary(word: &str) -> String {
        let turned = [
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
        let other = turned.iter().find(|(from, _)| word.ends_with(from));
        match other {
            _ if word.is_empty() => "2 alive to dead".to_owned(),
            Some((from, to)) => format!("{}{to}", &word[..word.len() - from.len()]),
            None => beyond(word),
        }
    }
}

impl MembershipMachine {
    /// `P word` for each word that some running member other than P says of P.
    fn words_of_others(&self, place: u16, word: impl Fn(&Membership) -> String) -> Vec<String> {
        let others = self.network.members().filter(|(other, _)| *other != place);
        let words: BTreeSet<String> = others.map(|(_, member)| word(member)).collect();
        words.into_iter().map(|word| format!("{place} {word}")).collect()
    }

    fn states_of(&self, place: u16) -> Vec<String> {
        self.words_of_others(place, |member| state_name(member.view().state(place)).to_owned())
    }

    fn known_starts_of(&self, place: u16) -> Vec<String> {
        let epoch = |member: &Membership| member.view().member(place).map(|known| known.epoch);
        let present = self.network.member(place).and_then(epoch);
        let word = |member: &Membership| {
            let is_present = epoch(member) == present;
            if is_present { "present start" } else { "earlier start" }.to_owned()
        };
        self.words_of_others(place, word)
    }

    fn holders(&self, place: u16) -> Vec<String> {
        let word = |member: &Membership| {
            let may_hold = member.view().holders()[usize::from(place)];
            if may_hold { "may hold" } else { "holds none" }.to_owned()
        };
        self.words_of_others(place, word)
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

    /// What other members have seen of a place since changes were asked for last.
    fn new_changes_of(&mut self, place: u16) -> Vec<String> {
        let new = &self.network.changes[self.reported_changes..];
        let seen_by_others = new.iter().filter(|seen| seen.change.place == place && seen.by != place);
        let words: BTreeSet<String> = seen_by_others
            .map(|seen| format!("{place} {} to {}", state_name(seen.change.from), state_name(seen.change.to)))
            .collect();
        self.reported_changes = self.network.changes.len();
        words.into_iter().collect()
    }

    fn facts(&self, place: u16, slot: u32) -> Vec<String> {
        let word = |member: &Membership| {
            let mut facts = member.facts().filter(|fact| fact.place == place && fact.slot == slot);
            let text = facts.next().map(|fact| String::from_utf8_lossy(fact.bytes).into_owned());
            format!("says {}", text.unwrap_or_else(|| "nothing".to_owned()))
        };
        self.words_of_others(place, word)
    }

    /// Sends bytes that no member sent, and says which metrics of the receiver count them.
    fn forge(&mut self, to: u16, from: u16, bytes: Bytes) -> Result<Vec<String>, MachineError> {
        let sound = sound_datagram(&self.network, to)?;
        let bytes = match bytes {
            Bytes::TooLong => [sound.as_slice(), &[0; 256]].concat(),
            Bytes::CutShort => sound[..sound.len() / 2].to_vec(),
            Bytes::OtherVersion => [&[VERSION + 1], &sound[1..]].concat(),
            Bytes::Sound => sound,
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
        Ok(counts.iter().filter(|(_, count)| *count > 0).map(|(word, _)| (*word).to_owned()).collect())
    }

    fn metrics(&self, place: u16) -> Metrics {
        self.network.member(place).map(Membership::metrics).unwrap_or_default()
    }
}

/// A datagram as a member might have sent it to this place.
fn sound_datagram(network: &Network, to: u16) -> Result<Vec<u8>, MachineError> {
    let from = u16::from(to == 0);
    let known = network.member(from).and_then(|member| member.view().member(from));
    let epoch = known.map_or(0, |known| known.epoch);
    let config = Config::new(from, network.members().count() as u16, epoch, 1);
    let mut member = Membership::new(config, 0).map_err(MachineError::refused)?;
    for now in 0..1_000 {
        member.tick(now * 100 * MS);
        while let Some(output) = member.poll() {
            match output {
                Output::Send { to: receiver, bytes } if receiver == to => return Ok(bytes),
                _ => {}
            }
        }
    }
    Err(MachineError::Missing("datagram: the member sends nothing"))
}
