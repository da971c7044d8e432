//! The ramp of cold workers holds for the sum of all dispatchers: many instances of the module side by side, without
//! sockets, over workers that are replaced while lists come late and at other times to each, processes restart, and hear
//! some of the others or none. In any stretch of the fall window a cold worker gets no more than N calls (by the settings,
//! for its age) and 2 x root of N + 2. `cargo test --release --test ramp -- --nocapture` prints the figures.

mod common;
use common::*;
use mothproxy::*;
use std::collections::{BTreeMap, VecDeque};

const SLOTS: usize = 4;
const QUEUE: usize = 40;
const WINDOW: Micros = 1_500 * MS;
const COLD: Micros = 8_000 * MS;
const FROM: f64 = 0.38;
const MULTIPLE: f64 = 4.0;
const BEGIN: Micros = 1_000_000 * MS;
/// Workers are replaced from then on, one after another over so long; processes restart and bursts come in its middle.
const REPLACED: Micros = BEGIN + 5_000 * MS;
const OVER: Micros = 6_000 * MS;
const END: Micros = REPLACED + OVER + 5_000 * MS;

/// A day.
#[derive(Clone, Copy)]
struct Day {
    nodes: u32,
    /// What a cold worker may get in a window at its start, in calls.
    calls: f64,
    workers: u32,
    /// Work that comes, as a part of what all workers can run when warm.
    load: f64,
    /// Whether peers may tell each other anything, and how many sides of a cut they are on; 0: nobody hears anybody.
    peers: bool,
    sides: u32,
    /// Part of the processes that restart, all at once.
    restarted: f64,
    /// The longest that news of a worker takes to a dispatcher.
    late: Micros,
    /// Workers start anew at their place: who has not been told takes them for warm.
    in_place: bool,
    /// Jobs that come at once to each dispatcher.
    burst: u32,
    /// The first connection to a worker takes up to so long.
    connect: Micros,
    seed: u64,
}

impl Day {
    fn of(nodes: u32, calls: f64, seed: u64) -> Day {
        let (workers, load, late) = (16, 0.8, 1_700 * MS);
        let (peers, sides, restarted, in_place, burst, connect) = (true, 1, 0.0, false, 0, 0);
        Day { nodes, calls, workers, load, sides, peers, restarted, late, in_place, burst, connect, seed }
    }

    /// The mean time of a job at a warm worker, by what a cold one may get.
    fn work(&self) -> f64 {
        MULTIPLE * FROM * SLOTS as f64 * WINDOW as f64 / self.calls
    }

    fn settings(&self, me: u32) -> Settings {
        let class = Class {
            latency_objective: 250 * MS,
            deadline: 7_500 * MS,
            late_weight: 0.5,
            ..class(Idempotency::Idempotent)
        };
        Settings {
            own_index: me,
            dispatcher_count: self.nodes,
            classes: vec![class],
            may_probe: true,
            may_message_peers: self.peers,
            reports_start: true,
            initial_capacity: FROM,
            warm_up_time: COLD,
            collapse_multiple: MULTIPLE,
            collapse_window: WINDOW,
            max_attempts: 3,
            ..Settings::default()
        }
    }
}

/// A call: its dispatcher and which of its processes, its job and attempt.
#[derive(Clone, Copy, Debug)]
struct Call {
    node: u32,
    life: u64,
    job: JobId,
    attempt: u32,
}

enum Due {
    Arrive(u32),
    Replace(u32),
    Restart(u32),
    Told(u32, EndpointEntry),
    Hear { node: u32, life: u64, event: Event },
    Reach(u32, Call),
    Over { worker: u32, life: u64, call: Call, took: Micros },
}

struct Machine {
    entry: EndpointEntry,
    life: u64,
    running: usize,
    queue: VecDeque<Call>,
    /// When calls came since its start, of dispatchers that had been told of it, and of others.
    got: Vec<Micros>,
    unknowing: usize,
}

