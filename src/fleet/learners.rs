//! What a dispatcher learns of its jobs and shares with the others: how long they run, and what tenants have used. Inputs
//! to the decision module come from here; it decides.

use super::{Birth, FairShareSettings, FleetSettings};
use crate::policy::interface::{Estimate, Micros};
use mothproxy_fairshare::{Ledger, TenantKey, Usage};
use mothproxy_membership::{Change, OwnedFact, State};
use mothproxy_runtimes::{Config, JobFeatures, Origin, Outcome, RuntimeEstimator, stable_hash};

/// Facts are looked for this often.
const LOOK: Micros = 250_000;
/// Facts told in one go at most.
const FACTS: usize = 16;

/// What was counted, of the parts that are on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LearnersFigures {
    /// How long jobs run.
    pub runtimes: Option<LearnerFigures>,
    /// What tenants have used.
    pub shares: Option<LearnerFigures>,
}

/// What was counted of one part.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LearnerFigures {
    /// Attempts whose end was seen; or tenants that are held.
    pub seen: u64,
    /// Facts told.
    pub told: u64,
    /// Facts of others that changed what is held.
    pub taken: u64,
    /// Facts that could not be taken in.
    pub refused: u64,
}

/// What a job is called by those that tell of it.
#[derive(Clone, Copy, Debug)]
pub struct Traits<'a> {
    /// The name of its class.
    pub class: &'a str,
    /// The name of its tenant.
    pub tenant: Option<&'a str>,
    /// Its subject: a number that is the same at every dispatcher.
    pub subject: Option<u64>,
}

impl Traits<'_> {
    fn likeness(&self) -> JobFeatures {
        let name = |name: &str| stable_hash(name.as_bytes());
        JobFeatures {
            tenant: self.tenant.map(name),
            subject: self.subject,
            ..JobFeatures::from_class(name(self.class))
        }
    }
}

/// The parts that learn, those that are on.
#[derive(Default)]
pub struct Learners {
    runtimes: Option<RuntimeEstimator>,
    shares: Option<Ledger>,
    share_set: Option<FairShareSettings>,
}

/// A point, in the units in which use is told.
const POINT: f64 = 1_000.0;

impl Learners {
    /// The parts that the settings name. What they teach is told under the epoch of `birth`.
    pub fn new(settings: &FleetSettings, birth: Birth, now: Micros) -> Learners {
        let place = u16::try_from(birth.me).unwrap_or(u16::MAX);
        let runtimes = settings.runtimes.as_ref().and_then(|set| {
            let config = Config { long_quantile: set.long, ..Config::new(place, birth.epoch) };
            let made = RuntimeEstimator::new(config, now);
            crate::invariant!(made.is_ok(), "settings that were checked");
            made.ok()
        });
        let mut learners = Learners { runtimes, shares: None, share_set: settings.fair_share.clone() };
        learners.begin_anew(birth, now);
        learners
    }

    /// What is told from now on is told under another epoch. Reports of use are told apart by it, so they begin anew too: what
    /// was told before comes back from the others, and is not told twice. Estimates name their run themselves.
    pub fn begin_anew(&mut self, birth: Birth, now: Micros) {
        let place = u16::try_from(birth.me).unwrap_or(u16::MAX);
        self.shares = self.share_set.as_ref().and_then(|set| {
            let wall = (birth.epoch * 1_000).saturating_sub(now);
            let made = Ledger::new(set.config(place, birth.peers, birth.epoch, wall), &set.shares, now);
            crate::invariant!(made.is_ok(), "shares that were checked");
            made.ok()
        });
    }

    /// Whether any part is on.
    pub fn on(&self) -> bool {
        self.runtimes.is_some() || self.shares.is_some()
    }

    /// What one more job of this tenant and class, of so many points, is worth as a part of them, where shares are kept.
    pub fn worth(&mut self, now: Micros, tenant: Option<&str>, class: u16, points: f64) -> Option<f64> {
        let class = u8::try_from(class).unwrap_or(u8::MAX);
        let amount = (points * POINT).max(0.0) as u64; // the measure is worth: see `Config::new` of the crate
        let worth = self.shares.as_mut()?.job_value(TenantKey::from_name(tenant?), class, amount, now);
        Some(worth.fraction)
    }

