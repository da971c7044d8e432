//! What a dispatcher learns from its jobs and shares with the others: how long jobs run, and how much tenants have used. It
//! supplies inputs to the decision module, and decides nothing itself.

use super::{FairShareSettings, FleetSettings, OutgoingFact, ProcessIdentity};
use crate::policy::interface::{ClassId, Estimate, MICROS_PER_MS, Micros};
use mothproxy_fairshare::{Ledger, TenantKey, Usage};
use mothproxy_membership::{Change, OwnedFact, State};
use mothproxy_runtimes::{AttemptId, Config, JobFeatures, Origin, Outcome, Placement, RuntimeEstimator};
use mothproxy_runtimes::{WorkerKey, WorkerKind, stable_hash};

/// Facts to publish are collected this often.
const PUBLISH_INTERVAL: Micros = 250_000;
/// Facts that one learner publishes in one go at most.
const MAX_FACTS_PER_ROUND: usize = 16;
/// The ledger counts use in thousandths of a job's weight.
const MILLIPOINTS_PER_WEIGHT: f64 = 1_000.0;

/// What was counted of each learner that is on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LearnersMetrics {
    /// Run times of jobs.
    pub runtimes: Option<LearnerMetrics>,
    /// Use by tenants.
    pub shares: Option<LearnerMetrics>,
}

/// What was counted of one learner.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LearnerMetrics {
    /// Attempts whose end was seen; or tenants that are held.
    pub seen: u64,
    /// Facts published.
    pub published: u64,
    /// Facts of others that changed what is held.
    pub absorbed: u64,
    /// Facts that could not be absorbed.
    pub refused: u64,
}

/// How far an attempt that has ended had come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// It ran to completion.
    Completed,
    /// It ended before, or did not run: its run time is at least as long as it was seen.
    CutShort,
}

/// The labels of a job by which its run time is learned.
#[derive(Clone, Copy, Debug)]
pub struct JobLabels<'a> {
    /// The name of its class.
    pub class: &'a str,
    /// The name of its tenant.
    pub tenant: Option<&'a str>,
    /// Its subject: a number that is the same at every dispatcher.
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

/// The learners, those that are on.
#[derive(Default)]
pub struct Learners {
    runtimes: Option<RuntimeEstimator>,
    shares: Option<Ledger>,
    share_settings: Option<FairShareSettings>,
}

impl Learners {
    /// The learners that the settings name; `identity` signs what they publish.
    pub fn new(settings: &FleetSettings, identity: ProcessIdentity, now: Micros) -> Learners {
        let place = place_of(identity);
        let runtimes = settings.runtimes.as_ref().and_then(|settings| {
            let config =
                Config { long_quantile: settings.long_quantile, ..Config::new(place, identity.epoch) };
            let runtimes = RuntimeEstimator::new(config, now);
            mothproxy_invariant::invariant!(runtimes.is_ok(), "settings that were checked");
            runtimes.ok()
        });
        let mut learners = Learners { runtimes, shares: None, share_settings: settings.fair_share.clone() };
        learners.restart(identity, now);
        learners
    }

    /// Publishes under another epoch from now on. Reports of use are distinguished by their epoch, so the ledger starts empty:
    /// what was published before comes back from the others, and is not counted twice. Estimates of run times name their run
    /// themselves and stay.
    pub fn restart(&mut self, identity: ProcessIdentity, now: Micros) {
        let place = place_of(identity);
        self.shares = self.share_settings.as_ref().and_then(|settings| {
            let unix_at_zero = (identity.epoch * MICROS_PER_MS).saturating_sub(now);
            let config = settings.config(place, identity.peers, identity.epoch, unix_at_zero);
            let ledger = Ledger::new(config, &settings.shares, now);
            mothproxy_invariant::invariant!(ledger.is_ok(), "shares that were checked");
            ledger.ok()
        });
    }

    /// Whether any learner is on.
    pub fn is_enabled(&self) -> bool {
        self.runtimes.is_some() || self.shares.is_some()
    }

    /// The weight of one more job of this tenant and class, as a fraction of `class_weight`, which it has within the tenant's
    /// quota; `None` where no shares are kept.
    pub fn tenant_weight(
        &mut self,
        now: Micros,
        tenant: Option<&str>,
        class: ClassId,
        class_weight: f64,
    ) -> Option<f64> {
        // In millipoints, since the ledger measures use by value and not by work: the default of its `Config::measure`.
        let value = self.shares.as_mut()?.job_value(
            TenantKey::from_name(tenant?),
            ledger_class(class),
            millipoints(class_weight),
            now,
        );
        Some(value.fraction)
    }

