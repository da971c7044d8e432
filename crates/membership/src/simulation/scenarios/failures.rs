//! Scenarios with processes that are killed or paused.

use super::{Extent, Report, seconds};
use crate::State;
use crate::simulation::{Network, SECOND, Start};

struct KillRun {
    /// The sending rate of a member before the kill, in bytes per second.
    bytes_a_second: f64,
    /// When each of the others declared the death, in seconds after the kill.
    detected_after: Vec<f64>,
    /// The number of others that did not.
    missed: usize,
    false_deaths: usize,
}

/// Measures the sending rate of a member at rest. Then one member is killed: measures when each of the others declares it
/// dead, and checks that no other member is declared dead.
pub(super) fn kill(extent: Extent, members: u16, seeds: u64) -> Report {
    let runs = extent.for_each_seed(seeds, |seed| {
        let mut network = extent.network(members, seed, Start::Warm);
        network.run_to(3 * SECOND);
        let sent_before = network.sent_bytes();
        let calm_seconds = if members > 300 { 4 } else { 10 };
        network.run_for(calm_seconds * SECOND);
        let sent = (network.sent_bytes() - sent_before) as f64;
        let bytes_a_second = sent / f64::from(members) / calm_seconds as f64;
        let victim = network.random_place();
        network.kill(victim);
        let killed_at = network.now;
        let deaths = |network: &Network| {
            let deaths = network.changes.iter().filter(|seen| seen.change.to == State::Dead);
            deaths.filter(|seen| seen.change.place == victim).map(|seen| seen.at).collect::<Vec<_>>()
        };
        network.run_while(killed_at + 60 * SECOND, |net| deaths(net).len() + 1 < members.into());
        let detected_after: Vec<f64> =
            deaths(&network).into_iter().map(|at| seconds(at - killed_at)).collect();
        let others = usize::from(members) - 1;
        let missed = others - detected_after.len().min(others);
        let false_deaths = network.false_deaths(0, |place| place != victim);
        KillRun { bytes_a_second, detected_after, missed, false_deaths }
    });
    let mut report = Report::default();
    let times = || runs.iter().flat_map(|run| run.detected_after.iter().copied());
    let last = runs.iter().filter_map(|run| run.detected_after.iter().copied().reduce(f64::max));
    report.record_quantile(format!("detect_p50_s_{members}"), 0.5, times());
    report.record_quantile(format!("detect_p99_s_{members}"), 0.99, times());
    report.record_quantile(format!("detect_all_p50_s_{members}"), 0.5, last);
    report.record_mean(format!("bytes_a_second_{members}"), runs.iter().map(|run| run.bytes_a_second));
    report.check(
        runs.iter().all(|run| run.missed == 0),
        format!("a kill among {members} was not seen by all within 60 s"),
    );
    report.check(
        runs.iter().all(|run| run.false_deaths == 0),
        format!("a kill among {members}: others were held dead"),
    );
    report
}

struct MassKillRun {
    is_seen: bool,
    seen_after: f64,
    false_deaths: usize,
    is_restart_seen: bool,
    restart_seen_after: f64,
}

/// Seven in ten members are killed at once and later start again. Measures the time until all views agree, both times.
pub(super) fn mass_kill(extent: Extent, members: u16, seeds: u64) -> Report {
    let runs = extent.for_each_seed(seeds, |seed| {
        let mut network = extent.settled_network(members, seed);
        let survives = |place: u16| place % 10 < 3;
        let victims = || (0..members).filter(|place| !survives(*place));
        victims().for_each(|place| network.kill(place));
        let killed_at = network.now;
        let is_seen = network.run_while(killed_at + 120 * SECOND, |net| !net.has_agreement());
        let seen_after = seconds(network.now - killed_at);
        victims().for_each(|place| network.start(place));
        let started_at = network.now;
        let is_restart_seen = network.run_while(started_at + 60 * SECOND, |net| !net.has_agreement());
        let restart_seen_after = seconds(network.now - started_at);
        let false_deaths = network.false_deaths(0, survives);
        MassKillRun { is_seen, seen_after, false_deaths, is_restart_seen, restart_seen_after }
    });
    let mut report = Report::default();
    let seen_after = || runs.iter().map(|run| run.seen_after);
    report.record_quantile(format!("mass_all_p50_s_{members}"), 0.5, seen_after());
    report.record_quantile(format!("mass_all_p99_s_{members}"), 0.99, seen_after());
    let restart_seen_after = runs.iter().map(|run| run.restart_seen_after);
    report.record_quantile(format!("mass_back_p99_s_{members}"), 0.99, restart_seen_after);
    report.check(
        runs.iter().all(|run| run.is_seen),
        format!("seven in ten of {members} killed: not all seen within 120 s"),
    );
    report.check(
        runs.iter().all(|run| run.false_deaths == 0),
        format!("seven in ten of {members} killed: a survivor was held dead"),
    );
    report.check(
        runs.iter().all(|run| run.is_restart_seen),
        format!("seven in ten of {members} started again: no agreement within 60 s"),
    );
    report
}

struct PauseRun {
    is_seen: bool,
    has_agreement: bool,
    agreed_after: f64,
    /// Deaths that the paused member declared.
    own_deaths: usize,
    false_deaths: usize,
}

/// A member is paused for longer than any suspicion lasts, and resumes. It must declare no other member dead, and must be
/// alive again in all views.
pub(super) fn pause(extent: Extent, members: u16, seeds: u64) -> Report {
    let runs = extent.for_each_seed(seeds, |seed| {
        let mut network = extent.settled_network(members, seed);
        let victim = network.random_place();
        network.pause(victim);
        network.run_for(30 * SECOND);
        let is_seen = network.others_hold(victim, State::Dead);
        network.resume(victim);
        let resumed_at = network.now;
        let has_agreed = network.run_while(resumed_at + 60 * SECOND, |net| !net.has_agreement());
        let agreed_after = seconds(network.now - resumed_at);
        network.run_to(resumed_at + 60 * SECOND);
        let own = network.changes.iter().filter(|seen| seen.by == victim && seen.change.to == State::Dead);
        PauseRun {
            is_seen,
            has_agreement: has_agreed && network.has_agreement(),
            agreed_after,
            own_deaths: own.count(),
            false_deaths: network.false_deaths(resumed_at, |_| true),
        }
    });
    let mut report = Report::default();
    let agreed_after = runs.iter().map(|run| run.agreed_after);
    report.record_quantile(format!("pause_back_p99_s_{members}"), 0.99, agreed_after);
    report.check(runs.iter().all(|run| run.is_seen), format!("a pause of 30 s among {members} is not seen"));
    report.check(
        runs.iter().all(|run| run.has_agreement),
        format!("no agreement after a pause among {members}"),
    );
    report.check(
        runs.iter().all(|run| run.own_deaths == 0 && run.false_deaths == 0),
        format!("who was paused among {members} held others dead"),
    );
    report
}