    /// A job was served: it was worth so many points, and took so long.
    pub fn served(&mut self, now: Micros, tenant: Option<&str>, class: u16, points: f64, took: Micros) {
        if let Some((shares, tenant)) = self.shares.as_mut().zip(tenant) {
            let used = Usage { value: (points * POINT).max(0.0) as u64, work: took / 1_000 };
            let class = u8::try_from(class).unwrap_or(u8::MAX);
            // What has no room is counted there.
            let _ = shares.record(now, now, TenantKey::from_name(tenant), class, used);
        }
    }

    /// What is believed of a member has changed: one that is gone reports no more.
    pub fn changed(&mut self, now: Micros, change: Change) {
        if let Some(shares) = self.shares.as_mut().filter(|_| change.to == State::Left) {
            shares.on_member_left(
                now,
                mothproxy_fairshare::Origin { place: change.place, epoch: change.epoch },
            );
        }
    }

    /// The work of such a job, where that is learned.
    pub fn estimate(&self, job: &Traits<'_>) -> Option<Estimate> {
        let work = self.runtimes.as_ref()?.estimate_work(&job.likeness());
        Some(Estimate { typical: work.typical, long: work.long.max(work.typical) })
    }

    /// An attempt has begun to run, at a worker of this name and kind.
    pub fn started(&mut self, now: Micros, attempt: u64, job: &Traits<'_>, worker: &str, kind: &str) {
        if let Some(runtimes) = &mut self.runtimes {
            let (worker, kind) = (stable_hash(worker.as_bytes()), stable_hash(kind.as_bytes()) as u32);
            runtimes.on_started(attempt, &job.likeness(), kind, worker, now);
        }
    }

    /// It has told the share done.
    pub fn progress(&mut self, now: Micros, attempt: u64, share: f64) {
        if let Some(runtimes) = &mut self.runtimes {
            runtimes.on_progress(attempt, share, now);
        }
    }

    /// It has ended; `done` where it ran to its end. One that never began to run teaches nothing.
    pub fn ended(&mut self, now: Micros, attempt: u64, done: bool) {
        if let Some(runtimes) = &mut self.runtimes {
            runtimes.on_ended(attempt, if done { Outcome::Done } else { Outcome::Censored }, now);
        }
    }

    /// What there is to tell the others now: kind, slot and bytes.
    pub fn publish(&mut self, now: Micros) -> Vec<(u8, u32, Vec<u8>)> {
        let mut facts = Vec::new();
        if let Some(runtimes) = &mut self.runtimes {
            let told = std::iter::from_fn(|| runtimes.publish(now)).take(FACTS);
            facts.extend(told.map(|(slot, bytes)| (mothproxy_runtimes::KIND, slot, bytes)));
        }
        if let Some(shares) = &mut self.shares {
            let told = std::iter::from_fn(|| shares.publish(now)).take(FACTS);
            facts.extend(told.map(|(slot, bytes)| (mothproxy_fairshare::KIND, slot, bytes)));
        }
        facts
    }

    /// Takes in what another has told, or this place at an earlier start.
    pub fn absorb(&mut self, now: Micros, fact: &OwnedFact) {
        if fact.kind == mothproxy_runtimes::KIND
            && let Some(runtimes) = &mut self.runtimes
        {
            let origin = Origin { place: fact.place, epoch: fact.epoch };
            // What cannot be read is counted there.
            let _ = runtimes.absorb(now, origin, fact.slot, fact.number, &fact.bytes);
        }
        if fact.kind == mothproxy_fairshare::KIND
            && let Some(shares) = &mut self.shares
        {
            let origin = mothproxy_fairshare::Origin { place: fact.place, epoch: fact.epoch };
            let _ = shares.absorb(now, origin, fact.slot, fact.number, &fact.bytes);
        }
    }

    /// When [`Learners::publish`] is to be asked next, if a part is on.
    pub fn next_look(&self, now: Micros) -> Option<Micros> {
        self.on().then_some(now + LOOK)
    }

    /// What was counted, of the parts that are on.
    pub fn figures(&self) -> LearnersFigures {
        let runtimes = self.runtimes.as_ref().map(|runtimes| {
            let f = runtimes.metrics();
            LearnerFigures { seen: f.seen, told: f.published, taken: f.absorbed, refused: f.refused }
        });
        let shares = self.shares.as_ref().map(|shares| {
            let f = shares.metrics();
            let refused = f.late + f.future + f.malformed + f.foreign + f.full;
            LearnerFigures { seen: f.tenants, told: f.published, taken: f.absorbed - f.stale, refused }
        });
        LearnersFigures { runtimes, shares }
    }
}
