//! A list service and its callers on a virtual clock: one queue that is slow, and as many of the program's own clocks of watches
//! as there are dispatchers. See `docs/design/lists.md`.
#![allow(missing_docs, dead_code)] // each of its users reads a part of an outcome

use mothproxy::Micros;
use mothproxy::core::watch_liveness::{DiscoverySettings, WatchFailure, WatchLiveness};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

pub const S: Micros = 1_000_000;
pub const MS: Micros = 1_000;
/// From one side to the other.
const WAY: Micros = MS / 2;
/// The scenario's moment; what came before is only there so that nothing is before time began.
const MOMENT: Micros = 1_000 * S;
/// Nobody waits longer than this to be counted as served.
const END: Micros = MOMENT + 600 * S;

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

    /// What it has counts as told so long after it could be reached.
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
    /// Callers told later than the bound.
    pub late: u32,
    /// Callers that are never told.
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
    /// The caller's next call, or the end of its patience.
    Due(usize, u64),
    /// A call's connection is up, and its request arrives.
    Arrives(usize, u64),
    /// The service has waited long enough with a call.
    TooLong(usize, u64),
    /// The service has done a call; whether it is answered.
    Done(usize, u64, bool),
    /// What the service says to a call reaches the caller: a list, or an end.
    Says(usize, u64, bool),
    Silent(usize),
    Restart(usize),
    Down,
    Back,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Waits,
    Connects,
    Asks,
    Holds,
}

struct Caller {
    clock: WatchLiveness,
    phase: Phase,
    /// The number of its call, or of its wait for the next one: what was meant for an earlier one is void.
    turn: u64,
    /// It holds no list.
    fresh: bool,
    /// Since when it is owed a list.
    owed: Option<Micros>,
}

struct Play {
    day: Day,
    now: Micros,
    events: BinaryHeap<Reverse<(Micros, u64, Event)>>,
    made: u64,
    callers: Vec<Caller>,
    queue: VecDeque<(usize, u64, Micros)>,
    busy: bool,
    down: bool,
    rng: fastrand::Rng,
    times: Vec<Micros>,
    seen: Outcome,
}

/// Plays a day.
pub fn play(day: Day) -> Outcome {
    let mut play = Play {
        day,
        now: MOMENT,
        events: BinaryHeap::new(),
        made: 0,
        callers: Vec::new(),
        queue: VecDeque::new(),
        busy: false,
        down: false,
        rng: fastrand::Rng::with_seed(day.seed),
        times: Vec::new(),
        seen: Outcome::default(),
    };
    play.begin();
    while let Some(Reverse((at, _, event))) = play.events.pop() {
        if at > END {
            break;
        }
        play.now = at;
        play.meets(event);
    }
    play.sum()
}

impl Play {
    fn at(&mut self, at: Micros, event: Event) {
        self.made += 1;
        self.events.push(Reverse((at, self.made, event)));
    }

    fn begin(&mut self) {
        let Day { scenario, callers, call, .. } = self.day;
        for me in 0..callers as usize {
            let clock = self.clock();
            self.callers.push(Caller { clock, phase: Phase::Holds, turn: 0, fresh: true, owed: None });
            if scenario == Scenario::Start {
                self.restart(me);
                continue;
            }
            // A watch that was opened at a quiet time.
            let caller = &mut self.callers[me];
            let before = MOMENT - 60 * S;
            caller.clock.on_call_started(before);
            caller.clock.on_connected(before + WAY);
            caller.clock.on_list(before + call);
            caller.clock.on_data(before + call);
            caller.fresh = false;
            let beat = self.beats(me);
            match scenario {
                Scenario::Silent => {
                    self.callers[me].owed = Some(MOMENT - beat);
                    self.at(MOMENT - beat + 2_500 * MS, Event::Silent(me));
                }
                Scenario::Reset => self.breaks(me, WatchFailure::Ended),
                Scenario::Moved => {
                    let due = self.callers[me].clock.on_discovery_moved(MOMENT);
                    self.callers[me].owed = Some(MOMENT);
                    self.callers[me].fresh = true;
                    self.waits(me, due);
                }
                Scenario::Restarts => {
                    let second = me as u64 * 10 / u64::from(callers);
                    self.at(MOMENT + second * S, Event::Restart(me));
                }
                _ => {}
            }
        }
        if matches!(scenario, Scenario::Down(_)) {
            self.at(MOMENT, Event::Down);
            self.at(MOMENT + 8 * S, Event::Back);
        }
    }

    fn clock(&mut self) -> WatchLiveness {
        let terms =
            DiscoverySettings { is_pushed: false, max_poll_interval: Some(10 * S), nodes: self.day.callers };
        WatchLiveness::new(terms, self.rng.u64(..))
    }

    fn restart(&mut self, me: usize) {
        let mut clock = self.clock();
        let due = clock.start(self.now);
        self.callers[me].clock = clock;
        self.callers[me].owed = Some(self.now);
        self.callers[me].fresh = true;
        self.waits(me, due);
    }

    fn waits(&mut self, me: usize, due: Micros) {
        self.callers[me].phase = Phase::Waits;
        self.due(me, due);
    }

    /// Another turn begins, which is over at this time.
    fn due(&mut self, me: usize, due: Micros) {
        self.callers[me].turn += 1;
        let turn = self.callers[me].turn;
        self.at(due.max(self.now), Event::Due(me, turn));
    }

    fn breaks(&mut self, me: usize, why: WatchFailure) {
        if self.callers[me].phase == Phase::Holds && self.callers[me].owed.is_none() {
            self.callers[me].owed = Some(self.now);
        }
        let due = self.callers[me].clock.on_watch_failed(self.now, why);
        assert!(due >= self.now, "in the past");
        self.waits(me, due);
    }

