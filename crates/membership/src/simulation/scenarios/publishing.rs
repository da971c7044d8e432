//! Scenarios in which all members publish facts.

use super::{Extent, Report, seconds};
use crate::simulation::{Network, SECOND};
use crate::{Micros, OwnedFact};

/// The number of slots of each member. Consecutive facts go to consecutive slots.
const SLOTS: u64 = 16;
/// The kind of the facts.
const KIND: u8 = 1;

struct FactsRun {
    /// The mean sending rate of a member, in bytes per second.
    bytes_per_second: f64,
    /// The time from the last publication until all members hold the same facts, in seconds; infinite if it exceeds 60 s.
    converged_after: f64,
}

/// The mean sending rate of a member since a time, in bytes per second.
fn bytes_per_second(network: &Network, members: u16, since: Micros, sent_before: u64) -> f64 {
    let sent = (network.sent_bytes() - sent_before) as f64;
    sent / f64::from(members) / seconds(network.now - since)
}

/// Each member publishes a fact per second. One in ten datagrams is lost, the network is partitioned for a while, and one
/// member restarts. In the end all members must hold the same facts, the last of each slot.
pub(super) fn facts(extent: Extent, members: u16, seeds: u64) -> Report {
    let runs = extent.for_each_seed(seeds, |seed| facts_run(extent, members, seed));
    let mut report = Report::default();
    let converged_after = runs.iter().map(|run| run.converged_after);
    report.record_quantile(format!("facts_same_p99_s_{members}"), 0.99, converged_after);
    report
        .record_mean(format!("facts_bytes_a_second_{members}"), runs.iter().map(|run| run.bytes_per_second));
    report.check(
        runs.iter().all(|run| run.converged_after.is_finite()),
        format!("{members} members hold different facts 60 s after the last publication"),
    );
    report
}

fn facts_run(extent: Extent, members: u16, seed: u64) -> FactsRun {
    let mut network = extent.settled_network(members, seed);
    network.faults.loss = 0.1;
    let (sent_before, started_at) = (network.sent_bytes(), network.now);
    for second in 0..40_u64 {
        let is_partitioned = (10..25).contains(&second);
        network.faults.sides = (0..members).map(|place| u8::from(is_partitioned && place % 2 == 0)).collect();
        if second == 30 {
            network.kill(1);
            network.start(1);
        }
        for place in 0..members {
            let mut bytes = [0; 20];
            bytes[..2].copy_from_slice(&[second as u8, place as u8]);
            network.with(place, |member, now| member.publish(now, KIND, (second % SLOTS) as u32, &bytes));
        }
        network.run_for(SECOND);
    }
    let published_at = network.now;
    let bytes_per_second = bytes_per_second(&network, members, started_at, sent_before);
    let mut converged_after = f64::INFINITY;
    for quarter in 0..240_u64 {
        network.run_to(published_at + quarter * SECOND / 4);
        let first = facts_held(&network, 0);
        let is_complete = first.len() == usize::from(members) * SLOTS as usize;
        if is_complete && (1..members).all(|place| facts_held(&network, place) == first) {
            converged_after = seconds(network.now - published_at);
            break;
        }
    }
    FactsRun { bytes_per_second, converged_after }
}

/// All facts that a member holds.
fn facts_held(network: &Network, place: u16) -> Vec<OwnedFact> {
    let facts = network.member(place).into_iter().flat_map(crate::Membership::facts);
    let owned = |fact: crate::Fact<'_>| OwnedFact {
        kind: fact.kind,
        place: fact.place,
        epoch: fact.epoch,
        slot: fact.slot,
        number: fact.number,
        bytes: fact.bytes.to_vec(),
    };
    facts.map(owned).collect()
}

struct FloodRun {
    /// The mean sending rate of a member during the publications, in bytes per second.
    bytes_per_second: f64,
    /// The time from the last publication until all members hold the last fact of each slot, or until the end of the run, in
    /// seconds.
    ended_after: f64,
    /// Whether all members hold the last fact of each slot at the end of the run.
    has_converged: bool,
    false_deaths: usize,
}

/// Each member publishes ten long facts per second, many times more than the budget allows. No member may be declared
/// dead, the mean sending rate may exceed the budget by less than 10%, and all members must hold the last fact of each slot
/// within 120 s of the last publication.
pub(super) fn flood(extent: Extent, members: u16, seeds: u64) -> Report {
    let runs = extent.for_each_seed(seeds, |seed| flood_run(extent, members, seed));
    let mut report = Report::default();
    let rate = runs.iter().map(|run| run.bytes_per_second).fold(0.0, f64::max);
    let ended_after = runs.iter().map(|run| run.ended_after);
    report.record(format!("flood_bytes_a_second_{members}"), rate);
    report.record_quantile(format!("flood_same_p99_s_{members}"), 0.99, ended_after);
    report.check(
        rate < 16_384.0 * 1.1,
        format!("a flood of facts: a mean rate of {rate} bytes/s, beyond the budget"),
    );
    report.check(
        runs.iter().all(|run| run.has_converged),
        "a flood of facts: members hold different facts 120 s after the last publication",
    );
    report.check(
        runs.iter().all(|run| run.false_deaths == 0),
        "a flood of facts: a running member was declared dead",
    );
    report
}

fn flood_run(extent: Extent, members: u16, seed: u64) -> FloodRun {
    const ROUNDS: u64 = 200;
    let mut network = extent.settled_network(members, seed);
    let (sent_before, started_at) = (network.sent_bytes(), network.now);
    for round in 0..ROUNDS {
        for place in 0..members {
            let bytes = [round as u8; 150];
            network.with(place, |member, now| member.publish(now, KIND, (round % SLOTS) as u32, &bytes));
        }
        network.run_for(SECOND / 10);
    }
    let published_at = network.now;
    let bytes_per_second = bytes_per_second(&network, members, started_at, sent_before);
    let all_hold_latest = |network: &Network| {
        network.members().all(|(_, member)| {
            let last = member.facts().filter(|fact| fact.number > ROUNDS - SLOTS).count();
            last == usize::from(members) * SLOTS as usize
        })
    };
    while !all_hold_latest(&network) && network.now < published_at + 120 * SECOND {
        network.run_for(SECOND);
    }
    FloodRun {
        bytes_per_second,
        ended_after: seconds(network.now - published_at),
        has_converged: all_hold_latest(&network),
        false_deaths: network.false_deaths(0, |_| true),
    }
}
