//! The plan of a fleet, and the seed of all its random choices.

use super::{DiscoveryScript, FleetError, WorkerScript};
use serde_json::Value;
use std::path::PathBuf;
use std::sync::Arc;

/// The maximum number of processes of a fleet: each has its own address in the fleet's block of 254.
pub const MAX_PROCESSES: usize = 120;
/// The maximum number of workers of a fleet.
pub const MAX_WORKERS: usize = 80;

/// Changes the configuration of the dispatcher with this number before it is written.
pub type ConfigChange = Arc<dyn Fn(usize, &mut Value) + Send + Sync>;

/// The plan of a fleet.
#[derive(Clone)]
pub struct FleetPlan {
    /// The built program: `env!("CARGO_BIN_EXE_mothproxy")` in a test.
    pub program: PathBuf,
    /// The number of processes.
    pub size: usize,
    /// The seed of all random choices.
    pub seed: u64,
    /// The workers.
    pub workers: Vec<WorkerScript>,
    /// The discovery service.
    pub discovery: DiscoveryScript,
    /// The operators' settings file of every process (protobuf text format), if there is one.
    pub settings: Option<String>,
    /// A final change of each configuration, for example of the settings or of `known`.
    pub change: Option<ConfigChange>,
    /// Whether the dispatchers get `peers_all`.
    pub has_peer_broadcast: bool,
}

impl FleetPlan {
    /// A plan with `size` processes of a program, and with `workers` workers of the default script.
    pub fn new(program: impl Into<PathBuf>, size: usize, workers: usize, seed: u64) -> FleetPlan {
        FleetPlan {
            program: program.into(),
            size,
            seed,
            workers: vec![WorkerScript::default(); workers],
            discovery: DiscoveryScript::default(),
            settings: None,
            change: None,
            has_peer_broadcast: true,
        }
    }

    pub(super) fn check_size(&self) -> Result<(), FleetError> {
        let workers = self.workers.len();
        if (1..=MAX_PROCESSES).contains(&self.size) && (1..=MAX_WORKERS).contains(&workers) {
            Ok(())
        } else {
            Err(FleetError::Size { processes: self.size, workers })
        }
    }
}

/// The seed in the environment variable `FLEET_SEED`, to replay a run; `seed` if it is not set.
pub fn seed_from_env_or(seed: u64) -> u64 {
    let text = std::env::var("FLEET_SEED").ok();
    let parse = |text: &str| match text.strip_prefix("0x") {
        Some(hex) => u64::from_str_radix(hex, 16).ok(),
        None => text.parse().ok(),
    };
    text.and_then(|text| parse(&text)).unwrap_or(seed)
}

/// The purposes from which [`derive_seed`] derives the seeds of a fleet's parts.
pub(super) const CLIENTS_SEED: u64 = 7;
pub(super) const FIRST_WORKER_SEED: u64 = 1_000;
/// The links of dispatcher `i` have the purposes `1,000 i` plus the worker's number, or plus this for discovery.
pub(super) const DISCOVERY_LINK_SEED: u64 = 999;
pub(super) const SEEDS_PER_DISPATCHER: u64 = 1_000;
pub(super) const FIRST_START_SEED: u64 = 1 << 32;

/// Derives the seed for one purpose from the printed seed.
pub(super) fn derive_seed(seed: u64, purpose: u64) -> u64 {
    fastrand::Rng::with_seed(seed ^ purpose.wrapping_mul(0x9e37_79b9_7f4a_7c15)).u64(..)
}
