//! Hundreds of dispatchers around one list service and a set of workers, with a virtual clock and one seed.
//!
//! The service handles calls one after another, gives a call up with a refusal once it has waited for a second, and
//! resets all when it is down. Facts travel by rounds of gossip with delay and loss. The dispatchers are played as one of
//! four [`Behaviour`]s; the last two run this crate's machines as the program does.

use crate::confirm::{Confirm, Use};
use crate::findings::{Findings, Origin, Seen, Trouble};
use crate::pacer::{self, Event, Pacer, Service};
use crate::ration::{self, Ration, Verdict, Wish, WorkerNow};
use std::cmp::Ordering;
use std::collections::{BTreeMap, BinaryHeap, HashMap, VecDeque};
use std::rc::Rc;

const MS: u64 = 1_000;
const SECOND: u64 = 1_000_000;
/// A call that has waited for so long is refused.
const MOST_WAIT: u64 = SECOND;
const HOP: u64 = 300;
/// A call or a watch is given up after so long without a word.
const SILENCE: u64 = 3 * SECOND;
/// What is missed of a silent watch counts as told after this.
const TOLD: u64 = 6 * SECOND;
const GOSSIP: u64 = 200 * MS;
const FANOUT: usize = 3;
const FACTS: usize = 8;
const LOSS: f64 = 0.01;
const VIEWS: u64 = SECOND;
/// A job's patience; a connection that does not come up; the mean of work.
const PATIENCE: u64 = 7_500 * MS;
const HANGS: u64 = 250 * MS;
const LOOK: u64 = 20 * MS;
const PER_SECOND: f64 = 40.0;
const WINDOW: u64 = 1_500 * MS;
const MULTIPLE: f64 = 4.0;
const COLD_FROM: f64 = 0.38;
const COLD_TIME: u64 = 8_400 * MS;
const HANDSHAKE: f64 = 0.015;
const CONN_IDLE: u64 = 5 * SECOND;
const UNIX: u64 = 1_764_633_600 * SECOND;
const SAMPLE: usize = 8;

/// How dispatchers decide when to call, and whom to try.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    /// As the program before this crate: a random wait up to an eighth of the asking time, doubled with each failure
    /// three times at most; distrust and cold turns of its own, found by each alone.
    Landed,
    /// At once, and after failures plain full jitter: up to 100 ms doubled with each, 10 s at most. Else as before.
    FullJitter,
    /// This crate, with nobody to hear.
    Alone,
    /// This crate, with facts from the others.
    Heard,
}

/// One day.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Dispatchers.
    pub count: u16,
    /// They start within this.
    pub start_within: u64,
    /// What a call costs the service, and what dispatchers believe that it does.
    pub service_time: u64,
    /// See `service_time`.
    pub believed: u64,
    /// The service is down from then to then.
    pub down: Option<(u64, u64)>,
    /// This part of the dispatchers is killed and started again then.
    pub killed: Option<(u64, f64)>,
    /// All watches fall silent then.
    pub silent: Option<u64>,
    /// This part of the first watches stays silent from the start.
    pub mute: f64,
    /// So many of the dispatchers stop for so long, each when it is about to ask for the first time.
    pub paused: Option<(u16, u64)>,
    /// Facts do not cross between two halves until then; the second starts a second later.
    pub halves: Option<u64>,
    /// Workers are as cold as dispatchers.
    pub cold: bool,
    /// This part of the workers on the list of before is dead, 1 for all.
    pub dead: f64,
    /// The time that the settings give for asking.
    pub ask_within: u64,
    /// Jobs a second, as a part of what the workers do when warm; 0 for none.
    pub load: f64,
    /// How long the day is.
    pub length: u64,
    /// Its seed.
    pub seed: u64,
    /// The mutation: calls pass by the pacer.
    pub ask_without_pacer: bool,
}

impl Scenario {
    /// All start within a second, nothing else happens; a fifth of the known workers is dead.
    pub fn start(count: u16, seed: u64) -> Scenario {
        Scenario {
            count,
            start_within: SECOND,
            service_time: 20 * MS,
            believed: pacer::SERVICE_TIME,
            down: None,
            killed: None,
            silent: None,
            mute: 0.0,
            paused: None,
            halves: None,
            cold: false,
            dead: 0.2,
            ask_within: 10 * SECOND,
            load: 0.2,
            length: 12 * SECOND + 45 * MS * u64::from(count),
            seed,
            ask_without_pacer: false,
        }
    }
}