    fn is_down(&self, how: Outage) -> bool {
        self.down && self.day.scenario == Scenario::Down(how)
    }

    fn meets(&mut self, event: Event) {
        match event {
            Event::Due(me, turn) if self.callers[me].turn == turn => self.is_due(me),
            Event::Arrives(me, turn) if self.callers[me].turn == turn => {
                // The time for an answer is another than the one for the connection; the call is the same.
                let due = self.callers[me].clock.on_connected(self.now);
                self.callers[me].phase = Phase::Asks;
                self.due(me, due);
                let turn = self.callers[me].turn;
                self.queue.push_back((me, turn, self.now));
                if self.day.pays != Pays::Late {
                    self.at(self.now + self.day.wait, Event::TooLong(me, turn));
                }
                self.serves();
            }
            Event::TooLong(me, turn) => {
                let before = self.queue.len();
                self.queue.retain(|(who, which, _)| (*who, *which) != (me, turn));
                if self.queue.len() < before && self.callers[me].turn == turn {
                    self.at(self.now + WAY, Event::Says(me, turn, false));
                }
            }
            Event::Done(me, turn, answered) => {
                self.busy = false;
                if self.callers[me].turn == turn {
                    self.at(self.now + WAY, Event::Says(me, turn, answered));
                }
                self.serves();
            }
            Event::Says(me, turn, true) if self.callers[me].turn == turn => {
                let caller = &mut self.callers[me];
                caller.clock.on_list(self.now);
                caller.clock.on_data(self.now);
                (caller.phase, caller.fresh) = (Phase::Holds, false);
                caller.turn += 1;
                if let Some(owed) = caller.owed.take() {
                    self.times.push(self.now.saturating_sub(owed));
                }
            }
            Event::Says(me, turn, false) if self.callers[me].turn == turn => {
                self.seen.refused += 1;
                self.breaks(me, WatchFailure::Ended);
            }
            Event::Silent(me) => self.breaks(me, WatchFailure::Silent),
            Event::Restart(me) => self.restart(me),
            Event::Down => self.goes_down(),
            Event::Back => {
                self.down = false;
                // Whoever has none is owed one from now on.
                let now = self.now;
                self.callers.iter_mut().filter_map(|c| c.owed.as_mut()).for_each(|owed| *owed = now);
                self.serves();
            }
            _ => {}
        }
    }

    /// An empty line has come within the two seconds before now (PROTOCOL, "Discovery"): how long ago.
    fn beats(&mut self, me: usize) -> Micros {
        let ago = self.rng.u64(0..2 * S);
        self.callers[me].clock.on_data(self.now - ago);
        ago
    }

    fn goes_down(&mut self) {
        self.down = true;
        for me in 0..self.callers.len() {
            if self.callers[me].phase == Phase::Holds {
                if self.is_down(Outage::Lost) {
                    let beat = self.beats(me);
                    self.callers[me].owed = Some(self.now);
                    self.at(self.now - beat + 2_500 * MS, Event::Silent(me));
                } else {
                    self.breaks(me, WatchFailure::Ended);
                }
            }
        }
    }

    fn is_due(&mut self, me: usize) {
        match self.callers[me].phase {
            Phase::Waits => {
                self.seen.calls += 1;
                let up_by = self.callers[me].clock.on_call_started(self.now);
                self.callers[me].phase = Phase::Connects;
                self.due(me, up_by);
                let turn = self.callers[me].turn;
                if self.is_down(Outage::Refused) {
                    self.at(self.now + 2 * WAY, Event::Says(me, turn, false));
                } else if !self.is_down(Outage::Lost) {
                    self.at(self.now + 2 * WAY, Event::Arrives(me, turn));
                }
            }
            Phase::Connects | Phase::Asks => {
                self.seen.cut += 1;
                self.breaks(me, WatchFailure::Silent);
            }
            Phase::Holds => {}
        }
    }

    /// The service takes the next call, if it is free.
    fn serves(&mut self) {
        while !self.busy && !self.is_down(Outage::Standing) {
            let Some((me, turn, came)) = self.queue.pop_front() else { return };
            let caller = &self.callers[me];
            let (gone, late) = (caller.turn != turn, self.now - came > self.day.wait);
            if (gone && self.day.pays == Pays::Nothing) || (gone && late && self.day.pays == Pays::Gone) {
                continue;
            }
            let cost = if late { self.day.call } else { cost(self.day.call, caller.fresh) };
            if gone || late {
                self.seen.wasted += cost;
            }
            self.busy = true;
            self.at(self.now + cost, Event::Done(me, turn, !late));
        }
    }

    fn sum(mut self) -> Outcome {
        self.times.sort_unstable();
        let all = self.times.len() + self.callers.iter().filter(|c| c.owed.is_some()).count();
        let never = self.callers.iter().filter(|c| c.owed.is_some()).count() as u32;
        let at = |part: usize| {
            let place = (all * part).div_ceil(100).max(1) - 1;
            self.times.get(place).copied().unwrap_or(END - MOMENT)
        };
        let bound = self.day.scenario.bound();
        let late = self.times.iter().filter(|t| **t > bound).count() as u32 + never;
        let mut room = bound;
        if self.day.scenario == Scenario::Silent {
            room -= 1_500 * MS; // 2.5 s pass before it is noticed, and the last beats are up to 2 s apart
        }
        let fresh = matches!(self.day.scenario, Scenario::Start | Scenario::Moved);
        let beyond = if self.day.scenario == Scenario::Restarts {
            0
        } else {
            self.day.callers.saturating_sub((room / cost(self.day.call, fresh)) as u32)
        };
        Outcome { p50: at(50), p99: at(99), max: at(100), late, never, beyond, ..self.seen }
    }
}
