//! What the decision module remembers: bookkeeping only; every decision on it is in `src/policy/rules`.

mod class_stats;
mod estimates;
mod job;
mod learned;
mod mean;
mod ready_workers;
mod worker;

pub(crate) use estimates::Estimates;
use job::Attempt;
pub(crate) use job::{AttemptState, Job};
pub use learned::{IdMap, Learned};
pub(crate) use mean::Mean;
pub(crate) use ready_workers::MIN_WEIGHT;
use ready_workers::ReadyWorkers;
use worker::OutstandingAttempt;
pub(crate) use worker::{LoadSample, OutlierRecord, Worker};

use crate::policy::gossip::{GroupGossip, OwnLoad};
use crate::policy::interface::*;
use crate::policy::timer::Timer;
use std::collections::{BTreeMap, BTreeSet};

/// How often the wait for an endpoint list may double.
const MAX_LIST_BACKOFF: u32 = 3;
/// All that an instance has learned since its start.
#[derive(Debug, Default)]
pub(crate) struct PolicyState {
    pub now: Micros,
    /// What the nodes of its group have advertised.
    pub gossip: GroupGossip,
    pub workers: Vec<Worker>,
    /// Workers that may have an outstanding attempt or be suspect: every one handed out by [`PolicyState::worker_mut`], until
    /// [`PolicyState::advertise`] finds it with neither. Attempts and failures are recorded only through it, so this holds all
    /// that is advertised, without a walk over every worker (58 % of a job's time at 10,000 workers, `make bench-decision`).
    touched: BTreeSet<u32>,
    pub ready: ReadyWorkers,
    pub jobs: BTreeMap<JobId, Job>,
    /// Jobs that are queued here for a worker, oldest first.
    pub queued: Vec<JobId>,
    pub last_assigned: Option<WorkerId>,
    /// The connect failures of zones that look cut off.
    pub zones: BTreeMap<ZoneId, OutlierRecord>,
    /// Failures of the endpoint list in a row, as far as the back-off counts them.
    pub list_failures: u32,
    /// What is learned from reports and run times.
    pub estimates: Estimates,
}

/// An attempt that has just been found running.
pub(crate) struct StartedAttempt {
    pub worker: WorkerId,
    pub waited: Micros,
}

/// A probe that has just ended.
pub(crate) struct EndedProbe {
    /// The jobs that waited for it.
    pub waiting_jobs: Vec<JobId>,
    /// When the worker had shown that it is alive before.
    pub last_seen: Micros,
}

/// An attempt that has just ended.
pub(crate) struct EndedAttempt {
    pub class: usize,
    /// The expected work of its job.
    pub work: f64,
    /// How many attempts of its job never ran, this one included.
    pub unrun_count: usize,
    /// Since when it ran, if it was reported to run.
    pub running_since: Option<Micros>,
}

/// Settings, endpoint list and group.
impl PolicyState {
    /// A state that knows nothing yet, but for a guess at the time between reports.
    pub fn new(settings: &Settings, report_interval: f64) -> PolicyState {
        PolicyState {
            gossip: GroupGossip::new(settings),
            estimates: Estimates::new(settings, report_interval),
            ..PolicyState::default()
        }
    }

    /// Makes room for these settings' classes, and for their group of nodes if it is another.
    pub fn reconfigure(&mut self, settings: &Settings) {
        self.estimates.reconfigure(settings);
        self.gossip.regroup(settings);
    }

    /// Applies an endpoint list.
    pub fn update_list(&mut self, kind: ListKind, entries: &[EndpointEntry]) {
        if kind != ListKind::Delta {
            self.workers.iter_mut().for_each(|worker| worker.listed = None);
        }
        for entry in entries {
            self.worker_mut(entry.worker).update_entry(entry, entry.status != Status::Gone);
        }
    }

    /// A request for the endpoint list has failed.
    pub fn record_list_failure(&mut self) {
        self.list_failures = (self.list_failures + 1).min(MAX_LIST_BACKOFF);
    }

    /// Sorts the ready workers anew and assigns them to the groups.
    pub fn index_ready(&mut self, settings: &Settings) {
        let entries = ready_workers::ready_entries(&self.workers);
        self.ready = ReadyWorkers::new(&entries, settings.zone, self.now, settings.warm_up_time);
        self.gossip.assign(&entries, &self.ready.warming_up);
    }

    /// Takes the presence of each node, by which the workers are assigned.
    pub fn update_presence(&mut self, peers: &[PeerPresence], settings: &Settings) {
        if self.gossip.set_presence(self.now, peers) {
            self.index_ready(settings);
        }
    }

