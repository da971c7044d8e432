//! The decision module, driven by a table: settings and workers, then reports, jobs, ends and the passing of time.

use crate::common::{MS, Node, worker};
use crate::table::{Machine, Row, beyond, judge, play, read};
use mothproxy::*;
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};
use toml::{Table, Value};

/// The situation. Times are in milliseconds; whatever is absent is as in [`Settings::default`].
#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
struct Given {
    workers: Vec<Listed>,
    classes: Vec<Kind>,
    zone: u16,
    nodes: u32,
    probe: bool,
    tells_start: bool,
    copies: bool,
    attempts: u32,
    cold_time: u64,
    cold_from: f64,
    fall_multiple: f64,
    fall_window: u64,
}

impl Default for Given {
    fn default() -> Given {
        Given {
            workers: Vec::new(),
            classes: vec![Kind::default()],
            zone: 0,
            nodes: 1,
            probe: false,
            tells_start: false,
            copies: true,
            attempts: 5,
            cold_time: 10_000,
            cold_from: 0.2,
            fall_multiple: 2.5,
            fall_window: 1_000,
        }
    }
}

/// A line of the list; its number is its place unless it says so.
#[derive(Clone, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct Listed {
    id: Option<u32>,
    kind: u16,
    zone: u16,
    cell: u32,
    state: State,
    /// How long ago it started.
    age: Option<u64>,
}

#[derive(Clone, Copy, Default, Deserialize)]
#[serde(rename_all = "lowercase")]
enum State {
    #[default]
    Ready,
    Draining,
    Gone,
}

#[derive(Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct Kind {
    effect: Does,
    /// Who drops repeats, and for how long.
    group: Drops,
    memory: u64,
    aim: u64,
    late_worth: f64,
    kind: Option<u16>,
}

impl Default for Kind {
    fn default() -> Kind {
        Kind { effect: Does::Pure, group: Drops::All, memory: 300, aim: 200, late_worth: 0.5, kind: None }
    }
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "lowercase")]
enum Does {
    Pure,
    Token,
    Unsafe,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "lowercase")]
