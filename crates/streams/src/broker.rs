//! The broker: jobs, their watchers, and the timers that forget them.

use crate::event_log::{Delivery, JobEvent};
use crate::job::{Job, JobPhase};
use crate::stream_counts::StreamCounts;
use crate::watcher::{Read, Watcher};
use crate::{BrokerError, JobId, Limits, Metrics, Micros, NewJob, PublicJobId, TransferredJob};
use crate::{WatchToken, WatcherId};
use rustc_hash::FxHashMap;
use std::collections::BTreeSet;

/// What a watcher receives next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Next<'a> {
    /// This event.
    Event {
        /// The job.
        job: JobId,
        /// The event.
        event: &'a JobEvent,
        /// Nothing comes after it.
        is_final: bool,
    },
    /// So many events that it should have received were evicted.
    Missed(u64),
    /// Nothing for now.
    Nothing,
}

/// What the broker's owner has to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Effect {
    /// This watcher has something to pull.
    Wake(WatcherId),
    /// End this job: nobody watches it, and it was added as one that ends unwatched.
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
    /// Number of jobs so far.
    next_job: u64,
    next_watcher: u64,
    /// Bytes that all events take.
    bytes: usize,
    /// Jobs forgotten before their time to make room.
    evicted: u64,
    /// Events that watchers were notified to have missed.
    missed: u64,
    /// Progress events that were skipped for slow watchers.
    coalesced: u64,
}

impl EventBroker {
    /// A broker without jobs.
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

    /// Present sizes, and counters since the start.
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

    /// When [`EventBroker::on_timer`] has something to do next.
    pub fn next_due(&self) -> Option<Micros> {
        self.timers.first().map(|(at, _)| *at)
    }

    /// Forgets finished jobs that nobody watches, the one that would expire first at first, until there is room for another
    /// job. Returns whether there is.
    fn make_room(&mut self) -> bool {
        while self.jobs.len() >= self.limits.jobs || self.bytes >= self.limits.bytes {
            let is_evictable = |id: &JobId| self.jobs.get(id).is_some_and(Job::is_evictable);
            let Some(id) = self.timers.iter().map(|(_, id)| *id).find(is_evictable) else { return false };
            self.forget(id);
            self.evicted += 1;
        }
        true
    }

    /// Adds a job.
    ///
    /// # Errors
    ///
    /// [`BrokerError::Full`] where there is no room, or where the public id is in use.
    pub fn add_job(&mut self, now: Micros, new: NewJob) -> Result<JobId, BrokerError> {
        if self.by_public_id.contains_key(&new.public_id) || !self.make_room() {
            return Err(BrokerError::Full);
        }
        Ok(self.insert(now, new.into()))
    }

    fn insert(&mut self, now: Micros, transferred: TransferredJob) -> JobId {
        let id = JobId(self.next_job);
        self.next_job += 1;
        let job = Job::new(transferred);
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

    fn forget(&mut self, id: JobId) {
        self.set_timer(id, None);
        let Some(job) = self.jobs.remove(&id) else { return };
        self.by_public_id.remove(&job.public_id);
        self.bytes -= job.log.bytes();
        for watcher in job.watchers {
            self.watchers.remove(&watcher);
            self.streams.decrement(job.tenant);
        }
    }

    /// Changes a running job and wakes its watchers. Returns whether there is such a job.
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

    /// Appends an event that every watcher receives. Nothing happens after the final one.
    pub fn publish(&mut self, id: JobId, name: &str, data: String, effects: &mut Vec<Effect>) {
        let limits = self.limits;
        self.update(id, effects, |job| job.log.push(name, data, Delivery::Every, &limits));
    }

    /// Appends an event that a later one replaces: a slow watcher receives the latest only. Nothing happens after the final
    /// event.
    pub fn publish_progress(&mut self, id: JobId, name: &str, data: String, effects: &mut Vec<Effect>) {
        let limits = self.limits;
        self.update(id, effects, |job| job.log.push(name, data, Delivery::Latest, &limits));
    }

    /// Appends the final event of a job. Only the first counts.
    pub fn finish(&mut self, now: Micros, id: JobId, name: &str, data: String, effects: &mut Vec<Effect>) {
        if self.update(id, effects, |job| job.log.finish(name, data)) {
            self.set_timer(id, Some(now + self.limits.final_event_ttl));
        }
    }

    /// Adds a watcher of the job that clients name `public_id`. `last_received` is the last event that the client received; a
    /// number that the job has not reached counts as none.
    ///
    /// # Errors
    ///
    /// [`BrokerError::Unknown`] for a wrong id or token, [`BrokerError::Over`] where nothing is left to receive, and
    /// [`BrokerError::TooManyStreams`] where the tenant may have no other stream.
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
        if job.is_over_after(received) {
            return Err(BrokerError::Over);
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
            self.set_timer(id, None); // it ends unwatched no more
        }
        Ok(watcher)
    }