    /// Advertises this node's outstanding attempts and suspect workers to the group, if they have changed or are due again.
    pub fn advertise(&mut self, actions: &mut Vec<Action>) {
        let (workers, mut own_loads) = (&self.workers, Vec::new());
        self.touched.retain(|id| {
            let worker = &workers[*id as usize];
            let is_suspect = worker.is_suspect();
            let is_touched = !worker.outstanding.is_empty() || is_suspect;
            if let Some(listed) = worker.listed.filter(|_| is_touched) {
                let outstanding = worker.outstanding.iter().map(|attempt| attempt.slots).collect();
                own_loads.push(OwnLoad { worker: listed.worker, tag: listed.tag, outstanding, is_suspect });
            }
            is_touched
        });
        self.gossip.advertise(self.now, &own_loads, actions);
    }
}

/// Workers.
impl PolicyState {
    /// The worker, to be changed; one that is not known yet is added.
    pub fn worker_mut(&mut self, id: WorkerId) -> &mut Worker {
        if self.workers.len() <= id.0 as usize {
            self.workers.resize_with(id.0 as usize + 1, Worker::default);
        }
        self.touched.insert(id.0);
        &mut self.workers[id.0 as usize]
    }

    /// The worker, which must be known.
    pub fn worker(&self, id: WorkerId) -> &Worker {
        &self.workers[id.0 as usize]
    }

    /// The worker's load sample, if it is not older than the window.
    pub fn fresh_load(&self, id: WorkerId, window: Micros) -> Option<&LoadSample> {
        self.worker(id).load.as_ref().filter(|load| self.now <= load.at + window)
    }

    /// Records work that is sent or offered to a worker, for a window. A small attempt counts as a mean one: many small ones
    /// make a worker that is warming up collapse as well.
    pub fn record_work(&mut self, id: WorkerId, work: f64, window: Micros) {
        let (now, work) = (self.now, work.max(self.estimates.mean_attempt_work()));
        let worker = self.worker_mut(id);
        while worker.recent_work.front().is_some_and(|(at, _)| *at + window <= now) {
            worker.recent_work.pop_front();
        }
        worker.recent_work.push_back((now, work));
    }

    /// Stores a load sample, and learns the report interval and the kind's slots from it.
    pub fn record_load(&mut self, id: WorkerId, load: LoadSample) {
        let (at, free_slots) = (load.at, load.free_slots);
        self.estimates.reports_queue_length |= load.waiting.is_some();
        if let Some(previous) = self.worker_mut(id).load.replace(load) {
            self.estimates.learn_report_interval(at - previous.at);
        }
        let (worker, gossip, now) = (&self.workers[id.0 as usize], &self.gossip, self.now);
        if let Some(listed) = worker.listed {
            let known_load = || gossip.peer_load(&listed, now).unwrap_or(0.0) + worker.occupied_slots();
            self.estimates.learn_slots(listed.kind, free_slots, known_load);
        }
    }

    /// A worker has failed: its load sample is dropped, it is ejected, and the group is notified.
    pub fn record_failure(&mut self, id: WorkerId, window: Micros, max_failures: u32) {
        self.gossip.mark_changed();
        let now = self.now;
        let worker = self.worker_mut(id);
        worker.load = None;
        worker.outlier.record_failure(now, window, max_failures);
    }

    /// A connection to a worker has failed: its zone is ejected.
    pub fn record_zone_failure(&mut self, id: WorkerId, window: Micros, max_failures: u32) {
        if let Some(listed) = self.worker(id).listed {
            self.zones.entry(listed.zone).or_default().record_failure(self.now, window, max_failures);
        }
    }

    /// A worker has served an attempt: its failures are forgiven. The attempt's run time, in microseconds.
    pub fn record_success(&mut self, end: &AttemptEnded, ended: &EndedAttempt, settings: &Settings) -> f64 {
        let running_since = ended.running_since.filter(|_| settings.reports_start);
        let run_time = running_since.map_or(end.elapsed, |since| self.now.saturating_sub(since));
        let run_time = run_time.max(1) as f64; // 0 would make all workers equal
        self.estimates.classes[ended.class].run_time.add(run_time);
        let worker = self.worker_mut(end.worker);
        worker.outlier.record_success();
        if let Some(listed) = worker.listed {
            self.zones.remove(&listed.zone);
        }
        run_time
    }

