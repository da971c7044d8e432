//! Learning from jobs, shared among the dispatchers: the run times of jobs and the usage of tenants. The learners supply inputs
//! to the decision module and decide nothing themselves.

use super::{FairShareSettings, FleetSettings, OutgoingFact, ProcessIdentity, RuntimesSettings};
use crate::policy::interface::{ClassId, Estimate, MICROS_PER_MS, Micros};
use mothproxy_fairshare::{Ledger, TenantKey, Usage};
use mothproxy_membership::{Change, OwnedFact, State};
use mothproxy_runtimes::{AttemptId, Config, JobFeatures, Origin, Outcome, Placement, RuntimeEstimator};
use mothproxy_runtimes::{WorkerKey, WorkerKind, stable_hash};

/// The interval between rounds of publishing, in microseconds.
const PUBLISH_INTERVAL: Micros = 250_000;
/// The maximum number of facts that one learner publishes in one round.
const MAX_FACTS_PER_ROUND: usize = 16;
/// The ledger's units of usage per unit of a job's weight.
const MILLIPOINTS_PER_WEIGHT: f64 = 1_000.0;

/// The metrics of each learner; `None` for a learner that is off.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LearnersMetrics {
    /// The learner of the run times of jobs.
    pub runtimes: Option<LearnerMetrics>,
    /// The learner of the usage of tenants.
    pub shares: Option<LearnerMetrics>,
}

/// The metrics of one learner.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LearnerMetrics {
    /// For run times, the number of attempts that have ended; for shares, the number of tenants in the ledger.
    pub seen: u64,
    /// The number of published facts.
    pub published: u64,
    /// The number of facts of other members that changed the learner's state.
    pub absorbed: u64,
    /// The number of facts of other members that the learner refused.
    pub refused: u64,
}

/// Whether an attempt ran to completion.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// The attempt ran to completion.
    Completed,
    /// The attempt ended earlier or did not run. The observed time is a lower bound of the job's run time.
    CutShort,
}

/// The labels of a job that its run time is estimated from.
#[derive(Clone, Copy, Debug)]
pub struct JobLabels<'a> {
    /// The name of the job's class.
    pub class: &'a str,
    /// The name of the job's tenant; `None` if it has none.
    pub tenant: Option<&'a str>,
    /// The number of the job's subject, which is the same at every dispatcher; `None` if it has none.
    pub subject: Option<u64>,
}

impl JobLabels<'_> {
    fn features(&self) -> JobFeatures {
        let hash = |name: &str| stable_hash(name.as_bytes());
        JobFeatures {
            tenant: self.tenant.map(hash),
            subject: self.subject,
            ..JobFeatures::from_class(hash(self.class))
        }
    }
}

/// The enabled learners.
#[derive(Default)]
pub struct Learners {
    runtimes: Option<RuntimeEstimator>,
    shares: Option<Ledger>,
    share_settings: Option<FairShareSettings>,
}

impl Learners {
    /// Creates the learners that the settings enable. Facts are published under the place and the epoch of `identity`.
    pub fn new(settings: &FleetSettings, identity: ProcessIdentity, now: Micros) -> Learners {
        let mut learners = Learners {
            runtimes: settings.runtimes.as_ref().and_then(|runtimes| new_estimator(runtimes, identity, now)),
            shares: None,
            share_settings: settings.fair_share.clone(),
        };
        learners.restart(identity, now);
        learners
    }

    /// Publishes under another epoch from now on. The ledger starts empty, because reports of usage are distinguished by epoch:
    /// other members send back the facts of the earlier epoch, which must not count twice. Estimates of run times are kept,
    /// because their facts identify the run that they come from.
    pub fn restart(&mut self, identity: ProcessIdentity, now: Micros) {
        self.shares = self.share_settings.as_ref().and_then(|settings| new_ledger(settings, identity, now));
    }

