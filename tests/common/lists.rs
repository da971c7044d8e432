//! A discovery service and its callers on a virtual clock: one queue that is slow, and as many of the program's own
//! [`WatchLiveness`] as there are dispatchers. See `docs/design/lists.md`.
#![allow(missing_docs, dead_code)] // each of its users reads a part of an outcome

use mothproxy::Micros;
use mothproxy::core::watch_liveness::{DiscoverySettings, WatchFailure, WatchLiveness};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

pub const S: Micros = 1_000_000;
pub const MS: Micros = 1_000;
/// How long bytes travel from one side to the other.
const ONE_WAY_DELAY: Micros = MS / 2;
/// The scenario's moment; what came before is only there so that nothing is before time began.
const SCENARIO_START: Micros = 1_000 * S;
/// Nobody waits longer than this to be counted as served.
const SCENARIO_END: Micros = SCENARIO_START + 600 * S;

/// The service's time for a call: a whole list is as much again as a call, what changed meanwhile a twentieth of that.
fn cost(call: Micros, whole: bool) -> Micros {
    call + call / if whole { 1 } else { 20 }
}

/// What calls that nobody reads cost the service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pays {
    /// Nothing: it sees that a caller has gone, and refuses without work.
    Nothing,
    /// Its time, if the caller has gone.
    Gone,
    /// Its time as well if it waited too long: it is only refused in its turn.
    Late,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outage {
    /// Connections are refused.
    Refused,
    /// Connections never come up, and those that are open stay silent for good.
    Lost,
    /// Calls come in and wait in the queue, which stands still.
    Standing,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    /// All processes start.
    Start,
    /// All watches are reset.
    Reset,
    /// All watches fall silent.
    Silent,
    /// The service is down for 8 s and then back.
    Down(Outage),
    /// SIGHUP names another service.
    Moved,
    /// For ten seconds a tenth of the processes is restarted each.
    Restarts,
}

impl Scenario {
    pub const ALL: [Scenario; 8] = [
        Scenario::Start,
        Scenario::Reset,
        Scenario::Silent,
        Scenario::Down(Outage::Refused),
        Scenario::Down(Outage::Lost),
        Scenario::Down(Outage::Standing),
        Scenario::Moved,
        Scenario::Restarts,
    ];

    /// A list must come within this time after the service could be reached.
    pub fn bound(self) -> Micros {
        if self == Scenario::Moved { 4 * S } else { 6 * S }
    }
}

#[derive(Clone, Copy, Debug)]
pub struct Day {
    pub scenario: Scenario,
    pub callers: u32,
    /// The service's time for a call, a list of changes included.
    pub call: Micros,
    /// It refuses a call that has waited for longer than this.
    pub wait: Micros,
    pub pays: Pays,
    pub seed: u64,
}

#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    pub p50: Micros,
    pub p99: Micros,
    pub max: Micros,
    /// Callers that get a list later than the bound.
    pub late: u32,
    /// Callers that never get one.
    pub never: u32,
    /// By the service's own time, were no caller in another's way, so many cannot be told within the bound.
    pub beyond: u32,
    pub calls: u32,
    pub refused: u32,
    /// Given up by their callers.
    pub cut: u32,
    /// The service's time for calls that nobody reads.
    pub wasted: Micros,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A caller's next call, or a timeout of the present one.
    TimerFired(usize, u64),
    /// A connection is up, and the request of a call arrives.
    RequestArrived(usize, u64),
    /// A call has waited for as long as the service lets it.
    MaxWaitReached(usize, u64),
    /// The service has handled a call; whether it is answered with a list.
    Handled(usize, u64, bool),
    /// The response to a call reaches the caller: a list, or an end.
    ResponseArrived(usize, u64, bool),
    WatchSilent(usize),
    CallerRestarted(usize),
    ServiceDown,
    ServiceRestored,
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
    /// The number of its call, or of its wait for the next one: what was meant for an earlier one is void.
    turn: u64,
    /// It holds no list.
    needs_full_list: bool,
    /// Since when it is owed a list.
    waiting_since: Option<Micros>,
}

