//! Scenarios with members that start, restart and leave.

use super::{Extent, Report, seconds};
use crate::State;
use crate::simulation::{Network, SECOND, Start};

struct ColdStartRun {
    /// Whether all views agreed within 60 s.
    has_agreed: bool,
    /// The time until all views agreed, in seconds.
    agreed_after: f64,
    /// The maximum number of bytes that one member sent in a second.
    peak_bytes: u64,
    false_deaths: usize,
}

/// All members start at the same time and know no other member. Measures the time until all views agree, and the maximum
/// number of bytes that one member sent in a second.
pub(super) fn cold_start(extent: Extent, members: u16, seeds: u64) -> Report {
    let runs = extent.for_each_seed(seeds, |seed| cold_start_run(extent, members, seed));
    let mut report = Report::default();
    let agreed_after = runs.iter().map(|run| run.agreed_after);
    let peak = runs.iter().map(|run| run.peak_bytes).max().unwrap_or(0);
    report.record_quantile(format!("cold_p99_s_{members}"), 0.99, agreed_after);
    report.record(format!("cold_peak_bytes_{members}"), peak as f64);
    report.check(
        runs.iter().all(|run| run.has_agreed && run.false_deaths == 0),
        format!("{members} members started at once: no agreement within 60 s, or a false death"),
    );
    report
}

fn cold_start_run(extent: Extent, members: u16, seed: u64) -> ColdStartRun {
    const MAX_SECONDS: u64 = 60;
    let mut network = extent.network(members, seed, Start::Cold);
    let (mut has_agreed, mut agreed_after, mut peak_bytes) = (false, MAX_SECONDS as f64, 0);
    let mut sent_before = vec![0; members.into()];
    for second in 0..MAX_SECONDS {
        let end = (second + 2) * SECOND;
        has_agreed = network.run_while(end, |net| !net.has_agreement());
        if has_agreed {
            agreed_after = seconds(network.now - SECOND);
        }
        network.run_to(end);
        for (place, member) in network.members() {
            let sent = member.metrics().sent_bytes;
            let before = std::mem::replace(&mut sent_before[usize::from(place)], sent);
            peak_bytes = peak_bytes.max(sent - before);
        }
        if has_agreed {
            break;
        }
    }
    ColdStartRun { has_agreed, agreed_after, peak_bytes, false_deaths: network.false_deaths(0, |_| true) }
}

struct LifecycleRun {
    /// Whether all views agreed within 30 s of the restart.
    is_restart_known: bool,
    /// The time from the restart until all views agreed, in seconds.
    restart_known_after: f64,
    /// The number of garbage datagrams that were refused.
    garbage_refused: u64,
    /// The number of changes of any view while the garbage arrived.
    changes_by_garbage: usize,
    /// Whether the member that left had done so in all views 30 s later.
    is_leave_known: bool,
    false_deaths: usize,
}

/// The number of garbage datagrams that one member receives.
const GARBAGE: u64 = 20_000;

/// One member restarts before its death is detected and then receives garbage datagrams, and another member leaves.
pub(super) fn restart_leave_and_garbage(extent: Extent, members: u16, seeds: u64) -> Report {
    let runs = extent.for_each_seed(seeds, |seed| lifecycle_run(extent, members, seed));
    let mut report = Report::default();
    let known_after = runs.iter().map(|run| run.restart_known_after);
    report.record_quantile(format!("restart_p99_s_{members}"), 0.99, known_after);
    report.check(
        runs.iter().all(|run| run.is_restart_known),
        format!("one of {members} members restarted: the views do not agree after 30 s"),
    );
    report.check(
        runs.iter().all(|run| run.garbage_refused == GARBAGE),
        format!("one of {members} members accepted a garbage datagram"),
    );
    report.check(
        runs.iter().all(|run| run.changes_by_garbage == 0),
        format!("garbage datagrams changed the view of one of {members} members"),
    );
    report.check(
        runs.iter().all(|run| run.is_leave_known && run.false_deaths == 0),
        format!("one of {members} members left: not known to all after 30 s, or a false death"),
    );
    report
}

fn lifecycle_run(extent: Extent, members: u16, seed: u64) -> LifecycleRun {
    let mut network = extent.settled_network(members, seed);
    let (restarting, leaving) = (0, members - 1);
    network.kill(restarting);
    network.start(restarting);
    let restarted_at = network.now;
    let is_restart_known = network.run_while(restarted_at + 30 * SECOND, |net| !net.has_agreement());
    let restart_known_after = seconds(network.now - restarted_at);
    let garbage_since = network.now;
    send_garbage(&mut network, restarting, members);
    let metrics = network.member(restarting).map(crate::Membership::metrics).unwrap_or_default();
    let garbage_refused =
        metrics.refused_long + metrics.refused_version + metrics.refused_foreign + metrics.refused_malformed;
    let changes_by_garbage = network.changes.iter().filter(|seen| seen.at > garbage_since).count();
    network.with(leaving, crate::Membership::leave);
    network.run_for(30 * SECOND);
    let is_leave_known = network.members().all(|(_, member)| member.view().state(leaving) == State::Left);
    let false_deaths = network.false_deaths(0, |_| true);
    LifecycleRun {
        is_restart_known,
        restart_known_after,
        garbage_refused,
        changes_by_garbage,
        is_leave_known,
        false_deaths,
    }
}

/// Sends garbage datagrams, some of them from places that are not among the peers.
fn send_garbage(network: &mut Network, to: u16, members: u16) {
    for _ in 0..GARBAGE {
        let from = network.random_below(u64::from(members) + 3) as u16;
        let bytes = network.random_datagram();
        network.forge(to, from, &bytes);
        network.run_for(500);
    }
}
