//! What was observed of workers, by this dispatcher and by the others, as facts that a carrier brings.
//!
//! Of each worker the latest time of each thing observed is kept: proofs of life, refusals, hangs, resets, signs of warming up,
//! and the latest report. Taking a fact in is a maximum in each of these, so the state is the same in whatever order and
//! however often facts come (a join-semilattice, as in Shapiro and others, "Conflict-free Replicated Data Types", 2011).
//! A worker's status is computed from that on demand: the worst fault that no later proof of life refutes, with a weight
//! that halves with its age.
//!
//! Slot 0 of this kind is what a member says of the list service ([`ServiceStatus`]); the others are buckets of workers.

mod observation;
mod observed_times;
mod own_service_status;
mod wire;

pub use observation::{Fault, Observation, Report, WorkerStatus};
pub use wire::AbsorbError;

use crate::poll_scheduler::ServiceStatus;
use crate::{Micros, Millis, WorkerTag, mix};
use mothproxy_invariant::invariant;
use observed_times::ObservedTimes;
use own_service_status::OwnServiceStatus;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// The kind of this crate's facts.
pub const KIND: u8 = 1;
/// The longest fact that a carrier takes, in bytes: the contract of docs/design/parts.md. Each crate that encodes facts states
/// it, since none of them depends on the carrier.
pub const MAX_FACT_BYTES: usize = 160;
/// Buckets of workers: slots 1 to this.
pub const BUCKETS: u32 = 512;
/// The most workers kept; beyond that the one whose newest observation is the oldest goes.
pub const MAX_WORKERS: usize = 16_384;
/// Clocks are taken to differ by this at most, in milliseconds: what is from later than that is refused.
pub const MAX_CLOCK_SKEW_MS: Millis = 5_000;
/// The slot of what a member says of the list service.
const SERVICE_SLOT: u32 = 0;
/// Between two facts of worker buckets, and before an urgent one of the service, in microseconds.
const PUBLISH_INTERVAL: Micros = 50_000;
/// An observation weighs half after this long, in milliseconds, and nothing after [`OBSERVATION_TTL_MS`].
const HALF_LIFE_MS: f64 = 5_000.0;
/// An observation counts for this long, in milliseconds.
const OBSERVATION_TTL_MS: Millis = 30_000;
/// A fault is published again once it is so old, in milliseconds: members that leave a worker alone for it soon try again.
const FAULT_REPUBLISH_MS: Millis = 2_500;
/// Proofs of life, and reports, are published again once the last that is known is so old, in milliseconds; by the last of
/// the places once it is twice so old: one that publishes is received before most would.
const PROOF_REPUBLISH_MS: Millis = 12_000;

/// Who published a fact.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Origin {
    /// Its place.
    pub place: u16,
    /// Its epoch, in milliseconds of Unix time.
    pub epoch: u64,
}

/// What a member said of the service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServiceUpdate {
    /// The member's place.
    pub place: u16,
    /// What it said.
    pub status: ServiceStatus,
}

/// A worker, by the bucket of its tag and its fingerprint there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct WorkerKey {
    bucket: u32,
    fingerprint: u32,
}

impl WorkerKey {
    fn from_tag(tag: WorkerTag) -> WorkerKey {
        let mixed = mix(tag);
        let bucket = 1 + (mixed % u64::from(BUCKETS)) as u32;
        WorkerKey { bucket, fingerprint: (mixed >> 32) as u32 }
    }
}

/// Which of two facts of one member is later.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct Stamp {
    epoch: u64,
    number: u64,
}

/// What is known of the workers and of the list service.
#[derive(Debug)]
pub struct SharedObservations {
    unix_at_zero: Micros,
    proof_republish_ms: Millis,
    /// The join of everything observed here and taken in.
    all: BTreeMap<WorkerKey, ObservedTimes>,
    /// What was observed here: this is what is published.
    own: BTreeMap<WorkerKey, ObservedTimes>,
    /// The workers of `all` by the time of their newest observation.
    by_age: BTreeSet<(Millis, WorkerKey)>,
    /// Buckets to publish.
    unpublished: BTreeSet<u32>,
    next_bucket_at: Micros,
    service: OwnServiceStatus,
    /// The last fact of the service of each place.
    service_stamps: HashMap<u16, Stamp>,
    service_updates: Vec<ServiceUpdate>,
    published: u64,
}

