//! Scenarios with processes that are killed or paused.

use super::{Extent, Report, seconds};
use crate::State;
use crate::simulation::{Network, SECOND, Start};

struct KillRun {
    /// The sending rate of a member before the kill, in bytes per second.
    bytes_per_second: f64,
    /// When each other member declared the death, in seconds after the kill.
    detected_after: Vec<f64>,
    /// The number of other members that did not declare the death within 60 s.
    missed: usize,
    false_deaths: usize,
}

/// Measures the sending rate of a member of an undisturbed group. Then kills one member, measures when each other member
/// declares it dead, and checks that no other member is declared dead.
pub(super) fn kill(extent: Extent, members: u16, seeds: u64) -> Report {
    let runs = extent.for_each_seed(seeds, |seed| {
        let mut network = extent.network(members, seed, Start::Warm);
        network.run_to(3 * SECOND);
        let sent_before = network.sent_bytes();
        let undisturbed_seconds = if members > 300 { 4 } else { 10 };
        network.run_for(undisturbed_seconds * SECOND);
        let sent = (network.sent_bytes() - sent_before) as f64;
        let bytes_per_second = sent / f64::from(members) / undisturbed_seconds as f64;
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
        KillRun { bytes_per_second, detected_after, missed, false_deaths }
    });
    let mut report = Report::default();
    let times = || runs.iter().flat_map(|run| run.detected_after.iter().copied());
    let last_detected_after =
        runs.iter().filter_map(|run| run.detected_after.iter().copied().reduce(f64::max));
    report.record_quantile(format!("detect_p50_s_{members}"), 0.5, times());
    report.record_quantile(format!("detect_p99_s_{members}"), 0.99, times());
    report.record_quantile(format!("detect_all_p50_s_{members}"), 0.5, last_detected_after);
    report.record_mean(format!("bytes_a_second_{members}"), runs.iter().map(|run| run.bytes_per_second));
    report.check(
        runs.iter().all(|run| run.missed == 0),
        format!("one of {members} members killed: not all others declared it dead within 60 s"),
    );
    report.check(
        runs.iter().all(|run| run.false_deaths == 0),
        format!("one of {members} members killed: a running member was declared dead"),
    );
    report
}

struct MassKillRun {
    /// Whether all views agreed within 120 s of the kill.
    is_detected: bool,
    /// The time from the kill until all views agreed, in seconds.
    all_detected_after: f64,
    false_deaths: usize,
    /// Whether all views agreed within 60 s of the restart.
    is_restart_detected: bool,
    /// The time from the restart until all views agreed, in seconds.
    restart_detected_after: f64,
}

/// 70% of the members are killed at the same time and later start again. Measures the time until all views agree, both times.
pub(super) fn mass_kill(extent: Extent, members: u16, seeds: u64) -> Report {
    let runs = extent.for_each_seed(seeds, |seed| {
        let mut network = extent.settled_network(members, seed);
        let survives = |place: u16| place % 10 < 3;
        let victims = || (0..members).filter(|place| !survives(*place));
        victims().for_each(|place| network.kill(place));
        let killed_at = network.now;
        let is_detected = network.run_while(killed_at + 120 * SECOND, |net| !net.has_agreement());
        let all_detected_after = seconds(network.now - killed_at);
        victims().for_each(|place| network.start(place));
        let started_at = network.now;
        let is_restart_detected = network.run_while(started_at + 60 * SECOND, |net| !net.has_agreement());
        let restart_detected_after = seconds(network.now - started_at);
        let false_deaths = network.false_deaths(0, survives);
        MassKillRun {
            is_detected,
            all_detected_after,
            false_deaths,
            is_restart_detected,
            restart_detected_after,
        }
    });
    let mut report = Report::default();
    let all_detected_after = || runs.iter().map(|run| run.all_detected_after);
    report.record_quantile(format!("mass_all_p50_s_{members}"), 0.5, all_detected_after());
    report.record_quantile(format!("mass_all_p99_s_{members}"), 0.99, all_detected_after());
    let restart_detected_after = runs.iter().map(|run| run.restart_detected_after);
    report.record_quantile(format!("mass_back_p99_s_{members}"), 0.99, restart_detected_after);
    report.check(
        runs.iter().all(|run| run.is_detected),
        format!("70% of {members} members killed: the views do not agree after 120 s"),
    );
    report.check(
        runs.iter().all(|run| run.false_deaths == 0),
        format!("70% of {members} members killed: a running member was declared dead"),
    );
    report.check(
        runs.iter().all(|run| run.is_restart_detected),
        format!("70% of {members} members started again: the views do not agree after 60 s"),
    );
    report
}

struct PauseRun {
    /// Whether the paused member was dead in all other views at the end of the pause.
    is_detected: bool,
    /// Whether all views agreed within 60 s of the end of the pause, and still agreed at the end of the run.
    has_agreement: bool,
    /// The time from the end of the pause until all views agreed, in seconds.
    agreed_after: f64,
    /// The number of deaths that the paused member declared.
    own_deaths: usize,
    false_deaths: usize,
}

/// A member is paused for longer than the longest suspicion, and resumes. The member must declare no other member dead, and
/// must be alive again in all views.
pub(super) fn pause(extent: Extent, members: u16, seeds: u64) -> Report {
    let runs = extent.for_each_seed(seeds, |seed| {
        let mut network = extent.settled_network(members, seed);
        let victim = network.random_place();
        network.pause(victim);
        network.run_for(30 * SECOND);
        let is_detected = network.others_observe(victim, State::Dead);
        network.resume(victim);
        let resumed_at = network.now;
        let has_agreed = network.run_while(resumed_at + 60 * SECOND, |net| !net.has_agreement());
        let agreed_after = seconds(network.now - resumed_at);
        network.run_to(resumed_at + 60 * SECOND);
        let own = network.changes.iter().filter(|seen| seen.by == victim && seen.change.to == State::Dead);
        PauseRun {
            is_detected,
            has_agreement: has_agreed && network.has_agreement(),
            agreed_after,
            own_deaths: own.count(),
            false_deaths: network.false_deaths(resumed_at, |_| true),
        }
    });
    let mut report = Report::default();
    let agreed_after = runs.iter().map(|run| run.agreed_after);
    report.record_quantile(format!("pause_back_p99_s_{members}"), 0.99, agreed_after);
    report.check(
        runs.iter().all(|run| run.is_detected),
        format!("one of {members} members paused for 30 s: not all others declared it dead"),
    );
    report.check(
        runs.iter().all(|run| run.has_agreement),
        format!("one of {members} members paused: the views do not agree 60 s after it resumed"),
    );
    report.check(
        runs.iter().all(|run| run.own_deaths == 0 && run.false_deaths == 0),
        format!("one of {members} members paused: a running member was declared dead after it resumed"),
    );
    report
}
