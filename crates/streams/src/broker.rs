//! The broker: jobs, their watchers, and the timers after which jobs are dropped.

use crate::event_log::{Delivery, JobEvent};
use crate::job::{Job, JobPhase};
use crate::stream_counts::StreamCounts;
use crate::watcher::{Read, Watcher};
use crate::{BrokerError, JobId, Limits, Metrics, Micros, NewJob, PublicJobId, TransferredJob};
use crate::{WatchToken, WatcherId};
use rustc_hash::FxHashMap;
use std::collections::BTreeSet;

/// The next item of a watcher's stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Next<'a> {
    /// An event.
    Event {
        /// The job.
        job: JobId,
        /// The event.
        event: &'a JobEvent,
        /// Whether this is the last event of the job.
        is_final: bool,
    },
    /// This number of events that the watcher should have received were evicted.
    Missed(u64),
    /// There is nothing to receive at present.
    Nothing,
}

/// An action that the caller has to carry out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Effect {
    /// Call [`EventBroker::pull`] for this watcher.
    Wake(WatcherId),
    /// End this job: it has had no watcher for [`Limits::unwatched_timeout`], and [`NewJob::ends_unwatched`] is set.
    End(JobId),
}

/// All jobs and their watchers.
pub struct EventBroker {
    limits: Limits,
    jobs: FxHashMap<JobId, Job>,
    by_public_id: FxHashMap<PublicJobId, JobId>,
    watchers: FxHashMap<WatcherId, Watcher>,
    streams: StreamCounts,
    timers: BTreeSet<(Micros, JobId)>,
    /// The number of jobs so far, which is the id of the next one.
    next_job: u64,
    next_watcher: u64,
    /// The size of all events, in bytes.
    bytes: usize,
    /// Finished jobs that were dropped early to make room.
    evicted: u64,
    /// Events reported to watchers as missed.
    missed: u64,
    /// Progress events that were skipped for slow watchers.
    coalesced: u64,
}

impl EventBroker {
    /// Creates a broker without jobs.
    pub fn new(limits: Limits) -> EventBroker {
        EventBroker {
            limits,
            jobs: FxHashMap::default(),
            by_public_id: FxHashMap::default(),
            watchers: FxHashMap::default(),
            streams: StreamCounts::default(),
            timers: BTreeSet::new(),
            next_job: 0,
            next_watcher: 0,
            bytes: 0,
            evicted: 0,
            missed: 0,
            coalesced: 0,
        }
    }

    /// The current sizes, and the counters since the start.
    pub fn metrics(&self) -> Metrics {
        Metrics {
            jobs: self.jobs.len(),
            watchers: self.watchers.len(),
            bytes: self.bytes,
            evicted: self.evicted,
            missed: self.missed,
            coalesced: self.coalesced,
        }
    }

    /// When to call [`EventBroker::on_timer`] next; `None` if no timer is set.
    pub fn next_due(&self) -> Option<Micros> {
        self.timers.first().map(|(at, _)| *at)
    }

    /// Drops finished jobs without watchers until there is room for another job, in the order in which they would expire.
    /// Returns whether there is room.
    fn make_room(&mut self) -> bool {
        while self.jobs.len() >= self.limits.jobs || self.bytes >= self.limits.bytes {
            let is_evictable = |id: &JobId| self.jobs.get(id).is_some_and(Job::is_evictable);
            let Some(id) = self.timers.iter().map(|(_, id)| *id).find(is_evictable) else { return false };
            self.remove_job(id);
            self.evicted += 1;
        }
        true
    }

    /// Adds a job.
    ///
    /// # Errors
    ///
    /// [`BrokerError::Full`] if there is no room, or if the public id is in use.
    pub fn add_job(&mut self, now: Micros, new: NewJob) -> Result<JobId, BrokerError> {
        if self.by_public_id.contains_key(&new.public_id) || !self.make_room() {
            return Err(BrokerError::Full);
        }
        Ok(self.insert(now, new.into()))
    }

    fn insert(&mut self, now: Micros, transferred: TransferredJob) -> JobId {
        let id = JobId(self.next_job);
        self.next_job += 1;
        let mut job = Job::new(transferred);
        job.finished_at = (job.phase() == JobPhase::Finished).then_some(now);
        let due = match job.phase() {
            JobPhase::Running if job.ends_unwatched => Some(now + self.limits.unwatched_timeout),
            JobPhase::Running => None,
            JobPhase::Finished | JobPhase::Expired => Some(now + self.limits.final_event_ttl),
        };
        self.bytes += job.log.bytes();
        self.by_public_id.insert(job.public_id, id);
        self.jobs.insert(id, job);
        self.set_timer(id, due);
        id
    }