enum Drops {
    All,
    Zone,
    Cell,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
enum Verb {
    /// A worker's report, by probe or (with `of`) in the answer of a job.
    Report(Told),
    /// A probe ended so.
    Echo {
        worker: u32,
        #[serde(rename = "as")]
        outcome: Ending,
    },
    /// Reports of the workers, each `every` milliseconds, so many times.
    Reports {
        every: u64,
        times: u64,
        of: Vec<Told>,
    },
    Arrive(NewRequest),
    /// The newest attempt of a job, or this one, ended so.
    End {
        job: u64,
        #[serde(rename = "as")]
        outcome: Ending,
        attempt: Option<u32>,
        /// Since it was sent.
        #[serde(default = "at_once")]
        took: u64,
        /// With it came a report of its worker.
        report: Option<Load>,
    },
    Start {
        job: u64,
    },
    HangUp(u64),
    List(Vec<Listed>),
    Changes(Vec<Listed>),
    /// So many times.
    ListFailed(u32),
    Pass(u64),
    /// At how many workers the last so many jobs sent are.
    Spread(usize),
    /// The fuzzy capability of these inputs.
    Score(f64, f64),
}

fn at_once() -> u64 {
    5
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Ending {
    Ok,
    Error,
    Full,
    Timeout,
    NoConnection,
    Broken,
    Cancelled,
}

impl From<Ending> for Outcome {
    fn from(ending: Ending) -> Outcome {
        match ending {
            Ending::Ok => Outcome::Ok,
            Ending::Error => Outcome::Error,
            Ending::Full => Outcome::Full,
            Ending::Timeout => Outcome::Timeout,
            Ending::NoConnection => Outcome::ConnectFailed,
            Ending::Broken => Outcome::Reset,
            Ending::Cancelled => Outcome::Cancelled,
        }
    }
}

#[derive(Clone, Copy, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct Load {
    cpu: Option<f64>,
    free: Option<f64>,
    waiting: Option<f64>,
    memory: Option<f64>,
}

impl From<Load> for LoadReport {
    fn from(load: Load) -> LoadReport {
        let Load { cpu, free, waiting, memory } = load;
        LoadReport { cpu, free_slots: free, waiting, free_memory: memory, ..LoadReport::default() }
    }
}

#[derive(Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
struct Told {
    worker: u32,
    cpu: Option<f64>,
    free: Option<f64>,
    waiting: Option<f64>,
    memory: Option<f64>,
}

impl Told {
    fn load(self) -> LoadReport {
        let Told { cpu, free, waiting, memory, .. } = self;
        Load { cpu, free, waiting, memory }.into()
    }
}

/// A job: its class, the client's patience, its work (unknown if 0), the slots and the memory that it needs.
#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
struct NewRequest {
    job: u64,
    class: u16,
    patience: u64,
    work: u64,
    slots: f64,
    memory: Option<f64>,
}

impl Default for NewRequest {
    fn default() -> NewRequest {
        NewRequest { job: 1, class: 0, patience: 5_000, work: 100, slots: 1.0, memory: None }
    }
}

/// How a job stands for whoever drives the module.
#[derive(Default)]
struct Held {
    sent: Vec<WorkerId>,
    out: usize,
    over: bool,
}

pub struct Decision {
    node: Node,
    jobs: BTreeMap<u64, Held>,
    sends: Vec<WorkerId>,
    /// One that says to whom in the module's place, by the ready workers with the jobs out at each, and the job.
    rival: Option<Rival>,
    ready: Vec<(u32, usize)>,
}

type Rival = fn(&[(u32, usize)], u64) -> usize;

/// Balancers that know nothing of reports; they send at once.
const RIVALS: [(&str, Rival); 4] = [
    ("the first", |_, _| 0),
    ("the last", |ready, _| ready.len() - 1),
    ("in turn", |ready, job| (job as usize + ready.len() - 1) % ready.len()),
    ("the fewest out", |ready, _| {
        let least = ready.iter().enumerate().min_by_key(|(_, (_, out))| *out);
        least.map_or(0, |(place, _)| place)
    }),
];

/// Each clause has a row that each rival fails: no clause is met by chance.
pub fn rivals(name: &str, text: &str) {
    let sheet = read(text).expect("a table");
    let clauses: BTreeSet<&str> = sheet.row.iter().map(|row| row.of.as_str()).collect();
    for clause in clauses {
        for (rival, decide) in RIVALS {
            let fails = |row: &Row| {
                let mut machine = Decision::new(row.given.clone(), 1).expect("a situation");
                machine.rival = Some(decide);
                judge(row, &play(machine, row)).is_err()
            };
            let caught = sheet.row.iter().filter(|row| row.of == clause).any(fails);
            assert!(caught, "{name}.toml: a balancer that takes {rival} meets every row of {clause}");
        }
    }
}

fn list(lines: &[Listed], now: Micros) -> Vec<EndpointEntry> {
    let entry = |(n, line): (usize, &Listed)| EndpointEntry {
        zone: ZoneId(line.zone),
        kind: KindId(line.kind),
        cell: CellId(line.cell),
        status: match line.state {
            State::Ready => Status::Ready,
            State::Draining => Status::Draining,
            State::Gone => Status::Gone,
        },
        started_at: line.age.map(|age| now - age * MS),
        ..worker(line.id.unwrap_or(n as u32))
    };
    lines.iter().enumerate().map(entry).collect()
}

fn class(kind: &Kind) -> Class {
    let scope = match kind.group {
        Drops::All => DeduplicationScope::All,
        Drops::Zone => DeduplicationScope::Zone,
        Drops::Cell => DeduplicationScope::Cell,
    };
    Class {
        idempotency: match kind.effect {
            Does::Pure => Idempotency::Idempotent,
            Does::Unsafe => Idempotency::NonIdempotent,
            Does::Token => Idempotency::IdempotentWithKey { scope, window: kind.memory * MS },
        },
        latency_objective: kind.aim * MS,
        late_weight: kind.late_worth,
        kind: kind.kind.map(KindId),
        ..Settings::default().classes[0].clone()
    }
}

impl Machine for Decision {
    fn new(given: Value, seed: u64) -> Result<Decision, String> {
        let given = Given::deserialize(given).map_err(|e| e.to_string())?;
        let settings = Settings {
            zone: ZoneId(given.zone),
            dispatcher_count: given.nodes,
            classes: given.classes.iter().map(class).collect(),
            may_probe: given.probe,
            reports_start: given.tells_start,
            may_hedge: given.copies,
            max_attempts: given.attempts,
            warm_up_time: given.cold_time * MS,
            initial_capacity: given.cold_from,
            collapse_multiple: given.fall_multiple,
            collapse_window: given.fall_window * MS,
            ..Settings::default()
        };
        settings.check().map_err(|e| e.to_string())?;
        let mut node = Node::seeded(settings, seed);
        node.now = 1_000_000 * MS;
        node.feed(Event::EndpointList(ListKind::Snapshot, list(&given.workers, node.now)));
        let ready = list(&given.workers, node.now).iter().map(|line| (line.worker.0, 0)).collect();
        Ok(Decision { node, jobs: BTreeMap::new(), sends: Vec::new(), rival: None, ready })
    }

