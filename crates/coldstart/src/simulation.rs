//! A discrete-event simulation of hundreds of dispatchers with one list service and a set of workers.
//!
//! The clock is virtual, and one seed determines the run. Times and spans are in microseconds. The service handles calls one
//! after another, refuses a call that has waited for a second, and resets all connections when it goes down. Facts are
//! exchanged in rounds of gossip, with delay and loss. The dispatchers use one of four strategies ([`PollingStrategy`]); the
//! last two run this crate's state machines as the program does.

mod dispatcher;
mod event_queue;
mod gossip;
mod list_service;
mod scenario;
mod summary;
mod workers;

pub use scenario::{MassRestart, Outage, Pause, PollingStrategy, SimulationScenario};
pub use summary::SimulationSummary;

use crate::poll_scheduler;
use dispatcher::{Dispatcher, StateMachines};
use event_queue::{Event, EventQueue, ProcessId};
use list_service::ListService;
use summary::Measurements;
use workers::Worker;

const MS: u64 = 1_000;
const SECOND: u64 = 1_000_000;
/// The latency of each step of a connection, and the minimum one-way latency of a datagram.
const HOP_LATENCY: u64 = 300;
/// The time without any byte after which a call or a watch counts as failed.
const SILENCE_TIMEOUT: u64 = 3 * SECOND;
/// The time within which a dispatcher must learn of a change that a silent watch did not deliver.
const NOTIFICATION_DEADLINE: u64 = 6 * SECOND;
/// The interval at which the dispatchers' views of the membership change.
const VIEW_INTERVAL: u64 = SECOND;
/// The Unix time at the start of a run.
const UNIX_AT_ZERO: u64 = 1_764_633_600 * SECOND;

/// The state of a place as the other dispatchers see it.
#[derive(Clone, Copy, PartialEq, Eq)]
struct Presence {
    is_running: bool,
    incarnation: u32,
}

struct Simulation<'a> {
    scenario: &'a SimulationScenario,
    strategy: PollingStrategy,
    rng: fastrand::Rng,
    now: u64,
    queue: EventQueue,
    dispatchers: Vec<Dispatcher>,
    workers: Vec<Worker>,
    /// Indices of the workers on the list that dispatchers have at the start.
    old_list: Vec<usize>,
    /// Indices of the workers on the service's own list.
    current_list: Vec<usize>,
    service: ListService,
    /// The time by which all watches that fall silent must be replaced by new calls.
    silence_deadline: Option<u64>,
    /// The last published views, by place.
    presence: Vec<Presence>,
    measurements: Measurements,
}

/// Runs a scenario to its end.
pub fn simulate(scenario: &SimulationScenario, strategy: PollingStrategy) -> SimulationSummary {
    let mut simulation = Simulation::new(scenario, strategy);
    simulation.schedule_scenario();
    simulation.run();
    simulation.summary()
}