impl SharedObservations {
    /// Nothing observed yet; `unix_at_zero` is the Unix time of the caller's zero, in microseconds.
    pub fn new(place: u16, unix_at_zero: Micros, now: Micros) -> SharedObservations {
        SharedObservations {
            unix_at_zero,
            proof_republish_ms: PROOF_REPUBLISH_MS + mix(u64::from(place)) % PROOF_REPUBLISH_MS,
            all: BTreeMap::new(),
            own: BTreeMap::new(),
            by_age: BTreeSet::new(),
            unpublished: BTreeSet::new(),
            next_bucket_at: 0,
            service: OwnServiceStatus::new(now),
            service_stamps: HashMap::new(),
            service_updates: Vec::new(),
            published: 0,
        }
    }

    fn unix_ms(&self, now: Micros) -> Millis {
        (self.unix_at_zero + now) / 1_000
    }

    /// Takes what this dispatcher observed of a worker, by the tag that is the same at every dispatcher.
    pub fn record(&mut self, now: Micros, tag: WorkerTag, observation: Observation) {
        let (key, now_ms) = (WorkerKey::from_tag(tag), self.unix_ms(now));
        let before = self.all.get(&key).copied().unwrap_or_default();
        let is_news = self.is_worth_publishing(&before, observation, now_ms);
        let observed = ObservedTimes::from_observation(observation, now_ms);
        self.own.entry(key).or_default().join(&observed);
        self.join(key, &observed);
        if is_news {
            self.unpublished.insert(key.bucket);
        }
    }

    /// Whether an observation changes what the others believe; a proof of life that nobody doubted does only now and then.
    fn is_worth_publishing(&self, before: &ObservedTimes, observation: Observation, now_ms: Millis) -> bool {
        let worst = before.worst_fault();
        match observation {
            Observation::Fault(fault) => {
                worst.is_none_or(|(worst, since)| worst < fault || since + FAULT_REPUBLISH_MS < now_ms)
            }
            Observation::Alive => worst.is_some() || before.alive + self.proof_republish_ms < now_ms,
            Observation::WarmingUp => before.warming_up + self.proof_republish_ms < now_ms,
            Observation::Report(_) => worst.is_some() || before.reported + self.proof_republish_ms < now_ms,
        }
    }

    /// Takes what this dispatcher says of the service; urgent where it changes what the others do.
    pub fn set_service_status(&mut self, status: ServiceStatus, is_urgent: bool) {
        self.service.set(status, is_urgent);
    }

    fn join(&mut self, key: WorkerKey, observed: &ObservedTimes) {
        let times = self.all.entry(key).or_default();
        let before = times.newest();
        times.join(observed);
        let after = times.newest();
        self.by_age.remove(&(before, key));
        self.by_age.insert((after, key));
        while self.by_age.len() > MAX_WORKERS {
            if let Some((_, oldest)) = self.by_age.pop_first() {
                self.all.remove(&oldest);
                self.own.remove(&oldest);
            }
        }
        invariant!(self.by_age.len() == self.all.len(), "a worker without its age");
    }

    /// What is known of a worker, if anything that still counts.
    pub fn worker_status(&self, tag: WorkerTag, now: Micros) -> Option<WorkerStatus> {
        let (times, now_ms) = (self.all.get(&WorkerKey::from_tag(tag))?, self.unix_ms(now));
        let age_of = |at_ms: Millis| {
            let age_ms = now_ms.saturating_sub(at_ms);
            (at_ms > 0 && age_ms <= OBSERVATION_TTL_MS).then_some(age_ms * 1_000)
        };
        let newest = age_of(times.newest())?;
        Some(WorkerStatus {
            fault: times.worst_fault().and_then(|(fault, at)| age_of(at).map(|age| (fault, age))),
            alive: age_of(times.alive),
            warming_up: age_of(times.warming_up),
            report: age_of(times.reported).map(|age| (times.report, age)),
            weight: (-(newest as f64 / 1_000.0) / HALF_LIFE_MS).exp2(),
        })
    }