    /// Whether a worker gets no work for now because it failed, was full or made an attempt queue.
    pub fn is_ejected(&self, worker: &Worker) -> bool {
        worker.outlier.is_ejected(self.now)
    }

    pub fn is_zone_ejected(&self, zone: ZoneId) -> bool {
        self.zones.get(&zone).is_some_and(|record| record.is_ejected(self.now))
    }

    /// Whether a listed worker is in another zone than this; `None` if it is not listed.
    pub fn is_outside(&self, id: WorkerId, zone: ZoneId) -> Option<bool> {
        self.worker(id).listed.map(|listed| listed.zone != zone)
    }

    /// Whether a worker has failed, here or at a peer, and has shown no sign of life here since.
    pub fn is_suspect(&self, worker: &Worker) -> bool {
        let is_suspect_at_peer =
            |listed: &EndpointEntry| self.gossip.is_suspect(listed, worker.last_seen, self.now);
        worker.is_suspect() || worker.listed.as_ref().is_some_and(is_suspect_at_peer)
    }

    /// The slots that this node may not use at a worker of the group: those that peers occupy, and those reserved for nodes
    /// that are unreachable; `None` for another worker.
    pub fn unavailable_slots(&self, listed: &EndpointEntry) -> Option<f64> {
        let occupied = self.gossip.peer_load(listed, self.now)?;
        let slots = self.estimates.slots(listed.kind).max(1.0) as u32;
        Some(occupied + f64::from(self.gossip.reserved_slots(listed.worker, slots, self.now)))
    }

    /// Probes the workers for a job, but for those that a probe is under way to.
    pub fn probe(&mut self, job: JobId, workers: &[WorkerId], actions: &mut Vec<Action>) {
        for &id in workers {
            let worker = self.worker_mut(id);
            worker.waiting_jobs.push(job);
            if !std::mem::replace(&mut worker.is_probing, true) {
                actions.push(Action::Probe(id));
            }
        }
    }

    /// A probe of a known worker has ended.
    pub fn probe_ended(&mut self, id: WorkerId, outcome: Outcome) -> Option<EndedProbe> {
        let now = self.now;
        let worker = self.workers.get_mut(id.0 as usize)?;
        worker.is_probing = false;
        let waiting_jobs = std::mem::take(&mut worker.waiting_jobs);
        let ended = EndedProbe { waiting_jobs, last_seen: worker.last_seen };
        if outcome == Outcome::Ok {
            worker.last_seen = now;
        }
        Some(ended)
    }

    /// How many listed workers get no work now: those that drain, are ejected, or are in a zone that looks cut off.
    pub fn unavailable_count(&self, zone: ZoneId, now: Micros) -> usize {
        let is_zone_ejected = |zone| self.zones.get(&zone).is_some_and(|record| record.is_ejected(now));
        let is_unavailable = |worker: &Worker, listed: EndpointEntry| {
            listed.status != Status::Ready
                || (worker.outlier.consecutive_failures > 0 && worker.outlier.is_ejected(now))
                || (listed.zone != zone && is_zone_ejected(listed.zone))
        };
        let unavailable =
            self.workers.iter().filter(|w| w.listed.is_some_and(|listed| is_unavailable(w, listed)));
        unavailable.count()
    }
}

/// Jobs and attempts.
impl PolicyState {
    /// Opens a job of a known class, to be reviewed at its deadline at the latest.
    pub fn open_job(
        &mut self,
        request: NewJob,
        arrived: Micros,
        settings: &Settings,
        actions: &mut Vec<Action>,
    ) {
        let class = usize::from(request.class.0);
        let (Some(terms), Some(stats)) = (settings.classes.get(class), self.estimates.classes.get_mut(class))
        else {
            return;
        };
        let guess = stats.run_time.value_or(terms.latency_objective as f64);
        let work = request.hint.map_or(guess, |hint| hint as f64).max(1.0);
        let longest = if request.hint.is_some() { 0.0 } else { terms.deadline as f64 };
        stats.record_arrival(work, longest);
        self.jobs.insert(request.job, Job::new(request, arrived, work));
        self.schedule_review(request.job, request.deadline.saturating_sub(settings.tick), actions);
    }

