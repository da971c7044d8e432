//! The types that the choice of a worker uses. `src/policy/rules` decides what makes one worker better than another.

use crate::policy::interface::{EndpointEntry, JobId, KindId, Micros, NewJob, WorkerId, ZoneId};
use crate::policy::state::{LoadSample, PolicyState, Worker};
use std::cmp::Ordering;

/// The value of a load input that nothing reports.
const HALF_LOADED: f64 = 0.5;

/// How suitable a worker is for a job, best first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Rank {
    /// Its load is known and below full.
    Fresh,
    /// Its load is unknown.
    Unknown,
    /// Its load is known, and it has no free slot for the job.
    Full,
    /// It is full, and its queue is longer than the job can wait.
    Overloaded,
    /// Its load is unknown although a probe would report it, and the job could not be moved away again.
    Unprobed,
    /// It is ejected for now. It is used only if there is no other worker.
    Ejected,
}

/// What the candidates are selected for.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Purpose {
    /// The job is sent to one of them.
    Placing,
    /// Some of them are probed.
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
    /// Compares by preference: the better candidate is less.
    pub fn compare(&self, other: &Candidate) -> Ordering {
        let by_cost = || self.cost.total_cmp(&other.cost);
        let by_tie_break = || self.tie_break.total_cmp(&other.tie_break);
        self.rank.cmp(&other.rank).then_with(by_cost).then_with(by_tie_break)
    }
}

/// What a job needs from a worker; the same for all candidates.
pub(crate) struct Needs {
    pub request: NewJob,
    /// Time left until its latest start, in microseconds.
    pub slack: f64,
    /// How long an attempt may go unstarted before its worker counts as full.
    pub start_timeout: Micros,
    /// For each kind with jobs that no other kind can run: the fraction of its capacity that those jobs leave.
    pub spare_by_kind: Vec<(KindId, f64)>,
}

impl Needs {
    /// Whether a worker reports less free memory than the job needs.
    pub fn exceed_memory_of(&self, sample: &LoadSample) -> bool {
        self.request.memory.zip(sample.memory).is_some_and(|(needed, free)| free < needed)
    }

    /// The fraction of a kind's capacity that this job may count on; 1 for a kind without an entry.
    pub fn spare(&self, kind: KindId) -> f64 {
        self.spare_by_kind.iter().find(|(bound, _)| *bound == kind).map_or(1.0, |(_, spare)| *spare)
    }
}

/// The position of a job in this dispatcher's queue; the least goes first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueuePosition {
    pub is_late: bool,
    pub order: Micros,
    pub job: JobId,
}

/// The parts of a worker's load that the choice of a worker uses.
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

    /// The inputs of a worker of the group with `capacity` slots, from what the group's dispatchers have outstanding there.
    /// `None` if the worker is not assigned to the group.
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

    /// Whether a whole slot is free.
    pub fn has_free_slot(&self) -> bool {
        self.free_slots >= 1.0
    }

    /// The inputs from a worker's load sample, increased by this dispatcher's attempts that the sample cannot show yet: those
    /// sent at most `window` before the sample, or after it. `slots` is the worker's number of slots.
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

/// A random number of the exponential distribution with mean 1.
pub(crate) fn exponential(random: &mut fastrand::Rng) -> f64 {
    -(1.0 - random.f64()).ln()
}

/// A worker of this dispatcher's group that has a slot to offer to another group.
pub(crate) struct OfferableSlot {
    pub listed: EndpointEntry,
    /// Its CPU utilisation, 0 to 1.
    pub cpu: f64,
}

/// A worker that is considered for a job, with the data that its rank depends on.
pub(crate) struct Considered<'a> {
    pub worker: &'a Worker,
    pub listed: &'a EndpointEntry,
    pub is_remote: bool,
    /// Response time for each unit of expected work.
    pub slowness: f64,
    /// The slots that this dispatcher's attempts occupy or wait for there.
    pub occupied: f64,
    pub random: f64,
}

impl<'a> Considered<'a> {
    /// A listed worker as a dispatcher in `own_zone` sees it. `random` breaks ties between equal workers.
    pub fn new(
        state: &PolicyState,
        worker: &'a Worker,
        listed: &'a EndpointEntry,
        own_zone: ZoneId,
        random: f64,
    ) -> Considered<'a> {
        Considered {
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

    /// This worker as a candidate without capacity. Among such candidates, the one that should respond soonest goes first.
    pub fn inferior(&self, rank: Rank) -> Candidate {
        self.candidate(rank, self.slowness * (1.0 + self.occupied), self.random)
    }
}
