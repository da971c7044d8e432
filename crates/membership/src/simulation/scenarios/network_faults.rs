//! Scenarios with lost datagrams and network partitions.

use super::{Extent, Report, seconds};
use crate::State;
use crate::simulation::{Direction, SECOND};

struct LossRun {
    false_deaths: usize,
    /// The number of refutations by all members.
    refuted: u64,
    /// Whether all views agreed 20 s after the end of the loss.
    has_agreement: bool,
}

/// For 60 s, one in ten datagrams is lost, one in fifty arrives twice, and every 3 s a random member is paused for 1 s.
pub(super) fn loss(extent: Extent, members: u16, seeds: u64) -> Report {
    let runs = extent.for_each_seed(seeds, |seed| {
        let mut network = extent.settled_network(members, seed);
        network.faults.loss = 0.1;
        network.faults.duplication = 0.02;
        let end = network.now + 60 * SECOND;
        while network.now < end {
            let (place, until) = (network.random_place(), network.now + 3 * SECOND);
            network.pause(place);
            network.run_for(SECOND);
            network.resume(place);
            network.run_to(until);
        }
        network.faults.loss = 0.0;
        network.run_to(end + 20 * SECOND);
        LossRun {
            false_deaths: network.false_deaths(0, |_| true),
            refuted: network.members().map(|(_, member)| member.metrics().refuted).sum(),
            has_agreement: network.has_agreement(),
        }
    });
    let mut report = Report::default();
    let deaths: usize = runs.iter().map(|run| run.false_deaths).sum();
    report.record(format!("false_deaths_loss_{members}"), deaths as f64);
    let member_minutes = runs.len() as f64 * f64::from(members);
    let refuted = runs.iter().map(|run| run.refuted as f64).sum::<f64>();
    report.record(format!("refuted_a_member_minute_{members}"), refuted / member_minutes);
    report.check(
        deaths == 0,
        format!("{deaths} false deaths among {members} members with 10% of datagrams lost"),
    );
    report.check(
        runs.iter().all(|run| run.has_agreement),
        format!("{members} members: the views do not agree 20 s after the end of the loss"),
    );
    report
}

struct HealRun {
    /// Whether, in the view of each member, exactly the members of the other sides are dead.
    is_partition_detected: bool,
    /// The number of times that a member declared a member of its own side dead.
    deaths_within_sides: usize,
    /// Whether all views agreed within 60 s of the end of the partition.
    has_agreed: bool,
    /// The time from the end of the partition until all views agreed, in seconds.
    agreed_after: f64,
    /// The number of deaths that were declared after the end of the partition.
    deaths_after_heal: usize,
    /// How often a member became alive again in the view of a member of another side, per pair of such members; 1 if no
    /// state flaps.
    returns_per_pair: f64,
    /// Whether all views agreed at the end of the run.
    is_agreed_at_end: bool,
}

fn heal_run(extent: Extent, members: u16, sides: u16, seed: u64) -> HealRun {
    let mut network = extent.settled_network(members, seed);
    let side = |place: u16| place % sides;
    network.faults.sides = (0..members).map(|place| side(place) as u8).collect();
    network.run_for(30 * SECOND);
    let is_partition_detected = network.members().all(|(place, member)| {
        let mut entries = member.view().iter();
        entries.all(|(other, entry)| (entry.state == State::Dead) == (side(other) != side(place)))
    });
    let deaths = network.changes.iter().filter(|seen| seen.change.to == State::Dead);
    let deaths_within_sides = deaths.filter(|seen| side(seen.by) == side(seen.change.place)).count();
    network.faults.sides.fill(0);
    let (healed_at, changes_before) = (network.now, network.changes.len());
    let has_agreed = network.run_while(healed_at + 60 * SECOND, |net| !net.has_agreement());
    let agreed_after = seconds(network.now - healed_at);
    let observed_seconds = if members > 30 { 20 } else { 60 };
    network.run_to(healed_at + observed_seconds * SECOND);
    let changes_after = &network.changes[changes_before..];
    let returns = changes_after.iter().filter(|seen| seen.change.from == State::Dead).count();
    let members_of_other_sides =
        |place: u16| (0..members).filter(|other| side(*other) != side(place)).count();
    let pairs: usize = (0..members).map(members_of_other_sides).sum();
    HealRun {
        is_partition_detected,
        deaths_within_sides,
        has_agreed,
        agreed_after,
        deaths_after_heal: network.false_deaths(healed_at, |_| true),
        returns_per_pair: returns as f64 / pairs as f64,
        is_agreed_at_end: network.has_agreement(),
    }
}

