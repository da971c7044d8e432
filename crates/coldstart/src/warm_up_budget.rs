//! Handshakes, probes and first jobs of each worker, budgeted over all dispatchers that may exist, with no message.
//!
//! **The bound.** In any stretch of the overload window `W`, a worker gets no more units from all places together than the
//! budget `B` that the settings allow at the stretch's beginning, whichever processes live, whenever they started, while
//! their clocks differ from true time by at most `skew`.
//!
//! **Why.** By Unix time (for a worker that warms up: by its age, so that its phases are the same to all) time is cut into turns
//! of length `(W + 2 skew) / k`. A unit spent within the window has a stamp within `W + 2 skew`, which touches `k + 1` turns at
//! most, and one more where it crosses into the next phase of a worker that warms up, whose budget is the larger one. A turn is
//! owned by as many places as `B / (k + 2)` units allow, in rotation by place and worker; each owner spends its part of them at most,
//! and a process leaves alone the turn in which it started, since one before it at the same place may have spent it. So a
//! window holds `(k + 2) floor(B / (k + 2)) <= B` units.

mod config;
mod turn;

pub use config::Config;

use crate::{ConfigError, Micros, WorkerTag};
use mothproxy_invariant::invariant;
use std::collections::HashMap;
use turn::{Phase, Turn};

/// The budget of a worker that warms up is computed anew this often until it is warm.
const PHASES: u64 = 8;
/// Handshakes and probes each take at most this fraction of a warm worker; first jobs at unconfirmed ones no more than it does.
const WARM_FRACTION: f64 = 0.02;
/// The most spent turns kept.
const MAX_SPENT_TURNS: usize = 65_536;
/// What is spent is counted in thousandths of units.
const MILLI_UNITS: u64 = 1_000;

/// A worker, by what the list and the settings say of it: the same at every dispatcher.
#[derive(Clone, Copy, Debug)]
pub struct Worker {
    /// The same at every dispatcher.
    pub tag: WorkerTag,
    /// Its last start, in microseconds of Unix time; `None` where it is warm.
    pub started_at: Option<Micros>,
    /// Requests of mean work that it does in a second when it is warm, by the settings.
    pub requests_per_second: f64,
}

/// What a dispatcher wants to send to a worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Request {
    /// A new connection.
    Handshake,
    /// A probe on a connection that is there.
    Probe,
    /// The first job at a worker that is not confirmed since the start, with the new connection for it.
    FirstJob,
    /// A job of so much work, in requests of mean work, each for one at least. Budgeted only while the worker warms up.
    Job(f64),
}

/// Whether a request may go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Yes, and it is spent.
    Granted,
    /// Not before this time, in the caller's microseconds.
    WaitUntil(Micros),
    /// It is larger than any turn of this worker in its present phase.
    TooLarge,
}

/// Connections that a place may hold to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionQuota {
    /// How many.
    pub connections: u32,
    /// Until when, in the caller's microseconds; after that the place calls again, and closes what it may no longer hold.
    pub valid_until: Micros,
}

/// What a budget is for: a worker that warms up has one for all requests.
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

/// What was spent of a turn, in thousandths of units.
#[derive(Clone, Copy, Debug)]
struct SpentTurn {
    start: Micros,
    spent: u64,
}

/// A request, beside what was spent of its turn.
struct Claim {
    key: BudgetKey,
    turn: Turn,
    /// In thousandths of units.
    cost: u64,
    /// What was spent of the turn before, in thousandths of units.
    spent: u64,
    is_open: bool,
}

/// The budgets of one dispatcher.
#[derive(Debug)]
pub struct WarmUpBudget {
    config: Config,
    /// Unix time at its making.
    created_at: Micros,
    /// The latest turn of each budget.
    spent: HashMap<BudgetKey, SpentTurn>,
}

/// The budget of a worker that may get `n` requests of mean work: the settings' number with room for chance.
pub fn budget(n: f64) -> u64 {
    (n + 3.0 * n.max(0.0).sqrt() + 3.0) as u64
}

impl WarmUpBudget {
    /// The budgets of a process that starts now.
    ///
    /// # Errors
    ///
    /// The place is not one of the places, or a number is out of its range.
    pub fn new(config: Config, now: Micros) -> Result<WarmUpBudget, ConfigError> {
        config.validate()?;
        Ok(WarmUpBudget { created_at: config.unix_at_zero + now, config, spent: HashMap::new() })
    }

    /// A worker's budget in requests of mean work for a window that begins at this age, by the settings.
    pub fn warming_budget(&self, worker: &Worker, age: Micros) -> u64 {
        let warmth = (age as f64 / self.config.warm_up_time.max(1) as f64).min(1.0);
        let fraction = self.config.initial_capacity + (1.0 - self.config.initial_capacity) * warmth;
        budget(self.config.overload_multiple * fraction * self.warm_capacity(worker))
    }

    /// What a warm worker gets of requests of this work, in a window.
    pub fn warm_budget(&self, worker: &Worker, work: f64) -> u64 {
        budget(WARM_FRACTION * self.warm_capacity(worker) / work.max(1e-6))
    }

    /// Requests of mean work that a warm worker does in a window.
    fn warm_capacity(&self, worker: &Worker) -> f64 {
        worker.requests_per_second * self.config.overload_window as f64 / 1e6
    }

    /// Decides on one request to a worker, and spends it where it is granted.
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

    /// Spends a claim; false where there is no memory left for it.
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

    /// What stands for and against a request; `None` where it is not budgeted.
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
        invariant!(spent <= turn.units * MILLI_UNITS, "more than the own part of a turn was spent");
        let is_own = self.config.skip_turns || turn.start >= self.created_at && self.owns(&turn, worker.tag);
        let is_open = is_own && spent + cost <= turn.units * MILLI_UNITS;
        Some(Claim { key, turn, cost, spent, is_open })
    }

    /// The phase of a budget at a Unix time: a warm worker has one that never ends.
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

    /// Connections that this place may hold to a worker now. The places' numbers never add up to more than the worker
    /// holds, also while some places are already in the next lease and some not yet. `None` where nobody knows how many it
    /// holds.
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
        // Half for each of two leases that touch.
        let lease = Turn { start: 0, length, index, owners: all / 2, units: 1, kinds: 1 };
        let is_owner = all >= 2 && self.owns(&lease, tag);
        let valid_until = ((index + 1) * length).saturating_sub(self.config.unix_at_zero);
        Some(ConnectionQuota { connections: is_owner.into(), valid_until })
    }
}
