//! A random search for a worker that gets more jobs than its limit, to test [`SlotClaims`].

use super::{ReportedCapacity, SlotClaims, StalenessBound, rank};
use crate::Micros;

/// A job that a place sent to the worker.
struct Job {
    place: usize,
    decided_at: Micros,
    /// The worker holds the job from `starts_at` until `ends_at`.
    starts_at: Micros,
    ends_at: Micros,
}

/// Simulates a worker and the places that claim its slots, each by a random recent report. Returns by how many jobs the
/// worker exceeded its limit at worst. With a `window_fraction` of 1 the result must be 0. A smaller one is a deliberate fault:
/// a place then drops its claims too early.
#[doc(hidden)]
pub fn worst_overcommit(seed: u64, window_fraction: f64) -> u32 {
    const STEPS: usize = 80;
    let mut rng = fastrand::Rng::with_seed(seed);
    let peers = [2, 3, 4, 6, 10, 30][rng.usize(0..6)];
    let limit = [3, 10, 37, 100, u32::from(peers) * 8][rng.usize(0..5)];
    let (window, flight_time) = (1_000_u64, [0, 300][rng.usize(0..2)]);
    let reserve = limit / [2, 3, 4, 8][rng.usize(0..4)];
    let bound =
        StalenessBound { peers, max_report_age: window - flight_time, max_flight_time: flight_time, reserve };
    let jobs_end = rng.bool();
    let ranks: Vec<u16> = (0..peers).map(|place| rank(seed, place, peers)).collect();
    // The places with a running process. Their views do not matter.
    let live: Vec<u16> = (0..peers).filter(|_| rng.u8(0..10) < 6).collect();
    let mut claims: Vec<SlotClaims> = vec![SlotClaims::default(); peers.into()];
    let mut jobs: Vec<Job> = Vec::new();
    let (mut now, mut worst) = (10 * window, 0);
    for _ in 0..STEPS {
        let before = now;
        now += [0, 0, 50, 300, 950, 999, rng.u64(0..2_000)][rng.usize(0..7)];
        for job in jobs.iter().filter(|job| before < job.ends_at && job.ends_at <= now) {
            claims[job.place].record_ended(job.decided_at);
        }
        let Some(place) = rng.choice(&live).map(|place| usize::from(*place)) else { break };
        let max_age = bound.max_report_age;
        let measured_at = now - [0, rng.u64(0..max_age), max_age - 1][rng.usize(0..3)];
        let is_running = |job: &&Job| job.starts_at <= measured_at && measured_at < job.ends_at;
        let used = jobs.iter().filter(is_running).count() as u32;
        let reported = ReportedCapacity { free: limit.saturating_sub(used), measured_at };
        let claim_lifetime = (window_fraction * window as f64) as u64;
        claims[place].expire(now, claim_lifetime);
        let available = claims[place].available(now, reported, &bound, ranks[place]);
        let slots = if rng.u8(0..10) < 8 { available } else { rng.u32(0..=available) };
        claims[place].record_claimed(now, slots);
        for _ in 0..slots {
            let starts_at = now + [0, flight_time, rng.u64(0..=flight_time)][rng.usize(0..3)];
            let ends_at = if jobs_end { starts_at + rng.u64(1..6_000) } else { u64::MAX };
            jobs.push(Job { place, decided_at: now, starts_at, ends_at });
        }
        let open = jobs.iter().filter(|job| job.ends_at > now).count() as u32;
        worst = worst.max(open.saturating_sub(limit));
    }
    worst
}