/// What came of it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Outcome {
    /// Calls to the service in all, and for each process that ran.
    pub calls: u64,
    /// See `calls`.
    pub calls_each: f64,
    /// Calls refused or reset.
    pub refused: u64,
    /// The longest queue at the service.
    pub longest_queue: u64,
    /// The most calls within 100 ms, and from the end of an outage on.
    pub peak: u64,
    /// See `peak`.
    pub peak_after: u64,
    /// Time until half, and 99 in 100, hold a list, from a process' start or the end of the outage; in microseconds.
    pub held_p50: u64,
    /// See `held_p50`.
    pub held_p99: u64,
    /// Processes that hold none at the end.
    pub without: u64,
    /// Watches that were broken by silence and not asked for again and answered within the 6 s.
    pub late: u64,
    /// Handshakes at a worker in the first 10 s: the mean and the most.
    pub handshakes: f64,
    /// See `handshakes`.
    pub most_handshakes: u64,
    /// Jobs tried at a dead worker in the first 10 s, for each dead worker.
    pub tries_at_dead: f64,
    /// Cold workers that fell, and the most of its budget that one got.
    pub falls: u64,
    /// See `falls`.
    pub most_of_budget: f64,
    /// Jobs in all, and those that found no worker within their time.
    pub jobs: u64,
    /// See `jobs`.
    pub lost: u64,
    /// Facts told by all, and their bytes.
    pub facts: u64,
    /// See `facts`.
    pub fact_bytes: u64,
    /// The most calls that one dispatcher had out at once.
    pub most_out: u64,
}

struct Fact {
    place: u16,
    epoch: u64,
    slot: u32,
    number: u64,
    bytes: Vec<u8>,
}

enum Ev {
    Start(u16),
    Kill(Vec<u16>),
    Wake(u16, u32),
    Arrive(u16, u32, u64),
    Reply(u16, u32, u64, Reply),
    Down,
    Up,
    Silence,
    Noticed(u16, u32),
    Gossip(u16, u32),
    Deliver(u16, Vec<Rc<Fact>>),
    Views,
    Job(u16, u32),
    Try(u16, u32, Job),
    Ended(u16, u32, Job, usize, bool),
}

#[derive(Clone, Copy)]
struct Job {
    since: u64,
    work: f64,
}

#[derive(Clone, Copy, PartialEq)]
enum Reply {
    List,
    Refused,
    Reset,
    Mute,
    TimedOut,
}

struct Item(u64, u64, Ev);

impl PartialEq for Item {
    fn eq(&self, other: &Item) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}

impl Eq for Item {}

impl PartialOrd for Item {
    fn partial_cmp(&self, other: &Item) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Item {
    fn cmp(&self, other: &Item) -> Ordering {
        (other.0, other.1).cmp(&(self.0, self.1))
    }
}

struct Worker {
    dead: bool,
    hangs: bool,
    started: Option<u64>,
    sent: VecDeque<(u64, f64)>,
    handshakes: u64,
    tries: u64,
}

/// What a dispatcher has with a worker.
#[derive(Default)]
struct Tie {
    idle: Vec<u64>,
    strikes: u32,
    until: u64,
    cold: (u64, f64),
}

#[derive(Default)]
struct Dispatcher {
    life: u32,
    running: bool,
    started: u64,
    paused_until: u64,
    pauses: bool,
    out: u64,
    number: u64,
    asked: u64,
    holds: bool,
    silent: bool,
    held_at: Option<u64>,
    failures: u32,
    ties: HashMap<usize, Tie>,
    pacer: Option<Pacer>,
    findings: Option<Findings>,
    ration: Option<Ration>,
    confirm: Option<Confirm>,
    facts: BTreeMap<(u16, u32), Rc<Fact>>,
    queue: VecDeque<(usize, Rc<Fact>)>,
    joined: bool,
    said: Option<Service>,
    fact_number: u64,
}

struct Model<'a> {
    set: &'a Scenario,
    how: Behaviour,
    rng: fastrand::Rng,
    now: u64,
    sequence: u64,
    queue: BinaryHeap<Item>,
    all: Vec<Dispatcher>,
    workers: Vec<Worker>,
    known: Vec<usize>,
    listed: Vec<usize>,
    up: bool,
    free_at: u64,
    service_life: u64,
    waiting: u64,
    calls_at: Vec<u64>,
    held: Vec<u64>,
    processes: u64,
    silent_by: Option<u64>,
    lives: Vec<(bool, u32)>,
    result: Outcome,
}