    /// Closes a job: its outstanding attempts are cancelled, where that is allowed.
    pub fn close_job(&mut self, id: JobId, settings: &Settings, actions: &mut Vec<Action>) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.is_closed = true;
        if settings.may_cancel {
            let outstanding = job.attempts_where(Attempt::is_outstanding);
            actions.extend(outstanding.map(|attempt| Action::Cancel { job: id, attempt }));
        }
        self.queued.retain(|queued| *queued != id);
        self.forget_job(id);
    }

    /// Cancels an open job's attempts that have not started, where that is allowed.
    pub fn cancel_unstarted(&self, id: JobId, settings: &Settings, actions: &mut Vec<Action>) {
        if let Some(job) = self.jobs.get(&id).filter(|job| settings.may_cancel && !job.is_closed) {
            let unstarted = job.attempts_where(|attempt| attempt.state == AttemptState::Sent);
            actions.extend(unstarted.map(|attempt| Action::Cancel { job: id, attempt }));
        }
    }

    /// Sets the timer of a job's next review.
    pub fn schedule_review(&self, id: JobId, at: Micros, actions: &mut Vec<Action>) {
        let after = at.saturating_sub(self.now).max(1);
        actions.push(Action::SetTimer(Timer::Review(id).into(), after));
    }

    /// Lets a job be reviewed whenever there is a reason.
    pub fn end_wait(&mut self, id: JobId) {
        self.jobs.entry(id).and_modify(|job| job.wait_until = 0);
    }

    /// Whether the job has a sample, or is not there.
    pub fn is_sampled(&self, id: JobId) -> bool {
        self.jobs.get(&id).is_none_or(|job| !job.sample.is_empty())
    }

    /// A probe for a job has ended. Whether the job, without an attempt, was waiting for this one alone: its wait is over.
    pub fn is_last_probe_of(&mut self, id: JobId) -> bool {
        let Some(job) = self.jobs.get_mut(&id) else { return false };
        job.pending_probes = job.pending_probes.saturating_sub(1);
        let is_last = job.pending_probes == 0 && job.outstanding_count() == 0;
        if is_last {
            job.wait_until = 0;
        }
        is_last
    }

    /// Queues a job here until then, unless capacity shows before.
    pub fn queue_job(&mut self, id: JobId, until: Micros) {
        self.jobs.entry(id).and_modify(|job| job.wait_until = until);
        if !self.queued.contains(&id) {
            self.queued.push(id);
        }
    }

    /// Notes the workers sampled for a job and how many of them were probed: it waits for those until then at most.
    pub fn set_sample(&mut self, id: JobId, sample: Vec<WorkerId>, pending_probes: usize, until: Micros) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.sample = sample;
        job.pending_probes = pending_probes;
        job.wait_until = if pending_probes == 0 { 0 } else { until };
    }

    /// Forgets a job's sample, so that it is probed for anew.
    pub fn clear_sample(&mut self, id: JobId) {
        self.jobs.entry(id).and_modify(|job| job.sample = Vec::new());
    }

    /// Drops a job that is closed and has no outstanding attempt.
    pub fn forget_job(&mut self, id: JobId) {
        if self.jobs.get(&id).is_some_and(|job| job.is_closed && job.outstanding_count() == 0) {
            self.jobs.remove(&id);
        }
    }

    /// Takes over the attempts that another process of this node made for a job.
    pub fn adopt_attempts(&mut self, id: JobId, past: &[PriorAttempt]) {
        for (attempt, prior) in (0..).zip(past) {
            let PriorAttempt { worker, at, running_since, .. } = *prior;
            let Some(job) = self.jobs.get_mut(&id) else { return };
            let state = AttemptState::of_prior(prior);
            job.attempts.push(Attempt { worker, at, state, running_since, is_start_expected: false });
            let slots = job.request.slots;
            let worker = self.worker_mut(worker);
            if prior.out {
                let is_started = running_since.is_some();
                worker.outstanding.push(OutstandingAttempt { job: id, attempt, at, slots, is_started });
                self.gossip.mark_changed();
            }
        }
    }

    /// Records that an open job's next attempt is sent to a worker. The job's expected work.
    pub fn start_attempt(
        &mut self,
        id: JobId,
        worker: WorkerId,
        is_start_expected: bool,
        window: Micros,
    ) -> Option<f64> {
        let now = self.now;
        let job = self.jobs.get_mut(&id)?;
        let (attempt, slots, work) = (job.attempts.len() as u32, job.request.slots, job.work);
        let state = AttemptState::Sent;
        job.attempts.push(Attempt { worker, at: now, state, running_since: None, is_start_expected });
        self.record_work(worker, work, window);
        let outstanding = OutstandingAttempt { job: id, attempt, at: now, slots, is_started: false };
        self.assign(worker, outstanding);
        self.queued.retain(|queued| *queued != id);
        Some(work)
    }

    fn assign(&mut self, id: WorkerId, attempt: OutstandingAttempt) {
        let worker = self.worker_mut(id);
        worker.cpu_at_last_assignment = worker.load.as_ref().map(|load| load.cpu);
        worker.outstanding.push(attempt);
        self.gossip.use_offer(id);
        self.last_assigned = Some(id);
        self.gossip.mark_changed();
    }

    /// Whether the newest unstarted attempt of a job was expected to start by now; it is not asked for again.
    pub fn take_start_expectation(&mut self, id: JobId) -> bool {
        let attempts = self.jobs.get_mut(&id).map(|job| job.attempts.iter_mut());
        let unstarted = attempts.and_then(|mut attempts| attempts.rfind(|a| a.state == AttemptState::Sent));
        unstarted.is_some_and(|attempt| std::mem::take(&mut attempt.is_start_expected))
    }

    /// Records that an attempt runs, if that is news.
    pub fn attempt_started(&mut self, id: JobId, attempt: u32) -> Option<StartedAttempt> {
        let now = self.now;
        let this = self.jobs.get_mut(&id)?.attempts.get_mut(attempt as usize)?;
        if this.state != AttemptState::Sent {
            return None;
        }
        (this.state, this.running_since) = (AttemptState::Running, Some(now));
        let started = StartedAttempt { worker: this.worker, waited: now - this.at };
        let worker = &mut self.workers[started.worker.0 as usize];
        worker.last_seen = now;
        worker.outstanding.iter_mut().filter(|o| o.is(id, attempt)).for_each(|o| o.is_started = true);
        Some(started)
    }

    /// Records the end of an attempt that this worker had.
    pub fn attempt_ended(&mut self, end: &AttemptEnded) -> Option<EndedAttempt> {
        let job = self.jobs.get_mut(&end.job)?;
        let this = job.attempts.get_mut(end.attempt as usize).filter(|a| a.worker == end.worker)?;
        this.state = AttemptState::after(end.outcome);
        let ended = EndedAttempt {
            running_since: this.running_since,
            class: usize::from(job.request.class.0),
            work: job.work,
            unrun_count: job.unrun_count(),
        };
        self.release(end.worker, end.job, end.attempt);
        if end.outcome.is_rejection() || matches!(end.outcome, Outcome::Ok | Outcome::Error) {
            self.worker_mut(end.worker).last_seen = self.now;
        }
        Some(ended)
    }

    /// Records that an attempt was never sent.
    pub fn attempt_not_sent(&mut self, id: JobId, attempt: u32) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let Some(this) = job.attempts.get_mut(attempt as usize) else { return };
        this.state = AttemptState::NotSent;
        let worker = this.worker;
        self.release(worker, id, attempt);
    }

    /// An attempt no longer occupies its worker.
    fn release(&mut self, worker: WorkerId, job: JobId, attempt: u32) {
        self.worker_mut(worker).outstanding.retain(|o| !o.is(job, attempt));
        self.gossip.mark_changed();
    }
}

