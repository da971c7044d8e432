//! The choice of a worker for a job.

use super::*;

/// The step to which scores are rounded. Differences below it are within the noise of reports and count as
/// ties.
const SCORE_STEP: f64 = 0.1;
/// The cost of a worker in another zone, in steps of the score.
const REMOTE_COST: f64 = 1.0;
/// The greatest number of workers that are drawn from the group for a job. Without a group, half as many
/// are drawn from each list of `ReadyWorkers`.
const MAX_RANKED: usize = 32;
/// The least fraction of a kind's capacity that is counted as available to jobs that other kinds can run
/// too.
const MIN_SPARE: f64 = 0.1;
/// The least number of slots assumed for a worker of unknown load.
const MIN_UNKNOWN_SLOTS: f64 = 2.0;

/// A worker's capability multiplied by the fraction `spare`, in steps of [`SCORE_STEP`].
fn score(inputs: &LoadInputs, spare: f64) -> f64 {
    (capability(inputs.cpu, inputs.load) * spare / SCORE_STEP).round()
}

impl Policy {
    /// The eligible workers among those drawn for a job: a random sample of the group's workers, the
    /// workers probed for the job, and those at which a slot is offered. Without a group, and for probes if
    /// no slot can be borrowed, the draw includes workers that are warming up, workers of the dispatcher's
    /// own zone, and workers of all zones.
    pub(super) fn candidates(&mut self, id: JobId, purpose: Purpose) -> Vec<WorkerId> {
        let gossip = self.state.gossip();
        let mut pool = gossip.sample(&mut self.random, MAX_RANKED);
        if purpose == Purpose::Probing && !gossip.can_borrow() || !gossip.is_grouped() {
            self.state.ready().draw(&mut pool, MAX_RANKED / 2, &mut self.random);
        }
        let Some(job) = self.state.job(id) else { return Vec::new() };
        pool.extend(job.sample());
        pool.extend(gossip.offered_workers(self.now()));
        pool.sort_unstable();
        pool.dedup();
        let may_cross = self.is_grouped() || self.may_cross_zones(job);
        pool.retain(|id| self.is_eligible(job, self.state.worker(*id), may_cross));
        pool
    }

    /// Whether the job may be sent to this worker at all.
    fn is_eligible(&self, job: &Job, worker: &Worker, may_cross: bool) -> bool {
        let Some(listed) = worker.ready_entry() else { return false };
        self.class(job).kind.is_none_or(|kind| kind == listed.kind)
            && (may_cross || listed.zone == self.settings.zone)
            && !job.excludes(listed.worker)
            && self.may_send(job, &listed)
            && self.slow_start_admits(worker, &listed, job.work)
    }

    /// The best candidate for a job; `None` if no worker is eligible.
    pub(super) fn pick(&mut self, id: JobId) -> Option<Candidate> {
        let pool = self.candidates(id, Purpose::Placing);
        let requirements = self.requirements(self.state.job(id)?);
        let mut ranked = Vec::new();
        let mut lowest_cpu = f64::INFINITY;
        for id in pool {
            let worker = self.state.worker(id);
            let Some(listed) = worker.listed() else { continue };
            let random = exponential(&mut self.random);
            let considered = ConsideredWorker::new(&self.state, worker, listed, self.settings.zone, random);
            let candidate = self.rank(&requirements, &considered);
            let load = self.state.fresh_load(id, self.window()).filter(|_| candidate.rank == Rank::Fresh);
            lowest_cpu = load.map_or(lowest_cpu, |load| lowest_cpu.min(load.cpu));
            ranked.push(candidate);
        }
        ranked.sort_by(Candidate::compare);
        self.winner(&ranked, lowest_cpu).copied()
    }