    /// Whether any learner is on.
    pub fn is_enabled(&self) -> bool {
        self.runtimes.is_some() || self.shares.is_some()
    }

    /// The weight of one more job of this tenant and class, as a fraction of `class_weight`, which is the weight of a job within
    /// the tenant's quota. `None` if there is no tenant or the learner of shares is off.
    pub fn tenant_weight(
        &mut self,
        now: Micros,
        tenant: Option<&str>,
        class: ClassId,
        class_weight: f64,
    ) -> Option<f64> {
        // In millipoints, because the ledger measures usage by value and not by work: the default of its `Config::measure`.
        let value = self.shares.as_mut()?.job_value(
            TenantKey::from_name(tenant?),
            ledger_class(class),
            millipoints(class_weight),
            now,
        );
        Some(value.fraction)
    }

    /// Handles the completion of a job of this weight, `latency` after it arrived.
    pub fn on_served(
        &mut self,
        now: Micros,
        tenant: Option<&str>,
        class: ClassId,
        class_weight: f64,
        latency: Micros,
    ) {
        if let Some((shares, tenant)) = self.shares.as_mut().zip(tenant) {
            let used = Usage { value: millipoints(class_weight), work: latency / MICROS_PER_MS };
            // A failure needs no handling: the ledger counts the usage that it has no room for.
            let _ = shares.record(now, now, TenantKey::from_name(tenant), ledger_class(class), used);
        }
    }

    /// Handles a change of a member's state. A member that has left publishes no more facts.
    pub fn on_member_changed(&mut self, now: Micros, change: Change) {
        if let Some(shares) = self.shares.as_mut().filter(|_| change.to == State::Left) {
            shares.on_member_left(
                now,
                mothproxy_fairshare::Origin { place: change.place, epoch: change.epoch },
            );
        }
    }

    /// An estimate of how long a job with these labels will run; `None` if the learner of run times is off.
    pub fn estimate(&self, job: &JobLabels<'_>) -> Option<Estimate> {
        let work = self.runtimes.as_ref()?.estimate_work(&job.features());
        Some(Estimate { typical: work.typical, long: work.long.max(work.typical) })
    }

    /// Handles the start of an attempt at the worker with this name and kind.
    pub fn on_started(
        &mut self,
        now: Micros,
        attempt: AttemptId,
        job: &JobLabels<'_>,
        worker: &str,
        kind: &str,
    ) {
        if let Some(runtimes) = &mut self.runtimes {
            let placement =
                Placement { kind: WorkerKind::from_name(kind), worker: WorkerKey::from_name(worker) };
            runtimes.on_started(now, attempt, &job.features(), placement);
        }
    }

    /// Handles the progress of an attempt, as the fraction done.
    pub fn on_progress(&mut self, now: Micros, attempt: AttemptId, fraction: f64) {
        if let Some(runtimes) = &mut self.runtimes {
            runtimes.on_progress(now, attempt, fraction);
        }
    }

    /// Handles the end of an attempt. Nothing is learned from an attempt that never started.
    pub fn on_ended(&mut self, now: Micros, attempt: AttemptId, end: RunEnd) {
        if let Some(runtimes) = &mut self.runtimes {
            let outcome = match end {
                RunEnd::Completed => Outcome::Done,
                RunEnd::CutShort => Outcome::Censored,
            };
            runtimes.on_ended(now, attempt, outcome);
        }
    }

    /// Returns the facts to publish now.
    pub fn publish(&mut self, now: Micros) -> Vec<OutgoingFact> {
        let mut facts = Vec::new();
        if let Some(runtimes) = &mut self.runtimes {
            let next = || runtimes.publish(now);
            facts.extend(round_of_facts(mothproxy_runtimes::KIND, next));
        }
        if let Some(shares) = &mut self.shares {
            let next = || shares.publish(now);
            facts.extend(round_of_facts(mothproxy_fairshare::KIND, next));
        }
        facts
    }