    fn set_timer(&mut self, id: JobId, due: Option<Micros>) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if let Some(before) = std::mem::replace(&mut job.due, due) {
            self.timers.remove(&(before, id));
        }
        if let Some(at) = due {
            self.timers.insert((at, id));
        }
    }

    fn remove_job(&mut self, id: JobId) {
        self.set_timer(id, None);
        let Some(job) = self.jobs.remove(&id) else { return };
        self.by_public_id.remove(&job.public_id);
        self.bytes -= job.log.bytes();
        for watcher in job.watchers {
            self.watchers.remove(&watcher);
            self.streams.decrement(job.tenant);
        }
    }

    /// Changes a running job and wakes its watchers. Returns false if there is no running job with this id.
    fn update(&mut self, id: JobId, effects: &mut Vec<Effect>, change: impl FnOnce(&mut Job)) -> bool {
        let Some(job) = self.jobs.get_mut(&id).filter(|job| job.phase() == JobPhase::Running) else {
            return false;
        };
        let before = job.log.bytes();
        change(job);
        self.bytes = self.bytes + job.log.bytes() - before;
        effects.extend(job.watchers.iter().map(|watcher| Effect::Wake(*watcher)));
        true
    }

    /// Appends an event that every watcher receives. Does nothing after the final event.
    pub fn publish(&mut self, id: JobId, name: &str, data: String, effects: &mut Vec<Effect>) {
        let limits = self.limits;
        self.update(id, effects, |job| job.log.push(name, data, Delivery::Every, &limits));
    }

    /// Appends an event that a later one replaces: a slow watcher receives only the latest. Does nothing after the final
    /// event.
    pub fn publish_progress(&mut self, id: JobId, name: &str, data: String, effects: &mut Vec<Effect>) {
        let limits = self.limits;
        self.update(id, effects, |job| job.log.push(name, data, Delivery::Latest, &limits));
    }

    /// Appends the final event of a job. Does nothing if the job already has one.
    pub fn finish(&mut self, now: Micros, id: JobId, name: &str, data: String, effects: &mut Vec<Effect>) {
        let finish = |job: &mut Job| {
            job.log.finish(name, data);
            job.finished_at = Some(now);
        };
        if self.update(id, effects, finish) {
            self.set_timer(id, Some(now + self.limits.final_event_ttl));
        }
    }

    /// Adds a watcher of the job with this public id. `last_received` is the number of the last event that the client
    /// received; a number that the job has not reached is ignored.
    ///
    /// # Errors
    ///
    /// [`BrokerError::Unknown`] for a wrong id or token, [`BrokerError::StreamEnded`] if nothing is left to receive, and
    /// [`BrokerError::TooManyStreams`] if the tenant has reached its limit of streams.
    pub fn watch(
        &mut self,
        public_id: PublicJobId,
        token: WatchToken,
        last_received: Option<u64>,
    ) -> Result<WatcherId, BrokerError> {
        let id = self.authorize(public_id, token)?;
        let Some(job) = self.jobs.get_mut(&id) else { return Err(BrokerError::Unknown) };
        let next_id = job.log.next_id();
        let received = last_received.filter(|last| *last < next_id).unwrap_or(0);
        if job.has_ended_after(received) {
            return Err(BrokerError::StreamEnded);
        }
        if self.streams.get(job.tenant) >= self.limits.streams_per_tenant {
            return Err(BrokerError::TooManyStreams);
        }
        let watcher = WatcherId(self.next_watcher);
        self.next_watcher += 1;
        self.watchers.insert(watcher, Watcher::new(id, received, next_id));
        self.streams.increment(job.tenant);
        job.watchers.push(watcher);
        if job.phase() == JobPhase::Running {
            self.set_timer(id, None); // the job is watched again
        }
        Ok(watcher)
    }

    /// The job with this public id, if the token is correct.
    fn authorize(&self, public_id: PublicJobId, token: WatchToken) -> Result<JobId, BrokerError> {
        let id = self.by_public_id.get(&public_id).copied();
        let expected = id.and_then(|id| self.jobs.get(&id)).map(|job| job.token);
        // Without such a job, the token is compared with a wrong one, so that the answer takes the same time.
        let wrong_token = WatchToken(!token.0);
        let is_equal = expected.unwrap_or(wrong_token).equals_in_constant_time(token);
        id.filter(|_| is_equal).ok_or(BrokerError::Unknown)
    }

    /// Takes the next item of a watcher's stream, which then counts as received.
    pub fn pull(&mut self, id: WatcherId) -> Next<'_> {
        let Some(watcher) = self.watchers.get_mut(&id) else { return Next::Nothing };
        let Some(job) = self.jobs.get_mut(&watcher.job) else { return Next::Nothing };
        loop {
            match watcher.read(&job.log) {
                Read::Event(event) => {
                    let is_final = job.log.final_id() == Some(event.id);
                    job.is_final_received |= is_final;
                    return Next::Event { job: watcher.job, event, is_final };
                }
                Read::Missed(count) => {
                    self.missed += count;
                    return Next::Missed(count);
                }
                Read::Skipped(count) => self.coalesced += count,
                Read::End => return Next::Nothing,
            }
        }
    }

    /// Whether any job has a final event that was added after `since` and that no watcher has received.
    pub fn has_unreceived_final_event(&self, since: Micros) -> bool {
        self.jobs.values().any(|job| job.awaits_watcher(since))
    }

    /// Whether a watcher has something left to pull.
    pub fn has_more(&self, id: WatcherId) -> bool {
        let found = self.watchers.get(&id).and_then(|watcher| Some((watcher, self.jobs.get(&watcher.job)?)));
        found.is_some_and(|(watcher, job)| watcher.has_more(&job.log))
    }

    /// Removes a watcher. The watched job continues. If that job ends unwatched and has no watcher left, its timer starts.
    pub fn remove_watcher(&mut self, now: Micros, id: WatcherId) {
        let Some(watcher) = self.watchers.remove(&id) else { return };
        let Some(job) = self.jobs.get_mut(&watcher.job) else { return };
        job.watchers.retain(|other| *other != id);
        self.streams.decrement(job.tenant);
        if job.should_end_unwatched() {
            self.set_timer(watcher.job, Some(now + self.limits.unwatched_timeout));
        }
    }

    /// Runs the timers that are due: ends unwatched jobs, and drops final events and tokens.
    pub fn on_timer(&mut self, now: Micros, effects: &mut Vec<Effect>) {
        while let Some((_, id)) = self.timers.first().copied().filter(|(at, _)| *at <= now) {
            self.set_timer(id, None);
            let Some(job) = self.jobs.get(&id) else { continue };
            match job.phase() {
                JobPhase::Running if job.should_end_unwatched() => effects.push(Effect::End(id)),
                JobPhase::Running => {}
                JobPhase::Finished if job.watchers.is_empty() => self.expire(now, id),
                // A watcher may still be reading the final event.
                JobPhase::Finished => self.set_timer(id, Some(now + self.limits.final_event_ttl)),
                JobPhase::Expired => self.remove_job(id),
            }
        }
    }

    /// Drops the events of a finished job. The token of the job is kept for [`Limits::token_ttl`].
    fn expire(&mut self, now: Micros, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        self.bytes -= job.log.bytes();
        job.expire();
        self.set_timer(id, Some(now + self.limits.token_ttl));
    }

    /// The watchers of a job.
    pub fn watchers(&self, id: JobId) -> Vec<WatcherId> {
        self.jobs.get(&id).map_or(Vec::new(), |job| job.watchers.clone())
    }

    /// Removes a job with its watchers, to transfer it to another process. `None` if there is no such job.
    pub fn transfer(&mut self, id: JobId) -> Option<TransferredJob> {
        let transferred = self.jobs.get(&id)?.to_transferred();
        self.remove_job(id);
        Some(transferred)
    }

    /// All jobs except those whose final event was dropped, in the order in which they were added.
    pub fn jobs(&self) -> Vec<JobId> {
        let kept = self.jobs.iter().filter(|(_, job)| job.phase() != JobPhase::Expired);
        let mut ids: Vec<JobId> = kept.map(|(id, _)| *id).collect();
        ids.sort_unstable();
        ids
    }

    /// Adds a job that another process transferred. `None` if its public id is in use.
    pub fn restore(&mut self, now: Micros, transferred: TransferredJob) -> Option<JobId> {
        (!self.by_public_id.contains_key(&transferred.public_id)).then(|| self.insert(now, transferred))
    }
}
