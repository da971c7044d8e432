//! Observations of workers by this dispatcher and its peers, which exchange them as facts.
//!
//! For each worker the state holds the latest time of each kind of observation: proof of life, refusal, hang, reset, sign of
//! warming up, and report. Absorbing a fact takes the maximum of each of these times, so the state does not depend on the
//! order in which facts arrive, nor on how often one arrives (a join-semilattice, as in Shapiro and others, "Conflict-free
//! Replicated Data Types", 2011). A worker's status is computed from these times on demand: the worst fault that no later
//! proof of life refutes, with a weight that halves at a fixed interval of its age.
//!
//! Slot 0 of this kind of fact contains a member's status of the list service ([`ServiceStatus`]); each other slot contains
//! a bucket of workers.

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
/// The maximum length of a fact, in bytes, as specified in `docs/design/parts.md`. Each crate that encodes facts defines
/// this constant, since none of them depends on the crate that transports facts.
pub const MAX_FACT_BYTES: usize = 160;
/// The number of buckets of workers, which are slots 1 to this.
pub const BUCKETS: u32 = 512;
/// The maximum number of workers kept. Beyond that, the worker with the oldest last observation is dropped.
pub const MAX_WORKERS: usize = 16_384;
/// The assumed maximum difference between clocks, in milliseconds. Facts from further in the future are refused.
pub const MAX_CLOCK_SKEW_MS: Millis = 5_000;
/// The slot of a member's status of the list service.
const SERVICE_SLOT: u32 = 0;
/// The minimum interval between two facts of worker buckets, and between a fact of the service and an urgent one after it,
/// in microseconds.
const PUBLISH_INTERVAL: Micros = 50_000;
/// The half-life of the weight of an observation, in milliseconds. The weight is 0 after [`OBSERVATION_TTL_MS`].
const HALF_LIFE_MS: f64 = 5_000.0;
/// The time after which an observation is ignored, in milliseconds.
const OBSERVATION_TTL_MS: Millis = 30_000;
/// The age of the last known fault above which a fault is published again, in milliseconds: members that avoid the worker
/// because of that fault will soon try it again.
const FAULT_REPUBLISH_MS: Millis = 2_500;
/// The age of the last known proof of life or report above which one is published again, in milliseconds. The age at a
/// place is between one and two times this value, so that most places receive the observation of another place before they
/// publish their own.
const PROOF_REPUBLISH_MS: Millis = 12_000;

/// The process that published a fact.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Origin {
    /// The place of the process.
    pub place: u16,
    /// The epoch of the process, in milliseconds of Unix time.
    pub epoch: u64,
}

/// A status of the service that another member published.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServiceUpdate {
    /// The member's place.
    pub place: u16,
    /// The member's status.
    pub status: ServiceStatus,
}

/// The key of a worker: the bucket of its tag, and its fingerprint within the bucket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct WorkerKey {
    bucket: u32,
    fingerprint: u32,
}

impl WorkerKey {
    /// The key of the worker with this tag.
    fn from_tag(tag: WorkerTag) -> WorkerKey {
        let mixed = mix(tag);
        let bucket = 1 + (mixed % u64::from(BUCKETS)) as u32;
        WorkerKey { bucket, fingerprint: (mixed >> 32) as u32 }
    }
}

/// The version of a fact of one member; the greater of two is the later.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct Stamp {
    epoch: u64,
    number: u64,
}

/// The observations of workers and the statuses of the list service, from this dispatcher and its peers.
#[derive(Debug)]
pub struct SharedObservations {
    /// The Unix time at which the caller's clock reads 0, in microseconds.
    unix_at_zero: Micros,
    /// The value of [`PROOF_REPUBLISH_MS`] for this place.
    proof_republish_ms: Millis,
    /// The join of all own observations and all absorbed ones.
    all: BTreeMap<WorkerKey, ObservedTimes>,
    /// This dispatcher's own observations, which it publishes.
    own: BTreeMap<WorkerKey, ObservedTimes>,
    /// The workers of `all` by the time of their newest observation.
    by_age: BTreeSet<(Millis, WorkerKey)>,
    /// The buckets to publish.
    unpublished: BTreeSet<u32>,
    /// The earliest time at which the next bucket may be published.
    next_bucket_at: Micros,
    service: OwnServiceStatus,
    /// The version of the last status of the service from each place.
    service_stamps: HashMap<u16, Stamp>,
    service_updates: Vec<ServiceUpdate>,
    /// The number of buckets published so far.
    published: u64,
}