    #[allow(clippy::too_many_lines, reason = "one history or table of cases, read from top to bottom")]
    fn step(&mut self, step: Table) -> Result<Vec<String>, String> {
        let verb = Verb::deserialize(Value::Table(step)).map_err(|e| e.to_string())?;
        let (mut looked_at, now) = (None, self.node.now);
        let actions = match verb {
            Verb::Report(told) => self.node.echo(told.worker, Outcome::Ok, Some(told.load())),
            Verb::Echo { worker, outcome } => self.node.echo(worker, outcome.into(), None),
            Verb::Reports { every, times, of } => {
                let mut actions = Vec::new();
                for n in 0..times {
                    for told in &of {
                        actions.extend(self.node.echo(told.worker, Outcome::Ok, Some(told.load())));
                    }
                    if n + 1 < times {
                        actions.extend(self.node.pass(every * MS));
                    }
                }
                actions
            }
            Verb::Arrive(new) => {
                self.jobs.insert(new.job, Held::default());
                looked_at = Some(new.job);
                self.node.feed(Event::Arrived(NewJob {
                    job: JobId(new.job),
                    class: ClassId(new.class),
                    tenant: None,
                    key: None,
                    deadline: now + new.patience * MS,
                    hint: (new.work > 0).then_some(new.work * MS),
                    slots: new.slots,
                    memory: new.memory,
                    repeat: false,
                    estimate: None,
                    tenant_weight: None,
                }))
            }
            Verb::End { job, outcome, attempt, took, report } => {
                let held = self.jobs.get_mut(&job).ok_or("no such job")?;
                let attempt = attempt.map_or(held.sent.len().wrapping_sub(1), |n| n as usize);
                let worker = *held.sent.get(attempt).ok_or("no such attempt")?;
                let outcome = outcome.into();
                held.out -= 1;
                held.over |= outcome == Outcome::Ok;
                let closed = held.over;
                looked_at = Some(job).filter(|_| !closed);
                if let Some(at) = self.ready.iter_mut().find(|r| r.0 == worker.0) {
                    at.1 = at.1.saturating_sub(1);
                }
                let (job, attempt, report) = (JobId(job), attempt as u32, report.map(LoadReport::from));
                let elapsed = took * MS;
                self.node.feed(Event::AttemptEnded(AttemptEnded {
                    job,
                    attempt,
                    worker,
                    elapsed,
                    is_job_closed: closed,
                    outcome,
                    report,
                }))
            }
            Verb::Start { job } => {
                let attempt = self.jobs.get(&job).map_or(0, |held| held.sent.len() as u32).saturating_sub(1);
                self.node.feed(Event::Started { job: JobId(job), attempt })
            }
            Verb::HangUp(job) => {
                self.jobs.entry(job).or_default().over = true;
                self.node.feed(Event::ClientDisconnected(JobId(job)))
            }
            Verb::List(lines) => self.node.feed(Event::EndpointList(ListKind::Snapshot, list(&lines, now))),
            Verb::Changes(lines) => self.node.feed(Event::EndpointList(ListKind::Delta, list(&lines, now))),
            Verb::ListFailed(times) => (0..times).flat_map(|_| self.node.feed(Event::ListFailed)).collect(),
            Verb::Pass(span) => self.node.pass(span * MS),
            Verb::Spread(last) => {
                let places: BTreeSet<WorkerId> = self.sends.iter().rev().take(last).copied().collect();
                return Ok(vec![format!("spread {}", places.len())]);
            }
            Verb::Score(cpu, load) => {
                let score =
                    self.rival.map_or_else(|| mothproxy::policy::capability(cpu, load), |_| 1.0 - cpu);
                return Ok(vec![format!("score {score:.3}")]);
            }
        };
        Ok(self.words(actions, looked_at))
    }

