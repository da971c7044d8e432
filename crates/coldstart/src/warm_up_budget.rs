//! A budget of handshakes, probes and first jobs for each worker. All configured dispatchers share it without exchanging
//! messages.
//!
//! **The bound.** Within any interval as long as the overload window `W`, a worker gets at most `B` units from all places
//! together. `B` is the budget that the settings allow at the start of the interval. The bound holds whichever processes
//! run and whenever they started, as long as their clocks differ from true time by at most `skew`.
//!
//! **Why it holds.** Time is divided into turns of length `(W + 2 skew) / k`, by Unix time; for a worker that warms up, by
//! its age, so that all dispatchers see the same phases. The units spent within one window have local times within
//! `W + 2 skew`. That span touches at most `k + 1` turns, and one more if it crosses into the next phase of a worker that
//! warms up, which has the larger budget. A turn is owned by as many places as `B / (k + 2)` units allow, in rotation by
//! place and worker. Each owner spends at most its share of them. A process does not use the turn in which it started, since
//! an earlier process at the same place may have spent it. So a window holds `(k + 2) floor(B / (k + 2)) <= B` units.

mod config;
mod turn;

pub use config::Config;

use crate::{ConfigError, Micros, WorkerTag};
use mothproxy_invariant::invariant;
use std::collections::HashMap;
use turn::{Phase, Turn};

/// The number of phases of a warm-up; the budget is computed separately for each.
const PHASES: u64 = 8;
/// Handshakes and probes each use at most this fraction of a warm worker's capacity. First jobs at an unconfirmed worker
/// use at most its whole capacity.
const WARM_FRACTION: f64 = 0.02;
/// The maximum number of spent turns that are kept in memory.
const MAX_SPENT_TURNS: usize = 65_536;
/// Spending is counted in thousandths of a unit.
const MILLI_UNITS: u64 = 1_000;

/// A worker as described by the endpoint list and the settings, which are the same at every dispatcher.
#[derive(Clone, Copy, Debug)]
pub struct Worker {
    /// The tag of the worker.
    pub tag: WorkerTag,
    /// The last start of the worker, in microseconds of Unix time; `None` if it is warm.
    pub started_at: Option<Micros>,
    /// The capacity of the warm worker, in requests of mean work per second, by the settings.
    pub requests_per_second: f64,
}

/// A request to a worker, as the budget counts it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Request {
    /// A new connection.
    Handshake,
    /// A load probe on an open connection.
    Probe,
    /// The first job at a worker that is unconfirmed since the start, together with the new connection for it.
    FirstJob,
    /// A job of this much work, in units of the mean work of a request; it counts as at least 1. Budgeted only while the
    /// worker warms up.
    Job(f64),
}

/// The decision on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The request may be sent; its cost is spent.
    Granted,
    /// The request must wait until this time, in the caller's microseconds.
    WaitUntil(Micros),
    /// The request exceeds any turn of this worker in its current phase.
    TooLarge,
}

/// The connections that a place may hold to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionQuota {
    /// The maximum number of connections.
    pub connections: u32,
    /// The end of the quota, in the caller's microseconds. The caller then requests the next quota, and closes the
    /// connections that exceed it.
    pub valid_until: Micros,
}

/// The purpose of a budget. A worker that warms up has a single budget for all requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum BudgetKind {
    WarmingUp,
    Handshakes,
    Probes,
    FirstJobs,
}

/// One budget of one worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct BudgetKey {
    tag: WorkerTag,
    kind: BudgetKind,
}

/// The amount spent in a turn.
#[derive(Clone, Copy, Debug)]
struct SpentTurn {
    /// The start of the turn, in microseconds of Unix time.
    start: Micros,
    /// The amount, in thousandths of a unit.
    spent: u64,
}

/// A request with its cost, and the state of the turn that would pay for it.
struct Claim {
    key: BudgetKey,
    turn: Turn,
    /// The cost of the request, in thousandths of a unit.
    cost: u64,
    /// The amount already spent in the turn, in thousandths of a unit.
    spent: u64,
    /// Whether this place owns the turn and can still afford the cost.
    is_open: bool,
}

