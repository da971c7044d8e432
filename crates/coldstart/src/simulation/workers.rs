//! The simulated workers, and the jobs that dispatchers send them.

use super::event_queue::{Event, ProcessId};
use super::{HOP_LATENCY, MS, SECOND, Simulation, UNIX_AT_ZERO};
use crate::{Admission, Decision, Fault, Observation, Request};
use std::collections::VecDeque;

/// The time within which a job must find a worker; otherwise it is lost.
const JOB_TIMEOUT: u64 = 7_500 * MS;
/// The timeout of a connection attempt.
const CONNECT_TIMEOUT: u64 = 250 * MS;
/// The interval at which a job without a worker is tried again.
const RETRY_INTERVAL: u64 = 20 * MS;
/// The capacity of a warm worker, in jobs of mean work per second.
const REQUESTS_PER_SECOND: f64 = 40.0;
/// The number of jobs that a worker runs at a time.
const SLOTS: f64 = 4.0;
/// The window over which the load of a worker that warms up is limited; see [`OVERLOAD_MULTIPLE`].
pub(super) const OVERLOAD_WINDOW: u64 = 1_500 * MS;
/// A worker that warms up collapses if it is sent more than this multiple of its capacity over [`OVERLOAD_WINDOW`], plus a
/// margin for random variation.
pub(super) const OVERLOAD_MULTIPLE: f64 = 4.0;
/// The fraction of its capacity with which a worker starts.
pub(super) const INITIAL_CAPACITY: f64 = 0.38;
/// The time from a worker's start until it is warm.
pub(super) const WARM_UP_TIME: u64 = 8_400 * MS;
/// The work of a handshake, in jobs of mean work.
pub(super) const HANDSHAKE_WORK: f64 = 0.015;
/// The time after which an idle connection is closed.
const IDLE_TIMEOUT: u64 = 5 * SECOND;
/// The number of random workers that a dispatcher considers for each job.
const SAMPLED_WORKERS: usize = 8;
/// The time from the start of the run for which handshakes and trials are counted.
const COUNTED_TIME: u64 = 10 * SECOND;

/// A simulated worker.
pub(super) struct Worker {
    pub is_dead: bool,
    /// Whether connections to the dead worker hang instead of being refused.
    hangs: bool,
    /// The Unix time of the worker's start, if it has to warm up.
    started_at: Option<u64>,
    /// The time and the work of each job sent to the worker within the window.
    sent: VecDeque<(u64, f64)>,
    pub handshakes: u64,
    pub trials: u64,
}

impl Worker {
    /// Creates the worker with this index. Workers with an index below `dead` are dead, and one in three of those hangs.
    pub fn new(index: usize, dead: usize, warms_up: bool, rng: &mut fastrand::Rng) -> Worker {
        let is_dead = index < dead;
        Worker {
            is_dead,
            hangs: is_dead && index % 3 == 0,
            started_at: (warms_up && !is_dead).then(|| UNIX_AT_ZERO + rng.u64(0..SECOND)),
            sent: VecDeque::new(),
            handshakes: 0,
            trials: 0,
        }
    }

    /// The time since the worker's start; `None` if the worker is warm.
    fn warm_up_age(&self, now: u64) -> Option<u64> {
        let age = self.started_at.map(|at| (UNIX_AT_ZERO + now).saturating_sub(at));
        age.filter(|age| *age < WARM_UP_TIME)
    }

    /// The description of the worker for [`crate::WarmUpBudget`].
    fn for_budget(&self, index: usize) -> crate::Worker {
        crate::Worker {
            tag: index as u64,
            started_at: self.started_at,
            requests_per_second: REQUESTS_PER_SECOND,
        }
    }
}

/// The connections of a dispatcher to one worker, and its knowledge of that worker.
#[derive(Default)]
pub(super) struct Connections {
    /// The time since which each idle connection is idle.
    idle_since: Vec<u64>,
    /// Consecutive failed attempts.
    failures: u32,
    ejected_until: u64,
    /// For strategies without this crate: the last turn in which the dispatcher sent work while the worker warmed up, and
    /// how much work it sent in that turn.
    warm_up_turn: u64,
    warm_up_turn_work: f64,
}

impl Connections {
    fn has_idle(&self, now: u64) -> bool {
        self.idle_since.iter().any(|since| since + IDLE_TIMEOUT > now)
    }

    /// The work sent in a turn, for strategies without this crate.
    fn sent_in_turn(&self, turn: u64) -> f64 {
        if self.warm_up_turn == turn { self.warm_up_turn_work } else { 0.0 }
    }
}

/// A job of a client.
#[derive(Clone, Copy)]
pub(super) struct Job {
    arrived_at: u64,
    /// The work of the job, in jobs of mean work.
    work: f64,
}

/// A job that was sent to a worker.
#[derive(Clone, Copy)]
pub(super) struct Attempt {
    pub process: ProcessId,
    job: Job,
    worker: usize,
    is_alive: bool,
}

