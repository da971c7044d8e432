//! A simulation of dispatchers that serve jobs by their weight, in ticks of [`TICK`].

use crate::carrier::{Carrier, Fact};
use crate::setup::{
    CAPACITY, DISPATCHERS, JOB_VALUE, OVER_QUOTA_WEIGHT, Policy, SECOND, SERVICE_TICKS, Scenario, TENANTS,
    TICK, TICKS_PER_SECOND, TIMEOUT_TICKS, config, shares, west,
};
use mothproxy_fairshare::{Config, JobValue, Ledger, Origin, Shares, TenantKey, Tier, Usage};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

/// A waiting job. The greatest one is served first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Job {
    /// The weight, in millionths.
    weight: u32,
    arrived: Reverse<u64>,
    tie_break: u32,
    tenant: usize,
    tier: Tier,
}

/// A job that a worker runs.
struct RunningJob {
    answered_at: u64,
    dispatcher: usize,
    /// The epoch of the dispatcher's process that started the job.
    epoch: u64,
    tenant: usize,
}

struct Dispatcher {
    is_up: bool,
    ledger: Ledger,
    epoch: u64,
    /// The number of facts published.
    published: u64,
    /// The waiting jobs, by descending weight and then by age.
    waiting: BinaryHeap<Job>,
    /// The tokens of each tenant for [`Policy::QuotaByNode`], in jobs.
    tokens: Vec<f64>,
}

impl Dispatcher {
    fn new(place: usize, now: u64, policy: Policy, shares: &Shares) -> Dispatcher {
        let config = Config { count_twice: policy == Policy::Mutated, ..config(place, now) };
        Dispatcher {
            is_up: true,
            epoch: config.epoch,
            ledger: Ledger::new(config, shares, now).expect("the configuration is valid"),
            published: 0,
            waiting: BinaryHeap::new(),
            tokens: vec![0.0; TENANTS.len()],
        }
    }
}

#[derive(Default)]
pub struct Outcome {
    /// The number of jobs served, by second and tenant.
    pub served: Vec<Vec<u64>>,
    /// The number of jobs that were due by max-min fairness, by second and tenant.
    pub due: Vec<Vec<f64>>,
    /// The number of jobs served within the quota, by second and tenant.
    pub within_quota: Vec<Vec<u64>>,
    pub facts_published: u64,
    pub bytes_published: u64,
    pub bytes_carried: u64,
    /// Whether all dispatchers know exactly the same usage at the end.
    pub is_agreed: bool,
    /// Whether the known usage is the actual usage at the end.
    pub is_exact: bool,
    pub broken_invariants: u64,
}

/// The weighted max-min fair shares of the capacity, in jobs, for the number of jobs that arrived in a second.
fn max_min_shares(demands: &[f64]) -> Vec<f64> {
    let mut due = vec![0.0; demands.len()];
    let (mut left, mut open): (f64, Vec<usize>) = (CAPACITY as f64, (0..demands.len()).collect());
    loop {
        let weights: f64 = open.iter().map(|t| f64::from(TENANTS[*t].weight)).sum();
        let level =
            |t: usize| if weights > 0.0 { left * f64::from(TENANTS[t].weight) / weights } else { left / 1.0 };
        let satisfied: Vec<usize> = open.iter().copied().filter(|t| demands[*t] <= level(*t)).collect();
        if satisfied.is_empty() || open.is_empty() {
            open.iter().for_each(|t| due[*t] = level(*t));
            return due;
        }
        for t in satisfied {
            due[t] = demands[t];
            left -= demands[t];
            open.retain(|o| *o != t);
        }
    }
}

pub fn simulate(scenario: &Scenario, policy: Policy, seed: u64) -> Outcome {
    let mut simulation = Simulation::new(scenario, policy, seed);
    let seconds = scenario.seconds_with_quiet_end();
    for tick in 0..seconds * TICKS_PER_SECOND {
        simulation.step(tick);
    }
    simulation.finish(seconds * SECOND)
}

struct Simulation<'a> {
    scenario: &'a Scenario,
    policy: Policy,
    shares: Shares,
    keys: Vec<TenantKey>,
    total_weight: f64,
    rng: fastrand::Rng,
    /// A separate generator for arrivals, so that the same jobs arrive under all policies.
    traffic_rng: fastrand::Rng,
    dispatchers: Vec<Dispatcher>,
    /// A ledger in which all usage is recorded without delay.
    reference: Ledger,
    carrier: Carrier,
    /// The number of jobs that the workers of each side can start now.
    credit: [f64; 2],
    running: VecDeque<RunningJob>,
    outcome: Outcome,
    tick: u64,
    now: u64,
    second: u64,
}

