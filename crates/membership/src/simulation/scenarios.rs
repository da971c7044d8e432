//! The scenarios of the simulation, with their measurements and checks.
//!
//! Each scenario is a function that runs a [`Network`] for several seeds, takes measurements and checks conditions. The name
//! of a measurement ends with the number of members.

mod failures;
mod network_faults;
mod overcommit;
mod publishing;
mod report;
mod startup;
#[cfg(test)]
mod tests;

pub use report::Report;

use super::{Network, SECOND, Start};
use crate::Micros;

/// The extent of a run.
#[derive(Debug, Clone, Copy)]
pub struct Extent {
    /// The number of seeds of each scenario with up to 300 members.
    pub seeds: u64,
    /// The number of seeds with 3,000 members; 0 for none.
    pub large_seeds: u64,
    /// The first seed.
    pub first_seed: u64,
    /// A deliberate fault: a member whose probe fails is declared dead without a suspicion.
    pub skip_suspicion: bool,
}

impl Extent {
    fn network(self, members: u16, seed: u64, start: Start) -> Network {
        Network::new(members, seed, start, move |config| config.skip_suspicion = self.skip_suspicion)
    }

    /// A network of members that know each other, after 2 s without faults.
    fn settled_network(self, members: u16, seed: u64) -> Network {
        let mut network = self.network(members, seed, Start::Warm);
        network.run_to(2 * SECOND);
        network
    }

    /// Calls `run_one` with each seed, on a few threads. Returns the results in the order of the seeds.
    fn for_each_seed<T: Send>(self, seeds: u64, run_one: impl Fn(u64) -> T + Sync) -> Vec<T> {
        const MAX_THREADS: usize = 8;
        let seeds: Vec<u64> = (self.first_seed..self.first_seed + seeds).collect();
        let threads = std::thread::available_parallelism().map_or(1, |count| count.get().min(MAX_THREADS));
        let run_chunk = |chunk: &[u64]| chunk.iter().map(|seed| run_one(*seed)).collect::<Vec<T>>();
        let mut results: Vec<T> = Vec::new();
        std::thread::scope(|scope| {
            let chunks = seeds.chunks(seeds.len().div_ceil(threads).max(1));
            let running: Vec<_> = chunks.map(|chunk| scope.spawn(|| run_chunk(chunk))).collect();
            results.extend(running.into_iter().filter_map(|thread| thread.join().ok()).flatten());
        });
        results
    }
}

fn seconds(span: Micros) -> f64 {
    span as f64 / SECOND as f64
}

/// Runs all scenarios.
pub fn run(extent: Extent) -> Report {
    let mut report = Report::default();
    let seeds = extent.seeds;
    for members in [3, 10, 30] {
        report.merge(failures::kill(extent, members, seeds));
        report.merge(network_faults::loss(extent, members, seeds.div_ceil(2)));
        report.merge(failures::pause(extent, members, seeds.div_ceil(2)));
        report.merge(network_faults::heal(extent, members, 2, seeds));
        report.merge(network_faults::heal(extent, members, 3, seeds));
        report.merge(network_faults::one_way(extent, members, seeds.div_ceil(2)));
        report.merge(startup::restart_leave_and_garbage(extent, members, seeds.div_ceil(4)));
        report.merge(startup::cold_start(extent, members, seeds.div_ceil(2)));
    }
    for members in [10, 30] {
        report.merge(failures::mass_kill(extent, members, seeds));
        report.merge(publishing::facts(extent, members, seeds.div_ceil(4)));
    }
    report.merge(publishing::flood(extent, 30, seeds.div_ceil(8)));
    report.merge(overcommit::overcommit(extent, seeds));
    report.merge(failures::kill(extent, 300, seeds));
    if extent.large_seeds > 0 {
        report.merge(network_faults::loss(extent, 300, 2));
        report.merge(network_faults::heal(extent, 300, 2, 2));
        report.merge(failures::mass_kill(extent, 300, 2));
        report.merge(startup::cold_start(extent, 300, 2));
        report.merge(failures::kill(extent, 3_000, extent.large_seeds));
    }
    let violated = mothproxy_invariant::violations(env!("CARGO_PKG_NAME"));
    report.check(violated == 0, format!("invariants were violated {violated} times"));
    report
}

/// Runs all scenarios, and verifies that the checks catch the deliberate fault.
pub fn proof(extent: Extent) -> Report {
    let mut report = run(extent);
    let faulty = network_faults::loss(Extent { skip_suspicion: true, ..extent }, 10, 2);
    let deaths = faulty.metrics.get("false_deaths_loss_10").copied().unwrap_or(0.0);
    report.record("skip_suspicion_false_deaths", deaths);
    let is_detected = deaths > 0.0 && !faulty.violations.is_empty();
    report.check(is_detected, "the deliberate fault skip_suspicion was not detected");
    report
}