/// A worker that may get a job now.
#[derive(Clone, Copy)]
struct Candidate {
    worker: usize,
    needs_connection: bool,
    /// Whether the worker is unconfirmed, so that the job is a trial.
    is_trial: bool,
}

impl Simulation<'_> {
    pub(super) fn on_job_arrives(&mut self, process: ProcessId) {
        let alive = self.workers.iter().filter(|worker| !worker.is_dead).count() as f64;
        let rate = self.scenario.load * REQUESTS_PER_SECOND * alive / f64::from(self.scenario.dispatchers);
        let gap = exponential(&mut self.rng) / rate * SECOND as f64;
        self.schedule(self.now + gap as u64, Event::JobArrives(process));
        let work = exponential(&mut self.rng);
        if self.now + JOB_TIMEOUT < self.scenario.duration {
            self.measurements.record_job();
            self.try_job(process, Job { arrived_at: self.now, work });
        }
    }

    /// Sends a job to a worker of a random sample of the dispatcher's list, or schedules a retry if none is usable.
    pub(super) fn try_job(&mut self, process: ProcessId, job: Job) {
        if self.now > job.arrived_at + JOB_TIMEOUT {
            return self.measurements.record_lost_job();
        }
        let candidate = self.choose_worker(process.place, job.work);
        match candidate.filter(|candidate| self.spend(process.place, *candidate, job.work)) {
            Some(candidate) => self.send_job(process, job, candidate),
            None => self.schedule(self.now + RETRY_INTERVAL, Event::RetryJob(process, job)),
        }
    }

    /// The first usable worker with an idle connection, or else the first usable one.
    fn choose_worker(&mut self, place: u16, work: f64) -> Option<Candidate> {
        let has_list = self.dispatcher(place).first_list_at.is_some();
        let list = if has_list { &self.current_list } else { &self.old_list };
        let sample: Vec<usize> = (0..SAMPLED_WORKERS).map(|_| list[self.rng.usize(0..list.len())]).collect();
        let mut best: Option<Candidate> = None;
        for worker in sample {
            let Some(candidate) = self.candidate(place, worker, work) else { continue };
            if best.is_none_or(|best| best.needs_connection && !candidate.needs_connection) {
                best = Some(candidate);
            }
        }
        best
    }

    /// The worker with this index as a candidate; `None` if it may not get a job now.
    fn candidate(&self, place: u16, index: usize, work: f64) -> Option<Candidate> {
        let (now, dispatcher, worker) = (self.now, self.dispatcher(place), &self.workers[index]);
        let connections = dispatcher.connections.get(&index);
        if connections.is_some_and(|connections| now < connections.ejected_until) {
            return None;
        }
        let needs_connection = !connections.is_some_and(|connections| connections.has_idle(now));
        let Some(state_machines) = &dispatcher.state_machines else {
            let is_usable = self.has_turn_without_scheduler(place, index, connections, work);
            return is_usable.then_some(Candidate { worker: index, needs_connection, is_trial: false });
        };
        let status = state_machines.observations.worker_status(index as u64, now);
        let is_trial = match state_machines.confirmation.admission(index as u64, status.as_ref(), now) {
            Admission::Refused => return None,
            Admission::Trial => true,
            Admission::Unrestricted => false,
        };
        let worker = worker.for_budget(index);
        let would_grant = |request| state_machines.budget.would_grant(now, &worker, request);
        let may_connect = is_trial || !needs_connection || would_grant(Request::Handshake);
        let is_usable = may_connect && would_grant(job_request(is_trial, work));
        is_usable.then_some(Candidate { worker: index, needs_connection, is_trial })
    }

    /// Whether the program without this crate would send this work to a worker. That program has turns of its own at
    /// workers that warm up.
    fn has_turn_without_scheduler(
        &self,
        place: u16,
        index: usize,
        connections: Option<&Connections>,
        work: f64,
    ) -> bool {
        let Some(age) = self.workers[index].warm_up_age(self.now) else { return true };
        let age_at_window_start = age.saturating_sub(OVERLOAD_WINDOW) as f64;
        let fraction =
            INITIAL_CAPACITY + (1.0 - INITIAL_CAPACITY) * age_at_window_start / WARM_UP_TIME as f64;
        let budget = fraction * OVERLOAD_MULTIPLE * 0.5 * REQUESTS_PER_SECOND * OVERLOAD_WINDOW as f64 / 1e6;
        let places = u64::from(self.scenario.dispatchers);
        let owners = ((budget / 2.0) as u64).clamp(1, places);
        let turn = age / OVERLOAD_WINDOW;
        let rotation = turn % places * (places / 2 + 1);
        let rank = (u64::from(place) + crate::mix(index as u64) % places + rotation) % places;
        let sent = connections.map_or(0.0, |connections| connections.sent_in_turn(turn));
        rank < owners && (sent == 0.0 || sent + work.max(1.0) <= budget / owners as f64)
    }

    /// Spends the cost of the job from the budgets. Returns false if they do not allow it.
    fn spend(&mut self, place: u16, candidate: Candidate, work: f64) -> bool {
        let (now, index) = (self.now, candidate.worker);
        let worker = &self.workers[index];
        let dispatcher = &mut self.dispatchers[usize::from(place)];
        let Some(state_machines) = &mut dispatcher.state_machines else {
            if let Some(started_at) = worker.started_at {
                let turn = (UNIX_AT_ZERO + now).saturating_sub(started_at) / OVERLOAD_WINDOW;
                let connections = dispatcher.connections.entry(index).or_default();
                connections.warm_up_turn_work = connections.sent_in_turn(turn) + work.max(1.0);
                connections.warm_up_turn = turn;
            }
            return true;
        };
        let worker = worker.for_budget(index);
        let mut is_granted =
            |request| state_machines.budget.try_spend(now, &worker, request) == Decision::Granted;
        if candidate.needs_connection && !candidate.is_trial && !is_granted(Request::Handshake) {
            return false;
        }
        if !is_granted(job_request(candidate.is_trial, work)) {
            return false;
        }
        if candidate.is_trial {
            state_machines.confirmation.begin_trial(index as u64);
        }
        true
    }

    fn send_job(&mut self, process: ProcessId, job: Job, candidate: Candidate) {
        let (now, index) = (self.now, candidate.worker);
        let needs_connection = candidate.needs_connection;
        let worker = &mut self.workers[index];
        if now < COUNTED_TIME {
            worker.handshakes += u64::from(needs_connection);
            worker.trials += u64::from(worker.is_dead);
        }
        let (is_dead, hangs) = (worker.is_dead, worker.hangs);
        let connections = self.dispatcher_mut(process.place).connections.entry(index).or_default();
        if !needs_connection {
            connections.idle_since.pop();
        }
        let duration = match (is_dead, hangs) {
            (true, true) => CONNECT_TIMEOUT,
            (true, false) => 2 * HOP_LATENCY,
            _ => (job.work / REQUESTS_PER_SECOND * SLOTS * SECOND as f64) as u64 + 2 * HOP_LATENCY,
        };
        if !is_dead {
            self.add_load(index, job.work + if needs_connection { HANDSHAKE_WORK } else { 0.0 });
        }
        let attempt = Attempt { process, job, worker: index, is_alive: !is_dead };
        self.schedule(now + duration, Event::JobEnds(attempt));
    }

    /// Adds work to the load of a worker that warms up. The worker collapses if its load exceeds its limit.
    fn add_load(&mut self, index: usize, work: f64) {
        let now = self.now;
        let worker = &mut self.workers[index];
        let Some(age) = worker.warm_up_age(now) else { return };
        worker.sent.push_back((now, work));
        while worker.sent.front().is_some_and(|(at, _)| at + OVERLOAD_WINDOW < now) {
            worker.sent.pop_front();
        }
        let fraction = INITIAL_CAPACITY + (1.0 - INITIAL_CAPACITY) * age as f64 / WARM_UP_TIME as f64;
        let mean = OVERLOAD_MULTIPLE * fraction * REQUESTS_PER_SECOND * OVERLOAD_WINDOW as f64 / 1e6;
        let limit = mean + 3.0 * mean.sqrt() + 3.0;
        let sent: f64 = worker.sent.iter().map(|(_, work)| work).sum();
        let has_collapsed = sent > limit;
        if has_collapsed {
            worker.sent.clear();
        }
        self.measurements.record_warm_up_load(sent / limit, has_collapsed);
    }

    pub(super) fn on_job_ends(&mut self, attempt: Attempt) {
        let (now, index, is_alive) = (self.now, attempt.worker, attempt.is_alive);
        let fault = if self.workers[index].hangs { Fault::Hangs } else { Fault::Refuses };
        let dispatcher = self.dispatcher_mut(attempt.process.place);
        let connections = dispatcher.connections.entry(index).or_default();
        if is_alive {
            connections.failures = 0;
            connections.ejected_until = 0;
            connections.idle_since.push(now);
        } else {
            connections.failures = (connections.failures + 1).min(6);
            connections.ejected_until = now + ((150 * MS) << connections.failures);
        }
        if let Some(state_machines) = &mut dispatcher.state_machines {
            state_machines.confirmation.on_result(index as u64, is_alive, now);
            let observation = if is_alive { Observation::Alive } else { Observation::Fault(fault) };
            state_machines.observations.record(now, index as u64, observation);
        }
        if !is_alive {
            self.try_job(attempt.process, attempt.job);
        }
    }
}

/// A draw from the exponential distribution with mean 1.
fn exponential(rng: &mut fastrand::Rng) -> f64 {
    -(1.0 - rng.f64()).ln()
}

/// The request against the budget for a job of this work.
fn job_request(is_trial: bool, work: f64) -> Request {
    if is_trial { Request::FirstJob } else { Request::Job(work) }
}
