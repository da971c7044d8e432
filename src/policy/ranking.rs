//! The types used to rank workers for a job. `src/policy/rules` decides what makes one worker better than another.

use crate::policy::interface::{EndpointEntry, JobId, KindId, Micros, NewJob, WorkerId, ZoneId};
use crate::policy::state::{LoadSample, PolicyState, Worker};
use std::cmp::Ordering;

/// The value assumed for a load input that is not reported.
const HALF_LOADED: f64 = 0.5;

/// How suitable a worker is for a job, best first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Rank {
    /// The worker's load is known, and it has capacity for the job.
    Fresh,
    /// The worker's load is unknown.
    Unknown,
    /// The worker's load is known, and it has no free slot for the job.
    Full,
    /// The worker is full, and its queue is longer than the job can wait.
    Overloaded,
    /// The worker's load is unknown although a probe would report it, and a job sent to the worker could not be moved to
    /// another one.
    Unprobed,
    /// The worker is ejected for now, and is used only if there is no other worker.
    Ejected,
}

/// The purpose for which candidates are selected.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Purpose {
    /// To send the job to one of them.
    Placing,
    /// To probe some of them.
    Probing,
}

/// A worker that may be chosen. The best candidate has the best rank, then the lowest cost, then the lowest tie-break.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Candidate {
    pub rank: Rank,
    pub cost: f64,
    pub tie_break: f64,
    pub worker: WorkerId,
}

impl Candidate {
    /// Compares by preference: the better candidate is the lesser one.
    pub fn compare(&self, other: &Candidate) -> Ordering {
        let by_cost = || self.cost.total_cmp(&other.cost);
        let by_tie_break = || self.tie_break.total_cmp(&other.tie_break);
        self.rank.cmp(&other.rank).then_with(by_cost).then_with(by_tie_break)
    }
}

/// The requirements of a job, which are the same for all candidates.
pub(crate) struct JobRequirements {
    pub request: NewJob,
    /// The time left until the job's latest start, in microseconds.
    pub slack: f64,
    /// How long an attempt may be outstanding without a start before its worker counts as full.
    pub start_timeout: Micros,
    /// For each kind with jobs that no other kind can run: the fraction of the kind's capacity that those jobs leave.
    pub spare_by_kind: Vec<(KindId, f64)>,
}

impl JobRequirements {
    /// Whether a worker reports less free memory than the job needs.
    pub fn exceed_memory_of(&self, sample: &LoadSample) -> bool {
        self.request.memory.zip(sample.memory).is_some_and(|(needed, free)| free < needed)
    }

    /// The fraction of a kind's capacity that is left for this job; 1 for a kind without an entry.
    pub fn spare(&self, kind: KindId) -> f64 {
        self.spare_by_kind.iter().find(|(bound, _)| *bound == kind).map_or(1.0, |(_, spare)| *spare)
    }
}

/// The position of a job in this dispatcher's queue. The job with the lowest position is first; jobs in time are before late
/// ones.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueuePosition {
    pub is_late: bool,
    /// The order among the jobs in time, or among the late ones.
    pub order: Micros,
    pub job: JobId,
}

/// The measures of a worker's load by which workers are ranked.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LoadInputs {
    /// CPU utilisation, 0 to 1.
    pub cpu: f64,
    /// The second input of the fuzzy rules, 0 to 1.
    pub load: f64,
    pub free_slots: f64,
}

impl LoadInputs {
    /// The inputs of a worker of which only the number of free slots is known.
    pub fn half_loaded(free_slots: f64) -> LoadInputs {
        LoadInputs { cpu: HALF_LOADED, load: HALF_LOADED, free_slots }
    }

    /// The inputs of a worker of the group with `capacity` slots, computed from the outstanding work of the group's dispatchers
    /// at that worker. `None` if the worker is not assigned to the group.
    pub fn from_group(
        state: &PolicyState,
        worker: &Worker,
        listed: &EndpointEntry,
        capacity: f64,
    ) -> Option<LoadInputs> {
        let occupied = state.group_occupied_slots(worker, listed)?;
        let utilisation = occupied / capacity;
        Some(LoadInputs { cpu: utilisation, load: utilisation, free_slots: (capacity - occupied).floor() })
    }