/// The budgets of one dispatcher.
#[derive(Debug)]
pub struct WarmUpBudget {
    config: Config,
    /// The time of creation, in microseconds of Unix time.
    created_at: Micros,
    /// The latest turn in which each budget was spent.
    spent: HashMap<BudgetKey, SpentTurn>,
}

/// The budget of a worker that may get a mean of `requests` requests of mean work: three standard deviations of a Poisson
/// distribution above it, and three more.
pub fn budget(requests: f64) -> u64 {
    (requests + 3.0 * requests.max(0.0).sqrt() + 3.0) as u64
}

impl WarmUpBudget {
    /// Creates the budgets of a process that starts at `now`.
    ///
    /// # Errors
    ///
    /// Returns an error if the place is not one of the places, or if a number is out of its range.
    pub fn new(config: Config, now: Micros) -> Result<WarmUpBudget, ConfigError> {
        config.validate()?;
        Ok(WarmUpBudget { created_at: config.unix_at_zero + now, config, spent: HashMap::new() })
    }

    /// The budget of a worker that warms up, in requests of mean work, for a window that begins at this age of the worker,
    /// in microseconds.
    pub fn warming_budget(&self, worker: &Worker, age: Micros) -> u64 {
        let progress = (age as f64 / self.config.warm_up_time.max(1) as f64).min(1.0);
        let fraction = self.config.initial_capacity + (1.0 - self.config.initial_capacity) * progress;
        budget(self.config.overload_multiple * fraction * self.warm_capacity(worker))
    }

    /// The number of requests of this work that a warm worker may get in a window.
    pub fn warm_budget(&self, worker: &Worker, work: f64) -> u64 {
        budget(WARM_FRACTION * self.warm_capacity(worker) / work.max(1e-6))
    }

    /// The number of requests of mean work that a warm worker completes in a window.
    fn warm_capacity(&self, worker: &Worker) -> f64 {
        worker.requests_per_second * self.config.overload_window as f64 / 1e6
    }

    /// Decides on a request to a worker, and spends its cost if it is granted.
    pub fn try_spend(&mut self, now: Micros, worker: &Worker, request: Request) -> Decision {
        let Some(claim) = self.claim(now, worker, request) else { return Decision::Granted };
        if claim.cost > claim.turn.units * MILLI_UNITS {
            return Decision::TooLarge;
        }
        if claim.is_open && self.spend(now, &claim) {
            return Decision::Granted;
        }
        let at = claim.turn.next_owned_by(self.config.place, self.config.places, worker.tag);
        Decision::WaitUntil(at.saturating_sub(self.config.unix_at_zero).max(now + 1))
    }

    /// Whether a request would be granted now, without spending it.
    pub fn would_grant(&self, now: Micros, worker: &Worker, request: Request) -> bool {
        self.claim(now, worker, request).is_none_or(|claim| claim.is_open)
    }

    /// Spends the cost of a claim. Returns false if too many turns are in memory to record it.
    fn spend(&mut self, now: Micros, claim: &Claim) -> bool {
        if self.spent.len() >= MAX_SPENT_TURNS {
            let oldest = (self.config.unix_at_zero + now).saturating_sub(2 * self.config.skewed_window());
            self.spent.retain(|_, turn| turn.start >= oldest);
        }
        let has_room = self.spent.len() < MAX_SPENT_TURNS;
        if has_room {
            let turn = SpentTurn { start: claim.turn.start, spent: claim.spent + claim.cost };
            self.spent.insert(claim.key, turn);
        }
        has_room
    }

