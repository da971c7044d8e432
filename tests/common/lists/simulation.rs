//! The simulation: the callers' watches and the service, driven by events in order of time.

use super::scenario::{AbandonedCallCost, MS, OUTAGE_TIME, Outage, Outcome, RunConfig, S, Scenario};
use super::service::{CallId, CallerView, Service};
use mothproxy::Micros;
use mothproxy::core::watch_liveness::{DiscoverySettings, WatchFailure, WatchLiveness};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// The time that data takes from one side to the other, in microseconds.
const ONE_WAY_DELAY: Micros = MS / 2;
/// The time after which a connection is established or refused, in microseconds.
const ROUND_TRIP: Micros = 2 * ONE_WAY_DELAY;
/// When the event of the scenario happens. Earlier times are left for what happened before, because times are unsigned.
const SCENARIO_START: Micros = 1_000 * S;
/// When the run ends. Callers without a list at this time count as never served.
const SCENARIO_END: Micros = SCENARIO_START + 600 * S;
/// How long before the scenario the watches were opened, in microseconds. The service has no load at that time.
const WATCHES_OPENED_BEFORE: Micros = 60 * S;
/// How long a watch may send nothing before it counts as silent, in microseconds.
const LIVENESS_TIMEOUT: Micros = 2_500 * MS;
/// The interval at which the service sends an empty line on a watch, in microseconds (PROTOCOL, "Discovery").
const HEARTBEAT_INTERVAL: Micros = 2 * S;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A caller's next call is due, or the current one times out.
    TimerFired(CallId),
    /// The connection of a call is established, and the request arrives.
    RequestArrived(CallId),
    /// A call has waited in the queue for the maximum time.
    MaxWaitReached(CallId),
    /// The service has handled a call.
    Handled {
        call: CallId,
        is_answered: bool,
    },
    /// The response to a call reaches the caller: a list, or a refusal.
    ResponseArrived {
        call: CallId,
        has_list: bool,
    },
    WatchSilent {
        caller: usize,
    },
    CallerRestarted {
        caller: usize,
    },
    ServiceDown,
    ServiceRestored,
}

/// A scheduled event. Events are ordered by these fields, in the order of declaration.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct ScheduledEvent {
    at: Micros,
    /// The number of events scheduled up to this one, which orders events of the same time.
    number: u64,
    event: Event,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallPhase {
    Waiting,
    Connecting,
    Requesting,
    Watching,
}

struct Caller {
    liveness: WatchLiveness,
    phase: CallPhase,
    /// The number of the current call, or of the wait for the next one.
    turn: u64,
    /// Whether the caller has no list.
    needs_full_list: bool,
    /// Since when the caller needs a list; `None` if it needs none.
    waiting_since: Option<Micros>,
}

impl Caller {
    /// Opens a watch before the scenario, without load on the service, and receives its list.
    fn open_watch_long_ago(&mut self, call_time: Micros) {
        let opened_at = SCENARIO_START - WATCHES_OPENED_BEFORE;
        self.liveness.on_call_started(opened_at);
        self.liveness.on_connected(opened_at + ONE_WAY_DELAY);
        self.liveness.on_list(opened_at + call_time);
        self.liveness.on_data(opened_at + call_time);
        self.needs_full_list = false;
    }
}

struct Simulation {
    config: RunConfig,
    now: Micros,
    events: BinaryHeap<Reverse<ScheduledEvent>>,
    /// The number of events scheduled so far.
    scheduled: u64,
    callers: Vec<Caller>,
    service: Service,
    rng: fastrand::Rng,
    /// The times that callers waited for a list.
    latencies: Vec<Micros>,
    outcome: Outcome,
}

/// Runs the simulation.
pub fn run(config: RunConfig) -> Outcome {
    let mut simulation = Simulation::new(config);
    simulation.start_scenario();
    while let Some(Reverse(ScheduledEvent { at, event, .. })) = simulation.events.pop() {
        if at > SCENARIO_END {
            break;
        }
        simulation.now = at;
        simulation.on_event(event);
    }
    simulation.into_outcome()
}

impl Simulation {
    fn new(config: RunConfig) -> Simulation {
        Simulation {
            config,
            now: SCENARIO_START,
            events: BinaryHeap::new(),
            scheduled: 0,
            callers: Vec::new(),
            service: Service::default(),
            rng: fastrand::Rng::with_seed(config.seed),
            latencies: Vec::new(),
            outcome: Outcome::default(),
        }
    }

    fn schedule(&mut self, at: Micros, event: Event) {
        self.scheduled += 1;
        self.events.push(Reverse(ScheduledEvent { at, number: self.scheduled, event }));
    }

    fn schedule_response(&mut self, call: CallId, has_list: bool) {
        self.schedule(self.now + ONE_WAY_DELAY, Event::ResponseArrived { call, has_list });
    }

