//! The scenario of many places that claim slots of one worker, each by a recent report of it.

use super::{Extent, Report};
use crate::Micros;
use crate::partition::{ReportedCapacity, SlotClaims, StalenessBound, rank, worst_overcommit};
use crate::simulation::SECOND;

/// The number of places that claim slots of the worker.
const PEERS: u16 = 30;
/// The number of slots of the worker.
const LIMIT: u32 = 64;
/// The duration of a step of the run.
const STEP: Micros = SECOND / 10;
/// The number of steps of a run. In the second half only 30% of the places are alive.
const STEPS: u64 = 400;
/// The number of steps at the end of a run over which the use of the worker by the surviving places is measured.
const MEASURED_STEPS: u64 = 100;

struct OvercommitRun {
    /// The maximum number of jobs that the worker had beyond its limit.
    beyond_limit: u32,
    /// The mean fraction of the slots that the surviving places used at the end.
    used_by_survivors: f64,
}

/// 30 places claim the slots of one worker, each by a recent report, and 70% of them die. Checks that the worker never has
/// more jobs than its limit, and measures the fraction of its slots that the surviving places use. A random search looks for
/// further violations of the limit; with a window of 0 it must find some.
pub(super) fn overcommit(extent: Extent, seeds: u64) -> Report {
    let searched = 3_000.max(seeds * 100);
    let worst_by_search =
        (0..searched).map(|n| worst_overcommit(extent.first_seed + n, 1.0)).max().unwrap_or(0);
    let found_with_short_window =
        (0..searched).filter(|n| worst_overcommit(extent.first_seed + n, 0.0) > 0).count();
    let runs = extent.for_each_seed(seeds, overcommit_run);
    let mut report = Report::default();
    let beyond = runs.iter().map(|run| run.beyond_limit).max().unwrap_or(0).max(worst_by_search);
    report.record("bound_beyond_limit", f64::from(beyond));
    report.record("bound_found_with_a_short_window", found_with_short_window as f64);
    report.record_mean("bound_used_by_three_in_ten", runs.iter().map(|run| run.used_by_survivors));
    report.check(beyond == 0, format!("a worker had {beyond} jobs beyond its limit"));
    report.check(
        found_with_short_window > 0,
        "the random search does not detect the deliberate fault of a window of 0",
    );
    report
}

fn overcommit_run(seed: u64) -> OvercommitRun {
    let mut rng = fastrand::Rng::with_seed(seed);
    let bound = StalenessBound {
        peers: PEERS,
        max_report_age: 2 * SECOND,
        max_flight_time: SECOND / 10,
        reserve: 16,
    };
    let mut claims = vec![SlotClaims::default(); PEERS.into()];
    let mut job_ends: Vec<Micros> = Vec::new();
    let mut reports: Vec<ReportedCapacity> = Vec::new();
    let (mut max_jobs, mut used_by_survivors) = (0, 0.0);
    for step in 1..=STEPS {
        let now = step * STEP;
        job_ends.retain(|at| *at > now);
        if step % 7 == 0 {
            let used = (job_ends.len() as u32).min(LIMIT);
            reports.push(ReportedCapacity { free: LIMIT - used, measured_at: now });
        }
        for place in (0..PEERS).filter(|place| step < STEPS / 2 || place % 10 < 3) {
            // A report arrives after 0.4 s. A place has received the latest of these reports, or only the one before it.
            let has_arrived = |report: &&ReportedCapacity| report.measured_at + SECOND * 2 / 5 <= now;
            let mut received = reports.iter().rev().filter(has_arrived);
            let Some(reported) = received.nth(rng.usize(0..2)).copied() else { continue };
            let claims = &mut claims[usize::from(place)];
            let slots = claims.available(now, reported, &bound, rank(seed, place, PEERS));
            claims.record_claimed(now, slots);
            job_ends.extend((0..slots).map(|_| now + rng.u64(SECOND..20 * SECOND)));
        }
        max_jobs = max_jobs.max(job_ends.len() as u32);
        if step > STEPS - MEASURED_STEPS {
            used_by_survivors += job_ends.len() as f64 / f64::from(LIMIT) / MEASURED_STEPS as f64;
        }
    }
    OvercommitRun { beyond_limit: max_jobs.saturating_sub(LIMIT), used_by_survivors }
}
