//! Members of a group, driven by a table over the crate's own model of the net. Places are numbers from 0. Words: `P state` is
//! what all running members but P hold of it (one word for each state that some hold), `P from to to` a change that some
//! of them saw since the last `seen`.

use crate::table::{Machine, beyond};
use mothproxy_membership::simulation::{Direction, Network, Start};
use mothproxy_membership::{Config, Membership, Output, State, VERSION};
use serde::Deserialize;
use std::collections::BTreeSet;
use toml::{Table, Value};

const MS: u64 = 1_000;

#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
struct Given {
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

#[derive(Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
enum Verb {
    /// Milliseconds go by.
    Run(u64),
    Kill(u16),
    Start(u16),
    Leave(u16),
    Stop(u16),
    Resume(u16),
    /// Nothing reaches this place from now on, though what it sends arrives; or all of it again.
    Deaf(u16),
    Hears(u16),
    /// From here to there nothing comes through.
    OneWay(u16, u16),
    /// The side of each place; nothing crosses.
    Sides(Vec<u8>),
    /// What is held of a place.
    Held(u16),
    /// Whether the members that hold it alive know its present start.
    StartOf(u16),
    /// What was seen of a place.
    Seen(u16),
    /// Whether a place may hold work, as the others see it.
    Holds(u16),
    /// What a place holds of itself.
    Own(u16),
    /// How often a place has refuted.
    Refuted(u16),
    /// Bytes from a place that no member sent, and which figure counts them.
    Forge {
        to: u16,
        from: u16,
        bytes: Bytes,
    },
    Tell {
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

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Bytes {
    TooLong,
    CutShort,
    OtherVersion,
    Sound,
}

pub struct Members {
    net: Network,
    /// Changes up to here have been asked for.
    asked: usize,
}

fn name(state: State) -> &'static str {
    match state {
        State::Unknown => "unknown",
        State::Alive => "alive",
        State::Suspect => "suspect",
        State::Dead => "dead",
        State::Left => "left",
    }
}

impl Machine for Members {
    const SEEDS: u64 = 4;

    fn new(given: Value, seed: u64) -> Result<Members, String> {
        let given = Given::deserialize(given).map_err(|e| e.to_string())?;
        let start = if given.warm { Start::Warm } else { Start::Cold };
        let mut net = Network::new(given.members, seed, start, |_| {});
        net.faults.loss = given.loss;
        Ok(Members { net, asked: 0 })
    }

    #[allow(clippy::too_many_lines, reason = "one history or table of cases, read from top to bottom")]
    fn step(&mut self, step: Table) -> Result<Vec<String>, String> {
        let net = &mut self.net;
        let all = |net: &Network, but: u16, what: &dyn Fn(&Membership) -> String| {
            let words: BTreeSet<String> =
                net.members().filter(|(place, _)| *place != but).map(|(_, m)| what(m)).collect();
            words.into_iter().map(|word| format!("{but} {word}")).collect()
        };
        match Verb::deserialize(Value::Table(step)).map_err(|e| e.to_string())? {
            Verb::Run(span) => net.run_to(net.now + span * MS),
            Verb::Kill(place) => net.kill(place),
            Verb::Start(place) => net.start(place),
            Verb::Leave(place) => {
                net.with(place, mothproxy_membership::Membership::leave);
            }
            Verb::Stop(place) => net.pause(place),
            Verb::Resume(place) => net.resume(place),
            Verb::Deaf(place) => net.faults.inbound_blocked[usize::from(place)] = true,
            Verb::Hears(place) => net.faults.inbound_blocked[usize::from(place)] = false,
            Verb::OneWay(from, to) => net.faults.one_way.push(Direction { from, to }),
            Verb::Sides(sides) => net.faults.sides = sides,
            Verb::Held(of) => return Ok(all(net, of, &|m| name(m.view().state(of)).to_owned())),
            Verb::StartOf(of) => {
                let start = net.member(of).and_then(|m| m.view().member(of)).map(|m| m.epoch);
                let knows = |m: &Membership| {
                    if m.view().member(of).map(|m| m.epoch) == start {
                        "present start"
                    } else {
                        "earlier start"
                    }
                };
                return Ok(all(net, of, &|m| knows(m).to_owned()));
            }
            Verb::Holds(of) => {
                let holds = |m: &Membership| m.view().holders()[usize::from(of)];
                return Ok(all(net, of, &|m| if holds(m) { "may hold" } else { "holds none" }.to_owned()));
            }
            Verb::Own(of) => {
                let own = net.member(of).map_or("no process", |m| name(m.view().state(of)));
                return Ok(vec![format!("{of} {own}")]);
            }
            Verb::Refuted(of) => {
                let times = net.member(of).map_or(0, |m| m.metrics().refuted);
                return Ok(vec![format!("{of} refuted {times}")]);
            }
            Verb::Seen(of) => {
                let new = &net.changes[self.asked..];
                let of = new.iter().filter(|s| s.change.place == of && s.by != of).map(|s| s.change);
                let words: BTreeSet<String> =
                    of.map(|c| format!("{} {} to {}", c.place, name(c.from), name(c.to))).collect();
                self.asked = net.changes.len();
                return Ok(words.into_iter().collect());
            }
            Verb::Forge { to, from, bytes } => {
                let sound = sound(net, to)?;
                let bytes = match bytes {
                    Bytes::TooLong => [sound.as_slice(), &[0; 256]].concat(),
                    Bytes::CutShort => sound[..sound.len() / 2].to_vec(),
                    Bytes::OtherVersion => [&[VERSION + 1], &sound[1..]].concat(),
                    Bytes::Sound => sound,
                };
                let figures = |net: &Network| {
                    net.member(to).map(mothproxy_membership::Membership::metrics).unwrap_or_default()
                };
                let before = figures(net);
                net.forge(to, from, &bytes);
                let after = figures(net);
                let counts = [
                    ("understood", after.received - before.received),
                    ("too long", after.refused_long - before.refused_long),
                    ("of another version", after.refused_version - before.refused_version),
                    ("foreign", after.refused_foreign - before.refused_foreign),
                    ("not to be read", after.refused_malformed - before.refused_malformed),
                ];
                return Ok(counts.iter().filter(|c| c.1 > 0).map(|c| c.0.to_owned()).collect());
            }
            Verb::Tell { by, slot, text } => {
                let told = net.with(by, |member, now| member.publish(now, 1, slot, text.as_bytes()));
                if let Some(Err(fault)) = told {
                    return Err(fault.to_string());
                }
            }
            Verb::Fact { of, slot } => {
                let holds = |m: &Membership| {
                    let mut facts = m.facts().filter(|f| f.place == of && f.slot == slot);
                    facts
                        .next()
                        .map_or("nothing".to_owned(), |f| String::from_utf8_lossy(f.bytes).into_owned())
                };
                return Ok(all(net, of, &|m| format!("says {}", holds(m))));
            }
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

/// A datagram as a member might have sent it.
fn sound(net: &Network, to: u16) -> Result<Vec<u8>, String> {
    let from = u16::from(to == 0);
    let epoch = net.member(from).and_then(|m| m.view().member(from)).map_or(0, |m| m.epoch);
    let config = Config::new(from, net.members().count() as u16, epoch, 1);
    let mut member = Membership::new(config, 0).map_err(|e| e.to_string())?;
    for now in 0..1_000 {
        member.tick(now * 100 * MS);
        while let Some(output) = member.poll() {
            match output {
                Output::Send { to: whom, bytes } if whom == to => return Ok(bytes),
                _ => {}
            }
        }
    }
    Err("it sends nothing".to_owned())
}