    fn start_scenario(&mut self) {
        for caller in 0..self.config.callers as usize {
            self.add_caller();
            if self.config.scenario == Scenario::Start {
                self.restart(caller);
                continue;
            }
            self.callers[caller].open_watch_long_ago(self.config.call_time);
            let heartbeat_age = self.receive_heartbeat(caller);
            self.start_scenario_of(caller, heartbeat_age);
        }
        if matches!(self.config.scenario, Scenario::Down(_)) {
            self.schedule(SCENARIO_START, Event::ServiceDown);
            self.schedule(SCENARIO_START + OUTAGE_TIME, Event::ServiceRestored);
        }
    }

    fn add_caller(&mut self) {
        let liveness = self.new_liveness();
        self.callers.push(Caller {
            liveness,
            phase: CallPhase::Watching,
            turn: 0,
            needs_full_list: true,
            waiting_since: None,
        });
    }

    /// Applies the event of the scenario to a caller with an open watch.
    fn start_scenario_of(&mut self, caller: usize, heartbeat_age: Micros) {
        match self.config.scenario {
            Scenario::Silent => self.silence_watch(caller, SCENARIO_START - heartbeat_age, heartbeat_age),
            Scenario::Reset => self.on_watch_failed(caller, WatchFailure::Ended),
            Scenario::Moved => {
                let due = self.callers[caller].liveness.on_discovery_moved(SCENARIO_START);
                self.callers[caller].waiting_since = Some(SCENARIO_START);
                self.callers[caller].needs_full_list = true;
                self.wait_for_next_call(caller, due);
            }
            Scenario::Restarts => {
                let second = caller as u64 * 10 / u64::from(self.config.callers);
                self.schedule(SCENARIO_START + second * S, Event::CallerRestarted { caller });
            }
            Scenario::Start | Scenario::Down(_) => {}
        }
    }

    /// Makes the watch of a caller silent after its last heartbeat. The caller needs a list from `waiting_since` on.
    fn silence_watch(&mut self, caller: usize, waiting_since: Micros, heartbeat_age: Micros) {
        self.callers[caller].waiting_since = Some(waiting_since);
        self.schedule(self.now - heartbeat_age + LIVENESS_TIMEOUT, Event::WatchSilent { caller });
    }

    fn new_liveness(&mut self) -> WatchLiveness {
        let settings = DiscoverySettings {
            is_list_pushed: false,
            max_poll_interval: Some(10 * S),
            dispatchers: self.config.callers,
        };
        WatchLiveness::new(settings, self.rng.u64(..))
    }

    fn restart(&mut self, caller: usize) {
        let mut liveness = self.new_liveness();
        let due = liveness.start(self.now);
        self.callers[caller].liveness = liveness;
        self.callers[caller].waiting_since = Some(self.now);
        self.callers[caller].needs_full_list = true;
        self.wait_for_next_call(caller, due);
    }

    fn wait_for_next_call(&mut self, caller: usize, due: Micros) {
        self.callers[caller].phase = CallPhase::Waiting;
        self.set_timer(caller, due);
    }

    /// Sets a caller's timer, which begins another turn. Events for earlier turns are ignored.
    fn set_timer(&mut self, caller: usize, due: Micros) -> CallId {
        self.callers[caller].turn += 1;
        let call = CallId { caller, turn: self.callers[caller].turn };
        self.schedule(due.max(self.now), Event::TimerFired(call));
        call
    }

    /// Whether this call or wait is the caller's current one.
    fn is_current(&self, call: CallId) -> bool {
        self.callers[call.caller].turn == call.turn
    }

    fn on_watch_failed(&mut self, caller: usize, failure: WatchFailure) {
        let now = self.now;
        let state = &mut self.callers[caller];
        if state.phase == CallPhase::Watching && state.waiting_since.is_none() {
            state.waiting_since = Some(now);
        }
        let due = state.liveness.on_watch_failed(now, failure);
        assert!(due >= now, "the next call is due at {due}, before {now}");
        self.wait_for_next_call(caller, due);
    }

    fn is_down(&self, outage: Outage) -> bool {
        self.service.is_down && self.config.scenario == Scenario::Down(outage)
    }

    fn on_event(&mut self, event: Event) {
        match event {
            Event::TimerFired(call) if self.is_current(call) => self.on_timer(call.caller),
            Event::RequestArrived(call) if self.is_current(call) => self.on_request_arrived(call.caller),
            Event::MaxWaitReached(call) => self.on_max_wait_reached(call),
            Event::Handled { call, is_answered } => self.on_handled(call, is_answered),
            Event::ResponseArrived { call, has_list } if self.is_current(call) => {
                self.on_response_arrived(call.caller, has_list);
            }
            Event::WatchSilent { caller } => self.on_watch_failed(caller, WatchFailure::Silent),
            Event::CallerRestarted { caller } => self.restart(caller),
            Event::ServiceDown => self.on_service_down(),
            Event::ServiceRestored => self.on_service_restored(),
            Event::TimerFired(_) | Event::RequestArrived(_) | Event::ResponseArrived { .. } => {}
        }
    }