struct Simulation {
    day: Day,
    now: Micros,
    events: BinaryHeap<Reverse<(Micros, u64, Event)>>,
    /// Events scheduled so far, which tells those of one time apart.
    scheduled: u64,
    callers: Vec<Caller>,
    queue: VecDeque<(usize, u64, Micros)>,
    busy: bool,
    down: bool,
    rng: fastrand::Rng,
    /// From when a caller waited for a list until it came.
    latencies: Vec<Micros>,
    outcome: Outcome,
}

/// Simulates a day.
pub fn play(day: Day) -> Outcome {
    let mut simulation = Simulation {
        day,
        now: SCENARIO_START,
        events: BinaryHeap::new(),
        scheduled: 0,
        callers: Vec::new(),
        queue: VecDeque::new(),
        busy: false,
        down: false,
        rng: fastrand::Rng::with_seed(day.seed),
        latencies: Vec::new(),
        outcome: Outcome::default(),
    };
    simulation.start_scenario();
    while let Some(Reverse((at, _, event))) = simulation.events.pop() {
        if at > SCENARIO_END {
            break;
        }
        simulation.now = at;
        simulation.on_event(event);
    }
    simulation.into_outcome()
}

impl Simulation {
    fn schedule(&mut self, at: Micros, event: Event) {
        self.scheduled += 1;
        self.events.push(Reverse((at, self.scheduled, event)));
    }

    fn start_scenario(&mut self) {
        let Day { scenario, callers, call, .. } = self.day;
        for caller_index in 0..callers as usize {
            let liveness = self.new_liveness();
            self.callers.push(Caller {
                liveness,
                phase: CallPhase::Watching,
                turn: 0,
                needs_full_list: true,
                waiting_since: None,
            });
            if scenario == Scenario::Start {
                self.restart(caller_index);
                continue;
            }
            // A watch that was opened at a quiet time.
            let caller = &mut self.callers[caller_index];
            let before = SCENARIO_START - 60 * S;
            caller.liveness.on_call_started(before);
            caller.liveness.on_connected(before + ONE_WAY_DELAY);
            caller.liveness.on_list(before + call);
            caller.liveness.on_data(before + call);
            caller.needs_full_list = false;
            let beat = self.receive_heartbeat(caller_index);
            match scenario {
                Scenario::Silent => {
                    self.callers[caller_index].waiting_since = Some(SCENARIO_START - beat);
                    self.schedule(SCENARIO_START - beat + 2_500 * MS, Event::WatchSilent(caller_index));
                }
                Scenario::Reset => self.on_watch_failed(caller_index, WatchFailure::Ended),
                Scenario::Moved => {
                    let due = self.callers[caller_index].liveness.on_discovery_moved(SCENARIO_START);
                    self.callers[caller_index].waiting_since = Some(SCENARIO_START);
                    self.callers[caller_index].needs_full_list = true;
                    self.wait_for_next_call(caller_index, due);
                }
                Scenario::Restarts => {
                    let second = caller_index as u64 * 10 / u64::from(callers);
                    self.schedule(SCENARIO_START + second * S, Event::CallerRestarted(caller_index));
                }
                _ => {}
            }
        }
        if matches!(scenario, Scenario::Down(_)) {
            self.schedule(SCENARIO_START, Event::ServiceDown);
            self.schedule(SCENARIO_START + 8 * S, Event::ServiceRestored);
        }
    }

    fn new_liveness(&mut self) -> WatchLiveness {
        let terms = DiscoverySettings {
            is_pushed: false,
            max_poll_interval: Some(10 * S),
            dispatchers: self.day.callers,
        };
        WatchLiveness::new(terms, self.rng.u64(..))
    }

    fn restart(&mut self, caller_index: usize) {
        let mut liveness = self.new_liveness();
        let due = liveness.start(self.now);
        self.callers[caller_index].liveness = liveness;
        self.callers[caller_index].waiting_since = Some(self.now);
        self.callers[caller_index].needs_full_list = true;
        self.wait_for_next_call(caller_index, due);
    }