    /// A job of this weight was served, `latency` after it arrived.
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
            // What has no room is counted there.
            let _ = shares.record(now, now, TenantKey::from_name(tenant), ledger_class(class), used);
        }
    }

    /// The belief about a member has changed: one that has left reports no more.
    pub fn on_member_changed(&mut self, now: Micros, change: Change) {
        if let Some(shares) = self.shares.as_mut().filter(|_| change.to == State::Left) {
            shares.on_member_left(
                now,
                mothproxy_fairshare::Origin { place: change.place, epoch: change.epoch },
            );
        }
    }

    /// How long such a job will run, where that is learned.
    pub fn estimate(&self, job: &JobLabels<'_>) -> Option<Estimate> {
        let work = self.runtimes.as_ref()?.estimate_work(&job.features());
        Some(Estimate { typical: work.typical, long: work.long.max(work.typical) })
    }

    /// An attempt has begun to run, at a worker of this name and kind.
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

    /// An attempt has reported that this fraction of it is done.
    pub fn on_progress(&mut self, now: Micros, attempt: AttemptId, fraction: f64) {
        if let Some(runtimes) = &mut self.runtimes {
            runtimes.on_progress(now, attempt, fraction);
        }
    }

    /// An attempt has ended. One that never began to run teaches nothing.
    pub fn on_ended(&mut self, now: Micros, attempt: AttemptId, end: RunEnd) {
        if let Some(runtimes) = &mut self.runtimes {
            let outcome = match end {
                RunEnd::Completed => Outcome::Done,
                RunEnd::CutShort => Outcome::Censored,
            };
            runtimes.on_ended(now, attempt, outcome);
        }
    }

    /// The facts to publish now.
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

    /// Takes in what another member has published, or this place at an earlier start.
    pub fn absorb(&mut self, now: Micros, fact: &OwnedFact) {
        if fact.kind == mothproxy_runtimes::KIND
            && let Some(runtimes) = &mut self.runtimes
        {
            let origin = Origin { place: fact.place, epoch: fact.epoch };
            // What cannot be read is counted there.
            let _ = runtimes.absorb(now, origin, fact.number, &fact.bytes);
        }
        if fact.kind == mothproxy_fairshare::KIND
            && let Some(shares) = &mut self.shares
        {
            let origin = mothproxy_fairshare::Origin { place: fact.place, epoch: fact.epoch };
            let _ = shares.absorb(now, origin, fact.slot, fact.number, &fact.bytes);
        }
    }

    /// When [`Learners::publish`] is due next, if a learner is on.
    pub fn next_publish(&self, now: Micros) -> Option<Micros> {
        self.is_enabled().then_some(now + PUBLISH_INTERVAL)
    }

    /// What was counted of each learner that is on.
    pub fn metrics(&self) -> LearnersMetrics {
        let runtimes = self.runtimes.as_ref().map(|runtimes| {
            let counts = runtimes.metrics();
            LearnerMetrics {
                seen: counts.seen,
                published: counts.published,
                absorbed: counts.absorbed,
                refused: counts.refused,
            }
        });
        let shares = self.shares.as_ref().map(|shares| {
            let counts = shares.metrics();
            LearnerMetrics {
                seen: counts.tenants,
                published: counts.published,
                absorbed: counts.absorbed - counts.stale,
                refused: counts.late + counts.future + counts.malformed + counts.foreign + counts.full,
            }
        });
        LearnersMetrics { runtimes, shares }
    }
}

/// The place in the form that facts carry.
fn place_of(identity: ProcessIdentity) -> u16 {
    u16::try_from(identity.place).unwrap_or(u16::MAX)
}

/// The class in the form that the ledger keeps.
fn ledger_class(class: ClassId) -> u8 {
    u8::try_from(class.0).unwrap_or(u8::MAX)
}

/// A weight in the unit that the ledger keeps.
fn millipoints(weight: f64) -> u64 {
    (weight * MILLIPOINTS_PER_WEIGHT).max(0.0) as u64
}

/// Takes facts of one learner until it has no more, or a round is full.
fn round_of_facts(
    kind: u8,
    next: impl FnMut() -> Option<(u32, Vec<u8>)>,
) -> impl Iterator<Item = OutgoingFact> {
    let to_fact = move |(slot, bytes)| OutgoingFact { kind, slot, bytes };
    std::iter::from_fn(next).take(MAX_FACTS_PER_ROUND).map(to_fact)
}