/// The network is partitioned into sides for 30 s, and then heals. Measures the time until all views agree, and checks that
/// they still agree at the end.
pub(super) fn heal(extent: Extent, members: u16, sides: u16, seeds: u64) -> Report {
    let runs = extent.for_each_seed(seeds, |seed| heal_run(extent, members, sides, seed));
    let mut report = Report::default();
    let name = format!("{members} members partitioned into {sides} sides");
    let agreed_after = || runs.iter().map(|run| run.agreed_after);
    let deaths_after_heal: usize = runs.iter().map(|run| run.deaths_after_heal).sum();
    report.record_quantile(format!("heal_{sides}_p50_s_{members}"), 0.5, agreed_after());
    report.record_quantile(format!("heal_{sides}_p99_s_{members}"), 0.99, agreed_after());
    report.record(format!("heal_{sides}_deaths_after_{members}"), deaths_after_heal as f64);
    let returns = runs.iter().map(|run| run.returns_per_pair);
    report.record_mean(format!("heal_{sides}_returns_a_pair_{members}"), returns);
    report.check(
        runs.iter().all(|run| run.is_partition_detected && run.deaths_within_sides == 0),
        format!("{name}: not all members of other sides were declared dead, or one of the own side was"),
    );
    report.check(
        runs.iter().all(|run| run.has_agreed && run.is_agreed_at_end),
        format!("{name}: the views do not agree 60 s after the partition healed, or at the end of the run"),
    );
    report.check(
        deaths_after_heal == 0,
        format!("{name}: {deaths_after_heal} deaths after the partition healed"),
    );
    report
}

struct OneWayRun {
    /// The number of deaths while datagrams were lost in one direction between two members.
    deaths_by_pair_fault: usize,
    /// Whether the member that received no datagrams was dead in all other views.
    is_victim_detected: bool,
    /// The number of deaths of other members while one member received no datagrams.
    deaths_of_others: usize,
    /// Whether all views agreed within 60 s of the end of the faults.
    has_agreed: bool,
    /// The time from the end of the faults until all views agreed, in seconds.
    agreed_after: f64,
}

/// Datagrams are lost in one direction only. If only those from one member to one other are lost, no member may be declared
/// dead. If all datagrams to a member are lost, it must be declared dead, its accusations of others must not cause deaths, and
/// it must be alive again in all views after the fault ends.
pub(super) fn one_way(extent: Extent, members: u16, seeds: u64) -> Report {
    let runs = extent.for_each_seed(seeds, |seed| {
        let mut network = extent.settled_network(members, seed);
        let victim = network.random_place();
        network.faults.one_way = vec![Direction { from: victim, to: (victim + 1) % members }];
        network.run_for(30 * SECOND);
        let deaths_by_pair_fault = network.false_deaths(0, |_| true);
        network.faults.one_way.clear();
        network.faults.inbound_blocked[usize::from(victim)] = true;
        let unreachable_since = network.now;
        network.run_for(60 * SECOND);
        let is_victim_detected = network.others_observe(victim, State::Dead);
        let deaths_of_others = network.false_deaths(unreachable_since, |place| place != victim);
        network.faults.inbound_blocked.fill(false);
        let healed_at = network.now;
        let has_agreed = network.run_while(healed_at + 60 * SECOND, |net| !net.has_agreement());
        let agreed_after = seconds(network.now - healed_at);
        OneWayRun { deaths_by_pair_fault, is_victim_detected, deaths_of_others, has_agreed, agreed_after }
    });
    let mut report = Report::default();
    let agreed_after = runs.iter().map(|run| run.agreed_after);
    report.record_quantile(format!("one_way_back_p99_s_{members}"), 0.99, agreed_after);
    report.check(
        runs.iter().all(|run| run.deaths_by_pair_fault == 0),
        format!("one direction between two of {members} members blocked: a member was declared dead"),
    );
    report.check(
        runs.iter().all(|run| run.is_victim_detected),
        format!("all datagrams to one of {members} members blocked: not all others declared it dead"),
    );
    report.check(
        runs.iter().all(|run| run.deaths_of_others == 0),
        format!("all datagrams to one of {members} members blocked: another member was declared dead"),
    );
    report.check(
        runs.iter().all(|run| run.has_agreed),
        format!("datagrams to one of {members} members unblocked: the views do not agree after 60 s"),
    );
    report
}