impl Simulation<'_> {
    fn new(scenario: &SimulationScenario, strategy: PollingStrategy) -> Simulation<'_> {
        let listed_before = (usize::from(scenario.dispatchers) / 4).max(12);
        let mut rng = fastrand::Rng::with_seed(scenario.seed);
        let dead = (listed_before as f64 * scenario.dead_workers.min(1.0)).round() as usize;
        // Dead workers are on the old list only. If all workers of that list are dead, the service lists as many new ones.
        let replacements = if scenario.dead_workers >= 1.0 { listed_before } else { 0 };
        let count = listed_before + replacements;
        let workers =
            (0..count).map(|index| Worker::new(index, dead, scenario.workers_warm_up, &mut rng)).collect();
        let absent = Presence { is_running: false, incarnation: 0 };
        Simulation {
            scenario,
            strategy,
            now: 0,
            queue: EventQueue::default(),
            dispatchers: (0..scenario.dispatchers).map(|_| Dispatcher::default()).collect(),
            workers,
            old_list: (0..listed_before).collect(),
            current_list: (dead..count).collect(),
            service: ListService::default(),
            silence_deadline: scenario.watches_silent_at.map(|at| at + NOTIFICATION_DEADLINE),
            presence: vec![absent; usize::from(scenario.dispatchers)],
            measurements: Measurements::default(),
            rng,
        }
    }

    fn dispatcher(&self, place: u16) -> &Dispatcher {
        &self.dispatchers[usize::from(place)]
    }

    fn dispatcher_mut(&mut self, place: u16) -> &mut Dispatcher {
        &mut self.dispatchers[usize::from(place)]
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.queue.push(at.max(self.now), event);
    }

    /// Schedules the starts of all dispatchers and the other events of the scenario.
    fn schedule_scenario(&mut self) {
        let scenario = self.scenario;
        for place in 0..scenario.dispatchers {
            let is_second_side = scenario.partitioned_until.is_some() && place % 2 == 1;
            let delay = if is_second_side { SECOND } else { 0 };
            let at = self.rng.u64(0..=scenario.start_within) + delay;
            self.schedule(at, Event::Start(place));
        }
        if let Some(Outage { from, until }) = scenario.outage {
            self.schedule(from, Event::ServiceDown);
            self.schedule(until, Event::ServiceUp);
        }
        if let Some(MassRestart { at, fraction }) = scenario.restart {
            let mut places: Vec<u16> = (0..scenario.dispatchers).collect();
            self.rng.shuffle(&mut places);
            places.truncate((f64::from(scenario.dispatchers) * fraction) as usize);
            self.schedule(at, Event::Kill(places));
        }
        if let Some(at) = scenario.watches_silent_at {
            self.schedule(at, Event::WatchesFallSilent);
        }
        if let Some(Pause { dispatchers: paused, .. }) = scenario.pause {
            let distance = (scenario.dispatchers / paused.max(1)).max(1);
            for nth in 0..paused.min(scenario.dispatchers) {
                self.dispatcher_mut(nth * distance % scenario.dispatchers).will_pause = true;
            }
        }
        if self.strategy == PollingStrategy::SchedulerWithGossip {
            self.schedule(300 * MS, Event::ViewsChange);
        }
    }

    fn run(&mut self) {
        while let Some((at, event)) = self.queue.pop() {
            if at > self.scenario.duration {
                break;
            }
            self.now = at;
            self.on_event(event);
        }
    }

    fn on_event(&mut self, event: Event) {
        if let Some(process) = event.process() {
            let dispatcher = self.dispatcher(process.place);
            if dispatcher.incarnation != process.incarnation || !dispatcher.is_running {
                return;
            }
            // Events of a paused process wait until it resumes.
            if dispatcher.paused_until > self.now {
                let at = dispatcher.paused_until;
                return self.schedule(at, event);
            }
        }
        match event {
            Event::Start(place) => self.on_start(place),
            Event::Kill(places) => self.on_kill(&places),
            Event::Wake(process) => self.on_wake(process.place),
            Event::CallArrives(call) => self.on_call_arrives(call),
            Event::Reply(call, reply) => self.on_reply(call, reply),
            Event::ServiceDown => self.on_service_down(),
            Event::ServiceUp => self.service.is_up = true,
            Event::WatchesFallSilent => self.on_watches_fall_silent(),
            Event::SilenceNoticed(process) => self.on_silence_noticed(process.place),
            Event::GossipRound(process) => self.on_gossip_round(process),
            Event::FactsArrive(place, facts) => self.on_facts_arrive(place, facts),
            Event::ViewsChange => self.on_views_change(),
            Event::JobArrives(process) => self.on_job_arrives(process),
            Event::RetryJob(process, job) => self.try_job(process, job),
            Event::JobEnds(attempt) => self.on_job_ends(attempt),
        }
    }

    /// Whether facts and views are exchanged between two places, which a network partition prevents.
    fn are_connected(&self, place: u16, other: u16) -> bool {
        self.scenario.partitioned_until.is_none_or(|heal| self.now >= heal) || place % 2 == other % 2
    }

    fn on_start(&mut self, place: u16) {
        let (now, scenario) = (self.now, self.scenario);
        let seed = self.rng.u64(..);
        self.measurements.processes += 1;
        let state_machines = match self.strategy {
            PollingStrategy::RandomWait | PollingStrategy::FullJitter => None,
            PollingStrategy::SchedulerAlone | PollingStrategy::SchedulerWithGossip => {
                let tags = self.old_list.iter().map(|worker| *worker as u64);
                let has_membership = self.strategy == PollingStrategy::SchedulerWithGossip;
                StateMachines::new(scenario, place, seed, has_membership, tags, now)
            }
        };
        let dispatcher = self.dispatcher_mut(place);
        dispatcher.is_running = true;
        dispatcher.started_at = now;
        let first_wake =
            state_machines.as_ref().and_then(|state_machines| state_machines.scheduler.next_wake());
        dispatcher.state_machines = state_machines;
        let process = ProcessId { place, incarnation: dispatcher.incarnation };
        let first_call = match self.strategy {
            PollingStrategy::RandomWait => now + self.rng.u64(0..=scenario.poll_within / 8),
            PollingStrategy::FullJitter => now,
            PollingStrategy::SchedulerAlone | PollingStrategy::SchedulerWithGossip => {
                first_wake.unwrap_or(now)
            }
        };
        self.schedule(first_call, Event::Wake(process));
        if self.strategy == PollingStrategy::SchedulerWithGossip {
            let at = now + self.rng.u64(0..gossip::GOSSIP_INTERVAL);
            self.schedule(at, Event::GossipRound(process));
        }
        if scenario.load > 0.0 {
            self.schedule(now, Event::JobArrives(process));
        }
    }

    fn on_kill(&mut self, places: &[u16]) {
        for place in places {
            let dispatcher = self.dispatcher_mut(*place);
            let incarnation = dispatcher.incarnation + 1;
            *dispatcher = Dispatcher { incarnation, ..Dispatcher::default() };
            let at = self.now + self.rng.u64(50 * MS..500 * MS);
            self.schedule(at, Event::Start(*place));
        }
    }

    /// Updates the views of all dispatchers at the same time. In reality a new process becomes known by its first datagram,
    /// and the end of a process some time later; the simulation simplifies that to a fixed interval.
    fn on_views_change(&mut self) {
        let presence: Vec<Presence> = self.dispatchers.iter().map(Dispatcher::presence).collect();
        let before = std::mem::replace(&mut self.presence, presence);
        let pairs = self.presence.iter().zip(&before).zip(0..);
        let gone: Vec<u16> = pairs
            .filter(|((now, before), _)| now.incarnation != before.incarnation)
            .map(|(_, place)| place)
            .collect();
        let places = 0..self.scenario.dispatchers;
        for place in places.clone() {
            let view: Vec<bool> = places
                .clone()
                .map(|other| self.are_connected(place, other) && self.presence[usize::from(other)].is_running)
                .collect();
            let now = self.now;
            if let Some(state_machines) = &mut self.dispatcher_mut(place).state_machines {
                for other in &gone {
                    state_machines.scheduler.handle(now, poll_scheduler::Event::MemberGone(*other));
                }
                state_machines.scheduler.handle(now, poll_scheduler::Event::Presence(view));
            }
        }
        self.schedule(self.now + VIEW_INTERVAL, Event::ViewsChange);
    }
}
