//! The plan of a run: everything that the seed decides before the run begins.

use std::time::Duration;

/// The numbers of workers among which a seed chooses: usual ones, and thousands.
const WORKER_COUNTS: [usize; 4] = [24, 200, 800, 3_200];
/// The parts of a core among which a seed chooses.
const SHARES: [f64; 5] = [1.0, 1.0, 0.2, 0.1, 0.05];
/// The numbers of processes among which a seed chooses.
const PROCESS_COUNTS: [usize; 3] = [4, 12, 24];
/// The total rate of requests, in requests per second, over all processes.
const TOTAL_RATE: f64 = 240.0;
/// The least and the longest deadline of a plan, in milliseconds.
const DEADLINES_MS: std::ops::RangeInclusive<u64> = 1_200..=3_000;

/// How the list of workers changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListChanges {
    /// Changes of single workers.
    Rows,
    /// Changes of eight workers; each third change is sent as a whole list.
    Mixed,
    /// Each change is sent as a whole list.
    Whole,
}

/// Values that replace those that the seed would choose.
#[derive(Clone, Copy, Debug, Default)]
pub struct Overrides {
    /// The number of workers.
    pub workers: Option<usize>,
    /// The number of processes.
    pub processes: Option<usize>,
    /// The part of a core that each process gets.
    pub share: Option<f64>,
    /// How the list changes.
    pub list_changes: Option<ListChanges>,
    /// Whether processes get signals; `false` also leaves out the crowd.
    pub signals: Option<bool>,
    /// The number of dispatchers that the settings name.
    pub siblings: Option<usize>,
    /// Whether signals include hot restarts.
    pub hot_restarts: Option<bool>,
}

/// A run.
#[derive(Clone, Debug)]
pub struct SoakPlan {
    /// The seed of all random choices.
    pub seed: u64,
    /// How long clients send requests.
    pub duration: Duration,
    /// The number of workers on the list.
    pub workers: usize,
    /// The number of processes of the program.
    pub processes: usize,
    /// The number of dispatchers that the settings name; the others do not exist.
    pub siblings: usize,
    /// The part of a core that each process gets.
    pub share: f64,
    /// How the list changes.
    pub list_changes: ListChanges,
    /// The interval between two changes of the list.
    pub change_interval: Duration,
    /// The rate of requests at each process, in requests per second.
    pub rate: f64,
    /// The longest deadline of a class, in milliseconds.
    pub deadline_ms: u64,
    /// The share of attempts that workers turn away.
    pub rejected_share: f64,
    /// The share of clients that leave before their answer.
    pub leaving_share: f64,
    /// Whether processes are reloaded, stopped, killed and upgraded.
    pub has_signals: bool,
    /// Whether hot restarts are among the signals.
    pub has_hot_restarts: bool,
    /// Whether idle and broken clients fill the connections.
    pub has_crowd: bool,
    /// Whether the watch is cut and discovery is silent now and then.
    pub has_discovery_faults: bool,
}

impl SoakPlan {
    /// Draws the plan of a seed.
    pub fn draw(seed: u64, duration: Duration, overrides: Overrides) -> SoakPlan {
        let mut random = fastrand::Rng::with_seed(seed);
        let changes = [ListChanges::Rows, ListChanges::Mixed, ListChanges::Whole];
        let drawn_workers = pick(&mut random, &WORKER_COUNTS);
        let drawn_share = pick(&mut random, &SHARES);
        let drawn_processes = pick(&mut random, &PROCESS_COUNTS);
        let drawn_changes = pick(&mut random, &changes);
        let drawn_siblings = pick(&mut random, &[drawn_processes, 900]);
        let drawn_signals = random.f64() < 0.8;
        let drawn_crowd = random.f64() < 0.25;
        let processes = overrides.processes.unwrap_or(drawn_processes);
        let has_signals = overrides.signals.unwrap_or(drawn_signals);
        SoakPlan {
            seed,
            duration,
            workers: overrides.workers.unwrap_or(drawn_workers),
            processes,
            siblings: overrides.siblings.unwrap_or(drawn_siblings).max(processes),
            share: overrides.share.unwrap_or(drawn_share),
            list_changes: overrides.list_changes.unwrap_or(drawn_changes),
            change_interval: Duration::from_millis(pick(&mut random, &[100, 250, 500])),
            rate: TOTAL_RATE / processes as f64,
            deadline_ms: random.u64(DEADLINES_MS),
            rejected_share: pick(&mut random, &[0.1, 0.3, 0.5]),
            leaving_share: 0.33,
            has_signals,
            has_hot_restarts: overrides.hot_restarts.unwrap_or(true),
            has_crowd: drawn_crowd && overrides.signals != Some(false),
            has_discovery_faults: random.f64() < 0.5,
        }
    }
}

fn pick<T: Copy>(random: &mut fastrand::Rng, values: &[T]) -> T {
    values[random.usize(..values.len())]
}