    fn wait_for_next_call(&mut self, caller_index: usize, due: Micros) {
        self.callers[caller_index].phase = CallPhase::Waiting;
        self.set_timer(caller_index, due);
    }

    /// Sets a caller's timer; what was meant for an earlier one is void.
    fn set_timer(&mut self, caller_index: usize, due: Micros) {
        self.callers[caller_index].turn += 1;
        let turn = self.callers[caller_index].turn;
        self.schedule(due.max(self.now), Event::TimerFired(caller_index, turn));
    }

    fn on_watch_failed(&mut self, caller_index: usize, why: WatchFailure) {
        if self.callers[caller_index].phase == CallPhase::Watching
            && self.callers[caller_index].waiting_since.is_none()
        {
            self.callers[caller_index].waiting_since = Some(self.now);
        }
        let due = self.callers[caller_index].liveness.on_watch_failed(self.now, why);
        assert!(due >= self.now, "in the past");
        self.wait_for_next_call(caller_index, due);
    }

    fn is_down(&self, how: Outage) -> bool {
        self.down && self.day.scenario == Scenario::Down(how)
    }

    #[allow(clippy::too_many_lines, reason = "one history or table of cases, read from top to bottom")]
    fn on_event(&mut self, event: Event) {
        match event {
            Event::TimerFired(caller_index, turn) if self.callers[caller_index].turn == turn => {
                self.on_timer(caller_index);
            }
            Event::RequestArrived(caller_index, turn) if self.callers[caller_index].turn == turn => {
                // The time for an answer is another than the one for the connection; the call is the same.
                let due = self.callers[caller_index].liveness.on_connected(self.now);
                self.callers[caller_index].phase = CallPhase::Requesting;
                self.set_timer(caller_index, due);
                let turn = self.callers[caller_index].turn;
                self.queue.push_back((caller_index, turn, self.now));
                if self.day.pays != Pays::Late {
                    self.schedule(self.now + self.day.wait, Event::MaxWaitReached(caller_index, turn));
                }
                self.serve_next();
            }
            Event::MaxWaitReached(caller_index, turn) => {
                let before = self.queue.len();
                self.queue.retain(|(who, which, _)| (*who, *which) != (caller_index, turn));
                if self.queue.len() < before && self.callers[caller_index].turn == turn {
                    self.schedule(
                        self.now + ONE_WAY_DELAY,
                        Event::ResponseArrived(caller_index, turn, false),
                    );
                }
            }
            Event::Handled(caller_index, turn, answered) => {
                self.busy = false;
                if self.callers[caller_index].turn == turn {
                    self.schedule(
                        self.now + ONE_WAY_DELAY,
                        Event::ResponseArrived(caller_index, turn, answered),
                    );
                }
                self.serve_next();
            }
            Event::ResponseArrived(caller_index, turn, true) if self.callers[caller_index].turn == turn => {
                let caller = &mut self.callers[caller_index];
                caller.liveness.on_list(self.now);
                caller.liveness.on_data(self.now);
                (caller.phase, caller.needs_full_list) = (CallPhase::Watching, false);
                caller.turn += 1;
                if let Some(waiting_since) = caller.waiting_since.take() {
                    self.latencies.push(self.now.saturating_sub(waiting_since));
                }
            }
            Event::ResponseArrived(caller_index, turn, false) if self.callers[caller_index].turn == turn => {
                self.outcome.refused += 1;
                self.on_watch_failed(caller_index, WatchFailure::Ended);
            }
            Event::WatchSilent(caller_index) => self.on_watch_failed(caller_index, WatchFailure::Silent),
            Event::CallerRestarted(caller_index) => self.restart(caller_index),
            Event::ServiceDown => self.on_service_down(),
            Event::ServiceRestored => {
                self.down = false;
                // Whoever has none is owed one from now on.
                let now = self.now;
                self.callers
                    .iter_mut()
                    .filter_map(|c| c.waiting_since.as_mut())
                    .for_each(|waiting_since| *waiting_since = now);
                self.serve_next();
            }
            _ => {}
        }
    }

