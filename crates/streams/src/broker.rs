//! The broker: jobs, their watchers, and the timers that forget them.

use crate::event_log::JobEvent;
use crate::job::Job;
use crate::watcher::{Read, Watcher};
use crate::{BrokerError, JobId, Limits, Micros, NewJob, TransferredJob, WatcherId};
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
        /// It is the final event: nothing comes after it.
        last: bool,
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

/// Number of streams by tenant.
#[derive(Default)]
struct StreamCounts(FxHashMap<u32, usize>);

impl StreamCounts {
    fn get(&self, tenant: u32) -> usize {
        self.0.get(&tenant).copied().unwrap_or(0)
    }

    fn increment(&mut self, tenant: u32) {
        *self.0.entry(tenant).or_default() += 1;
    }

    fn decrement(&mut self, tenant: u32) {
        let count = self.get(tenant).saturating_sub(1);
        if count == 0 {
            self.0.remove(&tenant);
        } else {
            self.0.insert(tenant, count);
        }
    }
}

/// All jobs and their watchers.
pub struct EventBroker {
    limits: Limits,
    jobs: FxHashMap<JobId, Job>,
    by_public_id: FxHashMap<u64, JobId>,
    watchers: FxHashMap<WatcherId, Watcher>,
    streams: StreamCounts,
    timers: BTreeSet<(Micros, JobId)>,
    next_job: JobId,
    next_watcher: u64,
    bytes: usize,
    /// Jobs forgotten before their time to make room.
    pub evicted: u64,
    /// Events that watchers were notified to have missed.
    pub missed: u64,
    /// Progress events that were skipped for slow watchers.
    pub coalesced: u64,
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

    /// Number of jobs, and number of watchers.
    pub fn counts(&self) -> (usize, usize) {
        (self.jobs.len(), self.watchers.len())
    }

    /// Bytes that all events take.
    pub fn bytes(&self) -> usize {
        self.bytes
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
        let id = self.next_job;
        self.next_job += 1;
        let job = Job::new(transferred);
        let due = if job.log.is_finished() {
            Some(now + self.limits.final_event_ttl)
        } else if job.ends_unwatched {
            Some(now + self.limits.unwatched_timeout)
        } else {
            None
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
        let Some(job) = self.jobs.get_mut(&id).filter(|job| job.is_running()) else { return false };
        let before = job.log.bytes();
        change(job);
        self.bytes = self.bytes + job.log.bytes() - before;
        effects.extend(job.watchers.iter().map(|watcher| Effect::Wake(*watcher)));
        true
    }

    /// Appends an event that every watcher receives. Nothing happens after the final one.
    pub fn publish(&mut self, id: JobId, name: &str, data: String, effects: &mut Vec<Effect>) {
        let limits = self.limits;
        self.update(id, effects, |job| job.log.push(name, data, false, &limits));
    }

    /// Appends an event that a later one replaces: a slow watcher receives the latest only. Nothing happens after the final
    /// event.
    pub fn publish_progress(&mut self, id: JobId, name: &str, data: String, effects: &mut Vec<Effect>) {
        let limits = self.limits;
        self.update(id, effects, |job| job.log.push(name, data, true, &limits));
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
        public_id: u64,
        token: u128,
        last_received: Option<u64>,
    ) -> Result<WatcherId, BrokerError> {
        let found = self.by_public_id.get(&public_id).copied();
        let found = found.and_then(|id| Some((id, self.jobs.get(&id)?)));
        // A job that is not there is compared with as well: the answer takes as long.
        let expected = found.as_ref().map_or(!token, |(_, job)| job.token);
        let (true, Some((id, job))) = (is_equal_in_constant_time(expected, token), found) else {
            return Err(BrokerError::Unknown);
        };
        let received = last_received.filter(|last| *last < job.log.next_id()).unwrap_or(0);
        if job.is_expired || job.log.final_id().is_some_and(|last| received >= last) {
            return Err(BrokerError::Over);
        }
        if self.streams.get(job.tenant) >= self.limits.streams_per_tenant {
            return Err(BrokerError::TooManyStreams);
        }
        let (tenant, replay_until) = (job.tenant, job.log.next_id());
        let watcher = WatcherId(self.next_watcher);
        self.next_watcher += 1;
        self.watchers.insert(watcher, Watcher::new(id, received, replay_until));
        self.streams.increment(tenant);
        if let Some(job) = self.jobs.get_mut(&id) {
            job.watchers.push(watcher);
            if !job.log.is_finished() {
                self.set_timer(id, None);
            }
        }
        Ok(watcher)
    }

    /// What a watcher receives next; it counts as received.
    pub fn pull(&mut self, id: WatcherId) -> Next<'_> {
        let Some(watcher) = self.watchers.get_mut(&id) else { return Next::Nothing };
        let Some(job) = self.jobs.get(&watcher.job) else { return Next::Nothing };
        loop {
            match watcher.read(&job.log) {
                Read::Event(event) => {
                    let last = job.log.final_id() == Some(event.id);
                    return Next::Event { job: watcher.job, event, last };
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
        if job.watchers.is_empty() && job.ends_unwatched && !job.log.is_finished() {
            self.set_timer(watcher.job, Some(now + self.limits.unwatched_timeout));
        }
    }

    /// Fires the timers that are due: unwatched jobs end, final events and tokens are forgotten.
    pub fn on_timer(&mut self, now: Micros, effects: &mut Vec<Effect>) {
        while let Some((_, id)) = self.timers.first().copied().filter(|(at, _)| *at <= now) {
            self.set_timer(id, None);
            let Some(job) = self.jobs.get_mut(&id) else { continue };
            if job.is_expired {
                self.forget(id);
            } else if !job.log.is_finished() {
                if job.watchers.is_empty() && job.ends_unwatched {
                    effects.push(Effect::End(id));
                }
            } else if !job.watchers.is_empty() {
                // Somebody is still reading it.
                self.set_timer(id, Some(now + self.limits.final_event_ttl));
            } else {
                self.bytes -= job.log.bytes();
                job.log.clear();
                job.is_expired = true;
                self.set_timer(id, Some(now + self.limits.token_ttl));
            }
        }
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
        let kept = self.jobs.iter().filter(|(_, job)| !job.is_expired);
        let mut ids: Vec<JobId> = kept.map(|(id, _)| *id).collect();
        ids.sort_unstable();
        ids
    }

    /// Adds a job that another process transferred. `None` where its public id is in use.
    pub fn restore(&mut self, now: Micros, transferred: TransferredJob) -> Option<JobId> {
        (!self.by_public_id.contains_key(&transferred.public_id)).then(|| self.insert(now, transferred))
    }
}

/// Compares in a time that does not depend on how much is equal.
fn is_equal_in_constant_time(a: u128, b: u128) -> bool {
    std::hint::black_box(a ^ b) == 0
}