    fn on_timer(&mut self, caller: usize) {
        match self.callers[caller].phase {
            CallPhase::Waiting => self.start_call(caller),
            CallPhase::Connecting | CallPhase::Requesting => {
                self.outcome.timed_out += 1;
                self.on_watch_failed(caller, WatchFailure::Silent);
            }
            CallPhase::Watching => {}
        }
    }

    fn start_call(&mut self, caller: usize) {
        self.outcome.calls += 1;
        let connected_by = self.callers[caller].liveness.on_call_started(self.now);
        self.callers[caller].phase = CallPhase::Connecting;
        let call = self.set_timer(caller, connected_by);
        if self.is_down(Outage::Refused) {
            self.schedule(self.now + ROUND_TRIP, Event::ResponseArrived { call, has_list: false });
        } else if !self.is_down(Outage::Lost) {
            self.schedule(self.now + ROUND_TRIP, Event::RequestArrived(call));
        }
    }

    fn on_request_arrived(&mut self, caller: usize) {
        // The timeout of the response replaces that of the connection; the call is the same.
        let due = self.callers[caller].liveness.on_connected(self.now);
        self.callers[caller].phase = CallPhase::Requesting;
        let call = self.set_timer(caller, due);
        self.service.enqueue(call, self.now);
        if self.config.abandoned_call_cost != AbandonedCallCost::Late {
            self.schedule(self.now + self.config.max_wait, Event::MaxWaitReached(call));
        }
        self.serve_next();
    }

    fn on_max_wait_reached(&mut self, call: CallId) {
        let was_queued = self.service.remove(call);
        if was_queued && self.is_current(call) {
            self.schedule_response(call, false);
        }
    }

    fn on_handled(&mut self, call: CallId, is_answered: bool) {
        self.service.is_busy = false;
        if self.is_current(call) {
            self.schedule_response(call, is_answered);
        }
        self.serve_next();
    }

    fn on_response_arrived(&mut self, caller: usize, has_list: bool) {
        if !has_list {
            self.outcome.refused += 1;
            self.on_watch_failed(caller, WatchFailure::Ended);
            return;
        }
        let now = self.now;
        let state = &mut self.callers[caller];
        state.liveness.on_list(now);
        state.liveness.on_data(now);
        state.phase = CallPhase::Watching;
        state.needs_full_list = false;
        state.turn += 1;
        if let Some(waiting_since) = state.waiting_since.take() {
            self.latencies.push(now.saturating_sub(waiting_since));
        }
    }

    /// Receives a heartbeat that was sent at a random time within the last interval. Returns how long ago that was.
    fn receive_heartbeat(&mut self, caller: usize) -> Micros {
        let age = self.rng.u64(0..HEARTBEAT_INTERVAL);
        self.callers[caller].liveness.on_data(self.now - age);
        age
    }

    fn on_service_down(&mut self) {
        self.service.is_down = true;
        for caller in 0..self.callers.len() {
            if self.callers[caller].phase != CallPhase::Watching {
                continue;
            }
            if self.is_down(Outage::Lost) {
                let heartbeat_age = self.receive_heartbeat(caller);
                self.silence_watch(caller, self.now, heartbeat_age);
            } else {
                self.on_watch_failed(caller, WatchFailure::Ended);
            }
        }
    }

    /// Restores the service. The waiting time of callers without a list is counted from now on.
    fn on_service_restored(&mut self) {
        self.service.is_down = false;
        for caller in &mut self.callers {
            if let Some(waiting_since) = &mut caller.waiting_since {
                *waiting_since = self.now;
            }
        }
        self.serve_next();
    }

    /// Lets the service handle the next call, unless it is busy.
    fn serve_next(&mut self) {
        if self.service.is_busy || self.is_down(Outage::Standing) {
            return;
        }
        let callers = &self.callers;
        let view = |call: CallId| CallerView {
            is_gone: callers[call.caller].turn != call.turn,
            needs_full_list: callers[call.caller].needs_full_list,
        };
        let Some(next) = self.service.take_next(&self.config, self.now, view) else { return };
        if next.is_wasted {
            self.outcome.wasted += next.service_time;
        }
        self.service.is_busy = true;
        let handled = Event::Handled { call: next.id, is_answered: next.is_answered };
        self.schedule(self.now + next.service_time, handled);
    }

    fn into_outcome(mut self) -> Outcome {
        self.latencies.sort_unstable();
        let never = self.callers.iter().filter(|caller| caller.waiting_since.is_some()).count();
        let all = self.latencies.len() + never;
        let percentile = |percent: usize| {
            let rank = (all * percent).div_ceil(100).max(1) - 1;
            self.latencies.get(rank).copied().unwrap_or(SCENARIO_END - SCENARIO_START)
        };
        let deadline = self.config.scenario.deadline();
        let late = self.latencies.iter().filter(|latency| **latency > deadline).count() + never;
        Outcome {
            p50: percentile(50),
            p99: percentile(99),
            max: percentile(100),
            late: late as u32,
            never: never as u32,
            beyond_capacity: self.config.callers_beyond_capacity(),
            ..self.outcome
        }
    }
}