    /// An empty line has come within the two seconds before now (PROTOCOL, "Discovery"): how long ago.
    fn receive_heartbeat(&mut self, caller_index: usize) -> Micros {
        let ago = self.rng.u64(0..2 * S);
        self.callers[caller_index].liveness.on_data(self.now - ago);
        ago
    }

    fn on_service_down(&mut self) {
        self.down = true;
        for caller_index in 0..self.callers.len() {
            if self.callers[caller_index].phase == CallPhase::Watching {
                if self.is_down(Outage::Lost) {
                    let beat = self.receive_heartbeat(caller_index);
                    self.callers[caller_index].waiting_since = Some(self.now);
                    self.schedule(self.now - beat + 2_500 * MS, Event::WatchSilent(caller_index));
                } else {
                    self.on_watch_failed(caller_index, WatchFailure::Ended);
                }
            }
        }
    }

    fn on_timer(&mut self, caller_index: usize) {
        match self.callers[caller_index].phase {
            CallPhase::Waiting => {
                self.outcome.calls += 1;
                let up_by = self.callers[caller_index].liveness.on_call_started(self.now);
                self.callers[caller_index].phase = CallPhase::Connecting;
                self.set_timer(caller_index, up_by);
                let turn = self.callers[caller_index].turn;
                if self.is_down(Outage::Refused) {
                    self.schedule(
                        self.now + 2 * ONE_WAY_DELAY,
                        Event::ResponseArrived(caller_index, turn, false),
                    );
                } else if !self.is_down(Outage::Lost) {
                    self.schedule(self.now + 2 * ONE_WAY_DELAY, Event::RequestArrived(caller_index, turn));
                }
            }
            CallPhase::Connecting | CallPhase::Requesting => {
                self.outcome.cut += 1;
                self.on_watch_failed(caller_index, WatchFailure::Silent);
            }
            CallPhase::Watching => {}
        }
    }

    /// The service handles the next call, if it is free.
    fn serve_next(&mut self) {
        while !self.busy && !self.is_down(Outage::Standing) {
            let Some((caller_index, turn, came)) = self.queue.pop_front() else { return };
            let caller = &self.callers[caller_index];
            let (gone, late) = (caller.turn != turn, self.now - came > self.day.wait);
            if (gone && self.day.pays == Pays::Nothing) || (gone && late && self.day.pays == Pays::Gone) {
                continue;
            }
            let cost = if late { self.day.call } else { cost(self.day.call, caller.needs_full_list) };
            if gone || late {
                self.outcome.wasted += cost;
            }
            self.busy = true;
            self.schedule(self.now + cost, Event::Handled(caller_index, turn, !late));
        }
    }

    fn into_outcome(mut self) -> Outcome {
        self.latencies.sort_unstable();
        let all = self.latencies.len() + self.callers.iter().filter(|c| c.waiting_since.is_some()).count();
        let never = self.callers.iter().filter(|c| c.waiting_since.is_some()).count() as u32;
        let at = |part: usize| {
            let place = (all * part).div_ceil(100).max(1) - 1;
            self.latencies.get(place).copied().unwrap_or(SCENARIO_END - SCENARIO_START)
        };
        let bound = self.day.scenario.bound();
        let late = self.latencies.iter().filter(|t| **t > bound).count() as u32 + never;
        let mut room = bound;
        if self.day.scenario == Scenario::Silent {
            room -= 1_500 * MS; // 2.5 s pass before it is noticed, and the last beats are up to 2 s apart
        }
        let needs_full_list = matches!(self.day.scenario, Scenario::Start | Scenario::Moved);
        let beyond = if self.day.scenario == Scenario::Restarts {
            0
        } else {
            self.day.callers.saturating_sub((room / cost(self.day.call, needs_full_list)) as u32)
        };
        Outcome { p50: at(50), p99: at(99), max: at(100), late, never, beyond, ..self.outcome }
    }
}