impl<'a> Simulation<'a> {
    fn new(scenario: &'a Scenario, policy: Policy, seed: u64) -> Simulation<'a> {
        let shares = shares();
        Simulation {
            scenario,
            policy,
            keys: TENANTS.iter().map(|t| TenantKey::from_name(t.name)).collect(),
            total_weight: TENANTS.iter().map(|t| f64::from(t.weight)).sum(),
            rng: fastrand::Rng::with_seed(seed),
            traffic_rng: fastrand::Rng::with_seed(seed ^ 0x5eed),
            dispatchers: (0..DISPATCHERS).map(|place| Dispatcher::new(place, 0, policy, &shares)).collect(),
            reference: Ledger::new(config(0, 0), &shares, 0).expect("the configuration is valid"),
            shares,
            carrier: Carrier::new(),
            credit: [0.0; 2],
            running: VecDeque::new(),
            outcome: Outcome::default(),
            tick: 0,
            now: 0,
            second: 0,
        }
    }

    fn step(&mut self, tick: u64) {
        (self.tick, self.now, self.second) = (tick, (tick + 1) * TICK, tick / TICKS_PER_SECOND);
        if tick % TICKS_PER_SECOND == 0 {
            self.begin_second();
        }
        if self.second < self.scenario.seconds {
            self.add_jobs();
        }
        if tick % TICKS_PER_SECOND == 0 {
            let timed_out = |job: &Job| job.arrived.0 + TIMEOUT_TICKS < tick;
            self.dispatchers.iter_mut().for_each(|d| d.waiting.retain(|job| !timed_out(job)));
        }
        if tick % TICKS_PER_SECOND == TICKS_PER_SECOND - 1 {
            let due = &mut self.outcome.due[self.second as usize];
            *due = max_min_shares(due);
        }
        self.start_jobs();
        self.answer_jobs();
        if self.policy.exchanges_facts() {
            (0..DISPATCHERS).for_each(|from| self.publish(from));
            self.deliver();
        }
    }

    fn begin_second(&mut self) {
        self.outcome.served.push(vec![0; TENANTS.len()]);
        self.outcome.within_quota.push(vec![0; TENANTS.len()]);
        self.outcome.due.push(vec![0.0; TENANTS.len()]);
        let Some(restart) = self.scenario.restart else { return };
        if self.second == restart.killed {
            self.dispatchers[restart.dispatcher].is_up = false;
            self.carrier.forget(restart.dispatcher);
        } else if self.second == restart.restarted {
            self.dispatchers[restart.dispatcher] =
                Dispatcher::new(restart.dispatcher, self.now, self.policy, &self.shares);
        }
    }

    /// Adds the jobs that arrive in this tick, at dispatchers that are up.
    fn add_jobs(&mut self) {
        for (t, tenant) in TENANTS.iter().enumerate() {
            let is_up = |d: &usize| self.dispatchers[*d].is_up;
            let mut at: Vec<usize> =
                (0..DISPATCHERS).filter(|d| (tenant.arrives_at)(*d) && is_up(d)).collect();
            if at.is_empty() {
                at.push((0..DISPATCHERS).find(is_up).unwrap_or(0));
            }
            let mean = (tenant.rate)(self.second) / TICKS_PER_SECOND as f64 / at.len() as f64;
            let part = CAPACITY as f64 * f64::from(tenant.weight) / self.total_weight / DISPATCHERS as f64;
            for d in at {
                let jobs = mean as u64 + u64::from(self.traffic_rng.f64() < mean.fract());
                self.outcome.due[self.second as usize][t] += jobs as f64;
                let tokens = &mut self.dispatchers[d].tokens[t];
                *tokens = (*tokens + part / TICKS_PER_SECOND as f64).min(part);
                (0..jobs).for_each(|_| self.add_job(d, t));
            }
        }
    }

    fn add_job(&mut self, dispatcher: usize, tenant: usize) {
        let JobValue { fraction, tier } = self.weigh(dispatcher, tenant);
        let (weight, arrived) = ((fraction * 1e6) as u32, Reverse(self.tick));
        let job = Job { weight, arrived, tie_break: self.rng.u32(..), tenant, tier };
        self.dispatchers[dispatcher].waiting.push(job);
    }

    fn weigh(&mut self, dispatcher: usize, tenant: usize) -> JobValue {
        let at = &mut self.dispatchers[dispatcher];
        let key = self.keys[tenant];
        match self.policy {
            Policy::Today => JobValue { fraction: 1.0, tier: Tier::Within },
            Policy::QuotaByNode if at.tokens[tenant] >= 1.0 => {
                at.tokens[tenant] -= 1.0;
                JobValue { fraction: 1.0, tier: Tier::Within }
            }
            Policy::QuotaByNode => JobValue { fraction: OVER_QUOTA_WEIGHT, tier: Tier::Over },
            Policy::OneLedger => self.reference.job_value(key, 0, JOB_VALUE, self.now),
            Policy::FairShare | Policy::Mutated => at.ledger.job_value(key, 0, JOB_VALUE, self.now),
        }
    }

    /// Starts the waiting jobs with the greatest weight, and of these the oldest. During a partition each side has half of the
    /// workers.
    fn start_jobs(&mut self) {
        let sides: &[&[usize]] = if self.scenario.is_cut(self.second) {
            &[&[0, 1, 2, 3, 4, 5], &[6, 7, 8, 9, 10, 11]]
        } else {
            &[&[0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11]]
        };
        for (n, side) in sides.iter().enumerate() {
            let more = CAPACITY as f64 / TICKS_PER_SECOND as f64 / sides.len() as f64;
            self.credit[n] = (self.credit[n] + more).min(CAPACITY as f64 / 10.0);
            while self.credit[n] >= 1.0 {
                let top = |d: &usize| self.dispatchers[*d].waiting.peek().copied();
                let best = side.iter().copied().filter(|d| self.dispatchers[*d].is_up).max_by_key(top);
                let job = best.and_then(|d| Some((d, self.dispatchers[d].waiting.pop()?)));
                let Some((d, job)) = job else { break };
                if job.arrived.0 + TIMEOUT_TICKS < self.tick {
                    continue;
                }
                self.credit[n] -= 1.0;
                self.start_job(d, job);
            }
        }
    }

    fn start_job(&mut self, dispatcher: usize, job: Job) {
        let second = self.second as usize;
        self.outcome.served[second][job.tenant] += 1;
        self.outcome.within_quota[second][job.tenant] += u64::from(job.tier <= Tier::Floor);
        let epoch = self.dispatchers[dispatcher].epoch;
        let answered_at = self.tick + SERVICE_TICKS;
        self.running.push_back(RunningJob { answered_at, dispatcher, epoch, tenant: job.tenant });
    }

    /// Ends the jobs whose final response is due, and records their usage.
    fn answer_jobs(&mut self) {
        while self.running.front().is_some_and(|job| job.answered_at <= self.tick) {
            let Some(job) = self.running.pop_front() else { return };
            let (key, used) = (self.keys[job.tenant], Usage { value: JOB_VALUE, work: 10 });
            self.reference.record(self.now, self.now, key, 0, used).expect("the current time is accepted");
            let dispatcher = &mut self.dispatchers[job.dispatcher];
            if dispatcher.is_up && dispatcher.epoch == job.epoch {
                dispatcher
                    .ledger
                    .record(self.now, self.now, key, 0, used)
                    .expect("the current time is accepted");
            }
        }
    }

    fn is_connected(&self, a: usize, b: usize) -> bool {
        !self.scenario.is_cut(self.second) || west(a) == west(b)
    }

    /// Sends the new facts of a dispatcher to all others, and starts an anti-entropy exchange if one is due.
    fn publish(&mut self, from: usize) {
        let late = self.scenario.lateness(from, self.second);
        while let Some(fact) = self.next_fact(from) {
            self.outcome.facts_published += 1;
            self.outcome.bytes_published += fact.bytes.len() as u64;
            if late == 0 {
                self.carrier.hold_own(from, &fact);
            }
            for to in (0..DISPATCHERS).filter(|to| *to != from) {
                if self.is_connected(from, to) {
                    self.carrier.send(&mut self.rng, self.scenario, self.now + late, to, &fact);
                }
            }
        }
        // Anti-entropy: twice per second, each dispatcher gets missing facts from a random other one.
        let other = self.rng.usize(0..DISPATCHERS);
        let is_due = self.tick % (TICKS_PER_SECOND / 2) == 0 && other != from;
        let are_up = self.dispatchers[from].is_up && self.dispatchers[other].is_up;
        if is_due && are_up && self.is_connected(from, other) {
            for fact in self.carrier.missing(from, other) {
                self.carrier.send(&mut self.rng, self.scenario, self.now, from, &fact);
            }
        }
    }

    fn next_fact(&mut self, from: usize) -> Option<Fact> {
        let dispatcher = &mut self.dispatchers[from];
        if !dispatcher.is_up {
            return None;
        }
        let (slot, bytes) = dispatcher.ledger.publish(self.now)?;
        dispatcher.published += 1;
        let origin = Origin { place: from as u16, epoch: dispatcher.epoch };
        Some(Fact { origin, slot, number: dispatcher.published, bytes })
    }

    fn deliver(&mut self) {
        for delivery in self.carrier.take_arrived(self.now) {
            if !self.dispatchers[delivery.to].is_up {
                continue;
            }
            self.carrier.hold_received(&delivery);
            let fact = &delivery.fact;
            // The result is ignored: the ledger counts refused facts.
            let ledger = &mut self.dispatchers[delivery.to].ledger;
            let _ = ledger.absorb(self.now, fact.origin, fact.slot, fact.number, &fact.bytes);
        }
    }

    fn finish(mut self, end: u64) -> Outcome {
        let keys = self.keys;
        let known = |ledger: &mut Ledger| -> Vec<Usage> {
            keys.iter().map(|k| ledger.known_usage(*k, end)).collect()
        };
        let reference = known(&mut self.reference);
        let views: Vec<Vec<Usage>> = self.dispatchers.iter_mut().map(|d| known(&mut d.ledger)).collect();
        Outcome {
            bytes_carried: self.carrier.bytes,
            is_agreed: views.iter().all(|view| *view == views[0]),
            is_exact: views.iter().all(|view| *view == reference),
            broken_invariants: self.dispatchers.iter().map(|d| d.ledger.metrics().broken).sum(),
            ..self.outcome
        }
    }
}