/// Plays a day.
pub fn play(set: &Scenario, how: Behaviour) -> Outcome {
    let workers = (usize::from(set.count) / 4).max(12);
    let mut rng = fastrand::Rng::with_seed(set.seed);
    let dead = (workers as f64 * set.dead.min(1.0)).round() as usize;
    // Those that are dead are in the list of before only; where that is all of them, the service has as many others.
    let fresh = if set.dead >= 1.0 { workers } else { 0 };
    let all: Vec<Worker> = (0..workers + fresh)
        .map(|n| Worker {
            dead: n < dead,
            hangs: n < dead && n % 3 == 0,
            started: (set.cold && n >= dead).then(|| UNIX + rng.u64(0..SECOND)),
            sent: VecDeque::new(),
            handshakes: 0,
            tries: 0,
        })
        .collect();
    let mut model = Model {
        set,
        how,
        now: 0,
        sequence: 0,
        queue: BinaryHeap::new(),
        all: (0..set.count).map(|_| Dispatcher::default()).collect(),
        known: (0..workers).collect(),
        listed: (dead..workers + fresh).collect(),
        workers: all,
        up: true,
        free_at: 0,
        service_life: 0,
        waiting: 0,
        calls_at: Vec::new(),
        held: Vec::new(),
        processes: 0,
        silent_by: set.silent.map(|at| at + TOLD),
        lives: vec![(false, 0); usize::from(set.count)],
        result: Outcome::default(),
        rng,
    };
    model.run();
    model.result
}