    /// What other members said of the service since the last call.
    pub fn take_service_updates(&mut self) -> Vec<ServiceUpdate> {
        std::mem::take(&mut self.service_updates)
    }

    /// The slot and bytes of the next fact to publish; called until `None`.
    pub fn publish(&mut self, now: Micros) -> Option<(u32, Vec<u8>)> {
        if let Some(status) = self.service.unpublished().filter(|_| now >= self.service.due_at()) {
            self.service.record_published(now, status);
            return wire::encode(&status).map(|bytes| (SERVICE_SLOT, bytes));
        }
        if now < self.next_bucket_at {
            return None;
        }
        while let Some(bucket) = self.unpublished.pop_first() {
            if let Some(bytes) = self.encode_bucket(bucket, self.unix_ms(now)) {
                self.next_bucket_at = now + PUBLISH_INTERVAL;
                self.published += 1;
                return Some((bucket, bytes));
            }
        }
        None
    }

    /// When [`SharedObservations::publish`] may have something next.
    pub fn next_wake(&self) -> Option<Micros> {
        let service = self.service.unpublished().map(|_| self.service.due_at());
        let bucket = (!self.unpublished.is_empty()).then_some(self.next_bucket_at);
        service.into_iter().chain(bucket).min()
    }

    /// A bucket as a fact: the newest workers first, as many as there is room for.
    fn encode_bucket(&self, bucket: u32, now_ms: Millis) -> Option<Vec<u8>> {
        let keys = WorkerKey { bucket, fingerprint: 0 }..=WorkerKey { bucket, fingerprint: u32::MAX };
        let mut workers: Vec<(u32, &ObservedTimes)> =
            self.own.range(keys).map(|(key, times)| (key.fingerprint, times)).collect();
        workers.retain(|(_, times)| times.newest() + OBSERVATION_TTL_MS > now_ms);
        workers.sort_by_key(|(_, times)| std::cmp::Reverse(times.newest()));
        wire::encode_bucket(now_ms, &workers)
    }

    /// Takes a fact in. The same one again, or an older one after a newer, changes nothing.
    ///
    /// # Errors
    ///
    /// The fact cannot be read, or its clock is too far ahead; nothing is taken in then.
    pub fn absorb(
        &mut self,
        now: Micros,
        origin: Origin,
        slot: u32,
        number: u64,
        bytes: &[u8],
    ) -> Result<(), AbsorbError> {
        let body = wire::check_envelope(bytes)?;
        let now_ms = self.unix_ms(now);
        match slot {
            SERVICE_SLOT => {
                let status = wire::decode_service(body, now_ms)?;
                let stamp = Stamp { epoch: origin.epoch, number };
                self.absorb_service_status(origin.place, stamp, status);
            }
            1..=BUCKETS => {
                for (fingerprint, times) in wire::decode_bucket(body, now_ms)? {
                    self.join(WorkerKey { bucket: slot, fingerprint }, &times);
                }
            }
            _ => return Err(AbsorbError::Slot(slot)),
        }
        Ok(())
    }

    fn absorb_service_status(&mut self, place: u16, stamp: Stamp, status: ServiceStatus) {
        let last = self.service_stamps.entry(place).or_default();
        if stamp > *last {
            *last = stamp;
            // Of each member the last status counts: one that was not taken yet is replaced.
            self.service_updates.retain(|update| update.place != place);
            self.service_updates.push(ServiceUpdate { place, status });
        }
    }

    /// How many facts on workers were published so far.
    pub fn published(&self) -> u64 {
        self.published
    }

    /// All that is known of workers, for comparing two states: their times in order.
    pub fn state(&self) -> impl PartialEq + std::fmt::Debug + use<> {
        self.all.iter().map(|(key, times)| (*key, *times)).collect::<Vec<_>>()
    }
}