    fn contrary(word: &str) -> String {
        let (head, last) = word.rsplit_once(' ').unwrap_or(("", word));
        let job = word.split(' ').next().filter(|j| !j.is_empty()).unwrap_or("1");
        match last {
            "waits" => format!("{job} to 0"),
            "refused" => format!("{job} failed"),
            "failed" => format!("{job} refused"),
            "" => "1 to 0".to_owned(),
            _ if head == "score" => {
                let high: f64 = last.split("..").last().and_then(|x| x.parse().ok()).unwrap_or(0.0);
                format!("score {}..{}", high + 0.001, high + 1.0)
            }
            _ => beyond(word),
        }
    }
}

impl Decision {
    fn sent(&mut self, job: u64, worker: WorkerId) -> String {
        self.ready.iter_mut().filter(|r| r.0 == worker.0).for_each(|r| r.1 += 1);
        let held = self.jobs.entry(job).or_default();
        held.sent.push(worker);
        held.out += 1;
        self.sends.push(worker);
        format!("{job} to {}", worker.0)
    }

    /// What was done, in words; of a job that has nothing out after a look at it, that it waits.
    fn words(&mut self, actions: Vec<Action>, looked_at: Option<u64>) -> Vec<String> {
        let mut words = Vec::new();
        for action in actions {
            match action {
                Action::Send { job, mut worker, .. } => {
                    if let Some(rival) = self.rival {
                        worker = WorkerId(self.ready[rival(&self.ready, job.0)].0);
                    }
                    words.push(self.sent(job.0, worker));
                }
                Action::Reject { job, .. } => {
                    self.jobs.entry(job.0).or_default().over = true;
                    words.push(format!("{} refused", job.0));
                }
                Action::Fail(job) => {
                    self.jobs.entry(job.0).or_default().over = true;
                    words.push(format!("{} failed", job.0));
                }
                Action::Cancel { job, attempt } => words.push(format!("{} calls off {attempt}", job.0)),
                Action::Probe(worker) => words.push(format!("probe {}", worker.0)),
                Action::OpenWatch => words.push("watch".to_owned()),
                Action::FetchList => words.push("fetch".to_owned()),
                Action::SetTimer(..) | Action::SendToPeer { .. } => {}
            }
        }
        if let Some((rival, job)) = self.rival.zip(looked_at).filter(|_| words.is_empty()) {
            words.push(self.sent(job, WorkerId(self.ready[rival(&self.ready, job)].0)));
        }
        let waits = |job: &u64| self.jobs.get(job).is_some_and(|held| held.out == 0 && !held.over);
        words.extend(looked_at.filter(waits).map(|job| format!("{job} waits")));
        words
    }
}
