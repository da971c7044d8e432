//! Runs conformance tables on the run time estimators of dispatchers 0 and 1, which observe jobs and exchange facts, and on
//! [`backfill`].
//!
//! Observations:
//!
//! - of an estimate: `typical` and `long`, in milliseconds;
//! - of a reservation: `at` in milliseconds and `spare` in slots, or `never`;
//! - of a job to backfill: `may go` or `must wait`.

use crate::runner::{Machine, MachineError};
use crate::table::out_of_range;
use mothproxy_runtimes::backfill::{self, OccupiedSlots, Reservation};
use mothproxy_runtimes::{
    AttemptId, Config, Estimate, JobFeatures, Origin, Outcome, Placement, RuntimeEstimator, WorkerKey,
    WorkerKind, stable_hash,
};
use serde::Deserialize;

/// Microseconds in a millisecond.
const MS: u64 = 1_000;
/// The epoch of both dispatchers.
const EPOCH: u64 = 1_700_000_000_000;
/// The attempt id of job 0 of a row; above the ids of the jobs of [`RuntimesStep::Observe`].
const FIRST_NUMBERED_JOB: u64 = 1_000_000;

/// The initial state of a row: both estimators start empty, so there is nothing to set.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Given {}

/// Jobs with these features that a dispatcher observes one after another.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ObservedJobs {
    /// The dispatcher that observes them.
    #[serde(default)]
    by: usize,
    class: String,
    tenant: Option<String>,
    subject: Option<String>,
    #[serde(default)]
    kind: u32,
    /// The run times of the jobs; repeated in order if there are fewer than jobs.
    #[serde(rename = "took")]
    run_times: Vec<u64>,
    jobs: usize,
    /// Jobs with this run time are cancelled after it rather than completed.
    #[serde(rename = "cut")]
    cancelled_after: Option<u64>,
}

/// The job and the kind of worker that an estimate is for.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EstimateQuery {
    #[serde(default)]
    by: usize,
    class: String,
    tenant: Option<String>,
    subject: Option<String>,
    /// The kind of worker; if absent, the estimate is of the work.
    kind: Option<u32>,
}

/// Slots that a running job holds until it ends.
#[derive(Deserialize)]
pub struct HeldSlots(u64, f64);

impl From<HeldSlots> for OccupiedSlots {
    fn from(HeldSlots(ends_at, slots): HeldSlots) -> OccupiedSlots {
        OccupiedSlots { ends_at: ends_at * MS, slots }
    }
}

/// An input to the dispatchers, or a query of their state. Times are in milliseconds.
#[derive(Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum RuntimesStep {
    #[serde(rename = "saw")]
    Observe(ObservedJobs),
    Estimate(EstimateQuery),
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
    #[serde(rename = "pass")]
    Advance(u64),
    /// The remaining run time of a running job.
    Remaining(u64),
    /// Delivers all facts that one dispatcher publishes to the other, the given number of times.
    #[serde(rename = "tell")]
    DeliverFacts {
        from: usize,
        to: usize,
        times: usize,
    },
    /// Delivers a fact with these bytes, which no dispatcher has published.
    Forge(Vec<u8>),
    /// The earliest time at which the slots needed are free; `held` is the end and the slots of each running job.
    Reserve {
        free: f64,
        need: f64,
        held: Vec<HeldSlots>,
    },
    /// Whether a job may start before a reservation.
    #[serde(rename = "may_go")]
    MayStart {
        slots: f64,
        long: u64,
        at: u64,
        spare: f64,
    },
}

/// The estimators of two dispatchers.
pub struct RuntimesMachine {
    estimators: [RuntimeEstimator; 2],
    /// The facts that each has published; the number of a fact is its index plus 1.
    published: [Vec<Vec<u8>>; 2],
    now: u64,
    observed_jobs: u64,
}

fn features(class: &str, tenant: Option<&str>, subject: Option<&str>) -> JobFeatures {
    let hash = |name: &str| stable_hash(name.as_bytes());
    JobFeatures {
        tenant: tenant.map(hash),
        subject: subject.map(hash),
        ..JobFeatures::from_class(hash(class))
    }
}

fn placement(kind: u32, worker: u64) -> Placement {
    Placement { kind: WorkerKind(kind), worker: WorkerKey(worker) }
}

/// The attempt of the job with this number in a row.
fn numbered_attempt(job: u64) -> AttemptId {
    AttemptId(FIRST_NUMBERED_JOB + job)
}

fn estimate_observations(estimate: Estimate) -> Vec<String> {
    let Estimate { typical, long } = estimate;
    vec![format!("typical {}", typical / MS), format!("long {}", long / MS)]
}

impl Machine for RuntimesMachine {
    const SEEDS: u64 = 1; // nothing is random

    type Given = Given;
    type Step = RuntimesStep;

    fn new(_: Given, _: u64) -> Result<RuntimesMachine, MachineError> {
        let new = |place| RuntimeEstimator::new(Config::new(place, EPOCH), 0).map_err(MachineError::rejected);
        let estimators = [new(0)?, new(1)?];
        Ok(RuntimesMachine { estimators, published: Default::default(), now: 0, observed_jobs: 0 })
    }