    /// Absorbs a fact that another member or an earlier process at this place has published.
    pub fn absorb(&mut self, now: Micros, fact: &OwnedFact) {
        if fact.kind == mothproxy_runtimes::KIND
            && let Some(runtimes) = &mut self.runtimes
        {
            let origin = Origin { place: fact.place, epoch: fact.epoch };
            // The estimator counts the facts that it refuses.
            let _ = runtimes.absorb(now, origin, fact.number, &fact.bytes);
        }
        if fact.kind == mothproxy_fairshare::KIND
            && let Some(shares) = &mut self.shares
        {
            let origin = mothproxy_fairshare::Origin { place: fact.place, epoch: fact.epoch };
            let _ = shares.absorb(now, origin, fact.slot, fact.number, &fact.bytes);
        }
    }

    /// When [`Learners::publish`] is due next; `None` if no learner is on.
    pub fn next_publish(&self, now: Micros) -> Option<Micros> {
        self.is_enabled().then_some(now + PUBLISH_INTERVAL)
    }

    /// The metrics of each enabled learner.
    pub fn metrics(&self) -> LearnersMetrics {
        LearnersMetrics {
            runtimes: self.runtimes.as_ref().map(estimator_metrics),
            shares: self.shares.as_ref().map(ledger_metrics),
        }
    }
}

fn new_estimator(
    settings: &RuntimesSettings,
    identity: ProcessIdentity,
    now: Micros,
) -> Option<RuntimeEstimator> {
    let default = Config::new(place_of(identity), identity.epoch);
    let estimator = RuntimeEstimator::new(Config { long_quantile: settings.long_quantile, ..default }, now);
    mothproxy_invariant::invariant!(
        estimator.is_ok(),
        "the estimator of run times refused settings that were checked"
    );
    estimator.ok()
}

fn new_ledger(settings: &FairShareSettings, identity: ProcessIdentity, now: Micros) -> Option<Ledger> {
    let unix_at_zero = (identity.epoch * MICROS_PER_MS).saturating_sub(now);
    let config = settings.config(place_of(identity), identity.peers, identity.epoch, unix_at_zero);
    let ledger = Ledger::new(config, &settings.shares, now);
    mothproxy_invariant::invariant!(ledger.is_ok(), "the ledger refused shares that were checked");
    ledger.ok()
}

fn estimator_metrics(estimator: &RuntimeEstimator) -> LearnerMetrics {
    let counts = estimator.metrics();
    LearnerMetrics {
        seen: counts.seen,
        published: counts.published,
        absorbed: counts.absorbed,
        refused: counts.refused,
    }
}

fn ledger_metrics(ledger: &Ledger) -> LearnerMetrics {
    let counts = ledger.metrics();
    LearnerMetrics {
        seen: counts.tenants,
        published: counts.published,
        absorbed: counts.absorbed - counts.stale,
        refused: counts.late + counts.future + counts.malformed + counts.foreign + counts.full,
    }
}

/// The place of a process in the type that facts use.
fn place_of(identity: ProcessIdentity) -> u16 {
    u16::try_from(identity.place).unwrap_or(u16::MAX)
}

/// The class in the type that the ledger uses.
fn ledger_class(class: ClassId) -> u8 {
    u8::try_from(class.0).unwrap_or(u8::MAX)
}

/// The weight in the ledger's unit.
fn millipoints(weight: f64) -> u64 {
    (weight * MILLIPOINTS_PER_WEIGHT).max(0.0) as u64
}

/// Takes the facts of one learner until it has no more or the round is full.
fn round_of_facts(
    kind: u8,
    next: impl FnMut() -> Option<(u32, Vec<u8>)>,
) -> impl Iterator<Item = OutgoingFact> {
    let to_fact = move |(slot, bytes)| OutgoingFact { kind, slot, bytes };
    std::iter::from_fn(next).take(MAX_FACTS_PER_ROUND).map(to_fact)
}