impl Machine {
    fn report(&self) -> LoadReport {
        let free = (SLOTS - self.running) as f64;
        LoadReport {
            cpu: Some(self.running as f64 / SLOTS as f64),
            free_slots: Some(free),
            ..LoadReport::default()
        }
    }

    /// The part of its capacity that it has.
    fn grown(&self, at: Micros) -> f64 {
        let part = |start: Micros| at.saturating_sub(start) as f64 / COLD as f64;
        self.entry.started_at.map_or(1.0, |start| FROM + (1.0 - FROM) * part(start).min(1.0))
    }

    /// The most that a stretch of the fall window held of what it may hold, and in calls.
    fn most(&self) -> (f64, usize) {
        let Some(start) = self.entry.started_at else { return (0.0, 0) };
        let cold: Vec<Micros> =
            self.got.iter().copied().filter(|at| (start..start + COLD).contains(at)).collect();
        let stretch = |from: &Micros| {
            let calls = cold.iter().filter(|at| (*from..*from + WINDOW).contains(at)).count();
            let room = |n: f64| n + 2.0 * n.sqrt() + 2.0;
            (calls as f64 / room(self.calls_at(*from)), calls)
        };
        cold.iter().map(stretch).fold((0.0, 0), |a, b| if b.0 > a.0 { b } else { a })
    }

    fn calls_at(&self, at: Micros) -> f64 {
        self.grown(at) / FROM * self.entry.weight
    }
}

struct Fleet {
    day: Day,
    now: Micros,
    due: BTreeMap<(Micros, u64), Due>,
    seq: u64,
    nodes: Vec<Node>,
    lives: Vec<u64>,
    /// What each dispatcher has been told, and thus a new process of it.
    lists: Vec<BTreeMap<u32, EndpointEntry>>,
    machines: Vec<Machine>,
    linked: BTreeMap<(u32, u64, u32), Micros>,
    sent: BTreeMap<(u32, u64, JobId), u32>,
    jobs: u64,
    served: u64,
    rng: fastrand::Rng,
}