    fn step(&mut self, step: RuntimesStep) -> Result<Vec<String>, MachineError> {
        match step {
            RuntimesStep::Observe(jobs) => self.observe_jobs(&jobs),
            RuntimesStep::Start { job, class, kind } => {
                let features = features(&class, None, None);
                let attempt = numbered_attempt(job);
                self.estimators[0].on_started(self.now, attempt, &features, placement(kind, 1));
            }
            RuntimesStep::Progress { job, share } => {
                self.estimators[0].on_progress(self.now, numbered_attempt(job), share);
            }
            RuntimesStep::Advance(span) => self.advance(span),
            RuntimesStep::DeliverFacts { from, to, times } => self.exchange_facts(from, to, times)?,
            RuntimesStep::Estimate(query) => return Ok(self.estimate(&query)),
            RuntimesStep::Remaining(job) => return Ok(self.remaining(job)),
            RuntimesStep::Forge(bytes) => return Ok(vec![self.absorb_forged(&bytes).to_owned()]),
            RuntimesStep::Reserve { free, need, held } => return Ok(self.reserve(free, need, held)),
            RuntimesStep::MayStart { slots, long, at, spare } => {
                let reserved = Reservation { at: at * MS, spare };
                let may_start = backfill::may_start_before(self.now, slots, long * MS, &reserved);
                return Ok(vec![if may_start { "may go" } else { "must wait" }.to_owned()]);
            }
        }
        Ok(Vec::new())
    }

    fn inverse(observation: &str) -> String {
        match observation {
            "may go" => "must wait".to_owned(),
            "must wait" => "may go".to_owned(),
            "taken" => "refused".to_owned(),
            "refused" => "taken".to_owned(),
            "never" => "at 0".to_owned(),
            "at 0" => "never".to_owned(),
            "no such job" => "typical 1".to_owned(),
            "typical 1" => "no such job".to_owned(),
            _ => out_of_range(observation),
        }
    }
}

impl RuntimesMachine {
    /// Advances the time by a number of milliseconds.
    fn advance(&mut self, span: u64) {
        self.now += span * MS;
        for estimator in &mut self.estimators {
            estimator.advance(self.now);
        }
    }

    fn observe_jobs(&mut self, observed: &ObservedJobs) {
        let features = features(&observed.class, observed.tenant.as_deref(), observed.subject.as_deref());
        for run_time in observed.run_times.iter().cycle().take(observed.jobs) {
            let outcome =
                if observed.cancelled_after == Some(*run_time) { Outcome::Censored } else { Outcome::Done };
            self.observed_jobs += 1;
            // Each job runs on its own worker, so that no worker counts as slow.
            let attempt = AttemptId(self.observed_jobs);
            let placement = placement(observed.kind, self.observed_jobs);
            self.estimators[observed.by].on_started(self.now, attempt, &features, placement);
            self.now += run_time * MS;
            self.estimators[observed.by].on_ended(self.now, attempt, outcome);
        }
        self.advance(1_000);
    }

    fn estimate(&self, query: &EstimateQuery) -> Vec<String> {
        let features = features(&query.class, query.tenant.as_deref(), query.subject.as_deref());
        let estimator = &self.estimators[query.by];
        let estimate = match query.kind {
            Some(kind) => estimator.estimate(&features, WorkerKind(kind), None),
            None => estimator.estimate_work(&features),
        };
        estimate_observations(estimate)
    }

    fn remaining(&self, job: u64) -> Vec<String> {
        let remaining = self.estimators[0].remaining(self.now, numbered_attempt(job));
        remaining.map_or_else(|| vec!["no such job".to_owned()], estimate_observations)
    }

    /// Lets a dispatcher publish until it has had nothing to publish in three rounds.
    fn publish_all(&mut self, from: usize) {
        let mut idle_rounds = 0;
        while idle_rounds < 3 {
            let before = self.published[from].len();
            while let Some((_, fact)) = self.estimators[from].publish(self.now) {
                self.published[from].push(fact);
            }
            if self.published[from].len() == before {
                idle_rounds += 1;
            }
            self.advance(5_000);
        }
    }

    /// One dispatcher absorbs all facts that the other has published, the newest first.
    fn exchange_facts(&mut self, from: usize, to: usize, times: usize) -> Result<(), MachineError> {
        self.publish_all(from);
        let origin = Origin { place: from as u16, epoch: EPOCH };
        for _ in 0..times {
            for (index, fact) in self.published[from].iter().enumerate().rev() {
                let number = index as u64 + 1;
                let absorbed = self.estimators[to].absorb(self.now, origin, number, fact);
                absorbed.map_err(MachineError::rejected)?;
            }
        }
        self.advance(60_000);
        Ok(())
    }

    fn absorb_forged(&mut self, bytes: &[u8]) -> &'static str {
        let origin = Origin { place: 1, epoch: EPOCH };
        let absorbed = self.estimators[0].absorb(self.now, origin, 1, bytes);
        if absorbed.is_ok() { "taken" } else { "refused" }
    }

    fn reserve(&self, free: f64, need: f64, held: Vec<HeldSlots>) -> Vec<String> {
        let mut occupied: Vec<OccupiedSlots> = held.into_iter().map(OccupiedSlots::from).collect();
        match backfill::reserve(self.now, free, need, &mut occupied) {
            Some(Reservation { at, spare }) => vec![format!("at {}", at / MS), format!("spare {spare}")],
            None => vec!["never".to_owned()],
        }
    }
}