    /// The job of this public id, if the token is its own.
    fn authorize(&self, public_id: PublicJobId, token: WatchToken) -> Result<JobId, BrokerError> {
        let id = self.by_public_id.get(&public_id).copied();
        let expected = id.and_then(|id| self.jobs.get(&id)).map(|job| job.token);
        // Where there is no such job, the token is compared with another one, so that the answer takes as long.
        let other = WatchToken(!token.0);
        let is_equal = expected.unwrap_or(other).equals_in_constant_time(token);
        id.filter(|_| is_equal).ok_or(BrokerError::Unknown)
    }

    /// What a watcher receives next; it counts as received.
    pub fn pull(&mut self, id: WatcherId) -> Next<'_> {
        let Some(watcher) = self.watchers.get_mut(&id) else { return Next::Nothing };
        let Some(job) = self.jobs.get(&watcher.job) else { return Next::Nothing };
        loop {
            match watcher.read(&job.log) {
                Read::Event(event) => {
                    let is_final = job.log.final_id() == Some(event.id);
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

    /// Whether a watcher has something to pull.
    pub fn has_more(&self, id: WatcherId) -> bool {
        let found = self.watchers.get(&id).and_then(|watcher| Some((watcher, self.jobs.get(&watcher.job)?)));
        found.is_some_and(|(watcher, job)| watcher.has_more(&job.log))
    }

    /// Removes a watcher. Its job goes on, unless it was added as one that ends unwatched.
    pub fn remove_watcher(&mut self, now: Micros, id: WatcherId) {
        let Some(watcher) = self.watchers.remove(&id) else { return };
        let Some(job) = self.jobs.get_mut(&watcher.job) else { return };
        job.watchers.retain(|other| *other != id);
        self.streams.decrement(job.tenant);
        if job.should_end_unwatched() {
            self.set_timer(watcher.job, Some(now + self.limits.unwatched_timeout));
        }
    }

    /// Fires the timers that are due: unwatched jobs end, final events and tokens are forgotten.
    pub fn on_timer(&mut self, now: Micros, effects: &mut Vec<Effect>) {
        while let Some((_, id)) = self.timers.first().copied().filter(|(at, _)| *at <= now) {
            self.set_timer(id, None);
            let Some(job) = self.jobs.get(&id) else { continue };
            match job.phase() {
                JobPhase::Running if job.should_end_unwatched() => effects.push(Effect::End(id)),
                JobPhase::Running => {}
                JobPhase::Finished if job.watchers.is_empty() => self.expire(now, id),
                // Somebody is still reading it.
                JobPhase::Finished => self.set_timer(id, Some(now + self.limits.final_event_ttl)),
                JobPhase::Expired => self.forget(id),
            }
        }
    }

    /// Drops the events of a finished job; its token stays known for a while.
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

    /// Takes a job out, to transfer it to another process; its watchers are removed. `None` where there is no such job.
    pub fn transfer(&mut self, id: JobId) -> Option<TransferredJob> {
        let transferred = self.jobs.get(&id)?.to_transferred();
        self.forget(id);
        Some(transferred)
    }

    /// The jobs, in the order in which they were added; without those whose final event was dropped.
    pub fn jobs(&self) -> Vec<JobId> {
        let kept = self.jobs.iter().filter(|(_, job)| job.phase() != JobPhase::Expired);
        let mut ids: Vec<JobId> = kept.map(|(id, _)| *id).collect();
        ids.sort_unstable();
        ids
    }

    /// Adds a job that another process transferred. `None` where its public id is in use.
    pub fn restore(&mut self, now: Micros, transferred: TransferredJob) -> Option<JobId> {
        (!self.by_public_id.contains_key(&transferred.public_id)).then(|| self.insert(now, transferred))
    }
}