/// What the estimates say of workers.
impl PolicyState {
    /// Learns the response time for each unit of work at a worker.
    pub fn learn_slowness(&mut self, id: WorkerId, slowness: f64) {
        self.estimates.slowness.add(slowness);
        let worker = self.worker_mut(id);
        worker.slowness.add(slowness);
        if let Some(listed) = worker.listed {
            self.estimates.slowness_by_kind.entry(listed.kind).or_default().add(slowness);
        }
    }

    pub fn is_warm(&self, listed: &EndpointEntry, warm_up_time: Micros) -> bool {
        ready_workers::is_warm(listed, self.now, warm_up_time)
    }

    /// Whether no report has shown how much workers of its kind can run, nor that none shows it.
    pub fn is_unsized(&self, worker: &Worker) -> bool {
        worker.listed.is_some_and(|listed| !self.estimates.is_sized(listed.kind))
    }

    /// The slots of the ready workers, together.
    pub fn ready_slots(&self) -> f64 {
        let slots = |id: &WorkerId| self.worker(*id).listed.map_or(0.0, |e| self.estimates.slots(e.kind));
        self.ready.all.iter().map(slots).sum()
    }

    /// The work that only this kind can run, as a fraction of the kind's fair part of all work.
    pub fn bound_fraction(&self, classes: &[Class], kind: KindId) -> f64 {
        self.estimates.bound_fraction(classes, &self.ready.weight_by_kind, kind)
    }
}