impl SharedObservations {
    /// Creates the state without any observation. `unix_at_zero` is the Unix time at which the caller's clock reads 0, in
    /// microseconds.
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

    /// Records an observation of a worker by this dispatcher. It is published unless the other members know as much already.
    pub fn record(&mut self, now: Micros, tag: WorkerTag, observation: Observation) {
        let key = WorkerKey::from_tag(tag);
        let now_ms = self.unix_ms(now);
        let before = self.all.get(&key).copied().unwrap_or_default();
        let is_worth_publishing = self.is_worth_publishing(&before, observation, now_ms);
        let observed = ObservedTimes::from_observation(observation, now_ms);
        self.own.entry(key).or_default().join(&observed);
        self.join(key, &observed);
        if is_worth_publishing {
            self.unpublished.insert(key.bucket);
        }
    }

    /// Whether an observation would change a worker's status at the other members, or renews one that will soon be too old.
    /// A proof of life of a worker without a known fault is published only at long intervals.
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

    /// Sets this dispatcher's status of the service. It is published sooner if `is_urgent`, that is, if it changes the
    /// behaviour of other members ([`PollScheduler::is_status_urgent`](crate::PollScheduler::is_status_urgent)).
    pub fn set_service_status(&mut self, status: ServiceStatus, is_urgent: bool) {
        self.service.set(status, is_urgent);
    }

    /// Joins observed times into the state, and drops the worker with the oldest last observation if there are too many.
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
        invariant!(self.by_age.len() == self.all.len(), "the index by age does not match the workers");
    }

    /// The status of a worker at `now`; `None` if no observation of it is recent enough.
    pub fn worker_status(&self, tag: WorkerTag, now: Micros) -> Option<WorkerStatus> {
        let times = self.all.get(&WorkerKey::from_tag(tag))?;
        let now_ms = self.unix_ms(now);
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

    /// Takes the statuses of the service that arrived since the last call, at most one from each member.
    pub fn take_service_updates(&mut self) -> Vec<ServiceUpdate> {
        std::mem::take(&mut self.service_updates)
    }

    /// The slot and bytes of the next fact to publish. Call this until it returns `None`.
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

    /// When [`SharedObservations::publish`] may return the next fact; `None` if nothing is to be published.
    pub fn next_wake(&self) -> Option<Micros> {
        let service = self.service.unpublished().map(|_| self.service.due_at());
        let bucket = (!self.unpublished.is_empty()).then_some(self.next_bucket_at);
        service.into_iter().chain(bucket).min()
    }

    /// Encodes a bucket as a fact: the workers with the newest observations first, as many as fit.
    fn encode_bucket(&self, bucket: u32, now_ms: Millis) -> Option<Vec<u8>> {
        let keys = WorkerKey { bucket, fingerprint: 0 }..=WorkerKey { bucket, fingerprint: u32::MAX };
        let mut workers: Vec<(u32, &ObservedTimes)> =
            self.own.range(keys).map(|(key, times)| (key.fingerprint, times)).collect();
        workers.retain(|(_, times)| times.newest() + OBSERVATION_TTL_MS > now_ms);
        workers.sort_by_key(|(_, times)| std::cmp::Reverse(times.newest()));
        wire::encode_bucket(now_ms, &workers)
    }

    /// Absorbs a fact of another member. A repeated fact, or an older one after a newer, changes nothing.
    ///
    /// # Errors
    ///
    /// Returns an error and changes nothing if the fact cannot be decoded or is from too far in the future.
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
            // Only the last status of each member counts: it replaces one that the caller has not taken yet.
            self.service_updates.retain(|update| update.place != place);
            self.service_updates.push(ServiceUpdate { place, status });
        }
    }

    /// The number of facts on workers that were published so far.
    pub fn published(&self) -> u64 {
        self.published
    }

    /// The observed times of all workers, in order of their keys; for comparing two states in tests.
    pub fn state(&self) -> impl PartialEq + std::fmt::Debug + use<> {
        self.all.iter().map(|(key, times)| (*key, *times)).collect::<Vec<_>>()
    }
}
