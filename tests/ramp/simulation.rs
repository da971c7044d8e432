//! Dispatchers and workers on a virtual clock, driven by scheduled events.

use crate::common::{self, MS, TestDispatcher};
use crate::scenario::{END, REPLACEMENT_SPAN, REPLACEMENT_START, START, Scenario};
use crate::worker::{Call, QueueFull, Window, Worker};
use mothproxy::*;
use std::collections::BTreeMap;

/// The network delay of a call, a probe or a response.
const NETWORK_DELAY: Micros = MS;
/// The network delay of a message between dispatchers.
const PEER_DELAY: Micros = 2 * MS;
/// The time for which the client of a job waits.
const TIME_BUDGET: Micros = 7_500 * MS;

/// An event of the simulation.
enum Scheduled {
    JobArrives {
        dispatcher: u32,
    },
    WorkerReplaced {
        worker: u32,
    },
    DispatcherRestarted {
        dispatcher: u32,
    },
    EndpointNotified {
        dispatcher: u32,
        entry: EndpointEntry,
    },
    /// An event reaches a dispatcher, unless the process that it is meant for has ended.
    EventDelivered {
        dispatcher: u32,
        process: u64,
        event: Event,
    },
    CallArrives {
        worker: u32,
        call: Call,
    },
    CallDone {
        worker: u32,
        worker_process: u64,
        call: Call,
        duration: Micros,
    },
}

/// A dispatcher across the restarts of its process.
struct SimulatedDispatcher {
    /// The decision module of the present process.
    module: TestDispatcher,
    /// The present process, as the number of restarts before.
    process: u64,
    /// The endpoint list as the dispatcher has been notified of it. A new process starts with this list.
    list: BTreeMap<u32, EndpointEntry>,
}

/// The connection of one process of a dispatcher to a worker.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct ConnectionKey {
    dispatcher: u32,
    process: u64,
    worker: u32,
}

/// A job of one process of a dispatcher.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct JobKey {
    dispatcher: u32,
    process: u64,
    job: JobId,
}

/// The results of a simulation for the workers that started during it.
pub struct SimulationOutcome {
    /// The fullest window of each of these workers, in ascending order.
    pub windows: Vec<Window>,
    /// The calls that these workers got while warming up, as a fraction of those that they could have run.
    pub capacity_used: f64,
}

pub struct Simulation {
    scenario: Scenario,
    now: Micros,
    /// The pending events, by time and by the order in which they were scheduled.
    scheduled: BTreeMap<(Micros, u64), Scheduled>,
    scheduled_count: u64,
    dispatchers: Vec<SimulatedDispatcher>,
    workers: Vec<Worker>,
    /// The time at which each connection is established.
    connections: BTreeMap<ConnectionKey, Micros>,
    /// The number of attempts that each job has had.
    attempts: BTreeMap<JobKey, u32>,
    arrived_jobs: u64,
    rng: fastrand::Rng,
}