impl Fleet {
    fn new(day: Day) -> Fleet {
        // A worker's weight is what it may get in a window at its start; the module only compares weights.
        let entry = |n: u32| {
            let tag = u64::from(n + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
            EndpointEntry { tag, zone: ZoneId((n % 2) as u16), weight: day.calls, ..worker(n) }
        };
        let machine = |n| {
            let (queue, got) = Default::default();
            Machine { entry: entry(n), life: 0, running: 0, queue, got, unknowing: 0 }
        };
        let list: BTreeMap<u32, EndpointEntry> = (0..day.workers).map(|n| (n, entry(n))).collect();
        let (due, linked, sent) = Default::default();
        let mut fleet = Fleet {
            day,
            now: BEGIN,
            due,
            seq: 0,
            nodes: Vec::new(),
            lives: vec![0; day.nodes as usize],
            lists: vec![list; day.nodes as usize],
            machines: (0..day.workers).map(machine).collect(),
            linked,
            sent,
            jobs: 0,
            served: 0,
            rng: fastrand::Rng::with_seed(day.seed),
        };
        for n in 0..day.nodes {
            let node = fleet.process(n);
            fleet.nodes.push(node);
            fleet.at(u64::from(n) * MS, Due::Arrive(n));
        }
        let replaced = day.workers * 6 / 10;
        for n in 0..replaced {
            fleet.at(REPLACED - BEGIN + OVER * u64::from(n) / u64::from(replaced), Due::Replace(n));
        }
        let middle = REPLACED - BEGIN + OVER / 2;
        for n in
            (0..day.nodes).filter(|n| f64::from(n * 7 % day.nodes) < day.restarted * f64::from(day.nodes))
        {
            fleet.at(middle, Due::Restart(n));
        }
        for n in (0..day.nodes).flat_map(|n| std::iter::repeat_n(n, day.burst as usize)) {
            fleet.at(middle + 1, Due::Arrive(n));
        }
        fleet
    }

    /// A new process of a dispatcher, with the list that its agent has.
    fn process(&self, n: u32) -> Node {
        let mut node = Node::seeded(self.day.settings(n), self.day.seed << 32 | u64::from(n));
        node.now = self.now;
        let list = self.lists[n as usize].values().copied().collect();
        node.feed(Event::EndpointList(ListKind::Snapshot, list));
        node
    }

    fn at(&mut self, after: Micros, due: Due) {
        self.seq += 1;
        self.due.insert((self.now + after, self.seq), due);
    }

    /// A random time of this mean.
    fn lot(&mut self, mean: f64) -> Micros {
        (-(1.0 - self.rng.f64()).ln() * mean) as Micros
    }

    fn hear(&mut self, after: Micros, node: u32, event: Event) {
        let life = self.lives[node as usize];
        self.at(after, Due::Hear { node, life, event });
    }

    fn feed(&mut self, n: u32, event: Event) {
        self.nodes[n as usize].now = self.now;
        let actions = self.nodes[n as usize].feed(event);
        self.act(n, actions);
    }

    fn act(&mut self, node: u32, actions: Vec<Action>) {
        let life = self.lives[node as usize];
        for act in actions {
            match act {
                Action::Send { job, worker, .. } => {
                    let attempt = self.sent.entry((node, life, job)).or_insert(0);
                    *attempt += 1;
                    let call = Call { node, life, job, attempt: *attempt - 1 };
                    let open = self.now + self.rng.u64(0..=self.day.connect);
                    let open = *self.linked.entry((node, life, worker.0)).or_insert(open);
                    self.at(open.saturating_sub(self.now) + MS, Due::Reach(worker.0, call));
                }
                Action::Probe(worker) => {
                    let report = Some(self.machines[worker.0 as usize].report());
                    let echo = ProbeResponse { worker, outcome: Outcome::Ok, elapsed: MS, report };
                    self.hear(MS, node, Event::ProbeResponse(echo));
                }
                Action::SendToPeer { to, bytes } => {
                    let side = |n: u32| n % 7 % self.day.sides;
                    if self.day.sides > 0 && side(node) == side(to) {
                        self.hear(2 * MS, to, Event::PeerMessage { from: node, bytes });
                    }
                }
                _ => {}
            }
        }
    }

    fn end(&mut self, worker: u32, call: Call, outcome: Outcome, took: Micros) {
        if self.lives[call.node as usize] == call.life {
            let report = (outcome == Outcome::Ok).then(|| self.machines[worker as usize].report());
            self.served += u64::from(outcome == Outcome::Ok);
            let Call { job, attempt, .. } = call;
            let (worker, is_job_closed) = (WorkerId(worker), outcome == Outcome::Ok);
            let ended = AttemptEnded { job, attempt, worker, elapsed: took, is_job_closed, outcome, report };
            self.hear(MS, call.node, Event::AttemptEnded(ended));
        }
    }

    /// Starts what waits at a worker, as far as it has slots.
    fn start(&mut self, worker: u32) {
        let size = self.day.work();
        let machine = &mut self.machines[worker as usize];
        if machine.running == SLOTS {
            return;
        }
        let Some(call) = machine.queue.pop_front() else { return };
        machine.running += 1;
        let (life, grown) = (machine.life, machine.grown(self.now));
        let took = self.lot(size / grown).max(MS);
        self.at(took, Due::Over { worker, life, call, took });
        if self.lives[call.node as usize] == call.life {
            self.hear(MS, call.node, Event::Started { job: call.job, attempt: call.attempt });
        }
    }

    #[allow(clippy::too_many_lines, reason = "one history or table of cases, read from top to bottom")]
    fn take(&mut self, due: Due) {
        match due {
            Due::Arrive(node) => {
                self.jobs += 1;
                // One in ten sees four times the mean.
                let part = if node % 10 == 3 { 4.0 } else { 2.0 / 3.0 } / f64::from(self.day.nodes);
                let all = self.day.load * f64::from(self.day.workers) * SLOTS as f64 / self.day.work();
                let next = self.lot(1.0 / (all * part));
                if self.seq > u64::from(self.day.nodes) {
                    self.at(next, Due::Arrive(node));
                }
                let new = NewJob {
                    job: JobId(self.jobs),
                    class: ClassId(0),
                    tenant: None,
                    key: None,
                    deadline: self.now + 7_500 * MS,
                    hint: None,
                    slots: 1.0,
                    memory: None,
                    repeat: false,
                    estimate: None,
                    tenant_weight: None,
                };
                self.feed(node, Event::Arrived(new));
            }
            Due::Replace(n) => {
                let fresh = EndpointEntry { started_at: Some(self.now), ..self.machines[n as usize].entry };
                let changed = if self.day.in_place {
                    let machine = &mut self.machines[n as usize];
                    (machine.entry, machine.life, machine.running) = (fresh, machine.life + 1, 0);
                    let lost = std::mem::take(&mut machine.queue);
                    lost.into_iter().for_each(|call| self.end(n, call, Outcome::Reset, MS));
                    vec![fresh]
                } else {
                    let id = self.machines.len() as u32;
                    let tag = u64::from(id + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
                    let fresh = EndpointEntry { worker: WorkerId(id), tag, ..fresh };
                    let (queue, got) = Default::default();
                    self.machines.push(Machine {
                        entry: fresh,
                        life: 0,
                        running: 0,
                        queue,
                        got,
                        unknowing: 0,
                    });
                    vec![fresh, EndpointEntry { status: Status::Draining, ..self.machines[n as usize].entry }]
                };
                for node in 0..self.day.nodes {
                    let late = self.rng.u64(0..=self.day.late);
                    changed.iter().for_each(|entry| self.at(late, Due::Told(node, *entry)));
                }
            }
            Due::Told(node, entry) => {
                self.lists[node as usize].insert(entry.worker.0, entry);
                self.feed(node, Event::EndpointList(ListKind::Delta, vec![entry]));
            }
            Due::Restart(node) => {
                self.lives[node as usize] += 1;
                self.nodes[node as usize] = self.process(node);
            }
            Due::Hear { node, life, event } if self.lives[node as usize] == life => self.feed(node, event),
            Due::Hear { .. } => {}
            Due::Reach(worker, call) => {
                let told = self.lists[call.node as usize].get(&worker).and_then(|entry| entry.started_at);
                let machine = &mut self.machines[worker as usize];
                if told == machine.entry.started_at {
                    machine.got.push(self.now);
                } else {
                    machine.unknowing += 1;
                }
                if machine.queue.len() < QUEUE {
                    machine.queue.push_back(call);
                } else {
                    self.end(worker, call, Outcome::Full, MS);
                }
                self.start(worker);
            }
            Due::Over { worker, life, call, took } if self.machines[worker as usize].life == life => {
                self.machines[worker as usize].running -= 1;
                self.end(worker, call, Outcome::Ok, took);
                self.start(worker);
            }
            Due::Over { worker, call, .. } => self.end(worker, call, Outcome::Reset, MS),
        }
    }

    /// Plays the day. The most that a window held at each cold worker, in order, as a part of what it may; and what they
    /// got in all while cold, as a part of what they could have run.
    fn play(mut self) -> (Vec<(f64, usize)>, f64) {
        loop {
            let next = self.due.first_key_value().map_or(END, |((at, _), _)| *at);
            let rings = |n: &Node| n.timers.peek().map_or(END, |next| next.0.0);
            let ring = self.nodes.iter().map(rings).min().unwrap_or(END);
            self.now = next.min(ring).max(self.now);
            if self.now >= END {
                break;
            }
            if ring <= next {
                for n in 0..self.nodes.len() {
                    while rings(&self.nodes[n]) <= self.now {
                        self.nodes[n].now = self.now;
                        let actions = self.nodes[n].pass(0);
                        self.act(n as u32, actions);
                    }
                }
            } else if let Some((_, due)) = self.due.pop_first() {
                self.take(due);
            }
        }
        let cold = self.machines.iter().filter(|m| m.entry.started_at.is_some());
        let mut most: Vec<(f64, usize)> = cold.clone().map(Machine::most).collect();
        most.sort_by(|a, b| a.0.total_cmp(&b.0));
        let within = |m: &&Machine| {
            let start = m.entry.started_at.unwrap_or(0);
            m.got.iter().filter(|at| (start..start + COLD).contains(at)).count()
        };
        let got: usize = cold.clone().map(|m| within(&m)).sum();
        let could = |m: &Machine| {
            let age = END.saturating_sub(m.entry.started_at.unwrap_or(0)).min(COLD) as f64;
            (FROM + (1.0 - FROM) * age / COLD as f64 / 2.0) * age * SLOTS as f64 / self.day.work()
        };
        (most, got as f64 / cold.map(could).sum::<f64>())
    }
}

/// A way to be worse off than on a plain day.
type Row = (&'static str, fn(&mut Day));

const ROWS: [Row; 8] = [
    ("all hear each other", |_| {}),
    ("nobody hears anybody", |d| d.sides = 0),
    ("two sides of a cut, seven in ten restart", |d| (d.sides, d.restarted) = (2, 0.7)),
    ("half restart, a burst", |d| (d.restarted, d.burst) = (0.5, 5)),
    ("told up to 5 s late, a burst", |d| (d.late, d.burst) = (5_000 * MS, 5)),
    ("workers start anew in place, told late", |d| (d.in_place, d.late) = (true, 3_000 * MS)),
    ("connections come up late, twice the load", |d| (d.connect, d.load) = (1_000 * MS, 1.6)),
    ("no peers allowed, a burst, half restart", |d| (d.peers, d.burst, d.restarted) = (false, 5, 0.5)),
];

/// Prints a table of days and returns where a window held more than it may.
fn table(sizes: &[u32], calls: &[f64], seeds: &[u64]) -> Vec<String> {
    let mut over = Vec::new();
    println!(
        "| dispatchers | N | day | over, of cold workers | median | most | calls | got of what they can run |"
    );
    for (size, calls) in sizes.iter().flat_map(|s| calls.iter().map(move |c| (*s, *c))) {
        for (name, change) in ROWS {
            let (mut most, mut used) = (Vec::new(), 0.0);
            for seed in seeds {
                let mut day = Day::of(size, calls, *seed);
                change(&mut day);
                let (windows, got) = Fleet::new(day).play();
                most.extend(windows);
                used += got / seeds.len() as f64;
            }
            most.sort_by(|a, b| a.0.total_cmp(&b.0));
            let beyond = most.iter().filter(|m| m.0 > 1.0).count();
            let (median, (last, count)) = (most[most.len() / 2].0, most[most.len() - 1]);
            let line = format!(
                "| {size} | {calls} | {name} | {beyond} of {} | {median:.2} | {last:.2} | {count} | {used:.2} |",
                most.len()
            );
            println!("{line}");
            if beyond > 0 {
                over.push(line);
            }
        }
    }
    over
}

/// Before, processes that had just started took a job's aim for what it takes, and had no part of their own: 11 calls in a
/// window that may hold eight.
#[test]
fn warm_up_budget_holds_for_all_nodes_together() {
    let over = table(&[3, 20], &[3.0], &[1]);
    assert!(over.is_empty(), "more than N + 2 root N + 2 in a window:\n{}", over.join("\n"));
}

/// All sizes, with their table.
#[test]
#[ignore = "some minutes in release: make proof-ramp"]
fn warm_up_budget_holds_at_every_size() {
    let over = table(&[3, 20, 30, 100, 300], &[3.0, 10.0, 30.0], &[1]);
    assert!(over.is_empty(), "more than N + 2 root N + 2 in a window:\n{}", over.join("\n"));
}