    /// The first candidate, unless the last job was assigned to it too. The same worker is chosen twice in
    /// a row only if its utilisation has changed since its last assignment and is the lowest of all, or if
    /// the next candidate ranks worse than [`Rank::Unknown`].
    fn winner<'a>(&self, ranked: &'a [Candidate], lowest_cpu: f64) -> Option<&'a Candidate> {
        let first = ranked.first()?;
        let worker = self.state.worker(first.worker);
        let is_repeat = self.state.is_last_assigned(first.worker);
        let is_lowest = worker.last_load().is_none_or(|load| load.cpu <= lowest_cpu);
        let may_repeat = worker.has_cpu_changed_since_assignment() && is_lowest;
        let next = ranked.get(1).filter(|next| next.rank <= Rank::Unknown);
        Some(next.filter(|_| is_repeat && !may_repeat).unwrap_or(first))
    }

    /// The requirements of a job.
    fn requirements(&self, job: &Job) -> JobRequirements {
        let max_start_timeout = if self.settings.reports_start { QUEUE_DETECTION_DELAY } else { Micros::MAX };
        let competing_classes: &[Class] =
            if self.class(job).kind.is_some() { &[] } else { &self.settings.classes };
        let spare = |bound: BoundFraction| (bound.kind, (1.0 - bound.fraction).clamp(MIN_SPARE, 1.0));
        let bound_fractions = self.state.bound_fractions(competing_classes);
        JobRequirements {
            request: job.request,
            slack: self.slack(job) as f64,
            start_timeout: self.start_timeout(job.work).min(max_start_timeout),
            spare_by_kind: bound_fractions.map(spare).collect(),
        }
    }

    /// Ranks a worker for a job with these requirements.
    fn rank(&self, requirements: &JobRequirements, considered: &ConsideredWorker) -> Candidate {
        let ConsideredWorker { worker, listed, slowness, occupied, random, .. } = *considered;
        // A worker that has not started an attempt in time counts as full, regardless of the load that it
        // reports.
        let is_start_overdue = worker.has_unstarted_before(self.now(), requirements.start_timeout);
        let is_avoided = self.state.is_ejected(worker) || is_start_overdue;
        if self.is_last_resort(considered, is_avoided) {
            return considered.without_capacity(Rank::Ejected);
        }
        if is_avoided {
            return considered.without_capacity(Rank::Overloaded);
        }
        let spare = requirements.spare(listed.kind);
        if let Some(inputs) = self.load_inputs(worker, listed) {
            if self.lacks_capacity(requirements, listed, &inputs) {
                return considered.without_capacity(self.rank_of_full(requirements, considered, &inputs));
            }
            let remote_cost = if considered.is_remote { REMOTE_COST } else { 0.0 };
            let tie_break = if self.is_grouped() { random * slowness } else { slowness };
            let cost = -(score(&inputs, spare) - remote_cost);
            return considered.candidate(Rank::Fresh, cost, tie_break);
        }
        if !self.is_warm(listed) {
            // A worker that is warming up and passed the slow-start check counts as half loaded.
            return considered.candidate(Rank::Fresh, -score(&LoadInputs::half_loaded(1.0), spare), slowness);
        }
        if occupied + requirements.request.slots > self.estimates().slots(listed.kind).max(MIN_UNKNOWN_SLOTS)
        {
            return considered.without_capacity(Rank::Overloaded);
        }
        if self.must_probe_first(considered.is_remote) {
            return considered.without_capacity(Rank::Unprobed);
        }
        let cost = (occupied + random) * slowness / (listed.weight.max(MIN_WEIGHT) * spare);
        considered.candidate(Rank::Unknown, cost, random)
    }

    /// Whether a worker gets the job only if there is no other. In a group, a worker that has failed must
    /// show a sign of life before it gets work again.
    fn is_last_resort(&self, considered: &ConsideredWorker, is_avoided: bool) -> bool {
        considered.worker.has_failed() && is_avoided
            || self.is_grouped() && self.state.is_suspect(considered.worker)
            || considered.is_remote && self.state.is_zone_ejected(considered.listed.zone)
    }

    /// Whether a worker of known load has too few free slots or too little free memory for the job.
    fn lacks_capacity(
        &self,
        requirements: &JobRequirements,
        listed: &EndpointEntry,
        inputs: &LoadInputs,
    ) -> bool {
        let sample = self.state.fresh_load(listed.worker, self.window());
        inputs.free_slots < requirements.request.slots
            || sample.is_some_and(|sample| requirements.exceed_memory_of(sample))
    }

    /// The rank of a worker without capacity for the job: [`Rank::Full`] or [`Rank::Overloaded`], by the
    /// time that the job would wait in the worker's queue. The queue is the one that the worker reports,
    /// with the attempts of the group or, without a group, of this dispatcher. Without a group and with
    /// reported starts, at most one attempt of this dispatcher waits there.
    fn rank_of_full(
        &self,
        requirements: &JobRequirements,
        considered: &ConsideredWorker,
        inputs: &LoadInputs,
    ) -> Rank {
        let ConsideredWorker { worker, listed, is_remote, slowness, occupied, .. } = *considered;
        let is_start_reported = self.settings.reports_start && !self.is_grouped();
        let slots_ahead = if is_start_reported { 0.0 } else { occupied.max(-inputs.free_slots) };
        let sample = self.state.fresh_load(listed.worker, self.window());
        let queue = sample.and_then(|sample| sample.waiting).unwrap_or(0.0) + slots_ahead + 1.0;
        let wait = queue * self.estimates().mean_work() * slowness / self.estimates().slots(listed.kind);
        let is_queue_forbidden = is_start_reported && (is_remote || worker.has_unstarted());
        if wait * OVERDUE_FACTOR > requirements.slack || is_queue_forbidden {
            Rank::Overloaded
        } else {
            Rank::Full
        }
    }

    /// Whether a worker of unknown load must be probed before it gets a job. In a group, it always must.
    /// Otherwise it must, if probes are allowed, in two cases: the worker is in another zone, so that only
    /// known capacity is worth the price of crossing zones; or load reports show the queue of a worker that
    /// does not report starts.
    fn must_probe_first(&self, is_remote: bool) -> bool {
        let shows_queue = self.estimates().is_queue_reported() && !self.settings.reports_start;
        self.is_grouped() || self.settings.may_probe && (is_remote || shows_queue)
    }
}