/// The tag of the worker with this id.
fn tag(worker: u32) -> u64 {
    u64::from(worker + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

impl Simulation {
    pub fn new(scenario: Scenario) -> Simulation {
        let entry = |id: u32| EndpointEntry {
            tag: tag(id),
            zone: ZoneId((id % 2) as u16),
            weight: scenario.window_calls,
            ..common::worker(id)
        };
        let list: BTreeMap<u32, EndpointEntry> = (0..scenario.workers).map(|id| (id, entry(id))).collect();
        let mut simulation = Simulation {
            scenario,
            now: START,
            scheduled: BTreeMap::new(),
            scheduled_count: 0,
            dispatchers: Vec::new(),
            workers: (0..scenario.workers).map(|id| Worker::new(entry(id))).collect(),
            connections: BTreeMap::new(),
            attempts: BTreeMap::new(),
            arrived_jobs: 0,
            rng: fastrand::Rng::with_seed(scenario.seed),
        };
        simulation.start_dispatchers(&list);
        simulation.schedule_replacements();
        simulation.schedule_restarts();
        simulation.schedule_bursts();
        simulation
    }

    fn start_dispatchers(&mut self, list: &BTreeMap<u32, EndpointEntry>) {
        for dispatcher in 0..self.scenario.dispatchers {
            let module = self.new_process(dispatcher, list);
            self.dispatchers.push(SimulatedDispatcher { module, process: 0, list: list.clone() });
            self.schedule_in(u64::from(dispatcher) * MS, Scheduled::JobArrives { dispatcher });
        }
    }

    /// Schedules the replacement of 60 % of the workers, at regular intervals.
    fn schedule_replacements(&mut self) {
        let replaced = self.scenario.workers * 6 / 10;
        for worker in 0..replaced {
            let after = REPLACEMENT_SPAN * u64::from(worker) / u64::from(replaced);
            self.schedule_in(REPLACEMENT_START - START + after, Scheduled::WorkerReplaced { worker });
        }
    }

    /// The time from the start of the simulation to the middle of the replacements.
    fn middle() -> Micros {
        REPLACEMENT_START - START + REPLACEMENT_SPAN / 2
    }

    fn schedule_restarts(&mut self) {
        let count = self.scenario.dispatchers;
        let restarts =
            |number: u32| f64::from(number * 7 % count) < self.scenario.restarted * f64::from(count);
        let restarted: Vec<u32> = (0..count).filter(|number| restarts(*number)).collect();
        for dispatcher in restarted {
            self.schedule_in(Simulation::middle(), Scheduled::DispatcherRestarted { dispatcher });
        }
    }

    fn schedule_bursts(&mut self) {
        for dispatcher in 0..self.scenario.dispatchers {
            for _ in 0..self.scenario.burst {
                self.schedule_in(Simulation::middle() + 1, Scheduled::JobArrives { dispatcher });
            }
        }
    }

    /// Creates a new process of a dispatcher, which starts with this endpoint list.
    fn new_process(&self, dispatcher: u32, list: &BTreeMap<u32, EndpointEntry>) -> TestDispatcher {
        let seed = self.scenario.seed << 32 | u64::from(dispatcher);
        let mut module = TestDispatcher::with_seed(self.scenario.settings(dispatcher), seed);
        module.now = self.now;
        module.feed(Event::EndpointList(ListKind::Snapshot, list.values().copied().collect()));
        module
    }

    fn schedule_in(&mut self, after: Micros, scheduled: Scheduled) {
        self.scheduled_count += 1;
        self.scheduled.insert((self.now + after, self.scheduled_count), scheduled);
    }

    /// Draws a random time from the exponential distribution with this mean, in microseconds.
    fn random_time(&mut self, mean: f64) -> Micros {
        (-(1.0 - self.rng.f64()).ln() * mean) as Micros
    }

    /// Schedules an event for the present process of a dispatcher. The event is dropped if that process has ended by then.
    fn deliver_in(&mut self, after: Micros, dispatcher: u32, event: Event) {
        let process = self.dispatchers[dispatcher as usize].process;
        self.schedule_in(after, Scheduled::EventDelivered { dispatcher, process, event });
    }

    fn feed(&mut self, dispatcher: u32, event: Event) {
        let module = &mut self.dispatchers[dispatcher as usize].module;
        module.now = self.now;
        let actions = module.feed(event);
        self.perform(dispatcher, actions);
    }

    /// Performs the actions of a dispatcher.
    fn perform(&mut self, dispatcher: u32, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { job, worker, .. } => self.send(dispatcher, job, worker),
                Action::Probe(worker) => {
                    let report = Some(self.workers[worker.0 as usize].load_report());
                    let response =
                        ProbeResponse { worker, outcome: Outcome::Ok, elapsed: NETWORK_DELAY, report };
                    self.deliver_in(NETWORK_DELAY, dispatcher, Event::ProbeResponse(response));
                }
                Action::SendToPeer { to, bytes } if self.scenario.peer_network.connects(dispatcher, to) => {
                    self.deliver_in(PEER_DELAY, to, Event::PeerMessage { from: dispatcher, bytes });
                }
                _ => {}
            }
        }
    }

    /// Sends an attempt as soon as the connection to its worker is established.
    fn send(&mut self, dispatcher: u32, job: JobId, worker: WorkerId) {
        let process = self.dispatchers[dispatcher as usize].process;
        let attempts = self.attempts.entry(JobKey { dispatcher, process, job }).or_insert(0);
        let call = Call { dispatcher, process, job, attempt: *attempts };
        *attempts += 1;
        let new_connected_at = self.now + self.rng.u64(0..=self.scenario.max_connect_time);
        let key = ConnectionKey { dispatcher, process, worker: worker.0 };
        let connected_at = *self.connections.entry(key).or_insert(new_connected_at);
        let delay = connected_at.saturating_sub(self.now) + NETWORK_DELAY;
        self.schedule_in(delay, Scheduled::CallArrives { worker: worker.0, call });
    }

    /// Whether the process that sent a call is still running.
    fn is_sender_alive(&self, call: &Call) -> bool {
        self.dispatchers[call.dispatcher as usize].process == call.process
    }

    /// Ends a call at a worker, and notifies the sending process if it is still running.
    fn end_call(&mut self, worker: u32, call: Call, outcome: Outcome, elapsed: Micros) {
        if !self.is_sender_alive(&call) {
            return;
        }
        let is_served = outcome == Outcome::Ok;
        let ended = AttemptEnded {
            job: call.job,
            attempt: call.attempt,
            worker: WorkerId(worker),
            elapsed,
            is_job_closed: is_served,
            outcome,
            report: is_served.then(|| self.workers[worker as usize].load_report()),
        };
        self.deliver_in(NETWORK_DELAY, call.dispatcher, Event::AttemptEnded(ended));
    }

    /// Starts the oldest queued call of a worker, if a slot is free.
    fn start_next_call(&mut self, worker: u32) {
        let (mean, now) = (self.scenario.mean_job_duration(), self.now);
        let machine = &mut self.workers[worker as usize];
        let Some(call) = machine.start_next() else { return };
        let worker_process = machine.process;
        let capacity = machine.capacity(now);
        let duration = self.random_time(mean / capacity).max(MS);
        self.schedule_in(duration, Scheduled::CallDone { worker, worker_process, call, duration });
        if self.is_sender_alive(&call) {
            let started = Event::Started { job: call.job, attempt: call.attempt };
            self.deliver_in(NETWORK_DELAY, call.dispatcher, started);
        }
    }

    fn handle(&mut self, scheduled: Scheduled) {
        match scheduled {
            Scheduled::JobArrives { dispatcher } => self.on_job_arrives(dispatcher),
            Scheduled::WorkerReplaced { worker } => self.on_worker_replaced(worker),
            Scheduled::EndpointNotified { dispatcher, entry } => {
                self.dispatchers[dispatcher as usize].list.insert(entry.worker.0, entry);
                self.feed(dispatcher, Event::EndpointList(ListKind::Delta, vec![entry]));
            }
            Scheduled::DispatcherRestarted { dispatcher } => {
                let module = self.new_process(dispatcher, &self.dispatchers[dispatcher as usize].list);
                let restarted = &mut self.dispatchers[dispatcher as usize];
                restarted.process += 1;
                restarted.module = module;
            }
            Scheduled::EventDelivered { dispatcher, process, event } => {
                if self.dispatchers[dispatcher as usize].process == process {
                    self.feed(dispatcher, event);
                }
            }
            Scheduled::CallArrives { worker, call } => self.on_call_arrives(worker, call),
            Scheduled::CallDone { worker, worker_process, call, duration } => {
                let machine = &mut self.workers[worker as usize];
                if machine.process == worker_process {
                    machine.running -= 1;
                    self.end_call(worker, call, Outcome::Ok, duration);
                    self.start_next_call(worker);
                } else {
                    self.end_call(worker, call, Outcome::Reset, MS);
                }
            }
        }
    }

    /// Handles the arrival of a job at a dispatcher, and schedules the next one.
    fn on_job_arrives(&mut self, dispatcher: u32) {
        self.arrived_jobs += 1;
        let interval = self.random_time(self.scenario.mean_arrival_interval(dispatcher));
        self.schedule_in(interval, Scheduled::JobArrives { dispatcher });
        let new = NewJob {
            job: JobId(self.arrived_jobs),
            class: ClassId(0),
            tenant: None,
            subject: None,
            deadline: self.now + TIME_BUDGET,
            hint: None,
            slots: 1.0,
            memory: None,
            is_retry: false,
            estimate: None,
            tenant_weight: None,
        };
        self.feed(dispatcher, Event::Arrived(new));
    }

    /// Restarts a worker in place or replaces it by a new one. Each dispatcher is notified after another delay.
    fn on_worker_replaced(&mut self, worker: u32) {
        let old = self.workers[worker as usize].entry;
        let fresh = EndpointEntry { started_at: Some(self.now), ..old };
        let changes = if self.scenario.restarts_in_place {
            let lost = self.workers[worker as usize].restart(fresh);
            for call in lost {
                self.end_call(worker, call, Outcome::Reset, MS);
            }
            vec![fresh]
        } else {
            let id = self.workers.len() as u32;
            let fresh = EndpointEntry { worker: WorkerId(id), tag: tag(id), ..fresh };
            self.workers.push(Worker::new(fresh));
            vec![fresh, EndpointEntry { status: Status::Draining, ..old }]
        };
        for dispatcher in 0..self.scenario.dispatchers {
            let delay = self.rng.u64(0..=self.scenario.max_notification_delay);
            for entry in &changes {
                self.schedule_in(delay, Scheduled::EndpointNotified { dispatcher, entry: *entry });
            }
        }
    }

    fn on_call_arrives(&mut self, worker: u32, call: Call) {
        let known = self.dispatchers[call.dispatcher as usize].list.get(&worker);
        let known_start = known.and_then(|entry| entry.started_at);
        let machine = &mut self.workers[worker as usize];
        if known_start == machine.entry.started_at {
            machine.notified_calls.push(self.now);
        }
        if let Err(QueueFull) = machine.enqueue(call) {
            self.end_call(worker, call, Outcome::Rejected, MS);
        }
        self.start_next_call(worker);
    }

    /// The time of a dispatcher's next timer, or the end of the simulation if none is pending.
    fn next_timer(dispatcher: &SimulatedDispatcher) -> Micros {
        dispatcher.module.next_timer().unwrap_or(END)
    }

    /// Fires the timers that are due, of one dispatcher after the other.
    fn fire_timers(&mut self) {
        for number in 0..self.dispatchers.len() {
            while Simulation::next_timer(&self.dispatchers[number]) <= self.now {
                let module = &mut self.dispatchers[number].module;
                module.now = self.now;
                let actions = module.advance(0);
                self.perform(number as u32, actions);
            }
        }
    }

    /// Runs the simulation to its end.
    pub fn run(mut self) -> SimulationOutcome {
        loop {
            let next_scheduled = self.scheduled.first_key_value().map_or(END, |((at, _), _)| *at);
            let next_timer = self.dispatchers.iter().map(Simulation::next_timer).min().unwrap_or(END);
            self.now = next_scheduled.min(next_timer).max(self.now);
            if self.now >= END {
                return self.outcome();
            }
            if next_timer <= next_scheduled {
                self.fire_timers();
            } else if let Some((_, scheduled)) = self.scheduled.pop_first() {
                self.handle(scheduled);
            }
        }
    }

    fn outcome(&self) -> SimulationOutcome {
        let started: Vec<&Worker> =
            self.workers.iter().filter(|worker| worker.has_started_during_simulation()).collect();
        let mut windows: Vec<Window> = started.iter().map(|worker| worker.fullest_window()).collect();
        windows.sort_by(|a, b| a.fill.total_cmp(&b.fill));
        let calls: usize = started.iter().map(|worker| worker.warm_up_call_count()).sum();
        let mean_job_duration = self.scenario.mean_job_duration();
        let capacity: f64 = started.iter().map(|worker| worker.warm_up_capacity(mean_job_duration)).sum();
        SimulationOutcome { windows, capacity_used: calls as f64 / capacity }
    }
}