    /// Whether at least one whole slot is free.
    pub fn has_free_slot(&self) -> bool {
        self.free_slots >= 1.0
    }

    /// The inputs from a worker's load sample, increased by this dispatcher's attempts that the sample may not include yet: those
    /// sent no earlier than `window` before the sample. `slots` is the worker's number of slots.
    pub fn from_sample(sample: &LoadSample, worker: &Worker, window: Micros, slots: f64) -> LoadInputs {
        let unseen = worker.slots_sent_since(sample.at.saturating_sub(window));
        let cpu = (sample.cpu + unseen / slots).min(1.0);
        let unlimited = if sample.cpu < 1.0 { f64::INFINITY } else { 0.0 };
        match (sample.free_slots, sample.waiting) {
            (Some(reported), _) => {
                let free_slots = reported - unseen;
                LoadInputs { cpu, load: 1.0 - free_slots / slots, free_slots }
            }
            (None, Some(reported)) => {
                let waiting = reported + unseen;
                LoadInputs { cpu, load: waiting / (waiting + slots), free_slots: unlimited }
            }
            (None, None) => LoadInputs { cpu, load: HALF_LOADED, free_slots: unlimited },
        }
    }

    /// The worse of the two values of each input: the higher load, the fewer free slots.
    pub fn worst(self, other: LoadInputs) -> LoadInputs {
        LoadInputs {
            cpu: self.cpu.max(other.cpu),
            load: self.load.max(other.load),
            free_slots: self.free_slots.min(other.free_slots),
        }
    }
}

/// Draws a random number from the exponential distribution with mean 1.
pub(crate) fn exponential(random: &mut fastrand::Rng) -> f64 {
    -(1.0 - random.f64()).ln()
}

/// A slot at a worker of this dispatcher's group that can be offered to another group.
pub(crate) struct OfferableSlot {
    /// The worker's list entry.
    pub listed: EndpointEntry,
    /// The worker's CPU utilisation, 0 to 1.
    pub cpu: f64,
}

/// A worker that is considered for a job, with the data that its rank depends on.
pub(crate) struct ConsideredWorker<'a> {
    pub worker: &'a Worker,
    /// The worker's list entry.
    pub listed: &'a EndpointEntry,
    /// Whether the worker is in another zone than the dispatcher.
    pub is_remote: bool,
    /// The worker's response time divided by the expected work.
    pub slowness: f64,
    /// The slots that this dispatcher's attempts occupy or wait for at the worker.
    pub occupied: f64,
    /// A random number that breaks ties between equal workers.
    pub random: f64,
}

impl<'a> ConsideredWorker<'a> {
    /// Collects the data of a listed worker for a dispatcher in `own_zone`. `random` breaks ties between equal workers.
    pub fn new(
        state: &PolicyState,
        worker: &'a Worker,
        listed: &'a EndpointEntry,
        own_zone: ZoneId,
        random: f64,
    ) -> ConsideredWorker<'a> {
        ConsideredWorker {
            worker,
            listed,
            is_remote: listed.zone != own_zone,
            slowness: state.estimates().worker_slowness(worker, listed),
            occupied: worker.occupied_slots(),
            random,
        }
    }

    /// This worker as a candidate with the given rank, cost and tie-break.
    pub fn candidate(&self, rank: Rank, cost: f64, tie_break: f64) -> Candidate {
        Candidate { rank, cost, tie_break, worker: self.listed.worker }
    }

    /// This worker as a candidate that is not known to have capacity. Among such candidates, the one expected to respond first is
    /// preferred.
    pub fn without_capacity(&self, rank: Rank) -> Candidate {
        self.candidate(rank, self.slowness * (1.0 + self.occupied), self.random)
    }
}