    /// The cost of a request and the turn that would pay for it; `None` if the request is not budgeted.
    fn claim(&self, now: Micros, worker: &Worker, request: Request) -> Option<Claim> {
        let unix = self.config.unix_at_zero + now;
        let age = worker.started_at.map(|at| unix.saturating_sub(at));
        let warm_up_age = age.filter(|age| *age < self.config.warm_up_time);
        let (kind, units) = match (warm_up_age, request) {
            (Some(_), Request::Handshake) => (BudgetKind::WarmingUp, self.config.handshake_work),
            (Some(_), Request::Probe) => (BudgetKind::WarmingUp, self.config.probe_work),
            (Some(_), Request::FirstJob) => (BudgetKind::WarmingUp, 1.0 + self.config.handshake_work),
            (Some(_), Request::Job(work)) => (BudgetKind::WarmingUp, work.max(1.0)),
            (None, Request::Handshake) => (BudgetKind::Handshakes, 1.0),
            (None, Request::Probe) => (BudgetKind::Probes, 1.0),
            (None, Request::FirstJob) => (BudgetKind::FirstJobs, 1.0),
            (None, Request::Job(_)) => return None,
        };
        let phase = self.phase(worker, kind, warm_up_age, unix);
        let turn = Turn::new(kind, &phase, self.config.skewed_window(), self.config.places);
        let key = BudgetKey { tag: worker.tag, kind };
        let cost = (units * MILLI_UNITS as f64).ceil() as u64;
        let current = self.spent.get(&key).filter(|spent| spent.start == turn.start);
        let spent = current.map_or(0, |turn| turn.spent);
        invariant!(spent <= turn.units * MILLI_UNITS, "more was spent than this place's share of the turn");
        let is_own = self.config.skip_turns || turn.start >= self.created_at && self.owns(&turn, worker.tag);
        let is_open = is_own && spent + cost <= turn.units * MILLI_UNITS;
        Some(Claim { key, turn, cost, spent, is_open })
    }

    /// The phase of a budget at a Unix time. A warm worker has a single phase that never ends.
    fn phase(&self, worker: &Worker, kind: BudgetKind, warm_up_age: Option<Micros>, unix: Micros) -> Phase {
        if let (BudgetKind::WarmingUp, Some(age)) = (kind, warm_up_age) {
            let window = self.config.skewed_window();
            let length = (self.config.warm_up_time / PHASES).max(window);
            let began_at_age = age / length * length;
            let started_at = unix - age;
            return Phase {
                start: started_at + began_at_age,
                elapsed: age - began_at_age,
                budget: self.warming_budget(worker, began_at_age.saturating_sub(window)),
            };
        }
        let work = match kind {
            BudgetKind::Probes => self.config.probe_work,
            BudgetKind::FirstJobs => WARM_FRACTION,
            BudgetKind::WarmingUp | BudgetKind::Handshakes => self.config.handshake_work,
        };
        Phase { start: 0, elapsed: unix, budget: self.warm_budget(worker, work) }
    }

    fn owns(&self, turn: &Turn, tag: WorkerTag) -> bool {
        turn.is_owned_by(self.config.place, self.config.places, tag)
    }

    /// The number of connections that this place may hold to a worker now; `None` if the worker's limit is unknown. The sum
    /// over all places never exceeds that limit, even while some places are already in the next lease and others are not.
    pub fn connection_quota(&self, now: Micros, tag: WorkerTag) -> Option<ConnectionQuota> {
        let all = u64::from(self.config.connections);
        let each = all / u64::from(self.config.places);
        if all == 0 {
            return None;
        }
        if each > 0 {
            let connections = u32::try_from(each).unwrap_or(u32::MAX);
            return Some(ConnectionQuota { connections, valid_until: Micros::MAX });
        }
        let (unix, length) = (self.config.unix_at_zero + now, self.config.connection_lease);
        let index = unix / length;
        // Two adjacent leases may overlap, since clocks differ: each uses half of the connections.
        let lease = Turn { start: 0, length, index, owners: all / 2, units: 1, kinds: 1 };
        let is_owner = all >= 2 && self.owns(&lease, tag);
        let valid_until = ((index + 1) * length).saturating_sub(self.config.unix_at_zero);
        Some(ConnectionQuota { connections: is_owner.into(), valid_until })
    }
}
