//! Scenarios with lost datagrams and network partitions.

use super::{Extent, Report, seconds};
use crate::State;
use crate::simulation::{Direction, SECOND};

struct LossRun {
    false_deaths: usize,
    refuted: u64,
    has_agreement: bool,
}

/// One in ten datagrams is lost for a minute, some arrive twice, and now and then a member is paused for a second.
pub(super) fn loss(extent: Extent, members: u16, seeds: u64) -> Report {
    let runs = extent.for_each_seed(seeds, |seed| {
        let mut network = extent.settled_network(members, seed);
        network.faults.loss = 0.1;
        network.faults.repeat = 0.02;
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
    report
        .check(deaths == 0, format!("{deaths} false deaths among {members} with one in ten datagrams lost"));
    report.check(
        runs.iter().all(|run| run.has_agreement),
        format!("{members} members do not agree after a minute of loss"),
    );
    report
}

struct HealRun {
    /// Whether, in every view, exactly the members of the other sides are dead.
    is_cut_seen: bool,
    /// Deaths that a side declared of its own members.
    deaths_within_sides: usize,
    has_agreed: bool,
    agreed_after: f64,
    deaths_after_heal: usize,
    /// The number of returns per pair of members on different sides: 1 if no state flaps.
    returns_a_pair: f64,
    stays_agreed: bool,
}

fn heal_run(extent: Extent, members: u16, sides: u16, seed: u64) -> HealRun {
    let mut network = extent.settled_network(members, seed);
    let side = |place: u16| place % sides;
    network.faults.sides = (0..members).map(|place| side(place) as u8).collect();
    network.run_for(30 * SECOND);
    let is_cut_seen = network.members().all(|(place, member)| {
        let mut believed = member.view().iter();
        believed.all(|(other, there)| (there.state == State::Dead) == (side(other) != side(place)))
    });
    let deaths = network.changes.iter().filter(|seen| seen.change.to == State::Dead);
    let deaths_within_sides = deaths.filter(|seen| side(seen.by) == side(seen.change.place)).count();
    network.faults.sides.fill(0);
    let (healed_at, changes_before) = (network.now, network.changes.len());
    let has_agreed = network.run_while(healed_at + 60 * SECOND, |net| !net.has_agreement());
    let agreed_after = seconds(network.now - healed_at);
    let watched_seconds = if members > 30 { 20 } else { 60 };
    network.run_to(healed_at + watched_seconds * SECOND);
    let changes_after = &network.changes[changes_before..];
    let returns = changes_after.iter().filter(|seen| seen.change.from == State::Dead).count();
    let across = |place: u16| (0..members).filter(|other| side(*other) != side(place)).count();
    let pairs: usize = (0..members).map(across).sum();
    HealRun {
        is_cut_seen,
        deaths_within_sides,
        has_agreed,
        agreed_after,
        deaths_after_heal: network.false_deaths(healed_at, |_| true),
        returns_a_pair: returns as f64 / pairs as f64,
        stays_agreed: network.has_agreement(),
    }
}

/// The network is partitioned into sides for 30 s, and then heals. Measures the time until all views agree, and checks that
/// they stay so.
pub(super) fn heal(extent: Extent, members: u16, sides: u16, seeds: u64) -> Report {
    let runs = extent.for_each_seed(seeds, |seed| heal_run(extent, members, sides, seed));
    let mut report = Report::default();
    let name = format!("{members} members in {sides} sides");
    let agreed_after = || runs.iter().map(|run| run.agreed_after);
    let deaths_after_heal: usize = runs.iter().map(|run| run.deaths_after_heal).sum();
    report.record_quantile(format!("heal_{sides}_p50_s_{members}"), 0.5, agreed_after());
    report.record_quantile(format!("heal_{sides}_p99_s_{members}"), 0.99, agreed_after());
    report.record(format!("heal_{sides}_deaths_after_{members}"), deaths_after_heal as f64);
    let returns = runs.iter().map(|run| run.returns_a_pair);
    report.record_mean(format!("heal_{sides}_returns_a_pair_{members}"), returns);
    report.check(
        runs.iter().all(|run| run.is_cut_seen && run.deaths_within_sides == 0),
        format!("{name}: a side is not held dead, or a mate is"),
    );
    report.check(
        runs.iter().all(|run| run.has_agreed && run.stays_agreed),
        format!("{name} do not agree within 60 s after the heal"),
    );
    report.check(deaths_after_heal == 0, format!("{name}: deaths after the heal"));
    report
}

struct OneWayRun {
    /// Deaths while only one pair was cut.
    deaths_of_pair_cut: usize,
    is_deaf_seen: bool,
    /// Deaths of others while one received nothing.
    deaths_of_others: usize,
    has_agreed: bool,
    agreed_after: f64,
}

/// Cut in one direction: from one to another of them alone, nobody dies; where nothing reaches a member any more it is
/// held dead, what it says of others hurts none, and it comes back.
pub(super) fn one_way(extent: Extent, members: u16, seeds: u64) -> Report {
    let runs = extent.for_each_seed(seeds, |seed| {
        let mut network = extent.settled_network(members, seed);
        let deaf = network.random_place();
        network.faults.one_way = vec![Direction { from: deaf, to: (deaf + 1) % members }];
        network.run_for(30 * SECOND);
        let deaths_of_pair_cut = network.false_deaths(0, |_| true);
        network.faults.one_way.clear();
        network.faults.inbound_blocked[usize::from(deaf)] = true;
        let deaf_since = network.now;
        network.run_for(60 * SECOND);
        let is_deaf_seen = network.others_hold(deaf, State::Dead);
        let deaths_of_others = network.false_deaths(deaf_since, |place| place != deaf);
        network.faults.inbound_blocked.fill(false);
        let healed_at = network.now;
        let has_agreed = network.run_while(healed_at + 60 * SECOND, |net| !net.has_agreement());
        let agreed_after = seconds(network.now - healed_at);
        OneWayRun { deaths_of_pair_cut, is_deaf_seen, deaths_of_others, has_agreed, agreed_after }
    });
    let mut report = Report::default();
    let agreed_after = runs.iter().map(|run| run.agreed_after);
    report.record_quantile(format!("one_way_back_p99_s_{members}"), 0.99, agreed_after);
    report.check(
        runs.iter().all(|run| run.deaths_of_pair_cut == 0),
        format!("a one-way cut between two of {members}: deaths"),
    );
    report.check(
        runs.iter().all(|run| run.is_deaf_seen),
        format!("a deaf one among {members} is not held dead by all"),
    );
    report.check(
        runs.iter().all(|run| run.deaths_of_others == 0),
        format!("a deaf one among {members} made others die"),
    );
    report.check(
        runs.iter().all(|run| run.has_agreed),
        format!("no agreement after a one-way cut among {members}"),
    );
    report
}