impl Model<'_> {
    fn later(&mut self, at: u64, ev: Ev) {
        self.sequence += 1;
        self.queue.push(Item(at.max(self.now), self.sequence, ev));
    }

    fn uses_crate(&self) -> bool {
        matches!(self.how, Behaviour::Alone | Behaviour::Heard)
    }

    fn run(&mut self) {
        for place in 0..self.set.count {
            let second = self.set.halves.is_some() && place % 2 == 1;
            let at = self.rng.u64(0..=self.set.start_within) + if second { SECOND } else { 0 };
            self.later(at, Ev::Start(place));
        }
        if let Some((from, until)) = self.set.down {
            self.later(from, Ev::Down);
            self.later(until, Ev::Up);
        }
        if let Some((at, part)) = self.set.killed {
            let mut places: Vec<u16> = (0..self.set.count).collect();
            self.rng.shuffle(&mut places);
            places.truncate((f64::from(self.set.count) * part) as usize);
            self.later(at, Ev::Kill(places));
        }
        if let Some(at) = self.set.silent {
            self.later(at, Ev::Silence);
        }
        if let Some((count, _)) = self.set.paused {
            for place in 0..count.min(self.set.count) {
                self.all[usize::from(place * (self.set.count / count.max(1)).max(1) % self.set.count)]
                    .pauses = true;
            }
        }
        if self.how == Behaviour::Heard {
            self.later(300 * MS, Ev::Views);
        }
        while let Some(Item(at, _, ev)) = self.queue.pop() {
            if at > self.set.length {
                break;
            }
            self.now = at;
            self.step(ev);
        }
        self.reckon();
    }

    fn step(&mut self, ev: Ev) {
        // What is for one that is stopped waits until it goes on.
        let to = match &ev {
            Ev::Wake(place, life) | Ev::Reply(place, life, ..) | Ev::Noticed(place, life) => {
                Some((*place, *life))
            }
            Ev::Gossip(place, life) | Ev::Job(place, life) => Some((*place, *life)),
            Ev::Try(place, life, _) | Ev::Ended(place, life, ..) => Some((*place, *life)),
            _ => None,
        };
        if let Some((place, life)) = to {
            let one = &self.all[usize::from(place)];
            if one.life != life || !one.running {
                return;
            }
            if one.paused_until > self.now {
                let at = one.paused_until;
                return self.later(at, ev);
            }
        }
        match ev {
            Ev::Start(place) => self.start(place),
            Ev::Kill(places) => {
                for place in places {
                    let one = &mut self.all[usize::from(place)];
                    let life = one.life + 1;
                    *one = Dispatcher { life, ..Dispatcher::default() };
                    let at = self.now + self.rng.u64(50 * MS..500 * MS);
                    self.later(at, Ev::Start(place));
                }
            }
            Ev::Wake(place, _) => self.wake(place),
            Ev::Arrive(place, life, number) => self.arrive(place, life, number),
            Ev::Reply(place, _, number, reply) => self.reply(place, number, reply),
            Ev::Down => {
                (self.up, self.waiting, self.free_at) = (false, 0, 0);
                self.service_life += 1;
                for place in 0..self.set.count {
                    let one = &mut self.all[usize::from(place)];
                    if one.holds {
                        one.holds = false;
                        self.lost_watch(place, Event::WatchEnded);
                    } else if one.out > 0 {
                        let (life, number) = (one.life, one.number);
                        self.later(self.now + HOP, Ev::Reply(place, life, number, Reply::Reset));
                    }
                }
            }
            Ev::Up => {
                self.up = true;
                // Who got nothing yet counts from here.
            }
            Ev::Silence => {
                for place in 0..self.set.count {
                    let one = &mut self.all[usize::from(place)];
                    if one.holds {
                        one.silent = true;
                        let (life, at) = (one.life, self.now + SILENCE + u64::from(place) % 20 * 100 * MS);
                        self.later(at.min(self.now + SILENCE), Ev::Noticed(place, life));
                    }
                }
            }
            Ev::Noticed(place, _) => {
                let by = self.silent_by.unwrap_or(self.now + SILENCE) - self.set.service_time;
                self.all[usize::from(place)].holds = false;
                self.lost_watch(place, Event::WatchSilent { by });
            }
            Ev::Gossip(place, life) => self.gossip(place, life),
            Ev::Deliver(place, facts) => self.deliver(place, facts),
            Ev::Views => {
                // A new process is known by its first datagram, one that ended some while later; the views of this
                // model change for all at once, by their own period.
                let lives: Vec<(bool, u32)> = self.all.iter().map(|one| (one.running, one.life)).collect();
                let before = std::mem::replace(&mut self.lives, lives);
                let changed =
                    self.lives.iter().zip(&before).enumerate().filter(|(_, (now, then))| now.1 != then.1);
                let gone: Vec<u16> = changed.map(|(place, _)| place as u16).collect();
                for place in 0..self.set.count {
                    let view: Vec<bool> = (0..self.set.count)
                        .map(|other| self.hears(place, other) && self.lives[usize::from(other)].0)
                        .collect();
                    if let Some(pacer) = &mut self.all[usize::from(place)].pacer {
                        gone.iter().for_each(|other| pacer.handle(self.now, Event::Gone(*other)));
                        pacer.handle(self.now, Event::View(view));
                    }
                }
                self.later(self.now + VIEWS, Ev::Views);
            }
            Ev::Job(place, life) => {
                let rate =
                    self.set.load * PER_SECOND * self.workers.iter().filter(|w| !w.dead).count() as f64
                        / f64::from(self.set.count);
                let gap = -(1.0 - self.rng.f64()).ln() / rate * SECOND as f64;
                self.later(self.now + gap as u64, Ev::Job(place, life));
                let work = -(1.0 - self.rng.f64()).ln();
                if self.now + PATIENCE < self.set.length {
                    self.result.jobs += 1;
                    self.attempt(place, life, Job { since: self.now, work });
                }
            }
            Ev::Try(place, life, job) => self.attempt(place, life, job),
            Ev::Ended(place, life, job, worker, alive) => self.ended(place, life, job, worker, alive),
        }
    }

    fn hears(&self, one: u16, other: u16) -> bool {
        self.set.halves.is_none_or(|heal| self.now >= heal) || one % 2 == other % 2
    }

    fn start(&mut self, place: u16) {
        let (now, set, heard) = (self.now, self.set, self.how == Behaviour::Heard);
        let seed = self.rng.u64(..);
        self.processes += 1;
        let uses = self.uses_crate();
        let one = &mut self.all[usize::from(place)];
        (one.running, one.started) = (true, now);
        let life = one.life;
        if uses {
            let config = pacer::Config {
                place,
                count: set.count,
                service_time: set.believed,
                ask_within: Some(set.ask_within),
                unix: UNIX,
                seed,
                hears: heard,
                ask_without_pacer: set.ask_without_pacer,
            };
            let rations = ration::Config {
                place,
                count: set.count,
                unix: UNIX,
                skew: 50 * MS,
                window: WINDOW,
                multiple: MULTIPLE,
                cold_from: COLD_FROM,
                cold_time: COLD_TIME,
                handshake: HANDSHAKE,
                probe: HANDSHAKE,
                connections: 0,
                lease: 10 * SECOND,
                without_turns: false,
            };
            one.pacer = Pacer::new(config, now, 1).ok();
            one.ration = Ration::new(rations, now).ok();
            one.findings = Some(Findings::new(place, UNIX, now));
            one.confirm = Some(Confirm::new(self.known.iter().map(|w| *w as u64), place, set.count));
        }
        let first = match self.how {
            Behaviour::Landed => self.rng.u64(0..=set.ask_within / 8),
            Behaviour::FullJitter => 0,
            _ => self.all[usize::from(place)].pacer.as_ref().and_then(Pacer::next_wake).unwrap_or(now) - now,
        };
        self.later(now + first, Ev::Wake(place, life));
        if heard {
            let at = now + self.rng.u64(0..GOSSIP);
            self.later(at, Ev::Gossip(place, life));
        }
        if set.load > 0.0 {
            self.later(now, Ev::Job(place, life));
        }
    }

    fn wake(&mut self, place: u16) {
        let now = self.now;
        let first_pause = self.set.paused.map(|(_, span)| span);
        let one = &mut self.all[usize::from(place)];
        if one.holds {
            return;
        }
        let life = one.life;
        if let Some(pacer) = &mut one.pacer {
            // It stops just when its turn has come.
            if one.pauses && pacer.next_wake().is_some_and(|at| at <= now) {
                one.pauses = false;
                one.paused_until = now + first_pause.unwrap_or(0);
                return self.later(now + first_pause.unwrap_or(0), Ev::Wake(place, life));
            }
            let ask = pacer.tick(now);
            self.share(place);
            if ask.is_none() {
                return self.rewake(place);
            }
        } else if one.out > 0 {
            return;
        }
        let one = &mut self.all[usize::from(place)];
        one.number += 1;
        one.asked = now;
        one.out += 1;
        let (number, out) = (one.number, one.out);
        self.result.most_out = self.result.most_out.max(out);
        self.calls_at.push(now);
        self.later(now + HOP, Ev::Arrive(place, life, number));
    }

    /// Has the pacer looked at again when it wants to be.
    fn rewake(&mut self, place: u16) {
        let one = &self.all[usize::from(place)];
        if let Some(at) = one.pacer.as_ref().and_then(Pacer::next_wake) {
            self.later(at.max(self.now + 1), Ev::Wake(place, one.life));
        }
    }

    fn arrive(&mut self, place: u16, life: u32, number: u64) {
        if !self.up {
            return self.later(self.now + HOP, Ev::Reply(place, life, number, Reply::Reset));
        }
        self.waiting += 1;
        self.result.longest_queue = self.result.longest_queue.max(self.waiting);
        let begins = self.now.max(self.free_at);
        let (at, reply) = if begins - self.now > MOST_WAIT {
            (self.now + MOST_WAIT, Reply::Refused)
        } else {
            self.free_at = begins + self.set.service_time;
            let mute = number == 1 && self.rng.f64() < self.set.mute;
            (self.free_at, if mute { Reply::Mute } else { Reply::List })
        };
        // A reply of a service that went down meanwhile is not written any more.
        self.later(at, Ev::Reply(place, life, number | self.service_life << 32, reply));
    }

    fn reply(&mut self, place: u16, number: u64, reply: Reply) {
        let now = self.now;
        let (service, number) = (number >> 32, number & 0xffff_ffff);
        if !matches!(reply, Reply::Reset | Reply::TimedOut) {
            if service != self.service_life {
                return;
            }
            self.waiting -= 1;
        }
        let one = &mut self.all[usize::from(place)];
        if one.number != number || one.out == 0 {
            return;
        }
        let (waited, life) = (now - one.asked, one.life);
        if reply == Reply::Mute {
            return self.later(now + SILENCE, Ev::Reply(place, life, number, Reply::TimedOut));
        }
        one.out -= 1;
        let event = match reply {
            Reply::List => {
                (one.holds, one.failures) = (true, 0);
                let late = std::mem::take(&mut one.silent) && self.silent_by.is_some_and(|by| now > by);
                self.result.late += u64::from(late);
                if let Some(confirm) = &mut one.confirm {
                    self.listed.iter().for_each(|w| confirm.listed(*w as u64));
                }
                if one.held_at.is_none() {
                    one.held_at = Some(now);
                    let from = one.started.max(self.set.down.map_or(0, |(_, until)| until));
                    self.held.push(now.saturating_sub(from));
                }
                Event::Answered { generation: 2, waited }
            }
            Reply::Refused => Event::Refused { waited, retry_after: None },
            Reply::TimedOut => Event::TimedOut,
            _ => Event::Failed,
        };
        if reply == Reply::List {
            if let Some(pacer) = &mut one.pacer {
                pacer.handle(now, event);
            }
            return self.share(place);
        }
        self.result.refused += 1;
        self.failed(place, event);
    }

    fn lost_watch(&mut self, place: u16, event: Event) {
        self.failed(place, event);
    }

    /// A call came to nothing, or the watch ended: when to ask again.
    fn failed(&mut self, place: u16, event: Event) {
        let (now, within) = (self.now, self.set.ask_within);
        let one = &mut self.all[usize::from(place)];
        one.failures += 1;
        let (life, failures) = (one.life, one.failures);
        if let Some(pacer) = &mut one.pacer {
            pacer.handle(now, event);
            self.share(place);
            return self.rewake(place);
        }
        let span = match self.how {
            Behaviour::Landed => (within / 8) << failures.min(3),
            _ => ((100 * MS) << failures.min(10)).min(10 * SECOND),
        };
        let at = now + self.rng.u64(0..=span);
        self.later(at, Ev::Wake(place, life));
    }

    /// Hands the pacer's word to the findings, and what they have to tell to the carrier.
    fn share(&mut self, place: u16) {
        if self.how != Behaviour::Heard {
            return;
        }
        let now = self.now;
        let sends = usize::from(self.set.count).ilog2() as usize + 3;
        let one = &mut self.all[usize::from(place)];
        let (Some(pacer), Some(findings)) = (&one.pacer, &mut one.findings) else { return };
        if one.said != Some(pacer.news()) {
            one.said = Some(pacer.news());
            findings.say(pacer.news(), pacer.is_news());
        }
        while let Some((slot, bytes)) = findings.publish(now) {
            one.fact_number += 1;
            self.result.facts += 1;
            self.result.fact_bytes += bytes.len() as u64;
            let epoch = (UNIX + one.started) / MS;
            let fact = Rc::new(Fact { place, epoch, slot, number: one.fact_number, bytes });
            one.facts.insert((place, slot), fact.clone());
            one.queue.push_front((sends, fact));
        }
    }

    fn gossip(&mut self, place: u16, life: u32) {
        self.later(self.now + GOSSIP, Ev::Gossip(place, life));
        self.share(place);
        if !std::mem::replace(&mut self.all[usize::from(place)].joined, true) {
            self.join(place);
        }
        for _ in 0..FANOUT {
            let to = self.rng.u16(0..self.set.count);
            let one = &mut self.all[usize::from(place)];
            let (mut facts, mut again): (Vec<Rc<Fact>>, Vec<_>) = Default::default();
            while facts.len() < FACTS {
                let Some((left, fact)) = one.queue.pop_front() else { break };
                // Nobody wants what a later one has replaced.
                if one.facts.get(&(fact.place, fact.slot)).is_some_and(|held| Rc::ptr_eq(held, &fact)) {
                    facts.push(fact.clone());
                    if left > 1 {
                        again.push((left - 1, fact));
                    }
                }
            }
            for (left, fact) in again {
                match fact.slot {
                    0 => one.queue.push_front((left, fact)),
                    _ => one.queue.push_back((left, fact)),
                }
            }
            if facts.len() < FACTS / 2 {
                // Room is left for old ones, so that those who were cut off learn them.
                let skip = self.rng.usize(0..one.facts.len().max(1));
                facts.extend(one.facts.values().skip(skip).take(2).cloned());
            }
            if to == place || facts.is_empty() || !self.hears(place, to) || self.rng.f64() < LOSS {
                continue;
            }
            let at = self.now + self.rng.u64(HOP..5 * MS);
            self.later(at, Ev::Deliver(to, facts));
        }
    }

    /// A process that has just started is told what another one knows: the service first, as much as a few datagrams hold.
    fn join(&mut self, place: u16) {
        let drawn: Vec<u16> = (0..8).map(|_| self.rng.u16(0..self.set.count)).collect();
        let joined = |other: &u16| {
            *other != place && self.all[usize::from(*other)].joined && self.hears(place, *other)
        };
        let Some(other) = drawn.into_iter().find(joined) else { return };
        let facts = self.all[usize::from(other)].facts.values();
        let (mut service, workers): (Vec<_>, Vec<_>) = facts.cloned().partition(|fact| fact.slot == 0);
        service.sort_by_key(|fact| std::cmp::Reverse((fact.epoch, fact.number)));
        service.extend(workers);
        service.truncate(64);
        self.later(self.now + 2 * MS, Ev::Deliver(place, service));
    }

    fn deliver(&mut self, place: u16, facts: Vec<Rc<Fact>>) {
        let now = self.now;
        let sends = usize::from(self.set.count).ilog2() as usize + 3;
        let one = &mut self.all[usize::from(place)];
        if !one.running || one.paused_until > now {
            return;
        }
        let (Some(pacer), Some(findings)) = (&mut one.pacer, &mut one.findings) else { return };
        let mut moved = false;
        for fact in facts {
            let about = (fact.place, fact.slot);
            let newer = |held: &Rc<Fact>| (held.epoch, held.number) >= (fact.epoch, fact.number);
            if fact.place == place || one.facts.get(&about).is_some_and(newer) {
                continue;
            }
            let origin = Origin { place: fact.place, epoch: fact.epoch };
            if findings.absorb(now, origin, fact.slot, fact.number, &fact.bytes).is_ok() {
                match fact.slot {
                    0 => one.queue.push_front((sends, fact.clone())),
                    _ => one.queue.push_back((sends, fact.clone())),
                }
                one.facts.insert(about, fact);
            }
        }
        for (from, news) in findings.service_news() {
            pacer.handle(now, Event::Peer { place: from, news });
            moved = true;
        }
        if moved {
            self.rewake(place);
        }
    }

    /// Looks for a worker for a job among some at random of the list at hand.
    fn attempt(&mut self, place: u16, life: u32, job: Job) {
        let now = self.now;
        if now > job.since + PATIENCE {
            self.result.lost += 1;
            return;
        }
        let holds = self.all[usize::from(place)].held_at.is_some();
        let list = if holds { &self.listed } else { &self.known };
        let sample: Vec<usize> = (0..SAMPLE).map(|_| list[self.rng.usize(0..list.len())]).collect();
        let mut best: Option<(bool, usize, bool)> = None;
        for id in sample {
            let free = self.usable(place, id, job.work);
            let Some(trying) = free else { continue };
            let tie = self.all[usize::from(place)].ties.get(&id);
            let fresh = tie.is_none_or(|t| t.idle.iter().all(|at| at + CONN_IDLE <= now));
            if best.is_none_or(|(other, ..)| other && !fresh) {
                best = Some((fresh, id, trying));
            }
        }
        let Some((fresh, id, trying)) = best else {
            return self.later(now + LOOK, Ev::Try(place, life, job));
        };
        if !self.spend(place, id, job.work, fresh, trying) {
            return self.later(now + LOOK, Ev::Try(place, life, job));
        }
        let worker = &mut self.workers[id];
        if now < 10 * SECOND {
            worker.handshakes += u64::from(fresh);
            worker.tries += u64::from(worker.dead);
        }
        let tie = self.all[usize::from(place)].ties.entry(id).or_default();
        if !fresh {
            tie.idle.pop();
        }
        let takes = match (worker.dead, worker.hangs) {
            (true, true) => HANGS,
            (true, false) => 2 * HOP,
            _ => (job.work / PER_SECOND * 4.0 * SECOND as f64) as u64 + 2 * HOP, // four slots
        };
        if !worker.dead {
            self.load(id, job.work + if fresh { HANDSHAKE } else { 0.0 });
        }
        let alive = !self.workers[id].dead;
        self.later(now + takes, Ev::Ended(place, life, job, id, alive));
    }

    /// Whether a worker may get a job, and whether that is a try.
    fn usable(&self, place: u16, id: usize, work: f64) -> Option<bool> {
        let (now, one) = (self.now, &self.all[usize::from(place)]);
        let tie = one.ties.get(&id);
        if tie.is_some_and(|t| now < t.until) {
            return None;
        }
        let worker = &self.workers[id];
        let (Some(confirm), Some(findings), Some(ration)) = (&one.confirm, &one.findings, &one.ration) else {
            let cold = worker.started.is_none_or(|at| self.landed_turn(place, id, at, tie, work));
            return cold.then_some(false);
        };
        let finding = findings.finding(id as u64, now);
        let trying = match confirm.usable(id as u64, finding.as_ref(), now) {
            Use::No => return None,
            Use::Try => true,
            Use::Free => false,
        };
        let wish = if trying { Wish::First } else { Wish::Job(work) };
        let fresh = tie.is_none_or(|t| t.idle.iter().all(|at| at + CONN_IDLE <= now));
        let worker = now_of(id, worker);
        let connects = trying || !fresh || ration.would(now, &worker, Wish::Handshake);
        (connects && ration.would(now, &worker, wish)).then_some(trying)
    }

    /// The landed program's turn on a cold worker.
    fn landed_turn(&self, place: u16, id: usize, at: u64, tie: Option<&Tie>, work: f64) -> bool {
        let age = (UNIX + self.now).saturating_sub(at);
        if age >= COLD_TIME {
            return true;
        }
        let grown = COLD_FROM + (1.0 - COLD_FROM) * age.saturating_sub(WINDOW) as f64 / COLD_TIME as f64;
        let budget = grown * MULTIPLE * 0.5 * PER_SECOND * WINDOW as f64 / 1e6;
        let nodes = u64::from(self.set.count);
        let turns = ((budget / 2.0) as u64).clamp(1, nodes);
        let epoch = age / WINDOW;
        let place =
            (u64::from(place) + crate::mix(id as u64) % nodes + epoch % nodes * (nodes / 2 + 1)) % nodes;
        let sent = tie.map_or(0.0, |t| if t.cold.0 == epoch { t.cold.1 } else { 0.0 });
        place < turns && (sent == 0.0 || sent + work.max(1.0) <= budget / turns as f64)
    }

    /// Spends what the job takes of the rations; false where there is none of it.
    fn spend(&mut self, place: u16, id: usize, work: f64, fresh: bool, trying: bool) -> bool {
        let now = self.now;
        let worker = now_of(id, &self.workers[id]);
        let one = &mut self.all[usize::from(place)];
        let (Some(confirm), Some(ration)) = (&mut one.confirm, &mut one.ration) else {
            if let Some(at) = self.workers[id].started {
                let epoch = (UNIX + now).saturating_sub(at) / WINDOW;
                let tie = one.ties.entry(id).or_default();
                let before = if tie.cold.0 == epoch { tie.cold.1 } else { 0.0 };
                tie.cold = (epoch, before + work.max(1.0));
            }
            return true;
        };
        if fresh && !trying && ration.ask(now, &worker, Wish::Handshake) != Verdict::Go {
            return false;
        }
        let wish = if trying { Wish::First } else { Wish::Job(work) };
        if ration.ask(now, &worker, wish) != Verdict::Go {
            return false;
        }
        if trying {
            confirm.tried(id as u64);
        }
        true
    }

    /// What a cold worker is sent, against what it bears.
    fn load(&mut self, id: usize, work: f64) {
        let (now, worker) = (self.now, &mut self.workers[id]);
        let Some(age) = worker.started.map(|at| (UNIX + now).saturating_sub(at)) else { return };
        if age >= COLD_TIME {
            return;
        }
        worker.sent.push_back((now, work));
        while worker.sent.front().is_some_and(|(at, _)| at + WINDOW < now) {
            worker.sent.pop_front();
        }
        let part = COLD_FROM + (1.0 - COLD_FROM) * age as f64 / COLD_TIME as f64;
        let n = MULTIPLE * part * PER_SECOND * WINDOW as f64 / 1e6;
        let bears = n + 3.0 * n.sqrt() + 3.0;
        let sum: f64 = worker.sent.iter().map(|(_, work)| work).sum();
        self.result.most_of_budget = self.result.most_of_budget.max(sum / bears);
        if sum > bears {
            self.result.falls += 1;
            worker.sent.clear();
        }
    }

    fn ended(&mut self, place: u16, life: u32, job: Job, id: usize, alive: bool) {
        let now = self.now;
        let hangs = self.workers[id].hangs;
        let one = &mut self.all[usize::from(place)];
        let tie = one.ties.entry(id).or_default();
        if alive {
            (tie.strikes, tie.until) = (0, 0);
            tie.idle.push(now);
        } else {
            tie.strikes = (tie.strikes + 1).min(6);
            tie.until = now + ((150 * MS) << tie.strikes);
        }
        if let Some(confirm) = &mut one.confirm {
            confirm.ended(id as u64, alive, now);
        }
        if let Some(findings) = &mut one.findings {
            let trouble = if hangs { Trouble::Hangs } else { Trouble::Refuses };
            findings.note(now, id as u64, if alive { Seen::Alive } else { Seen::Trouble(trouble) });
        }
        if !alive {
            self.attempt(place, life, job);
        }
    }

    fn reckon(&mut self) {
        let result = &mut self.result;
        result.calls = self.calls_at.len() as u64;
        result.calls_each = result.calls as f64 / self.processes.max(1) as f64;
        self.calls_at.sort_unstable();
        let peak = |calls: &[u64]| {
            let mut from = 0;
            let spans = calls.iter().enumerate().map(|(n, at)| {
                while calls[from] + 100 * MS <= *at {
                    from += 1;
                }
                (n - from + 1) as u64
            });
            spans.max().unwrap_or(0)
        };
        result.peak = peak(&self.calls_at);
        let back = self.set.down.map_or(0, |(_, until)| until);
        result.peak_after = peak(&self.calls_at[self.calls_at.partition_point(|at| *at < back)..]);
        self.held.sort_unstable();
        let at = |part: f64| {
            let n = (self.held.len() as f64 * part).ceil() as usize;
            self.held.get(n.saturating_sub(1)).copied().unwrap_or(0)
        };
        (result.held_p50, result.held_p99) = (at(0.5), at(0.99));
        result.without = self.all.iter().filter(|one| !one.holds).count() as u64;
        // Those that were silent and not heard again by the end are late too.
        result.late += self.all.iter().filter(|one| one.silent).count() as u64;
        let alive: Vec<u64> = self.workers.iter().filter(|w| !w.dead).map(|w| w.handshakes).collect();
        let dead: Vec<u64> = self.workers.iter().filter(|w| w.dead).map(|w| w.tries).collect();
        let mean = |of: &[u64]| of.iter().sum::<u64>() as f64 / of.len().max(1) as f64;
        (result.handshakes, result.tries_at_dead) = (mean(&alive), mean(&dead));
        result.most_handshakes = alive.into_iter().max().unwrap_or(0);
    }
}

fn now_of(id: usize, worker: &Worker) -> WorkerNow {
    WorkerNow { tag: id as u64, started: worker.started, per_second: PER_SECOND }
}
