//! Estimates of run times, driven by a table: dispatchers 0 and 1, jobs seen at workers of some kind, and facts between
//! them. Words: `typical` and `long` in milliseconds; of [`backfill`] `at` and `spare`, `never`, `may go`, `must wait`.

use crate::table::{Machine, beyond};
use mothproxy_runtimes::backfill::{self, OccupiedSlots, Reservation};
use mothproxy_runtimes::{AttemptId, Config, Estimate, JobFeatures, Origin, Outcome, Placement};
use mothproxy_runtimes::{RuntimeEstimator, WorkerKey, WorkerKind, stable_hash};
use serde::Deserialize;
use toml::{Table, Value};

const MS: u64 = 1_000;
const EPOCH: u64 = 1_700_000_000_000;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Given {}

/// So many jobs of this likeness, one after another.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Seen {
    #[serde(default)]
    by: usize,
    class: String,
    tenant: Option<String>,
    subject: Option<String>,
    #[serde(default)]
    kind: u32,
    /// In turn, if there are several.
    took: Vec<u64>,
    jobs: usize,
    /// Those that took this long were cut off then, not done.
    cut: Option<u64>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Asked {
    #[serde(default)]
    by: usize,
    class: String,
    tenant: Option<String>,
    subject: Option<String>,
    /// At a worker of this kind; else as work.
    kind: Option<u32>,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
enum Verb {
    Saw(Seen),
    Estimate(Asked),
    Start {
        job: u64,
        class: String,
        #[serde(default)]
        kind: u32,
    },
    Progress {
        job: u64,
        share: f64,
    },
    Pass(u64),
    /// How long a running job will still be.
    Remaining(u64),
    /// All that one has to tell goes to the other, so many times.
    Tell {
        from: usize,
        to: usize,
        times: usize,
    },
    /// Bytes that nobody told.
    Forge(Vec<u8>),
    /// The earliest time that there is room, by what is held: when each ends, and its slots.
    Reserve {
        free: f64,
        need: f64,
        held: Vec<(u64, f64)>,
    },
    MayGo {
        slots: f64,
        long: u64,
        at: u64,
        spare: f64,
    },
}

pub struct Estimates {
    both: [RuntimeEstimator; 2],
    told: [Vec<(u64, Vec<u8>)>; 2],
    now: u64,
    next: u64,
}

fn like(class: &str, tenant: Option<&str>, subject: Option<&str>) -> JobFeatures {
    let of = |name: Option<&str>| name.map(|name| stable_hash(name.as_bytes()));
    JobFeatures {
        tenant: of(tenant),
        subject: of(subject),
        ..JobFeatures::from_class(stable_hash(class.as_bytes()))
    }
}

fn at(kind: u32, worker: u64) -> Placement {
    Placement { kind: WorkerKind(kind), worker: WorkerKey(worker) }
}

/// A job that a row names, apart from those that are numbered here.
fn numbered(job: u64) -> AttemptId {
    AttemptId(1_000_000 + job)
}

fn words(estimate: Estimate) -> Vec<String> {
    let Estimate { typical, long } = estimate;
    vec![format!("typical {}", typical / MS), format!("long {}", long / MS)]
}

impl Machine for Estimates {
    const SEEDS: u64 = 1; // nothing is random

    fn new(given: Value, _: u64) -> Result<Estimates, String> {
        Given::deserialize(given).map_err(|e| e.to_string())?;
        let new = |place| RuntimeEstimator::new(Config::new(place, EPOCH), 0).map_err(|e| e.to_string());
        Ok(Estimates { both: [new(0)?, new(1)?], told: Default::default(), now: 0, next: 0 })
    }

    #[allow(clippy::too_many_lines, reason = "one history or table of cases, read from top to bottom")]
    fn step(&mut self, step: Table) -> Result<Vec<String>, String> {
        match Verb::deserialize(Value::Table(step)).map_err(|e| e.to_string())? {
            Verb::Saw(seen) => {
                let likeness = like(&seen.class, seen.tenant.as_deref(), seen.subject.as_deref());
                for took in seen.took.iter().cycle().take(seen.jobs) {
                    let outcome = if seen.cut == Some(*took) { Outcome::Censored } else { Outcome::Done };
                    self.next += 1;
                    // Each at a worker of its own, so that none is taken for a slow one.
                    let (attempt, placement) = (AttemptId(self.next), at(seen.kind, self.next));
                    self.both[seen.by].on_started(self.now, attempt, &likeness, placement);
                    self.now += took * MS;
                    self.both[seen.by].on_ended(self.now, attempt, outcome);
                }
                self.pass(1_000);
            }
            Verb::Estimate(asked) => {
                let likeness = like(&asked.class, asked.tenant.as_deref(), asked.subject.as_deref());
                let by = &self.both[asked.by];
                return Ok(words(asked.kind.map_or_else(
                    || by.estimate_work(&likeness),
                    |kind| by.estimate(&likeness, WorkerKind(kind), None),
                )));
            }
            Verb::Start { job, class, kind } => {
                self.both[0].on_started(self.now, numbered(job), &like(&class, None, None), at(kind, 1));
            }
            Verb::Progress { job, share } => self.both[0].on_progress(self.now, numbered(job), share),
            Verb::Pass(span) => self.pass(span),
            Verb::Remaining(job) => {
                let left = self.both[0].remaining(self.now, numbered(job));
                return Ok(left.map_or(vec!["no such job".to_owned()], words));
            }
            Verb::Tell { from, to, times } => {
                let idle = |told: &Vec<_>, before| told.len() == before;
                let mut rounds = 0;
                while rounds < 3 {
                    let before = self.told[from].len();
                    while let Some((_, bytes)) = self.both[from].publish(self.now) {
                        let number = self.told[from].len() as u64 + 1;
                        self.told[from].push((number, bytes));
                    }
                    rounds += u64::from(idle(&self.told[from], before));
                    self.pass(5_000);
                }
                let origin = Origin { place: from as u16, epoch: EPOCH };
                for (number, bytes) in std::iter::repeat_n(&self.told[from], times).flatten().rev() {
                    let done = self.both[to].absorb(self.now, origin, *number, bytes);
                    done.map_err(|e| e.to_string())?;
                }
                self.pass(60_000);
            }
            Verb::Forge(bytes) => {
                let origin = Origin { place: 1, epoch: EPOCH };
                let done = self.both[0].absorb(self.now, origin, 1, &bytes);
                return Ok(vec![if done.is_ok() { "taken" } else { "refused" }.to_owned()]);
            }
            Verb::Reserve { free, need, held } => {
                let mut held: Vec<OccupiedSlots> = held
                    .into_iter()
                    .map(|(ends, slots)| OccupiedSlots { ends_at: ends * MS, slots })
                    .collect();
                let room = backfill::reserve(self.now, free, need, &mut held);
                let words = |r: Reservation| vec![format!("at {}", r.at / MS), format!("spare {}", r.spare)];
                return Ok(room.map_or(vec!["never".to_owned()], words));
            }
            Verb::MayGo { slots, long, at, spare } => {
                let reserved = Reservation { at: at * MS, spare };
                let may = backfill::may_start_before(self.now, slots, long * MS, &reserved);
                return Ok(vec![if may { "may go" } else { "must wait" }.to_owned()]);
            }
        }
        Ok(Vec::new())
    }

    fn contrary(word: &str) -> String {
        let pairs =
            [("may go", "must wait"), ("taken", "refused"), ("never", "at 0"), ("no such job", "typical 1")];
        let other =
            pairs.iter().find_map(|(a, b)| (word == *a).then_some(*b).or_else(|| (word == *b).then_some(*a)));
        other.map_or_else(|| beyond(word), str::to_owned)
    }
}

impl Estimates {
    fn pass(&mut self, span: u64) {
        self.now += span * MS;
        self.both.iter_mut().for_each(|one| one.advance(self.now));
    }
}
